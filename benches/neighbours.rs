//! Messages delivered per second for polite tenants, with and without a misbehaving tenant, over loopback:
//! `cargo bench --bench neighbours`. Both cases alternate within one run. The limits are 40 slots and 400
//! held messages; the tenants have no settings but their names. Each client of a polite tenant submits a
//! message every 20 ms for an endpoint that answers at once. The misbehaving tenant has sixteen clients that
//! never wait, and an endpoint that takes 4 s.

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
use support::load::{message, serve, serve_platform, Shared};
use support::Stage;

const ROUNDS: u32 = 3;
const WARM_UP: Duration = Duration::from_secs(6);
const ROUND_DURATION: Duration = Duration::from_secs(6);
const SLOW_ENDPOINT: Duration = Duration::from_secs(4);
const BAD_CLIENTS: u64 = 16;

/// Number of polite tenants, and clients of each.
const CASES: [(u64, u64); 2] = [(1, 8), (19, 1)];

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next_id: AtomicU64,
    delivered: AtomicU64,
    rejected: AtomicU64,
    bad_delivered: AtomicU64,
    bad_rejected: AtomicU64,
}

fn client(at: SocketAddr, tenant: u64, destination: u64, pause: Duration, counts: &Counts) {
    let connect = || BufReader::new(TcpStream::connect(at).unwrap());
    let mut reader = connect();
    let rejected = if pause.is_zero() { &counts.bad_rejected } else { &counts.rejected };
    while !counts.stop.load(SeqCst) {
        thread::sleep(pause);
        let id = counts.next_id.fetch_add(1, SeqCst);
        let request = request_of(id, &format!("t{tenant}"), destination + id % (DESTINATIONS / 2));
        let written = reader.get_mut().write_all(request.as_bytes());
        match message(&mut reader).filter(|_| written.is_ok()) {
            Some((status_line, ..)) if status_line.contains(" 202 ") => {}
            Some(_) => {
                rejected.fetch_add(1, SeqCst);
            }
            // The forwarder closed the connection in favour of another.
            None => reader = connect(),
        }
    }
}

/// Returns the messages delivered per second for the polite tenants and for the misbehaving one, and the
/// share of the polite tenants' messages that were rejected.
fn round(polite: u64, clients: u64, bad: bool) -> (f64, f64, f64) {
    let mut stage = Stage::new("neighbours");
    std::fs::write(stage.folder.join("config.json"), config(&stage, 400)).unwrap();
    let tenants: String =
        (0..=polite).map(|index| format!("  - {{name: t{index}, quota_per_s: 0}}\n")).collect();
    stage.write_operators_file(&format!("limits: {{slots: 40}}\ntenants:\n{tenants}"));
    serve_platform(stage.listener("platform"), Shared::default());
    let counts = Arc::new(Counts::default());
    for (name, answer_after) in [("s1", Duration::ZERO), ("s2", SLOW_ENDPOINT)] {
        let endpoint_counts = counts.clone();
        serve(stage.listener(name), move |_, _, _| {
            thread::sleep(answer_after);
            let count = match answer_after.is_zero() {
                true => &endpoint_counts.delivered,
                false => &endpoint_counts.bad_delivered,
            };
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
    thread::sleep(WARM_UP);
    let read =
        || [&counts.delivered, &counts.bad_delivered, &counts.rejected].map(|count| count.load(SeqCst));
    let before = read();
    thread::sleep(ROUND_DURATION);
    let [delivered, bad, rejected] = read().map(|count| count as f64);
    let [delivered, bad, rejected] =
        [delivered - before[0] as f64, bad - before[1] as f64, rejected - before[2] as f64];
    counts.stop.store(true, SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let seconds = ROUND_DURATION.as_secs_f64();
    (delivered / seconds, bad / seconds, rejected / (delivered + rejected).max(1.0))
}

fn main() {
    println!(
        "{:>8} {:>8} {:>14} {:>14} {:>7} {:>12} {:>10}",
        "polite", "clients", "alone, a second", "beside, a second", "ratio", "rejected", "the other's"
    );
    for (polite, clients) in CASES {
        for _ in 0..ROUNDS {
            let (alone, ..) = round(polite, clients, false);
            let (beside, other, rejected) = round(polite, clients, true);
            println!(
                "{polite:>8} {clients:>8} {alone:>14.0} {beside:>14.0} {:>7.3} {:>11.1}% {other:>10.1}",
                beside / alone,
                100.0 * rejected
            );
        }
    }
}
