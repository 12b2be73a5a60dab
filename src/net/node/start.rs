//! The start of a process: builds the state of the event loop, anew or from what a predecessor hands over.

use super::{listing, Node, Options};
use crate::config::descriptors::DescriptorShares;
use crate::config::desk::ChangeService;
use crate::config::memory::MemoryShares;
use crate::config::model::{Model, PlatformConfig};
use crate::config::secret::DiskFiles;
use crate::config::store::Store;
use crate::engine::{Engine, Input, Resume};
use crate::lifecycle::Lifecycle;
use crate::net::admin::Admin;
use crate::net::change;
use crate::net::clients::amqp::AmqpFront;
use crate::net::clients::platform::HttpFront;
use crate::net::config::Config;
use crate::net::handover::{PredecessorConnection, Role, State};
use crate::net::http;
use crate::net::list::dns_sd::DnsSd;
use crate::net::list::endpoints::{EndpointList, ListSource};
use crate::net::list::spread::CallSpread;
use crate::net::list::watch::DiscoveryWatch;
use crate::net::list::{write as write_list, ListEntry, ListUpdate};
use crate::net::members::{self, Members};
use crate::net::poll::{Peer, Poll};
use crate::net::reload::{self, PendingReloads};
use crate::net::reports::DeliveryReports;
use crate::net::servers::amqp::BrokerConnections;
use crate::net::servers::http::EndpointConnections;
use crate::net::upgrade::{self, StartupContext};
use crate::startup::kept::CachedList;
use crate::startup::ramp::Ramp;
use crate::startup::Edition;
use crate::{DestinationId, Micros};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::Path;

/// A cached list that is not confirmed is used after this time: discovery's changes bind 2 s after a wait.
const CONFIRMATION_TIMEOUT: Micros = Micros(2_000_000);
/// Share of the other side's idle time-out after which this side closes an idle connection.
const IDLE_CLOSE_SHARE: f64 = 0.8;

/// Idle time after which connections to endpoints are closed.
pub(in crate::net) fn endpoint_idle_time(model: &Model) -> Micros {
    Micros((model.core.settings.connection_idle.0 as f64 * IDLE_CLOSE_SHARE) as u64)
}

/// The configuration at the start, and the store of its versions.
struct LoadedConfig {
    change_service: ChangeService,
    /// `None` where no operators' file was ever given.
    store: Option<Store>,
    /// The start changed the versions and has not stored them yet.
    versions_unsaved: bool,
}

impl LoadedConfig {
    fn load(
        base: PlatformConfig,
        folder: &Path,
        options: &Options,
        now: Micros,
    ) -> Result<LoadedConfig, String> {
        let file = options.file.as_ref().map(|path| reload::read_file(path)).transpose()?;
        let durable = file.is_some() || Store::exists(folder);
        let (store, versions) = Store::open(folder, base.disk);
        let stored = versions.clone();
        let started = ChangeService::start(
            base,
            versions,
            file.as_deref(),
            options.ignore_stored_versions,
            &DiskFiles,
            now,
        );
        let (change_service, notes) = started.map_err(|problems| match &options.file {
            Some(path) => format!("{}: {problems}", path.display()),
            None => problems.to_string(),
        })?;
        crate::net::log::configure(change_service.model().log);
        if durable {
            notes.iter().for_each(|note| log!("{note}"));
        }
        let versions_unsaved = durable && *change_service.versions() != stored;
        Ok(LoadedConfig { change_service, store: durable.then_some(store), versions_unsaved })
    }
}

/// The sockets on which the process receives connections and datagrams.
struct ListeningSockets {
    admin: Option<TcpListener>,
    publishers: Option<TcpListener>,
    members: Option<UdpSocket>,
    clients: TcpListener,
}

impl ListeningSockets {
    /// Takes the sockets that a predecessor has handed over, or binds new ones.
    fn open(
        poll: &mut Poll,
        model: &Model,
        handed: Option<&State>,
        sockets: &mut Vec<OwnedFd>,
    ) -> Result<ListeningSockets, String> {
        let mut listeners = upgrade::take_listeners(handed, sockets);
        let mut optional = |poll: &mut Poll, name, at: Option<SocketAddr>, peer| {
            at.map(|at| take_or_bind(poll, name, at, peer, &mut listeners)).transpose()
        };
        let admin = optional(poll, "admin.listen", model.admin_listen, Peer::AdminListener)?;
        let publishers = optional(poll, "amqp.listen", model.amqp_listen, Peer::AmqpListener)?;
        let socket = upgrade::take_membership_socket(handed, sockets);
        let settings = model.members.as_ref();
        let members =
            settings.map(|settings| take_or_bind_membership(poll, settings.listen, socket)).transpose()?;
        // Last: once the client listener accepts connections, all others do too.
        let clients = take_or_bind(poll, "listen", model.listen, Peer::ClientListener, &mut listeners)?;
        Ok(ListeningSockets { admin, publishers, members, clients })
    }
}

/// The listener that a predecessor has handed over for this address, or a new one.
fn take_or_bind(
    poll: &mut Poll,
    name: &str,
    at: SocketAddr,
    peer: Peer,
    handed: &mut Vec<(Role, TcpListener)>,
) -> Result<TcpListener, String> {
    let role = match peer {
        Peer::AmqpListener => Role::Publishers,
        Peer::AdminListener => Role::Administration,
        _ => Role::Clients,
    };
    let matches = |(handed_role, listener): &(Role, TcpListener)| {
        *handed_role == role && listener.local_addr().is_ok_and(|addr| addr == at)
    };
    match handed.iter().position(matches) {
        Some(index) => {
            let listener = handed.swap_remove(index).1;
            poll.listen(&listener, peer).map_err(|problem| format!("{name}: {at}: {problem}"))?;
            Ok(listener)
        }
        None => bind(poll, name, at, peer),
    }
}

fn bind(poll: &mut Poll, name: &str, at: SocketAddr, peer: Peer) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(at).and_then(|listener| poll.listen(&listener, peer).map(|()| listener));
    listener.map_err(|problem| format!("{name}: cannot listen on {at}: {problem}"))
}

/// The membership's socket, handed over or new.
fn take_or_bind_membership(
    poll: &mut Poll,
    at: SocketAddr,
    handed: Option<OwnedFd>,
) -> Result<UdpSocket, String> {
    let socket = match handed {
        Some(socket) => members::reuse_socket(poll, UdpSocket::from(socket), at),
        None => members::bind(poll, at),
    };
    socket.map_err(|problem| format!("membership.listen: cannot listen on {at}: {problem}"))
}

/// The endpoint list at the start.
struct InitialList {
    /// Its version; `None` where there is no list.
    generation: Option<u64>,
    /// Whether there is a list to call by.
    is_ready: bool,
    /// The list, with the entries of every source.
    list: EndpointList,
    /// The cached list of the state folder, where it is used.
    cached: Option<CachedList>,
}

impl InitialList {
    /// The first that exists of: the list that was handed over, the cached list, and the list of the
    /// platform's file.
    fn choose(
        known: Option<ListUpdate>,
        folder: &Path,
        model: &Model,
        handed: Option<&State>,
    ) -> InitialList {
        // The list is cached only where there is a membership.
        let uses_cache = model.members.is_some() && handed.is_none();
        let known_generation = known.as_ref().map(|known| known.generation);
        let cached = uses_cache.then(|| cached_list(folder, model, known_generation)).flatten();
        let handed_list = handed.filter(|state| state.listed);
        let (generation, update) = match (handed_list, &cached) {
            (Some(state), _) => (state.generation, Some(upgrade::handed_over_list(state))),
            (None, Some((update, _))) => (Some(update.generation), Some(update.clone())),
            (None, None) => (known_generation, known),
        };
        let is_ready = update.is_some();
        let whole = |entries: Vec<ListEntry>| ListUpdate { generation: 0, whole: true, entries };
        let mut list = EndpointList::default();
        list.apply(ListSource::Discovery, &whole(update.unwrap_or_default().entries));
        let looked_up = handed.map(|state| upgrade::handed_over_lookups(state, model));
        list.apply(ListSource::DnsSd, &whole(looked_up.unwrap_or_default()));
        let configured = model.brokers.iter().map(listing::broker_entry).collect();
        list.apply(ListSource::OperatorsFile, &whole(configured));
        InitialList { generation, is_ready, list, cached: cached.map(|(_, cached)| cached) }
    }

    /// Restores the list that is distributed among members.
    fn restore_to(&self, members: &mut Members, handed: Option<&State>, model: &Model, now: Micros) {
        if let Some(cached) = &self.cached {
            let confirmed = Some(cached.confirmed).filter(|at| *at <= now);
            members.restore_list(cached.edition, &cached.bytes, confirmed);
        } else if let Some(generation) = self.generation {
            let previous = handed.and_then(|state| state.members.as_ref());
            let epoch = previous.map_or(0, members::MembershipHandover::epoch);
            let bytes = write_list(generation, self.list.entries_of(ListSource::Discovery), &model.names);
            members.restore_list(Edition { epoch, generation }, &bytes, handed.is_some().then_some(now));
        }
    }
}

/// The cached list of the state folder, unless the platform's file has a newer one.
fn cached_list(
    folder: &Path,
    model: &Model,
    known_generation: Option<u64>,
) -> Option<(ListUpdate, CachedList)> {
    let cached = members::load_cached_list(folder)?;
    let update = listing::parse_whole_list(&cached.bytes, &model.names)?;
    let is_current =
        known_generation.is_none_or(|known| cached.edition.epoch > 0 || cached.edition.generation >= known);
    is_current.then_some((update, cached))
}

/// The ramp of first calls, with the destinations of the messages that were recovered from the journal.
fn start_ramp(engine: &Engine, model: &Model, seed: u64, now: Micros) -> Ramp {
    let shortest = model.core.settings.classes.iter().map(|class| class.deadline).min().unwrap_or_default();
    let mut ramp = Ramp::new(seed ^ now.0, shortest);
    let unfinished = engine.messages().filter(|flow| flow.outcome.is_none());
    unfinished.for_each(|flow| ramp.message_waiting(now, DestinationId(flow.destination)));
    ramp
}

impl Node {
    /// Builds the node from the configuration or from what a predecessor hands over. Writes nothing to the
    /// state folder: see [`Node::claim_folder`].
    pub(in crate::net) fn new(
        config: Config,
        options: Options,
        early: StartupContext,
        predecessor: Option<&mut PredecessorConnection>,
    ) -> Result<Node, String> {
        let Config { state_folder: folder, seed, known, platform: base, .. } = config;
        let StartupContext { mut poll, clock, signals, ops, reload_requested } = early;
        let (mut handed, mut sockets) = upgrade::take_handover(predecessor);
        let LoadedConfig { change_service, store, versions_unsaved } =
            LoadedConfig::load(base, &folder, &options, clock.now())?;
        let model = change_service.model().clone();
        if let Err(problem) = change::raise_descriptor_limit(model.sockets) {
            log!("{problem}");
        }
        let listening = ListeningSockets::open(&mut poll, &model, handed.as_ref(), &mut sockets)?;
        if let Some(state) = &mut handed {
            upgrade::adapt_endpoints(state, &model);
        }
        let initial = InitialList::choose(known, &folder, &model, handed.as_ref());
        let slots = model.core.settings.slots;
        let shares = MemoryShares::of(model.memory);
        let descriptors = DescriptorShares::of(&model);
        let mut servers = EndpointConnections::new(
            model.dial_timeout,
            endpoint_idle_time(&model),
            descriptors.endpoints,
            shares.answer_bytes(slots, http::MAX_RESPONSE_BYTES),
        );
        listing::update_addresses(&mut servers, initial.list.entries());
        let records = initial.list.records();
        let journal = (folder.as_path(), model.disk);
        let now = clock.now();
        let engine = match &handed {
            Some(state) => {
                let mapping = model.names.index_mapping(&state.names);
                let core = (state.core.clone(), &mapping);
                Engine::resume_handover(&model.core, seed, journal, now, records, core)
            }
            None => {
                let resume = if model.members.is_some() { Resume::Paced } else { Resume::AtOnce };
                Engine::start(&model.core, seed, journal, now, records, resume)
            }
        };
        let directory = engine.directory().clone();
        let mut platform =
            HttpFront::new(listening.clients, directory.clone(), descriptors.clients, shares.clients);
        let publishers = listening.publishers.map(|listener| {
            AmqpFront::new(
                listener,
                model.publishers.clone(),
                directory.clone(),
                shares.publishers,
                clock.now(),
            )
        });
        let names = model.names.clone();
        let dns_sd = model.dns_sd.as_ref().map(|(at, service)| DnsSd::new(*at, service, names.clone()));
        let spread = CallSpread::new(model.core.settings.forwarders, seed);
        let mut watch = DiscoveryWatch::new(
            model.discovery,
            names,
            initial.generation,
            now,
            spread,
            shares.endpoint_list,
        );
        let forwarders = model.core.settings.forwarders;
        let previous = handed.as_ref().and_then(|state| state.members.clone());
        let members = model.members.as_ref().zip(listening.members).map(|(settings, socket)| {
            let start =
                members::MembersOptions { settings, forwarders, seed, folder: &folder, handed: previous };
            let mut members = Members::new(socket, start, now);
            initial.restore_to(&mut members, handed.as_ref(), &model, now);
            members
        });
        // A list that was not confirmed lately waits a limited time for a confirmation by a member or by
        // discovery.
        let fresh = initial.cached.as_ref().is_some_and(|cached| cached.is_fresh(now));
        let confirmation_timeout = (members.is_some() && !fresh).then_some(CONFIRMATION_TIMEOUT);
        let needs_ramp = members.is_some() && handed.is_none();
        let ramp = needs_ramp.then(|| start_ramp(&engine, &model, seed, now));
        let begin = || Lifecycle::begin(now, initial.is_ready, confirmation_timeout);
        let life = handed.as_ref().map_or_else(begin, |state| state.life.for_successor(initial.is_ready));
        if handed.is_some() {
            watch.resume(now);
        }
        let reload_handed = handed.as_ref().is_some_and(|state| state.reload_requested);
        let reloads = PendingReloads::at_start(reload_requested || reload_handed);
        let mut inputs = Vec::new();
        if let Some(state) = handed {
            upgrade::adopt_connections(&mut poll, state, sockets, (&mut platform, &mut servers), |broken| {
                inputs.push(Input::ConnectionFailed(broken))
            });
        }
        Ok(Node {
            platform,
            publishers,
            servers,
            brokers: BrokerConnections::new(&model.brokers, directory, model.dial_timeout),
            endpoint_list: initial.list,
            admin: listening
                .admin
                .map(|listener| Admin::new(listener, model.tokens.clone(), shares.administration)),
            dns_sd,
            members,
            seed,
            engine,
            watch,
            reports: DeliveryReports::new(model.discovery),
            poll,
            clock,
            signals,
            change_service,
            store,
            options,
            queued_changes: VecDeque::new(),
            reloads,
            ops,
            life,
            ramp,
            folder,
            calls_stopped: false,
            versions_unsaved,
            folder_ownership: None,
            successor: None,
            handover_blocked_until: Micros(0),
            iteration_time: Micros(0),
            inputs,
        })
    }
}
