//! Acknowledgements of the real program over loopback while 20,000 messages are held and 5,000 a second come in, without
//! and with a change of the configuration every 100 ms: `cargo bench --bench acknowledgements`. Both are measured in turns
//! within one run, so that what else the machine does meets both alike.

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
use support::load::{ask, message, platform, serve, Shared};
use support::Stage;

const CLIENTS: u64 = 16;
const A_SECOND: u64 = 5_000;
/// Rounds of each kind, and how long each is.
const ROUNDS: u32 = 4;
const ROUND: Duration = Duration::from_secs(4);
const BETWEEN_CHANGES: Duration = Duration::from_millis(100);

fn seconds(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn client(
    number: u64,
    at: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    heard: Arc<Mutex<Histogram<u64>>>,
) {
    let mut reader = BufReader::new(TcpStream::connect(at).unwrap());
    let pause = Duration::from_nanos(1_000_000_000 * CLIENTS / A_SECOND);
    let mut due = Instant::now() + pause * number as u32 / CLIENTS as u32;
    while !stop.load(SeqCst) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due += pause;
        let id = next.fetch_add(1, SeqCst);
        let began = Instant::now();
        reader.get_mut().write_all(request(id).as_bytes()).unwrap();
        let (first, ..) = message(&mut reader).expect("an answer");
        let took = began.elapsed().as_micros() as u64;
        assert!(first.contains(" 202 ") || first.contains(" 503 "), "{first}");
        heard.lock().unwrap().record(took).unwrap();
    }
}

fn main() {
    let fill = Duration::from_secs(seconds("CEDARWHARF_FILL_SECONDS", 8));
    let mut stage = Stage::new("acknowledgements");
    std::fs::write(stage.folder.join("config.json"), config(&stage, 23_000)).unwrap();
    let head = "admin: {listen: ADMIN, tokens: [{token: all}]}\n";
    stage.write_fronts(head);
    platform(stage.listener("platform"), Shared::default());
    // Partners that take 3 s: all slots are taken, and what is held stays so.
    serve(stage.listener("s1"), |_, _, _| {
        thread::sleep(Duration::from_secs(3));
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    stage.start();
    let heard = Arc::new(Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let one = |number| {
        let (at, stop, next, heard) = (stage.listen, stop.clone(), next.clone(), heard.clone());
        thread::spawn(move || client(number, at, stop, next, heard))
    };
    let clients: Vec<_> = (0..CLIENTS).map(one).collect();
    thread::sleep(fill);
    let held = || ask(stage.admin, "GET", "/v1/tenants/acme", "", "").unwrap().1;
    println!("held before: {}", held().trim());
    let mut sides = [(); 3].map(|()| Histogram::<u64>::new(3).unwrap());
    let (mut took, mut slots, mut aim) = (Histogram::<u64>::new(3).unwrap(), 1_000, 30_000);
    for _ in 0..ROUNDS {
        for (changes, side) in sides.iter_mut().enumerate() {
            heard.lock().unwrap().reset();
            let until = Instant::now() + ROUND;
            while Instant::now() < until {
                thread::sleep(BETWEEN_CHANGES);
                if changes == 0 {
                    continue;
                }
                // Of the times alone, or of what is let in and out, too: 24 more or fewer each time.
                match changes {
                    1 => aim = 60_001 - aim,
                    _ => slots = 2_024 - slots,
                }
                let classes =
                    format!("{{name: note, effect: retryable, aim_ms: {aim}, deadline_ms: 600000}}");
                let file = stage.filled(&format!(
                    "{head}limits: {{slots: {slots}, held_messages: {}}}\nclasses: [{classes}]\n",
                    22_000 + slots
                ));
                let version = ask(stage.admin, "GET", "/v1/config", "", "").unwrap().1;
                let version: serde_json::Value = serde_json::from_str(&version).unwrap();
                let tag = format!("If-Match: \"{}\"\r\n", version["number"]);
                let (status, told) = ask(stage.admin, "POST", "/v1/config/apply", &tag, &file).unwrap();
                assert_eq!(status, 200, "{told}");
                let told: serde_json::Value = serde_json::from_str(&told).unwrap();
                took.record(told["took_us"].as_u64().unwrap()).unwrap();
            }
            side.add(&*heard.lock().unwrap()).unwrap();
        }
    }
    println!("held after: {}", held().trim());
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    println!("{:<12} {:>9} {:>8} {:>8} {:>8} {:>8}", "", "answers", "p50 us", "p99 us", "p99.9", "most");
    for (name, side) in ["no change", "times", "slots"].iter().zip(&sides) {
        let at = |quantile| side.value_at_quantile(quantile);
        println!(
            "{name:<12} {:>9} {:>8} {:>8} {:>8} {:>8}",
            side.len(),
            at(0.5),
            at(0.99),
            at(0.999),
            side.max()
        );
    }
    let p99 = |side: &Histogram<u64>| side.value_at_quantile(0.99) as f64;
    for (name, side) in ["times", "slots"].iter().zip(&sides[1..]) {
        let (every, ratio) = (BETWEEN_CHANGES.as_millis(), p99(side) / p99(&sides[0]));
        println!("p99 with a change of {name} every {every} ms over that without: {ratio:.3}");
    }
    println!(
        "{} changes: p50 {} us, p99 {} us, most {} us",
        took.len(),
        took.value_at_quantile(0.5),
        took.value_at_quantile(0.99),
        took.max()
    );
}
