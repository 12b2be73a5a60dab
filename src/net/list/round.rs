//! One clock for silence: what a watch asks next, how long it is waited for, and when the next call goes, whatever became of the
//! last. A change counts as told 6 s after discovery had it and could be reached, so a call that is waited for, the pause behind
//! it and the next one's answer fit into that, after each kind of failure and for any size of the fleet. No I/O.

use super::spread::Spread;
use crate::Micros;

#[cfg(test)]
mod tests;

/// How long discovery may hold a call that has nothing to tell...
const HOLD: Micros = Micros(4_000_000);
/// ...and the first one of a start, whose watch may be silent from its first moment.
const FIRST_HOLD: Micros = Micros(2_000_000);
/// An agent that is silent for so long beyond a hold is asked anew, on a new connection...
const LATE: Micros = Micros(300_000);
/// ...by a call that it answers at once, within so long...
const ANSWER: Micros = Micros(1_000_000);
/// ...or, where several got no answer, so long: it may be there and slow.
const SLOW_ANSWER: Micros = Micros(2_500_000);
/// So many calls without an answer make it slow, or away; until then it is asked again soon.
const SOON: u32 = 2;

/// Where the watch stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No call is out.
    #[default]
    Resting,
    /// One is out that is to be answered at once.
    Asked,
    /// One is out that may be held.
    Held,
    /// So many calls in a row got no answer that can be used; the next is asked without a hold.
    Missed(u32),
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// No answer in its time.
    Silent,
    /// Its connection was refused, reset or closed, or the answer cannot be read.
    Broken,
    /// Discovery is too busy.
    TurnedAway,
}

/// A call to be made: how long it may be held, and when it counts as unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// How long discovery may hold it.
    pub hold: Micros,
    /// How long it is waited for.
    pub patience: Micros,
}

/// See the module's text.
pub struct Round {
    spread: Spread,
    stage: Stage,
    misses: u32,
    turned_away: bool,
    /// A call was answered: the watch goes on.
    going: bool,
}

impl Round {
    /// Nothing asked yet.
    pub fn new(spread: Spread) -> Round {
        Round { spread, stage: Stage::Resting, misses: 0, turned_away: false, going: false }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How long after the start the first call waits.
    pub fn start(&mut self) -> Micros {
        self.spread.start()
    }

    /// The watch of a process before goes on: how long its next call waits.
    pub fn follow(&mut self) -> Micros {
        self.going = true;
        self.spread.go_on()
    }

    /// Another discovery: nothing is known of it.
    pub fn begin_anew(&mut self) {
        (self.stage, self.misses, self.turned_away, self.going) = (Stage::Resting, 0, false, false);
    }

    /// The next call goes out; with a list known, it may be one that waits for changes.
    pub fn ask(&mut self, knows: bool) -> Ask {
        let hold = match (knows, self.misses, self.going) {
            (true, 0, true) => HOLD,
            (true, 0, false) => FIRST_HOLD,
            _ => Micros(0),
        };
        self.stage = if hold > Micros(0) { Stage::Held } else { Stage::Asked };
        let patience = match (hold, self.misses) {
            (Micros(0), misses) if misses > SOON && !self.turned_away => SLOW_ANSWER,
            (Micros(0), _) => ANSWER,
            (hold, _) => hold.plus(LATE),
        };
        Ask { hold, patience }
    }

    /// A list has come: how long the next call waits.
    pub fn answered(&mut self) -> Micros {
        (self.stage, self.misses, self.turned_away, self.going) = (Stage::Resting, 0, false, true);
        self.spread.go_on()
    }

    /// No list has come: how long the next call waits.
    pub fn missed(&mut self, miss: Miss) -> Micros {
        self.misses = self.misses.saturating_add(1);
        (self.stage, self.turned_away) = (Stage::Missed(self.misses), miss == Miss::TurnedAway);
        match miss {
            // Watches that fell silent in one moment were begun in many: all asked anew soon, they are spread as they were.
            Miss::Silent if self.misses <= SOON => self.spread.after_silence(),
            Miss::Silent | Miss::Broken => self.spread.after_failure(),
            Miss::TurnedAway => self.spread.turned_away(),
        }
    }
}
