//! Messages taken on a second by the real program over loopback, clients that each hand in the next one as soon as the last
//! is acknowledged: with partners that answer at once, and with partners that take 3 s, from 2,000 held to 20,000. Both in
//! turns within one run: `cargo bench --bench intake`.

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
use support::load::{message, platform, serve, Shared};
use support::Stage;

const ROUNDS: u32 = 3;
const CLIENTS: [u64; 2] = [4, 32];
const HELD: (u64, u64) = (2_000, 20_000);
/// How long a round lasts that is not ended by what is held.
const ROUND: Duration = Duration::from_secs(4);
const SLOW: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next: AtomicU64,
    taken: AtomicU64,
    turned_down: AtomicU64,
    delivered: AtomicU64,
}

fn client(at: std::net::SocketAddr, counts: &Counts) {
    let mut reader = BufReader::new(TcpStream::connect(at).unwrap());
    while !counts.stop.load(SeqCst) {
        let id = counts.next.fetch_add(1, SeqCst);
        reader.get_mut().write_all(request(id).as_bytes()).unwrap();
        let (first, ..) = message(&mut reader).expect("an answer");
        let count = if first.contains(" 202 ") { &counts.taken } else { &counts.turned_down };
        count.fetch_add(1, SeqCst);
    }
}

/// Taken on a second, and what was held at the end.
fn round(name: &str, clients: u64, slow: Duration) -> (f64, u64) {
    let mut stage = Stage::new(name);
    std::fs::write(stage.folder.join("config.json"), config(&stage, 60_000)).unwrap();
    platform(stage.listener("platform"), Shared::default());
    let counts = Arc::new(Counts::default());
    let seen = counts.clone();
    serve(stage.listener("s1"), move |_, _, _| {
        thread::sleep(slow);
        seen.delivered.fetch_add(1, SeqCst);
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    stage.start();
    let one = |_| {
        let (at, counts) = (stage.listen, counts.clone());
        thread::spawn(move || client(at, &counts))
    };
    let threads: Vec<_> = (0..clients).map(one).collect();
    let held = || counts.taken.load(SeqCst).saturating_sub(counts.delivered.load(SeqCst));
    // A second to warm up, or until some thousands are held.
    let began = Instant::now();
    let warm = || slow == Duration::ZERO && began.elapsed() > Duration::from_secs(1) || held() >= HELD.0;
    while !warm() {
        thread::sleep(Duration::from_millis(1));
    }
    let (began, before) = (Instant::now(), counts.taken.load(SeqCst));
    while began.elapsed() < ROUND && held() < HELD.1 {
        thread::sleep(Duration::from_millis(1));
    }
    let rate = (counts.taken.load(SeqCst) - before) as f64 / began.elapsed().as_secs_f64();
    let held = held();
    counts.stop.store(true, SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert_eq!(counts.turned_down.load(SeqCst), 0, "turned down while there was room");
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
            let (slow, held) = round("intake-slow", clients, SLOW);
            println!("{clients:>8} {prompt:>16.0} {slow:>20.0} {:>8.2} {held:>8}", slow / prompt);
        }
    }
}
