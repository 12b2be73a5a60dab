//! The platform's front: one flow a request, over HTTP/1.1.

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

/// A connection between two requests is closed after so long: some clients ask once and keep it for good.
const UNUSED: Micros = Micros(5_000_000);
/// Share of the places that connections between two requests may fill: clients open only so many, and where each
/// asks once and stays, those that come next would find none left though the forwarder does nothing.
const KEPT_SHARE: f64 = 0.3;
/// A request is whole within so long of its first byte, the first one of the connection's start; and an answer is
/// read within so long. Whoever is slower is answered 408, or closed.
const PATIENCE: Micros = Micros(2_000_000);
/// How often connections are looked through for those whose time is up.
const SWEEP: Micros = Micros(250_000);
/// Longest id or idempotency key.
const LONGEST_NAME: usize = 256;
/// What a client goes on sending after a bad request is read and dropped for so long, and up to so many bytes.
const DROP_FOR: Micros = Micros(1_000_000);
const DROP_MOST: usize = 256 * 1024;
/// Behind a request that is with the core, so many bytes may wait: those of one more request.
const MOST_WAITING: usize = http::LONGEST_HEAD + http::LONGEST_BODY;

struct Edge {
    stream: Stream,
    /// An offer is with the core.
    asked: bool,
    /// Close once all is written.
    closing: bool,
    /// The listener that it came by has moved: it closes behind the next answer.
    leaving: bool,
    continued: bool,
    /// A whole request has come on it.
    known: bool,
    used_at: Micros,
    /// Since then a request is under way, or waited for on a connection that is new.
    began: Option<Micros>,
    dropped: usize,
    /// Since then, what comes is read and dropped: closed with bytes unread, the connection would be reset, and
    /// the client might lose the answer that tells what was wrong.
    dropping: Option<Micros>,
    spot: Spot,
}

/// A connection, for the process that follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedEdge {
    stream: HandedStream,
    closing: bool,
    leaving: bool,
    continued: bool,
    known: bool,
    used_at: Micros,
    began: Option<Micros>,
    dropped: usize,
    dropping: Option<Micros>,
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
    listener: TcpListener,
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
            listener,
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
        let unused = edge.known && !edge.asked && edge.began.is_none() && edge.dropping.is_none();
        let rank = (edge.dropping.is_none(), edge.known, edge.used_at);
        let new = Spot { ends_at: edge.ends_at(), rank, unused };
        if new == edge.spot {
            return;
        }
        let (old, asked) = (std::mem::replace(&mut edge.spot, new), edge.asked);
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
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// How many connections are held.
    pub fn held(&self) -> usize {
        self.edges.len()
    }

    /// Closes so many connections on which nothing is under way, those unused for longest first.
    pub fn close_some(&mut self, count: usize) {
        let oldest: Vec<u64> = self.unused.iter().map(|&(_, token)| token).collect();
        let mut left = count;
        for token in oldest {
            if left > 0
                && self.edges.get(&token).is_some_and(|edge| edge.stream.quiet() && edge.stream.flushed())
            {
                self.remove(token);
                left -= 1;
            }
        }
    }

    /// All connections, for the process that follows. Between two turns no offer is with the core.
    pub fn hand_over(&self) -> (Vec<HandedEdge>, Vec<BorrowedFd<'_>>) {
        let edge = |edge: &'_ Edge| {
            let &Edge { closing, leaving, continued, known, used_at, began, dropped, dropping, .. } = edge;
            let stream = edge.stream.hand_over().0;
            HandedEdge { stream, closing, leaving, continued, known, used_at, began, dropped, dropping }
        };
        let open = || self.edges.values().filter(|edge| !edge.asked);
        (open().map(edge).collect(), open().map(|edge| edge.stream.hand_over().1).collect())
    }

    /// Goes on with a connection that another process handed over.
    pub fn follow(&mut self, poll: &mut Poll, handed: HandedEdge, socket: OwnedFd) {
        let token = poll.token(Peer::Edge);
        let Ok(stream) = Stream::follow(poll, token, handed.stream, socket) else { return };
        let HandedEdge { closing, leaving, continued, known, used_at, began, dropped, dropping, .. } = handed;
        let spot = Spot { ends_at: Micros(0), rank: (false, false, Micros(0)), unused: false };
        let asked = false;
        let edge = Edge {
            stream,
            asked,
            closing,
            leaving,
            continued,
            known,
            used_at,
            began,
            dropped,
            dropping,
            spot,
        };
        self.edges.insert(token, edge);
        self.place(token);
    }

    /// Other names and another number of places count from now on. What is open stays so.
    pub fn configure(&mut self, directory: Rc<Directory>, most: usize) {
        (self.directory, self.most) = (directory, most);
    }

    /// Another address, which the poll waits for already. Whoever is connected at the old one finishes the request that
    /// it is in, and finds the connection closed behind the answer. Cost: the connections held.
    pub fn move_to(&mut self, listener: TcpListener) {
        self.listener = listener;
        let idle =
            self.edges.iter().filter(|(_, edge)| !edge.asked && edge.began.is_none() && edge.stream.quiet());
        let idle: Vec<u64> = idle.map(|(&token, _)| token).collect();
        idle.into_iter().for_each(|token| self.remove(token));
        self.edges.values_mut().for_each(|edge| edge.leaving = true);
    }

    /// New connections are there.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        loop {
            let Some(socket) = stream::next(&self.listener, "clients", &mut self.listener_failures) else {
                break;
            };
            if self.edges.len() >= self.most {
                self.make_room();
            }
            let token = poll.token(Peer::Edge);
            let Ok(stream) = Stream::accepted(poll, token, socket) else { continue };
            let mut edge = Edge {
                stream,
                asked: false,
                closing: false,
                leaving: false,
                continued: false,
                known: false,
                used_at: now,
                began: Some(now),
                dropped: 0,
                dropping: None,
                spot: Spot { ends_at: Micros(0), rank: (false, false, Micros(0)), unused: false },
            };
            if self.edges.len() >= self.most {
                // A turn-down that the client can read; the socket is let go with it.
                let answer = http::write_answer(503, &[("Retry-After", "0.5")], b"", true);
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
        let unused = |edge: &Edge| edge.dropping.is_some() || edge.stream.quiet();
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
        if edge.asked && edge.stream.input.len() > MOST_WAITING {
            // Clients send one request at a time; this one never stops. The open one is answered, then it ends.
            edge.refuse();
        }
        if edge.dropping.is_some() {
            edge.dropped += edge.stream.input.len();
            edge.stream.input.clear();
        }
        while !edge.asked && !edge.closing && !edge.stream.input.is_empty() {
            match http::request(&edge.stream.input) {
                Parsed::Whole(request, used) => {
                    edge.stream.input.drain(..used);
                    (edge.continued, edge.known) = (false, true);
                    edge.began = (!edge.stream.input.is_empty()).then_some(edge.used_at);
                    edge.closing = request.close || edge.leaving || leaving;
                    match offer(token, request, &self.directory, self.is_ready) {
                        Ok(offer) => {
                            edge.asked = true;
                            inputs.push(Input::Offer(offer));
                        }
                        Err(status) => send(poll, edge, status, &[], b""),
                    }
                }
                Parsed::Partial { expects } => {
                    edge.began.get_or_insert(edge.used_at);
                    if expects && !std::mem::replace(&mut edge.continued, true) {
                        let _ = edge.stream.send(poll, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    break;
                }
                Parsed::Bad(status) => {
                    edge.refuse();
                    send(poll, edge, status, &[], b"");
                }
            }
        }
        let done =
            edge.closing && edge.stream.flushed() && (edge.dropping.is_none() || edge.dropped > DROP_MOST);
        if !edge.asked && (edge.stream.ended || done) {
            self.remove(token);
        }
    }

    /// The core's reply to an offer. What came meanwhile on the connection is read on.
    pub fn reply(&mut self, poll: &Poll, token: Token, reply: Reply, inputs: &mut Vec<Input>) {
        let Some(edge) = self.edges.get_mut(&token) else { return };
        edge.asked = false;
        edge.closing |= edge.leaving || self.fate != Connections::Kept;
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

    /// Connections between two requests, beyond so many, are closed: first the one unused for longest.
    fn close_unused(&mut self) {
        let most = (self.most as f64 * KEPT_SHARE) as usize;
        let over = self.unused.len().saturating_sub(most);
        let oldest: Vec<u64> = self.unused.iter().take(over).map(|&(_, token)| token).collect();
        for token in oldest {
            if self.edges.get(&token).is_some_and(|edge| edge.stream.quiet() && edge.stream.flushed()) {
                self.remove(token);
            }
        }
    }

    /// Clients are sent away: connections unused for so long end. One on which something has come just now is read first.
    /// Cost: the connections that end.
    fn send_away(&mut self, now: Micros, unused_for: Micros) {
        let gone = |at: Micros| at.plus(unused_for) <= now;
        let unused = self.unused.iter().take_while(|(at, _)| gone(*at)).map(|&(_, token)| token);
        let mut late: Vec<u64> = unused.collect();
        if unused_for == Micros(0) {
            // Those that never brought a request go with the last.
            let new = self.ranks.iter().take_while(|((done, known, _), _)| !(*done && *known));
            late.extend(new.map(|&(_, token)| token));
        }
        for token in late {
            if self.edges.get(&token).is_some_and(|edge| edge.stream.quiet() && edge.stream.flushed()) {
                self.remove(token);
            }
        }
    }

    /// Ends connections whose clients are gone, or slower than they may be.
    pub fn tick(&mut self, poll: &Poll, now: Micros) {
        self.close_unused();
        if let Connections::EndUnused(unused_for) = self.fate {
            self.send_away(now, unused_for);
        }
        if now < self.swept_at.plus(SWEEP) {
            return;
        }
        self.swept_at = now;
        let late: Vec<u64> =
            self.ends.iter().take_while(|(at, _)| *at <= now).map(|&(_, token)| token).collect();
        for token in late {
            let Some(edge) = self.edges.get_mut(&token) else { continue };
            if edge.dropping.is_none() && edge.began.is_some() && edge.stream.flushed() {
                edge.closing = true;
                send(poll, edge, 408, &[], b"");
            }
            if edge.ends_at() <= now {
                self.remove(token);
            } else {
                self.place(token);
            }
        }
    }

    /// When [`Platform::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let sent_away = match self.fate {
            Connections::EndUnused(_) if !self.edges.is_empty() => Some(self.swept_at.plus(SWEEP)),
            _ => None,
        };
        let ends = self.ends.first().map(|&(at, _)| at.max(self.swept_at.plus(SWEEP)));
        sent_away.into_iter().chain(ends).min()
    }
}

impl Edge {
    /// What the client goes on sending is dropped, and the connection ends when what it is owed is written.
    fn refuse(&mut self) {
        self.closing = true;
        self.dropping.get_or_insert(self.used_at);
        self.stream.input.clear();
    }

    /// When its time is up, whatever comes: bytes that trickle in or out prolong nothing.
    fn ends_at(&self) -> Micros {
        match (self.asked, self.dropping, self.began) {
            (true, ..) => Micros(u64::MAX),
            (_, Some(since), _) => since.plus(DROP_FOR),
            (_, _, Some(since)) => since.plus(PATIENCE),
            _ if !self.stream.flushed() || self.closing => self.used_at.plus(PATIENCE),
            _ => self.used_at.plus(UNUSED),
        }
    }
}

fn send(poll: &Poll, edge: &mut Edge, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let allow = [("Allow", if status == 405 { "POST" } else { "" })];
    let headers = if status == 405 { &allow[..] } else { headers };
    if edge.stream.send(poll, &http::write_answer(status, headers, body, edge.closing)).is_err() {
        (edge.closing, edge.stream.ended) = (true, true);
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
    let class = headers.get("Request-Class").and_then(|name| directory.classes.find(name));
    Ok(Offer {
        token,
        front: PLATFORM,
        // Real servers tell messages of this front apart by their ids alone, whoever's they are.
        space: Space::Front,
        tell_delivered: false,
        tenant: directory.tenant(headers.get("Tenant")).ok_or(400u16)?,
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
