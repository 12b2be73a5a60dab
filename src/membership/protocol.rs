//! One member's side of the protocol: probes, helpers, suspicion, refutation, gossip and whole syncs.
//!
//! The caller feeds datagrams with [`Node::receive`] and the passing of time with [`Node::tick`] (at
//! [`Node::next_wake`] at the latest), and carries out the [`Output`]s. Nothing here walks over all members in a
//! turn except a whole sync, which is bounded by `sync_interval` and is the protocol's point.

mod news;
mod order;
mod probing;
mod receiving;
mod replay;
mod sending;
mod suspicion;
mod view;

use super::gossip::Broadcasts;
use super::rules::{self, Belief};
use super::wire::{self, Body, Dropped, Key, Packet, Writer};
use super::{Entry, Identity, Settings, State};
use crate::maintenance::parts::Fragment;
use crate::startup::ramp::StartPosition;
use crate::startup::transfer::PieceRequest;
use crate::startup::{Edition, Holding};
use crate::Micros;
use order::ProbeOrder;
use replay::Replay;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use suspicion::Suspicion;
pub use view::{Change, Seen, Stats, View};

/// What the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// One datagram.
    #[allow(missing_docs)]
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// A member's state changed in this view.
    Changed(Change),
    /// Another process, elsewhere, goes by this member's name.
    Namesake(Identity),
    /// This member goes on under another generation: the others remembered one as high.
    Renewed(u64),
    /// A live member says which list it holds.
    Holds(SocketAddr, Holding),
    /// A live member asks for pieces of the list: see [`Node::give`].
    Asked(SocketAddr, PieceRequest),
    /// A piece that was asked for.
    #[allow(missing_docs)]
    Piece { from: SocketAddr, edition: Edition, index: u16, count: u16, bytes: Vec<u8> },
    /// A live member, by its name, sends a part of a message on maintenance.
    Part(String, Fragment),
}

struct Member {
    id: Identity,
    incarnation: u32,
    state: State,
    since: Micros,
    heard: Option<Micros>,
    suspicion: Option<Suspicion>,
    /// In the probe order: live members are, dead ones leave it when next met there.
    ordered: bool,
    last_sync_reply: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    ProbeTimeout(u32),
    ProbeEnd(u32),
    RelayNack(u32),
    Suspicion { name: String, generation: u64, incarnation: u32 },
    Reap { name: String, generation: u64 },
}

struct Probe {
    seq: u32,
    target: Identity,
    acked: bool,
    nacks_expected: u64,
    nacks: u64,
}

struct Relay {
    origin: SocketAddr,
    origin_seq: u32,
}

/// Sync replies to one peer: at most one in this share of the sync interval, so a flood of asks costs little.
const SYNC_REPLY_SHARE: u64 = 8;
/// Windows of sequence numbers kept for senders not (yet) members, at most; past it they are not remembered.
const STRANGERS_MOST: usize = 256;
/// Members known at most, the dead that are remembered among them.
pub const MOST_MEMBERS: usize = 4_096;
/// Draws of a live peer, at most: some of those drawn may be dead.
const DRAWS_OF_A_PEER: usize = 4;
/// A turn this many periods late means the process was stopped: its own probe tells nothing of the target.
const STALL_PERIODS: u64 = 3;

/// One member's protocol.
pub struct Node {
    me: Identity,
    incarnation: u32,
    settings: Settings,
    cluster: String,
    key: Option<Key>,
    writer: Writer,
    /// Ordered by name so that the same seed and events give the same datagrams.
    members: BTreeMap<String, Member>,
    replays: HashMap<String, Replay>,
    order: ProbeOrder,
    /// Members held dead, to be asked now and then whether they are (a healed cut is found so, as in Serf).
    dead: Vec<String>,
    next_reconnect: Micros,
    next_gossip: Micros,
    /// Whoever is not known, or comes under an older generation, is answered from then on.
    next_answer: Micros,
    /// Who is at an address, as last learnt: seeds that nobody is at are asked again.
    addresses: HashMap<SocketAddr, String>,
    rng: fastrand::Rng,
    broadcasts: Broadcasts,
    probe: Option<Probe>,
    relays: HashMap<u32, Relay>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    next_period: Micros,
    next_sync: Micros,
    /// When the next turn was due as the last one ended.
    due_at: Option<Micros>,
    health: u32,
    seq: u32,
    packet_seq: u64,
    /// The moment of what is being done, for the age of the list in what is sent.
    clock: Micros,
    view: View,
    seeds: Vec<SocketAddr>,
    next_join: Micros,
    join_tries: u32,
    left: bool,
    /// The list that is held, and when discovery confirmed it.
    list: Option<(Edition, u64, Option<Micros>)>,
    /// Datagrams still to be gossiped for a new list.
    list_news: u32,
    stats: Stats,
}

impl Node {
    /// A member that starts at `now`, asks `seeds` to let it in, and draws its chances from `seed`.
    pub fn new(
        me: Identity,
        cluster: &str,
        key: Option<Key>,
        settings: Settings,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let writer = Writer::new(cluster, &me, key.clone());
        let mut rng = fastrand::Rng::with_seed(seed);
        // Members started together must not probe in step: the first period begins at a drawn moment.
        let first = Micros(rng.u64(0..=settings.probe_interval.0));
        let next_reconnect = now.plus(Micros(rng.u64(0..=settings.reconnect_interval.0)));
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        Node {
            next_sync: now.plus(Micros(rng.u64(settings.sync_interval.0 / 2..=settings.sync_interval.0))),
            next_period: now.plus(first),
            me,
            incarnation: 0,
            settings,
            cluster: cluster.to_owned(),
            key,
            writer,
            members: BTreeMap::new(),
            replays: HashMap::new(),
            order: ProbeOrder::default(),
            dead: Vec::new(),
            next_reconnect,
            next_gossip: now,
            next_answer: now,
            addresses: HashMap::new(),
            rng,
            broadcasts: Broadcasts::default(),
            probe: None,
            relays: HashMap::new(),
            timers: BinaryHeap::new(),
            due_at: None,
            health: 0,
            seq: 0,
            packet_seq: 0,
            clock: now,
            view: View { alive: 1, ..View::default() },
            seeds,
            next_join: now,
            join_tries: 0,
            left: false,
            list: None,
            list_news: 0,
            stats: Stats::default(),
        }
    }

    /// This member.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Counts by state, this member among the alive.
    pub fn view(&self) -> View {
        self.view
    }

    /// Lifeguard's local health score: 0 is healthy; period and timeout are `(health + 1)` times as long.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// The list that is held from now on, told in the head of all that is sent, and when discovery confirmed it. A new one is
    /// gossiped for, as news of a member is.
    pub fn hold(&mut self, list: Option<(Edition, u64, Option<Micros>)>) {
        let edition = |list: &Option<(Edition, u64, Option<Micros>)>| list.map(|list| list.0);
        if edition(&list) != edition(&self.list) {
            self.list_news = self.limit();
        }
        self.list = list;
    }

    /// Asks a member for pieces of its list.
    pub fn ask(&mut self, now: Micros, to: SocketAddr, wanted: PieceRequest, out: &mut Vec<Output>) {
        self.clock = now;
        self.send(to, Body::Ask(wanted), &[], out);
    }

    /// Gives a member a piece of the list.
    pub fn give(
        &mut self,
        now: Micros,
        to: SocketAddr,
        (edition, index, count): (Edition, u16, u16),
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        self.clock = now;
        self.send(to, Body::Piece { edition, index, count, bytes: bytes.to_vec() }, &[], out);
    }

    /// Sends a member a part of a message on maintenance; one that is not known hears nothing.
    pub fn part(&mut self, now: Micros, name: &str, part: Fragment, out: &mut Vec<Output>) {
        self.clock = now;
        if let Some(address) = self.members.get(name).map(|member| member.id.address) {
            self.send(address, Body::Part(part), &[], out);
        }
    }

    /// This member among the live ones whose generation, the clock at their start, is so high or higher (a walk, when the
    /// view has changed).
    pub fn among_started(&self, generation: u64) -> StartPosition {
        let started = |member: &&Member| member.state.live() && member.id.generation >= generation;
        let (mut place, mut starting) = (0, 1);
        for member in self.members.values().filter(started) {
            starting += 1;
            place += usize::from(member.id.name < self.me.name);
        }
        StartPosition { index: place, starting }
    }

    /// The names of the live members beside this one (a walk, when the view has changed).
    pub fn live_names(&self) -> impl Iterator<Item = &str> {
        self.members.values().filter(|member| member.state.live()).map(|member| member.id.name.as_str())
    }

    /// Every member known (for `/ops/members`: a walk, on request only).
    pub fn members(&self) -> impl Iterator<Item = Seen> + '_ {
        self.members.values().map(|member| Seen {
            id: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
            since: member.since,
            heard: member.heard,
        })
    }

    /// The state of one member by name, if known.
    pub fn state_of(&self, name: &str) -> Option<(u64, u32, State)> {
        self.members.get(name).map(|member| (member.id.generation, member.incarnation, member.state))
    }

    /// When [`Node::tick`] is due at the latest.
    pub fn next_wake(&self) -> Micros {
        let mut wake = self.next_period.min(self.next_sync);
        if !self.left && (!self.dead.is_empty() || !self.seeds.is_empty()) {
            wake = wake.min(self.next_reconnect);
        }
        if !self.left && (self.broadcasts.len() > 0 || self.list_news > 0) {
            wake = wake.min(self.next_gossip);
        }
        if let Some(Reverse((at, _))) = self.timers.peek() {
            wake = wake.min(*at);
        }
        if self.joining() {
            wake = wake.min(self.next_join);
        }
        wake
    }

    fn joining(&self) -> bool {
        !self.left && !self.seeds.is_empty() && self.view.live() <= 1
    }

    fn scaled(&self, length: Micros) -> Micros {
        Micros(length.0.saturating_mul(u64::from(self.health) + 1))
    }

    fn limit(&self) -> u32 {
        let n = self.view.live() as f64 + 1.0;
        // In a small fleet a few lost datagrams would be all of them: two rounds at least.
        self.settings.retransmit_multiplier * (n.log10().ceil() as u32).max(2)
    }

    /// Time passes: timers, the protocol period, syncs and joining.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.clock = now;
        if let Some(due) = self.due_at {
            // `due_at` is when this turn was due: later than that by periods means we were not run.
            if now.minus(due).0 > STALL_PERIODS * self.settings.probe_interval.0 {
                // This process was not scheduled (SIGSTOP, a swapped machine): what timed out meanwhile says
                // nothing of the others. Its probe is dropped unfailed; its own health takes the blame.
                self.stats.stalls += 1;
                self.probe = None;
                self.timers.retain(|Reverse((_, timer))| {
                    !matches!(timer, Timer::ProbeTimeout(_) | Timer::ProbeEnd(_))
                });
                self.health = (self.health + 1).min(self.settings.health_max);
                self.next_period = now;
                // Nor did the doubted have time to be heard: their refutations may still be in the socket, or lost
                // with it. Cost: the members, after a stall alone.
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
            self.fire(now, timer, out);
        }
        if self.left {
            if now >= self.next_period {
                self.next_period = now.plus(self.settings.probe_interval);
                self.farewell(out);
            }
            self.due_at = Some(self.next_wake());
            return;
        }
        if now >= self.next_period {
            self.period(now, out);
            self.next_period = now.plus(self.scaled(self.settings.probe_interval));
        }
        if now >= self.next_sync {
            let interval = self.settings.sync_interval.0;
            self.next_sync = now.plus(Micros(self.rng.u64(interval * 3 / 4..=interval * 5 / 4)));
            if let Some(peer) = self.random_live(None) {
                self.send_view(peer, true, out);
            }
        }
        if now >= self.next_reconnect {
            let interval = self.settings.reconnect_interval.0;
            self.next_reconnect = now.plus(Micros(self.rng.u64(interval / 2..=interval * 3 / 2)));
            self.reconnect(out);
            self.ask_a_seed(out);
        }
        if (self.broadcasts.len() > 0 || self.list_news > 0) && now >= self.next_gossip {
            self.next_gossip = now.plus(self.settings.gossip_interval);
            for _ in 0..self.settings.gossip_fanout {
                if let Some(peer) = self.random_live(None) {
                    self.list_news = self.list_news.saturating_sub(1);
                    self.send(peer, Body::Gossip, &[], out);
                }
            }
        }
        if self.joining() && now >= self.next_join {
            self.join_tries += 1;
            let back = self.settings.join_retry.0 << self.join_tries.min(5).saturating_sub(1);
            // At least half the bound, so that a seed that is down is not asked in a loop; the rest drawn.
            self.next_join = now.plus(Micros(self.rng.u64(back / 2..=back)));
            let own = self.own_entry();
            for seed in self.seeds.clone() {
                self.send(seed, Body::Sync { reply: true, last: true }, std::slice::from_ref(&own), out);
            }
        }
        self.due_at = Some(self.next_wake());
    }

    /// Says goodbye: the others hear it in gossip and hold this member as left, not dead.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.left = true;
        for _ in 0..2 {
            self.farewell(out);
        }
    }

    /// The goodbye, to some: again each period while the process runs on, as each of them may be lost.
    fn farewell(&mut self, out: &mut Vec<Output>) {
        let own = self.own_entry();
        for _ in 0..self.settings.gossip_fanout.max(1) {
            if let Some(peer) = self.random_live(None) {
                self.send(peer, Body::Gossip, std::slice::from_ref(&own), out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
