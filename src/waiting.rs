//! Where the messages that wait stand: by when each must be looked at, by destination and class, and destinations by
//! when they open and by what is best there. Nothing here decides; it keeps the walks off the path of a turn.
//!
//! Cost: putting a message in and taking it out, a handful of look-ups in ordered sets; the destinations that are ranked
//! anew in a turn are those that something happened to, and a bounded number of others.

use crate::interface::*;
use crate::tenancy::gate::FairScheduler;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingMessage {
    pub destination: DestinationId,
    pub class: usize,
    pub tenant: usize,
    pub target_time: Micros,
    pub deadline: Micros,
    /// When it must be looked at for its final answer.
    pub ends_at: Micros,
    /// It pauses until then.
    pub ready_at: Micros,
    /// It has its turn among those of its key only.
    pub ordered: bool,
    /// A start found it, and it has not been tried.
    pub recovered: bool,
}

/// Messages of one destination and one class.
#[derive(Default)]
struct Line {
    by_aim: BTreeSet<(Micros, MessageId)>,
    by_deadline: BTreeSet<(Micros, MessageId)>,
    by_id: BTreeMap<MessageId, Micros>,
}

/// Messages looked at for the one of the lowest number that is not late yet: equals go by their numbers.
const EQUALS: usize = 16;

impl Line {
    fn put(&mut self, id: MessageId, spot: &WaitingMessage) {
        self.by_aim.insert((spot.target_time, id));
        self.by_deadline.insert((spot.deadline, id));
        self.by_id.insert(id, spot.target_time);
    }

    /// Tells whether it is empty then.
    fn take(&mut self, id: MessageId, spot: &WaitingMessage) -> bool {
        self.by_aim.remove(&(spot.target_time, id));
        self.by_deadline.remove(&(spot.deadline, id));
        self.by_id.remove(&id);
        self.by_aim.is_empty()
    }
}

/// A destination with a figure, the message that it is of, and when it was taken.
pub type Ranked = (DestinationId, MessageId, Micros);

/// For each tenant, destinations by a figure of each; and all by when it was last taken.
#[derive(Default)]
pub struct Ranking {
    of: BTreeMap<(DestinationId, usize), (u64, MessageId, Micros)>,
    order: BTreeMap<usize, BTreeSet<(u64, Reverse<MessageId>, DestinationId)>>,
    by_age: BTreeSet<(Micros, DestinationId, usize)>,
}

impl Ranking {
    /// The destination's figures, not negative, and the messages that they are of, one a tenant; no others stay.
    pub fn set(
        &mut self,
        destination: DestinationId,
        best: impl IntoIterator<Item = (usize, (f64, MessageId))>,
        now: Micros,
    ) {
        let known = self.of.range((destination, 0)..=(destination, usize::MAX));
        for ((_, tenant), (bits, id, at)) in known.map(|(key, told)| (*key, *told)).collect::<Vec<_>>() {
            self.of.remove(&(destination, tenant));
            self.by_age.remove(&(at, destination, tenant));
            if let Some(order) = self.order.get_mut(&tenant) {
                order.remove(&(bits, Reverse(id), destination));
                if order.is_empty() {
                    self.order.remove(&tenant);
                }
            }
        }
        for (tenant, (figure, id)) in best {
            // Bits of numbers that are not negative are in the order of the numbers.
            let bits = figure.max(0.0).to_bits();
            self.of.insert((destination, tenant), (bits, id, now));
            self.order.entry(tenant).or_default().insert((bits, Reverse(id), destination));
            self.by_age.insert((now, destination, tenant));
        }
    }

    /// Tenants that have a figure anywhere.
    pub fn tenants(&self) -> impl Iterator<Item = usize> + Clone + '_ {
        self.order.keys().copied()
    }

    /// The highest figure of some tenants; of equals, the oldest message.
    pub fn highest(&self, of: impl Fn(usize) -> bool) -> Option<Ranked> {
        let tops = self.order.iter().filter(|(tenant, _)| of(**tenant));
        let (top, tenant) = tops.filter_map(|(&tenant, order)| Some((order.last()?, tenant))).max()?;
        self.at((top.2, tenant))
    }

    fn at(&self, key: (DestinationId, usize)) -> Option<Ranked> {
        self.of.get(&key).map(|&(_, id, at)| (key.0, id, at))
    }

    /// All, where there are few; else some whose figures are oldest.
    pub fn stalest(&self, (few, some): (usize, usize)) -> impl Iterator<Item = DestinationId> + '_ {
        let most = if self.of.len() <= few { few } else { some };
        self.by_age.iter().take(most).map(|&(_, destination, _)| destination)
    }
}

/// See the module's text.
#[derive(Default)]
pub struct WaitingMessages {
    spots: BTreeMap<MessageId, WaitingMessage>,
    ends: BTreeSet<(Micros, MessageId)>,
    resting: BTreeSet<(Micros, MessageId)>,
    pub ordered: BTreeSet<MessageId>,
    ready: BTreeMap<DestinationId, BTreeMap<(usize, usize), Line>>,
    /// Those that a start found untried, ready to go, by what is left of their time.
    found: BTreeMap<(DestinationId, usize), BTreeSet<(Micros, MessageId)>>,
    /// When a destination that is not open is looked at again.
    opens: BTreeMap<DestinationId, Micros>,
    openings: BTreeSet<(Micros, DestinationId)>,
    /// Open destinations by what gains most there by going now.
    pub ranking: Ranking,
    /// Something happened there since the last look.
    stirred: BTreeSet<DestinationId>,
}

impl WaitingMessages {
    /// A message waits from now on.
    pub fn insert(&mut self, id: MessageId, spot: WaitingMessage, now: Micros) {
        self.remove(id);
        self.ends.insert((spot.ends_at, id));
        self.spots.insert(id, spot);
        if spot.ordered {
            self.ordered.insert(id);
        } else if spot.ready_at > now {
            self.resting.insert((spot.ready_at, id));
        } else {
            self.line_up(id, &spot);
        }
    }

    fn line_up(&mut self, id: MessageId, spot: &WaitingMessage) {
        let classes = self.ready.entry(spot.destination).or_default();
        classes.entry((spot.class, spot.tenant)).or_default().put(id, spot);
        if spot.recovered {
            self.found.entry((spot.destination, spot.tenant)).or_default().insert((spot.deadline, id));
        }
        self.stirred.insert(spot.destination);
    }

    /// A message is not ready to go any more.
    fn step_out(&mut self, id: MessageId, spot: &WaitingMessage) {
        remove(&mut self.ready, (spot.class, spot.tenant), id, spot);
        let key = (spot.destination, spot.tenant);
        if let Some(found) = self.found.get_mut(&key).filter(|_| spot.recovered) {
            found.remove(&(spot.deadline, id));
            if found.is_empty() {
                self.found.remove(&key);
            }
        }
    }

    /// Of what a start found untried and is ready to go, the one with the least time left, and its deadline.
    pub fn first_recovered(
        &self,
        destination: DestinationId,
        tenant: usize,
        aside: &BTreeSet<MessageId>,
    ) -> Option<(MessageId, Micros)> {
        let found = self.found.get(&(destination, tenant))?;
        found.iter().find(|(_, id)| !aside.contains(id)).map(|&(deadline, id)| (id, deadline))
    }

    /// What a start found untried and is ready to go to a destination, of all tenants.
    pub fn recovered_of(&self, destination: DestinationId) -> impl Iterator<Item = MessageId> + '_ {
        let found = self.found.range((destination, 0)..=(destination, usize::MAX));
        found.flat_map(|(_, found)| found.iter().map(|&(_, id)| id))
    }

    /// A message waits no longer.
    pub fn remove(&mut self, id: MessageId) {
        let Some(spot) = self.spots.remove(&id) else { return };
        self.ends.remove(&(spot.ends_at, id));
        self.resting.remove(&(spot.ready_at, id));
        self.ordered.remove(&id);
        self.step_out(id, &spot);
    }

    /// One of a key has its turn, or no longer.
    pub fn set_key_turn(&mut self, id: MessageId, turn: bool) {
        let Some(spot) = self.spots.get(&id).copied() else { return };
        if turn {
            self.line_up(id, &spot);
        } else {
            self.step_out(id, &spot);
        }
    }

    /// Pauses that are over.
    pub fn end_backoffs(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.resting.first().filter(|(at, _)| *at <= now) {
            self.resting.remove(&(at, id));
            if let Some(spot) = self.spots.get(&id).copied() {
                self.line_up(id, &spot);
            }
        }
    }

    /// Those that must be looked at for their final answers.
    pub fn due_for_outcome(&self, now: Micros) -> Vec<MessageId> {
        let due = self.ends.iter().take_while(|(at, _)| *at <= now);
        let mut due: Vec<MessageId> = due.map(|&(_, id)| id).collect();
        due.sort_unstable();
        due
    }

    /// Something happened at a destination.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        self.stirred.insert(destination);
    }

    /// Destinations to look at: where something happened, those that may open, and some that were ranked long ago.
    pub fn destinations_to_rank(&mut self, now: Micros, most: (usize, usize)) -> Vec<DestinationId> {
        let mut all = std::mem::take(&mut self.stirred);
        let due: Vec<_> = self.openings.iter().take_while(|(at, _)| *at <= now).copied().collect();
        for (_, destination) in due {
            self.set_opening(destination, None);
            all.insert(destination);
        }
        all.extend(self.ranking.stalest(most));
        all.into_iter().collect()
    }

    /// When a destination is looked at again; none takes it out.
    pub fn set_opening(&mut self, destination: DestinationId, at: Option<Micros>) {
        if let Some(known) = self.opens.remove(&destination) {
            self.openings.remove(&(known, destination));
        }
        if let Some(at) = at {
            self.opens.insert(destination, at);
            self.openings.insert((at, destination));
        }
    }

    /// The messages of a destination, by class, of which one gains most by going now: about each bend of what a message
    /// loses by waiting. At `at` one that goes now is there, at `later` one that waits.
    pub fn candidates(
        &self,
        destination: DestinationId,
        (at, later): (Micros, Micros),
        aside: &BTreeSet<MessageId>,
    ) -> Vec<(usize, MessageId)> {
        let mut found = Vec::new();
        let usable = |&&(_, id): &&(Micros, MessageId)| !aside.contains(&id);
        for (&(class, _), line) in self.ready.get(&destination).into_iter().flatten() {
            let least = MessageId(0);
            let nearest = line.by_aim.range((at, least)..).find(usable);
            let latest = line.by_aim.range(..(at, least)).rev().find(usable);
            let ending = line.by_deadline.range(..=(later, MessageId(u32::MAX))).rev().find(usable);
            let mut lowest = line.by_id.iter().take(EQUALS);
            let equal = lowest.find(|(id, aim)| **aim >= later && !aside.contains(id));
            found.extend([nearest, latest, ending].into_iter().flatten().map(|&(_, id)| (class, id)));
            found.extend(equal.map(|(&id, _)| (class, id)));
        }
        found
    }

    /// Whether a message is ready to go there.
    pub fn has_ready(&self, destination: DestinationId) -> bool {
        self.ready.contains_key(&destination)
    }

    /// The messages that wait for a destination that nothing may be sent to.
    pub fn ids_of(&self, destination: DestinationId) -> Vec<MessageId> {
        self.spots.iter().filter(|(_, spot)| spot.destination == destination).map(|(&id, _)| id).collect()
    }

    /// The next messages from one on, so many at most.
    pub fn ids_from(&self, id: MessageId, most: usize) -> Vec<MessageId> {
        self.spots.range(id..).take(most).map(|(&id, _)| id).collect()
    }

    /// What goes next, of those whose turn the gate says it is.
    pub fn next_message(&self, gate: &mut FairScheduler) -> Option<Ranked> {
        let open = gate.eligibility(self.ranking.tenants());
        self.ranking.highest(|tenant| gate.is_eligible(tenant, open))
    }

    /// Tenants with a message that could go, but for their share of the slots.
    pub fn blocked_tenants(&self, gate: &FairScheduler) -> Vec<usize> {
        self.ranking.tenants().filter(|&tenant| !gate.has_share(tenant)).collect()
    }

    /// When something is due: a final answer; and, where there is room for a call, a send.
    pub fn next_due(&self, gate: &FairScheduler) -> (Option<Micros>, Option<Micros>) {
        let stirred = || self.stirred.iter().any(|destination| self.ready.contains_key(destination));
        // Who waits for a slot of its own is called by the end of a call.
        let now =
            (self.ranking.tenants().any(|tenant| gate.has_share(tenant)) || stirred()).then_some(Micros(0));
        let openings = self.openings.first().map(|&(at, _)| at);
        let resting = self.resting.first().map(|&(at, _)| at);
        (self.ends.first().map(|&(at, _)| at), [now, openings, resting].into_iter().flatten().min())
    }
}

fn remove<K: Ord + Copy>(
    lines: &mut BTreeMap<DestinationId, BTreeMap<K, Line>>,
    key: K,
    id: MessageId,
    spot: &WaitingMessage,
) {
    let Some(keys) = lines.get_mut(&spot.destination) else { return };
    if keys.get_mut(&key).is_some_and(|line| line.take(id, spot)) {
        keys.remove(&key);
        if keys.is_empty() {
            lines.remove(&spot.destination);
        }
    }
}

#[cfg(test)]
mod tests;
