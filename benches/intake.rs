//! Messages that the program accepts per second over loopback: `cargo bench --bench intake`. Each client
//! submits a message as soon as the previous one is acknowledged. Two cases alternate within one run: an
//! endpoint that answers at once, and an endpoint that takes 3 s, measured while the held messages grow from
//! 2,000 to 20,000.

mod common;
#[path = "../tests/support/mod.rs"]
mod support;

use common::{config, request};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::load::{message, serve, serve_platform, Shared};
use support::Stage;

const ROUNDS: u32 = 3;
const CLIENTS: [u64; 2] = [4, 32];
/// Held messages at the start and at the end of a measurement.
const HELD: (u64, u64) = (2_000, 20_000);
/// Longest duration of a measurement; it ends earlier at the upper limit of held messages.
const ROUND_DURATION: Duration = Duration::from_secs(4);
const SLOW_ENDPOINT: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next_id: AtomicU64,
    accepted: AtomicU64,
    rejected: AtomicU64,
    delivered: AtomicU64,
}

fn client(at: std::net::SocketAddr, counts: &Counts) {
    let mut reader = BufReader::new(TcpStream::connect(at).unwrap());
    while !counts.stop.load(SeqCst) {
        let id = counts.next_id.fetch_add(1, SeqCst);
        reader.get_mut().write_all(request(id).as_bytes()).unwrap();
        let (status_line, ..) = message(&mut reader).expect("an answer");
        let count = if status_line.contains(" 202 ") { &counts.accepted } else { &counts.rejected };
        count.fetch_add(1, SeqCst);
    }
}

/// Returns the messages accepted per second, and the messages held at the end.
fn round(name: &str, clients: u64, answer_after: Duration) -> (f64, u64) {
    let mut stage = Stage::new(name);
    std::fs::write(stage.folder.join("config.json"), config(&stage, 60_000)).unwrap();
    serve_platform(stage.listener("platform"), Shared::default());
    let counts = Arc::new(Counts::default());
    let endpoint_counts = counts.clone();
    serve(stage.listener("s1"), move |_, _, _| {
        thread::sleep(answer_after);
        endpoint_counts.delivered.fetch_add(1, SeqCst);
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    stage.start();
    let start_client = |_| {
        let (at, counts) = (stage.listen, counts.clone());
        thread::spawn(move || client(at, &counts))
    };
    let threads: Vec<_> = (0..clients).map(start_client).collect();
    let held = || counts.accepted.load(SeqCst).saturating_sub(counts.delivered.load(SeqCst));
    // The warm-up takes a second if the endpoint answers at once, else until enough messages are held.
    let started_at = Instant::now();
    let is_warm = || {
        answer_after == Duration::ZERO && started_at.elapsed() > Duration::from_secs(1) || held() >= HELD.0
    };
    while !is_warm() {
        thread::sleep(Duration::from_millis(1));
    }
    let (started_at, before) = (Instant::now(), counts.accepted.load(SeqCst));
    while started_at.elapsed() < ROUND_DURATION && held() < HELD.1 {
        thread::sleep(Duration::from_millis(1));
    }
    let rate = (counts.accepted.load(SeqCst) - before) as f64 / started_at.elapsed().as_secs_f64();
    let held = held();
    counts.stop.store(true, SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert_eq!(counts.rejected.load(SeqCst), 0, "messages were rejected below the limit of held messages");
    (rate, held)
}

fn main() {
    println!(
        "{:>8} {:>16} {:>20} {:>8} {:>8}",
        "clients", "prompt, a second", "held, a second", "ratio", "held"
    );
    for clients in CLIENTS {
        for _ in 0..ROUNDS {
            let (prompt, _) = round("intake-prompt", clients, Duration::ZERO);
            let (slow, held) = round("intake-slow", clients, SLOW_ENDPOINT);
            println!("{clients:>8} {prompt:>16.0} {slow:>20.0} {:>8.2} {held:>8}", slow / prompt);
        }
    }
}
