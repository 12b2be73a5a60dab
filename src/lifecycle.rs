//! Where a process stands between its start and its end: starting, serving, draining, stopping, or followed by another that
//! it has handed everything to. One machine without sockets says for all of them what `/ready` answers, how clients are sent
//! away, whether calls may begin, and when the process is done.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// For so long after a drain began nothing but `/ready` tells of it: the front has not heard yet, and goes on sending
/// new connections.
const UNHEARD: Micros = Micros(400_000);
/// From then on, connections that are not used are closed, first those unused for longest...
const CLOSE_UNUSED: Micros = Micros(2_500_000);
/// ...and by then all are: half a second before staff expect it.
const CLOSED: Micros = Micros(3_500_000);
/// Once told to stop, calls may begin for so long...
const LAST_CALL: Micros = Micros(2_000_000);
/// ...and after so long those still out are left to the next process: SIGKILL is near.
const STOPPED: Micros = Micros(3_500_000);

/// What becomes of the connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// They stay.
    Kept,
    /// Each ends behind its next answer.
    EndAnswered,
    /// Those unused for so long end, too.
    EndUnused(Micros),
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

    /// What becomes of the connections of clients. Only a drain sends clients away: one who finds nobody when a process
    /// stops may not come again, and what is taken on to the end the next process goes on with.
    pub fn connections(&self, now: Micros) -> Connections {
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

    /// The process may end.
    pub fn finished(&self, now: Micros) -> bool {
        self.stop.is_some_and(|since| self.followed || now >= since.plus(STOPPED))
    }

    /// When something of the above changes by itself.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let steps = |since: Option<Micros>, steps: [Micros; 3]| {
            let steps = steps.into_iter().filter_map(move |step| Some(since?.plus(step)));
            steps.filter(|&at| at > now).min()
        };
        let drain = steps(self.drain, [UNHEARD, CLOSE_UNUSED, CLOSED]);
        let stop = steps(self.stop, [LAST_CALL, STOPPED, STOPPED]);
        let start = if let Start::Doubtful(until) = self.start { Some(until) } else { None };
        drain.into_iter().chain(stop).chain(start).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AT: Micros = Micros(1_000_000_000);

    fn after(ms: u64) -> Micros {
        AT.plus(Micros(ms * 1000))
    }

    #[test]
    fn a_start_serves_once_it_has_a_list_that_is_confirmed_or_has_waited_for_that() {
        let mut life = Lifecycle::begin(AT, false, None);
        assert_eq!((life.stage(), life.takes_clients(), life.due(AT)), (Stage::Starting, false, None));
        life.confirmed();
        life.tick(after(90_000));
        assert!(!life.can_serve(), "nothing was there to be confirmed");
        life.listed();
        assert!(life.takes_clients());
        let doubtful = || Lifecycle::begin(AT, true, Some(Micros(2_000_000)));
        let (mut waits, mut told) = (doubtful(), doubtful());
        told.confirmed();
        assert!(told.takes_clients() && !waits.takes_clients());
        assert_eq!(waits.due(AT), Some(after(2_000)));
        waits.tick(after(1_999));
        assert!(!waits.can_serve());
        waits.tick(after(2_000));
        assert!(waits.takes_clients());
        assert!(Lifecycle::begin(AT, true, None).takes_clients());
        // A drain and a stop go before a start, which goes on beside them, also in the process that follows.
        let mut life = doubtful();
        life.start_drain(AT);
        assert_eq!((life.stage(), life.inherited(true).can_serve()), (Stage::Draining, false));
        assert_eq!((life.stop_drain(), life.stage()), (Ok(true), Stage::Starting));
        assert!(Lifecycle::begin(AT, false, None).inherited(true).can_serve(), "it knows a list");
        assert!(!Lifecycle::default().inherited(false).can_serve(), "it knows none");
        life.stop(AT);
        assert_eq!((life.stage(), life.inherited(true).stage()), (Stage::Stopping, Stage::Starting));
    }

    #[test]
    fn a_drain_sends_clients_away_step_by_step_and_the_process_runs_on() {
        let mut life = Lifecycle::default();
        assert!(life.takes_clients() && life.connections(AT) == Connections::Kept);
        assert!(life.start_drain(AT));
        assert_eq!((life.takes_clients(), life.stage()), (false, Stage::Draining));
        assert_eq!(life.connections(after(300)), Connections::Kept, "the front still sends new ones");
        assert_eq!(life.connections(after(400)), Connections::EndAnswered);
        assert!(!life.start_drain(after(2_000)), "told again, the steps go on");
        assert_eq!(life.connections(after(2_500)), Connections::EndUnused(Micros(2_000_000)));
        assert_eq!(life.connections(after(3_500)), Connections::EndUnused(Micros(0)));
        assert!(life.may_call(after(600_000)) && !life.finished(after(600_000)));
        assert_eq!((life.stop_drain(), life.stop_drain()), (Ok(true), Ok(false)));
        assert!(life.takes_clients() && life.connections(after(3_500)) == Connections::Kept);
        // The next drain has its own steps.
        assert!(life.start_drain(after(9_000)));
        assert_eq!(life.connections(after(9_100)), Connections::Kept);
    }

    #[test]
    fn a_stop_goes_before_a_drain_and_there_is_no_way_back() {
        let mut life = Lifecycle::default();
        life.start_drain(AT);
        life.stop(after(1_000));
        life.stop(after(9_000));
        assert_eq!(life.stage(), Stage::Stopping);
        assert_eq!(life.stop_drain(), Err(NoWayBack(Stage::Stopping)));
        assert_eq!(life.connections(after(3_500)), Connections::EndUnused(Micros(0)), "the drain goes on");
        assert!(life.may_call(after(2_999)) && !life.may_call(after(3_000)));
        assert!(!life.finished(after(4_499)) && life.finished(after(4_500)));
        // The other way round.
        let mut life = Lifecycle::default();
        life.stop(AT);
        assert!(life.start_drain(after(100)) && !life.takes_clients());
        assert_eq!(life.connections(after(600)), Connections::EndAnswered);
    }

    #[test]
    fn whoever_was_followed_calls_nobody_and_ends_when_told_to() {
        let mut life = Lifecycle::default();
        life.follow();
        assert!(!life.takes_clients() && !life.may_call(AT) && !life.finished(after(60_000)));
        assert_eq!(life.stop_drain(), Err(NoWayBack(Stage::Followed)));
        life.stop(AT);
        assert_eq!((life.stage(), life.finished(AT)), (Stage::Followed, true));
    }

    #[test]
    fn it_is_looked_at_again_when_something_changes() {
        let mut life = Lifecycle::default();
        assert_eq!(life.due(AT), None);
        life.start_drain(AT);
        life.stop(after(1_000));
        let (mut now, mut seen) = (AT, Vec::new());
        while let Some(at) = life.due(now) {
            (now, _) = (at, seen.push(at.minus(AT).0 / 1000));
        }
        assert_eq!(seen, [400, 2_500, 3_000, 3_500, 4_500]);
    }
}
