//! Gradual replay of the journal: many forwarders that start together, each with a journal full of
//! messages, would otherwise request slots for all of them at once, before and beside the messages
//! that clients submit at that moment.
//!
//! Only messages that certainly never ran wait here. A message that may have run is passed on at
//! once, as it may have to be ended, or sent again while its key is remembered. No message waits
//! longer than four fifths of its remaining time, and the latest times are spread randomly. The
//! first message for each destination is passed on at once: it is sent at the time of the
//! destination's first call (see `ramp`).

use crate::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Assumed time that a destination needs for one replayed message of the whole fleet, in
/// microseconds, as for one first connection.
const MESSAGE_INTERVAL_US: u64 = 10_000;
/// Maximum average time between two messages, in microseconds, however many forwarders start.
const MAX_INTERVAL_US: u64 = 2_500_000;

/// Held messages of one destination.
#[derive(Default)]
struct DestinationQueue {
    /// By deadline and id, with the latest time of release.
    held: BTreeMap<(Micros, MessageId), Micros>,
    /// Messages that clients have submitted since and that are not sent yet: they go first.
    unsent: BTreeSet<MessageId>,
    /// Earliest time at which the next message may be released.
    next_at: Micros,
}

impl DestinationQueue {
    /// Average time between two messages: what the number of starting members allows, or less if not
    /// all messages would be released within half of the time that the first one has left.
    fn average_interval(&self, now: Micros, interval: u64) -> u64 {
        let half = self.held.first_key_value().map_or(0, |((deadline, _), _)| deadline.minus(now).0 / 2);
        interval.min(half / (self.held.len() as u64).max(1))
    }
}

/// Deterministic draw below `limit` for this seed and number.
fn draw(seed: u64, number: u64, limit: u64) -> u64 {
    ((u128::from(xxh3_64_with_seed(&number.to_le_bytes(), seed)) * u128::from(limit)) >> 64) as u64
}

/// Messages of the journal that are not passed on yet.
pub struct Replay {
    queues: BTreeMap<DestinationId, DestinationQueue>,
    /// Held messages by latest time of release, with their destination and deadline.
    latest: BTreeSet<(Micros, DestinationId, Micros, MessageId)>,
    interval: u64,
    seed: u64,
}

impl Replay {
    /// Creates the replay from the messages of the journal: destination, deadline and id. `seed` is
    /// specific to this start.
    pub fn new(
        now: Micros,
        seed: u64,
        held: impl Iterator<Item = (DestinationId, Micros, MessageId)>,
    ) -> Replay {
        let mut replay =
            Replay { queues: BTreeMap::new(), latest: BTreeSet::new(), interval: MESSAGE_INTERVAL_US, seed };
        for (destination, deadline, id) in held {
            let queue = replay.queues.entry(destination).or_default();
            // Between two and four fifths of its remaining time: otherwise all starting members would release
            // their messages at the same moment.
            let left = deadline.minus(now).0;
            let latest = now.plus(Micros(left / 5 * 2 + draw(seed, id.0.into(), left / 5 * 2)));
            queue.held.insert((deadline, id), latest);
            // The first message is sent when the destination may be called first (see `ramp`).
            queue.next_at = now;
            replay.latest.insert((latest, destination, deadline, id));
        }
        replay
    }

    /// Whether no message is held any more.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Sets the number of starting members, including this one: they share the rate that a destination
    /// accepts.
    pub fn set_starting(&mut self, starting: usize) {
        self.interval = (MESSAGE_INTERVAL_US * starting.max(1) as u64).min(MAX_INTERVAL_US);
    }

    /// Records that a client has submitted a message for a destination.
    pub fn submitted(&mut self, destination: DestinationId, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.unsent.insert(id);
        }
    }

    /// Records that a message was sent or has ended.
    pub fn sent_or_ended(&mut self, destination: DestinationId, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.unsent.remove(&id);
        }
    }

    /// Releases the messages that are due: one for each destination without unsent messages of clients,
    /// and all that have reached their latest time. Cost: the number of destinations with held
    /// messages.
    pub fn release(&mut self, now: Micros) -> Vec<MessageId> {
        let mut released = Vec::new();
        while let Some(&(latest, destination, deadline, id)) = self.latest.first().filter(|one| one.0 <= now)
        {
            self.latest.remove(&(latest, destination, deadline, id));
            if let Some(queue) = self.queues.get_mut(&destination) {
                queue.held.remove(&(deadline, id));
            }
            released.push(id);
        }
        let (interval, seed, waiting) = (self.interval, self.seed, &mut self.latest);
        self.queues.retain(|&destination, queue| {
            if queue.next_at <= now && queue.unsent.is_empty() {
                if let Some(((deadline, id), latest)) = queue.held.pop_first() {
                    queue.next_at =
                        now.plus(Micros(draw(seed, id.0.into(), 2 * queue.average_interval(now, interval))));
                    waiting.remove(&(latest, destination, deadline, id));
                    released.push(id);
                }
            }
            !queue.held.is_empty()
        });
        released
    }

    /// Time at which [`Replay::release`] is due without any event.
    pub fn due(&self) -> Option<Micros> {
        let open = self.queues.values().filter(|queue| queue.unsent.is_empty()).map(|queue| queue.next_at);
        open.chain(self.latest.first().map(|one| one.0)).min()
    }
}

#[cfg(test)]
mod tests;
