//! The effect of one update on the recorded state of a member, as pure functions. The protocol calls them,
//! and a model checker explores them in every order, with loss and repetition (`tests/membership_model.rs`).

use super::State;

/// Incarnation and state of one generation of a member, as recorded by another member or reported by an
/// update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Belief {
    /// Raised only by the member itself.
    pub incarnation: u32,
    #[allow(missing_docs)]
    pub state: State,
}

/// The maximum incarnation. No member reaches a higher one, and it could not be refuted, so a datagram that
/// contains one is malformed.
pub const MAX_INCARNATION: u32 = 1 << 31;

/// Whether a reported belief replaces the recorded one. A higher incarnation replaces any state of a lower
/// one, at equal incarnations the later state in the order of [`State`] wins, and `Left` is final for its
/// generation.
pub fn supersedes(recorded: Belief, reported: Belief) -> bool {
    recorded.state != State::Left
        && (reported.incarnation > recorded.incarnation
            || reported.incarnation == recorded.incarnation && reported.state > recorded.state)
}

/// The incarnation with which a member refutes this belief about itself; `None` if there is nothing to
/// refute.
pub fn refuting_incarnation(own: u32, reported: Belief) -> Option<u32> {
    let accused = reported.state != State::Alive && reported.incarnation >= own;
    let ahead = reported.state == State::Alive && reported.incarnation > own;
    (accused || ahead).then(|| reported.incarnation.saturating_add(1))
}

/// The divisor of a shared limit, and whether the member counts are trusted. `live` is the number of
/// participants, `known` adds the dead members still remembered, and `last_whole` is the live count when it
/// was last trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Divisor {
    /// More than half of all known members are live. At most one side of a partition can see this.
    Whole(usize),
    /// A partition is likely, or many members are suspect: the larger divisor applies, so the share is the
    /// smaller one.
    Doubtful(usize),
}

/// Computes the [`Divisor`]. With `many_suspects` the live count may fall without a partition, so the last
/// trusted count stays the divisor.
pub fn divisor(live: usize, known: usize, last_whole: usize, many_suspects: bool) -> Divisor {
    let all = known.max(last_whole);
    if live * 2 <= all && all > 1 {
        Divisor::Doubtful(all)
    } else if many_suspects {
        Divisor::Doubtful(live.max(last_whole))
    } else {
        Divisor::Whole(live)
    }
}

#[cfg(test)]
mod tests;
