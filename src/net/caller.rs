//! One kept connection on which requests of the forwarder's own go out, one at a time: for the discovery watch and
//! for notices.

use super::http::{self, Answer, Parsed};
use super::poll::{Peer, Poll};
use super::stream::Stream;
use crate::Micros;
use std::net::SocketAddr;

/// Pause before a new try after a failure.
const PAUSE: Micros = Micros(100_000);

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
        self.until.or(wanted.then_some(self.not_before))
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

    /// Whether the request that is out has failed; a new one may go after a pause.
    pub fn failed(&mut self, now: Micros) -> bool {
        let failed = self.until.is_some_and(|until| until <= now);
        if failed {
            (self.stream, self.until) = (None, None);
            self.not_before = now.plus(PAUSE);
        }
        failed
    }
}
