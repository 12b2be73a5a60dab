//! The memory that peers can make the process hold, with the least memory and the most descriptors that the
//! operators' pages name. Each kind of peer holds as much as it can on as many connections as it gets; the
//! process stays within its limit and serves other clients.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::byhand::*;
use support::memory::MemoryWatch;
use support::Stage;

/// The least memory that the pages name, as in `limits.memory_mb`.
const MEMORY_BYTES: u64 = 32_000_000;
/// Time in which a client awaits its answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Connections of one crowd: more than the descriptors allow.
const CROWD: usize = 1_100;

/// A stage whose process has the least memory and the most descriptors that the pages name.
fn small_stage(name: &str) -> Stage {
    let mut stage = Stage::new(name);
    stage.edit_platform_file("platform", |text| {
        let text = text.replace("\"memory_mb\":192", "\"memory_mb\":32");
        text.replace("\"sockets\":256", "\"sockets\":1024")
    });
    stage.start();
    stage.wait_until_ready();
    stage
}

/// Connects and writes as much as the process takes at once; the rest stays unsent.
fn write_some(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
    let _ = stream.write_all(bytes);
    Some(stream)
}

/// Checks that a client on a new connection is answered within the time that clients wait.
fn assert_served(stage: &Stage, id: &str) {
    let begun = Instant::now();
    let mut client = connect(stage);
    client.write_all(request(id, "note", 3, 30.0, "x").as_bytes()).unwrap();
    let head = message(&mut client);
    assert!(matches!(status(&head), 202 | 503), "{head:?}");
    assert!(begun.elapsed() < ANSWER_TIME, "answered after {:?}", begun.elapsed());
}

/// Plays several crowds in a row, each with these bytes on each connection, and checks the process's memory.
fn assert_memory_is_bounded(name: &str, address: impl Fn(&Stage) -> SocketAddr, bytes: &[u8]) -> Stage {
    let mut stage = small_stage(name);
    let memory = MemoryWatch::start(stage.process().id());
    for round in 0..2 {
        let crowd: Vec<_> = (0..CROWD).filter_map(|_| write_some(address(&stage), bytes)).collect();
        wait_until_input_read(&stage);
        assert_served(&stage, &format!("round{round}"));
        assert!(memory.peak() < MEMORY_BYTES, "{} bytes in round {round}", memory.peak());
        drop(crowd);
    }
    assert!(stage.process().try_wait().unwrap().is_none(), "the process runs");
    stage
}

/// The head of a submission with a large body.
fn large_head(id: &str) -> String {
    let head = request(id, "note", 3, 30.0, "");
    head.replace("Content-Length: 0", "Content-Length: 65536")
}

#[test]
fn clients_that_stop_within_large_requests_do_not_exhaust_the_memory() {
    let bytes = large_head("stops").into_bytes().into_iter().chain([b'x'; 60_000]).collect::<Vec<u8>>();
    let stage = assert_memory_is_bounded("stops-within", |stage| stage.listen, &bytes);
    let (_, body) = support::load::ask(stage.ops, "GET", "/ops/clients", "", "").unwrap();
    let figures: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert!(figures["closed_for_memory"].as_u64() > Some(0), "{body}");
}

#[test]
fn heads_of_many_short_fields_do_not_exhaust_the_memory() {
    let fields = "a:\r\n".repeat(4_000);
    let bytes = large_head("fields").replace("\r\n\r\n", &format!("\r\n{fields}"));
    assert_memory_is_bounded("short-fields", |stage| stage.listen, bytes.as_bytes());
}

#[test]
fn clients_that_keep_connections_after_large_requests_do_not_exhaust_the_memory() {
    let mut stage = small_stage("keeps-connections");
    let memory = MemoryWatch::start(stage.process().id());
    let body = "x".repeat(60_000);
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let mut client = connect(&stage);
        client.write_all(request(&format!("kept{number}"), "note", 3, 30.0, &body).as_bytes()).unwrap();
        let head = message(&mut client);
        assert!(matches!(status(&head), 202 | 503), "{head:?}");
        crowd.push(client);
    }
    assert!(memory.peak() < MEMORY_BYTES, "{} bytes", memory.peak());
    assert_served(&stage, "after");
}

/// A publisher's frames: on each of 64 channels a message that stops short of its end.
fn unfinished_publishes() -> Vec<u8> {
    use cedarwharf::net::amqp::{self, method, PutArgument, Value};
    let mut bytes = amqp::PROTOCOL.to_vec();
    let mut start = Vec::new();
    start.put_table(&[]);
    start.put_short_string(b"PLAIN");
    start.put_long_string(b"\0acme-pub\0secret");
    start.put_short_string(b"en_US");
    amqp::write_method(&mut bytes, 0, method::START_OK, &start);
    amqp::write_method(&mut bytes, 0, method::TUNE_OK, &[0, 64, 0, 2, 0, 0, 0, 0]);
    amqp::write_method(&mut bytes, 0, method::OPEN, b"\x04acme\0\0");
    for channel in 1..=64 {
        amqp::write_method(&mut bytes, channel, method::CHANNEL_OPEN, &[0]);
        let mut publish = vec![0, 0];
        publish.put_short_string(b"");
        publish.put_short_string(b"any");
        publish.push(0);
        amqp::write_method(&mut bytes, channel, method::PUBLISH, &publish);
        let headers = (0..200).map(|number| (format!("h{number}"), Value::Flag(true))).collect();
        let properties = amqp::Properties { headers, ..amqp::Properties::default() };
        let mut content = Vec::new();
        amqp::write_content(&mut content, channel, &properties, &vec![b'x'; 65_536], 60_008);
        // Without the second body frame, the content is never complete.
        content.truncate(content.len() - 8 - 5_536);
        bytes.extend(content);
    }
    bytes
}

#[test]
fn publishers_that_stop_within_messages_on_all_channels_do_not_exhaust_the_memory() {
    let bytes = unfinished_publishes();
    let mut stage = small_stage("amqp-channels");
    let memory = MemoryWatch::start(stage.process().id());
    let mut crowd: Vec<_> = (0..64).map(|_| TcpStream::connect(stage.amqp).unwrap()).collect();
    for stream in &mut crowd {
        stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
        let _ = stream.write_all(&bytes);
    }
    wait_until_input_read(&stage);
    assert_served(&stage, "beside");
    assert!(memory.peak() < MEMORY_BYTES, "{} bytes", memory.peak());
}

#[test]
fn administration_connections_that_send_without_reading_do_not_exhaust_the_memory() {
    let mut stage = small_stage("administration");
    let memory = MemoryWatch::start(stage.process().id());
    let ask = "GET /v1/config HTTP/1.1\r\nAuthorization: Bearer all\r\n\r\n".repeat(2_000);
    let stops = format!(
        "POST /v1/config/check HTTP/1.1\r\nAuthorization: Bearer all\r\nContent-Length: 262144\r\n\r\n{}",
        "x".repeat(262_000)
    );
    for bytes in [ask, stops] {
        let crowd: Vec<_> = (0..64).filter_map(|_| write_some(stage.admin, bytes.as_bytes())).collect();
        wait_until_input_read(&stage);
        assert_served(&stage, "beside");
        assert!(memory.peak() < MEMORY_BYTES, "{} bytes", memory.peak());
        drop(crowd);
    }
}

/// Connects until `count` connections are open or refused.
fn crowd(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).filter_map(|_| TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()).collect()
}

#[test]
fn crowds_on_all_listeners_stay_within_the_descriptors() {
    let mut stage = Stage::new("descriptors");
    stage.start();
    stage.wait_until_ready();
    let process = stage.process().id();
    let listeners = [(stage.admin, 80), (stage.amqp, 80), (stage.ops, 40), (stage.listen, 300)];
    let crowds: Vec<_> = listeners.into_iter().map(|(address, count)| crowd(address, count)).collect();
    wait_until_input_read(&stage);
    let open = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count();
    // `limits.sockets` of this stage.
    assert!(open <= 256, "{open} descriptors are open");
    assert_eq!(submit(&stage, &request("calls", "note", 2, 30.0, "x")), 202);
    let (_, call) = accept_call(&stage.listener("s2"));
    assert!(call.contains("Request-Id: calls"), "{call}");
    assert!(!stage.log().contains("cannot accept"), "{open} descriptors: {}", stage.log());
    drop(crowds);
}

/// Connects `count` times and writes these bytes on each connection.
fn crowd_that_writes(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    (0..count).filter_map(|_| write_some(address, bytes)).collect()
}

#[test]
fn crowds_of_all_kinds_together_do_not_exhaust_the_memory() {
    let mut stage = small_stage("all-kinds");
    let memory = MemoryWatch::start(stage.process().id());
    let request_part: Vec<u8> = large_head("stops").into_bytes().into_iter().chain([b'x'; 60_000]).collect();
    let change = format!(
        "POST /v1/config/check HTTP/1.1\r\nAuthorization: Bearer all\r\nContent-Length: 262144\r\n\r\n{}",
        "x".repeat(262_000)
    );
    let call =
        format!("PUT /ops/maintenance HTTP/1.1\r\nContent-Length: 16384\r\n\r\n{}", "x".repeat(16_000));
    for round in 0..2 {
        let crowds = [
            crowd_that_writes(stage.admin, 64, change.as_bytes()),
            crowd_that_writes(stage.ops, 32, call.as_bytes()),
            crowd_that_writes(stage.amqp, 32, &unfinished_publishes()),
            crowd_that_writes(stage.listen, CROWD, &request_part),
        ];
        wait_until_input_read(&stage);
        assert_served(&stage, &format!("round{round}"));
        assert!(memory.peak() < MEMORY_BYTES, "{} bytes in round {round}", memory.peak());
        drop(crowds);
    }
}

/// Reads and discards for a short time.
fn discard_input(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    let _ = stream.read(&mut [0; 4096]);
}

#[test]
fn endpoint_whose_chunked_answer_never_ends_does_not_exhaust_the_memory() {
    let mut stage = small_stage("chunked");
    let memory = MemoryWatch::start(stage.process().id());
    let listener = stage.listener("s2");
    let endpoint = std::thread::spawn(move || {
        let (mut stream, _) = accept_call(&listener);
        // Chunks of one byte, each with a long extension.
        let chunk = format!("1;{}\r\nx\r\n", "e".repeat(1_000)).repeat(64);
        let _ = stream.write_all(b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n");
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until && stream.write_all(chunk.as_bytes()).is_ok() {
            discard_input(&mut stream);
        }
    });
    assert_eq!(submit(&stage, &request("chunked", "note", 2, 30.0, "x")), 202);
    endpoint.join().unwrap();
    assert!(memory.peak() < MEMORY_BYTES, "{} bytes", memory.peak());
}

/// Answers DNS questions: for the service 256 instances, for all else as many addresses as a message holds.
fn answer_with_many_records(mut stream: TcpStream) {
    let mut length = [0; 2];
    while stream.read_exact(&mut length).is_ok() {
        let mut query = vec![0; u16::from_be_bytes(length).into()];
        if stream.read_exact(&mut query).is_err() {
            return;
        }
        let is_service = query[query.len() - 3] == 12;
        let count: u16 = if is_service { 256 } else { 3_500 };
        let mut answer = query[..2].to_vec();
        answer.extend([0x81, 0, 0, 1]);
        answer.extend(count.to_be_bytes());
        answer.extend([0, 0, 0, 0]);
        answer.extend(&query[12..]);
        for number in 0..count {
            // The owner is a pointer to the name in the question.
            answer.extend([0xC0, 12, 0, if is_service { 12 } else { 1 }, 0, 1, 0, 0, 0, 60]);
            let instance = format!("i{number:03}{}", "n".repeat(50));
            let mut data = vec![instance.len() as u8];
            data.extend(instance.bytes());
            data.extend([0xC0, 12]);
            let data = if is_service { data } else { vec![127, 0, 0, 1] };
            answer.extend((data.len() as u16).to_be_bytes());
            answer.extend(data);
        }
        let written =
            stream.write_all(&(answer.len() as u16).to_be_bytes()).and_then(|()| stream.write_all(&answer));
        if written.is_err() {
            return;
        }
    }
}

#[test]
fn resolver_that_answers_with_many_records_does_not_exhaust_the_memory() {
    let mut stage = small_stage("resolver");
    let memory = MemoryWatch::start(stage.process().id());
    let resolver = accept(&stage.listener("resolver"));
    resolver.set_nonblocking(false).unwrap();
    answer_with_many_records(resolver);
    assert!(memory.peak() < MEMORY_BYTES, "{} bytes", memory.peak());
    assert_served(&stage, "beside");
}
