//! How connections of clients end, in the orders that are rare: each order is forced with a process that is held still
//! (SIGSTOP) while sockets fill, and let go on.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::Stage;

const PATIENCE: Duration = Duration::from_secs(20);
/// The stop's last part has begun by then.
const NEAR_THE_END: Duration = Duration::from_millis(3_450);

fn request(id: &str, extra: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: note\r\nTenant: acme\r\nRequest-Timeout: 30\r\n\
        X-Addressing: dest=2\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn connect(stage: &Stage) -> TcpStream {
    let stream = TcpStream::connect(stage.listen).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// One answer without a body.
fn answer(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a whole answer");
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// All that comes until the other side's end; a reset is a failure.
fn to_the_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an end, not a reset");
    text
}

/// The process has heard what it was sent before: one connection after another is read.
fn heard(stage: &Stage) -> String {
    let mut stream = connect(stage);
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    answer(&mut stream)
}

fn open_flows(stage: &mut Stage) -> String {
    stage.kill();
    stage.start();
    stage.await_yes();
    stage.lines()
}

#[test]
fn whatever_has_come_by_the_end_of_a_stop_is_answered_whole() {
    let mut stage = Stage::new("end-of-stop");
    stage.start();
    let (mut resting, mut new, mut half) = (connect(&stage), connect(&stage), connect(&stage));
    resting.write_all(request("a1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut resting).contains(" 202 "));
    let whole = request("a2", "", "half and half");
    half.write_all(&whole.as_bytes()[..40]).unwrap();
    heard(&stage);
    stage.signal("-TERM");
    let told = Instant::now();
    while !heard(&stage).contains(" 503 ") {
        assert!(told.elapsed() < PATIENCE);
    }
    // Held still: all of this is unread, and two wait at the listener, when it wakes near its end.
    stage.signal("-STOP");
    resting.write_all(request("a3", "", "unread").as_bytes()).unwrap();
    half.write_all(&whole.as_bytes()[40..]).unwrap();
    new.write_all(request("a4", "", "first").as_bytes()).unwrap();
    let mut waiting = [connect(&stage), connect(&stage)];
    waiting[0].write_all(request("a5", "", "waits").as_bytes()).unwrap();
    waiting[1].write_all(request("a6", "", "waits").as_bytes()).unwrap();
    std::thread::sleep(NEAR_THE_END.saturating_sub(told.elapsed()));
    stage.signal("-CONT");
    for stream in [&mut resting, &mut half, &mut new].into_iter().chain(&mut waiting) {
        let text = to_the_end(stream);
        assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    }
    assert!(TcpStream::connect(stage.listen).is_err(), "nobody is let in any more");
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.await_yes();
    assert!(stage.lines().contains("journal replayed: 6 messages open"), "{}", stage.lines());
}

#[test]
fn a_last_answer_is_not_lost_to_what_stands_unread_behind_it() {
    let mut stage = Stage::new("behind-the-last");
    stage.start();
    let mut client = connect(&stage);
    // More than is read at once: the rest is with the system when the connection ends.
    let second = request("b2", "", &"y".repeat(60_000));
    let both = request("b1", "Connection: close\r\n", "x") + &second;
    client.write_all(both.as_bytes()).unwrap();
    let text = to_the_end(&mut client);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.matches("HTTP/1.1").count() == 1, "{text:?}");
    assert!(
        open_flows(&mut stage).contains("journal replayed: 1 messages open"),
        "the second is not taken on"
    );
}

#[test]
fn what_comes_after_a_resting_connection_was_ended_is_not_taken_on() {
    let mut stage = Stage::new("after-the-end");
    stage.start();
    let mut client = connect(&stage);
    client.write_all(request("c1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    assert_eq!(to_the_end(&mut client), "", "it rests until the forwarder ends it");
    // Twice: behind a close, the first would be answered with a reset and the second fail.
    client.write_all(request("c2", "", "late").as_bytes()).expect("it is read and dropped");
    client.write_all(request("c3", "", "late").as_bytes()).expect("it is read and dropped");
    assert_eq!(client.read(&mut [0; 10]).expect("no reset"), 0);
    heard(&stage);
    assert!(open_flows(&mut stage).contains("journal replayed: 1 messages open"), "{}", stage.lines());
}

#[test]
fn signals_on_signals_end_a_process_once_and_clients_are_served_meanwhile() {
    let mut stage = Stage::new("signals");
    stage.start();
    let mut client = connect(&stage);
    client.write_all(request("d1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    // All in one turn of the loop.
    stage.signal("-STOP");
    ["-HUP", "-TERM", "-HUP", "-TERM"].into_iter().for_each(|signal| stage.signal(signal));
    client.write_all(request("d2", "", "x").as_bytes()).unwrap();
    stage.signal("-CONT");
    assert!(answer(&mut client).contains(" 202 "));
    while !heard(&stage).contains(" 503 ") {}
    stage.signal("-TERM");
    stage.signal("-HUP");
    client.write_all(request("d3", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    assert_eq!(to_the_end(&mut client), "");
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.await_yes();
    assert!(stage.lines().contains("journal replayed: 3 messages open"), "{}", stage.lines());
}

#[test]
fn a_kill_right_behind_a_202_loses_nothing() {
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
        let flow = support::byhand::flow(&stage, &format!("f{round}"));
        assert_eq!(flow["id"], format!("f{round}"), "{}", stage.lines());
    }
}

/// The platform's file tells another address: who is connected at the old one finishes there, then a drain and a stop come.
#[test]
fn a_listener_that_moves_a_drain_and_a_stop_leave_no_request_without_its_answer() {
    let mut stage = Stage::new("moves");
    stage.start();
    let (mut resting, mut half) = (connect(&stage), connect(&stage));
    resting.write_all(request("g1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut resting).contains(" 202 "));
    let whole = request("g2", "", "half and half");
    half.write_all(&whole.as_bytes()[..40]).unwrap();
    heard(&stage);
    let (old, new) = (stage.listen, support::free());
    let path = stage.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace(&old.to_string(), &new.to_string())).unwrap();
    stage.signal("-HUP");
    assert_eq!(to_the_end(&mut resting), "", "it rests: ended, not reset");
    assert!(TcpStream::connect(old).is_err(), "nobody is let in at the old address");
    half.write_all(&whole.as_bytes()[40..]).unwrap();
    let text = to_the_end(&mut half);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    stage.listen = new;
    // A drain right behind it, and a stop within the drain.
    let mut client = connect(&stage);
    client.write_all(request("g3", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    let told = support::load::ask(stage.ops, "PUT", "/ops/drain/start", "", "").unwrap();
    assert_eq!(told.0, 200, "{told:?}");
    client.write_all(request("g4", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut client).contains(" 202 "));
    stage.signal("-TERM");
    let mut last = connect(&stage);
    last.write_all(request("g5", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut last).contains(" 202 "));
    assert!(!to_the_end(&mut client).contains("HTTP/1.1 4"));
    assert!(!to_the_end(&mut last).contains("HTTP/1.1 4"));
    assert_eq!(stage.process().wait().unwrap().code(), Some(0));
    stage.start();
    stage.await_yes();
    assert!(stage.lines().contains("journal replayed: 5 messages open"), "{}", stage.lines());
}

/// At the end of a drain no connection without a request is kept; one opened after it, whose request comes a few turns later, still
/// has its answer (as in a stop, clients may have picked the address a moment ago).
#[test]
fn a_request_on_a_connection_opened_after_a_drain_has_its_answer() {
    let mut stage = Stage::new("behind-a-drain");
    stage.start();
    let told = support::load::ask(stage.ops, "PUT", "/ops/drain/start", "", "").unwrap();
    assert_eq!(told.0, 200, "{told:?}");
    let drained = Instant::now();
    // Silent ones are ended after 2 s; the second one sooner, as the drain is over then.
    for _ in 0..2 {
        assert_eq!(to_the_end(&mut connect(&stage)), "");
    }
    let took = drained.elapsed();
    assert!(took < Duration::from_secs(4), "staff expect all to be closed by then: {took:?}");
    for number in 0..20 {
        let mut client = connect(&stage);
        // It is let in, and a turn later looked at again.
        heard(&stage);
        heard(&stage);
        client.write_all(request(&format!("h{number}"), "", "x").as_bytes()).unwrap();
        let text = to_the_end(&mut client);
        assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
    }
    let begun = Instant::now();
    assert_eq!(to_the_end(&mut connect(&stage)), "", "none stays");
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
}

#[test]
fn a_connection_opened_right_before_the_listener_moves_has_its_answer() {
    let mut stage = Stage::new("opened-before-a-move");
    stage.start();
    let (mut resting, mut opened) = (connect(&stage), connect(&stage));
    resting.write_all(request("i1", "", "x").as_bytes()).unwrap();
    assert!(answer(&mut resting).contains(" 202 "));
    heard(&stage);
    let path = stage.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace(&stage.listen.to_string(), &support::free().to_string())).unwrap();
    stage.signal("-HUP");
    assert_eq!(to_the_end(&mut resting), "", "the listener has moved");
    opened.write_all(request("i2", "", "x").as_bytes()).unwrap();
    let text = to_the_end(&mut opened);
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("Connection: close"), "{text:?}");
}
