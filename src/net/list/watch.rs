//! The discovery watch: each call is sent soon after the answer to the previous one, after a random delay of
//! this forwarder. `round` decides what the next call asks for and when it is sent.

use super::round::{WatchFailure, WatchSchedule};
use super::spread::CallSpread;
use super::{read, ListUpdate, Names};
use crate::net::caller::{Caller, Failure, Persistence};
use crate::net::http::{write_request, Response};
use crate::net::poll::{Peer, Poll};
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of complete lists that are remembered for a connection.
const MAX_REMEMBERED_LISTS: usize = 64;

/// The lists that were received on one connection. An answer that comes twice counts for the next call as well:
/// after a newer list has been received, the copy of an older one must not replace it.
#[derive(Default)]
struct ReceivedLists {
    connection: u64,
    newest: Option<u64>,
    /// Generations of complete lists.
    complete: BTreeSet<u64>,
}

impl ReceivedLists {
    /// Whether a list can only be a copy of an earlier answer on its connection. A complete list of a lower
    /// generation may also come from a discovery that has begun to count anew.
    fn is_copy(&self, connection: u64, update: &ListUpdate) -> bool {
        let is_older = self.newest.is_some_and(|newest| update.generation < newest);
        let may_be_recounted = update.whole && !self.complete.contains(&update.generation);
        connection == self.connection && is_older && !may_be_recounted
    }

    /// Records a list that is applied.
    fn record(&mut self, connection: u64, update: &ListUpdate) {
        if connection != self.connection {
            *self = ReceivedLists { connection, ..ReceivedLists::default() };
        }
        self.newest = Some(update.generation);
        if update.whole {
            self.complete.insert(update.generation);
        }
        if self.complete.len() > MAX_REMEMBERED_LISTS {
            self.complete.pop_first();
        }
    }
}

/// Long-polls discovery for changes of the endpoint list.
pub struct DiscoveryWatch {
    caller: Caller,
    host: String,
    names: Names,
    /// Version of the current list; without one, the next call asks for the complete list.
    generation: Option<u64>,
    /// The version came from another member, whose discovery may be ahead.
    generation_of_member: bool,
    /// What the current connection has answered.
    received: ReceivedLists,
    /// This forwarder may call discovery. In a fleet with a membership, only a few members do.
    pub enabled: bool,
    /// Number of calls since the start.
    pub calls: u64,
    schedule: WatchSchedule,
}

impl DiscoveryWatch {
    /// Starts from the version of the current list; without one, the first call is sent at once.
    pub fn new(
        address: SocketAddr,
        names: Names,
        generation: Option<u64>,
        now: Micros,
        spread: CallSpread,
        max_list_bytes: usize,
    ) -> DiscoveryWatch {
        let mut caller = Caller::new(Peer::Discovery, address, Persistence::KeepAlive, max_list_bytes);
        let mut schedule = WatchSchedule::new(spread);
        if generation.is_some() {
            caller.back_off(now, schedule.start_delay());
        }
        DiscoveryWatch {
            caller,
            host: address.to_string(),
            names,
            generation,
            generation_of_member: false,
            received: ReceivedLists::default(),
            enabled: true,
            calls: 0,
            schedule,
        }
    }

    /// Changes the largest size of a list.
    pub fn set_max_list_bytes(&mut self, max_list_bytes: usize) {
        self.caller.set_max_body(max_list_bytes);
    }

    /// The largest size of a list.
    pub fn max_list_bytes(&self) -> usize {
        self.caller.max_body()
    }

    /// Changes the number of forwarders among which the calls are spread.
    pub fn set_forwarders(&mut self, forwarders: u32) {
        self.schedule.set_forwarders(forwarders);
    }

    /// Continues the predecessor process's watch: the next call follows soon after that process's last
    /// answer.
    pub fn resume(&mut self, now: Micros) {
        let delay = self.schedule.resume();
        self.caller.back_off(now, delay);
    }

    /// Version of the current list.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Sets the version of a list received from another member: the next call asks for changes since that
    /// version.
    pub fn set_generation(&mut self, generation: u64) {
        (self.generation, self.generation_of_member) = (Some(generation), true);
    }

    /// Whether a version is older than the one that discovery has answered itself.
    fn is_older_than_received(&self, generation: u64) -> bool {
        !self.generation_of_member && self.generation.is_some_and(|known| generation < known)
    }

    /// Moves to another address. Its versions may be counted differently, so the complete list is requested.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.generation) = (address.to_string(), None);
            self.schedule.reset();
        }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Sends the next call if none is in progress.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if let Some(failure) = self.caller.take_failure(now) {
            let failure = match failure {
                Failure::Broken => WatchFailure::Broken,
                Failure::TimedOut => WatchFailure::TimedOut,
            };
            let delay = self.schedule.failed(failure);
            log!("discovery: no answer, retrying in {} ms", delay.0 / 1000);
            self.caller.back_off(now, delay);
        }
        if !self.enabled || !self.caller.is_ready(now) {
            return;
        }
        self.calls += 1;
        let call = self.schedule.next_call(self.generation.is_some());
        let target = match self.generation {
            Some(generation) => format!("/v1/endpoints?from={generation}&hold_ms={}", call.hold.0 / 1000),
            None => "/v1/endpoints".to_owned(),
        };
        let request = write_request("GET", &target, &self.host, "", b"");
        self.caller.send(poll, &request, now.plus(call.timeout));
    }

    /// When [`DiscoveryWatch::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(self.enabled)
    }

    /// Handles the connection when it is ready; returns the update once a list has been received.
    pub fn ready(&mut self, poll: &mut Poll, token: u64, now: Micros) -> Option<ListUpdate> {
        let Response { status, mut body, .. } = self.caller.ready(poll, token)?;
        let update = (status == 200)
            .then(|| simd_json::to_borrowed_value(&mut body).ok())
            .flatten()
            .and_then(|value| read(&value, &self.names));
        let update = match update {
            Some(update) if self.received.is_copy(token, &update) => {
                let generation = update.generation;
                log!("discovery: list generation {generation} came twice, asking again on a new connection");
                let delay = self.schedule.failed(WatchFailure::Broken);
                self.caller.disconnect();
                self.caller.back_off(now, delay);
                return None;
            }
            // A discovery that counts anew cannot tell the changes since a version that it has not had.
            Some(update) if !update.whole && self.is_older_than_received(update.generation) => {
                log!(
                    "discovery: its list generation fell to {}, asking for the complete list",
                    update.generation
                );
                self.generation = None;
                None
            }
            update => update,
        };
        let delay = match &update {
            Some(update) => {
                self.received.record(token, update);
                (self.generation, self.generation_of_member) = (Some(update.generation), false);
                self.schedule.answered()
            }
            None => {
                let overloaded = status == 429 || status >= 500;
                let delay = self.schedule.failed(if overloaded {
                    WatchFailure::Rejected
                } else {
                    WatchFailure::Broken
                });
                log!("discovery: status {status} without a usable list, retrying in {} ms", delay.0 / 1000);
                // A discovery that is overloaded (5xx) still knows the version: the complete list would cost
                // it more.
                self.generation = self.generation.filter(|_| status >= 500);
                delay
            }
        };
        self.caller.back_off(now, delay);
        self.tick(poll, now);
        update
    }
}
