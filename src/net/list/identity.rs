//! Identity of endpoints: which records of the endpoint list are records of the same endpoint.

use crate::{DestinationId, EndpointId};
use std::net::SocketAddr;

/// Offset basis and prime of the hash FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What makes an endpoint the one that it is. A record that differs in any of these describes another endpoint,
/// also under the same name: its circuit, its limits and the messages that may have run there are not those of
/// the endpoint before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointIdentity<'a> {
    /// Its name.
    pub name: &'a str,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Name of its destination's kind.
    pub kind: &'a str,
    /// Name of its zone.
    pub zone: &'a str,
    /// Its address, where the source of the record gives each endpoint one address of its own.
    pub address: Option<SocketAddr>,
}

impl EndpointIdentity<'_> {
    /// The id of the endpoint: a hash, the same in every process.
    pub fn id(&self) -> EndpointId {
        let address = self.address.map_or(String::new(), |address| address.to_string());
        let destination = self.destination.0.to_string();
        let parts = [self.name, &destination, self.kind, self.zone, &address];
        // The lengths keep parts apart whose texts are the same when joined.
        let text: String = parts.iter().map(|part| format!("{}:{part}", part.len())).collect();
        EndpointId(fnv1a(&text))
    }
}

/// The id that earlier versions gave an endpoint: a hash of its name alone.
pub fn id_by_name(name: &str) -> EndpointId {
    EndpointId(fnv1a(name))
}

/// The hash FNV-1a of a text.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
