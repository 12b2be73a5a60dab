//! After any changes of the endpoint list and of the configuration, restarts and upgrades among them, an engine decides
//! as one that is started with the list and the configuration in force.

mod common;

use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Reply, Resume};
use cedarwharf::net::list::endpoints::{EndpointList, ListSource};
use cedarwharf::net::list::identity::EndpointIdentity;
use cedarwharf::net::list::{ListEntry, ListUpdate};
use cedarwharf::*;
use common::core::{reply_in, submission, Folder};
use common::{ms, settings, KEYED, SAFE, UNSAFE};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

const DISK: u64 = 1 << 20;
const RUNS: u64 = 300;
const CHANGES_PER_RUN: usize = 25;
const DESTINATIONS: u64 = 3;
const NAMES: [&str; 4] = ["one", "two", "three", "four"];
const CLASSES: [&str; 3] = ["note", "episode", "payment"];
const TENANTS: [&str; 3] = ["acme", "ria", "sol"];
const KINDS: [&str; 2] = ["single", "batches"];
const ZONES: [&str; 2] = ["a", "b"];

fn random_entry(random: &mut fastrand::Rng) -> ListEntry {
    let name = NAMES[random.usize(..NAMES.len())];
    let destination = DestinationId(random.u64(1..=DESTINATIONS));
    let (kind, zone) = (random.usize(..KINDS.len()), random.usize(..ZONES.len()));
    let address = Some(SocketAddr::from(([127, 0, 0, 1], random.u16(1..3))));
    let identity = EndpointIdentity { name, destination, kind: KINDS[kind], zone: ZONES[zone], address };
    let lifecycles =
        [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];
    let record = EndpointRecord {
        endpoint: identity.id(),
        destination,
        zone: zone as u32,
        kind,
        lifecycle: lifecycles[random.usize(..lifecycles.len())],
        weight: [500.0, 1_000.0][random.usize(..2)],
    };
    ListEntry { name: name.to_owned(), record, address, started_at_ms: 0 }
}

/// A random, not empty part of some names.
fn some(random: &mut fastrand::Rng, names: &[&str]) -> Vec<String> {
    let mut names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    random.shuffle(&mut names);
    names.truncate(random.usize(1..=names.len()));
    names
}

fn random_core(random: &mut fastrand::Rng) -> Core {
    let (classes, tenants) = (some(random, &CLASSES), some(random, &TENANTS));
    let defaults = settings();
    let effects = [SAFE, KEYED, UNSAFE];
    let settings = Settings {
        classes: classes.iter().map(|_| defaults.classes[effects[random.usize(..3)]].clone()).collect(),
        tenants: vec![100.0; tenants.len()],
        slots: random.u32(8..12),
        max_attempts: random.u32(2..6),
        ..defaults
    };
    Core { settings, classes, tenants, held_bytes: None, held_memory: u64::MAX }
}

/// An engine, the time, and what is in force.
struct Process {
    engine: Engine,
    core: Core,
    now: u64,
    next_id: u32,
}

fn start(core: &Core, folder: &Path, now: u64, records: Vec<EndpointRecord>) -> Engine {
    Engine::start(core, 5, (folder, DISK), ms(now), records, Resume::AtOnce)
}

impl Process {
    fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        self.now += 10;
        self.engine.step(ms(self.now), inputs)
    }

    /// Submits messages of one class and tenant to a destination in one iteration; returns the first reply, and
    /// endpoint and size of each call. All messages are delivered.
    fn deliver(
        &mut self,
        class: &str,
        tenant: &str,
        to: DestinationId,
        count: usize,
    ) -> Vec<(EndpointId, usize)> {
        let names = self.engine.directory().clone();
        let class = names.classes.active_index(class).expect("a class in force");
        let tenant = names.tenants.active_index(tenant).expect("a tenant in force");
        let messages = (0..count).map(|_| {
            self.next_id += 1;
            let Input::Submission(one) = submission(&format!("m{}", self.next_id), class, 10) else {
                unreachable!()
            };
            Input::Submission(MessageSubmission { tenant, destination: to, ..one })
        });
        let messages: Vec<Input> = messages.collect();
        let mut outputs = self.step(messages);
        assert_eq!(reply_in(&outputs), Some(Reply::Accepted));
        let mut calls = Vec::new();
        let mut delivered = 0;
        while delivered < count {
            let mut answers = Vec::new();
            for output in &outputs {
                let Output::Call { call, endpoint, items, .. } = output else { continue };
                calls.push((*endpoint, items.len()));
                delivered += items.len();
                let results = (0..items.len()).map(|item| (item, AttemptOutcome::Delivered, true)).collect();
                answers.extend([Input::Written(*call), Input::Answered { call: *call, results, wait: None }]);
            }
            outputs = self.step(answers);
            assert!(self.now < 1_000_000, "{delivered} of {count} messages were sent");
        }
        self.step(Vec::new());
        calls
    }

    /// Whether a message is called again after its first call broke.
    fn repeats(&mut self, class: &str, tenant: &str, to: DestinationId) -> bool {
        let names = self.engine.directory().clone();
        let class = names.classes.active_index(class).expect("a class in force");
        let tenant = names.tenants.active_index(tenant).expect("a tenant in force");
        let Input::Submission(one) = submission("broken", class, 10) else { unreachable!() };
        let submitted = Input::Submission(MessageSubmission { tenant, destination: to, ..one });
        let mut outputs = self.step(vec![submitted]);
        let mut calls = 0;
        for _ in 0..300 {
            let called = outputs.iter().find_map(|output| match output {
                Output::Call { call, .. } => Some(*call),
                _ => None,
            });
            calls += u32::from(called.is_some());
            let broken = called.map(|call| vec![Input::Written(call), Input::ConnectionFailed(call)]);
            outputs = self.step(broken.unwrap_or_default());
        }
        calls > 1
    }

    fn configure(&mut self, core: Core) {
        self.engine.configure(&core);
        self.core = core;
    }

    fn restart(self, folder: &Path, list: &EndpointList) -> Process {
        let Process { engine, core, now, next_id } = self;
        drop(engine);
        Process { engine: start(&core, folder, now, list.records()), core, now, next_id }
    }

    fn upgrade(mut self, folder: &Path, list: &EndpointList) -> Process {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.engine.hand_over().unwrap(), &mut bytes).unwrap();
        let handover = (ciborium::from_reader(&bytes[..]).unwrap(), &IndexMapping::default());
        let (core, now) = (&self.core, ms(self.now));
        let engine = Engine::resume_handover(core, 5, (folder, DISK), now, list.records(), handover);
        Process { engine, ..self }
    }
}

fn random_change(
    process: Process,
    list: &mut EndpointList,
    folder: &Path,
    random: &mut fastrand::Rng,
) -> Process {
    let mut process = process;
    match random.u32(0..10) {
        0..5 => {
            let sources = [ListSource::Discovery, ListSource::DnsSd, ListSource::OperatorsFile];
            let source = sources[random.usize(..3)];
            let entries = (0..random.usize(0..4)).map(|_| random_entry(random)).collect();
            let update = ListUpdate { generation: 0, whole: random.bool(), entries };
            let changes = list.apply(source, &update).into_iter().map(|entry| entry.record).collect();
            let is_whole = update.whole && source == ListSource::Discovery;
            let input = match is_whole {
                true => Input::EndpointRecords(ListScope::Whole, list.records()),
                false => Input::EndpointRecords(ListScope::Changes, changes),
            };
            process.step(vec![input]);
            process
        }
        5..7 => {
            process.configure(random_core(random));
            process.step(Vec::new());
            process
        }
        7 => process.restart(folder, list),
        8 => process.upgrade(folder, list),
        _ => {
            let ready: Vec<DestinationId> = ready_destinations(list).into_iter().collect();
            if let Some(&to) = random.choice(&ready) {
                let (class, tenant) = (process.core.classes[0].clone(), process.core.tenants[0].clone());
                process.deliver(&class, &tenant, to, random.usize(1..4));
            }
            process
        }
    }
}

fn ready_records(list: &EndpointList, of: DestinationId) -> Vec<EndpointRecord> {
    let mut records = list.records();
    records.retain(|record| record.destination == of && record.lifecycle == Lifecycle::Ready);
    records
}

fn ready_destinations(list: &EndpointList) -> BTreeSet<DestinationId> {
    let ready = list.records().into_iter().filter(|record| record.lifecycle == Lifecycle::Ready);
    ready.map(|record| record.destination).collect()
}

/// Checks that calls go to the endpoints in force, and to all of them where each message is a call of its own.
fn check_calls(list: &EndpointList, to: DestinationId, calls: &[(EndpointId, usize)], case: &str) {
    let ready = ready_records(list, to);
    let batches = settings().kinds;
    for (endpoint, size) in calls {
        let record = ready.iter().find(|record| record.endpoint == *endpoint);
        let record = record.unwrap_or_else(|| panic!("{case}: called an endpoint of another destination"));
        assert!(*size <= batches[record.kind].batch as usize, "{case}: {size} messages in one call");
    }
    if ready.iter().all(|record| record.kind == 0) {
        let called: BTreeSet<EndpointId> = calls.iter().map(|(endpoint, _)| *endpoint).collect();
        assert_eq!(called, ready.iter().map(|record| record.endpoint).collect(), "{case}");
    }
}

/// Endpoints, batch sizes and repeats followed earlier records, and earlier settings of a class.
#[test]
fn engine_after_any_changes_decides_as_a_fresh_one() {
    for seed in 0..RUNS {
        let mut random = fastrand::Rng::with_seed(seed);
        let folders = [Folder::new("changed"), Folder::new("fresh")];
        let mut list = EndpointList::default();
        let core = random_core(&mut random);
        let engine = start(&core, &folders[0].0, 1_000, Vec::new());
        let mut changed = Process { engine, core, now: 1_000, next_id: 0 };
        for _ in 0..CHANGES_PER_RUN {
            changed = random_change(changed, &mut list, &folders[0].0, &mut random);
        }
        // Nothing that lasts for a time only, such as a drain, is left.
        changed.now += 5_000;
        changed.step(Vec::new());
        let (core, now) = (changed.core.clone(), changed.now);
        let engine = start(&core, &folders[1].0, now, list.records());
        let mut fresh = Process { engine, core: core.clone(), now, next_id: 0 };
        assert!(changed.engine.has_settings(&core), "seed {seed}");
        for to in ready_destinations(&list) {
            let count = ready_records(&list, to).len();
            for (class, tenant) in core.classes.iter().flat_map(|c| core.tenants.iter().map(move |t| (c, t)))
            {
                for (process, name) in [(&mut changed, "changed"), (&mut fresh, "fresh")] {
                    let case = format!("seed {seed}, {name}, {class} of {tenant} to {to:?}");
                    let calls = process.deliver(class, tenant, to, count);
                    check_calls(&list, to, &calls, &case);
                }
            }
        }
        if let Some(&to) = ready_destinations(&list).first() {
            let class = &core.classes[random.usize(..core.classes.len())];
            let again =
                [&mut changed, &mut fresh].map(|process| process.repeats(class, &core.tenants[0], to));
            assert_eq!(again[0], again[1], "seed {seed}: {class} repeated");
        }
    }
}
