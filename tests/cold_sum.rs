//! Twenty processes without membership send to one destination that recovers from an outage with little
//! capacity: the sum of their calls stays within the budget that the settings allow, plus an allowance for
//! random variation.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::load::{self, Clients};

const MEMBERS: usize = 20;
/// Calls a second that the fully recovered destination takes, and reports.
const LIMIT_PER_S: f64 = 50.0;
/// `coldFrom`, `coldMs`, `fallMultiple` and `overloadForMs` of `support/config.json`.
const RECOVERY_START_SHARE: f64 = 0.2;
const RECOVERY_S: f64 = 9.0;
const OVERLOAD_MULTIPLE: f64 = 2.0;
const WINDOW_S: f64 = 2.0;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Available,
    /// Each call fails.
    Failing,
    /// Recovering since this time: calls are counted.
    Recovering(Instant),
}

/// Serves a destination that all processes share. `calls` receives the time of each call since its recovery
/// began.
fn destination(listener: std::net::TcpListener, state: Arc<Mutex<State>>, calls: Arc<Mutex<Vec<f64>>>) {
    load::serve(listener, move |_, headers: &BTreeMap<String, String>, _| {
        let current = *state.lock().unwrap();
        if let State::Recovering(since) = current {
            calls.lock().unwrap().push(since.elapsed().as_secs_f64());
        }
        let head = format!("Server-Load: x0=0.9,x1={LIMIT_PER_S}\r\n");
        if current == State::Failing {
            return format!("HTTP/1.1 500 Error\r\n{head}Content-Length: 0\r\n\r\n");
        }
        let line = format!("{} delivered\r\n", headers["request-id"]);
        format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n{line}", line.len())
    });
}

/// The window with the largest share of its budget used: that share, the window's start and its calls. The
/// budget is the multiple of the window's mean capacity, which is less than the capacity at its end, plus an
/// allowance for random variation.
fn worst_window(calls: &[f64]) -> (f64, f64, usize) {
    let capacity = |at: f64| {
        LIMIT_PER_S * (RECOVERY_START_SHARE + (1.0 - RECOVERY_START_SHARE) * (at / RECOVERY_S).min(1.0))
    };
    let window = |&from: &f64| {
        let count = calls.iter().filter(|at| **at >= from && **at < from + WINDOW_S).count();
        let budget = OVERLOAD_MULTIPLE * (capacity(from) + capacity(from + WINDOW_S)) / 2.0 * WINDOW_S;
        (count as f64 / (budget + 2.0 * budget.sqrt() + 2.0), from, count)
    };
    calls.iter().map(window).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default()
}

fn run_outage(seed: u64, pause: Duration) {
    let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, seed, ..Plan::default() };
    let mut fleet = Fleet::new(&format!("cold-sum-{seed}-{}", pause.as_millis()), plan);
    let (state, calls) = (Arc::new(Mutex::new(State::Available)), Arc::new(Mutex::new(Vec::new())));
    destination(fleet.endpoint_listener(2), state.clone(), calls.clone());
    load::serve_rate_limited(fleet.endpoint_listener(3), 1_000.0, fleet.ledger.clone());
    // Without membership each process knows only its settings and its own answers.
    for member in 0..MEMBERS {
        fleet.start_as(member, "{}\n");
    }
    fleet.until("all processes are ready", Duration::from_secs(30), |fleet| {
        (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving")
    });
    let clients: Vec<Clients> = (0..MEMBERS)
        .map(|member| {
            Clients::with_id_prefix(
                &format!("f{member}-"),
                1,
                fleet.listen[member],
                pause,
                fleet.ledger.clone(),
            )
        })
        .collect();
    // The budget binds the processes that were told of the outage: it ends only after all of them report an open
    // circuit, whatever the machine's speed.
    std::thread::sleep(Duration::from_secs(3));
    *state.lock().unwrap() = State::Failing;
    fleet.until("all circuits are open", Duration::from_secs(30), |fleet| {
        (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["ejected"].as_u64() >= Some(1))
    });
    *state.lock().unwrap() = State::Recovering(Instant::now());
    std::thread::sleep(Duration::from_secs(7));
    clients.into_iter().for_each(Clients::stop);
    let calls = calls.lock().unwrap().clone();
    let (share, from, count) = worst_window(&calls);
    println!("seed {seed}: {} calls in 7 s, at most {count} in a window from {from:.2} s: {share:.2} of the budget", calls.len());
    assert!(calls.len() >= 10, "the destination is called again: {} calls", calls.len());
    assert!(
        share <= 1.0,
        "{count} calls in a window from {from:.2} s: {share:.2} of the budget with its allowance"
    );
}

#[test]
fn twenty_processes_without_membership_keep_their_sum_within_the_budget_of_a_recovering_destination() {
    // A load below the limit, and one above it: send rates in proportion to each process's own demand would
    // add up to more than the budget.
    for (seed, pause_ms) in [(3, 300), (3, 60), (4, 60)] {
        run_outage(seed, Duration::from_millis(pause_ms));
    }
}
