//! Stand-ins and helpers that the cases share: the platform (discovery and notices), HTTP endpoints, an AMQP
//! broker, clients, and the forwarder's process. Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: lines with the time since the start, also written to `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Instant, fs::File)>>);

extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

static STOPPED: AtomicBool = AtomicBool::new(false);

extern "C" fn note_stop(_: i32) {
    STOPPED.store(true, SeqCst);
}

/// No process outlives the run: not a panic, not a signal that ends it, not a run of more than 115 s.
fn guard() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        before(panic);
        // Threads of stand-ins end with their connections; only the case itself ends the run.
        if thread::current().name() == Some("main") {
            end_processes();
            std::process::exit(2);
        }
    }));
    for number in [1, 2, 15] {
        unsafe { signal(number, note_stop) };
    }
    thread::spawn(|| {
        let began = Instant::now();
        while !STOPPED.load(SeqCst) && began.elapsed() < Duration::from_secs(115) {
            sleep_ms(50);
        }
        cannot_run("stopped, or over 115 s");
    });
}

impl Record {
    pub fn create() -> Record {
        guard();
        let path = std::env::var("CASE_RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = fs::File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record(Arc::new(Mutex::new((Instant::now(), file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.0.elapsed().as_secs_f64();
        let _ = writeln!(inner.1, "{at:8.3} {}", text.as_ref());
        println!("{at:8.3} {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.0.lock().unwrap().0.elapsed().as_secs_f64()
    }
}

/// Ends the run with the code that says that the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    end_processes();
    remove_folders();
    std::process::exit(2)
}

/// Whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait_for(ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        sleep_ms(5);
    }
    holds()
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An address on which nobody listens at the moment.
pub fn free_address() -> SocketAddr {
    listener().1
}

static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Removes the temporary folders of this run, also where it could not go on.
pub fn remove_folders() {
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A fresh folder for temporary files.
pub fn temporary_folder() -> PathBuf {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
    fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
    FOLDERS.lock().unwrap().push(path.clone());
    path
}

// ---- HTTP ----

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message; the first line is returned as it is.
pub fn read_message(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some((first, headers, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => input.extend(&chunk[..count]),
            _ => return None,
        }
    }
}

pub fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    let (first, headers, body) = read_message(stream, input)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request { method, target, headers, body })
}

pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("HTTP/1.1 {status} S\r\n{headers}{length}\r\n{body}").into_bytes()
}

/// Sends one request on a connection of its own; the status and the body of the answer.
pub fn call(at: SocketAddr, request: &str, ms: u64) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(ms)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(ms))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// A message as a client hands it in.
#[derive(Clone)]
pub struct Message<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub dest: u64,
    pub timeout_s: f64,
    pub key: Option<&'a str>,
    pub body: &'a str,
}

/// Hands a message in as a client of the page does: it waits 400 ms for the answer. `None` without an answer.
pub fn hand_in(record: &Record, at: SocketAddr, message: &Message) -> Option<u16> {
    let Message { id, class, tenant, dest, timeout_s, key, body } = message;
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: {tenant}\r\nRequest-Timeout: {timeout_s:.3}\r\n{key}X-Addressing: dest={dest}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = call(at, &request, 400).map(|answer| answer.0);
    record.line(format!("client: handed in {id} ({class}, dest={dest}, {timeout_s} s): answer {answer:?}"));
    answer
}

// ---- The platform ----

/// One notice as the platform received it.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: f64,
    pub place: &'static str,
    pub id: String,
    pub status: String,
}

/// The platform: a list that never changes, and the notices that arrive.
#[derive(Clone)]
pub struct Platform {
    pub notices: Arc<Mutex<Vec<Notice>>>,
    pub list: Arc<Mutex<String>>,
    pub record: Record,
}

/// One address of the platform's agent.
pub struct Agent {
    pub at: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

pub fn json_text(line: &str, key: &str) -> String {
    let Some(at) = line.find(&format!("\"{key}\":\"")) else { return String::new() };
    line[at + key.len() + 4..].split('"').next().unwrap_or_default().to_owned()
}

impl Platform {
    pub fn new(record: &Record, list: String) -> Platform {
        Platform { notices: Arc::default(), list: Arc::new(Mutex::new(list)), record: record.clone() }
    }

    /// Serves the agent's protocol on a new address.
    pub fn serve(&self, place: &'static str) -> Agent {
        let (listener, at) = listener();
        let (closed, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let agent = Agent { at, closed: closed.clone(), open: open.clone() };
        let platform = self.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || loop {
            if closed.load(SeqCst) {
                return; // the listener closes: new connections are refused
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_nodelay(true).unwrap();
                    open.lock().unwrap().push(stream.try_clone().unwrap());
                    let platform = platform.clone();
                    thread::spawn(move || platform.serve_connection(stream, place));
                }
                Err(_) => sleep_ms(2),
            }
        });
        agent
    }

    fn serve_connection(&self, mut stream: TcpStream, place: &'static str) {
        let mut input = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut input) {
            let answer = if request.method == "POST" {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                for line in body.lines().filter(|line| !line.is_empty()) {
                    let (id, status) = (json_text(line, "id"), json_text(line, "status"));
                    self.record.line(format!("platform {place}: notice {line}"));
                    self.notices.lock().unwrap().push(Notice { at: self.record.now(), place, id, status });
                }
                response(204, "", "")
            } else if let Some((_, query)) = request.target.split_once('?') {
                let hold =
                    query.split('&').find_map(|pair| pair.strip_prefix("hold_ms=")?.parse::<u64>().ok());
                sleep_ms(hold.unwrap_or(0).min(60_000));
                response(200, "", "{\"generation\":1,\"reset\":false,\"instances\":[]}")
            } else {
                let list = self.list.lock().unwrap().clone();
                response(200, "", &list)
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    pub fn notice_of(&self, id: &str) -> Option<Notice> {
        self.notices.lock().unwrap().iter().find(|notice| notice.id == id).cloned()
    }
}

impl Agent {
    /// As the page says of the old address: it accepts no new connection from now on, and closes the open ones
    /// after 1.5 s.
    pub fn retire(&self) {
        self.closed.store(true, SeqCst);
        let open = self.open.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            open.lock().unwrap().iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        });
    }
}

/// The platform's list of endpoints.
pub fn list(generation: u64, entries: &[(&str, SocketAddr, u64)]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|(id, at, cell)| {
            format!(
                "{{\"instanceId\":\"{id}\",\"hostPort\":\"{at}\",\"zone\":\"bilbao-dc1\",\
                 \"machineType\":\"rights-bodies\",\"cell\":{cell},\"lifecycle\":\"up\",\"weight\":1.0,\"startedAtMs\":0}}"
            )
        })
        .collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

/// The platform's file, with the classes, stations and limits of `bilbao-main` at a small size.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
 "known":{known},
 "settings":{{
  "contract":{{"answerSlackMs":20.0,"coldFrom":0.18,"coldMs":13000.0,"drainGraceMs":2000.0,"fallMultiple":2.0,"overloadForMs":2000.0}},
  "domain":{{"batchByKind":[5,1,1],"callsOut":12,"fades":"halves","ownLimits":[false,false,false]}},
  "policyLimits":{{"cancelling":true,"connIdleMs":5000.0,"dialTimeoutMs":1500.0,"maxAttempts":8,"maxOpen":175,
   "maxRetryAfterMs":3000.0,"mayTell":false,"multiplex":8,"probes":true,"retryAfter":true,"secondCopies":false}},
  "overShareWorth":0.1,"registryMode":"automatic",
  "realms":[{{"name":"onda-norte","quotaPerS":14.0,"share":0.42}},{{"name":"radio-cierzo","quotaPerS":5.0,"share":0.58}}],
  "requestClasses":[
   {{"name":"new-episode","effect":"dedup","keyScope":"all","windowMs":15000.0,"hardLimitMs":16000.0,"objectiveMs":3000.0,"lateShare":0.5,"worth":2.0}},
   {{"name":"listen-status","effect":"retryable","hardLimitMs":6000.0,"objectiveMs":1500.0,"lateShare":0.0,"worth":1.0}},
   {{"name":"royalty-payment","effect":"fragile","hardLimitMs":28000.0,"objectiveMs":2000.0,"lateShare":0.3,"worth":4.0}}],
  "shapes":["directories","station-systems","rights-bodies"],"siblings":1,"weights":"none","zones":["bilbao-dc1"]}}}}
"#
    )
}

// ---- Endpoints ----

/// What an endpoint does with a call that has arrived whole.
pub enum Reaction {
    /// Answers with this status after this time; 200 counts as run.
    Answer { status: u16, after_ms: u64 },
    /// Runs the message, and answers 500 after this time.
    RunAndFail { after_ms: u64 },
}

/// One call as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub endpoint: &'static str,
    pub id: String,
    pub key: String,
    pub ran: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// An endpoint: `react` gets the message's id and how often it has come here before.
pub fn endpoint(
    record: &Record,
    name: &'static str,
    arrivals: &Arrivals,
    react: impl Fn(&str, usize) -> Reaction + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, at) = listener();
    let (record, arrivals, react) = (record.clone(), arrivals.clone(), Arc::new(react));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals, react) = (record.clone(), arrivals.clone(), react.clone());
            thread::spawn(move || serve_calls(stream, &record, name, &arrivals, &*react));
        }
    });
    at
}

fn serve_calls(
    mut stream: TcpStream,
    record: &Record,
    name: &'static str,
    arrivals: &Arrivals,
    react: &dyn Fn(&str, usize) -> Reaction,
) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut input) {
        if request.target != "/v1/messages" {
            if stream.write_all(&response(404, "", "")).is_err() {
                return;
            }
            continue;
        }
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        let key = request.headers.get("idempotency-key").cloned().unwrap_or_default();
        let before = arrivals.lock().unwrap().iter().filter(|a| a.id == id && a.endpoint == name).count();
        let reaction = react(&id, before);
        let (ran, what) = match reaction {
            Reaction::Answer { status, after_ms } => {
                (status == 200, format!("answers {status} after {after_ms} ms"))
            }
            Reaction::RunAndFail { after_ms } => {
                (true, format!("runs it and answers 500 after {after_ms} ms"))
            }
        };
        record.line(format!("endpoint {name}: call {} with {id} (key {key:?}): {what}", before + 1));
        arrivals.lock().unwrap().push(Arrival { at: record.now(), endpoint: name, id: id.clone(), key, ran });
        let (status, after_ms) = match reaction {
            Reaction::Answer { status, after_ms } => (status, after_ms),
            Reaction::RunAndFail { after_ms } => (500, after_ms),
        };
        sleep_ms(after_ms);
        record.line(format!("endpoint {name}: {id} is answered {status}"));
        if stream.write_all(&response(status, "", "")).is_err() {
            return;
        }
    }
}

// ---- A broker (AMQP 0-9-1) ----

/// A broker that confirms every publish at once.
pub fn broker(record: &Record, name: &'static str, arrivals: &Arrivals) -> SocketAddr {
    let (listener, at) = listener();
    let (record, arrivals) = (record.clone(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals) = (record.clone(), arrivals.clone());
            thread::spawn(move || serve_broker(stream, &record, name, &arrivals));
        }
    });
    at
}

fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend(channel.to_be_bytes());
    out.extend((payload.len() as u32).to_be_bytes());
    out.extend(payload);
    out.push(0xCE);
    out
}

fn method(channel: u16, class: u16, id: u16, args: &[u8]) -> Vec<u8> {
    let mut payload = class.to_be_bytes().to_vec();
    payload.extend(id.to_be_bytes());
    payload.extend(args);
    frame(1, channel, &payload)
}

fn read_exact(stream: &mut TcpStream, count: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

/// The message-id of a content header's properties.
fn message_id(properties: &[u8]) -> Option<String> {
    let flags = u16::from_be_bytes([*properties.first()?, *properties.get(1)?]);
    let mut at = 2;
    let short = |at: &mut usize| -> Option<String> {
        let length = usize::from(*properties.get(*at)?);
        let text = String::from_utf8_lossy(properties.get(*at + 1..*at + 1 + length)?).into_owned();
        *at += 1 + length;
        Some(text)
    };
    for bit in (2..16).rev() {
        if flags & (1 << bit) == 0 {
            continue;
        }
        match bit {
            13 => {
                let length = u32::from_be_bytes(properties.get(at..at + 4)?.try_into().ok()?);
                at += 4 + length as usize;
            }
            12 | 11 => at += 1,
            6 => at += 8,
            7 => return short(&mut at),
            _ => drop(short(&mut at)?),
        }
    }
    None
}

fn serve_broker(
    mut stream: TcpStream,
    record: &Record,
    name: &'static str,
    arrivals: &Arrivals,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    (read_exact(&mut stream, 8)? == b"AMQP\x00\x00\x09\x01").then_some(())?;
    let mut start = vec![0, 9, 0, 0, 0, 0];
    for text in ["PLAIN", "en_US"] {
        start.extend((text.len() as u32).to_be_bytes());
        start.extend(text.as_bytes());
    }
    stream.write_all(&method(0, 10, 10, &start)).ok()?;
    let mut tags: BTreeMap<u16, u64> = BTreeMap::new();
    let mut publishing: BTreeMap<u16, (String, u64)> = BTreeMap::new();
    loop {
        let head = read_exact(&mut stream, 7)?;
        let (kind, channel) = (head[0], u16::from_be_bytes([head[1], head[2]]));
        let size = u32::from_be_bytes([head[3], head[4], head[5], head[6]]) as usize;
        let payload = read_exact(&mut stream, size)?;
        read_exact(&mut stream, 1)?;
        let complete = match kind {
            1 => {
                let name = (
                    u16::from_be_bytes([payload[0], payload[1]]),
                    u16::from_be_bytes([payload[2], payload[3]]),
                );
                let answer = match name {
                    (10, 11) => method(0, 10, 30, &[0, 0, 0, 2, 0, 0, 0, 0]), // tune: no heartbeats
                    (10, 40) => method(0, 10, 41, &[0]),
                    (10, 50) => method(0, 10, 51, &[]),
                    (20, 10) => method(channel, 20, 11, &[0, 0, 0, 0]),
                    (20, 40) => method(channel, 20, 41, &[]),
                    (85, 10) => {
                        tags.insert(channel, 0);
                        method(channel, 85, 11, &[])
                    }
                    _ => Vec::new(),
                };
                stream.write_all(&answer).ok()?;
                false
            }
            2 => {
                let size = u64::from_be_bytes(payload[4..12].try_into().ok()?);
                publishing.insert(channel, (message_id(&payload[12..]).unwrap_or_default(), size));
                size == 0
            }
            3 => {
                let (_, left) = publishing.get_mut(&channel)?;
                *left -= payload.len() as u64;
                *left == 0
            }
            _ => false,
        };
        if complete {
            let (id, _) = publishing.remove(&channel)?;
            record.line(format!("broker {name}: takes {id}"));
            arrivals.lock().unwrap().push(Arrival {
                at: record.now(),
                endpoint: name,
                id,
                key: String::new(),
                ran: true,
            });
            let tag = tags.entry(channel).or_default();
            *tag += 1;
            let mut ack = tag.to_be_bytes().to_vec();
            ack.push(0);
            stream.write_all(&method(channel, 60, 80, &ack)).ok()?;
        }
    }
}

// ---- The forwarder ----

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started.
pub fn end_processes() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        send_signal(id, "KILL");
    }
}

pub fn send_signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id} 2>/dev/null")]).status();
}

/// One forwarder's place: its file, its folder that lasts, its temporary folder.
pub struct Place {
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub config: PathBuf,
}

impl Place {
    pub fn new(listen: SocketAddr) -> Place {
        let folder = temporary_folder();
        for name in ["state", "tmp"] {
            fs::create_dir_all(folder.join(name)).unwrap();
        }
        Place { config: folder.join("config.json"), folder, listen }
    }

    pub fn write_config(&self, text: &str) {
        // Replaced as a whole, so that no half of it is read.
        let next = self.folder.join("config.next");
        fs::write(&next, text).unwrap();
        fs::rename(&next, &self.config).unwrap();
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts the forwarder with the command of the deploy file.
    pub fn start(&self, arguments: &str, environment: &[(&str, String)]) -> Child {
        let run = std::env::var("CASE_RUN").unwrap_or_else(|_| "exec target/release/cedarwharf".into());
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log.txt")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{run} {arguments}")])
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_STATE", self.folder.join("state"))
            .env("PROXY_CONFIG", &self.config)
            .env("TMPDIR", self.folder.join("tmp"))
            .envs(environment.iter().map(|(name, value)| (*name, value.clone())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        PROCESSES.lock().unwrap().push(child.id());
        child
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.listen, request, 300).is_some_and(|answer| answer.0 == 200)
    }

    pub fn wait_until_ready(&self, record: &Record) {
        if !wait_for(10_000, || self.is_ready()) {
            record.line(format!("the forwarder is not ready; its log:\n{}", self.log()));
            cannot_run("the forwarder is not ready");
        }
        record.line("forwarder: ready");
    }

    /// Runs the operators' command line of the program; returns its exit code.
    pub fn operate(&self, record: &Record, admin: SocketAddr, arguments: &str) -> i32 {
        let program = Path::new("target/release/cedarwharf");
        let output = Command::new(program)
            .args(arguments.split(' '))
            .env("CEDARWHARF_ADMIN", admin.to_string())
            .env("CEDARWHARF_TOKEN", "review-operator")
            .current_dir(std::env::current_dir().unwrap())
            .output()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let text =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        let code = output.status.code().unwrap_or(-1);
        record.line(format!(
            "operator: cedarwharf {arguments}: exit {code}: {}",
            text.trim().replace('\n', " | ")
        ));
        code
    }

    /// Copies the forwarder's own lines into the record and removes the folder.
    pub fn finish(&self, record: &Record) {
        end_processes();
        for line in self.log().lines() {
            record.line(format!("forwarder's log: {line}"));
        }
        remove_folders();
    }
}

/// Ends the run: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> ! {
    for line in broken {
        record.line(format!("BROKEN: {line}"));
    }
    record.line(if broken.is_empty() { "verdict: the rule held" } else { "verdict: the rule was broken" });
    end_processes();
    std::process::exit(i32::from(!broken.is_empty()))
}
