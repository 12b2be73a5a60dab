//! A simulated forwarder: the cores of the program (membership, list among members, start, decisions) on simulated time, with
//! connections and a journal of its own. With mates it knows the others; without it goes on its own, as the program without
//! the section `membership` does.

use super::endpoints::{Answer, Endpoint};
use crate::lifecycle::Lifecycle;
use crate::membership::share::{ShareSettings, Shares};
use crate::membership::{Identity, Node, Output, Settings as Pace};
use crate::net::list::spread::Spread;
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
    /// After 5 ms.
    Live,
    /// After 2.5 s.
    Slow,
    /// Never.
    Silent,
    /// At once, with nothing.
    Refusing,
    /// Half an answer.
    Partial,
}

/// Classes of message: one that may be repeated, and a payment.
const SAFE: usize = 0;
const PAYMENT: usize = 1;
/// What the list service is taken to hold.
const LIST: &[u8] = &[b'x'; 2_500];
const EDITION: Edition = Edition { epoch: 0, generation: 7 };
/// A watch is held so long by the service.
const HOLD: Micros = Micros(4_000_000);
/// An answer that does not come counts as failed after so long, beyond what the call may be held.
const SILENCE: Micros = Micros(1_000_000);
/// A list from before that nobody confirms serves after so long.
const DOUBTFUL: Micros = Micros(2_000_000);
/// A message may be delivered for so long.
const DEADLINE: Micros = Micros(12_000_000);

/// Where a forwarder listens for members.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 20_000 + index as u16)
}

/// What the fleet's settings say, in the form of the platform's.
pub fn settings(senders: usize) -> Settings {
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
        forwarders: senders as u32,
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

/// A message that was taken on: what became of it, over all processes of its forwarder.
#[derive(Clone, Debug)]
pub struct Message {
    /// Who took it on, and for which endpoint.
    by: usize,
    to: usize,
    payment: bool,
    deadline: Micros,
    /// As its forwarder's journal has it.
    attempts: u32,
    may_have_run: Option<(Micros, EndpointId)>,
    /// Calls of it that ran.
    pub ran: u32,
    /// Delivered, refused and failed: what its client was told.
    pub delivered: u32,
    #[allow(missing_docs)]
    pub refused: u32,
    #[allow(missing_docs)]
    pub failed: u32,
}

impl Message {
    /// Ends that were told.
    pub fn ends(&self) -> u32 {
        self.delivered + self.refused + self.failed
    }

    /// A payment that ran twice.
    pub fn paid_twice(&self) -> bool {
        self.payment && self.ran > 1
    }
}

/// What all forwarders share: endpoints, messages, and what is counted.
pub struct World {
    #[allow(missing_docs)]
    pub endpoints: Vec<Endpoint>,
    #[allow(missing_docs)]
    pub messages: Vec<Message>,
    /// Those of each forwarder without an end: its journal.
    pub journals: Vec<BTreeSet<u32>>,
    /// Calls to the list service.
    pub list_calls: Vec<Micros>,
    /// By forwarder: from its start until it served.
    pub ready: Vec<Option<Micros>>,
    /// First calls of each start, by endpoint.
    pub first_calls: Vec<Vec<Micros>>,
    /// Clients hand messages in until then, each forwarder one in so long on average.
    pub until: Micros,
    #[allow(missing_docs)]
    pub every: Micros,
    #[allow(missing_docs)]
    pub service: Service,
    #[allow(missing_docs)]
    pub siblings: usize,
}

impl World {
    /// A client hands a message in.
    pub fn take_on(&mut self, now: Micros, by: usize, to: usize, payment: bool) -> u32 {
        let id = self.messages.len() as u32;
        let deadline = now.plus(DEADLINE);
        let (attempts, may_have_run) = (0, None);
        let (ran, delivered, refused, failed) = (0, 0, 0, 0);
        self.messages.push(Message {
            by,
            to,
            payment,
            deadline,
            attempts,
            may_have_run,
            ran,
            delivered,
            refused,
            failed,
        });
        self.journals[by].insert(id);
        id
    }

    fn end(&mut self, id: u32, told: impl FnOnce(&mut Message)) {
        let message = &mut self.messages[id as usize];
        told(message);
        self.journals[message.by].remove(&id);
    }
}

/// The watch's call to the list service.
struct Watch {
    spread: Spread,
    /// When its answer is there, and whether it is one.
    out: Option<(Micros, bool)>,
    not_before: Micros,
}

impl Watch {
    /// Begins a call, or takes its end; tells whether an answer came.
    fn tick(&mut self, now: Micros, may: bool, knows: bool, world: &mut World) -> bool {
        if let Some((_, answered)) = self.out.take_if(|(ends, _)| *ends <= now) {
            let pause = if answered { self.spread.go_on() } else { self.spread.after_failure() };
            self.not_before = now.plus(pause);
            return answered;
        }
        if self.out.is_none() && may && now >= self.not_before {
            world.list_calls.push(now);
            let held = if knows { HOLD } else { Micros(0) };
            let (after, answered) = match world.service {
                Service::Live => (held.plus(Micros(5_000)), true),
                // Later than the call waits.
                Service::Slow | Service::Silent => (held.plus(SILENCE), false),
                Service::Refusing | Service::Partial => (Micros(2_000), false),
            };
            self.out = Some((now.plus(after), answered));
        }
        false
    }

    fn due(&self, may: bool) -> Micros {
        let next = if may { self.not_before } else { Micros(u64::MAX) };
        self.out.map_or(next, |(ends, _)| ends)
    }
}

/// What a forwarder has that knows the others.
struct Mates {
    node: Node,
    lists: Lists,
    ramp: Ramp,
    shares: Shares,
    among: StartPosition,
}

/// A call that is out.
struct Out {
    id: u32,
    attempt: u32,
    sent_at: Micros,
    to: usize,
    answer: Answer,
    timeout: Micros,
}

/// One start of one process.
pub struct Forwarder {
    index: usize,
    mates: Option<Mates>,
    watch: Watch,
    knows: bool,
    life: Lifecycle,
    began: Micros,
    dispatcher: Dispatcher,
    events: Vec<Event>,
    replay: Option<Replay>,
    /// What of the journal was handed to the decisions, and what was taken on since.
    attempts: BTreeMap<u32, u32>,
    out: BTreeMap<(Micros, u64), Out>,
    calls: u64,
    /// Connections that are idle, by endpoint, with the moment at which each is closed.
    idle: Vec<Vec<Micros>>,
    met: Vec<bool>,
    wake_at: Option<Micros>,
    next_message: Micros,
    random: fastrand::Rng,
    seed: u64,
    counted: bool,
    ready: bool,
}

impl Forwarder {
    /// Starts with its journal, knowing a list from before or none; counted or not.
    pub fn new(
        world: &World,
        index: usize,
        seed: u64,
        now: Micros,
        (mates, knows, counted): (bool, bool, bool),
    ) -> Forwarder {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(index as u64) ^ now.0;
        let siblings = world.siblings;
        let mates = mates.then(|| {
            let name = format!("m{index}");
            let me = Identity { name: name.clone(), address: address(index), generation: now.0.max(1) };
            let seeds = (0..siblings.min(3)).map(address).collect();
            let node = Node::new(me, "lab", None, Pace::default(), seeds, seed, now);
            let mut lists = Lists::new("lab", &name, true, seed, now);
            if knows {
                lists.restore(EDITION, LIST, None);
            }
            let rules = ShareSettings { min_divisor: siblings as u32, ..ShareSettings::default() };
            Mates {
                node,
                lists,
                ramp: Ramp::new(seed, DEADLINE),
                shares: Shares::new(rules, now),
                among: StartPosition::default(),
            }
        });
        let mut spread = Spread::new(siblings as u32, seed);
        let not_before = if knows { now.plus(spread.start()) } else { now };
        let watch = Watch { spread, out: None, not_before };
        let life = Lifecycle::begin(now, knows, mates.is_some().then_some(DOUBTFUL));
        let mut dispatcher = Dispatcher::new(settings(siblings), seed);
        dispatcher.handle(now, [], &mut Vec::new());
        let mut random = fastrand::Rng::with_seed(seed);
        let next_message = now.plus(Micros(random.u64(0..=world.every.0)));
        let mut one = Forwarder {
            index,
            mates,
            watch,
            knows,
            life,
            began: now,
            dispatcher,
            events: Vec::new(),
            replay: None,
            attempts: BTreeMap::new(),
            out: BTreeMap::new(),
            calls: 0,
            idle: vec![Vec::new(); world.endpoints.len()],
            met: vec![false; world.endpoints.len()],
            wake_at: Some(now),
            next_message,
            random,
            seed,
            counted,
            ready: false,
        };
        if knows {
            one.listed(world, ListScope::Cached);
        }
        one.resume(world, now);
        one
    }

    fn listed(&mut self, world: &World, scope: ListScope) {
        let member = |place: usize| EndpointRecord {
            endpoint: EndpointId(place as u64),
            destination: DestinationId(place as u64),
            zone: 0,
            kind: 0,
            lifecycle: crate::Lifecycle::Ready,
            weight: 0.0,
        };
        let members = (0..world.endpoints.len()).map(member).collect();
        self.events.push(Event::EndpointRecords(scope, members));
        self.knows = true;
    }

    /// What its journal holds goes on: with mates behind fresh messages and at their pace.
    fn resume(&mut self, world: &World, now: Micros) {
        let journal = &world.journals[self.index];
        for id in journal {
            if let Some(mates) = &mut self.mates {
                mates.ramp.message_waiting(now, DestinationId(world.messages[*id as usize].to as u64));
            }
        }
        let message = |id: &u32| &world.messages[*id as usize];
        let waits = |id: &&u32| self.mates.is_some() && message(id).may_have_run.is_none();
        let held = journal
            .iter()
            .filter(waits)
            .map(|id| (DestinationId(message(id).to as u64), message(id).deadline, MessageId(*id)));
        let replay = Replay::new(now, self.seed, held);
        let at_once: Vec<u32> = journal.iter().filter(|id| !waits(id)).copied().collect();
        at_once.into_iter().for_each(|id| self.restore(world, now, id));
        self.replay = (!replay.is_empty()).then_some(replay);
    }

    fn restore(&mut self, world: &World, now: Micros, id: u32) {
        let message = &world.messages[id as usize];
        let past = AttemptHistory { attempts: message.attempts, may_have_run: message.may_have_run };
        self.attempts.insert(id, message.attempts);
        self.events.push(Event::Restored(MessageId(id), handed_in(message, now, true), past));
    }

    /// The process is killed: what was out may have run, and its connections are closed.
    pub fn kill(self, world: &mut World) {
        for out in self.out.into_values() {
            let message = &mut world.messages[out.id as usize];
            if !out.answer.outcome.never_ran() {
                message.may_have_run.get_or_insert((out.sent_at, EndpointId(out.to as u64)));
            }
        }
        world.endpoints.iter_mut().for_each(|endpoint| endpoint.close_all(self.index));
    }

    /// A datagram of a member.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        if let Some(mates) = &mut self.mates {
            mates.node.receive(now, address(from), bytes, &mut outputs);
        }
        self.carry_out(now, outputs, out);
    }

    /// What is due, in the order of the program's loop.
    pub fn turn(&mut self, now: Micros, world: &mut World, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        self.meet(now, out);
        let may = self.mates.as_ref().is_none_or(|mates| mates.lists.may_call_discovery(now));
        let calls = world.list_calls.len();
        let answered = self.watch.tick(now, may, self.knows, world);
        if let Some(mates) = &mut self.mates {
            if answered {
                mates.lists.from_discovery(now, EDITION.generation, LIST);
            }
            if world.list_calls.len() > calls {
                mates.lists.discovery_called(now);
            }
            mates.node.set_list(mates.lists.holding());
            if mates.lists.confirmed().is_some_and(|at| now.minus(at) < FRESH_FOR) {
                self.life.list_confirmed();
            }
        }
        let held = self.mates.as_ref().is_some_and(|mates| mates.lists.holding().is_some());
        if !self.knows && (answered || held) {
            self.listed(world, ListScope::Whole);
            self.life.list_received();
        }
        self.life.tick(now);
        if self.life.can_serve() && !std::mem::replace(&mut self.ready, true) && self.counted {
            world.ready[self.index] = Some(now.minus(self.began));
        }
        self.hold_back(now, world);
        self.hear(now, world);
        self.take_on(now, world);
        let mut actions = Vec::new();
        if !self.events.is_empty() || self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = self.wake_at.filter(|&at| at > now);
            self.events.push(Event::Wake);
            self.dispatcher.handle(now, self.events.drain(..), &mut actions);
        }
        for action in actions {
            self.act(now, action, world);
        }
    }

    /// The membership's part of a turn.
    fn meet(&mut self, now: Micros, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        let Some(mates) = &mut self.mates else { return };
        if now >= mates.node.next_wake() {
            mates.node.tick(now, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let mut outputs = Vec::new();
        let Some(mates) = &mut self.mates else { return };
        if let Some((to, wanted)) = mates.lists.tick(now) {
            mates.node.request_list_pieces(now, to, wanted, &mut outputs);
        }
        mates.shares.observe(now, mates.node.counts());
        let divisor = mates.shares.divisor(now);
        self.dispatcher.set_forwarder_count(Some(divisor));
        self.carry_out(now, outputs, out);
    }

    /// First calls wait for moments of their own while many start, and so does what the journal held.
    fn hold_back(&mut self, now: Micros, world: &World) {
        let Some(mates) = &mut self.mates else { return };
        let first = mates.ramp.send_rate(now);
        self.dispatcher.set_initial_rate(first);
        if self.knows && first.is_some() {
            let destinations = (0..world.endpoints.len() as u64).map(DestinationId);
            for (destination, until) in mates.ramp.delays(now, mates.among, destinations) {
                self.events.push(Event::RetryAfter(EndpointId(destination.0), until.minus(now)));
            }
        }
        let starting = mates.among.starting;
        let Some(replay) = &mut self.replay else { return };
        replay.set_starting(starting);
        let released = replay.release(now);
        if replay.is_empty() {
            self.replay = None;
        }
        released.into_iter().for_each(|id| self.restore(world, now, id.0));
    }

    /// Answers that are there, or are no longer waited for.
    fn hear(&mut self, now: Micros, world: &mut World) {
        while let Some(entry) = self.out.first_entry().filter(|entry| entry.key().0 <= now) {
            let Out { id, attempt, sent_at, to, answer, timeout } = entry.remove();
            let late = answer.after > timeout;
            let outcome = if late { AttemptOutcome::TimedOut } else { answer.outcome };
            let met =
                !matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimitReached);
            if outcome == AttemptOutcome::Delivered {
                world.end(id, |message| message.delivered += 1);
            } else if !outcome.never_ran() {
                let ran = (sent_at, EndpointId(to as u64));
                world.messages[id as usize].may_have_run.get_or_insert(ran);
            }
            if late {
                world.endpoints[to].close(self.index, 1);
            } else if met {
                self.idle[to].push(now.plus(Micros(8_000_000)));
            }
            let endpoint = EndpointId(to as u64);
            let report = answer.report.filter(|_| !late);
            self.events.extend(report.map(|report| Event::Report(endpoint, report)));
            let closed = outcome == AttemptOutcome::Delivered;
            let spent = now.minus(sent_at);
            self.events.push(Event::AttemptEnded { id: MessageId(id), attempt, outcome, spent, closed });
        }
        for (to, idle) in self.idle.iter_mut().enumerate() {
            let before = idle.len();
            idle.retain(|&until| until > now);
            world.endpoints[to].close(self.index, before - idle.len());
        }
    }

    /// What clients hand in: the front sends none to a forwarder that is not ready.
    fn take_on(&mut self, now: Micros, world: &mut World) {
        while self.next_message <= now && self.next_message < world.until {
            let pause = (2.0 * self.random.f64() * world.every.0 as f64) as u64;
            self.next_message = self.next_message.plus(Micros(pause.max(1)));
            if !self.life.accepts_clients() {
                continue;
            }
            let to = self.random.usize(0..world.endpoints.len());
            let id = world.take_on(now, self.index, to, self.random.bool());
            self.attempts.insert(id, 0);
            if let Some(replay) = &mut self.replay {
                replay.submitted(DestinationId(to as u64), MessageId(id));
            }
            if let Some(mates) = &mut self.mates {
                mates.ramp.message_waiting(now, DestinationId(to as u64));
            }
            let message = handed_in(&world.messages[id as usize], now, false);
            self.events.push(Event::Message(MessageId(id), message));
        }
    }

    fn act(&mut self, now: Micros, action: Action, world: &mut World) {
        match action {
            Action::Send { id, endpoint, timeout, .. } => {
                let to = endpoint.0 as usize;
                let new = self.idle[to].pop().is_none();
                if !std::mem::replace(&mut self.met[to], true) && self.counted {
                    world.first_calls[to].push(now);
                }
                let answer = world.endpoints[to].call(now, self.index, new);
                let message = &mut world.messages[id.0 as usize];
                message.attempts += 1;
                message.ran += u32::from(answer.ran);
                if let Some(replay) = &mut self.replay {
                    replay.sent_or_ended(DestinationId(to as u64), id);
                }
                let attempts = self.attempts.entry(id.0).or_default();
                let attempt = std::mem::replace(attempts, *attempts + 1);
                self.calls += 1;
                let at = now.plus(answer.after.min(timeout));
                let out = Out { id: id.0, attempt, sent_at: now, to, answer, timeout };
                self.out.insert((at, self.calls), out);
            }
            Action::Reject { id, .. } => world.end(id.0, |message| message.refused += 1),
            Action::Fail(id) => world.end(id.0, |message| message.failed += 1),
            Action::WakeIn(delay) => {
                let at = now.plus(delay);
                self.wake_at = Some(self.wake_at.map_or(at, |known| known.min(at)));
            }
            Action::CloseIdle(endpoint) => {
                let closed = std::mem::take(&mut self.idle[endpoint.0 as usize]).len();
                world.endpoints[endpoint.0 as usize].close(self.index, closed);
            }
            // Nobody calls an attempt off here: the settings' slots are never short.
            Action::Cancel { .. } | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn carry_out(&mut self, now: Micros, outputs: Vec<Output>, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let Some(mates) = &mut self.mates else { return };
        let mut changed = false;
        let mut more = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, bytes } => out.push((to, bytes)),
                Output::Changed(_) => changed = true,
                Output::ListAnnounced(from, holding) => mates.lists.announced(now, from, holding),
                Output::ListRequested(to, wanted) => {
                    for (index, count, bytes) in mates.lists.send_pieces(now, wanted) {
                        mates.node.send_list_piece(now, to, (wanted.edition, index, count), bytes, &mut more);
                    }
                }
                Output::ListPiece { from, edition, index, count, bytes } => {
                    let which = (edition, index.into(), count.into());
                    match mates.lists.piece(now, from, which, &bytes) {
                        PieceResult::Request(to, wanted) => {
                            mates.node.request_list_pieces(now, to, wanted, &mut more)
                        }
                        PieceResult::Complete(edition, bytes) => mates.lists.accepted(edition, bytes),
                        PieceResult::Nothing | PieceResult::Mismatch(_) => {}
                    }
                }
                Output::NameConflict(_) | Output::GenerationRaised(_) | Output::MaintenancePart(..) => {}
            }
        }
        for output in more {
            if let Output::Send { to, bytes } = output {
                out.push((to, bytes));
            }
        }
        if changed {
            mates.lists.members_changed(now, mates.node.live_names());
            mates.among = mates.node.rank_among_started(now.minus(STARTING_FOR).0);
        }
    }

    /// When its next turn is due.
    pub fn due(&self, now: Micros, world: &World) -> Micros {
        let never = Micros(u64::MAX);
        let may = self.mates.as_ref().is_none_or(|mates| mates.lists.may_call_discovery(now));
        let mut due = self.watch.due(may);
        if let Some(mates) = &self.mates {
            due = due.min(mates.node.next_wake()).min(mates.lists.due(now).unwrap_or(never));
        }
        due = due.min(self.life.due(now).unwrap_or(never));
        due = due.min(self.wake_at.unwrap_or(never));
        due = due.min(self.out.first_key_value().map_or(never, |(key, _)| key.0));
        due = due.min(self.replay.as_ref().and_then(Replay::due).unwrap_or(never));
        if self.next_message < world.until {
            due = due.min(self.next_message);
        }
        due.max(now.plus(Micros(100)))
    }
}

fn handed_in(message: &Message, now: Micros, again: bool) -> Submission {
    Submission {
        destination: DestinationId(message.to as u64),
        time_left: message.deadline.minus(now),
        class: if message.payment { PAYMENT } else { SAFE },
        key: None,
        tenant: 0,
        resubmitted: again,
    }
}
