//! Whose message may take the next call slot. While slots are plenty, all whose shares allow it; where they run short, those
//! below their guarantees first, then all that wait in rounds of deficit round robin, by weight and slot time (M. Shreedhar
//! and G. Varghese, 1996; a call's size is how long it keeps its slot).
//!
//! Cost: a call's begin and end O(log waiting); a choice O(tenants that wait); nothing for the idle ones.

use super::share::{bounds, Shares};
use super::Isolation;
use crate::Micros;
use std::collections::BTreeMap;

/// Slots are short when no more than this part of them is free.
const SHORT: u64 = 4;
/// Slot time that a tenant of mean weight gets in a round, in microseconds.
const QUANTUM: f64 = 100_000.0;

/// Most that a tenant can owe, in microseconds: calls that took far longer than they were expected to are no debt for good.
const MOST_DEBT: f64 = 10_000_000.0;

/// Who may go just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// All whose shares allow it.
    All,
    /// Those below their guarantees.
    BelowGuarantee,
    /// Those that have not used up their part of the round.
    Round,
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct FairScheduler {
    slots: Shares,
    weights: Vec<f64>,
    /// Slots ran short, and there has been no moment since when all that could go had gone and slots were left.
    short: bool,
    /// Slot time left in this round, in microseconds: of those that wait, and of those in debt.
    left: BTreeMap<usize, f64>,
}

impl FairScheduler {
    /// Other bounds and weights, by place. Calls that are out stay as they are.
    pub fn configure(&mut self, slots: u32, isolation: &[Isolation]) {
        let told: Vec<_> = isolation.iter().map(|one| (one.weight, one.slots)).collect();
        self.slots.configure(slots.into(), &bounds(slots.into(), &told));
        let busy = isolation.iter().filter(|one| one.weight > 0.0);
        let mean = busy.clone().map(|one| one.weight).sum::<f64>() / busy.count().max(1) as f64;
        let weight = |one: &Isolation| (one.weight / mean).clamp(1e-3, 1e3);
        self.weights = isolation.iter().map(weight).collect();
    }

    /// Who may go, of those that have something that could, in the order of their places.
    pub fn eligibility(&mut self, waiting: impl Iterator<Item = usize> + Clone) -> Eligibility {
        if self.weights.len() <= 1 {
            return Eligibility::All;
        }
        let (used, size) = self.slots.usage();
        if size.saturating_sub(used) * SHORT <= size {
            self.short = true;
        } else if self.short && !waiting.clone().any(|place| self.has_share(place)) {
            self.short = false;
            self.left.clear();
        }
        if !self.short {
            return Eligibility::All;
        }
        if waiting.clone().any(|place| self.slots.is_below_guarantee(place)) {
            return Eligibility::BelowGuarantee;
        }
        let may: Vec<usize> = waiting.filter(|&place| self.has_share(place)).collect();
        let mut rounds = f64::INFINITY;
        for &place in &may {
            let left = self.left.get(&place).copied().unwrap_or(0.0);
            if left > 0.0 {
                return Eligibility::Round;
            }
            rounds = rounds.min((-left / self.quantum(place)).floor() + 1.0);
        }
        // Where all that wait are in debt, as many rounds pass at once as the first needs to come out of it.
        if may.is_empty() {
            return Eligibility::Round;
        }
        let weights = &self.weights;
        let quantum = |place: usize| QUANTUM * weights.get(place).copied().unwrap_or(1.0);
        for &place in &may {
            self.left.entry(place).or_insert(0.0);
        }
        // Who waits no longer keeps its debt, and nothing else.
        self.left.retain(|&place, left| {
            *left = (*left + rounds * quantum(place)).min(rounds * quantum(place));
            *left < 0.0 || may.binary_search(&place).is_ok()
        });
        Eligibility::Round
    }

    fn quantum(&self, place: usize) -> f64 {
        QUANTUM * self.weights.get(place).copied().unwrap_or(1.0)
    }

    /// Whether a tenant is one of those that may go.
    pub fn is_eligible(&self, place: usize, open: Eligibility) -> bool {
        match open {
            Eligibility::All => self.has_share(place),
            Eligibility::BelowGuarantee => self.slots.is_below_guarantee(place),
            Eligibility::Round => {
                self.has_share(place) && self.left.get(&place).is_some_and(|left| *left > 0.0)
            }
        }
    }

    /// Whether its share allows a tenant another slot. Where none is free, the module alone decides whether one is to be
    /// taken from a call that hangs.
    pub fn has_share(&self, place: usize) -> bool {
        let (used, size) = self.slots.usage();
        self.weights.is_empty() || used >= size || self.slots.check(place, 1).is_ok()
    }

    /// A tenant's message opens a call that is expected to keep its slot so long.
    pub fn call_started(&mut self, place: usize, expected: Micros) {
        self.slots.acquire(place, 1);
        if let Some(left) = self.left.get_mut(&place) {
            *left = (*left - expected.0 as f64).max(-MOST_DEBT);
        }
    }

    /// A call has ended after so long.
    pub fn call_ended(&mut self, place: usize, expected: Micros, spent: Micros) {
        self.slots.release(place, 1);
        if let Some(left) = self.left.get_mut(&place) {
            *left = (*left + expected.0 as f64 - spent.0 as f64).max(-MOST_DEBT);
        }
    }

    /// Slots in use by a tenant, and its bounds.
    pub fn slots(&self) -> &Shares {
        &self.slots
    }
}

#[cfg(test)]
mod tests;
