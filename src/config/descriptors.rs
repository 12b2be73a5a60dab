//! Division of the process's descriptors among its peers.

use super::model::Model;

/// Descriptors for the journal, listeners, discovery, delivery reports, brokers, an upgrade, and a few spare ones.
pub const OTHER_DESCRIPTORS: usize = 32;
/// Connections of the operations API.
pub const OPERATIONS_CONNECTIONS: usize = 32;
/// Connections of publishers.
pub const PUBLISHER_CONNECTIONS: usize = 64;
/// Connections of the administration API.
pub const ADMINISTRATION_CONNECTIONS: usize = 64;
/// Connections that clients can always open.
pub const MIN_CLIENT_CONNECTIONS: usize = 16;
/// Idle connections to endpoints, in addition to one connection for each slot.
const MAX_IDLE_ENDPOINT_CONNECTIONS: usize = 128;

/// The most connections of clients and to endpoints. Those of publishers, the administration API and operators are
/// few; while they are open, clients have as many less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Connections of clients, while no others are open.
    pub clients: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorShares {
    /// Divides the descriptors of a configuration.
    pub fn of(model: &Model) -> DescriptorShares {
        let endpoints = endpoint_connections(model.core.settings.slots);
        let left = model.sockets.saturating_sub(OTHER_DESCRIPTORS + endpoints);
        DescriptorShares { clients: left.max(MIN_CLIENT_CONNECTIONS), endpoints }
    }
}

fn endpoint_connections(slots: u32) -> usize {
    slots.min(1 << 16) as usize + MAX_IDLE_ENDPOINT_CONNECTIONS
}

/// The descriptors that a process with so many slots needs at least.
pub fn needed_descriptors(slots: u32) -> usize {
    OTHER_DESCRIPTORS + endpoint_connections(slots) + MIN_CLIENT_CONNECTIONS
}
