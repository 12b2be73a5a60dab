//! Endpoints that send an answer twice. An answer on a connection belongs to a call only if it cannot be a copy
//! of an earlier one: otherwise rejected messages count as delivered, and delivered ones are sent again.

mod support;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::byhand::*;
use support::copies::{CopyMoment, CopyingEndpoints};
use support::fleet::{Fleet, Plan};
use support::load::{serve_platform, Clients, Shared, MESSAGE_TIME};
use support::Stage;

/// Answers of an endpoint to the calls before the one under which a copy arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bodies {
    Distinct,
    Equal,
}

/// One process and an endpoint; the test writes each answer.
struct Exchange {
    stage: Stage,
    ledger: Shared,
    listener: TcpListener,
    bodies: Bodies,
    /// The connection of the latest call.
    connection: Option<TcpStream>,
    /// The answers on it, in order.
    answers: Vec<String>,
    /// The answers on the connection before it.
    old_answers: Vec<String>,
    calls: usize,
}

impl Exchange {
    fn start(name: &str, bodies: Bodies) -> Exchange {
        let mut stage = Stage::new(name);
        let ledger = Shared::default();
        serve_platform(stage.listener("platform"), ledger.clone());
        stage.start();
        let listener = stage.listener("s2");
        Exchange {
            stage,
            ledger,
            listener,
            bodies,
            connection: None,
            answers: Vec::new(),
            old_answers: Vec::new(),
            calls: 0,
        }
    }

    fn submit(&self, id: &str, class: &str) {
        assert_eq!(submit(&self.stage, &request(id, class, 2, 30.0, "pay")), 202, "{}", self.stage.log());
    }

    /// Whether the forwarder has sent anything on the connection of the latest call.
    fn has_call_on_old_connection(&self) -> bool {
        let Some(connection) = &self.connection else { return false };
        connection.set_nonblocking(true).unwrap();
        let found = connection.peek(&mut [0]).is_ok_and(|count| count > 0);
        connection.set_nonblocking(false).unwrap();
        found
    }

    /// Waits for the next call, on the old connection or on a new one. Returns the connection that the call
    /// before it was on, if the call has another one.
    fn next_call(&mut self, id: &str) -> Option<TcpStream> {
        let (mut old, mut call) = (None, String::new());
        until("no further call arrives", || {
            if self.has_call_on_old_connection() {
                call = message(self.connection.as_mut().unwrap());
            } else if let Some(mut new) = try_accept(&self.listener) {
                call = message(&mut new);
                old = self.connection.replace(new);
                self.old_answers = std::mem::take(&mut self.answers);
            }
            !call.is_empty()
        });
        assert!(call.contains(&format!("Request-Id: {id}\r\n")), "{call}\n{}", self.stage.log());
        self.calls += 1;
        old
    }

    /// Answers the latest call; returns the answer.
    fn answer(&mut self, status: &str) -> String {
        let body = match self.bodies {
            Bodies::Distinct if status.starts_with("200") => format!("{:016x}", self.calls),
            Bodies::Distinct | Bodies::Equal => String::new(),
        };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.connection.as_mut().unwrap().write_all(answer.as_bytes()).unwrap();
        self.answers.push(answer.clone());
        answer
    }

    fn until_ended(&self, id: &str) {
        until("the message does not end", || open_message(&self.stage, id).is_null());
    }

    fn deliver(&mut self, id: &str, class: &str) {
        self.submit(id, class);
        self.next_call(id);
        self.answer("200 OK");
        self.until_ended(id);
    }

    /// Writes a copy of an answer where the call before the latest one was, and waits until it has been read.
    fn copy(&mut self, old: Option<TcpStream>, answer: &str) {
        let mut connection = old.unwrap_or_else(|| self.connection.as_ref().unwrap().try_clone().unwrap());
        // The forwarder may have closed the connection.
        let _ = connection.write_all(answer.as_bytes());
        wait_until_input_read(&self.stage);
    }

    fn reports(&self, id: &str) -> Vec<String> {
        self.ledger.lock().unwrap().reports.get(id).cloned().unwrap_or_default()
    }

    /// Checks that the message is recorded as delivered, and that no further call is made.
    fn assert_delivered(&mut self, id: &str, class: &str, what: &str) {
        self.until_ended(id);
        assert_eq!(self.reports(id), Vec::<String>::new(), "{what}");
        assert_eq!(submit(&self.stage, &request(id, class, 2, 30.0, "pay")), 200, "{what}");
        let called = self.has_call_on_old_connection() || try_accept(&self.listener).is_some();
        assert!(!called, "{what}: called again\n{}", self.stage.log());
    }
}

const CASES: [(&str, Bodies, usize); 10] = [
    ("payment", Bodies::Distinct, 0),
    ("payment", Bodies::Distinct, 1),
    ("payment", Bodies::Distinct, 4),
    ("payment", Bodies::Equal, 0),
    ("payment", Bodies::Equal, 4),
    ("note", Bodies::Distinct, 0),
    ("note", Bodies::Distinct, 4),
    ("note", Bodies::Equal, 4),
    ("episode", Bodies::Distinct, 4),
    ("episode", Bodies::Equal, 4),
];

/// Guards against taking a copy of an earlier 200 for the answer to the next call: its rejected message was
/// neither delivered nor reported.
#[test]
fn copy_of_a_delivery_under_the_next_call_does_not_lose_its_message() {
    for (class, bodies, deliveries_before) in CASES {
        for which in [Which::Latest, Which::First] {
            let what = format!("{class}, {bodies:?}, {deliveries_before} before, {which:?}");
            let mut exchange = Exchange::start("stale-delivery", bodies);
            for number in 0..=deliveries_before {
                exchange.deliver(&format!("a{number}"), class);
            }
            exchange.submit("b", class);
            let old = exchange.next_call("b");
            let answers = if old.is_some() { &exchange.old_answers } else { &exchange.answers };
            let copied = which.of(answers);
            exchange.copy(old, &copied);
            exchange.answer("503 Busy");
            exchange.next_call("b");
            exchange.answer("200 OK");
            exchange.assert_delivered("b", class, &what);
        }
    }
}

/// Guards against taking a copy of an earlier rejection for the answer to the next call: its delivered message
/// was sent again.
#[test]
fn copy_of_a_rejection_under_the_next_call_does_not_repeat_its_message() {
    for (class, bodies, deliveries_before) in CASES {
        let what = format!("{class}, {bodies:?}, {deliveries_before} before");
        let mut exchange = Exchange::start("stale-rejection", bodies);
        for number in 0..deliveries_before {
            exchange.deliver(&format!("a{number}"), class);
        }
        exchange.submit("b", class);
        exchange.next_call("b");
        let rejection = exchange.answer("503 Busy");
        let old = exchange.next_call("b");
        exchange.copy(old, &rejection);
        exchange.answer("200 OK");
        exchange.assert_delivered("b", class, &what);
    }
}

/// Which of the earlier answers is copied.
#[derive(Clone, Copy, Debug)]
enum Which {
    Latest,
    First,
}

impl Which {
    fn of(self, answers: &[String]) -> String {
        match self {
            Which::Latest => answers.last(),
            Which::First => answers.first(),
        }
        .unwrap()
        .clone()
    }
}

const MEMBERS: usize = 3;
const CLIENTS_PER_MEMBER: u64 = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
const TRAFFIC_TIME: Duration = Duration::from_secs(5);
/// After its time a message has been delivered or reported within this time (the protocol page).
const REPORT_GRACE: Duration = Duration::from_millis(350);

/// Plays traffic of all classes through three processes to two endpoints that send each answer twice, and checks
/// the records of endpoints, clients and platform.
fn play_copies(name: &str, moment: CopyMoment, distinct_bodies: bool) {
    let plan = Plan { members: MEMBERS, siblings: MEMBERS, known: true, ..Plan::default() };
    let mut fleet = Fleet::new(name, plan);
    let endpoints = CopyingEndpoints::new(moment, distinct_bodies, fleet.ledger.clone());
    for number in [2, 3] {
        endpoints.serve(fleet.endpoint_listener(number), number as u64);
    }
    (0..MEMBERS).for_each(|member| drop(fleet.start_as(member, "log: {level: info}\n")));
    fleet.until("all processes are ready", Duration::from_secs(30), |fleet| {
        (0..MEMBERS).all(|member| fleet.get_json(member, "/ops/stats")["stage"] == "serving")
    });
    let start_clients = |member: usize| {
        let (prefix, at) = (format!("f{member}-"), fleet.listen[member]);
        let classes = &["note", "payment", "episode", "payment"];
        Clients::with_classes(classes, &prefix, CLIENTS_PER_MEMBER, at, CLIENT_PAUSE, fleet.ledger.clone())
    };
    let clients: Vec<Clients> = (0..MEMBERS).map(start_clients).collect();
    std::thread::sleep(TRAFFIC_TIME);
    clients.into_iter().for_each(Clients::stop);
    let stopped = Instant::now();
    let all_ended = || {
        let ledger = fleet.ledger.lock().unwrap();
        ledger.accepted.keys().all(|id| ledger.delivered.contains_key(id) || ledger.reports.contains_key(id))
    };
    while !all_ended() && stopped.elapsed() < MESSAGE_TIME + REPORT_GRACE {
        std::thread::sleep(Duration::from_millis(50));
    }
    let logs: Vec<String> = (0..MEMBERS).map(|member| fleet.log(member)).collect();
    let observed = endpoints.observed.lock().unwrap();
    let ledger = fleet.ledger.lock().unwrap();
    println!(
        "{name}: {} accepted, {} delivered, {} reported, {} copies under calls",
        ledger.accepted.len(),
        ledger.delivered.len(),
        ledger.reports.len(),
        observed.copies_under_calls
    );
    assert!(ledger.delivered.len() > 100, "too little was played\n{}", logs.join("\n"));
    assert_eq!(observed.second_attempts, Vec::<String>::new(), "a second attempt while one was out");
    ledger.check_outcomes(&logs.join("\n"));
}

/// Guards against the incident of report f4eb50: lost and repeated messages while endpoints send each answer
/// twice, the second time under the next call.
#[test]
fn answers_copied_under_the_next_call_lose_and_repeat_nothing() {
    play_copies("copies-under-calls", CopyMoment::UnderTheNextCall, true);
}

/// The same where all answers of an endpoint are equal.
#[test]
fn equal_answers_copied_under_the_next_call_lose_and_repeat_nothing() {
    play_copies("equal-copies", CopyMoment::UnderTheNextCall, false);
}

/// The same where the copy comes some milliseconds after the answer.
#[test]
fn answers_copied_some_milliseconds_later_lose_and_repeat_nothing() {
    play_copies("late-copies", CopyMoment::AfterTheAnswer, true);
}
