use super::*;
use crate::tenancy::ShareLimits;
use proptest::prelude::*;

/// A run in steps of 10 ms: tenants with as much to send as told, each with a call time of its own. Tells the slots that
/// each had on average in the second half, and checks the rule on guarantees at each step.
fn run(slots: u32, isolation: &[Isolation], demand: &[u32], call_ms: &[u64]) -> Vec<f64> {
    let mut gate = FairScheduler::default();
    gate.configure(slots, isolation);
    let mut out: Vec<(u64, usize, u64)> = Vec::new();
    let mut had = vec![0.0; demand.len()];
    for step in 0..4_000u64 {
        let now = step * 10;
        let over: Vec<_> = out.iter().copied().filter(|call| call.0 <= now).collect();
        out.retain(|call| call.0 > now);
        for (_, place, began) in over {
            gate.call_ended(place, Micros(call_ms[place] * 1000), Micros((now - began) * 1000));
        }
        while out.len() < slots as usize {
            let busy =
                |place: usize| out.iter().filter(|call| call.1 == place).count() < demand[place] as usize;
            let waiting: Vec<usize> = (0..demand.len()).filter(|&place| busy(place)).collect();
            let open = gate.eligibility(waiting.iter().copied());
            let Some(&place) = waiting.iter().find(|&&place| gate.is_eligible(place, open)) else { break };
            let above = gate.slots.used(place) >= gate.slots.bounds(place).guarantee;
            let starved = waiting.iter().any(|&other| gate.slots.is_below_guarantee(other));
            assert!(!(above && starved && gate.short), "one above its guarantee before one below");
            gate.call_started(place, Micros(call_ms[place] * 1000));
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
    let slots = ShareLimits { guarantee: None, ceiling: Some(3) };
    let had = run(10, &[Isolation { slots, ..Isolation::default() }], &[99], &[200]);
    assert!((had[0] - 3.0).abs() < 1e-9, "{had:?}");
}

#[test]
fn weights_part_what_guarantees_do_not() {
    let told = ShareLimits { guarantee: Some(0), ceiling: None };
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
