//! What tenants have delivered while one of them misbehaves, and without it, over loopback, in turns within one run:
//! `cargo bench --bench neighbours`. 40 slots, 400 messages held, no settings but the tenants' names. The polite ones hand in
//! a message every 20 ms for a partner that answers at once; the other has sixteen clients that never wait, and a partner
//! that takes 4 s.

mod common;
#[path = "../tests/support/mod.rs"]
mod support;

use common::{config, request_of, DESTINATIONS};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::load::{message, platform, serve, Shared};
use support::Stage;

const ROUNDS: u32 = 3;
const WARM: Duration = Duration::from_secs(6);
const ROUND: Duration = Duration::from_secs(6);
const SLOW: Duration = Duration::from_secs(4);
const BAD_CLIENTS: u64 = 16;

/// Polite tenants, and clients of each.
const KINDS: [(u64, u64); 2] = [(1, 8), (19, 1)];

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next: AtomicU64,
    delivered: AtomicU64,
    turned_down: AtomicU64,
    bad_delivered: AtomicU64,
    bad_turned_down: AtomicU64,
}

fn client(at: SocketAddr, tenant: u64, destination: u64, pause: Duration, counts: &Counts) {
    let connect = || BufReader::new(TcpStream::connect(at).unwrap());
    let mut reader = connect();
    let turned_down = if pause.is_zero() { &counts.bad_turned_down } else { &counts.turned_down };
    while !counts.stop.load(SeqCst) {
        thread::sleep(pause);
        let id = counts.next.fetch_add(1, SeqCst);
        let request = request_of(id, &format!("t{tenant}"), destination + id % (DESTINATIONS / 2));
        let written = reader.get_mut().write_all(request.as_bytes());
        match message(&mut reader).filter(|_| written.is_ok()) {
            Some((first, ..)) if first.contains(" 202 ") => {}
            Some(_) => {
                turned_down.fetch_add(1, SeqCst);
            }
            // Its connection gave way to another.
            None => reader = connect(),
        }
    }
}

/// Delivered a second for the polite tenants and for the other, and the share of the polite ones' turned down.
fn round(polite: u64, clients: u64, bad: bool) -> (f64, f64, f64) {
    let mut stage = Stage::new("neighbours");
    std::fs::write(stage.folder.join("config.json"), config(&stage, 400)).unwrap();
    let tenants: String =
        (0..=polite).map(|place| format!("  - {{name: t{place}, quota_per_s: 0}}\n")).collect();
    stage.write_fronts(&format!("limits: {{slots: 40}}\ntenants:\n{tenants}"));
    platform(stage.listener("platform"), Shared::default());
    let counts = Arc::new(Counts::default());
    for (name, slow) in [("s1", Duration::ZERO), ("s2", SLOW)] {
        let seen = counts.clone();
        serve(stage.listener(name), move |_, _, _| {
            thread::sleep(slow);
            let count = if slow.is_zero() { &seen.delivered } else { &seen.bad_delivered };
            count.fetch_add(1, SeqCst);
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
        });
    }
    stage.start();
    let start = |tenant: u64, destination: u64, pause: Duration| {
        let (at, counts) = (stage.listen, counts.clone());
        thread::spawn(move || client(at, tenant, destination, pause, &counts))
    };
    let mut threads = Vec::new();
    for tenant in 1..=polite {
        threads.extend((0..clients).map(|_| start(tenant, 0, Duration::from_millis(20))));
    }
    if bad {
        threads.extend((0..BAD_CLIENTS).map(|_| start(0, DESTINATIONS / 2, Duration::ZERO)));
    }
    thread::sleep(WARM);
    let read =
        || [&counts.delivered, &counts.bad_delivered, &counts.turned_down].map(|count| count.load(SeqCst));
    let before = read();
    thread::sleep(ROUND);
    let [delivered, bad, turned_down] = read().map(|count| count as f64);
    let [delivered, bad, turned_down] =
        [delivered - before[0] as f64, bad - before[1] as f64, turned_down - before[2] as f64];
    counts.stop.store(true, SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let seconds = ROUND.as_secs_f64();
    (delivered / seconds, bad / seconds, turned_down / (delivered + turned_down).max(1.0))
}

fn main() {
    println!(
        "{:>8} {:>8} {:>14} {:>14} {:>7} {:>12} {:>10}",
        "polite", "clients", "alone, a second", "beside, a second", "ratio", "turned down", "the other's"
    );
    for (polite, clients) in KINDS {
        for _ in 0..ROUNDS {
            let (alone, ..) = round(polite, clients, false);
            let (beside, other, turned_down) = round(polite, clients, true);
            println!(
                "{polite:>8} {clients:>8} {alone:>14.0} {beside:>14.0} {:>7.3} {:>11.1}% {other:>10.1}",
                beside / alone,
                100.0 * turned_down
            );
        }
    }
}
