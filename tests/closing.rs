//! Closing of client connections in rare event orders. Each order is forced by stopping the process (SIGSTOP)
//! while its sockets fill up, and then continuing it.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::Stage;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after SIGTERM at which the last phase of the shutdown has started.
const LAST_PHASE: Duration = Duration::from_millis(3_450);

fn request(id: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: note\r\nTenant: acme\r\nRequest-Timeout: 30\r\n\
        X-Addressing: dest=2\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(stage: &Stage) -> TcpStream {
    let stream = TcpStream::connect(stage.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads one answer without a body.
fn answer(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a whole answer");
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// Reads until the forwarder closes its side; a reset is a failure.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an end, not a reset");
    text
}

/// Waits until the process has read all earlier input: connections are read in order. Returns the answer of
/// `/ready`.
fn await_read(stage: &Stage) -> String {
    let mut stream = connect(stage);
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    answer(&mut stream)
}

fn open_flows(stage: &mut Stage) -> String {
    stage.kill();
    stage.start();
    stage.wait_until_ready();
    stage.log()
}

#[test]
fn requests_received_by_the_end_of_a_shutdown_are_answered_in_full() {
    let mut stage = Stage::new("end-of-stop");
    stage.start();
    let (mut idle, mut new, mut half) = (connect(&stage), connect(&stage), connect(&stage));
    idle.write_all(request("a1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut idle).contains(" 202 "));
    let whole = request("a2", "", "half and half");
    half.write_all(&whole.as_bytes()[..40]).unwrap();
    await_read(&stage);
    stage.signal("-TERM");
    let signalled = Instant::now();
    while !await_read(&stage).contains(" 503 ") {
        assert!(signalled.elapsed() < TIMEOUT);
    }
    // While the process is stopped, all of this stays unread and two connections wait at the listener; it
    // continues close to the end of its shutdown.
    stage.signal("-STOP");
    idle.write_all(request("a3", "", "unread").as_bytes()).unwrap();
    half.write_all(&whole.as_bytes()[40..]).unwrap();
    new.write_all(request("a4", "", "first").as_bytes()).unwrap();
    let mut waiting = [connect(&stage), connect(&stage)];
    waiting[0].write_all(request("a5", "", "waits").as_bytes()).unwrap();
    waiting[1].write_all(request("a6", "", "waits").as_bytes()).unwrap();
    std::thread::sleep(LAST_PHASE.saturating_sub(signalled.elapsed()));
    stage.signal("-CONT");
    for stream in [&mut idle, &mut half, &mut new].into_iter().chain(&mut waiting) {
        let text = read_to_end(stream);
        assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    }
    assert!(TcpStream::connect(stage.listen).is_err(), "no connection is accepted any more");
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.wait_until_ready();
    assert!(stage.log().contains("journal replayed: 6 messages open"), "{}", stage.log());
}

#[test]
fn last_answer_is_not_lost_to_unread_input_behind_it() {
    let mut stage = Stage::new("behind-the-last");
    stage.start();
    let mut client = connect(&stage);
    // More than one read takes: the rest is unread in the socket when the connection closes.
    let second = request("b2", "", &"y".repeat(60_000));
    let both = request("b1", "Connection: close\r\n", "x") + &second;
    client.write_all(both.as_bytes()).unwrap();
    let text = read_to_end(&mut client);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.matches("HTTP/1.1").count() == 1, "{text:?}");
    assert!(
        open_flows(&mut stage).contains("journal replayed: 1 messages open"),
        "the second is not accepted"
    );
}

#[test]
fn request_sent_after_an_idle_connection_was_closed_is_not_accepted() {
    let mut stage = Stage::new("after-the-end");
    stage.start();
    let mut client = connect(&stage);
    client.write_all(request("c1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    assert_eq!(read_to_end(&mut client), "", "it is idle until the forwarder closes it");
    // Two writes: on a fully closed socket the first would trigger a reset and the second would fail.
    client.write_all(request("c2", "", "late").as_bytes()).expect("it is read and dropped");
    client.write_all(request("c3", "", "late").as_bytes()).expect("it is read and dropped");
    assert_eq!(client.read(&mut [0; 10]).expect("no reset"), 0);
    await_read(&stage);
    assert!(open_flows(&mut stage).contains("journal replayed: 1 messages open"), "{}", stage.log());
}

#[test]
fn repeated_signals_stop_the_process_once_while_clients_are_served() {
    let mut stage = Stage::new("signals");
    stage.start();
    let mut client = connect(&stage);
    client.write_all(request("d1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    // All of it is seen in one loop iteration.
    stage.signal("-STOP");
    ["-HUP", "-TERM", "-HUP", "-TERM"].into_iter().for_each(|signal| stage.signal(signal));
    client.write_all(request("d2", "", "x").as_bytes()).unwrap();
    stage.signal("-CONT");
    assert!(answer(&mut client).contains(" 202 "));
    while !await_read(&stage).contains(" 503 ") {}
    stage.signal("-TERM");
    stage.signal("-HUP");
    client.write_all(request("d3", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    assert_eq!(read_to_end(&mut client), "");
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.wait_until_ready();
    assert!(stage.log().contains("journal replayed: 3 messages open"), "{}", stage.log());
}

#[test]
fn kill_right_after_a_202_loses_no_message() {
    let mut stage = Stage::new("behind-a-202");
    for round in 0..4 {
        stage.start();
        let mut client = connect(&stage);
        client.write_all(request(&format!("f{round}"), "", "x").as_bytes()).unwrap();
        assert!(answer(&mut client).contains(" 202 "));
        stage.kill();
    }
    stage.start();
    for round in 0..4 {
        let flow = support::byhand::open_message(&stage, &format!("f{round}"));
        assert_eq!(flow["id"], format!("f{round}"), "{}", stage.log());
    }
}

/// The configuration file changes the listen address: connections of the old one finish their requests; then
/// a drain and a shutdown follow.
#[test]
fn listener_move_drain_and_shutdown_leave_no_request_unanswered() {
    let mut stage = Stage::new("moves");
    stage.start();
    let (mut idle, mut half) = (connect(&stage), connect(&stage));
    idle.write_all(request("g1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut idle).contains(" 202 "));
    let whole = request("g2", "", "half and half");
    half.write_all(&whole.as_bytes()[..40]).unwrap();
    await_read(&stage);
    let (old, new) = (stage.listen, support::unused_address());
    let path = stage.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace(&old.to_string(), &new.to_string())).unwrap();
    stage.signal("-HUP");
    assert_eq!(read_to_end(&mut idle), "", "it is idle: closed, not reset");
    assert!(TcpStream::connect(old).is_err(), "the old address accepts no connection");
    half.write_all(&whole.as_bytes()[40..]).unwrap();
    let text = read_to_end(&mut half);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    stage.listen = new;
    // A drain follows immediately, and a shutdown during the drain.
    let mut client = connect(&stage);
    client.write_all(request("g3", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    let drain = support::load::ask(stage.ops, "PUT", "/ops/drain/start", "", "").unwrap();
    assert_eq!(drain.0, 200, "{drain:?}");
    client.write_all(request("g4", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    stage.signal("-TERM");
    let mut last = connect(&stage);
    last.write_all(request("g5", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut last).contains(" 202 "));
    assert!(!read_to_end(&mut client).contains("HTTP/1.1 4"));
    assert!(!read_to_end(&mut last).contains("HTTP/1.1 4"));
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.wait_until_ready();
    assert!(stage.log().contains("journal replayed: 5 messages open"), "{}", stage.log());
}

/// At the end of a drain no connection without a request is kept. A connection opened after it, whose request
/// arrives a few loop iterations later, is still answered: as in a shutdown, its client may have picked the
/// address a moment ago.
#[test]
fn request_on_a_connection_opened_after_a_drain_is_answered() {
    let mut stage = Stage::new("behind-a-drain");
    stage.start();
    let drain = support::load::ask(stage.ops, "PUT", "/ops/drain/start", "", "").unwrap();
    assert_eq!(drain.0, 200, "{drain:?}");
    let drained = Instant::now();
    // A silent connection is closed after 2 s; the second one sooner, as the drain is over by then.
    for _ in 0..2 {
        assert_eq!(read_to_end(&mut connect(&stage)), "");
    }
    let elapsed = drained.elapsed();
    assert!(elapsed < Duration::from_secs(4), "operators expect all to be closed by then: {elapsed:?}");
    for number in 0..20 {
        let mut client = connect(&stage);
        // It is accepted, and checked again one loop iteration later.
        await_read(&stage);
        await_read(&stage);
        client.write_all(request(&format!("h{number}"), "", "x").as_bytes()).unwrap();
        let text = read_to_end(&mut client);
        assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    }
    let started = Instant::now();
    assert_eq!(read_to_end(&mut connect(&stage)), "", "no silent connection stays");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

#[test]
fn request_on_a_connection_opened_right_before_the_listener_moves_is_answered() {
    let mut stage = Stage::new("opened-before-a-move");
    stage.start();
    let (mut idle, mut opened) = (connect(&stage), connect(&stage));
    idle.write_all(request("i1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut idle).contains(" 202 "));
    await_read(&stage);
    let path = stage.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace(&stage.listen.to_string(), &support::unused_address().to_string()))
        .unwrap();
    stage.signal("-HUP");
    assert_eq!(read_to_end(&mut idle), "", "the listener has moved");
    opened.write_all(request("i2", "", "x").as_bytes()).unwrap();
    let text = read_to_end(&mut opened);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
}
