//! Connections that a test reads and writes itself: those of clients, and those that it accepts as an
//! endpoint or as discovery.

use super::{load, Stage, WAIT_TIMEOUT};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Waits until a condition holds; fails after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Makes a stream blocking, with time-outs for reads and writes.
fn with_timeouts(stream: TcpStream) -> TcpStream {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Opens a client connection.
pub fn connect(stage: &Stage) -> TcpStream {
    with_timeouts(TcpStream::connect(stage.listen).unwrap())
}

/// Accepts a connection that is already pending at a listener, if any.
pub fn try_accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    listener.accept().ok().map(|(stream, _)| with_timeouts(stream))
}

/// Waits for the next connection and accepts it.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let mut found = None;
    until("no connection arrives", || {
        found = try_accept(listener);
        found.is_some()
    });
    found.unwrap()
}

/// Reads up to the end of a message head, or of the connection.
pub fn read_head(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads one whole request or response and returns its head; the body is discarded.
pub fn message(stream: &mut TcpStream) -> String {
    let head = read_head(stream);
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).expect("a whole body");
    head
}

/// Reads until the peer closes the connection; a reset fails the test.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end, not a reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Builds a client's request with a message.
pub fn request(id: &str, class: &str, dest: u32, seconds: f64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nTenant: acme\r\n\
        Request-Timeout: {seconds}\r\nX-Addressing: dest={dest}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Writes a response; one with status 200 has a body of its own, as a connection is not reused otherwise.
pub fn answer(stream: &mut TcpStream, status: &str) {
    static NEXT_BODY: AtomicU64 = AtomicU64::new(0);
    let body = match status.starts_with("200") {
        true => format!("{:016x}", NEXT_BODY.fetch_add(1, SeqCst)),
        false => String::new(),
    };
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).unwrap();
}

/// Delivers two messages to endpoint s2 and returns the connection of the second one, which the forwarder keeps.
pub fn kept_connection(stage: &Stage, listener: &TcpListener) -> TcpStream {
    let deliver = |id: &str| {
        assert_eq!(submit(stage, &request(id, "payment", 2, 30.0, "pay")), 202);
        let (mut endpoint, call) = accept_call(listener);
        assert!(call.contains(&format!("Request-Id: {id}\r\n")), "{call}");
        answer(&mut endpoint, "200 OK");
        until("the message is not delivered", || open_message(stage, id).is_null());
        endpoint
    };
    drop(deliver("before"));
    let kept = deliver("kept");
    assert!(!load::has_ended(&kept), "the connection is not kept");
    kept
}

/// Writes discovery's response with changes of the list.
pub fn answer_list(stream: &mut TcpStream, generation: u64, instances: &str) {
    let list = format!(r#"{{"generation":{generation},"reset":false,"instances":[{instances}]}}"#);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).unwrap();
}

/// Accepts the next connection and reads the call on it; returns the call's head.
pub fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    let mut stream = accept(listener);
    let call = message(&mut stream);
    (stream, call)
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Submits a message on a new connection and returns the status.
pub fn submit(stage: &Stage, request: &str) -> u16 {
    let mut stream = connect(stage);
    stream.write_all(request.as_bytes()).unwrap();
    status(&message(&mut stream))
}

/// The status in the head of a response; 0 if there is none.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Waits until the forwarder has read all input sent before, with a request on a new connection: input that
/// is sent later is read later.
pub fn wait_until_input_read(stage: &Stage) -> String {
    let mut stream = connect(stage);
    stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    message(&mut stream)
}

/// A message as the administration API lists it; null if it is not open and has no outcome left to report.
pub fn open_message(stage: &Stage, id: &str) -> serde_json::Value {
    let (_, body) = load::ask(stage.admin, "GET", "/v1/flows", "", "").unwrap();
    let flows: Vec<serde_json::Value> = serde_json::from_str(&body).unwrap();
    flows.into_iter().find(|flow| flow["id"] == id).unwrap_or_default()
}

/// A listener whose accept queue is full, so that connections are established late. The kernel drops further
/// SYNs; the peer's kernel retransmits its SYN a second later and then connects if the queue has room.
pub struct LateListener {
    listener: TcpListener,
    _filler: TcpStream,
}

impl LateListener {
    /// Fills the accept queue: no further connection is established.
    pub fn new(listener: TcpListener) -> LateListener {
        rustix::net::listen(&listener, 0).unwrap();
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        let is_full =
            |address: &SocketAddr| TcpStream::connect_timeout(address, Duration::from_millis(50)).is_err();
        assert!(is_full(&address), "the queue is full");
        LateListener { listener, _filler: filler }
    }

    /// Enlarges and empties the queue, so that the next connection attempts succeed.
    pub fn open(self) -> TcpListener {
        rustix::net::listen(&self.listener, 128).unwrap();
        drop(accept(&self.listener));
        self.listener
    }
}
