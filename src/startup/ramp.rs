//! Limits the first calls of forwarders that start together. Each forwarder delays its first call
//! to a destination until its own time in a window that grows with the number of members that are
//! starting. It then sends at its equal share of the destination's limit, which rises gradually
//! until its startup is over.
//!
//! So a destination receives the forwarders one after another, instead of all of them in the second
//! in which a site is powered up, each with all messages of its journal. The delays and the send
//! rate are inputs of the decision core: no call is made early, and no delay counts as a failure.

use crate::{DestinationId, InitialSendRate, Micros};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Assumed time that a destination needs for the first connection of one more forwarder, besides
/// those in service, in microseconds.
const CONNECTION_INTERVAL_US: u64 = 15_000;
/// Time without calls, in microseconds, in which the members learn of each other, before the number
/// of starting members is known.
const PEER_WAIT_US: u64 = 250_000;
/// Maximum window in microseconds. It is also at most 1/`DEADLINE_FRACTION` of the shortest
/// deadline of any class, as messages wait meanwhile.
const MAX_WINDOW_US: u64 = 3_000_000;
const DEADLINE_FRACTION: u64 = 4;
/// A member counts as starting for this time after its start.
pub const STARTING_FOR: Micros = Micros(10_000_000);
/// The maximum window plus two seconds: by then every forwarder that had something to send has
/// begun.
const SETTLED_AFTER: Micros = Micros(5_000_000);
/// After this time a forwarder holds nothing back.
const STARTUP_OVER_AFTER: Micros = Micros(20_000_000);

/// Position of a forwarder among the starting members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartPosition {
    /// Number of starting members that precede it by name.
    pub index: usize,
    /// Number of starting members, including this one.
    pub starting: usize,
}

impl Default for StartPosition {
    fn default() -> StartPosition {
        StartPosition { index: 0, starting: 1 }
    }
}

/// Startup of one forwarder.
pub struct Ramp {
    /// Time at which the first destination was known. If members pass on a list, all learn it at the
    /// same moment.
    started_at: Option<Micros>,
    seed: u64,
    max_window: u64,
    window: u64,
    /// Destinations that were delayed until the other members are known.
    delayed: BTreeSet<DestinationId>,
    /// Destinations for which messages wait at the end of `PEER_WAIT_US`, from the journal or held by
    /// clients. Later messages arrive one by one.
    waiting: BTreeSet<DestinationId>,
    /// The number of starting members is known and the window assigned.
    window_assigned: bool,
}

impl Ramp {
    /// Creates the state at the start of a forwarder. `shortest`: the shortest deadline of any class.
    pub fn new(seed: u64, shortest: Micros) -> Ramp {
        let max_window = MAX_WINDOW_US.min(shortest.0 / DEADLINE_FRACTION);
        let (delayed, waiting) = (BTreeSet::new(), BTreeSet::new());
        Ramp { started_at: None, seed, max_window, window: 0, delayed, waiting, window_assigned: false }
    }

    /// Records that a message for this destination was in the journal or is submitted.
    pub fn message_waiting(&mut self, now: Micros, destination: DestinationId) {
        if self.started_at.is_none_or(|started_at| now < started_at.plus(Micros(PEER_WAIT_US))) {
            self.waiting.insert(destination);
        }
    }

    /// Whether the first calls are made, or no other member is starting.
    pub fn settled(&self, now: Micros) -> bool {
        let since = |length| self.started_at.is_some_and(|started_at| now >= started_at.plus(length));
        since(SETTLED_AFTER) || self.window_assigned && self.window == 0
    }

    /// Figures for operators: the window for first calls in seconds, and the factor by which the send
    /// rate is raised.
    pub fn figures(&self, now: Micros) -> (f64, f64) {
        let raised = self.send_rate(now).map_or(f64::INFINITY, |rate| rate.ramp_factor);
        (self.window as f64 / 1e6, (raised * 100.0).round() / 100.0)
    }

    /// Initial send rate, or `None` once the startup is over and nothing is held back.
    pub fn send_rate(&self, now: Micros) -> Option<InitialSendRate> {
        let age = self
            .started_at
            .map_or(0.0, |started_at| now.minus(started_at).0 as f64 / STARTUP_OVER_AFTER.0 as f64);
        let least = 1e6 / self.window.max(CONNECTION_INTERVAL_US) as f64;
        (age < 1.0).then(|| InitialSendRate { floor_per_s: least, ramp_factor: 1.0 / (1.0 - age * age) })
    }

    /// Destinations to delay, each with the end of its delay, given this forwarder's position among the
    /// starting members. All destinations during `PEER_WAIT_US`; then those for which messages wait,
    /// again when more members are seen to start. Cost: the number of destinations, during
    /// `PEER_WAIT_US`.
    pub fn delays(
        &mut self,
        now: Micros,
        position: StartPosition,
        destinations: impl Iterator<Item = DestinationId>,
    ) -> Vec<(DestinationId, Micros)> {
        let window =
            (CONNECTION_INTERVAL_US * (position.starting as u64).saturating_sub(1)).min(self.max_window);
        let has_grown = window > self.window;
        self.window = self.window.max(window);
        if !self.window_assigned {
            let new: Vec<DestinationId> = destinations.filter(|one| self.delayed.insert(*one)).collect();
            let Some(started_at) = self.started_at.or((!new.is_empty()).then_some(now)) else {
                return Vec::new();
            };
            self.started_at = Some(started_at);
            let until = started_at.plus(Micros(PEER_WAIT_US));
            if now < until {
                return new.into_iter().map(|one| (one, until)).collect();
            }
        }
        if std::mem::replace(&mut self.window_assigned, true) && !has_grown {
            return Vec::new();
        }
        let started_at = self.started_at.unwrap_or(now).plus(Micros(PEER_WAIT_US));
        let delay_until =
            |one| started_at.plus(Micros((self.window as f64 * self.window_position(position, one)) as u64));
        let delays = self.waiting.iter().map(|&one| (one, delay_until(one)));
        delays.filter(|&(_, until)| until > now).collect()
    }

    /// Position in the window, 0 to 1. Each starting member has its own section, in the order of names,
    /// rotated for each destination; within its section the position is random.
    fn window_position(&self, position: StartPosition, destination: DestinationId) -> f64 {
        let unit = |hash: u64| (hash >> 11) as f64 / (1u64 << 53) as f64;
        let destination = destination.0.to_le_bytes();
        let offset = unit(xxh3_64_with_seed(&destination, self.seed));
        let section = (position.index as f64 + offset) / position.starting.max(1) as f64;
        (section + unit(xxh3_64(&destination))).fract()
    }
}

#[cfg(test)]
mod tests;
