//! Fair scheduling of call slots among tenants. While slots are plentiful, every tenant whose share allows it
//! is eligible. When slots are short, tenants below their guarantees come first, then all waiting tenants by
//! deficit round robin over weight and slot time (M. Shreedhar and G. Varghese, 1996; the size of a call is
//! the time that it occupies its slot).
//!
//! Cost: start and end of a call O(log waiting tenants); a choice O(waiting tenants); nothing for idle
//! tenants.

use super::share::{bounds, Shares};
use super::Isolation;
use crate::Micros;
use std::collections::BTreeMap;

/// Slots are short when at most one in this many is free.
const SHORTAGE_DIVISOR: u64 = 4;
/// Slot time that a tenant of mean weight gets per round, in microseconds.
const QUANTUM_US: f64 = 100_000.0;

/// Largest debt of a tenant, in microseconds, so that calls that took far longer than expected do not block
/// it for good.
const MAX_DEBT_US: f64 = 10_000_000.0;

/// Which tenants may start a call at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// All tenants whose shares allow it.
    All,
    /// Tenants below their guarantees.
    BelowGuarantee,
    /// Tenants with slot time left in this round.
    Round,
}

/// The scheduler's state: see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct FairScheduler {
    slots: Shares,
    weights: Vec<f64>,
    /// Slots became short, and since then there was no time at which slots were left and no eligible tenant
    /// waited.
    short: bool,
    /// Slot time left in this round, in microseconds, of the tenants that wait or are in debt.
    left: BTreeMap<usize, f64>,
}

impl FairScheduler {
    /// Replaces the bounds and weights, by tenant index. Calls in flight are unaffected.
    pub fn configure(&mut self, slots: u32, isolation: &[Isolation]) {
        let limits: Vec<_> = isolation.iter().map(|tenant| (tenant.weight, tenant.slots)).collect();
        self.slots.configure(slots.into(), &bounds(slots.into(), &limits));
        let active = isolation.iter().filter(|tenant| tenant.weight > 0.0);
        let mean = active.clone().map(|tenant| tenant.weight).sum::<f64>() / active.count().max(1) as f64;
        let weight = |tenant: &Isolation| (tenant.weight / mean).clamp(1e-3, 1e3);
        self.weights = isolation.iter().map(weight).collect();
    }

    /// Decides which of the waiting tenants are eligible; `waiting` is in the order of tenant indices.
    pub fn eligibility(&mut self, waiting: impl Iterator<Item = usize> + Clone) -> Eligibility {
        if self.weights.len() <= 1 {
            return Eligibility::All;
        }
        let (used, size) = self.slots.usage();
        if size.saturating_sub(used) * SHORTAGE_DIVISOR <= size {
            self.short = true;
        } else if self.short && !waiting.clone().any(|tenant| self.has_share(tenant)) {
            self.short = false;
            self.left.clear();
        }
        if !self.short {
            return Eligibility::All;
        }
        if waiting.clone().any(|tenant| self.slots.is_below_guarantee(tenant)) {
            return Eligibility::BelowGuarantee;
        }
        let allowed: Vec<usize> = waiting.filter(|&tenant| self.has_share(tenant)).collect();
        let mut rounds = f64::INFINITY;
        for &tenant in &allowed {
            let left = self.left.get(&tenant).copied().unwrap_or(0.0);
            if left > 0.0 {
                return Eligibility::Round;
            }
            rounds = rounds.min((-left / self.quantum(tenant)).floor() + 1.0);
        }
        // Where all waiting tenants are in debt, skip as many rounds at once as the first one needs to leave
        // it.
        if allowed.is_empty() {
            return Eligibility::Round;
        }
        let weights = &self.weights;
        let quantum = |tenant: usize| QUANTUM_US * weights.get(tenant).copied().unwrap_or(1.0);
        for &tenant in &allowed {
            self.left.entry(tenant).or_insert(0.0);
        }
        // A tenant that no longer waits keeps its debt, but no unused slot time.
        self.left.retain(|&tenant, left| {
            *left = (*left + rounds * quantum(tenant)).min(rounds * quantum(tenant));
            *left < 0.0 || allowed.binary_search(&tenant).is_ok()
        });
        Eligibility::Round
    }

    fn quantum(&self, tenant: usize) -> f64 {
        QUANTUM_US * self.weights.get(tenant).copied().unwrap_or(1.0)
    }

    /// Whether a tenant is among the eligible ones.
    pub fn is_eligible(&self, tenant: usize, eligibility: Eligibility) -> bool {
        match eligibility {
            Eligibility::All => self.has_share(tenant),
            Eligibility::BelowGuarantee => self.slots.is_below_guarantee(tenant),
            Eligibility::Round => {
                self.has_share(tenant) && self.left.get(&tenant).is_some_and(|left| *left > 0.0)
            }
        }
    }

    /// Whether a tenant's share allows it another slot. Where no slot is free, this is true: the dispatcher
    /// alone decides whether to take the slot of a call that hangs.
    pub fn has_share(&self, tenant: usize) -> bool {
        let (used, size) = self.slots.usage();
        self.weights.is_empty() || used >= size || self.slots.check(tenant, 1).is_ok()
    }

    /// Records the start of a tenant's call that is expected to occupy its slot for `expected`.
    pub fn call_started(&mut self, tenant: usize, expected: Micros) {
        self.slots.acquire(tenant, 1);
        if let Some(left) = self.left.get_mut(&tenant) {
            *left = (*left - expected.0 as f64).max(-MAX_DEBT_US);
        }
    }

    /// Records the end of a call after `spent` and corrects the expected time.
    pub fn call_ended(&mut self, tenant: usize, expected: Micros, spent: Micros) {
        self.slots.release(tenant, 1);
        if let Some(left) = self.left.get_mut(&tenant) {
            *left = (*left + expected.0 as f64 - spent.0 as f64).max(-MAX_DEBT_US);
        }
    }

    /// The shares of call slots.
    pub fn slots(&self) -> &Shares {
        &self.slots
    }
}

#[cfg(test)]
mod tests;
