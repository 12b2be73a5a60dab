//! The core: flows, attempts and outcomes. It asks the decision module once a turn with all that came in, keeps the
//! journal, and says what the wires shall do. It knows no wire: fronts hand in offers and hear replies and ends,
//! real servers are endpoints that calls are ordered for.

mod admission;
mod calls;
pub mod figures;
pub mod handover;
mod io;
mod memory;
mod records;
mod restart;

use crate::config::model::Core;
use crate::directory::{Directory, NumberedName};
use crate::journal::{
    effect_code, stored_size, AcceptedMessage, FinalOutcome, IdScope, Journal, Record, RecoveredJournal,
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
use memory::{OutcomeMemory, ScopedId};
use records::{named_record, names_to_keep, needs_report, snapshot};
pub use restart::Resume;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::rc::Rc;

/// Advice to a client that is turned away before the module is asked.
const DEFAULT_RETRY_AFTER: Micros = Micros(500_000);

/// A message's time counts from the moment when its client sent it, which is read a little later. An answer that comes so shortly
/// before its end, by what was read, may be too late for the client, who is owed an end all the same: it is told one, with no
/// promise about the effect. Where the delivery was in time after all, that word does no harm. Of a class with little time it is a
/// tenth of that at the most.
const DEADLINE_MARGIN: Micros = Micros(50_000);

/// Names an offer for the front that made it.
pub type Token = u64;
/// Names a call for the real servers.
pub type CallId = u64;

/// The space of an id as a number: its tenant's own, or one above all tenants' for each front.
pub fn id_scope_number(id_scope: IdScope, tenant: u32, front: u8) -> u32 {
    match id_scope {
        IdScope::Tenant => tenant,
        IdScope::Front => FRONT_SCOPES | u32::from(front),
    }
}

/// Spaces of fronts lie above all numbers of tenants.
const FRONT_SCOPES: u32 = 1 << 31;
/// Where the first format of the journal had them.
const FORMAT_1_FRONT_SCOPES: u32 = 1 << 16;

/// A flow that is open, or whose end is still to be told.
struct HeldMessage {
    accepted: AcceptedMessage,
    /// Places of its class and tenant, where they have any.
    class: Option<usize>,
    tenant: usize,
    attempts: u32,
    may_have_run: Option<(Micros, EndpointId)>,
    /// The call it is out in, and its place there.
    call: Option<CallId>,
    outcome: Option<(FinalOutcome, Micros)>,
}

/// One message that the module sends.
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
    /// While it is not written: called back then.
    leaves_by: Micros,
    /// Each flow, its attempt, and until when it is waited for; taken out when settled.
    items: Vec<Option<(MessageId, u32, Micros)>>,
}

/// See the module's text.
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    directory: Rc<Directory>,
    held_bytes: u64,
    /// What each tenant may hold and offer.
    admission: AdmissionControl,
    journal: Journal,
    /// Names that the journal has not been told yet.
    undeclared_names: Vec<Record>,
    /// Flows without an end.
    open_count: usize,
    messages: BTreeMap<MessageId, HeldMessage>,
    /// Ids of the flows above.
    ids: HashMap<ScopedId, MessageId>,
    memory: OutcomeMemory,
    next_message: u32,
    calls: BTreeMap<CallId, Call>,
    /// Those whose last byte is still to be written, by when that must be: their connections are coming up.
    unwritten: BTreeSet<(Micros, CallId)>,
    next_call: CallId,
    /// When each item of a call is given up: the call, and its place there.
    call_timeouts: BTreeSet<(Micros, CallId, usize)>,
    destinations: BTreeSet<DestinationId>,
    /// Kind of destination of each endpoint, for the size of its calls.
    kinds: BTreeMap<EndpointId, usize>,
    events: Vec<Event>,
    records: Vec<Record>,
    outputs: Vec<Output>,
    /// Offers of this turn that the module has not refused.
    new_submissions: BTreeMap<MessageId, Token>,
    live_bytes: u64,
    wake_at: Option<Micros>,
    /// What the journal held and the module has not been told yet; none where it was told all at once.
    replay: Option<Replay>,
    /// No call may begin any more: the module is no longer asked.
    calls_stopped: bool,
    paused: BTreeSet<u32>,
    counts: Vec<Counts>,
    /// By class, by place.
    class_counts: Vec<ClassCounts>,
    /// All of them together.
    totals: Counts,
    now: Micros,
}

impl Engine {
    /// Reads the journal in `folder`, and writes nothing. Names of `directory` stay at their places.
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
            // The first format knows no names: its numbers are places in the lists as they are now.
            directory.configure(core, None);
        }
        let kept = names_to_keep(&records, core);
        for record in &records {
            if let Record::Named { tenant, number, name } = record {
                if !kept.contains(&(*tenant, *number)) {
                    continue;
                }
                let name = String::from_utf8_lossy(name).into_owned();
                let table = if *tenant { &mut directory.tenants } else { &mut directory.classes };
                table.declare(NumberedName { number: *number, name });
            }
        }
        let (settings, ..) = directory.configure(core, None);
        let places = directory.tenants.len();
        let mut engine = Engine {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            memory: OutcomeMemory::new(journal.max_live_size() / 4),
            settings,
            directory: Rc::new(directory),
            held_bytes: core.held_bytes.unwrap_or(u64::MAX),
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
            counts: vec![Counts::default(); places],
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

    /// Other settings count from the next turn on. What is held stays held, also where less would be taken on now;
    /// what a name that left was taken on under keeps its settings. Cost: the size of the lists.
    pub fn configure(&mut self, core: &Core) {
        let directory = Rc::make_mut(&mut self.directory);
        let (settings, classes, tenants) = directory.configure(core, Some(&self.settings));
        let record = |tenant, named: NumberedName| named_record(tenant, &named);
        self.undeclared_names.extend(classes.into_iter().map(|named| record(false, named)));
        self.undeclared_names.extend(tenants.into_iter().map(|named| record(true, named)));
        self.counts.resize(self.directory.tenants.len(), Counts::default());
        self.held_bytes = core.held_bytes.unwrap_or(u64::MAX);
        self.settings = settings.clone();
        self.configure_admission();
        self.events.push(Event::Settings(Box::new(settings)));
    }

    /// So many senders share the real servers, as observed (see `docs/membership.md`); none, as the settings say.
    pub fn set_forwarder_count(&mut self, senders: Option<f64>) {
        self.dispatcher.set_forwarder_count(senders);
    }

    /// While this one starts among others, what it begins with at each destination.
    pub fn set_initial_rate(&mut self, first: Option<InitialSendRate>) {
        self.dispatcher.set_initial_rate(first);
    }

    /// Parts what can be held among the tenants. Cost: the tenants.
    fn configure_admission(&mut self) {
        // Beside what is remembered of ended flows. Not less what names take: a tenant would see others come and go by it.
        let live = self.journal.max_live_size();
        let bytes = self.held_bytes.min(live - live / 4);
        let held = u64::from(self.settings.max_messages);
        self.admission.configure((held, bytes), &self.settings.isolation);
    }

    /// Whether these settings are those in force, for assertions. Cost: the size of the lists.
    pub fn has_settings(&self, core: &Core) -> bool {
        let names = self.directory.clone();
        let class = |(name, told): (&String, &crate::ClassSettings)| {
            names
                .classes
                .active_index(name)
                .is_some_and(|place| self.settings.classes.get(place) == Some(told))
        };
        let tenant = |(name, quota): (&String, &f64)| {
            names
                .tenants
                .active_index(name)
                .is_some_and(|place| self.settings.tenants.get(place) == Some(quota))
        };
        let parted = |(place, name): (usize, &String)| {
            let told = core.settings.isolation.get(place).copied().unwrap_or_default();
            names
                .tenants
                .active_index(name)
                .is_some_and(|place| self.settings.isolation.get(place) == Some(&told))
        };
        let (classes, tenants) = (self.settings.classes.clone(), self.settings.tenants.clone());
        let isolation = self.settings.isolation.clone();
        core.classes.iter().zip(&core.settings.classes).all(class)
            && core.tenants.iter().zip(&core.settings.tenants).all(tenant)
            && core.tenants.iter().enumerate().all(parted)
            && names.classes.active().count() == core.classes.len()
            && names.tenants.active().count() == core.tenants.len().max(1)
            && self.settings == Settings { classes, tenants, isolation, ..core.settings.clone() }
    }

    /// Whether everything live fits into a folder of another size; then the file does, too, from now on.
    pub fn check_disk_limit(&mut self, disk: u64) -> Result<(), String> {
        let old = self.journal.disk_limit();
        self.journal.set_disk_limit(disk);
        let live = self.total_live_bytes() - self.memory.bytes()
            + self.memory.bytes().min(self.journal.max_live_size() / 4);
        let fits = live <= self.journal.max_live_size();
        let result = if !fits {
            Err(format!("{live} bytes are live, and {} would be allowed", self.journal.max_live_size()))
        } else if self.journal.size() > self.journal.max_file_size() {
            let live = snapshot(&self.directory, &self.messages, &self.calls, &self.memory, &self.paused);
            self.journal.compact(&live).map_err(|problem| format!("the journal cannot be written: {problem}"))
        } else {
            Ok(())
        };
        self.journal.set_disk_limit(old);
        result
    }

    /// Another size of the folder counts from now on.
    pub fn set_disk_limit(&mut self, disk: u64) {
        self.journal.set_disk_limit(disk);
        self.memory.set_limit(self.journal.max_live_size() / 4);
        self.configure_admission();
    }

    /// Bytes that must outlast a compaction, about.
    fn total_live_bytes(&self) -> u64 {
        let names = self.directory.classes.bytes() + self.directory.tenants.bytes();
        self.live_bytes + self.memory.bytes() + names
    }

    /// Names, places and numbers.
    pub fn directory(&self) -> &Rc<Directory> {
        &self.directory
    }

    /// What all tenants have had together. Cost: none; counted as it happens.
    pub fn totals(&self) -> Counts {
        self.totals
    }

    /// Ends that a front is still owed are told again: it was off, and is on now. Cost: the flows held.
    pub fn repeat_reports(&mut self, front: u8) {
        let owed = self.messages.values().filter(|message| message.accepted.front == front);
        let told = owed.filter_map(|message| Some(outcome_report(message, message.outcome?.0)));
        self.outputs.extend(told);
    }

    /// Takes all that came in, asks the module once, writes the journal once, and says what to do.
    pub fn step(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = self.now.max(now);
        let inputs: Vec<Input> = inputs.into_iter().collect();
        // Before all else: what has left may have run, whatever else this turn brings.
        let written =
            inputs.iter().filter_map(|one| if let Input::Written(call) = one { Some(*call) } else { None });
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

    /// When the next turn is due though nothing comes in.
    pub fn next_due(&self) -> Option<Micros> {
        let waits = self.call_timeouts.first().map(|&(until, ..)| until);
        let leaves = self.unwritten.first().map(|&(by, _)| by);
        let soon = (!self.events.is_empty()).then_some(self.now);
        let replay = self.replay.as_ref().and_then(Replay::due);
        [soon, waits, leaves, self.wake_at, replay].into_iter().flatten().min()
    }

    /// What a tenant has had, and whether it is paused.
    pub fn tenant_status(&self, place: usize) -> (Counts, bool) {
        let paused = self.paused.contains(&self.directory.tenants.number(place));
        (self.counts.get(place).copied().unwrap_or_default(), paused)
    }

    /// What a tenant has of what is shared, and may have: call slots, messages held, their bytes. Cost: O(1).
    pub fn tenant_shares(&self, place: usize) -> [(&'static str, u64, Bounds); 3] {
        let (held, bytes) = self.admission.shares();
        [("slots", self.dispatcher.slots()), ("held_messages", held), ("held_bytes", bytes)]
            .map(|(name, shares)| (name, shares.used(place), shares.bounds(place)))
    }

    /// What became of the messages of a class, by its place.
    pub fn class_counts(&self, class: usize) -> ClassCounts {
        self.class_counts.get(class).copied().unwrap_or_default()
    }

    /// Messages taken and not ended.
    pub fn outstanding(&self) -> usize {
        self.open_count
    }

    /// Listed endpoints that are avoided. Cost: the endpoints listed.
    pub fn open_circuits(&self) -> usize {
        self.dispatcher.open_circuits()
    }

    /// Flows that are open, or whose end is still to be told.
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
            Input::EndpointRecords(scope, members) => self.update_endpoint_records(scope, members),
            Input::Written(_) => {}
            Input::Answered { call, results, wait } => {
                let endpoint = self.calls.get(&call).map(|call| call.endpoint);
                self.remove_unwritten(call);
                if let (Some(endpoint), Some(wait)) = (endpoint, wait) {
                    self.retry_after(endpoint, wait);
                }
                for (place, outcome, over) in results {
                    self.end_attempt(call, place, outcome, over);
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

    fn update_endpoint_records(&mut self, scope: ListScope, members: Vec<EndpointRecord>) {
        // Destinations stay: one without endpoints for a while still has its flows taken on. Endpoints do not.
        if matches!(scope, ListScope::Whole | ListScope::Cached) {
            self.kinds.clear();
        }
        for member in &members {
            self.destinations.insert(member.destination);
            self.kinds.insert(member.endpoint, member.kind);
            if member.lifecycle == Lifecycle::Gone {
                self.kinds.remove(&member.endpoint);
            }
        }
        // Calls whose connections are only coming up would go there later, and to who is gone perhaps never. Half of what is
        // allowed is left to this process's own delays.
        let by = self.now.plus(Micros(self.settings.drain_grace.0 / 2));
        let stays = |endpoint| match members.iter().find(|member| member.endpoint == endpoint) {
            Some(member) => member.lifecycle == Lifecycle::Ready,
            None => !matches!(scope, ListScope::Whole | ListScope::Cached),
        };
        let leaving = self.unwritten.iter().filter(|(at, id)| *at > by && !stays(self.calls[id].endpoint));
        for (at, id) in leaving.copied().collect::<Vec<_>>() {
            self.unwritten.remove(&(at, id));
            self.unwritten.insert((by, id));
            self.calls.entry(id).and_modify(|call| call.leaves_by = by);
        }
        self.events.push(Event::EndpointRecords(scope, members));
    }

    /// Counts for a class; what has none stands under none.
    fn count(&mut self, class: Option<usize>, update: impl FnOnce(&mut ClassCounts)) {
        let Some(class) = class else { return };
        if self.class_counts.len() <= class {
            self.class_counts.resize(class + 1, ClassCounts::default());
        }
        update(&mut self.class_counts[class]);
    }

    /// The end of a flow: into the journal, and to its front in this turn.
    fn end_message(&mut self, number: MessageId, outcome: FinalOutcome) {
        let Some(message) = self.messages.get_mut(&number) else { return };
        if message.outcome.is_none() {
            self.open_count -= 1;
            self.counts[message.tenant].open -= 1;
            self.admission.remove_message(message.tenant);
        }
        message.outcome = Some((outcome, self.now));
        if let Some(replay) = &mut self.replay {
            replay.gone(DestinationId(message.accepted.destination), number);
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
        self.count(class, |figures| match outcome {
            FinalOutcome::Delivered => figures.succeeded += 1,
            FinalOutcome::Deferred(_) => figures.declined += 1,
            FinalOutcome::Undeliverable => figures.aborted += 1,
            FinalOutcome::Closed => {}
        });
        self.records.push(Record::Ended { message: number, at: self.now, outcome });
        let Some(message) = self.messages.get_mut(&number) else { return };
        // An end that waits long to be told keeps no room for its body.
        let before = stored_size(&message.accepted);
        message.accepted.body = Rc::from(&[][..]);
        let rest = before - stored_size(&message.accepted);
        self.live_bytes -= rest;
        self.admission.release_bytes(message.tenant, rest);
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
                let call = self.messages.get(&id).filter(|message| message.attempts == attempt + 1);
                if let Some(call) = call.and_then(|message| message.call) {
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

    /// Writes this turn's records before anything that they vouch for leaves. What cannot be written is not done.
    fn commit(&mut self, calls: Vec<CallId>) {
        let fresh = std::mem::take(&mut self.new_submissions);
        let accepted =
            fresh.keys().filter_map(|id| Some(Record::Accepted(self.messages.get(id)?.accepted.clone())));
        let mut records: Vec<Record> = self.undeclared_names.iter().cloned().chain(accepted).collect();
        records.append(&mut self.records);
        if !records.is_empty() {
            let (directory, messages, calls_out) = (&self.directory, &self.messages, &self.calls);
            let (memory, paused) = (&self.memory, &self.paused);
            let live = || snapshot(directory, messages, calls_out, memory, paused);
            let written = self.journal.commit(&records, live);
            if let Err(problem) = written {
                self.outputs.push(Output::Log(format!("journal not written: {problem}")));
                return self.revert_iteration(fresh, calls);
            }
            self.undeclared_names.clear();
        }
        let mut replies = Vec::new();
        for (id, token) in fresh {
            // It may have ended within this turn; it was taken on all the same.
            let Some(message) = self.messages.get(&id) else { continue };
            self.counts[message.tenant].accepted += 1;
            self.totals.accepted += 1;
            replies.push(Output::Reply(token, message.accepted.front, Reply::Accepted));
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

fn scoped_id(accepted: &AcceptedMessage) -> ScopedId {
    (id_scope_number(accepted.id_scope, accepted.tenant, accepted.front), accepted.id.clone())
}

fn outcome_report(message: &HeldMessage, outcome: FinalOutcome) -> Output {
    let AcceptedMessage { message: number, front, id, origin, .. } = &message.accepted;
    let (id, origin) = (id.clone(), origin.clone());
    Output::ReportOutcome { message: *number, front: *front, tenant: message.tenant, id, origin, outcome }
}
