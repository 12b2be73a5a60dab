//! State machine of a client connection, without its socket: open, reading, idle, answering, closing,
//! lingering, gone.
//!
//! Each connection closes in the same steps: queued output is written, the sending side is shut down, and
//! further input is read and discarded until the client closes its side or a limit is reached. Closing a
//! socket that has unread input sends a reset, and a reset discards output that the client has not read yet.
//! Input that arrives after the decision to close is never accepted.

use crate::Micros;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Time after which a connection without a request in progress is closed: some clients send one request and
/// keep the connection open for good.
pub const IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// Time from the first byte of a request to its last (for the first request, from the opening of the
/// connection), and time within which the client reads an answer. Slower clients get a 408 or are
/// disconnected.
pub const REQUEST_TIMEOUT: Micros = Micros(2_000_000);
/// Time for which input is discarded after the last answer of a connection has been written.
pub const LINGER_TIMEOUT: Micros = Micros(1_000_000);
/// Limit on the input that is discarded, counted from the decision to close the connection.
pub const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// State of a client connection. It is serialized for the successor process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionState {
    /// Nothing has been received yet.
    Open {
        /// Time of opening.
        since: Micros,
    },
    /// A request has been received in part.
    Reading {
        /// Time of its first byte; for the first request, time of the connection's opening.
        since: Micros,
        /// Whether it is the connection's first request.
        first: bool,
    },
    /// Between two requests.
    #[serde(rename = "Resting")]
    Idle {
        /// Time of the last use.
        since: Micros,
    },
    /// The core is processing a complete request.
    Answering {
        /// Whether the connection closes after this answer.
        last: bool,
    },
    /// The last answer, if any, is queued; the sending side is shut down once it is written. Input is
    /// discarded.
    Closing {
        /// Time of the decision to close.
        since: Micros,
        /// Bytes discarded so far. Connections handed over by earlier versions do not contain this field.
        #[serde(default)]
        dropped: usize,
    },
    /// The sending side is shut down. Input is discarded.
    Lingering {
        /// Time of the shutdown.
        since: Micros,
        /// Bytes discarded so far.
        dropped: usize,
    },
    /// The socket can be closed.
    Gone,
}

/// What the owner of the socket does after a deadline check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlineAction {
    /// Nothing: the deadline has not passed.
    Wait,
    /// Answer 408 Request Timeout; the connection is closing.
    SendTimeout,
    /// Continue with the new state, which is closing or gone.
    End,
}

impl ConnectionState {
    fn closing(now: Micros) -> ConnectionState {
        ConnectionState::Closing { since: now, dropped: 0 }
    }

    /// State of a connection that has just been opened.
    pub fn open(now: Micros) -> ConnectionState {
        ConnectionState::Open { since: now }
    }

    /// Input arrived that is not a complete request yet.
    pub fn request_started(&mut self, now: Micros) {
        match *self {
            ConnectionState::Open { since } => *self = ConnectionState::Reading { since, first: true },
            ConnectionState::Idle { .. } => *self = ConnectionState::Reading { since: now, first: false },
            _ => {}
        }
    }

    /// A complete request arrived; `last` says whether the connection closes after its answer.
    pub fn request_received(&mut self, last: bool) {
        if self.accepts_requests() {
            *self = ConnectionState::Answering { last };
        }
    }

    /// The answer has been queued. Returns whether the connection is closing.
    pub fn response_queued(&mut self, now: Micros, leaving: bool) -> bool {
        if let ConnectionState::Answering { last } = *self {
            let ends = last || leaving;
            *self = if ends { ConnectionState::closing(now) } else { ConnectionState::Idle { since: now } };
        }
        self.is_closing()
    }

    /// Starts closing: no further request is accepted. A request that the core is processing is answered
    /// first.
    pub fn close(&mut self, now: Micros) {
        match *self {
            ConnectionState::Answering { .. } => *self = ConnectionState::Answering { last: true },
            ConnectionState::Open { .. } | ConnectionState::Reading { .. } | ConnectionState::Idle { .. } => {
                *self = ConnectionState::closing(now)
            }
            ConnectionState::Closing { .. } | ConnectionState::Lingering { .. } | ConnectionState::Gone => {}
        }
    }

    /// All queued output has been written. Returns whether the sending side is to be shut down now.
    pub fn output_flushed(&mut self, now: Micros) -> bool {
        let ConnectionState::Closing { dropped, .. } = *self else { return false };
        *self = ConnectionState::Lingering { since: now, dropped };
        true
    }

    /// Counts `count` bytes of discarded input.
    pub fn input_discarded(&mut self, count: usize) {
        if let ConnectionState::Closing { dropped, .. } | ConnectionState::Lingering { dropped, .. } = self {
            *dropped += count;
            if *dropped > MAX_DISCARDED_BYTES {
                *self = ConnectionState::Gone;
            }
        }
    }

    /// The client has shut down its sending side. Pending answers are still written.
    pub fn client_closed(&mut self, now: Micros, flushed: bool) {
        match *self {
            ConnectionState::Answering { .. } => *self = ConnectionState::Answering { last: true },
            ConnectionState::Gone => {}
            _ if flushed => *self = ConnectionState::Gone,
            ConnectionState::Closing { .. } => {}
            _ => *self = ConnectionState::closing(now),
        }
    }

    /// Whether requests are read from the connection.
    pub fn accepts_requests(&self) -> bool {
        matches!(
            self,
            ConnectionState::Open { .. } | ConnectionState::Reading { .. } | ConnectionState::Idle { .. }
        )
    }

    /// Whether the core is processing a request of the connection.
    pub fn is_answering(&self) -> bool {
        matches!(self, ConnectionState::Answering { .. })
    }

    /// Whether the connection is closing or gone, so that no further request is accepted.
    pub fn is_closing(&self) -> bool {
        matches!(
            self,
            ConnectionState::Closing { .. } | ConnectionState::Lingering { .. } | ConnectionState::Gone
        )
    }

    /// Whether a complete request has been received on the connection.
    pub fn has_received_request(&self) -> bool {
        !matches!(self, ConnectionState::Open { .. } | ConnectionState::Reading { first: true, .. })
    }

    /// Time at which the current state times out. Partial input or output does not extend it.
    pub fn deadline(&self, flushed: bool) -> Micros {
        match *self {
            ConnectionState::Answering { .. } => Micros(u64::MAX),
            ConnectionState::Open { since }
            | ConnectionState::Reading { since, .. }
            | ConnectionState::Closing { since, .. } => since.plus(REQUEST_TIMEOUT),
            ConnectionState::Idle { since } if !flushed => since.plus(REQUEST_TIMEOUT),
            ConnectionState::Idle { since } => since.plus(IDLE_TIMEOUT),
            ConnectionState::Lingering { since, .. } => since.plus(LINGER_TIMEOUT),
            ConnectionState::Gone => Micros(0),
        }
    }

    /// Applies the timeout of the current state once its deadline has passed.
    pub fn check_deadline(&mut self, now: Micros, flushed: bool) -> DeadlineAction {
        if now < self.deadline(flushed) {
            return DeadlineAction::Wait;
        }
        match *self {
            ConnectionState::Answering { .. } => DeadlineAction::Wait,
            // A client that has sent nothing gets no 408: it would take it as the answer to a request that it
            // is sending at this moment.
            ConnectionState::Reading { .. } if flushed => {
                *self = ConnectionState::closing(now);
                DeadlineAction::SendTimeout
            }
            ConnectionState::Open { .. } | ConnectionState::Idle { .. } if flushed => {
                *self = ConnectionState::closing(now);
                DeadlineAction::End
            }
            _ => {
                *self = ConnectionState::Gone;
                DeadlineAction::End
            }
        }
    }
}
