//! Clients send several messages at once on the connections that they keep, and the operators drain the forwarder.

use crate::rig::{ask, read_http, sleep_ms, Act, Endpoint, Handed, BILBAO_CLASSES};
use crate::{Setup, Verdict};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 4;
const AT_ONCE: usize = 4;
const PAUSE_MS: u64 = 400;

pub fn run(setup: &Setup, trouble: bool) -> Result<Verdict, Verdict> {
    let endpoints: Vec<Endpoint> = (1..=4)
        .map(|number| {
            Endpoint::start(&format!("partner-{number}"), &setup.calls, &setup.record, |_| Act::Deliver(50))
        })
        .collect();
    setup.list(&endpoints);
    setup.write_config(BILBAO_CLASSES, 12);
    let _forwarder = setup.start("f0", "")?;
    let stop = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (stop, lost, answered) = (stop.clone(), lost.clone(), answered.clone());
        let (record, listen) = (setup.record.clone(), setup.listen);
        clients.push(thread::spawn(move || {
            let mut number = 0;
            // Connections are opened before the drain and used for as long as they stay open.
            let Ok(mut stream) = TcpStream::connect(listen) else { return };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
            let mut input = Vec::new();
            sleep_ms(client * PAUSE_MS / CLIENTS);
            while !stop.load(Ordering::SeqCst) {
                let ids: Vec<String> =
                    (0..AT_ONCE).map(|index| format!("c{client}-{number:03}-{index}")).collect();
                number += 1;
                let request = |(index, id): (usize, &String)| {
                    let dest = 1 + (client + index as u64) % 4;
                    let body = "played".to_owned();
                    Handed { id: id.clone(), class: "listen-status", dest, timeout_s: 6.0, body }
                        .request("onda-norte")
                };
                let text: String = ids.iter().enumerate().map(request).collect();
                // One write: the forwarder that reads the first has all of them.
                let written = Instant::now();
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                record.line(format!(
                    "client {client}: sends {} to {} in one write",
                    ids[0],
                    ids[AT_ONCE - 1]
                ));
                let mut statuses = Vec::new();
                let mut closes = false;
                while statuses.len() < AT_ONCE {
                    let Some(answer) = read_http(&mut stream, &mut input) else { break };
                    closes |=
                        answer.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                    statuses.push(answer.status());
                }
                *answered.lock().unwrap() += statuses.len();
                let after = written.elapsed().as_millis();
                if statuses.len() == AT_ONCE {
                    record.line(format!("client {client}: answers {statuses:?} after {after} ms"));
                } else {
                    record.line(format!(
                        "client {client}: answers {statuses:?}, then the connection ended after {after} ms"
                    ));
                    // Where none was answered, the close may have crossed the requests: they go out once more.
                    if !statuses.is_empty() && after < 390 {
                        lost.lock().unwrap().extend(ids[statuses.len()..].iter().cloned());
                    }
                    return;
                }
                if closes {
                    return;
                }
                sleep_ms(PAUSE_MS);
            }
        }));
    }
    sleep_ms(3_000);
    if trouble {
        setup.record.line("operators: PUT /ops/drain/start");
        let request =
            "PUT /ops/drain/start HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let answer = ask(setup.ops, request, 1_000).map(|answer| answer.status());
        setup.record.line(format!("operators: hear {answer:?}"));
        if answer != Some(200) {
            return Err(Verdict::CouldNotRun("the drain did not begin".into()));
        }
    }
    sleep_ms(4_500);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (lost, answered) = (lost.lock().unwrap(), *answered.lock().unwrap());
    let ran = setup.calls.lock().unwrap().iter().filter(|call| lost.contains(&call.id)).count();
    if answered == 0 {
        return Err(Verdict::CouldNotRun("no request was answered".into()));
    }
    if lost.is_empty() {
        Ok(Verdict::Held(format!("{answered} requests were answered, none was left without an answer")))
    } else {
        Ok(Verdict::Broken(format!(
            "{} requests got no answer though the one before them in the same write got one ({ran} of them were forwarded): {lost:?}",
            lost.len()
        )))
    }
}
