//! Random delays of discovery calls. All forwarders of a fleet react to the same event in the same moment: a
//! hundred may start together, receive one change together, or be rejected together. Each one therefore draws
//! its delay from the instance's seed. The larger the fleet, the longer the backoff after a failure. Small
//! fleets call almost at once.

use crate::Micros;

#[cfg(test)]
mod tests;

// All times here are in microseconds.

/// Time in which discovery is assumed to serve one more forwarder: a fleet's calls are spread over this times
/// its size.
const DELAY_PER_FORWARDER: u64 = 10_000;
/// Upper bound of the delay of the first call after a start, for any fleet size.
const MAX_START_DELAY: u64 = 1_500_000;
/// Upper bound of the delay between an answer and the next call of a watch. Discovery counts a watch as
/// continued if the next call comes within 200 ms of the answer.
const MAX_NEXT_CALL_DELAY: u64 = 120_000;
/// The first backoff after a failure is drawn from up to this; the bound doubles with each failure.
const FIRST_BACKOFF: u64 = 200_000;
/// Upper bound of the backoff in a small fleet.
const MAX_BACKOFF: u64 = 1_000_000;
/// Upper bound in a large fleet: with the next call's answer, a change is still known within 6 s.
const MAX_FLEET_BACKOFF: u64 = 2_500_000;
/// Upper bound of the backoff after the first time-outs.
const MAX_TIMEOUT_BACKOFF: u64 = 200_000;
/// A discovery that rejects calls is overloaded, and the rejected calls may keep it overloaded. The backoff
/// is drawn from between half of this times the fleet size and the whole.
const REJECTION_BACKOFF_PER_FORWARDER: u64 = 80_000;
/// Upper bound of the backoff after a rejection; the same 6 s limit applies.
const MAX_REJECTION_BACKOFF: u64 = 4_500_000;
/// Lower bound of every backoff.
const MIN_BACKOFF: u64 = 20_000;

/// Draws the delays of one forwarder.
pub struct CallSpread {
    random: fastrand::Rng,
    forwarders: u64,
    failures: u32,
}

impl CallSpread {
    /// Creates the delays of one of `forwarders` forwarders.
    pub fn new(forwarders: u32, seed: u64) -> CallSpread {
        CallSpread { random: fastrand::Rng::with_seed(seed), forwarders: u64::from(forwarders), failures: 0 }
    }

    /// Changes the number of forwarders.
    pub fn set_forwarders(&mut self, forwarders: u32) {
        self.forwarders = u64::from(forwarders);
    }

    fn random_up_to(&mut self, max: u64) -> Micros {
        Micros(self.random.u64(0..=max))
    }

    /// Time that the other forwarders' calls take one after the other; 0 for a single forwarder.
    fn fleet_time(&self) -> u64 {
        DELAY_PER_FORWARDER * self.forwarders.saturating_sub(1)
    }

    /// Delay from the start to the first call.
    pub fn start_delay(&mut self) -> Micros {
        self.random_up_to(self.fleet_time().min(MAX_START_DELAY))
    }

    /// Delay from an answer to the next call of a watch.
    pub fn next_call_delay(&mut self) -> Micros {
        self.failures = 0;
        self.random_up_to(self.fleet_time().min(MAX_NEXT_CALL_DELAY))
    }

    /// Delay before the next call after one of the first time-outs.
    pub fn timeout_backoff(&mut self) -> Micros {
        self.failures += 1;
        self.random_up_to(MAX_TIMEOUT_BACKOFF - MIN_BACKOFF).plus(Micros(MIN_BACKOFF))
    }

    /// Delay before the next call after a failed call.
    pub fn failure_backoff(&mut self) -> Micros {
        let limit = MAX_BACKOFF.max(4 * self.fleet_time()).min(MAX_FLEET_BACKOFF);
        let max = self.doubled(FIRST_BACKOFF.max(self.fleet_time()), limit);
        self.random_up_to(max - MIN_BACKOFF).plus(Micros(MIN_BACKOFF))
    }

    /// Delay before the next call after a rejected call.
    pub fn rejection_backoff(&mut self) -> Micros {
        let fleet = REJECTION_BACKOFF_PER_FORWARDER.saturating_mul(self.forwarders.saturating_sub(1));
        let limit = MAX_BACKOFF.max(fleet.saturating_mul(4)).min(MAX_REJECTION_BACKOFF);
        let max = self.doubled(FIRST_BACKOFF.max(fleet), limit);
        self.random_up_to(max / 2).plus(Micros(max - max / 2))
    }

    /// Doubles `first` with each failure, up to `limit`, and counts the failure.
    fn doubled(&mut self, first: u64, limit: u64) -> u64 {
        let first = first.min(limit);
        let max = first.saturating_mul(1 << self.failures.min(16)).min(limit);
        self.failures += 1;
        max
    }
}
