use super::*;
use proptest::prelude::*;

fn name(owner: Owner, id: usize) -> ScopedId {
    (owner, format!("m{id:06}").into_bytes().into())
}

/// A delivered message whose client no longer repeats it.
fn add(memory: &mut OutcomeMemory, owner: Owner, id: ScopedId, at: Micros) {
    add_protected(memory, owner, id, at, at);
}

fn add_protected(
    memory: &mut OutcomeMemory,
    owner: Owner,
    id: ScopedId,
    at: Micros,
    protected_until: Micros,
) {
    memory.add(
        owner,
        id,
        EndedMessage { outcome: FinalOutcome::Delivered, at, protected_until, history: None },
    );
}

#[test]
fn tenant_with_many_outcomes_evicts_none_of_a_tenant_with_few() {
    let mut memory = OutcomeMemory::new(10_000);
    let now = Micros(1_000_000);
    (0..20).for_each(|id| add(&mut memory, 1, name(1, id), now));
    (0..5_000).for_each(|id| add(&mut memory, 2, name(2, id), now.plus(Micros(id as u64))));
    assert!((0..20).all(|id| memory.recall(&name(1, id), now).is_some()));
    assert!(memory.recall(&name(2, 4_999), now).is_some() && memory.recall(&name(2, 0), now).is_none());
    assert!(memory.bytes() <= 10_000);
    // Outcomes beyond the retention time are evicted, whatever their owner.
    add(&mut memory, 2, name(2, 5_000), now.plus(RETENTION));
    assert!((0..20).all(|id| memory.recall(&name(1, id), now).is_none()));
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
            add(&mut memory, owner, name(owner, id), now);
            let sum: u64 = memory.by_owner.values().map(|owned| owned.bytes).sum();
            let each: u64 = memory.by_owner.values().flat_map(|owned| &owned.order).map(|entry| size(&entry.id, &memory.outcomes[&entry.id])).sum();
            prop_assert_eq!((memory.bytes, memory.bytes), (sum, each));
            prop_assert!(memory.bytes <= 900);
            prop_assert_eq!((memory.by_expiry.len(), memory.largest.len()), (memory.by_owner.len(), memory.by_owner.len()));
            prop_assert_eq!(memory.iter().count(), memory.outcomes.len());
            prop_assert!(memory.recall(&name(owner, id), now).is_some());
        }
    }
}

/// Guards against a lower bound that evicts outcomes which clients may still repeat, and against a forecast of its
/// effect that is not what happens.
#[test]
fn lower_bound_evicts_only_what_is_not_protected_and_as_much_as_was_forecast() {
    let now = Micros(60_000_000);
    for bound in [0, 300, 900, 2_000, 4_000] {
        let mut memory = OutcomeMemory::new(100_000);
        for id in 0..30 {
            let (owner, at) = (id as Owner % 3, now.minus(Micros(1_000_000 - id as u64)));
            let is_protected = id % 2 == 0 && owner != 1;
            let protected_until = if is_protected { now.plus(Micros(1)) } else { Micros(id as u64 % 5) };
            add_protected(&mut memory, owner, name(owner, id), at, protected_until);
        }
        let forecast = memory.bytes_under(bound, now);
        memory.set_limit(bound, now);
        assert_eq!(memory.bytes(), forecast, "under {bound}");
        let is_known = |id: usize| memory.recall(&name(id as Owner % 3, id), now).is_some();
        assert!((0..30).filter(|id| id % 2 == 0 && id % 3 != 1).all(is_known), "under {bound}");
        assert!(bound < 2_000 || memory.bytes() <= bound, "{} bytes under {bound}", memory.bytes());
    }
}

/// Guards against a message that is forgotten while its client may repeat it, because its class gives it longer than
/// outcomes are kept as a rule.
#[test]
fn outcome_that_is_protected_for_longer_than_the_retention_outlasts_it() {
    let mut memory = OutcomeMemory::new(100_000);
    let (at, until) = (Micros(1_000_000), Micros(1_000_000).plus(RETENTION).plus(Micros(50_000_000)));
    add_protected(&mut memory, 1, name(1, 0), at, until);
    add(&mut memory, 2, name(2, 0), at);
    add(&mut memory, 1, name(1, 1), until.minus(Micros(1)));
    assert!(memory.recall(&name(1, 0), until).is_some());
    assert!(memory.recall(&name(2, 0), until).is_none(), "the retention of others counts as before");
    add(&mut memory, 1, name(1, 2), until);
    assert!(memory.recall(&name(1, 0), until).is_none());
}
