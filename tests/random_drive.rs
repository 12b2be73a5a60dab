//! A seeded random drive of the interface that checks the six rules after every step. It is no model of servers:
//! outcomes come at random, so any legal order of events may occur.

mod common;
use cedarwharf::*;
use common::*;
use std::collections::BTreeMap;

#[derive(Clone, Default)]
struct Seen {
    destination: u64,
    class: usize,
    key: Option<u64>,
    deadline: Micros,
    attempts: u32,
    out: Option<(u32, Micros)>,
    may_have_run: Option<Micros>,
    ended: bool,
}

struct Drive {
    settings: Settings,
    random: fastrand::Rng,
    dispatcher: Dispatcher,
    now: Micros,
    next: u32,
    seen: BTreeMap<u32, Seen>,
    order: BTreeMap<u64, Vec<u32>>,
    rests: BTreeMap<u64, (Micros, u32)>,
    waits: BTreeMap<u64, Micros>,
    told_off: BTreeMap<u64, Micros>,
    delivered: u32,
    sent: u32,
}

impl Drive {
    fn new(seed: u64) -> Self {
        let mut settings = settings();
        settings.weights = [Weights::Nominal, Weights::Rough, Weights::Absent][seed as usize % 3];
        settings.forwarders = [2, 60][seed as usize % 2];
        settings.tenants = vec![3.0, 1.0];
        settings.max_messages = [60, 12][seed as usize / 6 % 2];
        let mut drive = Drive {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            settings,
            random: fastrand::Rng::with_seed(seed),
            now: ms(5_000),
            next: 0,
            seen: BTreeMap::new(),
            order: BTreeMap::new(),
            rests: BTreeMap::new(),
            waits: BTreeMap::new(),
            told_off: BTreeMap::new(),
            delivered: 0,
            sent: 0,
        };
        drive.start();
        drive
    }

    /// Endpoints 10 and 11 belong to destination 1, and so on.
    fn members(&self) -> Vec<EndpointRecord> {
        let all = (1..=3u64).flat_map(|d| [(10 * d, d), (10 * d + 1, d)]);
        all.map(|(e, d)| EndpointRecord { kind: (d % 2) as usize, ..member(e, DestinationId(d), 20.0) })
            .collect()
    }

    fn start(&mut self) {
        self.told_off.clear();
        let members = self.members();
        self.tell(Event::EndpointRecords(ListScope::Cached, members));
    }

    /// The sender is killed and starts again with nothing but its list.
    fn kill(&mut self) {
        self.dispatcher = Dispatcher::new(self.settings.clone(), self.random.u64(..));
        (self.seen, self.order, self.rests, self.waits) = Default::default();
        self.start();
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, [event], &mut actions);
        for action in actions {
            self.check(action);
        }
        let late = self.seen.iter().find(|(_, m)| !m.ended && self.now > m.deadline.plus(ms(20)));
        assert!(late.is_none(), "rule 1: no final answer in time: {:?}", late.map(|(id, _)| id));
        let slots = self.seen.values().filter(|m| m.out.is_some()).count() as u32;
        assert!(slots <= self.settings.slots * 3, "slots: {slots} messages are out");
    }

    fn harmless(&self, message: &Seen) -> bool {
        match self.settings.classes[message.class].effect {
            Effect::Unsafe => message.may_have_run.is_none() && message.out.is_none(),
            _ => true,
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, endpoint, timeout, leaves_by } => {
                let destination = endpoint.0 / 10;
                let mut message = self.seen[&id.0].clone();
                assert!(!message.ended, "rule 1: sent after its end");
                assert!(message.out.is_none(), "rule 2: two attempts out");
                match (self.settings.classes[message.class].effect, message.may_have_run) {
                    (Effect::Unsafe, Some(_)) => panic!("rule 2: an unsafe message that may have run"),
                    (Effect::Keyed { window, .. }, Some(first)) => {
                        assert!(now <= first.plus(window), "rule 2");
                        assert!(leaves_by <= first.plus(window), "rule 2: it may leave too late");
                    }
                    _ => {}
                }
                let told = self.told_off.get(&endpoint.0);
                assert!(told.is_none_or(|told| now <= told.plus(self.settings.drain_grace)), "rule 3");
                if let Some(key) = message.key {
                    let first = self.order[&key].iter().find(|&id| {
                        let earlier = &self.seen[id];
                        !earlier.ended || earlier.out.is_some()
                    });
                    assert_eq!(first, Some(&id.0), "rule 5: out of turn");
                    let rest = self.rests.get(&key);
                    assert!(rest.is_none_or(|&(until, of)| of == id.0 || until <= now), "rule 5: no rest");
                }
                let wait = self.waits.get(&destination);
                assert!(wait.is_none_or(|&until| until <= now), "rule 6: during a told wait");
                assert_eq!(destination, message.destination, "to another destination");
                assert!(message.attempts < self.settings.max_attempts && timeout > Micros(0));
                message.out = Some((message.attempts, now));
                message.attempts += 1;
                self.sent += 1;
                self.seen.insert(id.0, message);
            }
            Action::Reject { id, retry_after } => {
                assert!(!self.seen[&id.0].ended, "rule 1: a second answer");
                assert!(self.harmless(&self.seen[&id.0]), "rule 2: refused though it may have run");
                assert!(retry_after <= self.settings.max_retry_after);
                self.seen.get_mut(&id.0).unwrap().ended = true;
            }
            Action::Fail(id) => {
                assert!(!self.seen[&id.0].ended, "rule 1: a second answer");
                self.seen.get_mut(&id.0).unwrap().ended = true;
            }
            Action::Cancel { id, attempt } => {
                assert_eq!(self.seen[&id.0].out.map(|(out, _)| out), Some(attempt), "not out");
            }
            Action::WakeIn(_) | Action::CloseIdle(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn settle(&mut self, id: u32) {
        let message = self.seen.get_mut(&id).unwrap();
        let Some((attempt, sent_at)) = message.out.take() else { return };
        let outcome = match self.random.u32(0..20) {
            0 => AttemptOutcome::Error,
            1 => AttemptOutcome::TimedOut,
            2 => AttemptOutcome::Reset,
            3 => AttemptOutcome::ConnectFailed,
            4 => AttemptOutcome::Rejected { retry_after: None },
            5 => AttemptOutcome::Rejected { retry_after: Some(ms(self.random.u64(50..900))) },
            6 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Delivered,
        };
        if matches!(outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut | AttemptOutcome::Reset) {
            message.may_have_run.get_or_insert(sent_at);
            if let (Some(key), true) = (message.key, outcome != AttemptOutcome::Error) {
                self.rests.insert(key, (self.now.plus(self.settings.key_backoff), id));
            }
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            let until = self.waits.entry(message.destination).or_default();
            *until = (*until).max(self.now.plus(wait));
        }
        if outcome == AttemptOutcome::Delivered {
            message.ended = true;
            self.delivered += 1;
        }
        let closed = message.ended;
        let spent = self.now.minus(sent_at);
        self.tell(Event::AttemptEnded { id: MessageId(id), attempt, outcome, spent, closed });
    }

    fn step(&mut self) {
        self.now = self.now.plus(ms(self.random.u64(1..12)));
        let out: Vec<u32> = self.seen.iter().filter(|(_, m)| m.out.is_some()).map(|(&id, _)| id).collect();
        // An attempt cannot outlive its message.
        for &id in &out {
            if self.seen[&id].deadline <= self.now || self.random.u32(0..20) == 0 {
                self.settle(id);
            }
        }
        match self.random.u32(0..1_000) {
            0..=149 => {
                let (id, class) = (self.next, self.random.usize(0..4));
                let key = (class == ORDERED).then(|| self.random.u64(1..4));
                let left = ms(self.random.u64(1..12_000));
                let destination = self.random.u64(1..5);
                self.next += 1;
                let deadline = self.now.plus(left);
                self.seen.insert(id, Seen { destination, class, key, deadline, ..Seen::default() });
                if let Some(key) = key {
                    self.order.entry(key).or_default().push(id);
                }
                let destination = DestinationId(destination);
                let (tenant, again) = (self.random.usize(0..3), self.random.bool());
                let message =
                    Submission { destination, time_left: left, class, key, tenant, resubmitted: again };
                self.tell(Event::Message(MessageId(id), message));
            }
            150..=154 => {
                let open: Vec<u32> = self.seen.iter().filter(|(_, m)| !m.ended).map(|(&id, _)| id).collect();
                if let Some(&id) = open.get(self.random.usize(0..open.len().max(1))) {
                    self.seen.get_mut(&id).unwrap().ended = true;
                    self.tell(Event::Withdrawn(MessageId(id)));
                }
            }
            155..=158 => {
                let all = self.members();
                let mut member = all[self.random.usize(0..all.len())].clone();
                if self.told_off.remove(&member.endpoint.0).is_none() {
                    member.lifecycle = Lifecycle::Draining;
                    self.told_off.insert(member.endpoint.0, self.now);
                }
                self.tell(Event::EndpointRecords(ListScope::Changes, vec![member]));
            }
            159 => self.kill(),
            _ => self.tell(Event::Wake),
        }
    }
}

#[test]
fn the_rules_hold_on_any_legal_order_of_events() {
    let (mut sent, mut delivered) = (0, 0);
    for seed in 0..12 {
        let mut drive = Drive::new(seed);
        for _ in 0..6_000 {
            drive.step();
        }
        sent += drive.sent;
        delivered += drive.delivered;
    }
    assert!(
        sent > 3_000 && delivered > 1_500,
        "it is a drive with traffic: {sent} sent, {delivered} delivered"
    );
}
