//! Every decision of a forwarder. Interface (settings, events, actions): `src/interface.rs`; state:
//! `src/state.rs`; housekeeping of the state: `src/choice/upkeep.rs`.
//!
//! On the ordinary path, formula (10) gives each route its T1, attempt J waits 2^(J-1) x T1 after the one
//! before it, and the send rate of the route limits the calls a second. A route has a limit and outages of
//! its own: it is a destination or, where the settings say so, one endpoint of it.

mod health;
mod observation;
mod outcomes;
mod slow_start;
pub mod upkeep;

use crate::interface::*;
use crate::report::Report;
use crate::state::*;
use crate::tenancy::gate::FairScheduler;
use crate::waiting::{WaitingMessage, WaitingMessages};
use slow_start::RouteConditions;
use std::collections::{BTreeMap, BTreeSet};

/// T1 of a route before any call was served.
const INITIAL_T1: Micros = Micros(500_000);
/// Loss factor K of formula (10).
const LOSS_FACTOR: f64 = 2.0;
/// Timer B is T1 times this, and T1 is at least the reply time divided by this.
const TIMER_B_PER_T1: f64 = 64.0;
/// Weight of a new call in the mean latency and in the share of repeated rejections: about ten calls count.
const EWMA_GAIN: f64 = 0.1;
/// Time constant of the counts for P and R. In time, not in calls, as a forwarder may seldom call a
/// destination.
const COUNT_TIME_CONSTANT_S: f64 = 10.0;
/// Latencies kept for the p95: enough for one in twenty to be seen.
const P95_WINDOW_CALLS: usize = 40;
/// An attempt times out after this many times the recent p95.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Shortest sleep; also how long before its deadline a message gets its final outcome.
const TIMER_GRANULARITY: Micros = Micros(20_000);
/// Longest sleep; state that has been unused for this long is removed.
const UNUSED_STATE_TTL: Micros = Micros(60_000_000);
/// Time constant of the count of messages accepted for a route.
const DEMAND_TIME_CONSTANT_S: f64 = 10.0;
/// Time constant of the count of messages submitted by a tenant: longer than a burst.
const TENANT_DEMAND_TIME_CONSTANT_S: f64 = 40.0;

/// Send rate after a rejection, relative to the calls lately sent.
const RATE_CUT_FACTOR: f64 = 0.7;
/// The same from the second rejection in a row on, where this forwarder's share of the route is low.
const RATE_CUT_FACTOR_LOW_SHARE: f64 = 0.15;
/// Growth of the send rate with each served call, relative to the rate or to this forwarder's share if that
/// is more.
const RATE_GROWTH_PER_CALL: f64 = 0.1;
/// The same where a limit is reported and all of it is unused.
const REPORTED_LIMIT_GROWTH_PER_CALL: f64 = 0.15;
/// The send rate doesn't grow while no more than this share of a reported limit is unused.
const LOW_UNUSED_SHARE: f64 = 0.3;
/// Longest backoff after a rejection above a reported limit, in calls at the send rate. The backoff is
/// random, so that forwarders resume at different times.
const MAX_REJECTION_BACKOFF_CALLS: f64 = 2.5;
/// Weight of a new report in the reported limit: reports are noisy, and limits jump.
const REPORTED_LIMIT_GAIN: f64 = 0.5;
/// Lowest send rate, relative to this forwarder's share of the route.
const RATE_FLOOR_PER_SHARE: f64 = 0.7;
/// Burst of the send rate's token bucket, in seconds at the send rate.
const RATE_BURST_S: f64 = 0.5;
/// Time constant of the count of calls sent.
const SENT_TIME_CONSTANT_S: f64 = 2.0;
/// A weight of the endpoint list that is only roughly right may be too high by this factor.
const ROUGH_WEIGHT_ERROR_FACTOR: f64 = 1.5;

/// Failures in a row that open the circuit of an endpoint: a single one happens by chance.
const FAILURES_TO_OPEN: u32 = 2;
/// Malformed answers in a row that count as a failure.
const MALFORMED_TO_FAIL: u32 = 4;
/// A forwarder's share of a route is low if it is fewer calls than this in [`Settings::overload_window`].
const LOW_SHARE_CALLS: f64 = 0.5;
/// Rejections in a row that open the circuit: more than an exhausted limit explains.
const REJECTIONS_TO_OPEN: u32 = 6;
/// Broken connections in a row that open the circuit: a network loses some without any fault of the endpoint.
const BROKEN_CONNECTIONS_TO_OPEN: u32 = 3;
/// A shorter time between two served calls is no outage: calls were slow or connections lost, and the
/// receiver needs no slow start.
const MIN_OUTAGE: Micros = Micros(2_500_000);
/// Weight of a new call in the share of errors.
const ERROR_SHARE_GAIN: f64 = 0.2;
/// The share of errors is above this only after two errors among a few calls.
const SINGLE_ERROR_SHARE: f64 = 0.22;
/// Connections rejected in a row that may be an outage.
const CONNECTION_REJECTIONS_TO_SUSPECT: u32 = 2;
/// Growth of the demand during an outage that counts: beyond it, it is a backlog or messages that come again.
const MAX_DEMAND_GROWTH: f64 = 1.25;
/// Share of the allowance for random variation that trial calls of all forwarders together may use where the
/// budget is smaller, as that of a receiver whose capacity is not known.
const ALLOWANCE_SHARE_OF_TRIALS: f64 = 0.5;
/// Share of that allowance that may be sent at once while an outage is possible, but not certain.
const ALLOWANCE_SHARE_OF_BURST: f64 = 0.5;
/// Share of that allowance by which each window's budget is larger then.
const ALLOWANCE_SHARE_OF_RATE: f64 = 0.25;
/// A retry-after longer than this opens the circuit: the window of a usual limit is shorter.
const RETRY_AFTER_TO_OPEN: Micros = Micros(3_000_000);
/// Without a known limit: a forwarder's share of what a recovering receiver takes, relative to its own
/// demand.
const SHARE_PER_DEMAND: f64 = 0.9;
/// Served calls in a row before an endpoint that was out of service gets unsafe messages like any other.
const SUCCESSES_TO_TRUST: u32 = 2;
/// How long a message is held for a destination without a listed endpoint: lists arrive late.
const UNLISTED_DESTINATION_HOLD: Micros = Micros(2_000_000);
/// Factor on the urgency of an unsafe message at a half-open destination: messages that may be repeated go
/// first.
const HALF_OPEN_UNSAFE_URGENCY_FACTOR: f64 = 1e-3;
/// Urgency compares the worth now with the worth after this many mean latencies.
const URGENCY_HORIZON_LATENCIES: f64 = 4.0;
/// Weight of the worth itself in the urgency, beside what waiting loses.
const URGENCY_WORTH_WEIGHT: f64 = 1e-3;
/// Share of [`Settings::max_messages`] that messages of any worth may fill; the rest is for messages of
/// greater worth.
const CAPACITY_SHARE_FOR_ANY_WORTH: f64 = 0.7;
/// Weight of a new call in the share of idle connections that were found dead.
const STALE_SHARE_GAIN: f64 = 0.25;
/// Idle connections count as stale if more than this share was found dead.
const STALE_SHARE_THRESHOLD: f64 = 0.2;
/// Factor on that share each time a connection is closed unused: after some dozens an idle connection is used
/// again.
const STALE_SHARE_DECAY_PER_CLOSE: f64 = 0.99;
/// Time constant of the count of failed connects to a kind of destination.
const FAILED_CONNECTS_TIME_CONSTANT_S: f64 = 60.0;
/// More failed connects than this mean that connection tables of that kind are full.
const FULL_TABLE_FAILED_CONNECTS: f64 = 0.5;
/// Even a small endpoint accepts this many connections: no more forwarders than that, with one each, do not
/// fill it.
const SMALL_TABLE_CONNECTIONS: f64 = 8.0;
/// More forwarders than this fill the tables of all but large endpoints before each of them can notice it.
const LARGE_FLEET_FORWARDERS: f64 = 32.0;
/// Up to this many destinations are all ranked anew in each loop iteration.
const RANK_ALL_UP_TO: usize = 32;
/// Of more destinations, this many are ranked anew in each loop iteration, besides those that have changed.
const RERANKED_PER_ITERATION: usize = 8;
/// A destination that accepts no call is checked again after this time at the latest: its budget grows with
/// time.
const MAX_RECHECK_DELAY: Micros = Micros(200_000);
/// Messages revisited in each loop iteration after a change of the settings.
const REVISITED_PER_ITERATION: usize = 256;
/// Delay before the endpoint list is subscribed to again after a failed call.
const SUBSCRIBE_RETRY_DELAY: Micros = Micros(2_000_000);

/// Decides for one forwarder which message is sent when and where to, and when it gets its final outcome.
pub struct Dispatcher {
    settings: Settings,
    forwarders: upkeep::Forwarders,
    random: fastrand::Rng,
    messages: BTreeMap<MessageId, Message>,
    waiting: WaitingMessages,
    /// Shares the slots among tenants.
    scheduler: FairScheduler,
    calls: BTreeMap<u64, Call>,
    /// Calls by the time from which they may be cancelled for the sake of others.
    overdue: BTreeSet<(Micros, u64)>,
    /// After a change of the settings: the first message that has not been revisited yet.
    revisit_from: Option<MessageId>,
    next_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints of each destination that the list has as ready.
    listed: BTreeMap<DestinationId, Vec<EndpointId>>,
    routes: BTreeMap<RouteId, Route>,
    keys: BTreeMap<u64, KeyQueue>,
    /// Messages lately submitted by each tenant.
    tenant_demand: Vec<DecayingCount>,
    /// Messages lately submitted by all tenants.
    total_demand: DecayingCount,
    /// Sum of [`Settings::tenants`].
    total_quota: f64,
    /// Messages submitted in this iteration: they may still be rejected.
    submitted: Vec<MessageId>,
    /// Exponentially weighted share of connection resets among calls on idle connections.
    stale_connection_share: f64,
    /// Shortest idle time of a connection that was found dead.
    shortest_stale_idle: Micros,
    /// Exponentially weighted share of rejections after which the next call to the same route was rejected,
    /// too.
    repeated_rejection_share: f64,
    /// Failed connects to each kind of destination.
    failed_connects: Vec<DecayingCount>,
    /// Endpoints to which a call has ended in this iteration.
    endpoints_of_ended_calls: BTreeSet<EndpointId>,
    /// Latency over all routes; stands in for the latency of a route that is not known yet.
    overall_latency: Latency,
    wake_at: Option<Micros>,
    cleanup_at: Micros,
    now: Micros,
    /// Actions decided in this iteration.
    actions: Vec<Action>,
    subscribe_at: Option<Micros>,
}

/// T1 by formula (10) of the paper, in the unit of `reply`, the reply time. `p` is P, the lost share of all
/// attempts; `r` is R, the repeats for each first attempt. The share of damaged messages, a, is formula (9),
/// clamped to 0..1.
pub fn timer_t1(reply: f64, p: f64, r: f64) -> f64 {
    let a = if p < 1.0 { ((r / (1.0 + r) - p) / (1.0 - p)).clamp(0.0, 1.0) } else { 0.0 };
    let t1 = reply * ((1.0 - p) * (1.0 - a * 63.0 / 64.0) + p * LOSS_FACTOR);
    t1.max(reply / TIMER_B_PER_T1)
}

impl Route {
    fn new(now: Micros) -> Self {
        Route { send_rate: f64::INFINITY, tokens: f64::MAX, filled_at: now, used_at: now, ..Route::default() }
    }

    fn t1(&self, now: Micros) -> f64 {
        let Some(reply) = self.latency.mean else { return INITIAL_T1.0 as f64 };
        let p = self.lost.ratio_to(&self.attempts, now, COUNT_TIME_CONSTANT_S).clamp(0.0, 1.0);
        let r = self.repeats.ratio_to(&self.first_attempts, now, COUNT_TIME_CONSTANT_S);
        timer_t1(reply, p, r)
    }

    /// Counts an ended attempt for P and R.
    fn count_attempt(&mut self, now: Micros, first: bool, lost: bool) {
        self.attempts.add(now, COUNT_TIME_CONSTANT_S, 1.0);
        self.lost.add(now, COUNT_TIME_CONSTANT_S, f64::from(u8::from(lost)));
        let count = if first { &mut self.first_attempts } else { &mut self.repeats };
        count.add(now, COUNT_TIME_CONSTANT_S, 1.0);
    }

    /// What the budget of calls of a slow start is computed from. A share that follows the demand is that of
    /// the time before: messages that come again and a backlog are no capacity.
    fn conditions(&self, share_per_s: f64, follows_demand: bool, forwarders: f64) -> RouteConditions {
        let circuit_open = self.health.circuit == CircuitState::Open;
        let of_one_message = SHARE_PER_DEMAND / DEMAND_TIME_CONSTANT_S;
        let max_share = MAX_DEMAND_GROWTH * self.slow_start.share_before + of_one_message;
        let share_per_s = if follows_demand { share_per_s.min(max_share) } else { share_per_s };
        RouteConditions { share_per_s, forwarders, circuit_open }
    }

    /// Whether a rejection now is not just one above the limit. While nothing of the reported limit is unused
    /// it is, and says nothing of an outage, however many there are in a row.
    fn rejection_is_unexplained(&self, now: Micros) -> bool {
        self.limit_reported_at < now || self.reported_unused > LOW_UNUSED_SHARE
    }

    /// Fills the token bucket, at the send rate or at `max_rate` if that is lower; returns when it allows a
    /// call.
    fn rate_allows_at(&mut self, now: Micros, max_rate: f64) -> Micros {
        let rate = self.send_rate.min(max_rate);
        if rate.is_infinite() {
            return now;
        }
        let elapsed = seconds(now.minus(self.filled_at));
        self.tokens = (self.tokens + elapsed * rate).min((rate * RATE_BURST_S).max(1.0));
        self.filled_at = now;
        if self.tokens >= 1.0 - 1e-9 {
            now
        } else {
            now.plus(micros((1.0 - self.tokens) / rate.max(1e-6)))
        }
    }
}

impl Dispatcher {
    /// Handles the events of one loop iteration at `now`, in order, and appends the resulting actions to
    /// `actions`.
    pub fn handle(
        &mut self,
        now: Micros,
        events: impl IntoIterator<Item = Event>,
        actions: &mut Vec<Action>,
    ) {
        self.now = now;
        for event in events {
            match event {
                Event::EndpointRecords(scope, records) => self.update_endpoints(scope, records),
                Event::Message(id, message) => {
                    self.accept(id, message);
                    self.submitted.push(id);
                }
                Event::Resubmitted(id, message, past) => {
                    self.accept_with_history(id, message, past);
                    self.submitted.push(id);
                }
                Event::Restored(id, message, past) => self.recover(id, message, past),
                Event::RetryAfter(endpoint, retry_after) => {
                    let until = self.now.plus(retry_after);
                    let Some(route_id) = self.route_of(endpoint) else { continue };
                    let route = self.route_mut(endpoint);
                    route.retry_after_until = route.retry_after_until.max(until);
                    self.waiting.mark_changed(route_id.0);
                }
                Event::Report(endpoint, report) => self.apply_limit_report(endpoint, report),
                Event::AttemptEnded { id, attempt, outcome, spent, closed, .. } => {
                    self.finish_attempt(id, attempt, outcome, spent, closed);
                }
                Event::Settings(settings) => self.apply_settings(*settings),
                Event::Withdrawn(id) => self.remove_message(id),
                Event::Wake => {}
            }
        }
        self.subscribe_when_due();
        self.revisit_messages();
        self.end_expired_messages();
        self.send_ready_messages();
        self.close_surplus_connections();
        self.reject_over_capacity();
        self.remove_unused();
        self.request_wake_up();
        actions.append(&mut self.actions);
    }

    // ---- Events ----

    /// Accepts a submitted message.
    fn accept(&mut self, id: MessageId, submission: Submission) {
        let Submission { destination, time_left, class, key, tenant, resubmitted } = submission;
        let class = class.min(self.settings.classes.len().saturating_sub(1));
        let class_settings = &self.settings.classes[class];
        let deadline = self.now.plus(time_left);
        // A message that is submitted with little time left is not late already, unless it was submitted
        // before.
        let target_by_deadline = deadline.plus(class_settings.target_time).minus(class_settings.deadline);
        let target_at = Some(target_by_deadline).filter(|&target_at| resubmitted || target_at > self.now);
        let target_at = target_at.unwrap_or(self.now.plus(class_settings.target_time).min(deadline));
        let key = key.filter(|_| class_settings.in_order);
        if let Some(key) = key {
            self.keys.entry(key).or_default().order.push_back(id);
        }
        if let Some(demand) = self.tenant_demand.get_mut(tenant) {
            demand.add(self.now, TENANT_DEMAND_TIME_CONSTANT_S, 1.0);
            self.total_demand.add(self.now, TENANT_DEMAND_TIME_CONSTANT_S, 1.0);
        }
        let message = Message {
            destination,
            class,
            key,
            accepted_at: self.now,
            deadline,
            target_at,
            ready_at: self.now,
            tenant,
            effect: class_settings.effect,
            ..Message::default()
        };
        self.messages.insert(id, message);
        let endpoints = self.listed.get(&destination).cloned().unwrap_or_default();
        for &endpoint in &endpoints {
            let now = self.now;
            let demand = &mut self.route_mut(endpoint).demand;
            demand.add(now, DEMAND_TIME_CONSTANT_S, 1.0 / endpoints.len() as f64);
        }
        self.enqueue(id);
    }

    /// Accepts a message of an earlier process. An attempt that was in flight when that process ended may
    /// have run, and the attempts continue to count.
    fn recover(&mut self, id: MessageId, submission: Submission, past: AttemptHistory) {
        self.accept_with_history(id, submission, past);
        if let Some(message) = self.messages.get_mut(&id) {
            message.recovered = true;
        }
        self.enqueue(id);
    }

    /// Accepts a message with the attempts that were made before.
    fn accept_with_history(&mut self, id: MessageId, submission: Submission, past: AttemptHistory) {
        self.accept(id, Submission { resubmitted: true, ..submission });
        let may_have_run =
            past.may_have_run.map(|(sent_at, endpoint)| (sent_at, endpoint, self.zone_of(endpoint)));
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.effect = past.effect.unwrap_or(message.effect);
        message.attempts = past.attempts;
        message.transmissions = past.attempts;
        message.may_have_run = may_have_run;
        if let (Some(key), Some(_)) = (message.key, may_have_run) {
            let queue = self.keys.entry(key).or_default();
            queue.backoff_until = self.now.plus(self.settings.key_backoff);
            queue.backoff_exempt = Some(id);
        }
        self.enqueue(id);
    }

    /// Factor on the worth of one more message of a tenant: lower if the tenant both submits more than its
    /// quota and holds more than its share of [`Settings::max_messages`].
    fn tenant_factor(&self, tenant: usize, held_by_tenant: &[usize]) -> f64 {
        let Some(&quota) = self.settings.tenants.get(tenant) else { return 1.0 };
        let demand = |count: &DecayingCount| count.value_at(self.now, TENANT_DEMAND_TIME_CONSTANT_S);
        let own = demand(&self.tenant_demand[tenant]);
        let all = demand(&self.total_demand);
        let share = quota / self.total_quota;
        let quota_per_demand = quota * TENANT_DEMAND_TIME_CONSTANT_S / (own * self.forwarders.count);
        let holds_more = held_by_tenant[tenant] as f64 > share * f64::from(self.settings.max_messages);
        if holds_more && (share * all / own).max(quota_per_demand) < 1.0 {
            self.settings.over_share_worth
        } else {
            1.0
        }
    }

    /// Handles the end of an attempt: the message gets its next attempt after a backoff, or its final
    /// outcome.
    fn finish_attempt(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: AttemptOutcome,
        spent: Micros,
        has_final_outcome: bool,
    ) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let in_flight = message.in_flight.take_if(|in_flight| in_flight.attempt == attempt);
        let Some(in_flight) = in_flight else { return };
        message.has_final_outcome |= has_final_outcome;
        let Some(call) = self.calls.get_mut(&in_flight.call) else { return };
        call.unfinished -= 1;
        let (endpoint, zone_at_send) = (call.endpoint, call.zone);
        let route_id = call.route;
        let call_ended = call.unfinished == 0;
        // The attempts of one call may end in different batches of events, each with the same retry-after: it
        // applies from the first one on (rule 6).
        if let (AttemptOutcome::Rejected { retry_after: Some(retry_after) }, Some(route)) =
            (outcome, self.routes.get_mut(&route_id))
        {
            route.retry_after_until = route.retry_after_until.max(self.now.plus(retry_after));
        }
        self.waiting.mark_changed(route_id.0);
        if call_ended {
            if let Some(call) = self.calls.remove(&in_flight.call) {
                self.overdue.remove(&(call.overdue_at, in_flight.call));
                self.scheduler.call_ended(call.tenant, call.expected_duration, spent);
                self.learn_from_call(&call, outcome, spent);
            }
        }
        let t1 = self.routes.get(&route_id).map_or(INITIAL_T1.0 as f64, |route| route.t1(self.now));
        let zone = zone_at_send.unwrap_or_else(|| self.zone_of(endpoint));
        let Some(message) = self.messages.get_mut(&id) else { return };
        let may_have_run = !outcome.never_ran() && outcome != AttemptOutcome::Delivered;
        if may_have_run {
            message.may_have_run.get_or_insert((in_flight.sent_at, endpoint, zone));
        }
        if let (Some(key), true) = (message.key, may_have_run && outcome != AttemptOutcome::Error) {
            let queue = self.keys.entry(key).or_default();
            queue.backoff_until = self.now.plus(self.settings.key_backoff);
            queue.backoff_exempt = Some(id);
        }
        if message.has_final_outcome {
            self.remove_message(id);
        } else if outcome == AttemptOutcome::NotSent {
            message.transmissions -= 1;
            message.ready_at = self.now.plus(TIMER_GRANULARITY);
            self.enqueue(id);
        } else {
            // Timer A: the backoff doubles with each attempt. Timer B counts attempts and backoffs alone.
            let backoff = t1 * f64::from(2u32.saturating_pow(message.transmissions.saturating_sub(1)));
            message.timer_b_elapsed += spent.0 as f64 + backoff;
            message.ready_at = self.now.plus(Micros(backoff as u64));
            let timer_b_fired = message.timer_b_elapsed >= TIMER_B_PER_T1 * t1 && message.transmissions > 1;
            if timer_b_fired || !self.may_repeat(id) {
                self.end_message(id);
            } else {
                self.enqueue(id);
            }
        }
    }

    // ---- Choice of the next message ----

    /// Worth of a message if it is delivered at `at`.
    fn worth(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.settings.classes[message.class];
        let lateness = at.minus(message.target_at).0 as f64;
        if lateness <= 0.0 {
            return class.worth;
        }
        let remaining_share = match self.settings.worth_decay {
            WorthDecay::Halving => 0.5f64.powf(lateness / class.target_time.0.max(1) as f64),
            WorthDecay::Linear => {
                let span = message.deadline.minus(message.target_at).0.max(1) as f64;
                1.0 - (1.0 - class.late_share) * (lateness / span).min(1.0)
            }
        };
        class.worth * remaining_share.max(class.late_share)
    }

    /// When a message that is sent to a destination now is delivered, and when one that waits is.
    fn delivery_times(&self, destination: DestinationId) -> (Micros, Micros) {
        let endpoint = self.listed.get(&destination).and_then(|endpoints| endpoints.first());
        let route = endpoint.and_then(|&endpoint| self.routes.get(&self.route_of(endpoint)?));
        let usual_latency = self.overall_latency.mean.unwrap_or(INITIAL_T1.0 as f64);
        let latency = route.and_then(|route| route.latency.mean).unwrap_or(usual_latency);
        let at = self.now.plus(Micros(latency as u64));
        let later = at.plus(Micros((usual_latency * URGENCY_HORIZON_LATENCIES) as u64));
        (at, later)
    }

    /// Worth that a message loses by waiting, for each microsecond in which it occupies a slot. Where slots
    /// are short, a late message whose worth falls slowly can wait, and slow destinations do not keep the
    /// slots from fast ones; where they are not, the order matters little.
    fn urgency(&self, message: &Message, (at, later): (Micros, Micros)) -> f64 {
        let slot_time = at.minus(self.now).0 as f64;
        let worth_later = if later < message.deadline { self.worth(message, later) } else { 0.0 };
        let weighted_worth = URGENCY_WORTH_WEIGHT * self.worth(message, at);
        (self.worth(message, at) - worth_later + weighted_worth) / slot_time.max(1.0)
    }

    /// Sends the most urgent messages while there are slots. Considers the destinations that have changed,
    /// those that may accept a call again, and some that were ranked long ago.
    fn send_ready_messages(&mut self) {
        self.waiting.end_backoffs(self.now);
        let slots = self.settings.slots as usize;
        let none_overdue =
            self.overdue.first().is_none_or(|&(at, _)| at > self.now) || !self.settings.can_cancel;
        if self.calls.len() > slots || self.calls.len() == slots && none_overdue {
            return;
        }
        let is_next = |id: &MessageId| self.messages[id].ready_at <= self.now && self.is_next_of_key(*id);
        let next_of_keys: Vec<MessageId> = self.waiting.ordered.iter().copied().filter(is_next).collect();
        for &id in &next_of_keys {
            self.waiting.set_key_turn(id, true);
        }
        let mut skipped = BTreeSet::new();
        for destination in
            self.waiting.destinations_to_rank(self.now, (RANK_ALL_UP_TO, RERANKED_PER_ITERATION))
        {
            self.rank_destination(destination, &skipped);
        }
        while let Some((destination, id, ranked_at)) = self.waiting.next_message(&mut self.scheduler) {
            if ranked_at < self.now {
                self.rank_destination(destination, &skipped);
                continue;
            }
            if let Some(endpoint) = self.pick_endpoint(id) {
                if self.calls.len() >= slots {
                    self.cancel_overdue_call(self.overdue.first().copied());
                    break;
                }
                let kind = self.endpoints[&endpoint].kind;
                let batch = self.settings.kinds.get(kind).map_or(1, |kind| kind.batch.max(1));
                let mut call = self.open_call(id, endpoint);
                let mut next = Some(id);
                while let Some(id) = next.filter(|_| call.unfinished < batch) {
                    if !self.add_to_call(id, &mut call) {
                        skipped.insert(id);
                    }
                    let best = self.most_urgent(destination, &skipped).into_values().max_by(by_urgency);
                    next = best.map(|(_, id)| id);
                }
                self.overdue.insert((call.overdue_at, self.next_call));
                self.calls.insert(self.next_call, call);
            } else {
                skipped.insert(id);
            }
            self.rank_destination(destination, &skipped);
        }
        for tenant in self.waiting.blocked_tenants(&self.scheduler) {
            self.cancel_overdue_call(self.cancellable_call_of(tenant));
        }
        for &id in &next_of_keys {
            self.waiting.set_key_turn(id, false);
        }
        // Messages that could not be sent where others could are considered again in the next iteration.
        for id in skipped {
            if let Some(message) = self.messages.get(&id) {
                self.waiting.mark_changed(message.destination);
            }
        }
    }

    /// Ranks a destination that accepts a call by its most urgent messages, or sets when it is checked again.
    fn rank_destination(&mut self, destination: DestinationId, skipped: &BTreeSet<MessageId>) {
        let mut best = BTreeMap::new();
        let mut check_at = None;
        if self.waiting.has_ready(destination) {
            match self.destination_opens_at(destination) {
                Some(at) if at <= self.now => best = self.most_urgent(destination, skipped),
                Some(at) => check_at = Some(at.min(self.now.plus(MAX_RECHECK_DELAY))),
                None => {}
            }
        }
        self.waiting.set_opening(destination, check_at);
        self.waiting.ranking.set(destination, best, self.now);
    }

    /// The most urgent message of each tenant at a destination, with its urgency; of equals, the oldest.
    fn most_urgent(
        &self,
        destination: DestinationId,
        skipped: &BTreeSet<MessageId>,
    ) -> BTreeMap<usize, (f64, MessageId)> {
        let times = self.delivery_times(destination);
        let unsafe_factor =
            if self.is_half_open(destination) { HALF_OPEN_UNSAFE_URGENCY_FACTOR } else { 1.0 };
        let mut best = BTreeMap::new();
        for (_, id) in self.waiting.candidates(destination, times, skipped) {
            let message = &self.messages[&id];
            let factor = if message.effect == Effect::Unsafe { unsafe_factor } else { 1.0 };
            let candidate = (factor * self.urgency(message, times), id);
            let best = best.entry(message.tenant).or_insert(candidate);
            *best = std::cmp::max_by(*best, candidate, by_urgency);
        }
        // A recovered message is owed an attempt: one without any goes first once sending all of them takes
        // the time that it has left.
        let all_sent_by = self.untried_sent_by(destination, times.1);
        for (&tenant, best) in best.iter_mut() {
            let Some((id, deadline)) = self.waiting.first_recovered(destination, tenant, skipped) else {
                continue;
            };
            let message = &self.messages[&id];
            let class = &self.settings.classes[message.class];
            let held_back = unsafe_factor < 1.0 && message.effect == Effect::Unsafe;
            let sent_by = if held_back { times.1 } else { all_sent_by };
            let slot_time = times.0.minus(self.now).0.max(1) as f64;
            let min_urgency = if sent_by >= deadline { class.worth / slot_time } else { 0.0 };
            if sent_by >= deadline || self.messages[&best.1].recovered {
                *best = (best.0.max(min_urgency), id);
            }
        }
        best
    }

    /// The call to cancel if a tenant has used up its share of the slots: its first overdue one whose
    /// messages may be repeated, on a route that has never answered. So an unproven destination cannot occupy
    /// all slots of a tenant.
    fn cancellable_call_of(&self, tenant: usize) -> Option<(Micros, u64)> {
        let is_unproven =
            |call: &Call| self.routes.get(&call.route).is_none_or(|route| route.latency.mean.is_none());
        let is_repeatable =
            |id: &MessageId| self.messages.get(id).is_none_or(|message| message.effect != Effect::Unsafe);
        let is_cancellable = |call: &Call| {
            call.tenant == tenant && call.messages.iter().all(is_repeatable) && is_unproven(call)
        };
        let call = self.overdue.iter().find(|(_, number)| is_cancellable(&self.calls[number])).copied();
        call.filter(|_| self.settings.can_cancel)
    }

    /// Cancels a call if it is overdue, to free its slot for a message that could be sent.
    fn cancel_overdue_call(&mut self, call: Option<(Micros, u64)>) {
        let Some((at, number)) = call.filter(|(at, _)| *at <= self.now) else { return };
        let Some(call) = self.calls.get_mut(&number) else { return };
        self.overdue.remove(&(at, number));
        call.overdue_at = Micros(u64::MAX);
        for &id in &call.messages {
            let in_flight = self.messages.get(&id).and_then(|message| message.in_flight);
            if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.call == number) {
                self.actions.push(Action::Cancel { id, attempt: in_flight.attempt });
            }
        }
    }

    /// Closes idle connections where connection tables may be full. Failed connects are a sign of that: a
    /// table counts idle connections, too, and each forwarder keeps one. At such a kind of destination, and
    /// with many forwarders at any, a connection is closed when its call has ended and it isn't used again at
    /// once.
    fn close_surplus_connections(&mut self) {
        for id in std::mem::take(&mut self.endpoints_of_ended_calls) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let failed = self.failed_connects.get(endpoint.kind);
            let failed = failed.map_or(0.0, |n| n.value_at(self.now, FAILED_CONNECTS_TIME_CONSTANT_S));
            let forwarders = self.forwarders.count;
            let tables_full = failed > FULL_TABLE_FAILED_CONNECTS && forwarders > SMALL_TABLE_CONNECTIONS;
            if forwarders > LARGE_FLEET_FORWARDERS || tables_full {
                endpoint.last_used = Micros(0);
                self.actions.push(Action::CloseIdle(id));
            }
        }
    }

    /// Whether an endpoint of a destination has a circuit that is not closed and too few successes to be
    /// trusted.
    fn is_half_open(&self, destination: DestinationId) -> bool {
        let endpoints = self.listed.get(&destination).map_or(&[][..], |endpoints| endpoints);
        endpoints.iter().map(|id| &self.endpoints[id]).any(|endpoint| {
            endpoint.health.circuit != CircuitState::Closed
                && endpoint.successes_in_a_row < SUCCESSES_TO_TRUST
        })
    }

    /// The endpoint for a call with this message, if any may be called now: the one with the fewest calls in
    /// flight, of those the one last used.
    fn pick_endpoint(&mut self, id: MessageId) -> Option<EndpointId> {
        let endpoints = self.listed.get(&self.messages[&id].destination)?.clone();
        let open = endpoints.into_iter().filter(|&endpoint| {
            self.endpoint_opens_at(endpoint) <= self.now
                && self.call_allowed(endpoint)
                && self.message_allowed(id, endpoint)
        });
        let open: Vec<EndpointId> = open.collect();
        if open.len() < 2 {
            return open.first().copied();
        }
        // Equals are drawn at random, or all forwarders would call the first one.
        let endpoints = &self.endpoints;
        let random = &mut self.random;
        open.into_iter().min_by_key(|id| {
            let endpoint = &endpoints[id];
            (endpoint.in_flight, std::cmp::Reverse(endpoint.last_used), random.u32(..))
        })
    }

    /// When the first endpoint of a destination accepts a call; `None` if no endpoint is listed.
    fn destination_opens_at(&mut self, destination: DestinationId) -> Option<Micros> {
        let endpoints = self.listed.get(&destination)?.clone();
        endpoints.iter().map(|&endpoint| self.endpoint_opens_at(endpoint)).min()
    }

    /// When an endpoint accepts a call, by the send rate of its route and by the rules.
    fn endpoint_opens_at(&mut self, endpoint: EndpointId) -> Micros {
        let now = self.now;
        let max_rate = self.max_rate(endpoint);
        self.route_mut(endpoint).rate_allows_at(now, max_rate).max(self.allowed_at(endpoint))
    }

    /// The highest send rate to the route of an endpoint, by the endpoint list and during the start.
    fn max_rate(&self, endpoint: EndpointId) -> f64 {
        let listed_rate = self.endpoints[&endpoint].weight * self.weight_error_factor();
        let listed_rate = Some(listed_rate).filter(|&rate| rate > 0.0).unwrap_or(f64::INFINITY);
        listed_rate.min(self.initial_rate_limit(endpoint))
    }

    /// This forwarder's share of what a route takes, in calls a second: the even share of the listed rate
    /// (taken low where it is rough) or of the reported limit, whatever its demand, as all forwarders may
    /// have as much. Without either, it follows the demand.
    fn rate_share(&self, endpoint: EndpointId) -> f64 {
        if let Some(rate) = self.known_rate(endpoint) {
            return rate / self.forwarders.count;
        }
        let route = self.route_of(endpoint).and_then(|route| self.routes.get(&route));
        let demand = route.map_or(0.0, |route| {
            route.demand.value_at(self.now, DEMAND_TIME_CONSTANT_S) / DEMAND_TIME_CONSTANT_S
        });
        SHARE_PER_DEMAND * demand
    }

    /// The listed rate (taken low where it is rough) or the reported limit of the route of an endpoint, in
    /// calls a second of all forwarders.
    fn known_rate(&self, endpoint: EndpointId) -> Option<f64> {
        let listed_rate = self.endpoints[&endpoint].weight / self.weight_error_factor();
        if listed_rate > 0.0 {
            return Some(listed_rate);
        }
        let route = self.routes.get(&self.route_of(endpoint)?)?;
        Some(route.reported_limit).filter(|&limit| limit > 0.0)
    }

    /// The factor by which a weight of the endpoint list may be wrong.
    fn weight_error_factor(&self) -> f64 {
        match self.settings.weights {
            Weights::Nominal => 1.0,
            Weights::Rough => ROUGH_WEIGHT_ERROR_FACTOR,
            Weights::Absent => f64::INFINITY,
        }
    }

    /// Starts a call to an endpoint, without messages yet. `first` is the message that it is opened for.
    fn open_call(&mut self, first: MessageId, id: EndpointId) -> Call {
        self.next_call += 1;
        let now = self.now;
        let mut connection_idle = Micros(0);
        let (route_share, endpoint_share) = self.rate_shares(id);
        let (forwarders, follows_demand) = (self.forwarders.count, self.known_rate(id).is_none());
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            // A receiver or middlebox that drops idle connections shows it only when one is used. While that
            // happens often, a new connection is opened instead: a handshake costs less than an attempt.
            let idle = now.minus(endpoint.last_used);
            let is_kept = endpoint.failed_after_idle.is_none() && idle < self.settings.connection_idle;
            let reused = endpoint.in_flight == 0 && is_kept;
            connection_idle = if reused { idle } else { Micros(0) };
            let often_stale = self.stale_connection_share > STALE_SHARE_THRESHOLD;
            if reused && often_stale && idle >= self.shortest_stale_idle {
                self.stale_connection_share *= STALE_SHARE_DECAY_PER_CLOSE;
                connection_idle = Micros(0);
                self.actions.push(Action::CloseIdle(id));
            } else if self.stale_connection_share <= STALE_SHARE_THRESHOLD / 2.0 {
                self.shortest_stale_idle = Micros(u64::MAX);
            }
            endpoint.in_flight += 1;
            endpoint.last_used = now;
            endpoint.health.record_call(now, endpoint_share, &self.settings);
        }
        let route_id = self.route_of(id).unwrap_or_default();
        if let Some(route) = self.routes.get_mut(&route_id) {
            let conditions = route.conditions(route_share, follows_demand, forwarders);
            route.slow_start.record_call(now, conditions, &self.settings);
            route.calls_sent.add(now, SENT_TIME_CONSTANT_S, 1.0);
            route.tokens -= 1.0;
            route.used_at = now;
        }
        let Message { tenant, destination, .. } = self.messages[&first];
        let expected_duration = self.delivery_times(destination).0.minus(now);
        self.scheduler.call_started(tenant, expected_duration);
        Call {
            endpoint: id,
            zone: Some(self.zone_of(id)),
            route: route_id,
            sent_at: now,
            overdue_at: now,
            connection_idle,
            tenant,
            expected_duration,
            ..Call::default()
        }
    }

    /// This forwarder's share of what the route of an endpoint takes, and of what the endpoint itself takes,
    /// in calls a second outside of a slow start.
    fn rate_shares(&self, id: EndpointId) -> (f64, f64) {
        let Some(route_id) = self.route_of(id) else { return (0.0, 0.0) };
        let route_share = self.rate_share(id);
        let endpoints =
            if route_id.1.is_some() { 1 } else { self.listed.get(&route_id.0).map_or(1, Vec::len) };
        (route_share, route_share / endpoints as f64)
    }

    /// When an endpoint may get its next call: after a retry-after (rule 6), and within the call budgets of
    /// the endpoint and of its route after an outage (rule 4). The budget is this forwarder's share of what
    /// the receiver takes after its outage, as if all forwarders had seen the outage; trial calls and
    /// rejected calls count. While the circuit is open, Timer A spaces the trial calls, too.
    fn allowed_at(&self, id: EndpointId) -> Micros {
        let (route_share, endpoint_share) = self.rate_shares(id);
        let route = self.route_of(id).and_then(|route| self.routes.get(&route));
        let Some(route) = route else { return self.now };
        let now = self.now;
        let endpoint_at = self.endpoints[&id].health.opens_at(now, endpoint_share, &self.settings);
        let follows_demand = self.known_rate(id).is_none();
        let conditions = route.conditions(route_share, follows_demand, self.forwarders.count);
        let route_at = route.slow_start.opens_at(now, conditions, &self.settings);
        endpoint_at.max(route_at).max(route.retry_after_until)
    }

    // ---- The guards of the six rules ----

    /// Rule 5: the message is the first of its order key, and the key has no backoff because of another
    /// message.
    fn is_next_of_key(&self, id: MessageId) -> bool {
        let Some(queue) = self.messages[&id].key.and_then(|key| self.keys.get(&key)) else { return true };
        let is_backing_off = queue.backoff_until > self.now && queue.backoff_exempt != Some(id);
        queue.order.front() == Some(&id) && !is_backing_off
    }

    /// Until when another attempt may be sent, given what earlier attempts may have done (rule 2).
    fn repeatable_until(&self, message: &Message) -> Micros {
        message.effect.repeatable_until(message.may_have_run.map(|(sent_at, ..)| sent_at))
    }

    /// Whether a message may be sent again at all (rules 1 and 2).
    fn may_repeat(&self, id: MessageId) -> bool {
        let message = &self.messages[&id];
        self.now.plus(TIMER_GRANULARITY) < self.repeatable_until(message)
            && !message.has_final_outcome
            && message.attempts < self.settings.max_attempts
            && message.deadline > self.now
    }

    /// Rules 3, 4 and 6: whether a call to this endpoint may be sent.
    fn call_allowed(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let not_ready_since = endpoint.not_ready_since;
        let drained = not_ready_since.is_some_and(|since| self.now.minus(since) >= self.settings.drain_grace);
        !drained && self.allowed_at(id) <= self.now
    }

    /// Rules 1, 2 and 5: whether a call to this endpoint may carry this message.
    fn message_allowed(&self, id: MessageId, endpoint_id: EndpointId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let endpoint = &self.endpoints[&endpoint_id];
        let in_key_scope = match (message.effect, message.may_have_run) {
            (Effect::Keyed { scope: KeyScope::Zone, .. }, Some((_, _, zone))) => zone == endpoint.zone,
            (Effect::Keyed { scope: KeyScope::Endpoint, .. }, Some((_, at, _))) => at == endpoint_id,
            _ => true,
        };
        let same_destination = endpoint.destination == message.destination;
        message.in_flight.is_none()
            && same_destination
            && in_key_scope
            && self.may_repeat(id)
            && self.is_next_of_key(id)
    }

    /// Sends a message in a call that was just opened; returns whether the rules allow it.
    fn add_to_call(&mut self, id: MessageId, call: &mut Call) -> bool {
        if !self.message_allowed(id, call.endpoint) {
            return false;
        }
        let Some(latency) = self.routes.get(&call.route).map(|route| &route.latency) else { return false };
        let is_known = |latency: &Latency| latency.recent.len() >= P95_WINDOW_CALLS / 2;
        let p95 = if is_known(latency) { latency.p95 } else { latency.p95.max(self.overall_latency.p95) };
        // A few fast answers do not show how long others take.
        let min_timeout = if is_known(&self.overall_latency) { TIMER_GRANULARITY } else { INITIAL_T1 };
        let usual_timeout = (p95 > 0.0).then_some(Micros((p95 * TIMEOUT_FACTOR) as u64).max(min_timeout));
        let leaves_by = self.repeatable_until(&self.messages[&id]);
        let Some(message) = self.messages.get_mut(&id) else { return false };
        let time_left = message.deadline.minus(self.now);
        // A time-out pays only if another attempt may follow, and hardly ever before the target time. An
        // unsafe message waits until its deadline, unless its slot is needed (see `cancel_overdue_call`).
        let class = &self.settings.classes[message.class];
        let repeatable_timeout =
            usual_timeout.map_or(time_left, |usual| usual.max(class.target_time).min(time_left));
        let is_unsafe = message.effect == Effect::Unsafe;
        let timeout = if is_unsafe && self.settings.can_cancel { time_left } else { repeatable_timeout };
        // While the usual duration of calls is unknown, a call that lasts longer than the target time may
        // hang.
        let overdue_after = if is_unsafe {
            repeatable_timeout
        } else {
            usual_timeout.unwrap_or(class.target_time).min(time_left)
        };
        let overdue_at = self.now.plus(overdue_after);
        call.has_first_attempt |= message.transmissions == 0;
        call.unfinished += 1;
        call.overdue_at = call.overdue_at.max(overdue_at);
        let attempt = message.attempts;
        message.in_flight = Some(AttemptInFlight { attempt, call: self.next_call, sent_at: self.now });
        message.attempts += 1;
        message.transmissions += 1;
        call.messages.push(id);
        self.waiting.remove(id);
        self.actions.push(Action::Send { id, endpoint: call.endpoint, timeout, leaves_by });
        true
    }
}
