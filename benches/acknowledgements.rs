//! Latency of acknowledgements of the program over loopback, with 20,000 messages held and 5,000 submitted a
//! second, without and with a change of the configuration every 100 ms: `cargo bench --bench
//! acknowledgements`. The measurements alternate within one run, so that other load on the machine affects
//! both alike.

mod common;
#[path = "../tests/support/mod.rs"]
mod support;

use common::{config, request};
use hdrhistogram::Histogram;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::load::{ask, message, serve, serve_platform, Shared};
use support::Stage;

const CLIENTS: u64 = 16;
const REQUESTS_PER_S: u64 = 5_000;
/// Rounds of each kind of change.
const ROUNDS: u32 = 4;
const ROUND_DURATION: Duration = Duration::from_secs(4);
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of seconds in an environment variable, or the default.
fn seconds(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn client(
    number: u64,
    at: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
    latencies: Arc<Mutex<Histogram<u64>>>,
) {
    let mut reader = BufReader::new(TcpStream::connect(at).unwrap());
    let interval = Duration::from_nanos(1_000_000_000 * CLIENTS / REQUESTS_PER_S);
    let mut due = Instant::now() + interval * number as u32 / CLIENTS as u32;
    while !stop.load(SeqCst) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due += interval;
        let id = next_id.fetch_add(1, SeqCst);
        let sent_at = Instant::now();
        reader.get_mut().write_all(request(id).as_bytes()).unwrap();
        let (status_line, ..) = message(&mut reader).expect("an answer");
        let latency = sent_at.elapsed().as_micros() as u64;
        assert!(status_line.contains(" 202 ") || status_line.contains(" 503 "), "{status_line}");
        latencies.lock().unwrap().record(latency).unwrap();
    }
}

fn main() {
    let fill_time = Duration::from_secs(seconds("CEDARWHARF_FILL_SECONDS", 8));
    let mut stage = Stage::new("acknowledgements");
    std::fs::write(stage.folder.join("config.json"), config(&stage, 23_000)).unwrap();
    let head = "admin: {listen: ADMIN, tokens: [{token: all}]}\n";
    stage.write_operators_file(head);
    serve_platform(stage.listener("platform"), Shared::default());
    // The endpoint takes 3 s per call: all slots are in use, and the number of held messages stays high.
    serve(stage.listener("s1"), |_, _, _| {
        thread::sleep(Duration::from_secs(3));
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    stage.start();
    let latencies = Arc::new(Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let (stop, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let start_client = |number| {
        let (at, stop, next_id, latencies) = (stage.listen, stop.clone(), next_id.clone(), latencies.clone());
        thread::spawn(move || client(number, at, stop, next_id, latencies))
    };
    let clients: Vec<_> = (0..CLIENTS).map(start_client).collect();
    thread::sleep(fill_time);
    let held = || ask(stage.admin, "GET", "/v1/tenants/acme", "", "").unwrap().1;
    println!("held before: {}", held().trim());
    // Without changes, with changes of times, and with changes of slots.
    let mut by_kind = [(); 3].map(|()| Histogram::<u64>::new(3).unwrap());
    let (mut change_times, mut slots, mut target_ms) = (Histogram::<u64>::new(3).unwrap(), 1_000, 30_000);
    for _ in 0..ROUNDS {
        for (kind, histogram) in by_kind.iter_mut().enumerate() {
            latencies.lock().unwrap().reset();
            let until = Instant::now() + ROUND_DURATION;
            while Instant::now() < until {
                thread::sleep(CHANGE_INTERVAL);
                if kind == 0 {
                    continue;
                }
                // Changes the target time, or the slots and the limit of held messages by 24 up or down.
                match kind {
                    1 => target_ms = 60_001 - target_ms,
                    _ => slots = 2_024 - slots,
                }
                let classes =
                    format!("{{name: note, effect: retryable, aim_ms: {target_ms}, deadline_ms: 600000}}");
                let file = stage.fill_addresses(&format!(
                    "{head}limits: {{slots: {slots}, held_messages: {}}}\nclasses: [{classes}]\n",
                    22_000 + slots
                ));
                let version = ask(stage.admin, "GET", "/v1/config", "", "").unwrap().1;
                let version: serde_json::Value = serde_json::from_str(&version).unwrap();
                let tag = format!("If-Match: \"{}\"\r\n", version["number"]);
                let (status, body) = ask(stage.admin, "POST", "/v1/config/apply", &tag, &file).unwrap();
                assert_eq!(status, 200, "{body}");
                let body: serde_json::Value = serde_json::from_str(&body).unwrap();
                change_times.record(body["took_us"].as_u64().unwrap()).unwrap();
            }
            histogram.add(&*latencies.lock().unwrap()).unwrap();
        }
    }
    println!("held after: {}", held().trim());
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    println!("{:<12} {:>9} {:>8} {:>8} {:>8} {:>8}", "", "answers", "p50 us", "p99 us", "p99.9", "max");
    for (name, histogram) in ["no change", "times", "slots"].iter().zip(&by_kind) {
        let quantile = |quantile| histogram.value_at_quantile(quantile);
        println!(
            "{name:<12} {:>9} {:>8} {:>8} {:>8} {:>8}",
            histogram.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            histogram.max()
        );
    }
    let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64;
    for (name, histogram) in ["times", "slots"].iter().zip(&by_kind[1..]) {
        let (interval_ms, ratio) = (CHANGE_INTERVAL.as_millis(), p99(histogram) / p99(&by_kind[0]));
        println!("p99 with a change of {name} every {interval_ms} ms relative to no change: {ratio:.3}");
    }
    println!(
        "{} changes: p50 {} us, p99 {} us, max {} us",
        change_times.len(),
        change_times.value_at_quantile(0.5),
        change_times.value_at_quantile(0.99),
        change_times.max()
    );
}
