//! A message that may have run before it was deferred goes on from there when its client submits it again under its id:
//! no attempt leaves outside the window that began with its first one, whatever happens in between.

mod common;
mod support;

use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Reply};
use cedarwharf::journal::{FinalOutcome, Journal, Record};
use cedarwharf::*;
use common::core::{call_in, core, reply_in, start_with, submission, upgraded, Folder};
use common::{ms, settings, KEYED};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::amqp::AmqpPeer;
use support::byhand::{request, submit, try_accept, until};
use support::config::ADMIN_SECTION;
use support::load::{serve_platform, Shared};
use support::Stage;

const DISK: u64 = 1 << 20;
const SENT_AT: u64 = 1_000;
const WINDOW_MS: u64 = 5_000;
const WINDOW_ENDS: u64 = SENT_AT + WINDOW_MS;

fn keyed(scope: KeyScope, window: u64) -> Effect {
    Effect::Keyed { scope, window: ms(window) }
}

fn core_with(effect: Effect) -> Core {
    let mut settings = settings();
    settings.classes[KEYED].effect = effect;
    settings.max_attempts = 1_000;
    core(settings)
}

fn core_without_class() -> Core {
    let mut settings = settings();
    settings.classes.truncate(KEYED);
    core(settings)
}

fn order(time_left: u64) -> Input {
    let Input::Submission(one) = submission("order", KEYED, 10) else { unreachable!() };
    Input::Submission(MessageSubmission { time_left: ms(time_left), ..one })
}

/// Submits the order, whose call is not answered in the order's time. Returns when the deferral is told.
fn defer(engine: &mut Engine) -> u64 {
    let call = call_in(&engine.step(ms(SENT_AT), [order(500)])).unwrap();
    engine.step(ms(SENT_AT + 1), [Input::Written(call)]);
    let report = |output: &Output| match output {
        Output::ReportOutcome { message, outcome, .. } => Some((*message, *outcome)),
        _ => None,
    };
    let mut now = SENT_AT + 1;
    let (message, outcome) = loop {
        now += 5;
        if let Some(ended) = engine.step(ms(now), []).iter().find_map(report) {
            break ended;
        }
    };
    assert!(matches!(outcome, FinalOutcome::Deferred(_)), "{outcome:?}");
    engine.step(ms(now), [Input::OutcomeReported(message)]);
    now
}

/// Plays on at an endpoint that breaks each call; returns the times at which calls were sent.
fn calls_until(engine: &mut Engine, from: u64, to: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    let mut next: Vec<Input> = Vec::new();
    for now in (from..to).step_by(10) {
        let outputs = engine.step(ms(now), std::mem::take(&mut next));
        if let Some(call) = call_in(&outputs) {
            sent.push(now);
            next = vec![Input::Written(call), Input::ConnectionFailed(call)];
        }
    }
    sent
}

/// Submits the order again at this time; returns the reply, and when it was sent from then on.
fn submit_again(engine: &mut Engine, now: u64) -> (Option<Reply>, Vec<u64>) {
    let outputs = engine.step(ms(now), [order(10_000)]);
    let reply = reply_in(&outputs);
    let mut sent = Vec::new();
    if let Some(call) = call_in(&outputs) {
        sent.push(now);
        engine.step(ms(now + 1), [Input::Written(call), Input::ConnectionFailed(call)]);
    }
    sent.extend(calls_until(engine, now + 10, now + 9_900));
    (reply, sent)
}

const WAYS: [&str; 8] = [
    "nothing",
    "restart",
    "two restarts",
    "upgrade",
    "restart and upgrade",
    "less disk",
    "class goes and returns",
    "change and undo",
];

fn play(mut engine: Engine, way: &str, folder: &Folder, core: &Core, now: u64) -> Engine {
    let restart = |engine: Engine| {
        drop(engine);
        start_with(core, folder, DISK, now)
    };
    match way {
        "nothing" => engine,
        "restart" => restart(engine),
        "two restarts" => restart(restart(engine)),
        "upgrade" => upgraded(engine, core, folder, DISK, now),
        "restart and upgrade" => upgraded(restart(engine), core, folder, DISK, now),
        "less disk" => {
            engine.check_disk_limit(2_000).unwrap();
            engine.set_disk_limit(2_000);
            engine.set_disk_limit(DISK);
            engine
        }
        "class goes and returns" | "change and undo" => {
            let other = if way == "change and undo" { core_with(Effect::Safe) } else { core_without_class() };
            for version in [&other, core] {
                engine.configure(version);
                engine.step(ms(now), []);
            }
            engine
        }
        _ => unreachable!(),
    }
}

/// A keyed message was told as deferred and submitted again within its window. Its earlier attempts were forgotten, so
/// that it was sent again after the window, and took effect a second time.
#[test]
fn deferred_message_that_comes_again_is_not_sent_outside_the_window_of_its_first_attempt() {
    let core = core_with(keyed(KeyScope::All, WINDOW_MS));
    for way in WAYS {
        for again_at in [3_600, 5_000, 6_100] {
            let folder = Folder::new("deferred");
            let mut engine = start_with(&core, &folder, DISK, SENT_AT);
            let now = defer(&mut engine);
            let mut engine = play(engine, way, &folder, &core, now + 10);
            let (reply, sent) = submit_again(&mut engine, again_at);
            let case = format!("{way}, again at {again_at}: {reply:?}, sent at {sent:?}");
            assert!(sent.iter().all(|at| *at < WINDOW_ENDS), "{case}");
            if again_at < WINDOW_ENDS {
                assert!(reply == Some(Reply::Accepted) && !sent.is_empty(), "{case}");
            } else {
                assert_eq!(reply, Some(Reply::AlreadyEnded(FinalOutcome::Undeliverable)), "{case}");
            }
        }
    }
}

/// The same where a process ends after it has accepted the message again, and where it is deferred more than once.
#[test]
fn message_accepted_again_keeps_its_window_across_processes_and_further_deferrals() {
    let core = core_with(keyed(KeyScope::All, WINDOW_MS));
    for way in WAYS {
        let folder = Folder::new("accepted-again");
        let mut engine = start_with(&core, &folder, DISK, SENT_AT);
        defer(&mut engine);
        let outputs = engine.step(ms(4_000), [order(700)]);
        assert_eq!(reply_in(&outputs), Some(Reply::Accepted));
        let mut engine = play(engine, way, &folder, &core, 4_010);
        let sent = calls_until(&mut engine, 4_020, 4_900);
        // It is deferred once more, at the end of its own time.
        assert!(engine.messages().all(|message| message.outcome.is_some()), "{way}");
        for message in engine.messages().map(|message| message.id).collect::<Vec<_>>() {
            assert_eq!(&message[..], b"order");
        }
        let reports: Vec<_> = (0..4).map(MessageId).map(Input::OutcomeReported).collect();
        engine.step(ms(4_900), reports);
        let (reply, later) = submit_again(&mut engine, 5_500);
        let case = format!("{way}: {reply:?}, sent at {sent:?} and {later:?}");
        assert!(sent.iter().chain(&later).all(|at| *at < WINDOW_ENDS), "{case}");
    }
}

/// The receivers have promised no more than under the effect of the first attempt, and no more than under that of the
/// class in force.
#[test]
fn deferred_message_goes_on_under_the_stricter_of_two_effects() {
    let long = keyed(KeyScope::All, 20_000);
    let all = keyed(KeyScope::All, WINDOW_MS);
    let elsewhere = keyed(KeyScope::Endpoint, 20_000);
    // The effects before and after, and until when the message may be sent again.
    let cases = [
        (all, long, WINDOW_ENDS),
        (long, all, WINDOW_ENDS),
        (all, Effect::Safe, WINDOW_ENDS),
        (Effect::Safe, all, WINDOW_ENDS),
        (all, elsewhere, WINDOW_ENDS),
        (all, Effect::Unsafe, 0),
        (Effect::Safe, Effect::Unsafe, 0),
        (Effect::Safe, Effect::Safe, u64::MAX),
    ];
    for (before, after, until) in cases {
        for restarted in [false, true] {
            let folder = Folder::new("stricter");
            let mut engine = start_with(&core_with(before), &folder, DISK, SENT_AT);
            let now = defer(&mut engine);
            if restarted {
                drop(engine);
                engine = start_with(&core_with(after), &folder, DISK, now);
            } else {
                engine.configure(&core_with(after));
                engine.step(ms(now), []);
            }
            let (reply, sent) = submit_again(&mut engine, 3_600);
            let case = format!("{before:?}, then {after:?}, restarted {restarted}: {reply:?}, {sent:?}");
            assert!(sent.iter().all(|at| *at < until), "{case}");
            if until == 0 {
                assert_eq!(reply, Some(Reply::AlreadyEnded(FinalOutcome::Undeliverable)), "{case}");
            } else {
                assert!(reply == Some(Reply::Accepted) && !sent.is_empty(), "{case}");
            }
        }
    }
}

/// Where a repeat is dropped by one endpoint alone, the message is told as undeliverable, and its repeat is answered.
#[test]
fn message_whose_repeats_one_endpoint_drops_is_not_accepted_again() {
    let folder = Folder::new("one-endpoint");
    let core = core_with(keyed(KeyScope::Endpoint, WINDOW_MS));
    let mut engine = start_with(&core, &folder, DISK, SENT_AT);
    let call = call_in(&engine.step(ms(SENT_AT), [order(500)])).unwrap();
    engine.step(ms(SENT_AT + 1), [Input::Written(call)]);
    for now in (SENT_AT + 2..SENT_AT + 600).step_by(5) {
        engine.step(ms(now), []);
    }
    let (reply, sent) = submit_again(&mut engine, 3_600);
    assert_eq!((reply, sent), (Some(Reply::AlreadyEnded(FinalOutcome::Undeliverable)), Vec::new()));
}

/// A deferred message that surely has not run begins anew.
#[test]
fn deferred_message_that_never_ran_is_accepted_as_a_new_one() {
    let folder = Folder::new("never-ran");
    let core = core_with(keyed(KeyScope::All, WINDOW_MS));
    let mut engine = start_with(&core, &folder, DISK, SENT_AT);
    let call = call_in(&engine.step(ms(SENT_AT), [order(500)])).unwrap();
    engine.step(ms(SENT_AT + 1), [Input::ConnectionFailed(call)]);
    for now in (SENT_AT + 2..SENT_AT + 3_000).step_by(5) {
        let outputs = engine.step(ms(now), []);
        if let Some(call) = call_in(&outputs) {
            engine.step(ms(now), [Input::ConnectionFailed(call)]);
        }
    }
    engine.step(ms(4_100), [Input::OutcomeReported(MessageId(0))]);
    let outputs = engine.step(ms(7_000), [order(10_000)]);
    assert_eq!(reply_in(&outputs), Some(Reply::Accepted), "after the window that its first attempt had");
    assert!(!calls_until(&mut engine, 7_010, 12_000).is_empty() || call_in(&outputs).is_some());
}

/// A journal of an earlier version does not tell whether a deferred message has run: it is not sent again.
#[test]
fn deferred_message_of_an_older_journal_is_not_sent_again() {
    let folder = Folder::new("older");
    let core = core_with(keyed(KeyScope::All, WINDOW_MS));
    let mut engine = start_with(&core, &folder, DISK, SENT_AT);
    let now = defer(&mut engine);
    drop(engine);
    drop(start_with(&core, &folder, DISK, now));
    let mut recovered = Journal::open(&folder.0, DISK);
    let mut remembered = 0;
    for record in &mut recovered.records {
        if let Record::Remembered { protected_until, .. } = record {
            *protected_until = None;
            remembered += 1;
        }
    }
    assert_eq!(remembered, 1);
    recovered.journal.claim();
    recovered.journal.compact(&recovered.records).unwrap();
    let mut engine = start_with(&core, &folder, DISK, now);
    let (reply, sent) = submit_again(&mut engine, 5_500);
    assert_eq!((reply, sent), (Some(Reply::AlreadyEnded(FinalOutcome::Undeliverable)), Vec::new()));
}

/// The window of the class in the tests with processes.
const WINDOW: Duration = Duration::from_millis(2_500);
/// Time limits are 50 ms longer on sockets, and 150 ms for a process that is held up.
const SLACK: Duration = Duration::from_millis(200);

/// Calls that an endpoint has read: the message's id and the time. It closes the connection of each without an answer.
type Calls = Arc<Mutex<Vec<(String, Instant)>>>;

fn serve_breaking(listener: TcpListener, calls: Calls) {
    std::thread::spawn(move || loop {
        match try_accept(&listener) {
            Some(mut stream) => {
                let head = support::byhand::message(&mut stream);
                let id = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
                calls.lock().unwrap().push((id.unwrap_or_default().to_owned(), Instant::now()));
            }
            None => std::thread::sleep(Duration::from_millis(2)),
        }
    });
}

fn sent_at(calls: &Calls, id: &str) -> Vec<Instant> {
    calls.lock().unwrap().iter().filter(|(sent, _)| sent == id).map(|(_, at)| *at).collect()
}

struct Publisher(AmqpPeer);

impl Publisher {
    fn connect(stage: &Stage) -> Publisher {
        let mut peer = AmqpPeer::connect(stage.amqp);
        peer.send_text("open acme-pub secret acme");
        peer.send_text("declare answers");
        peer.send_text("consume answers");
        Publisher(peer)
    }

    fn wait_for(&mut self, texts: &[&str]) -> String {
        loop {
            let heard = self.0.receive_text();
            assert!(!heard.contains("close") && !heard.contains("ended"), "{heard}");
            if texts.iter().any(|text| heard.contains(text)) {
                return heard;
            }
        }
    }
}

/// An order that came again over HTTP or AMQP, right after it was told as deferred, was sent outside its window: its
/// partner took it twice.
#[test]
fn order_that_comes_again_after_its_deferral_is_not_sent_outside_its_window() {
    let ways =
        ["nothing", "kill", "stop", "upgrade", "kill after it came again", "upgrade after it came again"];
    let stages = ways.map(|way| std::thread::spawn(move || play_orders(way)));
    for played in stages {
        played.join().unwrap();
    }
}

fn play_orders(way: &str) {
    let mut stage = Stage::new(&format!("orders-{}", way.replace(' ', "-")));
    let class =
        "{name: episode, effect: dedup, key_scope: all, window_ms: 2500, aim_ms: 500, deadline_ms: 60000}";
    stage.write_operators_file(&format!(
        "{ADMIN_SECTION}amqp: {{listen: AMQP, tenants: [{{tenant: acme, user: acme-pub, password: secret}}]}}\n\
        limits: {{max_attempts: 100}}\nclasses: [{class}]\n"
    ));
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    // Each order has a destination of its own: the calls of one would keep the other from being sent.
    let calls = Calls::default();
    for endpoint in ["s2", "s3"] {
        serve_breaking(stage.listener(endpoint), calls.clone());
    }
    stage.start();
    stage.wait_until_ready();
    let mut publisher = Publisher::connect(&stage);
    publisher.wait_for(&["consume-ok"]);
    assert_eq!(submit(&stage, &request("requested", "episode", 2, 0.7, "x")), 202);
    publisher.0.send_text("publish published episode 3 700 answers order");
    until("no deferral is told by HTTP", || ledger.lock().unwrap().reports.contains_key("requested"));
    let told = publisher.wait_for(&["basic.deliver"]);
    assert!(told.contains("deferred"), "{told}");
    let tag = told.split_whitespace().nth(2).unwrap().to_owned();
    publisher.0.send_text(&format!("ack {tag}"));
    if way != "nothing" && !way.contains("after") {
        change_process(&mut stage, way);
        publisher = Publisher::connect(&stage);
        publisher.wait_for(&["consume-ok"]);
    }
    let first: Vec<Instant> = ["requested", "published"].map(|id| sent_at(&calls, id)[0]).to_vec();
    // Both come again until they are accepted, or answered for good.
    let mut status = 0;
    until("the order is not accepted again", || {
        status = submit(&stage, &request("requested", "episode", 2, 50.0, "x"));
        status != 503
    });
    publisher.0.send_text("publish published episode 3 50000 answers order");
    publisher.wait_for(&["basic.ack", "basic.nack"]);
    if way.contains("after") {
        change_process(&mut stage, way);
    }
    // Long after the window, whatever was accepted has had the time to be sent.
    let end = first[1] + 2 * WINDOW + Duration::from_secs(1);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    for (id, first) in ["requested", "published"].into_iter().zip(first) {
        let sent = sent_at(&calls, id);
        let late = sent.iter().map(|at| at.duration_since(first)).find(|after| *after > WINDOW + SLACK);
        assert_eq!(late, None, "{way}: {id} was sent {} times\n{}", sent.len(), stage.log());
    }
}

fn change_process(stage: &mut Stage, way: &str) {
    match way.split(' ').next().unwrap() {
        "kill" => {
            stage.kill();
            stage.start();
        }
        "stop" => {
            stage.signal("-TERM");
            stage.wait_for_exit();
            stage.start();
        }
        _ => {
            stage.upgrade();
        }
    }
    stage.wait_until_ready();
}
