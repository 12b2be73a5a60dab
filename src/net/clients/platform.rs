//! The HTTP/1.1 front: each request submits one message.

mod handover;
mod limits;
mod submission;

use super::life::{ConnectionState, DeadlineAction};
use crate::directory::Directory;
use crate::engine::{Input, Reply, Token};
use crate::journal::FinalOutcome;
use crate::lifecycle::Connections;
use crate::net::http::{self, Parsed, RequestParser};
use crate::net::poll::{Hangup, Peer, Poll};
use crate::net::stream::{self, Stream};
use crate::Micros;
pub use handover::HandedClientConnection;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use submission::parse_submission;

/// Share of the connection limit that idle connections may fill. If each client kept its connection after one
/// request, new clients would find no connection free although the forwarder is idle.
const MAX_IDLE_SHARE: f64 = 0.3;
/// Interval between the sweeps that time out connections.
const SWEEP_INTERVAL: Micros = Micros(250_000);
/// Age up to which a new connection may have its first request in flight. It is below the half second that a
/// drain leaves until operators expect all connections to be closed.
const FIRST_REQUEST_GRACE: Micros = Micros(300_000);
/// Input that may be buffered behind a request that the core is processing: one more request.
const MAX_BUFFERED_INPUT: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// Requests of one connection that are handled in one iteration, and reads of it, so that a client that sends
/// at full speed leaves time for the others.
const MAX_REQUESTS_PER_ITERATION: usize = 16;
const MAX_READS_PER_ITERATION: usize = 6;
/// Connections accepted in one iteration; the others wait for the next.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Retry-after, in seconds, of a client that is rejected for lack of memory or connections.
const OVERLOAD_RETRY_AFTER: &str = "0.5";

struct ClientConnection {
    stream: Stream,
    parser: RequestParser,
    state: ConnectionState,
    /// The listener that accepted it has moved: it closes after the next answer.
    leaving: bool,
    /// `100 Continue` has been sent for the current request.
    continued: bool,
    /// The client has ended its sending side, or the whole connection. One request is answered, in case that it
    /// waits for the answer; others that it sent at once are not accepted, as it has probably left.
    sends_no_more: bool,
    used_at: Micros,
    /// Bytes that its buffers took when the indexes were last updated.
    buffered_bytes: usize,
    index_keys: IndexKeys,
}

/// Why the socket of a connection is closed, for the log. The state tells what the connection was doing.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    /// The closing steps are complete, or its state has timed out.
    Closed,
    /// The client has reset or closed the connection: nothing can be sent to it any more.
    ClientGone,
    /// A read or a write failed.
    Broken,
    /// It was unused and made room for another connection.
    MadeRoom,
    /// The buffers of all connections take too much memory.
    LackOfMemory,
}

/// Eviction order: closing connections first (such as those whose client made an error), then those without a
/// request so far, then the least recently used.
type EvictionRank = (bool, bool, Micros);

/// Keys under which a connection is stored in the indexes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct IndexKeys {
    deadline: Micros,
    rank: EvictionRank,
    /// Whether it is between two requests.
    is_idle: bool,
    buffered: BufferRank,
}

/// Order in which connections are closed for lack of memory: those with the largest buffers first, among
/// similar ones the one that has not been used for longest.
type BufferRank = (usize, Reverse<Micros>);

/// Buffers that differ by less than this number of bytes are similar.
const SIMILAR_BUFFER_BYTES: usize = 4096;

/// The HTTP front. A request and a loop iteration each cost a few look-ups, however many connections are
/// held.
pub struct HttpFront {
    /// None once no more connections are accepted.
    listener: Option<TcpListener>,
    connections: BTreeMap<u64, ClientConnection>,
    /// Connections by the deadline of their state.
    deadlines: BTreeSet<(Micros, u64)>,
    /// Connections without a request in the core, in eviction order.
    eviction_order: BTreeSet<(EvictionRank, u64)>,
    /// Connections between two requests, by time of last use.
    idle: BTreeSet<(Micros, u64)>,
    /// Connections with buffered bytes, in the order in which lack of memory closes them, largest last.
    by_buffer: BTreeSet<(BufferRank, u64)>,
    /// Bytes that the buffers of all connections take, and the most that they may take.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    /// Bytes of the bodies submitted in this iteration.
    submitted_bytes: usize,
    /// Connections whose buffered requests are handled in the next iteration.
    unfinished: BTreeSet<u64>,
    /// Connections that were rejected as there were too many.
    rejected_connections: u64,
    /// Connections that were closed as the buffers of all took too much memory.
    closed_for_memory: u64,
    directory: Rc<Directory>,
    max_connections: usize,
    /// Connections of other peers, which take descriptors from those of clients.
    other_connections: usize,
    last_sweep: Micros,
    /// Number of pending connections that could not be accepted.
    pub listener_failures: u64,
    /// What `GET /ready` answers.
    pub is_ready: bool,
    /// How connections are treated in the current lifecycle stage.
    pub connection_policy: Connections,
}

impl HttpFront {
    /// Creates the front. The listener is already registered with the poll.
    pub fn new(
        listener: TcpListener,
        directory: Rc<Directory>,
        max_connections: usize,
        max_buffered_bytes: usize,
    ) -> HttpFront {
        HttpFront {
            listener: Some(listener),
            connections: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            eviction_order: BTreeSet::new(),
            idle: BTreeSet::new(),
            by_buffer: BTreeSet::new(),
            buffered_bytes: 0,
            max_buffered_bytes,
            submitted_bytes: 0,
            unfinished: BTreeSet::new(),
            rejected_connections: 0,
            closed_for_memory: 0,
            directory,
            max_connections,
            other_connections: 0,
            last_sweep: Micros(0),
            listener_failures: 0,
            is_ready: false,
            connection_policy: Connections::KeepOpen,
        }
    }

    /// Moves a connection to its current place in the indexes.
    fn update_indexes(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let is_idle = matches!(connection.state, ConnectionState::Idle { .. });
        let rank =
            (!connection.state.is_closing(), connection.state.has_received_request(), connection.used_at);
        let buffered_bytes = connection.stream.buffered_bytes();
        self.buffered_bytes += buffered_bytes;
        self.buffered_bytes -= std::mem::replace(&mut connection.buffered_bytes, buffered_bytes);
        let buffered = (buffered_bytes.div_ceil(SIMILAR_BUFFER_BYTES), Reverse(connection.used_at));
        let deadline = connection.state.deadline(connection.stream.flushed());
        let new = IndexKeys { deadline, rank, is_idle, buffered };
        if new == connection.index_keys {
            return;
        }
        let (old, is_answering) =
            (std::mem::replace(&mut connection.index_keys, new), connection.state.is_answering());
        self.remove_from_indexes(token, old);
        if new.deadline < Micros(u64::MAX) {
            self.deadlines.insert((new.deadline, token));
        }
        if !is_answering {
            self.eviction_order.insert((new.rank, token));
        }
        if new.is_idle {
            self.idle.insert((new.rank.2, token));
        }
        if new.buffered.0 > 0 && !is_answering {
            self.by_buffer.insert((new.buffered, token));
        }
    }

    fn remove_from_indexes(&mut self, token: u64, keys: IndexKeys) {
        self.deadlines.remove(&(keys.deadline, token));
        self.eviction_order.remove(&(keys.rank, token));
        self.idle.remove(&(keys.rank.2, token));
        self.by_buffer.remove(&(keys.buffered, token));
    }

    /// Closes the socket of a connection and forgets it.
    fn remove(&mut self, token: u64, reason: CloseReason) {
        if let Some(connection) = self.connections.remove(&token) {
            tracing::debug!(
                connection = token,
                state = ?connection.state,
                unread = connection.stream.input.len(),
                ?reason,
                "client connection closed"
            );
            self.buffered_bytes -= connection.buffered_bytes;
            self.unfinished.remove(&token);
            self.remove_from_indexes(token, connection.index_keys);
        }
    }

    /// The listener, to be handed over to the successor process.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether any client has unread input. Visits all connections; called only near the end of the process.
    pub fn has_unread_input(&self) -> bool {
        !self.unfinished.is_empty() || self.connections.values().any(ClientConnection::has_unread_input)
    }

    /// Closes up to `count` quiescent connections at once, least recently used first, to free their
    /// descriptors.
    pub fn close_idle(&mut self, count: usize) {
        let oldest: Vec<u64> = self.idle.iter().map(|&(_, token)| token).collect();
        let idle = oldest
            .into_iter()
            .filter(|token| self.connections.get(token).is_some_and(ClientConnection::is_quiescent))
            .take(count);
        let tokens: Vec<u64> = idle.collect();
        tokens.into_iter().for_each(|token| self.remove(token, CloseReason::MadeRoom));
    }

    /// Applies new names and limits. Open connections stay open.
    pub fn configure(&mut self, directory: Rc<Directory>, max_connections: usize, max_buffered_bytes: usize) {
        self.directory = directory;
        (self.max_connections, self.max_buffered_bytes) = (max_connections, max_buffered_bytes);
    }

    /// The most bytes that the buffers of all connections may take.
    pub fn max_buffered_bytes(&self) -> usize {
        self.max_buffered_bytes
    }

    /// The greatest number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The address on which clients connect; `None` once the front has stopped listening.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Switches to a listener on another address, which is already registered with the poll. Connections that
    /// wait at the old listener are accepted first. Connections of the old listener finish their current
    /// request and close after its answer. One without a request so far may have its first request in flight:
    /// it stays until that is answered or the connection times out. Visits all connections.
    pub fn move_to(&mut self, poll: &mut Poll, listener: TcpListener, now: Micros) {
        self.accept_up_to(usize::MAX, poll, now);
        self.listener = Some(listener);
        self.connections.values_mut().for_each(|connection| connection.leaving = true);
        self.close_all_idle(now);
    }

    /// Accepts the connections that wait at the listener, then closes it.
    fn stop_listening(&mut self, poll: &mut Poll, now: Micros) {
        self.accept_up_to(usize::MAX, poll, now);
        self.listener = None;
    }

    /// Accepts pending connections of the listener; the rest of a large number waits for the next iteration.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        self.accept_up_to(MAX_ACCEPTS_PER_ITERATION, poll, now);
    }

    fn accept_up_to(&mut self, count: usize, poll: &mut Poll, now: Micros) {
        for _ in 0..count {
            let next = self
                .listener
                .as_ref()
                .and_then(|listener| stream::accept_next(listener, "clients", &mut self.listener_failures));
            let Some(socket) = next else { return };
            if self.connections.len() >= self.connection_limit() {
                self.evict_one();
            }
            let token = poll.token(Peer::Client);
            let Ok(stream) = Stream::accepted(poll, token, socket) else { continue };
            let state = ConnectionState::open(now);
            let mut connection = ClientConnection::new(stream, state, now);
            if self.connections.len() >= self.connection_limit() {
                // The client can read this rejection; the socket is closed after it.
                let answer = http::write_response(503, &[("Retry-After", OVERLOAD_RETRY_AFTER)], b"", true);
                let _ = connection.stream.send(poll, &answer);
                self.rejected_connections += 1;
                log!("clients: {} connections, rejecting one more", self.connections.len());
                continue;
            }
            self.connections.insert(token, connection);
            self.update_indexes(token);
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, poll: &Poll, token: u64, hangup: Hangup, now: Micros, inputs: &mut Vec<Input>) {
        if hangup == Hangup::Connection {
            // Nobody would hear that a message was accepted: what the client sent before is not read.
            return self.remove(token, CloseReason::ClientGone);
        }
        if let Some(connection) = self.connections.get_mut(&token).filter(|_| hangup == Hangup::Sending) {
            connection.sends_no_more = true;
        }
        if self.unfinished.contains(&token) || self.submitted_bytes > self.max_submitted_bytes() {
            // What it sends waits in the system's buffer; the socket is ready again in the next iteration.
            return;
        }
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            connection.used_at = now;
            if connection.stream.ready(poll).is_err() {
                self.remove(token, CloseReason::Broken);
                return;
            }
            let filled = connection.stream.filled_last_read();
            self.parse_requests(poll, token, inputs);
            // The rest of a request that is read in part may have arrived: a whole request takes no memory
            // here for long.
            let reads_on = |connection: &ClientConnection| connection.is_reading() && filled;
            if !self.connections.get(&token).is_some_and(reads_on) {
                break;
            }
        }
        self.update_indexes(token);
        self.free_memory(poll, now);
    }

    /// Handles requests that were received in earlier iterations. Comes once at the begin of each iteration.
    pub fn resume_reading(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        self.submitted_bytes = 0;
        for token in std::mem::take(&mut self.unfinished) {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.used_at = now;
                self.read_requests(poll, token, inputs);
            }
        }
    }

    /// Processes the received input of a connection, up to the next submission.
    fn read_requests(&mut self, poll: &Poll, token: u64, inputs: &mut Vec<Input>) {
        self.parse_requests(poll, token, inputs);
        self.update_indexes(token);
    }

    fn parse_requests(&mut self, poll: &Poll, token: u64, inputs: &mut Vec<Input>) {
        let closing_after_answer = self.connection_policy != Connections::KeepOpen;
        let max_submitted_bytes = self.max_submitted_bytes();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let now = connection.used_at;
        if (connection.state.is_answering() || !connection.stream.flushed())
            && connection.stream.input.len() > MAX_BUFFERED_INPUT
        {
            // Clients send one request at a time; this one sends on. Its open request is answered, then it
            // closes.
            connection.state.close(now);
        }
        let mut handled = 0;
        // A client that does not read its answers gets no further ones: they would accumulate in memory.
        while connection.state.accepts_requests()
            && connection.stream.flushed()
            && !connection.stream.input.is_empty()
        {
            if handled == MAX_REQUESTS_PER_ITERATION || self.submitted_bytes > max_submitted_bytes {
                self.unfinished.insert(token);
                break;
            }
            handled += 1;
            match connection.parser.parse(&connection.stream.input) {
                Parsed::Complete(request, used) => {
                    connection.stream.consume(used);
                    connection.continued = false;
                    let is_last = request.close
                        || connection.leaving
                        || connection.sends_no_more
                        || closing_after_answer;
                    connection.state.request_received(is_last);
                    match parse_submission(token, request, &self.directory, self.is_ready) {
                        Ok(submission) => {
                            self.submitted_bytes += submission.body.len();
                            inputs.push(Input::Submission(submission));
                        }
                        Err(status) => {
                            connection.state.response_queued(now, false);
                            send(poll, connection, status, &[], b"");
                        }
                    }
                }
                Parsed::Partial { expects_continue } => {
                    connection.state.request_started(now);
                    if expects_continue && !std::mem::replace(&mut connection.continued, true) {
                        let _ = connection.stream.send(poll, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    break;
                }
                Parsed::Invalid(status) => {
                    connection.state.close(now);
                    send(poll, connection, status, &[], b"");
                }
            }
        }
        self.advance_closing(token, now);
    }

    /// Performs the closing steps that are possible now: write the queued output, shut down the sending side,
    /// discard input, close the socket.
    fn advance_closing(&mut self, token: u64, now: Micros) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.state.is_closing() {
            connection.state.input_discarded(connection.stream.input.len());
            connection.stream.discard_input();
            self.unfinished.remove(&token);
        }
        let flushed = connection.stream.flushed();
        if connection.stream.ended {
            connection.state.client_closed(now, flushed);
        }
        if flushed && connection.state.output_flushed(now) && connection.stream.shutdown_write().is_err() {
            connection.state = ConnectionState::Gone;
        }
        if connection.state == ConnectionState::Gone {
            self.remove(token, CloseReason::Closed);
        }
    }

    /// Starts closing those of the connections that are quiescent. One with unread input is read first.
    fn close_quiescent(&mut self, tokens: Vec<u64>, now: Micros) {
        for token in tokens {
            if let Some(connection) =
                self.connections.get_mut(&token).filter(|connection| connection.is_quiescent())
            {
                connection.state.close(now);
                self.advance_closing(token, now);
                self.update_indexes(token);
            }
        }
    }

    /// Starts closing all idle connections.
    fn close_all_idle(&mut self, now: Micros) {
        let idle = self.idle.iter().map(|&(_, token)| token).collect();
        self.close_quiescent(idle, now);
    }

    /// Answers a submission with the core's reply, then processes the input received meanwhile.
    pub fn reply(&mut self, poll: &Poll, token: Token, reply: Reply, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.state.response_queued(
            connection.used_at,
            connection.leaving || self.connection_policy != Connections::KeepOpen,
        );
        let (status, retry_after, body) = match reply {
            Reply::Accepted => (202, None, ""),
            Reply::Rejected(after) | Reply::AlreadyEnded(FinalOutcome::Deferred(after)) => {
                (503, Some(after), "")
            }
            Reply::AlreadyEnded(FinalOutcome::Delivered) => (200, None, "{\"status\":\"delivered\"}\n"),
            Reply::AlreadyEnded(_) => (410, None, "{\"status\":\"undeliverable\"}\n"),
            Reply::IdConflict => (409, None, ""),
            Reply::Unknown => (400, None, ""),
        };
        match retry_after {
            Some(retry_after) => {
                let seconds = format!("{:.3}", retry_after.0 as f64 / 1e6);
                send(poll, connection, status, &[("Retry-After", &seconds)], body.as_bytes());
            }
            None => send(poll, connection, status, &[], body.as_bytes()),
        }
        self.read_requests(poll, token, inputs);
    }

    /// Closes idle connections above their share of the limit, least recently used first.
    fn limit_idle(&mut self, now: Micros) {
        let max_idle = (self.max_connections as f64 * MAX_IDLE_SHARE) as usize;
        let excess = self.idle.len().saturating_sub(max_idle);
        let oldest: Vec<u64> = self.idle.iter().take(excess).map(|&(_, token)| token).collect();
        self.close_quiescent(oldest, now);
    }

    /// Starts closing connections that have been idle for `idle_for`. Costs as much as the connections that
    /// close.
    fn close_idle_for(&mut self, now: Micros, idle_for: Micros) {
        let has_expired = |at: Micros| at.plus(idle_for) <= now;
        let expired = self.idle.iter().take_while(|(at, _)| has_expired(*at)).map(|&(_, token)| token);
        let mut closing: Vec<u64> = expired.collect();
        if idle_for == Micros(0) {
            // Connections without a request so far close last, except those opened just now: their first
            // request may be in flight, and would get no answer.
            let opened_by = |at: Micros| at.plus(FIRST_REQUEST_GRACE) <= now;
            let new = self
                .eviction_order
                .iter()
                .take_while(|((is_open, has_request, _), _)| !(*is_open && *has_request));
            closing.extend(new.filter(|((.., at), _)| opened_by(*at)).map(|&(_, token)| token));
        }
        self.close_quiescent(closing, now);
    }

    /// Closes connections according to the connection policy and to their deadlines.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        self.limit_idle(now);
        match self.connection_policy {
            Connections::KeepOpen | Connections::CloseAfterResponse => {}
            Connections::CloseIdle(idle_for) => self.close_idle_for(now, idle_for),
            Connections::CloseAll => {
                // A connection without a request so far may have one in flight: it stays until the process
                // ends.
                self.stop_listening(poll, now);
                self.close_all_idle(now);
            }
        }
        if now < self.last_sweep.plus(SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep = now;
        let timed_out: Vec<u64> =
            self.deadlines.iter().take_while(|(at, _)| *at <= now).map(|&(_, token)| token).collect();
        for token in timed_out {
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            // Input that has just arrived is read first.
            if !connection.has_unread_input()
                && connection.state.check_deadline(now, connection.stream.flushed())
                    == DeadlineAction::SendTimeout
            {
                send(poll, connection, 408, &[], b"");
            }
            self.advance_closing(token, now);
            self.update_indexes(token);
        }
    }

    /// Time of the next [`HttpFront::tick`], if any.
    pub fn due(&self) -> Option<Micros> {
        let next_sweep = match self.connection_policy {
            Connections::CloseIdle(_) | Connections::CloseAll if !self.connections.is_empty() => {
                Some(self.last_sweep.plus(SWEEP_INTERVAL))
            }
            _ => None,
        };
        let deadlines = self.deadlines.first().map(|&(at, _)| at.max(self.last_sweep.plus(SWEEP_INTERVAL)));
        let unfinished = (!self.unfinished.is_empty()).then_some(Micros(0));
        next_sweep.into_iter().chain(deadlines).chain(unfinished).min()
    }
}

impl ClientConnection {
    fn new(stream: Stream, state: ConnectionState, used_at: Micros) -> ClientConnection {
        ClientConnection {
            stream,
            parser: RequestParser::new(http::MAX_BODY_BYTES),
            state,
            leaving: false,
            continued: false,
            sends_no_more: false,
            used_at,
            buffered_bytes: 0,
            index_keys: IndexKeys::NONE,
        }
    }

    /// Whether a request has been received in part.
    fn is_reading(&self) -> bool {
        matches!(self.state, ConnectionState::Reading { .. })
    }

    /// Whether the socket holds unread input that would be read as a request now.
    fn has_unread_input(&self) -> bool {
        self.state.accepts_requests() && self.stream.flushed() && self.stream.has_unread()
    }

    /// Whether no request is in progress, no input is unread and all output is written.
    fn is_quiescent(&self) -> bool {
        matches!(self.state, ConnectionState::Open { .. } | ConnectionState::Idle { .. })
            && self.stream.is_reusable()
            && self.stream.flushed()
    }
}

impl IndexKeys {
    const NONE: IndexKeys = IndexKeys {
        deadline: Micros(0),
        rank: (false, false, Micros(0)),
        is_idle: false,
        buffered: (0, Reverse(Micros(0))),
    };
}

fn send(poll: &Poll, connection: &mut ClientConnection, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let allow = [("Allow", if status == 405 { "POST" } else { "" })];
    let headers = if status == 405 { &allow[..] } else { headers };
    if connection
        .stream
        .send(poll, &http::write_response(status, headers, body, connection.state.is_closing()))
        .is_err()
    {
        connection.state = ConnectionState::Gone;
    }
}
