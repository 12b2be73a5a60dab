//! What twenty processes that know nothing of each other send a destination that comes back cold: the sum stays within the budget
//! that the settings allow, but for chance.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::load::{self, Clients};

const MEMBERS: usize = 20;
/// Calls a second that the destination takes warm, and tells.
const LIMIT: f64 = 50.0;
/// As in `support/config.json`.
const COLD_FROM: f64 = 0.2;
const COLD_S: f64 = 9.0;
const MULTIPLE: f64 = 2.0;
const WINDOW_S: f64 = 2.0;

#[derive(Clone, Copy, PartialEq)]
enum Door {
    Open,
    /// Each call fails.
    Failing,
    /// Back since then: it counts.
    Cold(Instant),
}

/// A destination that all share; what it counts are the calls since it came back.
fn destination(listener: std::net::TcpListener, door: Arc<Mutex<Door>>, calls: Arc<Mutex<Vec<f64>>>) {
    load::serve(listener, move |_, headers: &BTreeMap<String, String>, _| {
        let state = *door.lock().unwrap();
        if let Door::Cold(since) = state {
            calls.lock().unwrap().push(since.elapsed().as_secs_f64());
        }
        let head = format!("Server-Load: x0=0.9,x1={LIMIT}\r\n");
        if state == Door::Failing {
            return format!("HTTP/1.1 500 Error\r\n{head}Content-Length: 0\r\n\r\n");
        }
        let line = format!("{} delivered\r\n", headers["request-id"]);
        format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n{line}", line.len())
    });
}

/// The calls in each window since the return, over what the settings allow in it (the mean of its capacity: less than what is
/// there at its end), as a share of that and of what chance adds.
fn worst(calls: &[f64]) -> (f64, f64, usize) {
    let capacity = |at: f64| LIMIT * (COLD_FROM + (1.0 - COLD_FROM) * (at / COLD_S).min(1.0));
    let one = |&from: &f64| {
        let count = calls.iter().filter(|at| **at >= from && **at < from + WINDOW_S).count();
        let budget = MULTIPLE * (capacity(from) + capacity(from + WINDOW_S)) / 2.0 * WINDOW_S;
        (count as f64 / (budget + 2.0 * budget.sqrt() + 2.0), from, count)
    };
    calls.iter().map(one).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default()
}

fn play(seed: u64, pause: Duration) {
    let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, seed, ..Plan::default() };
    let mut fleet = Fleet::new(&format!("cold-sum-{seed}-{}", pause.as_millis()), plan);
    let (door, calls) = (Arc::new(Mutex::new(Door::Open)), Arc::new(Mutex::new(Vec::new())));
    destination(fleet.endpoint_listener(2), door.clone(), calls.clone());
    load::serve_rate_limited(fleet.endpoint_listener(3), 1_000.0, fleet.ledger.clone());
    // Without a membership: each knows its settings and its own answers.
    for member in 0..MEMBERS {
        fleet.start_as(member, "{}\n");
    }
    fleet.until("all are ready", Duration::from_secs(30), |fleet| {
        (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving")
    });
    let clients: Vec<Clients> = (0..MEMBERS)
        .map(|member| {
            Clients::with_id_prefix(
                &format!("f{member}"),
                1,
                fleet.listen[member],
                pause,
                fleet.ledger.clone(),
            )
        })
        .collect();
    // The outage is seen by all before it ends: the order is forced by what they say of themselves.
    std::thread::sleep(Duration::from_secs(3));
    *door.lock().unwrap() = Door::Failing;
    fleet.until("most avoid it", Duration::from_secs(30), |fleet| {
        let avoids = |member: &usize| fleet.get_json(*member, "/ops/stats")["ejected"].as_u64() >= Some(1);
        (0..MEMBERS).filter(avoids).count() >= MEMBERS * 9 / 10
    });
    *door.lock().unwrap() = Door::Cold(Instant::now());
    std::thread::sleep(Duration::from_secs(7));
    clients.into_iter().for_each(Clients::stop);
    let calls = calls.lock().unwrap().clone();
    let (share, from, count) = worst(&calls);
    println!("seed {seed}: {} calls in 7 s, at the most {count} in a window from {from:.2} s: {share:.2} of what may be", calls.len());
    assert!(calls.len() >= 10, "it is found again: {} calls", calls.len());
    assert!(
        share <= 1.0,
        "{count} calls in a window from {from:.2} s: {share:.2} of the budget with its chance"
    );
}

#[test]
fn twenty_that_know_nothing_of_each_other_keep_the_sum_within_a_cold_budget() {
    // Asked for less than the limit, and for more than it: parts by what each is asked for would add up to more than the budget.
    for (seed, pause_ms) in [(3, 300), (3, 60), (4, 60)] {
        play(seed, Duration::from_millis(pause_ms));
    }
}
