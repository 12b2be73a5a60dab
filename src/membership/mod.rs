//! Who else is there: a membership protocol of the SWIM family with Lifeguard's refinements, without I/O.
//!
//! A [`Node`] is told what came in and when, and answers with datagrams to send and changes of members; it opens no
//! socket and reads no clock, so the program's loop and the lab's simulated fleet drive the same code. The design,
//! its bounds and what was measured are in `docs/membership.md`.

mod gossip;
mod protocol;
pub mod rules;
pub mod share;
pub mod wire;

pub use protocol::{Change, Node, Output, Seen, Stats, View, MOST_MEMBERS};

use crate::Micros;
use std::net::SocketAddr;

/// A member: one start of one process. A restart is a new generation, never the old member again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Unique within the cluster, as the operators name the forwarder.
    pub name: String,
    /// Where its membership socket listens.
    pub address: SocketAddr,
    /// Drawn at each start, above the last start's.
    pub generation: u64,
}

/// What a member is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Heard of at its incarnation, no doubt told.
    Alive,
    /// A probe failed, or another said so; dead unless it refutes in time.
    Suspect,
    /// Not refuted in time, or told so: final for its incarnation.
    Dead,
    /// Said goodbye itself: final for its generation.
    Left,
}

impl State {
    /// The name in figures, lines and `/ops/members`.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Alive or suspect: still counted among those that take part.
    pub fn live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What gossip says of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Of whom.
    pub id: Identity,
    /// Raised only by the member itself, to refute.
    pub incarnation: u32,
    /// What it is said to be.
    pub state: State,
    /// Of a suspicion: who suspects. Only confirmations by other accusers shorten its timeout (relays do not).
    pub accuser: Option<String>,
}

/// How the protocol is paced; the defaults are those of the best-known Go implementation's LAN profile, with a
/// shorter period (see `docs/membership.md`).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period: one probe each.
    pub probe_interval: Micros,
    /// How long a direct probe waits for its ack before helpers are asked.
    pub probe_timeout: Micros,
    /// Helpers asked to probe indirectly; also the confirmations that bring a suspicion to its shortest timeout.
    pub indirect: usize,
    /// The shortest suspicion timeout is `suspicion_multiplier * log10(n) * probe_interval`.
    pub suspicion_multiplier: f64,
    /// The longest, without any confirmation, is this many times the shortest.
    pub suspicion_max_multiplier: f64,
    /// Each change is sent `retransmit_multiplier * ceil(log10(n + 1))` times.
    pub retransmit_multiplier: u32,
    /// Members that get pure gossip each `gossip_interval`, besides the probes, while there is news.
    pub gossip_fanout: usize,
    /// See above; the first news after a rest goes on at once.
    pub gossip_interval: Micros,
    /// Lifeguard's local health: period and timeout grow up to `(health_max + 1)` times.
    pub health_max: u32,
    /// A whole view is exchanged with one other member this often.
    pub sync_interval: Micros,
    /// Dead and left members are remembered this long, so late gossip does not bring them back and a cut that heals
    /// within it is found again.
    pub reap_after: Micros,
    /// A member held dead is pinged this often (one drawn), so that a healed cut is found.
    pub reconnect_interval: Micros,
    /// Seeds are asked again after this long while no other member is known; it doubles to 16 times.
    pub join_retry: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings::paced(Micros::from_ms(200.0))
    }
}

impl Settings {
    /// With this protocol period, and what follows it in proportion.
    pub fn paced(probe_interval: Micros) -> Self {
        let half = Micros(probe_interval.0 / 2);
        Settings {
            probe_interval,
            probe_timeout: half,
            indirect: 3,
            suspicion_multiplier: 3.5,
            suspicion_max_multiplier: 6.0,
            retransmit_multiplier: 4,
            gossip_fanout: 2,
            gossip_interval: half,
            health_max: 8,
            sync_interval: Micros::from_ms(30_000.0),
            reap_after: Micros::from_ms(600_000.0),
            reconnect_interval: Micros::from_ms(1_000.0),
            join_retry: Micros::from_ms(1_000.0),
        }
    }
}
