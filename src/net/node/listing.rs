//! The list of endpoints in the loop: what its sources tell goes to the core, to the servers, and to other members.

use super::Node;
use crate::config::model::Broker;
use crate::engine::Input;
use crate::net::list::dns_sd::DnsSd;
use crate::net::list::{self, endpoint_id, ListEntry, ListUpdate, Names};
use crate::net::servers::http::EndpointConnections;
use crate::{DestinationId, EndpointRecord, Lifecycle, ListScope, Micros};

impl Node {
    /// Members hear what discovery told. Cost: the list, where it has changed.
    pub(super) fn tell_members(&mut self, now: Micros, generation: u64, changed: bool) {
        let Some(members) = &mut self.members else { return };
        if !changed && members.generation() == Some(generation) {
            return members.from_discovery(now, generation, None);
        }
        let looked_up = |entry: &&ListEntry| {
            self.dns_sd.iter().flat_map(DnsSd::current).any(|one| one.name == entry.name)
        };
        let own = |entry: &&ListEntry| self.own.iter().any(|one| one.name == entry.name);
        let discovered = self.endpoint_list.0.values().filter(|entry| !own(entry) && !looked_up(entry));
        let list = list::write(generation, discovered, &self.change_service.model().names);
        members.from_discovery(now, generation, Some(&list));
    }

    /// A list that a member gave.
    pub(super) fn hear_members(&mut self) {
        let Some(members) = &mut self.members else { return };
        if let Some((edition, bytes)) = members.came() {
            match read_whole(&bytes, &self.change_service.model().names) {
                Some(mut news) => {
                    members.taken(edition, Some(bytes));
                    self.watch.set_generation(edition.generation);
                    news.entries.extend(self.own.iter().cloned());
                    news.entries.extend(self.dns_sd.iter().flat_map(DnsSd::current).cloned());
                    log!("the list, generation {}, is taken over from a member", edition.generation);
                    self.learn(news);
                }
                None => {
                    log!("a list that a member gave cannot be read: not taken, another member is asked");
                    members.taken(edition, None);
                }
            }
        }
    }

    /// Other entries of the operators' own: who is no longer among them is gone.
    pub(in crate::net) fn list_own(&mut self, entries: Vec<ListEntry>) {
        let before = std::mem::replace(&mut self.own, entries);
        let stays =
            |one: &ListEntry| self.own.iter().any(|other| other.record.endpoint == one.record.endpoint);
        let mut news: Vec<ListEntry> = before.iter().filter(|one| !stays(one)).cloned().collect();
        news.iter_mut().for_each(|entry| entry.record.lifecycle = Lifecycle::Gone);
        news.extend(self.own.iter().filter(|one| !before.contains(one)).cloned());
        self.learn(ListUpdate { generation: 0, whole: false, entries: news });
    }

    /// ListUpdate of the list, from whichever source.
    pub(in crate::net) fn learn(&mut self, news: ListUpdate) {
        self.life.list_received();
        self.platform.is_ready = self.life.accepts_clients();
        self.endpoint_list.apply(&news);
        let members = learn(&mut self.servers, &news);
        if news.whole {
            let endpoint_list = &self.endpoint_list;
            self.servers.retain(|endpoint| endpoint_list.0.contains_key(&endpoint));
        }
        for entry in news.entries.iter().filter(|entry| entry.record.lifecycle == Lifecycle::Gone) {
            self.servers.forget(entry.record.endpoint);
        }
        let scope = if news.whole { ListScope::Whole } else { ListScope::Changes };
        if news.whole || !members.is_empty() {
            self.inputs.push(Input::EndpointRecords(scope, members));
        }
    }
}

/// A whole list in discovery's form.
pub(super) fn read_whole(bytes: &[u8], names: &Names) -> Option<ListUpdate> {
    let mut bytes = bytes.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    list::read(&value, names).filter(|news| news.whole)
}

/// Addresses go to the servers, the rest to the core.
pub(super) fn learn(servers: &mut EndpointConnections, news: &ListUpdate) -> Vec<EndpointRecord> {
    for entry in &news.entries {
        if let Some(address) = entry.address {
            servers.set_address(entry.record.endpoint, address);
        }
    }
    news.entries.iter().map(|entry| entry.record.clone()).collect()
}

/// A partner's broker as a service entry.
pub(in crate::net) fn entry(broker: &Broker) -> ListEntry {
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
