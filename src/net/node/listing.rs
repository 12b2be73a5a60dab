//! The endpoint list in the event loop: updates of its sources go to the core, to the endpoint connections
//! and to other members.

use super::Node;
use crate::config::model::{Broker, BROKER_ZONE};
use crate::engine::Input;
use crate::net::list::endpoints::ListSource;
use crate::net::list::{self, ListEntry, ListUpdate, Names};
use crate::net::servers::http::EndpointConnections;
use crate::{DestinationId, EndpointRecord, Lifecycle, ListScope, Micros};

impl Node {
    /// Distributes discovery's list to the members. Cost: the list, where it has changed.
    pub(super) fn publish_list(&mut self, now: Micros, generation: u64, changed: bool) {
        let Some(members) = &mut self.members else { return };
        if !changed && members.list_generation() == Some(generation) {
            return members.from_discovery(now, generation, None);
        }
        let discovered = self.endpoint_list.entries_of(ListSource::Discovery);
        let list = list::write(generation, discovered, &self.change_service.model().names);
        members.from_discovery(now, generation, Some(&list));
    }

    /// Applies a complete list that a member sent.
    pub(super) fn accept_member_list(&mut self) {
        let Some(members) = &mut self.members else { return };
        if let Some((edition, bytes)) = members.take_received_list() {
            match parse_whole_list(&bytes, &self.change_service.model().names) {
                Some(update) => {
                    members.finish_received_list(edition, Some(bytes));
                    self.watch.set_generation(edition.generation);
                    log!("list generation {} was accepted from a member", edition.generation);
                    self.apply_list(ListSource::Discovery, update);
                }
                None => {
                    log!("a list that a member sent cannot be read: not taken, another member is asked");
                    members.finish_received_list(edition, None);
                }
            }
        }
    }

    /// Replaces all entries of a source that has no changes of its own, such as the operators' file.
    pub(in crate::net) fn replace_entries(&mut self, source: ListSource, entries: Vec<ListEntry>) {
        self.apply_list(source, ListUpdate { generation: 0, whole: true, entries });
    }

    /// Applies a list update of any source.
    pub(in crate::net) fn apply_list(&mut self, source: ListSource, update: ListUpdate) {
        self.life.list_received();
        self.platform.is_ready = self.life.accepts_clients();
        let changes = self.endpoint_list.apply(source, &update);
        update_addresses(&mut self.servers, &changes);
        self.servers.end_misdirected_calls(&mut self.inputs);
        // A complete list of discovery passes the whole list on, so that nothing depends on earlier changes.
        let is_whole = update.whole && source == ListSource::Discovery;
        let (scope, records) = match is_whole {
            true => (ListScope::Whole, self.endpoint_list.records()),
            false => (ListScope::Changes, changes.into_iter().map(|entry| entry.record).collect()),
        };
        if is_whole || !records.is_empty() {
            self.inputs.push(Input::EndpointRecords(scope, records));
        }
    }
}

/// Parses a complete list in the format of discovery.
pub(super) fn parse_whole_list(bytes: &[u8], names: &Names) -> Option<ListUpdate> {
    let mut bytes = bytes.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    list::read(&value, names).filter(|update| update.whole)
}

/// Passes the addresses of changed entries on to the endpoint connections.
pub(super) fn update_addresses<'a>(
    servers: &mut EndpointConnections,
    changes: impl IntoIterator<Item = &'a ListEntry>,
) {
    for ListEntry { record, address, .. } in changes {
        match address {
            _ if record.lifecycle == Lifecycle::Gone => servers.forget(record.endpoint),
            Some(address) => servers.set_address(record.endpoint, *address),
            None => {}
        }
    }
}

/// The endpoint record of a destination's broker.
pub(in crate::net) fn broker_entry(broker: &Broker) -> ListEntry {
    let record = EndpointRecord {
        endpoint: broker.endpoint,
        destination: DestinationId(broker.cell),
        zone: BROKER_ZONE,
        kind: broker.kind,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
    };
    ListEntry { name: broker.name.clone(), record, address: Some(broker.address), started_at_ms: 0 }
}
