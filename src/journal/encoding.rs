//! The bytes of the journal's records, and their reading up to the first damage.

use super::{AcceptedMessage, FinalOutcome, IdScope, Record};
use crate::{AttemptHistory, Effect, EndpointId, KeyScope, MessageId, Micros};
use std::rc::Rc;

/// Magic line of the second format: classes and tenants go by numbers that [`Record::Named`] declares.
pub(super) const MAGIC: &[u8] = b"cedarwharf 2\n";
/// Magic line of the first format: both go by their indices in the configuration's lists. It is only read,
/// never written.
pub(super) const MAGIC_FORMAT_1: &[u8] = b"cedarwharf 1\n";
/// Bytes of the length and the checksum before each payload.
const HEADER_BYTES: usize = 8;
/// Upper bound of a payload's length: a body has at most 64 KiB, the rest is for ids and names.
const MAX_PAYLOAD_BYTES: usize = 1 << 18;

/// The kind of a record, its first byte. Kinds 1, 7 and 10 are also those of earlier versions.
mod kind {
    pub const ACCEPTED: u8 = 1;
    pub const SENT: u8 = 2;
    pub const NEVER_RAN: u8 = 3;
    pub const ENDED: u8 = 4;
    pub const REPORTED: u8 = 5;
    pub const ATTEMPT_SUMMARY: u8 = 6;
    /// An outcome whose owner is not known.
    pub const REMEMBERED_WITHOUT_OWNER: u8 = 7;
    pub const PAUSED: u8 = 8;
    pub const NAMED: u8 = 9;
    /// An outcome of an earlier version, without its protection and history.
    pub const REMEMBERED_UNPROTECTED: u8 = 10;
    /// A message with a keyed effect, with its scope and window.
    pub const ACCEPTED_KEYED: u8 = 11;
    pub const REMEMBERED: u8 = 12;
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

/// The bytes of records: each with its length, checksum and payload.
pub(super) fn encode(records: &[Record]) -> Vec<u8> {
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
pub(super) fn replay(bytes: &[u8]) -> (Vec<Record>, u64) {
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
                out.push(if keyed.is_some() { kind::ACCEPTED_KEYED } else { kind::ACCEPTED });
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
                out.push(kind::SENT);
                number(out, message.0.into());
                number(out, at.0);
                number(out, endpoint.0);
            }
            Record::NeverRan(message) => {
                out.push(kind::NEVER_RAN);
                number(out, message.0.into());
            }
            Record::Ended { message, at, outcome } => {
                out.push(kind::ENDED);
                number(out, message.0.into());
                number(out, at.0);
                out.push(outcome.code().0);
                number(out, outcome.code().1 .0);
            }
            Record::Reported(message) => {
                out.push(kind::REPORTED);
                number(out, message.0.into());
            }
            Record::AttemptSummary { message, attempts, may_have_run } => {
                out.push(kind::ATTEMPT_SUMMARY);
                number(out, message.0.into());
                number(out, (*attempts).into());
                out.push(may_have_run.is_some().into());
                let (at, endpoint) = may_have_run.unwrap_or_default();
                number(out, at.0);
                number(out, endpoint.0);
            }
            Record::Remembered { owner, id_scope, id, at, outcome, protected_until, history } => {
                out.push(match (owner, protected_until) {
                    (Some(_), Some(_)) => kind::REMEMBERED,
                    (Some(_), None) => kind::REMEMBERED_UNPROTECTED,
                    (None, _) => kind::REMEMBERED_WITHOUT_OWNER,
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
                out.push(kind::PAUSED);
                number(out, (*tenant).into());
                out.push((*paused).into());
            }
            Record::Named { tenant, number: value, name } => {
                out.push(kind::NAMED);
                out.push((*tenant).into());
                number(out, (*value).into());
                bytes(out, name);
            }
        }
    }

    fn read(payload: &[u8]) -> Option<Record> {
        let mut fields = Fields(payload);
        let code = fields.byte()?;
        let record = match code {
            kind::ACCEPTED | kind::ACCEPTED_KEYED => {
                let message = fields.message_id()?;
                let (front, flags, keyed) = (fields.byte()?, fields.byte()?, fields.byte()? != 0);
                let id_scope = if flags & 2 == 0 { IdScope::Tenant } else { IdScope::Front };
                let effect = fields.effect(code == kind::ACCEPTED_KEYED)?;
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
            kind::SENT => Record::Sent {
                message: fields.message_id()?,
                at: Micros(fields.number()?),
                endpoint: EndpointId(fields.number()?),
            },
            kind::NEVER_RAN => Record::NeverRan(fields.message_id()?),
            kind::ENDED => Record::Ended {
                message: fields.message_id()?,
                at: Micros(fields.number()?),
                outcome: fields.final_outcome()?,
            },
            kind::REPORTED => Record::Reported(fields.message_id()?),
            kind::ATTEMPT_SUMMARY => {
                let (message, attempts) = (fields.message_id()?, fields.number()? as u32);
                let ran = fields.byte()? != 0;
                let first = (Micros(fields.number()?), EndpointId(fields.number()?));
                Record::AttemptSummary { message, attempts, may_have_run: ran.then_some(first) }
            }
            kind::REMEMBERED_WITHOUT_OWNER | kind::REMEMBERED_UNPROTECTED | kind::REMEMBERED => {
                let has_owner = code != kind::REMEMBERED_WITHOUT_OWNER;
                let is_protected = code == kind::REMEMBERED;
                Record::Remembered {
                    owner: if has_owner { Some(fields.number_u32()?) } else { None },
                    id_scope: fields.number_u32()?,
                    id: fields.bytes()?,
                    at: Micros(fields.number()?),
                    outcome: fields.final_outcome()?,
                    protected_until: if is_protected { Some(Micros(fields.number()?)) } else { None },
                    history: if is_protected && fields.byte()? != 0 { Some(fields.history()?) } else { None },
                }
            }
            kind::PAUSED => Record::Paused { tenant: fields.number_u32()?, paused: fields.byte()? != 0 },
            kind::NAMED => {
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
