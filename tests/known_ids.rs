//! A message whose client may still repeat it is not forgotten, so that its repeat takes no second effect: whatever
//! becomes of the limits, the classes and the tenants, in a running process, at a start and at an upgrade.

mod common;
mod support;

use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input, MessageSubmission, Reply};
use cedarwharf::journal::FinalOutcome;
use cedarwharf::*;
use common::core::{call_in, core, reply_in, start_with, submission, upgraded, Folder};
use common::{ms, settings, SAFE, UNSAFE};
use std::io::Write;
use support::amqp::AmqpPeer;
use support::byhand::{connect, message, request, status, submit, until, wait_until_input_read};
use support::config::{apply, number, post, ADMIN_SECTION};
use support::load::{ask, count_effects, serve_platform, Shared};
use support::Stage;

const DISK: u64 = 1 << 20;
/// Space for two dozen outcomes, and for a hundred that are protected.
const LESS_DISK: u64 = 20_000;
/// More outcomes than [`LESS_DISK`] has space for.
const OTHERS: usize = 40;

fn submission_for(tenant: usize, id: &str, class: usize, time_left: u64) -> Input {
    let Input::Submission(one) = submission(id, class, 10) else { unreachable!() };
    Input::Submission(MessageSubmission { tenant, time_left: ms(time_left), ..one })
}

/// Submits a message and answers its call; returns the time, as the call may have to wait.
fn deliver(engine: &mut Engine, now: u64, input: Input) -> u64 {
    let mut now = ms(now);
    let mut outputs = engine.step(now, [input]);
    assert_eq!(reply_in(&outputs), Some(Reply::Accepted));
    let call = loop {
        if let Some(call) = call_in(&outputs) {
            break call;
        }
        now = engine.next_due().expect("a wake-up").max(now);
        outputs = engine.step(now, []);
    };
    let results = vec![(0, AttemptOutcome::Delivered, true)];
    engine.step(now, [Input::Written(call), Input::Answered { call, results, wait: None }]);
    now.0 / 1_000 + 1
}

/// A payment and many other messages that have ended. Returns the time.
fn deliver_payment_and_others(engine: &mut Engine, now: u64, time_left: u64) -> u64 {
    let now = deliver(engine, now, submission_for(0, "payment", UNSAFE, time_left));
    (0..OTHERS).fold(now, |now, number| {
        deliver(engine, now, submission_for(0, &format!("other{number:04}"), SAFE, time_left))
    })
}

fn reply_to_repeat(engine: &mut Engine, now: u64) -> Option<Reply> {
    reply_in(&engine.step(ms(now), [submission_for(0, "payment", UNSAFE, 5_000)]))
}

const KNOWN: Option<Reply> = Some(Reply::AlreadyEnded(FinalOutcome::Delivered));

/// A lower disk limit evicted outcomes that every other eviction protects: a payment ran twice.
#[test]
fn lower_disk_limit_evicts_no_message_that_may_be_repeated() {
    for way in ["change", "change back", "restart", "upgrade"] {
        let folder = Folder::new("less-disk");
        let core = core(settings());
        let mut engine = start_with(&core, &folder, DISK, 1_000);
        if way == "change back" {
            engine.set_disk_limit(LESS_DISK);
            engine.set_disk_limit(DISK);
        }
        let now = deliver_payment_and_others(&mut engine, 1_000, 60_000);
        match way {
            "restart" => {
                drop(engine);
                engine = start_with(&core, &folder, LESS_DISK, now);
            }
            "upgrade" => engine = upgraded(engine, &core, &folder, LESS_DISK, now),
            _ => {
                engine.check_disk_limit(LESS_DISK).unwrap();
                engine.set_disk_limit(LESS_DISK);
            }
        }
        let now = deliver(&mut engine, now, submission_for(0, "after", SAFE, 5_000));
        assert_eq!(reply_to_repeat(&mut engine, now), KNOWN, "{way}");
    }
}

/// Guards against a limit that is accepted although the outcomes that must stay do not fit into it: nothing more could
/// be written.
#[test]
fn disk_limit_below_the_messages_that_may_be_repeated_is_refused() {
    let folder = Folder::new("too-little-disk");
    let mut engine = start_with(&core(settings()), &folder, DISK, 1_000);
    let now = deliver_payment_and_others(&mut engine, 1_000, 60_000);
    assert!(engine.check_disk_limit(LESS_DISK / 4).unwrap_err().contains("bytes are live"));
    // Once no client can repeat them, they make room.
    engine.step(ms(now + 130_000), []);
    engine.check_disk_limit(LESS_DISK / 4).unwrap();
}

/// Classes with a shorter time protected what was accepted under a longer one for too short a time.
#[test]
fn shorter_deadlines_evict_no_message_that_may_be_repeated() {
    let with_deadline = |deadline: u64| {
        let mut settings = settings();
        settings.classes.iter_mut().for_each(|class| class.deadline = ms(deadline));
        settings.classes.iter_mut().for_each(|class| class.target_time = ms(deadline / 2));
        core(settings)
    };
    let (long, short) = (with_deadline(60_000), with_deadline(100));
    for way in ["change", "restart", "upgrade", "change and restart"] {
        let folder = Folder::new("shorter");
        let mut engine = start_with(&long, &folder, LESS_DISK, 1_000);
        let now = deliver_payment_and_others(&mut engine, 1_000, 60_000);
        if way.starts_with("change") {
            engine.configure(&short);
            engine.step(ms(now), []);
        }
        match way {
            "change" => {}
            "upgrade" => engine = upgraded(engine, &short, &folder, LESS_DISK, now),
            _ => {
                drop(engine);
                engine = start_with(&short, &folder, LESS_DISK, now);
            }
        }
        let now = deliver(&mut engine, now + 1_000, submission_for(0, "after", SAFE, 5_000));
        assert!(now < 50_000, "the payment's time is over");
        assert_eq!(reply_to_repeat(&mut engine, now), KNOWN, "{way}");
    }
}

/// A message was forgotten two minutes after its end, also where its class gives it longer.
#[test]
fn message_of_a_class_with_a_long_deadline_is_known_for_as_long() {
    let mut settings = settings();
    settings.classes[UNSAFE].deadline = ms(600_000);
    let core = core(settings);
    for restarted in [false, true] {
        let folder = Folder::new("long-deadline");
        let mut engine = start_with(&core, &folder, DISK, 1_000);
        deliver_payment_and_others(&mut engine, 1_000, 600_000);
        if restarted {
            drop(engine);
            engine = start_with(&core, &folder, DISK, 200_000);
        }
        let now = deliver(&mut engine, 300_000, submission_for(0, "after", SAFE, 5_000));
        assert_eq!(reply_to_repeat(&mut engine, now), KNOWN, "restarted: {restarted}");
    }
}

/// The client's own time counts where it is longer than that of its class.
#[test]
fn message_whose_client_gives_it_longer_than_its_class_is_known_for_as_long() {
    let folder = Folder::new("own-time");
    let mut engine = start_with(&core(settings()), &folder, DISK, 1_000);
    let now = deliver_payment_and_others(&mut engine, 1_000, 60_000);
    engine.set_disk_limit(LESS_DISK);
    // The classes give 12 s.
    let now = deliver(&mut engine, now + 20_000, submission_for(0, "after", SAFE, 5_000));
    assert!(now < 50_000, "the payment's time is over");
    assert_eq!(reply_to_repeat(&mut engine, now), KNOWN);
}

/// A restart dropped the number of a tenant that was removed meanwhile. When its name came back it had another number,
/// under which its messages were not known.
#[test]
fn messages_of_a_tenant_that_goes_and_returns_are_known() {
    let with_tenants = |names: &[&str]| {
        let tenants = names.iter().map(|&name| name.to_owned()).collect();
        let settings = Settings { tenants: vec![1.0; names.len()], ..settings() };
        Core { tenants, ..core(settings) }
    };
    let (both, one) = (with_tenants(&["onda", "ria"]), with_tenants(&["ria"]));
    for (way, restarts) in [("change", 0), ("restart", 1), ("two restarts", 2)] {
        let folder = Folder::new("tenant-returns");
        let mut engine = start_with(&both, &folder, DISK, 1_000);
        let mut now = deliver(&mut engine, 1_000, submission_for(0, "payment", UNSAFE, 10_000));
        engine.configure(&one);
        engine.step(ms(now), []);
        for _ in 0..restarts {
            drop(engine);
            now += 100;
            engine = start_with(&one, &folder, DISK, now);
        }
        engine.configure(&both);
        engine.step(ms(now), []);
        let onda = engine.directory().tenants.active_index("onda").unwrap();
        let reply = reply_in(&engine.step(ms(now), [submission_for(onda, "payment", UNSAFE, 5_000)]));
        assert_eq!(reply, KNOWN, "{way}");
    }
}

/// A stage whose endpoints deliver at once and count the effects.
fn served(name: &str, operators_file: &str) -> (Stage, Shared) {
    let mut stage = Stage::new(name);
    stage.write_operators_file(operators_file);
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    count_effects(&stage, &ledger);
    stage.start();
    stage.wait_until_ready();
    (stage, ledger)
}

fn settle(stage: &Stage) {
    wait_until_input_read(stage);
    until("not all is delivered", || {
        let (_, body) = ask(stage.ops, "GET", "/ops/stats", "", "").unwrap();
        serde_json::from_str::<serde_json::Value>(&body).unwrap()["outstanding"] == 0
    });
}

/// Publishes a payment on a new connection and waits for its confirm.
fn publish(stage: &Stage, id: &str) {
    let mut publisher = AmqpPeer::connect(stage.amqp);
    publisher.send_text("open acme-pub secret acme");
    publisher.send_text(&format!("publish {id} payment 2 50000 - pay"));
    let mut heard = String::new();
    while !heard.contains("basic.ack") {
        heard = publisher.receive_text();
        assert!(!heard.contains("nack") && !heard.contains("close"), "{heard}");
    }
}

const AMQP_SECTION: &str =
    "amqp: {listen: AMQP, tenants: [{tenant: acme, user: acme-pub, password: secret}]}\n";

/// The operators' file with this size of the state folder.
fn file_with(disk: &str) -> String {
    format!("{ADMIN_SECTION}{AMQP_SECTION}limits: {{{disk}}}\n")
}

/// A payment ran twice after `disk_mb` had been lowered: its outcome was evicted, and its publisher, which had not
/// heard the confirm, published it again.
#[test]
fn payment_that_comes_again_after_the_disk_limit_was_lowered_runs_once() {
    let ways = ["apply", "undo", "trial", "operators' file", "platform's file", "restart", "kill", "upgrade"];
    for way in ways {
        let (less, more) = ("disk_mb: 0.1", "disk_mb: 1");
        let is_return = matches!(way, "undo" | "trial");
        // A start keeps the operators' version in force, whatever their file has become: the platform's file alone
        // changes the limit there.
        let by_platform = matches!(way, "platform's file" | "restart" | "kill" | "upgrade");
        let first = match way {
            _ if is_return => less,
            _ if by_platform => "",
            _ => more,
        };
        let (mut stage, ledger) = served(&format!("less-disk-{}", &way[..4]), &file_with(first));
        if is_return {
            let target = if way == "undo" { "" } else { "?confirm_within_s=5" };
            let (status, body) = post(&stage, &format!("/v1/config/apply{target}"), &file_with(more));
            assert_eq!(status, 200, "{body}");
        }
        assert_eq!(submit(&stage, &request("requested", "payment", 2, 50.0, "x")), 202);
        publish(&stage, "published");
        settle(&stage);
        let mut others = connect(&stage);
        for number in 0..200 {
            others.write_all(request(&format!("other{number}"), "note", 3, 50.0, "x").as_bytes()).unwrap();
            assert_eq!(status(&message(&mut others)), 202, "{way}");
        }
        settle(&stage);
        let before = number(&stage);
        match way {
            "apply" => apply(&stage, &file_with(less)),
            "undo" => {
                let (status, body) = post(&stage, "/v1/config/undo", "");
                assert_eq!(status, 200, "{body}");
            }
            "trial" => until("the trial does not end", || number(&stage) > before),
            _ if by_platform => {
                stage.edit_platform_file("platform", |text| text.replace("\"disk_mb\":1", "\"disk_mb\":0.1"));
            }
            _ => stage.write_operators_file(&file_with(less)),
        }
        match way {
            "operators' file" | "platform's file" => {
                stage.signal("-HUP");
                until("the file is not read", || number(&stage) > before);
            }
            "restart" => {
                stage.signal("-TERM");
                stage.wait_for_exit();
                stage.start();
            }
            "kill" => {
                stage.kill();
                stage.start();
            }
            "upgrade" => {
                stage.upgrade();
            }
            _ => {}
        }
        stage.wait_until_ready();
        assert_eq!(support::config::value(&stage, "limits.disk_mb"), "0.1", "{way}");
        submit(&stage, &request("requested", "payment", 2, 50.0, "x"));
        publish(&stage, "published");
        settle(&stage);
        let effects = &ledger.lock().unwrap().effects;
        assert_eq!((effects["requested"], effects["published"]), (1, 1), "{way}");
    }
}
