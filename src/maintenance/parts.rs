//! A message in parts that fit a datagram, and put together again. Parts of one message may come twice, out of order, or only
//! when it is sent again: what names a message is its digest, so the same words sent again fill the gaps.

use crate::startup::digest;
use crate::Micros;
use std::collections::BTreeMap;

/// Bytes of a part.
pub const PART: usize = 1_000;
/// Parts of a message at most.
const MOST_PARTS: usize = 128;
/// Messages of which parts wait for others, over all senders.
const MOST_WAITING: usize = 64;
/// A message of which nothing more has come for so long is dropped.
const PATIENCE: Micros = Micros(5_000_000);

/// One part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Part {
    pub digest: u64,
    pub index: u8,
    pub count: u8,
    pub bytes: Vec<u8>,
}

/// A message's parts; none where it is too long.
pub fn parts(message: &[u8]) -> Option<Vec<Part>> {
    let (digest, count) = (digest(message), message.len().div_ceil(PART).max(1));
    if count > MOST_PARTS {
        return None;
    }
    let part = |index: usize| {
        let bytes = message[index * PART..message.len().min((index + 1) * PART)].to_vec();
        Part { digest, index: index as u8, count: count as u8, bytes }
    };
    Some((0..count).map(part).collect())
}

struct Waiting {
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
    since: Micros,
}

/// Messages that are being put together.
#[derive(Default)]
pub struct Assembly(BTreeMap<(String, u64), Waiting>);

impl Assembly {
    /// A part has come from a member; the message, once it is whole and what its digest says.
    pub fn take(&mut self, now: Micros, from: &str, part: Part) -> Option<Vec<u8>> {
        let (count, index) = (usize::from(part.count), usize::from(part.index));
        let last = index + 1 == count;
        if count == 0 || count > MOST_PARTS || index >= count || part.bytes.len() > PART {
            return None;
        }
        if !last && part.bytes.len() != PART {
            return None;
        }
        if count == 1 {
            return (digest(&part.bytes) == part.digest).then_some(part.bytes);
        }
        self.0.retain(|_, waiting| now.minus(waiting.since) < PATIENCE);
        let key = (from.to_owned(), part.digest);
        if !self.0.contains_key(&key) && self.0.len() >= MOST_WAITING {
            return None;
        }
        let new = || Waiting { parts: vec![None; count], missing: count, since: now };
        let waiting = self.0.entry(key.clone()).or_insert_with(new);
        if waiting.parts.len() != count || waiting.parts[index].is_some() {
            return None;
        }
        (waiting.parts[index], waiting.since) = (Some(part.bytes), now);
        waiting.missing -= 1;
        if waiting.missing > 0 {
            return None;
        }
        let whole: Vec<u8> = self.0.remove(&key)?.parts.into_iter().flatten().flatten().collect();
        (digest(&whole) == key.1).then_some(whole)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_comes_together_from_parts_of_several_sendings() {
        let message: Vec<u8> = (0..4_321u32).map(|byte| byte as u8).collect();
        let mut assembly = Assembly::default();
        let sent = parts(&message).unwrap();
        assert_eq!(sent.len(), 5);
        // The first sending loses all but two parts, the second all but the others; one comes twice.
        for index in [4, 1, 1, 0, 2] {
            assert_eq!(assembly.take(Micros(0), "a", sent[index].clone()), None);
        }
        assert_eq!(assembly.take(Micros(0), "b", sent[3].clone()), None, "another's");
        assert_eq!(assembly.take(Micros(9), "a", sent[3].clone()), Some(message));
        assert_eq!(parts(&[]).map(|parts| parts.len()), Some(1));
        assert_eq!(parts(&vec![0; PART * MOST_PARTS + 1]), None);
    }

    #[test]
    fn what_is_spoilt_or_too_much_is_dropped() {
        let message = vec![7; 2_500];
        let sent = parts(&message).unwrap();
        let mut assembly = Assembly::default();
        let mut spoilt = sent[1].clone();
        spoilt.bytes[3] ^= 1;
        for part in [sent[0].clone(), spoilt, sent[2].clone()] {
            assert_eq!(assembly.take(Micros(0), "a", part), None);
        }
        for part in sent.clone() {
            let whole = assembly.take(Micros(0), "a", part);
            assert!(whole.is_none_or(|whole| whole == message));
        }
        let short = Part { bytes: vec![1], ..sent[0].clone() };
        let beyond = Part { index: 9, ..sent[0].clone() };
        assert!([short, beyond].into_iter().all(|part| assembly.take(Micros(0), "a", part).is_none()));
        for number in 0..200 {
            assembly.take(Micros(0), &format!("m{number}"), sent[0].clone());
        }
        assert_eq!(assembly.0.len(), MOST_WAITING);
        assembly.take(Micros(6_000_000), "z", sent[0].clone());
        assert_eq!(assembly.0.len(), 1, "those that waited too long are gone");
    }
}
