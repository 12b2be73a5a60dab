//! When discovery is asked: what one forwarder does at once, all of them do in that moment. A hundred that start
//! together, hear of one change together, or are turned away together ask again at moments of their own, drawn from
//! the instance's seed; and the more forwarders there are, the longer a list that cannot be had is waited for. Small fleets
//! ask at once, as before.

use crate::Micros;

#[cfg(test)]
mod tests;

/// Discovery is taken to serve one more sender in this time: a fleet's calls are spread over as many.
const DELAY_PER_FORWARDER: u64 = 10_000;
/// The first call after a start comes within this time, however many there are.
const MAX_START_DELAY: u64 = 1_500_000;
/// A watch goes on where the next call comes within 200 ms of the answer: well before.
const MAX_NEXT_CALL_DELAY: u64 = 120_000;
/// The first pause after a failure is drawn from up to this, and doubles...
const FIRST_BACKOFF: u64 = 200_000;
/// ...up to this in a small fleet...
const MAX_BACKOFF: u64 = 1_000_000;
/// ...and this in a large one: with the next call's answer, it stays within the 6 s after which a change counts as told.
const MAX_FLEET_BACKOFF: u64 = 2_500_000;
/// The first calls after silence go within this time.
const MAX_TIMEOUT_BACKOFF: u64 = 200_000;
/// A discovery that turns calls away is overbooked, and calls that it turns away may keep it so: each of a fleet draws its pause
/// from up to so much for each sender, and from no less than half of it...
const REJECTION_BACKOFF_PER_FORWARDER: u64 = 80_000;
/// ...up to this, for the same reason.
const MAX_REJECTION_BACKOFF: u64 = 4_500_000;
/// No pause is shorter.
const MIN_BACKOFF: u64 = 20_000;

/// The moments of one forwarder.
pub struct CallSpread {
    random: fastrand::Rng,
    forwarders: u64,
    failures: u32,
}

impl CallSpread {
    /// For one of so many forwarders.
    pub fn new(forwarders: u32, seed: u64) -> CallSpread {
        CallSpread { random: fastrand::Rng::with_seed(seed), forwarders: u64::from(forwarders), failures: 0 }
    }

    fn random_up_to(&mut self, max: u64) -> Micros {
        Micros(self.random.u64(0..=max))
    }

    /// The time that all siblings need if one follows the other; none for one alone.
    fn fleet_time(&self) -> u64 {
        DELAY_PER_FORWARDER * self.forwarders.saturating_sub(1)
    }

    /// How long after the start the first call waits.
    pub fn start_delay(&mut self) -> Micros {
        self.random_up_to(self.fleet_time().min(MAX_START_DELAY))
    }

    /// How long after an answer the next call of a watch waits.
    pub fn next_call_delay(&mut self) -> Micros {
        self.failures = 0;
        self.random_up_to(self.fleet_time().min(MAX_NEXT_CALL_DELAY))
    }

    /// How long after the first silence the next call waits.
    pub fn timeout_backoff(&mut self) -> Micros {
        self.failures += 1;
        self.random_up_to(MAX_TIMEOUT_BACKOFF - MIN_BACKOFF).plus(Micros(MIN_BACKOFF))
    }

    /// How long after a call that failed the next one waits.
    pub fn failure_backoff(&mut self) -> Micros {
        let limit = MAX_BACKOFF.max(4 * self.fleet_time()).min(MAX_FLEET_BACKOFF);
        let max = self.doubled(FIRST_BACKOFF.max(self.fleet_time()), limit);
        self.random_up_to(max - MIN_BACKOFF).plus(Micros(MIN_BACKOFF))
    }

    /// How long after a call that was turned away the next one waits.
    pub fn rejection_backoff(&mut self) -> Micros {
        let fleet = REJECTION_BACKOFF_PER_FORWARDER.saturating_mul(self.forwarders.saturating_sub(1));
        let limit = MAX_BACKOFF.max(fleet.saturating_mul(4)).min(MAX_REJECTION_BACKOFF);
        let max = self.doubled(FIRST_BACKOFF.max(fleet), limit);
        self.random_up_to(max / 2).plus(Micros(max - max / 2))
    }

    /// A bound that doubles with each failure.
    fn doubled(&mut self, first: u64, limit: u64) -> u64 {
        let first = first.min(limit);
        let max = first.saturating_mul(1 << self.failures.min(16)).min(limit);
        self.failures += 1;
        max
    }
}
