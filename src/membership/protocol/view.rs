//! What a member reports about the membership: state changes, counters, and the members as operators see
//! them.

use super::super::wire::DropReason;
use super::super::{Identity, State};
use crate::Micros;

/// A change of a member's state, as seen by this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The member that changed.
    pub id: Identity,
    /// Its incarnation after the change.
    pub incarnation: u32,
    /// The previous state; `None` if the member was unknown.
    pub from: Option<State>,
    /// The new state.
    pub to: State,
    /// The cause for the log line: `probe`, `gossip`, `timeout`, `refuted`, `restarted` or `sync`.
    pub cause: &'static str,
}

/// Counters since the start, for `/ops/stats` and the lab.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[allow(missing_docs)]
pub struct Stats {
    pub probes: u64,
    pub acks: u64,
    pub nacks: u64,
    /// Indirect probes requested from helpers.
    pub indirect: u64,
    pub suspicions: u64,
    /// Suspicions of other members that those members refuted.
    pub refutations: u64,
    /// Times this member refuted its own suspicion or death.
    pub refuted_self: u64,
    pub dead: u64,
    pub left: u64,
    pub joined: u64,
    /// Ticks so late that this process must have been suspended; they fail no probe.
    pub stalls: u64,
    /// Datagrams of this cluster from unknown members, which are asked for their full state.
    pub strangers: u64,
    /// Updates about members beyond [`MAX_MEMBERS`](super::MAX_MEMBERS), which are ignored.
    pub overflow: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// Dropped datagrams by reason, in the order of [`DropReason::ALL`].
    pub dropped: [u64; 8],
}

/// Number of members in each state; this member counts as alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct MemberCounts {
    pub alive: usize,
    pub suspect: usize,
    pub dead: usize,
    pub left: usize,
}

impl MemberCounts {
    /// Number of participants: alive and suspect members.
    pub fn live(&self) -> usize {
        self.alive + self.suspect
    }
}

/// One member as `/ops/members` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct MemberInfo {
    pub id: Identity,
    pub incarnation: u32,
    pub state: State,
    pub since: Micros,
    pub heard: Option<Micros>,
}

impl Stats {
    /// Counts a dropped datagram.
    pub(super) fn count_dropped(&mut self, cause: DropReason) {
        let index = DropReason::ALL.iter().position(|known| *known == cause).expect("every reason is listed");
        self.dropped[index] += 1;
    }
}

impl MemberCounts {
    /// Counts a member's transition. `from` is `None` for a new member, `to` is `None` for a removed one.
    pub(super) fn record_transition(&mut self, from: Option<State>, to: Option<State>) {
        if let Some(from) = from {
            *self.slot(from) -= 1;
        }
        if let Some(to) = to {
            *self.slot(to) += 1;
        }
    }

    fn slot(&mut self, state: State) -> &mut usize {
        match state {
            State::Alive => &mut self.alive,
            State::Suspect => &mut self.suspect,
            State::Dead => &mut self.dead,
            State::Left => &mut self.left,
        }
    }
}
