//! Restarts of the real program: two kills in a row, under load and before the first start is ready; thirty
//! processes that start at once with journals while discovery is silent; and a start with a full journal.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::byhand::{open_message, request, submit, until};
use support::discovery::Mode;
use support::fleet::{Fleet, Plan};
use support::load::{self, serve_endpoint, serve_platform, Clients, Shared};
use support::Stage;

/// Kills of `two_kills_in_a_row_...`.
const KILLS: usize = 6;
/// `callsOut` of `support/config.json`. No call of that test carries more than one message.
const CALLS_IN_FLIGHT: usize = 6;

#[test]
fn two_kills_in_a_row_leave_one_outcome_per_message_and_no_duplicate_payment() {
    let mut stage = Stage::new("two-kills");
    stage.write_operators_file("{}");
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    for (name, slow) in [("s1", 2), ("s2", 30), ("s3", 60)] {
        serve_endpoint(stage.listener(name), slow, ledger.clone());
    }
    stage.start();
    let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
    let accepted = || ledger.lock().unwrap().accepted.len();
    for round in 1..=KILLS / 2 {
        until("too few messages are accepted", || accepted() > 25 * round);
        ledger.lock().unwrap().record_kill("");
        stage.kill();
        // The second kill comes while the first start reads its journal, rewrites it, or has just begun to
        // listen.
        stage.start_without_waiting();
        std::thread::sleep(Duration::from_millis(4 * round as u64));
        ledger.lock().unwrap().record_kill("");
        stage.kill();
        stage.start();
    }
    until("messages are accepted again", || accepted() > 100);
    clients.stop();
    let outstanding = || {
        let (_, body) = load::ask(stage.ops, "GET", "/ops/stats", "", "").ok()?;
        serde_json::from_str::<serde_json::Value>(&body).ok()?["outstanding"].as_u64()
    };
    let begun = Instant::now();
    while outstanding() != Some(0) {
        assert!(begun.elapsed() < Duration::from_secs(40), "held messages have no outcome");
        std::thread::sleep(Duration::from_millis(20));
    }
    until("each message is delivered or reported", || {
        let ledger = ledger.lock().unwrap();
        let ended = |id: &String| ledger.delivered.contains_key(id) || ledger.reports.contains_key(id);
        ledger.accepted.keys().all(ended)
    });
    // A kill between an answer and its record gives a message two outcomes; at most the calls in flight at
    // each kill.
    let ledger = ledger.lock().unwrap();
    assert!(ledger.check_outcomes(&stage.log()) <= KILLS * CALLS_IN_FLIGHT);
    let doubled = ledger.delivered_and_reported();
    assert!(doubled.is_empty(), "two outcomes: {doubled:#?}");
}

const MEMBERS: usize = 30;

/// Thirty forwarders, each with a cached list and messages that were never tried, are killed and started at
/// once while discovery is silent. All are ready within the ten seconds that operators allow, the held
/// messages are tried, and no forwarder rejects clients' messages without an attempt.
#[test]
fn thirty_simultaneous_restarts_with_silent_discovery_are_ready_in_time_and_try_held_messages() {
    let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, seed: 51, ..Plan::default() };
    let mut fleet = Fleet::new("thirty-silent", plan);
    let closed = Arc::new(AtomicBool::new(true));
    let (rejecting, ledger) = (closed.clone(), fleet.ledger.clone());
    load::serve(fleet.endpoint_listener(2), move |_, headers: &BTreeMap<String, String>, _| {
        // At first each call is answered with a retry-after: no message runs, and those queued behind it are
        // never tried.
        if rejecting.load(SeqCst) {
            return "HTTP/1.1 429 Full\r\nX-RateLimit-Wait-Ms: 30000\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let mut ledger = ledger.lock().unwrap();
        *ledger.effects.entry(headers["request-id"].clone()).or_default() += 1;
        "HTTP/1.1 200 OK\r\nServer-Load: x0=0.9,x1=300\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    let start_all = |fleet: &mut Fleet| (0..MEMBERS).for_each(|member| drop(fleet.start_as(member, "{}\n")));
    let serving =
        |fleet: &Fleet| (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving");
    start_all(&mut fleet);
    fleet.until("all serve", Duration::from_secs(30), serving);
    let note = |id: &str| request(id, "note", 2, 40.0, "held");
    let submit_at = |fleet: &Fleet, member: usize, id: &str| {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(fleet.listen[member]).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(note(id).as_bytes()).unwrap();
        support::byhand::status(&support::byhand::message(&mut stream))
    };
    for member in 0..MEMBERS {
        assert_eq!(submit_at(&fleet, member, &format!("first-{member}")), 202);
        fleet.until("the first call was rejected", Duration::from_secs(20), |fleet| {
            fleet.get_json(member, "/ops/stats")["forwards"].as_u64() >= Some(1)
        });
        for number in 0..5 {
            assert_eq!(submit_at(&fleet, member, &format!("held-{member}-{number}")), 202);
        }
    }
    fleet.discovery.set_mode(Mode::Silent);
    closed.store(false, SeqCst);
    (0..MEMBERS).for_each(|member| fleet.kill(member));
    let begun = Instant::now();
    start_all(&mut fleet);
    fleet.until("all serve again", Duration::from_secs(30), serving);
    let ready = begun.elapsed();
    assert!(ready < Duration::from_secs(10), "ready after {ready:?}");
    // Each forwarder serves: it tries a new message within 4 s and the duration of its start.
    for member in 0..MEMBERS {
        assert_eq!(submit_at(&fleet, member, &format!("new-{member}")), 202, "{}", fleet.log(member));
    }
    let tried = |fleet: &Fleet, what: &str| {
        let ledger = fleet.ledger.lock().unwrap();
        ledger.effects.keys().filter(|id| id.starts_with(what)).count()
    };
    fleet.until("all held messages are tried", Duration::from_secs(30), |fleet| {
        tried(fleet, "held-") == 5 * MEMBERS
            && tried(fleet, "new-") == MEMBERS
            && tried(fleet, "first-") == MEMBERS
    });
    let ledger = fleet.ledger.lock().unwrap();
    assert!(ledger.effects.values().all(|&count| count == 1), "each message takes effect once");
    assert!(ledger.reports.is_empty(), "no message is given up: {:?}", ledger.reports);
}

/// A real process whose journal holds nearly as many messages as its table: messages that were recovered
/// untried are not given up in favour of later submissions. (`admission` describes the failure, and tests it
/// without I/O.)
#[test]
fn restart_with_a_full_journal_delivers_recovered_messages_despite_new_submissions() {
    let mut stage = Stage::new("full-journal");
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    let open = Arc::new(AtomicBool::new(false));
    let (served, effects) = (open.clone(), ledger.clone());
    load::serve(stage.listener("s2"), move |_, headers: &BTreeMap<String, String>, _| {
        if !served.load(SeqCst) {
            return "HTTP/1.1 429 Full\r\nX-RateLimit-Wait-Ms: 2000\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        *effects.lock().unwrap().effects.entry(headers["request-id"].clone()).or_default() += 1;
        "HTTP/1.1 200 OK\r\nServer-Load: x0=0.9,x1=300\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    stage.start();
    // Their deadlines are short: all later messages are worth more. Of the table's 40 messages a tenant may
    // have 39.
    assert_eq!(submit(&stage, &request("first", "payment", 2, 25.0, "x")), 202);
    until("the retry-after has arrived", || {
        open_message(&stage, "first")["state"] == "held" && open_message(&stage, "first")["attempts"] == 1
    });
    let held: Vec<String> = (0..35).map(|number| format!("held-{number}")).collect();
    for id in &held {
        assert_eq!(submit(&stage, &request(id, "payment", 2, 25.0, "x")), 202, "{}", stage.log());
    }
    stage.kill();
    stage.start();
    // The first call gets a retry-after once more, so that no message is sent while the submissions arrive.
    let mut rejected = 0;
    for number in 0..60 {
        let status = submit(&stage, &request(&format!("new-{number}"), "payment", 2, 60.0, "x"));
        assert!(status == 202 || status == 503 || status == 429, "{status}");
        rejected += usize::from(status != 202);
    }
    assert!(rejected >= 20, "the table did not become full: {rejected}");
    open.store(true, SeqCst);
    let delivered = |id: &String| ledger.lock().unwrap().effects.contains_key(id);
    until("all recovered messages have their outcomes", || {
        held.iter().all(|id| delivered(id) || ledger.lock().unwrap().reports.contains_key(id))
    });
    let given_up: Vec<&String> = held.iter().filter(|id| !delivered(id)).collect();
    assert!(given_up.is_empty(), "never sent: {given_up:?}");
    assert!(
        ledger.lock().unwrap().effects.values().all(|&count| count == 1),
        "each message takes effect once"
    );
}
