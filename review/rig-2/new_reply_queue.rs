//! The forwarder is killed and comes back. A publisher with an exclusive reply queue connects again, declares a new
//! one, and publishes again, under its id and with the new queue, each message whose final answer it has not heard.

use crate::rig::amqp::{Heard, Publisher};
use crate::rig::{
    free_address, operators_file, ops_ready, sleep_ms, unix_ms, wait_until, Act, Endpoint, Handed,
    BILBAO_CLASSES,
};
use crate::{Setup, Verdict};
use std::collections::{BTreeMap, BTreeSet};

const MESSAGES: u64 = 24;
const TIME_MS: u64 = 20_000;
/// The pages' slack for a final answer: up to half a second after its time it only earns nothing.
const SLACK_MS: u64 = 500;

pub fn run(setup: &Setup, trouble: bool) -> Result<Verdict, Verdict> {
    // A payment takes 240 to 420 ms at a partner of usual pace; a clump of them comes at once.
    let endpoint = Endpoint::start("partner", &setup.calls, &setup.record, |_| Act::Deliver(330));
    setup.list(&[endpoint]);
    setup.write_config(BILBAO_CLASSES, 2);
    let file = setup.stage.write("operators.yaml", &operators_file(setup.amqp, setup.admin, None, 99));
    let arguments = format!("run {}", file.display());
    let mut forwarder = setup.start("f0", &arguments)?;
    let connect = || Publisher::connect(setup.amqp, "onda", "secret", "onda-norte");
    let failed = |what: &str| Verdict::CouldNotRun(what.into());
    let mut publisher = connect().ok_or_else(|| failed("the publisher cannot connect"))?;
    let queue = publisher.answers("", true).ok_or_else(|| failed("no reply queue"))?;
    let began = unix_ms();
    let message = |id: &str, left_ms: u64| Handed {
        id: id.to_owned(),
        class: "royalty-payment",
        dest: 1,
        timeout_s: left_ms as f64 / 1000.0,
        body: "payment".into(),
    };
    let mut tags: BTreeMap<u64, String> = BTreeMap::new();
    for number in 0..MESSAGES {
        let id = format!("payment-{number:02}");
        tags.insert(publisher.publish(&message(&id, TIME_MS), &queue), id);
    }
    setup.record.line(format!("publisher: published {MESSAGES} payments, answers to {queue}"));
    let mut taken: BTreeSet<String> = BTreeSet::new();
    let mut answered: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let note = |heard: Vec<Heard>,
                tags: &mut BTreeMap<u64, String>,
                taken: &mut BTreeSet<String>,
                answered: &mut BTreeMap<String, Vec<String>>| {
        for one in heard {
            setup.record.line(format!("publisher: hears {one:?}"));
            match one {
                Heard::Ack(tag) => taken.extend(tags.remove(&tag)),
                Heard::Answer { id, status, .. } => answered.entry(id).or_default().push(status),
                _ => {}
            }
        }
    };
    let heard = publisher.hear(800).unwrap_or_else(|heard| heard);
    note(heard, &mut tags, &mut taken, &mut answered);
    if taken.len() < MESSAGES as usize {
        return Err(failed("not all payments were taken on"));
    }
    // The kill is the case; an upgrade in its place (`VARIANT=upgrade`) is for comparison.
    let is_upgrade = std::env::var("VARIANT").is_ok_and(|variant| variant == "upgrade");
    if trouble {
        if is_upgrade {
            setup.record.line("platform: upgrade");
            let address = free_address();
            let new = setup.stage.start("f1", &arguments, Some(address));
            if !wait_until(6_000, || ops_ready(address)) {
                return Err(failed("the new process does not say yes"));
            }
            forwarder.signal("TERM");
            forwarder = new;
        } else {
            setup.record.line("platform: SIGKILL");
            forwarder.kill();
        }
        let heard = publisher.hear(100).unwrap_or_else(|heard| heard);
        note(heard, &mut tags, &mut taken, &mut answered);
        if !is_upgrade {
            sleep_ms(600);
            forwarder = setup.start("f1", &arguments)?;
        }
        publisher = connect().ok_or_else(|| failed("the publisher cannot connect again"))?;
        let queue = publisher.answers("", true).ok_or_else(|| failed("no second reply queue"))?;
        taken.clear();
        tags.clear();
        for number in 0..MESSAGES {
            let id = format!("payment-{number:02}");
            if !answered.contains_key(&id) {
                let left_ms = (began + TIME_MS).saturating_sub(unix_ms());
                tags.insert(publisher.publish(&message(&id, left_ms), &queue), id);
            }
        }
        setup.record.line(format!("publisher: published again what is not answered, answers to {queue}"));
    }
    while unix_ms() < began + TIME_MS + SLACK_MS {
        let heard = publisher.hear(100).map_err(|_| failed("the connection ended"))?;
        note(heard, &mut tags, &mut taken, &mut answered);
        if answered.len() == MESSAGES as usize {
            break;
        }
    }
    drop(forwarder);
    let unanswered: Vec<&String> = taken.iter().filter(|id| !answered.contains_key(*id)).collect();
    let delivered =
        |id: &str| setup.calls.lock().unwrap().iter().any(|call| call.id == id && call.answered_200);
    let ran = unanswered.iter().filter(|id| delivered(id)).count();
    if unanswered.is_empty() {
        Ok(Verdict::Held(format!(
            "all {} payments that were taken on got their final answer",
            answered.len()
        )))
    } else {
        Ok(Verdict::Broken(format!(
            "{} payments were acked and never answered ({ran} of them were delivered): {unanswered:?}",
            unanswered.len()
        )))
    }
}
