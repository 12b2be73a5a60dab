//! The record of what was taken on, in the folder that lasts: append, replay, compaction.
//!
//! A file is a magic line and records: length, CRC-32 and payload. What is written outlives the process without a
//! sync. A torn or damaged tail is dropped. A compaction writes all that is live to a new file and renames it, so
//! old and new are on the disk together for a moment; [`Journal::max_file_size`] and [`Journal::max_live_size`] leave
//! room for that.

use crate::{Effect, EndpointId, MessageId, Micros};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The second format: classes and tenants by numbers that [`Record::Named`] declares.
const MAGIC: &[u8] = b"cedarwharf 2\n";
/// The first: both by their places in the lists of the configuration. It is read, and never written.
const FIRST: &[u8] = b"cedarwharf 1\n";
const NAME: &str = "flows.journal";
const NEXT: &str = "flows.journal.new";
/// Length and checksum before each payload.
const FRAME: usize = 8;
/// No record is longer: a body of 64 KiB, and names.
const LONGEST: usize = 1 << 18;

/// Within what an id names one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdScope {
    /// Its tenant.
    Tenant,
    /// All tenants of its front.
    Front,
}

/// A flow as it was taken on.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    /// Its number.
    pub message: MessageId,
    /// The front that took it on.
    pub front: u8,
    /// Within what its id is its own.
    pub id_scope: IdScope,
    /// Whether the front wants to tell a delivery too.
    pub report_delivery: bool,
    /// Class, by number: see [`Record::Named`].
    pub class: u32,
    /// What repeating does in that class, see [`effect_code`]: settings may differ at the next start.
    pub effect: u8,
    /// Tenant, by number.
    pub tenant: u32,
    /// Destination.
    pub destination: u64,
    /// When its time is up, in Unix time.
    pub deadline: Micros,
    /// Its id at the client.
    pub id: Rc<[u8]>,
    /// Its idempotency key.
    pub key: Option<Rc<[u8]>>,
    /// What the front needs to tell its end.
    pub origin: Rc<[u8]>,
    /// What is delivered.
    pub body: Rc<[u8]>,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// It reached its destination.
    Delivered,
    /// Given up, with no promise about its effect.
    Undeliverable,
    /// Given up; handing it in again after so long is harmless.
    Deferred(Micros),
    /// Nobody wants it any more: nothing is owed.
    Closed,
}

/// One line of the record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Taken on.
    Accepted(AcceptedMessage),
    /// An attempt is about to leave.
    Sent {
        /// The flow.
        message: MessageId,
        /// When, in Unix time.
        at: Micros,
        /// Where to.
        endpoint: EndpointId,
    },
    /// The attempt before this never ran.
    NeverRan(MessageId),
    /// It is over; its front is still to be told, if it wants to be.
    Ended {
        /// The flow.
        message: MessageId,
        /// When, in Unix time.
        at: Micros,
        /// How.
        outcome: FinalOutcome,
    },
    /// The front has heard of the end.
    Reported(MessageId),
    /// Attempts so far and the first that may have run: stands in for `Sent` and `NeverRan` after a compaction.
    AttemptSummary {
        /// The flow.
        message: MessageId,
        /// Attempts so far.
        attempts: u32,
        /// The first attempt that may have run.
        may_have_run: Option<(Micros, EndpointId)>,
    },
    /// A flow that ended lately and is told: a repeat of its id is answered from this.
    Remembered {
        /// Whose it is: a tenant's number. None in journals of versions before this.
        owner: Option<u32>,
        /// The space of its id, as a number.
        id_scope: u32,
        /// Its id at the client.
        id: Rc<[u8]>,
        /// When it ended, in Unix time.
        at: Micros,
        /// How.
        outcome: FinalOutcome,
    },
    /// A tenant is turned down from now on, or no longer.
    Paused {
        /// Tenant, by number.
        tenant: u32,
        /// Turned down.
        paused: bool,
    },
    /// A name's number, before anything that goes by it. Numbers are never given again.
    Named {
        /// A tenant's; else a class's.
        tenant: bool,
        /// The number.
        number: u32,
        /// The name.
        name: Rc<[u8]>,
    },
}

/// A journal as it was found.
pub struct RecoveredJournal {
    /// The file, to go on with.
    pub journal: Journal,
    /// Its records, up to the first damage.
    pub records: Vec<Record>,
    /// It is of the first format: classes and tenants go by their places in the configuration.
    pub by_index: bool,
}

/// The file, and the bytes of this turn that are not in it yet.
pub struct Journal {
    folder: PathBuf,
    file: Option<File>,
    size: u64,
    disk: u64,
}

impl Journal {
    /// Reads the folder's record, up to the first damage. A missing or unreadable one is empty. Nothing is written, and
    /// nothing may be, before [`Journal::claim`].
    pub fn open(folder: &Path, disk: u64) -> RecoveredJournal {
        let bytes = fs::read(folder.join(NAME)).unwrap_or_default();
        let (records, whole) = replay(&bytes);
        let by_index = bytes.starts_with(FIRST);
        let size = if by_index { 0 } else { whole };
        let journal = Journal { folder: folder.to_owned(), file: None, size, disk };
        RecoveredJournal { journal, records, by_index }
    }

    /// The record is this process's own from now on, to go on with.
    pub fn claim(&mut self) {
        let _ = fs::remove_file(self.folder.join(NEXT));
        // A damaged tail is written over: what follows a torn record would never be read. A file of the first format
        // gets nothing more: its place is taken by one of the second, whole.
        if self.size > 0 {
            self.file = OpenOptions::new().write(true).open(self.folder.join(NAME)).ok();
            if self.file.as_ref().is_none_or(|file| file.set_len(self.size).is_err()) {
                (self.file, self.size) = (None, 0);
            }
        }
    }

    /// The file holds all that was committed, and these records too: another process may read it.
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

    /// Bytes of the folder that it may count on.
    pub fn disk_limit(&self) -> u64 {
        self.disk
    }

    /// Bytes in the file.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Another bound of the folder counts from now on.
    pub fn set_disk_limit(&mut self, disk: u64) {
        self.disk = disk;
    }

    /// The file is not let grow beyond this.
    pub fn max_file_size(&self) -> u64 {
        self.disk * 9 / 20
    }

    /// What must outlast a compaction may take so much.
    pub fn max_live_size(&self) -> u64 {
        self.disk * 3 / 10
    }

    /// Appends the records of one turn with one write; where they no longer fit, everything live takes the
    /// place of the file instead. After an error nothing of them counts.
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
                // What the engine believes and what is written differ from here on: next time, write it all.
                let _ = file.set_len(self.size);
                self.file = None;
                return Err(problem);
            }
        }
        Ok(())
    }

    /// Writes all that is live to a new file, and puts it in the place of the old one.
    pub fn compact(&mut self, live: &[Record]) -> io::Result<()> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(encode(live));
        if bytes.len() as u64 > self.max_file_size() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let next = self.folder.join(NEXT);
        let written = File::create(&next).and_then(|file| file.write_all_at(&bytes, 0).map(|()| file));
        let renamed = written.and_then(|file| fs::rename(&next, self.folder.join(NAME)).map(|()| file));
        if renamed.is_err() {
            let _ = fs::remove_file(&next);
        }
        self.file = None;
        self.file = Some(renamed?);
        self.size = bytes.len() as u64;
        Ok(())
    }
}

/// An effect as a record holds it.
pub fn effect_code(effect: Effect) -> u8 {
    match effect {
        Effect::Safe => 0,
        Effect::Keyed { .. } => 1,
        Effect::Unsafe => 2,
    }
}

/// Bytes that a flow and its end take in the file, about.
pub fn stored_size(accepted: &AcceptedMessage) -> u64 {
    let names = accepted.id.len() + accepted.key.as_ref().map_or(0, |key| key.len()) + accepted.origin.len();
    (names + accepted.body.len() + 160) as u64
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    for record in records {
        let start = out.len();
        out.extend([0; FRAME]);
        record.write(&mut out);
        let payload = &out[start + FRAME..];
        let (length, sum) = (payload.len() as u32, crc32fast::hash(payload));
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
        out[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
    }
    out
}

/// The records before the first damage, and how many bytes they and the magic line take.
fn replay(bytes: &[u8]) -> (Vec<Record>, u64) {
    let mut records = Vec::new();
    let rest = bytes.strip_prefix(MAGIC).or_else(|| bytes.strip_prefix(FIRST));
    let Some(mut rest) = rest else { return (records, 0) };
    while rest.len() >= FRAME {
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let sum = u32::from_le_bytes([rest[4], rest[5], rest[6], rest[7]]);
        let Some(payload) = rest.get(FRAME..FRAME + length).filter(|_| length <= LONGEST) else { break };
        let Some(record) = Some(payload).filter(|p| crc32fast::hash(p) == sum).and_then(Record::read) else {
            break;
        };
        records.push(record);
        rest = &rest[FRAME + length..];
    }
    (records, (bytes.len() - rest.len()) as u64)
}

impl FinalOutcome {
    fn code(self) -> (u8, Micros) {
        match self {
            FinalOutcome::Delivered => (0, Micros(0)),
            FinalOutcome::Undeliverable => (1, Micros(0)),
            FinalOutcome::Deferred(again) => (2, again),
            FinalOutcome::Closed => (3, Micros(0)),
        }
    }
}

impl Record {
    fn write(&self, out: &mut Vec<u8>) {
        let number = |out: &mut Vec<u8>, value: u64| out.extend(value.to_le_bytes());
        let bytes = |out: &mut Vec<u8>, value: &[u8]| {
            out.extend((value.len() as u32).to_le_bytes());
            out.extend(value);
        };
        match self {
            Record::Accepted(accepted) => {
                out.push(1);
                number(out, accepted.message.0.into());
                out.extend([
                    accepted.front,
                    u8::from(accepted.report_delivery) | u8::from(accepted.id_scope == IdScope::Front) << 1,
                    accepted.key.is_some().into(),
                    accepted.effect,
                ]);
                number(out, accepted.class.into());
                number(out, accepted.tenant.into());
                number(out, accepted.destination);
                number(out, accepted.deadline.0);
                bytes(out, &accepted.id);
                bytes(out, accepted.key.as_deref().unwrap_or_default());
                bytes(out, &accepted.origin);
                bytes(out, &accepted.body);
            }
            Record::Sent { message, at, endpoint } => {
                out.push(2);
                number(out, message.0.into());
                number(out, at.0);
                number(out, endpoint.0);
            }
            Record::NeverRan(message) => {
                out.push(3);
                number(out, message.0.into());
            }
            Record::Ended { message, at, outcome } => {
                out.push(4);
                number(out, message.0.into());
                number(out, at.0);
                out.push(outcome.code().0);
                number(out, outcome.code().1 .0);
            }
            Record::Reported(message) => {
                out.push(5);
                number(out, message.0.into());
            }
            Record::AttemptSummary { message, attempts, may_have_run } => {
                out.push(6);
                number(out, message.0.into());
                number(out, (*attempts).into());
                out.push(may_have_run.is_some().into());
                let (at, endpoint) = may_have_run.unwrap_or_default();
                number(out, at.0);
                number(out, endpoint.0);
            }
            Record::Remembered { owner, id_scope, id, at, outcome } => {
                out.push(if owner.is_some() { 10 } else { 7 });
                owner.iter().for_each(|&owner| number(out, owner.into()));
                number(out, (*id_scope).into());
                bytes(out, id);
                number(out, at.0);
                out.push(outcome.code().0);
                number(out, outcome.code().1 .0);
            }
            Record::Paused { tenant, paused } => {
                out.push(8);
                number(out, (*tenant).into());
                out.push((*paused).into());
            }
            Record::Named { tenant, number: told, name } => {
                out.push(9);
                out.push((*tenant).into());
                number(out, (*told).into());
                bytes(out, name);
            }
        }
    }

    fn read(payload: &[u8]) -> Option<Record> {
        let mut fields = Fields(payload);
        let kind = fields.byte()?;
        let record = match kind {
            1 => {
                let message = fields.message()?;
                let (front, flags, keyed) = (fields.byte()?, fields.byte()?, fields.byte()? != 0);
                let id_scope = if flags & 2 == 0 { IdScope::Tenant } else { IdScope::Front };
                let effect = fields.byte()?;
                let (class, tenant) = (fields.short()?, fields.short()?);
                let (destination, deadline) = (fields.number()?, Micros(fields.number()?));
                let (id, key) = (fields.bytes()?, fields.bytes()?);
                let (origin, body) = (fields.bytes()?, fields.bytes()?);
                let key = keyed.then_some(key);
                Record::Accepted(AcceptedMessage {
                    message,
                    front,
                    id_scope,
                    report_delivery: flags & 1 != 0,
                    class,
                    effect,
                    tenant,
                    destination,
                    deadline,
                    id,
                    key,
                    origin,
                    body,
                })
            }
            2 => Record::Sent {
                message: fields.message()?,
                at: Micros(fields.number()?),
                endpoint: EndpointId(fields.number()?),
            },
            3 => Record::NeverRan(fields.message()?),
            4 => Record::Ended {
                message: fields.message()?,
                at: Micros(fields.number()?),
                outcome: fields.final_outcome()?,
            },
            5 => Record::Reported(fields.message()?),
            6 => {
                let (message, attempts) = (fields.message()?, fields.number()? as u32);
                let ran = fields.byte()? != 0;
                let first = (Micros(fields.number()?), EndpointId(fields.number()?));
                Record::AttemptSummary { message, attempts, may_have_run: ran.then_some(first) }
            }
            7 | 10 => Record::Remembered {
                owner: if kind == 10 { Some(fields.short()?) } else { None },
                id_scope: fields.short()?,
                id: fields.bytes()?,
                at: Micros(fields.number()?),
                outcome: fields.final_outcome()?,
            },
            8 => Record::Paused { tenant: fields.short()?, paused: fields.byte()? != 0 },
            9 => {
                let tenant = fields.byte()? != 0;
                Record::Named { tenant, number: fields.short()?, name: fields.bytes()? }
            }
            _ => return None,
        };
        fields.0.is_empty().then_some(record)
    }
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn some(&mut self, length: usize) -> Option<&'a [u8]> {
        let (accepted, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(accepted)
    }

    fn byte(&mut self) -> Option<u8> {
        self.some(1).map(|byte| byte[0])
    }

    fn number(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.some(8)?.try_into().ok()?))
    }

    /// A number that is held in fewer bits than it is written with.
    fn short(&mut self) -> Option<u32> {
        u32::try_from(self.number()?).ok()
    }

    fn message(&mut self) -> Option<MessageId> {
        self.short().map(MessageId)
    }

    fn bytes(&mut self) -> Option<Rc<[u8]>> {
        let length = u32::from_le_bytes(self.some(4)?.try_into().ok()?) as usize;
        self.some(length).map(Rc::from)
    }

    fn final_outcome(&mut self) -> Option<FinalOutcome> {
        let (code, again) = (self.byte()?, Micros(self.number()?));
        Some(match code {
            0 => FinalOutcome::Delivered,
            1 => FinalOutcome::Undeliverable,
            2 => FinalOutcome::Deferred(again),
            3 => FinalOutcome::Closed,
            _ => return None,
        })
    }
}
