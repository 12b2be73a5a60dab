//! The endpoint list: endpoint records from discovery, DNS-SD and other sources.

pub mod dns_sd;
pub mod endpoints;
pub mod identity;
pub mod round;
pub mod spread;
pub mod watch;

use crate::{DestinationId, EndpointRecord, Lifecycle};
use identity::EndpointIdentity;
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::net::SocketAddr;

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The endpoint's name.
    pub name: String,
    /// The endpoint record that the engine works with.
    #[serde(rename = "member")]
    pub record: EndpointRecord,
    /// The endpoint's address; absent in an update that reports the endpoint as gone.
    pub address: Option<SocketAddr>,
    /// When its process last started, in Unix time in milliseconds; 0 for long ago or not known.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// The list's version.
    pub generation: u64,
    /// The entries are the complete list, not changes to it.
    pub whole: bool,
    /// The entries that are listed or have changed.
    pub entries: Vec<ListEntry>,
}

/// Names of destination kinds and zones, in the order of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Names {
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Names {
    /// The name of a kind; empty where the index names none.
    pub fn kind(&self, index: usize) -> &str {
        self.kinds.get(index).map_or("", String::as_str)
    }

    /// The name of a zone; empty where the index names none.
    pub fn zone(&self, index: u32) -> &str {
        self.zones.get(index as usize).map_or("", String::as_str)
    }

    /// Maps indices of kinds and zones in `before` to indices here. A name unknown here maps past the end.
    pub fn index_mapping(&self, before: &Names) -> crate::IndexMapping {
        let index_of =
            |here: &[String], name: &String| here.iter().position(|one| one == name).unwrap_or(here.len());
        crate::IndexMapping {
            kinds: before.kinds.iter().map(|name| index_of(&self.kinds, name)).collect(),
            zones: before.zones.iter().map(|name| index_of(&self.zones, name)).collect(),
        }
    }
}

/// Parses discovery's JSON format. A malformed entry is left out; a malformed list is an error.
pub fn read(value: &BorrowedValue, names: &Names) -> Option<ListUpdate> {
    let generation = value.get_u64("generation")?;
    let whole = value.get_bool("reset").unwrap_or(false);
    let entries =
        value.get_array("instances")?.iter().filter_map(|instance| parse_entry(instance, names)).collect();
    Some(ListUpdate { generation, whole, entries })
}

/// Writes a complete list in discovery's JSON format; [`read`] parses it.
pub fn write<'a>(generation: u64, entries: impl Iterator<Item = &'a ListEntry>, names: &Names) -> Vec<u8> {
    let instances: Vec<serde_json::Value> = entries
        .map(|ListEntry { name: id, record, address, started_at_ms }| {
            let lifecycle = match record.lifecycle {
                Lifecycle::Ready => "up",
                Lifecycle::Draining => "draining",
                Lifecycle::Gone => "gone",
            };
            serde_json::json!({
                "instanceId": id, "hostPort": address.map(|address| address.to_string()),
                "zone": names.zone(record.zone), "machineType": names.kind(record.kind),
                "cell": record.destination.0, "lifecycle": lifecycle, "weight": record.weight,
                "startedAtMs": started_at_ms,
            })
        })
        .collect();
    serde_json::json!({ "generation": generation, "reset": true, "instances": instances })
        .to_string()
        .into_bytes()
}

fn parse_entry(value: &BorrowedValue, names: &Names) -> Option<ListEntry> {
    let lifecycle = match value.get_str("lifecycle")? {
        "up" => Lifecycle::Ready,
        "draining" => Lifecycle::Draining,
        _ => Lifecycle::Gone,
    };
    let index_of = |known: &[String], key: &str| {
        let name = value.get_str(key).unwrap_or_default();
        known.iter().position(|one| one == name).unwrap_or(known.len())
    };
    let address = value.get_str("hostPort").and_then(|address| address.parse().ok());
    if address.is_none() && lifecycle != Lifecycle::Gone {
        return None;
    }
    let name = value.get_str("instanceId")?.to_owned();
    let destination = DestinationId(value.get_u64("cell").unwrap_or(u64::MAX));
    let zone = index_of(&names.zones, "zone") as u32;
    let kind = index_of(&names.kinds, "machineType");
    // Without the address: discovery may name another one at each forwarder.
    let identity = EndpointIdentity {
        name: &name,
        destination,
        kind: names.kind(kind),
        zone: names.zone(zone),
        address: None,
    };
    let record = EndpointRecord {
        endpoint: identity.id(),
        destination,
        zone,
        kind,
        lifecycle,
        weight: value.get("weight").and_then(|weight| weight.cast_f64()).unwrap_or(0.0),
    };
    let started_at_ms = value.get_u64("startedAtMs").unwrap_or(0);
    Some(ListEntry { name, record, address, started_at_ms })
}
