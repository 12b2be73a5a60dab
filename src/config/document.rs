//! The sections of the operators' file. A key is optional where its type is an `Option`; what the file omits
//! is taken from the platform's file. Names of keys include the unit.

#![allow(non_snake_case)] // Some keys have the spelling of the discovery protocol.

use super::read::{Location, Value};
use super::secret::Secret;
use super::tree::{self, Node, Raw};
use super::{problem::Problems, read};

use schemars::JsonSchema;
use serde::Serialize;
use std::net::SocketAddr;

/// Declares an enum whose values are written in the file as fixed words.
macro_rules! text_values {
    ($(#[$doc:meta])* $name:ident { $($(#[$meaning:meta])* $variant:ident = $word:literal),* }) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, JsonSchema)]
        $(#[$doc])*
        pub enum $name {
            $($(#[$meaning])* #[serde(rename = $word)] $variant),*
        }

        impl Value for $name {
            fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
                match &node.value {
                    $(Raw::Text(word) if word == $word => Some($name::$variant),)*
                    other => {
                        let what = if matches!(other, Raw::Text(_)) { "not an allowed value" } else { other.kind() };
                        problems.add(at.problem(node.line, what, concat!("write one of:" $(, " ", $word)*)));
                        None
                    }
                }
            }
        }
    };
}

text_values! {
    /// The effect of sending a message to its destination more than once.
    Repeats {
        /// It may be sent again at any time.
        Retryable = "retryable",
        /// Receivers discard duplicates for `window_ms`.
        Dedup = "dedup",
        /// It must never take effect more than once.
        Fragile = "fragile"
    }
}

text_values! {
    /// The endpoints that share the record of a message's key, by which duplicates are recognized.
    Scope {
        /// All endpoints of the destination.
        All = "all",
        /// All endpoints of the destination in one zone.
        Zone = "zone",
        /// A single endpoint.
        Endpoint = "endpoint"
    }
}

text_values! {
    /// The least severe log lines that are written.
    Level {
        /// Errors.
        Error = "error",
        /// Errors and warnings.
        Warn = "warn",
        /// Errors, warnings and events.
        Info = "info",
        /// All of these, and each step.
        Debug = "debug"
    }
}

text_values! {
    /// The format of a log line.
    Form {
        /// Plain text for people.
        Text = "text",
        /// One JSON object per line.
        Json = "json"
    }
}

section! {
    /// All settings of the operators' file.
    Document {
        /// Address on which clients of the platform's front connect.
        listen: Option<SocketAddr>;
        /// Address of the discovery agent, to which delivery reports are also sent.
        discovery: Option<SocketAddr>;
        /// Resource limits of the process.
        limits: Option<Limits>;
        /// Message classes; where given, the list replaces the whole list of the platform's file.
        classes: Option<Vec<Class>>;
        /// Tenants; where given, the list replaces the whole list of the platform's file.
        tenants: Option<Vec<Tenant>>;
        /// Log lines for operators.
        log: Option<Log>;
        /// The AMQP front for publishers, and destinations that are reached through brokers.
        amqp: Option<Amqp>;
        /// Endpoint records read from DNS-SD.
        dns_sd: Option<DnsSd>;
        /// The administration API.
        admin: Option<Admin>;
        /// Membership among the forwarders of the fleet; where absent, no socket is opened for it.
        membership: Option<Membership>;
    }
}

section! {
    /// Resource limits of the process.
    Limits {
        /// Maximum number of concurrent calls to endpoints.
        slots: Option<u32> = 1 ..= 65_536;
        /// Maximum number of messages held at once, including those with a call in progress.
        held_messages: Option<u32> = 1 ..= 10_000_000;
        /// Maximum size of the messages held at once, in units of 1,000,000 bytes.
        held_mb: Option<f64> = 0.01 ..= 1_000_000.0;
        /// Maximum number of attempts for one message.
        max_attempts: Option<u32> = 1 ..= 1_000;
        /// Maximum number of file descriptors of the process.
        sockets: Option<u32> = 64 ..= 1_048_576;
        /// Maximum size of the state folder, in units of 1,000,000 bytes.
        disk_mb: Option<f64> = 0.1 ..= 1_000_000.0;
        /// Time-out for connecting to an endpoint, in milliseconds.
        dial_timeout_ms: Option<f64> = 1.0 ..= 600_000.0;
        /// Idle time after which a connection to an endpoint is closed, in milliseconds.
        server_idle_ms: Option<f64> = 1.0 ..= 3_600_000.0;
        /// Longest retry-after given to a client whose message is rejected, in milliseconds.
        max_retry_after_ms: Option<f64> = 1.0 ..= 3_600_000.0;
    }
}

section! {
    /// A message class.
    Class {
        /// Name of the class, as given in the header `Request-Class` or the AMQP property `type`.
        name: String;
        /// Effect of sending a message of this class more than once. It cannot change while the process runs.
        effect: Repeats;
        /// The endpoints that share the record of keys; only for `dedup`, where the default is `endpoint`.
        key_scope: Option<Scope>;
        /// Time for which receivers discard duplicates, in milliseconds; required for `dedup`.
        window_ms: Option<f64> = 1.0 ..= 86_400_000.0;
        /// Target time: a message delivered within it earns its full worth, in milliseconds.
        aim_ms: f64 = 1.0 ..= 86_400_000.0;
        /// Time after which the message is no longer delivered, in milliseconds.
        deadline_ms: f64 = 1.0 ..= 86_400_000.0;
        /// Worth of a message that is delivered within the target time; default 1.
        worth: Option<f64> = 0.0 ..= 1_000_000.0;
        /// Fraction of the worth that remains at the deadline; default 0.
        late_share: Option<f64> = 0.0 ..= 1.0;
    }
}

section! {
    /// A tenant.
    Tenant {
        /// Name of the tenant, as given in the header `Tenant` or as the AMQP virtual host.
        name: String;
        /// Quota: messages per second, over all forwarders, that are within the tenant's share.
        quota_per_s: f64 = 0.0 ..= 10_000_000.0;
        /// Weight of the tenant relative to the others when shared resources are divided; default 1.
        weight: Option<f64> = 0.001 ..= 1_000.0;
        /// The tenant's share of concurrent calls to endpoints.
        slots: Option<Share>;
        /// The tenant's share of messages held at once.
        held_messages: Option<Share>;
        /// The tenant's share of the size of messages held at once, in units of 1,000 bytes.
        held_kb: Option<Share>;
        /// Rate limit of submissions; where absent, there is none.
        arrivals: Option<Arrivals>;
    }
}

section! {
    /// A tenant's share of a resource. A quarter of its guarantee is never lent to other tenants.
    #[schemars(rename = "Part")]
    Share {
        /// Amount guaranteed to the tenant; where absent, it follows from the weight.
        guarantee: Option<u32> = 0 ..= 1_000_000_000;
        /// Maximum for the tenant; where absent, it may use all that is idle.
        ceiling: Option<u32> = 1 ..= 1_000_000_000;
    }
}

section! {
    /// Rate limit of submissions or requests (GCRA).
    Arrivals {
        /// Allowed rate per second.
        per_s: f64 = 0.001 ..= 10_000_000.0;
        /// Number that may arrive at once; default: the number allowed in one second.
        burst: Option<u32> = 1 ..= 10_000_000;
    }
}

section! {
    /// Log lines for operators, on standard error.
    Log {
        /// The least severe log lines that are written; default `info`.
        level: Option<Level>;
        /// The format of a log line; default `text`. A change takes effect at the next start.
        form: Option<Form>;
    }
}

section! {
    /// AMQP 0-9-1.
    Amqp {
        /// Address on which publishers connect; where absent, the AMQP front is off.
        listen: Option<SocketAddr>;
        /// Credentials of publishers, each for one tenant.
        tenants: Option<Vec<Publisher>>;
        /// Destinations that are reached through a broker.
        brokers: Option<Vec<Broker>>;
    }
}

section! {
    /// Credentials with which a client may publish for a tenant.
    Publisher {
        /// Name of the tenant.
        tenant: String;
        /// User name for SASL PLAIN.
        user: String;
        /// Password for SASL PLAIN.
        password: Secret;
    }
}

section! {
    /// The broker of a destination, configured as an endpoint record.
    Broker {
        /// Name of the broker among the endpoint records.
        instanceId: String;
        /// Address on which the broker listens.
        hostPort: SocketAddr;
        /// Number of the destination.
        cell: u64;
        /// Kind of the destination; an unknown kind accepts one message per call.
        machineType: String;
        /// User name for SASL PLAIN.
        user: String;
        /// Password for SASL PLAIN.
        password: Secret;
        /// AMQP virtual host.
        vhost: String;
        /// AMQP exchange; empty for the default exchange.
        exchange: String;
        /// AMQP routing key.
        routing_key: String;
    }
}

section! {
    /// DNS-SD over TCP.
    DnsSd {
        /// Address of the DNS resolver.
        resolver: SocketAddr;
        /// Name of the service, for example `_partner._tcp.example.org`.
        service: String;
    }
}

section! {
    /// The administration API.
    Admin {
        /// Address on which the API listens.
        listen: SocketAddr;
        /// Tokens that give access to the API.
        tokens: Option<Vec<Token>>;
    }
}

section! {
    /// Membership among the forwarders of the fleet, over UDP.
    Membership {
        /// Name of this forwarder, unique within the cluster; at most 64 bytes.
        name: String;
        /// Name of the cluster; datagrams from other clusters are dropped. At most 64 bytes.
        cluster: String;
        /// Address to which the UDP socket is bound.
        listen: SocketAddr;
        /// Address at which the other members reach this forwarder; default: `listen`.
        advertise: Option<SocketAddr>;
        /// Members that this forwarder asks in order to join; the first of a cluster has none, or names
        /// itself.
        seeds: Option<Vec<SocketAddr>>;
        /// Key shared by all members: a process without it cannot join, and its datagrams are dropped. At
        /// least 16 bytes.
        key: Option<Secret>;
        /// Interval between probes, each of one member, in milliseconds; default 200.
        probe_interval_ms: Option<f64> = 20.0 ..= 60_000.0;
        /// A suspect is declared dead after at least this times log10(members) probe intervals; default 3.5.
        suspicion_multiplier: Option<f64> = 1.0 ..= 100.0;
        /// Names of the members that decide which forwarders go out of service for maintenance
        /// (`docs/maintenance.md`). The list must be the same on all members; where absent, no forwarder goes
        /// out.
        voters: Option<Vec<String>>;
    }
}

section! {
    /// A bearer token of the administration API.
    Token {
        /// The bearer token.
        token: Secret;
        /// Name shown in the history of changes; default `token N`.
        name: Option<String>;
        /// Tenant to which the token is limited; where absent, it can read and change everything.
        tenant: Option<String>;
        /// Rate limit of requests with this token. Default for a tenant's token: 50 per second and 100 at
        /// once.
        requests: Option<Arrivals>;
    }
}

/// Reads a document, or returns all problems found in it.
pub fn parse(bytes: &[u8]) -> Result<(Document, Node), Problems> {
    let node = tree::read(bytes)?;
    let mut problems = Problems::default();
    let document = <Document as read::Value>::read(&node, Location::Root, &mut problems);
    match document {
        Some(document) => problems.into_result((document, node)),
        None => Err(problems),
    }
}

/// The line of the value at `path`, if the document contains it.
pub fn line_of(node: &Node, path: &str) -> Option<u64> {
    let mut node = node;
    for part in path.split(['.', '[']).filter(|part| !part.is_empty()) {
        node = match (&node.value, part.strip_suffix(']')) {
            (Raw::List(list), Some(index)) => list.get(index.parse::<usize>().ok()?)?,
            (Raw::Map(map), None) => map.iter().find(|(key, ..)| key == part).map(|(.., value)| value)?,
            _ => return None,
        };
    }
    (node.line > 0).then_some(node.line)
}

/// The JSON Schema of the operators' file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Document);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

#[cfg(test)]
mod tests;
