//! Where a process stands between its start and its end: starting, serving, draining, stopping, or followed by another that
//! it has handed everything to. One machine without sockets says for all of them what `/ready` answers, how clients are sent
//! away, whether calls may begin, and when the process is done.

use crate::Micros;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// For so long after a drain began nothing but `/ready` tells of it: the front has not heard yet, and goes on sending
/// new connections.
const UNHEARD: Micros = Micros(400_000);
/// From then on, connections that are not used are closed, first those unused for longest...
const CLOSE_UNUSED: Micros = Micros(2_500_000);
/// ...and by then all are: half a second before staff expect it.
const CLOSED: Micros = Micros(3_500_000);
/// Once told to stop, calls may begin for so long...
const LAST_CALL: Micros = Micros(2_000_000);
/// ...and after so long clients are sent away. Not sooner: one who finds nobody may not come again. Whoever waits is let in,
/// what is read is answered, and each connection ends so that its client has all that was written to it...
const SENT_AWAY: Micros = Micros(3_400_000);
/// ...until then, at the latest. Calls still out are left to the next process: SIGKILL is near.
const STOPPED: Micros = Micros(3_600_000);

/// What becomes of the connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// They stay.
    Kept,
    /// Each ends behind its next answer.
    EndAnswered,
    /// Those unused for so long end, too.
    EndUnused(Micros),
    /// All end, and nobody is let in any more.
    End,
}

/// What a start still waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Start {
    /// No list of service entries is known: nothing could be sent anywhere.
    NoList,
    /// One from before is known, which nobody has confirmed lately: it serves once somebody does, or after this moment.
    Doubtful(Micros),
    /// Nothing: it can serve.
    #[default]
    Over,
}

/// In one word, for those who look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet: it waits for a list.
    Starting,
    /// Clients are to come.
    Serving,
    /// Clients are sent away; the process runs on.
    Draining,
    /// It ends soon.
    Stopping,
    /// Another process has all that was held.
    Followed,
}

impl Stage {
    /// The word.
    pub fn word(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Serving => "serving",
            Stage::Draining => "draining",
            Stage::Stopping => "stopping",
            Stage::Followed => "followed",
        }
    }
}

/// It cannot go back to work: it is stopping, or another process has followed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoWayBack(pub Stage);

/// See the module's text. Drain and stop are told apart from each other: either may come while the other is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lifecycle {
    /// Told by none that was handed over by a version before this.
    #[serde(default)]
    start: Start,
    drain: Option<Micros>,
    stop: Option<Micros>,
    followed: bool,
}

impl Lifecycle {
    /// A process that begins now, and knows a list from before, or none. One that nobody has confirmed lately waits for a
    /// word on it as long as is told.
    pub fn begin(now: Micros, known: bool, doubt: Option<Micros>) -> Lifecycle {
        let start = match (known, doubt) {
            (false, _) => Start::NoList,
            (true, Some(longest)) => Start::Doubtful(now.plus(longest)),
            (true, None) => Start::Over,
        };
        Lifecycle { start, ..Lifecycle::default() }
    }

    /// A list has come, or the one from before was confirmed: the start is over.
    pub fn listed(&mut self) {
        self.start = Start::Over;
    }

    /// A list from before was confirmed: it serves. One that never came cannot be.
    pub fn confirmed(&mut self) {
        if matches!(self.start, Start::Doubtful(_)) {
            self.start = Start::Over;
        }
    }

    /// Time passes: a list that nobody confirms serves all the same.
    pub fn tick(&mut self, now: Micros) {
        if matches!(self.start, Start::Doubtful(until) if now >= until) {
            self.start = Start::Over;
        }
    }

    /// It has what it needs to serve, whether clients are to come or not.
    pub fn can_serve(&self) -> bool {
        self.start == Start::Over
    }

    /// A drain begins; tells whether there was none. Told again it changes nothing: its steps go on.
    pub fn start_drain(&mut self, now: Micros) -> bool {
        let new = self.drain.is_none();
        self.drain.get_or_insert(now);
        new
    }

    /// Back to work; tells whether there was a drain.
    pub fn stop_drain(&mut self) -> Result<bool, NoWayBack> {
        match self.stage() {
            stage @ (Stage::Stopping | Stage::Followed) => Err(NoWayBack(stage)),
            Stage::Starting | Stage::Serving | Stage::Draining => Ok(self.drain.take().is_some()),
        }
    }

    /// The process is to end. Told again it changes nothing.
    pub fn stop(&mut self, now: Micros) {
        self.stop.get_or_insert(now);
    }

    /// Another process has all that was held: nothing may be done for it here any more.
    pub fn follow(&mut self) {
        self.followed = true;
    }

    /// A list is known, whether it serves yet or not.
    pub fn knows_a_list(&self) -> bool {
        self.start != Start::NoList
    }

    /// For the process that follows, which knows a list or not: a start and a drain go on there, a stop was this one's own.
    pub fn inherited(self, known: bool) -> Lifecycle {
        let start = match (known, self.start) {
            (false, _) => Start::NoList,
            (true, Start::NoList) => Start::Over,
            (true, start) => start,
        };
        Lifecycle { start, drain: self.drain, ..Lifecycle::default() }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        match self {
            Lifecycle { followed: true, .. } => Stage::Followed,
            Lifecycle { stop: Some(_), .. } => Stage::Stopping,
            Lifecycle { drain: Some(_), .. } => Stage::Draining,
            Lifecycle { start: Start::NoList | Start::Doubtful(_), .. } => Stage::Starting,
            _ => Stage::Serving,
        }
    }

    /// Clients are to come: `/ready` may say yes.
    pub fn takes_clients(&self) -> bool {
        self.can_serve() && self.stage() == Stage::Serving
    }

    /// The process is to end, or has nothing to do any more.
    pub fn leaves(&self) -> bool {
        matches!(self.stage(), Stage::Stopping | Stage::Followed)
    }

    /// What becomes of the connections of clients. A stop sends them away only at its end: what is taken on until then the
    /// next process goes on with.
    pub fn connections(&self, now: Micros) -> Connections {
        if self.stop.is_some_and(|since| now >= since.plus(SENT_AWAY)) {
            return Connections::End;
        }
        match self.drain.map(|since| now.minus(since)) {
            None => Connections::Kept,
            Some(passed) if passed < UNHEARD => Connections::Kept,
            Some(passed) if passed < CLOSE_UNUSED => Connections::EndAnswered,
            Some(passed) => Connections::EndUnused(Micros(2 * CLOSED.minus(passed).0)),
        }
    }

    /// A drain has been on for as long as clients take to be sent away.
    pub fn sent_away(&self, now: Micros) -> bool {
        self.drain.is_some_and(|since| now >= since.plus(CLOSED))
    }

    /// Calls may begin.
    pub fn may_call(&self, now: Micros) -> bool {
        !self.followed && self.stop.is_none_or(|since| now < since.plus(LAST_CALL))
    }

    /// The process may end; so many connections of clients are held still.
    pub fn finished(&self, now: Micros, held: usize) -> bool {
        let most = if held == 0 { SENT_AWAY } else { STOPPED };
        self.stop.is_some_and(|since| self.followed || now >= since.plus(most))
    }

    /// When something of the above changes by itself.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let steps = |since: Option<Micros>, steps: [Micros; 3]| {
            let steps = steps.into_iter().filter_map(move |step| Some(since?.plus(step)));
            steps.filter(|&at| at > now).min()
        };
        let drain = steps(self.drain, [UNHEARD, CLOSE_UNUSED, CLOSED]);
        let stop = steps(self.stop, [LAST_CALL, SENT_AWAY, STOPPED]);
        let start = if let Start::Doubtful(until) = self.start { Some(until) } else { None };
        drain.into_iter().chain(stop).chain(start).min()
    }
}
