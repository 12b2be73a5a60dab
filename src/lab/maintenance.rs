//! `cedarwharf lab maintenance`: runs a fleet that takes its forwarders out of service one after another, on
//! simulated time, while some crash, are stopped or are partitioned. Membership, agreement and the lifecycle
//! of each process are the program's own cores. The report counts what each process does, not what the ledger
//! records of it.

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

/// Kinds of faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Lease holders crash; each restarts after three windows.
    pub crash: bool,
    /// Lease holders are stopped for two windows, then continue.
    pub stall: bool,
    /// The fleet is repeatedly partitioned into two groups; of five voters, three are in one and two in the
    /// other.
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
    /// Seed of all random choices.
    pub seed: u64,
    #[allow(missing_docs)]
    pub faults: Faults,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// Longest time that each forwarder is out of service; the work takes 30% to 80% of it.
    pub window: Micros,
    /// Longest simulated time after the request.
    pub duration: Micros,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub forwarders: usize,
    pub voters: usize,
    pub at_once: u32,
    pub seed: u64,
    pub loss: f64,
    /// Largest number of forwarders draining or down for work at the same time: never above `at_once`.
    pub max_out_at_once: usize,
    /// Number of checks that found more than `at_once` forwarders out of service.
    pub violations: usize,
    /// Forwarders that were out of service and returned.
    pub completed: usize,
    /// Forwarders written off: they died, and their windows passed.
    pub written_off: usize,
    /// Live forwarders of the plan that never went out of service.
    pub stuck: usize,
    /// Smallest share of the fleet that was ready at any time after the request; all have started by then.
    pub capacity_min_share: f64,
    /// Time from the request until the plan was completed; `None` if it was not.
    pub duration_s: Option<f64>,
    /// Sum of the windows of all forwarders, `at_once` at a time.
    pub windows_s: f64,
    pub crashes: usize,
    pub stalls: usize,
    pub cuts: usize,
    /// Changes of the ledger.
    pub changes: u64,
    /// Datagrams per change of the ledger.
    pub datagrams_per_change: f64,
    /// Datagrams per second and forwarder that ask for a later ledger.
    pub looks_per_forwarder_s: f64,
    /// Longest time from the operators' request, made to two members at once, until its answer.
    pub request_ms: f64,
}

/// Time before the request, in which all forwarders join.
const WARM_UP: Micros = Micros(8_000_000);
/// Time after which a draining forwarder has no clients left.
const DRAIN_TIME: Micros = Micros(3_500_000);
/// Time after which a started forwarder has its full send rate.
const SETTLE_TIME: Micros = Micros(5_000_000);

struct NodeView<'a>(&'a Node);

impl FleetView for NodeView<'_> {
    fn state(&self, name: &str) -> Option<State> {
        self.0.state_of(name).map(|(.., state)| state)
    }

    fn counts(&self) -> (u32, u32) {
        let MemberCounts { alive, suspect, dead, .. } = self.0.counts();
        ((alive + suspect + dead) as u32, alive as u32)
    }
}

/// One process of a forwarder, from its start until it crashes.
struct Process {
    index: usize,
    node: Node,
    agent: Agent,
    assembly: Assembly,
    life: Lifecycle,
    started_at: Micros,
    drained_at: Option<Micros>,
    /// Time at which the work on the forwarder is done.
    done_at: Option<Micros>,
    agent_outputs: Vec<Output>,
}

/// State that outlives the processes, and the counts of the run.
struct World {
    /// State of each voter's acceptor, as stored on its disk.
    stored_acceptors: Vec<Option<Acceptor>>,
    names: Vec<String>,
    /// Datagrams of the agreement on changes.
    agreement_datagrams: u64,
    /// Datagrams that ask for a later ledger.
    query_datagrams: u64,
    /// Time of the operators' request.
    requested_at: Micros,
    /// Longest time until an answer to the request.
    longest_request: Micros,
    /// The latest ledger that any forwarder knows.
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
        let acceptor = Some(world.stored_acceptors[index].clone().unwrap_or_default());
        let agent = Agent::new((&name(index), now.0.max(1)), &voters, acceptor, None, seed, now);
        let (assembly, life) = (Assembly::default(), Lifecycle::default());
        let (drained_at, done_at, agent_outputs) = (None, None, Vec::new());
        Process { index, node, agent, assembly, life, started_at: now, drained_at, done_at, agent_outputs }
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
                membership::Output::MaintenancePart(from, fragment) => {
                    let encoded = self.assembly.add_fragment(now, &from, fragment);
                    let message =
                        encoded.and_then(|bytes| ciborium::from_reader::<Message, _>(&bytes[..]).ok());
                    if let Some(message) = message {
                        self.agent.receive(now, &from, message, &mut self.agent_outputs);
                    }
                }
                _ => {}
            }
        }
    }

    /// One loop iteration: carries out what is due, in the order of the program's loop.
    fn iterate(&mut self, now: Micros, plan: &Plan, world: &mut World, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut outputs = Vec::new();
        if now >= self.node.next_wake() {
            self.node.tick(now, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let draining = self.life.stage() == Stage::Draining;
        let drained = draining && self.drained_at.is_some_and(|at| now >= at);
        let process = ProcessState {
            in_service: self.life.accepts_clients(),
            settled: now >= self.started_at.plus(SETTLE_TIME),
            draining,
            drained,
        };
        self.agent.tick(now, process, &NodeView(&self.node), &mut self.agent_outputs);
        // The operators end the work well before the window ends.
        if self.done_at.is_some_and(|at| now >= at) && drained {
            self.done_at = None;
            let _ = self.life.stop_drain();
        }
        let mut queue = VecDeque::from(std::mem::take(&mut self.agent_outputs));
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Persist(acceptor) => world.stored_acceptors[self.index] = Some(acceptor),
                Output::Send(name, message) if name == world.names[self.index] => {
                    let mut outputs = Vec::new();
                    self.agent.receive(now, &name, message, &mut outputs);
                    queue.extend(outputs);
                }
                Output::Send(name, message) => {
                    let mut bytes = Vec::new();
                    let _ = ciborium::into_writer(&message, &mut bytes);
                    let mut outputs = Vec::new();
                    let is_query = matches!(message, Message::LedgerQuery(_));
                    for fragment in split(&bytes).into_iter().flatten() {
                        let count = match is_query {
                            true => &mut world.query_datagrams,
                            false => &mut world.agreement_datagrams,
                        };
                        *count += 1;
                        self.node.send_maintenance_part(now, &name, fragment, &mut outputs);
                    }
                    self.carry_out(now, outputs, out);
                }
                Output::Drain(fence) => {
                    self.life.start_maintenance_drain(now);
                    // The work takes 300 to 799 thousandths of the window, derived from the lease and the
                    // seed.
                    let thousandths = 300 + (fence.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ plan.seed) % 500;
                    self.drained_at = Some(now.plus(DRAIN_TIME));
                    self.done_at = Some(now.plus(Micros(plan.window.0 / 1_000 * thousandths)));
                }
                Output::EndDrain => {
                    self.life.stop_maintenance_drain();
                    self.done_at = None;
                }
                Output::Answer(..) => {
                    world.longest_request = world.longest_request.max(now.minus(world.requested_at));
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
        if !self.agent_outputs.is_empty() {
            due = now;
        }
        due.max(now.plus(Micros(100)))
    }
}

/// Runs the plan on simulated time.
pub fn run(plan: &Plan) -> Report {
    let n = plan.forwarders;
    let mut random = fastrand::Rng::with_seed(plan.seed ^ 0x006d_6169_6e74);
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let mut world = World {
        stored_acceptors: vec![None; n],
        names: (0..n).map(name).collect(),
        agreement_datagrams: 0,
        query_datagrams: 0,
        requested_at: Micros(0),
        longest_request: Micros(0),
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
    let mut requested = None;
    // When each crashed process restarts.
    let mut restart_at: Vec<Option<Micros>> = vec![None; n];
    // Until when each process is stopped, and the end of its lease.
    let mut stopped: Vec<Option<(Micros, Micros)>> = vec![None; n];
    let mut partition_until: Option<Micros> = None;
    let mut next_fault = WARM_UP.plus(Micros(plan.window.0 / 2));
    let mut check_at = Micros(100_000);
    let mut datagrams = Vec::new();
    loop {
        let Some((now, due)) = net.next(check_at) else {
            let now = check_at;
            check_at = check_at.plus(Micros(100_000));
            if now >= end || report.duration_s.is_some() {
                break;
            }
            if now >= WARM_UP && requested.is_none() {
                // The same request is made to two members at once.
                (requested, world.requested_at) = (Some(now), now);
                let alive = world.names.iter().cloned().collect();
                let body = format!(
                    r#"{{"set":"all","at_most":{},"window_s":{},"deadline_s":{}}}"#,
                    plan.at_once,
                    plan.window.0 as f64 / 1e6,
                    plan.duration.0 as f64 / 1e6
                );
                let maintenance_plan =
                    request::parse(body.as_bytes(), &Fleet { alive, size: n }, &Ledger::default(), now);
                let maintenance_plan = maintenance_plan.expect("the request is valid");
                for index in [0, n - 1] {
                    if let Some(process) = &mut fleet[index] {
                        process.agent.submit(now, index as u64, Change::AddPlan(maintenance_plan.clone()));
                        net.wake(index, now);
                    }
                }
            }
            for index in 0..n {
                if restart_at[index].is_some_and(|at| now >= at) {
                    restart_at[index] = None;
                    net.restart(index);
                    net.wake(index, now);
                }
                if stopped[index].is_some_and(|(until, _)| now >= until) {
                    stopped[index] = None;
                }
            }
            if partition_until.is_some_and(|at| now >= at) {
                partition_until = None;
                net.set_groups(None);
            }
            if requested.is_some() && now >= next_fault {
                next_fault = now.plus(Micros(random.u64(plan.window.0 / 2..plan.window.0 * 2)));
                let lease_holder = (0..n).find(|&index| {
                    fleet[index].as_ref().is_some_and(|process| {
                        process.agent.own_lease().is_some_and(|mine| mine.stage.is_out())
                    }) && stopped[index].is_none()
                });
                let enabled = [plan.faults.crash, plan.faults.stall, plan.faults.partition];
                let kinds: Vec<usize> = (0..3).filter(|&kind| enabled[kind]).collect();
                match (kinds.get(random.usize(0..kinds.len().max(1))), lease_holder) {
                    (Some(0), Some(index)) => {
                        report.crashes += 1;
                        net.crash(index);
                        fleet[index] = None;
                        restart_at[index] = Some(now.plus(Micros(plan.window.0 * 3)));
                    }
                    (Some(1), Some(index)) => {
                        report.stalls += 1;
                        let until = now.plus(Micros(plan.window.0 * 2));
                        let lease_end = fleet[index]
                            .as_ref()
                            .and_then(|process| process.agent.own_lease())
                            .map_or(now, |mine| mine.until);
                        net.stop(index, until);
                        stopped[index] = Some((until, lease_end));
                    }
                    (Some(2), _) if partition_until.is_none() => {
                        report.cuts += 1;
                        // Group 1 has a minority of the voters, chosen at random each time.
                        let mut groups = vec![0u8; n];
                        let voters: Vec<usize> = (0..plan.voters).collect();
                        let first = random.usize(0..plan.voters);
                        for offset in 0..plan.voters / 2 {
                            groups[voters[(first + offset) % plan.voters]] = 1;
                        }
                        for group in groups.iter_mut().skip(plan.voters) {
                            *group = u8::from(random.u8(0..3) == 0);
                        }
                        net.set_groups(Some(groups));
                        partition_until =
                            Some(now.plus(Micros(random.u64(plan.window.0 / 2..plan.window.0 * 2))));
                    }
                    _ => {}
                }
            }
            // A stopped process counts as dead, not as out, once its lease has ended.
            let is_out = |index: &usize| {
                let lease_ended = stopped[*index].is_some_and(|(_, lease_end)| now >= lease_end);
                fleet[*index].as_ref().is_some_and(|process| process.life.stage() == Stage::Draining)
                    && !lease_ended
            };
            let out_count = (0..n).filter(is_out).count();
            report.max_out_at_once = report.max_out_at_once.max(out_count);
            report.violations += usize::from(out_count > plan.at_once as usize);
            let serving = (0..n).filter(|&index| {
                stopped[index].is_none()
                    && fleet[index].as_ref().is_some_and(|process| process.life.accepts_clients())
            });
            if requested.is_some() {
                report.capacity_min_share = report.capacity_min_share.min(serving.count() as f64 / n as f64);
            }
            let first_plan = world.ledger.plans.first();
            let completed = first_plan
                .is_some_and(|plan| plan.statuses.iter().all(|status| *status != MemberStatus::Pending));
            if let (true, Some(requested), true) = (completed, requested, world.ledger.leases.is_empty()) {
                report.duration_s = Some((now.minus(requested).0 / 100_000) as f64 / 10.0);
            }
            continue;
        };
        let index = match due {
            Due::Datagram { to, from, bytes } => {
                let Some(process) = &mut fleet[to] else { continue };
                process.receive(now, from, &bytes, &mut datagrams);
                to
            }
            Due::Wake { process } => {
                if fleet[process].is_none() {
                    if restart_at[process].is_some() {
                        continue;
                    }
                    fleet[process] = Some(Process::new(plan, &world, process, now));
                }
                process
            }
        };
        let Some(process) = &mut fleet[index] else { continue };
        process.iterate(now, plan, &mut world, &mut datagrams);
        net.wake(index, process.due(now));
        for (to, bytes) in datagrams.drain(..) {
            net.send(now, index, usize::from(to.port()) - 20_000, bytes);
        }
    }
    let maintenance_plan = world.ledger.plans.first();
    let count_of = |wanted: MemberStatus| {
        maintenance_plan.map_or(0, |plan| plan.statuses.iter().filter(|status| **status == wanted).count())
    };
    (report.completed, report.written_off) =
        (count_of(MemberStatus::Returned), count_of(MemberStatus::WrittenOff));
    report.stuck = maintenance_plan.map_or(n, |plan| {
        let is_stuck = |(position, name): (usize, &String)| {
            let index = world.names.iter().position(|other| other == name);
            plan.statuses[position] == MemberStatus::Pending
                && index.is_some_and(|index| fleet[index].is_some())
        };
        plan.names.iter().enumerate().filter(|member| is_stuck(*member)).count()
    });
    report.capacity_min_share = (report.capacity_min_share * 1e3).round() / 1e3;
    let round_to_tenths = |value: f64| (value * 10.0).round() / 10.0;
    report.datagrams_per_change =
        round_to_tenths(world.agreement_datagrams as f64 / world.ledger.version.max(1) as f64);
    report.looks_per_forwarder_s =
        round_to_tenths(world.query_datagrams as f64 / n as f64 / (check_at.0 as f64 / 1e6));
    report.request_ms = round_to_tenths(world.longest_request.0 as f64 / 1e3);
    report.changes = world.ledger.version;
    report
}

#[cfg(test)]
mod tests;
