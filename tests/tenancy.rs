//! Isolation of tenants in one engine: the load of one tenant leaves the shares of the others available.

mod common;

use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Reply};
use cedarwharf::tenancy::rate::Rate;
use cedarwharf::tenancy::{Isolation, ShareLimits};
use cedarwharf::*;
use common::core::{core, reply_in, start_with, submission, Folder};
use common::{endpoint_record, ms, settings, HOME, SAFE, UNSAFE};
use std::collections::BTreeMap;

/// A second destination, whose response time differs from that of `HOME`.
const OTHER: DestinationId = DestinationId(8);

fn settings_with_tenants(isolation: Vec<Isolation>) -> Settings {
    let quotas = vec![1.0; isolation.len()];
    Settings {
        tenants: quotas,
        isolation,
        slots: 8,
        max_messages: 80,
        weights: Weights::Absent,
        ..settings()
    }
}

fn start_engine(folder: &Folder, settings: Settings) -> Engine {
    let mut engine = start_with(&core(settings), folder, 1 << 20, 1_000);
    let list =
        (0..20).map(|number| endpoint_record(number, if number < 10 { HOME } else { OTHER }, 1.0)).collect();
    engine.step(ms(1_000), [Input::EndpointRecords(ListScope::Whole, list)]);
    engine
}

fn tenant_submission(tenant: usize, destination: DestinationId, class: usize, id: &str) -> Input {
    let Input::Submission(template) = submission(id, class, 10) else { unreachable!() };
    Input::Submission(MessageSubmission { tenant, destination, time_left: ms(60_000), ..template })
}

/// An engine with simulated endpoints, which answer each call after a fixed time for each destination.
struct Simulation {
    engine: Engine,
    now: u64,
    /// Response time of each destination, in milliseconds.
    response_times: BTreeMap<DestinationId, u64>,
    /// End time and destination of each call in flight, by call.
    in_flight: BTreeMap<u64, (u64, DestinationId)>,
    delivered: BTreeMap<DestinationId, u32>,
    /// `Input::Written` of the calls that were started in the last loop iteration.
    written: Vec<Input>,
    rejected: u32,
    accepted: u32,
    aborted: u32,
}

impl Simulation {
    fn new(engine: Engine, home_ms: u64, other_ms: u64) -> Simulation {
        let response_times = BTreeMap::from([(HOME, home_ms), (OTHER, other_ms)]);
        let (in_flight, delivered) = (BTreeMap::new(), BTreeMap::new());
        let written = Vec::new();
        Simulation {
            engine,
            now: 1_000,
            response_times,
            in_flight,
            delivered,
            written,
            rejected: 0,
            accepted: 0,
            aborted: 0,
        }
    }

    /// Runs one loop iteration, 10 ms after the last one, with these submissions.
    fn step(&mut self, submissions: Vec<Input>) {
        self.now += 10;
        let mut inputs = std::mem::take(&mut self.written);
        inputs.extend(submissions);
        let ended: Vec<u64> =
            self.in_flight.iter().filter(|(_, (at, _))| *at <= self.now).map(|(&call, _)| call).collect();
        for call in ended {
            let (_, destination) = self.in_flight.remove(&call).unwrap();
            *self.delivered.entry(destination).or_default() += 1;
            inputs.push(Input::Answered {
                call,
                results: vec![(0, AttemptOutcome::Delivered, true)],
                wait: None,
            });
        }
        for output in self.engine.step(ms(self.now), inputs) {
            match output {
                Output::Call { call, endpoint, .. } => {
                    let destination = if endpoint.0 < 10 { HOME } else { OTHER };
                    self.in_flight.insert(call, (self.now + self.response_times[&destination], destination));
                    self.written.push(Input::Written(call));
                }
                Output::Abort(call) => {
                    self.in_flight.remove(&call);
                    self.aborted += 1;
                }
                Output::Reply(.., Reply::Accepted) => self.accepted += 1,
                Output::Reply(.., Reply::Rejected(retry_after)) => {
                    assert!(retry_after.0 > 0);
                    self.rejected += 1;
                }
                _ => {}
            }
        }
    }

    fn in_flight_at(&self, destination: DestinationId) -> usize {
        self.in_flight.values().filter(|(_, called)| *called == destination).count()
    }
}

#[test]
fn tenant_with_a_slow_destination_leaves_another_its_slots_and_its_share_of_the_buffer() {
    let folder = Folder::new("crawl");
    let engine = start_engine(&folder, settings_with_tenants(vec![Isolation::default(); 2]));
    let mut simulation = Simulation::new(engine, 4_000, 10);
    // The first tenant submits far more than there is capacity for; the second starts later, at a steady
    // rate.
    let mut submitted = 0;
    for step in 0..600 {
        let mut submissions: Vec<Input> =
            (0..5).map(|index| tenant_submission(0, HOME, UNSAFE, &format!("slow{step}-{index}"))).collect();
        if step >= 100 && step % 5 == 0 {
            submissions.push(tenant_submission(1, OTHER, UNSAFE, &format!("fast{step}")));
            submitted += 1;
        }
        simulation.step(submissions);
        assert!(
            simulation.in_flight_at(HOME) <= 7,
            "the first tenant uses a slot that is kept for the second"
        );
    }
    for _ in 0..10 {
        simulation.step(Vec::new());
    }
    // No payment in flight was aborted, and each message of the second tenant was delivered at once.
    assert_eq!((simulation.delivered[&OTHER], simulation.aborted), (submitted, 0));
    assert!(simulation.in_flight_at(HOME) >= 6, "idle slots are lent: {}", simulation.in_flight_at(HOME));
    let (counts, _) = simulation.engine.tenant_status(1);
    assert_eq!((counts.accepted, counts.rejected), (u64::from(submitted), 0));
    assert!(simulation.engine.tenant_status(0).0.open >= 60, "idle buffer is lent");
}

#[test]
fn lending_tenant_that_resumes_gets_its_slots_back_within_one_call_of_the_borrower() {
    let folder = Folder::new("lender");
    let engine = start_engine(&folder, settings_with_tenants(vec![Isolation::default(); 2]));
    let mut simulation = Simulation::new(engine, 500, 500);
    for step in 0..100 {
        simulation.step(vec![tenant_submission(0, HOME, UNSAFE, &format!("a{step}"))]);
    }
    assert_eq!(simulation.in_flight_at(HOME), 7);
    let resumed_at = simulation.now;
    let mut regained_after = None;
    for step in 0..100 {
        let submissions = vec![
            tenant_submission(0, HOME, UNSAFE, &format!("b{step}")),
            tenant_submission(1, OTHER, UNSAFE, &format!("c{step}")),
            tenant_submission(1, OTHER, UNSAFE, &format!("d{step}")),
        ];
        simulation.step(submissions);
        assert!(simulation.in_flight_at(HOME) + simulation.in_flight_at(OTHER) <= 8);
        if simulation.in_flight_at(OTHER) >= 4 {
            regained_after.get_or_insert(simulation.now - resumed_at);
        }
    }
    assert_eq!(simulation.aborted, 0, "payments in flight in borrowed slots are not aborted");
    assert!(
        regained_after.is_some_and(|took| took <= 520),
        "it has its four slots after {regained_after:?} ms"
    );
}

#[test]
fn lowering_the_ceiling_below_the_held_messages_ends_none_of_them() {
    let folder = Folder::new("ceiling");
    let with_ceiling = |ceiling| {
        let held = ShareLimits { guarantee: None, ceiling: Some(ceiling) };
        settings_with_tenants(vec![Isolation { held, ..Isolation::default() }, Isolation::default()])
    };
    let engine = start_engine(&folder, with_ceiling(50));
    let mut simulation = Simulation::new(engine, 300, 10);
    simulation.step((0..60).map(|index| tenant_submission(0, HOME, SAFE, &format!("m{index}"))).collect());
    assert_eq!((simulation.accepted, simulation.rejected), (50, 10));
    simulation.engine.configure(&core(with_ceiling(5)));
    simulation.step(vec![tenant_submission(0, HOME, SAFE, "more")]);
    assert_eq!((simulation.accepted, simulation.rejected), (50, 11));
    for _ in 0..600 {
        simulation.step(Vec::new());
    }
    assert_eq!(simulation.delivered[&HOME], 50, "each held message is delivered");
    simulation.step(vec![tenant_submission(0, HOME, SAFE, "fits")]);
    assert_eq!(simulation.accepted, 51);
}

#[test]
fn submission_above_the_arrival_rate_is_rejected_with_the_time_until_the_next_token() {
    let folder = Folder::new("arrivals");
    let arrivals = Some(Rate { per_second: 10.0, burst: 3 });
    let settings =
        settings_with_tenants(vec![Isolation { arrivals, ..Isolation::default() }, Isolation::default()]);
    let mut engine = start_engine(&folder, settings);
    let mut submit = |at: u64, tenant: usize, id: &str| {
        reply_in(&engine.step(ms(at), [tenant_submission(tenant, OTHER, SAFE, id)]))
    };
    for index in 0..3 {
        assert_eq!(submit(2_000, 0, &format!("a{index}")), Some(Reply::Accepted));
    }
    let Some(Reply::Rejected(retry_after)) = submit(2_000, 0, "b") else { panic!("accepted") };
    assert_eq!(retry_after, ms(100));
    // A repeat of an accepted submission is answered, and does not count against the rate.
    assert_eq!(submit(2_000, 0, "a0"), Some(Reply::Accepted));
    assert_eq!(submit(2_000, 1, "c"), Some(Reply::Accepted));
    assert_eq!(submit(2_100, 0, "b"), Some(Reply::Accepted));
}

#[test]
fn destination_shared_by_two_tenants_divides_its_slots_evenly_and_its_retry_after_binds_both() {
    let folder = Folder::new("shared");
    let engine = start_engine(&folder, settings_with_tenants(vec![Isolation::default(); 2]));
    let mut simulation = Simulation::new(engine, 200, 10);
    for step in 0..300 {
        let submissions = (0..2).flat_map(|tenant| {
            // The first tenant submits three times as much, and gets no more slots for it.
            let count = [6, 2][tenant];
            (0..count)
                .map(move |index| tenant_submission(tenant, HOME, SAFE, &format!("t{tenant}-{step}-{index}")))
        });
        simulation.step(submissions.collect());
    }
    let delivered = [0, 1].map(|tenant| simulation.engine.tenant_status(tenant).0.delivered);
    let ratio = delivered[0] as f64 / delivered[1] as f64;
    assert!((0.9..1.1).contains(&ratio), "{delivered:?}");
    let retry_after = Some(ms(1_000));
    let (&call, _) = simulation.in_flight.iter().next().unwrap();
    simulation.in_flight.clear();
    let rejection = Input::Answered {
        call,
        results: vec![(0, AttemptOutcome::Rejected { retry_after }, false)],
        wait: retry_after,
    };
    let until = simulation.now + 1_000;
    simulation.step(vec![rejection]);
    simulation.in_flight.clear();
    while simulation.now < until {
        let step = simulation.now;
        simulation.step(
            (0..2)
                .map(|tenant| tenant_submission(tenant, HOME, SAFE, &format!("w{tenant}-{step}")))
                .collect(),
        );
        assert!(simulation.now >= until || simulation.in_flight.is_empty(), "a call within the retry-after");
    }
}

#[test]
fn tenant_rejected_below_its_guarantee_gets_the_capacity_that_the_borrower_returns() {
    let folder = Folder::new("claim");
    // As many messages as slots, so that the dispatcher sheds none.
    let engine = start_engine(
        &folder,
        Settings { max_messages: 8, ..settings_with_tenants(vec![Isolation::default(); 2]) },
    );
    let mut simulation = Simulation::new(engine, 300, 300);
    for (tenant, destination, count) in [(0, HOME, 7), (1, OTHER, 1)] {
        let submissions = (0..count)
            .map(|index| tenant_submission(tenant, destination, UNSAFE, &format!("{tenant}-{index}")));
        simulation.step(submissions.collect());
    }
    assert_eq!((simulation.accepted, simulation.rejected), (8, 0));
    simulation.step(vec![tenant_submission(1, OTHER, UNSAFE, "own")]);
    assert_eq!((simulation.accepted, simulation.rejected), (8, 1));
    // The borrower submits before the owner does, but is held to its guarantee until the owner submits again.
    for step in 0..50 {
        simulation.step(vec![tenant_submission(0, HOME, UNSAFE, &format!("again{step}"))]);
    }
    assert_eq!(simulation.delivered[&HOME], 7);
    assert_eq!(
        simulation.engine.tenant_status(0).0.open,
        4,
        "the guarantee, and none of the other tenant's share"
    );
    simulation.step(vec![tenant_submission(1, OTHER, UNSAFE, "own")]);
    assert_eq!(simulation.engine.tenant_status(1).0.accepted, 2);
}

/// Final outcomes that a tenant has not confirmed count against its own share of the journal, so that they do
/// not fill the share of another tenant.
#[test]
fn tenant_with_unconfirmed_outcomes_leaves_another_its_share_of_the_journal() {
    let folder = Folder::new("owed");
    let settings = settings_with_tenants(vec![Isolation::default(); 2]);
    let mut engine = start_with(&core(settings), &folder, 1 << 17, 1_000);
    let list =
        (0..20).map(|number| endpoint_record(number, if number < 10 { HOME } else { OTHER }, 1.0)).collect();
    engine.step(ms(1_000), [Input::EndpointRecords(ListScope::Whole, list)]);
    let (mut now, mut rejected) = (1_010, 0);
    let mut submit = |engine: &mut Engine, tenant: usize, destination, id: &str| {
        let Input::Submission(template) = tenant_submission(tenant, destination, SAFE, id) else {
            unreachable!()
        };
        let message = MessageSubmission { front: 1, report_delivery: true, ..template };
        now += 10;
        let outputs = engine.step(ms(now), [Input::Submission(message)]);
        for output in &outputs {
            if let Output::Call { call, .. } = output {
                let answered = Input::Answered {
                    call: *call,
                    results: vec![(0, AttemptOutcome::Delivered, true)],
                    wait: None,
                };
                engine.step(ms(now), [Input::Written(*call), answered]);
            }
        }
        reply_in(&outputs)
    };
    for number in 0..2_000 {
        rejected += u32::from(submit(&mut engine, 0, HOME, &format!("a{number}")) != Some(Reply::Accepted));
    }
    assert!(rejected > 1_000, "{rejected} rejected");
    for number in 0..20 {
        let reply = submit(&mut engine, 1, OTHER, &format!("b{number}"));
        assert_eq!(reply, Some(Reply::Accepted), "message {number}");
    }
}

/// Random numbers of tenants with random guarantees, loads and call times, at endpoints that deliver every
/// message. No loop iteration starts a call for a tenant above its guarantee and leaves another that is below
/// its own with a message to send; and each message is delivered once.
#[test]
fn call_of_a_tenant_above_its_guarantee_never_starts_while_one_below_its_own_waits() {
    for seed in 0..25u64 {
        println!("seed {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(2..5);
        let guarantee = |random: &mut fastrand::Rng| random.bool().then(|| random.u64(0..3));
        let isolation = (0..count).map(|_| Isolation {
            weight: 0.5 + random.f64() * 3.0,
            slots: ShareLimits { guarantee: guarantee(&mut random), ceiling: None },
            ..Isolation::default()
        });
        let settings = settings_with_tenants(isolation.collect());
        let folder = Folder::new(&format!("guarantees{seed}"));
        let mut engine = start_engine(&folder, settings);
        let response_times: Vec<u64> = (0..count).map(|_| random.u64(20..900)).collect();
        let loads: Vec<u32> = (0..count).map(|_| random.u32(0..6)).collect();
        let (mut in_flight, mut delivered_calls, mut written) = (Vec::<(u64, u64)>::new(), 0, Vec::new());
        for step in 0..500u64 {
            let now = 1_010 + step * 10;
            let mut inputs: Vec<Input> = std::mem::take(&mut written);
            in_flight.retain(|&(at, call)| {
                if at <= now {
                    inputs.push(Input::Answered {
                        call,
                        results: vec![(0, AttemptOutcome::Delivered, true)],
                        wait: None,
                    });
                    delivered_calls += 1;
                }
                at > now
            });
            for (tenant, &load) in loads.iter().enumerate() {
                // Loads alternate, so that guarantees are lent and claimed back.
                let busy = !(step / 100 + tenant as u64).is_multiple_of(3);
                let submissions = if busy { random.u32(0..=load) } else { 0 };
                let destination = if tenant % 2 == 0 { HOME } else { OTHER };
                inputs.extend((0..submissions).map(|index| {
                    tenant_submission(tenant, destination, UNSAFE, &format!("{tenant}-{step}-{index}"))
                }));
            }
            let mut started = Vec::new();
            for output in engine.step(ms(now), inputs) {
                assert!(!matches!(output, Output::Abort(_)), "a call was aborted");
                if let Output::Call { call, items, .. } = output {
                    let tenant = usize::from(items[0].id[0] - b'0');
                    started.push(tenant);
                    in_flight.push((now + response_times[tenant], call));
                    written.push(Input::Written(call));
                }
            }
            let slots = |tenant: usize| engine.tenant_shares(tenant)[0];
            let has_waiting = |tenant: usize| engine.tenant_status(tenant).0.open > slots(tenant).1;
            let below =
                (0..count).find(|&tenant| slots(tenant).1 < slots(tenant).2.guarantee && has_waiting(tenant));
            let above = started.iter().find(|&&tenant| slots(tenant).1 > slots(tenant).2.guarantee);
            assert!(
                below.is_none() || above.is_none(),
                "step {step}: tenant {above:?} was served before tenant {below:?}"
            );
        }
        let delivered: u64 = (0..count).map(|tenant| engine.tenant_status(tenant).0.delivered).sum();
        assert_eq!(delivered, delivered_calls);
    }
}
