//! One peer that sends at full speed on one connection: other clients are answered in time, and the process
//! holds no more memory from then on.

mod support;

use cedarwharf::net::amqp::{self, method, PutArgument, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::byhand::*;
use support::memory::anonymous_bytes;
use support::Stage;

/// Time in which a client awaits its answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Memory that may come and go without being a growth.
const MEMORY_SLACK: u64 = 3_000_000;

/// A peer that sends at full speed, reads what it is sent, and connects again when it is disconnected.
struct Flood {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<u64>>,
}

impl Flood {
    /// Sends `opening` on each new connection, then what `next` returns for 0, 1, and so on.
    fn start(address: SocketAddr, opening: Vec<u8>, next: impl Fn(u64) -> Vec<u8> + Send + 'static) -> Flood {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut sent = 0;
            while !is_stopped.load(SeqCst) {
                let Ok(mut stream) = TcpStream::connect(address) else { continue };
                stream.set_nodelay(true).unwrap();
                let mut reader = stream.try_clone().unwrap();
                let discards = std::thread::spawn(move || {
                    let mut chunk = [0; 65_536];
                    while reader.read(&mut chunk).is_ok_and(|count| count > 0) {}
                });
                let mut open = stream.write_all(&opening).is_ok();
                while open && !is_stopped.load(SeqCst) {
                    open = stream.write_all(&next(sent)).is_ok();
                    sent += 1;
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
                discards.join().unwrap();
            }
            sent
        });
        Flood { stopped, thread: Some(thread) }
    }

    /// Stops it; returns how often it has sent.
    fn stop(mut self) -> u64 {
        self.stopped.store(true, SeqCst);
        self.thread.take().unwrap().join().unwrap()
    }
}

fn running_stage(name: &str) -> Stage {
    let mut stage = Stage::new(name);
    stage.start();
    stage.wait_until_ready();
    stage
}

/// Plays a flood beside a client that asks again and again, and checks the time of its answers and the memory
/// after the first third of the flood.
fn assert_others_are_served(mut stage: Stage, flood: Flood) {
    let process = stage.process().id();
    let begun = Instant::now();
    let (mut slowest, mut answers, mut early) = (Duration::ZERO, 0, None);
    while begun.elapsed() < FLOOD_TIME {
        let asked = Instant::now();
        let mut client = connect(&stage);
        client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        let head = message(&mut client);
        assert!(matches!(status(&head), 200 | 503), "{head:?}");
        slowest = slowest.max(asked.elapsed());
        answers += 1;
        if begun.elapsed() > FLOOD_TIME / 3 {
            early.get_or_insert_with(|| anonymous_bytes(process).unwrap());
        }
    }
    let late = anonymous_bytes(process).unwrap();
    let sent = flood.stop();
    assert!(slowest < ANSWER_TIME, "the slowest of {answers} answers took {slowest:?}, {sent} sent beside");
    let early = early.unwrap();
    assert!(late < early + MEMORY_SLACK, "{early} bytes grew to {late}, {sent} sent");
}

#[test]
fn client_that_sends_small_unsound_requests_delays_no_other() {
    let stage = running_stage("unsound");
    let bytes = "GET /nothing HTTP/1.1\r\n\r\n".repeat(2_000).into_bytes();
    let flood = Flood::start(stage.listen, Vec::new(), move |_| bytes.clone());
    assert_others_are_served(stage, flood);
}

#[test]
fn client_that_submits_under_ever_new_names_delays_no_other() {
    let stage = running_stage("new-names");
    let flood = Flood::start(stage.listen, Vec::new(), |number| {
        let requests = (0..50).map(|each| {
            let id = format!("{number}-{each}-{}", "n".repeat(200));
            let unknown = request(&id, &format!("class{number}"), 3, 30.0, "").replace("acme", &id);
            request(&id, "note", 77_000 + number as u32, 0.01, "")
                + &unknown
                + &request(&id, "note", 3, 0.001, "")
        });
        requests.collect::<String>().into_bytes()
    });
    assert_others_are_served(stage, flood);
}

#[test]
fn heads_of_many_short_fields_byte_by_byte_delay_no_other() {
    let stage = running_stage("byte-by-byte");
    let head = format!("POST /api HTTP/1.1\r\nContent-Length: 60000\r\n{}\r\n", "a:\r\n".repeat(120));
    let floods: Vec<Flood> =
        (0..4).map(|_| Flood::start(stage.listen, head.clone().into_bytes(), |_| b"x".to_vec())).collect();
    let mut floods = floods.into_iter();
    let first = floods.next().unwrap();
    assert_others_are_served(stage, first);
    floods.for_each(|flood| {
        flood.stop();
    });
}

#[test]
fn administration_client_without_a_token_delays_no_other() {
    let stage = running_stage("administration");
    let bytes = "GET /v1/config HTTP/1.1\r\n\r\n".repeat(2_000).into_bytes();
    let flood = Flood::start(stage.admin, Vec::new(), move |_| bytes.clone());
    assert_others_are_served(stage, flood);
}

/// The frames with which a publisher opens a connection and channel 1.
fn opening() -> Vec<u8> {
    let mut bytes = amqp::PROTOCOL.to_vec();
    let mut start = Vec::new();
    start.put_table(&[]);
    start.put_short_string(b"PLAIN");
    start.put_long_string(b"\0acme-pub\0secret");
    start.put_short_string(b"en_US");
    amqp::write_method(&mut bytes, 0, method::START_OK, &start);
    amqp::write_method(&mut bytes, 0, method::TUNE_OK, &[0, 64, 0, 2, 0, 0, 0, 0]);
    amqp::write_method(&mut bytes, 0, method::OPEN, b"\x04acme\0\0");
    amqp::write_method(&mut bytes, 1, method::CHANNEL_OPEN, &[0]);
    bytes
}

/// The frames of a publish on channel 1 whose answer goes to a queue.
fn publish(id: &str, queue: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut args = vec![0, 0];
    args.put_short_string(b"");
    args.put_short_string(b"any");
    args.push(0);
    amqp::write_method(&mut bytes, 1, method::PUBLISH, &args);
    let properties = amqp::Properties {
        headers: vec![("dest".into(), Value::Text(b"3".to_vec()))],
        message_id: Some(id.as_bytes().into()),
        kind: Some(b"note"[..].into()),
        expiration: Some(b"50"[..].into()),
        reply_to: Some(queue.as_bytes().into()),
        ..amqp::Properties::default()
    };
    amqp::write_content(&mut bytes, 1, &properties, b"x", amqp::FRAME_MAX);
    bytes
}

#[test]
fn publisher_that_repeats_a_message_under_ever_new_reply_queues_takes_no_more_memory() {
    let stage = running_stage("reply-queues");
    let flood = Flood::start(stage.amqp, opening(), |number| {
        let publishes =
            (0..50).flat_map(|each| publish("again", &format!("q{number}-{each}-{}", "n".repeat(200))));
        publishes.collect()
    });
    assert_others_are_served(stage, flood);
}

#[test]
fn publisher_that_declares_ever_new_queues_delays_no_other() {
    let stage = running_stage("declares");
    let flood = Flood::start(stage.amqp, opening(), |number| {
        let declares = (0..200).flat_map(|each| {
            let mut args = vec![0, 0];
            args.put_short_string(format!("d{}", (number * 200 + each) % 250).as_bytes());
            args.push(0);
            args.put_table(&[]);
            let mut bytes = Vec::new();
            amqp::write_method(&mut bytes, 1, method::QUEUE_DECLARE, &args);
            bytes
        });
        declares.collect()
    });
    assert_others_are_served(stage, flood);
}

#[test]
fn publisher_that_closes_again_and_again_is_disconnected() {
    let mut stage = running_stage("closes-again");
    let mut stream = TcpStream::connect(stage.amqp).unwrap();
    stream.write_all(amqp::PROTOCOL).unwrap();
    let mut close = Vec::new();
    amqp::write_close(&mut close, 0, &amqp::Fault(200, "bye".into()), (0, 0));
    let begun = Instant::now();
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let mut has_ended = false;
    // The handshake's time, with a margin.
    while !has_ended && begun.elapsed() < Duration::from_secs(5) {
        let written = stream.write_all(&close);
        let mut chunk = [0; 4096];
        has_ended = written.is_err() || matches!(stream.read(&mut chunk), Ok(0));
    }
    assert!(has_ended, "still connected after {:?}", begun.elapsed());
    assert!(stage.process().try_wait().unwrap().is_none());
}
