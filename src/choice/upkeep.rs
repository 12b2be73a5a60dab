//! Housekeeping of the state that decisions are based on: queues of waiting messages, the endpoints that the
//! list names, wake-ups, and removal of unused state. The rules and the formulas are in `src/choice.rs`.
//! Interface: `src/interface.rs`.

mod handover;

use super::*;
pub use handover::{DispatcherState, IndexMapping};

/// How many forwarders share the destinations, by the settings or as observed.
pub(super) struct Forwarders {
    /// Never below 1. Not a whole number while this forwarder's share rises.
    pub count: f64,
    observed: bool,
    /// Set while this forwarder starts beside others.
    initial_rate: Option<InitialSendRate>,
}

/// Send rate at each destination while this forwarder starts beside others: its even share of the reported
/// limit, or `floor_per_s` if that is more, times a factor that grows until the start is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InitialSendRate {
    /// Lowest rate, in calls a second, and the rate of a destination that has not answered yet.
    pub floor_per_s: f64,
    /// Factor on the rate of a destination that reports a limit.
    pub ramp_factor: f64,
}

impl Forwarders {
    fn from_settings(count: u32) -> Forwarders {
        Forwarders { count: f64::from(count.max(1)), observed: false, initial_rate: None }
    }
}

impl Dispatcher {
    /// Sets the observed number of forwarders, which overrides the number in the settings; `None` returns to
    /// the settings.
    pub fn set_forwarder_count(&mut self, count: Option<f64>) {
        let initial_rate = self.forwarders.initial_rate;
        self.forwarders = match count {
            Some(count) => Forwarders { count: count.max(1.0), observed: true, initial_rate },
            None => Forwarders { initial_rate, ..Forwarders::from_settings(self.settings.forwarders) },
        };
    }

    /// Limits the send rates while this forwarder starts; `None` once it has started.
    pub fn set_initial_rate(&mut self, initial_rate: Option<InitialSendRate>) {
        self.forwarders.initial_rate = initial_rate;
    }

    /// The highest send rate to the route of an endpoint while this forwarder starts.
    pub(super) fn initial_rate_limit(&self, endpoint: EndpointId) -> f64 {
        let Some(initial) = self.forwarders.initial_rate else { return f64::INFINITY };
        match self.route_of(endpoint).and_then(|route| self.routes.get(&route)) {
            Some(route) if route.reported_limit > 0.0 => {
                initial.ramp_factor * initial.floor_per_s.max(route.reported_limit / self.forwarders.count)
            }
            // A route that answers without reporting a limit is limited by its rejections alone.
            Some(route) if route.latency.mean.is_some() => f64::INFINITY,
            _ => initial.floor_per_s,
        }
    }

    /// A dispatcher without any state besides its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let tenant_demand = vec![DecayingCount::default(); settings.tenants.len()];
        let subscribe_at = settings.must_subscribe.then_some(Micros(0));
        let failed_connects = vec![DecayingCount::default(); settings.kinds.len()];
        let total_quota = settings.tenants.iter().sum();
        let mut scheduler = FairScheduler::default();
        scheduler.configure(settings.slots, &settings.isolation);
        Dispatcher {
            scheduler,
            forwarders: Forwarders::from_settings(settings.forwarders),
            settings,
            random: fastrand::Rng::with_seed(seed),
            messages: BTreeMap::new(),
            waiting: WaitingMessages::default(),
            calls: BTreeMap::new(),
            overdue: BTreeSet::new(),
            revisit_from: None,
            next_call: 0,
            endpoints: BTreeMap::new(),
            listed: BTreeMap::new(),
            routes: BTreeMap::new(),
            keys: BTreeMap::new(),
            tenant_demand,
            total_demand: DecayingCount::default(),
            total_quota,
            submitted: Vec::new(),
            stale_connection_share: 0.0,
            shortest_stale_idle: Micros(u64::MAX),
            repeated_rejection_share: 0.0,
            failed_connects,
            endpoints_of_ended_calls: BTreeSet::new(),
            overall_latency: Latency::default(),
            wake_at: None,
            cleanup_at: Micros(0),
            now: Micros(0),
            actions: Vec::new(),
            subscribe_at,
        }
    }

    /// Call slots in use by each tenant, and the bounds of each.
    pub fn slots(&self) -> &crate::tenancy::share::Shares {
        self.scheduler.slots()
    }

    /// The route that calls to an endpoint count for.
    pub(super) fn route_of(&self, endpoint: EndpointId) -> Option<RouteId> {
        let known = self.endpoints.get(&endpoint)?;
        let apart = self.settings.kinds.get(known.kind).is_some_and(|kind| kind.separate_routes);
        Some((known.destination, apart.then_some(endpoint)))
    }

    /// The route of a known endpoint; created on first use.
    pub(super) fn route_mut(&mut self, endpoint: EndpointId) -> &mut Route {
        let id = self.route_of(endpoint).unwrap_or_default();
        self.routes.entry(id).or_insert_with(|| Route::new(self.now))
    }

    /// The zone of an endpoint. An endpoint that is no longer known has `u32::MAX`, a zone without endpoints.
    pub(super) fn zone_of(&self, endpoint: EndpointId) -> u32 {
        self.endpoints.get(&endpoint).map_or(u32::MAX, |known| known.zone)
    }

    /// Whether two endpoints share one limit, so that a retry-after of one applies to both.
    pub fn share_a_limit(&self, one: EndpointId, other: EndpointId) -> bool {
        let route = self.route_of(one);
        route.is_some() && route == self.route_of(other)
    }

    /// Number of listed endpoints whose circuit, or whose route's circuit, is open: they get sparse trial
    /// calls only.
    pub fn open_circuits(&self) -> usize {
        let is_open = |health: &Health| health.circuit == CircuitState::Open;
        let route_is_open = |id| {
            let route = self.route_of(id).and_then(|route| self.routes.get(&route));
            route.is_some_and(|route| is_open(&route.health))
        };
        let endpoint_is_open = |id| self.endpoints.get(id).is_some_and(|endpoint| is_open(&endpoint.health));
        let listed = self.listed.values().flatten();
        listed.filter(|&id| endpoint_is_open(id) || route_is_open(*id)).count()
    }

    /// Number of messages, calls, order keys, endpoints and routes in memory.
    pub fn records_in_memory(&self) -> usize {
        self.messages.len() + self.calls.len() + self.keys.len() + self.endpoints.len() + self.routes.len()
    }

    /// Subscribes to the endpoint list when that is due.
    pub(super) fn subscribe_when_due(&mut self) {
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            self.subscribe_at = None;
            self.actions.push(Action::Subscribe);
        }
    }

    /// Requests a wake-up for the time when the first waiting message may be sent or must get its final
    /// outcome.
    pub(super) fn request_wake_up(&mut self) {
        self.wake_at = self.wake_at.filter(|&at| at > self.now);
        let never = Micros(u64::MAX);
        let (ends, goes) = self.waiting.next_due(&self.scheduler);
        let slot_at = match self.calls.len().cmp(&(self.settings.slots as usize)) {
            std::cmp::Ordering::Less => self.now,
            std::cmp::Ordering::Equal => self.overdue.first().map_or(never, |&(at, _)| at),
            std::cmp::Ordering::Greater => never,
        };
        let mut due = self.subscribe_at.unwrap_or(never);
        due = due.min(ends.unwrap_or(never));
        due = due.min(goes.unwrap_or(never).max(slot_at));
        due = due.min(self.revisit_from.map_or(never, |_| self.now));
        let blocked = self.waiting.blocked_tenants(&self.scheduler).into_iter();
        let cancellable = blocked.filter_map(|tenant| self.cancellable_call_of(tenant));
        let cancellable_at = cancellable.map(|(at, _)| at).min();
        due = due.min(cancellable_at.unwrap_or(never));
        for id in self.waiting.ordered.clone() {
            let &Message { destination, ready_at, key, .. } = &self.messages[&id];
            let key_free_at = match key.and_then(|key| self.keys.get(&key)) {
                Some(queue) if queue.order.front() != Some(&id) => never,
                Some(queue) if queue.backoff_exempt != Some(id) => queue.backoff_until,
                _ => Micros(0),
            };
            let opens = self.destination_opens_at(destination).unwrap_or(never);
            due = due.min(ready_at.max(key_free_at).max(opens).max(slot_at));
        }
        due = due.max(self.now.plus(TIMER_GRANULARITY));
        if due < never && self.wake_at.is_none_or(|at| due < at) {
            self.wake_at = Some(due);
            self.actions.push(Action::WakeIn(due.minus(self.now).min(UNUSED_STATE_TTL)));
        }
    }

    /// Puts a message into the queue of waiting messages, or updates its entry there.
    pub(super) fn enqueue(&mut self, id: MessageId) {
        let message = self.messages.get(&id);
        let Some(message) = message.filter(|m| m.in_flight.is_none() && !m.has_final_outcome) else { return };
        let &Message { destination, class, tenant, target_at, deadline, ready_at, accepted_at, key, .. } =
            message;
        let mut ends_at = deadline.min(self.repeatable_until(message)).minus(TIMER_GRANULARITY);
        if !self.listed.contains_key(&destination) {
            ends_at = ends_at.min(accepted_at.plus(UNLISTED_DESTINATION_HOLD));
        }
        if !self.may_repeat(id) {
            ends_at = self.now;
        }
        let ordered = key.is_some();
        let recovered = message.recovered && message.transmissions == 0;
        let entry = WaitingMessage {
            destination,
            class,
            tenant,
            target_time: target_at,
            deadline,
            ends_at,
            ready_at,
            ordered,
            recovered,
        };
        self.waiting.insert(id, entry, self.now);
    }

    /// Applies changed settings. Messages that were accepted stay accepted, also above a lowered limit, and
    /// keep the effect under which they were accepted. Only another number of attempts changes when a message
    /// must be looked at.
    pub(super) fn apply_settings(&mut self, settings: Settings) {
        if settings.max_attempts != self.settings.max_attempts {
            self.revisit_from = Some(MessageId(0));
        }
        self.tenant_demand.resize(settings.tenants.len(), DecayingCount::default());
        self.failed_connects.resize(settings.kinds.len(), DecayingCount::default());
        self.total_quota = settings.tenants.iter().sum();
        if !self.forwarders.observed {
            self.forwarders = Forwarders::from_settings(settings.forwarders);
        }
        self.settings = settings;
        self.scheduler.configure(self.settings.slots, &self.settings.isolation);
    }

    /// Updates the queue entries of waiting messages after a change of the settings, a batch in each loop
    /// iteration.
    pub(super) fn revisit_messages(&mut self) {
        let Some(from) = self.revisit_from else { return };
        let batch = self.waiting.ids_from(from, REVISITED_PER_ITERATION);
        let last = batch.last().filter(|_| batch.len() == REVISITED_PER_ITERATION);
        self.revisit_from = last.map(|last| MessageId(last.0.saturating_add(1)));
        for id in batch {
            if self.messages.get(&id).is_some_and(|message| message.attempts > 0) {
                self.enqueue(id);
            }
        }
    }

    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, scope: ListScope, records: Vec<EndpointRecord>) {
        if scope == ListScope::Failed {
            self.subscribe_at = self.settings.must_subscribe.then(|| self.now.plus(SUBSCRIBE_RETRY_DELAY));
            return;
        }
        if scope != ListScope::Changes {
            let named: BTreeSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
            for (id, endpoint) in &mut self.endpoints {
                if !named.contains(id) {
                    endpoint.not_ready_since.get_or_insert(self.now);
                }
            }
        }
        for record in records {
            let known = self.endpoints.entry(record.endpoint).or_default();
            if !known.is_described_by(&record) {
                // What was observed under the earlier record does not hold for this one.
                *known = Endpoint { in_flight: known.in_flight, ..Endpoint::new(&record) };
            }
            if record.lifecycle == Lifecycle::Ready {
                known.not_ready_since = None;
                known.weight = if record.weight.is_finite() { record.weight.max(0.0) } else { 0.0 };
            } else {
                known.not_ready_since.get_or_insert(self.now);
            }
        }
        let before = std::mem::take(&mut self.listed);
        for (&id, endpoint) in self.endpoints.iter().filter(|(_, e)| e.not_ready_since.is_none()) {
            self.listed.entry(endpoint.destination).or_default().push(id);
        }
        for &destination in before.keys().chain(self.listed.keys()) {
            self.waiting.mark_changed(destination);
        }
        // Messages for a destination that has lost its last endpoint get less time.
        let unlisted = before.into_keys().filter(|known| !self.listed.contains_key(known));
        for destination in unlisted.collect::<Vec<_>>() {
            for id in self.waiting.ids_of(destination) {
                self.enqueue(id);
            }
        }
    }

    /// Removes idle order keys, routes that have long been unused and endpoints that have long been gone.
    pub(super) fn remove_unused(&mut self) {
        if self.cleanup_at > self.now {
            return;
        }
        let now = self.now;
        self.cleanup_at = now.plus(UNUSED_STATE_TTL);
        self.keys.retain(|_, queue| !queue.order.is_empty() || queue.backoff_until > now);
        let calls = &self.calls;
        self.endpoints.retain(|id, known| {
            known.not_ready_since.is_none_or(|since| now.minus(since) < UNUSED_STATE_TTL)
                || calls.values().any(|call| call.endpoint == *id)
        });
        let (settings, listed) = (&self.settings, &self.listed);
        self.routes.retain(|(destination, _), route| {
            let in_slow_start = route.slow_start.is_active(now, settings) && listed.contains_key(destination);
            now.minus(route.used_at) < UNUSED_STATE_TTL || route.retry_after_until > now || in_slow_start
        });
    }

    /// Opens the circuit of a route, unless it is open already. `reason` is a part of the text that the
    /// simulator records.
    pub(super) fn open_route_circuit(&mut self, id: RouteId, reason: &str) {
        let Some(route) = self.routes.get_mut(&id) else { return };
        if route.health.circuit != CircuitState::Open {
            route.health.open_circuit(self.now, self.random.f64());
            route.slow_start.confirm();
            // The simulator records this text: it stays letter for letter.
            let line = format!("destination out: {} {reason}", id.0 .0);
            self.actions.push(Action::Log(line));
        }
    }

    /// When all recovered messages without an attempt that wait for a destination will have been sent, at the
    /// rate of calls since the start, or the recent one. Returns `from` if there are none, or if no time has
    /// passed to measure a rate.
    pub(super) fn untried_sent_by(&self, destination: DestinationId, from: Micros) -> Micros {
        let Some(one) = self.waiting.recovered_of(destination).next() else { return from };
        let count = self.waiting.recovered_of(destination).count();
        let endpoints = self.listed.get(&destination).into_iter().flatten();
        let route_ids: BTreeSet<RouteId> = endpoints.filter_map(|&id| self.route_of(id)).collect();
        let routes = route_ids.iter().filter_map(|id| self.routes.get(id));
        let sent: f64 = routes.map(|route| route.calls_sent.value_at(self.now, SENT_TIME_CONSTANT_S)).sum();
        // A decaying count covers its time constant in seconds, less right after a start.
        let age_s = seconds(self.now.minus(self.messages[&one].accepted_at));
        let covered_s = SENT_TIME_CONSTANT_S * (1.0 - (-age_s / SENT_TIME_CONSTANT_S).exp());
        let needed_s = count as f64 * covered_s / sent.max(f64::MIN_POSITIVE);
        from.plus(micros(needed_s.min(seconds(UNUSED_STATE_TTL))))
    }
}
