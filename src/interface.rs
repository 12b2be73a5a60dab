//! The types that pass in and out of a [`Dispatcher`](crate::Dispatcher): settings, events, actions.
//! Nothing here decides anything, and nothing here knows how a sender talks to its surroundings.

use crate::report::Report;
use crate::tenancy::Isolation;
use serde::{Deserialize, Serialize};

/// A point on the sender's clock, or a length of time, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// A length of so many milliseconds; what is not a positive number counts as zero.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1e3).round() as u64)
    }

    /// The same, in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// The sum, held at the largest value.
    pub fn plus(self, other: Self) -> Self {
        Micros(self.0.saturating_add(other.0))
    }

    /// The difference, held at zero.
    pub fn minus(self, other: Self) -> Self {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// A message; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// An outside destination: one partner, behind one or more endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// One endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// What repeating a message does at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be sent again at will.
    Safe,
    /// Repeats are dropped by receivers in `scope`, for `window` from the first send that may have run.
    Keyed {
        /// Which receivers drop repeats.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// It must never take effect twice.
    Unsafe,
}

/// The receivers that share the memory of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in one zone.
    Zone,
    /// A single endpoint.
    Endpoint,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Evenly, down to the late share at the deadline.
    Linear,
    /// By half with each further aim, but not under the late share.
    Halving,
}

/// One class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// What repeating does.
    pub effect: Effect,
    /// Messages with one order key go one at a time.
    pub in_order: bool,
    /// Delivered within this time of being first handed in, a message earns its full worth.
    pub target_time: Micros,
    /// The time in which it may be delivered at all.
    pub deadline: Micros,
    /// Worth of a message delivered in time.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_share: f64,
}

/// One kind of destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindSettings {
    /// The endpoints of a destination are routes with limits, pace and outages of their own.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub batch: u32,
}

/// What the listed rate of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    Absent,
    /// Calls a second that the destination (or route) takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// All that a sender is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of message, by index.
    pub classes: Vec<ClassSettings>,
    /// Kinds of destination, by index.
    pub kinds: Vec<KindSettings>,
    /// What the listed rates mean.
    pub weights: Weights,
    /// How worth falls after the aim.
    pub worth_decay: WorthDecay,
    /// For each tenant, the messages a second, over all senders, within its share; empty without tenants.
    pub tenants: Vec<f64>,
    /// What each tenant may use of what all share, by place; empty where nothing is parted.
    pub isolation: Vec<Isolation>,
    /// Worth of a message beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Senders that share the destinations, this one included.
    pub forwarders: u32,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held, sent or not.
    pub max_messages: u32,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub can_cancel: bool,
    /// The list of endpoints comes only to those who subscribe.
    pub must_subscribe: bool,
    /// Longest advice to stay away that a client follows.
    pub max_retry_after: Micros,
    /// Connections unused for so long are closed.
    pub connection_idle: Micros,
    /// Sends to a draining or gone endpoint must have ceased by then.
    pub drain_grace: Micros,
    /// Share of its capacity that a destination has at least after an outage.
    pub recovery_start_share: f64,
    /// Time after which it has all of it.
    pub recovery_time: Micros,
    /// It falls over when sent more than this many times its present capacity...
    pub overload_multiple: f64,
    /// ...for so long.
    pub overload_window: Micros,
    /// How long an order key rests after an attempt that may still be running.
    pub key_backoff: Micros,
}

/// Where an endpoint stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// In service, as far as the list knows.
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of endpoints.
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
    /// Where it stands.
    pub lifecycle: Lifecycle,
    /// See [`Settings::weights`].
    pub weight: f64,
}

/// How much of the list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// All entries; who is missing is gone.
    Whole,
    /// All entries as last held, perhaps stale.
    Cached,
    /// A call for the list failed.
    Failed,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen, with the wait told, if any.
    Rejected {
        /// Nothing may be sent there for so long.
        retry_after: Option<Micros>,
    },
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// A connection came up and was turned away with a word: the endpoint holds all that it takes. Never ran.
    ConnectionLimitReached,
    /// The connection broke; may have run.
    Reset,
    /// Answered with what cannot be read; may have run. The receiver is there.
    MalformedAnswer,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it proves that the message never ran.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::{ConnectFailed, ConnectionLimitReached, NotSent, Rejected};
        matches!(self, Rejected { .. } | ConnectFailed | ConnectionLimitReached | NotSent)
    }
}

/// A message as it is handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Where it must go.
    pub destination: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// Its class, by index.
    pub class: usize,
    /// Its order key, if any.
    pub key: Option<u64>,
    /// Its tenant, by index.
    pub tenant: usize,
    /// It is known to have been handed in before.
    pub resubmitted: bool,
}

/// What is known of a message that outlived the process that took it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// Attempts that it has had.
    pub attempts: u32,
    /// The first attempt that may have run: when it was sent, and where to.
    pub may_have_run: Option<(Micros, EndpointId)>,
}

/// What a sender hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list.
    EndpointRecords(ListScope, Vec<EndpointRecord>),
    /// A new message.
    Message(MessageId, Submission),
    /// A message that an earlier process of this sender took on and did not end.
    Restored(MessageId, Submission, AttemptHistory),
    /// An answer told to send nothing to an endpoint's destination for so long, whatever became of its call.
    RetryAfter(EndpointId, Micros),
    /// An answer told of the limit of an endpoint's destination; comes before what became of its call.
    Report(EndpointId, Report),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Which attempt, from 0 in the order of sending.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        spent: Micros,
        /// The message has had its final answer.
        closed: bool,
    },
    /// Other settings from now on. Classes, tenants and kinds keep their places; new ones follow them.
    Settings(Box<Settings>),
    /// Nobody wants this message any more.
    Withdrawn(MessageId),
    /// A wake-up asked for earlier.
    Wake,
}

/// What a sender shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a message.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// When to stop waiting for it.
        timeout: Micros,
        /// Its last byte leaves before that moment, or none does: a connection may be long in coming up, and what was allowed
        /// when the call began is not any more.
        leaves_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: handed back, harmless to hand in again after the wait.
    Reject {
        /// The message.
        id: MessageId,
        /// How long to stay away.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(MessageId),
    /// Bring a [`Event::Wake`] after so long.
    WakeIn(Micros),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Subscribe to the list of endpoints.
    Subscribe,
    /// A line for those on call.
    Log(String),
}
