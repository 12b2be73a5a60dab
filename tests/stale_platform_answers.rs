//! A platform that sends an answer twice, or answers delivery reports with an error: reports are neither lost
//! nor confirmed by another's answer, and an older endpoint list does not replace a newer one.

mod support;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use support::byhand::*;
use support::load::{self, Shared};
use support::Stage;

/// What the platform does with a call that carries delivery reports.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportCall {
    /// Takes them and answers 204.
    Take,
    /// Writes a copy of the 204 before it to wherever that was written, and closes the call's connection without
    /// an answer. The reports are not taken.
    CopyAndClose,
    /// Answers with an error. The reports are not taken.
    Error(&'static str),
}

/// Takes delivery reports as planned, then all; discovery's answers hold no changes.
fn serve_platform(listener: TcpListener, plan: Vec<ReportCall>, ledger: Shared) {
    let plan = Arc::new(Mutex::new(plan.into_iter()));
    let latest: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (plan, latest, ledger) = (plan.clone(), latest.clone(), ledger.clone());
            thread::spawn(move || serve_connection(stream, &plan, &latest, &ledger));
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    plan: &Mutex<impl Iterator<Item = ReportCall>>,
    latest: &Mutex<Option<TcpStream>>,
    ledger: &Shared,
) {
    const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
    while let Some((first, _, body)) = load::message(&mut reader) {
        if !first.starts_with("POST") {
            thread::sleep(std::time::Duration::from_millis(300));
            let list = r#"{"generation":7,"reset":false,"instances":[]}"#;
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        match plan.lock().unwrap().next().unwrap_or(ReportCall::Take) {
            ReportCall::Take => {
                ledger.lock().unwrap().record_reports(&body);
                let _ = stream.write_all(TAKEN);
                *latest.lock().unwrap() = Some(stream.try_clone().unwrap());
            }
            ReportCall::CopyAndClose => {
                // The connection of the call before may be closed already.
                if let Some(latest) = latest.lock().unwrap().as_mut() {
                    let _ = latest.write_all(TAKEN);
                }
                return;
            }
            ReportCall::Error(status) => {
                let _ =
                    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
            }
        }
    }
}

/// Submits a payment that fails at its endpoint, so that a delivery report is owed.
fn fail_payment(stage: &Stage, dest: u32, id: &str) {
    assert_eq!(submit(stage, &request(id, "payment", dest, 30.0, "pay")), 202);
    let (mut endpoint, _) = accept_call(&stage.listener(&format!("s{dest}")));
    endpoint.write_all(b"HTTP/1.1 500 Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
}

/// Lets payments fail, one after the other, and waits for the report of each.
fn play_reports(name: &str, payments: u32, plan: Vec<ReportCall>) {
    let mut stage = Stage::new(name);
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), plan, ledger.clone());
    stage.start();
    for number in 0..payments {
        let id = format!("p{number}");
        // Each has a destination of its own, so that none is taken to be out.
        fail_payment(&stage, 2 + number, &id);
        until("the platform does not get the report", || ledger.lock().unwrap().reports.contains_key(&id));
    }
}

/// Guards against a lost report: a copy of the 204 before it confirmed a report that was not taken.
#[test]
fn copy_of_a_confirmation_does_not_confirm_the_next_report() {
    play_reports("copied-204", 2, vec![ReportCall::Take, ReportCall::CopyAndClose]);
}

/// Guards against a lost report: it was dropped after any answer but a 2xx.
#[test]
fn report_that_is_answered_with_an_error_is_sent_again() {
    for error in ["500 Error", "503 Busy", "429 Full", "408 Slow", "502 Gone", "307 Elsewhere"] {
        play_reports("refused-reports", 1, vec![ReportCall::Error(error), ReportCall::Error(error)]);
    }
}

/// Reads the next call of the watch, on the same connection or on a new one.
fn next_watch_call(listener: &TcpListener, connection: &mut TcpStream) -> String {
    let mut call = String::new();
    until("discovery is not called", || {
        connection.set_nonblocking(true).unwrap();
        let waiting = connection.peek(&mut [0]).is_ok_and(|count| count > 0);
        connection.set_nonblocking(false).unwrap();
        if waiting {
            call = read_head(connection);
        } else if let Some(mut new) = try_accept(listener) {
            call = read_head(&mut new);
            if call.starts_with("GET") {
                *connection = new;
            }
        }
        call.starts_with("GET")
    });
    call
}

/// Guards against an older list that replaces a newer one: a drained endpoint was called again.
#[test]
fn copy_of_an_older_list_does_not_bring_a_drained_endpoint_back() {
    for whole in [false, true] {
        let mut stage = Stage::new("copied-list");
        let listener = stage.listener("platform");
        stage.start();
        let mut connection = accept(&listener);
        assert!(read_head(&mut connection).starts_with("GET"));
        let entry = |lifecycle: &str| {
            format!(
                r#"{{"instanceId":"s2","hostPort":"{}","zone":"z","machineType":"plain","cell":2,
                "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
                stage.address_of("s2")
            )
        };
        let answer = |generation: u64, lifecycle: &str| {
            let list = format!(
                r#"{{"generation":{generation},"reset":{whole},"instances":[{}]}}"#,
                entry(lifecycle)
            );
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        let older = answer(8, "up");
        connection.write_all(older.as_bytes()).unwrap();
        next_watch_call(&listener, &mut connection);
        connection.write_all(answer(9, "draining").as_bytes()).unwrap();
        next_watch_call(&listener, &mut connection);
        let is_draining = || {
            let asked = load::ask(stage.admin, "GET", "/v1/entries", "all", "");
            asked.is_ok_and(|(_, text)| text.contains("draining"))
        };
        until("the drain is not known", is_draining);
        connection.write_all(older.as_bytes()).unwrap();
        wait_until_input_read(&stage);
        assert!(is_draining(), "whole {whole}: the older list is in force again\n{}", stage.log());
        let again = next_watch_call(&listener, &mut connection);
        assert!(again.contains("from=9&"), "whole {whole}: the watch goes on from the newer list: {again}");
    }
}
