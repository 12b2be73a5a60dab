//! State of the dispatcher, in a form that is serialized for a handover to the successor process, and the
//! arithmetic of its counters. The field names on the wire are those of the `rename` attributes.
//!
//! No decision is made here, and no tuning constant is defined here: those are in `src/choice.rs`.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A destination or, where each endpoint of it is a route of its own, one of its endpoints.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// Circuit breaker of an endpoint or a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum CircuitState {
    /// Calls get through.
    #[default]
    #[serde(rename = "Up")]
    Closed,
    /// Calls fail; only sparse trial calls are sent.
    #[serde(rename = "Out")]
    Open,
    /// Calls get through again since that time; the receiver is still in slow start.
    #[serde(rename = "Back")]
    Recovering(Micros),
}

impl CircuitState {
    /// Name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            CircuitState::Closed => "closed",
            CircuitState::Open => "open",
            CircuitState::Recovering(_) => "recovering",
        }
    }
}

/// A message without a final outcome, or with an attempt in flight.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    pub destination: DestinationId,
    /// Class, by index.
    pub class: usize,
    /// Order key.
    pub key: Option<u64>,
    #[serde(rename = "taken")]
    pub accepted_at: Micros,
    pub deadline: Micros,
    /// A delivery by that time earns the full worth of the class.
    #[serde(rename = "aim")]
    pub target_at: Micros,
    /// Tenant, by index.
    pub tenant: usize,
    /// The effect of repeating it, as it was in its class when the message was accepted. The journal has it, so
    /// it is not handed over here.
    #[serde(skip)]
    pub effect: Effect,
    /// Attempts started; the number of the next one.
    pub attempts: u32,
    /// Attempts started, without those that never left this process.
    #[serde(rename = "tries")]
    pub transmissions: u32,
    /// End of the backoff after the last attempt.
    pub ready_at: Micros,
    /// Clock of Timer B, in microseconds: attempts and backoffs. It stands still while the message waits for
    /// its route.
    #[serde(rename = "spent")]
    pub timer_b_elapsed: f64,
    /// The attempt in flight: one at the most.
    #[serde(rename = "out")]
    pub in_flight: Option<AttemptInFlight>,
    /// The first attempt that may have run: when it was sent, to which endpoint, and the zone of that
    /// endpoint.
    pub may_have_run: Option<(Micros, EndpointId, u32)>,
    /// The final outcome is known.
    #[serde(rename = "closed")]
    pub has_final_outcome: bool,
    /// The message was recovered from the journal at the start of the process.
    #[serde(rename = "found")]
    pub recovered: bool,
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug, Copy, Serialize, Deserialize)]
pub struct AttemptInFlight {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Number of the call that carries it.
    pub call: u64,
    pub sent_at: Micros,
}

/// A call in flight, with the messages that it carries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Call {
    pub endpoint: EndpointId,
    /// Zone of the endpoint when the call was sent. Absent in a handover from an older version.
    pub zone: Option<u32>,
    #[serde(rename = "lane")]
    pub route: RouteId,
    /// Attempts of this call that have not ended.
    #[serde(rename = "left")]
    pub unfinished: u32,
    /// It carries the first attempt of a message.
    #[serde(rename = "first")]
    pub has_first_attempt: bool,
    pub sent_at: Micros,
    /// From that time on the call may be cancelled to free its slot for another message.
    pub overdue_at: Micros,
    /// How long its connection had been idle; zero for a new or a busy connection.
    #[serde(rename = "idle")]
    pub connection_idle: Micros,
    /// Tenant whose message opened the call.
    pub tenant: usize,
    /// How long the call was expected to occupy its slot.
    #[serde(rename = "expected")]
    pub expected_duration: Micros,
    #[serde(rename = "carries")]
    pub messages: Vec<MessageId>,
}

/// An endpoint that the endpoint list has named.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    pub destination: DestinationId,
    /// Zone, by index.
    pub zone: u32,
    /// Kind of its destination, by index.
    pub kind: usize,
    /// Listed rate, in calls a second; see [`Settings::weights`].
    pub weight: f64,
    /// Since when the list no longer has it as ready (draining, gone or missing).
    #[serde(rename = "told_off")]
    pub not_ready_since: Option<Micros>,
    pub health: Health,
    #[serde(rename = "bad")]
    pub failures_in_a_row: u32,
    /// Malformed answers in a row.
    #[serde(rename = "spoilt")]
    pub malformed_in_a_row: u32,
    #[serde(rename = "good")]
    pub successes_in_a_row: u32,
    /// Calls in flight.
    pub in_flight: u32,
    /// When a call to it last began or ended; zero after its idle connections were closed.
    pub last_used: Micros,
    /// Idle time of a connection on which a call failed; cleared when a call on a new connection ends.
    #[serde(rename = "suspect")]
    pub failed_after_idle: Option<Micros>,
}

impl Endpoint {
    /// An endpoint of which nothing has been observed.
    pub fn new(record: &EndpointRecord) -> Endpoint {
        let &EndpointRecord { destination, zone, kind, .. } = record;
        Endpoint { destination, zone, kind, ..Endpoint::default() }
    }

    /// Whether a record gives the endpoint the same destination, zone and kind.
    pub fn is_described_by(&self, record: &EndpointRecord) -> bool {
        (self.destination, self.zone, self.kind) == (record.destination, record.zone, record.kind)
    }
}

/// Circuit breaker, and the budget of calls (rule 4) while it is open or recovering.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Health {
    #[serde(rename = "phase")]
    pub circuit: CircuitState,
    /// Since the last served call it answered with an error, or its rejections opened the circuit.
    pub refusing: bool,
    /// When a call was last served.
    pub served_at: Micros,
    /// When a call was last sent.
    pub called_at: Micros,
    /// Token bucket of the call budget.
    pub tokens: f64,
    /// When the token bucket was last filled.
    pub filled_at: Micros,
}

/// What a forwarder knows of the outages of a route, and its budget of calls after one (rule 4). Independent
/// of the circuit breaker, which decides by what is likely; this holds for what is possible.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowStart {
    /// When a call last failed or was rejected, unless a call that was sent later has been served.
    pub failed_at: Option<Micros>,
    /// Since then, errors or rejections were so many that an outage may have served calls in between.
    pub refusing: bool,
    /// The circuit of the route has been open since the last slow start.
    pub confirmed: bool,
    /// Connections rejected at the receiver's limit since a call was last served.
    pub connection_rejections: u32,
    /// When a call was last served.
    pub served_at: Micros,
    /// This forwarder's share of the receiver's capacity when the calls began to fail, in calls a second.
    pub share_before: f64,
    /// Exponentially weighted share of calls that ended with an error.
    pub error_share: f64,
    /// When a call was first served after an outage.
    pub recovering_since: Option<Micros>,
    /// When a call was last served while many others ended with an error: the outage may have gone on till then.
    pub outage_possible_until: Micros,
    /// When a call was last sent.
    pub called_at: Micros,
    /// Token bucket of the call budget.
    pub tokens: f64,
    /// When the token bucket was last filled.
    pub filled_at: Micros,
}

/// Latency of served calls, in microseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    /// Exponentially weighted mean.
    pub mean: Option<f64>,
    /// 95th percentile of `recent`.
    pub p95: f64,
    pub recent: VecDeque<u64>,
}

/// A count that decays exponentially with time.
#[derive(Clone, Debug, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DecayingCount {
    pub value: f64,
    /// When `value` was current.
    #[serde(rename = "at")]
    pub updated_at: Micros,
}

/// What the forwarder has observed of one route: the estimator of formula (10), the send rate and the health.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    pub latency: Latency,
    /// Ended attempts.
    pub attempts: DecayingCount,
    /// Attempts that ended without an answer.
    pub lost: DecayingCount,
    /// Ended first attempts.
    #[serde(rename = "firsts")]
    pub first_attempts: DecayingCount,
    /// Ended repeats.
    pub repeats: DecayingCount,
    /// Calls a second; infinite until the first rejection.
    #[serde(rename = "pace")]
    pub send_rate: f64,
    /// Token bucket of the send rate.
    pub tokens: f64,
    /// When the token bucket was last filled.
    pub filled_at: Micros,
    /// Calls sent.
    #[serde(rename = "rate")]
    pub calls_sent: DecayingCount,
    /// Reported limit for all forwarders together, exponentially weighted, in calls a second; 0 if none is
    /// reported.
    #[serde(rename = "limit")]
    pub reported_limit: f64,
    /// Share of the limit that was still unused by the last report.
    #[serde(rename = "left")]
    pub reported_unused: f64,
    #[serde(rename = "told_at")]
    pub limit_reported_at: Micros,
    /// When the send rate was last cut.
    #[serde(rename = "cut_at")]
    pub rate_cut_at: Micros,
    /// End of the last retry-after.
    #[serde(rename = "wait_until")]
    pub retry_after_until: Micros,
    #[serde(rename = "fulls")]
    pub rejections_in_a_row: u32,
    pub health: Health,
    pub slow_start: SlowStart,
    /// Messages accepted for this route.
    pub demand: DecayingCount,
    /// When a call was last sent, or when the route was first used.
    pub used_at: Micros,
}

/// Messages of one order key, and the backoff of the key after an attempt that may still be running.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyQueue {
    pub order: VecDeque<MessageId>,
    #[serde(rename = "rest_until")]
    pub backoff_until: Micros,
    /// The message whose attempt caused the backoff; the backoff does not apply to it.
    #[serde(rename = "rest_for")]
    pub backoff_exempt: Option<MessageId>,
}

impl DecayingCount {
    /// The decayed value at `now`.
    pub fn value_at(&self, now: Micros, time_constant_s: f64) -> f64 {
        self.value * (-seconds(now.minus(self.updated_at)) / time_constant_s).exp()
    }

    pub fn add(&mut self, now: Micros, time_constant_s: f64, increment: f64) {
        *self = DecayingCount { value: self.value_at(now, time_constant_s) + increment, updated_at: now };
    }

    /// The ratio of this count to `whole`; zero if `whole` is zero.
    pub fn ratio_to(&self, whole: &DecayingCount, now: Micros, time_constant_s: f64) -> f64 {
        let whole = whole.value_at(now, time_constant_s);
        if whole > 0.0 {
            self.value_at(now, time_constant_s) / whole
        } else {
            0.0
        }
    }
}

/// A duration in seconds.
pub fn seconds(time: Micros) -> f64 {
    time.0 as f64 / 1e6
}

/// A duration given in seconds, rounded up to a whole microsecond.
pub fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6).ceil() as u64)
}

impl Latency {
    /// Adds the latency of one call. `gain` is its weight in the mean; the p95 covers the last `window`
    /// calls.
    pub fn add(&mut self, latency: Micros, gain: f64, window: usize) {
        let latency_us = latency.0 as f64;
        self.mean = Some(self.mean.map_or(latency_us, |mean| mean + gain * (latency_us - mean)));
        self.recent.push_back(latency.0);
        if self.recent.len() > window {
            self.recent.pop_front();
        }
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        self.p95 = sorted[(sorted.len() * 95).div_ceil(100) - 1] as f64;
    }
}

/// Orders messages by urgency; of equals, the oldest is the greater.
pub fn by_urgency(a: &(f64, MessageId), b: &(f64, MessageId)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
}
