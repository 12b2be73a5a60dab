//! What is in force, or would be: the operators' file laid over the platform's, with every relation between settings
//! checked. A model is a set of parts; a change of it is a list of parts that differ.

use super::document::{self, Class, Document, Form, Level, Log, Repeats, Scope, Tenant};
use super::members::{self, Membership};
use super::problem::{Problem, Problems};
use super::secret::{hex, Files, Opened, Secret, HIDDEN};
use crate::net::list::Names;
use crate::tenancy::rate::Rate;
use crate::tenancy::{Isolation, ShareLimits};
use crate::{ClassSettings, Effect, KeyScope, Micros, Settings};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;

/// Descriptors kept from clients, for all else: journal, listeners, discovery, notices, and some to spare.
pub const RESERVED: usize = 32;
/// Connections to real servers at most, besides one for each call: idle ones.
pub const IDLE_SERVERS: usize = 128;
/// Clients have so many places at the least.
pub const LEAST_CLIENTS: usize = 16;

/// What the platform's file says, as far as operators can set it too.
#[derive(Clone, Debug, PartialEq)]
pub struct Base {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// File descriptors at most.
    pub sockets: usize,
    /// Bytes in the folder that lasts at most.
    pub disk: u64,
    /// What the module is told.
    pub settings: Settings,
    /// A connection not up by then has failed.
    pub dial_timeout: Micros,
    /// Names of classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of kinds and zones.
    pub names: Names,
}

/// What the core is told: settings, and the names that their lists go by.
#[derive(Clone, Debug, PartialEq)]
pub struct Core {
    /// Settings; classes and tenants in the order of the names.
    pub settings: Settings,
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants; none where there is only one, without a name.
    pub tenants: Vec<String>,
    /// Bytes of messages held at most; none beyond what the folder holds.
    pub held_bytes: Option<u64>,
}

/// Who may publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publisher {
    /// The tenant, by name.
    pub tenant: String,
    /// SASL PLAIN.
    pub user: String,
    /// SASL PLAIN.
    pub password: Opened,
}

/// A partner's broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broker {
    /// Its name among the service entries.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its destination.
    pub cell: u64,
    /// Its destination's kind, by index.
    pub kind: usize,
    /// SASL PLAIN.
    pub user: String,
    /// SASL PLAIN.
    pub password: Opened,
    /// Virtual host.
    pub vhost: String,
    /// Exchange.
    pub exchange: String,
    /// Routing key.
    pub routing_key: String,
}

/// Requests to the administration API with a tenant's token, where nothing is told: more than people and scripts need.
const USUAL_REQUESTS: Rate = Rate { per_second: 50.0, burst: 100 };

/// Who may use the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    /// The secret.
    pub token: Opened,
    /// Its name in the history of changes.
    pub name: String,
    /// Its tenant, by name; none sees all.
    pub tenant: Option<String>,
    /// How fast requests with it may come; none as fast as they do.
    pub requests: Option<Rate>,
}

macro_rules! parts {
    ($($(#[$doc:meta])* $variant:ident $field:ident: $type:ty;)*) => {
        /// See the module's text.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Model {
            $($(#[$doc])* pub $field: $type,)*
        }

        /// What a part is.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Area {
            $($(#[$doc])* $variant),*
        }

        /// One part of a model, with its value.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Part {
            $($(#[$doc])* $variant($type)),*
        }

        impl Area {
            /// All of them, in the order in which a change takes them.
            pub const ALL: &'static [Area] = &[$(Area::$variant),*];
        }

        impl Part {
            /// What it is.
            pub fn area(&self) -> Area {
                match self {
                    $(Part::$variant(_) => Area::$variant),*
                }
            }
        }

        impl Model {
            /// A copy of a part.
            pub fn part(&self, area: Area) -> Part {
                match area {
                    $(Area::$variant => Part::$variant(self.$field.clone())),*
                }
            }

            /// Whether a part is the same in another model.
            pub fn same(&self, other: &Model, area: Area) -> bool {
                match area {
                    $(Area::$variant => self.$field == other.$field),*
                }
            }

            /// Puts a part in.
            pub fn put(&mut self, part: Part) {
                match part {
                    $(Part::$variant(value) => self.$field = value),*
                }
            }
        }
    };
}

parts! {
    /// File descriptors at most. First: whatever else is prepared takes some.
    Sockets sockets: usize;
    /// Where clients of the platform's front connect.
    Listen listen: SocketAddr;
    /// Where publishers connect; none while that front is off.
    AmqpListen amqp_listen: Option<SocketAddr>;
    /// Where the administration API listens; none while it is off.
    AdminListen admin_listen: Option<SocketAddr>;
    /// The other forwarders of the fleet; none while that is off.
    Members members: Option<Membership>;
    /// Bytes in the folder that lasts at most.
    Disk disk: u64;
    /// What the core is told.
    Core core: Core;
    /// A connection not up by then has failed.
    Dial dial_timeout: Micros;
    /// Who may publish.
    Publishers publishers: Vec<Publisher>;
    /// Partners behind brokers.
    Brokers brokers: Vec<Broker>;
    /// Who may use the administration API.
    Tokens tokens: Vec<Token>;
    /// The resolver that is asked for DNS-SD records, and the service's name.
    DnsSd dns_sd: Option<(SocketAddr, String)>;
    /// The discovery agent.
    Discovery discovery: SocketAddr;
    /// Lines for those on call.
    Log log: (Level, Form);
    /// Kinds and zones of endpoints: cannot change while the process runs.
    Names names: Names;
}

/// A value as it may be shown, and what tells it from another where it may not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shown {
    /// As text.
    pub text: String,
    /// A secret's salted digest.
    hidden: Option<String>,
}

/// All values of a model by path; items of lists by their names.
pub type Outline = BTreeMap<String, Shown>;

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Where.
    pub path: String,
    /// Before; none where it is new.
    pub from: Option<String>,
    /// After; none where it goes.
    pub to: Option<String>,
}

/// What differs from one outline to another.
pub fn differences(from: &Outline, to: &Outline) -> Vec<Difference> {
    let paths: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = paths.into_iter().filter(|path| from.get(*path) != to.get(*path));
    let text = |outline: &Outline, path: &String| outline.get(path).map(|shown| shown.text.clone());
    changed
        .map(|path| Difference { path: path.clone(), from: text(from, path), to: text(to, path) })
        .collect()
}

struct Writer<'a>(Outline, &'a [u8]);

impl Writer<'_> {
    fn put(&mut self, path: impl Into<String>, value: impl Display) {
        self.0.insert(path.into(), Shown { text: value.to_string(), hidden: None });
    }

    fn hide(&mut self, path: impl Into<String>, secret: &Opened) {
        let hidden = Some(secret.digest(self.1));
        self.0.insert(path.into(), Shown { text: HIDDEN.to_owned(), hidden });
    }
}

impl Model {
    /// All values by path. Secrets are hidden; `salt` keeps their digests from being guessed at.
    pub fn outline(&self, salt: &[u8]) -> Outline {
        let mut out = Writer(Outline::new(), salt);
        out.put("listen", self.listen);
        out.put("discovery", self.discovery);
        let told = &self.core.settings;
        out.put("limits.slots", told.slots);
        out.put("limits.held_messages", told.max_messages);
        if let Some(bytes) = self.core.held_bytes {
            out.put("limits.held_mb", bytes as f64 / 1e6);
        }
        out.put("limits.max_attempts", told.max_attempts);
        out.put("limits.sockets", self.sockets);
        out.put("limits.disk_mb", self.disk as f64 / 1e6);
        out.put("limits.dial_timeout_ms", self.dial_timeout.as_ms());
        out.put("limits.server_idle_ms", told.connection_idle.as_ms());
        out.put("limits.max_retry_after_ms", told.max_retry_after.as_ms());
        for (name, class) in self.core.classes.iter().zip(&told.classes) {
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
        for (name, quota) in self.core.tenants.iter().zip(&told.tenants) {
            out.put(format!("tenants[{name}].quota_per_s"), quota);
        }
        for (name, told) in self.core.tenants.iter().zip(&told.isolation) {
            let at = |key: &str| format!("tenants[{name}].{key}");
            out.put(at("weight"), told.weight);
            for (key, part, unit) in
                [("slots", told.slots, 1), ("held_messages", told.held, 1), ("held_kb", told.bytes, 1000)]
            {
                part.guarantee.iter().for_each(|own| out.put(at(&format!("{key}.guarantee")), own / unit));
                part.ceiling.iter().for_each(|most| out.put(at(&format!("{key}.ceiling")), most / unit));
            }
            if let Some(rate) = told.arrivals {
                out.put(at("arrivals.per_s"), rate.per_second);
                out.put(at("arrivals.burst"), rate.burst);
            }
        }
        // What the platform alone tells: in the digest, so that two versions are told apart by it.
        let rest = Settings { classes: Vec::new(), tenants: Vec::new(), ..told.clone() };
        let rest = Settings { isolation: Vec::new(), ..rest };
        let rest = Settings { slots: 0, max_messages: 0, max_attempts: 0, ..rest };
        let (connection_idle, max_retry_after) = (Micros(0), Micros(0));
        let rest = Settings { connection_idle, max_retry_after, ..rest };
        out.put("platform", hex(&Sha256::digest(format!("{rest:?} {:?}", self.names)))[..16].to_owned());
        out.put("log.level", format!("{:?}", self.log.0).to_lowercase());
        out.put("log.form", format!("{:?}", self.log.1).to_lowercase());
        if let Some(listen) = self.amqp_listen {
            out.put("amqp.listen", listen);
        }
        for one in &self.publishers {
            out.put(format!("amqp.tenants[{}].tenant", one.user), &one.tenant);
            out.hide(format!("amqp.tenants[{}].password", one.user), &one.password);
        }
        for one in &self.brokers {
            let at = |key: &str| format!("amqp.brokers[{}].{key}", one.name);
            out.put(at("hostPort"), one.address);
            out.put(at("cell"), one.cell);
            out.put(at("machineType"), one.kind);
            out.put(at("user"), &one.user);
            out.hide(at("password"), &one.password);
            out.put(at("vhost"), &one.vhost);
            out.put(at("exchange"), &one.exchange);
            out.put(at("routing_key"), &one.routing_key);
        }
        if let Some((resolver, service)) = &self.dns_sd {
            out.put("dns_sd.resolver", resolver);
            out.put("dns_sd.service", service);
        }
        if let Some(listen) = self.admin_listen {
            out.put("admin.listen", listen);
        }
        if let Some(told) = &self.members {
            told.outline(|key, value| out.put(format!("membership.{key}"), value));
            told.key.iter().for_each(|key| out.hide("membership.key", key));
        }
        for one in &self.tokens {
            out.hide(format!("admin.tokens[{}].token", one.name), &one.token);
            if let Some(rate) = one.requests {
                out.put(format!("admin.tokens[{}].requests.per_s", one.name), rate.per_second);
                out.put(format!("admin.tokens[{}].requests.burst", one.name), rate.burst);
            }
            if let Some(tenant) = &one.tenant {
                out.put(format!("admin.tokens[{}].tenant", one.name), tenant);
            }
        }
        out.0
    }
}

/// What a tenant is told of its parts.
fn isolation(tenant: &Tenant) -> Isolation {
    let told = |part: &Option<document::Part>, unit: u64| {
        let bound = |bound: fn(&document::Part) -> Option<u32>| {
            part.as_ref().and_then(bound).map(|bound| u64::from(bound) * unit)
        };
        ShareLimits { guarantee: bound(|part| part.guarantee), ceiling: bound(|part| part.ceiling) }
    };
    Isolation {
        weight: tenant.weight.unwrap_or(1.0),
        slots: told(&tenant.slots, 1),
        held: told(&tenant.held_messages, 1),
        bytes: told(&tenant.held_kb, 1000),
        arrivals: tenant.arrivals.as_ref().map(rate),
    }
}

fn rate(told: &document::Arrivals) -> Rate {
    let burst = told.burst.unwrap_or(told.per_s.ceil().min(f64::from(u32::MAX)) as u32);
    Rate { per_second: told.per_s, burst: burst.max(1) }
}

/// Guarantees that are more than there is, and ceilings below them.
fn guarantees(problems: &mut Problems, tenants: &[Tenant], key: &str, size: u64) {
    let part = |tenant: &Tenant| match key {
        "slots" => tenant.slots.clone(),
        "held_messages" => tenant.held_messages.clone(),
        _ => tenant.held_kb.clone(),
    };
    let mut sum = 0;
    for (place, tenant) in tenants.iter().enumerate() {
        let Some(part) = part(tenant) else { continue };
        let own = u64::from(part.guarantee.unwrap_or(0));
        sum += own;
        let path = format!("tenants[{place}].{key}");
        if part.ceiling.is_some_and(|ceiling| u64::from(ceiling) < own) {
            let what = format!("a ceiling below the guarantee of {own}");
            problems.add(Problem::new(format!("{path}.ceiling"), what, "raise it, or guarantee less"));
        }
        if own > 0 && sum > size {
            let what = format!("guarantees up to this tenant add up to {sum}, but there are {size} in all");
            let left = (size + own).saturating_sub(sum);
            let remedy = format!("guarantee {left} at most here, or less to others");
            problems.add(Problem::new(format!("{path}.guarantee"), what, remedy));
        }
    }
}

/// The digest of an outline: the name of what is in force.
pub fn digest(outline: &Outline) -> String {
    let mut sum = Sha256::new();
    for (path, shown) in outline {
        for text in [path, &shown.text, shown.hidden.as_deref().unwrap_or_default()] {
            sum.update((text.len() as u64).to_le_bytes());
            sum.update(text);
        }
    }
    hex(&sum.finalize())[..32].to_owned()
}

/// What clients may hold, of so many descriptors with so many slots.
pub fn for_clients(sockets: usize, slots: u32) -> usize {
    sockets.saturating_sub(RESERVED + for_servers(slots)).max(LEAST_CLIENTS)
}

/// What real servers may hold.
pub fn for_servers(slots: u32) -> usize {
    slots.min(1 << 16) as usize + IDLE_SERVERS
}

/// Lays the operators' file over the platform's. All that is wrong is told; lines are added by who knows the file.
pub fn merge(base: &Base, document: &Document, files: &dyn Files) -> Result<Model, Problems> {
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
        let needed = RESERVED + for_servers(settings.slots) + LEAST_CLIENTS;
        if (limits.sockets.is_some() || limits.slots.is_some()) && sockets < needed {
            let what = format!("{sockets} descriptors do not suffice for {} slots", settings.slots);
            problems.add(Problem::new("limits.sockets", what, format!("allow {needed}, or fewer slots")));
        }
        if (limits.slots.is_some() || limits.held_messages.is_some())
            && settings.slots > settings.max_messages
        {
            let what = format!("{} slots for {} held messages", settings.slots, settings.max_messages);
            problems.add(Problem::new("limits.slots", what, "hold at least as many messages as may be out"));
        }
    }
    let mut classes = base.classes.clone();
    if let Some(told) = &document.classes {
        if told.is_empty() {
            problems.add(Problem::new("classes", "no class", "name at least one, or leave the key out"));
        }
        unique(&mut problems, "classes", "name", told.iter().map(|class| class.name.as_str()));
        classes = told.iter().map(|class| class.name.clone()).collect();
        settings.classes =
            told.iter().enumerate().map(|(place, told)| class(&mut problems, place, told)).collect();
    }
    let mut tenants = base.tenants.clone();
    if let Some(told) = &document.tenants {
        unique(&mut problems, "tenants", "name", told.iter().map(|tenant| tenant.name.as_str()));
        tenants = told.iter().map(|tenant| tenant.name.clone()).collect();
        settings.tenants = told.iter().map(|tenant| tenant.quota_per_s).collect();
        settings.isolation = told.iter().map(isolation).collect();
        let sizes = [
            ("slots", u64::from(settings.slots)),
            ("held_messages", u64::from(settings.max_messages)),
            ("held_kb", held_bytes.unwrap_or(disk) / 1000),
        ];
        for (key, size) in sizes {
            guarantees(&mut problems, told, key, size);
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
            problems.add(Problem::new(name, format!("the address of {other}"), "give each its own"));
        }
    }
    let mut open = |path: String, secret: &Secret| -> Opened {
        secret.open(files).unwrap_or_else(|problem| {
            problems.add(Problem::new(path, problem, "write the secret, or a file that holds it"));
            Opened::new("")
        })
    };
    let mut publishers = Vec::new();
    for (place, one) in amqp.and_then(|amqp| amqp.tenants.as_ref()).into_iter().flatten().enumerate() {
        let password = open(format!("amqp.tenants[{place}].password"), &one.password);
        publishers.push(Publisher { tenant: one.tenant.clone(), user: one.user.clone(), password });
    }
    let mut brokers = Vec::new();
    for (place, one) in amqp.and_then(|amqp| amqp.brokers.as_ref()).into_iter().flatten().enumerate() {
        let kinds = &base.names.kinds;
        brokers.push(Broker {
            name: one.instanceId.clone(),
            address: one.hostPort,
            cell: one.cell,
            kind: kinds.iter().position(|known| *known == one.machineType).unwrap_or(kinds.len()),
            user: one.user.clone(),
            password: open(format!("amqp.brokers[{place}].password"), &one.password),
            vhost: one.vhost.clone(),
            exchange: one.exchange.clone(),
            routing_key: one.routing_key.clone(),
        });
    }
    let mut tokens = Vec::new();
    for (place, one) in document.admin.iter().flat_map(|admin| admin.tokens.iter().flatten()).enumerate() {
        let token = open(format!("admin.tokens[{place}].token"), &one.token);
        let name = one.name.clone().unwrap_or_else(|| format!("token {}", place + 1));
        let usual = one.tenant.as_ref().map(|_| USUAL_REQUESTS);
        let requests = one.requests.as_ref().map(rate).or(usual);
        tokens.push(Token { token, name, tenant: one.tenant.clone(), requests });
    }
    let told = document.membership.as_ref();
    let key = told.and_then(|told| told.key.as_ref()).map(|key| open("membership.key".to_owned(), key));
    let members = told.map(|told| members::read(&mut problems, told, key));
    for (place, one) in publishers.iter().enumerate().filter(|(_, one)| !known.contains(one.tenant.as_str()))
    {
        unknown(&mut problems, format!("amqp.tenants[{place}].tenant"), &one.tenant, &known);
    }
    for (place, one) in tokens.iter().enumerate() {
        if let Some(tenant) = one.tenant.as_deref().filter(|tenant| !known.contains(tenant)) {
            unknown(&mut problems, format!("admin.tokens[{place}].tenant"), tenant, &known);
        }
        if tokens[..place].iter().any(|other| other.token == one.token) {
            let path = format!("admin.tokens[{place}].token");
            problems.add(Problem::new(path, "the same as another token", "give each its own"));
        }
    }
    unique(&mut problems, "amqp.tenants", "user", publishers.iter().map(|one| one.user.as_str()));
    unique(&mut problems, "amqp.brokers", "instanceId", brokers.iter().map(|one| one.name.as_str()));
    unique(&mut problems, "admin.tokens", "name", tokens.iter().map(|one| one.name.as_str()));
    let log = document.log.as_ref();
    let log = |pick: fn(&Log) -> Option<Level>| log.and_then(pick).unwrap_or(Level::Info);
    let form = document.log.as_ref().and_then(|log| log.form).unwrap_or(Form::Text);
    problems.or(Model {
        sockets,
        listen,
        amqp_listen,
        admin_listen,
        disk,
        core: Core { settings, classes, tenants, held_bytes },
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

fn unknown(problems: &mut Problems, path: String, name: &str, known: &BTreeSet<&str>) {
    let list: Vec<&str> = known.iter().copied().take(20).collect();
    let remedy = format!("name one of the tenants: {}", list.join(", "));
    problems.add(Problem::new(path, format!("no tenant {name}"), remedy));
}

fn unique<'a>(problems: &mut Problems, path: &str, key: &str, names: impl Iterator<Item = &'a str>) {
    let mut seen = HashMap::new();
    for (place, name) in names.enumerate() {
        if let Some(first) = seen.insert(name, place) {
            let what = format!("{name} stands at {path}[{first}] too");
            problems.add(Problem::new(format!("{path}[{place}].{key}"), what, "give each its own"));
        }
        if name.is_empty() {
            problems.add(Problem::new(format!("{path}[{place}].{key}"), "empty", "write a name"));
        }
    }
}

fn class(problems: &mut Problems, place: usize, told: &Class) -> ClassSettings {
    let path = |key: &str| format!("classes[{place}].{key}");
    if told.aim_ms > told.deadline_ms {
        problems.add(Problem::new(path("aim_ms"), "longer than deadline_ms", "aim before the deadline"));
    }
    let keyed = told.effect == Repeats::Dedup;
    if keyed && told.window_ms.is_none() {
        problems.add(Problem::new(path("window_ms"), "missing", "say for how long repeats are dropped"));
    }
    for (key, there) in [("window_ms", told.window_ms.is_some()), ("key_scope", told.key_scope.is_some())] {
        if there && !keyed {
            problems.add(Problem::new(path(key), "only for effect dedup", "leave it out"));
        }
    }
    let scope = match told.key_scope {
        Some(Scope::All) => KeyScope::All,
        Some(Scope::Zone) => KeyScope::Zone,
        Some(Scope::Endpoint) | None => KeyScope::Endpoint,
    };
    let effect = match told.effect {
        Repeats::Retryable => Effect::Safe,
        Repeats::Fragile => Effect::Unsafe,
        Repeats::Dedup => Effect::Keyed { scope, window: Micros::from_ms(told.window_ms.unwrap_or(0.0)) },
    };
    ClassSettings {
        effect,
        in_order: false,
        target_time: Micros::from_ms(told.aim_ms),
        deadline: Micros::from_ms(told.deadline_ms),
        worth: told.worth.unwrap_or(1.0),
        late_share: told.late_share.unwrap_or(0.0),
    }
}
