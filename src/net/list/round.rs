//! One clock for silence: what a watch asks next, how long it is waited for, and when the next call goes, whatever became of the
//! last. A change counts as told 6 s after discovery had it and could be reached, so a call that is waited for, the pause behind
//! it and the next one's answer fit into that, after each kind of failure and for any size of the fleet. No I/O.

use super::spread::CallSpread;
use crate::Micros;

#[cfg(test)]
mod tests;

/// How long discovery may hold a call that has nothing to tell...
const MAX_HOLD: Micros = Micros(4_000_000);
/// ...and the first one of a start, whose watch may be silent from its first moment.
const FIRST_CALL_HOLD: Micros = Micros(2_000_000);
/// An agent that is silent for so long beyond a hold is asked anew, on a new connection...
const HOLD_GRACE: Micros = Micros(300_000);
/// ...by a call that it answers at once, within so long...
const ANSWER_TIMEOUT: Micros = Micros(1_000_000);
/// ...or, where several got no answer, so long: it may be there and slow.
const SLOW_ANSWER_TIMEOUT: Micros = Micros(2_500_000);
/// So many calls without an answer make it slow, or away; until then it is asked again soon.
const QUICK_RETRIES: u32 = 2;

/// Where the watch stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No call is out.
    #[default]
    Idle,
    /// One is out that is to be answered at once.
    Immediate,
    /// One is out that may be held.
    Held,
    /// So many calls in a row got no answer that can be used; the next is asked without a hold.
    Failed(u32),
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// No answer in its time.
    TimedOut,
    /// Its connection was refused, reset or closed, or the answer cannot be read.
    Broken,
    /// Discovery is too busy.
    Rejected,
}

/// A call to be made: how long it may be held, and when it counts as unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// How long discovery may hold it.
    pub hold: Micros,
    /// How long it is waited for.
    pub timeout: Micros,
}

/// See the module's text.
pub struct WatchSchedule {
    spread: CallSpread,
    stage: Stage,
    failures: u32,
    rejected: bool,
    /// A call was answered: the watch goes on.
    established: bool,
}

impl WatchSchedule {
    /// Nothing asked yet.
    pub fn new(spread: CallSpread) -> WatchSchedule {
        WatchSchedule { spread, stage: Stage::Idle, failures: 0, rejected: false, established: false }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How long after the start the first call waits.
    pub fn start_delay(&mut self) -> Micros {
        self.spread.start_delay()
    }

    /// The watch of a process before goes on: how long its next call waits.
    pub fn resume(&mut self) -> Micros {
        self.established = true;
        self.spread.next_call_delay()
    }

    /// Another discovery: nothing is known of it.
    pub fn reset(&mut self) {
        (self.stage, self.failures, self.rejected, self.established) = (Stage::Idle, 0, false, false);
    }

    /// The next call goes out; with a list known, it may be one that waits for changes.
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

    /// A list has come: how long the next call waits.
    pub fn answered(&mut self) -> Micros {
        (self.stage, self.failures, self.rejected, self.established) = (Stage::Idle, 0, false, true);
        self.spread.next_call_delay()
    }

    /// No list has come: how long the next call waits.
    pub fn failed(&mut self, failure: WatchFailure) -> Micros {
        self.failures = self.failures.saturating_add(1);
        (self.stage, self.rejected) = (Stage::Failed(self.failures), failure == WatchFailure::Rejected);
        match failure {
            // Watches that fell silent in one moment were begun in many: all asked anew soon, they are spread as they were.
            WatchFailure::TimedOut if self.failures <= QUICK_RETRIES => self.spread.timeout_backoff(),
            WatchFailure::TimedOut | WatchFailure::Broken => self.spread.failure_backoff(),
            WatchFailure::Rejected => self.spread.rejection_backoff(),
        }
    }
}
