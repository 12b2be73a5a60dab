//! The first calls of many that start together: each forwarder holds back its first call to a destination until a moment of
//! its own within a window that grows with the count of members starting, and goes on at its even part of the destination's
//! limit, raised bit by bit until its start is over. A destination so meets them one after another, not all in the second in
//! which a site is powered up, and not each of them with all that its journal held. Waits and pace are told to the decisions:
//! nothing is called early, and nothing is taken for a failure.

use crate::{DestinationId, InitialSendRate, Micros};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A destination is taken to accept one more forwarder's first connection in this time, beside those that run on.
const EACH: u64 = 15_000;
/// Before who else starts is known, nothing is called for so long: members hear of each other within it.
const LOOK_ROUND: u64 = 250_000;
/// No window is longer, nor than this part of the shortest time that a class gives: messages wait meanwhile.
const LONGEST: u64 = 3_000_000;
const PART: u64 = 4;
/// Whoever started within so long is starting still.
pub const STARTING: Micros = Micros(10_000_000);
/// The longest window and two seconds: whoever had something to send has begun.
const SETTLED: Micros = Micros(5_000_000);
/// After so long a forwarder holds nothing back any more.
const OVER: Micros = Micros(20_000_000);

/// A forwarder among those who start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Among {
    /// How many of them go before it, by name.
    pub place: usize,
    /// All of them, this one too.
    pub starting: usize,
}

impl Default for Among {
    fn default() -> Among {
        Among { place: 0, starting: 1 }
    }
}

/// One forwarder's start.
pub struct Ramp {
    /// When the first destination was known: where a list passes round, all have it in one moment.
    began: Option<Micros>,
    seed: u64,
    longest: u64,
    window: u64,
    /// Those that were told to wait while this one looks round.
    told: BTreeSet<DestinationId>,
    /// Those that something waits for by then: the journal held it, or clients had kept it. What comes later comes one by one.
    wanted: BTreeSet<DestinationId>,
    /// It has looked round.
    parted: bool,
}

impl Ramp {
    /// Of a forwarder that begins now; each of its messages has so long at the least.
    pub fn new(seed: u64, shortest: Micros) -> Ramp {
        let longest = LONGEST.min(shortest.0 / PART);
        let (told, wanted) = (BTreeSet::new(), BTreeSet::new());
        Ramp { began: None, seed, longest, window: 0, told, wanted, parted: false }
    }

    /// A message for this destination was in the journal, or is handed in.
    pub fn wants(&mut self, now: Micros, destination: DestinationId) {
        if self.began.is_none_or(|began| now < began.plus(Micros(LOOK_ROUND))) {
            self.wanted.insert(destination);
        }
    }

    /// Its first calls are made, or nobody starts beside it.
    pub fn settled(&self, now: Micros) -> bool {
        let since = |length| self.began.is_some_and(|began| now >= began.plus(length));
        since(SETTLED) || self.parted && self.window == 0
    }

    /// Where the start stands, for those who look: the window for first calls in seconds, and how far its pace is raised.
    pub fn figures(&self, now: Micros) -> (f64, f64) {
        let raised = self.pace(now).map_or(f64::INFINITY, |rate| rate.ramp_factor);
        (self.window as f64 / 1e6, (raised * 100.0).round() / 100.0)
    }

    /// The pace that this forwarder begins with; none once its start is over, and nothing is held back any more.
    pub fn pace(&self, now: Micros) -> Option<InitialSendRate> {
        let age = self.began.map_or(0.0, |began| now.minus(began).0 as f64 / OVER.0 as f64);
        let least = 1e6 / self.window.max(EACH) as f64;
        (age < 1.0).then(|| InitialSendRate { floor_per_s: least, ramp_factor: 1.0 / (1.0 - age * age) })
    }

    /// Who starts, this one among them: until when which destinations are to wait. All of them while it looks round; then those
    /// that something waits for, again where more are seen to start. Cost: the destinations, while it looks round.
    pub fn waits(
        &mut self,
        now: Micros,
        among: Among,
        destinations: impl Iterator<Item = DestinationId>,
    ) -> Vec<(DestinationId, Micros)> {
        let window = (EACH * (among.starting as u64).saturating_sub(1)).min(self.longest);
        let grown = window > self.window;
        self.window = self.window.max(window);
        if !self.parted {
            let fresh: Vec<DestinationId> = destinations.filter(|one| self.told.insert(*one)).collect();
            let Some(began) = self.began.or((!fresh.is_empty()).then_some(now)) else { return Vec::new() };
            self.began = Some(began);
            let until = began.plus(Micros(LOOK_ROUND));
            if now < until {
                return fresh.into_iter().map(|one| (one, until)).collect();
            }
        }
        if std::mem::replace(&mut self.parted, true) && !grown {
            return Vec::new();
        }
        let began = self.began.unwrap_or(now).plus(Micros(LOOK_ROUND));
        let part = |one| began.plus(Micros((self.window as f64 * self.moment(among, one)) as u64));
        let waits = self.wanted.iter().map(|&one| (one, part(one)));
        waits.filter(|&(_, until)| until > now).collect()
    }

    /// Where in the window: each who starts has a part of it to itself, in the order of their names, which begins elsewhere for
    /// each destination; within its part the moment is a draw of its own.
    fn moment(&self, among: Among, destination: DestinationId) -> f64 {
        let unit = |hash: u64| (hash >> 11) as f64 / (1u64 << 53) as f64;
        let destination = destination.0.to_le_bytes();
        let own = unit(xxh3_64_with_seed(&destination, self.seed));
        let part = (among.place as f64 + own) / among.starting.max(1) as f64;
        (part + unit(xxh3_64(&destination))).fract()
    }
}

#[cfg(test)]
mod tests;
