//! The datagram format of the membership protocol. Each packet is one UDP datagram of bounded size that
//! carries a format version and the cluster's name, and is signed if a key is shared.
//!
//! Layout (all numbers are big-endian):
//!
//! ```text
//! magic "CWm" | version u8 | flags u8 (bit 0: signed) | cluster: len u8, bytes
//! sender: identity | packet sequence u64
//! holding: 0, or 1 and edition (epoch u32, generation u64), digest u64, age u16 in tenths of a second
//! body kind u8 | body | gossip: count u8, entries
//! [HMAC-SHA256 of everything before it, 32 bytes, where signed]
//! identity = name: len u8, bytes | address: family u8 (4 or 6), ip, port u16 | generation u64
//! entry    = identity | incarnation u32 | state u8 | accuser (suspect only): len u8, bytes
//! ```
//!
//! A datagram that cannot be decoded completely is dropped with a reason and changes no state.

use super::rules::MAX_INCARNATION;
use super::{Entry, Identity, State};
use crate::maintenance::parts::{Fragment, FRAGMENT_BYTES};
use crate::startup::transfer::{PieceRequest, PIECE_BYTES};
use crate::startup::{Edition, Holding};
use crate::Micros;
use hmac::{KeyInit, Mac};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The maximum size of a datagram sent or accepted; loopback and most paths carry it without fragmentation.
pub const MAX_DATAGRAM: usize = 1_400;
/// The format version written. Datagrams with a higher version are dropped.
pub const VERSION: u8 = 3;
/// Maximum length of a member's or the cluster's name, in bytes.
pub const MAX_NAME: usize = 64;
const MAGIC: &[u8; 3] = b"CWm";
const TAG_BYTES: usize = 32;
/// Maximum encoded size of the holding, in bytes. The unit of its age is a tenth of a second.
const HOLDING_BYTES: usize = 1 + 12 + 8 + 2;
const AGE_UNIT_MICROS: u64 = 100_000;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// A key shared by the members; its `Debug` output is redacted.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from the bytes of its file; the caller strips surrounding white space.
    pub fn new(bytes: Vec<u8>) -> Self {
        Key(bytes)
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
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

/// What a packet requests or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Body {
    /// A probe of `target`; `suspected`: the sender suspects it (Lifeguard's buddy notice).
    Ping { seq: u32, target: Identity, suspected: bool },
    /// A request to probe `target` indirectly.
    PingReq { seq: u32, target: Identity },
    /// The target acked the probe `seq`, directly or through a helper.
    Ack { seq: u32 },
    /// A helper got no ack from the target of `seq`.
    Nack { seq: u32 },
    /// A piece of the full state, carried in the gossip entries. `reply` requests the receiver's full state;
    /// `last` marks the last piece.
    Sync { reply: bool, last: bool },
    /// Gossip entries only.
    Gossip,
    /// A request for pieces of the endpoint list that the receiver holds.
    ListRequest(PieceRequest),
    /// A piece of the endpoint list.
    ListPiece { edition: Edition, index: u16, count: u16, bytes: Vec<u8> },
    /// A part of a maintenance message.
    MaintenancePart(Fragment),
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Packet {
    pub from: Identity,
    pub seq: u64,
    pub holding: Option<Holding>,
    pub body: Body,
    pub entries: Vec<Entry>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It has another magic number.
    Foreign,
    /// It is truncated or inconsistent.
    Unreadable,
    /// It exceeds the maximum datagram size.
    TooLarge,
    /// It names another cluster.
    OtherCluster,
    /// Its format version is newer than this one.
    Future,
    /// It is unsigned although a key is set, signed although none is set, or its tag does not match.
    BadTag,
    /// This sender's sequence number was received before, or is too old for the window.
    Replayed,
    /// The sender's generation is older than the known one, or another process uses this member's name.
    Stale,
}

impl DropReason {
    /// All reasons, in the order of the statistics.
    pub const ALL: [DropReason; 8] = [
        DropReason::Foreign,
        DropReason::Unreadable,
        DropReason::TooLarge,
        DropReason::OtherCluster,
        DropReason::Future,
        DropReason::BadTag,
        DropReason::Replayed,
        DropReason::Stale,
    ];

    /// The name in statistics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Foreign => "foreign",
            DropReason::Unreadable => "unreadable",
            DropReason::TooLarge => "too_large",
            DropReason::OtherCluster => "other_cluster",
            DropReason::Future => "future",
            DropReason::BadTag => "bad_tag",
            DropReason::Replayed => "replayed",
            DropReason::Stale => "stale",
        }
    }
}

/// Encodes the packets of one member, with its cluster, identity and key.
pub struct PacketWriter {
    header: Vec<u8>,
    key: Option<Key>,
}

impl PacketWriter {
    /// Creates a writer for `me` in `cluster` that signs with `key` if there is one.
    pub fn new(cluster: &str, me: &Identity, key: Option<Key>) -> Self {
        let mut header = Vec::with_capacity(96);
        header.extend_from_slice(MAGIC);
        header.push(VERSION);
        header.push(u8::from(key.is_some()));
        put_text(&mut header, cluster);
        put_identity(&mut header, me);
        PacketWriter { header, key }
    }

    /// Capacity for gossip entries in a packet with `body`, in bytes.
    pub fn entry_capacity(&self, body: &Body) -> usize {
        let mut encoded_body = Vec::with_capacity(96);
        put_body(&mut encoded_body, body);
        let tag = if self.key.is_some() { TAG_BYTES } else { 0 };
        MAX_DATAGRAM.saturating_sub(self.header.len() + 8 + HOLDING_BYTES + encoded_body.len() + 1 + tag)
    }

    /// Encodes a datagram. Entries beyond [`PacketWriter::entry_capacity`] or beyond 255 are left out.
    pub fn write(&self, seq: u64, holding: Option<&Holding>, body: &Body, entries: &[Entry]) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(&self.header);
        out.extend_from_slice(&seq.to_be_bytes());
        put_holding(&mut out, holding);
        put_body(&mut out, body);
        let mut room = self.entry_capacity(body);
        let count_position = out.len();
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
        out[count_position] = count;
        if let Some(key) = &self.key {
            let tag = key.tag(&out);
            out.extend_from_slice(&tag);
        }
        out
    }
}

/// Encoded size of an entry, in bytes.
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

/// Decodes a datagram of the cluster `cluster` and verifies it with `key` if there is one.
pub fn decode(bytes: &[u8], cluster: &str, key: Option<&Key>) -> Result<Packet, DropReason> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DropReason::TooLarge);
    }
    if bytes.len() < 5 || &bytes[..3] != MAGIC {
        return Err(DropReason::Foreign);
    }
    if bytes[3] > VERSION {
        return Err(DropReason::Future);
    }
    if bytes[3] != VERSION {
        return Err(DropReason::Unreadable);
    }
    let signed = bytes[4] & 1 == 1;
    let body_end = match (signed, key) {
        (true, Some(key)) => {
            let end = bytes.len().checked_sub(TAG_BYTES).ok_or(DropReason::Unreadable)?;
            if end < 5 || !key.verify(&bytes[..end], &bytes[end..]) {
                return Err(DropReason::BadTag);
            }
            end
        }
        (false, None) => bytes.len(),
        _ => return Err(DropReason::BadTag),
    };
    let mut reader = Reader { bytes: &bytes[..body_end], position: 5 };
    if reader.text()? != cluster {
        return Err(DropReason::OtherCluster);
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
        6 => Body::ListRequest(PieceRequest {
            edition: reader.edition()?,
            first: reader.u16()?,
            mask: reader.u8()?,
        }),
        7 => {
            let (edition, index, count) = (reader.edition()?, reader.u16()?, reader.u16()?);
            let length = usize::from(reader.u16()?);
            if length > PIECE_BYTES {
                return Err(DropReason::Unreadable);
            }
            Body::ListPiece { edition, index, count, bytes: reader.take(length)?.to_vec() }
        }
        8 => {
            let (digest, index, count) = (reader.u64()?, reader.u8()?, reader.u8()?);
            let length = usize::from(reader.u16()?);
            if length > FRAGMENT_BYTES {
                return Err(DropReason::Unreadable);
            }
            Body::MaintenancePart(Fragment { digest, index, count, bytes: reader.take(length)?.to_vec() })
        }
        _ => return Err(DropReason::Unreadable),
    };
    let count = reader.u8()?;
    let mut entries = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let id = reader.identity()?;
        let incarnation = reader.u32()?;
        if incarnation > MAX_INCARNATION {
            return Err(DropReason::Unreadable);
        }
        let state = match reader.u8()? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Dead,
            3 => State::Left,
            _ => return Err(DropReason::Unreadable),
        };
        let accuser =
            if state == State::Suspect { Some(reader.text()?).filter(|name| !name.is_empty()) } else { None };
        entries.push(Entry { id, incarnation, state, accuser });
    }
    if reader.position != reader.bytes.len() {
        return Err(DropReason::Unreadable);
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
        Body::ListRequest(PieceRequest { edition, first, mask }) => {
            out.push(6);
            put_edition(out, *edition);
            out.extend_from_slice(&first.to_be_bytes());
            out.push(*mask);
        }
        Body::ListPiece { edition, index, count, bytes } => {
            out.push(7);
            put_edition(out, *edition);
            for number in [*index, *count, bytes.len() as u16] {
                out.extend_from_slice(&number.to_be_bytes());
            }
            out.extend_from_slice(bytes);
        }
        Body::MaintenancePart(Fragment { digest, index, count, bytes }) => {
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
        let age = u16::try_from(age.0 / AGE_UNIT_MICROS).unwrap_or(u16::MAX);
        out.extend_from_slice(&age.to_be_bytes());
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Result<&[u8], DropReason> {
        let end = self
            .position
            .checked_add(n)
            .filter(|end| *end <= self.bytes.len())
            .ok_or(DropReason::Unreadable)?;
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    fn u8(&mut self) -> Result<u8, DropReason> {
        Ok(self.take(1)?[0])
    }

    fn u16(&mut self) -> Result<u16, DropReason> {
        Ok(u16::from_be_bytes(self.take(2)?.try_into().expect("two bytes")))
    }

    fn u32(&mut self) -> Result<u32, DropReason> {
        Ok(u32::from_be_bytes(self.take(4)?.try_into().expect("four bytes")))
    }

    fn u64(&mut self) -> Result<u64, DropReason> {
        Ok(u64::from_be_bytes(self.take(8)?.try_into().expect("eight bytes")))
    }

    fn text(&mut self) -> Result<String, DropReason> {
        let len = usize::from(self.u8()?);
        if len > MAX_NAME {
            return Err(DropReason::Unreadable);
        }
        let bytes = self.take(len)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| DropReason::Unreadable)
    }

    fn edition(&mut self) -> Result<Edition, DropReason> {
        Ok(Edition { epoch: self.u32()?, generation: self.u64()? })
    }

    fn holding(&mut self) -> Result<Option<Holding>, DropReason> {
        match self.u8()? {
            0 => Ok(None),
            1 => {
                let (edition, digest) = (self.edition()?, self.u64()?);
                let age = Micros(u64::from(self.u16()?) * AGE_UNIT_MICROS);
                Ok(Some(Holding { edition, digest, age }))
            }
            _ => Err(DropReason::Unreadable),
        }
    }

    fn identity(&mut self) -> Result<Identity, DropReason> {
        let name = self.text()?;
        if name.is_empty() {
            return Err(DropReason::Unreadable);
        }
        let ip = match self.u8()? {
            4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::try_from(self.take(4)?).expect("four bytes"))),
            6 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(self.take(16)?).expect("sixteen bytes"))),
            _ => return Err(DropReason::Unreadable),
        };
        let port = self.u16()?;
        let generation = self.u64()?;
        Ok(Identity { name, address: SocketAddr::new(ip, port), generation })
    }
}

#[cfg(test)]
mod tests;
