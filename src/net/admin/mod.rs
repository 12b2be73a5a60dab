//! The administration API: HTTP and JSON on a listener of its own, with bearer tokens. A tenant's token sees
//! that tenant only; other tenants look non-existent to it. Requests about the configuration are handled in
//! `changes`.

pub mod changes;

use super::http::{self, Parsed, Request, RequestParser};
use super::list::endpoints::EndpointList;
use super::poll::{Hangup, Peer, Poll};
use super::reports::escape;
use super::stream::{self, Stream};
use crate::config::descriptors::ADMINISTRATION_CONNECTIONS;
use crate::config::desk::ChangeService;
use crate::config::model::Token;
use crate::config::problem::Problem;
use crate::engine::{Counts, Engine, Input};
use crate::journal::FinalOutcome;
use crate::tenancy::rate::ArrivalLimiter;
use crate::{Lifecycle, Micros};
use changes::{ChangeRequest, Handling, QueuedChange};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;

/// Limit on the messages listed in one answer.
const MAX_LISTED_MESSAGES: usize = 1000;
/// Longest request body: a configuration document of the operators.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Largest number of buffered bytes of one connection: one request and the begin of another.
const MAX_INPUT_BYTES: usize = MAX_BODY_BYTES + 2 * http::MAX_HEAD_BYTES;
/// Requests that are answered in one iteration, and connections that are accepted: the others wait for the next.
const MAX_REQUESTS_PER_ITERATION: usize = 4;
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Time after which a connection without a pending change is closed.
const IDLE_TIMEOUT: Micros = Micros(30_000_000);
const JSON: &str = "application/json";
/// Content type of problem details (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";

/// State that requests are answered from.
#[derive(Clone, Copy)]
pub struct ApiContext<'a> {
    /// The core.
    pub engine: &'a Engine,
    /// The endpoint records.
    pub endpoint_list: &'a EndpointList,
    /// The configuration and its versions.
    pub change_service: &'a ChangeService,
    /// The current time.
    pub now: Micros,
}

struct Connection {
    stream: Stream,
    parser: RequestParser,
    /// A requested change is pending. Further input waits until it is answered.
    awaits_change: bool,
    /// The client has ended its sending side, or the whole connection: one more request is answered.
    sends_no_more: bool,
    close: bool,
    /// The token of the last request.
    token: Option<Token>,
    used_at: Micros,
}

/// The administration API.
pub struct Admin {
    listener: TcpListener,
    connections: BTreeMap<u64, Connection>,
    /// Connections that may have received a request, in the order in which they are answered.
    unanswered: VecDeque<u64>,
    /// Connections whose command is in the engine's inputs and not in the journal yet.
    awaiting_record: Vec<u64>,
    /// The most bytes that the buffers of all connections may take.
    max_buffered_bytes: usize,
    tokens: Vec<Token>,
    /// Rate limits of the tokens, by index in `tokens`.
    requests: ArrivalLimiter,
    retired: bool,
    /// Number of pending connections that could not be accepted.
    pub listener_failures: u64,
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub kind: &'static str,
    /// The body.
    pub body: String,
    /// The configuration version that the answer refers to.
    pub etag: Option<u64>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// Creates an answer with a status and no body.
    pub fn empty(status: u16) -> Answer {
        Answer {
            status,
            kind: "",
            body: String::new(),
            etag: None,
            retry_after: (status == 503).then_some(1),
        }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: u16, value: &serde_json::Value) -> Answer {
        Answer { kind: JSON, body: format!("{value}\n"), ..Answer::empty(status) }
    }

    fn text(body: String) -> Answer {
        Answer { kind: JSON, body, ..Answer::empty(200) }
    }
}

impl Admin {
    /// Creates the API. The listener is already registered with the poll.
    pub fn new(listener: TcpListener, tokens: Vec<Token>, max_buffered_bytes: usize) -> Admin {
        let (connections, requests) = (BTreeMap::new(), ArrivalLimiter::default());
        let mut admin = Admin {
            listener,
            connections,
            unanswered: VecDeque::new(),
            awaiting_record: Vec::new(),
            max_buffered_bytes,
            tokens: Vec::new(),
            requests,
            retired: false,
            listener_failures: 0,
        };
        admin.configure(tokens);
        admin
    }

    /// The listener, to be handed over to the successor process.
    pub fn listener(&self) -> Option<&TcpListener> {
        (!self.retired).then_some(&self.listener)
    }

    /// The tokens in force.
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The most bytes that the buffers of all connections may take.
    pub fn max_buffered_bytes(&self) -> usize {
        self.max_buffered_bytes
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Changes the most bytes that the buffers of all connections may take.
    pub fn set_max_buffered_bytes(&mut self, max_buffered_bytes: usize) {
        self.max_buffered_bytes = max_buffered_bytes;
    }

    /// Switches to a listener on another address. Requests on connections of the old one are still answered.
    pub fn move_to(&mut self, listener: TcpListener) {
        (self.listener, self.retired) = (listener, false);
    }

    /// Stops accepting connections. Pending changes are still answered.
    pub fn retire(&mut self) {
        self.retired = true;
        self.connections.retain(|_, one| one.awaits_change);
        self.connections.values_mut().for_each(|one| one.close = true);
    }

    /// Whether the API has been retired and no connection is left.
    pub fn is_done(&self) -> bool {
        self.retired && self.connections.is_empty()
    }

    /// Applies new tokens. Connections whose token was removed are closed after their pending answer. Visits
    /// all connections.
    pub fn configure(&mut self, tokens: Vec<Token>) {
        self.tokens = tokens;
        // The use of the old rate limits is dropped: with a new list each token gets its full burst.
        self.requests = ArrivalLimiter::default();
        self.requests.configure(self.tokens.iter().map(|token| token.requests).collect());
        let is_known = |token: &Option<Token>| token.as_ref().is_none_or(|token| self.tokens.contains(token));
        self.connections.retain(|_, one| one.awaits_change || is_known(&one.token));
        for one in self.connections.values_mut() {
            one.close |= !is_known(&one.token);
        }
    }

    /// Accepts pending connections. At the limit, the least recently used one without a pending change is
    /// closed.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.retired {
                break;
            }
            let Some(socket) =
                stream::accept_next(&self.listener, "administration", &mut self.listener_failures)
            else {
                break;
            };
            if self.connections.len() >= ADMINISTRATION_CONNECTIONS {
                let idle = self.connections.iter().filter(|(_, one)| !one.awaits_change);
                let oldest = idle.min_by_key(|(_, one)| one.used_at).map(|(&token, _)| token);
                oldest.into_iter().for_each(|token| self.remove(token));
            }
            if self.connections.len() >= ADMINISTRATION_CONNECTIONS {
                continue;
            }
            let token = poll.token(Peer::Admin);
            if let Ok(stream) = Stream::accepted(poll, token, socket) {
                let one = Connection {
                    stream,
                    parser: RequestParser::new(MAX_BODY_BYTES),
                    awaits_change: false,
                    sends_no_more: false,
                    close: false,
                    token: None,
                    used_at: now,
                };
                self.connections.insert(token, one);
            }
        }
    }

    /// Closes idle connections. Visits all connections, 64 at most.
    pub fn tick(&mut self, now: Micros) {
        self.connections.retain(|_, one| one.awaits_change || one.used_at.plus(IDLE_TIMEOUT) > now);
        let connections = &self.connections;
        self.unanswered.retain(|token| connections.contains_key(token));
    }

    /// Time of the next [`Admin::tick`], if any.
    pub fn due(&self) -> Option<Micros> {
        let idle = self.connections.values().filter(|one| !one.awaits_change);
        let unanswered = (!self.unanswered.is_empty()).then_some(Micros(0));
        idle.map(|one| one.used_at.plus(IDLE_TIMEOUT)).chain(unanswered).min()
    }

    /// Reads from a connection that is ready. Its requests are answered by [`Admin::answer_received`].
    pub fn ready(&mut self, poll: &Poll, token: u64, hangup: Hangup, now: Micros) {
        if hangup == Hangup::Connection {
            return self.remove(token);
        }
        if let Some(one) = self.connections.get_mut(&token).filter(|_| hangup == Hangup::Sending) {
            one.sends_no_more = true;
        }
        if self.unanswered.contains(&token) {
            // What it sends waits in the system's buffer; the socket is ready again in the next iteration.
            return;
        }
        let Some(one) = self.connections.get_mut(&token) else { return };
        one.used_at = now;
        if one.stream.ready(poll).is_err() || one.stream.input.len() > MAX_INPUT_BYTES {
            self.remove(token);
            return;
        }
        self.unanswered.push_back(token);
        self.free_memory();
    }

    /// Closes the connections with the largest buffers while all buffers together take too much memory. Visits
    /// all connections, 64 at most.
    fn free_memory(&mut self) {
        let buffered = |one: &Connection| one.stream.buffered_bytes();
        let mut total: usize = self.connections.values().map(buffered).sum();
        while total > self.max_buffered_bytes {
            let largest = self.connections.iter().filter(|(_, one)| !one.awaits_change);
            let largest =
                largest.max_by_key(|(_, one)| buffered(one)).map(|(&token, one)| (token, buffered(one)));
            let Some((token, bytes)) = largest.filter(|&(_, bytes)| bytes > 0) else { return };
            log!("administration: closing a connection whose buffers take {bytes} bytes: {total} are in use");
            total -= bytes;
            self.remove(token);
        }
    }

    fn remove(&mut self, token: u64) {
        self.connections.remove(&token);
        self.unanswered.retain(|&other| other != token);
    }

    /// Answers requests that have been received: a few in each iteration, of each connection in turn. Requested
    /// changes are added to `changes`; while too many wait, they are rejected.
    pub fn answer_received(
        &mut self,
        poll: &Poll,
        context: ApiContext,
        inputs: &mut Vec<Input>,
        changes: &mut VecDeque<QueuedChange>,
    ) {
        for _ in 0..MAX_REQUESTS_PER_ITERATION {
            let Some(token) = self.unanswered.pop_front() else { return };
            if self.answer_next(poll, token, context, inputs, changes) {
                self.unanswered.push_back(token);
            }
        }
    }

    /// Answers the next request of a connection. Returns whether it may have received another one. A client
    /// that does not read its answers gets no further ones.
    fn answer_next(
        &mut self,
        poll: &Poll,
        token: u64,
        context: ApiContext,
        inputs: &mut Vec<Input>,
        changes: &mut VecDeque<QueuedChange>,
    ) -> bool {
        let Some(one) = self.connections.get_mut(&token) else { return false };
        let may_answer = !one.awaits_change && one.stream.flushed();
        let parsed = match may_answer && !one.stream.input.is_empty() {
            true => one.parser.parse(&one.stream.input),
            false => Parsed::Partial { expects_continue: false },
        };
        match parsed {
            Parsed::Partial { .. } => {
                if one.stream.ended && !one.awaits_change {
                    self.remove(token);
                }
                false
            }
            Parsed::Invalid(status) => {
                one.close = true;
                one.stream.discard_input();
                self.send(poll, token, Answer::empty(status));
                false
            }
            Parsed::Complete(request, used) => {
                one.stream.consume(used);
                one.close |= request.close || one.sends_no_more;
                self.handle_request(poll, token, &request, context, inputs, changes);
                true
            }
        }
    }

    /// Checks the token of a request, and answers it or queues its change.
    fn handle_request(
        &mut self,
        poll: &Poll,
        token: u64,
        request: &Request,
        context: ApiContext,
        inputs: &mut Vec<Input>,
        changes: &mut VecDeque<QueuedChange>,
    ) {
        let bearer = request.headers.get("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        let bearer = bearer.unwrap_or_default().as_bytes();
        // All tokens are compared, so that the time taken does not reveal a near match.
        let matches = |known: &&Token| known.token.matches(bearer);
        let matching = self.tokens.iter().enumerate().filter(|(_, known)| matches(known));
        let known = matching.reduce(|_, known| known).map(|(index, known)| (index, known.clone()));
        if let Some(one) = self.connections.get_mut(&token) {
            one.token = known.as_ref().map(|(_, known)| known.clone());
        }
        let handling = match known {
            None => Handling::Answered(Answer::empty(401)),
            Some((index, known)) => match self.requests.admit(index, context.now) {
                Ok(()) => self.answer(request, &known, context),
                Err(wait) => Handling::Answered(rate_limited(wait)),
            },
        };
        match handling {
            Handling::Answered(answer) => self.send(poll, token, answer),
            Handling::Queued(_) if changes.len() >= changes::MAX_QUEUED_CHANGES => {
                let problem = format!("{} changes wait already", changes.len());
                let refusal = crate::config::desk::Refusal::new(503, problem, "come again");
                let number = context.change_service.versions().number();
                self.send(poll, token, changes::refusal_answer(&refusal, number));
            }
            Handling::Queued(change) => self.queue_change(token, change, changes),
            Handling::Recorded(input) => {
                inputs.push(input);
                if let Some(one) = self.connections.get_mut(&token) {
                    one.awaits_change = true;
                    self.awaiting_record.push(token);
                }
            }
        }
    }

    fn queue_change(
        &mut self,
        connection: u64,
        request: ChangeRequest,
        changes: &mut VecDeque<QueuedChange>,
    ) {
        let Some(one) = self.connections.get_mut(&connection) else { return };
        one.awaits_change = true;
        let who = one.token.as_ref().map_or(String::new(), |token| token.name.clone());
        changes.push_back(QueuedChange { connection, who, request });
    }

    /// Answers the commands that the engine has carried out; `is_recorded`: the journal has them.
    pub fn complete_recorded(&mut self, poll: &Poll, is_recorded: bool) {
        for connection in std::mem::take(&mut self.awaiting_record) {
            let problem =
                "in force until this process ends, but not stored: free the state folder, and ask again";
            let answer = match is_recorded {
                true => Answer::empty(204),
                false => Answer::json(507, &json!({ "problems": [problem] })),
            };
            self.complete_change(poll, connection, answer);
        }
    }

    /// Answers the pending change of a connection.
    pub fn complete_change(&mut self, poll: &Poll, connection: u64, answer: Answer) {
        if let Some(one) = self.connections.get_mut(&connection) {
            one.awaits_change = false;
            self.unanswered.push_back(connection);
            self.send(poll, connection, answer);
        }
    }

    fn send(&mut self, poll: &Poll, token: u64, answer: Answer) {
        let Some(one) = self.connections.get_mut(&token) else { return };
        let tag = answer.etag.map(|version| format!("\"{version}\"")).unwrap_or_default();
        let mut extra: Vec<(&str, &str)> = Vec::new();
        if answer.status == 401 {
            extra.push(("WWW-Authenticate", "Bearer"));
        }
        let retry_after = answer.retry_after.map(|seconds| seconds.to_string()).unwrap_or_default();
        if !retry_after.is_empty() {
            extra.push(("Retry-After", &retry_after));
        }
        if !answer.kind.is_empty() {
            extra.push(("Content-Type", answer.kind));
        }
        if !tag.is_empty() {
            extra.push(("ETag", &tag));
        }
        let bytes = http::write_response(answer.status, &extra, answer.body.as_bytes(), one.close);
        if one.stream.send(poll, &bytes).is_err() || one.close {
            self.remove(token);
        }
    }

    fn answer(&self, request: &Request, token: &Token, context: ApiContext) -> Handling {
        let path = request.target.split('?').next().unwrap_or_default();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let tenants = &context.engine.directory().tenants;
        // The token of a removed tenant sees nothing.
        let scope = token.tenant.as_ref().map(|name| tenants.active_index(name).unwrap_or(usize::MAX));
        let can_see = |tenant: usize| scope.is_none_or(|own| own == tenant);
        let named = |name: &str| tenants.active_index(name).filter(|&t| can_see(t));
        let list = |items: Vec<String>| Answer::text(format!("[{}]\n", items.join(",")));
        Handling::Answered(match (request.method.as_str(), &parts[..]) {
            // The configuration belongs to no tenant.
            (_, ["v1", "config", ..]) if scope.is_some() => Answer::empty(403),
            (_, ["v1", "config", rest @ ..]) => {
                return changes::answer(request, rest, context.change_service, context.now)
            }
            ("GET", ["v1", "tenants"]) => {
                list(tenants.active().filter(|&t| can_see(t)).map(|t| self.tenant(t, context)).collect())
            }
            ("GET", ["v1", "tenants", name]) => match named(name) {
                Some(tenant) => Answer::text(self.tenant(tenant, context) + "\n"),
                None => Answer::empty(404),
            },
            ("POST", ["v1", "tenants", name, verb @ ("pause" | "resume")]) => match named(name) {
                Some(tenant) => {
                    log!("administration: {verb} of tenant {name}");
                    return Handling::Recorded(Input::Pause(tenant, *verb == "pause"));
                }
                None => Answer::empty(404),
            },
            ("GET", ["v1", "flows"]) => list(self.messages(context, can_see)),
            ("GET", ["v1", "counts"]) => {
                let own = scope.map(|tenant| context.engine.tenant_status(tenant).0);
                Answer::text(format!("{{{}}}\n", counts(&own.unwrap_or(context.engine.totals()))))
            }
            // The list belongs to no tenant.
            ("GET", ["v1", "entries"]) if scope.is_some() => Answer::empty(403),
            ("GET", ["v1", "entries"]) => list(entries(context.endpoint_list)),
            (_, ["v1", "tenants" | "flows" | "counts" | "entries"])
            | (_, ["v1", "tenants", _])
            | (_, ["v1", "tenants", _, "pause" | "resume"]) => Answer::empty(405),
            _ => Answer::empty(404),
        })
    }

    fn tenant(&self, tenant: usize, context: ApiContext) -> String {
        let (counters, paused) = context.engine.tenant_status(tenant);
        let open = counters.open;
        let name = escape(context.engine.directory().tenants.name(tenant));
        let shares = context.engine.tenant_shares(tenant).map(|(name, used, bounds)| {
            let (guarantee, ceiling) = (bounds.guarantee, bounds.ceiling);
            format!("\"{name}\":{{\"used\":{used},\"guarantee\":{guarantee},\"ceiling\":{ceiling}}}")
        });
        let shares = shares.join(",");
        format!(
            "{{\"name\":\"{name}\",\"paused\":{paused},\"open\":{open},{},\"shares\":{{{shares}}}}}",
            counts(&counters)
        )
    }

    fn messages(&self, context: ApiContext, can_see: impl Fn(usize) -> bool) -> Vec<String> {
        let names = context.engine.directory();
        let visible =
            context.engine.messages().filter(|message| can_see(message.tenant)).take(MAX_LISTED_MESSAGES);
        let lines = visible.map(|message| {
            let state = match message.outcome {
                Some(FinalOutcome::Delivered) => "delivered",
                Some(FinalOutcome::Deferred(_)) => "deferred",
                Some(_) => "undeliverable",
                None if message.in_flight => "out",
                None => "held",
            };
            format!(
                "{{\"id\":\"{}\",\"tenant\":\"{}\",\"class\":\"{}\",\"dest\":{},\"attempts\":{},\
                 \"state\":\"{state}\",\"left_ms\":{}}}",
                escape(&String::from_utf8_lossy(&message.id)),
                escape(names.tenants.name(message.tenant)),
                escape(names.classes.name(message.class)),
                message.destination,
                message.attempts,
                message.time_left.0 / 1000
            )
        });
        lines.collect()
    }
}

/// Answers a request above the rate limit of its token.
fn rate_limited(wait: Micros) -> Answer {
    let seconds = wait.0.div_ceil(1_000_000).max(1);
    let problem =
        Problem::new("", "requests with this token come too fast", format!("come again in {seconds} s"));
    Answer {
        retry_after: Some(seconds),
        ..changes::problem_answer(429, "too many requests", &problem.into(), None)
    }
}

fn entries(endpoint_list: &EndpointList) -> Vec<String> {
    let line = endpoint_list.entries().map(|entry| {
        let lifecycle = if entry.record.lifecycle == Lifecycle::Ready { "up" } else { "draining" };
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"dest\":{},\"lifecycle\":\"{lifecycle}\"}}",
            escape(&entry.name),
            entry.address.map_or(String::new(), |address| address.to_string()),
            entry.record.destination.0
        )
    });
    line.collect()
}

fn counts(counts: &Counts) -> String {
    format!(
        "\"taken_on\":{},\"turned_down\":{},\"delivered\":{},\"undeliverable\":{},\"deferred\":{}",
        counts.accepted, counts.rejected, counts.delivered, counts.undeliverable, counts.deferred
    )
}
