//! The endpoint list in the event loop: updates of its sources go to the core, to the endpoint connections
//! and to other members.

use super::Node;
use crate::config::model::Broker;
use crate::engine::Input;
use crate::net::list::dns_sd::DnsSd;
use crate::net::list::{self, endpoint_id, ListEntry, ListUpdate, Names};
use crate::net::servers::http::EndpointConnections;
use crate::{DestinationId, EndpointRecord, Lifecycle, ListScope, Micros};

impl Node {
    /// Distributes discovery's list to the members. Cost: the list, where it has changed.
    pub(super) fn publish_list(&mut self, now: Micros, generation: u64, changed: bool) {
        let Some(members) = &mut self.members else { return };
        if !changed && members.list_generation() == Some(generation) {
            return members.from_discovery(now, generation, None);
        }
        let is_looked_up = |entry: &&ListEntry| {
            self.dns_sd.iter().flat_map(DnsSd::current).any(|other| other.name == entry.name)
        };
        let is_configured =
            |entry: &&ListEntry| self.configured_entries.iter().any(|other| other.name == entry.name);
        let discovered =
            self.endpoint_list.0.values().filter(|entry| !is_configured(entry) && !is_looked_up(entry));
        let list = list::write(generation, discovered, &self.change_service.model().names);
        members.from_discovery(now, generation, Some(&list));
    }

    /// Applies a complete list that a member sent.
    pub(super) fn accept_member_list(&mut self) {
        let Some(members) = &mut self.members else { return };
        if let Some((edition, bytes)) = members.take_received_list() {
            match parse_whole_list(&bytes, &self.change_service.model().names) {
                Some(mut update) => {
                    members.finish_received_list(edition, Some(bytes));
                    self.watch.set_generation(edition.generation);
                    update.entries.extend(self.configured_entries.iter().cloned());
                    update.entries.extend(self.dns_sd.iter().flat_map(DnsSd::current).cloned());
                    log!("list generation {} was accepted from a member", edition.generation);
                    self.apply_list(update);
                }
                None => {
                    log!("a list that a member sent cannot be read: not taken, another member is asked");
                    members.finish_received_list(edition, None);
                }
            }
        }
    }

    /// Replaces the endpoint records of the operators' file; a record that is missing in the new ones is
    /// removed.
    pub(in crate::net) fn set_configured_entries(&mut self, entries: Vec<ListEntry>) {
        let before = std::mem::replace(&mut self.configured_entries, entries);
        let is_still_listed = |entry: &ListEntry| {
            self.configured_entries.iter().any(|other| other.record.endpoint == entry.record.endpoint)
        };
        let mut update: Vec<ListEntry> =
            before.iter().filter(|entry| !is_still_listed(entry)).cloned().collect();
        update.iter_mut().for_each(|entry| entry.record.lifecycle = Lifecycle::Gone);
        update.extend(self.configured_entries.iter().filter(|entry| !before.contains(entry)).cloned());
        self.apply_list(ListUpdate { generation: 0, whole: false, entries: update });
    }

    /// Applies a list update of any source.
    pub(in crate::net) fn apply_list(&mut self, update: ListUpdate) {
        self.life.list_received();
        self.platform.is_ready = self.life.accepts_clients();
        self.endpoint_list.apply(&update);
        let members = store_addresses(&mut self.servers, &update);
        if update.whole {
            let endpoint_list = &self.endpoint_list;
            self.servers.retain(|endpoint| endpoint_list.0.contains_key(&endpoint));
        }
        for entry in update.entries.iter().filter(|entry| entry.record.lifecycle == Lifecycle::Gone) {
            self.servers.forget(entry.record.endpoint);
        }
        let scope = if update.whole { ListScope::Whole } else { ListScope::Changes };
        if update.whole || !members.is_empty() {
            self.inputs.push(Input::EndpointRecords(scope, members));
        }
    }
}

/// Parses a complete list in the format of discovery.
pub(super) fn parse_whole_list(bytes: &[u8], names: &Names) -> Option<ListUpdate> {
    let mut bytes = bytes.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    list::read(&value, names).filter(|update| update.whole)
}

/// Stores the addresses for the endpoint connections, and returns the records for the core.
pub(super) fn store_addresses(servers: &mut EndpointConnections, update: &ListUpdate) -> Vec<EndpointRecord> {
    for entry in &update.entries {
        if let Some(address) = entry.address {
            servers.set_address(entry.record.endpoint, address);
        }
    }
    update.entries.iter().map(|entry| entry.record.clone()).collect()
}

/// The endpoint record of a destination's broker.
pub(in crate::net) fn broker_entry(broker: &Broker) -> ListEntry {
    let record = EndpointRecord {
        endpoint: endpoint_id(&broker.name),
        destination: DestinationId(broker.cell),
        zone: 0,
        kind: broker.kind,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
    };
    ListEntry { name: broker.name.clone(), record, address: Some(broker.address) }
}
