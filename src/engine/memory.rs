//! Flows that ended lately: a repeat of an id is answered, not redone.

use crate::journal::FinalOutcome;
use crate::Micros;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Longer than any class's deadline: by then nobody repeats an id.
const RETENTION: Micros = Micros(120_000_000);
/// What a name takes in the journal besides its own bytes, about.
const RECORD_OVERHEAD: u64 = 56;

/// The space in which an id names one flow (see [`space`](crate::engine::id_scope_number)), and the id.
pub type ScopedId = (u32, Rc<[u8]>);

/// Whose ends they are: a tenant's number, or [`NOBODY`].
pub type Owner = u32;
/// Of ends that a journal of a version before this remembers without their tenant.
pub const NO_OWNER: Owner = u32::MAX;

#[derive(Default)]
struct OwnerOutcomes {
    order: VecDeque<(ScopedId, Micros)>,
    bytes: u64,
}

/// A bounded memory of ends. Where it is full, the oldest go of whoever has most: a tenant that ends much puts nothing out
/// of memory that another's clients may still repeat, as long as that one has less.
///
/// Cost: O(log tenants) an end.
pub struct OutcomeMemory {
    outcomes: HashMap<ScopedId, (FinalOutcome, Micros)>,
    by_owner: HashMap<Owner, OwnerOutcomes>,
    /// When the oldest end of each was.
    oldest: BTreeSet<(Micros, Owner)>,
    /// What each takes.
    largest: BTreeSet<(u64, Owner)>,
    bytes: u64,
    bound: u64,
}

impl OutcomeMemory {
    /// Holds names for so many bytes of the journal at most.
    pub fn new(bound: u64) -> OutcomeMemory {
        let (oldest, largest) = (BTreeSet::new(), BTreeSet::new());
        OutcomeMemory { outcomes: HashMap::new(), by_owner: HashMap::new(), oldest, largest, bytes: 0, bound }
    }

    /// Another bound counts from now on.
    pub fn set_limit(&mut self, bound: u64) {
        self.bound = bound;
        self.evict(Micros(0));
    }

    /// What it takes in the journal.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Remembers an end.
    pub fn add(&mut self, owner: Owner, name: ScopedId, outcome: FinalOutcome, at: Micros) {
        self.outcomes.insert(name.clone(), (outcome, at));
        self.update(owner, |owned| {
            owned.bytes += size(&name);
            owned.order.push_back((name, at));
        });
        self.evict(at);
    }

    /// Changes what is one's, and keeps the sums and orders that depend on it.
    fn update<T>(&mut self, owner: Owner, update: impl FnOnce(&mut OwnerOutcomes) -> T) -> T {
        let owned = self.by_owner.entry(owner).or_default();
        if let Some((_, at)) = owned.order.front() {
            self.oldest.remove(&(*at, owner));
            self.largest.remove(&(owned.bytes, owner));
        }
        self.bytes -= owned.bytes;
        let told = update(owned);
        self.bytes += owned.bytes;
        match owned.order.front() {
            Some((_, at)) => {
                self.oldest.insert((*at, owner));
                self.largest.insert((owned.bytes, owner));
            }
            None => drop(self.by_owner.remove(&owner)),
        }
        told
    }

    fn evict(&mut self, at: Micros) {
        loop {
            let aged =
                self.oldest.first().filter(|(since, _)| at.minus(*since) >= RETENTION).map(|aged| aged.1);
            let most = self.largest.last().filter(|_| self.bytes > self.bound).map(|most| most.1);
            let Some(owner) = aged.or(most) else { return };
            let gone = self.update(owner, |owned| {
                let gone = owned.order.pop_front();
                owned.bytes -= gone.as_ref().map_or(0, |(name, _)| size(name));
                gone
            });
            // The same id may have ended again since.
            if let Some((name, since)) = gone {
                if self.outcomes.get(&name).is_some_and(|known| known.1 == since) {
                    self.outcomes.remove(&name);
                }
            }
        }
    }

    /// How a flow of this name ended. A deferred one is forgotten once it was to come again.
    pub fn outcome_of(&self, name: &ScopedId, now: Micros) -> Option<FinalOutcome> {
        match self.outcomes.get(name) {
            Some(&(FinalOutcome::Deferred(again), at)) if at.plus(again) <= now => None,
            known => known.map(|&(outcome, _)| outcome),
        }
    }

    /// All of it with its owners, the oldest of each first.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, &ScopedId, FinalOutcome, Micros)> {
        let all =
            self.by_owner.iter().flat_map(|(&owner, owned)| owned.order.iter().map(move |one| (owner, one)));
        let current =
            all.filter_map(|(owner, (name, at))| Some((owner, name, *at, self.outcomes.get(name)?)));
        current
            .filter(|(.., at, known)| known.1 == *at)
            .map(|(owner, name, at, known)| (owner, name, known.0, at))
    }
}

fn size(name: &ScopedId) -> u64 {
    name.1.len() as u64 + RECORD_OVERHEAD
}

#[cfg(test)]
mod tests;
