//! Endpoint records from DNS-SD (RFC 6763), queried over TCP from a configured resolver: PTR records name the
//! instances; SRV and TXT records give their addresses and properties. A failed lookup keeps the last list; a name
//! that does not exist has no records.
//!
//! TXT keys: `cell` (the destination's number, required), `kind`, `zone`, and `state=draining`.

use super::identity::EndpointIdentity;
use super::{ListEntry, ListUpdate, Names};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::Stream;
use crate::{DestinationId, EndpointRecord, Lifecycle, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

const A: u16 = 1;
const PTR: u16 = 12;
const TXT: u16 = 16;
const AAAA: u16 = 28;
const SRV: u16 = 33;
/// Response codes of answers that say what exists: the second says that the name does not, as when the last
/// instance of a service was withdrawn.
const NO_ERROR: u16 = 0;
const NAME_ERROR: u16 = 3;
/// A lookup that takes longer has failed.
const LOOKUP_TIMEOUT: Micros = Micros(3_000_000);
/// Time from a failed lookup to the next one.
const FAILURE_BACKOFF: Micros = Micros(5_000_000);
/// The next lookup starts when the first record expires, but within these bounds.
const MIN_TTL_SECONDS: u32 = 1;
const MAX_TTL_SECONDS: u32 = 300;
/// Largest memory of the records of one lookup, in bytes: far more than the instances need.
const MAX_RECORD_BYTES: usize = 2 << 20;
/// Largest number of instances of the service.
const MAX_INSTANCES: usize = 256;

#[derive(Clone, Debug, PartialEq)]
enum Data {
    Pointer(String),
    Service(String, u16),
    Text(BTreeMap<String, String>),
    Address(IpAddr),
}

#[derive(Clone, Debug, PartialEq)]
struct Record {
    name: String,
    ttl: u32,
    data: Data,
}

impl Record {
    /// Approximate bytes of memory that it takes.
    fn memory_bytes(&self) -> usize {
        let data = match &self.data {
            Data::Pointer(name) | Data::Service(name, _) => name.len(),
            Data::Text(pairs) => pairs.iter().map(|(key, value)| key.len() + value.len() + 64).sum(),
            Data::Address(_) => 0,
        };
        std::mem::size_of::<Record>() + self.name.len() + data
    }
}

/// Looks up the instances of one DNS-SD service.
pub struct DnsSd {
    resolver: SocketAddr,
    service: String,
    names: Names,
    stream: Option<Stream>,
    token: u64,
    /// Queries without an answer, by their id.
    pending: BTreeMap<u16, (String, u16)>,
    answered: BTreeSet<(String, u16)>,
    records: Vec<Record>,
    /// Memory of these records.
    record_bytes: usize,
    deadline: Option<Micros>,
    next_lookup_at: Micros,
}

impl DnsSd {
    /// The resolver that is asked, and the service that is looked up.
    pub fn target(&self) -> (SocketAddr, &str) {
        (self.resolver, &self.service)
    }

    /// Creates a lookup without any known entries.
    pub fn new(resolver: SocketAddr, service: &str, names: Names) -> DnsSd {
        DnsSd {
            resolver,
            service: service.trim_end_matches('.').to_ascii_lowercase(),
            names,
            stream: None,
            token: 0,
            pending: BTreeMap::new(),
            answered: BTreeSet::new(),
            records: Vec::new(),
            record_bytes: 0,
            deadline: None,
            next_lookup_at: Micros(0),
        }
    }

    /// Starts a lookup when the records of the last one expire; ends a lookup that takes too long.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            self.fail(now, "timed out");
        }
        if self.deadline.is_some() || self.next_lookup_at > now {
            return;
        }
        self.deadline = Some(now.plus(LOOKUP_TIMEOUT));
        self.token = poll.token(Peer::Resolver);
        self.stream = Stream::connect(poll, self.token, self.resolver).ok();
        let service = self.service.clone();
        self.send_questions(poll, &[(service, PTR)], now);
    }

    /// When [`DnsSd::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.deadline.or(Some(self.next_lookup_at))
    }

    /// Handles the resolver's connection when it is ready; returns the complete list once a lookup is complete.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros) -> Option<ListUpdate> {
        let stream = self.stream.as_mut().filter(|_| token == self.token)?;
        let ended = stream.ready(poll).is_err() || stream.ended;
        while let Some(message) = next_message(&mut stream.input) {
            let Some((id, records)) = read_message(&message) else {
                self.fail(now, "the resolver returned an error or a malformed answer");
                return None;
            };
            let Some(question) = self.pending.remove(&id) else { continue };
            self.answered.insert(question);
            self.record_bytes += records.iter().map(Record::memory_bytes).sum::<usize>();
            if self.record_bytes > MAX_RECORD_BYTES {
                self.fail(now, "the resolver's records take too much memory");
                return None;
            }
            self.records.extend(records);
        }
        if !self.pending.is_empty() {
            if ended {
                self.fail(now, "the resolver closed the connection");
            }
            return None;
        }
        let questions = self.open_questions();
        if !questions.is_empty() && !ended {
            self.send_questions(poll, &questions, now);
            return None;
        }
        if !questions.is_empty() {
            self.fail(now, "the resolver closed the connection");
            return None;
        }
        Some(self.finish(now))
    }

    fn send_questions(&mut self, poll: &Poll, questions: &[(String, u16)], now: Micros) {
        let mut out = Vec::new();
        for (name, kind) in questions {
            let id = (self.answered.len() + self.pending.len() + 1) as u16;
            let message = write_question(id, name, *kind);
            out.extend((message.len() as u16).to_be_bytes());
            out.extend(message);
            self.pending.insert(id, (name.clone(), *kind));
        }
        let sent = self.stream.as_mut().map(|stream| stream.send(poll, &out));
        if !matches!(sent, Some(Ok(()))) {
            self.fail(now, "cannot connect to the resolver");
        }
    }

    fn fail(&mut self, now: Micros, reason: &str) {
        log!("dns-sd: lookup of {} failed, keeping the last list: {reason}", self.service);
        self.reset();
        self.next_lookup_at = now.plus(FAILURE_BACKOFF);
    }

    fn reset(&mut self) {
        (self.stream, self.deadline) = (None, None);
        self.pending.clear();
        self.answered.clear();
        (self.records, self.record_bytes) = (Vec::new(), 0);
    }

    fn instance_names(&self) -> Vec<String> {
        let instance_of = |record: &Record| match &record.data {
            // A record with a time to live of 0 is a goodbye.
            Data::Pointer(instance) if record.name == self.service && record.ttl > 0 => {
                Some(instance.clone())
            }
            _ => None,
        };
        let names: BTreeSet<String> = self.records.iter().filter_map(instance_of).collect();
        names.into_iter().take(MAX_INSTANCES).collect()
    }

    fn find<'a, T>(&'a self, name: &str, pick: impl Fn(&'a Data) -> Option<T>) -> Option<T> {
        let mut matching = self.records.iter().filter(|record| record.name == name && record.ttl > 0);
        matching.find_map(|record| pick(&record.data))
    }

    fn service_of(&self, instance: &str) -> Option<(&str, u16)> {
        self.find(instance, |data| match data {
            Data::Service(host, port) => Some((host.as_str(), *port)),
            _ => None,
        })
    }

    fn text_of(&self, instance: &str) -> Option<&BTreeMap<String, String>> {
        self.find(instance, |data| if let Data::Text(pairs) = data { Some(pairs) } else { None })
    }

    fn address_of(&self, host: &str) -> Option<IpAddr> {
        self.find(host, |data| if let Data::Address(address) = data { Some(*address) } else { None })
    }

    /// The queries still needed. Additional records of earlier answers make some queries unnecessary.
    fn open_questions(&self) -> Vec<(String, u16)> {
        let mut wanted = BTreeSet::new();
        for instance in self.instance_names() {
            if self.text_of(&instance).is_none() {
                wanted.insert((instance.clone(), TXT));
            }
            match self.service_of(&instance) {
                None => {
                    wanted.insert((instance, SRV));
                }
                Some((host, _)) if self.address_of(host).is_none() => {
                    wanted.extend([(host.to_owned(), A), (host.to_owned(), AAAA)]);
                }
                Some(_) => {}
            }
        }
        wanted.retain(|question| !self.answered.contains(question));
        wanted.into_iter().collect()
    }

    /// Ends a complete lookup and returns the entries that it found.
    fn finish(&mut self, now: Micros) -> ListUpdate {
        let entries = self.instance_names().iter().filter_map(|instance| self.entry(instance)).collect();
        let ttl = self.records.iter().map(|record| record.ttl).min().unwrap_or(MIN_TTL_SECONDS);
        let ttl = ttl.clamp(MIN_TTL_SECONDS, MAX_TTL_SECONDS);
        self.reset();
        self.next_lookup_at = now.plus(Micros(u64::from(ttl) * 1_000_000));
        ListUpdate { generation: 0, whole: true, entries }
    }

    fn entry(&self, instance: &str) -> Option<ListEntry> {
        let (host, port) = self.service_of(instance)?;
        let (address, text) = (self.address_of(host)?, self.text_of(instance)?);
        let get = |key: &str| text.get(key).map_or("", String::as_str);
        let index_of = |known: &[String], name: &str| {
            known.iter().position(|one| one.eq_ignore_ascii_case(name)).unwrap_or(known.len())
        };
        let draining = get("state").eq_ignore_ascii_case("draining");
        let destination = DestinationId(get("cell").parse().ok()?);
        let zone = index_of(&self.names.zones, get("zone")) as u32;
        let kind = index_of(&self.names.kinds, get("kind"));
        let address = Some(SocketAddr::new(address, port));
        let identity = EndpointIdentity {
            name: instance,
            destination,
            kind: self.names.kind(kind),
            zone: self.names.zone(zone),
            address,
        };
        let record = EndpointRecord {
            endpoint: identity.id(),
            destination,
            zone,
            kind,
            lifecycle: if draining { Lifecycle::Draining } else { Lifecycle::Ready },
            weight: 1.0,
        };
        Some(ListEntry { name: instance.to_owned(), record, address, started_at_ms: 0 })
    }
}

/// Removes a complete message from the front of the input.
fn next_message(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let length = usize::from(u16::from_be_bytes([*input.first()?, *input.get(1)?]));
    let message = input.get(2..2 + length)?.to_vec();
    input.drain(..2 + length);
    Some(message)
}

fn write_question(id: u16, name: &str, kind: u16) -> Vec<u8> {
    let mut out = id.to_be_bytes().to_vec();
    // Flags: recursion desired. Counts: one question.
    out.extend([1, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in split_labels(name) {
        out.push(label.len().min(63) as u8);
        out.extend(&label.as_bytes()[..label.len().min(63)]);
    }
    out.push(0);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1]);
    out
}

/// Splits a name in text form into labels; a backslash escapes a dot within a label.
fn split_labels(name: &str) -> Vec<String> {
    let (mut labels, mut label, mut escaped) = (Vec::new(), String::new(), false);
    for letter in name.chars() {
        match letter {
            '\\' if !escaped => escaped = true,
            '.' if !escaped => labels.push(std::mem::take(&mut label)),
            letter => {
                escaped = false;
                label.push(letter);
            }
        }
    }
    labels.push(label);
    labels.into_iter().filter(|label| !label.is_empty()).collect()
}

/// The id and records of an answer; `None` if the answer is an error other than that the name does not exist,
/// truncated or malformed.
fn read_message(message: &[u8]) -> Option<(u16, Vec<Record>)> {
    let mut at = 0;
    let id = read_u16(message, &mut at)?;
    let flags = read_u16(message, &mut at)?;
    let is_answer = flags & 0x8000 != 0;
    let (is_truncated, response_code) = (flags & 0x0200 != 0, flags & 0x000F);
    if !is_answer || is_truncated || !matches!(response_code, NO_ERROR | NAME_ERROR) {
        return None;
    }
    let questions = read_u16(message, &mut at)?;
    let records = (0..3).map(|_| read_u16(message, &mut at)).sum::<Option<u16>>()?;
    for _ in 0..questions {
        read_name(message, &mut at)?;
        at += 4;
    }
    let mut found = Vec::new();
    for _ in 0..records {
        let owner = read_name(message, &mut at)?;
        let (kind, class) = (read_u16(message, &mut at)?, read_u16(message, &mut at)?);
        let ttl = u32::from(read_u16(message, &mut at)?) << 16 | u32::from(read_u16(message, &mut at)?);
        let length = usize::from(read_u16(message, &mut at)?);
        let end = at + length;
        let bytes = message.get(at..end)?;
        let data = match kind {
            PTR => Some(Data::Pointer(read_name(message, &mut at)?)),
            SRV => {
                at += 4; // priority and weight
                let port = read_u16(message, &mut at)?;
                Some(Data::Service(read_name(message, &mut at)?, port))
            }
            TXT => Some(Data::Text(parse_text(bytes)?)),
            A => Some(Data::Address(IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::try_from(bytes).ok()?)))),
            AAAA => Some(Data::Address(IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(bytes).ok()?)))),
            _ => None,
        };
        at = end;
        found.extend(data.filter(|_| class & 0x7FFF == 1).map(|data| Record { name: owner, ttl, data }));
    }
    Some((id, found))
}

fn read_u16(message: &[u8], at: &mut usize) -> Option<u16> {
    let bytes = message.get(*at..*at + 2)?;
    *at += 2;
    Some(u16::from_be_bytes([bytes[0], bytes[1]]))
}

/// Reads a name in lower case. Compression pointers may only point backwards, so a message cannot form a
/// loop.
fn read_name(message: &[u8], at: &mut usize) -> Option<String> {
    let (mut text, mut from, mut jumped) = (String::new(), *at, false);
    loop {
        let length = usize::from(*message.get(from)?);
        match length {
            0 => {
                if !jumped {
                    *at = from + 1;
                }
                return Some(text);
            }
            1..64 => {
                let label = message.get(from + 1..from + 1 + length)?;
                if !text.is_empty() {
                    text.push('.');
                }
                let label = String::from_utf8_lossy(label).to_ascii_lowercase();
                text.push_str(&label.replace('\\', "\\\\").replace('.', "\\."));
                from += 1 + length;
            }
            192.. => {
                let to = (length & 63) << 8 | usize::from(*message.get(from + 1)?);
                if !jumped {
                    *at = from + 2;
                }
                if to >= from || text.len() > 1024 {
                    return None;
                }
                (from, jumped) = (to, true);
            }
            _ => return None,
        }
    }
}

/// Parses the `key=value` strings of a TXT record. Keys are case-insensitive; the first of equal keys counts.
fn parse_text(mut bytes: &[u8]) -> Option<BTreeMap<String, String>> {
    let mut pairs = BTreeMap::new();
    while let Some((&length, rest)) = bytes.split_first() {
        let (text, rest) = rest.split_at_checked(length.into())?;
        let text = String::from_utf8_lossy(text);
        let (key, value) = text.split_once('=').unwrap_or((&text, ""));
        if !key.is_empty() {
            pairs.entry(key.to_ascii_lowercase()).or_insert_with(|| value.to_owned());
        }
        bytes = rest;
    }
    Some(pairs)
}

#[cfg(test)]
mod tests;
