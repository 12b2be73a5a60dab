//! The engine: messages, attempts and final outcomes. In each loop iteration it passes all inputs to the
//! dispatcher at once, writes the journal, and returns what the network layer has to do. It knows no
//! protocol: fronts hand in submissions and get replies and final outcomes, and calls are addressed to
//! endpoints.

mod admission;
mod calls;
pub mod figures;
pub mod handover;
mod io;
mod memory;
mod records;
mod restart;
mod space;

use crate::config::model::Core;
use crate::directory::{Directory, NumberedName};
use crate::journal::{
    stored_size, AcceptedMessage, FinalOutcome, IdScope, Journal, Record, RecoveredJournal,
};
use crate::startup::replay::Replay;
use crate::tenancy::intake::{AdmissionControl, AdmissionError};
use crate::tenancy::share::{Bounds, ShareError};
use crate::{
    Action, DestinationId, Dispatcher, EndpointId, EndpointRecord, Event, InitialSendRate, Lifecycle,
    ListScope, Submission,
};
use crate::{AttemptHistory, AttemptOutcome, MessageId, Micros, Settings};
use figures::ClassCounts;
pub use io::{Counts, Input, Item, MessageSubmission, MessageView, Output, Reply};
use memory::{EndedMessage, OutcomeMemory, ScopedId};
use records::{named_record, names_to_keep, needs_report, snapshot};
pub use restart::Resume;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::rc::Rc;

/// Retry-after of a submission that is rejected without asking the dispatcher.
const DEFAULT_RETRY_AFTER: Micros = Micros(500_000);

/// A delivery this close to the message's deadline is reported as [`FinalOutcome::Undeliverable`]. The
/// client's time starts when it sends the message, and this process reads the message a little later: a
/// delivery that is in time here may be too late for the client, which is owed a final outcome all the same.
/// That outcome promises nothing about the effect, so it does no harm where the delivery was in time. The
/// margin is at most a tenth of the class's deadline.
const DEADLINE_MARGIN: Micros = Micros(50_000);

/// Identifies a submission for the front that made it.
pub type Token = u64;
/// Who gets the reply to a submission: the front and its token.
type Submitter = (u8, Token);
/// Identifies a call to an endpoint.
pub type CallId = u64;

/// The scope of a message id as a number: the tenant's number, or a number above those of all tenants for
/// each front.
pub fn id_scope_number(id_scope: IdScope, tenant: u32, front: u8) -> u32 {
    match id_scope {
        IdScope::Tenant => tenant,
        IdScope::Front => FRONT_SCOPES | u32::from(front),
    }
}

/// Scopes of fronts start above all tenant numbers.
const FRONT_SCOPES: u32 = 1 << 31;
/// Start of the scopes of fronts in the first format of the journal.
const FORMAT_1_FRONT_SCOPES: u32 = 1 << 16;

/// A message that is open, or whose final outcome is still to be reported.
struct HeldMessage {
    accepted: AcceptedMessage,
    /// Index of its class, if the class is still known.
    class: Option<usize>,
    tenant: usize,
    attempts: u32,
    /// When and where the first attempt that may have run was sent.
    may_have_run: Option<(Micros, EndpointId)>,
    /// The call that carries its current attempt.
    call: Option<CallId>,
    outcome: Option<(FinalOutcome, Micros)>,
}

/// An attempt that the dispatcher ordered.
struct Attempt {
    endpoint: EndpointId,
    id: MessageId,
    timeout: Micros,
    leaves_by: Micros,
}

struct Call {
    endpoint: EndpointId,
    written: bool,
    sent_at: Micros,
    /// A call that is not written by this time is cancelled.
    leaves_by: Micros,
    /// The message, the attempt's number and its time-out, for each item; `None` once the attempt has ended.
    items: Vec<Option<(MessageId, u32, Micros)>>,
}

/// Holds all messages and calls. See the [module documentation](self).
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    directory: Rc<Directory>,
    held_bytes: u64,
    /// Limits of what each tenant may submit and hold.
    admission: AdmissionControl,
    journal: Journal,
    /// Names that are not declared in the journal yet.
    undeclared_names: Vec<Record>,
    /// Number of messages without a final outcome.
    open_count: usize,
    messages: BTreeMap<MessageId, HeldMessage>,
    /// The messages above by client id.
    ids: HashMap<ScopedId, MessageId>,
    memory: OutcomeMemory,
    next_message: u32,
    calls: BTreeMap<CallId, Call>,
    /// Calls whose last byte is not written yet, by the time by which it must be. Their connections are being
    /// opened.
    unwritten: BTreeSet<(Micros, CallId)>,
    next_call: CallId,
    /// The time-out of each item of a call: the time, the call and the item's index.
    call_timeouts: BTreeSet<(Micros, CallId, usize)>,
    destinations: BTreeSet<DestinationId>,
    /// Kind of destination of each endpoint, which bounds the size of its calls.
    kinds: BTreeMap<EndpointId, usize>,
    /// Events for the dispatcher, records for the journal and outputs of the current iteration.
    events: Vec<Event>,
    records: Vec<Record>,
    outputs: Vec<Output>,
    /// Submissions of this iteration that the dispatcher has not rejected, with all who submitted them.
    new_submissions: BTreeMap<MessageId, Vec<Submitter>>,
    /// Approximate size of the messages in the journal, without names and remembered outcomes.
    live_bytes: u64,
    wake_at: Option<Micros>,
    /// Recovered messages that are not passed to the dispatcher yet; `None` if all were passed at once.
    replay: Option<Replay>,
    /// No further call may start: the dispatcher is no longer asked.
    calls_stopped: bool,
    /// Numbers of the paused tenants.
    paused: BTreeSet<u32>,
    /// Counts by tenant index.
    counts: Vec<Counts>,
    /// Counts by class index.
    class_counts: Vec<ClassCounts>,
    /// Counts over all tenants.
    totals: Counts,
    now: Micros,
}

impl Engine {
    /// Builds an engine from the journal in `folder` and writes nothing. Names in `directory` keep their
    /// indices.
    fn from_journal(
        core: &Core,
        seed: u64,
        (folder, disk): (&Path, u64),
        now: Micros,
        cached: Vec<EndpointRecord>,
        mut directory: Directory,
    ) -> Engine {
        let RecoveredJournal { journal, records, by_index } = Journal::open(folder, disk);
        if by_index {
            // The first format declares no names: its numbers are indices in the configuration's present
            // lists.
            directory.configure(core, None);
        }
        let names_kept = names_to_keep(&records, core, now);
        for record in &records {
            if let Record::Named { tenant, number, name } = record {
                if !names_kept.contains(&(*tenant, *number)) {
                    continue;
                }
                let name = String::from_utf8_lossy(name).into_owned();
                let table = if *tenant { &mut directory.tenants } else { &mut directory.classes };
                table.declare(NumberedName { number: *number, name });
            }
        }
        let (settings, ..) = directory.configure(core, None);
        let tenant_count = directory.tenants.len();
        let memory = OutcomeMemory::new(space::outcome_bound(&journal));
        let mut engine = Engine {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            memory,
            settings,
            directory: Rc::new(directory),
            held_bytes: core.held_bytes.unwrap_or(u64::MAX).min(core.held_memory),
            admission: AdmissionControl::default(),
            journal,
            undeclared_names: Vec::new(),
            open_count: 0,
            messages: BTreeMap::new(),
            ids: HashMap::new(),
            next_message: 0,
            calls: BTreeMap::new(),
            unwritten: BTreeSet::new(),
            next_call: 0,
            call_timeouts: BTreeSet::new(),
            destinations: BTreeSet::new(),
            kinds: BTreeMap::new(),
            events: Vec::new(),
            records: Vec::new(),
            outputs: Vec::new(),
            new_submissions: BTreeMap::new(),
            live_bytes: 0,
            wake_at: None,
            replay: None,
            calls_stopped: false,
            paused: BTreeSet::new(),
            counts: vec![Counts::default(); tenant_count],
            class_counts: Vec::new(),
            totals: Counts::default(),
            now,
        };
        engine.configure_admission();
        engine.update_endpoint_records(ListScope::Cached, cached);
        for record in records {
            engine.apply_record(record, by_index);
        }
        engine
    }

    /// Applies other settings from the next iteration on. Messages that are held stay, even if the new limits
    /// are lower. A message keeps the settings of its class and tenant after their names are removed. Cost:
    /// O(names).
    pub fn configure(&mut self, core: &Core) {
        let directory = Rc::make_mut(&mut self.directory);
        let (settings, classes, tenants) = directory.configure(core, Some(&self.settings));
        let declaration = |tenant, named: NumberedName| named_record(tenant, &named);
        self.undeclared_names.extend(classes.into_iter().map(|named| declaration(false, named)));
        self.undeclared_names.extend(tenants.into_iter().map(|named| declaration(true, named)));
        self.counts.resize(self.directory.tenants.len(), Counts::default());
        self.held_bytes = core.held_bytes.unwrap_or(u64::MAX).min(core.held_memory);
        self.settings = settings.clone();
        self.configure_admission();
        self.events.push(Event::Settings(Box::new(settings)));
    }

    /// Sets the observed number of forwarders that share the endpoints (see `docs/membership.md`). With
    /// `None` the number in the settings applies.
    pub fn set_forwarder_count(&mut self, forwarders: Option<f64>) {
        self.dispatcher.set_forwarder_count(forwarders);
    }

    /// Sets the initial send rate at each destination while this process starts among others.
    pub fn set_initial_rate(&mut self, rate: Option<InitialSendRate>) {
        self.dispatcher.set_initial_rate(rate);
    }

    /// Whether these settings are in force; for assertions. Cost: O(names).
    pub fn has_settings(&self, core: &Core) -> bool {
        let names = self.directory.clone();
        let class = |(name, class): (&String, &crate::ClassSettings)| {
            names
                .classes
                .active_index(name)
                .is_some_and(|index| self.settings.classes.get(index) == Some(class))
        };
        let tenant = |(name, quota): (&String, &f64)| {
            names
                .tenants
                .active_index(name)
                .is_some_and(|index| self.settings.tenants.get(index) == Some(quota))
        };
        let shares = |(index, name): (usize, &String)| {
            let limits = core.settings.isolation.get(index).copied().unwrap_or_default();
            names
                .tenants
                .active_index(name)
                .is_some_and(|index| self.settings.isolation.get(index) == Some(&limits))
        };
        let (classes, tenants) = (self.settings.classes.clone(), self.settings.tenants.clone());
        let isolation = self.settings.isolation.clone();
        core.classes.iter().zip(&core.settings.classes).all(class)
            && core.tenants.iter().zip(&core.settings.tenants).all(tenant)
            && core.tenants.iter().enumerate().all(shares)
            && names.classes.active().count() == core.classes.len()
            && names.tenants.active().count() == core.tenants.len().max(1)
            && self.settings == Settings { classes, tenants, isolation, ..core.settings.clone() }
    }

    /// The names of classes and tenants with their indices and numbers.
    pub fn directory(&self) -> &Rc<Directory> {
        &self.directory
    }

    /// Whether the journal has all that the last iteration changed: its write has not failed.
    pub fn is_recorded(&self) -> bool {
        self.journal.is_current()
    }

    /// Counts over all tenants. Cost: O(1), as they are kept up to date.
    pub fn totals(&self) -> Counts {
        self.totals
    }

    /// Repeats the reports of final outcomes that a front has not confirmed, after the front was switched on
    /// again. Cost: O(messages held).
    pub fn repeat_reports(&mut self, front: u8) {
        let messages = self.messages.values().filter(|message| message.accepted.front == front);
        let reports = messages.filter_map(|message| Some(outcome_report(message, message.outcome?.0)));
        self.outputs.extend(reports);
    }

    /// Runs one loop iteration: handles all inputs, asks the dispatcher once, writes the journal once, and
    /// returns what the network layer has to do.
    pub fn step(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = self.now.max(now);
        let inputs: Vec<Input> = inputs.into_iter().collect();
        // Written calls come first: a call that was written may have run, whatever the other inputs are.
        let written =
            inputs
                .iter()
                .filter_map(|input| if let Input::Written(call) = input { Some(*call) } else { None });
        written.for_each(|call| self.call_written(call));
        for input in inputs {
            self.handle_input(input);
        }
        self.expire_attempts();
        if self.wake_at.is_some_and(|at| at <= self.now) {
            self.wake_at = None;
            self.events.push(Event::Wake);
        }
        self.release_replayed();
        let (mut sends, mut actions) = (Vec::new(), Vec::new());
        if self.calls_stopped {
            self.events.clear();
        }
        if !self.events.is_empty() {
            self.dispatcher.handle(self.now, self.events.drain(..), &mut actions);
        }
        for action in actions {
            self.execute(action, &mut sends);
        }
        let calls = self.group_into_calls(sends);
        self.commit(calls);
        std::mem::take(&mut self.outputs)
    }

    /// When the next iteration is due if no input comes before.
    pub fn next_due(&self) -> Option<Micros> {
        let timeout = self.call_timeouts.first().map(|&(until, ..)| until);
        let leaves_by = self.unwritten.first().map(|&(by, _)| by);
        let events_due = (!self.events.is_empty()).then_some(self.now);
        let replay = self.replay.as_ref().and_then(Replay::due);
        [events_due, timeout, leaves_by, self.wake_at, replay].into_iter().flatten().min()
    }

    /// The counts of a tenant, and whether it is paused.
    pub fn tenant_status(&self, index: usize) -> (Counts, bool) {
        let paused = self.paused.contains(&self.directory.tenants.number(index));
        (self.counts.get(index).copied().unwrap_or_default(), paused)
    }

    /// A tenant's use and bounds of the shared resources: call slots, messages held and their bytes. Cost:
    /// O(1).
    pub fn tenant_shares(&self, index: usize) -> [(&'static str, u64, Bounds); 3] {
        let (held, bytes) = self.admission.shares();
        [("slots", self.dispatcher.slots()), ("held_messages", held), ("held_bytes", bytes)]
            .map(|(name, shares)| (name, shares.used(index), shares.bounds(index)))
    }

    /// Counts of the messages of a class.
    pub fn class_counts(&self, class: usize) -> ClassCounts {
        self.class_counts.get(class).copied().unwrap_or_default()
    }

    /// Number of messages without a final outcome.
    pub fn outstanding(&self) -> usize {
        self.open_count
    }

    /// Number of listed endpoints with an open circuit. Cost: O(endpoints).
    pub fn open_circuits(&self) -> usize {
        self.dispatcher.open_circuits()
    }

    /// Messages that are open, or whose final outcome is still to be reported.
    pub fn messages(&self) -> impl Iterator<Item = MessageView> + '_ {
        self.messages.values().map(|message| MessageView {
            tenant: message.tenant,
            id: message.accepted.id.clone(),
            class: message.class.unwrap_or(usize::MAX),
            destination: message.accepted.destination,
            attempts: message.attempts,
            in_flight: message.call.is_some(),
            outcome: message.outcome.map(|(outcome, _)| outcome),
            time_left: message.accepted.deadline.minus(self.now),
        })
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submission(submission) => self.submit(submission),
            Input::EndpointRecords(scope, records) => self.update_endpoint_records(scope, records),
            Input::Written(_) => {}
            Input::Answered { call, results, wait } => {
                let endpoint = self.calls.get(&call).map(|call| call.endpoint);
                self.remove_unwritten(call);
                if let (Some(endpoint), Some(wait)) = (endpoint, wait) {
                    self.retry_after(endpoint, wait);
                }
                for (index, outcome, closed) in results {
                    self.end_attempt(call, index, outcome, closed);
                }
            }
            Input::Report(endpoint, report) => self.events.push(Event::Report(endpoint, report)),
            Input::RetryAfter(endpoint, wait) => self.retry_after(endpoint, wait),
            Input::ConnectionFailed(call) => self.end_call(call, AttemptOutcome::Reset),
            Input::MalformedAnswer(call) => self.end_call(call, AttemptOutcome::MalformedAnswer),
            Input::HoldBack(endpoint, wait) => self.events.push(Event::RetryAfter(endpoint, wait)),
            Input::OutcomeReported(message) => {
                if self.messages.get(&message).is_some_and(|message| message.outcome.is_some()) {
                    self.records.push(Record::Reported(message));
                    self.drop_message(message);
                }
            }
            Input::Pause(tenant, paused) => {
                let tenant = self.directory.tenants.number(tenant);
                self.apply_record(Record::Paused { tenant, paused }, false);
                self.records.push(Record::Paused { tenant, paused });
            }
            Input::StopCalls => self.calls_stopped = true,
        }
    }

    fn update_endpoint_records(&mut self, scope: ListScope, endpoint_records: Vec<EndpointRecord>) {
        // Destinations stay, so that messages are accepted for one that has no endpoints for a while.
        // Endpoints do not.
        if matches!(scope, ListScope::Whole | ListScope::Cached) {
            self.kinds.clear();
        }
        for record in &endpoint_records {
            self.destinations.insert(record.destination);
            self.kinds.insert(record.endpoint, record.kind);
            if record.lifecycle == Lifecycle::Gone {
                self.kinds.remove(&record.endpoint);
            }
        }
        // A call whose connection is still being opened would reach a leaving endpoint late, and one that is
        // gone perhaps never. Such calls get half of the drain grace; the other half is left for this
        // process's own delays.
        let by = self.now.plus(Micros(self.settings.drain_grace.0 / 2));
        let stays = |endpoint| match endpoint_records.iter().find(|record| record.endpoint == endpoint) {
            Some(record) => record.lifecycle == Lifecycle::Ready,
            None => !matches!(scope, ListScope::Whole | ListScope::Cached),
        };
        let leaving = self.unwritten.iter().filter(|(at, id)| *at > by && !stays(self.calls[id].endpoint));
        for (at, id) in leaving.copied().collect::<Vec<_>>() {
            self.unwritten.remove(&(at, id));
            self.unwritten.insert((by, id));
            self.calls.entry(id).and_modify(|call| call.leaves_by = by);
        }
        self.events.push(Event::EndpointRecords(scope, endpoint_records));
    }

    /// Updates the counts of a class. Messages without a known class are not counted.
    fn count(&mut self, class: Option<usize>, update: impl FnOnce(&mut ClassCounts)) {
        let Some(class) = class else { return };
        if self.class_counts.len() <= class {
            self.class_counts.resize(class + 1, ClassCounts::default());
        }
        update(&mut self.class_counts[class]);
    }

    /// Ends a message: the final outcome goes into the journal, and to the front in this iteration.
    fn end_message(&mut self, number: MessageId, outcome: FinalOutcome) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        // An attempt ends before its message does: so it is known whether the message may have run.
        debug_assert!(message.call.is_none());
        if message.outcome.is_none() {
            self.open_count -= 1;
            self.counts[message.tenant].open -= 1;
            self.admission.remove_message(message.tenant);
        }
        message.outcome = Some((outcome, self.now));
        tracing::debug!(
            number = number.0,
            request_id = ?String::from_utf8_lossy(&message.accepted.id),
            attempts = message.attempts,
            ?outcome,
            "message ended"
        );
        if let Some(replay) = &mut self.replay {
            replay.sent_or_ended(DestinationId(message.accepted.destination), number);
        }
        for counts in [&mut self.counts[message.tenant], &mut self.totals] {
            match outcome {
                FinalOutcome::Delivered => counts.delivered += 1,
                FinalOutcome::Undeliverable => counts.undeliverable += 1,
                FinalOutcome::Deferred(_) => counts.deferred += 1,
                FinalOutcome::Closed => {}
            }
        }
        let class = message.class;
        self.count(class, |counts| match outcome {
            FinalOutcome::Delivered => counts.succeeded += 1,
            FinalOutcome::Deferred(_) => counts.declined += 1,
            FinalOutcome::Undeliverable => counts.aborted += 1,
            FinalOutcome::Closed => {}
        });
        self.records.push(Record::Ended { message: number, at: self.now, outcome });
        let Some(message) = self.messages.get_mut(&number) else { return };
        // The body is dropped, as the report of the final outcome may wait for long.
        let before = stored_size(&message.accepted);
        message.accepted.body = Rc::from(&[][..]);
        let released = before - stored_size(&message.accepted);
        self.live_bytes -= released;
        self.admission.release_bytes(message.tenant, released);
        if needs_report(&message.accepted, outcome) {
            self.outputs.push(outcome_report(message, outcome));
        } else {
            self.drop_message(number);
        }
    }

    fn execute(&mut self, action: Action, sends: &mut Vec<Attempt>) {
        match action {
            Action::Send { id, endpoint, timeout, leaves_by } => {
                sends.push(Attempt { endpoint, id, timeout, leaves_by });
            }
            Action::Cancel { id, attempt } => {
                let message = self.messages.get(&id).filter(|message| message.attempts == attempt + 1);
                if let Some(call) = message.and_then(|message| message.call) {
                    self.outputs.push(Output::Abort(call));
                    self.end_call(call, AttemptOutcome::Cancelled);
                }
            }
            Action::Reject { id, retry_after } => self.reject_or_end(id, FinalOutcome::Deferred(retry_after)),
            Action::Fail(id) => self.reject_or_end(id, FinalOutcome::Undeliverable),
            Action::WakeIn(delay) => {
                let at = self.now.plus(delay);
                self.wake_at = Some(self.wake_at.map_or(at, |known| known.min(at)));
            }
            Action::CloseIdle(endpoint) => self.outputs.push(Output::CloseIdle(endpoint)),
            Action::Subscribe => {}
            Action::Log(line) => self.outputs.push(Output::Log(line)),
        }
    }

    /// Writes the records of this iteration before any reply or call that depends on them goes out. If the
    /// write fails, the new submissions are rejected and the new calls are not started.
    fn commit(&mut self, calls: Vec<CallId>) {
        let submissions = std::mem::take(&mut self.new_submissions);
        let accepted = submissions
            .keys()
            .filter_map(|id| Some(Record::Accepted(self.messages.get(id)?.accepted.clone())));
        let mut records: Vec<Record> = self.undeclared_names.iter().cloned().chain(accepted).collect();
        records.append(&mut self.records);
        if !records.is_empty() {
            let (directory, messages, calls_out) = (&self.directory, &self.messages, &self.calls);
            let (memory, paused) = (&self.memory, &self.paused);
            let live = || snapshot(directory, messages, calls_out, memory, paused);
            let written = self.journal.commit(&records, live);
            if let Err(problem) = written {
                self.outputs.push(Output::Log(format!("journal not written: {problem}")));
                return self.revert_iteration(submissions, calls);
            }
            self.undeclared_names.clear();
        }
        let mut replies = Vec::new();
        for (id, submitters) in submissions {
            // The message was accepted even if it has ended within this iteration.
            let Some(message) = self.messages.get(&id) else { continue };
            self.counts[message.tenant].accepted += 1;
            self.totals.accepted += 1;
            let accepted = |(front, token)| Output::Reply(token, front, Reply::Accepted);
            replies.extend(submitters.into_iter().map(accepted));
        }
        self.outputs.splice(0..0, replies);
        for number in calls {
            let Some(call) = self.calls.get(&number) else { continue };
            let items = call.items.iter().flatten();
            let until = items.clone().map(|item| item.2).max().unwrap_or_default();
            let items = items.filter_map(|(id, ..)| self.messages.get(id)).map(|message| Item {
                id: message.accepted.id.clone(),
                key: message.accepted.key.clone(),
                class: message.class.unwrap_or(usize::MAX),
                body: message.accepted.body.clone(),
            });
            let &Call { endpoint, leaves_by, .. } = call;
            let (items, wait) = (items.collect(), until.minus(self.now));
            self.outputs.push(Output::Call { call: number, endpoint, wait, leaves_by, items });
        }
    }
}

/// The longest time in which a message of any class may be delivered.
fn longest_deadline(settings: &Settings) -> Micros {
    settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
}

fn scoped_id(accepted: &AcceptedMessage) -> ScopedId {
    (id_scope_number(accepted.id_scope, accepted.tenant, accepted.front), accepted.id.clone())
}

fn outcome_report(message: &HeldMessage, outcome: FinalOutcome) -> Output {
    let AcceptedMessage { message: number, front, id, origin, .. } = &message.accepted;
    let (id, origin) = (id.clone(), origin.clone());
    Output::ReportOutcome { message: *number, front: *front, tenant: message.tenant, id, origin, outcome }
}
