//! What the forwarder is told at its start: the JSON file named by `PROXY_CONFIG`, read at the start and at SIGHUP.

use super::admin::Token;
use super::clients::amqp::Credentials;
use super::list::{self, Entry, Names, News};
use super::servers::amqp::Broker;
use crate::{settings, DestinationId, Lifecycle, Member, Settings};
use simd_json::prelude::*;
use simd_json::BorrowedValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What [`load`] reads.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors at most.
    pub sockets: usize,
    /// Bytes in the folder that lasts at most.
    pub disk: u64,
    /// What the module is told.
    pub settings: Settings,
    /// A connection not up by then has failed, in microseconds.
    pub dial_timeout: crate::Micros,
    /// Names of classes, in order.
    pub classes: Vec<String>,
    /// Names of tenants, in order.
    pub tenants: Vec<String>,
    /// Names of kinds and zones.
    pub names: Names,
    /// The list as last held.
    pub known: Option<News>,
    /// What the file named on the command line turns on.
    pub fronts: Fronts,
}

/// What the platform does not have; all of it is off without a file.
#[derive(Default)]
pub struct Fronts {
    /// Where publishers connect.
    pub amqp: Option<SocketAddr>,
    /// Who may publish.
    pub credentials: Vec<Credentials>,
    /// Partners that are reached through a broker: service entries of our own.
    pub brokers: Vec<(Entry, Broker)>,
    /// Where the administration API listens.
    pub admin: Option<SocketAddr>,
    /// Who may use it.
    pub tokens: Vec<Token>,
    /// The resolver that is asked for DNS-SD records, and the service's name.
    pub dns_sd: Option<(SocketAddr, String)>,
}

/// Reads the platform's file again, as at the start; the fronts' file is left alone.
pub fn reload() -> Result<Config, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_owned())?;
    let bytes = std::fs::read(&path).map_err(|problem| format!("{path}: {problem}"))?;
    let state = std::env::var("PROXY_STATE").map_err(|_| "PROXY_STATE is not set".to_owned())?;
    parse(bytes, state.into()).map_err(|problem| format!("{path}: {problem}"))
}

/// Reads the files and the environment.
pub fn load() -> Result<Config, String> {
    let mut config = reload()?;
    if let Some(path) = std::env::args().nth(1) {
        let bytes = std::fs::read(&path).map_err(|problem| format!("{path}: {problem}"))?;
        config.fronts = fronts(bytes, &config).map_err(|problem| format!("{path}: {problem}"))?;
    }
    Ok(config)
}

/// Reads the fronts' file.
pub fn fronts(mut bytes: Vec<u8>, config: &Config) -> Result<Fronts, String> {
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|problem| problem.to_string())?;
    let mut fronts = Fronts::default();
    if let Some(amqp) = value.get("amqp") {
        fronts.amqp = Some(address(amqp, "listen")?);
        for one in items(amqp, "tenants") {
            let tenant = tenant(config, &text(one, "tenant")?)?;
            let (user, password) = (text(one, "user")?, text(one, "password")?);
            fronts.credentials.push(Credentials { tenant, user, password });
        }
        for one in items(amqp, "brokers") {
            fronts.brokers.push(broker(one, &config.names)?);
        }
    }
    if let Some(dns_sd) = value.get("dns_sd") {
        fronts.dns_sd = Some((address(dns_sd, "resolver")?, text(dns_sd, "service")?));
    }
    if let Some(admin) = value.get("admin") {
        fronts.admin = Some(address(admin, "listen")?);
        for one in items(admin, "tokens") {
            let of = one.get_str("tenant").map(|name| tenant(config, name)).transpose()?;
            let token = text(one, "token")?;
            if token.is_empty() {
                return Err("an empty token would let everybody in".to_owned());
            }
            fronts.tokens.push(Token { token, tenant: of });
        }
    }
    Ok(fronts)
}

fn broker(value: &BorrowedValue, names: &Names) -> Result<(Entry, Broker), String> {
    let kind = text(value, "machineType")?;
    let address = address(value, "hostPort")?;
    let name = text(value, "instanceId")?;
    let member = Member {
        endpoint: list::endpoint_id(&name),
        destination: DestinationId(value.get_u64("cell").ok_or("cell is missing")?),
        zone: 0,
        kind: names.kinds.iter().position(|known| *known == kind).unwrap_or(names.kinds.len()),
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
    };
    let broker = Broker {
        address,
        user: text(value, "user")?,
        password: text(value, "password")?,
        vhost: text(value, "vhost")?,
        exchange: text(value, "exchange")?,
        routing_key: text(value, "routing_key")?,
    };
    Ok((Entry { name, member, address: Some(address) }, broker))
}

fn tenant(config: &Config, name: &str) -> Result<usize, String> {
    let known = config.tenants.iter().position(|known| known == name);
    known.ok_or_else(|| format!("tenant \"{name}\" is not in the settings"))
}

fn items<'a, 'b>(value: &'a BorrowedValue<'b>, key: &str) -> &'a [BorrowedValue<'b>] {
    value.get_array(key).map_or(&[], |items| items)
}

fn text(value: &BorrowedValue, key: &str) -> Result<String, String> {
    value.get_str(key).map(str::to_owned).ok_or_else(|| format!("{key} is missing"))
}

fn address(value: &BorrowedValue, key: &str) -> Result<SocketAddr, String> {
    let text = text(value, key)?;
    text.parse().map_err(|_| format!("{key}: \"{text}\" is no address"))
}

/// Reads the file's text.
pub fn parse(mut bytes: Vec<u8>, state: PathBuf) -> Result<Config, String> {
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|problem| problem.to_string())?;
    let told = value.get("settings").ok_or("settings is missing")?;
    let mut pairs = BTreeMap::new();
    flatten(told, "", &mut pairs);
    let settings = settings::from_pairs(pairs.iter().map(|(path, text)| (path.as_str(), text.as_str())))?;
    let texts = |key: &str| -> Vec<String> {
        items(told, key).iter().filter_map(|item| item.as_str().map(str::to_owned)).collect()
    };
    let named = |key: &str| -> Vec<String> {
        items(told, key).iter().map(|item| item.get_str("name").unwrap_or_default().to_owned()).collect()
    };
    let limit = |key: &str| value.get("limits").and_then(|limits| limits.get(key)?.cast_f64());
    let seed = value.get_str("seed").unwrap_or_default();
    let names = Names { kinds: texts("shapes"), zones: texts("zones") };
    let dial_ms = pairs.get("policyLimits.dialTimeoutMs").and_then(|text| text.parse().ok());
    Ok(Config {
        listen: address(&value, "listen")?,
        discovery: address(&value, "discovery")?,
        state,
        seed: u64::from_str_radix(seed, 16).unwrap_or_else(|_| list::endpoint_id(seed).0),
        sockets: limit("sockets").map_or(1024, |sockets| sockets as usize),
        disk: limit("disk_mb").map_or(3 << 20, |mb| (mb * 1e6) as u64),
        settings,
        dial_timeout: crate::Micros::from_ms(dial_ms.unwrap_or(1500.0)),
        classes: named("requestClasses"),
        tenants: named("realms"),
        known: value.get("known").and_then(|known| list::read(known, &names)),
        names,
        fronts: Fronts::default(),
    })
}

/// Nested JSON as pairs of path and text: lists of plain values joined by commas, lists of objects counted.
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
            let texts: Vec<String> = items.iter().filter_map(plain).collect();
            pairs.insert(path.to_owned(), texts.join(","));
        }
    } else if let Some(text) = plain(value) {
        pairs.insert(path.to_owned(), text);
    }
}

fn plain(value: &BorrowedValue) -> Option<String> {
    if let Some(text) = value.as_str() {
        return Some(text.to_owned());
    }
    value.as_bool().map(|flag| flag.to_string()).or_else(|| value.cast_f64().map(|number| number.to_string()))
}
