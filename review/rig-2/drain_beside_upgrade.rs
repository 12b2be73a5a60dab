//! A new process is started beside the serving one, and the operators drain the forwarder in that moment, at the
//! address that they know.

use crate::rig::{ask, free_address, is_ready, ops_ready, sleep_ms, Act, Endpoint, BILBAO_CLASSES};
use crate::{Setup, Verdict};
use std::thread;
use std::time::Instant;

/// From the start of the new process to the operators' call.
const CALL_AFTER_MS: u64 = 150;
/// The platform asks for the new process's yes at this interval; the pages tell none.
const POLL_MS: u64 = 250;

pub fn run(setup: &Setup, trouble: bool) -> Result<Verdict, Verdict> {
    let endpoint = Endpoint::start("partner", &setup.calls, &setup.record, |_| Act::Deliver(50));
    setup.list(&[endpoint]);
    setup.write_config(BILBAO_CLASSES, 12);
    let old = setup.start("f0", "")?;
    sleep_ms(1_000);
    let (ops, record) = (setup.ops, setup.record.clone());
    let drain = move || {
        sleep_ms(CALL_AFTER_MS);
        record.line("operators: PUT /ops/drain/start");
        let request =
            "PUT /ops/drain/start HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let answer = ask(ops, request, 1_000);
        let text = answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body).trim().to_owned());
        record.line(format!("operators: hear {:?} {text:?}", answer.as_ref().map(|answer| answer.status())));
        (Instant::now(), answer.map(|answer| answer.status()))
    };
    let mut new = None;
    let call = thread::spawn(drain);
    if trouble {
        let address = free_address();
        new = Some(setup.stage.start("f1", "", Some(address)));
        let began = Instant::now();
        loop {
            sleep_ms(POLL_MS);
            if ops_ready(address) {
                break;
            }
            if began.elapsed().as_secs() > 6 {
                return Err(Verdict::CouldNotRun("the new process does not say yes".into()));
            }
        }
        setup.record.line("platform: the new process says yes; SIGTERM to the old one");
        old.signal("TERM");
    }
    let Ok((called, status)) = call.join() else { return Err(Verdict::CouldNotRun("no call".into())) };
    while called.elapsed().as_millis() < 4_050 {
        sleep_ms(10);
    }
    let yes = is_ready(setup.listen);
    setup
        .record
        .line(format!("front: /ready says {}, 4.05 s after the call", if yes { "yes" } else { "no" }));
    drop((old, new));
    match status {
        Some(200..300) if yes => Ok(Verdict::Broken(format!(
            "the drain was answered with {status:?}, and 4 s later /ready says yes"
        ))),
        Some(200..300) => Ok(Verdict::Held("the drain was answered with a yes, and /ready says no".into())),
        _ => Ok(Verdict::Held(format!("the drain was not answered with a yes: {status:?}"))),
    }
}
