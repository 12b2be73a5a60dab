//! Flows that ended lately: a repeat of an id is answered, not redone.

use crate::journal::End;
use crate::Micros;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Longer than any class's deadline: by then nobody repeats an id.
const KEEP: Micros = Micros(120_000_000);
/// What a name takes in the journal besides its own bytes, about.
const OVERHEAD: u64 = 48;

/// The space in which an id names one flow (see [`space`](crate::engine::space)), and the id.
pub type Name = (u32, Rc<[u8]>);

/// A bounded memory of ends.
pub struct Memory {
    ends: HashMap<Name, (End, Micros)>,
    order: VecDeque<(Name, Micros)>,
    bytes: u64,
    bound: u64,
}

impl Memory {
    /// Holds names for so many bytes of the journal at most; the oldest go first.
    pub fn new(bound: u64) -> Memory {
        Memory { ends: HashMap::new(), order: VecDeque::new(), bytes: 0, bound }
    }

    /// Another bound counts from now on.
    pub fn rebound(&mut self, bound: u64) {
        self.bound = bound;
        self.trim(Micros(0));
    }

    /// What it takes in the journal.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Remembers an end.
    pub fn add(&mut self, name: Name, end: End, at: Micros) {
        self.bytes += size(&name);
        self.ends.insert(name.clone(), (end, at));
        self.order.push_back((name, at));
        self.trim(at);
    }

    fn trim(&mut self, at: Micros) {
        while let Some((oldest, since)) = self.order.front().cloned() {
            if self.bytes <= self.bound && at.minus(since) < KEEP {
                break;
            }
            self.order.pop_front();
            self.bytes -= size(&oldest);
            // The same id may have ended again since.
            if self.ends.get(&oldest).is_some_and(|known| known.1 == since) {
                self.ends.remove(&oldest);
            }
        }
    }

    /// How a flow of this name ended. A deferred one is forgotten once it was to come again.
    pub fn recall(&self, name: &Name, now: Micros) -> Option<End> {
        match self.ends.get(name) {
            Some(&(End::Deferred(again), at)) if at.plus(again) <= now => None,
            known => known.map(|&(end, _)| end),
        }
    }

    /// All of it, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, End, Micros)> {
        let current = self.order.iter().filter_map(|(name, at)| Some((name, *at, self.ends.get(name)?)));
        current.filter(|(_, at, known)| known.1 == *at).map(|(name, at, known)| (name, known.0, at))
    }
}

fn size(name: &Name) -> u64 {
    name.1.len() as u64 + OVERHEAD
}
