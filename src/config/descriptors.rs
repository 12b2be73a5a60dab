//! Division of the process's descriptors among its peers.

use super::model::Model;

/// Descriptors for the journal, listeners, discovery, delivery reports, brokers, an upgrade, and a few spare ones.
const OTHER_DESCRIPTORS: usize = 32;
/// Connections of the operations API, however few descriptors there are: operators are always served.
pub const OPERATIONS_CONNECTIONS: usize = 32;
/// Connections that clients can always open.
const MIN_CLIENT_CONNECTIONS: usize = 16;
/// Idle connections to endpoints, in addition to one connection for each slot.
const MAX_IDLE_ENDPOINT_CONNECTIONS: usize = 128;
/// Connections of publishers, and of the administration API.
const MAX_PUBLISHER_CONNECTIONS: usize = 64;
const MAX_ADMINISTRATION_CONNECTIONS: usize = 64;

/// The most connections of each kind of peer. Together they leave descriptors for all else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
    /// Connections of publishers.
    pub publishers: usize,
    /// Connections of the administration API.
    pub administration: usize,
}

impl DescriptorShares {
    /// Divides the descriptors of a configuration.
    pub fn of(model: &Model) -> DescriptorShares {
        let sockets = model.sockets;
        let endpoints = endpoint_connections(sockets, model.core.settings.slots);
        let publishers = MAX_PUBLISHER_CONNECTIONS.min(sockets / 8);
        let administration = MAX_ADMINISTRATION_CONNECTIONS.min(sockets / 8);
        let used_by_fronts = model.amqp_listen.map_or(0, |_| publishers)
            + model.admin_listen.map_or(0, |_| administration)
            + OPERATIONS_CONNECTIONS;
        let left = sockets.saturating_sub(OTHER_DESCRIPTORS + endpoints + used_by_fronts);
        DescriptorShares { clients: left.max(MIN_CLIENT_CONNECTIONS), endpoints, publishers, administration }
    }
}

fn endpoint_connections(sockets: usize, slots: u32) -> usize {
    slots.min(1 << 16) as usize + MAX_IDLE_ENDPOINT_CONNECTIONS.min(sockets / 4)
}

/// The descriptors that a process with so many slots needs at least; `sockets` are allowed.
pub fn needed_descriptors(sockets: usize, slots: u32) -> usize {
    OTHER_DESCRIPTORS + OPERATIONS_CONNECTIONS + endpoint_connections(sockets, slots) + MIN_CLIENT_CONNECTIONS
}
