//! Where operators' staff call: readiness, figures, drains. One call to a connection, answered in the turn in which it
//! is whole. It shares nothing with the other fronts: few connections, short calls, and a descriptor in reserve.

use super::http::{self, Parsed, Request};
use super::maintenance::MaintenanceRequest;
use super::poll::{Peer, Poll};
use super::stream::{self, Stream};
use crate::lifecycle::{Lifecycle, Stage};
use crate::Micros;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};

/// Connections at most.
const MOST: usize = 32;
/// Longest body: calls need none...
const LONGEST_BODY: usize = 1024;
/// ...but for a round of maintenance, which names its forwarders.
const LONGEST_ROUND: usize = 16_384;
/// Longest head.
const LONGEST_HEAD: usize = 4096;
/// A call is whole within so long, and its answer read within so long.
const PATIENCE: Micros = Micros(2_000_000);
/// What comes behind a call is read and dropped for so long, as its answer would be lost with a reset.
const LINGER: Micros = Micros(500_000);
/// An address that could not be listened on is tried again after so long.
const TRY_AGAIN: Micros = Micros(1_000_000);

struct Connection {
    stream: Stream,
    since: Micros,
    /// Since then its answer is under way; whatever still comes is dropped.
    answered: Option<Micros>,
    /// Its call is whole, and the answer comes with a later turn.
    pending: bool,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Readiness,
    /// The figures.
    Stats,
    /// The members of the fleet.
    Members,
    /// Clients are to be sent away.
    StartDrain,
    /// Back to work.
    StopDrain,
    /// Rounds of maintenance, and who is out.
    Rounds,
    /// A round, or the end of one: answered in a later turn.
    Maintain(MaintenanceRequest),
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    status: u16,
    /// The method that would be right.
    allow: Option<&'static str>,
    body: String,
}

impl Answer {
    /// Of a status, with a word on why.
    fn plain(status: u16, why: &str) -> Answer {
        Answer { status, allow: None, body: format!("{}\n", json!({ "status": why })) }
    }

    /// Yes or no.
    pub fn readiness(life: &Lifecycle) -> Answer {
        let word = if life.can_serve() { life.stage().name() } else { "no list of endpoints yet" };
        Answer::plain(if life.can_serve() && !life.is_ending() { 200 } else { 503 }, word)
    }

    /// The figures.
    pub fn stats(figures: &serde_json::Value) -> Answer {
        Answer { status: 200, allow: None, body: format!("{figures}\n") }
    }

    /// The members of the fleet, or its maintenance, where there is any.
    pub fn known(known: Option<serde_json::Value>) -> Answer {
        known.map_or_else(Answer::nowhere, |known| Answer::stats(&known))
    }

    /// There is nothing of the kind here.
    pub fn nowhere() -> Answer {
        Answer::plain(404, "no such path")
    }

    /// Anything, in JSON.
    pub fn told(status: u16, body: &serde_json::Value) -> Answer {
        Answer { status, allow: None, body: format!("{body}\n") }
    }

    /// Done, or done before.
    pub fn done(stage: Stage) -> Answer {
        Answer::plain(200, stage.name())
    }

    /// Another process holds the folder, and this one waits for it.
    pub fn waiting() -> Answer {
        Answer::plain(503, "waiting for the process before")
    }

    /// It cannot be done in this stage.
    pub fn too_late(stage: Stage) -> Answer {
        Answer::plain(409, stage.name())
    }
}

/// See the module's text.
pub struct Ops {
    address: SocketAddr,
    listener: Option<TcpListener>,
    try_at: Micros,
    connections: BTreeMap<u64, Connection>,
    /// Let go of to take a call on where the table of descriptors is full.
    reserve: Option<File>,
    failures: u64,
}

impl Ops {
    /// Listens at an address; where it cannot, it goes on trying, and the process serves its clients all the same.
    pub fn new(poll: &mut Poll, address: SocketAddr, now: Micros) -> Ops {
        let (connections, reserve) = (BTreeMap::new(), File::open("/dev/null").ok());
        let mut ops = Ops { address, listener: None, try_at: now, connections, reserve, failures: 0 };
        ops.listen(poll, now);
        ops
    }

    /// Goes on with another poll.
    pub fn move_to(&mut self, poll: &mut Poll) -> std::io::Result<()> {
        if let Some(listener) = &self.listener {
            poll.listen(listener, Peer::OpsListener)?;
        }
        self.connections.retain(|&token, one| one.stream.move_to(poll, token).is_ok());
        Ok(())
    }

    fn listen(&mut self, poll: &mut Poll, now: Micros) {
        let bound = TcpListener::bind(self.address);
        match bound.and_then(|listener| poll.listen(&listener, Peer::OpsListener).map(|()| listener)) {
            Ok(listener) => self.listener = Some(listener),
            Err(problem) => {
                let at = self.address;
                log!("operators' calls: cannot listen on {at}: {problem}; trying again each second: free it, or name another");
                self.try_at = now.plus(TRY_AGAIN);
            }
        }
    }

    /// New connections are there. Where all places are taken, the oldest without a whole call gives way.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        loop {
            let Some(listener) = &self.listener else { return };
            let before = self.failures;
            let mut next = stream::next(listener, "operators' calls", &mut self.failures);
            if next.is_none() && self.failures > before && self.reserve.take().is_some() {
                next = stream::next(listener, "operators' calls", &mut self.failures);
            }
            let Some(socket) = next else { break };
            if self.connections.len() >= MOST {
                let oldest =
                    self.connections.iter().min_by_key(|(_, one)| (one.answered.is_none(), one.since));
                let oldest = oldest.map(|(&token, _)| token);
                oldest.map(|token| self.connections.remove(&token));
            }
            let token = poll.token(Peer::Ops);
            if let Ok(stream) = Stream::accepted(poll, token, socket) {
                self.connections
                    .insert(token, Connection { stream, since: now, answered: None, pending: false });
            }
        }
    }

    /// A connection is ready. Tells what it asks, once that is whole; [`Ops::answer`] is to follow at once.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros) -> Option<Call> {
        let one = self.connections.get_mut(&token)?;
        if one.stream.ready(poll).is_err() {
            self.remove(token);
            return None;
        }
        if one.pending {
            return None;
        }
        if one.answered.is_some() {
            one.stream.input.clear();
            if one.stream.ended && one.stream.flushed() {
                self.remove(token);
            }
            return None;
        }
        let round = one.stream.input.starts_with(b"PUT /ops/maintenance ");
        let longest = if round { LONGEST_ROUND } else { LONGEST_BODY };
        let refused = match http::call(&one.stream.input, longest) {
            Parsed::Whole(request, _) => match asked(&request) {
                Ok(call) => {
                    one.pending = matches!(call, Call::Maintain(_));
                    return Some(call);
                }
                Err(refused) => refused,
            },
            Parsed::Bad(status) => Answer::plain(status, "the call cannot be read"),
            Parsed::Partial { .. } if one.stream.input.len() > LONGEST_HEAD + longest => {
                Answer::plain(431, "the call is too long")
            }
            Parsed::Partial { .. } => {
                if one.stream.ended {
                    self.remove(token);
                }
                return None;
            }
        };
        self.answer(poll, token, now, &refused);
        None
    }

    /// Answers a call, and ends its connection when that is written.
    pub fn answer(&mut self, poll: &Poll, token: u64, now: Micros, answer: &Answer) {
        let Some(one) = self.connections.get_mut(&token) else { return };
        let mut headers = vec![("Content-Type", "application/json"), ("Cache-Control", "no-store")];
        headers.extend(answer.allow.map(|method| ("Allow", method)));
        let bytes = http::write_answer(answer.status, &headers, answer.body.as_bytes(), true);
        (one.answered, one.pending) = (Some(now), false);
        one.stream.input.clear();
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

    /// Ends connections whose callers are slower than they may be. Cost: the connections held, 32 at most.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.listener.is_none() && self.try_at <= now {
            self.listen(poll, now);
        }
        let late = self.connections.iter().filter(|(_, one)| one.ends_at() <= now);
        for token in late.map(|(&token, _)| token).collect::<Vec<_>>() {
            if self.connections.get(&token).is_some_and(|one| one.answered.is_none()) {
                self.answer(poll, token, now, &Answer::plain(408, "no whole call within 2 s"));
            } else {
                self.remove(token);
            }
        }
    }

    /// When [`Ops::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let again = self.listener.is_none().then_some(self.try_at);
        self.connections.values().map(Connection::ends_at).chain(again).min()
    }
}

impl Connection {
    fn ends_at(&self) -> Micros {
        match self.answered {
            None => self.since.plus(PATIENCE),
            Some(since) if self.stream.flushed() => since.plus(LINGER),
            Some(since) => since.plus(PATIENCE),
        }
    }
}

/// What a request asks for, or how it is refused.
fn asked(request: &Request) -> Result<Call, Answer> {
    let path = request.target.split('?').next().unwrap_or_default();
    let (method, call) = match path {
        "/ops/readiness" => ("GET", Call::Readiness),
        "/ops/stats" => ("GET", Call::Stats),
        "/ops/members" => ("GET", Call::Members),
        "/ops/drain/start" => ("PUT", Call::StartDrain),
        "/ops/drain/stop" => ("PUT", Call::StopDrain),
        "/ops/maintenance" if request.method == "PUT" => {
            ("PUT", Call::Maintain(MaintenanceRequest::Create(request.body.clone())))
        }
        "/ops/maintenance" => ("GET", Call::Rounds),
        _ if path.strip_prefix("/ops/maintenance/").is_some_and(|id| !id.is_empty()) => {
            let id = path.rsplit('/').next().unwrap_or_default().to_owned();
            ("DELETE", Call::Maintain(MaintenanceRequest::Cancel(id)))
        }
        _ => return Err(Answer::plain(404, "no such path")),
    };
    if request.method != method {
        return Err(Answer { allow: Some(method), ..Answer::plain(405, "another method") });
    }
    Ok(call)
}
