//! The membership's messages as bytes: one UDP datagram each, bounded, versioned, named by cluster, and signed where a
//! key is shared.
//!
//! Layout (all numbers big-endian):
//!
//! ```text
//! magic "CWm" | version u8 | flags u8 (bit 0: signed) | cluster: len u8, bytes
//! sender: identity | packet sequence u64 | holding: 0, or 1 and edition (epoch u32, generation u64), digest u64,
//! age u16 in tenths of a second | body kind u8 | body | gossip: count u8, entries
//! [HMAC-SHA256 of everything before it, 32 bytes, where signed]
//! identity = name: len u8, bytes | address: family u8 (4 or 6), ip, port u16 | generation u64
//! entry    = identity | incarnation u32 | state u8
//! ```
//!
//! Anything that does not read whole is dropped with its cause; nothing read half changes a view.

use super::rules::MOST_INCARNATION;
use super::{Entry, Identity, State};
use crate::maintenance::parts::{Fragment, FRAGMENT_BYTES};
use crate::startup::transfer::{PieceRequest, PIECE_BYTES};
use crate::startup::{Edition, Holding};
use crate::Micros;
use hmac::{KeyInit, Mac};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The largest datagram sent or read: what loopback and most paths carry without fragments.
pub const MAX_DATAGRAM: usize = 1_400;
/// The version written; a higher one is from the future and dropped.
pub const VERSION: u8 = 3;
/// Names of members and of the cluster are at most this many bytes.
pub const MAX_NAME: usize = 64;
const MAGIC: &[u8; 3] = b"CWm";
const TAG: usize = 32;
/// Bytes of what a sender holds, at the most; a tenth of a second is the unit of its age.
const HOLDING: usize = 1 + 12 + 8 + 2;
const AGE_UNIT: u64 = 100_000;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// A key shared by the members; never shown.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// A key from its bytes (as read from its file, surrounding white space taken off by the caller).
    pub fn new(bytes: Vec<u8>) -> Self {
        Key(bytes)
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG] {
        let mut mac =
            <HmacSha256 as KeyInit>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(bytes);
        mac.finalize().into_bytes().into()
    }

    fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let mut mac =
            <HmacSha256 as KeyInit>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(bytes);
        mac.verify_slice(tag).is_ok()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Body {
    /// A probe of `target`; `suspected`: the prober holds it suspect (Lifeguard's buddy notice).
    Ping { seq: u32, target: Identity, suspected: bool },
    /// Probe `target` for the sender.
    PingReq { seq: u32, target: Identity },
    /// The probe `seq` was answered (directly, or relayed by a helper).
    Ack { seq: u32 },
    /// A helper heard nothing from the target of `seq`.
    Nack { seq: u32 },
    /// A piece of a whole view, in the gossip; `reply`: send yours back; `last`: the last piece.
    Sync { reply: bool, last: bool },
    /// Nothing but gossip.
    Gossip,
    /// Give pieces of the list that you hold.
    Ask(PieceRequest),
    /// A piece of the list.
    Piece { edition: Edition, index: u16, count: u16, bytes: Vec<u8> },
    /// A part of a message on maintenance.
    Part(Fragment),
}

/// A message read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Packet {
    pub from: Identity,
    pub seq: u64,
    pub holding: Option<Holding>,
    pub body: Body,
    pub entries: Vec<Entry>,
}

/// Why a datagram changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Not ours: another magic.
    Foreign,
    /// Cut short or inconsistent.
    Unreadable,
    /// Over the datagram bound.
    TooLarge,
    /// Another cluster's name.
    OtherCluster,
    /// A version above ours.
    Future,
    /// Unsigned where a key is set, signed where none is, or a tag that does not match.
    BadTag,
    /// A sequence number of that sender already seen, or too old for the window.
    Replayed,
    /// Of a generation older than the one known, or about ourselves from a process that is not us.
    Stale,
}

impl Dropped {
    /// Every cause, in the order of the figures.
    pub const ALL: [Dropped; 8] = [
        Dropped::Foreign,
        Dropped::Unreadable,
        Dropped::TooLarge,
        Dropped::OtherCluster,
        Dropped::Future,
        Dropped::BadTag,
        Dropped::Replayed,
        Dropped::Stale,
    ];

    /// The name in figures and lines.
    pub fn name(self) -> &'static str {
        match self {
            Dropped::Foreign => "foreign",
            Dropped::Unreadable => "unreadable",
            Dropped::TooLarge => "too_large",
            Dropped::OtherCluster => "other_cluster",
            Dropped::Future => "future",
            Dropped::BadTag => "bad_tag",
            Dropped::Replayed => "replayed",
            Dropped::Stale => "stale",
        }
    }
}

/// Writes messages of one member: its cluster, its identity and its key.
pub struct Writer {
    head: Vec<u8>,
    key: Option<Key>,
}

impl Writer {
    /// A writer for `me` in `cluster`, signing with `key` where given.
    pub fn new(cluster: &str, me: &Identity, key: Option<Key>) -> Self {
        let mut head = Vec::with_capacity(96);
        head.extend_from_slice(MAGIC);
        head.push(VERSION);
        head.push(u8::from(key.is_some()));
        put_text(&mut head, cluster);
        put_identity(&mut head, me);
        Writer { head, key }
    }

    /// Room for gossip entries in a message with `body`, in bytes.
    pub fn room(&self, body: &Body) -> usize {
        let mut probe = Vec::with_capacity(96);
        put_body(&mut probe, body);
        let tag = if self.key.is_some() { TAG } else { 0 };
        MAX_DATAGRAM.saturating_sub(self.head.len() + 8 + HOLDING + probe.len() + 1 + tag)
    }

    /// The datagram; `entries` must fit in [`Writer::room`] (entries past the room or past 255 are left out).
    pub fn write(&self, seq: u64, holding: Option<&Holding>, body: &Body, entries: &[Entry]) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(&self.head);
        out.extend_from_slice(&seq.to_be_bytes());
        put_holding(&mut out, holding);
        put_body(&mut out, body);
        let mut room = self.room(body);
        let count_at = out.len();
        out.push(0);
        let mut count = 0u8;
        for entry in entries {
            let size = entry_size(entry);
            if size > room || count == u8::MAX {
                break;
            }
            put_entry(&mut out, entry);
            room -= size;
            count += 1;
        }
        out[count_at] = count;
        if let Some(key) = &self.key {
            let tag = key.tag(&out);
            out.extend_from_slice(&tag);
        }
        out
    }
}

/// The bytes that an entry takes.
pub fn entry_size(entry: &Entry) -> usize {
    let accuser = match entry.state {
        State::Suspect => 1 + entry.accuser.as_ref().map_or(0, |name| name.len().min(MAX_NAME)),
        _ => 0,
    };
    identity_size(&entry.id) + 5 + accuser
}

fn identity_size(id: &Identity) -> usize {
    let ip = if id.address.is_ipv4() { 4 } else { 16 };
    1 + id.name.len().min(MAX_NAME) + 1 + ip + 2 + 8
}

/// Reads a datagram of the cluster `cluster`, checked with `key` where one is set.
pub fn read(bytes: &[u8], cluster: &str, key: Option<&Key>) -> Result<Packet, Dropped> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Dropped::TooLarge);
    }
    if bytes.len() < 5 || &bytes[..3] != MAGIC {
        return Err(Dropped::Foreign);
    }
    if bytes[3] > VERSION {
        return Err(Dropped::Future);
    }
    if bytes[3] != VERSION {
        return Err(Dropped::Unreadable);
    }
    let signed = bytes[4] & 1 == 1;
    let body_end = match (signed, key) {
        (true, Some(key)) => {
            let end = bytes.len().checked_sub(TAG).ok_or(Dropped::Unreadable)?;
            if end < 5 || !key.verify(&bytes[..end], &bytes[end..]) {
                return Err(Dropped::BadTag);
            }
            end
        }
        (false, None) => bytes.len(),
        _ => return Err(Dropped::BadTag),
    };
    let mut reader = Reader { bytes: &bytes[..body_end], at: 5 };
    if reader.text()? != cluster {
        return Err(Dropped::OtherCluster);
    }
    let from = reader.identity()?;
    let seq = reader.u64()?;
    let holding = reader.holding()?;
    let body = match reader.u8()? {
        0 => Body::Ping { seq: reader.u32()?, target: reader.identity()?, suspected: reader.u8()? == 1 },
        1 => Body::PingReq { seq: reader.u32()?, target: reader.identity()? },
        2 => Body::Ack { seq: reader.u32()? },
        3 => Body::Nack { seq: reader.u32()? },
        4 => {
            let flags = reader.u8()?;
            Body::Sync { reply: flags & 1 == 1, last: flags & 2 == 2 }
        }
        5 => Body::Gossip,
        6 => Body::Ask(PieceRequest { edition: reader.edition()?, first: reader.u16()?, mask: reader.u8()? }),
        7 => {
            let (edition, index, count) = (reader.edition()?, reader.u16()?, reader.u16()?);
            let length = usize::from(reader.u16()?);
            if length > PIECE_BYTES {
                return Err(Dropped::Unreadable);
            }
            Body::Piece { edition, index, count, bytes: reader.take(length)?.to_vec() }
        }
        8 => {
            let (digest, index, count) = (reader.u64()?, reader.u8()?, reader.u8()?);
            let length = usize::from(reader.u16()?);
            if length > FRAGMENT_BYTES {
                return Err(Dropped::Unreadable);
            }
            Body::Part(Fragment { digest, index, count, bytes: reader.take(length)?.to_vec() })
        }
        _ => return Err(Dropped::Unreadable),
    };
    let count = reader.u8()?;
    let mut entries = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let id = reader.identity()?;
        let incarnation = reader.u32()?;
        if incarnation > MOST_INCARNATION {
            return Err(Dropped::Unreadable);
        }
        let state = match reader.u8()? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Dead,
            3 => State::Left,
            _ => return Err(Dropped::Unreadable),
        };
        let accuser =
            if state == State::Suspect { Some(reader.text()?).filter(|name| !name.is_empty()) } else { None };
        entries.push(Entry { id, incarnation, state, accuser });
    }
    if reader.at != reader.bytes.len() {
        return Err(Dropped::Unreadable);
    }
    Ok(Packet { from, seq, holding, body, entries })
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(MAX_NAME)];
    out.push(bytes.len() as u8);
    out.extend_from_slice(bytes);
}

fn put_identity(out: &mut Vec<u8>, id: &Identity) {
    put_text(out, &id.name);
    match id.address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend_from_slice(&ip.octets());
        }
    }
    out.extend_from_slice(&id.address.port().to_be_bytes());
    out.extend_from_slice(&id.generation.to_be_bytes());
}

fn put_entry(out: &mut Vec<u8>, entry: &Entry) {
    put_identity(out, &entry.id);
    out.extend_from_slice(&entry.incarnation.to_be_bytes());
    out.push(match entry.state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Dead => 2,
        State::Left => 3,
    });
    if entry.state == State::Suspect {
        put_text(out, entry.accuser.as_deref().unwrap_or(""));
    }
}

fn put_body(out: &mut Vec<u8>, body: &Body) {
    match body {
        Body::Ping { seq, target, suspected } => {
            out.push(0);
            out.extend_from_slice(&seq.to_be_bytes());
            put_identity(out, target);
            out.push(u8::from(*suspected));
        }
        Body::PingReq { seq, target } => {
            out.push(1);
            out.extend_from_slice(&seq.to_be_bytes());
            put_identity(out, target);
        }
        Body::Ack { seq } => {
            out.push(2);
            out.extend_from_slice(&seq.to_be_bytes());
        }
        Body::Nack { seq } => {
            out.push(3);
            out.extend_from_slice(&seq.to_be_bytes());
        }
        Body::Sync { reply, last } => {
            out.push(4);
            out.push(u8::from(*reply) | (u8::from(*last) << 1));
        }
        Body::Gossip => out.push(5),
        Body::Ask(PieceRequest { edition, first, mask }) => {
            out.push(6);
            put_edition(out, *edition);
            out.extend_from_slice(&first.to_be_bytes());
            out.push(*mask);
        }
        Body::Piece { edition, index, count, bytes } => {
            out.push(7);
            put_edition(out, *edition);
            for number in [*index, *count, bytes.len() as u16] {
                out.extend_from_slice(&number.to_be_bytes());
            }
            out.extend_from_slice(bytes);
        }
        Body::Part(Fragment { digest, index, count, bytes }) => {
            out.push(8);
            out.extend_from_slice(&digest.to_be_bytes());
            out.extend([*index, *count]);
            out.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
            out.extend_from_slice(bytes);
        }
    }
}

fn put_edition(out: &mut Vec<u8>, edition: Edition) {
    out.extend_from_slice(&edition.epoch.to_be_bytes());
    out.extend_from_slice(&edition.generation.to_be_bytes());
}

fn put_holding(out: &mut Vec<u8>, holding: Option<&Holding>) {
    out.push(u8::from(holding.is_some()));
    if let Some(Holding { edition, digest, age }) = holding {
        put_edition(out, *edition);
        out.extend_from_slice(&digest.to_be_bytes());
        let age = u16::try_from(age.0 / AGE_UNIT).unwrap_or(u16::MAX);
        out.extend_from_slice(&age.to_be_bytes());
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Result<&[u8], Dropped> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len()).ok_or(Dropped::Unreadable)?;
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn u8(&mut self) -> Result<u8, Dropped> {
        Ok(self.take(1)?[0])
    }

    fn u16(&mut self) -> Result<u16, Dropped> {
        Ok(u16::from_be_bytes(self.take(2)?.try_into().expect("two bytes")))
    }

    fn u32(&mut self) -> Result<u32, Dropped> {
        Ok(u32::from_be_bytes(self.take(4)?.try_into().expect("four bytes")))
    }

    fn u64(&mut self) -> Result<u64, Dropped> {
        Ok(u64::from_be_bytes(self.take(8)?.try_into().expect("eight bytes")))
    }

    fn text(&mut self) -> Result<String, Dropped> {
        let len = usize::from(self.u8()?);
        if len > MAX_NAME {
            return Err(Dropped::Unreadable);
        }
        let bytes = self.take(len)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| Dropped::Unreadable)
    }

    fn edition(&mut self) -> Result<Edition, Dropped> {
        Ok(Edition { epoch: self.u32()?, generation: self.u64()? })
    }

    fn holding(&mut self) -> Result<Option<Holding>, Dropped> {
        match self.u8()? {
            0 => Ok(None),
            1 => {
                let (edition, digest) = (self.edition()?, self.u64()?);
                let age = Micros(u64::from(self.u16()?) * AGE_UNIT);
                Ok(Some(Holding { edition, digest, age }))
            }
            _ => Err(Dropped::Unreadable),
        }
    }

    fn identity(&mut self) -> Result<Identity, Dropped> {
        let name = self.text()?;
        if name.is_empty() {
            return Err(Dropped::Unreadable);
        }
        let ip = match self.u8()? {
            4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::try_from(self.take(4)?).expect("four bytes"))),
            6 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(self.take(16)?).expect("sixteen bytes"))),
            _ => return Err(Dropped::Unreadable),
        };
        let port = self.u16()?;
        let generation = self.u64()?;
        Ok(Identity { name, address: SocketAddr::new(ip, port), generation })
    }
}

#[cfg(test)]
mod tests;
