//! A stand-in platform, endpoints and clients that run on their own threads, for tests under load. They
//! record in a shared [`Ledger`] what was accepted, what was reported and what took effect.

use super::byhand;
use super::Stage;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Everything that the stand-ins observed.
#[derive(Default)]
pub struct Ledger {
    /// Accepted messages, answered with 202: class by id.
    pub accepted: BTreeMap<String, String>,
    /// Messages submitted without an answer, which may have been accepted: class by id.
    pub unconfirmed: BTreeMap<String, String>,
    /// Number of times that a message took effect, by id.
    pub effects: BTreeMap<String, u32>,
    /// Number of answers that endpoints gave with status 200, by id.
    pub delivered: BTreeMap<String, u32>,
    /// Delivery reports received, by id.
    pub reports: BTreeMap<String, Vec<String>>,
    /// Calls answered as delivered, by id.
    calls: BTreeMap<String, Vec<Call>>,
    /// Processes that were killed or exited: prefix of their clients' ids, and the time.
    kills: Vec<(String, Instant)>,
    /// Time until which a stand-in endpoint withholds its answers, by port.
    pub held_until: BTreeMap<u16, Instant>,
    /// Arrival of the first delivery report of each message, by id.
    pub reported_at: BTreeMap<String, Instant>,
    /// Start of the submission of each accepted message, by id.
    pub submitted_at: BTreeMap<String, Instant>,
    /// Number of answers to clients with a status other than 202, by status; 0 counts failed connects.
    pub other_statuses: BTreeMap<u16, u64>,
    /// Ids of submissions that were answered with such a status.
    rejected: BTreeSet<String>,
    /// Answered submissions and received calls of each process with their times, by prefix of its clients'
    /// ids.
    steps: BTreeMap<String, Vec<(Instant, Step)>>,
    /// Arrival of the first and of the last call that took effect, by id.
    effect_times: BTreeMap<String, (Instant, Instant)>,
    /// Time until which a stand-in endpoint resets half of its connections instead of answering, after the
    /// call took effect, by port.
    pub resets_until: BTreeMap<u16, Instant>,
    /// Requests that were written completely and got no answer, either on a connection that stayed open or on
    /// a new connection. A kept-alive connection that ends does not count: its end may have crossed the
    /// request.
    pub unanswered: Vec<String>,
    /// Number of connections that broke without an announcement by `Connection: close`.
    pub broken_connections: u32,
    /// Times from a request to its 202, in microseconds.
    pub response_times_us: Vec<u64>,
    /// Time of the last retry-after of each endpoint, by port. A restart of the forwarder ends them.
    pub retry_after_sent_at: BTreeMap<u16, Instant>,
    /// Number of calls that arrived well before the end of a retry-after.
    pub early_retries: u32,
    /// Calls at rate-limited endpoints: arrival, and whether the call was within the limit.
    pub arrivals: Vec<(Instant, bool)>,
    /// Connections at each connection-limited endpoint, by port.
    pub connection_counts: BTreeMap<u16, ConnectionCounts>,
    /// Arrival of the first call of each process at each rate-limited endpoint, by port and by prefix of the
    /// process's client ids.
    pub first_calls: BTreeMap<(u16, String), Instant>,
}

/// Counts of the connections at an endpoint.
#[derive(Default)]
pub struct ConnectionCounts {
    open: usize,
    /// Maximum number open at once.
    pub peak_open: usize,
    /// Times at which connections were accepted.
    pub opened_at: Vec<Instant>,
    /// Number of connections above the limit.
    pub rejected: usize,
}

impl ConnectionCounts {
    /// Maximum number of new connections within one second.
    pub fn peak_per_second(&self) -> usize {
        let opened_within_second = |from: &Instant| {
            self.opened_at.iter().filter(|at| **at >= *from && at.duration_since(*from).as_secs() < 1).count()
        };
        self.opened_at.iter().map(opened_within_second).max().unwrap_or(0)
    }
}

/// An observed step of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Accepted,
    Rejected,
    /// A call that a stand-in read.
    Attempted,
}

/// One call at a stand-in endpoint.
#[derive(Clone, Copy, Debug)]
struct Call {
    /// When the request was read.
    arrived: Instant,
    /// Whether the sender had closed the connection by then: the request waited unread at the stand-in.
    sender_ended: bool,
    /// Time right before the answer was written.
    answered: Instant,
}

impl Call {
    /// Whether a process that was killed at `kill` may have ended without a record of the answer. The request
    /// may have been written before the kill and read after it; the answer may have been written before the
    /// kill and not yet been read or recorded.
    fn may_be_unrecorded_at(&self, kill: Instant) -> bool {
        (self.sender_ended || self.arrived <= kill + LONGEST_STALL) && kill <= self.answered + LONGEST_STALL
    }
}

/// Longest time for which a process may be delayed between two of its own steps, as documented for the
/// standing test.
const LONGEST_STALL: Duration = Duration::from_millis(150);

/// An answer this shortly before its message expires may be reported as undeliverable: the protocol page
/// allows each time limit this margin, and the client's clock started earlier.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);

/// Retry-after that an endpoint sends with a rejection.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// A call this long after the rejection counts as on time: the rest of the retry-after allows for delays of
/// the machine.
const MIN_KEPT_RETRY_AFTER: Duration = Duration::from_millis(350);

/// Time limit of the messages of [`Clients`].
pub const MESSAGE_TIME: Duration = Duration::from_secs(20);

/// A ledger shared by all stand-ins of a test.
pub type Shared = Arc<Mutex<Ledger>>;

/// Reads a request or a response: its first line, its headers with lower-case names, and its body.
pub fn message(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves each connection on its own thread.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&str, &BTreeMap<String, String>, &str) -> String + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(stream, answer));
        }
    });
}

/// Pseudo-header of a request whose sender had closed the connection before the request was read.
const SENDER_ENDED: &str = ":sender-ended";

/// Whether the peer is known to have closed the connection.
pub fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(count) => count == 0,
        Err(problem) => problem.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Returned by a handler instead of a response to have the connection reset.
const RESET_CONNECTION: &str = "";

/// Answers the calls on one connection in order.
fn serve_connection(mut stream: TcpStream, answer: impl Fn(&str, &BTreeMap<String, String>, &str) -> String) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some((first, mut headers, body)) = message(&mut reader) {
        if has_ended(&stream) {
            headers.insert(SENDER_ENDED.to_owned(), String::new());
        }
        let text = answer(&first, &headers, &body);
        if text == RESET_CONNECTION {
            byhand::reset(stream);
            break;
        }
        if stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
}

/// Like [`serve`], with a limit on concurrent connections: a connection above it gets a 503 and is closed.
fn serve_with_connection_limit(
    listener: TcpListener,
    max_connections: usize,
    ledger: Shared,
    answer: impl Fn(&str, &BTreeMap<String, String>, &str) -> String + Clone + Send + 'static,
) {
    let port = listener.local_addr().unwrap().port();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let admitted = {
                let mut ledger = ledger.lock().unwrap();
                let counts = ledger.connection_counts.entry(port).or_default();
                counts.opened_at.push(Instant::now());
                let admitted = counts.open < max_connections;
                counts.open += usize::from(admitted);
                counts.rejected += usize::from(!admitted);
                counts.peak_open = counts.peak_open.max(counts.open);
                admitted
            };
            let (answer, ledger) = (answer.clone(), ledger.clone());
            thread::spawn(move || {
                if admitted {
                    serve_connection(stream, answer);
                    ledger.lock().unwrap().connection_counts.entry(port).or_default().open -= 1;
                } else if message(&mut BufReader::new(stream.try_clone().unwrap())).is_some() {
                    let rejection = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(rejection.as_bytes());
                }
            });
        }
    });
}

/// Serves discovery without changes of the list, and records the delivery reports.
pub fn serve_platform(listener: TcpListener, ledger: Shared) {
    serve(listener, move |first, _, body| {
        if first.starts_with("POST") {
            ledger.lock().unwrap().record_reports(body);
            return "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        thread::sleep(Duration::from_millis(300));
        let list = r#"{"generation":7,"reset":false,"instances":[]}"#;
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
    });
}

/// Serves the endpoints s2 and s3, which deliver at once and count the effects of each message.
pub fn count_effects(stage: &Stage, ledger: &Shared) {
    for server in ["s2", "s3"] {
        let ledger = ledger.clone();
        serve(stage.listener(server), move |_, headers: &BTreeMap<String, String>, _| {
            let mut ledger = ledger.lock().unwrap();
            let effects = ledger.effects.entry(headers["request-id"].clone()).or_default();
            *effects += 1;
            let body = format!("{}-{effects}", headers["request-id"]);
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        });
    }
}

/// An endpoint that processes each call after a delay, and sometimes rejects a call or fails after the
/// effect. The delay and the failures depend on the id; rejections are random.
pub fn serve_endpoint(listener: TcpListener, delay_ms: u64, ledger: Shared) {
    let port = listener.local_addr().unwrap().port();
    serve(listener, move |first, headers, body| {
        let ids: Vec<String> = if first.contains(":batch") {
            let line = |line: &str| line.split(' ').next().unwrap().to_owned();
            body.split("\r\n").step_by(2).filter(|line| !line.is_empty()).map(line).collect()
        } else {
            vec![headers["request-id"].clone()]
        };
        let id_sum: u64 = ids[0].bytes().map(u64::from).sum();
        let arrived = Instant::now();
        thread::sleep(Duration::from_millis(delay_ms + id_sum % 7));
        let processed_at = Instant::now();
        let held_until = ledger.lock().unwrap().held_until.get(&port).copied();
        thread::sleep(
            held_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(processed_at)),
        );
        let mut ledger = ledger.lock().unwrap();
        ids.iter().for_each(|id| ledger.record_step(id, arrived, Step::Attempted));
        let elapsed = ledger
            .retry_after_sent_at
            .get(&port)
            .map(|sent_at| processed_at.saturating_duration_since(*sent_at));
        ledger.early_retries +=
            u32::from(elapsed.is_some_and(|elapsed| elapsed > MIN_KEPT_RETRY_AFTER && elapsed < RETRY_AFTER));
        // Rejections are random and independent of the id, so that a retry may be delivered.
        if fastrand::u32(0..40) == 0 {
            ledger.retry_after_sent_at.insert(port, Instant::now());
            let retry_after = RETRY_AFTER.as_millis();
            return format!(
                "HTTP/1.1 429 Full\r\nX-RateLimit-Wait-Ms: {retry_after}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        ids.iter().for_each(|id| ledger.record_effect(id, arrived));
        let resets = ledger.resets_until.get(&port).is_some_and(|until| processed_at < *until);
        if resets && fastrand::bool() {
            return RESET_CONNECTION.to_owned();
        }
        if id_sum.is_multiple_of(13) {
            return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        let lines: String = ids.iter().map(|id| format!("{id} delivered\r\n")).collect();
        let sender_ended = headers.contains_key(SENDER_ENDED);
        let call = Call { arrived, sender_ended, answered: Instant::now() };
        ids.into_iter().for_each(|id| ledger.record_delivery(id, call));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lines}", lines.len())
    });
}

/// Processing time of a call at a rate-limited endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// An endpoint with a rate limit that all callers share: a token bucket that holds half a second's calls.
/// Each answer reports its level. Calls above the limit are rejected at once and use up the limit as well.
pub fn serve_rate_limited(listener: TcpListener, limit_per_s: f64, ledger: Shared) {
    serve_connection_limited(listener, limit_per_s, usize::MAX, ledger);
}

/// Like [`serve_rate_limited`], with a limit on concurrent connections.
pub fn serve_connection_limited(
    listener: TcpListener,
    limit_per_s: f64,
    max_connections: usize,
    ledger: Shared,
) {
    let bucket = Arc::new(Mutex::new((limit_per_s / 2.0, Instant::now())));
    let (port, connection_ledger) = (listener.local_addr().unwrap().port(), ledger.clone());
    serve_with_connection_limit(listener, max_connections, connection_ledger, move |_, headers, _| {
        let left = {
            let mut bucket = bucket.lock().unwrap();
            let now = Instant::now();
            let filled = bucket.0 + limit_per_s * now.duration_since(bucket.1).as_secs_f64();
            *bucket = ((filled.min(limit_per_s / 2.0) - 1.0).max(-0.2 * limit_per_s), now);
            bucket.0
        };
        let served = left >= 0.0;
        let share = (left / (limit_per_s / 2.0)).clamp(0.0, 1.0);
        let load = format!("Server-Load: x0={share:.3},x1={limit_per_s}\r\n");
        let id = headers["request-id"].clone();
        let mut ledger = ledger.lock().unwrap();
        ledger.arrivals.push((Instant::now(), served));
        let process = id.split('-').next().unwrap_or_default().to_owned();
        ledger.first_calls.entry((port, process)).or_insert_with(Instant::now);
        if !served {
            return format!("HTTP/1.1 429 Full\r\n{load}Content-Length: 0\r\n\r\n");
        }
        *ledger.effects.entry(id.clone()).or_default() += 1;
        let arrived = Instant::now();
        let sender_ended = headers.contains_key(SENDER_ENDED);
        ledger.record_delivery(id.clone(), Call { arrived, sender_ended, answered: arrived + SERVICE_TIME });
        drop(ledger);
        thread::sleep(SERVICE_TIME);
        let line = format!("{id} delivered\r\n");
        format!("HTTP/1.1 200 OK\r\n{load}Content-Length: {}\r\n\r\n{line}", line.len())
    });
}

/// An unreachable endpoint: connections to it are accepted and stay silent, and are reset once it is
/// reachable again.
pub struct CutOff {
    listener: TcpListener,
    reconnected: Arc<AtomicBool>,
    holder: JoinHandle<Vec<TcpStream>>,
}

impl CutOff {
    pub fn from_now(listener: TcpListener) -> CutOff {
        listener.set_nonblocking(true).unwrap();
        let reconnected = Arc::new(AtomicBool::new(false));
        let (acceptor, until) = (listener.try_clone().unwrap(), reconnected.clone());
        let holder = thread::spawn(move || {
            let mut held = Vec::new();
            while !until.load(SeqCst) {
                match acceptor.accept() {
                    Ok((stream, _)) => held.push(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            held
        });
        CutOff { listener, reconnected, holder }
    }

    /// Ends the outage. The held connections are closed with unread bytes, which resets them.
    pub fn reconnect(self) {
        self.reconnected.store(true, SeqCst);
        drop(self.holder.join().unwrap());
        self.listener.set_nonblocking(false).unwrap();
    }
}

/// Clients that submit one message after another until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    /// The address to which they connect.
    pub at: Arc<Mutex<SocketAddr>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients; each pauses before each message.
    pub fn start(count: u64, at: SocketAddr, pause: Duration, ledger: Shared) -> Clients {
        Clients::with_id_prefix("c", count, at, pause, ledger)
    }

    /// Like [`Clients::start`], with an id prefix that tells apart the clients of several processes in one
    /// ledger.
    pub fn with_id_prefix(
        id_prefix: &str,
        count: u64,
        at: SocketAddr,
        pause: Duration,
        ledger: Shared,
    ) -> Clients {
        Clients::with_classes(&["note", "payment"], id_prefix, count, at, pause, ledger)
    }

    /// Like [`Clients::with_id_prefix`], with messages of the given classes in turn.
    pub fn with_classes(
        classes: &'static [&'static str],
        id_prefix: &str,
        count: u64,
        at: SocketAddr,
        pause: Duration,
        ledger: Shared,
    ) -> Clients {
        let (stop, at) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(at)));
        let next = Arc::new(AtomicU64::new(0));
        let spawn_client = |_| {
            let (stop, at, ledger, next) = (stop.clone(), at.clone(), ledger.clone(), next.clone());
            let id_prefix = id_prefix.to_owned();
            thread::spawn(move || {
                let mut connection: Option<BufReader<TcpStream>> = None;
                while !stop.load(SeqCst) {
                    thread::sleep(pause);
                    let number = next.fetch_add(1, SeqCst);
                    let class = classes[number as usize % classes.len()];
                    let id = format!("{id_prefix}{number}");
                    let began = Instant::now();
                    let at = *at.lock().unwrap();
                    let submission = submit(&mut connection, at, &id, class, 2 + number % 2);
                    let mut ledger = ledger.lock().unwrap();
                    ledger.broken_connections += submission.broken_connections;
                    if submission.unanswered {
                        ledger.unanswered.push(id.clone());
                    }
                    match submission.status {
                        Some(202) => {
                            ledger.record_step(&id, Instant::now(), Step::Accepted);
                            ledger.submitted_at.insert(id.clone(), began);
                            ledger.accepted.insert(id, class.to_owned());
                            ledger.response_times_us.push(began.elapsed().as_micros() as u64);
                        }
                        Some(status) => {
                            *ledger.other_statuses.entry(status).or_default() += 1;
                            if status > 0 {
                                ledger.record_step(&id, Instant::now(), Step::Rejected);
                                ledger.rejected.insert(id);
                            }
                        }
                        None => {
                            ledger.unconfirmed.insert(id, class.to_owned());
                        }
                    }
                }
            })
        };
        let threads = (0..count).map(spawn_client).collect();
        Clients { stop, at, threads }
    }

    /// Stops the clients once each has finished its current message.
    pub fn stop(self) {
        self.stop.store(true, SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// Result of the submission of one message.
#[derive(Default)]
struct SubmissionResult {
    /// Status of the answer; `None` without an answer, 0 if the connect failed.
    status: Option<u16>,
    /// Number of connections that broke during the submission.
    broken_connections: u32,
    /// See [`Ledger::unanswered`].
    unanswered: bool,
}

/// How long a client waits for the answer to a submission.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Submits one message, on the kept-alive connection if there is one.
fn submit(
    connection: &mut Option<BufReader<TcpStream>>,
    at: SocketAddr,
    id: &str,
    class: &str,
    dest: u64,
) -> SubmissionResult {
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nTenant: acme\r\n\
         Request-Timeout: {}\r\nX-Addressing: dest={dest}\r\nContent-Length: 5\r\n\r\nhello",
        MESSAGE_TIME.as_secs()
    );
    let mut result = SubmissionResult::default();
    // The forwarder may have closed a kept-alive connection between two requests: retry once on a new
    // connection.
    for _ in 0..2 {
        let is_new = connection.is_none();
        let reader = match connection {
            Some(reader) => reader,
            None => {
                let Ok(stream) = TcpStream::connect(at) else {
                    thread::sleep(Duration::from_millis(20));
                    result.status = Some(0);
                    return result;
                };
                stream.set_read_timeout(Some(ANSWER_TIME)).unwrap();
                connection.insert(BufReader::new(stream))
            }
        };
        if reader.get_mut().write_all(request.as_bytes()).is_ok() {
            let written = Instant::now();
            if let Some((first, headers, _)) = message(reader) {
                if headers.get("connection").is_some_and(|value| value == "close") {
                    *connection = None;
                }
                result.status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
                return result;
            }
            result.unanswered |= is_new || written.elapsed() >= ANSWER_TIME;
        }
        *connection = None;
        result.broken_connections += 1;
    }
    result
}

impl Ledger {
    /// Records delivery reports, one per line of the body.
    pub fn record_reports(&mut self, body: &str) {
        for line in body.lines() {
            let id = line.split('"').nth(3).unwrap().to_owned();
            self.reported_at.entry(id.clone()).or_insert_with(Instant::now);
            self.reports.entry(id).or_default().push(line.to_owned());
        }
    }

    /// Records that a process was killed. Call it right before a running process is killed, or once it has
    /// exited. `id_prefix` is the prefix of the ids of its clients.
    pub fn record_kill(&mut self, id_prefix: &str) {
        self.kills.push((id_prefix.to_owned(), Instant::now()));
    }

    fn record_step(&mut self, id: &str, at: Instant, step: Step) {
        let process = id.split_inclusive('-').next().unwrap_or_default();
        self.steps.entry(process.to_owned()).or_default().push((at, step));
    }

    /// Longest time for which a process rejected every submission and made no call.
    pub fn longest_rejection(&self, id_prefix: &str) -> Duration {
        let mut steps = self.steps.get(id_prefix).cloned().unwrap_or_default();
        steps.sort_by_key(|(at, _)| *at);
        let rejections = steps.split(|(_, step)| *step != Step::Rejected);
        let length = |run: &[(Instant, Step)]| Some(run.last()?.0 - run.first()?.0);
        rejections.filter_map(length).max().unwrap_or_default()
    }

    /// Records the effect of a call that was read at `arrived`.
    fn record_effect(&mut self, id: &str, arrived: Instant) {
        *self.effects.entry(id.to_owned()).or_default() += 1;
        let (first, last) = self.effect_times.entry(id.to_owned()).or_insert((arrived, arrived));
        (*first, *last) = ((*first).min(arrived), (*last).max(arrived));
    }

    /// Messages of a class that took effect again after the window in which the endpoint drops repeats.
    pub fn outside_window(&self, class: &str, window: Duration) -> Vec<String> {
        let of_class = |id: &str| {
            self.accepted.get(id).or(self.unconfirmed.get(id)).is_some_and(|its_class| its_class == class)
        };
        let late = |(first, last): (Instant, Instant)| last - first > window + LONGEST_STALL;
        let repeated = self.effect_times.iter().filter(|(id, times)| of_class(id) && late(**times));
        repeated
            .map(|(id, (first, last))| format!("{id}: again {:?} after its first call", *last - *first))
            .collect()
    }

    /// Numbers of submissions of some clients with an answer, and without an answer. The forwarder may have
    /// counted the latter.
    pub fn answered_submissions(&self, id_prefix: &str) -> (u64, u64) {
        let matches_prefix = |id: &&String| id.starts_with(id_prefix);
        let answered = self.accepted.keys().chain(&self.rejected).filter(matches_prefix).count();
        (answered as u64, self.unconfirmed.keys().filter(matches_prefix).count() as u64)
    }

    fn record_delivery(&mut self, id: String, call: Call) {
        *self.delivered.entry(id.clone()).or_default() += 1;
        self.calls.entry(id).or_default().push(call);
    }

    /// Messages that an endpoint answered as delivered and that also have a delivery report, except for the
    /// documented cases: reports right before the message expires, when the answer may be too late for the
    /// client; and calls in flight when their process was killed, whose outcome cannot have been recorded.
    pub fn delivered_and_reported(&self) -> Vec<String> {
        let reported_near_expiry = |id: &str| {
            self.reported_at[id].duration_since(self.submitted_at[id]) >= MESSAGE_TIME - EXPIRY_MARGIN
        };
        let lost_in_kill = |id: &str| {
            let kills = self.kills.iter().filter(|(id_prefix, _)| id.starts_with(id_prefix.as_str()));
            kills.into_iter().any(|(_, at)| self.calls[id].iter().any(|call| call.may_be_unrecorded_at(*at)))
        };
        let both = |id: &&String| self.delivered.contains_key(*id) && self.reports.contains_key(*id);
        let wrong =
            self.accepted.keys().filter(both).filter(|id| !reported_near_expiry(id) && !lost_in_kill(id));
        let describe = |id: &String| {
            let at = |moment: Instant| moment.duration_since(self.submitted_at[id]);
            let calls: Vec<_> =
                self.calls[id].iter().map(|call| (at(call.arrived), at(call.answered))).collect();
            format!(
                "{id} {}: calls {calls:?}, reported {:?} {:?}",
                self.accepted[id],
                at(self.reported_at[id]),
                self.reports[id]
            )
        };
        wrong.map(describe).collect()
    }

    /// Asserts that every accepted message has a final outcome, that its reports agree, and that no payment
    /// took effect twice. Returns the number of messages that were both delivered and reported: a process
    /// that is killed between an answer and its record may cause some.
    pub fn check_outcomes(&self, log: &str) -> usize {
        let outcomes = |id: &String| (self.delivered.contains_key(id), self.reports.contains_key(id));
        let without_outcome: Vec<&String> =
            self.accepted.keys().filter(|id| outcomes(id) == (false, false)).collect();
        assert!(without_outcome.is_empty(), "without a final outcome: {without_outcome:?}\n{log}");
        for (id, reports) in &self.reports {
            let first = reports[0].split("again_ms").next();
            assert!(
                reports.iter().all(|report| report.split("again_ms").next() == first),
                "{id}: {reports:?}"
            );
        }
        for (id, _) in self.accepted.iter().chain(&self.unconfirmed).filter(|(_, class)| *class == "payment")
        {
            let effects = self.effects.get(id).copied().unwrap_or(0);
            assert!(effects <= 1, "{id} took effect {effects} times\n{log}");
        }
        self.accepted.keys().filter(|id| outcomes(id) == (true, true)).count()
    }
}

/// Sends one request to the administration API or an operators' address and returns status and body.
pub fn ask(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let length = body.len();
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer all\r\n{headers}Content-Length: \
         {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let (status_line, _, body) =
        message(&mut BufReader::new(stream)).ok_or(std::io::ErrorKind::ConnectionReset)?;
    let status = status_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, body))
}
