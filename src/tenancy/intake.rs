//! Admission of submissions: checks the tenant's arrival rate and its shares of the held messages and bytes.
//!
//! Cost: O(1) per submission.

use super::rate::ArrivalLimiter;
use super::share::{bounds, ShareError, Shares};
use super::{Isolation, ShareLimits};
use crate::Micros;

/// Admission state of all tenants: see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    arrivals: ArrivalLimiter,
    held: Shares,
    bytes: Shares,
    /// Until then, released capacity is kept for tenants below their guarantees, because one of them was
    /// rejected.
    claimed_until: Micros,
}

/// A client that was rejected is expected to submit again within this time.
const CLAIM_DURATION: Micros = Micros(2_000_000);

/// The reason for which a submission is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The tenant exceeds its arrival rate; the next submission would be admitted after this time.
    RateExceeded(Micros),
    /// There is no capacity for the tenant.
    NoCapacity(ShareError),
}

impl AdmissionControl {
    /// Replaces the limits: the sizes of the two resources (held messages, bytes) and the shares by tenant
    /// index.
    pub fn configure(&mut self, (held, bytes): (u64, u64), isolation: &[Isolation]) {
        let limits = |resource: fn(&Isolation) -> ShareLimits| -> Vec<(f64, ShareLimits)> {
            isolation.iter().map(|tenant| (tenant.weight, resource(tenant))).collect()
        };
        self.held.configure(held, &bounds(held, &limits(|tenant| tenant.held)));
        self.bytes.configure(bytes, &bounds(bytes, &limits(|tenant| tenant.bytes)));
        self.arrivals.configure(isolation.iter().map(|tenant| tenant.arrivals).collect());
    }

    /// Admits a message of `bytes` or returns the reason against it; `has_capacity` is whether there is
    /// capacity for any tenant. An admitted message counts as an arrival.
    pub fn admit(
        &mut self,
        tenant: usize,
        bytes: u64,
        has_capacity: bool,
        now: Micros,
    ) -> Result<(), AdmissionError> {
        let has_capacity = if has_capacity { Ok(()) } else { Err(ShareError::Exhausted) };
        let checked = has_capacity
            .and_then(|()| self.held.check(tenant, 1))
            .and_then(|()| self.bytes.check(tenant, bytes));
        let below_guarantee = self.held.is_below_guarantee(tenant) && self.bytes.is_below_guarantee(tenant);
        match checked {
            Ok(()) if !below_guarantee && now < self.claimed_until => {
                return Err(AdmissionError::NoCapacity(ShareError::Reserved))
            }
            Ok(()) => {}
            Err(error) => {
                // The tenant's guarantee is lent to others: what they release goes to the owner before it is
                // lent again.
                if below_guarantee && error != ShareError::CeilingReached {
                    self.claimed_until = now.plus(CLAIM_DURATION);
                }
                return Err(AdmissionError::NoCapacity(error));
            }
        }
        self.arrivals.admit(tenant, now).map_err(AdmissionError::RateExceeded)
    }

    /// Counts a message as held.
    pub fn add_message(&mut self, tenant: usize) {
        self.held.acquire(tenant, 1);
    }

    /// Counts a message as no longer held. The bytes kept for it until its delivery report still count.
    pub fn remove_message(&mut self, tenant: usize) {
        self.held.release(tenant, 1);
    }

    /// Counts bytes as held.
    pub fn add_bytes(&mut self, tenant: usize, bytes: u64) {
        self.bytes.acquire(tenant, bytes);
    }

    /// Counts bytes as no longer held.
    pub fn release_bytes(&mut self, tenant: usize, bytes: u64) {
        self.bytes.release(tenant, bytes);
    }

    /// The shares of held messages and of their bytes.
    pub fn shares(&self) -> (&Shares, &Shares) {
        (&self.held, &self.bytes)
    }
}

#[cfg(test)]
mod tests;
