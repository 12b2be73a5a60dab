//! Inputs and outputs of the engine, independent of any protocol.

use super::{CallId, Token};
use crate::journal::{FinalOutcome, IdScope};
use crate::report::Report;
use crate::{AttemptOutcome, DestinationId, EndpointId, EndpointRecord, ListScope, MessageId, Micros};
use std::rc::Rc;

/// A message submitted at a front.
#[derive(Clone, Debug)]
pub struct MessageSubmission {
    /// Returned with the reply.
    pub token: Token,
    /// The front.
    pub front: u8,
    /// The scope in which its id is unique.
    pub id_scope: IdScope,
    /// Whether a delivery is reported, too.
    pub report_delivery: bool,
    /// Tenant, by index: see [`crate::directory::Directory`].
    pub tenant: usize,
    /// Class, by index.
    pub class: usize,
    /// Destination.
    pub destination: DestinationId,
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// Time in which it may still be delivered.
    pub time_left: Micros,
    /// It was submitted before.
    pub resubmitted: bool,
    /// Data that the front needs to report the final outcome.
    pub origin: Rc<[u8]>,
    /// The payload.
    pub body: Rc<[u8]>,
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message is submitted.
    Submission(MessageSubmission),
    /// Changes of the endpoint records, or a whole list.
    EndpointRecords(ListScope, Vec<EndpointRecord>),
    /// The last byte of a call has been written.
    Written(CallId),
    /// A call, or a part of it, was answered.
    Answered {
        /// The call.
        call: CallId,
        /// For each answered item: its index in the call, its outcome, and whether the endpoint closed the
        /// message, so that it needs no further attempt.
        results: Vec<(usize, AttemptOutcome, bool)>,
        /// Retry-after of the endpoint. Applies whatever the outcomes are.
        wait: Option<Micros>,
    },
    /// The load report in an endpoint's answer. Comes before the outcome of the call.
    Report(EndpointId, Report),
    /// A retry-after in the head of an answer that has not arrived completely. It applies at once, whatever
    /// happens to the rest of the answer and to the call.
    RetryAfter(EndpointId, Micros),
    /// The connection of a call broke, or could not be opened.
    ConnectionFailed(CallId),
    /// The answer to a call is malformed, or does not end.
    MalformedAnswer(CallId),
    /// The front has delivered the report of a final outcome.
    OutcomeReported(MessageId),
    /// Nothing is sent to an endpoint for this time, although it gave no retry-after: many forwarders start
    /// at once (see `startup::ramp`).
    HoldBack(EndpointId, Micros),
    /// The submissions of a tenant are rejected from now on, or no longer.
    Pause(usize, bool),
    /// No further call may start: the process is about to end.
    StopCalls,
}

/// One message in an ordered call.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// Its class, by index.
    pub class: usize,
    /// The payload.
    pub body: Rc<[u8]>,
}

/// The reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Accepted, and in the journal.
    Accepted,
    /// Rejected; it may safely be submitted again after this time.
    Rejected(Micros),
    /// It repeats a message that has ended.
    AlreadyEnded(FinalOutcome),
    /// Its id belongs to another message.
    IdConflict,
    /// Its class, tenant or destination is unknown.
    Unknown,
}

/// What the network layer has to do, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a submission.
    Reply(Token, u8, Reply),
    /// Start a call.
    Call {
        /// The call.
        call: CallId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its time-out.
        wait: Micros,
        /// Nothing of the call is written if its connection is not open before this time.
        leaves_by: Micros,
        /// Its messages.
        items: Vec<Item>,
    },
    /// Abort a call: close its connection at once.
    Abort(CallId),
    /// Report a message's final outcome to its front, which confirms with [`Input::OutcomeReported`].
    ReportOutcome {
        /// The message.
        message: MessageId,
        /// The front.
        front: u8,
        /// Its tenant, by index.
        tenant: usize,
        /// Its id at the client.
        id: Rc<[u8]>,
        /// Data that the front gave with the submission.
        origin: Rc<[u8]>,
        /// Its final outcome.
        outcome: FinalOutcome,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Write a log line for operators.
    Log(String),
}

/// Counts of a tenant for the administration API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accepted submissions.
    pub accepted: u64,
    /// Rejected submissions.
    pub rejected: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages ended as undeliverable.
    pub undeliverable: u64,
    /// Messages ended as deferred.
    pub deferred: u64,
    /// Messages that are open at present.
    pub open: u64,
}

/// A message as the administration API shows it.
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
    /// An attempt is in progress.
    pub in_flight: bool,
    /// Its final outcome, if the report to the front is still owed.
    pub outcome: Option<FinalOutcome>,
    /// Time left.
    pub time_left: Micros,
}
