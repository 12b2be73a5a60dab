//! The cost of a turn of the core, with the module in it, by how many messages are held: `cargo bench --bench turn`.
//!
//! 200 destinations, 1,024 slots. In each turn one call is answered, and one message is handed in, so that as many stay
//! held. `slow` has all slots taken, as partners that take seconds make it; `waiting` has most partners in a told wait.
//! `tenants` is `slow` with 1,000 held for so many tenants, one in a hundred of them busy; `gate` is the choice of the next
//! tenant alone, with a call's begin and end, for so many that wait.

use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Resume};
use cedarwharf::journal::IdScope;
use cedarwharf::tenancy::gate::FairScheduler;
use cedarwharf::tenancy::Isolation;
use cedarwharf::*;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::rc::Rc;

fn main() {
    divan::main();
}

const DESTINATIONS: u64 = 200;

struct Rig {
    engine: Engine,
    folder: PathBuf,
    now: Micros,
    out: VecDeque<(u64, usize)>,
    next: u64,
    /// Tenants that offer anything.
    busy: u64,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn class(effect: Effect) -> ClassSettings {
    let hour = Micros(3_600_000_000);
    ClassSettings {
        effect,
        in_order: false,
        target_time: Micros(2_000_000),
        deadline: hour,
        worth: 1.0,
        late_share: 0.1,
    }
}

fn settings(slots: u32) -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        kinds: vec![KindSettings { separate_routes: false, batch: 1 }],
        weights: Weights::Absent,
        worth_decay: WorthDecay::Halving,
        tenants: vec![1e6],
        isolation: Vec::new(),
        over_share_worth: 0.1,
        forwarders: 1,
        slots,
        max_messages: 30_000,
        max_attempts: 8,
        can_cancel: true,
        must_subscribe: false,
        max_retry_after: Micros(2_000_000),
        connection_idle: Micros(10_000_000),
        drain_grace: Micros(2_000_000),
        recovery_start_share: 0.2,
        recovery_time: Micros(10_000_000),
        overload_multiple: 2.0,
        overload_window: Micros(2_000_000),
        key_backoff: Micros(0),
    }
}

impl Rig {
    fn new(name: &str, slots: u32, tenants: usize) -> Rig {
        let folder = std::env::temp_dir().join(format!("cedarwharf-bench-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let told = settings(slots);
        let isolation = vec![Isolation::default(); tenants];
        let core = Core {
            settings: Settings { tenants: vec![1e6; tenants], isolation, ..told },
            classes: vec!["note".into(), "payment".into()],
            tenants: (0..tenants).map(|place| format!("t{place}")).collect(),
            held_bytes: None,
        };
        let list = (0..DESTINATIONS).map(|number| EndpointRecord {
            endpoint: EndpointId(number),
            destination: DestinationId(number),
            zone: 0,
            kind: 0,
            lifecycle: Lifecycle::Ready,
            weight: 0.0,
        });
        let now = Micros(1_000_000_000);
        let engine = Engine::start(&core, 5, (&folder, 1 << 30), now, list.collect(), Resume::AtOnce);
        Rig { engine, folder, now, out: VecDeque::new(), next: 0, busy: (tenants as u64).div_ceil(100) }
    }

    fn offer(&mut self) -> Input {
        self.next += 1;
        Input::Submission(MessageSubmission {
            token: self.next,
            front: 0,
            id_scope: IdScope::Tenant,
            report_delivery: false,
            tenant: (self.next % self.busy) as usize,
            class: (self.next % 2) as usize,
            destination: DestinationId(self.next * 7 % DESTINATIONS),
            id: format!("m{}", self.next).into_bytes().into(),
            key: None,
            time_left: Micros(3_600_000_000),
            resubmitted: false,
            origin: Rc::from(&[][..]),
            body: Rc::from(&[0; 64][..]),
        })
    }

    fn turn(&mut self, inputs: Vec<Input>) {
        self.now = self.now.plus(Micros(200));
        for output in self.engine.step(self.now, inputs) {
            if let Output::Call { call, items, .. } = output {
                self.out.push_back((call, items.len()));
            }
        }
    }

    fn answer(&mut self, outcome: AttemptOutcome) -> Vec<Input> {
        let Some((call, items)) = self.out.pop_front() else { return Vec::new() };
        let over = outcome == AttemptOutcome::Delivered;
        let results = (0..items).map(|place| (place, outcome, over)).collect();
        vec![Input::Written(call), Input::Answered { call, results, wait: None }]
    }

    /// One answered, one handed in.
    fn step(&mut self) {
        let mut inputs = self.answer(AttemptOutcome::Delivered);
        inputs.push(self.offer());
        self.turn(inputs);
    }
}

const HELD: [usize; 3] = [100, 1_000, 20_000];

#[divan::bench(args = HELD, sample_count = 50, sample_size = 20)]
fn slow(bencher: divan::Bencher, held: usize) {
    let mut rig = Rig::new(&format!("slow{held}"), (held as u32 / 2).min(1_024), 1);
    while rig.engine.messages().count() < held {
        let offers: Vec<Input> = (0..100).map(|_| rig.offer()).collect();
        rig.turn(offers);
    }
    bencher.bench_local(|| rig.step());
}

#[divan::bench(args = HELD, sample_count = 50, sample_size = 20)]
fn waiting(bencher: divan::Bencher, held: usize) {
    let mut rig = Rig::new(&format!("waiting{held}"), 1_024, 1);
    // Each partner turns its first call away and tells a long wait; one in ten does not.
    for _ in 0..DESTINATIONS {
        let offer = rig.offer();
        rig.turn(vec![offer]);
    }
    let wait = Some(Micros(1_000_000_000));
    for (place, (call, _)) in std::mem::take(&mut rig.out).into_iter().enumerate() {
        let outcome = if place % 10 == 0 {
            AttemptOutcome::Delivered
        } else {
            AttemptOutcome::Rejected { retry_after: wait }
        };
        let results = vec![(0, outcome, outcome == AttemptOutcome::Delivered)];
        let wait = wait.filter(|_| outcome != AttemptOutcome::Delivered);
        rig.turn(vec![Input::Written(call), Input::Answered { call, results, wait }]);
    }
    while rig.engine.messages().count() < held {
        let mut inputs: Vec<Input> = (0..100).map(|_| rig.offer()).collect();
        while !rig.out.is_empty() {
            inputs.extend(rig.answer(AttemptOutcome::Delivered));
        }
        rig.turn(inputs);
    }
    bencher.bench_local(|| rig.step());
}

#[divan::bench(args = [1, 20, 1_000], sample_count = 50, sample_size = 20)]
fn tenants(bencher: divan::Bencher, tenants: usize) {
    let mut rig = Rig::new(&format!("tenants{tenants}"), 500, tenants);
    while rig.engine.messages().count() < 1_000 {
        let offers: Vec<Input> = (0..100).map(|_| rig.offer()).collect();
        rig.turn(offers);
    }
    bencher.bench_local(|| rig.step());
}

#[divan::bench(args = [1, 10, 100, 1_000], sample_count = 50, sample_size = 200)]
fn gate(bencher: divan::Bencher, waiting: usize) {
    let mut gate = FairScheduler::default();
    gate.configure(1_024, &vec![Isolation::default(); 1_000]);
    let mut out = VecDeque::new();
    let mut step = |out: &mut VecDeque<usize>| {
        let open = gate.eligibility(0..waiting);
        let place = (0..waiting).find(|&place| gate.is_eligible(place, open)).unwrap_or(0);
        gate.call_started(place, Micros(50_000));
        out.push_back(place);
        if out.len() > 1_000 {
            let place = out.pop_front().unwrap_or(0);
            gate.call_ended(place, Micros(50_000), Micros(60_000));
        }
    };
    (0..2_000).for_each(|_| step(&mut out));
    bencher.bench_local(|| step(&mut out));
}
