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
    order: VecDeque<(ScopedId, Micros)>,
    bytes: u64,
}

/// A bounded store of final outcomes. When it is full, the oldest outcomes of the owner that uses most bytes
/// are evicted: a tenant with many messages does not evict the outcomes of a tenant that uses less, whose
/// clients may still repeat them.
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
}

impl OutcomeMemory {
    /// Creates a store whose outcomes take at most `bound` bytes of the journal.
    pub fn new(bound: u64) -> OutcomeMemory {
        let (oldest, largest) = (BTreeSet::new(), BTreeSet::new());
        OutcomeMemory { outcomes: HashMap::new(), by_owner: HashMap::new(), oldest, largest, bytes: 0, bound }
    }

    /// Changes the bound, and evicts what no longer fits.
    pub fn set_limit(&mut self, bound: u64) {
        self.bound = bound;
        self.evict(Micros(0));
    }

    /// Bytes that the outcomes take in the journal.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds an outcome.
    pub fn add(&mut self, owner: Owner, id: ScopedId, outcome: FinalOutcome, at: Micros) {
        self.outcomes.insert(id.clone(), (outcome, at));
        self.update(owner, |outcomes| {
            outcomes.bytes += size(&id);
            outcomes.order.push_back((id, at));
        });
        self.evict(at);
    }

    /// Updates the outcomes of an owner together with the sums and indexes that depend on them.
    fn update<T>(&mut self, owner: Owner, update: impl FnOnce(&mut OwnerOutcomes) -> T) -> T {
        let outcomes = self.by_owner.entry(owner).or_default();
        if let Some((_, at)) = outcomes.order.front() {
            self.oldest.remove(&(*at, owner));
            self.largest.remove(&(outcomes.bytes, owner));
        }
        self.bytes -= outcomes.bytes;
        let result = update(outcomes);
        self.bytes += outcomes.bytes;
        match outcomes.order.front() {
            Some((_, at)) => {
                self.oldest.insert((*at, owner));
                self.largest.insert((outcomes.bytes, owner));
            }
            None => drop(self.by_owner.remove(&owner)),
        }
        result
    }

    fn evict(&mut self, at: Micros) {
        loop {
            let expired = self
                .oldest
                .first()
                .filter(|(since, _)| at.minus(*since) >= RETENTION)
                .map(|expired| expired.1);
            let largest = self.largest.last().filter(|_| self.bytes > self.bound).map(|largest| largest.1);
            let Some(owner) = expired.or(largest) else { return };
            let evicted = self.update(owner, |outcomes| {
                let evicted = outcomes.order.pop_front();
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
        let all = self
            .by_owner
            .iter()
            .flat_map(|(&owner, outcomes)| outcomes.order.iter().map(move |one| (owner, one)));
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
