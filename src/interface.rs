//! The types that pass in and out of a [`Dispatcher`](crate::Dispatcher): settings, events and actions.
//! They contain no decisions and are independent of the transport.

use crate::report::Report;
use crate::tenancy::Isolation;
use serde::{Deserialize, Serialize};

/// A point in time on the forwarder's clock, or a duration, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// A duration of `ms` milliseconds. A negative number and NaN count as zero.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1e3).round() as u64)
    }

    /// The value in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Saturating addition.
    pub fn plus(self, other: Self) -> Self {
        Micros(self.0.saturating_add(other.0))
    }

    /// Saturating subtraction: zero where `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// Identifies a message. An id is never reused for another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Identifies a destination outside of the process, served by one or more endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// Identifies one endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// The effect of delivering a message to its destination more than once. The default is the one under which
/// the least is allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm: the message may be sent any number of times.
    Safe,
    /// Receivers in `scope` drop repeats for `window`, counted from the first attempt that may have been
    /// executed.
    Keyed {
        /// The receivers that share the record of seen messages.
        scope: KeyScope,
        /// How long a receiver remembers the message.
        window: Micros,
    },
    /// The message must never take effect twice.
    #[default]
    Unsafe,
}

impl Effect {
    /// The effect under which no more is allowed than under either of the two.
    pub fn stricter(self, other: Effect) -> Effect {
        match (self, other) {
            (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
            (Effect::Safe, effect) | (effect, Effect::Safe) => effect,
            (
                Effect::Keyed { scope, window },
                Effect::Keyed { scope: others_scope, window: others_window },
            ) => Effect::Keyed { scope: scope.narrower(others_scope), window: window.min(others_window) },
        }
    }

    /// Until when another attempt may be sent if the first one that may have run was sent at this time, if any.
    pub fn repeatable_until(self, may_have_run_at: Option<Micros>) -> Micros {
        match (self, may_have_run_at) {
            (_, None) | (Effect::Safe, _) => Micros(u64::MAX),
            (Effect::Unsafe, Some(_)) => Micros(0),
            (Effect::Keyed { window, .. }, Some(sent_at)) => sent_at.plus(window),
        }
    }
}

/// The receivers that share one deduplication record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in one zone.
    Zone,
    /// A single endpoint.
    Endpoint,
}

impl KeyScope {
    /// The scope of fewer receivers.
    fn narrower(self, other: KeyScope) -> KeyScope {
        match (self, other) {
            (KeyScope::Endpoint, _) | (_, KeyScope::Endpoint) => KeyScope::Endpoint,
            (KeyScope::Zone, _) | (_, KeyScope::Zone) => KeyScope::Zone,
            (KeyScope::All, KeyScope::All) => KeyScope::All,
        }
    }
}

/// How the worth of a message decays after its target time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Linearly, down to the late share at the deadline.
    Linear,
    /// Halved with each further target time that passes, but never below the late share.
    Halving,
}

/// Settings of one class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The effect of repeating a message.
    pub effect: Effect,
    /// Messages with the same order key are sent one at a time.
    pub in_order: bool,
    /// A message delivered within this time of its first submission has its full worth.
    pub target_time: Micros,
    /// Time after the first submission until which a message may be delivered.
    pub deadline: Micros,
    /// Worth of a message delivered within its target time.
    pub worth: f64,
    /// Share of the worth that remains at the deadline.
    pub late_share: f64,
}

/// Settings of one kind of destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindSettings {
    /// Each endpoint of a destination is a separate route with its own limit, send rate and health.
    pub separate_routes: bool,
    /// Largest number of messages that one call may carry.
    pub batch: u32,
}

/// The meaning of the weight in an endpoint record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The weight has no meaning.
    Absent,
    /// Calls per second that the destination (or route) accepts from all forwarders together.
    Nominal,
    /// Like `Nominal`, but the value may be up to half too high or too low.
    Rough,
}

/// Settings of a dispatcher, given at its start and replaceable by [`Event::Settings`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Message classes, by index.
    pub classes: Vec<ClassSettings>,
    /// Destination kinds, by index.
    pub kinds: Vec<KindSettings>,
    /// The meaning of [`EndpointRecord::weight`].
    pub weights: Weights,
    /// How the worth of a message decays after its target time.
    pub worth_decay: WorthDecay,
    /// For each tenant, the messages per second over all forwarders that are within its share; empty without
    /// tenants.
    pub tenants: Vec<f64>,
    /// Each tenant's shares of the common resources, by index; empty where resources are not divided.
    pub isolation: Vec<Isolation>,
    /// Worth of a message beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Forwarders that share the destinations, including this one.
    pub forwarders: u32,
    /// Largest number of concurrent calls.
    pub slots: u32,
    /// Largest number of messages held at a time, in flight or not.
    pub max_messages: u32,
    /// Largest number of attempts for one message.
    pub max_attempts: u32,
    /// Attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// The endpoint list is delivered only after a subscription.
    pub must_subscribe: bool,
    /// Longest retry-after that clients obey.
    pub max_retry_after: Micros,
    /// Idle time after which a connection is closed.
    pub connection_idle: Micros,
    /// Time after which no more may be sent to a draining or removed endpoint.
    pub drain_grace: Micros,
    /// Least share of its capacity that a destination has directly after an outage.
    pub recovery_start_share: f64,
    /// Time after an outage until a destination has its full capacity again.
    pub recovery_time: Micros,
    /// A recovering destination fails again when it is sent more than this multiple of its present
    /// capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_window: Micros,
    /// Time that an order key is blocked after an attempt that may still be running.
    pub key_backoff: Micros,
}

/// Lifecycle state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// In service according to the list.
    Ready,
    /// No new messages may be sent to the endpoint.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One record of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its zone, by index.
    pub zone: u32,
    /// Its destination's kind, by index.
    pub kind: usize,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// Its weight: see [`Settings::weights`].
    pub weight: f64,
}

/// How much of the endpoint list an event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed records only.
    Changes,
    /// All records; an endpoint without a record is gone.
    Whole,
    /// All records as last cached; they may be stale.
    Cached,
    /// The list could not be fetched.
    Failed,
}

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint confirmed the delivery.
    Delivered,
    /// The endpoint answered with an error; the message may have taken effect.
    Error,
    /// The endpoint rejected the message without processing it.
    Rejected {
        /// Time for which nothing may be sent to the destination, where the answer contains one.
        retry_after: Option<Micros>,
    },
    /// No answer in time; the message may have been executed.
    TimedOut,
    /// No connection was established; the message was never executed.
    ConnectFailed,
    /// A new connection was rejected with an answer: the endpoint is at its connection limit. Never executed.
    ConnectionLimitReached,
    /// The connection broke; the message may have been executed.
    Reset,
    /// The answer could not be parsed; the message may have been executed. The endpoint is reachable.
    MalformedAnswer,
    /// The attempt was cancelled; the message may have been executed.
    Cancelled,
    /// The message was not sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the message was never executed.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::{ConnectFailed, ConnectionLimitReached, NotSent, Rejected};
        matches!(self, Rejected { .. } | ConnectFailed | ConnectionLimitReached | NotSent)
    }
}

/// A message as it is submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Its destination.
    pub destination: DestinationId,
    /// Time left in which it may be delivered.
    pub time_left: Micros,
    /// Its class, by index.
    pub class: usize,
    /// Its order key, if any.
    pub key: Option<u64>,
    /// Its tenant, by index.
    pub tenant: usize,
    /// The message is known to have been submitted before.
    pub resubmitted: bool,
}

/// What holds for a message that outlived the process that accepted it, or that comes again after it was
/// deferred: its effect, and the attempts already made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// The effect under which it was accepted; `None` if that is the one of its class.
    pub effect: Option<Effect>,
    /// Number of attempts made.
    pub attempts: u32,
    /// The first attempt that may have been executed: when it was sent, and to which endpoint.
    pub may_have_run: Option<(Micros, EndpointId)>,
}

/// Input of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointRecords(ListScope, Vec<EndpointRecord>),
    /// A new message.
    Message(MessageId, Submission),
    /// A message that was deferred after it may have run, and that its client submits again under its id.
    Resubmitted(MessageId, Submission, AttemptHistory),
    /// A message that an earlier process of this forwarder accepted and that has no final outcome yet.
    Restored(MessageId, Submission, AttemptHistory),
    /// An answer from an endpoint contained a retry-after for its destination, whatever the outcome of the
    /// call.
    RetryAfter(EndpointId, Micros),
    /// An answer from an endpoint reported its destination's limit. Comes before the outcome of the call.
    Report(EndpointId, Report),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
        /// The attempt outcome.
        outcome: AttemptOutcome,
        /// Time since the attempt was sent.
        spent: Micros,
        /// The message has its final outcome.
        closed: bool,
    },
    /// Replaces the settings. Classes, tenants and kinds keep their indices; new ones are appended.
    Settings(Box<Settings>),
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// The wake-up requested by [`Action::WakeIn`].
    Wake,
}

/// Output of a dispatcher: what the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a message.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint to send to.
        endpoint: EndpointId,
        /// Time after which to stop waiting for an answer.
        timeout: Micros,
        /// Latest time at which the last byte may be sent; later, nothing is sent. A connection may take long
        /// to be established, and a send that was allowed at the start of the call may no longer be allowed
        /// then.
        leaves_by: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final outcome: rejected. It is harmless to submit the message again after the retry-after.
    Reject {
        /// The message.
        id: MessageId,
        /// Time after which the client may submit the message again.
        retry_after: Micros,
    },
    /// Final outcome: failed.
    Fail(MessageId),
    /// Deliver an [`Event::Wake`] after this time.
    WakeIn(Micros),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// A log line for the operators.
    Log(String),
}
