//! What a journal held, handed to the decisions bit by bit: many that start together, each with a journal full of messages,
//! would else ask for all of them at once, before and beside what clients hand in just then.
//!
//! Only messages that surely never ran wait here. What may have run is decided on at once, as it may have to be ended, or to
//! be sent again while its key is remembered. Nothing waits longer than half of the time that it had left.

use crate::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A destination is taken to accept one replayed message of the whole fleet in this time, as one first connection.
const EACH: u64 = 10_000;
/// However many start, one comes after another within so long.
const LONGEST: u64 = 2_500_000;

/// One destination's.
#[derive(Default)]
struct Line {
    /// By their deadlines, with how long each waits at the most.
    held: BTreeMap<(Micros, MessageId), Micros>,
    /// What clients have handed in since, and has not been sent yet: it goes first.
    fresh: BTreeSet<MessageId>,
    /// The next one may go then.
    next: Micros,
}

/// See the module's text.
pub struct Replay {
    lines: BTreeMap<DestinationId, Line>,
    /// Until when each waits at the most, and where it is held.
    latest: BTreeSet<(Micros, DestinationId, Micros, MessageId)>,
    interval: Micros,
}

impl Replay {
    /// With what the journal held: destination, deadline, number.
    pub fn new(now: Micros, held: impl Iterator<Item = (DestinationId, Micros, MessageId)>) -> Replay {
        let mut replay = Replay { lines: BTreeMap::new(), latest: BTreeSet::new(), interval: Micros(EACH) };
        for (destination, deadline, id) in held {
            let line = replay.lines.entry(destination).or_default();
            let latest = now.plus(Micros(deadline.minus(now).0 / 2));
            line.held.insert((deadline, id), latest);
            replay.latest.insert((latest, destination, deadline, id));
        }
        replay
    }

    /// Nothing is held any more.
    pub fn over(&self) -> bool {
        self.latest.is_empty()
    }

    /// So many members start, this one among them: they share what a destination accepts.
    pub fn among(&mut self, starting: usize) {
        self.interval = Micros((EACH * starting.max(1) as u64).min(LONGEST));
    }

    /// A client has handed in a message for a destination.
    pub fn fresh(&mut self, destination: DestinationId, id: MessageId) {
        if let Some(line) = self.lines.get_mut(&destination) {
            line.fresh.insert(id);
        }
    }

    /// A message was sent, or has ended.
    pub fn gone(&mut self, destination: DestinationId, id: MessageId) {
        if let Some(line) = self.lines.get_mut(&destination) {
            line.fresh.remove(&id);
        }
    }

    /// Those that go to the decisions now: of each destination without fresh messages one in its time, and all that have waited
    /// for long. Cost: the destinations for which any are held.
    pub fn release(&mut self, now: Micros) -> Vec<MessageId> {
        let mut released = Vec::new();
        while let Some(&(latest, destination, deadline, id)) = self.latest.first().filter(|one| one.0 <= now)
        {
            self.latest.remove(&(latest, destination, deadline, id));
            if let Some(line) = self.lines.get_mut(&destination) {
                line.held.remove(&(deadline, id));
            }
            released.push(id);
        }
        let (interval, waiting) = (self.interval, &mut self.latest);
        self.lines.retain(|&destination, line| {
            if line.next <= now && line.fresh.is_empty() {
                if let Some(((deadline, id), latest)) = line.held.pop_first() {
                    line.next = now.plus(interval);
                    waiting.remove(&(latest, destination, deadline, id));
                    released.push(id);
                }
            }
            !line.held.is_empty()
        });
        released
    }

    /// When [`Replay::release`] is due though nothing happens.
    pub fn due(&self) -> Option<Micros> {
        let open = self.lines.values().filter(|line| line.fresh.is_empty()).map(|line| line.next);
        open.chain(self.latest.first().map(|one| one.0)).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOME: DestinationId = DestinationId(7);
    const OTHER: DestinationId = DestinationId(8);

    fn ms(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    fn held(count: u32, left: u64) -> Replay {
        Replay::new(ms(0), (0..count).map(|id| (HOME, ms(left + u64::from(id)), MessageId(id))))
    }

    #[test]
    fn they_come_one_after_another_the_most_urgent_first_and_slower_the_more_start() {
        let mut replay = held(3, 60_000);
        replay.among(20);
        assert_eq!(replay.release(ms(0)), [MessageId(0)]);
        assert_eq!((replay.release(ms(199)), replay.due()), (vec![], Some(ms(200))));
        assert_eq!(replay.release(ms(200)), [MessageId(1)]);
        replay.among(1);
        assert_eq!(replay.release(ms(400)), [MessageId(2)]);
        assert!(replay.over() && replay.due().is_none());
        let mut many = held(2, 60_000);
        many.among(100_000);
        many.release(ms(0));
        assert_eq!(many.due(), Some(Micros(LONGEST)));
    }

    #[test]
    fn what_clients_hand_in_goes_first_where_it_goes_to() {
        let mut replay = Replay::new(
            ms(0),
            [(HOME, ms(60_000), MessageId(1)), (OTHER, ms(60_000), MessageId(2))].into_iter(),
        );
        replay.fresh(HOME, MessageId(9));
        assert_eq!(replay.release(ms(0)), [MessageId(2)], "another destination's do not wait for it");
        assert_eq!((replay.release(ms(20_000)), replay.due()), (vec![], Some(ms(30_000))));
        replay.gone(HOME, MessageId(9));
        assert_eq!(replay.release(ms(20_000)), [MessageId(1)]);
    }

    #[test]
    fn none_waits_longer_than_half_of_its_time_whatever_else_there_is() {
        let mut replay = held(50, 10_000);
        replay.among(1_000);
        let mut released: Vec<MessageId> =
            (0..4).flat_map(|second| replay.release(ms(second * 1_000))).collect();
        assert_eq!(released.len(), 2, "2.5 s apart");
        replay.fresh(HOME, MessageId(99));
        released.extend(replay.release(ms(5_000)));
        assert!(released.len() < 5);
        released.extend(replay.release(ms(5_025)));
        assert_eq!((released.len(), replay.over()), (50, true));
        released.sort();
        released.dedup();
        assert_eq!(released.len(), 50, "each once");
    }

    #[test]
    fn one_without_time_is_handed_on_at_once() {
        let mut replay = held(5, 0);
        assert_eq!(replay.release(ms(10)).len(), 5);
    }
}
