//! Indexes over the waiting messages: by the time at which each is due for a final outcome, and by
//! destination, class and tenant. Destinations are indexed by the time at which they open and by the best
//! message for them. The module takes no decisions; it saves the loop iteration from scanning all messages.
//!
//! Cost: inserting and removing a message takes a few operations on ordered sets. Each loop iteration ranks
//! the destinations that have changed and a bounded number of others.

use crate::interface::*;
use crate::tenancy::gate::FairScheduler;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The properties by which a waiting message is indexed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingMessage {
    pub destination: DestinationId,
    pub class: usize,
    pub tenant: usize,
    pub target_time: Micros,
    pub deadline: Micros,
    /// When the message is due for a decision on its final outcome.
    pub ends_at: Micros,
    /// End of the message's backoff.
    pub ready_at: Micros,
    /// The message has an order key and becomes ready only in the order of its key.
    pub ordered: bool,
    /// The message was recovered at a start and has not been attempted.
    pub recovered: bool,
}

/// Ready messages of one destination, class and tenant.
#[derive(Default)]
struct ReadyQueue {
    by_target_time: BTreeSet<(Micros, MessageId)>,
    by_deadline: BTreeSet<(Micros, MessageId)>,
    by_id: BTreeMap<MessageId, Micros>,
}

/// Messages inspected in the order of their ids to find the lowest one that is not late yet: messages of
/// equal worth are sent in the order of their ids.
const MAX_ID_SCAN: usize = 16;

impl ReadyQueue {
    fn insert(&mut self, id: MessageId, message: &WaitingMessage) {
        self.by_target_time.insert((message.target_time, id));
        self.by_deadline.insert((message.deadline, id));
        self.by_id.insert(id, message.target_time);
    }

    /// Returns whether the queue is empty afterwards.
    fn remove(&mut self, id: MessageId, message: &WaitingMessage) -> bool {
        self.by_target_time.remove(&(message.target_time, id));
        self.by_deadline.remove(&(message.deadline, id));
        self.by_id.remove(&id);
        self.by_target_time.is_empty()
    }
}

/// A destination, its best message, and when the destination was ranked.
pub type Ranked = (DestinationId, MessageId, Micros);

/// For each tenant, the destinations ordered by a score; and all destinations by the time of their last
/// ranking.
#[derive(Default)]
pub struct Ranking {
    scores: BTreeMap<(DestinationId, usize), (u64, MessageId, Micros)>,
    order: BTreeMap<usize, BTreeSet<(u64, Reverse<MessageId>, DestinationId)>>,
    by_age: BTreeSet<(Micros, DestinationId, usize)>,
}

impl Ranking {
    /// Replaces a destination's scores (not negative) and the messages that they belong to, one per tenant.
    pub fn set(
        &mut self,
        destination: DestinationId,
        best: impl IntoIterator<Item = (usize, (f64, MessageId))>,
        now: Micros,
    ) {
        let previous = self.scores.range((destination, 0)..=(destination, usize::MAX));
        for ((_, tenant), (bits, id, at)) in previous.map(|(key, score)| (*key, *score)).collect::<Vec<_>>() {
            self.scores.remove(&(destination, tenant));
            self.by_age.remove(&(at, destination, tenant));
            if let Some(order) = self.order.get_mut(&tenant) {
                order.remove(&(bits, Reverse(id), destination));
                if order.is_empty() {
                    self.order.remove(&tenant);
                }
            }
        }
        for (tenant, (score, id)) in best {
            // The bit patterns of non-negative floats have the same order as the floats.
            let bits = score.max(0.0).to_bits();
            self.scores.insert((destination, tenant), (bits, id, now));
            self.order.entry(tenant).or_default().insert((bits, Reverse(id), destination));
            self.by_age.insert((now, destination, tenant));
        }
    }

    /// Tenants that have a score at any destination.
    pub fn tenants(&self) -> impl Iterator<Item = usize> + Clone + '_ {
        self.order.keys().copied()
    }

    /// The highest score of the tenants that pass `filter`; of equal scores, the oldest message.
    pub fn highest(&self, filter: impl Fn(usize) -> bool) -> Option<Ranked> {
        let tops = self.order.iter().filter(|(tenant, _)| filter(**tenant));
        let (top, tenant) = tops.filter_map(|(&tenant, order)| Some((order.last()?, tenant))).max()?;
        self.ranked((top.2, tenant))
    }

    fn ranked(&self, key: (DestinationId, usize)) -> Option<Ranked> {
        self.scores.get(&key).map(|&(_, id, at)| (key.0, id, at))
    }

    /// The destinations with the oldest scores: all of them while there are at most `all_up_to`, else `some`.
    pub fn stalest(&self, (all_up_to, some): (usize, usize)) -> impl Iterator<Item = DestinationId> + '_ {
        let most = if self.scores.len() <= all_up_to { all_up_to } else { some };
        self.by_age.iter().take(most).map(|&(_, destination, _)| destination)
    }
}

/// All waiting messages: see the module documentation.
#[derive(Default)]
pub struct WaitingMessages {
    messages: BTreeMap<MessageId, WaitingMessage>,
    outcome_due: BTreeSet<(Micros, MessageId)>,
    in_backoff: BTreeSet<(Micros, MessageId)>,
    pub ordered: BTreeSet<MessageId>,
    ready: BTreeMap<DestinationId, BTreeMap<(usize, usize), ReadyQueue>>,
    /// Recovered messages without an attempt that are ready to be sent, by deadline.
    recovered: BTreeMap<(DestinationId, usize), BTreeSet<(Micros, MessageId)>>,
    /// When a destination that is not open is ranked again.
    opens_at: BTreeMap<DestinationId, Micros>,
    openings: BTreeSet<(Micros, DestinationId)>,
    /// Open destinations by the message that gains most from being sent now.
    pub ranking: Ranking,
    /// Destinations that changed since the last ranking.
    changed: BTreeSet<DestinationId>,
}

impl WaitingMessages {
    /// Adds a waiting message, or replaces it.
    pub fn insert(&mut self, id: MessageId, message: WaitingMessage, now: Micros) {
        self.remove(id);
        self.outcome_due.insert((message.ends_at, id));
        self.messages.insert(id, message);
        if message.ordered {
            self.ordered.insert(id);
        } else if message.ready_at > now {
            self.in_backoff.insert((message.ready_at, id));
        } else {
            self.make_ready(id, &message);
        }
    }

    fn make_ready(&mut self, id: MessageId, message: &WaitingMessage) {
        let classes = self.ready.entry(message.destination).or_default();
        classes.entry((message.class, message.tenant)).or_default().insert(id, message);
        if message.recovered {
            self.recovered
                .entry((message.destination, message.tenant))
                .or_default()
                .insert((message.deadline, id));
        }
        self.changed.insert(message.destination);
    }

    /// Removes a message from the ready ones.
    fn make_unready(&mut self, id: MessageId, message: &WaitingMessage) {
        remove(&mut self.ready, (message.class, message.tenant), id, message);
        let key = (message.destination, message.tenant);
        if let Some(recovered) = self.recovered.get_mut(&key).filter(|_| message.recovered) {
            recovered.remove(&(message.deadline, id));
            if recovered.is_empty() {
                self.recovered.remove(&key);
            }
        }
    }

    /// The recovered, unattempted and ready message with the earliest deadline, except those in `excluded`;
    /// and its deadline.
    pub fn first_recovered(
        &self,
        destination: DestinationId,
        tenant: usize,
        excluded: &BTreeSet<MessageId>,
    ) -> Option<(MessageId, Micros)> {
        let recovered = self.recovered.get(&(destination, tenant))?;
        recovered.iter().find(|(_, id)| !excluded.contains(id)).map(|&(deadline, id)| (id, deadline))
    }

    /// The recovered, unattempted and ready messages for a destination, of all tenants.
    pub fn recovered_of(&self, destination: DestinationId) -> impl Iterator<Item = MessageId> + '_ {
        let recovered = self.recovered.range((destination, 0)..=(destination, usize::MAX));
        recovered.flat_map(|(_, recovered)| recovered.iter().map(|&(_, id)| id))
    }

    /// Removes a message.
    pub fn remove(&mut self, id: MessageId) {
        let Some(message) = self.messages.remove(&id) else { return };
        self.outcome_due.remove(&(message.ends_at, id));
        self.in_backoff.remove(&(message.ready_at, id));
        self.ordered.remove(&id);
        self.make_unready(id, &message);
    }

    /// Marks a message with an order key as the next of its key (ready), or no longer so.
    pub fn set_key_turn(&mut self, id: MessageId, turn: bool) {
        let Some(message) = self.messages.get(&id).copied() else { return };
        if turn {
            self.make_ready(id, &message);
        } else {
            self.make_unready(id, &message);
        }
    }

    /// Makes the messages ready whose backoff has ended.
    pub fn end_backoffs(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.in_backoff.first().filter(|(at, _)| *at <= now) {
            self.in_backoff.remove(&(at, id));
            if let Some(message) = self.messages.get(&id).copied() {
                self.make_ready(id, &message);
            }
        }
    }

    /// Messages that are due for a decision on their final outcome, in the order of their ids.
    pub fn due_for_outcome(&self, now: Micros) -> Vec<MessageId> {
        let due = self.outcome_due.iter().take_while(|(at, _)| *at <= now);
        let mut due: Vec<MessageId> = due.map(|&(_, id)| id).collect();
        due.sort_unstable();
        due
    }

    /// Records that a destination has changed, so that it is ranked again.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        self.changed.insert(destination);
    }

    /// Takes the destinations to rank: the changed ones, those whose opening time has come, and some with old
    /// scores.
    pub fn destinations_to_rank(&mut self, now: Micros, most: (usize, usize)) -> Vec<DestinationId> {
        let mut all = std::mem::take(&mut self.changed);
        let due: Vec<_> = self.openings.iter().take_while(|(at, _)| *at <= now).copied().collect();
        for (_, destination) in due {
            self.set_opening(destination, None);
            all.insert(destination);
        }
        all.extend(self.ranking.stalest(most));
        all.into_iter().collect()
    }

    /// Sets the time at which a destination is ranked again; `None` removes it.
    pub fn set_opening(&mut self, destination: DestinationId, at: Option<Micros>) {
        if let Some(previous) = self.opens_at.remove(&destination) {
            self.openings.remove(&(previous, destination));
        }
        if let Some(at) = at {
            self.opens_at.insert(destination, at);
            self.openings.insert((at, destination));
        }
    }

    /// Messages of a destination, with their classes, that are sure to include the one that gains most from
    /// being sent now: the neighbours of each bend in the loss of worth by waiting. A message sent now
    /// arrives at `at`, one that waits at `later`.
    pub fn candidates(
        &self,
        destination: DestinationId,
        (at, later): (Micros, Micros),
        excluded: &BTreeSet<MessageId>,
    ) -> Vec<(usize, MessageId)> {
        let mut candidates = Vec::new();
        let usable = |&&(_, id): &&(Micros, MessageId)| !excluded.contains(&id);
        for (&(class, _), queue) in self.ready.get(&destination).into_iter().flatten() {
            let least = MessageId(0);
            let nearest = queue.by_target_time.range((at, least)..).find(usable);
            let latest = queue.by_target_time.range(..(at, least)).rev().find(usable);
            let ending = queue.by_deadline.range(..=(later, MessageId(u32::MAX))).rev().find(usable);
            let mut lowest = queue.by_id.iter().take(MAX_ID_SCAN);
            let equal = lowest.find(|(id, target_time)| **target_time >= later && !excluded.contains(id));
            candidates.extend([nearest, latest, ending].into_iter().flatten().map(|&(_, id)| (class, id)));
            candidates.extend(equal.map(|(&id, _)| (class, id)));
        }
        candidates
    }

    /// Whether a message for the destination is ready to be sent.
    pub fn has_ready(&self, destination: DestinationId) -> bool {
        self.ready.contains_key(&destination)
    }

    /// All waiting messages for a destination. Used for destinations to which nothing may be sent.
    pub fn ids_of(&self, destination: DestinationId) -> Vec<MessageId> {
        self.messages
            .iter()
            .filter(|(_, message)| message.destination == destination)
            .map(|(&id, _)| id)
            .collect()
    }

    /// At most `most` messages in the order of their ids, starting at `id`.
    pub fn ids_from(&self, id: MessageId, most: usize) -> Vec<MessageId> {
        self.messages.range(id..).take(most).map(|(&id, _)| id).collect()
    }

    /// The next message to send, among the tenants that the fair scheduler makes eligible.
    pub fn next_message(&self, scheduler: &mut FairScheduler) -> Option<Ranked> {
        let eligibility = scheduler.eligibility(self.ranking.tenants());
        self.ranking.highest(|tenant| scheduler.is_eligible(tenant, eligibility))
    }

    /// Tenants with a message that could be sent if their share of the slots allowed it.
    pub fn blocked_tenants(&self, scheduler: &FairScheduler) -> Vec<usize> {
        self.ranking.tenants().filter(|&tenant| !scheduler.has_share(tenant)).collect()
    }

    /// When the next decision on a final outcome is due, and when the next send is, provided that a slot is
    /// free.
    pub fn next_due(&self, scheduler: &FairScheduler) -> (Option<Micros>, Option<Micros>) {
        let changed = || self.changed.iter().any(|destination| self.ready.contains_key(destination));
        // A tenant that waits for a slot of its share is woken by the end of a call.
        let now = (self.ranking.tenants().any(|tenant| scheduler.has_share(tenant)) || changed())
            .then_some(Micros(0));
        let openings = self.openings.first().map(|&(at, _)| at);
        let in_backoff = self.in_backoff.first().map(|&(at, _)| at);
        (self.outcome_due.first().map(|&(at, _)| at), [now, openings, in_backoff].into_iter().flatten().min())
    }
}

fn remove<K: Ord + Copy>(
    ready: &mut BTreeMap<DestinationId, BTreeMap<K, ReadyQueue>>,
    key: K,
    id: MessageId,
    message: &WaitingMessage,
) {
    let Some(keys) = ready.get_mut(&message.destination) else { return };
    if keys.get_mut(&key).is_some_and(|queue| queue.remove(id, message)) {
        keys.remove(&key);
        if keys.is_empty() {
            ready.remove(&message.destination);
        }
    }
}

#[cfg(test)]
mod tests;
