//! The platform's front: one flow a request, over HTTP/1.1.

use super::life::{Late, Life};
use super::PLATFORM;
use crate::directory::Directory;
use crate::engine::{Input, Offer, Reply, Token};
use crate::journal::{End, Space};
use crate::lifecycle::Connections;
use crate::net::http::{self, Headers, Parsed, Request};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::{self, HandedStream, Stream};
use crate::{DestinationId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;

/// Share of the places that connections between two requests may fill: clients open only so many, and where each
/// asks once and stays, those that come next would find none left though the forwarder does nothing.
const KEPT_SHARE: f64 = 0.3;
/// How often connections are looked through for those whose time is up.
const SWEEP: Micros = Micros(250_000);
/// A connection opened so lately may have its first request on the way. Less than the half second that a drain leaves until staff
/// expect all to be closed.
const FIRST_REQUEST_TIME: Micros = Micros(300_000);
/// Longest id or idempotency key.
const LONGEST_NAME: usize = 256;
/// Behind a request that is with the core, so many bytes may wait: those of one more request.
const MOST_WAITING: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

struct Edge {
    stream: Stream,
    life: Life,
    /// The listener that it came by has moved: it closes behind the next answer.
    leaving: bool,
    continued: bool,
    used_at: Micros,
    spot: Spot,
}

/// A connection, for the process that follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedEdge {
    stream: HandedStream,
    /// Told by none that was handed over by a version before this.
    #[serde(default)]
    life: Option<Life>,
    leaving: bool,
    continued: bool,
    used_at: Micros,
}

/// Which gives way first: whose client did wrong, then who never brought a request, then the one unused for longest.
type Rank = (bool, bool, Micros);

/// Where a connection stands in the indexes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Spot {
    ends_at: Micros,
    rank: Rank,
    /// Between two requests.
    unused: bool,
}

/// See the module's text. Cost of a request or of a turn: some look-ups, however many connections are held.
pub struct Platform {
    /// None once nobody is let in any more.
    listener: Option<TcpListener>,
    edges: BTreeMap<u64, Edge>,
    /// When each is to be ended, unless something comes.
    ends: BTreeSet<(Micros, u64)>,
    /// All that are not with the core, by which gives way first.
    ranks: BTreeSet<(Rank, u64)>,
    /// Those between two requests, by when they were last used.
    unused: BTreeSet<(Micros, u64)>,
    directory: Rc<Directory>,
    most: usize,
    swept_at: Micros,
    /// How often no connection could be taken though one was there.
    pub listener_failures: u64,
    /// What `GET /ready` answers.
    pub is_ready: bool,
    /// What becomes of connections.
    pub fate: Connections,
}

impl Platform {
    /// The poll waits for the listener already; at most so many connections are held.
    pub fn new(listener: TcpListener, directory: Rc<Directory>, most: usize) -> Platform {
        Platform {
            listener: Some(listener),
            edges: BTreeMap::new(),
            ends: BTreeSet::new(),
            ranks: BTreeSet::new(),
            unused: BTreeSet::new(),
            directory,
            most,
            swept_at: Micros(0),
            listener_failures: 0,
            is_ready: false,
            fate: Connections::Kept,
        }
    }

    /// A connection may stand elsewhere now.
    fn place(&mut self, token: u64) {
        let Some(edge) = self.edges.get_mut(&token) else { return };
        let unused = matches!(edge.life, Life::Resting { .. });
        let rank = (!edge.life.ends(), edge.life.known(), edge.used_at);
        let new = Spot { ends_at: edge.life.ends_at(edge.stream.flushed()), rank, unused };
        if new == edge.spot {
            return;
        }
        let (old, asked) = (std::mem::replace(&mut edge.spot, new), edge.life.answering());
        self.leave(token, old);
        if new.ends_at < Micros(u64::MAX) {
            self.ends.insert((new.ends_at, token));
        }
        if !asked {
            self.ranks.insert((new.rank, token));
        }
        if new.unused {
            self.unused.insert((new.rank.2, token));
        }
    }

    fn leave(&mut self, token: u64, spot: Spot) {
        self.ends.remove(&(spot.ends_at, token));
        self.ranks.remove(&(spot.rank, token));
        self.unused.remove(&(spot.rank.2, token));
    }

    /// Ends a connection.
    fn remove(&mut self, token: u64) {
        if let Some(edge) = self.edges.remove(&token) {
            self.leave(token, edge.spot);
        }
    }

    /// The listener, for the process that follows.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// How many connections are held.
    pub fn held(&self) -> usize {
        self.edges.len()
    }

    /// Bytes of some client wait to be read. Cost: the connections held, near the process's end.
    pub fn unread(&self) -> bool {
        self.edges.values().any(Edge::unread)
    }

    /// Closes so many connections on which nothing is under way, those unused for longest first, at once: their
    /// descriptors are wanted now.
    pub fn close_some(&mut self, count: usize) {
        let oldest: Vec<u64> = self.unused.iter().map(|&(_, token)| token).collect();
        let idle =
            oldest.into_iter().filter(|token| self.edges.get(token).is_some_and(Edge::idle)).take(count);
        idle.collect::<Vec<u64>>().into_iter().for_each(|token| self.remove(token));
    }

    /// All connections, for the process that follows. Between two turns no offer is with the core.
    pub fn hand_over(&self) -> (Vec<HandedEdge>, Vec<BorrowedFd<'_>>) {
        let edge = |edge: &'_ Edge| {
            let &Edge { life, leaving, continued, used_at, .. } = edge;
            HandedEdge { stream: edge.stream.hand_over().0, life: Some(life), leaving, continued, used_at }
        };
        let open = || self.edges.values().filter(|edge| !edge.life.answering());
        (open().map(edge).collect(), open().map(|edge| edge.stream.hand_over().1).collect())
    }

    /// Goes on with a connection that another process handed over.
    pub fn follow(&mut self, poll: &mut Poll, handed: HandedEdge, socket: OwnedFd) {
        let token = poll.token(Peer::Client);
        let Ok(stream) = Stream::take_over(poll, token, handed.stream, socket) else { return };
        let HandedEdge { life, leaving, continued, used_at, .. } = handed;
        let life = life.unwrap_or(Life::Resting { since: used_at });
        let edge = Edge { stream, life, leaving, continued, used_at, spot: Spot::NONE };
        self.edges.insert(token, edge);
        self.place(token);
    }

    /// Other names and another number of places count from now on. What is open stays so.
    pub fn configure(&mut self, directory: Rc<Directory>, most: usize) {
        (self.directory, self.most) = (directory, most);
    }

    /// Another address, which the poll waits for already. Whoever is connected at the old one finishes the request that
    /// it is in, and finds the connection ended behind the answer. Those that wait at the old one are let in first. One that has
    /// brought nothing yet may have its first request on the way, and stays until that is answered or its time is up. Cost: the
    /// connections held.
    pub fn move_to(&mut self, poll: &mut Poll, listener: TcpListener, now: Micros) {
        self.accept(poll, now);
        self.listener = Some(listener);
        self.edges.values_mut().for_each(|edge| edge.leaving = true);
        self.end_resting(now);
    }

    /// Nobody is let in any more: whoever waits at the listener is let in, then it closes.
    fn shut(&mut self, poll: &mut Poll, now: Micros) {
        self.accept(poll, now);
        self.listener = None;
    }

    /// New connections are there.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        while let Some(socket) = self
            .listener
            .as_ref()
            .and_then(|listener| stream::accept_next(listener, "clients", &mut self.listener_failures))
        {
            if self.edges.len() >= self.most {
                self.make_room();
            }
            let token = poll.token(Peer::Client);
            let Ok(stream) = Stream::accepted(poll, token, socket) else { continue };
            let life = Life::open(now);
            let mut edge =
                Edge { stream, life, leaving: false, continued: false, used_at: now, spot: Spot::NONE };
            if self.edges.len() >= self.most {
                // A turn-down that the client can read; the socket is let go with it.
                let answer = http::write_response(503, &[("Retry-After", "0.5")], b"", true);
                let _ = edge.stream.send(poll, &answer);
                log!("clients: {} connections, one more turned down", self.edges.len());
                continue;
            }
            self.edges.insert(token, edge);
            self.place(token);
        }
    }

    /// Where all places are taken, one that is not in use is given up. Connections whose client did wrong go first,
    /// then those that never brought a request, then those between two requests, each time the oldest: silent
    /// connections, however many, cost nobody else a place. One with bytes that are still to be read is in use.
    fn make_room(&mut self) {
        let unused = |edge: &Edge| matches!(edge.life, Life::Lingering { .. }) || edge.idle();
        let fits = |token: &u64| self.edges.get(token).is_some_and(unused);
        let first = self.ranks.iter().map(|&(_, token)| token).find(fits);
        first.into_iter().for_each(|token| self.remove(token));
    }

    /// A connection is ready.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(edge) = self.edges.get_mut(&token) else { return };
        let broke = edge.stream.ready(poll).is_err();
        edge.used_at = now;
        if broke {
            self.remove(token);
            return;
        }
        self.read(poll, token, inputs);
    }

    /// Reads what has come on a connection, up to the next offer.
    fn read(&mut self, poll: &Poll, token: u64, inputs: &mut Vec<Input>) {
        self.read_on(poll, token, inputs);
        self.place(token);
    }

    fn read_on(&mut self, poll: &Poll, token: u64, inputs: &mut Vec<Input>) {
        let leaving = self.fate != Connections::Kept;
        let Some(edge) = self.edges.get_mut(&token) else { return };
        let now = edge.used_at;
        if (edge.life.answering() || !edge.stream.flushed()) && edge.stream.input.len() > MOST_WAITING {
            // Clients send one request at a time; this one never stops. The open one is answered, then it ends.
            edge.life.end(now);
        }
        // Who does not read its answers is not given more of them: they would pile up here.
        while edge.life.reads() && edge.stream.flushed() && !edge.stream.input.is_empty() {
            match http::parse_request(&edge.stream.input) {
                Parsed::Complete(request, used) => {
                    edge.stream.input.drain(..used);
                    edge.continued = false;
                    edge.life.asked(request.close || edge.leaving || leaving);
                    match offer(token, request, &self.directory, self.is_ready) {
                        Ok(offer) => inputs.push(Input::Offer(offer)),
                        Err(status) => {
                            edge.life.answered(now, false);
                            send(poll, edge, status, &[], b"");
                        }
                    }
                }
                Parsed::Partial { expects_continue } => {
                    edge.life.begun(now);
                    if expects_continue && !std::mem::replace(&mut edge.continued, true) {
                        let _ = edge.stream.send(poll, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    break;
                }
                Parsed::Invalid(status) => {
                    edge.life.end(now);
                    send(poll, edge, status, &[], b"");
                }
            }
        }
        self.settle(token, now);
    }

    /// A connection that ends goes the next step, as far as it can be gone now: what is owed is written, its sending is
    /// ended, what comes is dropped, and it is let go.
    fn settle(&mut self, token: u64, now: Micros) {
        let Some(edge) = self.edges.get_mut(&token) else { return };
        if edge.life.ends() {
            edge.life.dropped(edge.stream.input.len());
            edge.stream.input.clear();
        }
        let flushed = edge.stream.flushed();
        if edge.stream.ended {
            edge.life.client_ended(now, flushed);
        }
        if flushed && edge.life.flushed(now) && edge.stream.shutdown_write().is_err() {
            edge.life = Life::Gone;
        }
        if edge.life == Life::Gone {
            self.remove(token);
        }
    }

    /// Connections on which nothing is under way end. One on which something has come just now is read first.
    fn end_idle(&mut self, tokens: Vec<u64>, now: Micros) {
        for token in tokens {
            if let Some(edge) = self.edges.get_mut(&token).filter(|edge| edge.idle()) {
                edge.life.end(now);
                self.settle(token, now);
                self.place(token);
            }
        }
    }

    /// All connections between two requests end.
    fn end_resting(&mut self, now: Micros) {
        let resting = self.unused.iter().map(|&(_, token)| token).collect();
        self.end_idle(resting, now);
    }

    /// The core's reply to an offer. What came meanwhile on the connection is read on.
    pub fn reply(&mut self, poll: &Poll, token: Token, reply: Reply, inputs: &mut Vec<Input>) {
        let Some(edge) = self.edges.get_mut(&token) else { return };
        edge.life.answered(edge.used_at, edge.leaving || self.fate != Connections::Kept);
        let (status, after, body) = match reply {
            Reply::TakenOn => (202, None, ""),
            Reply::TurnDown(after) | Reply::Known(End::Deferred(after)) => (503, Some(after), ""),
            Reply::Known(End::Delivered) => (200, None, "{\"status\":\"delivered\"}\n"),
            Reply::Known(_) => (410, None, "{\"status\":\"undeliverable\"}\n"),
            Reply::Taken => (409, None, ""),
            Reply::Unknown => (400, None, ""),
        };
        match after {
            Some(after) => {
                let seconds = format!("{:.3}", after.0 as f64 / 1e6);
                send(poll, edge, status, &[("Retry-After", &seconds)], body.as_bytes());
            }
            None => send(poll, edge, status, &[], body.as_bytes()),
        }
        self.read(poll, token, inputs);
    }

    /// Connections between two requests, beyond so many, are ended: first the one unused for longest.
    fn close_unused(&mut self, now: Micros) {
        let most = (self.most as f64 * KEPT_SHARE) as usize;
        let over = self.unused.len().saturating_sub(most);
        let oldest: Vec<u64> = self.unused.iter().take(over).map(|&(_, token)| token).collect();
        self.end_idle(oldest, now);
    }

    /// Clients are sent away: connections unused for so long end. Cost: the connections that end.
    fn send_away(&mut self, now: Micros, unused_for: Micros) {
        let gone = |at: Micros| at.plus(unused_for) <= now;
        let unused = self.unused.iter().take_while(|(at, _)| gone(*at)).map(|&(_, token)| token);
        let mut late: Vec<u64> = unused.collect();
        if unused_for == Micros(0) {
            // Those that never brought a request go with the last, but those opened just now: their client has written it, or is
            // about to, and would get no answer.
            let opened_by = |at: Micros| at.plus(FIRST_REQUEST_TIME) <= now;
            let new = self.ranks.iter().take_while(|((stays, known, _), _)| !(*stays && *known));
            late.extend(new.filter(|((.., at), _)| opened_by(*at)).map(|&(_, token)| token));
        }
        self.end_idle(late, now);
    }

    /// Ends connections whose clients are gone, or slower than they may be.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        self.close_unused(now);
        match self.fate {
            Connections::Kept | Connections::EndAnswered => {}
            Connections::EndUnused(unused_for) => self.send_away(now, unused_for),
            Connections::End => {
                // One that has brought nothing yet may have its request on the way: it stays to the process's end.
                self.shut(poll, now);
                self.end_resting(now);
            }
        }
        if now < self.swept_at.plus(SWEEP) {
            return;
        }
        self.swept_at = now;
        let late: Vec<u64> =
            self.ends.iter().take_while(|(at, _)| *at <= now).map(|&(_, token)| token).collect();
        for token in late {
            let Some(edge) = self.edges.get_mut(&token) else { continue };
            // Bytes that came in this moment are read first.
            if !edge.unread() && edge.life.late(now, edge.stream.flushed()) == Late::TellTimeout {
                send(poll, edge, 408, &[], b"");
            }
            self.settle(token, now);
            self.place(token);
        }
    }

    /// When [`Platform::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let sent_away = match self.fate {
            Connections::EndUnused(_) | Connections::End if !self.edges.is_empty() => {
                Some(self.swept_at.plus(SWEEP))
            }
            _ => None,
        };
        let ends = self.ends.first().map(|&(at, _)| at.max(self.swept_at.plus(SWEEP)));
        sent_away.into_iter().chain(ends).min()
    }
}

impl Edge {
    /// Bytes have come that are still with the system, and that would be read as a request now.
    fn unread(&self) -> bool {
        self.life.reads() && self.stream.flushed() && self.stream.has_unread()
    }

    /// Nothing is under way on it: nothing has come that is still to be read, and all is written.
    fn idle(&self) -> bool {
        matches!(self.life, Life::Open { .. } | Life::Resting { .. })
            && self.stream.is_reusable()
            && self.stream.flushed()
    }
}

impl Spot {
    const NONE: Spot = Spot { ends_at: Micros(0), rank: (false, false, Micros(0)), unused: false };
}

fn send(poll: &Poll, edge: &mut Edge, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let allow = [("Allow", if status == 405 { "POST" } else { "" })];
    let headers = if status == 405 { &allow[..] } else { headers };
    if edge.stream.send(poll, &http::write_response(status, headers, body, edge.life.ends())).is_err() {
        edge.life = Life::Gone;
    }
}

/// The offer that a request makes, or the status that it is answered with.
fn offer(token: Token, request: Request, directory: &Directory, is_ready: bool) -> Result<Offer, u16> {
    let path = request.target.split('?').next().unwrap_or_default();
    match (path, request.method.as_str()) {
        ("/ready", "GET" | "HEAD") => return Err(if is_ready { 200 } else { 503 }),
        ("/api", "POST") => {}
        ("/api" | "/ready", _) => return Err(405),
        _ => return Err(404),
    }
    let headers = &request.headers;
    let name = |name: &str| -> Result<Option<Rc<[u8]>>, u16> {
        let value = headers.get(name).filter(|value| !value.is_empty());
        // In a call of several, names stand between spaces on a line.
        if value.is_some_and(|value| {
            value.len() > LONGEST_NAME || !value.bytes().all(|byte| byte.is_ascii_graphic())
        }) {
            return Err(400);
        }
        Ok(value.map(|value| Rc::from(value.as_bytes())))
    };
    let class = headers.get("Request-Class").and_then(|name| directory.classes.active_index(name));
    Ok(Offer {
        token,
        front: PLATFORM,
        // Real servers tell messages of this front apart by their ids alone, whoever's they are.
        space: Space::Front,
        tell_delivered: false,
        tenant: directory.tenant_index(headers.get("Tenant")).ok_or(400u16)?,
        class: class.ok_or(400u16)?,
        destination: destination(headers).ok_or(400u16)?,
        id: name("Request-Id")?.ok_or(400u16)?,
        key: name("Idempotency-Key")?,
        time_left: time_left(headers).ok_or(400u16)?,
        again: headers.get("Client-Retry").is_some(),
        origin: Rc::from(&[][..]),
        body: request.body.into(),
    })
}

fn destination(headers: &Headers) -> Option<DestinationId> {
    let parts = headers.get("X-Addressing")?.split([',', ';']);
    let dest = parts.filter_map(|part| part.trim().strip_prefix("dest=")).next()?;
    dest.trim().parse().ok().map(DestinationId)
}

fn time_left(headers: &Headers) -> Option<Micros> {
    let seconds: f64 = headers.get("Request-Timeout")?.parse().ok()?;
    (seconds.is_finite() && (0.0..=1e6).contains(&seconds)).then(|| Micros::from_ms(seconds * 1e3))
}
