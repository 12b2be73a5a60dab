//! `cedarwharf lab maintenance`: a fleet that takes its forwarders out for work, on simulated time, while some of them crash, are
//! stopped, or are cut off. Membership, agreement and the life of each process are the program's own cores; counted is what
//! each of them does, not what the ledger says of it.

use super::forwarder::address;
use super::network::{Due, Fault, Network};
use crate::lifecycle::{Lifecycle, Stage};
use crate::maintenance::agent::{Agent, FleetView, Output, ProcessState};
use crate::maintenance::ledger::{Change, Ledger, MemberStatus};
use crate::maintenance::parts::{split, Assembly};
use crate::maintenance::register::{Acceptor, Message};
use crate::maintenance::request::{self, Fleet};
use crate::membership::{self, Identity, MemberCounts, Node, State};
use crate::Micros;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What goes wrong on the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Holders of leases die; each comes back after three windows.
    pub crash: bool,
    /// Holders are stopped for two windows, and go on.
    pub stall: bool,
    /// The fleet is cut in two, the voters 3 and 2, again and again.
    pub partition: bool,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    #[allow(missing_docs)]
    pub forwarders: usize,
    #[allow(missing_docs)]
    pub voters: usize,
    #[allow(missing_docs)]
    pub at_once: u32,
    /// Of every chance in the run.
    pub seed: u64,
    #[allow(missing_docs)]
    pub faults: Faults,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// Each is out for so long at the most; work takes three to eight tenths of it.
    pub window: Micros,
    /// After the request.
    pub duration: Micros,
}

/// What a run shows.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub forwarders: usize,
    pub voters: usize,
    pub at_once: u32,
    pub seed: u64,
    pub loss: f64,
    /// Draining, or down for work, at one moment: never above `at_once`.
    pub max_out_at_once: usize,
    /// Times at which more were.
    pub violations: usize,
    /// Forwarders that were out and came back.
    pub completed: usize,
    /// Written off: they died, and their windows passed.
    pub written_off: usize,
    /// In the round, alive, and never out.
    pub stuck: usize,
    /// The least share of the fleet that was ready at one moment, after all had started.
    pub capacity_min_share: f64,
    /// From the request until the round was over; none where it was not.
    pub duration_s: Option<f64>,
    /// What the windows of all add up to, `at_once` at a time.
    pub windows_s: f64,
    pub crashes: usize,
    pub stalls: usize,
    pub cuts: usize,
    /// Changes of the ledger; datagrams for each of them, and in a second for each forwarder that asks whether there is a later
    /// ledger; from staff's request to its answer, at two members at once, at most.
    pub changes: u64,
    pub datagrams_per_change: f64,
    pub looks_per_forwarder_s: f64,
    pub request_ms: f64,
}

/// Before the request, for all to know all.
const WARM_UP: Micros = Micros(8_000_000);
/// A drain's clients are gone after so long.
const SENT_AWAY: Micros = Micros(3_500_000);
/// A start's own pace is there after so long.
const SETTLES: Micros = Micros(5_000_000);

struct Sees<'a>(&'a Node);

impl FleetView for Sees<'_> {
    fn state(&self, name: &str) -> Option<State> {
        self.0.state_of(name).map(|(.., state)| state)
    }

    fn counts(&self) -> (u32, u32) {
        let MemberCounts { alive, suspect, dead, .. } = self.0.counts();
        ((alive + suspect + dead) as u32, alive as u32)
    }
}

/// One start of one process.
struct Process {
    index: usize,
    node: Node,
    agent: Agent,
    assembly: Assembly,
    life: Lifecycle,
    began: Micros,
    drained_at: Option<Micros>,
    /// Work is done then.
    done_at: Option<Micros>,
    inbox: Vec<Output>,
}

/// What goes beyond one process.
struct World {
    /// What each voter has on its disk.
    kept: Vec<Option<Acceptor>>,
    names: Vec<String>,
    /// Datagrams: to agree, and to ask for a later ledger and tell one.
    agreed: u64,
    looked: u64,
    /// When staff asked, and the longest that they waited.
    asked_at: Micros,
    answered_after: Micros,
    ledger: Ledger,
}

fn name(index: usize) -> String {
    format!("m{index}")
}

impl Process {
    fn new(plan: &Plan, world: &World, index: usize, now: Micros) -> Process {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(index as u64) ^ now.0;
        let me = Identity { name: name(index), address: address(index), generation: now.0.max(1) };
        let seeds = (0..plan.forwarders.min(3)).map(address).collect();
        let node = Node::new(me, "lab", None, membership::Settings::default(), seeds, seed, now);
        let voters: Vec<String> = (0..plan.voters).map(name).collect();
        let acceptor = Some(world.kept[index].clone().unwrap_or_default());
        let agent = Agent::new((&name(index), now.0.max(1)), &voters, acceptor, None, seed, now);
        let (assembly, life) = (Assembly::default(), Lifecycle::default());
        let (drained_at, done_at, inbox) = (None, None, Vec::new());
        Process { index, node, agent, assembly, life, began: now, drained_at, done_at, inbox }
    }

    fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        self.node.receive(now, address(from), bytes, &mut outputs);
        self.carry_out(now, outputs, out);
    }

    fn carry_out(
        &mut self,
        now: Micros,
        outputs: Vec<membership::Output>,
        out: &mut Vec<(SocketAddr, Vec<u8>)>,
    ) {
        for output in outputs {
            match output {
                membership::Output::Send { to, bytes } => out.push((to, bytes)),
                membership::Output::MaintenancePart(from, part) => {
                    let whole = self.assembly.add_fragment(now, &from, part);
                    let message =
                        whole.and_then(|bytes| ciborium::from_reader::<Message, _>(&bytes[..]).ok());
                    if let Some(message) = message {
                        self.agent.receive(now, &from, message, &mut self.inbox);
                    }
                }
                _ => {}
            }
        }
    }

    /// What is due, as the program's loop does it.
    fn turn(&mut self, now: Micros, plan: &Plan, world: &mut World, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        if now >= self.node.next_wake() {
            self.node.tick(now, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let draining = self.life.stage() == Stage::Draining;
        let drained = draining && self.drained_at.is_some_and(|at| now >= at);
        let process = ProcessState {
            in_service: self.life.accepts_clients(),
            settled: now >= self.began.plus(SETTLES),
            draining,
            drained,
        };
        self.agent.tick(now, process, &Sees(&self.node), &mut self.inbox);
        // Work ends by staff's word, well before the window does.
        if self.done_at.is_some_and(|at| now >= at) && drained {
            self.done_at = None;
            let _ = self.life.stop_drain();
        }
        let mut queue = VecDeque::from(std::mem::take(&mut self.inbox));
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Persist(acceptor) => world.kept[self.index] = Some(acceptor),
                Output::Send(name, message) if name == world.names[self.index] => {
                    let mut more = Vec::new();
                    self.agent.receive(now, &name, message, &mut more);
                    queue.extend(more);
                }
                Output::Send(name, message) => {
                    let mut bytes = Vec::new();
                    let _ = ciborium::into_writer(&message, &mut bytes);
                    let mut outputs = Vec::new();
                    let look = matches!(message, Message::LedgerQuery(_));
                    for part in split(&bytes).into_iter().flatten() {
                        *(if look { &mut world.looked } else { &mut world.agreed }) += 1;
                        self.node.send_maintenance_part(now, &name, part, &mut outputs);
                    }
                    self.carry_out(now, outputs, out);
                }
                Output::Drain(fence) => {
                    self.life.start_drain(now);
                    let share = (fence.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ plan.seed) % 500;
                    self.drained_at = Some(now.plus(SENT_AWAY));
                    self.done_at = Some(now.plus(Micros(plan.window.0 / 1_000 * (300 + share))));
                }
                Output::EndDrain => {
                    let _ = self.life.stop_drain();
                    self.done_at = None;
                }
                Output::Answer(..) => {
                    world.answered_after = world.answered_after.max(now.minus(world.asked_at));
                }
                Output::Log(_) => {}
            }
        }
        let (ledger, _) = self.agent.ledger();
        if ledger.version > world.ledger.version {
            world.ledger = ledger.clone();
        }
    }

    fn due(&self, now: Micros) -> Micros {
        let mut due = self.node.next_wake().min(self.agent.due());
        due = due.min(self.done_at.unwrap_or(Micros(u64::MAX)));
        due = due.min(self.drained_at.filter(|&at| at > now).unwrap_or(Micros(u64::MAX)));
        if !self.inbox.is_empty() {
            due = now;
        }
        due.max(now.plus(Micros(100)))
    }
}

/// Runs the plan.
pub fn run(plan: &Plan) -> Report {
    let n = plan.forwarders;
    let mut random = fastrand::Rng::with_seed(plan.seed ^ 0x006d_6169_6e74);
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let mut world = World {
        kept: vec![None; n],
        names: (0..n).map(name).collect(),
        agreed: 0,
        looked: 0,
        asked_at: Micros(0),
        answered_after: Micros(0),
        ledger: Ledger::default(),
    };
    let mut fleet: Vec<Option<Process>> = (0..n).map(|_| None).collect();
    for index in 0..n {
        net.wake(index, Micros(1 + index as u64 * 2_000));
    }
    let end = WARM_UP.plus(plan.duration);
    let mut report = Report {
        forwarders: n,
        voters: plan.voters,
        at_once: plan.at_once,
        seed: plan.seed,
        loss: plan.fault.loss,
        max_out_at_once: 0,
        violations: 0,
        completed: 0,
        written_off: 0,
        stuck: 0,
        capacity_min_share: 1.0,
        duration_s: None,
        windows_s: plan.window.0 as f64 / 1e6 * (n as f64 / f64::from(plan.at_once.max(1))).ceil(),
        crashes: 0,
        stalls: 0,
        cuts: 0,
        changes: 0,
        datagrams_per_change: 0.0,
        looks_per_forwarder_s: 0.0,
        request_ms: 0.0,
    };
    let mut asked = None;
    // When a crashed process comes back, until when one is stopped and by when its lease had ended, and until when a cut stands.
    let mut back: Vec<Option<Micros>> = vec![None; n];
    let mut stopped: Vec<Option<(Micros, Micros)>> = vec![None; n];
    let mut cut_until: Option<Micros> = None;
    let mut next_fault = WARM_UP.plus(Micros(plan.window.0 / 2));
    let mut step = Micros(100_000);
    let mut out = Vec::new();
    loop {
        let Some((now, due)) = net.next(step) else {
            let now = step;
            step = step.plus(Micros(100_000));
            if now >= end || report.duration_s.is_some() {
                break;
            }
            if now >= WARM_UP && asked.is_none() {
                // Given to two members at once, in the same words.
                (asked, world.asked_at) = (Some(now), now);
                let alive = world.names.iter().cloned().collect();
                let body = format!(
                    r#"{{"set":"all","at_most":{},"window_s":{},"deadline_s":{}}}"#,
                    plan.at_once,
                    plan.window.0 as f64 / 1e6,
                    plan.duration.0 as f64 / 1e6
                );
                let round =
                    request::parse(body.as_bytes(), &Fleet { alive, size: n }, &Ledger::default(), now);
                let round = round.expect("the plan's round stands");
                for index in [0, n - 1] {
                    if let Some(one) = &mut fleet[index] {
                        one.agent.submit(now, index as u64, Change::AddPlan(round.clone()));
                        net.wake(index, now);
                    }
                }
            }
            for index in 0..n {
                if back[index].is_some_and(|at| now >= at) {
                    back[index] = None;
                    net.restart(index);
                    net.wake(index, now);
                }
                if stopped[index].is_some_and(|(until, _)| now >= until) {
                    stopped[index] = None;
                }
            }
            if cut_until.is_some_and(|at| now >= at) {
                cut_until = None;
                net.set_groups(None);
            }
            if asked.is_some() && now >= next_fault {
                next_fault = now.plus(Micros(random.u64(plan.window.0 / 2..plan.window.0 * 2)));
                let holder = (0..n).find(|&index| {
                    fleet[index]
                        .as_ref()
                        .is_some_and(|one| one.agent.own_lease().is_some_and(|mine| mine.stage.is_out()))
                        && stopped[index].is_none()
                });
                let wanted = [plan.faults.crash, plan.faults.stall, plan.faults.partition];
                let kinds: Vec<usize> = (0..3).filter(|&kind| wanted[kind]).collect();
                match (kinds.get(random.usize(0..kinds.len().max(1))), holder) {
                    (Some(0), Some(index)) => {
                        report.crashes += 1;
                        net.crash(index);
                        fleet[index] = None;
                        back[index] = Some(now.plus(Micros(plan.window.0 * 3)));
                    }
                    (Some(1), Some(index)) => {
                        report.stalls += 1;
                        let until = now.plus(Micros(plan.window.0 * 2));
                        let lease = fleet[index]
                            .as_ref()
                            .and_then(|one| one.agent.own_lease())
                            .map_or(now, |mine| mine.until);
                        net.stop(index, until);
                        stopped[index] = Some((until, lease));
                    }
                    (Some(2), _) if cut_until.is_none() => {
                        report.cuts += 1;
                        // The smaller part has a minority of the voters, drawn each time.
                        let mut groups = vec![0u8; n];
                        let minority: Vec<usize> = (0..plan.voters).collect();
                        let first = random.usize(0..plan.voters);
                        for place in 0..plan.voters / 2 {
                            groups[minority[(first + place) % plan.voters]] = 1;
                        }
                        for group in groups.iter_mut().skip(plan.voters) {
                            *group = u8::from(random.u8(0..3) == 0);
                        }
                        net.set_groups(Some(groups));
                        cut_until = Some(now.plus(Micros(random.u64(plan.window.0 / 2..plan.window.0 * 2))));
                    }
                    _ => {}
                }
            }
            let draining = |index: &usize| {
                let dead_in_effect = stopped[*index].is_some_and(|(_, lease)| now >= lease);
                fleet[*index].as_ref().is_some_and(|one| one.life.stage() == Stage::Draining)
                    && !dead_in_effect
            };
            let count = (0..n).filter(draining).count();
            report.max_out_at_once = report.max_out_at_once.max(count);
            report.violations += usize::from(count > plan.at_once as usize);
            let serving = (0..n).filter(|&index| {
                stopped[index].is_none()
                    && fleet[index].as_ref().is_some_and(|one| one.life.accepts_clients())
            });
            if asked.is_some() {
                report.capacity_min_share = report.capacity_min_share.min(serving.count() as f64 / n as f64);
            }
            let round = world.ledger.plans.first();
            let over =
                round.is_some_and(|round| round.statuses.iter().all(|done| *done != MemberStatus::Pending));
            if let (true, Some(asked), true) = (over, asked, world.ledger.leases.is_empty()) {
                report.duration_s = Some((now.minus(asked).0 / 100_000) as f64 / 10.0);
            }
            continue;
        };
        let index = match due {
            Due::Datagram { to, from, bytes } => {
                let Some(one) = &mut fleet[to] else { continue };
                one.receive(now, from, &bytes, &mut out);
                to
            }
            Due::Wake { process } => {
                if fleet[process].is_none() {
                    if back[process].is_some() {
                        continue;
                    }
                    fleet[process] = Some(Process::new(plan, &world, process, now));
                }
                process
            }
        };
        let Some(one) = &mut fleet[index] else { continue };
        one.turn(now, plan, &mut world, &mut out);
        net.wake(index, one.due(now));
        for (to, bytes) in out.drain(..) {
            net.send(now, index, usize::from(to.port()) - 20_000, bytes);
        }
    }
    let round = world.ledger.plans.first();
    let of = |wanted: MemberStatus| {
        round.map_or(0, |round| round.statuses.iter().filter(|done| **done == wanted).count())
    };
    (report.completed, report.written_off) = (of(MemberStatus::Returned), of(MemberStatus::WrittenOff));
    report.stuck = round.map_or(n, |round| {
        let never = |(place, name): (usize, &String)| {
            let index = world.names.iter().position(|one| one == name);
            round.statuses[place] == MemberStatus::Pending
                && index.is_some_and(|index| fleet[index].is_some())
        };
        round.names.iter().enumerate().filter(|one| never(*one)).count()
    });
    report.capacity_min_share = (report.capacity_min_share * 1e3).round() / 1e3;
    let tenth = |value: f64| (value * 10.0).round() / 10.0;
    report.datagrams_per_change = tenth(world.agreed as f64 / world.ledger.version.max(1) as f64);
    report.looks_per_forwarder_s = tenth(world.looked as f64 / n as f64 / (step.0 as f64 / 1e6));
    report.request_ms = tenth(world.answered_after.0 as f64 / 1e3);
    report.changes = world.ledger.version;
    report
}

#[cfg(test)]
mod tests;
