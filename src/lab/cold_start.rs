//! `cedarwharf lab cold-start`: many forwarders start within a second, or most of a running fleet is killed and started again.
//! The cores of the program on simulated time: membership, the list among members, the first calls; and beside them, in the
//! same run, the same starts each on its own. Counted at a simulated list service and at simulated endpoints.

use super::network::{Due, Fault, Network};
use crate::membership::{Identity, Node, Output, Settings};
use crate::net::list::spread::Spread;
use crate::startup::lists::{Came, Lists};
use crate::startup::ramp::{Ramp, STARTING};
use crate::startup::Edition;
use crate::{DestinationId, Micros};
use serde::Serialize;
use std::collections::BTreeMap;
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

/// One experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    #[allow(missing_docs)]
    pub forwarders: usize,
    /// Destinations, one endpoint each; every forwarder has something for all of them.
    pub endpoints: usize,
    /// Of every chance in the run.
    pub seed: u64,
    #[allow(missing_docs)]
    pub service: Service,
    /// Of a running fleet, so many are killed and started again at once; none: all start from nothing.
    pub killed_share: f64,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// From the starts that are counted on.
    pub duration: Micros,
}

/// What was counted, of forwarders that know each other or of each on its own.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Counts {
    /// Calls to the list service in the first 10 s, and in the second that had the most of them.
    pub list_calls_total: usize,
    pub list_calls_peak_per_s: usize,
    /// First connections that an endpoint saw in one second, and in 100 ms, at most.
    pub endpoint_connects_peak_per_s: usize,
    pub endpoint_connects_peak_per_100ms: usize,
    /// From the start until a list serves.
    pub ready_p50_s: Option<f64>,
    pub ready_p99_s: Option<f64>,
    pub never_ready: usize,
}

/// What a run shows.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub forwarders: usize,
    pub endpoints: usize,
    pub seed: u64,
    pub list_service: String,
    pub killed_share: f64,
    pub loss: f64,
    /// Forwarders whose start is counted.
    pub started: usize,
    pub known: Counts,
    /// The same starts, each forwarder on its own: as without a membership.
    pub alone: Counts,
}

/// What the list service is taken to hold.
const LIST: &[u8] = &[b'x'; 2_500];
const EDITION: Edition = Edition { epoch: 0, generation: 7 };
/// The time in which calls are counted.
const COUNTED: u64 = 10_000_000;
/// A running fleet is killed after so long.
const RUNNING: Micros = Micros(12_000_000);
/// A watch is held so long by the service.
const HOLD: Micros = Micros(4_000_000);
/// An answer that does not come counts as failed after so long, beyond what the call may be held.
const SILENCE: Micros = Micros(1_000_000);

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 20_000 + index as u16)
}

#[derive(Default)]
struct Seen {
    calls: Vec<Micros>,
    ready: Vec<Option<Micros>>,
    connects: Vec<Vec<Micros>>,
}

fn peak(times: &[Micros], span: u64) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort();
    let mut most = 0;
    let mut from = 0;
    for (at, time) in sorted.iter().enumerate() {
        while sorted[from].0 + span <= time.0 {
            from += 1;
        }
        most = most.max(at + 1 - from);
    }
    most
}

impl Seen {
    fn counts(&self, since: Micros) -> Counts {
        let counted = |at: &&Micros| at.0 >= since.0 && at.0 < since.0 + COUNTED;
        let calls: Vec<Micros> = self.calls.iter().filter(counted).copied().collect();
        let mut ready: Vec<Micros> = self.ready.iter().flatten().copied().collect();
        ready.sort();
        let share = |share: f64| {
            let at = ((ready.len() as f64 * share).ceil() as usize).clamp(1, ready.len().max(1)) - 1;
            ready.get(at).map(|time| (time.0 as f64 / 1e3).round() / 1e3)
        };
        let most = |span| self.connects.iter().map(|times| peak(times, span)).max().unwrap_or(0);
        Counts {
            list_calls_total: calls.len(),
            list_calls_peak_per_s: peak(&calls, 1_000_000),
            endpoint_connects_peak_per_s: most(1_000_000),
            endpoint_connects_peak_per_100ms: most(100_000),
            ready_p50_s: share(0.5),
            ready_p99_s: share(0.99),
            never_ready: self.ready.iter().filter(|ready| ready.is_none()).count(),
        }
    }
}

/// A call to the list service from one forwarder: when its answer is there, and whether it is one.
struct Call {
    ends: Micros,
    answered: bool,
}

/// One forwarder's calls, as the watch makes them.
struct Watch {
    spread: Spread,
    out: Option<Call>,
    not_before: Micros,
}

impl Watch {
    fn new(siblings: usize, seed: u64, now: Micros, knows: bool) -> Watch {
        let mut spread = Spread::new(siblings as u32, seed);
        let not_before = if knows { now.plus(spread.start()) } else { now };
        Watch { spread, out: None, not_before }
    }

    /// Begins a call, or takes its end; tells whether an answer came.
    fn tick(
        &mut self,
        now: Micros,
        may: bool,
        knows: bool,
        service: Service,
        calls: &mut Vec<Micros>,
    ) -> bool {
        if let Some(call) = self.out.take_if(|call| call.ends <= now) {
            let pause = if call.answered { self.spread.go_on() } else { self.spread.after_failure() };
            self.not_before = now.plus(pause);
            return call.answered;
        }
        if self.out.is_none() && may && now >= self.not_before {
            calls.push(now);
            let held = if knows { HOLD } else { Micros(0) };
            let (after, answered) = match service {
                Service::Live => (held.plus(Micros(5_000)), true),
                Service::Slow => (held.plus(Micros(2_500_000)), held.0 + 2_500_000 < held.0 + SILENCE.0),
                Service::Silent => (held.plus(SILENCE), false),
                Service::Refusing | Service::Partial => (Micros(2_000), false),
            };
            let after = if answered { after } else { after.min(held.plus(SILENCE)) };
            self.out = Some(Call { ends: now.plus(after), answered });
        }
        false
    }

    fn due(&self, may: bool) -> Micros {
        let next = if may { self.not_before } else { Micros(u64::MAX) };
        self.out.as_ref().map_or(next, |call| call.ends)
    }
}

struct Forwarder {
    node: Node,
    lists: Lists,
    ramp: Ramp,
    watch: Watch,
    began: Micros,
    starting: usize,
    /// When its first call to each destination may go, while it waits for that.
    first: BTreeMap<DestinationId, Micros>,
    ready: Option<Micros>,
    counted: bool,
}

impl Forwarder {
    fn new(index: usize, plan: &Plan, now: Micros, knows: bool, counted: bool) -> Forwarder {
        let name = format!("m{index}");
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(index as u64) ^ now.0;
        let me = Identity { name: name.clone(), address: address(index), generation: now.0.max(1) };
        let seeds = (0..plan.forwarders.min(3)).map(address).collect();
        let node = Node::new(me, "lab", None, Settings::default(), seeds, seed, now);
        let mut lists = Lists::new("lab", &name, true, seed, now);
        if knows {
            lists.from_before(EDITION, LIST, None);
        }
        let (ramp, watch) = (Ramp::new(seed), Watch::new(plan.forwarders, seed, now, knows));
        let first = (0..plan.endpoints as u64).map(|one| (DestinationId(one), now)).collect();
        Forwarder { node, lists, ramp, watch, began: now, starting: 1, first, ready: None, counted }
    }

    /// What is due, as the program's loop does it.
    fn turn(
        &mut self,
        now: Micros,
        plan: &Plan,
        seen: &mut Seen,
        index: usize,
        out: &mut Vec<(SocketAddr, Vec<u8>)>,
    ) {
        let mut outputs = Vec::new();
        if now >= self.node.next_wake() {
            self.node.tick(now, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let mut outputs = Vec::new();
        if let Some((to, wanted)) = self.lists.tick(now) {
            self.node.ask(now, to, wanted, &mut outputs);
        }
        self.carry_out(now, outputs, out);
        let (may, knows) = (self.lists.may_ask(now), self.lists.holding().is_some());
        let before = seen.calls.len();
        if self.watch.tick(now, may, knows, plan.service, &mut seen.calls) {
            self.lists.from_discovery(now, EDITION.generation, LIST);
        }
        if seen.calls.len() > before {
            self.lists.asks(now);
        }
        self.node.hold(self.lists.holding());
        let confirmed = self.lists.confirmed().is_some();
        let held = self.lists.holding().is_some();
        if self.ready.is_none() && held && (confirmed || now >= self.began.plus(Micros(2_000_000))) {
            self.ready = Some(now.minus(self.began));
            if self.counted {
                seen.ready[index] = self.ready;
            }
        }
        if held && !self.ramp.over(now) {
            let destinations = (0..plan.endpoints as u64).map(DestinationId);
            for (destination, until) in self.ramp.waits(now, self.starting, destinations) {
                self.first.entry(destination).and_modify(|at| *at = (*at).max(until));
            }
        }
        if self.ready.is_some() {
            let due: Vec<DestinationId> =
                self.first.iter().filter(|(_, at)| **at <= now).map(|(one, _)| *one).collect();
            for destination in due {
                self.first.remove(&destination);
                if self.counted {
                    seen.connects[destination.0 as usize].push(now);
                }
            }
        }
    }

    fn carry_out(&mut self, now: Micros, outputs: Vec<Output>, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut changed = false;
        let mut more = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, bytes } => out.push((to, bytes)),
                Output::Changed(_) => changed = true,
                Output::Holds(from, holding) => self.lists.told(now, from, holding),
                Output::Asked(to, wanted) => {
                    for (index, count, bytes) in self.lists.give(wanted) {
                        self.node.give(now, to, (wanted.edition, index, count), bytes, &mut more);
                    }
                }
                Output::Piece { from, edition, index, count, bytes } => {
                    let which = (edition, index.into(), count.into());
                    match self.lists.piece(now, from, which, &bytes) {
                        Came::Ask(to, wanted) => self.node.ask(now, to, wanted, &mut more),
                        Came::Whole(edition, bytes) => self.lists.taken(edition, bytes),
                        Came::Nothing | Came::Torn(_) => {}
                    }
                }
                Output::Namesake(_) | Output::Renewed(_) => {}
            }
        }
        for output in more {
            if let Output::Send { to, bytes } = output {
                out.push((to, bytes));
            }
        }
        if changed {
            self.lists.view(now, self.node.live_names());
            self.starting = 1 + self.node.started_since(now.minus(STARTING).0);
        }
    }

    fn due(&self, now: Micros) -> Micros {
        let may = self.lists.may_ask(now);
        let lists = self.lists.due(now).unwrap_or(Micros(u64::MAX));
        let first = self.first.values().copied().filter(|_| self.ready.is_some()).min();
        let mut due = self.node.next_wake().min(lists).min(self.watch.due(may));
        due = due.min(first.unwrap_or(Micros(u64::MAX)));
        if self.ready.is_none() {
            due = due.min(self.began.plus(Micros(2_000_000)).max(now.plus(Micros(1_000))));
        }
        due.max(now.plus(Micros(1)))
    }
}

/// Runs the plan.
pub fn run(plan: &Plan) -> Report {
    let n = plan.forwarders.max(1);
    let running = plan.killed_share > 0.0;
    let counted_from = if running { RUNNING } else { Micros(1_000_000) };
    let killed = if running { ((n as f64 * plan.killed_share) as usize).min(n) } else { n };
    let mut random = fastrand::Rng::with_seed(plan.seed);
    // Who is killed is drawn; each comes back within half a second, as a site powers up within a second.
    let mut order: Vec<usize> = (0..n).collect();
    random.shuffle(&mut order);
    let spread = if running { 500_000 } else { 1_000_000 };
    let starts: BTreeMap<usize, Micros> = order
        .iter()
        .take(killed)
        .map(|&one| (one, counted_from.plus(Micros(random.u64(0..spread)))))
        .collect();
    let empty =
        || Seen { calls: Vec::new(), ready: vec![None; n], connects: vec![Vec::new(); plan.endpoints] };
    let known = known(plan, &starts, counted_from, empty());
    let alone = alone(plan, &starts, empty());
    let only = |seen: &Seen| {
        let ready = starts.keys().map(|&one| seen.ready[one]).collect();
        Seen { calls: seen.calls.clone(), ready, connects: seen.connects.clone() }
    };
    Report {
        forwarders: n,
        endpoints: plan.endpoints,
        seed: plan.seed,
        list_service: format!("{:?}", plan.service).to_lowercase(),
        killed_share: plan.killed_share,
        loss: plan.fault.loss,
        started: killed,
        known: only(&known).counts(counted_from),
        alone: only(&alone).counts(counted_from),
    }
}

/// Forwarders that know each other.
fn known(plan: &Plan, starts: &BTreeMap<usize, Micros>, counted_from: Micros, mut seen: Seen) -> Seen {
    let n = plan.forwarders.max(1);
    let running = plan.killed_share > 0.0;
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let live = Plan { service: Service::Live, ..plan.clone() };
    let mut fleet: Vec<Option<Forwarder>> = (0..n).map(|_| None).collect();
    // Each wakes for its start: at first, or again after the kill.
    for (index, place) in fleet.iter_mut().enumerate() {
        if running {
            *place = Some(Forwarder::new(index, &live, Micros(index as u64 + 1), true, false));
            net.wake(index, Micros(index as u64 + 1));
        } else {
            net.wake(index, starts[&index]);
        }
    }
    let until = counted_from.plus(plan.duration);
    let mut down = false;
    let mut out = Vec::new();
    loop {
        // The kill is at one moment for all.
        let step = if running && !down { counted_from } else { until };
        let Some((now, due)) = net.next(step) else {
            if step == until {
                return seen;
            }
            down = true;
            for (&index, &at) in starts {
                fleet[index] = None;
                net.wake(index, at);
            }
            continue;
        };
        let service = if now < counted_from { &live } else { plan };
        let index = match due {
            Due::Datagram { to, from, bytes } => {
                // One that is down hears nothing.
                let Some(one) = &mut fleet[to] else { continue };
                let mut outputs = Vec::new();
                one.node.receive(now, address(from), &bytes, &mut outputs);
                one.carry_out(now, outputs, &mut out);
                to
            }
            Due::Wake { process } => {
                if fleet[process].is_none() {
                    fleet[process] = Some(Forwarder::new(process, plan, now, running, true));
                }
                process
            }
        };
        let Some(one) = &mut fleet[index] else { continue };
        one.turn(now, service, &mut seen, index, &mut out);
        net.wake(index, one.due(now));
        for (to, bytes) in out.drain(..) {
            net.send(now, index, usize::from(to.port()) - 20_000, bytes);
        }
    }
}

/// The same starts, each on its own: the watch as it is without a membership, calls as soon as a list is there.
fn alone(plan: &Plan, starts: &BTreeMap<usize, Micros>, mut seen: Seen) -> Seen {
    let running = plan.killed_share > 0.0;
    for (&index, &began) in starts {
        let mut watch = Watch::new(plan.forwarders, plan.seed ^ ((index as u64) << 20), began, running);
        let (mut now, mut knows) = (began, running);
        if running {
            seen.ready[index] = Some(Micros(0));
        }
        while now < began.plus(plan.duration) {
            if watch.tick(now, true, knows, plan.service, &mut seen.calls) && !knows {
                knows = true;
                seen.ready[index] = Some(now.minus(began));
            }
            now = watch.due(true).max(now.plus(Micros(1)));
        }
        if let Some(ready) = seen.ready[index] {
            seen.connects.iter_mut().for_each(|times| times.push(began.plus(ready)));
        }
    }
    seen
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(forwarders: usize, service: Service, killed_share: f64) -> Plan {
        let fault = Fault { loss: 0.02, delay: Micros(1_000) };
        Plan { forwarders, endpoints: 3, seed: 5, service, killed_share, fault, duration: Micros(15_000_000) }
    }

    #[test]
    fn few_ask_and_the_same_seed_gives_the_same_run() {
        let report = run(&plan(60, Service::Live, 0.0));
        assert!(report.alone.list_calls_total >= 60 && report.known.list_calls_total <= 18, "{report:?}");
        assert_eq!((report.known.never_ready, report.started), (0, 60), "{report:?}");
        // 60 over 0.59 s: ten in 100 ms where they were even.
        assert!(report.known.endpoint_connects_peak_per_100ms <= 20, "{report:?}");
        let text = |report: &Report| serde_json::to_string(report).unwrap();
        assert_eq!(text(&report), text(&run(&plan(60, Service::Live, 0.0))));
    }

    #[test]
    fn of_a_running_fleet_the_killed_come_back_whatever_the_service_does() {
        for service in [Service::Live, Service::Slow, Service::Silent, Service::Refusing, Service::Partial] {
            let report = run(&plan(40, service, 0.7));
            assert_eq!((report.started, report.known.never_ready), (28, 0), "{report:?}");
            assert!(report.known.ready_p99_s.is_some_and(|p99| p99 < 2.5), "{report:?}");
            assert!(report.known.list_calls_total < report.alone.list_calls_total, "{report:?}");
        }
    }
}
