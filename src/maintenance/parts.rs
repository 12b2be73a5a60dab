//! Splits messages into fragments that fit a datagram, and reassembles them. Fragments of a message
//! may be duplicated, reordered, or lost and sent again. A message is identified by its digest, so
//! a retransmission fills the gaps of the earlier transmission.

use crate::startup::digest;
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum payload of a fragment.
pub const FRAGMENT_BYTES: usize = 1_000;
const MAX_FRAGMENTS: usize = 128;
/// Messages in reassembly, over all senders.
const MAX_INCOMPLETE_MESSAGES: usize = 64;
/// An incomplete message is dropped if no fragment arrives for this time.
const REASSEMBLY_TIMEOUT: Micros = Micros(5_000_000);

/// One fragment of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Fragment {
    pub digest: u64,
    pub index: u8,
    pub count: u8,
    pub bytes: Vec<u8>,
}

/// The fragments of a message, or `None` if it is too long.
pub fn split(message: &[u8]) -> Option<Vec<Fragment>> {
    let (digest, count) = (digest(message), message.len().div_ceil(FRAGMENT_BYTES).max(1));
    if count > MAX_FRAGMENTS {
        return None;
    }
    let fragment = |index: usize| {
        let bytes = message[index * FRAGMENT_BYTES..message.len().min((index + 1) * FRAGMENT_BYTES)].to_vec();
        Fragment { digest, index: index as u8, count: count as u8, bytes }
    };
    Some((0..count).map(fragment).collect())
}

struct IncompleteMessage {
    fragments: Vec<Option<Vec<u8>>>,
    missing: usize,
    since: Micros,
}

/// Messages in reassembly, by sender and digest.
#[derive(Default)]
pub struct Assembly(BTreeMap<(String, u64), IncompleteMessage>);

impl Assembly {
    /// Adds a fragment received from a member. Returns the message if it is complete and matches its
    /// digest.
    pub fn add_fragment(&mut self, now: Micros, from: &str, fragment: Fragment) -> Option<Vec<u8>> {
        let (count, index) = (usize::from(fragment.count), usize::from(fragment.index));
        let last = index + 1 == count;
        if count == 0 || count > MAX_FRAGMENTS || index >= count || fragment.bytes.len() > FRAGMENT_BYTES {
            return None;
        }
        if !last && fragment.bytes.len() != FRAGMENT_BYTES {
            return None;
        }
        if count == 1 {
            return (digest(&fragment.bytes) == fragment.digest).then_some(fragment.bytes);
        }
        self.0.retain(|_, incomplete| now.minus(incomplete.since) < REASSEMBLY_TIMEOUT);
        let key = (from.to_owned(), fragment.digest);
        if !self.0.contains_key(&key) && self.0.len() >= MAX_INCOMPLETE_MESSAGES {
            return None;
        }
        let new = || IncompleteMessage { fragments: vec![None; count], missing: count, since: now };
        let incomplete = self.0.entry(key.clone()).or_insert_with(new);
        if incomplete.fragments.len() != count || incomplete.fragments[index].is_some() {
            return None;
        }
        (incomplete.fragments[index], incomplete.since) = (Some(fragment.bytes), now);
        incomplete.missing -= 1;
        if incomplete.missing > 0 {
            return None;
        }
        let whole: Vec<u8> = self.0.remove(&key)?.fragments.into_iter().flatten().flatten().collect();
        (digest(&whole) == key.1).then_some(whole)
    }
}

#[cfg(test)]
mod tests;
