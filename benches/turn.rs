//! The cost of a loop iteration of the engine, including the dispatcher, by the number of held messages:
//! `cargo bench --bench turn`.
//!
//! There are 200 destinations and 1,024 slots. In each iteration one call is answered and one message is
//! submitted, so that the number of held messages stays the same. In `slow` all slots are in use, as with
//! endpoints that take seconds; in `waiting` most destinations are in a retry-after. `tenants` is `slow` with
//! 1,000 held messages, by the number of tenants; one in a hundred tenants is busy. `gate` is only the fair
//! scheduler's choice of the next tenant, with the start and the end of a call, by the number of waiting
//! tenants.

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

/// An engine with a clock and the calls that it has started.
struct Bench {
    engine: Engine,
    folder: PathBuf,
    now: Micros,
    /// Calls in flight, and the number of messages in each.
    calls: VecDeque<(u64, usize)>,
    submissions: u64,
    /// Tenants that submit messages.
    busy_tenants: u64,
}

impl Drop for Bench {
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

impl Bench {
    fn new(name: &str, slots: u32, tenants: usize) -> Bench {
        let folder = std::env::temp_dir().join(format!("cedarwharf-bench-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let settings = settings(slots);
        let isolation = vec![Isolation::default(); tenants];
        let core = Core {
            settings: Settings { tenants: vec![1e6; tenants], isolation, ..settings },
            classes: vec!["note".into(), "payment".into()],
            tenants: (0..tenants).map(|index| format!("t{index}")).collect(),
            held_bytes: None,
            held_memory: u64::MAX,
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
        let busy_tenants = (tenants as u64).div_ceil(100);
        Bench { engine, folder, now, calls: VecDeque::new(), submissions: 0, busy_tenants }
    }

    fn submit(&mut self) -> Input {
        self.submissions += 1;
        Input::Submission(MessageSubmission {
            token: self.submissions,
            front: 0,
            id_scope: IdScope::Tenant,
            report_delivery: false,
            tenant: (self.submissions % self.busy_tenants) as usize,
            class: (self.submissions % 2) as usize,
            destination: DestinationId(self.submissions * 7 % DESTINATIONS),
            id: format!("m{}", self.submissions).into_bytes().into(),
            key: None,
            time_left: Micros(3_600_000_000),
            resubmitted: false,
            origin: Rc::from(&[][..]),
            body: Rc::from(&[0; 64][..]),
        })
    }

    fn iterate(&mut self, inputs: Vec<Input>) {
        self.now = self.now.plus(Micros(200));
        for output in self.engine.step(self.now, inputs) {
            if let Output::Call { call, items, .. } = output {
                self.calls.push_back((call, items.len()));
            }
        }
    }

    fn answer(&mut self, outcome: AttemptOutcome) -> Vec<Input> {
        let Some((call, items)) = self.calls.pop_front() else { return Vec::new() };
        let closed = outcome == AttemptOutcome::Delivered;
        let results = (0..items).map(|index| (index, outcome, closed)).collect();
        vec![Input::Written(call), Input::Answered { call, results, wait: None }]
    }

    /// One iteration with an answered call and a submitted message.
    fn step(&mut self) {
        let mut inputs = self.answer(AttemptOutcome::Delivered);
        inputs.push(self.submit());
        self.iterate(inputs);
    }
}

const HELD: [usize; 3] = [100, 1_000, 20_000];

#[divan::bench(args = HELD, sample_count = 50, sample_size = 20)]
fn slow(bencher: divan::Bencher, held: usize) {
    let mut bench = Bench::new(&format!("slow{held}"), (held as u32 / 2).min(1_024), 1);
    while bench.engine.messages().count() < held {
        let submissions: Vec<Input> = (0..100).map(|_| bench.submit()).collect();
        bench.iterate(submissions);
    }
    bencher.bench_local(|| bench.step());
}

#[divan::bench(args = HELD, sample_count = 50, sample_size = 20)]
fn waiting(bencher: divan::Bencher, held: usize) {
    let mut bench = Bench::new(&format!("waiting{held}"), 1_024, 1);
    // Nine in ten destinations reject their first call with a long retry-after.
    for _ in 0..DESTINATIONS {
        let submission = bench.submit();
        bench.iterate(vec![submission]);
    }
    let wait = Some(Micros(1_000_000_000));
    for (index, (call, _)) in std::mem::take(&mut bench.calls).into_iter().enumerate() {
        let outcome = if index % 10 == 0 {
            AttemptOutcome::Delivered
        } else {
            AttemptOutcome::Rejected { retry_after: wait }
        };
        let results = vec![(0, outcome, outcome == AttemptOutcome::Delivered)];
        let wait = wait.filter(|_| outcome != AttemptOutcome::Delivered);
        bench.iterate(vec![Input::Written(call), Input::Answered { call, results, wait }]);
    }
    while bench.engine.messages().count() < held {
        let mut inputs: Vec<Input> = (0..100).map(|_| bench.submit()).collect();
        while !bench.calls.is_empty() {
            inputs.extend(bench.answer(AttemptOutcome::Delivered));
        }
        bench.iterate(inputs);
    }
    bencher.bench_local(|| bench.step());
}

#[divan::bench(args = [1, 20, 1_000], sample_count = 50, sample_size = 20)]
fn tenants(bencher: divan::Bencher, tenants: usize) {
    let mut bench = Bench::new(&format!("tenants{tenants}"), 500, tenants);
    while bench.engine.messages().count() < 1_000 {
        let submissions: Vec<Input> = (0..100).map(|_| bench.submit()).collect();
        bench.iterate(submissions);
    }
    bencher.bench_local(|| bench.step());
}

#[divan::bench(args = [1, 10, 100, 1_000], sample_count = 50, sample_size = 200)]
fn gate(bencher: divan::Bencher, waiting: usize) {
    let mut scheduler = FairScheduler::default();
    scheduler.configure(1_024, &vec![Isolation::default(); 1_000]);
    let mut calls = VecDeque::new();
    let mut step = |calls: &mut VecDeque<usize>| {
        let eligibility = scheduler.eligibility(0..waiting);
        let tenant = (0..waiting).find(|&tenant| scheduler.is_eligible(tenant, eligibility)).unwrap_or(0);
        scheduler.call_started(tenant, Micros(50_000));
        calls.push_back(tenant);
        if calls.len() > 1_000 {
            let tenant = calls.pop_front().unwrap_or(0);
            scheduler.call_ended(tenant, Micros(50_000), Micros(60_000));
        }
    };
    (0..2_000).for_each(|_| step(&mut calls));
    bencher.bench_local(|| step(&mut calls));
}
