//! The platform's configuration: the JSON file named by `PROXY_CONFIG`, read at the start and at SIGHUP.

use super::list::identity::fnv1a;
use super::list::{self, ListUpdate, Names};
use crate::config::model::PlatformConfig;
use crate::settings;
use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Memory limit of the process where the platform's file names none.
const DEFAULT_MEMORY_BYTES: u64 = 192_000_000;

/// The platform's configuration as read by [`load`].
#[derive(Clone)]
pub struct Config {
    /// The state folder.
    pub state_folder: PathBuf,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The endpoint list as last known.
    pub known: Option<ListUpdate>,
    /// Address of the listener for operators' calls.
    pub ops_address: Option<SocketAddr>,
    /// The settings that operators can also set.
    pub platform: PlatformConfig,
}

/// Reads the platform's file and the environment.
pub fn load() -> Result<Config, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_owned())?;
    let bytes = std::fs::read(&path).map_err(|problem| format!("{path}: {problem}"))?;
    let state_folder = std::env::var("PROXY_STATE").map_err(|_| "PROXY_STATE is not set".to_owned())?;
    let mut config = parse(bytes, state_folder.into()).map_err(|problem| format!("{path}: {problem}"))?;
    // The environment belongs to this process; a successor may be given the same file.
    if let Some(text) = std::env::var("PROXY_ADMIN_ADDR").ok().filter(|text| !text.is_empty()) {
        match text.parse() {
            Ok(address) => config.ops_address = Some(address),
            Err(_) => {
                log!("PROXY_ADMIN_ADDR: \"{text}\" is not an address: write IP:PORT; using admin_addr of {path}")
            }
        }
    }
    Ok(config)
}

fn items<'a, 'b>(value: &'a BorrowedValue<'b>, key: &str) -> &'a [BorrowedValue<'b>] {
    value.get_array(key).map_or(&[], |items| items)
}

fn text(value: &BorrowedValue, key: &str) -> Result<String, String> {
    value.get_str(key).map(str::to_owned).ok_or_else(|| format!("{key} is missing: add it as a string"))
}

fn address(value: &BorrowedValue, key: &str) -> Result<SocketAddr, String> {
    let text = text(value, key)?;
    text.parse().map_err(|_| format!("{key}: \"{text}\" is not an address: write IP:PORT"))
}

/// Parses the file's text.
pub fn parse(mut bytes: Vec<u8>, state_folder: PathBuf) -> Result<Config, String> {
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|problem| problem.to_string())?;
    let settings_value =
        value.get("settings").ok_or("settings is missing: add the object that the platform provides")?;
    let mut pairs = BTreeMap::new();
    flatten(settings_value, "", &mut pairs);
    let settings = settings::from_pairs(pairs.iter().map(|(path, text)| (path.as_str(), text.as_str())))?;
    let text_list = |key: &str| -> Vec<String> {
        items(settings_value, key).iter().filter_map(|item| item.as_str().map(str::to_owned)).collect()
    };
    let names_of = |key: &str| -> Vec<String> {
        items(settings_value, key)
            .iter()
            .map(|item| item.get_str("name").unwrap_or_default().to_owned())
            .collect()
    };
    let limit = |key: &str| value.get("limits").and_then(|limits| limits.get(key)?.cast_f64());
    let seed = value.get_str("seed").unwrap_or_default();
    let names = Names { kinds: text_list("shapes"), zones: text_list("zones") };
    let dial_ms = pairs.get("policyLimits.dialTimeoutMs").and_then(|text| text.parse().ok());
    let known = value.get("known").and_then(|known| {
        let read = list::read(known, &names);
        if read.is_none() {
            log!("known: not a list in discovery's format, ignored: the process serves once discovery provides a list");
        }
        read
    });
    let platform = PlatformConfig {
        listen: address(&value, "listen")?,
        discovery: address(&value, "discovery")?,
        sockets: limit("sockets").map_or(1024, |sockets| sockets as usize),
        memory: limit("memory_mb").map_or(DEFAULT_MEMORY_BYTES, |mb| (mb * 1e6) as u64),
        disk: limit("disk_mb").map_or(3 << 20, |mb| (mb * 1e6) as u64),
        settings,
        dial_timeout: crate::Micros::from_ms(dial_ms.unwrap_or(1500.0)),
        classes: names_of("requestClasses"),
        tenants: names_of("realms"),
        names,
    };
    let ops_address = value.get_str("admin_addr").filter(|text| !text.is_empty()).and_then(|text| {
        let address = text.parse().ok();
        if address.is_none() {
            log!("admin_addr: \"{text}\" is not an address: write IP:PORT; operators' calls are not served");
        }
        address
    });
    let seed = u64::from_str_radix(seed, 16).unwrap_or_else(|_| fnv1a(seed));
    Ok(Config { state_folder, seed, known, ops_address, platform })
}

/// Flattens nested JSON to pairs of path and text: lists of scalars are joined by commas, lists of objects
/// counted.
fn flatten(value: &BorrowedValue, path: &str, pairs: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        for (name, inner) in object.iter() {
            flatten(inner, &below(name), pairs);
        }
    } else if let Some(items) = value.as_array() {
        if items.iter().any(|item| item.as_object().is_some()) {
            pairs.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(item, &below(&index.to_string()), pairs);
            }
        } else {
            let texts: Vec<String> = items.iter().filter_map(scalar_text).collect();
            pairs.insert(path.to_owned(), texts.join(","));
        }
    } else if let Some(text) = scalar_text(value) {
        pairs.insert(path.to_owned(), text);
    }
}

fn scalar_text(value: &BorrowedValue) -> Option<String> {
    if let Some(text) = value.as_str() {
        return Some(text.to_owned());
    }
    value.as_bool().map(|flag| flag.to_string()).or_else(|| value.cast_f64().map(|number| number.to_string()))
}
