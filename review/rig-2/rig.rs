//! Stand-ins and process control for the cases of this review: the platform (discovery, delivery reports),
//! endpoints, clients, AMQP publishers and brokers. Standard library only; loopback addresses only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// `record.txt`: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Recorder {
    pub fn new(path: &Path) -> Recorder {
        Recorder {
            began: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path).expect("record.txt"))),
        }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until `done` is true; false after the time-out.
pub fn wait_until(ms: u64, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep_ms(5);
    }
    done()
}

/// A free loopback address for a process that is started later. It is not 127.0.0.1, whose ports outgoing
/// connections take, and another one for each run.
pub fn free_address() -> SocketAddr {
    let id = std::process::id();
    let at = format!("127.{}.{}.{}:0", 64 + (id >> 14) % 64, 1 + (id >> 7) % 128, 1 + id % 128);
    TcpListener::bind(at).unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------- HTTP

pub struct HttpMessage {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message with a `Content-Length`, or none if the connection ends or times out.
pub fn read_http(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<HttpMessage> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let start = lines.next().unwrap_or_default().to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let length: usize = headers
                .iter()
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(HttpMessage { start, headers, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend(&chunk[..count]),
        }
    }
}

pub fn http_answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One request on a connection of its own.
pub fn ask(address: SocketAddr, request: &str, wait_ms: u64) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(wait_ms)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(wait_ms))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_http(&mut stream, &mut Vec::new())
}

// ---------------------------------------------------------------- platform

#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub zone: String,
    pub cell: u64,
    pub lifecycle: &'static str,
    pub started: u64,
}

impl Listed {
    pub fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.name, self.address, self.zone, self.kind, self.cell, self.lifecycle, self.started
        )
    }
}

#[derive(Default)]
struct PlatformState {
    generation: u64,
    list: Vec<Listed>,
    /// While silent, discovery's calls get no answer.
    silent: bool,
    reports: Vec<(u64, String, String)>,
}

/// The agent on the forwarder's machine: discovery with watches, and delivery reports.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
}

impl Platform {
    pub fn start(recorder: &Recorder) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = PlatformState { generation: 1, ..PlatformState::default() };
        let platform = Platform {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let (served, recorder) = (platform.clone(), recorder.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, recorder) = (served.clone(), recorder.clone());
                thread::spawn(move || platform.serve(stream, &recorder));
            }
        });
        platform
    }

    fn serve(&self, mut stream: TcpStream, recorder: &Recorder) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_http(&mut stream, &mut buffer) {
            let answer = if request.start.starts_with("POST /reports") {
                let mut state = self.state.0.lock().unwrap();
                for line in String::from_utf8_lossy(&request.body).lines() {
                    recorder.line(format!("platform: delivery report {line}"));
                    let field = |name: &str| {
                        let rest = line.split(&format!("\"{name}\":\"")).nth(1)?;
                        Some(rest.split('"').next()?.to_owned())
                    };
                    let report =
                        (unix_ms(), field("id").unwrap_or_default(), field("status").unwrap_or_default());
                    state.reports.push(report);
                }
                b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
            } else {
                let query = |name: &str| -> Option<u64> {
                    let rest = request.start.split(&format!("{name}=")).nth(1)?;
                    rest.split(['&', ' ']).next()?.parse().ok()
                };
                let (lock, changed) = &*self.state;
                let mut state = lock.lock().unwrap();
                let until = Instant::now() + Duration::from_millis(query("hold_ms").unwrap_or(0));
                if let Some(from) = query("from") {
                    while state.generation <= from || state.silent {
                        let left = until.saturating_duration_since(Instant::now());
                        if left.is_zero() && !state.silent {
                            break;
                        }
                        state = changed.wait_timeout(state, left.max(Duration::from_millis(20))).unwrap().0;
                    }
                    if state.generation <= from {
                        let body = format!(
                            "{{\"generation\":{},\"reset\":false,\"instances\":[]}}",
                            state.generation
                        );
                        drop(state);
                        if stream.write_all(&http_answer(200, "", &body)).is_err() {
                            return;
                        }
                        continue;
                    }
                }
                while state.silent {
                    state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
                }
                http_answer(200, "", &list_json(state.generation, &state.list))
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    pub fn set_list(&self, list: Vec<Listed>) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        state.list = list;
        self.state.1.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.generation, &state.list)
    }

    /// The reports of one message: when (Unix ms) and which status.
    pub fn reports_of(&self, id: &str) -> Vec<(u64, String)> {
        let state = self.state.0.lock().unwrap();
        state
            .reports
            .iter()
            .filter(|(_, of, _)| of == id)
            .map(|(at, _, status)| (*at, status.clone()))
            .collect()
    }

    pub fn reports(&self) -> Vec<(u64, String, String)> {
        self.state.0.lock().unwrap().reports.clone()
    }
}

fn list_json(generation: u64, list: &[Listed]) -> String {
    let instances: Vec<String> = list.iter().map(Listed::json).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", instances.join(","))
}

// ---------------------------------------------------------------- endpoints

/// What an endpoint does with a call once it has its last byte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Runs it, answers 200 after so many milliseconds.
    Deliver(u64),
    /// Runs it, answers nothing and keeps the connection.
    Hang,
    /// Runs it, answers 500.
    Error,
    /// Does not run it, answers 503.
    Full,
    /// Does not run it, answers 429 with a wait.
    Wait(u64),
    /// Runs it, closes the connection with no answer.
    Reset,
}

/// A call with one message, as an endpoint got it.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: u64,
    pub endpoint: String,
    pub id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub ran: bool,
    pub answered_200: bool,
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Endpoint {
    /// Starts an endpoint; `act` decides by the message's id.
    pub fn start(
        name: &str,
        calls: &Calls,
        recorder: &Recorder,
        act: impl Fn(&str) -> Act + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let (name, calls, recorder, act) = (name.to_owned(), calls.clone(), recorder.clone(), Arc::new(act));
        let (own_name, own_stopped) = (name.clone(), stopped.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (name, calls, recorder, act) =
                    (own_name.clone(), calls.clone(), recorder.clone(), act.clone());
                thread::spawn(move || serve_endpoint(stream, &name, &calls, &recorder, &*act));
            }
        });
        Endpoint { name, address, stopped }
    }

    pub fn listed(&self, cell: u64) -> Listed {
        Listed {
            name: self.name.clone(),
            address: self.address,
            kind: "plain".into(),
            zone: "z".into(),
            cell,
            lifecycle: "up",
            started: 0,
        }
    }
}

static ANSWERS: AtomicU64 = AtomicU64::new(0);

fn serve_endpoint(
    mut stream: TcpStream,
    name: &str,
    calls: &Calls,
    recorder: &Recorder,
    act: &(dyn Fn(&str) -> Act + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_http(&mut stream, &mut buffer) {
        if !request.start.starts_with("POST /v1/messages ") {
            let _ = stream.write_all(&http_answer(404, "", ""));
            continue;
        }
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let act = act(&id);
        let ran = !matches!(act, Act::Full | Act::Wait(_));
        let index = {
            let mut calls = calls.lock().unwrap();
            calls.push(Call {
                at: unix_ms(),
                endpoint: name.to_owned(),
                id: id.clone(),
                key: request.header("Idempotency-Key").map(str::to_owned),
                body: request.body.clone(),
                ran,
                answered_200: false,
            });
            calls.len() - 1
        };
        recorder.line(format!("{name}: call with {id}, {} bytes: {act:?}", request.body.len()));
        let number = ANSWERS.fetch_add(1, Ordering::SeqCst);
        let answer = match act {
            Act::Deliver(ms) => {
                sleep_ms(ms);
                calls.lock().unwrap()[index].answered_200 = true;
                http_answer(200, "", &format!("ok {number}"))
            }
            Act::Hang => {
                // Reads until the forwarder closes.
                while matches!(stream.read(&mut [0; 1024]), Ok(count) if count > 0) {}
                return;
            }
            Act::Error => http_answer(500, "", ""),
            Act::Full => http_answer(503, "", ""),
            Act::Wait(ms) => http_answer(429, &format!("X-RateLimit-Wait-Ms: {ms}\r\n"), ""),
            Act::Reset => return,
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

// ---------------------------------------------------------------- clients

/// A message as a client hands it in.
#[derive(Clone, Debug)]
pub struct Handed {
    pub id: String,
    pub class: &'static str,
    pub dest: u64,
    pub timeout_s: f64,
    pub body: String,
}

impl Handed {
    pub fn request(&self, tenant: &str) -> String {
        format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nTenant: {tenant}\r\n\
             Request-Timeout: {:.3}\r\nIdempotency-Key: key-{}\r\nX-Addressing: dest={}\r\nContent-Length: {}\r\n\r\n{}",
            self.id,
            self.class,
            self.timeout_s,
            self.id,
            self.dest,
            self.body.len(),
            self.body
        )
    }
}

/// Hands one message in on a connection of its own; waits 400 ms for the answer, as clients do.
pub fn hand_in(address: SocketAddr, message: &Handed, tenant: &str) -> Option<u16> {
    ask(address, &message.request(tenant), 400).map(|answer| answer.status())
}

// ---------------------------------------------------------------- the forwarder

pub struct Settings {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    pub known: String,
    pub batch: u32,
    pub disk_mb: f64,
    pub max_open: u32,
    pub slots: u32,
    /// The list `requestClasses`.
    pub classes: String,
}

/// The classes of bilbao-main.
pub const BILBAO_CLASSES: &str = r#"
   {"name":"new-episode","effect":"dedup","keyScope":"all","windowMs":15000.0,"hardLimitMs":16000.0,
    "objectiveMs":3000.0,"lateShare":0.5,"worth":2.0},
   {"name":"listen-status","effect":"retryable","hardLimitMs":6000.0,"objectiveMs":1500.0,"worth":1.0},
   {"name":"royalty-payment","effect":"fragile","hardLimitMs":28000.0,"objectiveMs":2000.0,"lateShare":0.3,"worth":4.0}"#;

/// The classes of sajha-ktm.
pub const SAJHA_CLASSES: &str = r#"
   {"name":"order-handover","effect":"dedup","keyScope":"all","windowMs":15000.0,"hardLimitMs":24000.0,
    "objectiveMs":4000.0,"lateShare":0.3,"worth":1.0},
   {"name":"status-update","effect":"retryable","hardLimitMs":5000.0,"objectiveMs":1500.0,"worth":2.0}"#;

impl Settings {
    pub fn json(&self) -> String {
        let Settings { listen, discovery, ops, known, batch, disk_mb, max_open, slots, classes } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","admin_addr":"{ops}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":{disk_mb}}},
 "known":{known},
 "settings":{{
  "contract":{{"answerSlackMs":20.0,"askWithinMs":10000.0,"coldFrom":0.18,"coldMs":13000.0,"drainGraceMs":2000.0,
   "fallMultiple":2.0,"overloadForMs":2000.0}},
  "domain":{{"batchByKind":[{batch},1],"callsOut":{slots},"fades":"halves","ownLimits":[false,false]}},
  "overShareWorth":0.1,
  "policyLimits":{{"cancelling":true,"connIdleMs":5000.0,"dialTimeoutMs":1500.0,"maxAttempts":8,"maxOpen":{max_open},
   "maxRetryAfterMs":3000.0,"probes":true,"retryAfter":true,"secondCopies":false}},
  "realms":[{{"name":"onda-norte","quotaPerS":14.0,"share":0.6}},{{"name":"ria-fm","quotaPerS":10.0,"share":0.4}}],
  "report":{{"names":["x0","x1"],"via":"answers"}},
  "requestClasses":[{classes}],
  "shapes":["batches","plain"],"siblings":2,"weights":"none","zones":["z","y"]}}}}"#
        )
    }
}

/// Processes that were started and have not been ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Ends this process and all that it started after so many seconds.
pub fn end_after(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        eprintln!("the case took too long");
        end_all();
        std::process::exit(2);
    });
}

/// A process started by the `run` command of the deploy file.
pub struct Forwarder {
    pub child: Child,
}

/// Folders and files of one run.
pub struct Stage {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub recorder: Recorder,
    pub deploy_run: String,
}

impl Stage {
    /// `root`: the repository; `case`: the folder of the case.
    pub fn new(root: &Path, case: &Path) -> Stage {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(folder.join("state")).unwrap();
        fs::create_dir_all(folder.join("tmp")).unwrap();
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
        let line = deploy.lines().find(|line| line.starts_with("run = ")).expect("run command");
        let deploy_run = line.trim_start_matches("run = ").trim().trim_matches('"').to_owned();
        Stage { root: root.to_owned(), folder, recorder: Recorder::new(&case.join("record.txt")), deploy_run }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts the forwarder: `arguments` stand behind the deploy file's command; `ops` overrides the address
    /// for operators, as at an upgrade.
    pub fn start(&self, name: &str, arguments: &str, ops: Option<SocketAddr>) -> Forwarder {
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {arguments}", self.deploy_run))
            .current_dir(&self.root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_STATE", self.folder.join("state"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        if let Some(ops) = ops {
            command.env("PROXY_ADMIN_ADDR", ops.to_string());
        }
        let child = command.spawn().expect("the forwarder starts");
        self.recorder.line(format!("platform: started forwarder {name}, process {}", child.id()));
        STARTED.lock().unwrap().push(child.id());
        Forwarder { child }
    }

    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn finish(&self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Forwarder {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let answer = ask(address, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 300);
    answer.is_some_and(|answer| answer.status() == 200)
}

pub fn ops_ready(address: SocketAddr) -> bool {
    let answer = ask(address, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 300);
    answer.is_some_and(|answer| answer.status() == 200)
}

// ---------------------------------------------------------------- small helpers

pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

pub fn count_by_id(calls: &Calls) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls.lock().unwrap().iter().filter(|call| call.ran) {
        *counts.entry(call.id.clone()).or_insert(0) += 1;
    }
    counts
}

pub type Taken = Arc<Mutex<HashMap<String, (Handed, u64)>>>;

// ---------------------------------------------------------------- AMQP 0-9-1

pub mod amqp {
    //! As much of AMQP 0-9-1 as a publisher, a consumer of answers and a broker need.

    use super::*;

    pub type Method = (u16, u16);
    pub const START: Method = (10, 10);
    pub const START_OK: Method = (10, 11);
    pub const TUNE: Method = (10, 30);
    pub const TUNE_OK: Method = (10, 31);
    pub const OPEN: Method = (10, 40);
    pub const OPEN_OK: Method = (10, 41);
    pub const CLOSE: Method = (10, 50);
    pub const CLOSE_OK: Method = (10, 51);
    pub const CHANNEL_OPEN: Method = (20, 10);
    pub const CHANNEL_OPEN_OK: Method = (20, 11);
    pub const CHANNEL_CLOSE: Method = (20, 40);
    pub const CHANNEL_CLOSE_OK: Method = (20, 41);
    pub const QUEUE_DECLARE: Method = (50, 10);
    pub const QUEUE_DECLARE_OK: Method = (50, 11);
    pub const CONSUME: Method = (60, 20);
    pub const CONSUME_OK: Method = (60, 21);
    pub const PUBLISH: Method = (60, 40);
    pub const RETURN: Method = (60, 50);
    pub const DELIVER: Method = (60, 60);
    pub const ACK: Method = (60, 80);
    pub const NACK: Method = (60, 120);
    pub const CONFIRM_SELECT: Method = (85, 10);
    pub const CONFIRM_SELECT_OK: Method = (85, 11);

    pub enum Frame {
        Method(u16, Method, Vec<u8>),
        Header(u16, u64, Properties),
        Body(u16, Vec<u8>),
        Heartbeat,
    }

    #[derive(Default, Debug, Clone)]
    pub struct Properties {
        pub headers: Vec<(String, String)>,
        pub correlation: Option<String>,
        pub reply_to: Option<String>,
        pub expiration: Option<String>,
        pub id: Option<String>,
        pub kind: Option<String>,
    }

    impl Properties {
        pub fn header(&self, name: &str) -> Option<&str> {
            self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
        }
    }

    pub fn short_string(out: &mut Vec<u8>, text: &str) {
        out.push(text.len() as u8);
        out.extend(text.as_bytes());
    }

    pub fn long_string(out: &mut Vec<u8>, text: &[u8]) {
        out.extend((text.len() as u32).to_be_bytes());
        out.extend(text);
    }

    fn table(out: &mut Vec<u8>, fields: &[(String, String)]) {
        let mut inner = Vec::new();
        for (name, value) in fields {
            short_string(&mut inner, name);
            inner.push(b'S');
            long_string(&mut inner, value.as_bytes());
        }
        long_string(out, &inner);
    }

    struct Reader<'a>(&'a [u8]);

    impl<'a> Reader<'a> {
        fn take(&mut self, count: usize) -> &'a [u8] {
            let (head, rest) = self.0.split_at(count.min(self.0.len()));
            self.0 = rest;
            head
        }

        fn number(&mut self, bytes: usize) -> u64 {
            self.take(bytes).iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte))
        }

        fn short_string(&mut self) -> String {
            let length = self.number(1) as usize;
            String::from_utf8_lossy(self.take(length)).into_owned()
        }

        fn table(&mut self) -> Vec<(String, String)> {
            let length = self.number(4) as usize;
            let mut inner = Reader(self.take(length));
            let mut fields = Vec::new();
            while !inner.0.is_empty() {
                let name = inner.short_string();
                let value = match inner.number(1) as u8 {
                    b'S' => {
                        let length = inner.number(4) as usize;
                        String::from_utf8_lossy(inner.take(length)).into_owned()
                    }
                    b'l' | b'T' | b'd' => inner.number(8).to_string(),
                    b'I' | b'i' | b'f' => inner.number(4).to_string(),
                    b't' | b'b' | b'B' => inner.number(1).to_string(),
                    b'F' | b'A' | b'x' => {
                        let length = inner.number(4) as usize;
                        inner.take(length);
                        String::new()
                    }
                    _ => return fields,
                };
                fields.push((name, value));
            }
            fields
        }
    }

    /// One side of a connection.
    pub struct Peer {
        pub stream: TcpStream,
        input: Vec<u8>,
        out: Vec<u8>,
    }

    impl Peer {
        pub fn new(stream: TcpStream) -> Peer {
            let _ = stream.set_nodelay(true);
            Peer { stream, input: Vec::new(), out: Vec::new() }
        }

        fn raw_frame(&mut self, kind: u8, channel: u16, payload: &[u8]) {
            self.out.push(kind);
            self.out.extend(channel.to_be_bytes());
            self.out.extend((payload.len() as u32).to_be_bytes());
            self.out.extend(payload);
            self.out.push(0xCE);
        }

        pub fn method(&mut self, channel: u16, name: Method, args: &[u8]) {
            let mut payload = name.0.to_be_bytes().to_vec();
            payload.extend(name.1.to_be_bytes());
            payload.extend(args);
            self.raw_frame(1, channel, &payload);
        }

        pub fn content(&mut self, channel: u16, properties: &Properties, body: &[u8]) {
            let mut payload = vec![0, 60, 0, 0];
            payload.extend((body.len() as u64).to_be_bytes());
            let texts = [
                (1u16 << 10, &properties.correlation),
                (1 << 9, &properties.reply_to),
                (1 << 8, &properties.expiration),
                (1 << 7, &properties.id),
                (1 << 5, &properties.kind),
            ];
            let mut flags = if properties.headers.is_empty() { 0 } else { 1 << 13 };
            flags |= texts.iter().filter(|(_, text)| text.is_some()).map(|(bit, _)| bit).sum::<u16>();
            payload.extend(flags.to_be_bytes());
            if !properties.headers.is_empty() {
                table(&mut payload, &properties.headers);
            }
            for text in texts.iter().filter_map(|(_, text)| text.as_ref()) {
                short_string(&mut payload, text);
            }
            self.raw_frame(2, channel, &payload);
            if !body.is_empty() {
                self.raw_frame(3, channel, body);
            }
        }

        pub fn heartbeat(&mut self) {
            self.raw_frame(8, 0, &[]);
        }

        /// Writes what is queued.
        pub fn flush(&mut self) -> bool {
            let out = std::mem::take(&mut self.out);
            self.stream.write_all(&out).is_ok()
        }

        /// The next frame: `Ok(None)` after the time-out, an error once the connection has ended.
        pub fn frame(&mut self, wait_ms: u64) -> Result<Option<Frame>, ()> {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            loop {
                if self.input.len() >= 7 {
                    let mut reader = Reader(&self.input);
                    let (kind, channel) = (reader.number(1), reader.number(2) as u16);
                    let size = reader.number(4) as usize;
                    if self.input.len() >= size + 8 {
                        let payload = self.input[7..7 + size].to_vec();
                        self.input.drain(..size + 8);
                        let mut reader = Reader(&payload);
                        return Ok(Some(match kind {
                            1 => {
                                let name = (reader.number(2) as u16, reader.number(2) as u16);
                                Frame::Method(channel, name, reader.0.to_vec())
                            }
                            2 => {
                                reader.take(4);
                                let size = reader.number(8);
                                Frame::Header(channel, size, properties(&mut reader))
                            }
                            3 => Frame::Body(channel, payload),
                            _ => Frame::Heartbeat,
                        }));
                    }
                }
                let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
                let _ = self.stream.set_read_timeout(Some(left));
                let mut chunk = [0; 16384];
                match self.stream.read(&mut chunk) {
                    Ok(0) => return Err(()),
                    Ok(count) => self.input.extend(&chunk[..count]),
                    Err(problem)
                        if matches!(
                            problem.kind(),
                            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                        ) =>
                    {
                        if Instant::now() >= until {
                            return Ok(None);
                        }
                    }
                    Err(_) => return Err(()),
                }
            }
        }

        /// Reads until a method arrives; its arguments, or none.
        pub fn wait_for(&mut self, name: Method, wait_ms: u64) -> Option<Vec<u8>> {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            while Instant::now() < until {
                if let Some(Frame::Method(_, got, args)) = self.frame(100).ok()? {
                    if got == name {
                        return Some(args);
                    }
                    if got == CLOSE || got == CHANNEL_CLOSE {
                        return None;
                    }
                }
            }
            None
        }
    }

    fn properties(reader: &mut Reader) -> Properties {
        let flags = reader.number(2) as u16;
        let mut properties = Properties::default();
        for bit in (1..16).rev().map(|position| 1u16 << position).filter(|bit| flags & bit != 0) {
            match bit {
                0x2000 => properties.headers = reader.table(),
                0x1000 | 0x0800 => drop(reader.take(1)),
                0x0040 => drop(reader.take(8)),
                _ => {
                    let text = Some(reader.short_string());
                    match bit {
                        0x0400 => properties.correlation = text,
                        0x0200 => properties.reply_to = text,
                        0x0100 => properties.expiration = text,
                        0x0080 => properties.id = text,
                        0x0020 => properties.kind = text,
                        _ => {}
                    }
                }
            }
        }
        properties
    }

    /// What a publisher hears.
    #[derive(Debug, Clone, PartialEq)]
    pub enum Heard {
        Ack(u64),
        Nack(u64),
        /// The final outcome of a message, with its delivery tag.
        Answer {
            tag: u64,
            id: String,
            status: String,
            again_ms: u64,
        },
        Closed(u16, String),
    }

    /// A publisher on one connection with one channel in confirm mode.
    pub struct Publisher {
        pub peer: Peer,
        pub published: u64,
        delivering: Option<u64>,
    }

    impl Publisher {
        pub fn connect(address: SocketAddr, user: &str, password: &str, vhost: &str) -> Option<Publisher> {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
            let mut peer = Peer::new(stream);
            peer.stream.write_all(b"AMQP\x00\x00\x09\x01").ok()?;
            peer.wait_for(START, 2000)?;
            let mut args = Vec::new();
            table(&mut args, &[]);
            short_string(&mut args, "PLAIN");
            long_string(&mut args, format!("\0{user}\0{password}").as_bytes());
            short_string(&mut args, "en_US");
            peer.method(0, START_OK, &args);
            peer.flush();
            peer.wait_for(TUNE, 2000)?;
            peer.method(0, TUNE_OK, &[0, 10, 0, 2, 0, 0, 0, 0]);
            let mut args = Vec::new();
            short_string(&mut args, vhost);
            args.extend([0, 0]);
            peer.method(0, OPEN, &args);
            peer.flush();
            peer.wait_for(OPEN_OK, 2000)?;
            peer.method(1, CHANNEL_OPEN, &[0]);
            peer.flush();
            peer.wait_for(CHANNEL_OPEN_OK, 2000)?;
            peer.method(1, CONFIRM_SELECT, &[0]);
            peer.flush();
            peer.wait_for(CONFIRM_SELECT_OK, 2000)?;
            Some(Publisher { peer, published: 0, delivering: None })
        }

        /// Declares a queue (an empty name has the server choose one) and consumes it; its name.
        pub fn answers(&mut self, name: &str, exclusive: bool) -> Option<String> {
            let mut args = vec![0, 0];
            short_string(&mut args, name);
            args.push(if exclusive { 4 } else { 2 });
            table(&mut args, &[]);
            self.peer.method(1, QUEUE_DECLARE, &args);
            self.peer.flush();
            let reply = self.peer.wait_for(QUEUE_DECLARE_OK, 2000)?;
            let name = Reader(&reply).short_string();
            let mut args = vec![0, 0];
            short_string(&mut args, &name);
            short_string(&mut args, "c");
            args.push(0);
            table(&mut args, &[]);
            self.peer.method(1, CONSUME, &args);
            self.peer.flush();
            self.peer.wait_for(CONSUME_OK, 2000)?;
            Some(name)
        }

        pub fn publish(&mut self, message: &Handed, reply_to: &str) -> u64 {
            let mut args = vec![0, 0];
            short_string(&mut args, "");
            short_string(&mut args, "any");
            args.push(0);
            self.peer.method(1, PUBLISH, &args);
            let properties = Properties {
                headers: vec![
                    ("dest".into(), message.dest.to_string()),
                    ("key".into(), format!("key-{}", message.id)),
                ],
                reply_to: Some(reply_to.to_owned()).filter(|name| !name.is_empty()),
                expiration: Some(((message.timeout_s * 1000.0) as u64).to_string()),
                id: Some(message.id.clone()),
                kind: Some(message.class.to_owned()),
                ..Properties::default()
            };
            self.peer.content(1, &properties, message.body.as_bytes());
            self.peer.flush();
            self.published += 1;
            self.published
        }

        /// What arrives within the time; an error once the connection has ended. Answers are acknowledged.
        pub fn hear(&mut self, wait_ms: u64) -> Result<Vec<Heard>, Vec<Heard>> {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let mut heard = Vec::new();
            loop {
                let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                match self.peer.frame(left) {
                    Err(()) => return Err(heard),
                    Ok(None) => return Ok(heard),
                    Ok(Some(Frame::Method(_, name, args))) => {
                        let mut args = Reader(&args);
                        match name {
                            ACK => heard.push(Heard::Ack(args.number(8))),
                            NACK => heard.push(Heard::Nack(args.number(8))),
                            DELIVER => {
                                args.short_string();
                                self.delivering = Some(args.number(8));
                            }
                            CLOSE | CHANNEL_CLOSE => {
                                heard.push(Heard::Closed(args.number(2) as u16, args.short_string()));
                                return Err(heard);
                            }
                            _ => {}
                        }
                    }
                    Ok(Some(Frame::Header(_, _, properties))) => {
                        if let Some(tag) = self.delivering.take() {
                            let status = properties.header("status").unwrap_or_default().to_owned();
                            let again_ms =
                                properties.header("again_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                            let id = properties.id.unwrap_or_default();
                            heard.push(Heard::Answer { tag, id, status, again_ms });
                            let mut args = tag.to_be_bytes().to_vec();
                            args.push(0);
                            self.peer.method(1, ACK, &args);
                            self.peer.flush();
                        }
                    }
                    Ok(Some(_)) => {}
                }
                if !heard.is_empty() && Instant::now() >= until {
                    return Ok(heard);
                }
            }
        }
    }

    /// What a broker does with a publish once it has all of it.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub enum Take {
        Confirm(u64),
        /// It takes effect, and no confirm is sent.
        NoConfirm,
        /// It takes effect, then the channel is closed.
        CloseChannel,
        /// It takes effect, then the connection is closed.
        Drop,
        Return,
        Nack,
    }

    #[derive(Clone, Debug)]
    pub struct Effect {
        pub at: u64,
        pub id: String,
    }

    /// A broker that counts effects.
    pub fn broker(
        recorder: &Recorder,
        take: impl Fn(&str) -> Take + Send + Sync + 'static,
    ) -> (SocketAddr, Arc<Mutex<Vec<Effect>>>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let effects: Arc<Mutex<Vec<Effect>>> = Arc::default();
        let (own, recorder, take) = (effects.clone(), recorder.clone(), Arc::new(take));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (effects, recorder, take) = (own.clone(), recorder.clone(), take.clone());
                thread::spawn(move || {
                    let _ = serve_broker(stream, &effects, &recorder, &*take);
                });
            }
        });
        (address, effects)
    }

    fn serve_broker(
        mut stream: TcpStream,
        effects: &Mutex<Vec<Effect>>,
        recorder: &Recorder,
        take: &(dyn Fn(&str) -> Take + Send + Sync),
    ) -> Option<()> {
        stream.read_exact(&mut [0; 8]).ok()?;
        let mut peer = Peer::new(stream);
        let mut start = vec![0, 9];
        table(&mut start, &[]);
        long_string(&mut start, b"PLAIN");
        long_string(&mut start, b"en_US");
        peer.method(0, START, &start);
        peer.flush();
        peer.wait_for(START_OK, 2000)?;
        peer.method(0, TUNE, &[0, 100, 0, 2, 0, 0, 0, 20]);
        peer.flush();
        peer.wait_for(OPEN, 2000)?;
        peer.method(0, OPEN_OK, &[0]);
        peer.flush();
        let mut tags: HashMap<u16, u64> = HashMap::new();
        let mut incoming: HashMap<u16, (Option<Properties>, u64)> = HashMap::new();
        let mut confirms: Vec<(Instant, u16, u64)> = Vec::new();
        let mut beat = Instant::now();
        loop {
            let now = Instant::now();
            let due: Vec<(u16, u64)> = confirms
                .iter()
                .filter(|(at, ..)| *at <= now)
                .map(|&(_, channel, tag)| (channel, tag))
                .collect();
            confirms.retain(|(at, ..)| *at > now);
            for (channel, tag) in due.into_iter().filter(|(channel, _)| tags.contains_key(channel)) {
                confirm(&mut peer, channel, ACK, tag);
            }
            if beat.elapsed() > Duration::from_secs(5) {
                beat = now;
                peer.heartbeat();
            }
            peer.flush();
            let mut complete = None;
            match peer.frame(5).ok()? {
                Some(Frame::Method(channel, name, _)) => match name {
                    CHANNEL_OPEN => peer.method(channel, CHANNEL_OPEN_OK, &[0, 0, 0, 0]),
                    CONFIRM_SELECT => {
                        tags.insert(channel, 0);
                        peer.method(channel, CONFIRM_SELECT_OK, &[]);
                    }
                    CHANNEL_CLOSE => {
                        tags.remove(&channel);
                        peer.method(channel, CHANNEL_CLOSE_OK, &[]);
                    }
                    CLOSE => return None,
                    PUBLISH => drop(incoming.insert(channel, (None, 0))),
                    _ => {}
                },
                Some(Frame::Header(channel, size, properties)) => {
                    incoming.insert(channel, (Some(properties), size));
                    if size == 0 {
                        complete = Some(channel);
                    }
                }
                Some(Frame::Body(channel, part)) => {
                    if let Some((_, left)) = incoming.get_mut(&channel) {
                        *left = left.saturating_sub(part.len() as u64);
                        if *left == 0 {
                            complete = Some(channel);
                        }
                    }
                }
                _ => {}
            }
            let Some(channel) = complete else { continue };
            let Some((Some(properties), _)) = incoming.remove(&channel) else { continue };
            // A publish on a channel that the broker has closed is discarded.
            let Some(tag) = tags.get_mut(&channel) else { continue };
            *tag += 1;
            let tag = *tag;
            let id = properties.id.clone().unwrap_or_default();
            let act = take(&id);
            recorder.line(format!("broker: publish of {id}: {act:?}"));
            if act != Take::Return && act != Take::Nack {
                effects.lock().unwrap().push(Effect { at: unix_ms(), id: id.clone() });
            }
            match act {
                Take::Confirm(ms) => {
                    confirms.push((Instant::now() + Duration::from_millis(ms), channel, tag))
                }
                Take::NoConfirm => {}
                Take::CloseChannel => {
                    tags.remove(&channel);
                    let mut args = 541u16.to_be_bytes().to_vec();
                    short_string(&mut args, "closed");
                    args.extend([0, 0, 0, 0]);
                    peer.method(channel, CHANNEL_CLOSE, &args);
                }
                Take::Drop => return None,
                Take::Return => {
                    let mut args = 312u16.to_be_bytes().to_vec();
                    ["NO_ROUTE", "", "q"].iter().for_each(|text| short_string(&mut args, text));
                    peer.method(channel, RETURN, &args);
                    peer.content(channel, &properties, b"");
                    confirm(&mut peer, channel, ACK, tag);
                }
                Take::Nack => confirm(&mut peer, channel, NACK, tag),
            }
        }
    }

    fn confirm(peer: &mut Peer, channel: u16, name: Method, tag: u64) {
        let mut args = tag.to_be_bytes().to_vec();
        args.push(0);
        peer.method(channel, name, &args);
    }
}

/// An operators' file with the AMQP front and one broker.
pub fn operators_file(amqp: SocketAddr, admin: SocketAddr, broker: Option<SocketAddr>, cell: u64) -> String {
    let brokers = broker.map_or(String::new(), |address| {
        format!(
            "  brokers:\n    - {{instanceId: b{cell}, hostPort: \"{address}\", machineType: plain, cell: {cell}, user: wharf, \
             password: pw, vhost: /, exchange: \"\", routing_key: payments}}\n"
        )
    });
    format!(
        "amqp:\n  listen: \"{amqp}\"\n  tenants:\n    - {{tenant: onda-norte, user: onda, password: secret}}\n    \
         - {{tenant: ria-fm, user: ria, password: secret}}\n{brokers}admin:\n  listen: \"{admin}\"\n  tokens:\n    \
         - {{token: all, name: ana}}\n"
    )
}

impl Endpoint {
    /// The description of an endpoint that the caller serves itself.
    pub fn fake(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint { name: name.to_owned(), address, stopped: Arc::default() }
    }
}
