//! An engine with a state folder of its own and without any network protocol.

use super::{endpoint_record, ms, settings, HOME};
use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Reply, Resume};
use cedarwharf::journal::{FinalOutcome, IdScope};
use cedarwharf::*;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("cedarwharf-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Settings with a name for each class and tenant: `c0`, `c1`, ..., `t0`, ...
pub fn core(settings: Settings) -> Core {
    let names = |letter: &str, count: usize| (0..count).map(|index| format!("{letter}{index}")).collect();
    let (classes, tenants) = (names("c", settings.classes.len()), names("t", settings.tenants.len()));
    Core { settings, classes, tenants, held_bytes: None, held_memory: u64::MAX }
}

pub fn start_with(core: &Core, folder: &Folder, disk: u64, now: u64) -> Engine {
    Engine::start(core, 5, (&folder.0, disk), ms(now), vec![endpoint_record(1, HOME, 10.0)], Resume::AtOnce)
}

pub fn start(folder: &Folder, disk: u64, now: u64) -> Engine {
    start_with(&core(settings()), folder, disk, now)
}

/// The engine of the process that takes over from this one, with another configuration and disk limit.
pub fn upgraded(mut engine: Engine, core: &Core, folder: &Folder, disk: u64, now: u64) -> Engine {
    let mut bytes = Vec::new();
    ciborium::into_writer(&engine.hand_over().unwrap(), &mut bytes).unwrap();
    drop(engine);
    let handover = ciborium::from_reader(&bytes[..]).unwrap();
    let (target, mapping) = ((folder.0.as_path(), disk), IndexMapping::default());
    let cached = vec![endpoint_record(1, HOME, 10.0)];
    let mut engine = Engine::resume_handover(core, 5, target, ms(now), cached, (handover, &mapping));
    engine.claim_journal();
    engine
}

pub fn submission(id: &str, class: usize, body: usize) -> Input {
    Input::Submission(MessageSubmission {
        token: 1,
        front: 0,
        id_scope: IdScope::Tenant,
        report_delivery: false,
        tenant: 0,
        class,
        destination: HOME,
        id: id.as_bytes().into(),
        key: None,
        time_left: ms(10_000),
        resubmitted: false,
        origin: Rc::from(&[][..]),
        body: vec![0; body].into(),
    })
}

pub fn call_in(outputs: &[Output]) -> Option<u64> {
    outputs.iter().find_map(|out| if let Output::Call { call, .. } = out { Some(*call) } else { None })
}

pub fn reply_in(outputs: &[Output]) -> Option<Reply> {
    outputs.iter().find_map(|out| if let Output::Reply(_, _, reply) = out { Some(*reply) } else { None })
}

pub fn outcome_in(outputs: &[Output]) -> Option<FinalOutcome> {
    outputs.iter().find_map(|out| {
        if let Output::ReportOutcome { outcome, .. } = out {
            Some(*outcome)
        } else {
            None
        }
    })
}
