//! Final outcomes of recently ended messages: a repeated id is answered from here and not delivered again.

use crate::journal::FinalOutcome;
use crate::Micros;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Time for which an outcome is kept: longer than any class's deadline, so clients no longer repeat the id by
/// then.
const RETENTION: Micros = Micros(120_000_000);
/// Approximate size of a journal record without the bytes of its id.
const RECORD_OVERHEAD: u64 = 56;

/// The scope in which an id is unique (see [`id_scope_number`](crate::engine::id_scope_number)), and the id.
pub type ScopedId = (u32, Rc<[u8]>);

/// The owner of an outcome: a tenant's number, or [`NO_OWNER`].
pub type Owner = u32;
/// Owner of the outcomes that a journal of an older version holds without their tenant.
pub const NO_OWNER: Owner = u32::MAX;

#[derive(Default)]
struct OwnerOutcomes {
    /// Outcomes of messages that may have run, the oldest first.
    order: VecDeque<(ScopedId, Micros)>,
    /// Outcomes of messages that surely have not run, the oldest first.
    never_ran: VecDeque<(ScopedId, Micros)>,
    bytes: u64,
}

impl OwnerOutcomes {
    /// Time of the oldest outcome.
    fn oldest(&self) -> Option<Micros> {
        let fronts = [self.order.front(), self.never_ran.front()];
        fronts.into_iter().flatten().map(|(_, at)| *at).min()
    }

    /// Whether an outcome can be evicted whose protection ended by `protected_since`.
    fn has_evictable(&self, protected_since: Micros) -> bool {
        !self.never_ran.is_empty() || self.order.front().is_some_and(|(_, at)| *at <= protected_since)
    }

    /// Removes the outcome that matters least: the oldest of a message that has not run, or the oldest.
    fn pop(&mut self) -> Option<(ScopedId, Micros)> {
        self.never_ran.pop_front().or_else(|| self.order.pop_front())
    }
}

/// A bounded store of final outcomes. When it is full, the oldest outcomes of the owner that uses most bytes
/// are evicted: a tenant with many messages does not evict the outcomes of a tenant that uses less, whose
/// clients may still repeat them. An outcome of a message that may have run is protected for a time, in which
/// its client may repeat it: until then it stays beyond the bound.
///
/// Cost: O(log tenants) for each outcome.
pub struct OutcomeMemory {
    outcomes: HashMap<ScopedId, (FinalOutcome, Micros)>,
    by_owner: HashMap<Owner, OwnerOutcomes>,
    /// Owners by the time of their oldest outcome.
    oldest: BTreeSet<(Micros, Owner)>,
    /// Owners by the bytes that they use.
    largest: BTreeSet<(u64, Owner)>,
    bytes: u64,
    bound: u64,
    protected_for: Micros,
}

impl OutcomeMemory {
    /// Creates a store whose outcomes take at most `bound` bytes of the journal.
    pub fn new(bound: u64) -> OutcomeMemory {
        let (oldest, largest) = (BTreeSet::new(), BTreeSet::new());
        OutcomeMemory {
            outcomes: HashMap::new(),
            by_owner: HashMap::new(),
            oldest,
            largest,
            bytes: 0,
            bound,
            protected_for: Micros(0),
        }
    }

    /// Changes the bound, and evicts what no longer fits, protected or not.
    pub fn set_limit(&mut self, bound: u64) {
        self.bound = bound;
        self.evict(Micros(0), Micros(u64::MAX));
    }

    /// Sets the time for which an outcome of a message that may have run is protected: the longest time in
    /// which a client may repeat a message.
    pub fn set_protection(&mut self, protected_for: Micros) {
        self.protected_for = protected_for;
    }

    /// Whether protected outcomes take too much, and this owner's most of it: further messages of the owner
    /// would add to them.
    pub fn is_overfull_by(&self, owner: Owner) -> bool {
        self.bytes > 2 * self.bound && self.largest.last().is_some_and(|(_, largest)| *largest == owner)
    }

    /// Bytes that the outcomes take in the journal.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds the outcome of a message that may have run.
    pub fn add(&mut self, owner: Owner, id: ScopedId, outcome: FinalOutcome, at: Micros) {
        self.insert(owner, id, outcome, at, |outcomes| &mut outcomes.order);
    }

    /// Adds the outcome of a message that surely has not run.
    pub fn add_never_ran(&mut self, owner: Owner, id: ScopedId, outcome: FinalOutcome, at: Micros) {
        self.insert(owner, id, outcome, at, |outcomes| &mut outcomes.never_ran);
    }

    fn insert(
        &mut self,
        owner: Owner,
        id: ScopedId,
        outcome: FinalOutcome,
        at: Micros,
        queue: fn(&mut OwnerOutcomes) -> &mut VecDeque<(ScopedId, Micros)>,
    ) {
        self.outcomes.insert(id.clone(), (outcome, at));
        self.update(owner, |outcomes| {
            outcomes.bytes += size(&id);
            queue(outcomes).push_back((id, at));
        });
        self.evict(at, at.minus(self.protected_for));
    }

    /// Updates the outcomes of an owner together with the sums and indexes that depend on them.
    fn update<T>(&mut self, owner: Owner, update: impl FnOnce(&mut OwnerOutcomes) -> T) -> T {
        let outcomes = self.by_owner.entry(owner).or_default();
        if let Some(at) = outcomes.oldest() {
            self.oldest.remove(&(at, owner));
            self.largest.remove(&(outcomes.bytes, owner));
        }
        self.bytes -= outcomes.bytes;
        let result = update(outcomes);
        self.bytes += outcomes.bytes;
        match outcomes.oldest() {
            Some(at) => {
                self.oldest.insert((at, owner));
                self.largest.insert((outcomes.bytes, owner));
            }
            None => drop(self.by_owner.remove(&owner)),
        }
        result
    }

    /// Evicts outcomes past their retention, and those that do not fit. Outcomes from after `protected_since`
    /// are protected.
    fn evict(&mut self, at: Micros, protected_since: Micros) {
        loop {
            let expired = self
                .oldest
                .first()
                .filter(|(since, _)| at.minus(*since) >= RETENTION)
                .map(|expired| expired.1);
            let largest = self.largest.last().filter(|_| self.bytes > self.bound).map(|largest| largest.1);
            let largest = largest.filter(|owner| self.by_owner[owner].has_evictable(protected_since));
            let Some(owner) = expired.or(largest) else { return };
            let evicted = self.update(owner, |outcomes| {
                let evicted = outcomes.pop();
                outcomes.bytes -= evicted.as_ref().map_or(0, |(id, _)| size(id));
                evicted
            });
            // Another message with the same id may have ended since.
            if let Some((id, since)) = evicted {
                if self.outcomes.get(&id).is_some_and(|known| known.1 == since) {
                    self.outcomes.remove(&id);
                }
            }
        }
    }

    /// The final outcome of the message with this id. A deferred one no longer counts once its retry-after
    /// has passed.
    pub fn outcome_of(&self, id: &ScopedId, now: Micros) -> Option<FinalOutcome> {
        match self.outcomes.get(id) {
            Some(&(FinalOutcome::Deferred(retry_after), at)) if at.plus(retry_after) <= now => None,
            known => known.map(|&(outcome, _)| outcome),
        }
    }

    /// All outcomes with their owners, the oldest of each owner first.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, &ScopedId, FinalOutcome, Micros)> {
        let all = self.by_owner.iter().flat_map(|(&owner, outcomes)| {
            let remembered = outcomes.never_ran.iter().chain(&outcomes.order);
            remembered.map(move |one| (owner, one))
        });
        let current = all.filter_map(|(owner, (id, at))| Some((owner, id, *at, self.outcomes.get(id)?)));
        current
            .filter(|(.., at, known)| known.1 == *at)
            .map(|(owner, id, at, known)| (owner, id, known.0, at))
    }
}

fn size(id: &ScopedId) -> u64 {
    id.1.len() as u64 + RECORD_OVERHEAD
}

#[cfg(test)]
mod tests;
