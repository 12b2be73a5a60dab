//! The effective configuration: the operators' file merged over the platform's, with the relations between
//! settings checked. A model is a set of parts; a change of it is the list of parts that differ.

use super::descriptors::needed_descriptors;
use super::document::{self, Class, Document, Form, Level, Log, Repeats, Scope, Tenant};
use super::fingerprint;
use super::members::{self, Membership};
use super::memory::MemoryShares;
use super::problem::{Problem, Problems};
use super::secret::{hex, Secret, SecretFiles, SecretText, REDACTED};
use crate::net::list::identity::EndpointIdentity;
use crate::net::list::Names;
use crate::tenancy::rate::Rate;
use crate::tenancy::{Isolation, ShareLimits};
use crate::{ClassSettings, DestinationId, Effect, EndpointId, KeyScope, Micros, Settings};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;

/// Index of the zone of brokers: the operators' file names none.
pub const BROKER_ZONE: u32 = 0;

/// The settings of the platform's file that the operators' file can override.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformConfig {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory: u64,
    /// Maximum size of the state folder in bytes.
    pub disk: u64,
    /// Settings of the forwarding core.
    pub settings: Settings,
    /// Time-out for connecting to an endpoint.
    pub dial_timeout: Micros,
    /// Names of classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of kinds and zones.
    pub names: Names,
}

/// Settings of the core, and the names by which its lists of classes and tenants are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Core {
    /// Settings; classes and tenants in the order of the names.
    pub settings: Settings,
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants; empty where there is a single unnamed tenant.
    pub tenants: Vec<String>,
    /// Maximum size of held messages in bytes; `None` where only the size of the state folder limits it.
    pub held_bytes: Option<u64>,
    /// Maximum size of held messages in bytes that the process's memory allows.
    pub held_memory: u64,
}

/// Credentials with which a client may publish for a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publisher {
    /// Name of the tenant.
    pub tenant: String,
    /// User name for SASL PLAIN.
    pub user: String,
    /// Password for SASL PLAIN.
    pub password: SecretText,
}

/// The broker of a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broker {
    /// Name among the endpoint records.
    pub name: String,
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Address on which the broker listens.
    pub address: SocketAddr,
    /// Number of the destination.
    pub cell: u64,
    /// Index of the destination's kind.
    pub kind: usize,
    /// User name for SASL PLAIN.
    pub user: String,
    /// Password for SASL PLAIN.
    pub password: SecretText,
    /// Virtual host.
    pub vhost: String,
    /// Exchange.
    pub exchange: String,
    /// Routing key.
    pub routing_key: String,
}

/// Default rate limit of requests with a tenant's token: more than people and scripts need.
const DEFAULT_TENANT_REQUESTS: Rate = Rate { per_second: 50.0, burst: 100 };

/// A bearer token of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    /// The secret.
    pub token: SecretText,
    /// Name shown in the history of changes.
    pub name: String,
    /// Name of the tenant to which the token is limited; `None` gives access to everything.
    pub tenant: Option<String>,
    /// Rate limit of requests with the token; `None` where there is no limit.
    pub requests: Option<Rate>,
}

macro_rules! parts {
    ($($(#[$doc:meta])* $variant:ident $field:ident: $type:ty;)*) => {
        /// The effective configuration, see the module documentation.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Model {
            $($(#[$doc])* pub $field: $type,)*
        }

        /// Identifies a part of the model.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum PartKind {
            $($(#[$doc])* $variant),*
        }

        /// One part of a model, with its value.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Part {
            $($(#[$doc])* $variant($type)),*
        }

        impl PartKind {
            /// All kinds, in the order in which a change prepares and commits the parts.
            pub const ALL: &'static [PartKind] = &[$(PartKind::$variant),*];
        }

        impl Part {
            /// Which part of the model this is.
            pub fn kind(&self) -> PartKind {
                match self {
                    $(Part::$variant(_) => PartKind::$variant),*
                }
            }
        }

        impl Model {
            /// Returns a copy of a part.
            pub fn part(&self, kind: PartKind) -> Part {
                match kind {
                    $(PartKind::$variant => Part::$variant(self.$field.clone())),*
                }
            }

            /// Whether the part has the same value in another model.
            pub fn part_equals(&self, other: &Model, kind: PartKind) -> bool {
                match kind {
                    $(PartKind::$variant => self.$field == other.$field),*
                }
            }

            /// Replaces a part.
            pub fn set_part(&mut self, part: Part) {
                match part {
                    $(Part::$variant(value) => self.$field = value),*
                }
            }
        }
    };
}

parts! {
    /// Maximum number of file descriptors. It is first because preparing other parts opens descriptors.
    Sockets sockets: usize;
    /// Memory limit of the process in bytes. The operators' file cannot change it.
    Memory memory: u64;
    /// Address on which clients of the platform's front connect.
    Listen listen: SocketAddr;
    /// Address on which publishers connect; `None` while the AMQP front is off.
    AmqpListen amqp_listen: Option<SocketAddr>;
    /// Address of the administration API; `None` while it is off.
    AdminListen admin_listen: Option<SocketAddr>;
    /// Membership among the forwarders of the fleet; `None` while it is off.
    Members members: Option<Membership>;
    /// Maximum size of the state folder in bytes.
    Disk disk: u64;
    /// Settings of the core.
    Core core: Core;
    /// Time-out for connecting to an endpoint.
    Dial dial_timeout: Micros;
    /// Credentials of publishers.
    Publishers publishers: Vec<Publisher>;
    /// Brokers of destinations.
    Brokers brokers: Vec<Broker>;
    /// Tokens of the administration API.
    Tokens tokens: Vec<Token>;
    /// Address of the resolver for DNS-SD records, and name of the service.
    DnsSd dns_sd: Option<(SocketAddr, String)>;
    /// Address of the discovery agent.
    Discovery discovery: SocketAddr;
    /// Level and format of log lines.
    Log log: (Level, Form);
    /// Names of the endpoints' kinds and zones; they cannot change while the process runs.
    Names names: Names;
}

/// The printable text of a value; for a secret, also a digest by which a change is recognized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DisplayValue {
    /// The value as text; a secret is redacted.
    pub text: String,
    /// Salted digest of a secret.
    secret_digest: Option<String>,
}

/// All values of a model by path; items of lists are identified by name.
pub type Outline = BTreeMap<String, DisplayValue>;

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Path of the value.
    pub path: String,
    /// Value before the change; `None` where it is added.
    pub from: Option<String>,
    /// Value after the change; `None` where it is removed.
    pub to: Option<String>,
}

/// The values that differ between two outlines.
pub fn differences(from: &Outline, to: &Outline) -> Vec<Difference> {
    let paths: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = paths.into_iter().filter(|path| from.get(*path) != to.get(*path));
    let text = |outline: &Outline, path: &String| outline.get(path).map(|shown| shown.text.clone());
    changed
        .map(|path| Difference { path: path.clone(), from: text(from, path), to: text(to, path) })
        .collect()
}

struct OutlineWriter<'a>(Outline, &'a [u8]);

impl OutlineWriter<'_> {
    fn put(&mut self, path: impl Into<String>, value: impl Display) {
        self.0.insert(path.into(), DisplayValue { text: value.to_string(), secret_digest: None });
    }

    fn hide(&mut self, path: impl Into<String>, secret: &SecretText) {
        let secret_digest = Some(secret.digest(self.1));
        self.0.insert(path.into(), DisplayValue { text: REDACTED.to_owned(), secret_digest });
    }
}

impl Model {
    /// All values by path. Secrets are redacted; `salt` prevents guessing them from their digests.
    pub fn outline(&self, salt: &[u8]) -> Outline {
        let mut out = OutlineWriter(Outline::new(), salt);
        out.put("listen", self.listen);
        out.put("discovery", self.discovery);
        let settings = &self.core.settings;
        out.put("limits.slots", settings.slots);
        out.put("limits.held_messages", settings.max_messages);
        if let Some(bytes) = self.core.held_bytes {
            out.put("limits.held_mb", bytes as f64 / 1e6);
        }
        out.put("limits.max_attempts", settings.max_attempts);
        out.put("limits.sockets", self.sockets);
        out.put("limits.disk_mb", self.disk as f64 / 1e6);
        out.put("limits.dial_timeout_ms", self.dial_timeout.as_ms());
        out.put("limits.server_idle_ms", settings.connection_idle.as_ms());
        out.put("limits.max_retry_after_ms", settings.max_retry_after.as_ms());
        for (name, class) in self.core.classes.iter().zip(&settings.classes) {
            let at = |key: &str| format!("classes[{name}].{key}");
            match class.effect {
                Effect::Safe => out.put(at("effect"), "retryable"),
                Effect::Unsafe => out.put(at("effect"), "fragile"),
                Effect::Keyed { scope, window } => {
                    out.put(at("effect"), "dedup");
                    out.put(at("key_scope"), format!("{scope:?}").to_lowercase());
                    out.put(at("window_ms"), window.as_ms());
                }
            }
            out.put(at("aim_ms"), class.target_time.as_ms());
            out.put(at("deadline_ms"), class.deadline.as_ms());
            out.put(at("worth"), class.worth);
            out.put(at("late_share"), class.late_share);
        }
        for (name, quota) in self.core.tenants.iter().zip(&settings.tenants) {
            out.put(format!("tenants[{name}].quota_per_s"), quota);
        }
        for (name, isolation) in self.core.tenants.iter().zip(&settings.isolation) {
            let at = |key: &str| format!("tenants[{name}].{key}");
            out.put(at("weight"), isolation.weight);
            for (key, part, unit) in [
                ("slots", isolation.slots, 1),
                ("held_messages", isolation.held, 1),
                ("held_kb", isolation.bytes, 1000),
            ] {
                part.guarantee.iter().for_each(|own| out.put(at(&format!("{key}.guarantee")), own / unit));
                part.ceiling.iter().for_each(|most| out.put(at(&format!("{key}.ceiling")), most / unit));
            }
            if let Some(rate) = isolation.arrivals {
                out.put(at("arrivals.per_s"), rate.per_second);
                out.put(at("arrivals.burst"), rate.burst);
            }
        }
        // Settings that only the platform's file has are included as a digest, so that versions with
        // different ones have different digests.
        let platform = fingerprint::platform_text(settings, &self.names);
        out.put("platform", hex(&Sha256::digest(platform))[..16].to_owned());
        out.put("log.level", format!("{:?}", self.log.0).to_lowercase());
        out.put("log.form", format!("{:?}", self.log.1).to_lowercase());
        if let Some(listen) = self.amqp_listen {
            out.put("amqp.listen", listen);
        }
        for publisher in &self.publishers {
            out.put(format!("amqp.tenants[{}].tenant", publisher.user), &publisher.tenant);
            out.hide(format!("amqp.tenants[{}].password", publisher.user), &publisher.password);
        }
        for broker in &self.brokers {
            let at = |key: &str| format!("amqp.brokers[{}].{key}", broker.name);
            out.put(at("hostPort"), broker.address);
            out.put(at("cell"), broker.cell);
            out.put(at("machineType"), broker.kind);
            out.put(at("user"), &broker.user);
            out.hide(at("password"), &broker.password);
            out.put(at("vhost"), &broker.vhost);
            out.put(at("exchange"), &broker.exchange);
            out.put(at("routing_key"), &broker.routing_key);
        }
        if let Some((resolver, service)) = &self.dns_sd {
            out.put("dns_sd.resolver", resolver);
            out.put("dns_sd.service", service);
        }
        if let Some(listen) = self.admin_listen {
            out.put("admin.listen", listen);
        }
        if let Some(members) = &self.members {
            members.outline(|key, value| out.put(format!("membership.{key}"), value));
            members.key.iter().for_each(|key| out.hide("membership.key", key));
        }
        for token in &self.tokens {
            out.hide(format!("admin.tokens[{}].token", token.name), &token.token);
            if let Some(rate) = token.requests {
                out.put(format!("admin.tokens[{}].requests.per_s", token.name), rate.per_second);
                out.put(format!("admin.tokens[{}].requests.burst", token.name), rate.burst);
            }
            if let Some(tenant) = &token.tenant {
                out.put(format!("admin.tokens[{}].tenant", token.name), tenant);
            }
        }
        out.0
    }
}

/// The shares, weight and rate limit of a tenant.
fn isolation(tenant: &Tenant) -> Isolation {
    let read_share = |share: &Option<document::Share>, unit: u64| {
        let bound = |field: fn(&document::Share) -> Option<u32>| {
            share.as_ref().and_then(field).map(|bound| u64::from(bound) * unit)
        };
        ShareLimits { guarantee: bound(|share| share.guarantee), ceiling: bound(|share| share.ceiling) }
    };
    Isolation {
        weight: tenant.weight.unwrap_or(1.0),
        slots: read_share(&tenant.slots, 1),
        held: read_share(&tenant.held_messages, 1),
        bytes: read_share(&tenant.held_kb, 1000),
        arrivals: tenant.arrivals.as_ref().map(rate),
    }
}

fn rate(arrivals: &document::Arrivals) -> Rate {
    let burst = arrivals.burst.unwrap_or(arrivals.per_s.ceil().min(f64::from(u32::MAX)) as u32);
    Rate { per_second: arrivals.per_s, burst: burst.max(1) }
}

/// Reports guarantees whose sum exceeds `size`, and ceilings below their guarantees.
fn check_guarantees(problems: &mut Problems, tenants: &[Tenant], key: &str, size: u64) {
    let share_of = |tenant: &Tenant| match key {
        "slots" => tenant.slots.clone(),
        "held_messages" => tenant.held_messages.clone(),
        _ => tenant.held_kb.clone(),
    };
    let mut sum = 0;
    for (index, tenant) in tenants.iter().enumerate() {
        let Some(share) = share_of(tenant) else { continue };
        let own = u64::from(share.guarantee.unwrap_or(0));
        sum += own;
        let path = format!("tenants[{index}].{key}");
        if share.ceiling.is_some_and(|ceiling| u64::from(ceiling) < own) {
            let what = format!("the ceiling is below the guarantee of {own}");
            problems.add(Problem::new(format!("{path}.ceiling"), what, "raise it, or guarantee less"));
        }
        if own > 0 && sum > size {
            let what = format!("guarantees up to this tenant add up to {sum}, but only {size} are available");
            let left = (size + own).saturating_sub(sum);
            let remedy = format!("guarantee at most {left} here, or less to others");
            problems.add(Problem::new(format!("{path}.guarantee"), what, remedy));
        }
    }
}

/// The digest of an outline; it identifies the effective configuration.
pub fn digest(outline: &Outline) -> String {
    let mut sum = Sha256::new();
    for (path, shown) in outline {
        for text in [path, &shown.text, shown.secret_digest.as_deref().unwrap_or_default()] {
            sum.update((text.len() as u64).to_le_bytes());
            sum.update(text);
        }
    }
    hex(&sum.finalize())[..32].to_owned()
}

/// Merges the operators' file over the platform's, or returns all problems. The caller, which has the file,
/// adds the line numbers.
pub fn merge(base: &PlatformConfig, document: &Document, files: &dyn SecretFiles) -> Result<Model, Problems> {
    let mut problems = Problems::default();
    let mut settings = base.settings.clone();
    let (mut sockets, mut disk, mut dial_timeout, mut held_bytes) =
        (base.sockets, base.disk, base.dial_timeout, None);
    if let Some(limits) = &document.limits {
        settings.slots = limits.slots.unwrap_or(settings.slots);
        settings.max_messages = limits.held_messages.unwrap_or(settings.max_messages);
        settings.max_attempts = limits.max_attempts.unwrap_or(settings.max_attempts);
        settings.connection_idle = limits.server_idle_ms.map_or(settings.connection_idle, Micros::from_ms);
        settings.max_retry_after =
            limits.max_retry_after_ms.map_or(settings.max_retry_after, Micros::from_ms);
        sockets = limits.sockets.map_or(sockets, |sockets| sockets as usize);
        disk = limits.disk_mb.map_or(disk, |mb| (mb * 1e6) as u64);
        dial_timeout = limits.dial_timeout_ms.map_or(dial_timeout, Micros::from_ms);
        held_bytes = limits.held_mb.map(|mb| (mb * 1e6) as u64);
        let needed = needed_descriptors(settings.slots);
        if (limits.sockets.is_some() || limits.slots.is_some()) && sockets < needed {
            let what = format!("{sockets} descriptors are not enough for {} slots", settings.slots);
            problems.add(Problem::new(
                "limits.sockets",
                what,
                format!("allow {needed} descriptors, or fewer slots"),
            ));
        }
        if (limits.slots.is_some() || limits.held_messages.is_some())
            && settings.slots > settings.max_messages
        {
            let what = format!(
                "{} slots exceed the limit of {} held messages",
                settings.slots, settings.max_messages
            );
            problems.add(Problem::new("limits.slots", what, "allow at least as many held messages as slots"));
        }
    }
    let mut classes = base.classes.clone();
    if let Some(listed) = &document.classes {
        if listed.is_empty() {
            problems.add(Problem::new(
                "classes",
                "the list is empty",
                "name at least one class, or leave the key out",
            ));
        }
        check_unique_names(&mut problems, "classes", "name", listed.iter().map(|class| class.name.as_str()));
        classes = listed.iter().map(|class| class.name.clone()).collect();
        settings.classes =
            listed.iter().enumerate().map(|(index, class)| read_class(&mut problems, index, class)).collect();
    }
    let mut tenants = base.tenants.clone();
    if let Some(listed) = &document.tenants {
        check_unique_names(
            &mut problems,
            "tenants",
            "name",
            listed.iter().map(|tenant| tenant.name.as_str()),
        );
        tenants = listed.iter().map(|tenant| tenant.name.clone()).collect();
        settings.tenants = listed.iter().map(|tenant| tenant.quota_per_s).collect();
        settings.isolation = listed.iter().map(isolation).collect();
        let sizes = [
            ("slots", u64::from(settings.slots)),
            ("held_messages", u64::from(settings.max_messages)),
            ("held_kb", held_bytes.unwrap_or(disk) / 1000),
        ];
        for (key, size) in sizes {
            check_guarantees(&mut problems, listed, key, size);
        }
    }
    let known: BTreeSet<&str> = tenants.iter().map(String::as_str).collect();
    let listen = document.listen.unwrap_or(base.listen);
    let amqp = document.amqp.as_ref();
    let amqp_listen = amqp.and_then(|amqp| amqp.listen);
    let admin_listen = document.admin.as_ref().map(|admin| admin.listen);
    let mut taken = HashMap::from([(listen, "listen")]);
    for (name, at) in [("amqp.listen", amqp_listen), ("admin.listen", admin_listen)] {
        let Some(at) = at.filter(|at| at.port() != 0) else { continue };
        if let Some(other) = taken.insert(at, name) {
            problems.add(Problem::new(
                name,
                format!("the same address as {other}"),
                "use a separate address for each",
            ));
        }
    }
    let mut resolve = |path: String, secret: &Secret| -> SecretText {
        secret.resolve(files).unwrap_or_else(|problem| {
            problems.add(Problem::new(path, problem, "write the secret, or name a file that contains it"));
            SecretText::new("")
        })
    };
    let mut publishers = Vec::new();
    for (index, login) in amqp.and_then(|amqp| amqp.tenants.as_ref()).into_iter().flatten().enumerate() {
        let password = resolve(format!("amqp.tenants[{index}].password"), &login.password);
        publishers.push(Publisher { tenant: login.tenant.clone(), user: login.user.clone(), password });
    }
    let mut brokers = Vec::new();
    for (index, broker) in amqp.and_then(|amqp| amqp.brokers.as_ref()).into_iter().flatten().enumerate() {
        let kinds = &base.names.kinds;
        let kind = kinds.iter().position(|known| *known == broker.machineType).unwrap_or(kinds.len());
        let identity = EndpointIdentity {
            name: &broker.instanceId,
            destination: DestinationId(broker.cell),
            kind: base.names.kind(kind),
            zone: base.names.zone(BROKER_ZONE),
            address: Some(broker.hostPort),
        };
        brokers.push(Broker {
            name: broker.instanceId.clone(),
            endpoint: identity.id(),
            address: broker.hostPort,
            cell: broker.cell,
            kind,
            user: broker.user.clone(),
            password: resolve(format!("amqp.brokers[{index}].password"), &broker.password),
            vhost: broker.vhost.clone(),
            exchange: broker.exchange.clone(),
            routing_key: broker.routing_key.clone(),
        });
    }
    let mut tokens = Vec::new();
    for (index, configured) in
        document.admin.iter().flat_map(|admin| admin.tokens.iter().flatten()).enumerate()
    {
        let token = resolve(format!("admin.tokens[{index}].token"), &configured.token);
        let name = configured.name.clone().unwrap_or_else(|| format!("token {}", index + 1));
        let default_rate = configured.tenant.as_ref().map(|_| DEFAULT_TENANT_REQUESTS);
        let requests = configured.requests.as_ref().map(rate).or(default_rate);
        tokens.push(Token { token, name, tenant: configured.tenant.clone(), requests });
    }
    let membership = document.membership.as_ref();
    let key = membership
        .and_then(|section| section.key.as_ref())
        .map(|key| resolve("membership.key".to_owned(), key));
    let members = membership.map(|section| members::read(&mut problems, section, key));
    for (index, publisher) in
        publishers.iter().enumerate().filter(|(_, publisher)| !known.contains(publisher.tenant.as_str()))
    {
        report_unknown_tenant(
            &mut problems,
            format!("amqp.tenants[{index}].tenant"),
            &publisher.tenant,
            &known,
        );
    }
    for (index, token) in tokens.iter().enumerate() {
        if let Some(tenant) = token.tenant.as_deref().filter(|tenant| !known.contains(tenant)) {
            report_unknown_tenant(&mut problems, format!("admin.tokens[{index}].tenant"), tenant, &known);
        }
        if tokens[..index].iter().any(|other| other.token == token.token) {
            let path = format!("admin.tokens[{index}].token");
            problems.add(Problem::new(path, "the same as another token", "use a separate secret for each"));
        }
    }
    check_unique_names(
        &mut problems,
        "amqp.tenants",
        "user",
        publishers.iter().map(|publisher| publisher.user.as_str()),
    );
    check_unique_names(
        &mut problems,
        "amqp.brokers",
        "instanceId",
        brokers.iter().map(|broker| broker.name.as_str()),
    );
    check_unique_names(&mut problems, "admin.tokens", "name", tokens.iter().map(|token| token.name.as_str()));
    let log = document.log.as_ref();
    let log = |pick: fn(&Log) -> Option<Level>| log.and_then(pick).unwrap_or(Level::Info);
    let form = document.log.as_ref().and_then(|log| log.form).unwrap_or(Form::Text);
    problems.into_result(Model {
        sockets,
        memory: base.memory,
        listen,
        amqp_listen,
        admin_listen,
        disk,
        core: Core {
            settings,
            classes,
            tenants,
            held_bytes,
            held_memory: MemoryShares::of(base.memory).held_messages,
        },
        dial_timeout,
        publishers,
        brokers,
        tokens,
        members,
        dns_sd: document.dns_sd.as_ref().map(|dns_sd| (dns_sd.resolver, dns_sd.service.clone())),
        discovery: document.discovery.unwrap_or(base.discovery),
        log: (log(|log| log.level), form),
        names: base.names.clone(),
    })
}

fn report_unknown_tenant(problems: &mut Problems, path: String, name: &str, known: &BTreeSet<&str>) {
    let list: Vec<&str> = known.iter().copied().take(20).collect();
    let remedy = format!("use one of the tenants: {}", list.join(", "));
    problems.add(Problem::new(path, format!("unknown tenant {name}"), remedy));
}

fn check_unique_names<'a>(
    problems: &mut Problems,
    path: &str,
    key: &str,
    names: impl Iterator<Item = &'a str>,
) {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(first) = seen.insert(name, index) {
            let what = format!("{name} is already used at {path}[{first}]");
            problems.add(Problem::new(format!("{path}[{index}].{key}"), what, "use a separate one for each"));
        }
        if name.is_empty() {
            problems.add(Problem::new(format!("{path}[{index}].{key}"), "empty", "write a name"));
        }
    }
}

fn read_class(problems: &mut Problems, index: usize, class: &Class) -> ClassSettings {
    let path = |key: &str| format!("classes[{index}].{key}");
    if class.aim_ms > class.deadline_ms {
        problems.add(Problem::new(
            path("aim_ms"),
            "longer than deadline_ms",
            "shorten it to at most deadline_ms",
        ));
    }
    let keyed = class.effect == Repeats::Dedup;
    if keyed && class.window_ms.is_none() {
        problems.add(Problem::new(
            path("window_ms"),
            "missing",
            "add the time for which receivers discard duplicates",
        ));
    }
    for (key, there) in [("window_ms", class.window_ms.is_some()), ("key_scope", class.key_scope.is_some())] {
        if there && !keyed {
            problems.add(Problem::new(path(key), "only for effect dedup", "leave it out"));
        }
    }
    let scope = match class.key_scope {
        Some(Scope::All) => KeyScope::All,
        Some(Scope::Zone) => KeyScope::Zone,
        Some(Scope::Endpoint) | None => KeyScope::Endpoint,
    };
    let effect = match class.effect {
        Repeats::Retryable => Effect::Safe,
        Repeats::Fragile => Effect::Unsafe,
        Repeats::Dedup => Effect::Keyed { scope, window: Micros::from_ms(class.window_ms.unwrap_or(0.0)) },
    };
    ClassSettings {
        effect,
        in_order: false,
        target_time: Micros::from_ms(class.aim_ms),
        deadline: Micros::from_ms(class.deadline_ms),
        worth: class.worth.unwrap_or(1.0),
        late_share: class.late_share.unwrap_or(0.0),
    }
}
