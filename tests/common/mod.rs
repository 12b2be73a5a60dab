//! Settings, and a small forwarder driven by hand, for the tests of the dispatcher.
#![allow(dead_code)]

pub mod core;
pub mod outage;

use cedarwharf::*;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const ORDERED: usize = 3;
pub const HOME: DestinationId = DestinationId(7);

pub fn ms(value: u64) -> Micros {
    Micros(value * 1000)
}

fn class(effect: Effect, in_order: bool) -> ClassSettings {
    ClassSettings {
        effect,
        in_order,
        target_time: ms(2_000),
        deadline: ms(12_000),
        worth: 1.0,
        late_share: 0.3,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Safe, false),
            class(Effect::Keyed { scope: KeyScope::All, window: ms(5_000) }, false),
            class(Effect::Unsafe, false),
            class(Effect::Unsafe, true),
        ],
        kinds: vec![
            KindSettings { separate_routes: false, batch: 1 },
            KindSettings { separate_routes: false, batch: 3 },
        ],
        weights: Weights::Nominal,
        worth_decay: WorthDecay::Linear,
        tenants: Vec::new(),
        isolation: Vec::new(),
        over_share_worth: 0.2,
        forwarders: 2,
        slots: 6,
        max_messages: 60,
        max_attempts: 5,
        can_cancel: true,
        must_subscribe: false,
        max_retry_after: ms(2_000),
        connection_idle: ms(10_000),
        drain_grace: ms(700),
        recovery_start_share: 0.2,
        recovery_time: ms(9_000),
        overload_multiple: 2.0,
        overload_window: ms(2_500),
        key_backoff: ms(400),
    }
}

pub fn endpoint_record(endpoint: u64, destination: DestinationId, weight: f64) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId(endpoint),
        destination,
        zone: 0,
        kind: 0,
        lifecycle: Lifecycle::Ready,
        weight,
    }
}

pub fn message_event(id: u32, to: DestinationId, time_left: Micros, class: usize, key: Option<u64>) -> Event {
    let message = Submission { destination: to, time_left, class, key, tenant: 0, resubmitted: false };
    Event::Message(MessageId(id), message)
}

/// A dispatcher, its clock, and the actions of its last call.
pub struct TestForwarder {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub actions: Vec<Action>,
}

impl TestForwarder {
    pub fn new(settings: Settings, records: Vec<EndpointRecord>) -> Self {
        let mut forwarder =
            TestForwarder { dispatcher: Dispatcher::new(settings, 11), now: ms(1_000), actions: Vec::new() };
        forwarder.handle(Event::EndpointRecords(ListScope::Cached, records));
        forwarder
    }

    /// Endpoint 1 of one destination, which accepts ten calls a second.
    pub fn with_one_endpoint() -> Self {
        TestForwarder::new(settings(), vec![endpoint_record(1, HOME, 10.0)])
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.dispatcher.handle(self.now, [event], &mut self.actions);
        self.actions.clone()
    }

    pub fn advance(&mut self, millis: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now.plus(ms(10));
            actions.extend(self.handle(Event::Wake));
        }
        actions
    }

    pub fn submit(&mut self, id: u32, class: usize, key: Option<u64>) -> Vec<Action> {
        self.submit_to(id, class, key, HOME)
    }

    pub fn submit_to(&mut self, id: u32, class: usize, key: Option<u64>, to: DestinationId) -> Vec<Action> {
        self.handle(message_event(id, to, ms(12_000), class, key))
    }

    pub fn end_attempt(&mut self, id: u32, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.end_attempt_after(id, attempt, outcome, 100)
    }

    pub fn end_attempt_after(
        &mut self,
        id: u32,
        attempt: u32,
        outcome: AttemptOutcome,
        spent: u64,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id: MessageId(id),
            attempt,
            outcome,
            spent: ms(spent),
            closed: outcome == AttemptOutcome::Delivered,
        })
    }
}

pub fn sent_ids(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(id.0) } else { None }).collect()
}

pub fn is_rejected(actions: &[Action], message: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if id.0 == message))
}

pub fn is_failed(actions: &[Action], message: u32) -> bool {
    actions.contains(&Action::Fail(MessageId(message)))
}
