//! The endpoint list in force, merged from its sources.
//!
//! Each source has a list of its own, which its updates change. The list in force follows from these lists
//! alone, not from the order of the updates: it has one entry for each name, that of the source with the
//! highest precedence. An entry whose address has been taken over by a process that started later is not in
//! force: its own process has gone.

use super::{ListEntry, ListUpdate};
use crate::{EndpointId, EndpointRecord, Lifecycle};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Where entries of the endpoint list come from, in ascending precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery, directly or through another member.
    Discovery,
    /// DNS-SD.
    DnsSd,
    /// The operators' file.
    OperatorsFile,
}

/// All sources, by ascending precedence.
const SOURCES: usize = 3;

/// The endpoint list in force, see the [module documentation](self).
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The entries of each source by name.
    sources: [BTreeMap<String, ListEntry>; SOURCES],
    /// For each address the names of its entries, of all sources.
    by_address: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// The entries in force by name.
    entries: BTreeMap<String, ListEntry>,
    /// The endpoints of these entries.
    ids: BTreeSet<EndpointId>,
}

impl EndpointList {
    /// Applies an update of one source. A complete list removes every entry of the source that it does not
    /// contain. Returns what changes in the list in force: new and changed entries, and those that are no
    /// longer in it, as [`Lifecycle::Gone`]. Cost: linear in the update, for a complete list also in the list.
    pub fn apply(&mut self, source: ListSource, update: &ListUpdate) -> Vec<ListEntry> {
        let mut names: BTreeSet<String> = update.entries.iter().map(|entry| entry.name.clone()).collect();
        let of_source = &mut self.sources[source as usize];
        if update.whole {
            names.extend(of_source.keys().cloned());
        }
        let before = names.iter().filter_map(|name| of_source.get(name)?.address);
        let after = update.entries.iter().filter_map(|entry| entry.address);
        let addresses: BTreeSet<SocketAddr> = before.chain(after).collect();
        if update.whole {
            of_source.clear();
        }
        for entry in &update.entries {
            if entry.record.lifecycle == Lifecycle::Gone {
                of_source.remove(&entry.name);
            } else {
                of_source.insert(entry.name.clone(), entry.clone());
            }
        }
        self.index_addresses(&names, &addresses);
        // Others at these addresses may have been taken over, or not any more.
        let neighbours = addresses.iter().filter_map(|address| self.by_address.get(address)).flatten();
        names.extend(neighbours.cloned().collect::<Vec<String>>());
        names.iter().flat_map(|name| self.merge(name)).collect()
    }

    /// Brings the index by address up to date for entries with these names at these addresses.
    fn index_addresses(&mut self, names: &BTreeSet<String>, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            let Some(indexed) = self.by_address.get_mut(address) else { continue };
            indexed.retain(|name| !names.contains(name));
            if indexed.is_empty() {
                self.by_address.remove(address);
            }
        }
        for name in names {
            for address in self.sources.iter().filter_map(|entries| entries.get(name)?.address) {
                self.by_address.entry(address).or_default().insert(name.clone());
            }
        }
    }

    /// Whether another process has started at an entry's address after the entry's own.
    fn is_taken_over(&self, entry: &ListEntry) -> bool {
        let Some(address) = entry.address else { return false };
        let names = self.by_address.get(&address).into_iter().flatten().filter(|name| **name != entry.name);
        let others = names.flat_map(|name| self.sources.iter().filter_map(move |entries| entries.get(name)));
        let mut at_address = others.filter(|other| other.address == Some(address));
        at_address.any(|other| other.started_at_ms > entry.started_at_ms)
    }

    /// Brings the entry in force of one name up to date, and returns the changes.
    fn merge(&mut self, name: &str) -> Vec<ListEntry> {
        let new = self.sources.iter().rev().find_map(|entries| entries.get(name));
        let new = new.filter(|entry| !self.is_taken_over(entry));
        let old = self.entries.get(name);
        if new == old {
            return Vec::new();
        }
        let is_same_endpoint =
            |old: &&ListEntry| new.is_some_and(|new| new.record.endpoint == old.record.endpoint);
        let gone = old.filter(|old| !is_same_endpoint(old)).cloned();
        let mut changes: Vec<ListEntry> = gone.into_iter().map(removal).chain(new.cloned()).collect();
        for change in &mut changes {
            let endpoint = change.record.endpoint;
            if change.record.lifecycle == Lifecycle::Gone {
                self.ids.remove(&endpoint);
            } else {
                self.ids.insert(endpoint);
            }
        }
        match new.cloned() {
            Some(new) => self.entries.insert(name.to_owned(), new),
            None => self.entries.remove(name),
        };
        changes
    }

    /// The entries in force, by name.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }

    /// The records of the entries in force.
    pub fn records(&self) -> Vec<EndpointRecord> {
        self.entries().map(|entry| entry.record.clone()).collect()
    }

    /// The entries of one source, by name, also those that a source of higher precedence overrides.
    pub fn entries_of(&self, source: ListSource) -> impl Iterator<Item = &ListEntry> {
        self.sources[source as usize].values()
    }

    /// Whether an endpoint is in the list in force.
    pub fn contains(&self, endpoint: EndpointId) -> bool {
        self.ids.contains(&endpoint)
    }

    /// Number of entries in force.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the list in force has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The entry that reports an entry as gone.
fn removal(mut entry: ListEntry) -> ListEntry {
    entry.record.lifecycle = Lifecycle::Gone;
    entry
}
