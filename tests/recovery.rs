//! Three processes and a destination that comes back from an outage with a part of its capacity, on real
//! sockets, with upgrades under way: the calls that arrive are counted at the destination.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::byhand::request;
use support::fleet::{Fleet, Plan};
use support::load;
use support::partner::{Fault, Partner, SlowStart};

const MEMBERS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(30);
const SLOW_START: SlowStart = SlowStart { capacity_per_s: 10.0 };
/// Messages that wait at each process when the destination comes back.
const BACKLOG: usize = 25;
/// Longer than any pause between two served calls that is not taken for an outage.
const OUTAGE: Duration = Duration::from_secs(3);
/// How long the slow start is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// The fleet and the destination, with kept connections that have carried calls.
struct Site {
    fleet: Fleet,
    partner: Partner,
    next: usize,
}

impl Site {
    fn start(name: &str) -> Site {
        let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, ..Plan::default() };
        let mut fleet = Fleet::new(name, plan);
        let partner = Partner::start(vec![fleet.endpoint_listener(2)]);
        for member in 0..MEMBERS {
            fleet.start_as(member, "log: {level: debug}\n");
        }
        fleet.until("all processes are ready", TIMEOUT, |fleet| {
            (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving")
        });
        let mut site = Site { fleet, partner, next: 0 };
        for member in 0..MEMBERS {
            for served in 1..=3 {
                site.submit(member, 60.0);
                site.wait(member, "a first call is served", |partner, sender| {
                    partner.served(sender) == served
                });
            }
        }
        site
    }

    /// Submits a message that is accepted.
    fn submit(&mut self, member: usize, seconds: f64) {
        self.next += 1;
        let text = request(&format!("f{member}-{}", self.next), "note", 2, seconds, "hello");
        let mut stream = TcpStream::connect(self.fleet.listen[member]).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let (status, ..) = load::message(&mut BufReader::new(stream)).expect("an answer");
        assert!(status.contains(" 202 "), "{status}\n{}", self.fleet.log(member));
    }

    fn wait(&self, member: usize, what: &str, holds: impl Fn(&Partner, &str) -> bool) {
        let sender = format!("f{member}");
        let begun = Instant::now();
        while !holds(&self.partner, &sender) {
            assert!(begun.elapsed() < TIMEOUT, "{sender}: {what}\n{}", self.fleet.log(member));
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn submit_backlog(&mut self) {
        for member in 0..MEMBERS {
            (0..BACKLOG).for_each(|_| self.submit(member, 60.0));
        }
    }

    /// Replaces a process by a successor, which takes over its state.
    fn upgrade(&mut self, member: usize) {
        let followed = self.fleet.log(member).matches("this process has followed").count();
        let mut before = self.fleet.start_as(member, "log: {level: debug}\n").unwrap();
        self.fleet.until("the successor has followed", TIMEOUT, |fleet| {
            fleet.log(member).matches("this process has followed").count() > followed
        });
        before.signal("-TERM");
        assert_eq!(before.wait().unwrap().code(), Some(0), "{}", self.fleet.log(member));
    }

    /// Ends the outage once it has lasted long enough.
    fn recover(&self) {
        while self.partner.unserved_for() < OUTAGE {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.partner.recover();
    }

    /// Checks the calls of the slow start that has just begun.
    fn check_slow_start(&self, what: &str) {
        std::thread::sleep(WATCHED);
        let window = self.partner.fullest_window(&SLOW_START);
        println!("{what}: {} calls in {WATCHED:?}; {window:.2?}", self.partner.arrived());
        assert!(
            self.partner.senders().len() == MEMBERS,
            "each process calls again: {:?}\n{}",
            self.partner.senders(),
            self.fleet.log(1)
        );
        let logs: Vec<String> = (0..MEMBERS).map(|member| circuit_lines(&self.fleet.log(member))).collect();
        assert!(window.calls as f64 <= window.allowed, "{what}: {window:.2?}\n{}", logs.join("\n"));
    }
}

/// The lines of a log that tell of circuits and upgrades.
fn circuit_lines(log: &str) -> String {
    let words = ["endpoint ", "destination ", "upgrade"];
    let told =
        log.lines().filter(|line| line.contains(" INFO ") && words.iter().any(|word| line.contains(word)));
    told.collect::<Vec<_>>().join("\n")
}

/// Guards against the incident of 2026-12-03: a call on an idle connection timed out as the outage began, and
/// the first call that was served afterwards, on a new connection, ended the slow start at once.
#[test]
fn first_served_call_after_a_timeout_on_an_idle_connection_begins_a_slow_start() {
    let mut site = Site::start("recovery-idle");
    site.partner.fail(Fault::Hold);
    for member in 0..MEMBERS {
        // The first call takes the idle connection, the second a new one, and ends before the first.
        site.submit(member, 1.4);
        site.wait(member, "a call on the idle connection", |partner, sender| partner.holding(sender) == 1);
        site.submit(member, 1.0);
        site.wait(member, "a call on a new connection", |partner, sender| partner.holding(sender) == 2);
    }
    for member in 0..MEMBERS {
        site.wait(member, "both calls time out", |partner, sender| partner.failed(sender) == 2);
    }
    site.submit_backlog();
    for member in 0..MEMBERS {
        site.wait(member, "a trial call is out", |partner, sender| partner.holding(sender) >= 1);
    }
    site.upgrade(0);
    site.recover();
    site.check_slow_start("timeout on an idle connection");
}

/// Each process is told of the outage by one message, which is given up within it; then nothing is submitted
/// until the destination is back, and a burst right after.
fn check_burst_after_one_failed_message(fault: Fault) {
    let mut site = Site::start(&format!("recovery-{fault:?}"));
    site.partner.fail(fault);
    for member in 0..MEMBERS {
        site.submit(member, 0.3);
        site.wait(member, "a call fails", |partner, sender| partner.failed(sender) >= 1);
    }
    site.upgrade(0);
    site.recover();
    site.submit_backlog();
    site.check_slow_start(&format!("{fault:?}"));
}

// Guard against a finding beside the incident of 2026-12-03: a forwarder that had seen too few failures to open
// a circuit had no budget at all when the destination came back.

#[test]
fn burst_after_one_message_met_an_error_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Error);
}

#[test]
fn burst_after_one_message_was_rejected_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Reject);
}

#[test]
fn burst_after_one_message_was_reset_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Reset);
}

#[test]
fn burst_after_one_message_met_a_full_connection_table_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::ConnectionLimit);
}

#[test]
fn burst_after_one_message_met_a_malformed_answer_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Malformed);
}

#[test]
fn burst_after_one_message_was_refused_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Refuse);
}

#[test]
fn burst_after_one_message_got_no_answer_keeps_within_the_budget() {
    check_burst_after_one_failed_message(Fault::Hold);
}
