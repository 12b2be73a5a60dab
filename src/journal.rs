//! The journal of accepted messages in the state folder: append, replay, compaction.
//!
//! The file is a magic line followed by records of length, CRC-32 and payload. Written data survives the end
//! of the process without a sync. A torn or damaged tail is dropped. A compaction writes all live records to
//! a new file and renames it, so that the old and the new file are on the disk together for a moment;
//! [`Journal::max_file_size`] and [`Journal::max_live_size`] leave space for both.

use crate::{AttemptHistory, Effect, EndpointId, KeyScope, MessageId, Micros};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Magic line of the second format: classes and tenants go by numbers that [`Record::Named`] declares.
const MAGIC: &[u8] = b"cedarwharf 2\n";
/// Magic line of the first format: both go by their indices in the configuration's lists. It is only read,
/// never written.
const MAGIC_FORMAT_1: &[u8] = b"cedarwharf 1\n";
const FILE_NAME: &str = "flows.journal";
const NEW_FILE_NAME: &str = "flows.journal.new";
/// Bytes of the length and the checksum before each payload.
const HEADER_BYTES: usize = 8;
/// Upper bound of a payload's length: a body has at most 64 KiB, the rest is for ids and names.
const MAX_PAYLOAD_BYTES: usize = 1 << 18;

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

/// Codes of effects in a record. A keyed effect is followed by its scope and window where the record has these.
const SAFE: u8 = 0;
const KEYED: u8 = 1;
const UNSAFE: u8 = 2;

/// The code of an effect in a record.
fn effect_code(effect: Option<Effect>) -> u8 {
    match effect {
        Some(Effect::Safe) => SAFE,
        Some(Effect::Keyed { .. }) | None => KEYED,
        Some(Effect::Unsafe) => UNSAFE,
    }
}

/// The code of a scope in a record.
fn scope_code(scope: KeyScope) -> u8 {
    match scope {
        KeyScope::All => 0,
        KeyScope::Zone => 1,
        KeyScope::Endpoint => 2,
    }
}

/// Writes a history: whether its effect is known, the effect, the attempts, and the first one that may have run.
fn write_history(out: &mut Vec<u8>, history: &AttemptHistory) {
    let (scope, window) = match history.effect {
        Some(Effect::Keyed { scope, window }) => (scope, window),
        _ => (KeyScope::All, Micros(0)),
    };
    out.push(history.effect.is_some().into());
    out.push(effect_code(history.effect));
    out.push(scope_code(scope));
    out.extend(window.0.to_le_bytes());
    out.extend(history.attempts.to_le_bytes());
    out.push(history.may_have_run.is_some().into());
    let (at, endpoint) = history.may_have_run.unwrap_or_default();
    out.extend(at.0.to_le_bytes());
    out.extend(endpoint.0.to_le_bytes());
}

/// Approximate bytes that a message and its final outcome take in the file.
pub fn stored_size(accepted: &AcceptedMessage) -> u64 {
    let names = accepted.id.len() + accepted.key.as_ref().map_or(0, |key| key.len()) + accepted.origin.len();
    (names + accepted.body.len() + 160) as u64
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut out = Vec::new();
    for record in records {
        let start = out.len();
        out.extend([0; HEADER_BYTES]);
        record.write(&mut out);
        let payload = &out[start + HEADER_BYTES..];
        let (length, sum) = (payload.len() as u32, crc32fast::hash(payload));
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
        out[start + 4..start + HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    }
    out
}

/// The records before the first damage, and the bytes that they and the magic line take.
fn replay(bytes: &[u8]) -> (Vec<Record>, u64) {
    let mut records = Vec::new();
    let rest = bytes.strip_prefix(MAGIC).or_else(|| bytes.strip_prefix(MAGIC_FORMAT_1));
    let Some(mut rest) = rest else { return (records, 0) };
    while rest.len() >= HEADER_BYTES {
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let sum = u32::from_le_bytes([rest[4], rest[5], rest[6], rest[7]]);
        let Some(payload) =
            rest.get(HEADER_BYTES..HEADER_BYTES + length).filter(|_| length <= MAX_PAYLOAD_BYTES)
        else {
            break;
        };
        let Some(record) = Some(payload).filter(|p| crc32fast::hash(p) == sum).and_then(Record::read) else {
            break;
        };
        records.push(record);
        rest = &rest[HEADER_BYTES + length..];
    }
    (records, (bytes.len() - rest.len()) as u64)
}

impl FinalOutcome {
    fn code(self) -> (u8, Micros) {
        match self {
            FinalOutcome::Delivered => (0, Micros(0)),
            FinalOutcome::Undeliverable => (1, Micros(0)),
            FinalOutcome::Deferred(retry_after) => (2, retry_after),
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
                let keyed = match accepted.effect {
                    Some(Effect::Keyed { scope, window }) => Some((scope, window)),
                    _ => None,
                };
                out.push(if keyed.is_some() { 11 } else { 1 });
                number(out, accepted.message.0.into());
                out.extend([
                    accepted.front,
                    u8::from(accepted.report_delivery) | u8::from(accepted.id_scope == IdScope::Front) << 1,
                    accepted.key.is_some().into(),
                    effect_code(accepted.effect),
                ]);
                if let Some((scope, window)) = keyed {
                    out.push(scope_code(scope));
                    number(out, window.0);
                }
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
            Record::Remembered { owner, id_scope, id, at, outcome, protected_until, history } => {
                out.push(match (owner, protected_until) {
                    (Some(_), Some(_)) => 12,
                    (Some(_), None) => 10,
                    (None, _) => 7,
                });
                owner.iter().for_each(|&owner| number(out, owner.into()));
                number(out, (*id_scope).into());
                bytes(out, id);
                number(out, at.0);
                out.push(outcome.code().0);
                number(out, outcome.code().1 .0);
                if let (Some(_), Some(protected_until)) = (owner, protected_until) {
                    number(out, protected_until.0);
                    out.push(history.is_some().into());
                    history.iter().for_each(|history| write_history(out, history));
                }
            }
            Record::Paused { tenant, paused } => {
                out.push(8);
                number(out, (*tenant).into());
                out.push((*paused).into());
            }
            Record::Named { tenant, number: value, name } => {
                out.push(9);
                out.push((*tenant).into());
                number(out, (*value).into());
                bytes(out, name);
            }
        }
    }

    fn read(payload: &[u8]) -> Option<Record> {
        let mut fields = Fields(payload);
        let kind = fields.byte()?;
        let record = match kind {
            1 | 11 => {
                let message = fields.message_id()?;
                let (front, flags, keyed) = (fields.byte()?, fields.byte()?, fields.byte()? != 0);
                let id_scope = if flags & 2 == 0 { IdScope::Tenant } else { IdScope::Front };
                let effect = fields.effect(kind == 11)?;
                let (class, tenant) = (fields.number_u32()?, fields.number_u32()?);
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
                message: fields.message_id()?,
                at: Micros(fields.number()?),
                endpoint: EndpointId(fields.number()?),
            },
            3 => Record::NeverRan(fields.message_id()?),
            4 => Record::Ended {
                message: fields.message_id()?,
                at: Micros(fields.number()?),
                outcome: fields.final_outcome()?,
            },
            5 => Record::Reported(fields.message_id()?),
            6 => {
                let (message, attempts) = (fields.message_id()?, fields.number()? as u32);
                let ran = fields.byte()? != 0;
                let first = (Micros(fields.number()?), EndpointId(fields.number()?));
                Record::AttemptSummary { message, attempts, may_have_run: ran.then_some(first) }
            }
            7 | 10 | 12 => Record::Remembered {
                owner: if kind == 7 { None } else { Some(fields.number_u32()?) },
                id_scope: fields.number_u32()?,
                id: fields.bytes()?,
                at: Micros(fields.number()?),
                outcome: fields.final_outcome()?,
                protected_until: if kind == 12 { Some(Micros(fields.number()?)) } else { None },
                history: if kind == 12 && fields.byte()? != 0 { Some(fields.history()?) } else { None },
            },
            8 => Record::Paused { tenant: fields.number_u32()?, paused: fields.byte()? != 0 },
            9 => {
                let tenant = fields.byte()? != 0;
                Record::Named { tenant, number: fields.number_u32()?, name: fields.bytes()? }
            }
            _ => return None,
        };
        fields.0.is_empty().then_some(record)
    }
}

/// Reads the fields of a payload in order.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(head)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|byte| byte[0])
    }

    fn number(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    /// A 32-bit number, which is stored as 64 bits.
    fn number_u32(&mut self) -> Option<u32> {
        u32::try_from(self.number()?).ok()
    }

    fn message_id(&mut self) -> Option<MessageId> {
        self.number_u32().map(MessageId)
    }

    fn bytes(&mut self) -> Option<Rc<[u8]>> {
        let length = u32::from_le_bytes(self.take(4)?.try_into().ok()?) as usize;
        self.take(length).map(Rc::from)
    }

    fn history(&mut self) -> Option<AttemptHistory> {
        let (is_known, code) = (self.byte()? != 0, self.byte()?);
        let (scope, window) = (self.scope()?, self.window()?);
        let effect = match code {
            SAFE => Effect::Safe,
            KEYED => Effect::Keyed { scope, window },
            UNSAFE => Effect::Unsafe,
            _ => return None,
        };
        let attempts = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        let may_have_run = self.byte()? != 0;
        let first = (Micros(self.number()?), EndpointId(self.number()?));
        Some(AttemptHistory {
            effect: is_known.then_some(effect),
            attempts,
            may_have_run: may_have_run.then_some(first),
        })
    }

    /// An effect; `None` within for a keyed one without its scope and window.
    fn effect(&mut self, has_scope_and_window: bool) -> Option<Option<Effect>> {
        Some(match self.byte()? {
            SAFE => Some(Effect::Safe),
            KEYED if has_scope_and_window => {
                Some(Effect::Keyed { scope: self.scope()?, window: self.window()? })
            }
            KEYED => None,
            UNSAFE => Some(Effect::Unsafe),
            _ => return None,
        })
    }

    fn scope(&mut self) -> Option<KeyScope> {
        Some(match self.byte()? {
            0 => KeyScope::All,
            1 => KeyScope::Zone,
            2 => KeyScope::Endpoint,
            _ => return None,
        })
    }

    fn window(&mut self) -> Option<Micros> {
        self.number().map(Micros)
    }

    fn final_outcome(&mut self) -> Option<FinalOutcome> {
        let (code, retry_after) = (self.byte()?, Micros(self.number()?));
        Some(match code {
            0 => FinalOutcome::Delivered,
            1 => FinalOutcome::Undeliverable,
            2 => FinalOutcome::Deferred(retry_after),
            3 => FinalOutcome::Closed,
            _ => return None,
        })
    }
}
