//! A client that sends one request at a time on one connection; used for the discovery watch and for delivery
//! reports.

use super::http::{self, Parsed, Response};
use super::poll::{Peer, Poll};
use super::stream::Stream;
use crate::Micros;
use std::net::SocketAddr;

/// Delay before the next request after a failure.
const FAILURE_BACKOFF: Micros = Micros(100_000);
/// Extra time for an answer that has begun before its time-out: long answers arrive in pieces.
const STARTED_ANSWER_GRACE: Micros = Micros(1_000_000);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused, reset or closed, or the answer is malformed.
    Broken,
    /// The answer did not arrive before the time-out.
    TimedOut,
}

/// How many requests a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// One request after the other. An answer that comes twice counts for the next request as well, so the
    /// user has to recognize it.
    KeepAlive,
    /// Each request has a connection of its own.
    OneRequest,
}

/// An HTTP client with at most one connection.
pub struct Caller {
    peer: Peer,
    persistence: Persistence,
    /// Largest body of an answer.
    max_body: usize,
    address: SocketAddr,
    stream: Option<Stream>,
    token: u64,
    /// When the current request counts as unanswered.
    deadline: Option<Micros>,
    next_call_at: Micros,
}

impl Caller {
    /// Creates a client that is not connected yet.
    pub fn new(peer: Peer, address: SocketAddr, persistence: Persistence, max_body: usize) -> Caller {
        let (next_call_at, deadline) = (Micros(0), None);
        Caller { peer, persistence, max_body, address, stream: None, token: 0, deadline, next_call_at }
    }

    /// Replaces the limit of an answer's body.
    pub fn set_max_body(&mut self, max_body: usize) {
        self.max_body = max_body;
    }

    /// The limit of an answer's body.
    pub fn max_body(&self) -> usize {
        self.max_body
    }

    /// The address that requests go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Moves to another address and drops the current request. Returns whether the address has changed.
    pub fn move_to(&mut self, address: SocketAddr) -> bool {
        let moved = address != self.address;
        if moved {
            *self = Caller::new(self.peer, address, self.persistence, self.max_body);
        }
        moved
    }

    /// Closes the connection after an answer; the next request opens another one.
    pub fn disconnect(&mut self) {
        self.stream = None;
    }

    /// Sends no request for the given time.
    pub fn back_off(&mut self, now: Micros, backoff: Micros) {
        self.next_call_at = now.plus(backoff);
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self, now: Micros) -> bool {
        self.deadline.is_none() && now >= self.next_call_at
    }

    /// When the next action is due: a new request, or the time-out of the current one.
    pub fn due(&self, has_work: bool) -> Option<Micros> {
        self.answer_deadline().or(has_work.then_some(self.next_call_at))
    }

    /// When the current request counts as unanswered.
    fn answer_deadline(&self) -> Option<Micros> {
        let begun = self.stream.as_ref().is_some_and(|stream| !stream.input.is_empty());
        self.deadline.map(|deadline| {
            if begun && deadline > Micros(0) {
                deadline.plus(STARTED_ANSWER_GRACE)
            } else {
                deadline
            }
        })
    }

    /// Sends a request and waits for its answer until `deadline`. A failure to send is reported by
    /// `take_failure`.
    pub fn send(&mut self, poll: &mut Poll, request: &[u8], deadline: Micros) {
        self.deadline = Some(deadline);
        if self.stream.is_none() {
            self.token = poll.token(self.peer);
            self.stream = Stream::connect(poll, self.token, self.address).ok();
        }
        let sent = self.stream.as_mut().map(|stream| stream.send(poll, request));
        if !matches!(sent, Some(Ok(()))) {
            self.deadline = Some(Micros(0));
        }
    }

    /// Handles the connection when it is ready; returns the answer once it is complete.
    pub fn ready(&mut self, poll: &Poll, token: u64) -> Option<Response> {
        let stream = self.stream.as_mut().filter(|_| token == self.token)?;
        let broke = stream.ready(poll).is_err();
        let parsed = http::parse_response(&stream.input, stream.ended, self.max_body);
        match parsed {
            Parsed::Complete(answer, used) if self.deadline.is_some() => {
                tracing::debug!(
                    peer = ?self.peer,
                    connection = token,
                    status = answer.status,
                    bytes = used,
                    bytes_behind = stream.input.len() - used,
                    "answer received"
                );
                stream.consume(used);
                let unusable = broke || stream.ended || answer.close || !stream.input.is_empty();
                if unusable || self.persistence == Persistence::OneRequest {
                    self.stream = None;
                }
                self.deadline = None;
                return Some(answer);
            }
            Parsed::Partial { .. } if !broke && !stream.ended => {}
            _ => {
                tracing::debug!(
                    peer = ?self.peer,
                    connection = token,
                    broke,
                    ended = stream.ended,
                    unread = stream.input.len(),
                    call_in_progress = self.deadline.is_some(),
                    "connection closed"
                );
                self.stream = None;
                self.deadline = self.deadline.map(|_| Micros(0));
            }
        }
        None
    }

    /// Whether and how the current request has failed; the next one may be sent after a backoff.
    pub fn take_failure(&mut self, now: Micros) -> Option<Failure> {
        let deadline = self.answer_deadline().filter(|&deadline| deadline <= now)?;
        (self.stream, self.deadline) = (None, None);
        self.next_call_at = now.plus(FAILURE_BACKOFF);
        Some(if deadline == Micros(0) { Failure::Broken } else { Failure::TimedOut })
    }
}
