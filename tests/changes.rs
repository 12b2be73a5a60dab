//! Configuration changes of the real program, by its administration API and by SIGHUP: under load, with
//! kills, and with each kind of failure.

mod support;

use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::config::{number, show, value, ADMIN_SECTION};
use support::load::{ask, message, serve_endpoint, serve_platform, Clients, Ledger, Shared};
use support::{unused_address, Stage};

const TIMEOUT: Duration = Duration::from_secs(30);

fn stage_with_endpoints(name: &str, file: &str) -> (Stage, Shared) {
    let stage = Stage::new(name);
    stage.write_operators_file(&format!("{ADMIN_SECTION}{file}"));
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    for (name, slow) in [("s1", 2), ("s2", 3), ("s3", 5)] {
        serve_endpoint(stage.listener(name), slow, ledger.clone());
    }
    (stage, ledger)
}

fn start_stage(name: &str, file: &str) -> (Stage, Shared) {
    let (mut stage, ledger) = stage_with_endpoints(name, file);
    stage.start();
    (stage, ledger)
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|problem| panic!("{problem}: {text}"))
}

fn apply(stage: &Stage, from: u64, query: &str, file: &str) -> std::io::Result<(u16, Value)> {
    let tag = format!("If-Match: \"{from}\"\r\n");
    let file = stage.fill_addresses(&format!("{ADMIN_SECTION}{file}"));
    let (status, body) = ask(stage.admin, "POST", &format!("/v1/config/apply?{query}"), &tag, &file)?;
    Ok((status, json(&body)))
}

fn applied(stage: &Stage, query: &str, file: &str) -> Value {
    let (status, body) = apply(stage, number(stage), query, file).unwrap();
    assert_eq!(status, 200, "{body}");
    body
}

/// Checks by its digest that the configuration in force is one whole version.
fn check_whole_version(stage: &Stage) -> Value {
    let shown = show(stage);
    let (_, list) = ask(stage.admin, "GET", "/v1/config/versions", "", "").unwrap();
    let list = json(&list);
    let same = |version: &&Value| version["number"] == shown["number"];
    let version = list.as_array().unwrap().iter().find(same).expect("the version in force is stored");
    assert_eq!(version["digest"], shown["digest"]);
    shown
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

// ---- Two hundred changes ----

/// A random change, and whether it is valid.
fn random_change(
    random: &mut fastrand::Rng,
    stage: &Stage,
    homes: [SocketAddr; 2],
    taken: SocketAddr,
) -> (String, bool) {
    let mut parts = Vec::new();
    let slots = random.u32(2..12);
    let mut limits = format!("slots: {slots}, held_messages: {}", random.u32(12..80));
    if random.bool() {
        limits.push_str(&format!(", max_attempts: {}, disk_mb: {}", random.u32(2..8), random.u32(1..4)));
    }
    let mut good = true;
    let mut times = format!("deadline_ms: {}", random.u32(30_000..60_000));
    let mut effect = "fragile";
    match random.u32(0..16) {
        0 => (limits, good) = ("slots: 0".into(), false),
        1 => (limits, good) = ("slotz: 3".into(), false),
        2 => (limits, good) = ("slots: 9, held_messages: 4".into(), false),
        3 => (limits, good) = ("sockets: 100000000".into(), false),
        4 => (times, good) = ("deadline_ms: 1".into(), false),
        5 => (effect, good) = ("retryable", false),
        // The third listener cannot be bound: the two before it can.
        6 => {
            parts.push(format!("listen: {}", homes[random.usize(0..2)]));
            parts.push(format!("amqp: {{listen: {taken}}}"));
            good = false;
        }
        _ => {
            if random.bool() {
                parts.push(format!("listen: {}", homes[random.usize(0..2)]));
            }
            let listen = if random.bool() { "listen: AMQP, " } else { "" };
            let broker =
                "{instanceId: b3, hostPort: BROKER, cell: 4, machineType: plain, user: u, password: p, \
                          vhost: /, exchange: '', routing_key: q}";
            let brokers = if random.bool() { broker } else { "" };
            parts.push(format!("amqp: {{{listen}brokers: [{brokers}]}}"));
            if random.bool() {
                parts.push("dns_sd: {resolver: RESOLVER, service: _partner._tcp.example}".into());
            }
            if random.bool() {
                parts.push(format!("log: {{form: {}}}", ["text", "json"][random.usize(0..2)]));
            }
        }
    }
    parts.push(format!("limits: {{{limits}}}"));
    let mut classes = vec![
        "{name: note, effect: retryable, aim_ms: 900, deadline_ms: 60000}".to_owned(),
        format!("{{name: payment, effect: {effect}, aim_ms: 900, {times}}}"),
    ];
    let mut tenants = ["{name: acme, quota_per_s: 50}", "{name: other, quota_per_s: 5}"];
    if random.bool() {
        classes.push("{name: extra, effect: fragile, aim_ms: 5, deadline_ms: 6}".into());
        classes.reverse();
        tenants.reverse();
    }
    parts.push(format!("classes: [{}]", classes.join(", ")));
    parts.push(format!("tenants: [{}]", tenants.join(", ")));
    (stage.fill_addresses(&(parts.join("\n") + "\n")), good)
}

/// Minimum of accepted messages, and of payments that took effect, in a run that counts.
const MIN_ACCEPTED: usize = 300;
const MIN_PAYMENTS: u32 = 50;

/// How often payments took effect, including those whose clients got no answer.
fn payment_effects(ledger: &Ledger) -> u32 {
    let payments = ledger.accepted.iter().chain(&ledger.unconfirmed).filter(|(_, class)| *class == "payment");
    payments.map(|(id, _)| ledger.effects.get(id).copied().unwrap_or(0)).sum()
}

#[test]
fn two_hundred_changes_under_load_leave_no_partial_state_and_every_message_gets_an_outcome() {
    let seed = std::env::var("CEDARWHARF_SEED").map_or(7, |seed| seed.parse().unwrap());
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut stage, ledger) = start_stage("two-hundred", "");
    let other = unused_address();
    let busy = TcpListener::bind("127.0.0.1:0").unwrap();
    let homes = [stage.listen, other];
    let clients = Clients::start(6, stage.listen, Duration::from_millis(2), ledger.clone());
    let (mut good, mut bad, mut kills) = (0, 0, 0);
    for step in 0..200 {
        let before = check_whole_version(&stage);
        let from = before["number"].as_u64().unwrap();
        let (file, fits) = random_change(&mut rng, &stage, homes, busy.local_addr().unwrap());
        let stale = rng.u32(0..20) == 0;
        let (status, body) = apply(&stage, from - u64::from(stale), "why=test", &file).unwrap();
        let after = check_whole_version(&stage);
        if fits && !stale {
            assert_eq!(status, 200, "step {step}\n{file}\n{body}");
            let new = after["number"].as_u64().unwrap();
            assert!(new == from + 1 || body["differences"] == Value::Array(Vec::new()), "step {step}");
            good += 1;
            if let Some(home) = after["values"]["listen"].as_str() {
                *clients.at.lock().unwrap() = home.parse().unwrap();
            }
        } else {
            assert!(matches!(status, 409 | 412 | 422), "step {step}: {status}\n{file}\n{body}");
            assert_eq!(
                (&after["number"], &after["digest"]),
                (&before["number"], &before["digest"]),
                "step {step}"
            );
            assert_eq!(after["values"], before["values"], "step {step}");
            bad += 1;
        }
        if step % 29 == 28 {
            kills += 1;
            ledger.lock().unwrap().retry_after_sent_at.clear();
            ledger.lock().unwrap().record_kill("");
            stage.kill();
            stage.listen = after["values"]["listen"].as_str().unwrap().parse().unwrap();
            stage.start();
            let next = check_whole_version(&stage);
            assert_eq!(
                (&next["number"], &next["digest"]),
                (&after["number"], &after["digest"]),
                "step {step}"
            );
        }
    }
    // A fast program may complete its changes before clients have submitted enough messages.
    wait_until("enough messages are accepted", || {
        let ledger = ledger.lock().unwrap();
        ledger.accepted.len() > MIN_ACCEPTED && payment_effects(&ledger) > MIN_PAYMENTS
    });
    clients.stop();
    wait_until("all accepted messages have their outcomes", || {
        ask(stage.admin, "GET", "/v1/flows", "", "").is_ok_and(|(_, body)| body.trim() == "[]")
    });
    thread::sleep(Duration::from_millis(200));
    let ledger = ledger.lock().unwrap();
    // A message has two outcomes only where a kill came between an answer and its record.
    assert!(ledger.check_outcomes(&stage.log()) <= kills * 12);
    let doubled = ledger.delivered_and_reported();
    assert!(doubled.is_empty(), "two outcomes: {doubled:#?}");
    assert_eq!(ledger.early_retries, 0);
    let counted = payment_effects(&ledger);
    println!(
        "{good} good, {bad} bad, {kills} kills; {} accepted, {counted} payments took effect, others {:?}",
        ledger.accepted.len(),
        ledger.other_statuses
    );
    let enough_messages = ledger.accepted.len() > MIN_ACCEPTED && counted > MIN_PAYMENTS;
    assert!(enough_messages && good > 80 && bad > 40, "too few messages or changes");
}

// ---- Kills ----

const LARGE: &str = "limits: {slots: 4, disk_mb: 2}\nlisten: HOME\namqp: {listen: AMQP}\nlog: {form: json}\n";

#[test]
fn process_killed_at_any_step_of_a_change_restarts_with_one_whole_version() {
    let steps = 5; // listen, amqp.listen, disk, core, log
    let mut points = vec!["planned".to_owned(), "record".into(), "rename".into(), "done".into()];
    points.extend((0..steps).flat_map(|place| [format!("prepare-{place}"), format!("commit-{place}")]));
    let (mut stage, _) = stage_with_endpoints("kill-steps", "");
    let (first, second) = (stage.listen, unused_address());
    stage.start();
    let mut home = first;
    for point in points {
        stage.listen = home;
        stage.kill();
        stage.start_with(&[("CEDARWHARF_FAIL_AT", &point)]);
        let before = check_whole_version(&stage);
        // Each change goes to the other state, so that it contains each step.
        let away = if home == first { second } else { first };
        let large = home == first;
        let file = if large { LARGE.replace("HOME", &away.to_string()) } else { String::new() };
        assert!(apply(&stage, before["number"].as_u64().unwrap(), "", &file).is_err(), "{point}: no kill");
        stage.wait_for_exit();
        let changed = point.starts_with("commit") || point == "done";
        home = if changed { away } else { home };
        stage.listen = home;
        stage.start();
        let after = check_whole_version(&stage);
        let number = before["number"].as_u64().unwrap() + u64::from(changed);
        assert_eq!(after["number"], number, "{point}");
        let is_large = large == changed;
        assert_eq!(after["values"]["limits.slots"], if is_large { "4" } else { "6" }, "{point}");
        assert_eq!(after["values"]["log.form"], if is_large { "json" } else { "text" }, "{point}");
        assert_eq!(after["values"]["listen"], home.to_string(), "{point}");
        let line = format!("configuration {number} in force");
        assert!(stage.log().contains(&line), "{point}: the start logs the version");
        // The file of an incomplete write is removed.
        assert!(!stage.folder.join("state/config.versions.new").exists());
    }
}

#[test]
fn process_killed_while_staging_undoing_or_releasing_restarts_with_the_old_version() {
    let (mut stage, _) = stage_with_endpoints("kill-others", "");
    let busy = TcpListener::bind("127.0.0.1:0").unwrap();
    stage.start();
    applied(&stage, "", "limits: {slots: 4}\n");
    for (point, target, file, number) in [
        ("stage", "/v1/config/stage", "limits: {slots: 5}\n".to_owned(), 2),
        ("rename", "/v1/config/stage", "limits: {slots: 5}\n".to_owned(), 2),
        (
            "release-0",
            "/v1/config/apply",
            format!("listen: AMQP\namqp: {{listen: {}}}\n", busy.local_addr().unwrap()),
            2,
        ),
        ("commit-0", "/v1/config/undo", String::new(), 3),
    ] {
        stage.kill();
        stage.start_with(&[("CEDARWHARF_FAIL_AT", point)]);
        let file =
            if file.is_empty() { file } else { stage.fill_addresses(&format!("{ADMIN_SECTION}{file}")) };
        assert!(ask(stage.admin, "POST", target, "If-Match: \"2\"\r\n", &file).is_err(), "{point}: no kill");
        stage.wait_for_exit();
        stage.start();
        let shown = check_whole_version(&stage);
        assert_eq!(shown["number"], number, "{point}");
        assert!(shown["staged"].is_null(), "{point}");
        assert_eq!(shown["values"]["limits.slots"], if number == 3 { "6" } else { "4" });
    }
    // A candidate that was staged completely survives a kill, and can be applied without sending it again.
    let file = stage.fill_addresses(&format!("{ADMIN_SECTION}limits: {{slots: 5}}\n"));
    assert_eq!(ask(stage.admin, "POST", "/v1/config/stage", "", &file).unwrap().0, 200);
    stage.kill();
    stage.start();
    assert_eq!(show(&stage)["staged"]["from"], 3);
    assert_eq!(ask(stage.admin, "POST", "/v1/config/apply", "", "").unwrap().0, 200);
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("5".to_owned(), 4));
}

#[test]
fn torn_versions_file_restarts_with_the_last_whole_version() {
    let (mut stage, _) = start_stage("torn", "");
    for slots in [3, 4, 5] {
        applied(&stage, "", &format!("limits: {{slots: {slots}}}\n"));
    }
    stage.kill();
    let place = stage.folder.join("state/config.versions");
    let bytes = std::fs::read(&place).unwrap();
    std::fs::write(&place, &bytes[..bytes.len() - 9]).unwrap();
    stage.start();
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("4".to_owned(), 3));
    // A line that parses but does not match its digest is no version either.
    stage.kill();
    let mut text = String::from_utf8(std::fs::read(&place).unwrap()).unwrap();
    let at = text.rfind("slots: 4").unwrap();
    text.replace_range(at..at + 8, "slots: 9");
    std::fs::write(&place, text).unwrap();
    stage.start();
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("3".to_owned(), 2));
    stage.kill();
    std::fs::write(&place, b"nothing of use").unwrap();
    stage.start();
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("6".to_owned(), 1));
    check_whole_version(&stage);
}

#[test]
fn process_killed_within_an_open_window_rolls_back_at_the_next_start() {
    let (mut stage, _) = start_stage("window", "");
    applied(&stage, "confirm_within_s=60", "limits: {slots: 3}\n");
    assert!(show(&stage)["trial_left_ms"].as_u64().unwrap() > 50_000);
    // A SIGHUP does not interrupt the trial.
    stage.write_operators_file(&format!("{ADMIN_SECTION}limits: {{slots: 9}}\n"));
    stage.signal("-HUP");
    wait_until("the reload is rejected", || stage.log().contains("version 2 is on trial"));
    assert_eq!(value(&stage, "limits.slots"), "3");
    stage.kill();
    stage.start();
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("6".to_owned(), 3));
    assert_eq!(show(&stage)["why"], "version 2 was not confirmed");
    // A confirmed version stays.
    applied(&stage, "confirm_within_s=60", "limits: {slots: 3}\n");
    assert_eq!(ask(stage.admin, "POST", "/v1/config/confirm", "", "").unwrap().0, 200);
    stage.kill();
    stage.start();
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("3".to_owned(), 4));
}

#[test]
fn unconfirmed_version_is_rolled_back_at_the_deadline_and_bad_service_rolls_it_back_at_once() {
    let (stage, ledger) = start_stage("trial", "");
    applied(&stage, "confirm_within_s=0.3", "limits: {slots: 3}\n");
    wait_until("the version is rolled back", || number(&stage) == 3);
    assert_eq!(value(&stage, "limits.slots"), "6");
    let clients = Clients::start(6, stage.listen, Duration::from_millis(1), ledger);
    let query = "probation_s=60&turn_downs=0.4&why=too+small";
    applied(&stage, query, "limits: {slots: 1, held_messages: 1}\n");
    wait_until("the version is rolled back", || number(&stage) == 5);
    clients.stop();
    assert!(show(&stage)["why"].as_str().unwrap().contains("of offers turned down"));
    assert_eq!(value(&stage, "limits.held_messages"), "40");
}

// ---- Several at once ----

#[test]
fn of_two_concurrent_changes_one_is_applied_and_the_other_rejected_with_both_versions() {
    let (stage, _) = start_stage("two-operators", "");
    let from = number(&stage);
    let answers: Vec<(u16, Value)> = thread::scope(|scope| {
        let one = |slots| {
            scope.spawn({
                let stage = &stage;
                move || apply(stage, from, "", &format!("limits: {{slots: {slots}}}\n")).unwrap()
            })
        };
        let both = [one(3), one(4)];
        both.map(|one| one.join().unwrap()).to_vec()
    });
    let mut statuses: Vec<u16> = answers.iter().map(|(status, _)| *status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let lost = &answers.iter().find(|(status, _)| *status == 412).unwrap().1;
    assert!(lost["detail"].as_str().unwrap().contains("made from version 1, but version 2 is in force"));
    // A change is undone within a second.
    assert_eq!(ask(stage.admin, "POST", "/v1/config/undo", "", "").unwrap().0, 200);
    assert_eq!(
        (value(&stage, "limits.slots"), check_whole_version(&stage)["number"].as_u64()),
        ("6".to_owned(), Some(3))
    );
}

#[test]
fn hundred_queued_changes_are_all_answered_and_one_is_applied() {
    let (stage, _) = start_stage("hundred", "");
    let file = stage.fill_addresses(&format!("{ADMIN_SECTION}limits: {{slots: 5}}\n"));
    let request = format!(
        "POST /v1/config/apply HTTP/1.1\r\nAuthorization: Bearer all\r\nIf-Match: \"1\"\r\nContent-Length: {}\r\n\r\n{file}",
        file.len()
    );
    let mut streams: Vec<TcpStream> = (0..50).map(|_| TcpStream::connect(stage.admin).unwrap()).collect();
    for stream in &mut streams {
        stream.write_all(request.repeat(2).as_bytes()).unwrap();
    }
    let mut statuses = std::collections::BTreeMap::<u16, u32>::new();
    for stream in streams {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut reader = std::io::BufReader::new(stream);
        for _ in 0..2 {
            let (first, ..) = support::load::message(&mut reader).expect("an answer");
            *statuses.entry(first.split(' ').nth(1).unwrap().parse().unwrap()).or_default() += 1;
        }
    }
    assert_eq!((statuses.get(&200), statuses.values().sum()), (Some(&1), 100u32), "{statuses:?}");
    assert!(statuses.keys().all(|status| matches!(status, 200 | 412 | 503)), "{statuses:?}");
    assert_eq!(number(&stage), 2);
}

#[test]
fn stopping_process_accepts_no_change() {
    let (stage, _) = start_stage("stopping", "");
    stage.signal("-TERM");
    wait_until("it is stopping", || stage.log().contains("SIGTERM received: stopping"));
    let (status, body) = apply(&stage, 1, "", "limits: {slots: 3}\n").unwrap();
    assert_eq!((status, body["detail"].as_str().unwrap().contains("stopping")), (503, true));
}

// ---- Files ----

#[test]
fn sighup_applies_the_file_as_one_transaction_and_an_invalid_file_changes_nothing() {
    let (stage, _) = start_stage("sighup", "");
    let reload = |text: &str, line: &str| {
        let seen = stage.log().matches(line).count();
        std::fs::write(stage.folder.join("fronts.json"), stage.fill_addresses(text)).unwrap();
        stage.signal("-HUP");
        wait_until(line, || stage.log().matches(line).count() > seen);
    };
    reload(&format!("{ADMIN_SECTION}limits: {{slots: 3}}\n"), "configuration read again");
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("3".to_owned(), 2));
    assert_eq!(show(&stage)["who"], "SIGHUP");
    reload(&format!("{ADMIN_SECTION}limits: {{slots: 3, held: 1}}\n"), "configuration not read again");
    assert!(stage.log().contains("limits.held: unknown key; did you mean held"), "{}", stage.log());
    reload(&" ".repeat(50_000_000), "longer than");
    reload("a: [[[[", "cannot be read");
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("3".to_owned(), 2));
    // A document that is too long for the API is rejected by its length alone.
    let mut stream = TcpStream::connect(stage.admin).unwrap();
    let head =
        "POST /v1/config/apply HTTP/1.1\r\nAuthorization: Bearer all\r\nContent-Length: 50000000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

#[test]
fn file_still_being_written_is_applied_once_it_stops_changing() {
    let (stage, _) = start_stage("writing", "");
    let text = stage.fill_addresses(&format!(
        "{ADMIN_SECTION}limits:\n  slots: 3\n  held_messages: 33\n  max_attempts: 3\n"
    ));
    let place = stage.folder.join("fronts.json");
    let mut file = std::fs::File::create(&place).unwrap();
    let cuts: Vec<&str> = text.split_inclusive('\n').collect();
    file.write_all(cuts[0].as_bytes()).unwrap();
    file.write_all(cuts[1].as_bytes()).unwrap();
    file.write_all(cuts[2].as_bytes()).unwrap();
    // The file is a valid document so far, but not complete: the rest is written while the process reads it.
    stage.signal("-HUP");
    for cut in &cuts[3..] {
        thread::sleep(Duration::from_millis(40));
        file.write_all(cut.as_bytes()).unwrap();
    }
    wait_until("the whole file", || value(&stage, "limits.max_attempts") == "3");
    assert_eq!((value(&stage, "limits.held_messages"), number(&stage)), ("33".to_owned(), 2));
}

// ---- What changes ----

#[test]
fn moved_listener_lets_clients_finish_their_current_request() {
    let (stage, _) = start_stage("moves", "");
    let mut busy = TcpStream::connect(stage.listen).unwrap();
    let mut idle = TcpStream::connect(stage.listen).unwrap();
    let request = "POST /api HTTP/1.1\r\nRequest-Id: m1\r\nRequest-Class: note\r\nTenant: acme\r\nRequest-Timeout: 5\r\n\
                   X-Addressing: dest=2\r\nContent-Length: 5\r\n\r\nhe";
    busy.write_all(request.as_bytes()).unwrap();
    idle.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    idle.read_exact(&mut [0; 10]).unwrap();
    wait_until("the first half of the request is read", || {
        ask(stage.admin, "GET", "/v1/config", "", "").is_ok()
    });
    thread::sleep(Duration::from_millis(50));
    let home = unused_address();
    applied(&stage, "", &format!("listen: {home}\n"));
    assert!(TcpStream::connect(stage.listen).is_err(), "the old address is closed");
    TcpStream::connect(home).unwrap();
    busy.write_all(b"llo").unwrap();
    let mut answer = String::new();
    busy.set_read_timeout(Some(TIMEOUT)).unwrap();
    busy.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 202 ") && answer.contains("Connection: close"), "{answer}");
    idle.set_read_timeout(Some(TIMEOUT)).unwrap();
    idle.read_to_end(&mut Vec::new()).unwrap();
}

#[test]
fn change_that_fails_at_its_third_listener_has_no_effect() {
    let (stage, _) = start_stage("third", "");
    let busy = TcpListener::bind("127.0.0.1:0").unwrap();
    let (home, amqp) = (unused_address(), unused_address());
    let file = format!(
        "listen: {home}\namqp: {{listen: {amqp}}}\nlimits: {{slots: 3}}\nadmin: {{listen: '{}', tokens: [{{token: all}}]}}\n",
        busy.local_addr().unwrap()
    );
    let (status, body) = {
        let (status, body) =
            ask(stage.admin, "POST", "/v1/config/apply", "If-Match: \"1\"\r\n", &file).unwrap();
        (status, json(&body))
    };
    assert_eq!(status, 409, "{body}");
    assert!(body["detail"].as_str().unwrap().contains("admin.listen: cannot listen on"), "{body}");
    for address in [home, amqp] {
        assert!(TcpStream::connect(address).is_err(), "{address} was released");
    }
    assert_eq!((value(&stage, "limits.slots"), number(&stage)), ("6".to_owned(), 1));
    TcpStream::connect(stage.listen).unwrap();
}

#[test]
fn tokens_and_fronts_change_and_a_removed_token_loses_access() {
    let (stage, _) = start_stage("tokens", "");
    let mut kept = TcpStream::connect(stage.admin).unwrap();
    let one = "GET /v1/counts HTTP/1.1\r\nAuthorization: Bearer second\r\n\r\n";
    let file = "admin: {listen: ADMIN, tokens: [{token: all, name: ana}, {token: second}]}\n";
    let (status, _) =
        ask(stage.admin, "POST", "/v1/config/apply", "If-Match: \"1\"\r\n", &stage.fill_addresses(file))
            .unwrap();
    assert_eq!(status, 200);
    kept.write_all(one.as_bytes()).unwrap();
    kept.read_exact(&mut [0; 15]).unwrap();
    assert!(TcpStream::connect(stage.amqp).is_err());
    applied(&stage, "", "amqp: {listen: AMQP, tenants: [{tenant: acme, user: u, password: p}]}\n");
    TcpStream::connect(stage.amqp).unwrap();
    kept.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut rest = String::new();
    kept.read_to_string(&mut rest).unwrap();
    assert!(!rest.contains("second"));
    let (status, _) = ask(stage.admin, "GET", "/v1/config", "", "").unwrap();
    assert_eq!(status, 200);
    let lines = stage.log();
    assert!(!lines.contains("second") && !lines.contains("Bearer"), "{lines}");
}

#[test]
fn token_over_its_rate_limit_gets_a_retry_after_and_other_tokens_are_answered() {
    let (stage, _) = start_stage("token-rate", "");
    let file = "admin: {listen: ADMIN, tokens: [{token: all, name: ana}, {token: fast, tenant: acme, \
                requests: {per_s: 0.01, burst: 2}}]}\n";
    let (status, _) =
        ask(stage.admin, "POST", "/v1/config/apply", "If-Match: \"1\"\r\n", &stage.fill_addresses(file))
            .unwrap();
    assert_eq!(status, 200);
    let mut reader = BufReader::new(TcpStream::connect(stage.admin).unwrap());
    reader.get_mut().set_read_timeout(Some(TIMEOUT)).unwrap();
    let one = "GET /v1/counts HTTP/1.1\r\nAuthorization: Bearer fast\r\n\r\n";
    reader.get_mut().write_all(one.repeat(3).as_bytes()).unwrap();
    for wanted in ["200", "200", "429"] {
        let (first, headers, body) = message(&mut reader).unwrap();
        assert!(first.contains(wanted), "{first}: {body}");
        let again: Option<u64> = headers.get("retry-after").map(|seconds| seconds.parse().unwrap());
        assert_eq!(
            again.is_some_and(|seconds| (50..=100).contains(&seconds)),
            wanted == "429",
            "{headers:?}"
        );
    }
    for _ in 0..20 {
        assert_eq!(ask(stage.admin, "GET", "/v1/counts", "", "").unwrap().0, 200);
    }
}

#[test]
fn command_line_changes_a_running_process() {
    let (stage, _) = start_stage("cli", "");
    let place = stage.folder.join("next.yaml");
    std::fs::write(&place, stage.fill_addresses(&format!("{ADMIN_SECTION}limits: {{slots: 4}}\n"))).unwrap();
    let run = |words: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cedarwharf"));
        command.args(words).env("CEDARWHARF_ADMIN", stage.admin.to_string()).env("CEDARWHARF_TOKEN", "all");
        let output = command.output().unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    };
    let file = place.to_str().unwrap();
    let (code, out, _) = run(&["config", "diff", file]);
    assert_eq!((code, out.as_str()), (0, "limits.slots: 6 -> 4\n"));
    assert_eq!(run(&["config", "stage", file]).0, 0);
    let (code, out, _) = run(&["config", "apply", "--why", "more & better", "--confirm-within", "1m"]);
    assert!(code == 0 && out.contains("by ana, on trial: more & better"), "{out}");
    assert_eq!(run(&["config", "apply", file]).0, 3, "a version is on trial");
    assert_eq!(run(&["config", "confirm"]).0, 0);
    assert_eq!(run(&["config", "apply", file, "--from", "1"]).0, 3, "made from another version");
    let (code, out, _) = run(&["config", "history", "--output", "json"]);
    assert_eq!((code, json(&out).as_array().unwrap().len()), (0, 2));
    let (code, out, _) = run(&["config", "undo", "1"]);
    assert!(code == 0 && out.contains("in force: 3"), "{out}");
    assert!(run(&["config", "show"]).1.contains("limits.slots: 6\n"));
    std::fs::write(&place, "limits: {slots: none}\n").unwrap();
    let (code, out, _) = run(&["check", file]);
    assert!(code == 1 && out.contains("line 1: limits.slots: text where a whole number is needed"), "{out}");
    let (code, _, problems) = run(&["config", "apply", file]);
    assert!(code == 1 && problems.contains("limits.slots"), "{problems}");
    assert_eq!(run(&["config", "show", "--admin", "127.0.0.1:1"]).0, 4);
    assert_eq!(run(&["config", "nonsense"]).0, 2);
    assert!(json(&run(&["schema"]).1)["properties"]["limits"].is_object());
    let token = stage.folder.join("token");
    std::fs::write(&token, "wrong\n").unwrap();
    assert_eq!(run(&["config", "show", "--token-file", token.to_str().unwrap()]).0, 5);
}

#[test]
fn without_an_operators_file_no_extra_listener_or_file_is_created() {
    let stage = Stage::new("platform-alone");
    let ledger: Shared = Arc::new(Mutex::new(Ledger::default()));
    serve_platform(stage.listener("platform"), ledger);
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cedarwharf"));
    command
        .env("PROXY_CONFIG", stage.folder.join("config.json"))
        .env("PROXY_STATE", stage.folder.join("state"));
    let mut node = command.stderr(std::process::Stdio::null()).spawn().unwrap();
    wait_until("it listens", || TcpStream::connect(stage.listen).is_ok());
    let hup = std::process::Command::new("kill").args(["-HUP", &node.id().to_string()]).status().unwrap();
    assert!(hup.success());
    thread::sleep(Duration::from_millis(300));
    let files: Vec<_> =
        std::fs::read_dir(stage.folder.join("state")).unwrap().map(|f| f.unwrap().file_name()).collect();
    let listens = std::fs::read_to_string(format!("/proc/{}/net/tcp", node.id())).unwrap();
    let inodes: Vec<String> = std::fs::read_dir(format!("/proc/{}/fd", node.id()))
        .unwrap()
        .filter_map(|fd| std::fs::read_link(fd.unwrap().path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect();
    let own = listens.lines().skip(1).filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[3] == "0A" && inodes.contains(&format!("socket:[{}]", fields[9]))
    });
    let own = own.count();
    node.kill().unwrap();
    node.wait().unwrap();
    assert_eq!((files, own), (vec!["flows.journal".into()], 1));
}

/// The pause of a tenant was answered with 204 before the journal had it: a kill in between lost it.
#[test]
fn pause_that_was_answered_outlasts_a_kill() {
    let mut stage = Stage::new("pause-kill");
    stage.write_operators_file(ADMIN_SECTION);
    let pause = |stage: &Stage, verb: &str| {
        ask(stage.admin, "POST", &format!("/v1/tenants/acme/{verb}"), "", "").map(|answer| answer.0)
    };
    let is_paused = |stage: &Stage| {
        let (_, body) = ask(stage.admin, "GET", "/v1/tenants/acme", "", "").unwrap();
        serde_json::from_str::<serde_json::Value>(&body).unwrap()["paused"].as_bool().unwrap()
    };
    for (verb, paused) in [("pause", true), ("resume", false)] {
        // The process ends between the command and the write of the journal.
        stage.start_with(&[("CEDARWHARF_FAIL_AT", "pause")]);
        stage.wait_until_ready();
        let answer = pause(&stage, verb);
        assert!(!matches!(answer, Ok(204)), "{verb}: {answer:?}, which the next process does not know");
        stage.wait_for_exit();
        // It ends right after the answer.
        stage.start();
        stage.wait_until_ready();
        assert!(matches!(pause(&stage, verb), Ok(204)));
        stage.kill();
        stage.start();
        stage.wait_until_ready();
        assert_eq!(is_paused(&stage), paused, "{verb}");
        stage.kill();
    }
}
