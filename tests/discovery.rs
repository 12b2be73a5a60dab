//! Discovery that falls silent, and discovery that is down while idle clients hold all file descriptors: what
//! the process asks next, and when it has the list. `src/net/list/round/tests.rs` checks the bounds of the
//! delays without I/O.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::byhand::{self, until};
use support::Stage;

const PATIENCE: Duration = Duration::from_secs(20);
/// A change must be known this long after a watch fell silent.
const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);

/// The next call of the watch, on a new connection.
fn call(listener: &TcpListener) -> (TcpStream, String) {
    loop {
        let mut stream = accept(listener);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let request = read(&mut stream);
        if request.starts_with("GET /v1/endpoints") {
            return (stream, request);
        }
        // Delivery reports are not part of this test.
        stream.write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n").unwrap();
    }
}

/// The next connection; panics if none arrives within `PATIENCE`.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let begun = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        assert!(begun.elapsed() < PATIENCE, "no connection arrives");
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

fn send_list(stream: &mut TcpStream, list: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
}

/// A list in which s2 is draining, formatted over many lines.
fn draining_list(stage: &Stage, generation: u64) -> String {
    format!(
        "{{\n  \"generation\": {generation},\n  \"reset\": false,\n  \"instances\": [\n    {{\n      \"instanceId\": \"s2\",\n      \
        \"hostPort\": \"{}\",\n      \"zone\": \"z\", \"machineType\": \"plain\", \"cell\": 2,\n      \
        \"lifecycle\": \"draining\", \"weight\": 1.0, \"startedAtMs\": 0\n    }}\n  ]\n}}\n",
        stage.address_of("s2")
    )
}

/// Whether the administration API lists s2 as draining.
fn lists_draining(stage: &Stage) -> bool {
    let asked = support::load::ask(stage.admin, "GET", "/v1/entries", "all", "");
    asked.is_ok_and(|(_, text)| text.contains("draining"))
}

/// Checks that messages are accepted and attempted within 4 s whatever discovery does.
fn assert_serving(stage: &Stage) {
    let begun = Instant::now();
    assert_eq!(byhand::submit(stage, &byhand::request("on", "note", 3, 30.0, "on")), 202);
    let (_server, tried) = byhand::accept_call(&stage.listener("s3"));
    assert!(tried.contains("Request-Id: on\r\n"), "{tried}");
    assert!(begun.elapsed() < Duration::from_secs(4), "tried after {:?}", begun.elapsed());
}

#[test]
fn watch_silent_from_its_start_is_retried_without_a_hold_on_another_connection() {
    let mut stage = Stage::new("silent-start");
    let listener = stage.listener("platform");
    stage.start();
    let (silent, first) = call(&listener);
    let since = Instant::now();
    assert!(first.contains("from=7&hold_ms="), "{first}");
    assert_serving(&stage);
    let (mut second, again) = call(&listener);
    let took = since.elapsed();
    assert!(again.contains("from=7&hold_ms=0 "), "the retry asks for an immediate answer: {again}");
    assert!(took < CHANGE_KNOWN_WITHIN, "{took:?} after it fell silent");
    send_list(&mut second, &draining_list(&stage, 8));
    until("the drain is not known", || lists_draining(&stage));
    let rest = read(&mut second);
    assert!(rest.contains("from=8&hold_ms=4000"), "the watch continues on the answered connection: {rest}");
    drop(silent);
}

#[test]
fn list_cut_off_is_ignored_and_list_received_in_pieces_is_applied() {
    let mut stage = Stage::new("in-pieces");
    let listener = stage.listener("platform");
    stage.start();
    let (mut first, _) = call(&listener);
    let list = draining_list(&stage, 8);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    // Cut in the middle of an entry: no part of the list may be applied.
    first.write_all(&answer.as_bytes()[..answer.len() - 90]).unwrap();
    drop(first);
    assert_serving(&stage);
    let (mut second, again) = call(&listener);
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    assert!(!lists_draining(&stage), "an incomplete list was applied");
    // Byte by byte, each read in its own loop iteration.
    for byte in answer.bytes() {
        second.write_all(&[byte]).unwrap();
        std::thread::yield_now();
    }
    until("the list in pieces is not known", || lists_draining(&stage));
}

#[test]
fn discovery_that_returns_is_read_although_idle_clients_hold_all_descriptors() {
    let mut stage = Stage::new("every-place");
    let listener = stage.listener("platform");
    stage.start();
    // While discovery is down, its agent sends nothing.
    let (_silent, _) = call(&listener);
    // The process may open 256 descriptors. More idle clients than that connect, and every descriptor that is
    // freed is taken by another client at once.
    let mut idle_clients: Vec<TcpStream> = Vec::new();
    let connect_clients = |idle_clients: &mut Vec<TcpStream>| {
        for _ in 0..300 {
            idle_clients.extend(TcpStream::connect(stage.listen));
        }
    };
    connect_clients(&mut idle_clients);
    let (mut watch, _) = call(&listener);
    connect_clients(&mut idle_clients);
    let list = draining_list(&stage, 8).replace("\"s2\"", "\"s3\"").replace("\"cell\": 2", "\"cell\": 3");
    send_list(&mut watch, &list);
    // On a busy machine that call may have timed out meanwhile; then the next one is answered.
    let mut watches = vec![watch];
    until("the list is not known", || {
        if let Some(mut next) = byhand::try_accept(&listener) {
            read(&mut next);
            send_list(&mut next, &list);
            watches.push(next);
        }
        lists_draining(&stage)
    });
    // A connection to an endpoint and the journal get descriptors too.
    let server = stage.listener("s2");
    let mut client = TcpStream::connect(stage.listen).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let request = "POST /api HTTP/1.1\r\nRequest-Id: e1\r\nRequest-Class: payment\r\nTenant: acme\r\nRequest-Timeout: 30\r\n\
        X-Addressing: dest=2\r\nContent-Length: 0\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    assert!(read(&mut client).starts_with("HTTP/1.1 202 "), "{}", stage.log());
    let mut called = accept(&server);
    called.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(read(&mut called).contains("Request-Id: e1"));
}

/// Discovery's system accepts no connection for a while. Each call's time-out includes connecting, and the
/// first call on a connection that is established is answered.
#[test]
fn discovery_that_accepts_connections_again_is_read_within_the_limit() {
    let mut stage = Stage::new("never-up");
    let late = byhand::LateListener::new(stage.listener("platform"));
    stage.start();
    until("no call has timed out", || stage.log().contains("discovery: no answer"));
    assert_serving(&stage);
    let listener = late.open();
    let since = Instant::now();
    let (mut watch, again) = call(&listener);
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    send_list(&mut watch, &draining_list(&stage, 8));
    until("the drain is not known", || lists_draining(&stage));
    assert!(since.elapsed() < CHANGE_KNOWN_WITHIN, "{:?} after it became reachable", since.elapsed());
}

/// A list that never ends is abandoned and the last complete list stays; the next call is answered.
#[test]
fn endless_list_is_abandoned_and_requested_again() {
    let mut stage = Stage::new("endless");
    let listener = stage.listener("platform");
    stage.start();
    let (mut endless, _) = call(&listener);
    let since = Instant::now();
    let dripping = std::thread::spawn(move || {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut bytes = head.as_bytes().to_vec();
        // Until the process closes the connection.
        while endless.write_all(&bytes).is_ok() {
            bytes = b"8\r\n        \r\n".to_vec();
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    assert_serving(&stage);
    let (mut watch, again) = call(&listener);
    assert!(since.elapsed() < CHANGE_KNOWN_WITHIN, "{:?} after it began", since.elapsed());
    assert!(again.contains("from=7&hold_ms=0 "), "{again}");
    assert!(!lists_draining(&stage));
    send_list(&mut watch, &draining_list(&stage, 8));
    until("the drain is not known", || lists_draining(&stage));
    dripping.join().unwrap();
}
