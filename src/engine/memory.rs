//! Final outcomes of recently ended messages: a repeated id is answered from here and not delivered again, or
//! goes on from the attempts that were made under it.

use crate::journal::FinalOutcome;
use crate::{AttemptHistory, EndpointId, Micros};
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

/// Time for which an outcome is kept unless the space runs short. A protected one is kept for longer.
pub const RETENTION: Micros = Micros(120_000_000);
/// Approximate size of a journal record without the bytes of its id, and without a history.
const RECORD_OVERHEAD: u64 = 56;
/// Size of a history in a journal record.
const HISTORY_BYTES: u64 = 32;

/// The scope in which an id is unique (see [`id_scope_number`](crate::engine::id_scope_number)), and the id.
pub type ScopedId = (u32, Rc<[u8]>);

/// The owner of an outcome: a tenant's number, or [`NO_OWNER`].
pub type Owner = u32;
/// Owner of the outcomes that a journal of an older version holds without their tenant.
pub const NO_OWNER: Owner = u32::MAX;

/// What is remembered of a message that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedMessage {
    /// Its final outcome.
    pub outcome: FinalOutcome,
    /// When it ended, in Unix time.
    pub at: Micros,
    /// Until when its client may repeat it, in Unix time: before, it is not evicted. Zero for a message that
    /// surely has not run.
    pub protected_until: Micros,
    /// For a deferred message that may have run: what another delivery under its id must go on from.
    pub history: Option<AttemptHistory>,
}

/// The history of a message of which only the outcome is known: it may have run at any time before.
pub const UNKNOWN_HISTORY: AttemptHistory =
    AttemptHistory { effect: None, attempts: 0, may_have_run: Some((Micros(0), EndpointId(0))) };

/// What is known of an id that is submitted again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KnownId {
    /// Its message has ended with this outcome, which answers the repeat.
    Ended(FinalOutcome),
    /// Its message may have run before it was deferred, and may go on from here.
    Deferred(AttemptHistory),
}

impl EndedMessage {
    fn expires_at(&self) -> Micros {
        self.at.plus(RETENTION).max(self.protected_until)
    }
}

/// An outcome's place in the order of eviction.
struct Entry {
    id: ScopedId,
    at: Micros,
    protected_until: Micros,
    expires_at: Micros,
    bytes: u64,
}

#[derive(Default)]
struct OwnerOutcomes {
    /// Outcomes of messages that may have run, the oldest first.
    order: VecDeque<Entry>,
    /// Outcomes of messages that surely have not run, the oldest first.
    never_ran: VecDeque<Entry>,
    bytes: u64,
}

impl OwnerOutcomes {
    /// When the first outcome expires.
    fn first_expiry(&self) -> Option<Micros> {
        let fronts = [self.order.front(), self.never_ran.front()];
        fronts.into_iter().flatten().map(|entry| entry.expires_at).min()
    }

    /// The outcomes in the order in which they are evicted, up to the first protected one.
    fn evictable(&self, now: Micros) -> impl Iterator<Item = &Entry> {
        let unprotected = self.order.iter().take_while(move |entry| entry.protected_until <= now);
        self.never_ran.iter().chain(unprotected)
    }

    /// Removes the outcome that matters least: the oldest of a message that has not run, or the oldest that
    /// is not protected.
    fn pop_evictable(&mut self, now: Micros) -> Option<Entry> {
        let unprotected = |order: &mut VecDeque<Entry>| {
            order.front().is_some_and(|entry| entry.protected_until <= now).then(|| order.pop_front())
        };
        self.never_ran.pop_front().or_else(|| unprotected(&mut self.order).flatten())
    }

    /// Removes an expired outcome.
    fn pop_expired(&mut self, now: Micros) -> Option<Entry> {
        let queues = [&mut self.never_ran, &mut self.order];
        let is_expired = |queue: &VecDeque<Entry>| queue.front().is_some_and(|entry| entry.expires_at <= now);
        queues.into_iter().find(|queue| is_expired(queue)).and_then(VecDeque::pop_front)
    }
}

/// A bounded store of final outcomes. When it is full, the oldest outcomes of the owner that uses most bytes
/// are evicted: a tenant with many messages does not evict the outcomes of a tenant that uses less, whose
/// clients may still repeat them. An outcome of a message that may have run is protected while its client may
/// repeat it: until then it stays beyond the bound, whatever becomes of the bound.
///
/// Cost: O(log tenants) for each outcome.
pub struct OutcomeMemory {
    outcomes: HashMap<ScopedId, EndedMessage>,
    by_owner: HashMap<Owner, OwnerOutcomes>,
    /// Owners by the time at which their first outcome expires.
    by_expiry: BTreeSet<(Micros, Owner)>,
    /// Owners by the bytes that they use.
    largest: BTreeSet<(u64, Owner)>,
    bytes: u64,
    bound: u64,
}

impl OutcomeMemory {
    /// Creates a store whose outcomes take at most `bound` bytes of the journal, except for protected ones.
    pub fn new(bound: u64) -> OutcomeMemory {
        OutcomeMemory {
            outcomes: HashMap::new(),
            by_owner: HashMap::new(),
            by_expiry: BTreeSet::new(),
            largest: BTreeSet::new(),
            bytes: 0,
            bound,
        }
    }

    /// Changes the bound, and evicts what no longer fits and is not protected.
    pub fn set_limit(&mut self, bound: u64, now: Micros) {
        self.bound = bound;
        self.evict(now);
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

    /// Bytes that the outcomes would take after [`OutcomeMemory::set_limit`] with this bound. Cost: O(outcomes
    /// evicted by it).
    pub fn bytes_under(&self, bound: u64, now: Micros) -> u64 {
        let mut bytes = self.bytes;
        let sizes = self.by_owner.iter().map(|(&owner, outcomes)| (outcomes.bytes, owner));
        let mut largest: BinaryHeap<(u64, Owner)> = sizes.collect();
        let mut evictable: HashMap<Owner, _> =
            self.by_owner.iter().map(|(&owner, outcomes)| (owner, outcomes.evictable(now))).collect();
        while let Some((owner_bytes, owner)) = largest.pop().filter(|_| bytes > bound) {
            let Some(evicted) = evictable.get_mut(&owner).and_then(Iterator::next) else { break };
            bytes -= evicted.bytes;
            largest.push((owner_bytes - evicted.bytes, owner));
        }
        bytes
    }

    /// Adds what is remembered of a message.
    pub fn add(&mut self, owner: Owner, id: ScopedId, ended: EndedMessage) {
        let entry = Entry {
            id: id.clone(),
            at: ended.at,
            protected_until: ended.protected_until,
            expires_at: ended.expires_at(),
            bytes: size(&id, &ended),
        };
        self.outcomes.insert(id, ended);
        self.update(owner, |outcomes| {
            outcomes.bytes += entry.bytes;
            let may_have_run = ended.protected_until > Micros(0);
            let queue = if may_have_run { &mut outcomes.order } else { &mut outcomes.never_ran };
            queue.push_back(entry);
        });
        self.evict(ended.at);
    }

    /// Updates the outcomes of an owner together with the sums and indexes that depend on them.
    fn update<T>(&mut self, owner: Owner, update: impl FnOnce(&mut OwnerOutcomes) -> T) -> T {
        let outcomes = self.by_owner.entry(owner).or_default();
        if let Some(at) = outcomes.first_expiry() {
            self.by_expiry.remove(&(at, owner));
            self.largest.remove(&(outcomes.bytes, owner));
        }
        self.bytes -= outcomes.bytes;
        let result = update(outcomes);
        self.bytes += outcomes.bytes;
        match outcomes.first_expiry() {
            Some(at) => {
                self.by_expiry.insert((at, owner));
                self.largest.insert((outcomes.bytes, owner));
            }
            None => drop(self.by_owner.remove(&owner)),
        }
        result
    }

    /// Evicts expired outcomes, and unprotected ones that do not fit.
    fn evict(&mut self, now: Micros) {
        while let Some(&(_, owner)) = self.by_expiry.first().filter(|(at, _)| *at <= now) {
            let Some(expired) = self.update_popped(owner, |outcomes| outcomes.pop_expired(now)) else {
                break;
            };
            self.forget(expired);
        }
        while let Some(&(_, owner)) = self.largest.last().filter(|_| self.bytes > self.bound) {
            let Some(evicted) = self.update_popped(owner, |outcomes| outcomes.pop_evictable(now)) else {
                break;
            };
            self.forget(evicted);
        }
    }

    /// Takes an entry out of an owner's outcomes.
    fn update_popped(
        &mut self,
        owner: Owner,
        pop: impl FnOnce(&mut OwnerOutcomes) -> Option<Entry>,
    ) -> Option<Entry> {
        self.update(owner, |outcomes| {
            let popped = pop(outcomes);
            outcomes.bytes -= popped.as_ref().map_or(0, |entry| entry.bytes);
            popped
        })
    }

    /// Removes the outcome of an evicted entry, unless another message with the same id has ended since.
    fn forget(&mut self, evicted: Entry) {
        if self.outcomes.get(&evicted.id).is_some_and(|known| known.at == evicted.at) {
            self.outcomes.remove(&evicted.id);
        }
    }

    /// What is known of an id. The outcome of a deferred message no longer counts once its retry-after has
    /// passed; what may have run still does.
    pub fn recall(&self, id: &ScopedId, now: Micros) -> Option<KnownId> {
        let ended = self.outcomes.get(id)?;
        match ended.outcome {
            FinalOutcome::Deferred(retry_after) if ended.at.plus(retry_after) <= now => {
                ended.history.map(KnownId::Deferred)
            }
            outcome => Some(KnownId::Ended(outcome)),
        }
    }

    /// All that is remembered with its owners, the oldest of each owner first.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, &ScopedId, &EndedMessage)> {
        let all = self.by_owner.iter().flat_map(|(&owner, outcomes)| {
            let entries = outcomes.never_ran.iter().chain(&outcomes.order);
            entries.map(move |entry| (owner, entry))
        });
        let known = all.filter_map(|(owner, entry)| Some((owner, entry, self.outcomes.get(&entry.id)?)));
        known
            .filter(|(_, entry, ended)| ended.at == entry.at)
            .map(|(owner, entry, ended)| (owner, &entry.id, ended))
    }
}

fn size(id: &ScopedId, ended: &EndedMessage) -> u64 {
    let history = if ended.history.is_some() { HISTORY_BYTES } else { 0 };
    id.1.len() as u64 + RECORD_OVERHEAD + history
}

#[cfg(test)]
mod tests;
