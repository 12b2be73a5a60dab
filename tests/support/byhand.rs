//! Connections that a test holds itself, byte by byte: those of clients, and those that it accepts as a real server or as
//! discovery.

use super::{load, Stage, PATIENCE};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Waits until something holds; how long is the test's patience alone.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn with_timeouts(stream: TcpStream) -> TcpStream {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// A client's connection.
pub fn connect(stage: &Stage) -> TcpStream {
    with_timeouts(TcpStream::connect(stage.listen).unwrap())
}

/// A connection that waits at a listener already, if any does.
pub fn try_accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    listener.accept().ok().map(|(stream, _)| with_timeouts(stream))
}

/// The next connection.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let mut found = None;
    until("nobody connects", || {
        found = try_accept(listener);
        found.is_some()
    });
    found.unwrap()
}

/// What comes up to the end of a head, or of the connection.
pub fn read_head(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// One whole request or answer: its head, and its body read away.
pub fn message(stream: &mut TcpStream) -> String {
    let head = read_head(stream);
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).expect("a whole body");
    head
}

/// All that comes until the other side's end; a reset is a failure.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end, not a reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A message as a client's request.
pub fn request(id: &str, class: &str, dest: u32, seconds: f64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nTenant: acme\r\n\
        Request-Timeout: {seconds}\r\nX-Addressing: dest={dest}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An answer without a body.
pub fn answer(stream: &mut TcpStream, status: &str) {
    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).unwrap();
}

/// Discovery's answer: changes of the list.
pub fn answer_list(stream: &mut TcpStream, generation: u64, instances: &str) {
    let list = format!(r#"{{"generation":{generation},"reset":false,"instances":[{instances}]}}"#);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
}

/// The next connection, with the call that comes on it.
pub fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    let mut stream = accept(listener);
    let call = message(&mut stream);
    (stream, call)
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Hands a message in on a new connection; the status.
pub fn submit(stage: &Stage, request: &str) -> u16 {
    let mut stream = connect(stage);
    stream.write_all(request.as_bytes()).unwrap();
    status(&message(&mut stream))
}

/// The status of an answer.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// All that was sent to the process before has been read by it: what one connection sends later is read later.
pub fn wait_until_input_read(stage: &Stage) -> String {
    let mut stream = connect(stage);
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    message(&mut stream)
}

/// A flow as the administration shows it; null where it is not open, and owes no end.
pub fn open_message(stage: &Stage, id: &str) -> serde_json::Value {
    let (_, body) = load::ask(stage.admin, "GET", "/v1/flows", "", "").unwrap();
    let flows: Vec<serde_json::Value> = serde_json::from_str(&body).unwrap();
    flows.into_iter().find(|flow| flow["id"] == id).unwrap_or_default()
}

/// A listener at which a connection comes up late. Its queue is full, so the system drops what asks beyond; the other side's
/// system asks again a second later, and comes up then if there is room by then.
pub struct LateListener {
    listener: TcpListener,
    _filler: TcpStream,
}

impl LateListener {
    /// From now on nobody comes up.
    pub fn new(listener: TcpListener) -> LateListener {
        rustix::net::listen(&listener, 0).unwrap();
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        let is_full =
            |address: &SocketAddr| TcpStream::connect_timeout(address, Duration::from_millis(50)).is_err();
        assert!(is_full(&address), "the queue is full");
        LateListener { listener, _filler: filler }
    }

    /// Whoever asks from now on comes up.
    pub fn open(self) -> TcpListener {
        rustix::net::listen(&self.listener, 128).unwrap();
        drop(accept(&self.listener));
        self.listener
    }
}
