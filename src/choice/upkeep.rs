//! Keeps what the decisions go by in order: where messages wait, the endpoints that the list names, wake-ups, and what is
//! to be forgotten. It decides nothing that the rules or the design speak of: that stands in `choice.rs`.

mod handover;

use super::*;
pub use handover::{Decided, Places};

/// By how many senders the destinations are shared: what the settings say, or what is observed.
pub(super) struct Senders {
    /// Never below 1. Not a whole number while a share rises.
    pub count: f64,
    observed: bool,
    /// While this one starts among others: what it may begin with.
    first: Option<FirstPace>,
}

/// The pace of a forwarder that starts among others, at each destination: its even part of a told limit, or what all who
/// start leave it where that is more, raised until the start is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstPace {
    /// Calls a second at the least, and where no answer has come yet.
    pub least: f64,
    /// So many times that.
    pub raised: f64,
}

impl Senders {
    fn told(count: u32) -> Senders {
        Senders { count: f64::from(count.max(1)), observed: false, first: None }
    }
}

impl Dispatcher {
    /// So many senders take part, as observed: the settings' number does not count. None: it counts again.
    pub fn shared_by(&mut self, count: Option<f64>) {
        let first = self.senders.first;
        self.senders = match count {
            Some(count) => Senders { count: count.max(1.0), observed: true, first },
            None => Senders { first, ..Senders::told(self.settings.forwarders) },
        };
    }

    /// This one starts among others, and begins with that pace; none: it has started.
    pub fn begins_with(&mut self, first: Option<FirstPace>) {
        self.senders.first = first;
    }

    /// What a lane is sent at the most while this one starts.
    pub(super) fn first_pace(&self, endpoint: EndpointId) -> f64 {
        let Some(FirstPace { least, raised }) = self.senders.first else { return f64::INFINITY };
        match self.lane_of(endpoint).and_then(|lane| self.lanes.get(&lane)) {
            Some(lane) if lane.limit > 0.0 => raised * least.max(lane.limit / self.senders.count),
            // Who answers, and tells no limit, is found out by refusals alone, as ever.
            Some(lane) if lane.latency.mean.is_some() => f64::INFINITY,
            _ => least,
        }
    }

    /// A sender that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let asked = vec![Faded::default(); settings.tenants.len()];
        let ask_at = settings.must_subscribe.then_some(Micros(0));
        let no_room = vec![Faded::default(); settings.kinds.len()];
        let quotas = settings.tenants.iter().sum();
        let mut gate = FairScheduler::default();
        gate.configure(settings.slots, &settings.isolation);
        Dispatcher {
            gate,
            senders: Senders::told(settings.forwarders),
            settings,
            random: fastrand::Rng::with_seed(seed),
            messages: BTreeMap::new(),
            waiting: WaitingMessages::default(),
            calls: BTreeMap::new(),
            overdue: BTreeSet::new(),
            revisit: None,
            next_call: 0,
            endpoints: BTreeMap::new(),
            listed: BTreeMap::new(),
            lanes: BTreeMap::new(),
            keys: BTreeMap::new(),
            asked,
            asked_all: Faded::default(),
            quotas,
            submitted: Vec::new(),
            stale_share: 0.0,
            stale_idle: Micros(u64::MAX),
            full_again: 0.0,
            no_room,
            ended: BTreeSet::new(),
            overall: Latency::default(),
            wake_at: None,
            sweep_at: Micros(0),
            now: Micros(0),
            actions: Vec::new(),
            ask_at,
        }
    }

    /// Call slots by tenant: what each has and may have.
    pub fn slots(&self) -> &crate::tenancy::share::Shares {
        self.gate.slots()
    }

    /// Whether and where a message may be sent again.
    pub(super) fn effect(&self, message: &Message) -> Effect {
        self.settings.classes[message.class].effect
    }

    /// The lane that an endpoint's calls count for.
    pub(super) fn lane_of(&self, endpoint: EndpointId) -> Option<LaneId> {
        let known = self.endpoints.get(&endpoint)?;
        let apart = self.settings.kinds.get(known.kind).is_some_and(|kind| kind.separate_routes);
        Some((known.destination, apart.then_some(endpoint)))
    }

    /// The lane of a known endpoint, made when first needed.
    pub(super) fn lane(&mut self, endpoint: EndpointId) -> &mut Lane {
        let id = self.lane_of(endpoint).unwrap_or_default();
        self.lanes.entry(id).or_insert_with(|| Lane::new(self.now))
    }

    /// The zone of an endpoint; one that is not known any more stands in none, and nothing of its group is.
    pub(super) fn zone(&self, endpoint: EndpointId) -> u32 {
        self.endpoints.get(&endpoint).map_or(u32::MAX, |known| known.zone)
    }

    /// Whether two endpoints have one limit, and so the same waits.
    pub fn share_a_limit(&self, one: EndpointId, other: EndpointId) -> bool {
        let lane = self.lane_of(one);
        lane.is_some() && lane == self.lane_of(other)
    }

    /// Listed endpoints to which nothing goes but sparse trials: they, or their destination, are out.
    pub fn avoided(&self) -> usize {
        let out = |health: &Health| health.phase == Phase::Out;
        let lane_out =
            |id| self.lane_of(id).and_then(|lane| self.lanes.get(&lane)).is_some_and(|l| out(&l.health));
        let listed = self.listed.values().flatten();
        listed.filter(|&&id| self.endpoints.get(&id).is_some_and(|e| out(&e.health)) || lane_out(id)).count()
    }

    /// How many messages, calls, endpoints, lanes and order keys are remembered just now.
    pub fn remembered(&self) -> usize {
        self.messages.len() + self.calls.len() + self.keys.len() + self.endpoints.len() + self.lanes.len()
    }

    /// Asks for the list where that is due.
    pub(super) fn subscribe_when_due(&mut self) {
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            self.actions.push(Action::Subscribe);
        }
    }

    /// Asks for a wake-up when the first held message may go or must be answered.
    pub(super) fn wake_when_due(&mut self) {
        self.wake_at = self.wake_at.filter(|&at| at > self.now);
        let never = Micros(u64::MAX);
        let (ends, goes) = self.waiting.next_due(&self.gate);
        let slot_at = match self.calls.len().cmp(&(self.settings.slots as usize)) {
            std::cmp::Ordering::Less => self.now,
            std::cmp::Ordering::Equal => self.overdue.first().map_or(never, |&(at, _)| at),
            std::cmp::Ordering::Greater => never,
        };
        let mut due = self.ask_at.unwrap_or(never).min(ends.unwrap_or(never));
        due = due.min(goes.unwrap_or(never).max(slot_at)).min(self.revisit.map_or(never, |_| self.now));
        let blocked = self.waiting.blocked_tenants(&self.gate).into_iter();
        let gives_way = blocked.filter_map(|tenant| self.hanging_call_of(tenant)).map(|(at, _)| at).min();
        due = due.min(gives_way.unwrap_or(never));
        for id in self.waiting.ordered.clone() {
            let &Message { destination, ready_at, key, .. } = &self.messages[&id];
            let rest = match key.and_then(|key| self.keys.get(&key)) {
                Some(queue) if queue.order.front() != Some(&id) => never,
                Some(queue) if queue.rest_for != Some(id) => queue.rest_until,
                _ => Micros(0),
            };
            let opens = self.opening(destination).unwrap_or(never);
            due = due.min(ready_at.max(rest).max(opens).max(slot_at));
        }
        due = due.max(self.now.plus(TICK));
        if due < never && self.wake_at.is_none_or(|at| due < at) {
            self.wake_at = Some(due);
            self.actions.push(Action::WakeIn(due.minus(self.now).min(FORGET)));
        }
    }

    /// A message waits from now on, or stands elsewhere.
    pub(super) fn hold(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|m| m.out.is_none() && !m.closed) else { return };
        let &Message { destination, class, tenant, aim, deadline, ready_at, taken, key, .. } = message;
        let mut ends_at = deadline.min(self.repeats_until(message)).minus(TICK);
        if !self.listed.contains_key(&destination) {
            ends_at = ends_at.min(taken.plus(UNKNOWN_HOLD));
        }
        if !self.may_repeat(id) {
            ends_at = self.now;
        }
        let ordered = key.is_some();
        let found = message.found && message.tries == 0;
        let spot = WaitingMessage {
            destination,
            class,
            tenant,
            target_time: aim,
            deadline,
            ends_at,
            ready_at,
            ordered,
            recovered: found,
        };
        self.waiting.insert(id, spot, self.now);
    }

    /// Other settings. What is held stays held, also where less would be held now: nobody's place is lost by an
    /// operator's change. When a message must be looked at changes only with the attempts and windows that are allowed.
    pub(super) fn adopt(&mut self, settings: Settings) {
        let effects =
            |settings: &Settings| settings.classes.iter().map(|class| class.effect).collect::<Vec<_>>();
        let (before, after) = (effects(&self.settings), effects(&settings));
        let same = after.starts_with(&before) && settings.max_attempts == self.settings.max_attempts;
        self.revisit = if same { self.revisit } else { Some(MessageId(0)) };
        self.asked.resize(settings.tenants.len(), Faded::default());
        self.no_room.resize(settings.kinds.len(), Faded::default());
        self.quotas = settings.tenants.iter().sum();
        if !self.senders.observed {
            self.senders = Senders::told(settings.forwarders);
        }
        self.settings = settings;
        self.gate.configure(self.settings.slots, &self.settings.isolation);
    }

    /// After a change of the settings, messages are looked at anew, some in each turn.
    pub(super) fn revisit(&mut self) {
        let Some(from) = self.revisit else { return };
        let some = self.waiting.ids_from(from, REVISITED);
        self.revisit =
            some.last().filter(|_| some.len() == REVISITED).map(|last| MessageId(last.0.saturating_add(1)));
        for id in some {
            if self.messages.get(&id).is_some_and(|message| message.attempts > 0) {
                self.hold(id);
            }
        }
    }

    pub(super) fn learn_members(&mut self, scope: ListScope, members: Vec<EndpointRecord>) {
        if scope == ListScope::Failed {
            self.ask_at = self.settings.must_subscribe.then(|| self.now.plus(LIST_PAUSE));
            return;
        }
        if scope != ListScope::Changes {
            let named: BTreeSet<EndpointId> = members.iter().map(|m| m.endpoint).collect();
            for (id, endpoint) in &mut self.endpoints {
                if !named.contains(id) {
                    endpoint.told_off.get_or_insert(self.now);
                }
            }
        }
        for member in members {
            let known = self.endpoints.entry(member.endpoint).or_insert_with(|| Endpoint {
                destination: member.destination,
                zone: member.zone,
                kind: member.kind,
                ..Endpoint::default()
            });
            if member.lifecycle == Lifecycle::Ready {
                known.told_off = None;
                known.weight = if member.weight.is_finite() { member.weight.max(0.0) } else { 0.0 };
            } else {
                known.told_off.get_or_insert(self.now);
            }
        }
        let before = std::mem::take(&mut self.listed);
        for (&id, endpoint) in self.endpoints.iter().filter(|(_, e)| e.told_off.is_none()) {
            self.listed.entry(endpoint.destination).or_default().push(id);
        }
        before
            .keys()
            .chain(self.listed.keys())
            .for_each(|&destination| self.waiting.mark_changed(destination));
        // Who waits where nothing is listed any more has less time.
        for destination in
            before.into_keys().filter(|known| !self.listed.contains_key(known)).collect::<Vec<_>>()
        {
            self.waiting.ids_of(destination).into_iter().for_each(|id| self.hold(id));
        }
    }

    /// Lets go of what is no longer live: idle keys, lanes unused for long, endpoints long gone.
    pub(super) fn forget(&mut self) {
        if self.sweep_at > self.now {
            return;
        }
        let now = self.now;
        self.sweep_at = now.plus(FORGET);
        self.keys.retain(|_, queue| !queue.order.is_empty() || queue.rest_until > now);
        let calls = &self.calls;
        self.endpoints.retain(|id, known| {
            known.told_off.is_none_or(|told| now.minus(told) < FORGET)
                || calls.values().any(|call| call.endpoint == *id)
        });
        self.lanes.retain(|_, lane| now.minus(lane.used_at) < FORGET || lane.wait_until > now);
    }

    /// Marks a lane as out, once.
    pub(super) fn lane_out(&mut self, id: LaneId, how: &str) {
        let Some(lane) = self.lanes.get_mut(&id) else { return };
        if lane.health.phase != Phase::Out {
            lane.health.fail(self.now, self.random.f64());
            self.actions.push(Action::Log(format!("destination out: {} {how}", id.0 .0)));
        }
    }

    /// When all that a start found untried and that waits for a destination would be sent, at the rate since the start, or of
    /// late. That is at `from` where there is none, and as long as no time has passed to know a rate by.
    pub(super) fn untried_end(&self, destination: DestinationId, from: Micros) -> Micros {
        let Some(one) = self.waiting.recovered_of(destination).next() else { return from };
        let count = self.waiting.recovered_of(destination).count();
        let routes = self.listed.get(&destination).into_iter().flatten();
        let lanes: BTreeSet<LaneId> = routes.filter_map(|&route| self.lane_of(route)).collect();
        let rates = lanes.iter().filter_map(|lane| self.lanes.get(lane)).map(|lane| &lane.rate);
        let sent: f64 = rates.map(|rate| rate.now(self.now, RATE_MEMORY_S)).sum();
        // A fading count is that of so many seconds, fewer right behind a start.
        let started = self.messages[&one].taken;
        let counted_s = RATE_MEMORY_S * (1.0 - (-seconds(self.now.minus(started)) / RATE_MEMORY_S).exp());
        let wanted_s = count as f64 * counted_s / sent.max(f64::MIN_POSITIVE);
        from.plus(micros(wanted_s.min(seconds(FORGET))))
    }
}
