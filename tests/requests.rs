//! Clients that submit at any speed and in any valid form, and misbehaving clients: well-behaved clients
//! beside them are served, and the process keeps running. The tests force the order of reads with a second
//! connection: input sent later is read later.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::byhand::*;
use support::load::{ask, serve, serve_platform, Shared};
use support::Stage;

/// A stage that receives delivery reports and whose endpoints deliver at once and count the effects.
fn served(name: &str) -> (Stage, Shared) {
    let mut stage = Stage::new(name);
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    for server in ["s2", "s3"] {
        let ledger = ledger.clone();
        serve(stage.listener(server), move |_, headers: &BTreeMap<String, String>, body| {
            let mut ledger = ledger.lock().unwrap();
            *ledger.effects.entry(headers["request-id"].clone()).or_default() += 1;
            ledger.accepted.insert(headers["request-id"].clone(), body.to_owned());
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
        });
    }
    stage.start();
    (stage, ledger)
}

fn outstanding(stage: &Stage) -> u64 {
    let (_, body) = ask(stage.ops, "GET", "/ops/stats", "", "").unwrap();
    serde_json::from_str::<serde_json::Value>(&body).unwrap()["outstanding"].as_u64().unwrap()
}

/// A well-behaved client on its own persistent connection.
struct RegularClient {
    stream: TcpStream,
    next: u32,
}

impl RegularClient {
    fn new(stage: &Stage) -> RegularClient {
        RegularClient { stream: connect(stage), next: 0 }
    }

    /// Submits a message, which is accepted. All input sent to the process earlier has been read by then.
    fn submit(&mut self) {
        let id = format!("usual{}", self.next);
        self.next += 1;
        self.stream.write_all(request(&id, "note", 3, 30.0, "on").as_bytes()).unwrap();
        let head = message(&mut self.stream);
        assert_eq!(status(&head), 202, "{id}: {head:?}");
    }

    /// Checks that each message of this client took effect exactly once.
    fn assert_served(self, stage: &Stage, ledger: &Shared) {
        until("all is delivered", || outstanding(stage) == 0);
        let ledger = ledger.lock().unwrap();
        let effects = |number| ledger.effects.get(&format!("usual{number}")).copied();
        assert!((0..self.next).all(|number| effects(number) == Some(1)), "{:?}", ledger.effects);
    }
}

/// Request forms that the protocol allows, each with the body that the endpoint receives.
fn forms() -> Vec<(&'static str, Vec<u8>, &'static str)> {
    let base = "Request-Class: note\r\nTenant: acme\r\n";
    let form = |head: &str, body: &'static str| {
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        (text.into_bytes(), body)
    };
    let forms = [
        ("as on the page", form(&format!("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: @@\r\n{base}Request-Timeout: 30.250\r\nIdempotency-Key: 5c0f6e1a\r\nX-Addressing: dest=2\r\n"), "hello")),
        ("small letters, no spaces, no body", form(&format!("POST /api HTTP/1.1\r\nrequest-id:@@\r\n{}request-timeout:30\r\nx-addressing:dest=2\r\n", "request-class:note\r\ntenant:acme\r\n"), "")),
        ("large letters, other order, more headers", form(&format!("POST /api HTTP/1.1\r\nX-ADDRESSING: dest=2\r\nREQUEST-TIMEOUT: 30\r\nAccept: */*\r\nUser-Agent: x\r\n{base}CLIENT-RETRY: again\r\nREQUEST-ID: @@\r\n"), "hello")),
        ("a body that looks like a request", form(&format!("POST /api HTTP/1.1\r\nRequest-Id: @@\r\n{base}Request-Timeout: 30\r\nX-Addressing: zone=a, dest=2\r\n"), "\r\n\r\nPOST /api HTTP/1.1\r\n\r\n")),
        ("an empty line before it, kept alive", form(&format!("\r\nPOST /api HTTP/1.1\r\nConnection: keep-alive\r\nRequest-Id: @@\r\n{base}Request-Timeout: 30\r\nX-Addressing: dest=2\r\n"), "x")),
    ];
    forms.map(|(name, (bytes, body))| (name, bytes, body)).to_vec()
}

fn with_id(form: &[u8], id: &str) -> Vec<u8> {
    String::from_utf8(form.to_vec()).unwrap().replace("@@", id).into_bytes()
}

#[test]
fn request_split_at_any_byte_is_accepted_in_full() {
    let (stage, ledger) = served("pieces");
    let (mut client, mut other) = (connect(&stage), connect(&stage));
    // Waits until the input written earlier on the other connection has been read.
    let mut read = || {
        other.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        let head = message(&mut other);
        assert_eq!(status(&head), 200, "{head:?} {:?}", stage.log());
    };
    let mut bodies = BTreeMap::new();
    for (number, (name, form, body)) in forms().into_iter().enumerate() {
        let length = with_id(&form, &format!("c{number}x000")).len();
        for cut in 1..length {
            let id = format!("c{number}x{cut:03}");
            let bytes = with_id(&form, &id);
            client.write_all(&bytes[..cut]).unwrap();
            read();
            client.write_all(&bytes[cut..]).unwrap();
            assert_eq!(status(&message(&mut client)), 202, "{name}, cut at {cut}");
            bodies.insert(id, body);
        }
        // Each byte is also sent on its own.
        let id = format!("c{number}x999");
        for byte in with_id(&form, &id) {
            client.write_all(&[byte]).unwrap();
            read();
        }
        assert_eq!(status(&message(&mut client)), 202, "{name}, byte by byte");
        bodies.insert(id, body);
    }
    until("all is delivered", || outstanding(&stage) == 0);
    let ledger = ledger.lock().unwrap();
    for (id, body) in bodies {
        assert_eq!(ledger.effects.get(&id), Some(&1), "{id}");
        assert_eq!(ledger.accepted[&id], body, "{id}");
    }
}

#[test]
fn malformed_requests_get_a_4xx_and_a_close_without_affecting_other_clients() {
    let (stage, ledger) = served("bad");
    let mut regular = RegularClient::new(&stage);
    let good = request("g", "note", 2, 30.0, "hello");
    let long = "y".repeat(20_000);
    // Request text and expected status.
    let malformed: Vec<(String, u16)> = vec![
        ("\0\x01\x02\r\n\r\n".into(), 400),
        ("GET\r\n\r\n".into(), 400),
        ("POST /api HTTP/9.9\r\n\r\n".into(), 400),
        ("POST api HTTP/1.1\r\n\r\n".into(), 400),
        ("POST /api HTTP/1.1\r\nno colon\r\n\r\n".into(), 400),
        ("POST /api HTTP/1.1\r\n: no name\r\n\r\n".into(), 400),
        ("POST /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n".into(), 400),
        ("POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".into(), 400),
        (good.replace("Content-Length: 5", "Content-Length: five"), 400),
        (good.replace("Content-Length: 5", "Content-Length: 99999999999999999999999"), 400),
        (good.replace("Content-Length: 5", "Content-Length: 70000"), 413),
        (good.replace("Content-Length: 5", "Transfer-Encoding: chunked"), 411),
        (format!("POST /api HTTP/1.1\r\nX: {long}\r\n\r\n"), 431),
        // More bytes than declared: the first request is complete, the rest is not a request.
        (format!("{good}more than declared\r\n\r\n"), 202),
    ];
    for (text, expected) in malformed {
        let mut client = connect(&stage);
        // A client that is cut off while it writes notices when it reads.
        let _ = client.write_all(text.as_bytes());
        regular.submit();
        assert_eq!(status(&message(&mut client)), expected, "{text:.80}");
        let rest = read_to_end(&mut client);
        assert!(expected != 202 || rest.starts_with("HTTP/1.1 400 "), "{text:.80}: {rest}");
        regular.submit();
    }
    regular.assert_served(&stage, &ledger);
    assert_eq!(ledger.lock().unwrap().effects.get("g"), Some(&1), "the complete request, once");
}

#[test]
fn clients_that_send_much_or_disconnect_before_their_answer_do_not_affect_others() {
    let (stage, ledger) = served("leave");
    let mut regular = RegularClient::new(&stage);
    regular.submit();
    let (mut ended, mut cut) = (Vec::new(), Vec::new());
    for round in 0..5 {
        // While the process is stopped the input accumulates; it is all present when the process continues.
        stage.signal("-STOP");
        let mut crowd = Vec::new();
        for number in 0..20 {
            let mut client = connect(&stage);
            let id = format!("left{round}x{number}");
            let whole = request(&id, "note", 2, 30.0, "hello");
            match number % 4 {
                // The request is complete, and the client shuts down its sending side or closes the
                // connection.
                0 | 1 => {
                    client.write_all(whole.as_bytes()).unwrap();
                    ended.push(id);
                    if number % 4 == 0 {
                        client.shutdown(std::net::Shutdown::Write).unwrap();
                        crowd.push(client);
                    }
                }
                // Half a request, then a reset.
                2 => {
                    client.write_all(&whole.as_bytes()[..whole.len() / 2]).unwrap();
                    reset(client);
                    cut.push(id);
                }
                // Many requests at once, then a reset.
                _ => {
                    client.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
                    let _ = client.write_all(whole.repeat(400).as_bytes());
                    reset(client);
                }
            }
        }
        stage.signal("-CONT");
        regular.submit();
        for client in &mut crowd {
            let text = read_to_end(client);
            // Where a share is used up the request may be rejected, with a complete answer.
            assert!(text.starts_with("HTTP/1.1 202 ") || text.starts_with("HTTP/1.1 503 "), "{text:?}");
        }
        until("all accepted messages are delivered", || outstanding(&stage) == 0);
    }
    let served = ledger.lock().unwrap().effects.clone();
    assert!(cut.iter().all(|id| !served.contains_key(id)), "half a request has no effect");
    assert!(served.values().all(|&count| count == 1), "each once: {served:?}");
    assert!(ended.iter().filter(|id| served.contains_key(*id)).count() >= ended.len() / 2, "{served:?}");
    regular.assert_served(&stage, &ledger);
}

#[test]
fn slow_writers_get_a_408_while_other_clients_are_served() {
    let (stage, ledger) = served("slow");
    let mut regular = RegularClient::new(&stage);
    let mut writers: Vec<TcpStream> = (0..10).map(|_| connect(&stage)).collect();
    let started = Instant::now();
    let whole = request("w", "note", 2, 30.0, &"z".repeat(500));
    let mut bytes = whole.bytes();
    while started.elapsed() < Duration::from_millis(2_600) {
        let byte = bytes.next().unwrap();
        writers.iter_mut().for_each(|writer| drop(writer.write_all(&[byte])));
        regular.submit();
        std::thread::sleep(Duration::from_millis(20));
    }
    for writer in &mut writers {
        assert_eq!(status(&message(writer)), 408);
    }
    regular.assert_served(&stage, &ledger);
}

/// Resident memory of the process, in KiB.
fn memory(stage: &mut Stage) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", stage.process().id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Clients that send requests without end and read no answer: their answers do not accumulate in memory, and
/// they are disconnected.
#[test]
fn client_that_reads_no_answers_is_disconnected_while_others_are_served() {
    let (mut stage, ledger) = served("reads-nothing");
    let mut regular = RegularClient::new(&stage);
    regular.submit();
    let before = memory(&mut stage);
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut reader = connect(&stage);
            std::thread::spawn(move || {
                // Until the socket buffers on both sides are full and the process disconnects it.
                let asks = b"GET /ready HTTP/1.1\r\n\r\n".repeat(1_000);
                (0..10_000).find(|_| reader.write_all(&asks).is_err()).is_some()
            })
        })
        .collect();
    let mut peak = before;
    until("each client is disconnected", || {
        regular.submit();
        peak = peak.max(memory(&mut stage));
        clients.iter().all(|one| one.is_finished())
    });
    assert!(clients.into_iter().all(|one| one.join().unwrap()), "disconnected, not read to the end");
    assert!(peak < before + 2_000, "{before} KiB before, {peak} KiB at the peak");
    regular.assert_served(&stage, &ledger);
}
