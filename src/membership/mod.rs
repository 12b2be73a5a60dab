//! Group membership without I/O: the SWIM protocol with Lifeguard's refinements.
//!
//! The caller passes received datagrams and the current time to a [`Node`], which returns datagrams to send
//! and membership changes. It opens no socket and reads no clock, so the program's event loop and the lab's
//! simulated fleet drive the same code. `docs/membership.md` describes the design, its bounds and the
//! measurements.

mod gossip;
mod protocol;
pub mod rules;
pub mod share;
pub mod wire;

pub use protocol::{MemberCounts, MemberInfo, Node, Output, StateChange, Stats, MAX_MEMBERS};

use crate::Micros;
use std::net::SocketAddr;

/// Identifies a member: one start of one process. A restart gets a new generation and is a new member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Unique within the cluster; the operators name the forwarder.
    pub name: String,
    /// Address of its membership socket.
    pub address: SocketAddr,
    /// Chosen at each start, above the previous start's.
    pub generation: u64,
}

/// State of a member as seen by another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Known at its incarnation and not suspected.
    Alive,
    /// A probe failed here or at another member. It is declared dead unless it refutes in time.
    Suspect,
    /// It did not refute in time here or at another member. Final for its incarnation.
    Dead,
    /// It announced its own departure. Final for its generation.
    Left,
}

impl State {
    /// The state's name in statistics, log lines and `/ops/members`.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Alive or suspect, so it still counts as a participant.
    pub fn live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// One membership update in a datagram's gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The member that the update is about.
    pub id: Identity,
    /// Raised only by the member itself, to refute.
    pub incarnation: u32,
    /// The reported state.
    pub state: State,
    /// The member that raised a suspicion. Only confirmations by other accusers shorten the suspicion
    /// timeout; relayed copies do not.
    pub accuser: Option<String>,
}

/// Timing and limits of the protocol. The defaults follow the LAN profile of the best-known Go
/// implementation, with a shorter protocol period (see `docs/membership.md`).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The protocol period, in which one probe is sent.
    pub probe_interval: Micros,
    /// How long a direct probe waits for its ack before indirect probes are requested.
    pub probe_timeout: Micros,
    /// Number of helpers asked for an indirect probe; also the number of confirmations that reduces a
    /// suspicion timeout to its minimum.
    pub indirect_probes: usize,
    /// The minimum suspicion timeout is `suspicion_multiplier * log10(n) * probe_interval`.
    pub suspicion_multiplier: f64,
    /// Ratio of the maximum suspicion timeout (no confirmation) to the minimum.
    pub suspicion_max_multiplier: f64,
    /// Each update is sent `retransmit_multiplier * ceil(log10(n + 1))` times.
    pub retransmit_multiplier: u32,
    /// Number of members that get a gossip-only datagram every `gossip_interval`, besides the probes, while
    /// updates are pending.
    pub gossip_fanout: usize,
    /// Interval of the gossip-only datagrams. The first update after an idle time is sent at once.
    pub gossip_interval: Micros,
    /// Maximum of Lifeguard's local health score. Period and timeout grow up to `(max_local_health + 1)`
    /// times their length.
    pub max_local_health: u32,
    /// Interval of the anti-entropy sync of the full state with one random member.
    pub sync_interval: Micros,
    /// How long dead and left members are remembered, so that late gossip does not revive them and a
    /// partition that heals within this time is detected.
    pub reap_after: Micros,
    /// Interval of the pings to one random dead member, which detect a healed partition.
    pub reconnect_interval: Micros,
    /// Initial interval of join requests to the seeds while no other member is known. It doubles up to 16
    /// times its initial length.
    pub join_retry: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings::with_probe_interval(Micros::from_ms(200.0))
    }
}

impl Settings {
    /// Settings for this protocol period; the probe timeout and the gossip interval are half of it.
    pub fn with_probe_interval(probe_interval: Micros) -> Self {
        let half_period = Micros(probe_interval.0 / 2);
        Settings {
            probe_interval,
            probe_timeout: half_period,
            indirect_probes: 3,
            suspicion_multiplier: 3.5,
            suspicion_max_multiplier: 6.0,
            retransmit_multiplier: 4,
            gossip_fanout: 2,
            gossip_interval: half_period,
            max_local_health: 8,
            sync_interval: Micros::from_ms(30_000.0),
            reap_after: Micros::from_ms(600_000.0),
            reconnect_interval: Micros::from_ms(1_000.0),
            join_retry: Micros::from_ms(1_000.0),
        }
    }
}
