//! The order in which live members are probed: an incremental Fisher-Yates shuffle with one step per probe.
//! Each member is probed once per round, and each round has a new order.

use fastrand::Rng;

/// The shuffled probe order (see the module documentation). A member has at most one entry. The entry of a
/// member that is no longer live is removed when the order reaches it.
#[derive(Default)]
pub(super) struct ProbeOrder {
    names: Vec<String>,
    /// Members before this index were already probed in this round.
    cursor: usize,
}

impl ProbeOrder {
    /// Inserts a member at a random position of the rest of this round, so that new members are probed soon
    /// but not first.
    pub(super) fn insert(&mut self, name: String, random: &mut Rng) {
        self.names.push(name);
        let last = self.names.len() - 1;
        let at = random.usize(self.cursor.min(last)..=last);
        self.names.swap(at, last);
    }

    /// Removes a member before the order reaches it. Scans all entries.
    pub(super) fn remove(&mut self, name: &str) {
        let Some(mut at) = self.names.iter().position(|other| other == name) else { return };
        if at < self.cursor {
            // Fills the gap with the last member already probed, so that all members after the cursor keep
            // their turn in this round.
            self.cursor -= 1;
            self.names.swap(at, self.cursor);
            at = self.cursor;
        }
        self.names.swap_remove(at);
    }

    /// The next member for which `is_live` holds. Members for which it does not hold are removed.
    pub(super) fn next(&mut self, random: &mut Rng, mut is_live: impl FnMut(&str) -> bool) -> Option<String> {
        while !self.names.is_empty() {
            if self.cursor >= self.names.len() {
                self.cursor = 0;
            }
            let pick = random.usize(self.cursor..self.names.len());
            self.names.swap(self.cursor, pick);
            let name = &self.names[self.cursor];
            if is_live(name) {
                self.cursor += 1;
                return Some(name.clone());
            }
            self.names.swap_remove(self.cursor);
        }
        None
    }

    /// A random member of the order.
    pub(super) fn random_name(&self, random: &mut Rng) -> Option<&str> {
        (!self.names.is_empty()).then(|| self.names[random.usize(..self.names.len())].as_str())
    }

    /// Number of entries of a member.
    #[cfg(test)]
    pub(super) fn entry_count(&self, name: &str) -> usize {
        self.names.iter().filter(|other| *other == name).count()
    }
}

#[cfg(test)]
mod tests;
