//! Tenants beside each other in one core: what one takes leaves the others theirs.

mod common;

use cedarwharf::engine::{Engine, Input, MessageSubmission, Output, Reply};
use cedarwharf::tenancy::rate::Rate;
use cedarwharf::tenancy::{Isolation, ShareLimits};
use cedarwharf::*;
use common::core::{core, reply_in, start_with, submission, Folder};
use common::{endpoint_record, ms, settings, HOME, SAFE, UNSAFE};
use std::collections::BTreeMap;

/// A second destination; prompt where the first crawls.
const AWAY: DestinationId = DestinationId(8);

fn tenants(isolation: Vec<Isolation>) -> Settings {
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

fn started(folder: &Folder, told: Settings) -> Engine {
    let mut engine = start_with(&core(told), folder, 1 << 20, 1_000);
    let list =
        (0..20).map(|number| endpoint_record(number, if number < 10 { HOME } else { AWAY }, 1.0)).collect();
    engine.step(ms(1_000), [Input::EndpointRecords(ListScope::Whole, list)]);
    engine
}

fn offer_of(tenant: usize, destination: DestinationId, class: usize, id: &str) -> Input {
    let Input::Submission(one) = submission(id, class, 10) else { unreachable!() };
    Input::Submission(MessageSubmission { tenant, destination, time_left: ms(60_000), ..one })
}

/// A partner behind each destination that takes so long, and what it was sent.
struct Partners {
    engine: Engine,
    now: u64,
    takes: BTreeMap<DestinationId, u64>,
    /// When each call that is out ends, and the destination and class of it.
    out: BTreeMap<u64, (u64, DestinationId)>,
    delivered: BTreeMap<DestinationId, u32>,
    /// Calls that have been begun since the last turn.
    written: Vec<Input>,
    turned_down: u32,
    taken_on: u32,
    aborted: u32,
}

impl Partners {
    fn new(engine: Engine, home: u64, away: u64) -> Partners {
        let takes = BTreeMap::from([(HOME, home), (AWAY, away)]);
        let (out, delivered) = (BTreeMap::new(), BTreeMap::new());
        let written = Vec::new();
        Partners {
            engine,
            now: 1_000,
            takes,
            out,
            delivered,
            written,
            turned_down: 0,
            taken_on: 0,
            aborted: 0,
        }
    }

    /// A turn 10 ms later, with these offers.
    fn step(&mut self, offers: Vec<Input>) {
        self.now += 10;
        let mut inputs = std::mem::take(&mut self.written);
        inputs.extend(offers);
        let over: Vec<u64> =
            self.out.iter().filter(|(_, (at, _))| *at <= self.now).map(|(&call, _)| call).collect();
        for call in over {
            let (_, destination) = self.out.remove(&call).unwrap();
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
                    let destination = if endpoint.0 < 10 { HOME } else { AWAY };
                    self.out.insert(call, (self.now + self.takes[&destination], destination));
                    self.written.push(Input::Written(call));
                }
                Output::Abort(call) => {
                    self.out.remove(&call);
                    self.aborted += 1;
                }
                Output::Reply(.., Reply::Accepted) => self.taken_on += 1,
                Output::Reply(.., Reply::Rejected(after)) => {
                    assert!(after.0 > 0);
                    self.turned_down += 1;
                }
                _ => {}
            }
        }
    }

    fn out_at(&self, destination: DestinationId) -> usize {
        self.out.values().filter(|(_, at)| *at == destination).count()
    }
}

#[test]
fn a_tenant_whose_partner_crawls_leaves_another_its_slots_and_its_part_of_the_buffer() {
    let folder = Folder::new("crawl");
    let engine = started(&folder, tenants(vec![Isolation::default(); 2]));
    let mut partners = Partners::new(engine, 4_000, 10);
    // One offers far more than there is room for; the other comes later, and steadily.
    let mut heard = 0;
    for step in 0..600 {
        let mut offers: Vec<Input> =
            (0..5).map(|one| offer_of(0, HOME, UNSAFE, &format!("bad{step}-{one}"))).collect();
        if step >= 100 && step % 5 == 0 {
            offers.push(offer_of(1, AWAY, UNSAFE, &format!("good{step}")));
            heard += 1;
        }
        partners.step(offers);
        assert!(partners.out_at(HOME) <= 7, "a slot of the other's was taken");
    }
    for _ in 0..10 {
        partners.step(Vec::new());
    }
    // Payments that are out are not cut for it, and each of the other's was delivered at once.
    assert_eq!((partners.delivered[&AWAY], partners.aborted), (heard, 0));
    assert!(partners.out_at(HOME) >= 6, "what is idle is lent: {}", partners.out_at(HOME));
    let (counts, _) = partners.engine.tenant_status(1);
    assert_eq!((counts.accepted, counts.rejected), (u64::from(heard), 0));
    assert!(partners.engine.tenant_status(0).0.open >= 60, "and so is the buffer");
}

#[test]
fn a_lender_that_returns_has_its_slots_within_a_call_of_the_borrower() {
    let folder = Folder::new("lender");
    let engine = started(&folder, tenants(vec![Isolation::default(); 2]));
    let mut partners = Partners::new(engine, 500, 500);
    for step in 0..100 {
        partners.step(vec![offer_of(0, HOME, UNSAFE, &format!("a{step}"))]);
    }
    assert_eq!(partners.out_at(HOME), 7);
    let began = partners.now;
    let mut had_at = None;
    for step in 0..100 {
        let offers = vec![
            offer_of(0, HOME, UNSAFE, &format!("b{step}")),
            offer_of(1, AWAY, UNSAFE, &format!("c{step}")),
            offer_of(1, AWAY, UNSAFE, &format!("d{step}")),
        ];
        partners.step(offers);
        assert!(partners.out_at(HOME) + partners.out_at(AWAY) <= 8);
        if partners.out_at(AWAY) >= 4 {
            had_at.get_or_insert(partners.now - began);
        }
    }
    assert_eq!(partners.aborted, 0, "borrowed payments that are out are not cut");
    assert!(had_at.is_some_and(|took| took <= 520), "its four slots after {had_at:?} ms");
}

#[test]
fn a_ceiling_lowered_under_what_is_held_takes_nothing_away() {
    let folder = Folder::new("ceiling");
    let told = |ceiling| {
        let held = ShareLimits { guarantee: None, ceiling: Some(ceiling) };
        tenants(vec![Isolation { held, ..Isolation::default() }, Isolation::default()])
    };
    let engine = started(&folder, told(50));
    let mut partners = Partners::new(engine, 300, 10);
    partners.step((0..60).map(|one| offer_of(0, HOME, SAFE, &format!("m{one}"))).collect());
    assert_eq!((partners.taken_on, partners.turned_down), (50, 10));
    partners.engine.configure(&core(told(5)));
    partners.step(vec![offer_of(0, HOME, SAFE, "more")]);
    assert_eq!((partners.taken_on, partners.turned_down), (50, 11));
    for _ in 0..600 {
        partners.step(Vec::new());
    }
    assert_eq!(partners.delivered[&HOME], 50, "each that was held has its end");
    partners.step(vec![offer_of(0, HOME, SAFE, "fits")]);
    assert_eq!(partners.taken_on, 51);
}

#[test]
fn who_offers_faster_than_it_may_hears_when_to_come_back() {
    let folder = Folder::new("arrivals");
    let arrivals = Some(Rate { per_second: 10.0, burst: 3 });
    let told = tenants(vec![Isolation { arrivals, ..Isolation::default() }, Isolation::default()]);
    let mut engine = started(&folder, told);
    let mut ask =
        |at: u64, tenant: usize, id: &str| reply_in(&engine.step(ms(at), [offer_of(tenant, AWAY, SAFE, id)]));
    for one in 0..3 {
        assert_eq!(ask(2_000, 0, &format!("a{one}")), Some(Reply::Accepted));
    }
    let Some(Reply::Rejected(after)) = ask(2_000, 0, "b") else { panic!("taken on") };
    assert_eq!(after, ms(100));
    // A repeat of what was taken on is answered, not counted.
    assert_eq!(ask(2_000, 0, "a0"), Some(Reply::Accepted));
    assert_eq!(ask(2_000, 1, "c"), Some(Reply::Accepted));
    assert_eq!(ask(2_100, 0, "b"), Some(Reply::Accepted));
}

#[test]
fn at_a_destination_that_two_share_a_told_wait_binds_both_and_slots_are_parted() {
    let folder = Folder::new("shared");
    let engine = started(&folder, tenants(vec![Isolation::default(); 2]));
    let mut partners = Partners::new(engine, 200, 10);
    for step in 0..300 {
        let offers = (0..2).flat_map(|tenant| {
            // One asks for three times as much: it gets no more for that.
            let count = [6, 2][tenant];
            (0..count).map(move |one| offer_of(tenant, HOME, SAFE, &format!("t{tenant}-{step}-{one}")))
        });
        partners.step(offers.collect());
    }
    let delivered = [0, 1].map(|tenant| partners.engine.tenant_status(tenant).0.delivered);
    let ratio = delivered[0] as f64 / delivered[1] as f64;
    assert!((0.9..1.1).contains(&ratio), "{delivered:?}");
    let wait = Some(ms(1_000));
    let (&call, _) = partners.out.iter().next().unwrap();
    partners.out.clear();
    let told = Input::Answered {
        call,
        results: vec![(0, AttemptOutcome::Rejected { retry_after: wait }, false)],
        wait,
    };
    let until = partners.now + 1_000;
    partners.step(vec![told]);
    partners.out.clear();
    while partners.now < until {
        let step = partners.now;
        partners
            .step((0..2).map(|tenant| offer_of(tenant, HOME, SAFE, &format!("w{tenant}-{step}"))).collect());
        assert!(partners.now >= until || partners.out.is_empty(), "a call within a told wait");
    }
}

#[test]
fn an_owner_refused_where_all_is_full_has_what_a_borrower_gives_back() {
    let folder = Folder::new("claim");
    // As many held as there are slots, so that the module sheds none.
    let engine = started(&folder, Settings { max_messages: 8, ..tenants(vec![Isolation::default(); 2]) });
    let mut partners = Partners::new(engine, 300, 300);
    for (tenant, home, count) in [(0, HOME, 7), (1, AWAY, 1)] {
        let offers = (0..count).map(|one| offer_of(tenant, home, UNSAFE, &format!("{tenant}-{one}")));
        partners.step(offers.collect());
    }
    assert_eq!((partners.taken_on, partners.turned_down), (8, 0));
    partners.step(vec![offer_of(1, AWAY, UNSAFE, "own")]);
    assert_eq!((partners.taken_on, partners.turned_down), (8, 1));
    // The borrower asks first for what it gives back, and keeps to its guarantee until the owner has come again.
    for step in 0..50 {
        partners.step(vec![offer_of(0, HOME, UNSAFE, &format!("again{step}"))]);
    }
    assert_eq!(partners.delivered[&HOME], 7);
    assert_eq!(partners.engine.tenant_status(0).0.open, 4, "its guarantee, and nothing that is the other's");
    partners.step(vec![offer_of(1, AWAY, UNSAFE, "own")]);
    assert_eq!(partners.engine.tenant_status(1).0.accepted, 2);
}

/// Ends that a tenant does not take up have bytes of its own; another's messages still find theirs.
#[test]
fn a_tenant_that_takes_up_none_of_its_ends_leaves_another_its_part_of_the_journal() {
    let folder = Folder::new("owed");
    let told = tenants(vec![Isolation::default(); 2]);
    let mut engine = start_with(&core(told), &folder, 1 << 17, 1_000);
    let list =
        (0..20).map(|number| endpoint_record(number, if number < 10 { HOME } else { AWAY }, 1.0)).collect();
    engine.step(ms(1_000), [Input::EndpointRecords(ListScope::Whole, list)]);
    let (mut now, mut refused) = (1_010, 0);
    let mut offered = |engine: &mut Engine, tenant: usize, destination, id: &str| {
        let Input::Submission(one) = offer_of(tenant, destination, SAFE, id) else { unreachable!() };
        let one = MessageSubmission { front: 1, report_delivery: true, ..one };
        now += 10;
        let outputs = engine.step(ms(now), [Input::Submission(one)]);
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
        refused += u32::from(offered(&mut engine, 0, HOME, &format!("a{number}")) != Some(Reply::Accepted));
    }
    assert!(refused > 1_000, "{refused} refused");
    for number in 0..20 {
        let reply = offered(&mut engine, 1, AWAY, &format!("b{number}"));
        assert_eq!(reply, Some(Reply::Accepted), "message {number}");
    }
}

/// Any number of tenants with any guarantees, loads and call times, at partners that take whatever comes: no call begins for
/// one above its guarantee in a turn that leaves another below its own with something to send, and each message has one end.
#[test]
fn no_call_begins_above_a_guarantee_while_one_below_waits() {
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
        let told = tenants(isolation.collect());
        let folder = Folder::new(&format!("guarantees{seed}"));
        let mut engine = started(&folder, told);
        let takes: Vec<u64> = (0..count).map(|_| random.u64(20..900)).collect();
        let loads: Vec<u32> = (0..count).map(|_| random.u32(0..6)).collect();
        let (mut out, mut ends, mut written) = (Vec::<(u64, u64)>::new(), 0, Vec::new());
        for step in 0..500u64 {
            let now = 1_010 + step * 10;
            let mut inputs: Vec<Input> = std::mem::take(&mut written);
            out.retain(|&(at, call)| {
                if at <= now {
                    inputs.push(Input::Answered {
                        call,
                        results: vec![(0, AttemptOutcome::Delivered, true)],
                        wait: None,
                    });
                    ends += 1;
                }
                at > now
            });
            for (tenant, &load) in loads.iter().enumerate() {
                // Loads come and go, so that guarantees are lent and wanted back.
                let busy = !(step / 100 + tenant as u64).is_multiple_of(3);
                let offers = if busy { random.u32(0..=load) } else { 0 };
                let home = if tenant % 2 == 0 { HOME } else { AWAY };
                inputs.extend(
                    (0..offers).map(|one| offer_of(tenant, home, UNSAFE, &format!("{tenant}-{step}-{one}"))),
                );
            }
            let mut began = Vec::new();
            for output in engine.step(ms(now), inputs) {
                assert!(!matches!(output, Output::Abort(_)), "a call was cut");
                if let Output::Call { call, items, .. } = output {
                    let tenant = usize::from(items[0].id[0] - b'0');
                    began.push(tenant);
                    out.push((now + takes[tenant], call));
                    written.push(Input::Written(call));
                }
            }
            let slots = |tenant: usize| engine.tenant_shares(tenant)[0];
            let waits = |tenant: usize| engine.tenant_status(tenant).0.open > slots(tenant).1;
            let below =
                (0..count).find(|&tenant| slots(tenant).1 < slots(tenant).2.guarantee && waits(tenant));
            let above = began.iter().find(|&&tenant| slots(tenant).1 > slots(tenant).2.guarantee);
            assert!(below.is_none() || above.is_none(), "step {step}: {above:?} before {below:?}");
        }
        let delivered: u64 = (0..count).map(|tenant| engine.tenant_status(tenant).0.delivered).sum();
        assert_eq!(delivered, ends);
    }
}
