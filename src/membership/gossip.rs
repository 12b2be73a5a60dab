//! The dissemination queue: each membership update is piggybacked on datagrams a bounded number of times, the
//! least sent first. A newer update replaces an older one about the same member.

use super::Entry;
use std::collections::{BTreeSet, HashMap};

/// The updates that still have to be sent (see the module documentation).
#[derive(Default)]
pub struct BroadcastQueue {
    /// By member name: the update, how often it was sent, and its rank in `order`.
    updates: HashMap<String, (Entry, u32, u64)>,
    /// (times sent, rank, name); the first one is sent next.
    order: BTreeSet<(u32, u64, String)>,
    /// Number of updates queued so far, from which ranks are derived.
    pushed: u64,
}

impl BroadcastQueue {
    /// Queues `entry` and replaces any older update about the same member.
    pub fn push(&mut self, entry: Entry) {
        let name = entry.id.name.clone();
        if let Some((_, sent, rank)) = self.updates.remove(&name) {
            self.order.remove(&(sent, rank, name.clone()));
        }
        // Among equally often sent updates the newest comes first: ranks fall, and the lowest sorts first.
        self.pushed += 1;
        let rank = u64::MAX - self.pushed;
        self.order.insert((0, rank, name.clone()));
        self.updates.insert(name, (entry, 0, rank));
    }

    /// Adds updates of up to `capacity` bytes to `out` and counts each as sent once more. An update sent
    /// `limit` times leaves the queue.
    pub fn take_batch(&mut self, mut capacity: usize, limit: u32, out: &mut Vec<Entry>) {
        let mut batch = Vec::new();
        while let Some(first) = self.order.iter().next().cloned() {
            let (entry, _, _) = &self.updates[&first.2];
            let size = super::wire::entry_size(entry);
            if size > capacity || out.len() == usize::from(u8::MAX) {
                break;
            }
            capacity -= size;
            out.push(entry.clone());
            self.order.remove(&first);
            batch.push(first);
        }
        for (sent, rank, name) in batch {
            let sent = sent + 1;
            if sent >= limit {
                self.updates.remove(&name);
            } else {
                self.order.insert((sent, rank, name.clone()));
                if let Some(update) = self.updates.get_mut(&name) {
                    update.1 = sent;
                }
            }
        }
    }

    /// Number of updates still to be sent.
    pub fn len(&self) -> usize {
        self.updates.len()
    }
}

#[cfg(test)]
mod tests;
