//! Startup of a forwarder until it serves, and the exchange of the endpoint list among members, so
//! that hundreds of forwarders that start together do not overload the list service. These modules
//! make decisions and do no I/O. Design and measurements: `docs/cold-start.md`.

pub mod elect;
pub mod kept;
pub mod lists;
pub mod ramp;
pub mod replay;
pub mod transfer;

/// Version of an endpoint list. A later epoch takes precedence over a later generation, as
/// discovery may restart its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Edition {
    /// Increased by a member to which discovery reports a lower generation than the one held.
    pub epoch: u32,
    /// The generation that discovery reports.
    pub generation: u64,
}

/// The endpoint list that a member reports to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Version of the list.
    pub edition: Edition,
    /// Digest of the list's bytes: members that hold the same edition have the same bytes.
    pub digest: u64,
    /// Time since discovery last confirmed the list to any member.
    pub age: crate::Micros,
}

/// The digest of a list's bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
