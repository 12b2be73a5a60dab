//! The binary codec: frames, records and their fields, all little-endian.

use crate::link::Batch;
use bytes::{Buf, BufMut};
use cedarwharf::{
    Action, AttemptOutcome, DestinationId, EndpointId, EndpointRecord, Event, Lifecycle, ListScope,
    MessageId, Micros, Submission,
};
use std::io::{ErrorKind, Read};

const HEADER: usize = 20;
const REPLY_HEADER: usize = 12;
/// Bits of an accepted message.
const HANDED_IN_AGAIN: u8 = 2;
const FROM_DEAD_SENDER: u8 = 16;
/// A frame longer than this is taken for a damaged length.
const LONGEST_FRAME: usize = 1 << 30;

/// An event as it stands on the wire.
pub enum Input {
    Begin {
        instance: u32,
        seed: u64,
        info: Vec<u8>,
    },
    Kill {
        instance: u32,
    },
    Ledger {
        bank: u16,
        members: Vec<EndpointRecord>,
    },
    Fleet {
        instance: u32,
        scope: ListScope,
        bank: u16,
    },
    For {
        instance: u32,
        event: Event,
    },
    /// An attempt ended; the answer was from this endpoint and carried these figures.
    Settled {
        instance: u32,
        event: Event,
        endpoint: EndpointId,
        figures: Vec<f64>,
    },
    Unneeded {
        instance: u32,
    },
}

/// Reads the next frame; `None` when the input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = [0u8; HEADER];
    let mut got = 0;
    while got < HEADER {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("batch header: cut short after {got} of {HEADER} bytes")),
            Ok(n) => got += n,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("standard input: {error}")),
        }
    }
    let mut fields = &header[..];
    let number = fields.get_u32_le();
    let now = Micros::from_ms(fields.get_f64_le());
    let length = fields.get_u32_le() as usize;
    let count = fields.get_u32_le();
    if !(HEADER..=LONGEST_FRAME).contains(&length) {
        return Err(format!("batch {number}: frame length {length} does not fit"));
    }
    let mut body = Vec::new();
    let wanted = (length - HEADER) as u64;
    input.take(wanted).read_to_end(&mut body).map_err(|error| format!("standard input: {error}"))?;
    if body.len() as u64 != wanted {
        return Err(format!("batch {number}: frame cut short after {} of {wanted} bytes", body.len()));
    }
    let mut rest = &body[..];
    let mut events = Vec::new();
    for position in 0..count {
        let at = HEADER + body.len() - rest.len();
        let event = read_event(&mut rest)
            .map_err(|problem| format!("batch {number}, record {position} at byte {at}: {problem}"))?;
        events.push(event);
    }
    if !rest.is_empty() {
        return Err(format!("batch {number}: {} bytes left over after {count} records", rest.len()));
    }
    Ok(Some(Batch { number, now, events }))
}

fn read_event(rest: &mut &[u8]) -> Result<Input, String> {
    let code = u16f(rest, "code")?;
    if code == 2 {
        let bank = u16f(rest, "bank")?;
        let count = u32f(rest, "membersList")? as usize;
        if count > rest.len() {
            return Err(format!("membersList: count {count} does not fit"));
        }
        let members = (0..count).map(|_| read_member(rest)).collect::<Result<_, _>>()?;
        return Ok(Input::Ledger { bank, members });
    }
    if !(1..=11).contains(&code) {
        return Err(format!("unknown event code {code}"));
    }
    let instance = u32f(rest, "sender")?;
    let event = match code {
        1 => {
            let seed = u64f(rest, "randomSeed")?;
            let length = u32f(rest, "bootInfo")? as usize;
            return Ok(Input::Begin { instance, seed, info: bytes(rest, length, "bootInfo")?.to_vec() });
        }
        3 => {
            endpoint(rest)?;
            bytes(rest, 2 + 8, "check_result")?;
            metrics(rest)?;
            return Ok(Input::Unneeded { instance });
        }
        4 => return Ok(Input::Kill { instance }),
        5 => Event::Withdrawn(MessageId(u32f(rest, "corr")?)),
        6 => {
            u64f(rest, "nonce")?;
            Event::Wake
        }
        7 => {
            bytes(rest, 4 + 2 + 6 + 8, "first")?;
            return Ok(Input::Unneeded { instance });
        }
        8 => {
            let id = MessageId(u32f(rest, "corr")?);
            let destination = DestinationId(f32f(rest, "toExchange")?.round() as u64);
            let time_left = ms(rest, "graceMs")?;
            let again = bytes(rest, 1, "bits")?[0] & (HANDED_IN_AGAIN | FROM_DEAD_SENDER) != 0;
            f64f(rest, "costGuessMs")?;
            let class = u16f(rest, "qos")? as usize;
            let key = Some(u64f(rest, "nameKey")?).filter(|&key| key != 0);
            let tenant = u16f(rest, "owner")? as usize;
            Event::Message(id, Submission { destination, time_left, class, key, tenant, resubmitted: again })
        }
        9 => {
            let id = MessageId(u32f(rest, "corr")?);
            let attempt = u16f(rest, "try")? as u32;
            let endpoint = endpoint(rest)?;
            let how = u16f(rest, "how")?;
            let spent = ms(rest, "spentMs")?;
            let closed = bytes(rest, 1, "doneFlag")?[0] != 0;
            let outcome = outcome(how, u32f(rest, "remarkMs")?)?;
            let figures = metrics(rest)?;
            let event = Event::AttemptEnded { id, attempt, outcome, spent, closed };
            return Ok(Input::Settled { instance, event, endpoint, figures });
        }
        10 => {
            let scope = match bytes(rest, 1, "scope")?[0] {
                0 => ListScope::Changes,
                1 => ListScope::Whole,
                2 => ListScope::Cached,
                3 => ListScope::Failed,
                other => return Err(format!("scope: unknown value {other}")),
            };
            u32f(rest, "gen")?;
            return Ok(Input::Fleet { instance, scope, bank: u16f(rest, "bank")? });
        }
        _ => {
            u32f(rest, "originPeer")?;
            let length = u16f(rest, "octets")? as usize;
            bytes(rest, length, "octets")?;
            return Ok(Input::Unneeded { instance });
        }
    };
    Ok(Input::For { instance, event })
}

fn read_member(rest: &mut &[u8]) -> Result<EndpointRecord, String> {
    Ok(EndpointRecord {
        endpoint: endpoint(rest)?,
        zone: u16f(rest, "hall")? as u32,
        kind: u16f(rest, "sku")? as usize,
        destination: DestinationId(u16f(rest, "dest")? as u64),
        lifecycle: match bytes(rest, 1, "lifecycle")?[0] {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return Err(format!("lifecycle: unknown value {other}")),
        },
        weight: {
            let weight = f32f(rest, "rating")? as f64;
            f64f(rest, "startTimeMs")?;
            weight
        },
    })
}

fn outcome(how: u16, remark: u32) -> Result<AttemptOutcome, String> {
    Ok(match how {
        200 => AttemptOutcome::Delivered,
        502 => AttemptOutcome::Error,
        429 => AttemptOutcome::Rejected { retry_after: (remark > 0).then(|| Micros(remark as u64 * 1000)) },
        408 => AttemptOutcome::TimedOut,
        521 => AttemptOutcome::ConnectFailed,
        520 => AttemptOutcome::Reset,
        444 => AttemptOutcome::Cancelled,
        409 => AttemptOutcome::NotSent,
        other => return Err(format!("how: unknown outcome {other}")),
    })
}

fn endpoint(rest: &mut &[u8]) -> Result<EndpointId, String> {
    let address = u32f(rest, "receiver")? as u64;
    let port = u16f(rest, "receiver")? as u64;
    Ok(EndpointId(address | port << 32))
}

fn metrics(rest: &mut &[u8]) -> Result<Vec<f64>, String> {
    let count = bytes(rest, 1, "metrics")?[0];
    (0..count).map(|_| f32f(rest, "metrics").map(f64::from)).collect()
}

fn short(field: &str) -> impl Fn(bytes::TryGetError) -> String + '_ {
    move |error| format!("{field}: needs {} bytes, {} left", error.requested, error.available)
}

fn u16f(rest: &mut &[u8], field: &str) -> Result<u16, String> {
    rest.try_get_u16_le().map_err(short(field))
}

fn u32f(rest: &mut &[u8], field: &str) -> Result<u32, String> {
    rest.try_get_u32_le().map_err(short(field))
}

fn u64f(rest: &mut &[u8], field: &str) -> Result<u64, String> {
    rest.try_get_u64_le().map_err(short(field))
}

fn f32f(rest: &mut &[u8], field: &str) -> Result<f32, String> {
    rest.try_get_f32_le().map_err(short(field))
}

fn f64f(rest: &mut &[u8], field: &str) -> Result<f64, String> {
    rest.try_get_f64_le().map_err(short(field))
}

fn ms(rest: &mut &[u8], field: &str) -> Result<Micros, String> {
    f64f(rest, field).map(Micros::from_ms)
}

fn bytes<'a>(rest: &mut &'a [u8], length: usize, field: &str) -> Result<&'a [u8], String> {
    if length > rest.len() {
        return Err(format!("{field}: needs {length} bytes, {} left", rest.len()));
    }
    let (taken, after) = rest.split_at(length);
    *rest = after;
    Ok(taken)
}

/// The reply to one batch, being written.
pub struct Reply {
    frame: Vec<u8>,
    count: u32,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut frame = Vec::with_capacity(256);
        frame.put_u32_le(number);
        frame.put_bytes(0, REPLY_HEADER - 4);
        Reply { frame, count: 0 }
    }

    pub fn push(&mut self, instance: u32, action: &Action) {
        let code = match action {
            Action::Subscribe => 2,
            Action::CloseIdle(_) => 4,
            Action::Fail(_) => 5,
            Action::Cancel { .. } => 6,
            Action::Send { .. } => 7,
            Action::WakeIn(_) => 8,
            Action::Reject { .. } => 9,
            Action::Log(_) => 10,
        };
        self.count += 1;
        let out = &mut self.frame;
        out.put_u16_le(code);
        out.put_u32_le(instance);
        match action {
            Action::Subscribe => out.put_u8(1),
            Action::CloseIdle(endpoint) => put_endpoint(out, *endpoint),
            Action::Fail(id) => out.put_u32_le(id.0),
            Action::Send { id, endpoint, timeout, .. } => {
                out.put_u32_le(id.0);
                put_endpoint(out, *endpoint);
                out.put_f64_le(timeout.as_ms());
            }
            Action::Cancel { id, attempt } => {
                out.put_u32_le(id.0);
                out.put_u16_le(*attempt as u16);
            }
            Action::WakeIn(delay) => {
                out.put_f64_le(delay.as_ms());
                out.put_u64_le(0);
            }
            Action::Reject { id, retry_after } => {
                out.put_u32_le(id.0);
                out.put_f64_le(retry_after.as_ms());
            }
            Action::Log(line) => {
                let line = &line.as_bytes()[..line.len().min(u16::MAX as usize)];
                out.put_u16_le(line.len() as u16);
                out.put_slice(line);
            }
        }
    }

    pub fn finish(mut self) -> Vec<u8> {
        let length = self.frame.len() as u32;
        self.frame[4..8].copy_from_slice(&self.count.to_le_bytes());
        self.frame[8..12].copy_from_slice(&length.to_le_bytes());
        self.frame
    }
}

fn put_endpoint(out: &mut Vec<u8>, endpoint: EndpointId) {
    out.put_u32_le(endpoint.0 as u32);
    out.put_u16_le((endpoint.0 >> 32) as u16);
}
