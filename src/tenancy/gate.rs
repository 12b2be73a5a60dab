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
pub enum Open {
    /// All whose shares allow it.
    All,
    /// Those below their guarantees.
    Below,
    /// Those that have not used up their part of the round.
    Round,
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    slots: Shares,
    weights: Vec<f64>,
    /// Slots ran short, and there has been no moment since when all that could go had gone and slots were left.
    short: bool,
    /// Slot time left in this round, in microseconds: of those that wait, and of those in debt.
    left: BTreeMap<usize, f64>,
}

impl Gate {
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
    pub fn turn(&mut self, waiting: impl Iterator<Item = usize> + Clone) -> Open {
        if self.weights.len() <= 1 {
            return Open::All;
        }
        let (used, size) = self.slots.total();
        if size.saturating_sub(used) * SHORT <= size {
            self.short = true;
        } else if self.short && !waiting.clone().any(|place| self.may(place)) {
            self.short = false;
            self.left.clear();
        }
        if !self.short {
            return Open::All;
        }
        if waiting.clone().any(|place| self.slots.below(place)) {
            return Open::Below;
        }
        let may: Vec<usize> = waiting.filter(|&place| self.may(place)).collect();
        let mut rounds = f64::INFINITY;
        for &place in &may {
            let left = self.left.get(&place).copied().unwrap_or(0.0);
            if left > 0.0 {
                return Open::Round;
            }
            rounds = rounds.min((-left / self.quantum(place)).floor() + 1.0);
        }
        // Where all that wait are in debt, as many rounds pass at once as the first needs to come out of it.
        if may.is_empty() {
            return Open::Round;
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
        Open::Round
    }

    fn quantum(&self, place: usize) -> f64 {
        QUANTUM * self.weights.get(place).copied().unwrap_or(1.0)
    }

    /// Whether a tenant is one of those that may go.
    pub fn goes(&self, place: usize, open: Open) -> bool {
        match open {
            Open::All => self.may(place),
            Open::Below => self.slots.below(place),
            Open::Round => self.may(place) && self.left.get(&place).is_some_and(|left| *left > 0.0),
        }
    }

    /// Whether its share allows a tenant another slot. Where none is free, the module alone decides whether one is to be
    /// taken from a call that hangs.
    pub fn may(&self, place: usize) -> bool {
        let (used, size) = self.slots.total();
        self.weights.is_empty() || used >= size || self.slots.may(place, 1).is_ok()
    }

    /// A tenant's message opens a call that is expected to keep its slot so long.
    pub fn opened(&mut self, place: usize, expected: Micros) {
        self.slots.take(place, 1);
        if let Some(left) = self.left.get_mut(&place) {
            *left = (*left - expected.0 as f64).max(-MOST_DEBT);
        }
    }

    /// A call has ended after so long.
    pub fn ended(&mut self, place: usize, expected: Micros, spent: Micros) {
        self.slots.give(place, 1);
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
mod tests {
    use super::*;
    use crate::tenancy::Told;
    use proptest::prelude::*;

    /// A run in steps of 10 ms: tenants with as much to send as told, each with a call time of its own. Tells the slots that
    /// each had on average in the second half, and checks the rule on guarantees at each step.
    fn run(slots: u32, isolation: &[Isolation], demand: &[u32], call_ms: &[u64]) -> Vec<f64> {
        let mut gate = Gate::default();
        gate.configure(slots, isolation);
        let mut out: Vec<(u64, usize, u64)> = Vec::new();
        let mut had = vec![0.0; demand.len()];
        for step in 0..4_000u64 {
            let now = step * 10;
            let over: Vec<_> = out.iter().copied().filter(|call| call.0 <= now).collect();
            out.retain(|call| call.0 > now);
            for (_, place, began) in over {
                gate.ended(place, Micros(call_ms[place] * 1000), Micros((now - began) * 1000));
            }
            while out.len() < slots as usize {
                let busy =
                    |place: usize| out.iter().filter(|call| call.1 == place).count() < demand[place] as usize;
                let waiting: Vec<usize> = (0..demand.len()).filter(|&place| busy(place)).collect();
                let open = gate.turn(waiting.iter().copied());
                let Some(&place) = waiting.iter().find(|&&place| gate.goes(place, open)) else { break };
                let above = gate.slots.used(place) >= gate.slots.bounds(place).guarantee;
                let starved = waiting.iter().any(|&other| gate.slots.below(other));
                assert!(!(above && starved && gate.short), "one above its guarantee before one below");
                gate.opened(place, Micros(call_ms[place] * 1000));
                out.push((now + call_ms[place], place, now));
            }
            if step >= 2_000 {
                had.iter_mut()
                    .enumerate()
                    .for_each(|(place, had)| *had += gate.slots.used(place) as f64 / 2_000.0);
            }
        }
        had
    }

    #[test]
    fn busy_tenants_of_equal_weight_have_equal_slots_whatever_their_calls_take() {
        let had = run(64, &[Isolation::default(); 4], &[99, 99, 99, 99], &[40, 4_000, 400, 1_000]);
        let (sum, squares): (f64, f64) = (had.iter().sum(), had.iter().map(|had| had * had).sum());
        let jain = sum * sum / (4.0 * squares);
        assert!(jain > 0.99, "{jain}: {had:?}");
    }

    #[test]
    fn a_ceiling_binds_a_tenant_alone_too() {
        let slots = Told { guarantee: None, ceiling: Some(3) };
        let had = run(10, &[Isolation { slots, ..Isolation::default() }], &[99], &[200]);
        assert!((had[0] - 3.0).abs() < 1e-9, "{had:?}");
    }

    #[test]
    fn weights_part_what_guarantees_do_not() {
        let told = Told { guarantee: Some(0), ceiling: None };
        let one = |weight| Isolation { weight, slots: told, ..Isolation::default() };
        let had = run(60, &[one(1.0), one(2.0), one(3.0)], &[99, 99, 99], &[200, 200, 200]);
        for (place, due) in [10.0, 20.0, 30.0].into_iter().enumerate() {
            assert!((had[place] - due).abs() < 1.5, "{had:?}");
        }
    }

    #[test]
    fn a_crawling_tenant_leaves_a_prompt_one_its_part_and_borrows_the_rest() {
        let had = run(40, &[Isolation::default(); 2], &[99, 4], &[4_000, 10]);
        assert!(had[0] > 34.0 && had[1] > 3.5, "{had:?}");
    }

    proptest! {
        /// Slots are never left unused for the sake of fairness, but for reserves; nobody above its guarantee goes before
        /// one below that waits (asserted in the run).
        #[test]
        fn work_goes_on_and_guarantees_come_first(
            slots in 4u32..80,
            tenants in proptest::collection::vec((0.2f64..5.0, 0u32..60, 20u64..900), 2..6),
        ) {
            let isolation: Vec<_> =
                tenants.iter().map(|&(weight, ..)| Isolation { weight, ..Isolation::default() }).collect();
            let demand: Vec<u32> = tenants.iter().map(|one| one.1).collect();
            let calls: Vec<u64> = tenants.iter().map(|one| one.2).collect();
            let had = run(slots, &isolation, &demand, &calls);
            let wanted = demand.iter().sum::<u32>().min(slots);
            let kept: f64 = f64::from(slots) * 0.25;
            prop_assert!(had.iter().sum::<f64>() >= f64::from(wanted) - kept - 1.0, "{had:?} of {demand:?}");
        }
    }
}
