//! The start of a process: all that the loop needs is built here, anew or from what another process hands over.

use super::{listing, Node, Options};
use crate::config::desk::ChangeService;
use crate::config::model::{self, Model, PlatformConfig};
use crate::config::secret::DiskFiles;
use crate::config::store::Store;
use crate::engine::{Engine, Input, Resume};
use crate::lifecycle::Lifecycle;
use crate::net::admin::Admin;
use crate::net::change;
use crate::net::clients::amqp::AmqpFront;
use crate::net::clients::platform::HttpFront;
use crate::net::config::Config;
use crate::net::handover::{Role, State, Successor};
use crate::net::list::dns_sd::DnsSd;
use crate::net::list::spread::CallSpread;
use crate::net::list::watch::DiscoveryWatch;
use crate::net::list::{write as write_list, EndpointList, ListEntry, ListUpdate};
use crate::net::members::{self, Members};
use crate::net::poll::{Peer, Poll};
use crate::net::reports::DeliveryReports;
use crate::net::servers::amqp::BrokerConnections;
use crate::net::servers::http::EndpointConnections;
use crate::net::upgrade::{self, Early};
use crate::startup::kept::CachedList;
use crate::startup::ramp::Ramp;
use crate::startup::Edition;
use crate::{DestinationId, Micros};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::Path;

/// A list from before that nobody confirms serves after so long: what discovery has to tell binds 2 s after a wait.
const DOUBTFUL: Micros = Micros(2_000_000);
/// Own connections are closed at this share of the time after which the other side does it.
const IDLE_SHARE: f64 = 0.8;

/// When idle connections to real servers are closed.
pub(in crate::net) fn idle_time(model: &Model) -> Micros {
    Micros((model.core.settings.connection_idle.0 as f64 * IDLE_SHARE) as u64)
}

/// The configuration that a start goes by, and where its versions are kept.
struct Configured {
    change_service: ChangeService,
    /// Nowhere where nobody gave an operators' file.
    store: Option<Store>,
    /// What the start made of the versions is still to be written.
    unkept: bool,
}

impl Configured {
    fn load(
        base: PlatformConfig,
        folder: &Path,
        options: &Options,
        now: Micros,
    ) -> Result<Configured, String> {
        let file = options.file.as_ref().map(|path| change::read(path)).transpose()?;
        let durable = file.is_some() || Store::exists(folder);
        let (store, versions) = Store::open(folder, base.disk);
        let kept = versions.clone();
        let started = ChangeService::start(base, versions, file.as_deref(), options.fresh, &DiskFiles, now);
        let (change_service, notes) = started.map_err(|problems| match &options.file {
            Some(path) => format!("{}: {problems}", path.display()),
            None => problems.to_string(),
        })?;
        crate::net::log::configure(change_service.model().log);
        if durable {
            notes.iter().for_each(|note| log!("{note}"));
        }
        let unkept = durable && *change_service.versions() != kept;
        Ok(Configured { change_service, store: durable.then_some(store), unkept })
    }
}

/// Where the process is called.
struct Sockets {
    admin: Option<TcpListener>,
    publishers: Option<TcpListener>,
    members: Option<UdpSocket>,
    clients: TcpListener,
}

impl Sockets {
    /// Those that a process before has handed over, or new ones.
    fn open(
        poll: &mut Poll,
        model: &Model,
        handed: Option<&State>,
        sockets: &mut Vec<OwnedFd>,
    ) -> Result<Sockets, String> {
        let mut listeners = upgrade::listeners(handed, sockets);
        let mut optional = |poll: &mut Poll, name, at: Option<SocketAddr>, peer| {
            at.map(|at| listen(poll, name, at, peer, &mut listeners)).transpose()
        };
        let admin = optional(poll, "admin.listen", model.admin_listen, Peer::AdminListener)?;
        let publishers = optional(poll, "amqp.listen", model.amqp_listen, Peer::AmqpListener)?;
        let socket = upgrade::members(handed, sockets);
        let told = model.members.as_ref();
        let members = told.map(|told| listen_to_members(poll, told.listen, socket)).transpose()?;
        // Last: whoever finds this one open finds the others open, too.
        let clients = listen(poll, "listen", model.listen, Peer::ClientListener, &mut listeners)?;
        Ok(Sockets { admin, publishers, members, clients })
    }
}

/// The listener that a process before has handed over for this address, or a new one.
fn listen(
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
    let fits =
        |(told, one): &(Role, TcpListener)| *told == role && one.local_addr().is_ok_and(|addr| addr == at);
    match handed.iter().position(fits) {
        Some(place) => {
            let listener = handed.swap_remove(place).1;
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

/// The socket of the membership, handed over or new.
fn listen_to_members(poll: &mut Poll, at: SocketAddr, handed: Option<OwnedFd>) -> Result<UdpSocket, String> {
    let socket = match handed {
        Some(socket) => members::follow(poll, UdpSocket::from(socket), at),
        None => members::bind(poll, at),
    };
    socket.map_err(|problem| format!("membership.listen: cannot listen on {at}: {problem}"))
}

/// The list that a start begins with.
struct FirstList {
    /// Its version; none where there is no list.
    generation: Option<u64>,
    /// Calls may go by it.
    is_ready: bool,
    /// What discovery told of it.
    discovered: Vec<ListEntry>,
    /// What look-ups of another process found.
    looked_up: Option<Vec<ListEntry>>,
    /// The whole list, with the entries of every source.
    whole: ListUpdate,
    /// The copy that the folder keeps, where it counts.
    kept: Option<CachedList>,
}

impl FirstList {
    /// Of what was handed over, what the folder keeps and what the platform's file knows, the first that there is.
    fn choose(
        known: Option<ListUpdate>,
        folder: &Path,
        model: &Model,
        handed: Option<&State>,
        own: &[ListEntry],
    ) -> FirstList {
        // With a membership the list is kept.
        let is_kept = model.members.is_some() && handed.is_none();
        let told = known.as_ref().map(|known| known.generation);
        let kept = is_kept.then(|| kept_list(folder, model, told)).flatten();
        let handed_list = handed.filter(|state| state.listed);
        let (generation, news) = match (handed_list, &kept) {
            (Some(state), _) => (state.generation, Some(upgrade::list(state, &model.names))),
            (None, Some((news, _))) => (Some(news.generation), Some(news.clone())),
            (None, None) => (told, known),
        };
        let is_ready = news.is_some();
        let mut whole = ListUpdate { whole: true, ..news.unwrap_or_default() };
        let discovered = whole.entries.clone();
        let looked_up = handed.map(|state| upgrade::looked_up(state, &model.names));
        whole.entries.extend(own.iter().cloned());
        whole.entries.extend(looked_up.iter().flatten().cloned());
        FirstList { generation, is_ready, discovered, looked_up, whole, kept: kept.map(|(_, kept)| kept) }
    }

    /// Gives members what they may be given of it.
    fn give_to(&self, members: &mut Members, handed: Option<&State>, model: &Model, now: Micros) {
        if let Some(kept) = &self.kept {
            let confirmed = Some(kept.confirmed).filter(|at| *at <= now);
            members.from_before(kept.edition, &kept.bytes, confirmed);
        } else if let Some(generation) = self.generation {
            let before = handed.and_then(|state| state.members.as_ref());
            let epoch = before.map_or(0, members::Handed::epoch);
            let bytes = write_list(generation, self.discovered.iter(), &model.names);
            members.from_before(Edition { epoch, generation }, &bytes, handed.is_some().then_some(now));
        }
    }
}

/// The list that the folder keeps, unless the platform's file knows a newer one.
fn kept_list(folder: &Path, model: &Model, told: Option<u64>) -> Option<(ListUpdate, CachedList)> {
    let kept = members::kept(folder)?;
    let news = listing::read_whole(&kept.bytes, &model.names)?;
    let counts = told.is_none_or(|told| kept.edition.epoch > 0 || kept.edition.generation >= told);
    counts.then_some((news, kept))
}

/// The first calls of a start among many, for the messages that the journal kept.
fn ramp(engine: &Engine, model: &Model, seed: u64, now: Micros) -> Ramp {
    let shortest = model.core.settings.classes.iter().map(|class| class.deadline).min().unwrap_or_default();
    let mut ramp = Ramp::new(seed ^ now.0, shortest);
    let open = engine.messages().filter(|flow| flow.outcome.is_none());
    open.for_each(|flow| ramp.message_waiting(now, DestinationId(flow.destination)));
    ramp
}

impl Node {
    /// Builds everything; nothing is written to the folder that lasts: see [`Node::possess`]. What another process hands
    /// over stands in the place of what is made anew.
    pub(in crate::net) fn new(
        config: Config,
        options: Options,
        early: Early,
        before: Option<&mut Successor>,
    ) -> Result<Node, String> {
        let Config { state_folder: folder, seed, known, platform: base, .. } = config;
        let Early { mut poll, clock, signals, ops } = early;
        let (handed, mut sockets) = upgrade::unpack(before);
        let Configured { change_service, store, unkept } =
            Configured::load(base, &folder, &options, clock.now())?;
        let model = change_service.model().clone();
        if let Err(problem) = change::allow_sockets(model.sockets) {
            log!("{problem}");
        }
        let listening = Sockets::open(&mut poll, &model, handed.as_ref(), &mut sockets)?;
        let own: Vec<ListEntry> = model.brokers.iter().map(listing::entry).collect();
        let mut first = FirstList::choose(known, &folder, &model, handed.as_ref(), &own);
        let slots = model.core.settings.slots;
        let mut servers = EndpointConnections::new(
            model.dial_timeout,
            idle_time(&model),
            model::endpoint_connection_limit(slots),
        );
        let mut endpoint_list = EndpointList::default();
        endpoint_list.apply(&first.whole);
        let cached = listing::learn(&mut servers, &first.whole);
        let place = (folder.as_path(), model.disk);
        let now = clock.now();
        let engine = match &handed {
            Some(state) => {
                let places = model.names.index_mapping(&state.names);
                let core = (state.core.clone(), &places);
                Engine::resume_handover(&model.core, seed, place, now, cached, core)
            }
            None => {
                let resume = if model.members.is_some() { Resume::Paced } else { Resume::AtOnce };
                Engine::start(&model.core, seed, place, now, cached, resume)
            }
        };
        let directory = engine.directory().clone();
        let most = model::client_connection_limit(model.sockets, slots);
        let mut platform = HttpFront::new(listening.clients, directory.clone(), most);
        let publishers = listening.publishers.map(|listener| {
            AmqpFront::new(listener, model.publishers.clone(), directory.clone(), clock.now())
        });
        let names = model.names.clone();
        let mut dns_sd = model.dns_sd.as_ref().map(|(at, service)| DnsSd::new(*at, service, names.clone()));
        if let (Some(lookups), Some(found)) = (&mut dns_sd, first.looked_up.take()) {
            lookups.set_current(found);
        }
        let spread = CallSpread::new(model.core.settings.forwarders, seed);
        let mut watch = DiscoveryWatch::new(model.discovery, names, first.generation, now, spread);
        let siblings = model.core.settings.forwarders;
        let before = handed.as_ref().and_then(|state| state.members.clone());
        let members = model.members.as_ref().zip(listening.members).map(|(told, socket)| {
            let start = members::Start { told, siblings, seed, folder: &folder, handed: before };
            let mut members = Members::new(socket, start, now);
            first.give_to(&mut members, handed.as_ref(), &model, now);
            members
        });
        // What was not confirmed lately waits for a word of a member or of discovery, for a while.
        let fresh = first.kept.as_ref().is_some_and(|kept| kept.is_fresh(now));
        let doubt = (members.is_some() && !fresh).then_some(DOUBTFUL);
        let starts = members.is_some() && handed.is_none();
        let ramp = starts.then(|| ramp(&engine, &model, seed, now));
        let begun = || Lifecycle::begin(now, first.is_ready, doubt);
        let life = handed.as_ref().map_or_else(begun, |state| state.life.for_successor(first.is_ready));
        if handed.is_some() {
            watch.resume(now);
        }
        let mut inputs = Vec::new();
        if let Some(state) = handed {
            upgrade::connections(&mut poll, state, sockets, (&mut platform, &mut servers), |broken| {
                inputs.push(Input::ConnectionFailed(broken))
            });
        }
        Ok(Node {
            platform,
            publishers,
            servers,
            brokers: BrokerConnections::new(&model.brokers, directory, model.dial_timeout),
            own,
            endpoint_list,
            admin: listening.admin.map(|listener| Admin::new(listener, model.tokens.clone())),
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
            asks: VecDeque::new(),
            reload: None,
            ops,
            life,
            ramp,
            folder,
            last_call: false,
            unkept,
            seat: None,
            follower: None,
            barred_until: Micros(0),
            turn_time: Micros(0),
            inputs,
        })
    }
}
