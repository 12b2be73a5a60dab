//! One kept connection on which requests of the forwarder's own go out, one at a time: for the discovery watch and
//! for notices.

use super::http::{self, Answer, Parsed};
use super::poll::{Peer, Poll};
use super::stream::Stream;
use crate::Micros;
use std::net::SocketAddr;

/// Pause before a new try after a failure.
const PAUSE: Micros = Micros(100_000);
/// An answer that has begun in time may take so long more: long ones come in pieces.
const REST: Micros = Micros(1_000_000);

/// How a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its connection was refused, reset or closed, or what came cannot be read.
    Broken,
    /// Its time is up.
    Silent,
}

/// See the module's text.
pub struct Caller {
    peer: Peer,
    address: SocketAddr,
    stream: Option<Stream>,
    token: u64,
    /// When the request that is out counts as unanswered.
    until: Option<Micros>,
    not_before: Micros,
}

impl Caller {
    /// Not connected yet.
    pub fn new(peer: Peer, address: SocketAddr) -> Caller {
        Caller { peer, address, stream: None, token: 0, until: None, not_before: Micros(0) }
    }

    /// Goes on at another address, at once; whatever is out is dropped. Tells whether it is another.
    pub fn move_to(&mut self, address: SocketAddr) -> bool {
        let moved = address != self.address;
        if moved {
            *self = Caller::new(self.peer, address);
        }
        moved
    }

    /// No request goes out for so long.
    pub fn rest(&mut self, now: Micros, pause: Micros) {
        self.not_before = now.plus(pause);
    }

    /// A request may go out now.
    pub fn free(&self, now: Micros) -> bool {
        self.until.is_none() && now >= self.not_before
    }

    /// When something is due: a new try, or the end of waiting.
    pub fn due(&self, wanted: bool) -> Option<Micros> {
        self.ends_at().or(wanted.then_some(self.not_before))
    }

    /// When the request that is out counts as unanswered.
    fn ends_at(&self) -> Option<Micros> {
        let begun = self.stream.as_ref().is_some_and(|stream| !stream.input.is_empty());
        self.until.map(|until| if begun && until > Micros(0) { until.plus(REST) } else { until })
    }

    /// Sends a request and waits for it until then. Whatever goes wrong shows as a failure later.
    pub fn ask(&mut self, poll: &mut Poll, request: &[u8], until: Micros) {
        self.until = Some(until);
        if self.stream.is_none() {
            self.token = poll.token(self.peer);
            self.stream = Stream::connect(poll, self.token, self.address).ok();
        }
        let sent = self.stream.as_mut().map(|stream| stream.send(poll, request));
        if !matches!(sent, Some(Ok(()))) {
            self.until = Some(Micros(0));
        }
    }

    /// The socket is ready: the answer, once it is whole.
    pub fn ready(&mut self, poll: &Poll, token: u64) -> Option<Answer> {
        let stream = self.stream.as_mut().filter(|_| token == self.token)?;
        let broke = stream.ready(poll).is_err();
        let parsed = http::answer(&stream.input, stream.ended, http::LONGEST_LIST);
        match parsed {
            Parsed::Whole(answer, used) if self.until.is_some() => {
                stream.input.drain(..used);
                if broke || stream.ended || answer.close || !stream.input.is_empty() {
                    self.stream = None;
                }
                self.until = None;
                return Some(answer);
            }
            Parsed::Partial { .. } if !broke && !stream.ended => {}
            _ => {
                self.stream = None;
                self.until = self.until.map(|_| Micros(0));
            }
        }
        None
    }

    /// Whether the request that is out has failed, and how; a new one may go after a pause.
    pub fn failed(&mut self, now: Micros) -> Option<Failure> {
        let until = self.ends_at().filter(|&until| until <= now)?;
        (self.stream, self.until) = (None, None);
        self.not_before = now.plus(PAUSE);
        Some(if until == Micros(0) { Failure::Broken } else { Failure::Silent })
    }
}
