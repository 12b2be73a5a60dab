//! The protocol state machine of one member: probes, indirect probes, suspicion, refutation, gossip and
//! anti-entropy syncs.
//!
//! The caller passes datagrams to [`Node::receive`], calls [`Node::tick`] at [`Node::next_wake`] at the
//! latest, and carries out the [`Output`]s. In normal operation only a full sync walks over all members in
//! one call: that is its purpose, and `sync_interval` bounds how often it runs.

mod news;
mod order;
mod probing;
mod receiving;
mod replay;
mod sending;
mod suspicion;
mod view;

use super::gossip::BroadcastQueue;
use super::rules::{self, Belief};
use super::wire::{self, Body, DropReason, Key, Packet, PacketWriter};
use super::{Entry, Identity, Settings, State};
use crate::maintenance::parts::Fragment;
use crate::startup::ramp::StartPosition;
use crate::startup::transfer::PieceRequest;
use crate::startup::{Edition, Holding};
use crate::Micros;
use order::ProbeOrder;
use replay::ReplayWindow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use suspicion::Suspicion;
pub use view::{MemberCounts, MemberInfo, StateChange, Stats};

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send one datagram.
    #[allow(missing_docs)]
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// The state of a member changed.
    Changed(StateChange),
    /// Another process at another address uses this member's name.
    NameConflict(Identity),
    /// This member changed to a higher generation, because the others remembered one at least as high as its
    /// own.
    GenerationRaised(u64),
    /// A live member announces which endpoint list it holds.
    ListAnnounced(SocketAddr, Holding),
    /// A live member requests pieces of the endpoint list; answer with [`Node::send_list_piece`].
    ListRequested(SocketAddr, PieceRequest),
    /// A requested piece of the endpoint list arrived.
    #[allow(missing_docs)]
    ListPiece { from: SocketAddr, edition: Edition, index: u16, count: u16, bytes: Vec<u8> },
    /// A live member, identified by its name, sent a part of a maintenance message.
    MaintenancePart(String, Fragment),
}

/// What this member knows about another one.
struct MemberRecord {
    id: Identity,
    incarnation: u32,
    state: State,
    since: Micros,
    heard: Option<Micros>,
    suspicion: Option<Suspicion>,
    /// Whether it is in the probe order. A dead member stays there until the order reaches it.
    in_probe_order: bool,
    last_sync_reply: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// No ack yet: request indirect probes.
    ProbeTimeout(u32),
    /// End of the protocol period: suspect the target if there was no ack.
    ProbeEnd(u32),
    /// No ack for a relayed probe yet: send a nack.
    RelayNack(u32),
    /// The suspicion timeout: declare the suspect dead.
    Suspicion { name: String, generation: u64, incarnation: u32 },
    /// Forget a dead or left member.
    Reap { name: String, generation: u64 },
}

/// The probe of the current protocol period.
struct Probe {
    seq: u32,
    target: Identity,
    acked: bool,
    expected_nacks: u64,
    nacks: u64,
}

/// A probe sent on behalf of the member at `origin`, whose own probe has the number `origin_seq`.
struct RelayedProbe {
    origin: SocketAddr,
    origin_seq: u32,
}

/// A peer gets at most this many sync replies per sync interval, so that a flood of requests costs little.
const SYNC_REPLIES_PER_INTERVAL: u64 = 8;
/// Maximum number of replay windows beyond one per known member, for senders that are not members (yet).
/// Further senders get no window.
const MAX_NON_MEMBER_WINDOWS: usize = 256;
/// Maximum number of known members, including dead and left ones that are still remembered.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of timers, and of probes relayed at once. While so many are pending, further updates and
/// requests are ignored: they are repeated.
const MAX_TIMERS: usize = 8 * MAX_MEMBERS;
const MAX_RELAYS: usize = 256;
/// Maximum number of random draws for a live peer, because a drawn member may be dead.
const MAX_PEER_DRAWS: usize = 4;
/// A tick that is late by more than this many periods means that the process was suspended. Its own pending
/// probe then proves nothing about the target.
const STALL_THRESHOLD_PERIODS: u64 = 3;

/// The protocol state machine of the local member.
pub struct Node {
    me: Identity,
    incarnation: u32,
    settings: Settings,
    cluster: String,
    key: Option<Key>,
    writer: PacketWriter,
    /// Ordered by name so that the same seed and events produce the same datagrams.
    members: BTreeMap<String, MemberRecord>,
    replay_windows: HashMap<String, ReplayWindow>,
    probe_order: ProbeOrder,
    /// Members in state `Dead`, pinged occasionally to detect a healed partition, as in Serf.
    dead_names: Vec<String>,
    next_reconnect: Micros,
    next_gossip: Micros,
    /// Earliest time of the next reply to an unknown sender or one with an older generation.
    next_unknown_sender_reply: Micros,
    /// Name of the member last known at each address. A seed address without a live member is contacted
    /// again.
    addresses: HashMap<SocketAddr, String>,
    rng: fastrand::Rng,
    broadcasts: BroadcastQueue,
    probe: Option<Probe>,
    relays: HashMap<u32, RelayedProbe>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    next_period: Micros,
    next_sync: Micros,
    /// When the next tick was due, as of the end of the last one.
    tick_due: Option<Micros>,
    local_health: u32,
    seq: u32,
    packet_seq: u64,
    /// Time of the current call, from which the age of the endpoint list in sent datagrams is computed.
    now: Micros,
    counts: MemberCounts,
    seeds: Vec<SocketAddr>,
    next_join: Micros,
    join_attempts: u32,
    left: bool,
    /// The endpoint list that this member holds, and when discovery last confirmed it.
    held_list: Option<(Edition, u64, Option<Micros>)>,
    /// Gossip datagrams still to send for a new endpoint list.
    list_gossip_left: u32,
    stats: Stats,
}

impl Node {
    /// Creates a member that starts at `now`, joins through `seeds` and seeds its random numbers with `seed`.
    pub fn new(
        me: Identity,
        cluster: &str,
        key: Option<Key>,
        settings: Settings,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let writer = PacketWriter::new(cluster, &me, key.clone());
        let mut rng = fastrand::Rng::with_seed(seed);
        // The first period begins at a random moment, so that members started together do not probe in step.
        let first_period = Micros(rng.u64(0..=settings.probe_interval.0));
        let next_reconnect = now.plus(Micros(rng.u64(0..=settings.reconnect_interval.0)));
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Node {
            next_sync: now.plus(Micros(rng.u64(settings.sync_interval.0 / 2..=settings.sync_interval.0))),
            next_period: now.plus(first_period),
            me,
            incarnation: 0,
            settings,
            cluster: cluster.to_owned(),
            key,
            writer,
            members: BTreeMap::new(),
            replay_windows: HashMap::new(),
            probe_order: ProbeOrder::default(),
            dead_names: Vec::new(),
            next_reconnect,
            next_gossip: now,
            next_unknown_sender_reply: now,
            addresses: HashMap::new(),
            rng,
            broadcasts: BroadcastQueue::default(),
            probe: None,
            relays: HashMap::new(),
            timers: BinaryHeap::new(),
            tick_due: None,
            local_health: 0,
            seq: 0,
            packet_seq: 0,
            now,
            counts: MemberCounts { alive: 1, ..MemberCounts::default() },
            seeds,
            next_join: now,
            join_attempts: 0,
            left: false,
            held_list: None,
            list_gossip_left: 0,
            stats: Stats::default(),
        }
    }

    /// Identity of this member.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Incarnation of this member.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of members in each state; this member counts as alive.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Lifeguard's local health score: 0 is healthy. Period and timeout are `(health + 1)` times as long.
    pub fn health(&self) -> u32 {
        self.local_health
    }

    /// Sets the endpoint list that this member holds and when discovery last confirmed it. The head of each
    /// datagram announces it; a new list triggers gossip, as a membership update does.
    pub fn set_list(&mut self, list: Option<(Edition, u64, Option<Micros>)>) {
        let edition_of = |list: &Option<(Edition, u64, Option<Micros>)>| list.map(|list| list.0);
        if edition_of(&list) != edition_of(&self.held_list) {
            self.list_gossip_left = self.retransmit_limit();
        }
        self.held_list = list;
    }

    /// Requests pieces of the endpoint list from a member.
    pub fn request_list_pieces(
        &mut self,
        now: Micros,
        to: SocketAddr,
        wanted: PieceRequest,
        out: &mut Vec<Output>,
    ) {
        self.now = now;
        self.send(to, Body::ListRequest(wanted), &[], out);
    }

    /// Sends a member a piece of the endpoint list.
    pub fn send_list_piece(
        &mut self,
        now: Micros,
        to: SocketAddr,
        (edition, index, count): (Edition, u16, u16),
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        self.now = now;
        self.send(to, Body::ListPiece { edition, index, count, bytes: bytes.to_vec() }, &[], out);
    }

    /// Sends a member a part of a maintenance message. Does nothing if the member is unknown.
    pub fn send_maintenance_part(&mut self, now: Micros, name: &str, part: Fragment, out: &mut Vec<Output>) {
        self.now = now;
        if let Some(address) = self.members.get(name).map(|member| member.id.address) {
            self.send(address, Body::MaintenancePart(part), &[], out);
        }
    }

    /// Rank of this member among the live members whose generation (the clock at their start) is `generation`
    /// or higher. Walks over all members; called when the membership has changed.
    pub fn rank_among_started(&self, generation: u64) -> StartPosition {
        let started = |member: &&MemberRecord| member.state.live() && member.id.generation >= generation;
        let (mut index, mut starting) = (0, 1);
        for member in self.members.values().filter(started) {
            starting += 1;
            index += usize::from(member.id.name < self.me.name);
        }
        StartPosition { index, starting }
    }

    /// Names of the other live members. Walks over all members; called when the membership has changed.
    pub fn live_names(&self) -> impl Iterator<Item = &str> {
        self.members.values().filter(|member| member.state.live()).map(|member| member.id.name.as_str())
    }

    /// All known members, for `/ops/members`. Walks over all members; called on request only.
    pub fn members(&self) -> impl Iterator<Item = MemberInfo> + '_ {
        self.members.values().map(|member| MemberInfo {
            id: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
            since: member.since,
            heard: member.heard,
        })
    }

    /// Generation, incarnation and state of a member, if it is known.
    pub fn state_of(&self, name: &str) -> Option<(u64, u32, State)> {
        self.members.get(name).map(|member| (member.id.generation, member.incarnation, member.state))
    }

    /// The latest time for the next call of [`Node::tick`].
    pub fn next_wake(&self) -> Micros {
        let mut wake = self.next_period.min(self.next_sync);
        if !self.left && (!self.dead_names.is_empty() || !self.seeds.is_empty()) {
            wake = wake.min(self.next_reconnect);
        }
        if !self.left && (self.broadcasts.len() > 0 || self.list_gossip_left > 0) {
            wake = wake.min(self.next_gossip);
        }
        if let Some(Reverse((at, _))) = self.timers.peek() {
            wake = wake.min(*at);
        }
        if self.is_joining() {
            wake = wake.min(self.next_join);
        }
        wake
    }

    fn is_joining(&self) -> bool {
        !self.left && !self.seeds.is_empty() && self.counts.live() <= 1
    }

    fn scale_by_health(&self, interval: Micros) -> Micros {
        Micros(interval.0.saturating_mul(u64::from(self.local_health) + 1))
    }

    fn retransmit_limit(&self) -> u32 {
        let n = self.counts.live() as f64 + 1.0;
        // In a small fleet a few lost datagrams could be all copies, so the logarithm counts as 2 at least.
        self.settings.retransmit_multiplier * (n.log10().ceil() as u32).max(2)
    }

    /// Runs what is due: timers, the protocol period, syncs, gossip and joining.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = now;
        if let Some(due) = self.tick_due {
            // A tick that comes several periods after `tick_due` means that the process was not running.
            if now.minus(due).0 > STALL_THRESHOLD_PERIODS * self.settings.probe_interval.0 {
                // The process was not scheduled (SIGSTOP, a swapping machine), so timeouts that expired
                // meanwhile prove nothing about other members. Drops the pending probe without a failure and
                // worsens the local health score instead.
                self.stats.stalls += 1;
                self.probe = None;
                self.timers.retain(|Reverse((_, timer))| {
                    !matches!(timer, Timer::ProbeTimeout(_) | Timer::ProbeEnd(_))
                });
                self.local_health = (self.local_health + 1).min(self.settings.max_local_health);
                self.next_period = now;
                // Suspects had no time to be heard either: their refutations may still be in the socket's
                // buffer, or be lost with it. This walks over all members, after a stall only.
                let missed = now.minus(due);
                for suspicion in self.members.values_mut().filter_map(|member| member.suspicion.as_mut()) {
                    suspicion.extend(missed);
                }
            }
        }
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, timer))) = self.timers.pop() else { break };
            self.on_timer(now, timer, out);
        }
        if self.left {
            if now >= self.next_period {
                self.next_period = now.plus(self.settings.probe_interval);
                self.send_leave(out);
            }
            self.tick_due = Some(self.next_wake());
            return;
        }
        if now >= self.next_period {
            self.start_probe(now, out);
            self.next_period = now.plus(self.scale_by_health(self.settings.probe_interval));
        }
        if now >= self.next_sync {
            let interval = self.settings.sync_interval.0;
            self.next_sync = now.plus(Micros(self.rng.u64(interval * 3 / 4..=interval * 5 / 4)));
            if let Some(peer) = self.random_live_address(None) {
                self.send_full_state(peer, true, out);
            }
        }
        if now >= self.next_reconnect {
            let interval = self.settings.reconnect_interval.0;
            self.next_reconnect = now.plus(Micros(self.rng.u64(interval / 2..=interval * 3 / 2)));
            self.ping_dead_member(out);
            self.contact_absent_seed(out);
        }
        if (self.broadcasts.len() > 0 || self.list_gossip_left > 0) && now >= self.next_gossip {
            self.next_gossip = now.plus(self.settings.gossip_interval);
            for _ in 0..self.settings.gossip_fanout {
                if let Some(peer) = self.random_live_address(None) {
                    self.list_gossip_left = self.list_gossip_left.saturating_sub(1);
                    self.send(peer, Body::Gossip, &[], out);
                }
            }
        }
        if self.is_joining() && now >= self.next_join {
            self.join_attempts += 1;
            let backoff = self.settings.join_retry.0 << self.join_attempts.min(5).saturating_sub(1);
            // Waits at least half the backoff, so that a seed that is down is not contacted in a tight loop;
            // the other half is random.
            self.next_join = now.plus(Micros(self.rng.u64(backoff / 2..=backoff)));
            let own = self.own_entry();
            for seed in self.seeds.clone() {
                self.send(seed, Body::Sync { reply: true, last: true }, std::slice::from_ref(&own), out);
            }
        }
        self.tick_due = Some(self.next_wake());
    }

    /// Announces that this member leaves. The others learn it by gossip and mark it as left, not dead.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.left = true;
        for _ in 0..2 {
            self.send_leave(out);
        }
    }

    /// Sends the leave announcement to a few members. It is repeated each period while the process runs,
    /// because datagrams may be lost.
    fn send_leave(&mut self, out: &mut Vec<Output>) {
        let own = self.own_entry();
        for _ in 0..self.settings.gossip_fanout.max(1) {
            if let Some(peer) = self.random_live_address(None) {
                self.send(peer, Body::Gossip, std::slice::from_ref(&own), out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
