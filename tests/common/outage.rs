//! Simulated forwarders, each with a dispatcher of its own, that share one destination with outages. The
//! destination counts the calls that arrive while it is in slow start. Without I/O and deterministic.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// How calls end during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// Answered with an error.
    Error,
    /// Answered with an error in this share of the calls; the others are served.
    MostlyErrors(f64),
    /// Rejected, with a retry-after in milliseconds where one is given.
    Rejected(Option<u64>),
    /// The connection is reset.
    Reset,
    /// No answer, ever.
    Silent,
    /// No answer before the outage is over; a call that still waits then is served.
    Held,
    /// The connection is refused at once.
    Refused,
    /// The connection never comes up.
    NoConnection,
    /// New connections are rejected with an answer.
    ConnectionLimit,
    /// The answer cannot be parsed.
    Malformed,
}

/// One outage of the destination.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from_ms: u64,
    pub length_ms: u64,
    /// Each call ends in one of these two ways, drawn at random.
    pub modes: (FailureMode, FailureMode),
    /// Messages submitted to each forwarder when the destination returns.
    pub burst: u32,
}

impl Outage {
    fn contains(&self, at: Micros) -> bool {
        ms(self.from_ms) <= at && at < self.returns_at()
    }

    fn returns_at(&self) -> Micros {
        ms(self.from_ms + self.length_ms)
    }
}

/// A change in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// All forwarders are replaced by successor processes that take over their state.
    Upgrade,
    /// One more endpoint is listed.
    EndpointAdded,
    /// The first endpoint is replaced by another one.
    EndpointReplaced,
    /// The settings are applied once more, with another number of attempts.
    Settings,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub forwarders: u32,
    pub endpoints: u64,
    /// Calls a second that the destination takes outside of a slow start.
    pub capacity_per_s: f64,
    /// Messages submitted, as a share of the capacity.
    pub load: f64,
    /// One more message is submitted to each forwarder at this time.
    pub submit_once_at_ms: Option<u64>,
    /// Answers report the limit.
    pub reports_limit: bool,
    pub latency_ms: u64,
    pub target_time_ms: u64,
    /// At another destination, connections that were idle for longer than this are dead.
    pub stale_after_ms: Option<u64>,
    pub outages: Vec<Outage>,
    pub changes: Vec<(u64, Change)>,
    pub length_ms: u64,
}

/// Time in which a connection that never comes up fails.
const CONNECT_TIMEOUT: Micros = Micros(1_500_000);
/// Network time from a forwarder to an endpoint.
const NETWORK_DELAY: Micros = Micros(1_000);
const TICK: Micros = Micros(10_000);
const OTHER: DestinationId = DestinationId(8);
const OTHER_ENDPOINT: u64 = 100;
/// Pause between two messages for the other destination, at each forwarder.
const OTHER_PAUSE_MS: u64 = 1_700;

/// A call that arrived at the destination in slow start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    /// Its forwarder had been told of a failed or rejected call during the outage before it sent this one.
    told: bool,
}

/// The end of an attempt that is due.
struct PendingEnd {
    id: u32,
    attempt: u32,
    endpoint: u64,
    sent_at: Micros,
    outcome: AttemptOutcome,
}

/// One forwarder of a run.
struct Forwarder {
    dispatcher: Dispatcher,
    wake_at: Option<Micros>,
    ends: BTreeMap<(Micros, u64), PendingEnd>,
    attempts: BTreeMap<u32, u32>,
    /// Since when the last connection to each endpoint has been idle; absent while there is none.
    idle_since: BTreeMap<u64, Micros>,
    in_flight: BTreeMap<u64, u32>,
    /// Outages of which it was told, by index.
    told: BTreeSet<usize>,
    submit_at: Micros,
    submit_other_at: Micros,
}

/// A run in progress.
pub struct Run {
    scenario: Scenario,
    settings: Settings,
    random: fastrand::Rng,
    forwarders: Vec<Forwarder>,
    listed: Vec<EndpointRecord>,
    now: Micros,
    next_id: u32,
    next_end: u64,
    /// Arrivals after each outage, by its index.
    arrivals: BTreeMap<usize, Vec<Arrival>>,
    pub delivered: u32,
    /// Log lines of the dispatchers, with the time and the forwarder.
    pub log: Vec<String>,
}

/// A window in which forwarders that had been told of the outage sent more than the budget.
#[derive(Clone, Debug)]
pub struct Excess {
    pub outage: usize,
    /// Start of the window, in milliseconds of the run.
    pub at_ms: f64,
    /// Start of the window, in milliseconds after the outage.
    pub from_ms: f64,
    pub calls: usize,
    pub allowed: f64,
}

impl Run {
    pub fn new(scenario: Scenario) -> Run {
        let mut settings = settings();
        settings.weights = Weights::Absent;
        settings.forwarders = scenario.forwarders;
        settings.slots = 400;
        settings.max_messages = 2_000;
        settings.overload_window = ms(2_000);
        for class in &mut settings.classes {
            class.target_time = ms(scenario.target_time_ms);
        }
        let listed: Vec<EndpointRecord> = (1..=scenario.endpoints)
            .map(|number| endpoint_record(number, HOME, 0.0))
            .chain([endpoint_record(OTHER_ENDPOINT, OTHER, 0.0)])
            .collect();
        let random = fastrand::Rng::with_seed(scenario.seed);
        let mut run = Run {
            settings,
            random,
            forwarders: Vec::new(),
            listed,
            now: ms(0),
            next_id: 0,
            next_end: 0,
            arrivals: BTreeMap::new(),
            delivered: 0,
            log: Vec::new(),
            scenario,
        };
        for _ in 0..run.scenario.forwarders {
            let dispatcher = Dispatcher::new(run.settings.clone(), run.random.u64(..));
            run.forwarders.push(Forwarder {
                dispatcher,
                wake_at: None,
                ends: BTreeMap::new(),
                attempts: BTreeMap::new(),
                idle_since: BTreeMap::new(),
                in_flight: BTreeMap::new(),
                told: BTreeSet::new(),
                submit_at: ms(run.random.u64(0..1_000)),
                submit_other_at: ms(run.random.u64(0..OTHER_PAUSE_MS)),
            });
        }
        for index in 0..run.forwarders.len() {
            let list = Event::EndpointRecords(ListScope::Cached, run.listed.clone());
            run.handle(index, vec![list]);
        }
        run
    }

    /// Plays the whole run.
    pub fn play(&mut self) {
        while self.now < ms(self.scenario.length_ms) {
            self.now = self.now.plus(TICK);
            self.apply_changes();
            for index in 0..self.forwarders.len() {
                let events = self.due_events(index);
                let wake = self.forwarders[index].wake_at.is_some_and(|at| at <= self.now);
                if !events.is_empty() || wake {
                    self.handle(index, events);
                }
            }
        }
    }

    fn apply_changes(&mut self) {
        let now = self.now;
        let due = |&(at, _): &(u64, Change)| now.minus(TICK) < ms(at) && ms(at) <= now;
        let changes: Vec<Change> =
            self.scenario.changes.iter().copied().filter(due).map(|(_, change)| change).collect();
        for change in changes {
            match change {
                Change::Upgrade => self.upgrade(),
                Change::EndpointAdded => self.list_endpoint(self.now.0, None),
                Change::EndpointReplaced => self.list_endpoint(self.now.0, Some(EndpointId(1))),
                Change::Settings => {
                    self.settings.max_attempts += 1;
                    for index in 0..self.forwarders.len() {
                        self.handle(index, vec![Event::Settings(Box::new(self.settings.clone()))]);
                    }
                }
            }
        }
    }

    fn upgrade(&mut self) {
        for index in 0..self.forwarders.len() {
            let mut bytes = Vec::new();
            ciborium::into_writer(&self.forwarders[index].dispatcher.snapshot(), &mut bytes).unwrap();
            let state: DispatcherState = ciborium::from_reader(&bytes[..]).unwrap();
            self.forwarders[index].dispatcher =
                Dispatcher::resume(self.settings.clone(), self.random.u64(..), state);
            self.handle(index, vec![Event::Wake]);
        }
    }

    fn list_endpoint(&mut self, number: u64, instead_of: Option<EndpointId>) {
        self.listed.retain(|record| Some(record.endpoint) != instead_of);
        self.listed.push(endpoint_record(1_000 + number, HOME, 0.0));
        for index in 0..self.forwarders.len() {
            self.handle(index, vec![Event::EndpointRecords(ListScope::Whole, self.listed.clone())]);
        }
    }

    /// Submissions and ends of attempts that are due at a forwarder.
    fn due_events(&mut self, index: usize) -> Vec<Event> {
        let mut events = Vec::new();
        let rate = self.scenario.load * self.scenario.capacity_per_s / f64::from(self.scenario.forwarders);
        while rate > 0.0 && self.forwarders[index].submit_at <= self.now {
            events.push(self.submission(HOME));
            let pause = -(1.0 - self.random.f64()).ln() / rate;
            let next = self.forwarders[index].submit_at.plus(micros(pause));
            self.forwarders[index].submit_at = next;
        }
        while self.forwarders[index].submit_other_at <= self.now {
            events.push(self.submission(OTHER));
            self.forwarders[index].submit_other_at =
                self.forwarders[index].submit_other_at.plus(ms(OTHER_PAUSE_MS));
        }
        let is_due = |at: Micros, now: Micros| now.minus(TICK) < at && at <= now;
        if self.scenario.submit_once_at_ms.is_some_and(|at| is_due(ms(at), self.now)) {
            events.push(self.submission(HOME));
        }
        for outage in self.scenario.outages.clone() {
            let returns_at = outage.returns_at();
            if is_due(returns_at, self.now) {
                events.extend((0..outage.burst).map(|_| self.submission(HOME)));
            }
        }
        while let Some(entry) = self.forwarders[index].ends.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let end = entry.remove();
            events.extend(self.end_attempt(index, end));
        }
        events
    }

    fn submission(&mut self, to: DestinationId) -> Event {
        self.next_id += 1;
        let class = [SAFE, KEYED, UNSAFE][self.random.usize(0..3)];
        message_event(self.next_id, to, ms(12_000), class, None)
    }

    fn end_attempt(&mut self, index: usize, end: PendingEnd) -> Vec<Event> {
        let mut events = Vec::new();
        let now = self.now;
        let forwarder = &mut self.forwarders[index];
        *forwarder.in_flight.entry(end.endpoint).or_default() -= 1;
        if matches!(end.outcome, AttemptOutcome::Delivered | AttemptOutcome::Error) {
            forwarder.idle_since.insert(end.endpoint, now);
        } else {
            forwarder.idle_since.remove(&end.endpoint);
        }
        let of_home = end.endpoint != OTHER_ENDPOINT;
        if end.outcome == AttemptOutcome::Delivered {
            self.delivered += u32::from(of_home);
        } else if of_home {
            let outages = self.scenario.outages.iter().enumerate();
            let told = outages.filter(|(_, outage)| outage.contains(end.sent_at) && outage.contains(now));
            forwarder.told.extend(told.map(|(number, _)| number));
        }
        let answered = !matches!(
            end.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset
        );
        if self.scenario.reports_limit
            && of_home
            && answered
            && end.outcome != AttemptOutcome::MalformedAnswer
        {
            let limit = self.scenario.capacity_per_s;
            let report = cedarwharf::report::Report::new(0.9, limit).unwrap();
            events.push(Event::Report(EndpointId(end.endpoint), report));
        }
        events.push(Event::AttemptEnded {
            id: MessageId(end.id),
            attempt: end.attempt,
            outcome: end.outcome,
            spent: now.minus(end.sent_at),
            closed: end.outcome == AttemptOutcome::Delivered,
        });
        events
    }

    fn handle(&mut self, index: usize, events: Vec<Event>) {
        let mut events = events;
        // Outcomes of cancelled attempts go back in the next turn, at the same time.
        loop {
            let mut actions = Vec::new();
            self.forwarders[index].wake_at = None;
            self.forwarders[index].dispatcher.handle(self.now, std::mem::take(&mut events), &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, endpoint, timeout, .. } => {
                        self.send(index, id.0, endpoint.0, timeout);
                    }
                    Action::Cancel { id, attempt } => events.extend(self.cancel(index, id.0, attempt)),
                    Action::CloseIdle(endpoint) => {
                        self.forwarders[index].idle_since.remove(&endpoint.0);
                    }
                    Action::WakeIn(delay) => {
                        let at = self.now.plus(delay);
                        let known = self.forwarders[index].wake_at.unwrap_or(at);
                        self.forwarders[index].wake_at = Some(known.min(at));
                    }
                    Action::Log(line) => {
                        self.log.push(format!("{:9.2} f{index} {line}", self.now.as_ms() / 1e3));
                    }
                    _ => {}
                }
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn cancel(&mut self, index: usize, id: u32, attempt: u32) -> Vec<Event> {
        let ends = &self.forwarders[index].ends;
        let is_it = |end: &PendingEnd| end.id == id && end.attempt == attempt;
        let Some(&key) = ends.iter().find(|(_, end)| is_it(end)).map(|(key, _)| key) else {
            return Vec::new();
        };
        let end = self.forwarders[index].ends.remove(&key).unwrap();
        self.end_attempt(index, PendingEnd { outcome: AttemptOutcome::Cancelled, ..end })
    }

    /// A call leaves: notes its arrival and draws how it ends.
    fn send(&mut self, index: usize, id: u32, endpoint: u64, timeout: Micros) {
        let sent_at = self.now;
        let forwarder = &mut self.forwarders[index];
        let attempt = forwarder.attempts.entry(id).or_default();
        let number = *attempt;
        *attempt += 1;
        let busy = forwarder.in_flight.entry(endpoint).or_default();
        let idle_since = if *busy == 0 { forwarder.idle_since.get(&endpoint).copied() } else { None };
        *busy += 1;
        let (delay, outcome) = if endpoint == OTHER_ENDPOINT {
            self.end_at_other(idle_since)
        } else {
            self.end_at_home(index, endpoint)
        };
        let (delay, outcome) =
            if delay >= timeout { (timeout, AttemptOutcome::TimedOut) } else { (delay, outcome) };
        self.next_end += 1;
        let end = PendingEnd { id, attempt: number, endpoint, sent_at, outcome };
        self.forwarders[index].ends.insert((sent_at.plus(delay.max(TICK)), self.next_end), end);
    }

    fn end_at_other(&mut self, idle_since: Option<Micros>) -> (Micros, AttemptOutcome) {
        let idle = idle_since.map_or(Micros(0), |since| self.now.minus(since));
        let is_stale = self.scenario.stale_after_ms.is_some_and(|after| idle >= ms(after));
        let outcome = if is_stale { AttemptOutcome::Reset } else { AttemptOutcome::Delivered };
        (ms(self.scenario.latency_ms), outcome)
    }

    fn end_at_home(&mut self, index: usize, _endpoint: u64) -> (Micros, AttemptOutcome) {
        use AttemptOutcome::*;
        let latency = ms(self.random.u64(self.scenario.latency_ms / 2..=self.scenario.latency_ms * 2));
        let arrived_at = self.now.plus(NETWORK_DELAY);
        let outage = self.scenario.outages.iter().find(|outage| outage.contains(arrived_at)).copied();
        let Some(outage) = outage else {
            let mut over = self.scenario.outages.iter().enumerate();
            if let Some((number, _)) = over.rfind(|(_, outage)| outage.returns_at() <= arrived_at) {
                let told = self.forwarders[index].told.contains(&number);
                self.arrivals.entry(number).or_default().push(Arrival { at: arrived_at, told });
            }
            return (latency, Delivered);
        };
        let mode = if self.random.bool() { outage.modes.0 } else { outage.modes.1 };
        match mode {
            FailureMode::Error => (latency, Error),
            FailureMode::MostlyErrors(share) if self.random.f64() < share => (latency, Error),
            FailureMode::MostlyErrors(_) => (latency, Delivered),
            FailureMode::Rejected(wait) => {
                (latency, Rejected { retry_after: wait.filter(|_| self.random.bool()).map(ms) })
            }
            FailureMode::Reset => (latency, Reset),
            FailureMode::Silent => (Micros(u64::MAX / 4), TimedOut),
            FailureMode::Held => (outage.returns_at().minus(self.now).plus(latency), Delivered),
            FailureMode::Refused => (ms(1), ConnectFailed),
            FailureMode::NoConnection => (CONNECT_TIMEOUT, ConnectFailed),
            FailureMode::ConnectionLimit => (ms(2), ConnectionLimitReached),
            FailureMode::Malformed => (latency, MalformedAnswer),
        }
    }

    /// Capacity of the destination a time after an outage, in calls a second.
    fn capacity_at(&self, since: Micros) -> f64 {
        let progress = (since.as_ms() / self.settings.recovery_time.as_ms()).min(1.0);
        let start = self.settings.recovery_start_share;
        self.scenario.capacity_per_s * (start + (1.0 - start) * progress)
    }

    /// The first window of the settings' length in which more calls arrived than the budget and its allowance
    /// permit, over two thirds of them from forwarders that had been told of the outage.
    pub fn excess(&self) -> Option<Excess> {
        let length = self.settings.overload_window;
        for (&outage, arrivals) in &self.arrivals {
            let returned_at = self.scenario.outages[outage].returns_at();
            let until = returned_at.plus(self.settings.recovery_time);
            for (first, start) in arrivals.iter().enumerate().filter(|(_, arrival)| arrival.at < until) {
                let end = start.at.plus(length).min(until);
                let window: Vec<&Arrival> =
                    arrivals[first..].iter().take_while(|arrival| arrival.at < end).collect();
                let since = start.at.minus(returned_at);
                let mean_capacity = (self.capacity_at(since) + self.capacity_at(since.plus(length))) / 2.0;
                let budget = self.settings.overload_multiple * mean_capacity * length.as_ms() / 1e3;
                let allowed = budget + allowance(budget);
                let told = window.iter().filter(|arrival| arrival.told).count();
                if window.len() as f64 > allowed && told * 3 > window.len() * 2 {
                    let from_ms = since.as_ms();
                    return Some(Excess {
                        outage,
                        at_ms: start.at.as_ms(),
                        from_ms,
                        calls: window.len(),
                        allowed,
                    });
                }
            }
        }
        None
    }
}

/// Calls that the standing test allows above a budget, as random variation.
fn allowance(budget: f64) -> f64 {
    if budget < 30.0 {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6) as u64)
}
