//! Restarts of the real program: two kills in a row, under load and before the first start is ready, and thirty processes that start
//! in one moment with journals while discovery is silent.

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

#[test]
fn two_kills_in_a_row_leave_each_message_its_end_and_no_payment_twice() {
    let mut stage = Stage::new("two-kills");
    stage.write_operators_file("{}");
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    for (name, slow) in [("s1", 2), ("s2", 30), ("s3", 60)] {
        serve_endpoint(stage.listener(name), slow, ledger.clone());
    }
    stage.start();
    let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
    let taken = || ledger.lock().unwrap().accepted.len();
    for round in 1..=3 {
        until("too little is taken on", || taken() > 25 * round);
        ledger.lock().unwrap().record_kill("");
        stage.kill();
        // The second kill comes while the first start reads its journal, writes it anew, or has just begun to listen.
        stage.start_without_waiting();
        std::thread::sleep(Duration::from_millis(4 * round as u64));
        ledger.lock().unwrap().record_kill("");
        stage.kill();
        stage.start();
    }
    until("it takes on again", || taken() > 100);
    clients.stop();
    let outstanding = || {
        let (_, body) = load::ask(stage.ops, "GET", "/ops/stats", "", "").ok()?;
        serde_json::from_str::<serde_json::Value>(&body).ok()?["outstanding"].as_u64()
    };
    let begun = Instant::now();
    while outstanding() != Some(0) {
        assert!(begun.elapsed() < Duration::from_secs(40), "what is held has no end");
        std::thread::sleep(Duration::from_millis(20));
    }
    until("each has its end, told or delivered", || {
        let ledger = ledger.lock().unwrap();
        let ended = |id: &String| ledger.delivered.contains_key(id) || ledger.reports.contains_key(id);
        ledger.accepted.keys().all(ended)
    });
    // Killed between an answer and its record, some have two ends; at most what was out at three kills.
    let ledger = ledger.lock().unwrap();
    assert!(ledger.check_outcomes(&stage.log()) <= 3 * 6);
    let doubled = ledger.delivered_and_reported();
    assert!(doubled.is_empty(), "two outcomes: {doubled:#?}");
}

const MEMBERS: usize = 30;

/// Thirty, each with a list from before and messages that never ran, are killed and start in one moment; discovery is silent. All are
/// ready within the ten seconds that staff allow, what they held is tried, and none turns clients away without an attempt.
#[test]
fn thirty_that_start_together_while_discovery_is_silent_are_ready_soon_and_try_what_they_hold() {
    let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, seed: 51, ..Plan::default() };
    let mut fleet = Fleet::new("thirty-silent", plan);
    let closed = Arc::new(AtomicBool::new(true));
    let (shut, seen) = (closed.clone(), fleet.ledger.clone());
    load::serve(fleet.endpoint_listener(2), move |_, headers: &BTreeMap<String, String>, _| {
        // At first each call is told to wait: nothing runs, and all that comes behind it is never tried.
        if shut.load(SeqCst) {
            return "HTTP/1.1 429 Full\r\nX-RateLimit-Wait-Ms: 30000\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let mut ledger = seen.lock().unwrap();
        *ledger.effects.entry(headers["request-id"].clone()).or_default() += 1;
        "HTTP/1.1 200 OK\r\nServer-Load: x0=0.9,x1=300\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    let all = |fleet: &mut Fleet| (0..MEMBERS).for_each(|member| drop(fleet.start_as(member, "{}\n")));
    let serving =
        |fleet: &Fleet| (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving");
    all(&mut fleet);
    fleet.until("all serve", Duration::from_secs(30), serving);
    let note = |id: &str| request(id, "note", 2, 40.0, "held");
    let hand_in_at = |fleet: &Fleet, member: usize, id: &str| {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(fleet.listen[member]).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(note(id).as_bytes()).unwrap();
        support::byhand::status(&support::byhand::message(&mut stream))
    };
    for member in 0..MEMBERS {
        assert_eq!(hand_in_at(&fleet, member, &format!("first-{member}")), 202);
        fleet.until("it was turned away", Duration::from_secs(20), |fleet| {
            fleet.get_json(member, "/ops/stats")["forwards"].as_u64() >= Some(1)
        });
        for number in 0..5 {
            assert_eq!(hand_in_at(&fleet, member, &format!("held-{member}-{number}")), 202);
        }
    }
    fleet.discovery.set_mode(Mode::Silent);
    closed.store(false, SeqCst);
    (0..MEMBERS).for_each(|member| fleet.kill(member));
    let begun = Instant::now();
    all(&mut fleet);
    fleet.until("all serve again", Duration::from_secs(30), serving);
    let ready = begun.elapsed();
    assert!(ready < Duration::from_secs(10), "ready after {ready:?}");
    // None serves nobody: each tries what it is given within 4 s and what the start takes.
    for member in 0..MEMBERS {
        assert_eq!(hand_in_at(&fleet, member, &format!("new-{member}")), 202, "{}", fleet.log(member));
    }
    let tried = |fleet: &Fleet, what: &str| {
        let ledger = fleet.ledger.lock().unwrap();
        ledger.effects.keys().filter(|id| id.starts_with(what)).count()
    };
    fleet.until("all that was held is tried", Duration::from_secs(30), |fleet| {
        tried(fleet, "held-") == 5 * MEMBERS
            && tried(fleet, "new-") == MEMBERS
            && tried(fleet, "first-") == MEMBERS
    });
    let ledger = fleet.ledger.lock().unwrap();
    assert!(ledger.effects.values().all(|&count| count == 1), "each once");
    assert!(ledger.reports.is_empty(), "nothing is given up: {:?}", ledger.reports);
}

/// A real process whose journal is nearly as long as its table: what it recovered untried is not given up for the submissions that
/// come behind it. (`admission` has the story, and the same without I/O.)
#[test]
fn a_start_with_a_full_journal_delivers_all_of_it_while_it_is_asked_for_more() {
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
    // Short of time, they are late already: all that comes later is worth more. Of 40 places a tenant may have 39.
    assert_eq!(submit(&stage, &request("first", "payment", 2, 25.0, "x")), 202);
    until("the wait is told", || {
        open_message(&stage, "first")["state"] == "held" && open_message(&stage, "first")["attempts"] == 1
    });
    let held: Vec<String> = (0..35).map(|number| format!("held-{number}")).collect();
    for id in &held {
        assert_eq!(submit(&stage, &request(id, "payment", 2, 25.0, "x")), 202, "{}", stage.log());
    }
    stage.kill();
    stage.start();
    // The first call is told to wait once more, so that nothing goes while the submissions come.
    let mut rejected = 0;
    for number in 0..60 {
        let status = submit(&stage, &request(&format!("new-{number}"), "payment", 2, 60.0, "x"));
        assert!(status == 202 || status == 503 || status == 429, "{status}");
        rejected += usize::from(status != 202);
    }
    assert!(rejected >= 20, "the places did not run short: {rejected}");
    open.store(true, SeqCst);
    let delivered = |id: &String| ledger.lock().unwrap().effects.contains_key(id);
    until("all that was recovered has its end", || {
        held.iter().all(|id| delivered(id) || ledger.lock().unwrap().reports.contains_key(id))
    });
    let given_up: Vec<&String> = held.iter().filter(|id| !delivered(id)).collect();
    assert!(given_up.is_empty(), "never called for: {given_up:?}");
    assert!(ledger.lock().unwrap().effects.values().all(|&count| count == 1), "each once");
}
