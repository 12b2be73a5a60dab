//! HTTP interface for operators: readiness, statistics, drains, maintenance. Each connection carries one
//! request, which is answered in the loop iteration in which it is complete. It shares nothing with the
//! client fronts: it has few connections, short requests and a reserved file descriptor.

use super::http::{self, Parsed, Request, RequestParser};
use super::maintenance::MaintenanceRequest;
use super::poll::{Peer, Poll};
use super::stream::{self, Stream};
use crate::config::descriptors::OPERATIONS_CONNECTIONS;
use crate::lifecycle::{Lifecycle, Stage};
use crate::Micros;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};

/// Limit on open connections.
const MAX_CONNECTIONS: usize = OPERATIONS_CONNECTIONS;
/// Connections accepted in one iteration; the others wait for the next.
const MAX_ACCEPTS_PER_ITERATION: usize = MAX_CONNECTIONS;
/// Longest request body: most requests need none.
const MAX_BODY_BYTES: usize = 1024;
/// Longest body of a maintenance plan, which names its forwarders.
const MAX_PLAN_BYTES: usize = 16_384;
/// Longest request head.
const MAX_HEAD_BYTES: usize = 4096;
/// Time within which a request is received in full, and within which its answer is read.
const REQUEST_TIMEOUT: Micros = Micros(2_000_000);
/// Time for which input after a request is read and discarded: closing over unread input sends a reset, which
/// would discard the answer.
const LINGER_TIMEOUT: Micros = Micros(500_000);
/// Time between attempts to listen on the address.
const LISTEN_RETRY_INTERVAL: Micros = Micros(1_000_000);

struct Connection {
    stream: Stream,
    parser: RequestParser,
    opened_at: Micros,
    /// Time at which the answer was queued; further input is discarded.
    answered_at: Option<Micros>,
    /// The request is complete and is answered in a later loop iteration.
    pending: bool,
}

/// Command of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Report whether this process can serve.
    Readiness,
    /// Report statistics.
    Statistics,
    /// Report the connections of clients and what they hold.
    Clients,
    /// List the members of the fleet.
    Members,
    /// Start a drain: clients are disconnected.
    StartDrain,
    /// End the drain.
    StopDrain,
    /// List the maintenance plans and the forwarders that are out of service.
    MaintenancePlans,
    /// Request or cancel a maintenance plan; answered in a later loop iteration.
    ChangeMaintenance(MaintenanceRequest),
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    /// The supported method, for a 405.
    allow: Option<&'static str>,
    body: String,
}

impl Answer {
    /// An answer with a status and a reason.
    fn plain(status: u16, why: &str) -> Answer {
        Answer { status, allow: None, body: format!("{}\n", json!({ "status": why })) }
    }

    /// Whether this process can serve: 200 or 503, with the lifecycle stage.
    pub fn readiness(life: &Lifecycle) -> Answer {
        let word = if life.can_serve() { life.stage().name() } else { "no list of endpoints yet" };
        Answer::plain(if life.can_serve() && !life.is_ending() { 200 } else { 503 }, word)
    }

    /// The statistics.
    pub fn statistics(statistics: &serde_json::Value) -> Answer {
        Answer { status: 200, allow: None, body: format!("{statistics}\n") }
    }

    /// A JSON value, or 404 where this process has none: fleets and maintenance are optional.
    pub fn json_or_not_found(value: Option<serde_json::Value>) -> Answer {
        value.map_or_else(Answer::not_found, |value| Answer::statistics(&value))
    }

    /// 404: the path does not exist here.
    pub fn not_found() -> Answer {
        Answer::plain(404, "no such path")
    }

    /// A JSON value with a status.
    pub fn json(status: u16, body: &serde_json::Value) -> Answer {
        Answer { status, allow: None, body: format!("{body}\n") }
    }

    /// 200 with the lifecycle stage: the command has been carried out, now or before.
    pub fn current_stage(stage: Stage) -> Answer {
        Answer::plain(200, stage.name())
    }

    /// 503: another process holds the state folder, and this one waits for it.
    pub fn waiting_for_predecessor() -> Answer {
        Answer::plain(503, "waiting for the process before")
    }

    /// 409: the command cannot be carried out in this lifecycle stage.
    pub fn conflict(stage: Stage) -> Answer {
        Answer::plain(409, stage.name())
    }
}

/// The operators' interface.
pub struct Ops {
    address: SocketAddr,
    listener: Option<TcpListener>,
    next_listen_at: Micros,
    connections: BTreeMap<u64, Connection>,
    /// Descriptor that is released to accept a connection when the descriptor table is full.
    reserve: Option<File>,
    listener_failures: u64,
}

impl Ops {
    /// Listens on an address. If that fails, it is retried, and the process serves its clients meanwhile.
    pub fn new(poll: &mut Poll, address: SocketAddr, now: Micros) -> Ops {
        let (connections, reserve) = (BTreeMap::new(), File::open("/dev/null").ok());
        let mut ops =
            Ops { address, listener: None, next_listen_at: now, connections, reserve, listener_failures: 0 };
        ops.listen(poll, now);
        ops
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Registers the listener and the connections with another poll.
    pub fn move_to(&mut self, poll: &mut Poll) -> std::io::Result<()> {
        if let Some(listener) = &self.listener {
            poll.listen(listener, Peer::OpsListener)?;
        }
        self.connections.retain(|&token, one| one.stream.register(poll, token).is_ok());
        Ok(())
    }

    fn listen(&mut self, poll: &mut Poll, now: Micros) {
        let bound = TcpListener::bind(self.address);
        match bound.and_then(|listener| poll.listen(&listener, Peer::OpsListener).map(|()| listener)) {
            Ok(listener) => self.listener = Some(listener),
            Err(problem) => {
                let at = self.address;
                log!("operators' calls: cannot listen on {at}: {problem}; retrying every second; free the address or configure another");
                self.next_listen_at = now.plus(LISTEN_RETRY_INTERVAL);
            }
        }
    }

    /// Accepts pending connections. At the limit, one connection is closed: an answered one if there is any,
    /// else the oldest.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(listener) = &self.listener else { return };
            let before = self.listener_failures;
            let mut next = stream::accept_next(listener, "operators' calls", &mut self.listener_failures);
            if next.is_none() && self.listener_failures > before && self.reserve.take().is_some() {
                next = stream::accept_next(listener, "operators' calls", &mut self.listener_failures);
            }
            let Some(socket) = next else { break };
            if self.connections.len() >= MAX_CONNECTIONS {
                let oldest =
                    self.connections.iter().min_by_key(|(_, one)| (one.answered_at.is_none(), one.opened_at));
                let oldest = oldest.map(|(&token, _)| token);
                oldest.map(|token| self.connections.remove(&token));
            }
            let token = poll.token(Peer::Ops);
            if let Ok(stream) = Stream::accepted(poll, token, socket) {
                let parser = RequestParser::without_required_length(MAX_BODY_BYTES);
                let connection =
                    Connection { stream, parser, opened_at: now, answered_at: None, pending: false };
                self.connections.insert(token, connection);
            }
        }
    }

    /// Handles readiness of a connection. Returns the command once the request is complete; the caller then
    /// answers it with [`Ops::answer`].
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros) -> Option<Command> {
        let one = self.connections.get_mut(&token)?;
        if one.stream.ready(poll).is_err() {
            self.remove(token);
            return None;
        }
        if one.pending {
            one.stream.discard_input();
            return None;
        }
        if one.answered_at.is_some() {
            one.stream.discard_input();
            if one.stream.ended && one.stream.flushed() {
                self.remove(token);
            }
            return None;
        }
        let is_plan = one.stream.input.starts_with(b"PUT /ops/maintenance ");
        let max_body = if is_plan { MAX_PLAN_BYTES } else { MAX_BODY_BYTES };
        one.parser.set_max_body(max_body);
        let error = match one.parser.parse(&one.stream.input) {
            Parsed::Complete(request, _) => match parse_command(&request) {
                Ok(command) => {
                    one.pending = matches!(command, Command::ChangeMaintenance(_));
                    return Some(command);
                }
                Err(error) => error,
            },
            Parsed::Invalid(status) => Answer::plain(status, "the call cannot be read"),
            Parsed::Partial { .. } if one.stream.input.len() > MAX_HEAD_BYTES + max_body => {
                Answer::plain(431, "the call is too long")
            }
            Parsed::Partial { .. } => {
                if one.stream.ended {
                    self.remove(token);
                }
                return None;
            }
        };
        self.answer(poll, token, now, &error);
        None
    }

    /// Answers a request; its connection closes once the answer is written.
    pub fn answer(&mut self, poll: &Poll, token: u64, now: Micros, answer: &Answer) {
        let Some(one) = self.connections.get_mut(&token) else { return };
        let mut headers = vec![("Content-Type", "application/json"), ("Cache-Control", "no-store")];
        headers.extend(answer.allow.map(|method| ("Allow", method)));
        let bytes = http::write_response(answer.status, &headers, answer.body.as_bytes(), true);
        (one.answered_at, one.pending) = (Some(now), false);
        one.stream.discard_input();
        if one.stream.send(poll, &bytes).is_err() || one.stream.ended && one.stream.flushed() {
            self.remove(token);
        }
    }

    fn remove(&mut self, token: u64) {
        self.connections.remove(&token);
        if self.reserve.is_none() {
            self.reserve = File::open("/dev/null").ok();
        }
    }

    /// Retries a failed listen and closes connections whose time is up. Visits all connections, 32 at most.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.listener.is_none() && self.next_listen_at <= now {
            self.listen(poll, now);
        }
        let expired = self.connections.iter().filter(|(_, one)| one.deadline() <= now);
        for token in expired.map(|(&token, _)| token).collect::<Vec<_>>() {
            if self.connections.get(&token).is_some_and(|one| one.answered_at.is_none()) {
                self.answer(poll, token, now, &Answer::plain(408, "no whole call within 2 s"));
            } else {
                self.remove(token);
            }
        }
    }

    /// Time of the next [`Ops::tick`], if any.
    pub fn due(&self) -> Option<Micros> {
        let listen_retry = self.listener.is_none().then_some(self.next_listen_at);
        self.connections.values().map(Connection::deadline).chain(listen_retry).min()
    }
}

impl Connection {
    fn deadline(&self) -> Micros {
        match self.answered_at {
            None => self.opened_at.plus(REQUEST_TIMEOUT),
            Some(answered_at) if self.stream.flushed() => answered_at.plus(LINGER_TIMEOUT),
            Some(answered_at) => answered_at.plus(REQUEST_TIMEOUT),
        }
    }
}

/// Parses the command of a request, or returns the answer that rejects it.
fn parse_command(request: &Request) -> Result<Command, Answer> {
    let path = request.target.split('?').next().unwrap_or_default();
    let (method, command) = match path {
        "/ops/readiness" => ("GET", Command::Readiness),
        "/ops/stats" => ("GET", Command::Statistics),
        "/ops/clients" => ("GET", Command::Clients),
        "/ops/members" => ("GET", Command::Members),
        "/ops/drain/start" => ("PUT", Command::StartDrain),
        "/ops/drain/stop" => ("PUT", Command::StopDrain),
        "/ops/maintenance" if request.method == "PUT" => {
            ("PUT", Command::ChangeMaintenance(MaintenanceRequest::Create(request.body.clone())))
        }
        "/ops/maintenance" => ("GET", Command::MaintenancePlans),
        _ if path.strip_prefix("/ops/maintenance/").is_some_and(|id| !id.is_empty()) => {
            let id = path.rsplit('/').next().unwrap_or_default().to_owned();
            ("DELETE", Command::ChangeMaintenance(MaintenanceRequest::Cancel(id)))
        }
        _ => return Err(Answer::plain(404, "no such path")),
    };
    if request.method != method {
        return Err(Answer { allow: Some(method), ..Answer::plain(405, "another method") });
    }
    Ok(command)
}
