//! Calls over HTTP/1.1. Each connection carries one call at a time; nothing is ever sent again from here.

use crate::engine::{CallId, Input, Item};
use crate::net::http::{self, Headers, Parsed, Response};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::{HandedStream, Stream};
use crate::report::Report;
use crate::{AttemptOutcome, EndpointId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;

struct Connection {
    endpoint: EndpointId,
    stream: Stream,
    out: Option<ActiveCall>,
    /// A whole answer has come on it.
    answered: bool,
    /// When it must be up, or was last used.
    since: Micros,
    index_keys: IndexKeys,
}

/// Where a connection stands in the indexes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct IndexKeys {
    deadline: Micros,
    idle_since: Option<Micros>,
}

/// The call that is out on a connection.
struct ActiveCall {
    call: CallId,
    ids: Vec<Rc<[u8]>>,
    batch: bool,
    written: bool,
    /// Nothing of it is written from then on.
    send_deadline: Micros,
    /// Its outcome is told; the rest of the answer is still to come.
    told: bool,
    /// The wait and the limit report in the answer's head are told.
    wait_told: bool,
    report_told: bool,
    /// Since the first byte of the answer.
    answer_since: Option<Micros>,
}

impl ActiveCall {
    fn new(call: CallId, ids: Vec<Rc<[u8]>>, batch: bool, send_deadline: Micros) -> ActiveCall {
        ActiveCall {
            call,
            ids,
            batch,
            written: false,
            send_deadline,
            told: false,
            wait_told: false,
            report_told: false,
            answer_since: None,
        }
    }

    /// What the head of an answer tells of the endpoint's limit, once each. It holds from when its line has come: the call's
    /// outcome may be told before it, or the answer may never come whole.
    fn report_limits(&mut self, endpoint: EndpointId, headers: &Headers, inputs: &mut Vec<Input>) {
        if !self.report_told {
            let report = headers.get("Server-Load").and_then(Report::parse);
            self.report_told = report.is_some();
            inputs.extend(report.map(|report| Input::Report(endpoint, report)));
        }
        if !self.wait_told {
            let wait = wait_header(headers);
            self.wait_told = wait.is_some();
            inputs.extend(wait.map(|wait| Input::RetryAfter(endpoint, wait)));
        }
    }
}

/// How long nothing may be sent to the endpoint's destination.
fn wait_header(headers: &Headers) -> Option<Micros> {
    let wait = headers.get("X-RateLimit-Wait-Ms")?.trim().parse::<f64>().ok()?;
    Some(wait).filter(|&ms| ms > 0.0).map(Micros::from_ms)
}

/// A call to be made.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing {
    /// The call.
    pub call: CallId,
    /// Where to.
    pub endpoint: EndpointId,
    /// How long it will be waited for.
    pub wait: Micros,
    /// Where its connection comes up only then or later, nothing of it is written.
    pub send_deadline: Micros,
}

/// A connection, for the process that follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedConnection {
    endpoint: EndpointId,
    stream: HandedStream,
    out: Option<HandedOut>,
    answered: bool,
    since: Micros,
}

/// The call that is out on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HandedOut {
    call: CallId,
    ids: Vec<serde_bytes::ByteBuf>,
    batch: bool,
    written: bool,
    /// Absent in a handover from an older version, which did not record it.
    #[serde(default, rename = "leaves_by")]
    send_deadline: Option<Micros>,
    told: bool,
    /// A version that did not hand these over told them with the whole answer.
    #[serde(default)]
    wait_told: bool,
    #[serde(default)]
    report_told: bool,
    answer_since: Option<Micros>,
}

/// An answer that has begun is whole by then, or spoilt: a head that never ends, or a length that promises more
/// than comes, would else hold a slot and its flow to the end of the call's time.
const MAX_ANSWER_TIME: Micros = Micros(500_000);

/// Connections to real servers. Cost of a call, an answer or a time-out: some look-ups, however many are held.
pub struct EndpointConnections {
    addresses: BTreeMap<EndpointId, SocketAddr>,
    connections: BTreeMap<u64, Connection>,
    /// When each is to be ended.
    deadlines: BTreeSet<(Micros, u64)>,
    /// Idle ones by when they were last used: all, and those of each endpoint.
    idle: BTreeSet<(Micros, u64)>,
    idle_by_endpoint: BTreeMap<EndpointId, BTreeSet<(Micros, u64)>>,
    calls: HashMap<CallId, u64>,
    dial_timeout: Micros,
    idle_timeout: Micros,
    max_connections: usize,
}

impl EndpointConnections {
    /// Connections not up within `dial_timeout` have failed; those idle for `idle_timeout` are closed. Where `max_connections`
    /// are held, an idle one gives way to a new one.
    pub fn new(dial_timeout: Micros, idle_timeout: Micros, max_connections: usize) -> EndpointConnections {
        EndpointConnections {
            addresses: BTreeMap::new(),
            connections: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            idle: BTreeSet::new(),
            idle_by_endpoint: BTreeMap::new(),
            calls: HashMap::new(),
            dial_timeout,
            idle_timeout,
            max_connections,
        }
    }

    /// How many connections are held.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Closes so many idle connections, those unused for longest first; tells how many there were.
    pub fn close_longest_idle(&mut self, count: usize) -> usize {
        let oldest: Vec<u64> = self.idle.iter().take(count).map(|&(_, token)| token).collect();
        oldest.iter().for_each(|&token| drop(self.remove(token)));
        oldest.len()
    }

    /// All connections, for the process that follows.
    pub fn hand_over(&self) -> (Vec<HandedConnection>, Vec<BorrowedFd<'_>>) {
        let out = |out: &ActiveCall| HandedOut {
            call: out.call,
            ids: out.ids.iter().map(|id| serde_bytes::ByteBuf::from(id.to_vec())).collect(),
            batch: out.batch,
            written: out.written,
            send_deadline: Some(out.send_deadline),
            told: out.told,
            wait_told: out.wait_told,
            report_told: out.report_told,
            answer_since: out.answer_since,
        };
        let one = |one: &Connection| HandedConnection {
            endpoint: one.endpoint,
            stream: one.stream.hand_over().0,
            out: one.out.as_ref().map(out),
            answered: one.answered,
            since: one.since,
        };
        let sockets = self.connections.values().map(|one| one.stream.hand_over().1);
        (self.connections.values().map(one).collect(), sockets.collect())
    }

    /// Goes on with a connection that another process handed over. Tells the call that is out on it.
    pub fn take_over(
        &mut self,
        poll: &mut Poll,
        handed: HandedConnection,
        socket: OwnedFd,
    ) -> Option<CallId> {
        let token = poll.token(Peer::Endpoint);
        let stream = Stream::take_over(poll, token, handed.stream, socket).ok()?;
        let out = handed.out.map(|out| ActiveCall {
            call: out.call,
            ids: out.ids.iter().map(|id| Rc::from(&id[..])).collect(),
            batch: out.batch,
            written: out.written,
            send_deadline: out.send_deadline.unwrap_or(Micros(u64::MAX)),
            told: out.told,
            wait_told: out.wait_told,
            report_told: out.report_told,
            answer_since: out.answer_since,
        });
        let call = out.as_ref().filter(|out| !out.told).map(|out| out.call);
        let index_keys = IndexKeys { deadline: Micros(u64::MAX), idle_since: None };
        let (endpoint, answered, since) = (handed.endpoint, handed.answered, handed.since);
        self.connections.insert(token, Connection { endpoint, stream, out, answered, since, index_keys });
        self.calls.extend(call.map(|call| (call, token)));
        self.update_indexes(token);
        call
    }

    /// Other limits count from now on; connections over them go as they fall idle.
    pub fn configure(&mut self, dial_timeout: Micros, idle_timeout: Micros, max_connections: usize) {
        self.max_connections = max_connections;
        if (self.dial_timeout, self.idle_timeout) == (dial_timeout, idle_timeout) {
            return;
        }
        (self.dial_timeout, self.idle_timeout) = (dial_timeout, idle_timeout);
        let all: Vec<u64> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|token| self.update_indexes(token));
    }

    /// A connection may stand elsewhere now.
    fn update_indexes(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let deadline = deadline(connection, self.dial_timeout, self.idle_timeout);
        let idle_since = connection.out.is_none().then_some(connection.since);
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

    /// Ends a connection.
    fn remove(&mut self, token: u64) -> Option<Connection> {
        let connection = self.connections.remove(&token)?;
        self.remove_from_indexes(connection.endpoint, token, connection.index_keys);
        Some(connection)
    }

    /// Where a real server listens.
    pub fn set_address(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self.addresses.insert(endpoint, address).is_some_and(|known| known != address) {
            self.close_idle(endpoint);
        }
    }

    /// Lets go of the endpoints that are not to be kept: no call begins there any more; those that are out go on.
    /// On a day on which each is replaced by a new one, else all of them would be remembered. Cost: the endpoints.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        let gone: Vec<EndpointId> =
            self.addresses.keys().copied().filter(|&endpoint| !keep(endpoint)).collect();
        gone.into_iter().for_each(|endpoint| self.forget(endpoint));
    }

    /// Lets go of one endpoint. Cost: its idle connections.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.addresses.remove(&endpoint);
        self.close_idle(endpoint);
    }

    /// The idle connection to an endpoint that was used last. One on which bytes wait that nobody asked for, or
    /// that has ended, goes: the next call would take them for its own answer.
    fn reusable(&mut self, endpoint: EndpointId) -> Option<u64> {
        loop {
            let &(_, token) = self.idle_by_endpoint.get(&endpoint)?.last()?;
            if self.connections.get(&token)?.stream.is_reusable() {
                return Some(token);
            }
            self.remove(token);
        }
    }

    /// Starts a call, on the connection used last or on a new one.
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
            return inputs.push(Input::Broken(call));
        };
        let token = newest.unwrap_or_else(|| poll.token(Peer::Endpoint));
        if newest.is_none() {
            if self.connections.len() >= self.max_connections {
                let oldest = self.idle.first().map(|&(_, token)| token);
                oldest.map(|token| self.remove(token));
            }
            match Stream::connect(poll, token, address) {
                Ok(stream) => {
                    let index_keys = IndexKeys { deadline: Micros(u64::MAX), idle_since: None };
                    let (out, answered) = (None, false);
                    let connection = Connection { endpoint, stream, out, answered, since: now, index_keys };
                    self.connections.insert(token, connection);
                }
                Err(problem) => {
                    log!("servers: no connection to {address}: {problem}");
                    return inputs.push(Input::Broken(call));
                }
            }
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let batch = items.len() > 1;
        let ids = items.iter().map(|item| item.id.clone()).collect();
        connection.out = Some(ActiveCall::new(call, ids, batch, send_deadline));
        connection.since = now;
        self.calls.insert(call, token);
        let request = if batch {
            batch_request(address, wait, items)
        } else {
            single_request(address, wait, &items[0])
        };
        if connection.stream.send(poll, &request).is_err() {
            return self.end_broken(token, inputs);
        }
        self.update_indexes(token);
        self.note_written(token, inputs);
    }

    /// The last byte may have been written just now.
    fn note_written(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let flushed = connection.stream.connected() && connection.stream.flushed();
        if let Some(out) = connection.out.as_mut().filter(|out| flushed && !out.written) {
            out.written = true;
            inputs.push(Input::Written(out.call));
        }
    }

    /// A connection is ready.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        self.process_ready(poll, token, now, inputs);
        // What was learned may end it sooner or later, or leave it idle; to an endpoint that is gone none stays so.
        let idle = self.connections.get(&token).filter(|connection| connection.out.is_none());
        if idle.is_some_and(|connection| !self.addresses.contains_key(&connection.endpoint)) {
            self.remove(token);
        }
        self.update_indexes(token);
    }

    fn process_ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let late = |out: &ActiveCall| out.send_deadline <= now && !connection.stream.connected();
        if connection.out.as_ref().is_some_and(late) {
            // It came up, or failed, too late: the core calls the call back in this turn.
            self.remove(token);
            return;
        }
        let broke = connection.stream.ready(poll).is_err();
        // Also where it broke: the last byte may have left just before, and then the call may have run.
        self.note_written(token, inputs);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let ended = broke || connection.stream.ended;
        let Some(out) = &mut connection.out else {
            // Closed by the other side while idle, or bytes that nobody asked for.
            if ended || !connection.stream.input.is_empty() {
                self.remove(token);
            }
            return;
        };
        let endpoint = connection.endpoint;
        let input = &connection.stream.input;
        // One that is as long as its connection is whole where the other side ended that, and not where it was reset.
        match http::parse_response(input, ended && !broke, http::MAX_RESPONSE_BYTES) {
            Parsed::Complete(answer, used) => {
                out.report_limits(endpoint, &answer.headers, inputs);
                if !out.told {
                    inputs.push(outcome(out, &answer, !connection.answered));
                    self.calls.remove(&out.call);
                }
                connection.stream.input.drain(..used);
                connection.out = None;
                connection.answered = true;
                connection.since = now;
                // An answer before the last byte of the call: what follows on this connection is unclear.
                let unclear = !connection.stream.flushed() || !connection.stream.input.is_empty();
                if ended || answer.close || unclear {
                    self.remove(token);
                }
            }
            partial_or_bad => {
                if !input.is_empty() {
                    out.answer_since.get_or_insert(now);
                    out.report_limits(endpoint, &http::complete_headers(input), inputs);
                }
                // Delivered with the first line, where the call carried one flow.
                if !out.told && !out.batch && http::response_status(input) == Some(200) {
                    out.told = true;
                    self.calls.remove(&out.call);
                    let results = vec![(0, AttemptOutcome::Delivered, true)];
                    inputs.push(Input::Answered { call: out.call, results, wait: None });
                }
                match partial_or_bad {
                    _ if broke => self.end_broken(token, inputs),
                    Parsed::Invalid(_) if ended => self.end_broken(token, inputs),
                    Parsed::Invalid(_) => self.end_malformed(token, inputs),
                    _ => {}
                }
            }
        }
    }

    /// The answer on a connection cannot be read: what else would come on it cannot either.
    fn end_malformed(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let out = self.remove(token).and_then(|connection| connection.out);
        if let Some(out) = out.filter(|out| !out.told) {
            self.calls.remove(&out.call);
            inputs.push(Input::Spoilt(out.call));
        }
    }

    fn end_broken(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.remove(token) else { return };
        if let Some(out) = connection.out.filter(|out| !out.told) {
            self.calls.remove(&out.call);
            inputs.push(Input::Broken(out.call));
        }
    }

    /// Gives up a call: its connection is closed at once.
    pub fn abort(&mut self, call: CallId) {
        if let Some(token) = self.calls.remove(&call) {
            self.remove(token);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId) {
        for (_, token) in self.idle_by_endpoint.get(&endpoint).cloned().unwrap_or_default() {
            self.remove(token);
        }
    }

    /// Ends connections that do not come up, those idle for long, and those whose answer does not end.
    pub fn tick(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        while let Some(&(_, token)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            let out = self.connections.get(&token).and_then(|connection| connection.out.as_ref());
            if out.is_some_and(|out| out.answer_since.is_some()) {
                self.end_malformed(token, inputs);
            } else {
                self.end_broken(token, inputs);
            }
        }
    }

    /// When [`EndpointConnections::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.deadlines.first().map(|&(at, _)| at)
    }
}

fn deadline(connection: &Connection, dial: Micros, idle: Micros) -> Micros {
    match (&connection.out, connection.stream.connected()) {
        (None, _) => connection.since.plus(idle),
        (Some(_), false) => connection.since.plus(dial),
        (Some(out), true) => out.answer_since.map_or(Micros(u64::MAX), |since| since.plus(MAX_ANSWER_TIME)),
    }
}

fn timeout_header(wait: Micros) -> String {
    format!("Request-Timeout: {:.3}\r\n", wait.0 as f64 / 1e6)
}

fn single_request(address: SocketAddr, wait: Micros, item: &Item) -> Vec<u8> {
    let mut headers = format!("Request-Id: {}\r\n", String::from_utf8_lossy(&item.id));
    if let Some(key) = &item.key {
        headers.push_str(&format!("Idempotency-Key: {}\r\n", String::from_utf8_lossy(key)));
    }
    headers.push_str(&timeout_header(wait));
    http::write_request("POST", "/v1/messages", &address.to_string(), &headers, &item.body)
}

fn batch_request(address: SocketAddr, wait: Micros, items: &[Item]) -> Vec<u8> {
    let mut body = Vec::new();
    for item in items {
        body.extend(&item.id[..]);
        body.push(b' ');
        body.extend(item.key.as_deref().unwrap_or(b"-"));
        body.extend(format!(" {}\r\n", item.body.len()).bytes());
        body.extend(&item.body[..]);
        body.extend(b"\r\n");
    }
    let headers = timeout_header(wait);
    http::write_request("POST", "/v1/messages:batch", &address.to_string(), &headers, &body)
}

/// What an answer says of each flow in the call. A new connection that is turned away and closed, and told no wait, found
/// the endpoint's connections all taken: on one that is kept, the same word would have been about the call.
fn outcome(out: &ActiveCall, answer: &Response, new: bool) -> Input {
    let wait = wait_header(&answer.headers);
    let slots_taken = answer.headers.get("X-Over-Slots").is_some_and(|value| value.trim() == "1");
    let each = |outcome, over| (0..out.ids.len()).map(|index| (index, outcome, over)).collect();
    let results: Vec<(usize, AttemptOutcome, bool)> = match answer.status {
        200 if out.batch => {
            let mut results: Vec<_> =
                out.ids.iter().enumerate().map(|(index, id)| batch_result(index, id, answer, wait)).collect();
            // The module takes the last word for the call's: a refusal says more than a delivery.
            results.sort_by_key(|result| u8::from(result.1 != AttemptOutcome::Delivered));
            results
        }
        200 => each(AttemptOutcome::Delivered, true),
        503 if slots_taken => each(AttemptOutcome::NotSent, false),
        503 if new && answer.close && wait.is_none() => each(AttemptOutcome::ConnectionLimitReached, false),
        429 | 503 => each(AttemptOutcome::Rejected { retry_after: wait }, false),
        504 => each(AttemptOutcome::NotSent, false),
        410 => each(AttemptOutcome::NotSent, true),
        status => {
            if status != 500 {
                log!("servers: answer {status} to a call of {}", out.ids.len());
            }
            each(AttemptOutcome::Error, false)
        }
    };
    Input::Answered { call: out.call, results, wait }
}

/// What the answer to a call of several says of one; silence may mean that it has run.
fn batch_result(
    index: usize,
    id: &[u8],
    answer: &Response,
    wait: Option<Micros>,
) -> (usize, AttemptOutcome, bool) {
    let lines = answer.body.split(|&byte| byte == b'\n').map(<[u8]>::trim_ascii);
    let mut results = lines.filter_map(|line| line.strip_prefix(id)?.strip_prefix(b" "));
    match results.next() {
        Some(b"delivered") => (index, AttemptOutcome::Delivered, true),
        Some(b"refused") => (index, AttemptOutcome::Rejected { retry_after: wait }, false),
        Some(b"over") => (index, AttemptOutcome::NotSent, true),
        Some(b"spent") => (index, AttemptOutcome::NotSent, false),
        _ => (index, AttemptOutcome::Error, false),
    }
}

#[cfg(test)]
mod tests;
