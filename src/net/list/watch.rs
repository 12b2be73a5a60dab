//! The discovery watch: each call goes out soon after the answer before it, at a moment of this forwarder's own. What is asked
//! next and when is decided in `round`.

use super::round::{Miss, Round};
use super::spread::Spread;
use super::{read, Names, News};
use crate::net::caller::{Caller, Failure};
use crate::net::http::{write_request, Answer};
use crate::net::poll::{Peer, Poll};
use crate::Micros;
use std::net::SocketAddr;

/// See the module's text.
pub struct Watch {
    caller: Caller,
    host: String,
    names: Names,
    /// Version of the list held; none makes the next call ask for the whole list.
    generation: Option<u64>,
    /// Discovery may be asked: with a membership, a few of a fleet's members do.
    pub wanted: bool,
    /// Calls begun since the start.
    pub calls: u64,
    round: Round,
}

impl Watch {
    /// Goes on from the version held; without one, asks at once.
    pub fn new(
        address: SocketAddr,
        names: Names,
        generation: Option<u64>,
        now: Micros,
        spread: Spread,
    ) -> Watch {
        let (mut caller, mut round) = (Caller::new(Peer::Watch, address), Round::new(spread));
        if generation.is_some() {
            caller.rest(now, round.start());
        }
        Watch { caller, host: address.to_string(), names, generation, wanted: true, calls: 0, round }
    }

    /// Goes on with the watch of a process before: its next call is due soon after that one's last answer.
    pub fn follow(&mut self, now: Micros) {
        let pause = self.round.follow();
        self.caller.rest(now, pause);
    }

    /// Version of the list held.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Another member gave this version of the list: the next call asks for changes since.
    pub fn goes_on_from(&mut self, generation: u64) {
        self.generation = Some(generation);
    }

    /// Goes on at another address. Its versions may be counted differently, so the whole list is asked for.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.generation) = (address.to_string(), None);
            self.round.begin_anew();
        }
    }

    /// Sends the next call if none is out.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if let Some(failure) = self.caller.failed(now) {
            let miss = match failure {
                Failure::Broken => Miss::Broken,
                Failure::Silent => Miss::Silent,
            };
            let pause = self.round.missed(miss);
            log!("discovery: no answer, asking again in {} ms", pause.0 / 1000);
            self.caller.rest(now, pause);
        }
        if !self.wanted || !self.caller.free(now) {
            return;
        }
        self.calls += 1;
        let ask = self.round.ask(self.generation.is_some());
        let target = match self.generation {
            Some(generation) => format!("/v1/endpoints?from={generation}&hold_ms={}", ask.hold.0 / 1000),
            None => "/v1/endpoints".to_owned(),
        };
        let request = write_request("GET", &target, &self.host, "", b"");
        self.caller.ask(poll, &request, now.plus(ask.patience));
    }

    /// When [`Watch::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(self.wanted)
    }

    /// News, if an answer has come.
    pub fn ready(&mut self, poll: &mut Poll, token: u64, now: Micros) -> Option<News> {
        let Answer { status, mut body, .. } = self.caller.ready(poll, token)?;
        let news = (status == 200)
            .then(|| simd_json::to_borrowed_value(&mut body).ok())
            .flatten()
            .and_then(|value| read(&value, &self.names));
        let pause = match &news {
            Some(news) => {
                self.generation = Some(news.generation);
                self.round.answered()
            }
            None => {
                let busy = status == 429 || status >= 500;
                let pause = self.round.missed(if busy { Miss::TurnedAway } else { Miss::Broken });
                log!("discovery: answer {status} brings no list, asking again in {} ms", pause.0 / 1000);
                // Too busy, it knows the version all the same: the whole list would cost it more.
                self.generation = self.generation.filter(|_| status >= 500);
                pause
            }
        };
        self.caller.rest(now, pause);
        self.tick(poll, now);
        news
    }
}
