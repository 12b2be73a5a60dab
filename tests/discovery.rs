//! Discovery that falls silent, and discovery that is away while idle clients hold all places: what the process asks next, and
//! when it knows. The times themselves are bounded without I/O in `src/net/list/round/tests.rs`.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::byhand::{self, until};
use support::Stage;

const PATIENCE: Duration = Duration::from_secs(20);
/// A change counts as told so long after a watch fell silent.
const TOLD: Duration = Duration::from_secs(6);

/// The next call of the watch, on a new connection.
fn call(listener: &TcpListener) -> (TcpStream, String) {
    loop {
        let mut stream = accept(listener);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let request = read(&mut stream);
        if request.starts_with("GET /v1/endpoints") {
            return (stream, request);
        }
        // Notices are none of this test's.
        stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n").unwrap();
    }
}

/// The next connection, within the test's patience.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let begun = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        assert!(begun.elapsed() < PATIENCE, "nobody connects");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn read(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

fn tell(stream: &mut TcpStream, list: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
}

/// s2 drains, in a list of many lines.
fn drain(stage: &Stage, generation: u64) -> String {
    format!(
        "{{\n  \"generation\": {generation},\n  \"reset\": false,\n  \"instances\": [\n    {{\n      \"instanceId\": \"s2\",\n      \
        \"hostPort\": \"{}\",\n      \"zone\": \"z\", \"machineType\": \"plain\", \"cell\": 2,\n      \
        \"lifecycle\": \"draining\", \"weight\": 1.0, \"startedAtMs\": 0\n    }}\n  ]\n}}\n",
        stage.at("s2")
    )
}

/// Whether s2 is listed as draining, as staff see it.
fn knows_the_drain(stage: &Stage) -> bool {
    let asked = support::load::ask(stage.admin, "GET", "/v1/entries", "all", "");
    asked.is_ok_and(|(_, text)| text.contains("draining"))
}

/// Whatever discovery does, messages are taken on and tried: none waits for 4 s without an attempt.
fn serves(stage: &Stage) {
    let begun = Instant::now();
    assert_eq!(byhand::hand_in(stage, &byhand::request("on", "note", 3, 30.0, "on")), 202);
    let (_server, tried) = byhand::called(&stage.listener("s3"));
    assert!(tried.contains("Request-Id: on\r\n"), "{tried}");
    assert!(begun.elapsed() < Duration::from_secs(4), "tried after {:?}", begun.elapsed());
}

#[test]
fn a_watch_silent_from_its_first_moment_is_opened_anew_on_another_connection_and_answered_at_once() {
    let mut stage = Stage::new("silent-start");
    let listener = stage.listener("platform");
    stage.start();
    let (silent, first) = call(&listener);
    let since = Instant::now();
    assert!(first.contains("from=7&hold_ms="), "{first}");
    serves(&stage);
    let (mut second, again) = call(&listener);
    let took = since.elapsed();
    assert!(again.contains("from=7&hold_ms=0 "), "one that is answered at once: {again}");
    assert!(took < TOLD, "{took:?} after it fell silent");
    tell(&mut second, &drain(&stage, 8));
    until("the drain is not known", || knows_the_drain(&stage));
    let rest = read(&mut second);
    assert!(rest.contains("from=8&hold_ms=4000"), "the watch goes on where it is answered: {rest}");
    drop(silent);
}

#[test]
fn a_list_that_breaks_off_and_one_in_pieces_are_told_apart() {
    let mut stage = Stage::new("in-pieces");
    let listener = stage.listener("platform");
    stage.start();
    let (mut first, _) = call(&listener);
    let list = drain(&stage, 8);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    // In the middle of an entry: nothing of it counts.
    first.write_all(&answer.as_bytes()[..answer.len() - 90]).unwrap();
    drop(first);
    serves(&stage);
    let (mut second, again) = call(&listener);
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    assert!(!knows_the_drain(&stage), "half a list is none");
    // Byte by byte, each in a turn of its own.
    for byte in answer.bytes() {
        second.write_all(&[byte]).unwrap();
        std::thread::yield_now();
    }
    until("the list in pieces is not known", || knows_the_drain(&stage));
}

#[test]
fn a_discovery_that_returns_is_heard_though_idle_clients_hold_every_place() {
    let mut stage = Stage::new("every-place");
    let listener = stage.listener("platform");
    stage.start();
    // While discovery is down its agent is silent.
    let (_silent, _) = call(&listener);
    // 256 descriptors; more idle clients than that, and each place that is given up is taken at once.
    let mut crowd: Vec<TcpStream> = Vec::new();
    let crowds = |crowd: &mut Vec<TcpStream>| {
        for _ in 0..300 {
            crowd.extend(TcpStream::connect(stage.listen));
        }
    };
    crowds(&mut crowd);
    let (mut watch, _) = call(&listener);
    crowds(&mut crowd);
    let list = drain(&stage, 8).replace("\"s2\"", "\"s3\"").replace("\"cell\": 2", "\"cell\": 3");
    tell(&mut watch, &list);
    // On a busy machine that call was given up meanwhile: then the next one is answered.
    let mut watches = vec![watch];
    until("the list is not known", || {
        if let Some(mut next) = byhand::waiting(&listener) {
            read(&mut next);
            tell(&mut next, &list);
            watches.push(next);
        }
        knows_the_drain(&stage)
    });
    // A connection to a real server and the journal have their descriptors, too.
    let server = stage.listener("s2");
    let mut client = TcpStream::connect(stage.listen).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let request = "POST /api HTTP/1.1\r\nRequest-Id: e1\r\nRequest-Class: payment\r\nTenant: acme\r\nRequest-Timeout: 30\r\n\
        X-Addressing: dest=2\r\nContent-Length: 0\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    assert!(read(&mut client).starts_with("HTTP/1.1 202 "), "{}", stage.lines());
    let mut called = accept(&server);
    called.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(read(&mut called).contains("Request-Id: e1"));
}

/// Its system takes no connection for a while: each call's time covers the connection, and the next one that comes up is answered.
#[test]
fn a_discovery_whose_connections_do_not_come_up_is_heard_soon_once_they_do() {
    let mut stage = Stage::new("never-up");
    let late = byhand::Late::new(stage.listener("platform"));
    stage.start();
    until("a call was given up", || stage.lines().contains("discovery: no answer"));
    serves(&stage);
    let listener = late.open();
    let since = Instant::now();
    let (mut watch, again) = call(&listener);
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    tell(&mut watch, &drain(&stage, 8));
    until("the drain is not known", || knows_the_drain(&stage));
    assert!(since.elapsed() < TOLD, "{:?} after it could be reached", since.elapsed());
}

/// A list that never ends is given up, and the last good one stays; the next call is answered.
#[test]
fn a_list_without_an_end_is_given_up_and_asked_for_again() {
    let mut stage = Stage::new("endless");
    let listener = stage.listener("platform");
    stage.start();
    let (mut endless, _) = call(&listener);
    let since = Instant::now();
    let dripping = std::thread::spawn(move || {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        // Until the process ends the connection.
        while endless.write_all(&bytes).is_ok() {
            bytes = b"8\r\n        \r\n".to_vec();
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    serves(&stage);
    let (mut watch, again) = call(&listener);
    assert!(since.elapsed() < TOLD, "{:?} after it began", since.elapsed());
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    assert!(!knows_the_drain(&stage));
    tell(&mut watch, &drain(&stage, 8));
    until("the drain is not known", || knows_the_drain(&stage));
    dripping.join().unwrap();
}
