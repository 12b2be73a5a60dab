//! The first calls of many that start together: each forwarder holds back its first call to a destination until a moment of
//! its own, drawn within a window that grows with the count of members starting. A destination so meets them one after
//! another, not all in the second in which a site is powered up. A wait is told to the decisions, as a destination's own
//! wait would be: nothing is called early, and nothing is taken for a failure.

use crate::{DestinationId, Micros};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A destination is taken to accept one more forwarder's first connection in this time.
const EACH: u64 = 10_000;
/// Before who else starts is known, nothing is called for so long: members hear of each other within it.
const LOOK_ROUND: u64 = 250_000;
/// No window is longer: a longer wait would be taken for a destination that is shut.
const LONGEST: u64 = 2_500_000;
/// Whoever started within so long is starting still.
pub const STARTING: Micros = Micros(10_000_000);
/// After so long a forwarder holds nothing back any more.
const OVER: Micros = Micros(5_000_000);

/// One forwarder's start.
pub struct Ramp {
    /// When the first destination was known: where a list passes round, all have it in one moment.
    began: Option<Micros>,
    seed: u64,
    window: u64,
    told: BTreeSet<DestinationId>,
}

impl Ramp {
    /// Of a forwarder that begins now.
    pub fn new(seed: u64) -> Ramp {
        Ramp { began: None, seed, window: 0, told: BTreeSet::new() }
    }

    /// Nothing is held back any more.
    pub fn over(&self, now: Micros) -> bool {
        self.began.is_some_and(|began| now >= began.plus(OVER))
    }

    /// So many start, this one among them: until when which destinations are to wait. Those alone that were not told yet, or
    /// wait longer as more are seen to start. Cost: the destinations, while a start goes on.
    pub fn waits(
        &mut self,
        now: Micros,
        starting: usize,
        destinations: impl Iterator<Item = DestinationId>,
    ) -> Vec<(DestinationId, Micros)> {
        let window = (EACH * (starting as u64).saturating_sub(1)).min(LONGEST);
        let grown = window > self.window;
        self.window = self.window.max(window);
        let mut waits = Vec::new();
        for destination in destinations {
            if !self.told.insert(destination) && !grown {
                continue;
            }
            let began = *self.began.get_or_insert(now);
            // Drawn once for each destination: a longer window moves the moment, and draws no other.
            let draw = xxh3_64_with_seed(&destination.0.to_le_bytes(), self.seed) >> 32;
            let until = began.plus(Micros(LOOK_ROUND + ((self.window * draw) >> 32)));
            if until > now {
                waits.push((destination, until));
            }
        }
        waits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn three_hundred_come_one_after_another_and_one_alone_at_once() {
        let mut seconds = [0; 30];
        for seed in 0..300 {
            let mut ramp = Ramp::new(seed);
            // More and more are seen to start; the last word counts.
            let mut until = Micros(0);
            for seen in [1, 20, 300, 250] {
                let told = ramp.waits(Micros(0), seen, [DestinationId(7)].into_iter());
                until = told.last().map_or(until, |&(_, until)| until);
            }
            seconds[(until.0 / 100_000) as usize] += 1;
        }
        assert!(seconds.iter().all(|&count| count <= 22), "{seconds:?}");
        assert_eq!(seconds[..2].iter().sum::<i32>() + seconds[28..].iter().sum::<i32>(), 0);
        let mut alone = Ramp::new(1);
        let one = alone.waits(Micros(0), 1, [DestinationId(7)].into_iter());
        assert_eq!(one, [(DestinationId(7), Micros(LOOK_ROUND))], "it looks round, no more");
        assert!(alone.over(OVER));
    }

    #[test]
    fn who_was_told_is_told_again_only_where_the_window_has_grown() {
        let mut ramp = Ramp::new(9);
        let all = || (0..50).map(DestinationId);
        assert!(!ramp.waits(Micros(0), 100, all()).is_empty());
        assert!(ramp.waits(Micros(0), 100, all()).is_empty() && ramp.waits(Micros(0), 50, all()).is_empty());
        assert!(!ramp.waits(Micros(0), 200, all()).is_empty());
        // A destination that is listed later waits as well.
        assert_eq!(ramp.waits(Micros(0), 200, [DestinationId(99)].into_iter()).len(), 1);
    }
}
