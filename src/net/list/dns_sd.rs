//! Service entries from DNS-SD records (RFC 6763), asked over TCP from a configured resolver: PTR names the
//! instances, SRV and TXT tell where each is and what it is. A failed lookup keeps the last list.
//!
//! TXT keys: `cell` (the destination's number, needed), `kind`, `zone`, and `state=draining`.

use super::{endpoint_id, Entry, Names, News};
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
/// A lookup takes no longer.
const PATIENCE: Micros = Micros(3_000_000);
/// After a failure.
const PAUSE: Micros = Micros(5_000_000);
/// Records are asked for again when the first of them runs out, within these bounds.
const SOONEST: u32 = 1;
const LATEST: u32 = 300;
/// Instances of the service at most.
const MOST: usize = 256;

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

/// See the module's text.
pub struct DnsSd {
    resolver: SocketAddr,
    service: String,
    names: Names,
    stream: Option<Stream>,
    token: u64,
    /// Questions that are out, by their number.
    asked: BTreeMap<u16, (String, u16)>,
    done: BTreeSet<(String, u16)>,
    records: Vec<Record>,
    until: Option<Micros>,
    next_at: Micros,
    current: Vec<Entry>,
}

impl DnsSd {
    /// Nothing known yet.
    pub fn new(resolver: SocketAddr, service: &str, names: Names) -> DnsSd {
        DnsSd {
            resolver,
            service: service.trim_end_matches('.').to_ascii_lowercase(),
            names,
            stream: None,
            token: 0,
            asked: BTreeMap::new(),
            done: BTreeSet::new(),
            records: Vec::new(),
            until: None,
            next_at: Micros(0),
            current: Vec::new(),
        }
    }

    /// Goes on with what another lookup had found: what the next one does not find is told as gone.
    pub fn follow(&mut self, other: DnsSd) {
        self.current = other.current;
    }

    /// The same with what another process had found.
    pub fn follow_up(&mut self, found: Vec<Entry>) {
        self.current = found;
    }

    /// All that was found goes.
    pub fn gone(self) -> News {
        let mut entries = self.current;
        entries.iter_mut().for_each(|entry| entry.member.lifecycle = Lifecycle::Gone);
        News { generation: 0, whole: false, entries }
    }

    /// The entries as last found.
    pub fn current(&self) -> &[Entry] {
        &self.current
    }

    /// Starts a lookup when the last one's records run out; ends one that takes too long.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.until.is_some_and(|until| until <= now) {
            self.fail(now, "no answer");
        }
        if self.until.is_some() || self.next_at > now {
            return;
        }
        self.until = Some(now.plus(PATIENCE));
        self.token = poll.token(Peer::Resolver);
        self.stream = Stream::connect(poll, self.token, self.resolver).ok();
        let service = self.service.clone();
        self.ask(poll, &[(service, PTR)], now);
    }

    /// When [`DnsSd::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.until.or(Some(self.next_at))
    }

    /// The resolver's connection is ready: what has changed, once a lookup is whole.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros) -> Option<News> {
        let stream = self.stream.as_mut().filter(|_| token == self.token)?;
        let over = stream.ready(poll).is_err() || stream.ended;
        while let Some(message) = next_message(&mut stream.input) {
            let Some((id, records)) = read_message(&message) else {
                self.fail(now, "an answer that is an error or cannot be read");
                return None;
            };
            if let Some(question) = self.asked.remove(&id) {
                self.done.insert(question);
                self.records.extend(records);
            }
        }
        if !self.asked.is_empty() {
            if over {
                self.fail(now, "the connection ended");
            }
            return None;
        }
        let more = self.missing();
        if !more.is_empty() && !over {
            self.ask(poll, &more, now);
            return None;
        }
        if !more.is_empty() {
            self.fail(now, "the connection ended");
            return None;
        }
        Some(self.finish(now))
    }

    fn ask(&mut self, poll: &Poll, questions: &[(String, u16)], now: Micros) {
        let mut out = Vec::new();
        for (name, kind) in questions {
            let id = (self.done.len() + self.asked.len() + 1) as u16;
            let message = question(id, name, *kind);
            out.extend((message.len() as u16).to_be_bytes());
            out.extend(message);
            self.asked.insert(id, (name.clone(), *kind));
        }
        let sent = self.stream.as_mut().map(|stream| stream.send(poll, &out));
        if !matches!(sent, Some(Ok(()))) {
            self.fail(now, "no connection");
        }
    }

    fn fail(&mut self, now: Micros, why: &str) {
        log!("dns-sd: lookup of {} failed, the last list stays: {why}", self.service);
        self.reset();
        self.next_at = now.plus(PAUSE);
    }

    fn reset(&mut self) {
        (self.stream, self.until) = (None, None);
        self.asked.clear();
        self.done.clear();
        self.records.clear();
    }

    fn instances(&self) -> Vec<String> {
        let of = |record: &Record| match &record.data {
            // A record with no time to live is a goodbye.
            Data::Pointer(instance) if record.name == self.service && record.ttl > 0 => {
                Some(instance.clone())
            }
            _ => None,
        };
        let names: BTreeSet<String> = self.records.iter().filter_map(of).collect();
        names.into_iter().take(MOST).collect()
    }

    fn find<'a, T>(&'a self, name: &str, pick: impl Fn(&'a Data) -> Option<T>) -> Option<T> {
        let mut of = self.records.iter().filter(|record| record.name == name && record.ttl > 0);
        of.find_map(|record| pick(&record.data))
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

    /// What is still to be asked: additional records of earlier answers spare a question.
    fn missing(&self) -> Vec<(String, u16)> {
        let mut wanted = BTreeSet::new();
        for instance in self.instances() {
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
        wanted.retain(|question| !self.done.contains(question));
        wanted.into_iter().collect()
    }

    /// A whole lookup: the entries, and as news what they change.
    fn finish(&mut self, now: Micros) -> News {
        let found: Vec<Entry> = self.instances().iter().filter_map(|instance| self.entry(instance)).collect();
        let lives = self.records.iter().map(|record| record.ttl).min().unwrap_or(SOONEST);
        let lives = lives.clamp(SOONEST, LATEST);
        self.reset();
        self.next_at = now.plus(Micros(u64::from(lives) * 1_000_000));
        let gone = self.current.iter().filter(|known| found.iter().all(|one| one.name != known.name));
        let mut entries: Vec<Entry> = gone.cloned().collect();
        entries.iter_mut().for_each(|entry| entry.member.lifecycle = Lifecycle::Gone);
        entries.extend(found.iter().filter(|one| !self.current.contains(one)).cloned());
        self.current = found;
        News { generation: 0, whole: false, entries }
    }

    fn entry(&self, instance: &str) -> Option<Entry> {
        let (host, port) = self.service_of(instance)?;
        let (address, text) = (self.address_of(host)?, self.text_of(instance)?);
        let get = |key: &str| text.get(key).map_or("", String::as_str);
        let place = |known: &[String], name: &str| {
            known.iter().position(|one| one.eq_ignore_ascii_case(name)).unwrap_or(known.len())
        };
        let draining = get("state").eq_ignore_ascii_case("draining");
        let member = EndpointRecord {
            endpoint: endpoint_id(instance),
            destination: DestinationId(get("cell").parse().ok()?),
            zone: place(&self.names.zones, get("zone")) as u32,
            kind: place(&self.names.kinds, get("kind")),
            lifecycle: if draining { Lifecycle::Draining } else { Lifecycle::Ready },
            weight: 1.0,
        };
        Some(Entry { name: instance.to_owned(), member, address: Some(SocketAddr::new(address, port)) })
    }
}

/// Takes a whole message from the front of what was read.
fn next_message(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let length = usize::from(u16::from_be_bytes([*input.first()?, *input.get(1)?]));
    let message = input.get(2..2 + length)?.to_vec();
    input.drain(..2 + length);
    Some(message)
}

fn question(id: u16, name: &str, kind: u16) -> Vec<u8> {
    let mut out = id.to_be_bytes().to_vec();
    // Recursion desired; one question.
    out.extend([1, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in labels(name) {
        out.push(label.len().min(63) as u8);
        out.extend(&label.as_bytes()[..label.len().min(63)]);
    }
    out.push(0);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1]);
    out
}

/// Labels of a name as text, where a dot within a label stands behind a backslash.
fn labels(name: &str) -> Vec<String> {
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

/// The number of an answer and its records; `None` for an error, or where it cannot be read.
fn read_message(message: &[u8]) -> Option<(u16, Vec<Record>)> {
    let mut at = 0;
    let id = short(message, &mut at)?;
    let flags = short(message, &mut at)?;
    let is_answer = flags & 0x8000 != 0;
    let (truncated, error) = (flags & 0x0200 != 0, flags & 0x000F != 0);
    if !is_answer || truncated || error {
        return None;
    }
    let questions = short(message, &mut at)?;
    let records = (0..3).map(|_| short(message, &mut at)).sum::<Option<u16>>()?;
    for _ in 0..questions {
        name(message, &mut at)?;
        at += 4;
    }
    let mut found = Vec::new();
    for _ in 0..records {
        let owner = name(message, &mut at)?;
        let (kind, class) = (short(message, &mut at)?, short(message, &mut at)?);
        let ttl = u32::from(short(message, &mut at)?) << 16 | u32::from(short(message, &mut at)?);
        let length = usize::from(short(message, &mut at)?);
        let end = at + length;
        let bytes = message.get(at..end)?;
        let data = match kind {
            PTR => Some(Data::Pointer(name(message, &mut at)?)),
            SRV => {
                at += 4; // priority and weight
                let port = short(message, &mut at)?;
                Some(Data::Service(name(message, &mut at)?, port))
            }
            TXT => Some(Data::Text(pairs(bytes)?)),
            A => Some(Data::Address(IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::try_from(bytes).ok()?)))),
            AAAA => Some(Data::Address(IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(bytes).ok()?)))),
            _ => None,
        };
        at = end;
        found.extend(data.filter(|_| class & 0x7FFF == 1).map(|data| Record { name: owner, ttl, data }));
    }
    Some((id, found))
}

fn short(message: &[u8], at: &mut usize) -> Option<u16> {
    let bytes = message.get(*at..*at + 2)?;
    *at += 2;
    Some(u16::from_be_bytes([bytes[0], bytes[1]]))
}

/// A name, in lower case; pointers are followed backwards only, so that no message can make a loop.
fn name(message: &[u8], at: &mut usize) -> Option<String> {
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

/// `key=value` strings of a TXT record; the first of a key counts, and keys have no case.
fn pairs(mut bytes: &[u8]) -> Option<BTreeMap<String, String>> {
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
