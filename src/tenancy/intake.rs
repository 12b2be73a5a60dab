//! Whether an offer is let in: its tenant's arrivals, and its parts of the messages and bytes held.
//!
//! Cost: O(1) an offer.

use super::rate::ArrivalLimiter;
use super::share::{bounds, ShareError, Shares};
use super::{Isolation, ShareLimits};
use crate::Micros;

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    arrivals: ArrivalLimiter,
    held: Shares,
    bytes: Shares,
    /// Until then what is given back is kept for those below their guarantees: one of them was refused.
    claimed_until: Micros,
}

/// One that was refused comes again within this time.
const CLAIM: Micros = Micros(2_000_000);

/// Why an offer is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Its tenant offers too fast; one would be let in after so long.
    RateExceeded(Micros),
    /// There is no room for its tenant.
    NoCapacity(ShareError),
}

impl AdmissionControl {
    /// Other bounds, by place: of messages held, and of their bytes.
    pub fn configure(&mut self, (held, bytes): (u64, u64), isolation: &[Isolation]) {
        let told = |which: fn(&Isolation) -> ShareLimits| -> Vec<(f64, ShareLimits)> {
            isolation.iter().map(|one| (one.weight, which(one))).collect()
        };
        self.held.configure(held, &bounds(held, &told(|one| one.held)));
        self.bytes.configure(bytes, &bounds(bytes, &told(|one| one.bytes)));
        self.arrivals.configure(isolation.iter().map(|one| one.arrivals).collect());
    }

    /// Whether one of so many bytes may come in now, where there is room for anyone. Counted as an arrival where it may.
    pub fn admit(&mut self, place: usize, bytes: u64, room: bool, now: Micros) -> Result<(), AdmissionError> {
        let room = if room { Ok(()) } else { Err(ShareError::Exhausted) };
        let asked =
            room.and_then(|()| self.held.check(place, 1)).and_then(|()| self.bytes.check(place, bytes));
        let own = self.held.is_below_guarantee(place) && self.bytes.is_below_guarantee(place);
        match asked {
            Ok(()) if !own && now < self.claimed_until => {
                return Err(AdmissionError::NoCapacity(ShareError::Reserved))
            }
            Ok(()) => {}
            Err(refused) => {
                // Lent to others: what they give back is the owner's before it is lent again.
                if own && refused != ShareError::CeilingReached {
                    self.claimed_until = now.plus(CLAIM);
                }
                return Err(AdmissionError::NoCapacity(refused));
            }
        }
        self.arrivals.admit(place, now).map_err(AdmissionError::RateExceeded)
    }

    /// One is held from now on.
    pub fn add_message(&mut self, place: usize) {
        self.held.acquire(place, 1);
    }

    /// One is held no longer; what is kept of it until its end is told still has bytes.
    pub fn remove_message(&mut self, place: usize) {
        self.held.release(place, 1);
    }

    /// So many bytes more are kept.
    pub fn add_bytes(&mut self, place: usize, bytes: u64) {
        self.bytes.acquire(place, bytes);
    }

    /// So many fewer.
    pub fn release_bytes(&mut self, place: usize, bytes: u64) {
        self.bytes.release(place, bytes);
    }

    /// Messages held, and their bytes.
    pub fn shares(&self) -> (&Shares, &Shares) {
        (&self.held, &self.bytes)
    }
}

#[cfg(test)]
mod tests;
