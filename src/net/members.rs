//! The other forwarders of the fleet: the membership protocol behind one UDP socket in the event loop, the
//! distribution of the endpoint list, and this forwarder's share of common limits. Inactive where the
//! operators' file has no section `membership`.

use super::maintenance::{Maintenance, MaintenanceAction, MaintenanceRequest};
use super::ops::Answer;
use super::poll::{Peer, Poll};
use crate::config::members::Membership;
use crate::maintenance::agent::{OwnLease, ProcessState};
use crate::membership::share::{ShareSettings, Shares, ViewStatus};
use crate::membership::wire::{DropReason, Key, MAX_DATAGRAM};
use crate::membership::{Identity, MemberCounts, Node, Output, State, StateChange};
use crate::startup::kept::{self, CachedList};
use crate::startup::lists::{Lists, PieceResult};
use crate::startup::ramp::{StartPosition, STARTING_FOR};
use crate::startup::Edition;
use crate::Micros;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Shortest interval at which the list is saved in the state folder.
const MIN_SAVE_INTERVAL: Micros = Micros(1_000_000);
/// Interval at which the list is saved where only its confirmation is newer: shorter than the time for which
/// a confirmation counts as fresh at a start.
const CONFIRMATION_SAVE_INTERVAL: Micros = Micros(3_000_000);
/// Datagrams read in one iteration; the others wait for the next.
const MAX_DATAGRAMS_PER_ITERATION: usize = 256;
/// Addresses of members that are handed over to a successor.
const MAX_PEERS_HANDED_OVER: usize = 64;

/// The membership's state for a successor, beside the socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipHandover {
    /// Addresses of live members.
    peers: Vec<SocketAddr>,
    /// The number of live members when the view was last whole.
    last_whole: usize,
    /// The epoch of the held list.
    epoch: u32,
    /// The lease under which the forwarder is out of service. Absent where an earlier version hands
    /// over.
    #[serde(default)]
    lease: Option<OwnLease>,
}

impl MembershipHandover {
    /// The epoch of the list that the predecessor held.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }
}

/// The membership in the event loop: see the module's documentation.
pub struct Members {
    settings: Membership,
    /// The settings' number of forwarders.
    forwarders: u32,
    /// The number of members that a predecessor knew when its view was last whole.
    handed_over_count: u32,
    socket: UdpSocket,
    node: Node,
    shares: Shares,
    /// Datagrams that the system did not accept.
    unsent: u64,
    outputs: Vec<Output>,
    counts: MemberCounts,
    /// The rank of this forwarder among the members that started lately.
    start_position: StartPosition,
    lists: Lists,
    /// A complete list that a member sent, still to be parsed.
    received_list: Option<(Edition, Vec<u8>)>,
    /// The state folder, in which the list is saved.
    folder: PathBuf,
    /// The edition that was saved last, and when the list may be saved again.
    last_saved: (Option<Edition>, Micros),
    /// `None` where the settings name no voters.
    maintenance: Option<Maintenance>,
}

/// The parameters of a new [`Members`].
pub struct MembersOptions<'a> {
    /// The section `membership` of the operators' file.
    pub settings: &'a Membership,
    /// The settings' number of forwarders: the minimum while the view is young.
    pub forwarders: u32,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The state folder.
    pub folder: &'a Path,
    /// The state that a predecessor hands over.
    pub handed: Option<MembershipHandover>,
}

/// Binds the socket and registers it with the event loop.
pub fn bind(poll: &mut Poll, at: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(at)?;
    register(poll, &socket)?;
    Ok(socket)
}

fn register(poll: &mut Poll, socket: &UdpSocket) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let token = poll.token(Peer::Members);
    poll.add(socket, token, false)
}

/// Registers a socket that was handed over, or binds a new one where the address differs.
pub fn reuse_socket(poll: &mut Poll, socket: UdpSocket, at: SocketAddr) -> std::io::Result<UdpSocket> {
    match socket.local_addr() {
        Ok(bound) if bound == at => register(poll, &socket).map(|()| socket),
        _ => bind(poll, at),
    }
}

impl Members {
    /// Starts the membership.
    pub fn new(socket: UdpSocket, start: MembersOptions, now: Micros) -> Members {
        let MembersOptions { settings, forwarders, seed, folder, handed } = start;
        // The clock is the generation: higher than that of any earlier start, unless the clock was set back
        // (see the core).
        let me = Identity { name: settings.name.clone(), address: settings.advertise, generation: now.0 };
        let key = settings.key.as_ref().map(|key| Key::new(key.reveal().as_bytes().to_vec()));
        let lease = handed.as_ref().and_then(|handed| handed.lease);
        let (peers, last_whole) = handed.map_or((Vec::new(), 1), |handed| (handed.peers, handed.last_whole));
        let maintenance = (!settings.voters.is_empty())
            .then(|| Maintenance::new(&me, &settings.voters, folder, lease, seed ^ now.0, now));
        let has_seeds = settings.seeds.iter().chain(&peers).any(|seed| *seed != settings.advertise);
        let lists = Lists::new(&settings.cluster, &settings.name, has_seeds, seed ^ now.0, now);
        let seeds = settings.seeds.iter().copied().chain(peers).collect();
        let handed_over_count = u32::try_from(last_whole).unwrap_or(u32::MAX);
        let min_divisor = forwarders.max(handed_over_count);
        log!("membership: {} of cluster {} at {}", me.name, settings.cluster, me.address);
        let node = Node::new(me, &settings.cluster, key, settings.settings(), seeds, seed ^ now.0, now);
        let shares = Shares::new(ShareSettings { min_divisor, ..ShareSettings::default() }, now);
        let counts = node.counts();
        let (folder, last_saved) = (folder.to_owned(), (None, now));
        Members {
            settings: settings.clone(),
            forwarders,
            handed_over_count,
            socket,
            node,
            shares,
            unsent: 0,
            outputs: Vec::new(),
            counts,
            start_position: StartPosition::default(),
            lists,
            received_list: None,
            folder,
            last_saved,
            maintenance,
        }
    }

    /// Receives the datagrams that have arrived.
    pub fn ready(&mut self, now: Micros) {
        // One byte more than the longest datagram, to detect one that is too long.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.node.receive(now, from, &buffer[..length], &mut self.outputs),
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
    }

    /// Runs what is due, once an iteration. Returns the number by which shared limits are divided from now
    /// on.
    pub fn tick(&mut self, now: Micros) -> f64 {
        if now >= self.node.next_wake() {
            self.node.tick(now, &mut self.outputs);
        }
        let mut changed = false;
        let outputs = std::mem::take(&mut self.outputs);
        for output in outputs.into_iter() {
            match output {
                Output::ListAnnounced(from, held) => self.lists.announced(now, from, held),
                Output::ListRequested(to, wanted) => {
                    for (index, count, bytes) in self.lists.send_pieces(now, wanted) {
                        let which = (wanted.edition, index, count);
                        self.node.send_list_piece(now, to, which, bytes, &mut self.outputs);
                    }
                }
                Output::ListPiece { from, edition, index, count, bytes } => {
                    let which = (edition, usize::from(index), usize::from(count));
                    match self.lists.piece(now, from, which, &bytes) {
                        PieceResult::Nothing => {}
                        PieceResult::Request(to, wanted) => self.node.request_list_pieces(now, to, wanted, &mut self.outputs),
                        PieceResult::Complete(edition, bytes) => self.received_list = Some((edition, bytes)),
                        PieceResult::Mismatch(from) => log!("membership: the list that {from} sent is not what it announced: not taken, another member is asked"),
                    }
                }
                Output::Send { to, bytes } => self.send(to, &bytes),
                Output::Changed(change) => {
                    changed = true;
                    self.log_change(change);
                }
                Output::MaintenancePart(from, fragment) => {
                    self.maintenance
                        .iter_mut()
                        .for_each(|maintenance| maintenance.receive(now, &from, fragment.clone()));
                }
                Output::NameConflict(other) => {
                    let (name, at) = (&other.name, other.address);
                    log!("membership: another forwarder at {at} goes by the name {name}: give each its own");
                }
                Output::GenerationRaised(generation) => {
                    log!("membership: other members know a later start of this forwarder: continuing as generation {generation}")
                }
            }
        }
        self.counts = self.node.counts();
        if changed {
            self.lists.members_changed(now, self.node.live_names());
            self.start_position = self.node.rank_among_started(now.minus(STARTING_FOR).0);
        }
        if let Some((to, wanted)) = self.lists.tick(now) {
            self.node.request_list_pieces(now, to, wanted, &mut self.outputs);
        }
        // Requests and pieces are sent in this iteration.
        self.flush();
        self.node.set_list(self.lists.holding());
        self.save_list(now);
        if let Some(status) = self.shares.observe(now, self.counts) {
            let MemberCounts { alive, suspect, dead, left } = self.counts;
            let divisor = self.shares.target_divisor();
            let why = match status {
                ViewStatus::Young => "young: the settings' number of forwarders is the minimum",
                ViewStatus::Whole => "whole",
                ViewStatus::Doubtful => "doubtful, likely a cut: no share rises",
            };
            log!(
                "membership: the view is {why}: {alive} alive, {suspect} suspect, {dead} dead, {left} left; shared \
                 limits are divided by {divisor}"
            );
        }
        self.shares.divisor(now)
    }

    fn flush(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            if let Output::Send { to, bytes } = output {
                self.send(to, &bytes);
            }
        }
    }

    /// Runs maintenance, once an iteration; `process_state` is called only where there is maintenance.
    pub fn maintain(
        &mut self,
        now: Micros,
        process_state: impl FnOnce() -> ProcessState,
    ) -> Vec<MaintenanceAction> {
        let Some(maintenance) = &mut self.maintenance else { return Vec::new() };
        let actions = maintenance.tick(now, process_state(), &mut self.node, &mut self.outputs);
        self.flush();
        actions
    }

    /// Submits an operator's maintenance request. The answer is returned here, or with the actions of a later
    /// iteration.
    pub fn submit_maintenance(
        &mut self,
        now: Micros,
        token: u64,
        request: MaintenanceRequest,
    ) -> Option<Answer> {
        let Some(maintenance) = &mut self.maintenance else { return Some(Answer::not_found()) };
        maintenance.submit(now, token, request, &self.node)
    }

    /// The maintenance plans and the members out of service, where there is maintenance.
    pub fn maintenance_status(&self, now: Micros) -> Option<serde_json::Value> {
        self.maintenance.as_ref().map(|maintenance| maintenance.status(now))
    }

    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // The protocol treats this as a lost datagram.
        self.unsent += u64::from(self.socket.send_to(bytes, to).is_err());
    }

    /// The rank of this forwarder among the members that started lately, as of the last change of the view.
    pub fn start_position(&self) -> StartPosition {
        self.start_position
    }

    /// Whether this forwarder may call discovery now.
    pub fn may_call_discovery(&self, now: Micros) -> bool {
        self.lists.may_call_discovery(now)
    }

    /// Records that this forwarder has started a call to discovery.
    pub fn discovery_called(&mut self, now: Micros) {
        self.lists.discovery_called(now);
    }

    /// Whether discovery, or a member on its behalf, has lately confirmed the held list.
    pub fn list_is_confirmed(&self, now: Micros) -> bool {
        self.lists.confirmed().is_some_and(|at| now.minus(at) < kept::FRESH_FOR)
    }

    /// A complete list from a member. The caller parses it and calls [`Members::finish_received_list`] at
    /// once.
    pub fn take_received_list(&mut self) -> Option<(Edition, Vec<u8>)> {
        self.received_list.take()
    }

    /// Reports whether the received list could be parsed: its bytes where it is in force now, or `None`.
    pub fn finish_received_list(&mut self, edition: Edition, bytes: Option<Vec<u8>>) {
        match bytes {
            Some(bytes) => self.lists.accepted(edition, bytes),
            None => self.lists.rejected(),
        }
    }

    /// The held list.
    pub fn list(&self) -> Option<(Edition, Rc<[u8]>)> {
        self.lists.held()
    }

    /// The generation of the held list.
    pub fn list_generation(&self) -> Option<u64> {
        self.lists.holding().map(|(edition, ..)| edition.generation)
    }

    /// Restores the list that is known at a start.
    pub fn restore_list(&mut self, edition: Edition, bytes: &[u8], confirmed: Option<Micros>) {
        self.lists.restore(edition, bytes, confirmed);
    }

    /// Discovery has answered this forwarder: with the complete list, or with `None` where nothing has
    /// changed.
    pub fn from_discovery(&mut self, now: Micros, generation: u64, bytes: Option<&[u8]>) {
        match bytes {
            Some(bytes) => self.lists.from_discovery(now, generation, bytes),
            None => self.lists.unchanged(now),
        }
    }

    /// Saves the list where it has changed, and its confirmation from time to time; at most once a second.
    fn save_list(&mut self, now: Micros) {
        let (saved, next_save) = self.last_saved;
        let Some((edition, bytes)) = self.lists.held().filter(|_| now >= next_save) else { return };
        let Some(confirmed) = self.lists.confirmed() else { return };
        if saved == Some(edition) && now < next_save.plus(CONFIRMATION_SAVE_INTERVAL) {
            return;
        }
        self.last_saved = (Some(edition), now.plus(MIN_SAVE_INTERVAL));
        let file = CachedList { edition, confirmed, bytes: bytes.to_vec() }.encode();
        let (temporary, path) = (self.folder.join("list.new"), self.folder.join(kept::FILE_NAME));
        let written = std::fs::write(&temporary, file).and_then(|()| std::fs::rename(&temporary, &path));
        if let Err(problem) = written {
            log!("the list is not saved in {}: {problem}; the next start uses an older one", path.display());
        }
    }

    fn log_change(&mut self, StateChange { id, incarnation, from, to, cause }: StateChange) {
        if to == State::Left {
            self.shares.record_departure();
        }
        let (name, at, generation) = (id.name, id.address, id.generation);
        let from = from.map_or("unknown", State::name);
        let to = to.name();
        log!("membership: {name} at {at} is {to} ({cause}), was {from}; generation {generation}, incarnation {incarnation}");
    }

    /// When [`Members::tick`] is due.
    pub fn due(&self, now: Micros) -> Micros {
        let lists = self.lists.due(now).unwrap_or(Micros(u64::MAX));
        let maintenance = self.maintenance.as_ref().map_or(Micros(u64::MAX), Maintenance::due);
        self.node.next_wake().min(self.shares.next_wake()).min(lists).min(maintenance)
    }

    /// Announces to the members that this process ends.
    pub fn leave(&mut self) {
        self.node.leave(&mut self.outputs);
    }

    /// Registers the socket with another poll.
    pub fn move_to(&self, poll: &mut Poll) -> std::io::Result<()> {
        register(poll, &self.socket)
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &Membership {
        &self.settings
    }

    /// The settings' number of forwarders that it divides shared limits by while its view is young.
    pub fn forwarders(&self) -> u32 {
        self.forwarders
    }

    /// Replaces the settings' number of forwarders.
    pub fn set_forwarders(&mut self, forwarders: u32) {
        self.forwarders = forwarders;
        self.shares.set_min_divisor(forwarders.max(self.handed_over_count));
    }

    /// The socket, for a successor or a change of the settings.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// See [`MembershipHandover`]. Cost: the members.
    pub fn hand_over(&self) -> MembershipHandover {
        let live = self.node.members().filter(|member| member.state.live());
        let peers = live.map(|member| member.id.address).take(MAX_PEERS_HANDED_OVER).collect();
        let epoch = self.lists.holding().map_or(0, |(edition, ..)| edition.epoch);
        let lease = self.maintenance.as_ref().and_then(Maintenance::own_lease);
        MembershipHandover { peers, last_whole: self.shares.last_whole(), epoch, lease }
    }

    /// Statistics for operators.
    pub fn figures(&self, now: Micros) -> serde_json::Value {
        let stats = self.node.stats();
        let dropped = DropReason::ALL.iter().zip(stats.dropped);
        let dropped: serde_json::Map<_, _> =
            dropped.map(|(cause, count)| (cause.name().to_owned(), count.into())).collect();
        let MemberCounts { alive, suspect, dead, left } = self.counts;
        json!({
            "alive": alive, "suspect": suspect, "dead": dead, "left": left,
            "view": self.shares.view_status().name(),
            "divisor": (self.shares.divisor(now) * 1e3).round() / 1e3,
            "last_whole": self.shares.last_whole(),
            "health": self.node.health(),
            "incarnation": self.node.incarnation(),
            "probes": stats.probes, "acks": stats.acks, "nacks": stats.nacks, "indirect": stats.indirect,
            "suspicions": stats.suspicions, "refutations": stats.refutations,
            "refuted_self": stats.refuted_self, "declared_dead": stats.dead, "goodbyes": stats.left,
            "joined": stats.joined, "stalls": stats.stalls, "strangers": stats.strangers,
            "overflow": stats.overflow, "sent": stats.sent, "sent_bytes": stats.sent_bytes,
            "received": stats.received, "unsent": self.unsent, "dropped": dropped,
            "list": self.list_figures(now),
            "maintenance": self.maintenance.as_ref().map(Maintenance::figures),
        })
    }

    fn list_figures(&self, now: Micros) -> serde_json::Value {
        let stats = &self.lists.stats;
        let holding = self.lists.holding();
        let edition = holding.map(|(edition, ..)| edition);
        let confirmed = self.lists.confirmed();
        json!({
            "epoch": edition.map(|edition| edition.epoch),
            "generation": edition.map(|edition| edition.generation),
            "confirmed_s": confirmed.map(|at| (now.minus(at).0 / 1000) as f64 / 1e3),
            "watches": self.lists.elected(), "taken": stats.taken, "asked": stats.asked,
            "given": stats.given, "torn": stats.torn, "silent": stats.silent,
        })
    }

    /// All members, this one first. Cost: the members, on an operator's call only.
    pub fn members_json(&self, now: Micros) -> serde_json::Value {
        let ago = |at: Micros| (now.minus(at).0 / 1000) as f64 / 1e3;
        let me = self.node.me();
        let mut all = vec![json!({
            "name": me.name, "address": me.address.to_string(), "generation": me.generation,
            "incarnation": self.node.incarnation(), "state": "alive", "self": true,
        })];
        all.extend(self.node.members().map(|member| {
            json!({
                "name": member.id.name, "address": member.id.address.to_string(),
                "generation": member.id.generation, "incarnation": member.incarnation,
                "state": member.state.name(), "since_s": ago(member.since), "heard_s": member.heard.map(ago),
            })
        }));
        let MemberCounts { alive, suspect, dead, left } = self.counts;
        json!({
            "view": self.shares.view_status().name(), "alive": alive, "suspect": suspect, "dead": dead,
            "left": left, "members": all,
        })
    }
}

/// Loads the cached list of a state folder, and logs why one that exists cannot be read.
pub fn load_cached_list(folder: &Path) -> Option<CachedList> {
    let path = folder.join(kept::FILE_NAME);
    let length = std::fs::metadata(&path).ok()?.len();
    let read = match length > kept::MAX_FILE_BYTES as u64 {
        true => Err(format!("{length} bytes")),
        false => std::fs::read(&path)
            .map_err(|problem| problem.to_string())
            .and_then(|file| CachedList::decode(&file)),
    };
    read.map_err(|problem| log!("{}: {problem}; the list of the platform's file serves", path.display())).ok()
}
