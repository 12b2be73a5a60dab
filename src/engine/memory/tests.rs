use super::*;
use proptest::prelude::*;

fn name(owner: Owner, id: usize) -> ScopedId {
    (owner, format!("m{id:06}").into_bytes().into())
}

#[test]
fn tenant_with_many_outcomes_evicts_none_of_a_tenant_with_few() {
    let mut memory = OutcomeMemory::new(10_000);
    let now = Micros(1_000_000);
    (0..20).for_each(|id| memory.add(1, name(1, id), FinalOutcome::Delivered, now));
    (0..5_000)
        .for_each(|id| memory.add(2, name(2, id), FinalOutcome::Delivered, now.plus(Micros(id as u64))));
    assert!((0..20).all(|id| memory.outcome_of(&name(1, id), now).is_some()));
    assert!(
        memory.outcome_of(&name(2, 4_999), now).is_some() && memory.outcome_of(&name(2, 0), now).is_none()
    );
    assert!(memory.bytes() <= 10_000);
    // Outcomes beyond the retention time are evicted, whatever their owner.
    memory.add(2, name(2, 5_000), FinalOutcome::Delivered, now.plus(RETENTION));
    assert!((0..20).all(|id| memory.outcome_of(&name(1, id), now).is_none()));
}

proptest! {
    /// The byte counts match the outcomes held, the bound holds, and each outcome in the eviction order can
    /// be looked up.
    #[test]
    fn byte_counts_and_eviction_order_stay_consistent(adds in proptest::collection::vec((0u32..4, 0usize..30, 1u64..20_000_000), 1..200)) {
        let mut memory = OutcomeMemory::new(900);
        let mut now = Micros(0);
        for (owner, id, later) in adds {
            now = now.plus(Micros(later));
            memory.add(owner, name(owner, id), FinalOutcome::Delivered, now);
            let sum: u64 = memory.by_owner.values().map(|owned| owned.bytes).sum();
            let each: u64 = memory.by_owner.values().flat_map(|owned| &owned.order).map(|(name, _)| size(name)).sum();
            prop_assert_eq!((memory.bytes, memory.bytes), (sum, each));
            prop_assert!(memory.bytes <= 900);
            prop_assert_eq!((memory.oldest.len(), memory.largest.len()), (memory.by_owner.len(), memory.by_owner.len()));
            prop_assert_eq!(memory.iter().count(), memory.outcomes.len());
            prop_assert!(memory.outcome_of(&name(owner, id), now).is_some());
        }
    }
}
