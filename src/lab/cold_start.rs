//! `cedarwharf lab cold-start`: many forwarders start within a second, or most of a running fleet is killed and started again.
//! The cores of the program on simulated time, messages and all; and beside them, in the same run, the same starts each on its
//! own. Counted at a simulated list service and at simulated endpoints.

use super::endpoints::Endpoint;
use super::forwarder::{Forwarder, World};
use super::network::{Due, Fault, Network};
use crate::Micros;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

pub use super::forwarder::Service;

/// One experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    #[allow(missing_docs)]
    pub forwarders: usize,
    /// Destinations, one endpoint each.
    pub endpoints: usize,
    /// Calls a second that each endpoint takes, and connections that it holds.
    pub capacity: f64,
    #[allow(missing_docs)]
    pub connections: usize,
    /// Messages handed in, as a share of what all endpoints take together.
    pub load: f64,
    /// Messages that stand in the journal of each forwarder that is killed, beside what is under way.
    pub held: usize,
    /// Endpoints that are out.
    pub out: usize,
    /// Of every chance in the run.
    pub seed: u64,
    #[allow(missing_docs)]
    pub service: Service,
    /// Of a running fleet, so many are killed and started again at once; none: all start from nothing.
    pub killed_share: f64,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// From the starts that are counted on, while clients hand messages in.
    pub duration: Micros,
}

/// What was counted, of forwarders that know each other or of each on its own.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Counts {
    /// Calls to the list service in the first 10 s, and in the second that had the most of them.
    pub list_calls_total: usize,
    pub list_calls_peak_per_s: usize,
    /// New connections that an endpoint saw in one second, and connections open at once there, at most.
    pub endpoint_connects_peak_per_s: usize,
    pub endpoint_connections_peak: usize,
    /// First calls of the forwarders that start, at one endpoint in one second, and in 100 ms, at most.
    pub first_calls_peak_per_s: usize,
    pub first_calls_peak_per_100ms: usize,
    /// New connections for each message that was taken on.
    pub handshakes_per_message: f64,
    /// Connections that found a full table, and calls above a limit.
    pub tables_full: usize,
    pub calls_refused: usize,
    /// From the start until it serves.
    pub ready_p50_s: Option<f64>,
    pub ready_p99_s: Option<f64>,
    pub never_ready: usize,
    /// Messages taken on since the starts that are counted, those of the journals included; what became of them.
    pub messages: usize,
    pub delivered_share: f64,
    pub refused_share: f64,
    pub failed_share: f64,
    /// Without an end after all that could be done; told two ends; payments that ran twice: must be none.
    pub lost: usize,
    pub two_ends: usize,
    pub paid_twice: usize,
}

/// What a run shows.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub forwarders: usize,
    pub endpoints: usize,
    pub capacity: f64,
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

/// The time in which calls to the list service are counted.
const COUNTED: u64 = 10_000_000;
/// A running fleet is killed after so long: its own start is over by then.
const RUNNING: Micros = Micros(24_000_000);
/// After the last message was handed in, all have their end within this.
const REST: Micros = Micros(14_000_000);

/// The most within any span of this length.
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

fn counts(world: &World, since: Micros, started: &BTreeMap<usize, Micros>, from: usize) -> Counts {
    let counted = |at: &&Micros| at.0 >= since.0 && at.0 < since.0 + COUNTED;
    let calls: Vec<Micros> = world.list_calls.iter().filter(counted).copied().collect();
    let times: Vec<Option<Micros>> = started.keys().map(|&one| world.ready[one]).collect();
    let mut ready: Vec<Micros> = times.iter().flatten().copied().collect();
    ready.sort();
    let share = |share: f64| {
        let at = ((ready.len() as f64 * share).ceil() as usize).clamp(1, ready.len().max(1)) - 1;
        ready.get(at).map(|time| (time.0 as f64 / 1e3).round() / 1e3)
    };
    let connects = |endpoint: &Endpoint| -> Vec<Micros> {
        endpoint.connects.iter().filter(|at| **at >= since).copied().collect()
    };
    let first = |span| world.first_calls.iter().map(|times| peak(times, span)).max().unwrap_or(0);
    let messages = &world.messages[from..];
    let part = |count: usize| (count as f64 / messages.len().max(1) as f64 * 1e4).round() / 1e4;
    let handshakes: usize = world.endpoints.iter().map(|one| connects(one).len()).sum();
    Counts {
        list_calls_total: calls.len(),
        list_calls_peak_per_s: peak(&calls, 1_000_000),
        endpoint_connects_peak_per_s: world
            .endpoints
            .iter()
            .map(|one| peak(&connects(one), 1_000_000))
            .max()
            .unwrap_or(0),
        endpoint_connections_peak: world.endpoints.iter().map(|one| one.peak_open).max().unwrap_or(0),
        first_calls_peak_per_s: first(1_000_000),
        first_calls_peak_per_100ms: first(100_000),
        handshakes_per_message: part(handshakes),
        tables_full: world.endpoints.iter().map(|one| one.connections_rejected).sum(),
        calls_refused: world.endpoints.iter().map(|one| one.calls_rejected).sum(),
        ready_p50_s: share(0.5),
        ready_p99_s: share(0.99),
        never_ready: times.iter().filter(|ready| ready.is_none()).count(),
        messages: messages.len(),
        delivered_share: part(messages.iter().filter(|one| one.delivered > 0).count()),
        refused_share: part(messages.iter().filter(|one| one.refused > 0).count()),
        failed_share: part(messages.iter().filter(|one| one.failed > 0).count()),
        lost: messages.iter().filter(|one| one.ends() == 0).count(),
        two_ends: messages.iter().filter(|one| one.ends() > 1).count(),
        paid_twice: messages.iter().filter(|one| one.paid_twice()).count(),
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
    Report {
        forwarders: n,
        endpoints: plan.endpoints,
        capacity: plan.capacity,
        seed: plan.seed,
        list_service: format!("{:?}", plan.service).to_lowercase(),
        killed_share: plan.killed_share,
        loss: plan.fault.loss,
        started: killed,
        known: play(plan, &starts, counted_from, true),
        alone: play(plan, &starts, counted_from, false),
    }
}

/// The starts, of forwarders that know each other or of each on its own.
fn play(plan: &Plan, starts: &BTreeMap<usize, Micros>, counted_from: Micros, mates: bool) -> Counts {
    let n = plan.forwarders.max(1);
    let running = plan.killed_share > 0.0;
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let each = plan.load * plan.capacity * plan.endpoints as f64 / n as f64;
    let mut world = World {
        endpoints: (0..plan.endpoints).map(|_| Endpoint::new(plan.capacity, plan.connections)).collect(),
        messages: Vec::new(),
        journals: vec![BTreeSet::new(); n],
        list_calls: Vec::new(),
        ready: vec![None; n],
        first_calls: vec![Vec::new(); plan.endpoints],
        until: counted_from.plus(plan.duration),
        every: Micros((1e6 / each.max(1e-3)) as u64),
        service: Service::Live,
        siblings: n,
    };
    let mut fleet: Vec<Option<Forwarder>> = (0..n).map(|_| None).collect();
    // Each wakes for its start: at first, or again after the kill.
    for (index, place) in fleet.iter_mut().enumerate() {
        if running {
            let at = Micros(index as u64 * 1_000 + 1);
            *place = Some(Forwarder::new(&world, index, plan.seed, at, (mates, true, false)));
            net.wake(index, at);
        } else {
            net.wake(index, starts[&index]);
        }
    }
    let until = world.until.plus(REST);
    let (mut down, mut from, mut out) = (false, 0, Vec::new());
    loop {
        // The kill is at one moment for all.
        let step = if down { until } else { counted_from };
        let Some((now, due)) = net.next(step) else {
            if down {
                return counts(&world, counted_from, starts, from);
            }
            (down, world.service) = (true, plan.service);
            from = world.messages.len();
            world.endpoints.iter_mut().take(plan.out).for_each(|one| one.out = true);
            for one in &mut world.endpoints {
                (one.peak_open, one.connections_rejected, one.calls_rejected) = (0, 0, 0);
            }
            for (&index, &at) in starts.iter().filter(|_| running) {
                if let Some(one) = fleet[index].take() {
                    one.kill(&mut world);
                }
                for place in 0..plan.held {
                    let to = (index + place) % plan.endpoints;
                    world.take_on(counted_from, index, to, place % 2 == 0);
                }
                net.wake(index, at);
            }
            // Those that the journals hold are counted, too.
            let first = world.journals.iter().flatten().min().map_or(from, |&id| id as usize);
            from = first.min(from);
            continue;
        };
        let index = match due {
            Due::Datagram { to, from, bytes } => {
                // One that is down hears nothing.
                let Some(one) = &mut fleet[to] else { continue };
                one.receive(now, from, &bytes, &mut out);
                to
            }
            Due::Wake { process } => {
                if fleet[process].is_none() {
                    let start = (mates, running, true);
                    fleet[process] = Some(Forwarder::new(&world, process, plan.seed, now, start));
                }
                process
            }
        };
        let Some(one) = &mut fleet[index] else { continue };
        one.turn(now, &mut world, &mut out);
        net.wake(index, one.due(now, &world));
        for (to, bytes) in out.drain(..) {
            net.send(now, index, usize::from(to.port()) - 20_000, bytes);
        }
    }
}

#[cfg(test)]
mod tests;
