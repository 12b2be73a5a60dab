//! Timing of the discovery watch: what the next call asks for, its time-out, and the delay before it after
//! each result of the last call. A change must be known 6 s after discovery had it and was reachable. The
//! time-out of a call, the backoff after it and the next call's answer therefore fit into 6 s, for each kind
//! of failure and any fleet size. No I/O.

use super::spread::CallSpread;
use crate::Micros;

#[cfg(test)]
mod tests;

/// How long discovery may hold a call while there is no change.
const MAX_HOLD: Micros = Micros(4_000_000);
/// The hold of the first call after a start: that watch may be silent from its first moment.
const FIRST_CALL_HOLD: Micros = Micros(2_000_000);
/// A held call without an answer this long after its hold has timed out; the next call uses a new connection.
const HOLD_GRACE: Micros = Micros(300_000);
/// Time-out of a call that discovery answers at once.
const ANSWER_TIMEOUT: Micros = Micros(1_000_000);
/// The same after several calls without an answer: discovery may be reachable but slow.
const SLOW_ANSWER_TIMEOUT: Micros = Micros(2_500_000);
/// After this many time-outs in a row discovery counts as slow or down; until then the retry follows soon.
const QUICK_RETRIES: u32 = 2;

/// State of the watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No call is in progress.
    #[default]
    Idle,
    /// A call that is to be answered at once is in progress.
    Immediate,
    /// A call that discovery may hold is in progress.
    Held,
    /// This many calls in a row got no usable answer; the next one is sent without a hold.
    Failed(u32),
}

/// Why a call returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// No answer before the time-out.
    TimedOut,
    /// The connection was refused, reset or closed, or the answer is malformed.
    Broken,
    /// Discovery answered that it is too busy.
    Rejected,
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// How long discovery may hold it; 0 asks for an answer at once.
    pub hold: Micros,
    /// Time after which it counts as unanswered.
    pub timeout: Micros,
}

/// Decides what the watch sends and when.
pub struct WatchSchedule {
    spread: CallSpread,
    stage: Stage,
    failures: u32,
    rejected: bool,
    /// A call of this watch has been answered.
    established: bool,
}

impl WatchSchedule {
    /// Creates the schedule of a watch that has not sent a call yet.
    pub fn new(spread: CallSpread) -> WatchSchedule {
        WatchSchedule { spread, stage: Stage::Idle, failures: 0, rejected: false, established: false }
    }

    /// The current state.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Changes the number of forwarders among which the calls are spread.
    pub fn set_forwarders(&mut self, forwarders: u32) {
        self.spread.set_forwarders(forwarders);
    }

    /// Delay from the start to the first call.
    pub fn start_delay(&mut self) -> Micros {
        self.spread.start_delay()
    }

    /// Continues the predecessor process's watch; returns the delay before the next call.
    pub fn resume(&mut self) -> Micros {
        self.established = true;
        self.spread.next_call_delay()
    }

    /// Forgets all results: discovery has moved to another address.
    pub fn reset(&mut self) {
        (self.stage, self.failures, self.rejected, self.established) = (Stage::Idle, 0, false, false);
    }

    /// Begins the next call. If a list is known, discovery may hold the call until there is a change.
    pub fn next_call(&mut self, list_known: bool) -> WatchCall {
        let hold = match (list_known, self.failures, self.established) {
            (true, 0, true) => MAX_HOLD,
            (true, 0, false) => FIRST_CALL_HOLD,
            _ => Micros(0),
        };
        self.stage = if hold > Micros(0) { Stage::Held } else { Stage::Immediate };
        let timeout = match (hold, self.failures) {
            (Micros(0), failures) if failures > QUICK_RETRIES && !self.rejected => SLOW_ANSWER_TIMEOUT,
            (Micros(0), _) => ANSWER_TIMEOUT,
            (hold, _) => hold.plus(HOLD_GRACE),
        };
        WatchCall { hold, timeout }
    }

    /// A list has been received; returns the delay before the next call.
    pub fn answered(&mut self) -> Micros {
        (self.stage, self.failures, self.rejected, self.established) = (Stage::Idle, 0, false, true);
        self.spread.next_call_delay()
    }

    /// The call returned no list; returns the delay before the next call.
    pub fn failed(&mut self, failure: WatchFailure) -> Micros {
        self.failures = self.failures.saturating_add(1);
        (self.stage, self.rejected) = (Stage::Failed(self.failures), failure == WatchFailure::Rejected);
        match failure {
            // Watches that fall silent in the same moment were begun at different times, so their retries are
            // already spread although each follows soon.
            WatchFailure::TimedOut if self.failures <= QUICK_RETRIES => self.spread.timeout_backoff(),
            WatchFailure::TimedOut | WatchFailure::Broken => self.spread.failure_backoff(),
            WatchFailure::Rejected => self.spread.rejection_backoff(),
        }
    }
}
