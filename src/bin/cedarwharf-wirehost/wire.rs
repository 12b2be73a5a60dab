//! The binary codec of the simulator's protocol: frames, records and their fields, all little-endian.

use crate::link::Batch;
use bytes::{Buf, BufMut};
use cedarwharf::{
    Action, AttemptOutcome, DestinationId, EndpointId, EndpointRecord, Event, Lifecycle, ListScope,
    MessageId, Micros, Submission,
};
use std::io::{ErrorKind, Read};

const HEADER_BYTES: usize = 20;
const REPLY_HEADER_BYTES: usize = 12;
/// Bit of a submission that the client sent before.
const RESUBMITTED: u8 = 2;
/// Bit of a submission that comes from a forwarder that died.
const FROM_DEAD_FORWARDER: u8 = 16;
/// The length of a longer frame is treated as damaged.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// A decoded record of a batch.
pub enum Input {
    /// Starts an instance.
    Start { instance: u32, seed: u64, info: Vec<u8> },
    /// Ends an instance.
    Kill { instance: u32 },
    /// Stores endpoint records under the number `bank`.
    EndpointList { bank: u16, records: Vec<EndpointRecord> },
    /// Passes the endpoint list with the number `bank` to an instance.
    EndpointRecords { instance: u32, scope: ListScope, bank: u16 },
    /// An event for the dispatcher of an instance.
    Event { instance: u32, event: Event },
    /// An attempt ended; the answer came from `endpoint` and contained `metrics`.
    AttemptEnded { instance: u32, event: Event, endpoint: EndpointId, metrics: Vec<f64> },
    /// A record that the dispatcher doesn't need.
    Ignored { instance: u32 },
}

/// Reads the next frame. Returns `None` if the input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = [0u8; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(format!("batch header: cut short after {received} of {HEADER_BYTES} bytes")),
            Ok(n) => received += n,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("standard input: {error}")),
        }
    }
    let mut fields = &header[..];
    let number = fields.get_u32_le();
    let now = Micros::from_ms(fields.get_f64_le());
    let length = fields.get_u32_le() as usize;
    let count = fields.get_u32_le();
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(format!("batch {number}: frame length {length} does not fit"));
    }
    let mut body = Vec::new();
    let body_length = (length - HEADER_BYTES) as u64;
    input.take(body_length).read_to_end(&mut body).map_err(|error| format!("standard input: {error}"))?;
    if body.len() as u64 != body_length {
        return Err(format!("batch {number}: frame cut short after {} of {body_length} bytes", body.len()));
    }
    let mut rest = &body[..];
    let mut events = Vec::new();
    for position in 0..count {
        let offset = HEADER_BYTES + body.len() - rest.len();
        let event = read_event(&mut rest)
            .map_err(|problem| format!("batch {number}, record {position} at byte {offset}: {problem}"))?;
        events.push(event);
    }
    if !rest.is_empty() {
        return Err(format!("batch {number}: {} bytes left over after {count} records", rest.len()));
    }
    Ok(Some(Batch { number, now, events }))
}

fn read_event(rest: &mut &[u8]) -> Result<Input, String> {
    let code = read_u16(rest, "code")?;
    if code == 2 {
        let bank = read_u16(rest, "bank")?;
        let count = read_u32(rest, "membersList")? as usize;
        if count > rest.len() {
            return Err(format!("membersList: count {count} does not fit"));
        }
        let records = (0..count).map(|_| read_endpoint_record(rest)).collect::<Result<_, _>>()?;
        return Ok(Input::EndpointList { bank, records });
    }
    if !(1..=11).contains(&code) {
        return Err(format!("unknown event code {code}"));
    }
    let instance = read_u32(rest, "sender")?;
    let event = match code {
        1 => {
            let seed = read_u64(rest, "randomSeed")?;
            let length = read_u32(rest, "bootInfo")? as usize;
            return Ok(Input::Start { instance, seed, info: read_bytes(rest, length, "bootInfo")?.to_vec() });
        }
        3 => {
            read_endpoint(rest)?;
            read_bytes(rest, 2 + 8, "check_result")?;
            read_metrics(rest)?;
            return Ok(Input::Ignored { instance });
        }
        4 => return Ok(Input::Kill { instance }),
        5 => Event::Withdrawn(MessageId(read_u32(rest, "corr")?)),
        6 => {
            read_u64(rest, "nonce")?;
            Event::Wake
        }
        7 => {
            read_bytes(rest, 4 + 2 + 6 + 8, "first")?;
            return Ok(Input::Ignored { instance });
        }
        8 => {
            let id = MessageId(read_u32(rest, "corr")?);
            let destination = DestinationId(read_f32(rest, "toExchange")?.round() as u64);
            let time_left = read_ms(rest, "graceMs")?;
            let resubmitted = read_bytes(rest, 1, "bits")?[0] & (RESUBMITTED | FROM_DEAD_FORWARDER) != 0;
            read_f64(rest, "costGuessMs")?;
            let class = read_u16(rest, "qos")? as usize;
            let key = Some(read_u64(rest, "nameKey")?).filter(|&key| key != 0);
            let tenant = read_u16(rest, "owner")? as usize;
            Event::Message(id, Submission { destination, time_left, class, key, tenant, resubmitted })
        }
        9 => {
            let id = MessageId(read_u32(rest, "corr")?);
            let attempt = read_u16(rest, "try")? as u32;
            let endpoint = read_endpoint(rest)?;
            let how = read_u16(rest, "how")?;
            let spent = read_ms(rest, "spentMs")?;
            let closed = read_bytes(rest, 1, "doneFlag")?[0] != 0;
            let outcome = attempt_outcome(how, read_u32(rest, "remarkMs")?)?;
            let metrics = read_metrics(rest)?;
            let event = Event::AttemptEnded { id, attempt, outcome, spent, closed };
            return Ok(Input::AttemptEnded { instance, event, endpoint, metrics });
        }
        10 => {
            let scope = match read_bytes(rest, 1, "scope")?[0] {
                0 => ListScope::Changes,
                1 => ListScope::Whole,
                2 => ListScope::Cached,
                3 => ListScope::Failed,
                other => return Err(format!("scope: unknown value {other}")),
            };
            read_u32(rest, "gen")?;
            return Ok(Input::EndpointRecords { instance, scope, bank: read_u16(rest, "bank")? });
        }
        _ => {
            read_u32(rest, "originPeer")?;
            let length = read_u16(rest, "octets")? as usize;
            read_bytes(rest, length, "octets")?;
            return Ok(Input::Ignored { instance });
        }
    };
    Ok(Input::Event { instance, event })
}

fn read_endpoint_record(rest: &mut &[u8]) -> Result<EndpointRecord, String> {
    Ok(EndpointRecord {
        endpoint: read_endpoint(rest)?,
        zone: read_u16(rest, "hall")? as u32,
        kind: read_u16(rest, "sku")? as usize,
        destination: DestinationId(read_u16(rest, "dest")? as u64),
        lifecycle: match read_bytes(rest, 1, "lifecycle")?[0] {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return Err(format!("lifecycle: unknown value {other}")),
        },
        weight: {
            let weight = read_f32(rest, "rating")? as f64;
            read_f64(rest, "startTimeMs")?;
            weight
        },
    })
}

/// The attempt outcome of a status code; `remark` is the retry-after in milliseconds, 0 for none.
fn attempt_outcome(how: u16, remark: u32) -> Result<AttemptOutcome, String> {
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

fn read_endpoint(rest: &mut &[u8]) -> Result<EndpointId, String> {
    let address = read_u32(rest, "receiver")? as u64;
    let port = read_u16(rest, "receiver")? as u64;
    Ok(EndpointId(address | port << 32))
}

fn read_metrics(rest: &mut &[u8]) -> Result<Vec<f64>, String> {
    let count = read_bytes(rest, 1, "metrics")?[0];
    (0..count).map(|_| read_f32(rest, "metrics").map(f64::from)).collect()
}

fn too_short(field: &str) -> impl Fn(bytes::TryGetError) -> String + '_ {
    move |error| format!("{field}: needs {} bytes, {} left", error.requested, error.available)
}

fn read_u16(rest: &mut &[u8], field: &str) -> Result<u16, String> {
    rest.try_get_u16_le().map_err(too_short(field))
}

fn read_u32(rest: &mut &[u8], field: &str) -> Result<u32, String> {
    rest.try_get_u32_le().map_err(too_short(field))
}

fn read_u64(rest: &mut &[u8], field: &str) -> Result<u64, String> {
    rest.try_get_u64_le().map_err(too_short(field))
}

fn read_f32(rest: &mut &[u8], field: &str) -> Result<f32, String> {
    rest.try_get_f32_le().map_err(too_short(field))
}

fn read_f64(rest: &mut &[u8], field: &str) -> Result<f64, String> {
    rest.try_get_f64_le().map_err(too_short(field))
}

fn read_ms(rest: &mut &[u8], field: &str) -> Result<Micros, String> {
    read_f64(rest, field).map(Micros::from_ms)
}

fn read_bytes<'a>(rest: &mut &'a [u8], length: usize, field: &str) -> Result<&'a [u8], String> {
    if length > rest.len() {
        return Err(format!("{field}: needs {length} bytes, {} left", rest.len()));
    }
    let (field_bytes, remaining) = rest.split_at(length);
    *rest = remaining;
    Ok(field_bytes)
}

/// The encoder of the reply to one batch.
pub struct Reply {
    frame: Vec<u8>,
    count: u32,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut frame = Vec::with_capacity(256);
        frame.put_u32_le(number);
        frame.put_bytes(0, REPLY_HEADER_BYTES - 4);
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
