//! The discovery watch: each call goes out in the turn that brought the answer before it.

use super::{read, Names, News};
use crate::net::caller::Caller;
use crate::net::http::{write_request, Answer};
use crate::net::poll::{Peer, Poll};
use crate::Micros;
use std::net::SocketAddr;

/// How long discovery may hold a call that has nothing to tell.
const HOLD_MS: u64 = 4_000;
/// An agent that is silent for so long beyond that is asked anew, on a new connection.
const SILENCE: Micros = Micros(1_000_000);

/// See the module's text.
pub struct Watch {
    caller: Caller,
    host: String,
    names: Names,
    /// Version of the list held; none makes the next call ask for the whole list.
    generation: Option<u64>,
}

impl Watch {
    /// Goes on from the version held.
    pub fn new(address: SocketAddr, names: Names, generation: Option<u64>) -> Watch {
        Watch { caller: Caller::new(Peer::Watch, address), host: address.to_string(), names, generation }
    }

    /// Goes on at another address. Its versions may be counted differently, so the whole list is asked for.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.generation) = (address.to_string(), None);
        }
    }

    /// Sends the next call if none is out.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.caller.failed(now) {
            log!("discovery: no answer, asking again");
        }
        if !self.caller.free(now) {
            return;
        }
        let (target, held) = match self.generation {
            Some(generation) => (format!("/v1/endpoints?from={generation}&hold_ms={HOLD_MS}"), HOLD_MS),
            None => ("/v1/endpoints".to_owned(), 0),
        };
        let request = write_request("GET", &target, &self.host, "", b"");
        self.caller.ask(poll, &request, now.plus(Micros(held * 1000)).plus(SILENCE));
    }

    /// When [`Watch::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(true)
    }

    /// News, if an answer has come.
    pub fn ready(&mut self, poll: &mut Poll, token: u64, now: Micros) -> Option<News> {
        let Answer { status, mut body, .. } = self.caller.ready(poll, token)?;
        let news = (status == 200)
            .then(|| simd_json::to_borrowed_value(&mut body).ok())
            .flatten()
            .and_then(|value| read(&value, &self.names));
        match &news {
            Some(news) => self.generation = Some(news.generation),
            None => {
                log!("discovery: answer {status} cannot be read");
                self.generation = None;
            }
        }
        self.tick(poll, now);
        news
    }
}
