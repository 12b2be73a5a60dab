//! Calls to endpoints over HTTP/1.1. Each connection carries one call at a time. This module never retries a
//! call.

use crate::engine::{CallId, Input, Item};
use crate::net::http::{self, Parsed, Response};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::Stream;
use crate::{AttemptOutcome, EndpointId, Micros};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;

mod call;
mod handover;
mod reuse;

use call::{batch_request, is_delivery_of_all, outcome, single_request, ActiveCall};
pub use handover::HandedConnection;
use reuse::{ConnectionDeliveries, EndpointDeliveries};

struct Connection {
    endpoint: EndpointId,
    stream: Stream,
    active_call: Option<ActiveCall>,
    /// A complete response has been received on this connection.
    answered: bool,
    /// What was delivered on this connection.
    deliveries: ConnectionDeliveries,
    /// No further call begins on this connection.
    closes_after_call: bool,
    /// When the latest call began or the connection was last used: the dial and idle time-outs start here.
    last_used: Micros,
    /// The address that it leads to. `None` where it is not known after an upgrade.
    address: Option<SocketAddr>,
    index_keys: IndexKeys,
}

/// Why a connection is closed, for the log.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    /// The call was cancelled.
    Aborted,
    /// Its peer closed it, or it broke.
    Broken,
    /// The response, or what came with it, leaves the state of the connection unclear.
    Unclear,
    /// A second copy of its response could not be told from the response to another call.
    NotReusable,
    /// The response is malformed or takes too long.
    Malformed,
    /// The peer closed it while it was idle, or sent bytes that no call had asked for.
    Unsolicited,
    /// It was established after the call's send deadline.
    EstablishedLate,
    /// It was not established in time.
    DialTimeout,
    /// It was idle for too long.
    IdleTimeout,
    /// It was idle and made room for another one.
    MadeRoom,
    /// Its address belongs to another endpoint by now.
    Misdirected,
    /// The idle connections to its endpoint are not wanted any more.
    NotWanted,
}

/// What became of the received bytes of an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnswerProgress {
    /// All that can be done with them has been done.
    Handled,
    /// They were a copy of an earlier answer; more may follow it.
    SkippedCopy,
}

/// The keys under which the indexes hold a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
struct IndexKeys {
    deadline: Micros,
    idle_since: Option<Micros>,
}

/// A call to start.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing {
    /// Identifies the call.
    pub call: CallId,
    /// The endpoint to call.
    pub endpoint: EndpointId,
    /// How long the caller waits for the response; sent as `Request-Timeout`.
    pub wait: Micros,
    /// If the connection is not established by then, nothing of the call is written.
    pub send_deadline: Micros,
}

/// Time from the first byte of a response to its end; a longer response is malformed. Without this limit,
/// headers that never end or a `Content-Length` above what is sent would hold a slot and the message until
/// the call's time-out.
const MAX_ANSWER_TIME: Micros = Micros(500_000);

/// Connections to endpoints. A call, a response or a time-out costs a few look-ups, however many connections
/// are open.
pub struct EndpointConnections {
    addresses: BTreeMap<EndpointId, SocketAddr>,
    connections: BTreeMap<u64, Connection>,
    /// Connections by the time at which they are closed.
    deadlines: BTreeSet<(Micros, u64)>,
    /// Idle connections by the time of last use: all, and those of each endpoint.
    idle: BTreeSet<(Micros, u64)>,
    idle_by_endpoint: BTreeMap<EndpointId, BTreeSet<(Micros, u64)>>,
    calls: HashMap<CallId, u64>,
    deliveries: EndpointDeliveries,
    dial_timeout: Micros,
    idle_timeout: Micros,
    max_connections: usize,
    /// Largest body of an answer.
    max_answer_bytes: usize,
}

impl EndpointConnections {
    /// A connection not established within `dial_timeout` has failed; one idle for `idle_timeout` is closed.
    /// At `max_connections`, a new connection replaces the one that has been idle longest.
    pub fn new(
        dial_timeout: Micros,
        idle_timeout: Micros,
        max_connections: usize,
        max_answer_bytes: usize,
    ) -> EndpointConnections {
        EndpointConnections {
            addresses: BTreeMap::new(),
            connections: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            idle: BTreeSet::new(),
            idle_by_endpoint: BTreeMap::new(),
            calls: HashMap::new(),
            deliveries: EndpointDeliveries::default(),
            dial_timeout,
            idle_timeout,
            max_connections,
            max_answer_bytes,
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Closes up to `count` idle connections, longest idle first; returns how many were closed.
    pub fn close_longest_idle(&mut self, count: usize) -> usize {
        let oldest: Vec<u64> = self.idle.iter().take(count).map(|&(_, token)| token).collect();
        oldest.iter().for_each(|&token| drop(self.remove(token, CloseReason::MadeRoom)));
        oldest.len()
    }

    /// Applies new limits. Connections above `max_connections` are closed as they become idle.
    pub fn configure(
        &mut self,
        dial_timeout: Micros,
        idle_timeout: Micros,
        max_connections: usize,
        max_answer_bytes: usize,
    ) {
        (self.max_connections, self.max_answer_bytes) = (max_connections, max_answer_bytes);
        if (self.dial_timeout, self.idle_timeout) == (dial_timeout, idle_timeout) {
            return;
        }
        (self.dial_timeout, self.idle_timeout) = (dial_timeout, idle_timeout);
        let all: Vec<u64> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|token| self.update_indexes(token));
    }

    /// Whether these limits are in force.
    pub fn has_limits(
        &self,
        dial_timeout: Micros,
        idle_timeout: Micros,
        max_connections: usize,
        max_answer_bytes: usize,
    ) -> bool {
        (self.dial_timeout, self.idle_timeout, self.max_connections, self.max_answer_bytes)
            == (dial_timeout, idle_timeout, max_connections, max_answer_bytes)
    }

    /// Updates the indexes after a change of the connection's state.
    fn update_indexes(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let deadline = deadline(connection, self.dial_timeout, self.idle_timeout);
        let idle_since = connection.active_call.is_none().then_some(connection.last_used);
        let new = IndexKeys { deadline, idle_since };
        if connection.index_keys == new {
            return;
        }
        let (old, endpoint) = (std::mem::replace(&mut connection.index_keys, new), connection.endpoint);
        self.remove_from_indexes(endpoint, token, old);
        if new.deadline < Micros(u64::MAX) {
            self.deadlines.insert((new.deadline, token));
        }
        if let Some(since) = new.idle_since {
            self.idle.insert((since, token));
            self.idle_by_endpoint.entry(endpoint).or_default().insert((since, token));
        }
    }

    fn remove_from_indexes(&mut self, endpoint: EndpointId, token: u64, index_keys: IndexKeys) {
        self.deadlines.remove(&(index_keys.deadline, token));
        let Some(since) = index_keys.idle_since else { return };
        self.idle.remove(&(since, token));
        if let Some(idle) = self.idle_by_endpoint.get_mut(&endpoint) {
            idle.remove(&(since, token));
            if idle.is_empty() {
                self.idle_by_endpoint.remove(&endpoint);
            }
        }
    }

    /// Closes a connection.
    fn remove(&mut self, token: u64, reason: CloseReason) -> Option<Connection> {
        let connection = self.connections.remove(&token)?;
        tracing::debug!(
            connection = token,
            endpoint = format_args!("{:x}", connection.endpoint.0),
            call = connection.active_call.as_ref().map(|active_call| active_call.call),
            answered = connection.answered,
            ?reason,
            "connection closed"
        );
        self.remove_from_indexes(connection.endpoint, token, connection.index_keys);
        Some(connection)
    }

    /// Sets the address of an endpoint; idle connections to a previous address are closed.
    pub fn set_address(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self.addresses.insert(endpoint, address).is_some_and(|known| known != address) {
            self.close_idle(endpoint);
        }
    }

    /// Whether a connection leads to the present address of its endpoint.
    fn leads_to_its_endpoint(&self, connection: &Connection) -> bool {
        let address = self.addresses.get(&connection.endpoint);
        address.is_some() && address == connection.address.as_ref()
    }

    /// Forgets an endpoint: no new call begins there; calls in progress continue. Cost: linear in its idle
    /// connections.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.addresses.remove(&endpoint);
        self.deliveries.forget(endpoint);
        self.close_idle(endpoint);
    }

    /// Ends calls whose connection is still coming up at an address that is another endpoint's by now: a new
    /// process answers there. Cost: linear in the connections.
    pub fn end_misdirected_calls(&mut self, inputs: &mut Vec<Input>) {
        let connecting = self.connections.iter().filter(|(_, connection)| {
            !connection.stream.connected() && !self.leads_to_its_endpoint(connection)
        });
        let is_others = |address: &SocketAddr| self.addresses.values().any(|other| other == address);
        let misdirected =
            connecting.filter(|(_, connection)| connection.address.as_ref().is_some_and(is_others));
        for token in misdirected.map(|(&token, _)| token).collect::<Vec<u64>>() {
            self.end_broken(token, CloseReason::Misdirected, inputs);
        }
    }

    /// The most recently used idle connection to an endpoint. A connection that the peer has closed, or that
    /// has unsolicited bytes waiting, is closed: the next call would read those bytes as its own response.
    fn reusable(&mut self, endpoint: EndpointId) -> Option<u64> {
        loop {
            let &(_, token) = self.idle_by_endpoint.get(&endpoint)?.last()?;
            if self.connections.get(&token)?.stream.is_reusable() {
                return Some(token);
            }
            self.remove(token, CloseReason::Unsolicited);
        }
    }

    /// Starts a call on the most recently used idle connection, or on a new one.
    pub fn call(
        &mut self,
        poll: &mut Poll,
        now: Micros,
        Outgoing { call, endpoint, wait, send_deadline }: Outgoing,
        items: &[Item],
        inputs: &mut Vec<Input>,
    ) {
        let newest = self.reusable(endpoint);
        let Some(&address) = self.addresses.get(&endpoint) else {
            return inputs.push(Input::ConnectionFailed(call));
        };
        let token = match newest.map_or_else(|| self.open(poll, now, endpoint, address), Ok) {
            Ok(token) => token,
            Err(problem) => {
                log!("endpoints: cannot connect to {address}: {problem}");
                return inputs.push(Input::ConnectionFailed(call));
            }
        };
        let Some(connection) = self.connections.get_mut(&token) else { return };
        tracing::debug!(
            call,
            connection = token,
            endpoint = format_args!("{:x}", endpoint.0),
            reused = newest.is_some(),
            idle_ms = now.minus(connection.last_used).as_ms(),
            "call assigned to a connection"
        );
        let batch = items.len() > 1;
        let ids = items.iter().map(|item| item.id.clone()).collect();
        connection.active_call = Some(ActiveCall::new(call, ids, batch, send_deadline));
        connection.last_used = now;
        self.calls.insert(call, token);
        let request = if batch {
            batch_request(address, wait, items)
        } else {
            single_request(address, wait, &items[0])
        };
        if connection.stream.send(poll, &request).is_err() {
            return self.end_broken(token, CloseReason::Broken, inputs);
        }
        self.update_indexes(token);
        self.note_written(token, inputs);
    }

    /// Begins a new connection; at the limit, the one that has been idle longest makes room for it.
    fn open(
        &mut self,
        poll: &mut Poll,
        now: Micros,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> io::Result<u64> {
        if self.connections.len() >= self.max_connections {
            let oldest = self.idle.first().map(|&(_, token)| token);
            oldest.map(|token| self.remove(token, CloseReason::MadeRoom));
        }
        let token = poll.token(Peer::Endpoint);
        let connection = Connection {
            endpoint,
            stream: Stream::connect(poll, token, address)?,
            active_call: None,
            answered: false,
            deliveries: ConnectionDeliveries::default(),
            closes_after_call: false,
            last_used: now,
            address: Some(address),
            index_keys: IndexKeys { deadline: Micros(u64::MAX), idle_since: None },
        };
        self.connections.insert(token, connection);
        Ok(token)
    }

    /// Reports the call as written once its last byte has been written.
    fn note_written(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let flushed = connection.stream.connected() && connection.stream.flushed();
        if let Some(active_call) =
            connection.active_call.as_mut().filter(|active_call| flushed && !active_call.written)
        {
            active_call.written = true;
            tracing::debug!(call = active_call.call, connection = token, "call written");
            inputs.push(Input::Written(active_call.call));
        }
    }

    /// Handles a connection that is ready to read or write.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        self.process_ready(poll, token, now, inputs);
        // The call's progress may have changed the connection's deadline or left it idle; an idle connection
        // to an endpoint that is gone, or to an earlier address of its endpoint, is closed.
        let idle = self.connections.get(&token).filter(|connection| connection.active_call.is_none());
        if idle.is_some_and(|connection| !self.leads_to_its_endpoint(connection)) {
            self.remove(token, CloseReason::NotWanted);
        }
        self.update_indexes(token);
    }

    fn process_ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let late =
            |active_call: &ActiveCall| active_call.send_deadline <= now && !connection.stream.connected();
        if connection.active_call.as_ref().is_some_and(late) {
            // The connection was established, or failed, after the send deadline: the engine cancels the call
            // in this loop iteration.
            self.remove(token, CloseReason::EstablishedLate);
            return;
        }
        let broke = connection.stream.ready(poll).is_err();
        // Also on a broken connection: the last byte may have been sent just before, and then the call may
        // have run.
        self.note_written(token, inputs);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.active_call.is_none() {
            // The peer closed an idle connection or sent unsolicited bytes.
            if broke || !connection.stream.input.is_empty() || connection.stream.ended {
                self.remove(token, CloseReason::Unsolicited);
            }
            return;
        }
        while self.process_answer(token, broke, now, inputs) == AnswerProgress::SkippedCopy {}
    }

    /// Handles what has been received of the answer to the call in progress.
    fn process_answer(
        &mut self,
        token: u64,
        broke: bool,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) -> AnswerProgress {
        let Some(connection) = self.connections.get_mut(&token) else { return AnswerProgress::Handled };
        let ended = broke || connection.stream.ended;
        // A response without a length is complete when the peer closes the connection, but not when it resets
        // it.
        let parsed = http::parse_response(&connection.stream.input, ended && !broke, self.max_answer_bytes);
        match parsed {
            Parsed::Complete(answer, used) if connection.deliveries.may_repeat(&answer) => {
                self.skip_copy(token, &answer, used);
                return AnswerProgress::SkippedCopy;
            }
            Parsed::Complete(answer, used) => self.complete_call(token, &answer, used, ended, now, inputs),
            partial_or_invalid => {
                self.process_partial_answer(token, now, inputs);
                match partial_or_invalid {
                    _ if broke => self.end_broken(token, CloseReason::Broken, inputs),
                    Parsed::Invalid(_) if ended => self.end_broken(token, CloseReason::Broken, inputs),
                    Parsed::Invalid(_) => self.end_malformed(token, inputs),
                    _ => {}
                }
            }
        }
        AnswerProgress::Handled
    }

    /// Drops an answer that may be a second copy of an earlier one; the call in progress waits for its own.
    fn skip_copy(&mut self, token: u64, answer: &Response, used: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let address = self.addresses.get(&connection.endpoint);
        log!("endpoints: {address:?} sent a second copy of an answer on a connection; it is ignored");
        if self.addresses.contains_key(&connection.endpoint) {
            self.deliveries.record(connection.endpoint, answer);
        }
        connection.closes_after_call = true;
        connection.stream.consume(used);
        if let Some(active_call) = &mut connection.active_call {
            active_call.answer_since = None;
            active_call.wait_reported = false;
            active_call.load_reported = false;
        }
    }

    /// Ends the call in progress with its complete answer; keeps the connection where it can be reused.
    fn complete_call(
        &mut self,
        token: u64,
        answer: &Response,
        used: usize,
        ended: bool,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let Some(mut active_call) = connection.active_call.take() else { return };
        tracing::debug!(
            call = active_call.call,
            connection = token,
            status = answer.status,
            after_ms = now.minus(connection.last_used).as_ms(),
            bytes = used,
            bytes_behind = connection.stream.input.len() - used,
            "answer received"
        );
        let endpoint = connection.endpoint;
        active_call.report_limits(endpoint, &answer.headers, inputs);
        let outcome = outcome(&active_call, answer, !connection.answered);
        let all_delivered = is_delivery_of_all(&outcome);
        if !active_call.outcome_reported {
            inputs.push(outcome);
            self.calls.remove(&active_call.call);
        }
        connection.stream.consume(used);
        connection.answered = true;
        connection.last_used = now;
        // After a response that precedes the call's last byte, the state of the connection is unclear.
        let unclear = !connection.stream.flushed() || !connection.stream.input.is_empty();
        // What is known of an endpoint that is gone has been forgotten.
        if self.addresses.contains_key(&endpoint) {
            self.deliveries.record(endpoint, answer);
        }
        let reusable = all_delivered
            && !connection.closes_after_call
            && self.deliveries.allow_reuse(endpoint, answer, &mut connection.deliveries);
        if ended || answer.close {
            self.remove(token, CloseReason::Broken);
        } else if unclear {
            self.remove(token, CloseReason::Unclear);
        } else if !reusable {
            self.remove(token, CloseReason::NotReusable);
        }
    }

    /// Reports what is known from an answer that is not complete.
    fn process_partial_answer(&mut self, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let Some(active_call) = &mut connection.active_call else { return };
        let input = &connection.stream.input;
        if !input.is_empty() {
            active_call.answer_since.get_or_insert(now);
            active_call.report_limits(connection.endpoint, &http::complete_headers(input), inputs);
        }
        // A call that carries a single message is delivered once the status line reads 200, unless that line
        // may begin a copy of an earlier answer.
        if !active_call.outcome_reported
            && !active_call.batch
            && !connection.answered
            && http::response_status(input) == Some(200)
        {
            active_call.outcome_reported = true;
            self.calls.remove(&active_call.call);
            let results = vec![(0, AttemptOutcome::Delivered, true)];
            inputs.push(Input::Answered { call: active_call.call, results, wait: None });
        }
    }

    /// Ends a connection whose response is malformed: nothing after it can be read either.
    fn end_malformed(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let connection = self.remove(token, CloseReason::Malformed);
        let active_call = connection.and_then(|connection| connection.active_call);
        if let Some(active_call) = active_call.filter(|active_call| !active_call.outcome_reported) {
            self.calls.remove(&active_call.call);
            inputs.push(Input::MalformedAnswer(active_call.call));
        }
    }

    fn end_broken(&mut self, token: u64, reason: CloseReason, inputs: &mut Vec<Input>) {
        let Some(connection) = self.remove(token, reason) else { return };
        if let Some(active_call) = connection.active_call.filter(|active_call| !active_call.outcome_reported)
        {
            self.calls.remove(&active_call.call);
            inputs.push(Input::ConnectionFailed(active_call.call));
        }
    }

    /// Cancels a call by closing its connection at once.
    pub fn abort(&mut self, call: CallId) {
        if let Some(token) = self.calls.remove(&call) {
            self.remove(token, CloseReason::Aborted);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId) {
        for (_, token) in self.idle_by_endpoint.get(&endpoint).cloned().unwrap_or_default() {
            self.remove(token, CloseReason::NotWanted);
        }
    }

    /// Closes connections that are not established in time, idle for too long, or whose response takes too
    /// long.
    pub fn tick(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        while let Some(&(_, token)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            let active_call =
                self.connections.get(&token).and_then(|connection| connection.active_call.as_ref());
            match active_call {
                Some(active_call) if active_call.answer_since.is_some() => self.end_malformed(token, inputs),
                Some(_) => self.end_broken(token, CloseReason::DialTimeout, inputs),
                None => self.end_broken(token, CloseReason::IdleTimeout, inputs),
            }
        }
    }

    /// When [`EndpointConnections::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.deadlines.first().map(|&(at, _)| at)
    }
}

fn deadline(connection: &Connection, dial: Micros, idle: Micros) -> Micros {
    match (&connection.active_call, connection.stream.connected()) {
        (None, _) => connection.last_used.plus(idle),
        (Some(_), false) => connection.last_used.plus(dial),
        (Some(active_call), true) => {
            active_call.answer_since.map_or(Micros(u64::MAX), |since| since.plus(MAX_ANSWER_TIME))
        }
    }
}

#[cfg(test)]
mod tests;
