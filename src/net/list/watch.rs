//! The discovery watch: each call goes out soon after the answer before it, at a moment of this forwarder's own. What is asked
//! next and when is decided in `round`.

use super::round::{WatchFailure, WatchSchedule};
use super::spread::CallSpread;
use super::{read, ListUpdate, Names};
use crate::net::caller::{Caller, Failure};
use crate::net::http::{write_request, Response};
use crate::net::poll::{Peer, Poll};
use crate::Micros;
use std::net::SocketAddr;

/// See the module's text.
pub struct DiscoveryWatch {
    caller: Caller,
    host: String,
    names: Names,
    /// Version of the list held; none makes the next call ask for the whole list.
    generation: Option<u64>,
    /// Discovery may be asked: with a membership, a few of a fleet's members do.
    pub enabled: bool,
    /// Calls begun since the start.
    pub calls: u64,
    schedule: WatchSchedule,
}

impl DiscoveryWatch {
    /// Goes on from the version held; without one, asks at once.
    pub fn new(
        address: SocketAddr,
        names: Names,
        generation: Option<u64>,
        now: Micros,
        spread: CallSpread,
    ) -> DiscoveryWatch {
        let (mut caller, mut schedule) = (Caller::new(Peer::Discovery, address), WatchSchedule::new(spread));
        if generation.is_some() {
            caller.back_off(now, schedule.start_delay());
        }
        DiscoveryWatch {
            caller,
            host: address.to_string(),
            names,
            generation,
            enabled: true,
            calls: 0,
            schedule,
        }
    }

    /// Goes on with the watch of a process before: its next call is due soon after that one's last answer.
    pub fn resume(&mut self, now: Micros) {
        let delay = self.schedule.resume();
        self.caller.back_off(now, delay);
    }

    /// Version of the list held.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Another member gave this version of the list: the next call asks for changes since.
    pub fn set_generation(&mut self, generation: u64) {
        self.generation = Some(generation);
    }

    /// Goes on at another address. Its versions may be counted differently, so the whole list is asked for.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.generation) = (address.to_string(), None);
            self.schedule.reset();
        }
    }

    /// Sends the next call if none is out.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if let Some(failure) = self.caller.take_failure(now) {
            let failure = match failure {
                Failure::Broken => WatchFailure::Broken,
                Failure::TimedOut => WatchFailure::TimedOut,
            };
            let delay = self.schedule.failed(failure);
            log!("discovery: no answer, asking again in {} ms", delay.0 / 1000);
            self.caller.back_off(now, delay);
        }
        if !self.enabled || !self.caller.is_ready(now) {
            return;
        }
        self.calls += 1;
        let ask = self.schedule.next_call(self.generation.is_some());
        let target = match self.generation {
            Some(generation) => format!("/v1/endpoints?from={generation}&hold_ms={}", ask.hold.0 / 1000),
            None => "/v1/endpoints".to_owned(),
        };
        let request = write_request("GET", &target, &self.host, "", b"");
        self.caller.send(poll, &request, now.plus(ask.timeout));
    }

    /// When [`DiscoveryWatch::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(self.enabled)
    }

    /// ListUpdate, if an answer has come.
    pub fn ready(&mut self, poll: &mut Poll, token: u64, now: Micros) -> Option<ListUpdate> {
        let Response { status, mut body, .. } = self.caller.ready(poll, token)?;
        let news = (status == 200)
            .then(|| simd_json::to_borrowed_value(&mut body).ok())
            .flatten()
            .and_then(|value| read(&value, &self.names));
        let delay = match &news {
            Some(news) => {
                self.generation = Some(news.generation);
                self.schedule.answered()
            }
            None => {
                let busy = status == 429 || status >= 500;
                let delay =
                    self.schedule.failed(if busy { WatchFailure::Rejected } else { WatchFailure::Broken });
                log!("discovery: answer {status} brings no list, asking again in {} ms", delay.0 / 1000);
                // Too busy, it knows the version all the same: the whole list would cost it more.
                self.generation = self.generation.filter(|_| status >= 500);
                delay
            }
        };
        self.caller.back_off(now, delay);
        self.tick(poll, now);
        news
    }
}
