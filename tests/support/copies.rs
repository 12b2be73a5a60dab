//! Endpoints that send some of their answers twice: the second copy arrives when the next call is already out on
//! the connection, or a moment after the first.

use super::load::{has_ended, message, Shared};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// When a second copy is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CopyMoment {
    /// Right after the next call on the connection has arrived.
    UnderTheNextCall,
    /// Some milliseconds after the answer, whether or not a call is out.
    AfterTheAnswer,
}

/// Time from the arrival of a call to its answer.
const SERVICE_MS: std::ops::Range<u64> = 20..60;
/// Longest delay of a second copy.
const MAX_COPY_DELAY_MS: u64 = 10;
/// Of 100 calls, how many are rejected, and how many fail after the effect.
const REJECTED_PERCENT: u32 = 10;
const FAILED_PERCENT: u32 = 3;

/// What the endpoints observed, beside what they record in the ledger.
#[derive(Default)]
pub struct Observed {
    /// Calls that arrived while an earlier one of the same message was out on an open connection.
    pub second_attempts: Vec<String>,
    /// Number of second copies written while a call was out.
    pub copies_under_calls: u32,
    /// Connections with the latest call of each message, while it has no answer.
    open_calls: BTreeMap<String, TcpStream>,
}

/// Endpoints that share their records; clones are the same.
#[derive(Clone)]
pub struct CopyingEndpoints {
    moment: CopyMoment,
    /// Answers with status 200 have different bodies; otherwise all are equal.
    distinct_bodies: bool,
    ledger: Shared,
    pub observed: Arc<Mutex<Observed>>,
}

impl CopyingEndpoints {
    pub fn new(moment: CopyMoment, distinct_bodies: bool, ledger: Shared) -> CopyingEndpoints {
        CopyingEndpoints { moment, distinct_bodies, ledger, observed: Arc::default() }
    }

    /// Serves an endpoint; the random choices of its connections are drawn from the seed.
    pub fn serve(&self, listener: TcpListener, seed: u64) {
        let endpoints = self.clone();
        thread::spawn(move || {
            let mut seeds = Rng::with_seed(seed);
            for stream in listener.incoming().flatten() {
                let (endpoints, random) = (endpoints.clone(), Rng::with_seed(seeds.u64(..)));
                thread::spawn(move || endpoints.serve_connection(stream, random));
            }
        });
    }

    fn serve_connection(&self, mut stream: TcpStream, mut random: Rng) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut copy: Option<String> = None;
        while let Some((_, headers, _)) = message(&mut reader) {
            let id = headers["request-id"].clone();
            self.record_arrival(&id, &stream);
            if let Some(copy) = copy.take() {
                thread::sleep(Duration::from_millis(random.u64(0..=MAX_COPY_DELAY_MS)));
                self.observed.lock().unwrap().copies_under_calls += 1;
                if stream.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(random.u64(SERVICE_MS)));
            let answer = self.answer(&id, &mut random);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            match self.moment {
                CopyMoment::UnderTheNextCall => copy = Some(answer),
                CopyMoment::AfterTheAnswer => {
                    let mut stream = stream.try_clone().unwrap();
                    let delay = Duration::from_millis(random.u64(0..=MAX_COPY_DELAY_MS));
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let _ = stream.write_all(answer.as_bytes());
                    });
                }
            }
        }
    }

    fn record_arrival(&self, id: &str, stream: &TcpStream) {
        let mut observed = self.observed.lock().unwrap();
        let earlier = observed.open_calls.insert(id.to_owned(), stream.try_clone().unwrap());
        if earlier.is_some_and(|earlier| !has_ended(&earlier)) {
            observed.second_attempts.push(id.to_owned());
        }
    }

    /// Draws the outcome of a call, records it, and returns the answer.
    fn answer(&self, id: &str, random: &mut Rng) -> String {
        self.observed.lock().unwrap().open_calls.remove(id);
        let draw = random.u32(0..100);
        if draw < REJECTED_PERCENT {
            return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let mut ledger = self.ledger.lock().unwrap();
        *ledger.effects.entry(id.to_owned()).or_default() += 1;
        if draw < REJECTED_PERCENT + FAILED_PERCENT {
            return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        *ledger.delivered.entry(id.to_owned()).or_default() += 1;
        let body = if self.distinct_bodies { format!("{:016x}", random.u64(..)) } else { "ok".to_owned() };
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }
}
