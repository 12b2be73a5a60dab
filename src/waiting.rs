//! Where the messages that wait stand: by when each must be looked at, by destination and class, and destinations by
//! when they open and by what is best or least there. Nothing here decides; it keeps the walks off the path of a turn.
//!
//! Cost: putting a message in and taking it out, a handful of look-ups in ordered sets; the destinations that are ranked
//! anew in a turn are those that something happened to, and a bounded number of others.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    pub destination: DestinationId,
    pub class: usize,
    pub tenant: usize,
    pub aim: Micros,
    pub deadline: Micros,
    /// When it must be looked at for its final answer.
    pub ends_at: Micros,
    /// It pauses until then.
    pub ready_at: Micros,
    /// It has its turn among those of its key only.
    pub ordered: bool,
    /// It may be refused where room runs short.
    pub spare: bool,
}

/// Messages of one destination and one class.
#[derive(Default)]
struct Line {
    by_aim: BTreeSet<(Micros, MessageId)>,
    by_deadline: BTreeSet<(Micros, MessageId)>,
}

impl Line {
    fn put(&mut self, id: MessageId, spot: &Spot) {
        self.by_aim.insert((spot.aim, id));
        self.by_deadline.insert((spot.deadline, id));
    }

    /// Tells whether it is empty then.
    fn take(&mut self, id: MessageId, spot: &Spot) -> bool {
        self.by_aim.remove(&(spot.aim, id));
        self.by_deadline.remove(&(spot.deadline, id));
        self.by_aim.is_empty()
    }
}

/// Destinations by a figure of each, and by when it was last taken.
#[derive(Default)]
pub struct Ranks {
    of: BTreeMap<DestinationId, (u64, MessageId, Micros)>,
    order: BTreeSet<(u64, std::cmp::Reverse<MessageId>, DestinationId)>,
    by_age: BTreeSet<(Micros, DestinationId)>,
}

impl Ranks {
    /// The destination's figure, not negative, and the message it is of; none takes it out.
    pub fn set(&mut self, destination: DestinationId, best: Option<(f64, MessageId)>, now: Micros) {
        if let Some((bits, id, at)) = self.of.remove(&destination) {
            self.order.remove(&(bits, std::cmp::Reverse(id), destination));
            self.by_age.remove(&(at, destination));
        }
        if let Some((figure, id)) = best {
            // Bits of numbers that are not negative are in the order of the numbers.
            let bits = figure.max(0.0).to_bits();
            self.of.insert(destination, (bits, id, now));
            self.order.insert((bits, std::cmp::Reverse(id), destination));
            self.by_age.insert((now, destination));
        }
    }

    /// The highest figure; of equals, the oldest message.
    pub fn highest(&self) -> Option<(DestinationId, MessageId, Micros)> {
        self.at(self.order.last()?.2)
    }

    /// The lowest figure; of equals, the newest message.
    pub fn lowest(&self) -> Option<(DestinationId, MessageId, Micros)> {
        self.at(self.order.first()?.2)
    }

    fn at(&self, destination: DestinationId) -> Option<(DestinationId, MessageId, Micros)> {
        self.of.get(&destination).map(|&(_, id, at)| (destination, id, at))
    }

    /// All, where there are few; else some whose figures are oldest.
    pub fn stalest(&self, (few, some): (usize, usize)) -> impl Iterator<Item = DestinationId> + '_ {
        let most = if self.of.len() <= few { few } else { some };
        self.by_age.iter().take(most).map(|&(_, destination)| destination)
    }

    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }
}

/// See the module's text.
#[derive(Default)]
pub struct Waiting {
    spots: BTreeMap<MessageId, Spot>,
    ends: BTreeSet<(Micros, MessageId)>,
    resting: BTreeSet<(Micros, MessageId)>,
    pub ordered: BTreeSet<MessageId>,
    ready: BTreeMap<DestinationId, BTreeMap<usize, Line>>,
    /// All that may be refused, ready or not, by class and tenant.
    spare: BTreeMap<DestinationId, BTreeMap<(usize, usize), Line>>,
    /// When a destination that is not open is looked at again.
    opens: BTreeMap<DestinationId, Micros>,
    openings: BTreeSet<(Micros, DestinationId)>,
    /// Open destinations by what gains most there by going now.
    pub best: Ranks,
    /// Destinations by what is worth least there.
    pub least: Ranks,
    /// Something happened there since the last look.
    stirred: BTreeSet<DestinationId>,
    touched: BTreeSet<DestinationId>,
}

impl Waiting {
    /// A message waits from now on.
    pub fn put(&mut self, id: MessageId, spot: Spot, now: Micros) {
        self.take(id);
        self.ends.insert((spot.ends_at, id));
        if spot.spare {
            let line = self.spare.entry(spot.destination).or_default();
            line.entry((spot.class, spot.tenant)).or_default().put(id, &spot);
        }
        self.touched.insert(spot.destination);
        self.spots.insert(id, spot);
        if spot.ordered {
            self.ordered.insert(id);
        } else if spot.ready_at > now {
            self.resting.insert((spot.ready_at, id));
        } else {
            self.line_up(id, &spot);
        }
    }

    fn line_up(&mut self, id: MessageId, spot: &Spot) {
        let classes = self.ready.entry(spot.destination).or_default();
        classes.entry(spot.class).or_default().put(id, spot);
        self.stirred.insert(spot.destination);
    }

    /// A message waits no longer.
    pub fn take(&mut self, id: MessageId) {
        let Some(spot) = self.spots.remove(&id) else { return };
        self.ends.remove(&(spot.ends_at, id));
        self.resting.remove(&(spot.ready_at, id));
        self.ordered.remove(&id);
        remove(&mut self.ready, spot.class, id, &spot);
        remove(&mut self.spare, (spot.class, spot.tenant), id, &spot);
        self.touched.insert(spot.destination);
    }

    /// One of a key has its turn, or no longer.
    pub fn give_turn(&mut self, id: MessageId, turn: bool) {
        let Some(spot) = self.spots.get(&id).copied() else { return };
        if turn {
            self.line_up(id, &spot);
        } else {
            remove(&mut self.ready, spot.class, id, &spot);
        }
    }

    /// Pauses that are over.
    pub fn wake(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.resting.first().filter(|(at, _)| *at <= now) {
            self.resting.remove(&(at, id));
            if let Some(spot) = self.spots.get(&id).copied() {
                self.line_up(id, &spot);
            }
        }
    }

    /// Those that must be looked at for their final answers.
    pub fn ended(&self, now: Micros) -> Vec<MessageId> {
        let due = self.ends.iter().take_while(|(at, _)| *at <= now);
        let mut due: Vec<MessageId> = due.map(|&(_, id)| id).collect();
        due.sort_unstable();
        due
    }

    /// Something happened at a destination.
    pub fn stir(&mut self, destination: DestinationId) {
        self.stirred.insert(destination);
    }

    /// Destinations to look at: where something happened, those that may open, and some that were ranked long ago.
    pub fn to_look_at(&mut self, now: Micros, most: (usize, usize)) -> Vec<DestinationId> {
        let mut all = std::mem::take(&mut self.stirred);
        let due: Vec<_> = self.openings.iter().take_while(|(at, _)| *at <= now).copied().collect();
        for (_, destination) in due {
            self.opens_at(destination, None);
            all.insert(destination);
        }
        all.extend(self.best.stalest(most));
        all.into_iter().collect()
    }

    /// When a destination is looked at again; none takes it out.
    pub fn opens_at(&mut self, destination: DestinationId, at: Option<Micros>) {
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
    pub fn contenders(
        &self,
        destination: DestinationId,
        (at, later): (Micros, Micros),
        aside: &BTreeSet<MessageId>,
    ) -> Vec<(usize, MessageId)> {
        let mut found = Vec::new();
        let usable = |&&(_, id): &&(Micros, MessageId)| !aside.contains(&id);
        for (&class, line) in self.ready.get(&destination).into_iter().flatten() {
            let least = MessageId(0);
            let nearest = line.by_aim.range((at, least)..).find(usable);
            let latest = line.by_aim.range(..(at, least)).rev().find(usable);
            let ending = line.by_deadline.range(..=(later, MessageId(u32::MAX))).rev().find(usable);
            found.extend([nearest, latest, ending].into_iter().flatten().map(|&(_, id)| (class, id)));
        }
        found
    }

    /// Whether a message is ready to go there.
    pub fn has_ready(&self, destination: DestinationId) -> bool {
        self.ready.contains_key(&destination)
    }

    /// Destinations at which what is worth least may be another by now.
    pub fn to_weigh(&mut self, most: (usize, usize)) -> Vec<DestinationId> {
        let mut all = std::mem::take(&mut self.touched);
        all.extend(self.least.stalest(most));
        all.into_iter().collect()
    }

    /// The messages of a destination that may be refused, of which one is worth least.
    pub fn spares(&self, destination: DestinationId) -> Vec<MessageId> {
        let lines = self.spare.get(&destination).into_iter().flatten();
        let ends = lines.flat_map(|(_, line)| {
            [line.by_aim.first(), line.by_aim.last(), line.by_deadline.first()].into_iter().flatten()
        });
        ends.map(|&(_, id)| id).collect()
    }

    /// The messages that wait for a destination that nothing may be sent to.
    pub fn of(&self, destination: DestinationId) -> Vec<MessageId> {
        self.spots.iter().filter(|(_, spot)| spot.destination == destination).map(|(&id, _)| id).collect()
    }

    /// The next messages from one on, so many at most.
    pub fn from(&self, id: MessageId, most: usize) -> Vec<MessageId> {
        self.spots.range(id..).take(most).map(|(&id, _)| id).collect()
    }

    /// When something is due: a final answer; and, where there is room for a call, a send.
    pub fn due(&self) -> (Option<Micros>, Option<Micros>) {
        let stirred = || self.stirred.iter().any(|destination| self.ready.contains_key(destination));
        let now = (!self.best.is_empty() || stirred()).then_some(Micros(0));
        let openings = self.openings.first().map(|&(at, _)| at);
        let resting = self.resting.first().map(|&(at, _)| at);
        (self.ends.first().map(|&(at, _)| at), [now, openings, resting].into_iter().flatten().min())
    }
}

fn remove<K: Ord + Copy>(
    lines: &mut BTreeMap<DestinationId, BTreeMap<K, Line>>,
    key: K,
    id: MessageId,
    spot: &Spot,
) {
    let Some(keys) = lines.get_mut(&spot.destination) else { return };
    if keys.get_mut(&key).is_some_and(|line| line.take(id, spot)) {
        keys.remove(&key);
        if keys.is_empty() {
            lines.remove(&spot.destination);
        }
    }
}
