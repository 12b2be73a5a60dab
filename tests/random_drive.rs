//! A seeded random drive of the dispatcher's interface that checks the six rules after every step. It does
//! not model endpoints: outcomes are random, so that any legal order of events may occur.

mod common;
use cedarwharf::*;
use common::*;
use std::collections::BTreeMap;

#[derive(Clone, Default)]
struct TrackedMessage {
    destination: u64,
    class: usize,
    key: Option<u64>,
    deadline: Micros,
    attempts: u32,
    in_flight: Option<(u32, Micros)>,
    may_have_run: Option<Micros>,
    ended: bool,
}

struct Drive {
    settings: Settings,
    random: fastrand::Rng,
    dispatcher: Dispatcher,
    now: Micros,
    next: u32,
    messages: BTreeMap<u32, TrackedMessage>,
    order: BTreeMap<u64, Vec<u32>>,
    key_backoffs: BTreeMap<u64, (Micros, u32)>,
    retry_afters: BTreeMap<u64, Micros>,
    draining_since: BTreeMap<u64, Micros>,
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
            messages: BTreeMap::new(),
            order: BTreeMap::new(),
            key_backoffs: BTreeMap::new(),
            retry_afters: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            delivered: 0,
            sent: 0,
        };
        drive.start();
        drive
    }

    /// Endpoints 10 and 11 belong to destination 1, and so on.
    fn members(&self) -> Vec<EndpointRecord> {
        let all = (1..=3u64).flat_map(|d| [(10 * d, d), (10 * d + 1, d)]);
        all.map(|(e, d)| EndpointRecord {
            kind: (d % 2) as usize,
            ..endpoint_record(e, DestinationId(d), 20.0)
        })
        .collect()
    }

    fn start(&mut self) {
        self.draining_since.clear();
        let members = self.members();
        self.handle(Event::EndpointRecords(ListScope::Cached, members));
    }

    /// Kills the forwarder and starts it again with nothing but its endpoint list.
    fn kill(&mut self) {
        self.dispatcher = Dispatcher::new(self.settings.clone(), self.random.u64(..));
        (self.messages, self.order, self.key_backoffs, self.retry_afters) = Default::default();
        self.start();
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, [event], &mut actions);
        for action in actions {
            self.check(action);
        }
        let late = self.messages.iter().find(|(_, m)| !m.ended && self.now > m.deadline.plus(ms(20)));
        assert!(late.is_none(), "rule 1: no final outcome in time: {:?}", late.map(|(id, _)| id));
        let slots = self.messages.values().filter(|m| m.in_flight.is_some()).count() as u32;
        assert!(slots <= self.settings.slots * 3, "slots: {slots} messages are in flight");
    }

    fn may_be_rejected(&self, message: &TrackedMessage) -> bool {
        match self.settings.classes[message.class].effect {
            Effect::Unsafe => message.may_have_run.is_none() && message.in_flight.is_none(),
            _ => true,
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, endpoint, timeout, leaves_by } => {
                let destination = endpoint.0 / 10;
                let mut message = self.messages[&id.0].clone();
                assert!(!message.ended, "rule 1: sent after its final outcome");
                assert!(message.in_flight.is_none(), "rule 2: two attempts in flight");
                match (self.settings.classes[message.class].effect, message.may_have_run) {
                    (Effect::Unsafe, Some(_)) => panic!("rule 2: an unsafe message that may have run"),
                    (Effect::Keyed { window, .. }, Some(first)) => {
                        assert!(now <= first.plus(window), "rule 2");
                        assert!(
                            leaves_by <= first.plus(window),
                            "rule 2: it may be sent after its repeat window"
                        );
                    }
                    _ => {}
                }
                let draining = self.draining_since.get(&endpoint.0);
                assert!(draining.is_none_or(|since| now <= since.plus(self.settings.drain_grace)), "rule 3");
                if let Some(key) = message.key {
                    let first = self.order[&key].iter().find(|&id| {
                        let earlier = &self.messages[id];
                        !earlier.ended || earlier.in_flight.is_some()
                    });
                    assert_eq!(first, Some(&id.0), "rule 5: sent out of order");
                    let backoff = self.key_backoffs.get(&key);
                    assert!(
                        backoff.is_none_or(|&(until, of)| of == id.0 || until <= now),
                        "rule 5: sent during the key's backoff"
                    );
                }
                let retry_after = self.retry_afters.get(&destination);
                assert!(retry_after.is_none_or(|&until| until <= now), "rule 6: sent during a retry-after");
                assert_eq!(destination, message.destination, "sent to another destination");
                assert!(message.attempts < self.settings.max_attempts && timeout > Micros(0));
                message.in_flight = Some((message.attempts, now));
                message.attempts += 1;
                self.sent += 1;
                self.messages.insert(id.0, message);
            }
            Action::Reject { id, retry_after } => {
                assert!(!self.messages[&id.0].ended, "rule 1: a second final outcome");
                assert!(
                    self.may_be_rejected(&self.messages[&id.0]),
                    "rule 2: rejected although it may have run"
                );
                assert!(retry_after <= self.settings.max_retry_after);
                self.messages.get_mut(&id.0).unwrap().ended = true;
            }
            Action::Fail(id) => {
                assert!(!self.messages[&id.0].ended, "rule 1: a second final outcome");
                self.messages.get_mut(&id.0).unwrap().ended = true;
            }
            Action::Cancel { id, attempt } => {
                assert_eq!(
                    self.messages[&id.0].in_flight.map(|(out, _)| out),
                    Some(attempt),
                    "not in flight"
                );
            }
            Action::WakeIn(_) | Action::CloseIdle(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn end_attempt(&mut self, id: u32) {
        let message = self.messages.get_mut(&id).unwrap();
        let Some((attempt, sent_at)) = message.in_flight.take() else { return };
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
                self.key_backoffs.insert(key, (self.now.plus(self.settings.key_backoff), id));
            }
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            let until = self.retry_afters.entry(message.destination).or_default();
            *until = (*until).max(self.now.plus(wait));
        }
        if outcome == AttemptOutcome::Delivered {
            message.ended = true;
            self.delivered += 1;
        }
        let closed = message.ended;
        let spent = self.now.minus(sent_at);
        self.handle(Event::AttemptEnded { id: MessageId(id), attempt, outcome, spent, closed });
    }

    fn step(&mut self) {
        self.now = self.now.plus(ms(self.random.u64(1..12)));
        let out: Vec<u32> =
            self.messages.iter().filter(|(_, m)| m.in_flight.is_some()).map(|(&id, _)| id).collect();
        // An attempt ends at the latest with its message.
        for &id in &out {
            if self.messages[&id].deadline <= self.now || self.random.u32(0..20) == 0 {
                self.end_attempt(id);
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
                self.messages.insert(
                    id,
                    TrackedMessage { destination, class, key, deadline, ..TrackedMessage::default() },
                );
                if let Some(key) = key {
                    self.order.entry(key).or_default().push(id);
                }
                let destination = DestinationId(destination);
                let (tenant, resubmitted) = (self.random.usize(0..3), self.random.bool());
                let message = Submission { destination, time_left: left, class, key, tenant, resubmitted };
                self.handle(Event::Message(MessageId(id), message));
            }
            150..=154 => {
                let open: Vec<u32> =
                    self.messages.iter().filter(|(_, m)| !m.ended).map(|(&id, _)| id).collect();
                if let Some(&id) = open.get(self.random.usize(0..open.len().max(1))) {
                    self.messages.get_mut(&id).unwrap().ended = true;
                    self.handle(Event::Withdrawn(MessageId(id)));
                }
            }
            155..=158 => {
                let all = self.members();
                let mut member = all[self.random.usize(0..all.len())].clone();
                if self.draining_since.remove(&member.endpoint.0).is_none() {
                    member.lifecycle = Lifecycle::Draining;
                    self.draining_since.insert(member.endpoint.0, self.now);
                }
                self.handle(Event::EndpointRecords(ListScope::Changes, vec![member]));
            }
            159 => self.kill(),
            _ => self.handle(Event::Wake),
        }
    }
}

#[test]
fn rules_hold_for_any_legal_order_of_events() {
    let (mut sent, mut delivered) = (0, 0);
    for seed in 0..12 {
        let mut drive = Drive::new(seed);
        for _ in 0..6_000 {
            drive.step();
        }
        sent += drive.sent;
        delivered += drive.delivered;
    }
    assert!(sent > 3_000 && delivered > 1_500, "too little traffic: {sent} sent, {delivered} delivered");
}
