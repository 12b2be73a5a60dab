//! Settings and a small hand-driven sender for the module's tests.
#![allow(dead_code)]

pub mod core;

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

pub fn member(endpoint: u64, destination: DestinationId, weight: f64) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId(endpoint),
        destination,
        zone: 0,
        kind: 0,
        lifecycle: Lifecycle::Ready,
        weight,
    }
}

pub fn handed_in(id: u32, to: DestinationId, time_left: Micros, class: usize, key: Option<u64>) -> Event {
    let message = Submission { destination: to, time_left, class, key, tenant: 0, resubmitted: false };
    Event::Message(MessageId(id), message)
}

/// A sender, its clock, and what it said last.
pub struct Sender {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub said: Vec<Action>,
}

impl Sender {
    pub fn new(settings: Settings, members: Vec<EndpointRecord>) -> Self {
        let mut sender =
            Sender { dispatcher: Dispatcher::new(settings, 11), now: ms(1_000), said: Vec::new() };
        sender.hear(Event::EndpointRecords(ListScope::Cached, members));
        sender
    }

    /// One endpoint, 1, of one destination that takes ten calls a second.
    pub fn simple() -> Self {
        Sender::new(settings(), vec![member(1, HOME, 10.0)])
    }

    pub fn hear(&mut self, event: Event) -> Vec<Action> {
        self.said.clear();
        self.dispatcher.handle(self.now, [event], &mut self.said);
        self.said.clone()
    }

    pub fn wait(&mut self, millis: u64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now.plus(ms(10));
            all.extend(self.hear(Event::Wake));
        }
        all
    }

    pub fn message(&mut self, id: u32, class: usize, key: Option<u64>) -> Vec<Action> {
        self.message_for(id, class, key, HOME)
    }

    pub fn message_for(&mut self, id: u32, class: usize, key: Option<u64>, to: DestinationId) -> Vec<Action> {
        self.hear(handed_in(id, to, ms(12_000), class, key))
    }

    pub fn settle(&mut self, id: u32, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.settle_after(id, attempt, outcome, 100)
    }

    pub fn settle_after(
        &mut self,
        id: u32,
        attempt: u32,
        outcome: AttemptOutcome,
        spent: u64,
    ) -> Vec<Action> {
        self.hear(Event::AttemptEnded {
            id: MessageId(id),
            attempt,
            outcome,
            spent: ms(spent),
            closed: outcome == AttemptOutcome::Delivered,
        })
    }
}

pub fn sends(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(id.0) } else { None }).collect()
}

pub fn refused(actions: &[Action], message: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if id.0 == message))
}

pub fn failed(actions: &[Action], message: u32) -> bool {
    actions.contains(&Action::Fail(MessageId(message)))
}
