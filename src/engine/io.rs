//! What goes into the core and what comes out of it, in terms that no wire is known by.

use super::{CallId, Token};
use crate::journal::{FinalOutcome, IdScope};
use crate::report::Report;
use crate::{AttemptOutcome, DestinationId, EndpointId, EndpointRecord, ListScope, MessageId, Micros};
use std::rc::Rc;

/// A flow handed in at a front.
#[derive(Clone, Debug)]
pub struct MessageSubmission {
    /// Comes back with the reply.
    pub token: Token,
    /// The front.
    pub front: u8,
    /// Within what its id is its own.
    pub id_scope: IdScope,
    /// Whether a delivery shall be told too.
    pub report_delivery: bool,
    /// Tenant, by place: see [`crate::directory::Directory`].
    pub tenant: usize,
    /// Class, by place.
    pub class: usize,
    /// Destination.
    pub destination: DestinationId,
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// It was handed in before.
    pub resubmitted: bool,
    /// What the front needs to tell the end.
    pub origin: Rc<[u8]>,
    /// What is delivered.
    pub body: Rc<[u8]>,
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// A flow is handed in.
    Submission(MessageSubmission),
    /// News of the list of service entries.
    EndpointRecords(ListScope, Vec<EndpointRecord>),
    /// The last byte of a call has been written.
    Written(CallId),
    /// A call, or some of it, has been answered: places in the order, with their outcomes, and whether the flow
    /// is over. `wait` binds whatever the outcomes are.
    Answered {
        /// The call.
        call: CallId,
        /// Place in the order, outcome, over.
        results: Vec<(usize, AttemptOutcome, bool)>,
        /// Nothing may be sent there for so long.
        wait: Option<Micros>,
    },
    /// An endpoint's answer told of a limit; comes before what became of its call.
    Report(EndpointId, Report),
    /// An endpoint's answer told to wait, in a head of which not all has come: it binds from then on, whatever becomes of
    /// the answer and of its call.
    RetryAfter(EndpointId, Micros),
    /// The connection of a call broke, or never came up.
    ConnectionFailed(CallId),
    /// The answer to a call cannot be read, or does not end.
    MalformedAnswer(CallId),
    /// The front has told an end.
    OutcomeReported(MessageId),
    /// Nothing goes to a destination for so long, though it told no wait itself: many start (see `startup::ramp`).
    HoldBack(EndpointId, Micros),
    /// A tenant is turned down from now on, or no longer.
    Pause(usize, bool),
    /// No call may begin any more: the process is near its end.
    StopCalls,
}

/// One flow in an ordered call.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// Its class, by index.
    pub class: usize,
    /// What is delivered.
    pub body: Rc<[u8]>,
}

/// What an offer hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Taken on, and in the journal.
    Accepted,
    /// Turned down; handing it in again after so long is harmless.
    Rejected(Micros),
    /// It is a repeat of a flow that has ended.
    AlreadyEnded(FinalOutcome),
    /// Its id is that of another flow.
    IdConflict,
    /// Its class, tenant or destination is unknown.
    Unknown,
}

/// What the wires shall do, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer an offer.
    Reply(Token, u8, Reply),
    /// Start a call.
    Call {
        /// The call.
        call: CallId,
        /// Where to.
        endpoint: EndpointId,
        /// How long it will be waited for.
        wait: Micros,
        /// Where its connection comes up only then or later, nothing of it is written.
        leaves_by: Micros,
        /// What it carries.
        items: Vec<Item>,
    },
    /// Give up a call: end its connection at once.
    Abort(CallId),
    /// Tell a front the end of a flow; [`Input::OutcomeReported`] ends the debt.
    ReportOutcome {
        /// The flow.
        message: MessageId,
        /// The front.
        front: u8,
        /// Its tenant, by index.
        tenant: usize,
        /// Its id at the client.
        id: Rc<[u8]>,
        /// What the front asked to have back.
        origin: Rc<[u8]>,
        /// How it ended.
        outcome: FinalOutcome,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// A line for those on call.
    Log(String),
}

/// Counts for the administration, by tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offers taken on.
    pub accepted: u64,
    /// Offers turned down.
    pub rejected: u64,
    /// Flows delivered.
    pub delivered: u64,
    /// Flows ended as undeliverable.
    pub undeliverable: u64,
    /// Flows ended as deferred.
    pub deferred: u64,
    /// Flows that are open just now.
    pub open: u64,
}

/// A flow as the administration sees it.
#[derive(Clone, Debug)]
pub struct MessageView {
    /// Tenant, by index.
    pub tenant: usize,
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Class, by index.
    pub class: usize,
    /// Destination.
    pub destination: u64,
    /// Attempts so far.
    pub attempts: u32,
    /// An attempt is out.
    pub in_flight: bool,
    /// How it ended, where its front is still to be told.
    pub outcome: Option<FinalOutcome>,
    /// Time left.
    pub time_left: Micros,
}
