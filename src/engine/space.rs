//! The space that messages and remembered outcomes may take: how it is divided, and what a change of the state
//! folder's limit does to it.

use super::*;

/// Remembered outcomes may take one part in this many of the journal's live bytes, unless more are protected.
const OUTCOMES_SHARE_DIVISOR: u64 = 4;

/// The bound of the remembered outcomes under the journal's present limit.
pub(super) fn outcome_bound(journal: &Journal) -> u64 {
    journal.max_live_size() / OUTCOMES_SHARE_DIVISOR
}

impl Engine {
    /// Divides the capacity for held messages among the tenants. Cost: O(tenants).
    pub(super) fn configure_admission(&mut self) {
        // A part of the live bytes is left to the outcomes of ended messages. The bytes that names take
        // are not subtracted: a tenant could tell from its capacity that other tenants are added and removed.
        let live = self.journal.max_live_size();
        let bytes = self.held_bytes.min(live - outcome_bound(&self.journal));
        let held = u64::from(self.settings.max_messages);
        self.admission.configure((held, bytes), &self.settings.isolation);
    }

    /// Checks that all live data fits into `disk` bytes, outcomes that clients may still repeat among them. If
    /// it does, the journal is compacted where its file is larger than that limit allows, so that the file fits
    /// from now on, too.
    pub fn check_disk_limit(&mut self, disk: u64) -> Result<(), String> {
        let old = self.journal.disk_limit();
        self.journal.set_disk_limit(disk);
        let result = self.fit_into_limit();
        self.journal.set_disk_limit(old);
        self.memory.set_limit(outcome_bound(&self.journal), self.now);
        result
    }

    /// Compacts the journal where its file is larger than its limit allows. Fails if the live data does not fit.
    fn fit_into_limit(&mut self) -> Result<(), String> {
        let (bound, max_live) = (outcome_bound(&self.journal), self.journal.max_live_size());
        let outcomes = self.memory.bytes_under(bound, self.now);
        let live = self.total_live_bytes() - self.memory.bytes() + outcomes;
        if live > max_live {
            return Err(format!("{live} bytes are live, and {max_live} would be allowed"));
        }
        if self.journal.size() <= self.journal.max_file_size() {
            return Ok(());
        }
        // The outcomes that the new limit evicts would not fit; they are not protected.
        self.memory.set_limit(bound, self.now);
        let records = snapshot(&self.directory, &self.messages, &self.calls, &self.memory, &self.paused);
        self.journal.compact(&records).map_err(|problem| format!("the journal cannot be written: {problem}"))
    }

    /// Sets the disk limit of the state folder.
    pub fn set_disk_limit(&mut self, disk: u64) {
        self.journal.set_disk_limit(disk);
        self.memory.set_limit(outcome_bound(&self.journal), self.now);
        self.configure_admission();
    }

    /// Approximate size of the data that a compaction keeps.
    pub(super) fn total_live_bytes(&self) -> u64 {
        let names = self.directory.classes.bytes() + self.directory.tenants.bytes();
        self.live_bytes + self.memory.bytes() + names
    }
}
