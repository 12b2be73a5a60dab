//! A simulated forwarder: the program's cores (membership, exchange of the endpoint list, start, dispatcher)
//! on simulated time, with simulated connections and a simulated journal. It runs with a membership, or
//! without, as the program does without the section `membership`.

use super::endpoints::{Answer, Endpoint};
use crate::lifecycle::Lifecycle;
use crate::membership::share::{ShareSettings, Shares};
use crate::membership::{self, Identity, Node, Output};
use crate::net::list::spread::CallSpread;
use crate::startup::kept::FRESH_FOR;
use crate::startup::lists::{Lists, PieceResult};
use crate::startup::ramp::{Ramp, StartPosition, STARTING_FOR};
use crate::startup::replay::Replay;
use crate::startup::Edition;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// How the list service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Answers after 5 ms.
    Live,
    /// Answers after 2.5 s.
    Slow,
    /// Never answers.
    Silent,
    /// Ends the call at once, without an answer.
    Refusing,
    /// Sends half an answer.
    Partial,
}

/// Class of messages that may be repeated.
const SAFE: usize = 0;
/// Class of payments, which must not run twice.
const PAYMENT: usize = 1;
/// The endpoint list of the list service.
const LIST: &[u8] = &[b'x'; 2_500];
const EDITION: Edition = Edition { epoch: 0, generation: 7 };
/// Time for which the service holds a watch open.
const WATCH_HOLD: Micros = Micros(4_000_000);
/// Time-out of a call to the list service, in addition to the time for which the service may hold it.
const LIST_CALL_TIMEOUT: Micros = Micros(1_000_000);
/// Time after which a cached list that no source has confirmed is used.
const UNCONFIRMED_LIST_WAIT: Micros = Micros(2_000_000);
/// Time to deliver a message.
const DEADLINE: Micros = Micros(12_000_000);

/// Address where a forwarder listens for members.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 20_000 + index as u16)
}

/// The settings of every forwarder of the fleet.
pub fn settings(forwarders: usize) -> Settings {
    let class = |effect| ClassSettings {
        effect,
        in_order: false,
        target_time: Micros(2_000_000),
        deadline: DEADLINE,
        worth: 1.0,
        late_share: 0.3,
    };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        kinds: vec![KindSettings { separate_routes: false, batch: 1 }],
        weights: Weights::Absent,
        worth_decay: WorthDecay::Linear,
        tenants: Vec::new(),
        isolation: Vec::new(),
        over_share_worth: 1.0,
        forwarders: forwarders as u32,
        slots: 64,
        max_messages: 2_000,
        max_attempts: 8,
        can_cancel: true,
        must_subscribe: false,
        max_retry_after: Micros(3_000_000),
        connection_idle: Micros(10_000_000),
        drain_grace: Micros(2_000_000),
        recovery_start_share: 0.2,
        recovery_time: Micros(9_000_000),
        overload_multiple: 2.0,
        overload_window: Micros(2_500_000),
        key_backoff: Micros(0),
    }
}

/// An accepted message and its history, across restarts of its forwarder.
#[derive(Clone, Debug)]
pub struct Message {
    /// The forwarder that accepted the message.
    forwarder: usize,
    endpoint: usize,
    payment: bool,
    deadline: Micros,
    /// Attempts and possible execution, as in the forwarder's journal.
    attempts: u32,
    may_have_run: Option<(Micros, EndpointId)>,
    /// Calls that an endpoint ran.
    pub ran: u32,
    /// Final outcomes reported to the client: delivered, refused, failed.
    pub delivered: u32,
    #[allow(missing_docs)]
    pub refused: u32,
    #[allow(missing_docs)]
    pub failed: u32,
}

impl Message {
    /// Number of final outcomes reported to the client.
    pub fn final_outcomes(&self) -> u32 {
        self.delivered + self.refused + self.failed
    }

    /// Whether the message is a payment that ran more than once.
    pub fn paid_twice(&self) -> bool {
        self.payment && self.ran > 1
    }
}

/// State shared by all forwarders: endpoints, messages, and the counts of the run.
pub struct World {
    #[allow(missing_docs)]
    pub endpoints: Vec<Endpoint>,
    #[allow(missing_docs)]
    pub messages: Vec<Message>,
    /// Journal of each forwarder: its messages without a final outcome.
    pub journals: Vec<BTreeSet<u32>>,
    /// Times of calls to the list service.
    pub list_calls: Vec<Micros>,
    /// By forwarder: time from its start until it could serve.
    pub ready: Vec<Option<Micros>>,
    /// By endpoint: times of the first call of each started forwarder.
    pub first_calls: Vec<Vec<Micros>>,
    /// Clients submit messages until this time.
    pub submit_until: Micros,
    /// Mean time between two submissions to a forwarder.
    pub submit_interval: Micros,
    #[allow(missing_docs)]
    pub service: Service,
    /// Number of forwarders.
    pub forwarders: usize,
}

impl World {
    /// Accepts a message: adds it to the journal of a forwarder. Returns its number.
    pub fn accept(&mut self, now: Micros, forwarder: usize, endpoint: usize, payment: bool) -> u32 {
        let id = self.messages.len() as u32;
        let deadline = now.plus(DEADLINE);
        let (attempts, may_have_run) = (0, None);
        let (ran, delivered, refused, failed) = (0, 0, 0, 0);
        self.messages.push(Message {
            forwarder,
            endpoint,
            payment,
            deadline,
            attempts,
            may_have_run,
            ran,
            delivered,
            refused,
            failed,
        });
        self.journals[forwarder].insert(id);
        id
    }

    /// Records a final outcome of a message and removes the message from its journal.
    fn finish(&mut self, id: u32, record_outcome: impl FnOnce(&mut Message)) {
        let message = &mut self.messages[id as usize];
        record_outcome(message);
        self.journals[message.forwarder].remove(&id);
    }
}

/// The watch on the list service.
struct Watch {
    spread: CallSpread,
    /// The running call: when it ends, and whether with an answer.
    call: Option<(Micros, bool)>,
    not_before: Micros,
}

impl Watch {
    /// Starts a call, or ends one that is due. Returns whether an answer came.
    fn tick(&mut self, now: Micros, may_call: bool, has_list: bool, world: &mut World) -> bool {
        if let Some((_, answered)) = self.call.take_if(|(ends_at, _)| *ends_at <= now) {
            let pause = if answered { self.spread.next_call_delay() } else { self.spread.failure_backoff() };
            self.not_before = now.plus(pause);
            return answered;
        }
        if self.call.is_none() && may_call && now >= self.not_before {
            world.list_calls.push(now);
            let hold = if has_list { WATCH_HOLD } else { Micros(0) };
            let (duration, answered) = match world.service {
                Service::Live => (hold.plus(Micros(5_000)), true),
                // The answer comes after the call's time-out.
                Service::Slow | Service::Silent => (hold.plus(LIST_CALL_TIMEOUT), false),
                Service::Refusing | Service::Partial => (Micros(2_000), false),
            };
            self.call = Some((now.plus(duration), answered));
        }
        false
    }

    fn due(&self, may_call: bool) -> Micros {
        let next_call = if may_call { self.not_before } else { Micros(u64::MAX) };
        self.call.map_or(next_call, |(ends_at, _)| ends_at)
    }
}

/// The parts of a forwarder that exist only with a membership.
struct Membership {
    node: Node,
    lists: Lists,
    ramp: Ramp,
    shares: Shares,
    start_position: StartPosition,
}

/// A call in flight.
struct Call {
    id: u32,
    attempt: u32,
    sent_at: Micros,
    endpoint: usize,
    answer: Answer,
    timeout: Micros,
}

/// One process of a forwarder, from its start until it is killed.
pub struct Forwarder {
    index: usize,
    membership: Option<Membership>,
    watch: Watch,
    has_list: bool,
    life: Lifecycle,
    started_at: Micros,
    dispatcher: Dispatcher,
    events: Vec<Event>,
    replay: Option<Replay>,
    /// Attempts of each message that was passed to the dispatcher, from the journal or from a client.
    attempts: BTreeMap<u32, u32>,
    /// Calls in flight, by the time of their answer or time-out.
    calls: BTreeMap<(Micros, u64), Call>,
    call_count: u64,
    /// Idle connections by endpoint, with the time at which each is closed.
    idle: Vec<Vec<Micros>>,
    /// Endpoints that this process has called.
    called: Vec<bool>,
    wake_at: Option<Micros>,
    next_message: Micros,
    random: fastrand::Rng,
    seed: u64,
    is_counted: bool,
    is_ready: bool,
}

impl Forwarder {
    /// Starts a process with its journal: with a membership or without, with a cached endpoint list or
    /// without, and counted or not.
    pub fn new(
        world: &World,
        index: usize,
        seed: u64,
        now: Micros,
        (with_membership, has_list, is_counted): (bool, bool, bool),
    ) -> Forwarder {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(index as u64) ^ now.0;
        let forwarders = world.forwarders;
        let membership = with_membership.then(|| {
            let name = format!("m{index}");
            let me = Identity { name: name.clone(), address: address(index), generation: now.0.max(1) };
            let seeds = (0..forwarders.min(3)).map(address).collect();
            let node = Node::new(me, "lab", None, membership::Settings::default(), seeds, seed, now);
            let mut lists = Lists::new("lab", &name, true, seed, now);
            if has_list {
                lists.restore(EDITION, LIST, None);
            }
            let share_settings = ShareSettings { min_divisor: forwarders as u32, ..ShareSettings::default() };
            Membership {
                node,
                lists,
                ramp: Ramp::new(seed, DEADLINE),
                shares: Shares::new(share_settings, now),
                start_position: StartPosition::default(),
            }
        });
        let mut spread = CallSpread::new(forwarders as u32, seed);
        let not_before = if has_list { now.plus(spread.start_delay()) } else { now };
        let watch = Watch { spread, call: None, not_before };
        let life = Lifecycle::begin(now, has_list, membership.is_some().then_some(UNCONFIRMED_LIST_WAIT));
        let mut dispatcher = Dispatcher::new(settings(forwarders), seed);
        dispatcher.handle(now, [], &mut Vec::new());
        let mut random = fastrand::Rng::with_seed(seed);
        let next_message = now.plus(Micros(random.u64(0..=world.submit_interval.0)));
        let mut forwarder = Forwarder {
            index,
            membership,
            watch,
            has_list,
            life,
            started_at: now,
            dispatcher,
            events: Vec::new(),
            replay: None,
            attempts: BTreeMap::new(),
            calls: BTreeMap::new(),
            call_count: 0,
            idle: vec![Vec::new(); world.endpoints.len()],
            called: vec![false; world.endpoints.len()],
            wake_at: Some(now),
            next_message,
            random,
            seed,
            is_counted,
            is_ready: false,
        };
        if has_list {
            forwarder.apply_list(world, ListScope::Cached);
        }
        forwarder.resume(world, now);
        forwarder
    }

    /// Passes the endpoint list to the dispatcher.
    fn apply_list(&mut self, world: &World, scope: ListScope) {
        let record = |index: usize| EndpointRecord {
            endpoint: EndpointId(index as u64),
            destination: DestinationId(index as u64),
            zone: 0,
            kind: 0,
            lifecycle: crate::Lifecycle::Ready,
            weight: 0.0,
        };
        let records = (0..world.endpoints.len()).map(record).collect();
        self.events.push(Event::EndpointRecords(scope, records));
        self.has_list = true;
    }

    /// Resumes the messages of the journal. With a membership, those that can't have run wait for the replay,
    /// which puts them behind new messages and limits their rate.
    fn resume(&mut self, world: &World, now: Micros) {
        let journal = &world.journals[self.index];
        for id in journal {
            if let Some(membership) = &mut self.membership {
                let destination = DestinationId(world.messages[*id as usize].endpoint as u64);
                membership.ramp.message_waiting(now, destination);
            }
        }
        let message = |id: &u32| &world.messages[*id as usize];
        let is_replayed = |id: &&u32| self.membership.is_some() && message(id).may_have_run.is_none();
        let replayed = journal
            .iter()
            .filter(is_replayed)
            .map(|id| (DestinationId(message(id).endpoint as u64), message(id).deadline, MessageId(*id)));
        let replay = Replay::new(now, self.seed, replayed);
        let at_once: Vec<u32> = journal.iter().filter(|id| !is_replayed(id)).copied().collect();
        at_once.into_iter().for_each(|id| self.restore(world, now, id));
        self.replay = (!replay.is_empty()).then_some(replay);
    }

    /// Passes a message of the journal to the dispatcher.
    fn restore(&mut self, world: &World, now: Micros, id: u32) {
        let message = &world.messages[id as usize];
        let history =
            AttemptHistory { effect: None, attempts: message.attempts, may_have_run: message.may_have_run };
        self.attempts.insert(id, message.attempts);
        self.events.push(Event::Restored(MessageId(id), submission(message, now, true), history));
    }

    /// Kills the process: calls in flight may have run, and its connections are closed.
    pub fn kill(self, world: &mut World) {
        for call in self.calls.into_values() {
            let message = &mut world.messages[call.id as usize];
            if !call.answer.outcome.never_ran() {
                message.may_have_run.get_or_insert((call.sent_at, EndpointId(call.endpoint as u64)));
            }
        }
        world.endpoints.iter_mut().for_each(|endpoint| endpoint.close_all(self.index));
    }

    /// Receives a datagram of a member.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        if let Some(membership) = &mut self.membership {
            membership.node.receive(now, address(from), bytes, &mut outputs);
        }
        self.carry_out(now, outputs, out);
    }

    /// One loop iteration: carries out what is due, in the order of the program's loop.
    pub fn iterate(&mut self, now: Micros, world: &mut World, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        self.tick_membership(now, out);
        let may_call =
            self.membership.as_ref().is_none_or(|membership| membership.lists.may_call_discovery(now));
        let calls_before = world.list_calls.len();
        let answered = self.watch.tick(now, may_call, self.has_list, world);
        if let Some(membership) = &mut self.membership {
            if answered {
                membership.lists.from_discovery(now, EDITION.generation, LIST);
            }
            if world.list_calls.len() > calls_before {
                membership.lists.discovery_called(now);
            }
            membership.node.set_list(membership.lists.holding());
            if membership.lists.confirmed().is_some_and(|at| now.minus(at) < FRESH_FOR) {
                self.life.list_confirmed();
            }
        }
        let list_from_member =
            self.membership.as_ref().is_some_and(|membership| membership.lists.holding().is_some());
        if !self.has_list && (answered || list_from_member) {
            self.apply_list(world, ListScope::Whole);
            self.life.list_received();
        }
        self.life.tick(now);
        if self.life.can_serve() && !std::mem::replace(&mut self.is_ready, true) && self.is_counted {
            world.ready[self.index] = Some(now.minus(self.started_at));
        }
        self.limit_start_rate(now, world);
        self.process_answers(now, world);
        self.accept_messages(now, world);
        let mut actions = Vec::new();
        if !self.events.is_empty() || self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = self.wake_at.filter(|&at| at > now);
            self.events.push(Event::Wake);
            self.dispatcher.handle(now, self.events.drain(..), &mut actions);
        }
        for action in actions {
            self.perform(now, action, world);
        }
    }

    /// The membership's part of a loop iteration.
    fn tick_membership(&mut self, now: Micros, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        let Some(membership) = &mut self.membership else { return };
        if now >= membership.node.next_wake() {
            membership.node.tick(now, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let mut outputs = Vec::new();
        let Some(membership) = &mut self.membership else { return };
        if let Some((to, request)) = membership.lists.tick(now) {
            membership.node.request_list_pieces(now, to, request, &mut outputs);
        }
        membership.shares.observe(now, membership.node.counts());
        let divisor = membership.shares.divisor(now);
        self.dispatcher.set_forwarder_count(Some(divisor));
        self.carry_out(now, outputs, out);
    }

    /// Delays first calls and the replay of the journal while many forwarders start.
    fn limit_start_rate(&mut self, now: Micros, world: &World) {
        let Some(membership) = &mut self.membership else { return };
        let initial_rate = membership.ramp.send_rate(now);
        self.dispatcher.set_initial_rate(initial_rate);
        if self.has_list && initial_rate.is_some() {
            let destinations = (0..world.endpoints.len() as u64).map(DestinationId);
            for (destination, until) in membership.ramp.delays(now, membership.start_position, destinations) {
                self.events.push(Event::RetryAfter(EndpointId(destination.0), until.minus(now)));
            }
        }
        let starting = membership.start_position.starting;
        let Some(replay) = &mut self.replay else { return };
        replay.set_starting(starting);
        let released = replay.release(now);
        if replay.is_empty() {
            self.replay = None;
        }
        released.into_iter().for_each(|id| self.restore(world, now, id.0));
    }

    /// Processes answers that have arrived and calls that have timed out, and closes connections idle for too
    /// long.
    fn process_answers(&mut self, now: Micros, world: &mut World) {
        while let Some(entry) = self.calls.first_entry().filter(|entry| entry.key().0 <= now) {
            let Call { id, attempt, sent_at, endpoint: index, answer, timeout } = entry.remove();
            let late = answer.after > timeout;
            let outcome = if late { AttemptOutcome::TimedOut } else { answer.outcome };
            let connected =
                !matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimitReached);
            if outcome == AttemptOutcome::Delivered {
                world.finish(id, |message| message.delivered += 1);
            } else if !outcome.never_ran() {
                let may_have_run = (sent_at, EndpointId(index as u64));
                world.messages[id as usize].may_have_run.get_or_insert(may_have_run);
            }
            if late {
                world.endpoints[index].close(self.index, 1);
            } else if connected {
                self.idle[index].push(now.plus(Micros(8_000_000)));
            }
            let endpoint = EndpointId(index as u64);
            let report = answer.report.filter(|_| !late);
            self.events.extend(report.map(|report| Event::Report(endpoint, report)));
            let closed = outcome == AttemptOutcome::Delivered;
            let spent = now.minus(sent_at);
            self.events.push(Event::AttemptEnded { id: MessageId(id), attempt, outcome, spent, closed });
        }
        for (index, idle) in self.idle.iter_mut().enumerate() {
            let before = idle.len();
            idle.retain(|&until| until > now);
            world.endpoints[index].close(self.index, before - idle.len());
        }
    }

    /// Accepts the messages that clients submit. The platform's front sends none to a forwarder that is not
    /// ready.
    fn accept_messages(&mut self, now: Micros, world: &mut World) {
        while self.next_message <= now && self.next_message < world.submit_until {
            let pause = (2.0 * self.random.f64() * world.submit_interval.0 as f64) as u64;
            self.next_message = self.next_message.plus(Micros(pause.max(1)));
            if !self.life.accepts_clients() {
                continue;
            }
            let endpoint = self.random.usize(0..world.endpoints.len());
            let id = world.accept(now, self.index, endpoint, self.random.bool());
            self.attempts.insert(id, 0);
            if let Some(replay) = &mut self.replay {
                replay.submitted(DestinationId(endpoint as u64), MessageId(id));
            }
            if let Some(membership) = &mut self.membership {
                membership.ramp.message_waiting(now, DestinationId(endpoint as u64));
            }
            let submission = submission(&world.messages[id as usize], now, false);
            self.events.push(Event::Message(MessageId(id), submission));
        }
    }

    /// Performs an action of the dispatcher.
    fn perform(&mut self, now: Micros, action: Action, world: &mut World) {
        match action {
            Action::Send { id, endpoint, timeout, .. } => {
                let index = endpoint.0 as usize;
                let new_connection = self.idle[index].pop().is_none();
                if !std::mem::replace(&mut self.called[index], true) && self.is_counted {
                    world.first_calls[index].push(now);
                }
                let answer = world.endpoints[index].call(now, self.index, new_connection);
                let message = &mut world.messages[id.0 as usize];
                message.attempts += 1;
                message.ran += u32::from(answer.ran);
                if let Some(replay) = &mut self.replay {
                    replay.sent_or_ended(DestinationId(index as u64), id);
                }
                let attempts = self.attempts.entry(id.0).or_default();
                let attempt = std::mem::replace(attempts, *attempts + 1);
                self.call_count += 1;
                let ends_at = now.plus(answer.after.min(timeout));
                let call = Call { id: id.0, attempt, sent_at: now, endpoint: index, answer, timeout };
                self.calls.insert((ends_at, self.call_count), call);
            }
            Action::Reject { id, .. } => world.finish(id.0, |message| message.refused += 1),
            Action::Fail(id) => world.finish(id.0, |message| message.failed += 1),
            Action::WakeIn(delay) => {
                let at = now.plus(delay);
                self.wake_at = Some(self.wake_at.map_or(at, |known| known.min(at)));
            }
            Action::CloseIdle(endpoint) => {
                let closed = std::mem::take(&mut self.idle[endpoint.0 as usize]).len();
                world.endpoints[endpoint.0 as usize].close(self.index, closed);
            }
            // The dispatcher cancels no attempt here: the slots of the settings always suffice.
            Action::Cancel { .. } | Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// Carries out the outputs of the membership core.
    fn carry_out(&mut self, now: Micros, outputs: Vec<Output>, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let Some(membership) = &mut self.membership else { return };
        let mut changed = false;
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, bytes } => out.push((to, bytes)),
                Output::Changed(_) => changed = true,
                Output::ListAnnounced(from, holding) => membership.lists.announced(now, from, holding),
                Output::ListRequested(to, request) => {
                    for (index, count, bytes) in membership.lists.send_pieces(now, request) {
                        membership.node.send_list_piece(
                            now,
                            to,
                            (request.edition, index, count),
                            bytes,
                            &mut replies,
                        );
                    }
                }
                Output::ListPiece { from, edition, index, count, bytes } => {
                    let which = (edition, index.into(), count.into());
                    match membership.lists.piece(now, from, which, &bytes) {
                        PieceResult::Request(to, request) => {
                            membership.node.request_list_pieces(now, to, request, &mut replies)
                        }
                        PieceResult::Complete(edition, bytes) => membership.lists.accepted(edition, bytes),
                        PieceResult::Nothing | PieceResult::Mismatch(_) => {}
                    }
                }
                Output::NameConflict(_) | Output::GenerationRaised(_) | Output::MaintenancePart(..) => {}
            }
        }
        for output in replies {
            if let Output::Send { to, bytes } = output {
                out.push((to, bytes));
            }
        }
        if changed {
            membership.lists.members_changed(now, membership.node.live_names());
            membership.start_position = membership.node.rank_among_started(now.minus(STARTING_FOR).0);
        }
    }

    /// Time of the next loop iteration.
    pub fn due(&self, now: Micros, world: &World) -> Micros {
        let never = Micros(u64::MAX);
        let may_call =
            self.membership.as_ref().is_none_or(|membership| membership.lists.may_call_discovery(now));
        let mut due = self.watch.due(may_call);
        if let Some(membership) = &self.membership {
            due = due.min(membership.node.next_wake()).min(membership.lists.due(now).unwrap_or(never));
        }
        due = due.min(self.life.due(now).unwrap_or(never));
        due = due.min(self.wake_at.unwrap_or(never));
        due = due.min(self.calls.first_key_value().map_or(never, |(key, _)| key.0));
        due = due.min(self.replay.as_ref().and_then(Replay::due).unwrap_or(never));
        if self.next_message < world.submit_until {
            due = due.min(self.next_message);
        }
        due.max(now.plus(Micros(100)))
    }
}

/// The submission of a message, as the dispatcher gets it.
fn submission(message: &Message, now: Micros, resubmitted: bool) -> Submission {
    Submission {
        destination: DestinationId(message.endpoint as u64),
        time_left: message.deadline.minus(now),
        class: if message.payment { PAYMENT } else { SAFE },
        key: None,
        tenant: 0,
        resubmitted,
    }
}
