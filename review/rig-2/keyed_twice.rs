//! Partners hang. A publisher that is told `deferred` publishes the message again under its id, after the wait
//! that it was told and inside the window for repeats.

use crate::rig::amqp::{Heard, Publisher};
use crate::rig::{operators_file, sleep_ms, unix_ms, Act, Endpoint, Handed, SAJHA_CLASSES};
use crate::{Setup, Verdict};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A partner drops a repeat for this long, counted from the send of the first attempt that may have run.
const WINDOW_MS: u64 = 15_000;
/// Every time limit is 50 ms longer on sockets; and 150 ms for a forwarder that is held up.
const SLACK_MS: u64 = 200;
const DEADLINE_MS: u64 = 24_000;
/// For so long the partners take calls and answer none; the pages' limit is 18 s.
const HANG_MS: u64 = 16_000;
const PARTNERS: u64 = 8;
/// The publisher comes again after the wait that it is told, and not sooner than this for each partner, as publishers
/// spread their repeats.
const LEAST_WAIT_MS: [u64; PARTNERS as usize] = [500, 800, 1_100, 1_400, 1_700, 2_000, 2_300, 2_600];
/// The publisher comes again inside the window, with some distance.
const LAST_REPEAT_MS: u64 = 14_000;

pub fn run(setup: &Setup, trouble: bool) -> Result<Verdict, Verdict> {
    let hang = Arc::new(AtomicBool::new(false));
    let endpoints: Vec<Endpoint> = (1..=PARTNERS)
        .map(|number| {
            let hang = hang.clone();
            let act = move |_: &str| if hang.load(Ordering::SeqCst) { Act::Hang } else { Act::Deliver(50) };
            Endpoint::start(&format!("partner-{number}"), &setup.calls, &setup.record, act)
        })
        .collect();
    setup.list(&endpoints);
    setup.write_config(SAJHA_CLASSES, 24);
    let file = setup.stage.write("operators.yaml", &operators_file(setup.amqp, setup.admin, None, 99));
    let _forwarder = setup.start("f0", &format!("run {}", file.display()))?;
    let no_publisher = || Verdict::CouldNotRun("the publisher cannot connect".into());
    let mut publisher =
        Publisher::connect(setup.amqp, "onda", "secret", "onda-norte").ok_or_else(no_publisher)?;
    let queue = publisher.answers("answers", false).ok_or_else(no_publisher)?;
    let message = |id: String, dest: u64, left_ms: u64| Handed {
        id,
        class: "order-handover",
        dest,
        timeout_s: left_ms as f64 / 1000.0,
        body: "order".into(),
    };
    // Ordinary traffic first: the forwarder learns how long calls take.
    let mut answers = 0;
    for number in 0..25 {
        for dest in 1..=PARTNERS {
            publisher.publish(&message(format!("usual-{number}-{dest}"), dest, DEADLINE_MS), &queue);
        }
        let heard = publisher.hear(100).map_err(|_| Verdict::CouldNotRun("the connection ended".into()))?;
        answers += heard.iter().filter(|one| matches!(one, Heard::Answer { .. })).count();
    }
    setup.record.line(format!("publisher: {answers} answers to the usual messages"));
    if trouble {
        setup.record.line("partners: take calls and answer none from now on");
        hang.store(true, Ordering::SeqCst);
    }
    sleep_ms(100);
    let began = unix_ms();
    let mut open: BTreeMap<String, u64> = BTreeMap::new();
    let mut repeats: BTreeMap<String, u64> = BTreeMap::new();
    for dest in 1..=PARTNERS {
        let id = format!("order-{dest}");
        publisher.publish(&message(id.clone(), dest, DEADLINE_MS), &queue);
        setup.record.line(format!("publisher: publishes {id}"));
        open.insert(id, dest);
    }
    while unix_ms() < began + DEADLINE_MS + 1_000 && !open.is_empty() {
        if unix_ms() > began + HANG_MS && hang.swap(false, Ordering::SeqCst) {
            setup.record.line("partners: answer again");
        }
        let heard = publisher.hear(20).map_err(|_| Verdict::CouldNotRun("the connection ended".into()))?;
        for one in heard {
            if !matches!(one, Heard::Ack(_)) {
                setup.record.line(format!("publisher: hears {one:?}"));
            }
            if let Heard::Answer { id, status, again_ms, .. } = one {
                let again = unix_ms()
                    + (again_ms + 20).max(LEAST_WAIT_MS[open.get(&id).map_or(0, |dest| *dest as usize - 1)]);
                if status == "deferred" && open.contains_key(&id) && again < began + LAST_REPEAT_MS {
                    repeats.insert(id, again);
                } else {
                    open.remove(&id);
                }
            }
        }
        let due: Vec<String> =
            repeats.iter().filter(|(_, at)| **at <= unix_ms()).map(|(id, _)| id.clone()).collect();
        for id in due {
            repeats.remove(&id);
            let after = unix_ms() - began;
            setup.record.line(format!("publisher: publishes {id} again, {after} ms after the first time"));
            publisher.publish(&message(id.clone(), open[&id], DEADLINE_MS - after), &queue);
        }
    }
    sleep_ms(200);
    let calls = setup.calls.lock().unwrap();
    let mut late = Vec::new();
    for dest in 1..=PARTNERS {
        let id = format!("order-{dest}");
        let sends: Vec<u64> =
            calls.iter().filter(|call| call.id == id && call.ran).map(|call| call.at).collect();
        let Some(&first) = sends.first() else { continue };
        for at in sends.iter().filter(|at| **at > first + WINDOW_MS + SLACK_MS) {
            late.push(format!("{id} ran again {} ms after its first call", at - first));
        }
    }
    if late.is_empty() {
        Ok(Verdict::Held("no message ran again outside the window".into()))
    } else {
        Ok(Verdict::Broken(late.join("; ")))
    }
}
