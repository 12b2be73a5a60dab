//! What a forwarder does from its start until it serves, and how the list of service entries passes among members, so that
//! hundreds that start together spare the list service. Decisions alone, no I/O; the design and what was measured:
//! `docs/cold-start.md`.

pub mod elect;
pub mod kept;
pub mod lists;
pub mod ramp;
pub mod replay;
pub mod transfer;

/// Which list: a later epoch goes before a later generation, as discovery may begin its count anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Edition {
    /// Begun by whoever heard discovery tell a lower generation than was held.
    pub epoch: u32,
    /// Discovery's number.
    pub generation: u64,
}

/// What a member says that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Which list.
    pub edition: Edition,
    /// Of its bytes: two members of one edition hold the same.
    pub digest: u64,
    /// How long ago discovery confirmed it, to anybody.
    pub age: crate::Micros,
}

/// The digest of a list's bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
