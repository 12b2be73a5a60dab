//! An operator lowers the size of the state folder while a publisher is cut off. The publisher, which has not heard
//! the confirm of a payment, connects again and publishes the payment again under its id.

use crate::rig::amqp::{Heard, Publisher};
use crate::rig::{
    ask, operators_file, read_http, sleep_ms, unix_ms, wait_until, Act, Endpoint, Handed, BILBAO_CLASSES,
};
use crate::{Setup, Verdict};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The publisher is cut off for so long; the pages' cuts last for 6 s.
const AWAY_MS: u64 = 5_500;
/// When the operator's change comes, counted from the cut.
const CHANGE_MS: u64 = 4_700;
const TIME_MS: u64 = 28_000;
/// Clients of the usual traffic, and the pause of each between two messages: about 300 messages a second in all.
const CLIENTS: u64 = 10;
const PAUSE_MS: u64 = 33;

pub fn run(setup: &Setup, trouble: bool) -> Result<Verdict, Verdict> {
    let endpoints: Vec<Endpoint> = (1..=6)
        .map(|number| {
            Endpoint::start(&format!("partner-{number}"), &setup.calls, &setup.record, |_| Act::Deliver(15))
        })
        .collect();
    setup.list(&endpoints);
    setup.write_config(BILBAO_CLASSES, 24);
    let base = operators_file(setup.amqp, setup.admin, None, 99);
    let file = setup.stage.write("operators.yaml", &base);
    let _forwarder = setup.start("f0", &format!("run {}", file.display()))?;
    let failed = |what: &str| Verdict::CouldNotRun(what.into());
    let stop = Arc::new(AtomicBool::new(false));
    let taken = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, taken, listen) = (stop.clone(), taken.clone(), setup.listen);
            thread::spawn(move || usual_traffic(client, listen, &stop, &taken))
        })
        .collect();
    sleep_ms(1_000);

    let connect = || Publisher::connect(setup.amqp, "onda", "secret", "onda-norte");
    let mut publisher = connect().ok_or_else(|| failed("the publisher cannot connect"))?;
    let queue = publisher.answers("", true).ok_or_else(|| failed("no reply queue"))?;
    let payment = |left_ms: u64| Handed {
        id: "9b1f03aa5c7e2d41".into(),
        class: "royalty-payment",
        dest: 1,
        timeout_s: left_ms as f64 / 1000.0,
        body: "payment".into(),
    };
    let id = payment(TIME_MS).id;
    let began = unix_ms();
    publisher.publish(&payment(TIME_MS), &queue);
    setup.record.line(format!("publisher: publishes the payment {id}"));
    let runs = || setup.calls.lock().unwrap().iter().filter(|call| call.id == id && call.ran).count();
    if !wait_until(2_000, || runs() == 1) {
        return Err(failed("the payment was not sent"));
    }
    // What the forwarder sends from now on does not reach the publisher.
    drop(publisher);
    let before = taken.load(Ordering::SeqCst);
    setup.record.line("publisher: is cut off, and has heard nothing");
    sleep_ms((began + CHANGE_MS).saturating_sub(unix_ms()));
    if trouble {
        let status = apply(setup.admin, &format!("limits: {{disk_mb: 0.5}}\n{base}"));
        setup.record.line(format!("operator: puts `limits: {{disk_mb: 0.5}}` in force: {status:?}"));
        if status != Some(200) {
            return Err(failed("the change was not accepted"));
        }
    }
    sleep_ms((began + AWAY_MS).saturating_sub(unix_ms()));
    let usual = taken.load(Ordering::SeqCst) - before;
    setup.record.line(format!("clients: {usual} usual messages were taken on meanwhile"));
    let mut publisher = connect().ok_or_else(|| failed("the publisher cannot connect again"))?;
    let queue = publisher.answers("", true).ok_or_else(|| failed("no reply queue"))?;
    let after = unix_ms() - began;
    setup.record.line(format!(
        "publisher: is back, publishes the payment {id} again, {after} ms after the first time"
    ));
    publisher.publish(&payment(TIME_MS - after), &queue);
    let heard = publisher.hear(4_000).unwrap_or_else(|heard| heard);
    heard.iter().for_each(|one| setup.record.line(format!("publisher: hears {one:?}")));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let is_acked = heard.iter().any(|one| matches!(one, Heard::Ack(_)));
    match runs() {
        1 if is_acked => Ok(Verdict::Held("the payment ran once".into())),
        1 => Err(failed("the second publish was not confirmed")),
        runs => Ok(Verdict::Broken(format!("the payment {id} ran {runs} times"))),
    }
}

fn usual_traffic(client: u64, listen: SocketAddr, stop: &AtomicBool, taken: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    let mut input = Vec::new();
    let mut number = 0u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let message = Handed {
            id: format!("{client:04x}{number:012x}"),
            class: "listen-status",
            dest: 2 + number % 5,
            timeout_s: 6.0,
            body: "played".into(),
        };
        if stream.write_all(message.request("onda-norte").as_bytes()).is_err() {
            return;
        }
        let Some(answer) = read_http(&mut stream, &mut input) else { return };
        taken.fetch_add(u64::from(answer.status() == 202), Ordering::SeqCst);
        sleep_ms(PAUSE_MS);
    }
}

/// Puts an operators' file in force, as `cedarwharf config apply` does.
fn apply(admin: SocketAddr, file: &str) -> Option<u16> {
    let head = "HTTP/1.1\r\nHost: admin\r\nAuthorization: Bearer all\r\nConnection: close\r\n";
    let shown = ask(admin, &format!("GET /v1/config {head}\r\n"), 2_000)?;
    let tag = shown.header("ETag")?.to_owned();
    let length = file.len();
    let request = format!(
        "POST /v1/config/apply?why=less {head}If-Match: {tag}\r\nContent-Length: {length}\r\n\r\n{file}"
    );
    ask(admin, &request, 2_000).map(|answer| answer.status())
}
