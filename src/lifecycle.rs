//! The stages of a process between its start and its end: starting, serving, draining, stopping, or
//! handed over to a successor. This state machine uses no sockets. It decides what `/ready`
//! answers, how client connections are closed, whether calls may begin, and when the process may
//! exit.

use crate::Micros;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// After the start of a drain, only `/ready` reports it for this time: the front has not noticed it
/// yet and still opens new connections.
const DRAIN_NOTICE_DELAY: Micros = Micros(400_000);
/// Time after the start of a drain from which idle connections are closed, those idle for longest
/// first.
const CLOSE_IDLE_AFTER: Micros = Micros(2_500_000);
/// Time after the start of a drain by which all idle connections are closed: half a second before
/// operators expect it.
const ALL_IDLE_CLOSED_AFTER: Micros = Micros(3_500_000);
/// After a stop, calls may begin for this time.
const NO_NEW_CALLS_AFTER: Micros = Micros(2_000_000);
/// Time after a stop at which all client connections end. Not earlier: a client that finds no
/// forwarder may not come back. Clients that wait to connect are accepted until then, requests that
/// have been read are answered, and each connection ends only once its client has received all that
/// was written to it.
const CLOSE_ALL_AFTER: Micros = Micros(3_400_000);
/// Time after a stop by which the process exits, as SIGKILL is near. Calls in progress are left to
/// the next process.
const EXIT_AFTER: Micros = Micros(3_600_000);

/// What happens to client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// They stay open.
    KeepOpen,
    /// Each closes after its next response.
    CloseAfterResponse,
    /// In addition, those that have been idle for this time close.
    CloseIdle(Micros),
    /// All close, and no new connections are accepted.
    CloseAll,
}

/// What a start waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Start {
    /// No endpoint list is known: no message could be sent.
    NoList,
    /// A cached endpoint list is known, but discovery has not confirmed it lately. The process serves
    /// once it is confirmed, or after this time.
    #[serde(rename = "Doubtful")]
    Unconfirmed(Micros),
    /// Nothing: the process can serve.
    #[default]
    #[serde(rename = "Over")]
    Complete,
}

/// Stage of the process, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for an endpoint list.
    Starting,
    /// It accepts clients.
    Serving,
    /// Client connections are closed step by step; the process keeps running.
    Draining,
    /// It exits soon.
    Stopping,
    /// A successor has taken over all messages and connections.
    HandedOver,
}

impl Stage {
    /// The stage's name in answers and figures.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Starting => "starting",
            Stage::Serving => "serving",
            Stage::Draining => "draining",
            Stage::Stopping => "stopping",
            Stage::HandedOver => "followed",
        }
    }
}

/// A drain can neither be started nor ended: the process is stopping, or a successor has taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CannotChangeDrain(pub Stage);

/// State of the process. Drain and stop are independent: either may begin during the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lifecycle {
    /// Absent in the handover from earlier versions.
    #[serde(default)]
    start: Start,
    drain: Option<Micros>,
    /// Operators have asked for the drain: maintenance does not end it. Absent in the handover from earlier
    /// versions.
    #[serde(default)]
    drain_held_by_operators: bool,
    stop: Option<Micros>,
    #[serde(rename = "followed")]
    handed_over: bool,
}

impl Lifecycle {
    /// State at the start of a process. `known`: an endpoint list is known. `confirm_within`: the list has not
    /// been confirmed lately; the process waits for a confirmation for at most this time.
    pub fn begin(now: Micros, known: bool, confirm_within: Option<Micros>) -> Lifecycle {
        let start = match (known, confirm_within) {
            (false, _) => Start::NoList,
            (true, Some(longest)) => Start::Unconfirmed(now.plus(longest)),
            (true, None) => Start::Complete,
        };
        Lifecycle { start, ..Lifecycle::default() }
    }

    /// An endpoint list has arrived, or the cached one was confirmed: the start is over.
    pub fn list_received(&mut self) {
        self.start = Start::Complete;
    }

    /// A cached list was confirmed: the process serves. Has no effect if there is no list.
    pub fn list_confirmed(&mut self) {
        if matches!(self.start, Start::Unconfirmed(_)) {
            self.start = Start::Complete;
        }
    }

    /// Advances time: the process serves from an unconfirmed list once it has waited long enough.
    pub fn tick(&mut self, now: Micros) {
        if matches!(self.start, Start::Unconfirmed(until) if now >= until) {
            self.start = Start::Complete;
        }
    }

    /// Whether the start is over, so that the process can serve; a drain or stop may still keep clients
    /// away.
    pub fn can_serve(&self) -> bool {
        self.start == Start::Complete
    }

    /// Begins a drain for operators, which lasts until they end it. Returns whether it is new: the steps of one
    /// that is on already go on unchanged.
    pub fn start_drain(&mut self, now: Micros) -> Result<bool, CannotChangeDrain> {
        self.check_drain_can_change()?;
        let is_new = self.drain.is_none();
        self.drain.get_or_insert(now);
        self.drain_held_by_operators = true;
        Ok(is_new)
    }

    /// Ends the drain, also one of maintenance. Returns whether there was one.
    pub fn stop_drain(&mut self) -> Result<bool, CannotChangeDrain> {
        self.check_drain_can_change()?;
        self.drain_held_by_operators = false;
        Ok(self.drain.take().is_some())
    }

    /// Begins a drain for maintenance. A process that is ending drains its clients anyway.
    pub fn start_maintenance_drain(&mut self, now: Micros) {
        if !self.is_ending() {
            self.drain.get_or_insert(now);
        }
    }

    /// Ends the drain of maintenance, unless operators want one.
    pub fn stop_maintenance_drain(&mut self) {
        if !self.is_ending() && !self.drain_held_by_operators {
            self.drain = None;
        }
    }

    /// A process that ends or has ended for its clients carries out no change of its drain.
    fn check_drain_can_change(&self) -> Result<(), CannotChangeDrain> {
        match self.stage() {
            stage @ (Stage::Stopping | Stage::HandedOver) => Err(CannotChangeDrain(stage)),
            Stage::Starting | Stage::Serving | Stage::Draining => Ok(()),
        }
    }

    /// Begins to stop the process. A repeated call changes nothing.
    pub fn stop(&mut self, now: Micros) {
        self.stop.get_or_insert(now);
    }

    /// A successor has taken over all messages: nothing may be done for them here any more.
    pub fn mark_handed_over(&mut self) {
        self.handed_over = true;
    }

    /// Whether an endpoint list is known, also if the process does not serve yet.
    pub fn has_list(&self) -> bool {
        self.start != Start::NoList
    }

    /// State for the successor, which knows an endpoint list or not. A start and a drain go on there; a
    /// stop applies to this process only.
    pub fn for_successor(self, known: bool) -> Lifecycle {
        let start = match (known, self.start) {
            (false, _) => Start::NoList,
            (true, Start::NoList) => Start::Complete,
            (true, start) => start,
        };
        let Lifecycle { drain, drain_held_by_operators, .. } = self;
        Lifecycle { start, drain, drain_held_by_operators, ..Lifecycle::default() }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        match self {
            Lifecycle { handed_over: true, .. } => Stage::HandedOver,
            Lifecycle { stop: Some(_), .. } => Stage::Stopping,
            Lifecycle { drain: Some(_), .. } => Stage::Draining,
            Lifecycle { start: Start::NoList | Start::Unconfirmed(_), .. } => Stage::Starting,
            _ => Stage::Serving,
        }
    }

    /// Whether the process accepts clients: `/ready` may answer yes.
    pub fn accepts_clients(&self) -> bool {
        self.can_serve() && self.stage() == Stage::Serving
    }

    /// Whether the process is stopping or has been handed over.
    pub fn is_ending(&self) -> bool {
        matches!(self.stage(), Stage::Stopping | Stage::HandedOver)
    }

    /// What happens to client connections now. A stop closes them only at its end: the next process
    /// continues with the messages accepted until then.
    pub fn connections(&self, now: Micros) -> Connections {
        if self.stop.is_some_and(|since| now >= since.plus(CLOSE_ALL_AFTER)) {
            return Connections::CloseAll;
        }
        match self.drain.map(|since| now.minus(since)) {
            None => Connections::KeepOpen,
            Some(passed) if passed < DRAIN_NOTICE_DELAY => Connections::KeepOpen,
            Some(passed) if passed < CLOSE_IDLE_AFTER => Connections::CloseAfterResponse,
            Some(passed) => Connections::CloseIdle(Micros(2 * ALL_IDLE_CLOSED_AFTER.minus(passed).0)),
        }
    }

    /// Whether a drain has lasted long enough for all idle connections to be closed.
    pub fn drain_complete(&self, now: Micros) -> bool {
        self.drain.is_some_and(|since| now >= since.plus(ALL_IDLE_CLOSED_AFTER))
    }

    /// Whether calls may begin.
    pub fn may_call(&self, now: Micros) -> bool {
        !self.handed_over && self.stop.is_none_or(|since| now < since.plus(NO_NEW_CALLS_AFTER))
    }

    /// Whether the process may exit while `open_connections` client connections are open.
    pub fn may_exit(&self, now: Micros, open_connections: usize) -> bool {
        let most = if open_connections == 0 { CLOSE_ALL_AFTER } else { EXIT_AFTER };
        self.stop.is_some_and(|since| self.handed_over || now >= since.plus(most))
    }

    /// Time of the next change that happens by itself.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let steps = |since: Option<Micros>, steps: [Micros; 3]| {
            let steps = steps.into_iter().filter_map(move |step| Some(since?.plus(step)));
            steps.filter(|&at| at > now).min()
        };
        let drain = steps(self.drain, [DRAIN_NOTICE_DELAY, CLOSE_IDLE_AFTER, ALL_IDLE_CLOSED_AFTER]);
        let stop = steps(self.stop, [NO_NEW_CALLS_AFTER, CLOSE_ALL_AFTER, EXIT_AFTER]);
        let start = if let Start::Unconfirmed(until) = self.start { Some(until) } else { None };
        drain.into_iter().chain(stop).chain(start).min()
    }
}
