//! The other forwarders of the fleet: one UDP socket in the loop, the membership's core behind it, and this forwarder's
//! part of what all share. Where the operators' file has no section `membership`, there is none of it.

use super::poll::{Peer, Poll};
use crate::config::members::Membership;
use crate::membership::share::{Rules, Shares, Standing};
use crate::membership::wire::{Dropped, Key, MAX_DATAGRAM};
use crate::membership::{Change, Identity, Node, Output, State, View};
use crate::Micros;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};

/// Datagrams read in a turn; the rest waits for the next.
const MOST_READ: usize = 256;
/// Addresses of members that the process that follows is told.
const MOST_HANDED: usize = 64;

/// What the process that follows is told, beside the socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handed {
    /// Where live members are.
    peers: Vec<SocketAddr>,
    /// The live count when the view was last whole.
    last_whole: usize,
}

/// See the module's text.
pub struct Members {
    socket: UdpSocket,
    node: Node,
    shares: Shares,
    /// Datagrams that the system did not take.
    unsent: u64,
    outputs: Vec<Output>,
    view: View,
}

/// Binds the socket, and has the loop wait for it.
pub fn bind(poll: &mut Poll, at: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(at)?;
    watch(poll, &socket)?;
    Ok(socket)
}

fn watch(poll: &mut Poll, socket: &UdpSocket) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let token = poll.token(Peer::Members);
    poll.add(socket, token, false)
}

/// Has the loop wait for a socket that was handed over.
pub fn follow(poll: &mut Poll, socket: UdpSocket, at: SocketAddr) -> std::io::Result<UdpSocket> {
    match socket.local_addr() {
        Ok(bound) if bound == at => watch(poll, &socket).map(|()| socket),
        _ => bind(poll, at),
    }
}

impl Members {
    /// A member that begins now. `told` is the settings' number of forwarders, the least while the view is young.
    pub fn new(
        socket: UdpSocket,
        told: &Membership,
        (siblings, seed): (u32, u64),
        handed: Option<Handed>,
        now: Micros,
    ) -> Members {
        // The clock is the generation: above that of any start before, unless the clock went back (see the core).
        let me = Identity { name: told.name.clone(), address: told.advertise, generation: now.0 };
        let key = told.key.as_ref().map(|key| Key::new(key.reveal().as_bytes().to_vec()));
        let (peers, before) = handed.map_or((Vec::new(), 1), |handed| (handed.peers, handed.last_whole));
        let seeds = told.seeds.iter().copied().chain(peers).collect();
        let floor = siblings.max(u32::try_from(before).unwrap_or(u32::MAX));
        log!("membership: {} of cluster {} at {}", me.name, told.cluster, me.address);
        let node = Node::new(me, &told.cluster, key, told.settings(), seeds, seed ^ now.0, now);
        let shares = Shares::new(Rules { floor, ..Rules::default() }, now);
        let view = node.view();
        Members { socket, node, shares, unsent: 0, outputs: Vec::new(), view }
    }

    /// Datagrams are there.
    pub fn ready(&mut self, now: Micros) {
        // One byte more than the longest, to tell what is too long.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..MOST_READ {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.node.receive(now, from, &buffer[..length], &mut self.outputs),
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
    }

    /// Once a turn: what is due, and what came of it. Tells by how many shared limits are divided from now on.
    pub fn tick(&mut self, now: Micros) -> f64 {
        if now >= self.node.next_wake() {
            self.node.tick(now, &mut self.outputs);
        }
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, bytes } => {
                    // What is lost here is as good as lost on the way.
                    self.unsent += u64::from(self.socket.send_to(&bytes, to).is_err());
                }
                Output::Changed(change) => self.tell(change),
                Output::Namesake(other) => {
                    let (name, at) = (&other.name, other.address);
                    log!("membership: another forwarder at {at} goes by the name {name}: give each its own");
                }
                Output::Renewed(generation) => {
                    log!("membership: the others know a later start of this one: going on as generation {generation}")
                }
            }
        }
        self.view = self.node.view();
        if let Some(standing) = self.shares.observe(now, self.view) {
            let View { alive, suspect, dead, left } = self.view;
            let divisor = self.shares.target_divisor();
            let why = match standing {
                Standing::Young => "young: the settings' number is the least",
                Standing::Whole => "whole",
                Standing::Doubtful => "doubtful, likely a cut: no share rises",
            };
            log!(
                "membership: the view is {why}: {alive} alive, {suspect} suspect, {dead} dead, {left} left; shared \
                 limits are divided by {divisor}"
            );
        }
        self.shares.divisor(now)
    }

    fn tell(&mut self, Change { id, incarnation, from, to, cause }: Change) {
        if to == State::Left {
            self.shares.left();
        }
        let (name, at, generation) = (id.name, id.address, id.generation);
        let from = from.map_or("unknown", State::name);
        let to = to.name();
        log!("membership: {name} at {at} is {to} ({cause}), was {from}; generation {generation}, incarnation {incarnation}");
    }

    /// When [`Members::tick`] is due.
    pub fn due(&self) -> Micros {
        self.node.next_wake().min(self.shares.due())
    }

    /// The process is to end: says goodbye.
    pub fn leave(&mut self) {
        self.node.leave(&mut self.outputs);
    }

    /// For another poll.
    pub fn move_to(&self, poll: &mut Poll) -> std::io::Result<()> {
        watch(poll, &self.socket)
    }

    /// The socket, for the process that follows or a change of the settings.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// See [`Handed`]. Cost: the members.
    pub fn hand_over(&self) -> Handed {
        let live = self.node.members().filter(|member| member.state.live());
        let peers = live.map(|member| member.id.address).take(MOST_HANDED).collect();
        Handed { peers, last_whole: self.shares.last_whole() }
    }

    /// Figures for operators' staff.
    pub fn figures(&self, now: Micros) -> serde_json::Value {
        let stats = self.node.stats();
        let dropped = Dropped::ALL.iter().zip(stats.dropped);
        let dropped: serde_json::Map<_, _> =
            dropped.map(|(cause, count)| (cause.name().to_owned(), count.into())).collect();
        let View { alive, suspect, dead, left } = self.view;
        json!({
            "alive": alive, "suspect": suspect, "dead": dead, "left": left,
            "view": self.shares.standing().name(),
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
        })
    }

    /// Each member, this one first. Cost: the members, for a call of operators' staff alone.
    pub fn list(&self, now: Micros) -> serde_json::Value {
        let ago = |at: Micros| (now.minus(at).0 / 1000) as f64 / 1e3;
        let me = self.node.me();
        let mut all = vec![json!({
            "name": me.name, "address": me.address.to_string(), "generation": me.generation,
            "incarnation": self.node.incarnation(), "state": "alive", "self": true,
        })];
        all.extend(self.node.members().map(|seen| {
            json!({
                "name": seen.id.name, "address": seen.id.address.to_string(),
                "generation": seen.id.generation, "incarnation": seen.incarnation,
                "state": seen.state.name(), "since_s": ago(seen.since), "heard_s": seen.heard.map(ago),
            })
        }));
        let View { alive, suspect, dead, left } = self.view;
        json!({
            "view": self.shares.standing().name(), "alive": alive, "suspect": suspect, "dead": dead,
            "left": left, "members": all,
        })
    }
}
