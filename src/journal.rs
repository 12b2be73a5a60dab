//! The journal of accepted messages in the state folder: append, replay, compaction.
//!
//! The file is a magic line followed by records of length, CRC-32 and payload. Written data survives the end
//! of the process without a sync. A torn or damaged tail is dropped. A compaction writes all live records to
//! a new file and renames it, so that the old and the new file are on the disk together for a moment;
//! [`Journal::max_file_size`] and [`Journal::max_live_size`] leave space for both.

mod encoding;

use crate::{AttemptHistory, Effect, EndpointId, MessageId, Micros};
use encoding::{encode, replay, MAGIC, MAGIC_FORMAT_1};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const FILE_NAME: &str = "flows.journal";
const NEW_FILE_NAME: &str = "flows.journal.new";
/// The scope in which a message id is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdScope {
    /// The message's tenant.
    Tenant,
    /// All tenants of the message's front.
    Front,
}

/// A message as it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    /// Its number.
    pub message: MessageId,
    /// The front that accepted it.
    pub front: u8,
    /// The scope in which its id is unique.
    pub id_scope: IdScope,
    /// Whether the front reports a delivery, too.
    pub report_delivery: bool,
    /// Class, by number: see [`Record::Named`].
    pub class: u32,
    /// The effect of a repeat in that class when the message was accepted. The message keeps it, whatever the
    /// settings are at the next start. `None` in a journal of an older version for a keyed effect, whose scope
    /// and window were not recorded.
    pub effect: Option<Effect>,
    /// Tenant, by number.
    pub tenant: u32,
    /// Destination.
    pub destination: u64,
    /// Its deadline, in Unix time.
    pub deadline: Micros,
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// Data that the front needs to report its final outcome.
    pub origin: Rc<[u8]>,
    /// The payload.
    pub body: Rc<[u8]>,
}

/// The final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The message reached its destination.
    Delivered,
    /// Given up, with no promise about the message's effect.
    Undeliverable,
    /// Given up; the message may safely be submitted again after this time.
    Deferred(Micros),
    /// The message is no longer wanted: no report is owed.
    Closed,
}

/// One record of the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// An attempt is about to be sent.
    Sent {
        /// The message.
        message: MessageId,
        /// When, in Unix time.
        at: Micros,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The last attempt of the message never ran.
    NeverRan(MessageId),
    /// A message has ended. The report to its front is still owed, if the front takes one for this outcome.
    Ended {
        /// The message.
        message: MessageId,
        /// When, in Unix time.
        at: Micros,
        /// The final outcome.
        outcome: FinalOutcome,
    },
    /// The final outcome was reported to the front.
    Reported(MessageId),
    /// Attempts so far and the first that may have run. A compaction writes this in place of `Sent` and
    /// `NeverRan`.
    AttemptSummary {
        /// The message.
        message: MessageId,
        /// Attempts so far.
        attempts: u32,
        /// The first attempt that may have run.
        may_have_run: Option<(Micros, EndpointId)>,
    },
    /// A message that ended recently and whose outcome was reported: a repeat of its id is answered from this
    /// record.
    Remembered {
        /// The tenant's number. `None` in journals of older versions.
        owner: Option<u32>,
        /// The scope of its id, as a number.
        id_scope: u32,
        /// Its id at the client.
        id: Rc<[u8]>,
        /// When it ended, in Unix time.
        at: Micros,
        /// The final outcome.
        outcome: FinalOutcome,
        /// Until when the record is not evicted, in Unix time. `None` in journals of older versions, and
        /// where the owner is unknown.
        protected_until: Option<Micros>,
        /// What another delivery under the id must go on from. Not stored without `protected_until`.
        history: Option<AttemptHistory>,
    },
    /// The submissions of a tenant are rejected from now on, or no longer.
    Paused {
        /// Tenant, by number.
        tenant: u32,
        /// Whether submissions are rejected.
        paused: bool,
    },
    /// Declares the number of a name. Comes before all records that refer to it. A number is never assigned
    /// again.
    Named {
        /// Whether the name is a tenant's; otherwise it is a class's.
        tenant: bool,
        /// The number.
        number: u32,
        /// The name.
        name: Rc<[u8]>,
    },
}

/// A journal as read from its file.
pub struct RecoveredJournal {
    /// The journal, to append to.
    pub journal: Journal,
    /// Its records, up to the first damage.
    pub records: Vec<Record>,
    /// The file is of the first format: classes and tenants go by their indices in the configuration.
    pub by_index: bool,
}

/// The journal file in the state folder, and its limits.
pub struct Journal {
    folder: PathBuf,
    file: Option<File>,
    size: u64,
    disk: u64,
}

impl Journal {
    /// Reads the journal in `folder` up to the first damaged record. A missing or unreadable file counts as
    /// empty. Nothing is written, and nothing may be written before [`Journal::claim`].
    pub fn open(folder: &Path, disk: u64) -> RecoveredJournal {
        let bytes = fs::read(folder.join(FILE_NAME)).unwrap_or_default();
        let (records, valid_bytes) = replay(&bytes);
        let by_index = bytes.starts_with(MAGIC_FORMAT_1);
        let size = if by_index { 0 } else { valid_bytes };
        let journal = Journal { folder: folder.to_owned(), file: None, size, disk };
        RecoveredJournal { journal, records, by_index }
    }

    /// Takes over the journal: from now on this process may write it.
    pub fn claim(&mut self) {
        let _ = fs::remove_file(self.folder.join(NEW_FILE_NAME));
        // A damaged tail is cut off, as records after a torn one would never be read. Nothing is appended to
        // a file of the first format: a complete one of the second format replaces it.
        if self.size > 0 {
            self.file = OpenOptions::new().write(true).open(self.folder.join(FILE_NAME)).ok();
            if self.file.as_ref().is_none_or(|file| file.set_len(self.size).is_err()) {
                (self.file, self.size) = (None, 0);
            }
        }
    }

    /// Makes sure that the file holds all committed records and these, so that another process may read it.
    pub fn ensure_written(
        &mut self,
        records: &[Record],
        live: impl FnOnce() -> Vec<Record>,
    ) -> io::Result<()> {
        if self.file.is_some() && records.is_empty() {
            return Ok(());
        }
        self.commit(records, live)
    }

    /// Whether the file holds all committed records: no write has failed since the last whole one.
    pub fn is_current(&self) -> bool {
        self.file.is_some()
    }

    /// Bytes of the state folder that the journal may use.
    pub fn disk_limit(&self) -> u64 {
        self.disk
    }

    /// Bytes in the file.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Changes the bytes of the state folder that the journal may use.
    pub fn set_disk_limit(&mut self, disk: u64) {
        self.disk = disk;
    }

    /// Upper bound of the file's size.
    pub fn max_file_size(&self) -> u64 {
        self.disk * 9 / 20
    }

    /// Upper bound of the bytes that a compaction keeps.
    pub fn max_live_size(&self) -> u64 {
        self.disk * 3 / 10
    }

    /// Appends the records of one loop iteration with one write. If they no longer fit, the file is compacted
    /// to the records that `live` returns instead. After an error, none of the records counts as written.
    pub fn commit(&mut self, records: &[Record], live: impl FnOnce() -> Vec<Record>) -> io::Result<()> {
        let bytes = encode(records);
        let Some(file) =
            self.file.as_ref().filter(|_| self.size + bytes.len() as u64 <= self.max_file_size())
        else {
            return self.compact(&live());
        };
        match file.write_all_at(&bytes, self.size) {
            Ok(()) => self.size += bytes.len() as u64,
            Err(problem) => {
                // The engine's state and the file differ from now on: the next commit rewrites the file.
                let _ = file.set_len(self.size);
                self.file = None;
                return Err(problem);
            }
        }
        Ok(())
    }

    /// Writes all live records to a new file, and replaces the old one with it.
    pub fn compact(&mut self, live: &[Record]) -> io::Result<()> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(encode(live));
        if bytes.len() as u64 > self.max_file_size() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let next = self.folder.join(NEW_FILE_NAME);
        let written = File::create(&next).and_then(|file| file.write_all_at(&bytes, 0).map(|()| file));
        let renamed = written.and_then(|file| fs::rename(&next, self.folder.join(FILE_NAME)).map(|()| file));
        if renamed.is_err() {
            let _ = fs::remove_file(&next);
        }
        self.file = None;
        self.file = Some(renamed?);
        self.size = bytes.len() as u64;
        Ok(())
    }
}

/// Approximate bytes that a message and its final outcome take in the file.
pub fn stored_size(accepted: &AcceptedMessage) -> u64 {
    let names = accepted.id.len() + accepted.key.as_ref().map_or(0, |key| key.len()) + accepted.origin.len();
    (names + accepted.body.len() + 160) as u64
}
