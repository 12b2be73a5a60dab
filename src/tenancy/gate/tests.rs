use super::*;
use crate::tenancy::ShareLimits;
use proptest::prelude::*;

/// Simulates tenants in steps of 10 ms, each with its demand of concurrent calls and its call duration.
/// Checks the precedence of guarantees at each step and returns the mean slots of each tenant in the second
/// half.
fn mean_slots(slots: u32, isolation: &[Isolation], demand: &[u32], call_ms: &[u64]) -> Vec<f64> {
    let mut scheduler = FairScheduler::default();
    scheduler.configure(slots, isolation);
    let mut calls: Vec<(u64, usize, u64)> = Vec::new();
    let mut mean = vec![0.0; demand.len()];
    for step in 0..4_000u64 {
        let now = step * 10;
        let ended: Vec<_> = calls.iter().copied().filter(|call| call.0 <= now).collect();
        calls.retain(|call| call.0 > now);
        for (_, tenant, began) in ended {
            scheduler.call_ended(tenant, Micros(call_ms[tenant] * 1000), Micros((now - began) * 1000));
        }
        while calls.len() < slots as usize {
            let has_demand = |tenant: usize| {
                calls.iter().filter(|call| call.1 == tenant).count() < demand[tenant] as usize
            };
            let waiting: Vec<usize> = (0..demand.len()).filter(|&tenant| has_demand(tenant)).collect();
            let eligibility = scheduler.eligibility(waiting.iter().copied());
            let Some(&tenant) = waiting.iter().find(|&&tenant| scheduler.is_eligible(tenant, eligibility))
            else {
                break;
            };
            let above = scheduler.slots.used(tenant) >= scheduler.slots.bounds(tenant).guarantee;
            let starved = waiting.iter().any(|&other| scheduler.slots.is_below_guarantee(other));
            assert!(
                !(above && starved && scheduler.short),
                "a tenant above its guarantee was eligible before one below it"
            );
            scheduler.call_started(tenant, Micros(call_ms[tenant] * 1000));
            calls.push((now + call_ms[tenant], tenant, now));
        }
        if step >= 2_000 {
            mean.iter_mut()
                .enumerate()
                .for_each(|(tenant, mean)| *mean += scheduler.slots.used(tenant) as f64 / 2_000.0);
        }
    }
    mean
}

#[test]
fn busy_tenants_of_equal_weight_get_equal_slots_whatever_their_call_durations() {
    let mean = mean_slots(64, &[Isolation::default(); 4], &[99, 99, 99, 99], &[40, 4_000, 400, 1_000]);
    let (sum, squares): (f64, f64) = (mean.iter().sum(), mean.iter().map(|mean| mean * mean).sum());
    let jain = sum * sum / (4.0 * squares);
    assert!(jain > 0.99, "{jain}: {mean:?}");
}

#[test]
fn ceiling_is_enforced_for_a_single_tenant() {
    let slots = ShareLimits { guarantee: None, ceiling: Some(3) };
    let mean = mean_slots(10, &[Isolation { slots, ..Isolation::default() }], &[99], &[200]);
    assert!((mean[0] - 3.0).abs() < 1e-9, "{mean:?}");
}

#[test]
fn slots_without_guarantees_are_divided_by_weight() {
    let limits = ShareLimits { guarantee: Some(0), ceiling: None };
    let weighted = |weight| Isolation { weight, slots: limits, ..Isolation::default() };
    let mean =
        mean_slots(60, &[weighted(1.0), weighted(2.0), weighted(3.0)], &[99, 99, 99], &[200, 200, 200]);
    for (tenant, expected) in [10.0, 20.0, 30.0].into_iter().enumerate() {
        assert!((mean[tenant] - expected).abs() < 1.5, "{mean:?}");
    }
}

#[test]
fn tenant_with_slow_calls_leaves_a_fast_one_its_share_and_borrows_the_rest() {
    let mean = mean_slots(40, &[Isolation::default(); 2], &[99, 4], &[4_000, 10]);
    assert!(mean[0] > 34.0 && mean[1] > 3.5, "{mean:?}");
}

proptest! {
    /// Only reserves leave slots unused. No tenant above its guarantee is eligible while one below its
    /// guarantee waits (asserted in `mean_slots`).
    #[test]
    fn slots_are_used_up_to_reserves_and_guarantees_take_precedence(
        slots in 4u32..80,
        tenants in proptest::collection::vec((0.2f64..5.0, 0u32..60, 20u64..900), 2..6),
    ) {
        let isolation: Vec<_> =
            tenants.iter().map(|&(weight, ..)| Isolation { weight, ..Isolation::default() }).collect();
        let demand: Vec<u32> = tenants.iter().map(|tenant| tenant.1).collect();
        let calls: Vec<u64> = tenants.iter().map(|tenant| tenant.2).collect();
        let mean = mean_slots(slots, &isolation, &demand, &calls);
        let usable = demand.iter().sum::<u32>().min(slots);
        let reserved: f64 = f64::from(slots) * 0.25;
        prop_assert!(mean.iter().sum::<f64>() >= f64::from(usable) - reserved - 1.0, "{mean:?} of {demand:?}");
    }
}
