//! Endpoint faults that depend on timing: connections that are established late or end during a call,
//! unsolicited bytes, and responses or drains that arrive in the same loop iteration as another event. The
//! tests force the order by stopping the process (SIGSTOP) while its sockets fill, and by filling a
//! listener's accept queue.

mod support;

use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use support::byhand::*;
use support::load::{serve_platform, Shared};
use support::Stage;

/// A stage whose delivery reports are recorded.
fn stage_with_reports(name: &str) -> (Stage, Shared) {
    let stage = Stage::new(name);
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    (stage, ledger)
}

fn reports_of(ledger: &Shared, id: &str) -> Vec<String> {
    ledger.lock().unwrap().reports.get(id).cloned().unwrap_or_default()
}

/// Checks that the process still serves: it delivers a new message to an endpoint without faults.
fn assert_serving(stage: &Stage, listener: &TcpListener, id: &str) {
    assert_eq!(submit(stage, &request(id, "note", 3, 30.0, "on")), 202, "{}", stage.log());
    let (mut endpoint, call) = accept_call(listener);
    assert!(call.contains(&format!("Request-Id: {id}\r\n")), "{call}");
    answer(&mut endpoint, "200 OK");
    until("the message is not delivered", || open_message(stage, id).is_null());
}

/// Delivers a message to an endpoint that reports a limit with much of it free, so that one lost call does
/// not count as an outage. Leaves no connection to it open.
fn deliver_with_report(stage: &Stage, listener: &TcpListener, dest: u32) {
    assert_eq!(submit(stage, &request("warm", "note", dest, 30.0, "x")), 202);
    let (mut endpoint, _) = accept_call(listener);
    answer(&mut endpoint, "200 OK\r\nServer-Load: x0=0.9,x1=50\r\nConnection: close");
    until("the message is not delivered", || open_message(stage, "warm").is_null());
}

/// Shortens the window in which duplicates are dropped to 1 s.
fn short_window(stage: &Stage) {
    let path = stage.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains("\"windowMs\":40000.0"));
    std::fs::write(path, text.replace("\"windowMs\":40000.0", "\"windowMs\":1000.0")).unwrap();
}

#[test]
fn duplicate_whose_connection_is_established_after_the_window_is_not_sent() {
    let (mut stage, ledger) = stage_with_reports("late-copy");
    short_window(&stage);
    stage.start();
    let listener = stage.listener("s2");
    deliver_with_report(&stage, &listener, 2);
    assert_eq!(submit(&stage, &request("k1", "episode", 2, 30.0, "one")), 202);
    let (first, call) = accept_call(&listener);
    let sent = Instant::now();
    assert!(call.contains("Request-Id: k1\r\n"), "{call}");
    // The call may have run. The next connection to this endpoint is not established at once.
    let late = LateListener::new(listener);
    drop(first);
    until("no second copy is sent", || open_message(&stage, "k1")["attempts"] == 2);
    assert!(sent.elapsed() < Duration::from_millis(950), "the machine is too slow for this test's order");
    let listener = late.open();
    let mut arrived = None;
    until("the message neither ends nor arrives", || {
        arrived =
            try_accept(&listener).map(|mut stream| read_head(&mut stream)).filter(|head| !head.is_empty());
        arrived.is_some() || !reports_of(&ledger, "k1").is_empty()
    });
    assert_eq!(arrived, None, "sent {:?} after the first copy", sent.elapsed());
    assert_eq!(reports_of(&ledger, "k1").len(), 1);
    assert!(reports_of(&ledger, "k1")[0].contains("deferred"), "{:?}", reports_of(&ledger, "k1"));
    assert_serving(&stage, &stage.listener("s3"), "k2");
}

#[test]
fn call_whose_connection_is_established_late_is_sent_once() {
    let (mut stage, ledger) = stage_with_reports("late-first");
    stage.start();
    let late = LateListener::new(stage.listener("s2"));
    assert_eq!(submit(&stage, &request("p1", "payment", 2, 30.0, "pay")), 202);
    until("no attempt begins", || open_message(&stage, "p1")["attempts"] == 1);
    let listener = late.open();
    let (mut endpoint, call) = accept_call(&listener);
    assert!(call.contains("Request-Id: p1\r\n"), "{call}");
    answer(&mut endpoint, "200 OK");
    until("the message is not delivered", || open_message(&stage, "p1").is_null());
    assert_eq!(submit(&stage, &request("p1", "payment", 2, 30.0, "pay")), 200, "recorded as delivered");
    assert!(reports_of(&ledger, "p1").is_empty() && try_accept(&listener).is_none());
}

#[test]
fn idle_connection_with_unsolicited_bytes_or_closed_by_the_endpoint_is_not_reused() {
    for (name, bytes) in [
        ("an incomplete line", Some("HTTP/1.1 2")),
        ("a complete unsolicited response", Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        ("a close", None),
    ] {
        let (mut stage, ledger) = stage_with_reports("idle");
        stage.start();
        let listener = stage.listener("s2");
        let mut idle = kept_connection(&stage, &listener);
        // The bytes and the message that would reuse the connection arrive in the same loop iteration.
        stage.signal("-STOP");
        match bytes {
            Some(bytes) => idle.write_all(bytes.as_bytes()).unwrap(),
            None => idle.shutdown(std::net::Shutdown::Both).unwrap(),
        }
        let mut client = connect(&stage);
        client.write_all(request("p2", "payment", 2, 30.0, "pay").as_bytes()).unwrap();
        stage.signal("-CONT");
        assert_eq!(status(&message(&mut client)), 202, "{name}");
        let (mut endpoint, call) = accept_call(&listener);
        assert!(call.contains("Request-Id: p2\r\n"), "{name}: {call}");
        answer(&mut endpoint, "200 OK");
        until("the message is not delivered", || open_message(&stage, "p2").is_null());
        assert!(reports_of(&ledger, "p2").is_empty(), "{name}: {:?}", reports_of(&ledger, "p2"));
        assert_eq!(submit(&stage, &request("p2", "payment", 2, 30.0, "pay")), 200, "{name}");
        if bytes.is_some() {
            assert_eq!(read_head(&mut idle), "", "{name}: a call was sent on the idle connection");
        }
    }
}

/// How a connection ends after a call has been written to it.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Closed,
    HalfLine,
    Reset,
    /// Reset after other calls have been completed.
    ResetLongAfter,
}

#[test]
fn connection_lost_during_a_call_retries_retryable_messages_and_ends_others_once() {
    for loss in [Loss::Closed, Loss::HalfLine, Loss::Reset, Loss::ResetLongAfter] {
        let (mut stage, ledger) = stage_with_reports("under-a-call");
        stage.start();
        let listener = stage.listener("s2");
        deliver_with_report(&stage, &listener, 2);
        for (id, class) in [("p1", "payment"), ("n1", "note")] {
            assert_eq!(submit(&stage, &request(id, class, 2, 30.0, "x")), 202);
            let (mut endpoint, call) = accept_call(&listener);
            assert!(call.contains(&format!("Request-Id: {id}\r\n")), "{loss:?}: {call}");
            match loss {
                Loss::Closed => drop(endpoint),
                Loss::HalfLine => endpoint.write_all(b"HTTP/1.1 20").unwrap(),
                Loss::Reset => reset(endpoint),
                Loss::ResetLongAfter => {
                    (0..5).for_each(|number| {
                        assert_serving(&stage, &stage.listener("s3"), &format!("{id}-{number}"));
                    });
                    reset(endpoint);
                }
            }
            if class == "payment" {
                until("the message has no final outcome", || !reports_of(&ledger, id).is_empty());
                assert!(reports_of(&ledger, id)[0].contains("undeliverable"), "{loss:?}");
                continue;
            }
            let (mut endpoint, call) = accept_call(&listener);
            assert!(call.contains("Request-Id: n1\r\n"), "{loss:?}: {call}");
            answer(&mut endpoint, "200 OK");
            until("the message is not delivered", || open_message(&stage, "n1").is_null());
        }
        assert!(reports_of(&ledger, "n1").is_empty() && reports_of(&ledger, "p1").len() == 1, "{loss:?}");
        assert!(try_accept(&listener).is_none(), "{loss:?}: a message was sent a third time");
    }
}

/// The process pauses between the poll and the clock reading of each loop iteration: by the clock the call's
/// time-out has expired, while the response arrived after the poll.
#[test]
fn response_received_in_the_same_iteration_as_its_time_out_counts() {
    let mut stage = Stage::new("in-time");
    let (discovery, listener) = (stage.listener("platform"), stage.listener("s1"));
    stage.start_with(&[("CEDARWHARF_HANG_AT", "polled"), ("CEDARWHARF_HANG_MS", "1000")]);
    // Nothing else wakes the process meanwhile: discovery holds the watch for 4 s.
    let (mut watch, _) = accept_call(&discovery);
    answer_list(&mut watch, 8, "");
    assert!(message(&mut watch).contains("hold_ms=4000"));
    // Both messages share one call, whose time-out is that of the message with less time.
    stage.signal("-STOP");
    let mut clients = [connect(&stage), connect(&stage)];
    for (client, (id, seconds)) in clients.iter_mut().zip([("short", 1.9), ("long", 60.0)]) {
        client.write_all(request(id, "payment", 1, seconds, "pay").as_bytes()).unwrap();
    }
    stage.signal("-CONT");
    for client in &mut clients {
        assert_eq!(status(&message(client)), 202);
    }
    let listener = {
        drop(listener);
        stage.listener("s1")
    };
    let (mut endpoint, call) = accept_call(&listener);
    // The connection was established during a pause of 1 s. The poll then ends at the call's time-out, 0.9 s
    // later, and the clock is read 1 s after that poll. This is the middle of that second:
    let left = call.lines().find_map(|line| line.strip_prefix("Request-Timeout: ")).unwrap();
    std::thread::sleep(Duration::from_secs_f64(left.parse().unwrap()) - Duration::from_millis(500));
    let lines = "short delivered\r\nlong delivered\r\n";
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lines}", lines.len());
    endpoint.write_all(answer.as_bytes()).unwrap();
    until("the messages have no outcome", || open_message(&stage, "long")["state"] != "out");
    // The long message is delivered; the short one's time is over, and it is reported as undeliverable.
    assert_eq!(submit(&stage, &request("long", "payment", 1, 60.0, "pay")), 200, "recorded as delivered");
    assert_eq!(submit(&stage, &request("short", "payment", 1, 1.9, "pay")), 410, "recorded as undeliverable");
}

/// The response to a batch call has no length and the connection is reset: the response is incomplete.
#[test]
fn response_without_a_length_cut_off_by_a_reset_delivers_nothing() {
    let (mut stage, ledger) = stage_with_reports("no-length");
    stage.start();
    let listener = stage.listener("s1");
    deliver_with_report(&stage, &listener, 1);
    // Both messages arrive in one loop iteration and share one call.
    stage.signal("-STOP");
    let mut clients = [connect(&stage), connect(&stage)];
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(request(&format!("n{number}"), "note", 1, 30.0, "x").as_bytes()).unwrap();
    }
    stage.signal("-CONT");
    for client in &mut clients {
        assert_eq!(status(&message(client)), 202);
    }
    let (mut endpoint, call) = accept_call(&listener);
    assert!(call.starts_with("POST /v1/messages:batch "), "{call}");
    endpoint.write_all(b"HTTP/1.1 200 OK\r\nServer-Load: x0=0.9,x1=50\r\n\r\nn0 delivered\r\n").unwrap();
    // The process has read the written bytes before the reset arrives.
    wait_until_input_read(&stage);
    wait_until_input_read(&stage);
    reset(endpoint);
    let mut again = Vec::new();
    until("the messages are not sent again", || {
        if let Some(mut endpoint) = try_accept(&listener) {
            let head = read_head(&mut endpoint);
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
            let mut body = vec![0; length.parse().unwrap()];
            std::io::Read::read_exact(&mut endpoint, &mut body).unwrap();
            let body = String::from_utf8(body).unwrap();
            let single = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
            let ids: Vec<String> = match single {
                Some(id) => vec![id.to_owned()],
                None => body
                    .split("\r\n")
                    .step_by(2)
                    .filter_map(|line| line.split(' ').next())
                    .map(str::to_owned)
                    .collect(),
            };
            let lines: String =
                ids.iter().filter(|id| !id.is_empty()).map(|id| format!("{id} delivered\r\n")).collect();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lines}", lines.len());
            endpoint.write_all(answer.as_bytes()).unwrap();
            again.extend(ids.into_iter().filter(|id| !id.is_empty()));
        }
        again.len() == 2
    });
    again.sort();
    assert_eq!(again, ["n0", "n1"]);
    until("the messages are not delivered", || {
        open_message(&stage, "n0").is_null() && open_message(&stage, "n1").is_null()
    });
    assert!(reports_of(&ledger, "n0").is_empty() && reports_of(&ledger, "n1").is_empty());
}

#[test]
fn drain_received_in_the_same_iteration_as_a_message_prevents_its_call() {
    let mut stage = Stage::new("drain-in-turn");
    let discovery = stage.listener("platform");
    stage.start();
    let listener = stage.listener("s2");
    let (mut watch, asked) = accept_call(&discovery);
    assert!(asked.starts_with("GET /v1/endpoints?from=7"), "{asked}");
    // An idle connection exists, so a call could be sent at once.
    let mut idle = kept_connection(&stage, &listener);
    stage.signal("-STOP");
    let drain = format!(
        r#"{{"instanceId":"s2","hostPort":"{}","zone":"z","machineType":"plain","cell":2,"lifecycle":"draining","weight":1.0,"startedAtMs":0}}"#,
        stage.address_of("s2")
    );
    let mut client = connect(&stage);
    client.write_all(request("n2", "note", 2, 30.0, "x").as_bytes()).unwrap();
    answer_list(&mut watch, 8, &drain);
    stage.signal("-CONT");
    assert_eq!(status(&message(&mut client)), 202);
    let held = open_message(&stage, "n2");
    assert_eq!((held["state"].as_str(), held["attempts"].as_u64()), (Some("held"), Some(0)), "{held}");
    idle.set_nonblocking(true).unwrap();
    let read = std::io::Read::read(&mut idle, &mut [0; 10]);
    assert!(!read.is_ok_and(|count| count > 0), "a call on the idle connection");
    assert!(try_accept(&listener).is_none(), "a call on a new connection");
}

/// A 200 response arrives in two pieces, and the second contains a wait. The message is delivered with the
/// status line. Guards against ignoring the rest: the next call was sent 2 ms later, before the wait was
/// over.
#[test]
fn wait_in_the_second_piece_of_a_200_delays_the_next_call() {
    const WAIT: Duration = Duration::from_millis(1_000);
    let (mut stage, _) = stage_with_reports("wait-in-pieces");
    stage.start();
    let listener = stage.listener("s2");
    assert_eq!(submit(&stage, &request("n1", "note", 2, 30.0, "x")), 202);
    let (mut endpoint, _) = accept_call(&listener);
    endpoint.write_all(b"HTTP/1.1 200 OK\r\n").unwrap();
    until("the message is not delivered with the status line", || open_message(&stage, "n1").is_null());
    endpoint.write_all(b"X-RateLimit-Wait-Ms: 1000\r\nContent-Length: 0\r\n\r\n").unwrap();
    let wait_sent = Instant::now();
    // The process has read the written bytes before it reads the next message.
    wait_until_input_read(&stage);
    wait_until_input_read(&stage);
    assert_eq!(submit(&stage, &request("n2", "note", 2, 30.0, "x")), 202);
    // A connection whose answers have no body is not reused.
    let (mut endpoint, call) = accept_call(&listener);
    assert!(call.contains("Request-Id: n2\r\n"), "{call}");
    assert!(
        wait_sent.elapsed() >= WAIT,
        "called {:?} after a wait of {WAIT:?} was sent",
        wait_sent.elapsed()
    );
    answer(&mut endpoint, "200 OK");
    until("the message is not delivered", || open_message(&stage, "n2").is_null());
}

/// Hung calls take all slots that a tenant may use, and no call duration is known yet. Messages for other
/// destinations must be sent once the target time is over, not only after the hung calls' time-out.
#[test]
fn hung_calls_do_not_block_other_destinations_in_a_new_process() {
    for class in ["note", "episode"] {
        let (mut stage, ledger) = stage_with_reports("hang");
        let path = stage.folder.join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        assert_eq!(text.matches("\"objectiveMs\":30000.0").count(), 3);
        std::fs::write(&path, text.replace("\"objectiveMs\":30000.0", "\"objectiveMs\":1000.0")).unwrap();
        stage.start();
        let listener = stage.listener("s2");
        let mut hung = Vec::new();
        // One tenant's share is five of the six slots.
        for number in 0..6 {
            assert_eq!(submit(&stage, &request(&format!("h{number}"), class, 2, 60.0, "x")), 202);
            hung.extend((number < 5).then(|| accept_call(&listener)));
        }
        let begun = Instant::now();
        assert_serving(&stage, &stage.listener("s3"), "on");
        // The hung calls would have kept their slots for 60 s.
        assert!(begun.elapsed() < Duration::from_secs(10), "{class}: served after {:?}", begun.elapsed());
        assert!(reports_of(&ledger, "on").is_empty());
    }
}
