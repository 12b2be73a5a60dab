//! `cedarwharf lab cold-start`: many forwarders start within a second, or most of a running fleet is killed
//! and restarted. Runs the program's cores on simulated time, with messages, and compares the same starts of
//! forwarders without a membership. Counts the load on a simulated list service and on simulated endpoints.

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
    /// Calls per second that each endpoint serves, and connections that it accepts.
    pub capacity: f64,
    #[allow(missing_docs)]
    pub connections: usize,
    /// Submitted messages, as a share of the capacity of all endpoints.
    pub load: f64,
    /// Messages added to the journal of each killed forwarder, besides those in progress.
    pub held: usize,
    /// Endpoints that are down from the counted starts on.
    pub out: usize,
    /// Seed of all random choices.
    pub seed: u64,
    #[allow(missing_docs)]
    pub service: Service,
    /// Share of a running fleet that is killed and restarted at once; 0: all forwarders start without state.
    pub killed_share: f64,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// Time from the counted starts during which clients submit messages.
    pub duration: Micros,
}

/// Counts of one run, either with a membership or without.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Counts {
    /// Calls to the list service in the first 10 s, and their peak per second.
    pub list_calls_total: usize,
    pub list_calls_peak_per_s: usize,
    /// Peak of new connections per second at one endpoint, and of connections open at once.
    pub endpoint_connects_peak_per_s: usize,
    pub endpoint_connections_peak: usize,
    /// Peak of the starting forwarders' first calls at one endpoint, per second and per 100 ms.
    pub first_calls_peak_per_s: usize,
    pub first_calls_peak_per_100ms: usize,
    /// New connections per accepted message.
    pub handshakes_per_message: f64,
    /// Connections rejected because a table was full, and calls rejected above a limit.
    pub tables_full: usize,
    pub calls_refused: usize,
    /// Time from a start until the forwarder can serve; forwarders that never could.
    pub ready_p50_s: Option<f64>,
    pub ready_p99_s: Option<f64>,
    pub never_ready: usize,
    /// Messages accepted since the counted starts, including those of the journals, and the shares of final
    /// outcomes.
    pub messages: usize,
    pub delivered_share: f64,
    pub refused_share: f64,
    pub failed_share: f64,
    /// Messages without a final outcome at the end, messages with two, and payments that ran twice. All must
    /// be 0.
    pub lost: usize,
    pub two_ends: usize,
    pub paid_twice: usize,
}

/// Result of a run.
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
    /// With a membership: the forwarders know each other.
    pub known: Counts,
    /// The same starts without a membership.
    pub alone: Counts,
}

/// Time from the counted starts in which calls to the list service are counted.
const LIST_CALLS_COUNTED_MICROS: u64 = 10_000_000;
/// Time after which a running fleet is killed; the start of the fleet itself is over by then.
const KILLED_AT: Micros = Micros(24_000_000);
/// All messages have their final outcome within this time after the last submission.
const LAST_OUTCOME_WITHIN: Micros = Micros(14_000_000);

/// The largest number of times within any span of this length.
fn peak(times: &[Micros], span: u64) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort();
    let mut largest = 0;
    let mut from = 0;
    for (index, time) in sorted.iter().enumerate() {
        while sorted[from].0 + span <= time.0 {
            from += 1;
        }
        largest = largest.max(index + 1 - from);
    }
    largest
}

/// Counts what happened since the counted starts; `first_message` is the index of the first counted message.
fn counts(world: &World, since: Micros, started: &BTreeMap<usize, Micros>, first_message: usize) -> Counts {
    let is_counted = |at: &&Micros| at.0 >= since.0 && at.0 < since.0 + LIST_CALLS_COUNTED_MICROS;
    let list_calls: Vec<Micros> = world.list_calls.iter().filter(is_counted).copied().collect();
    let times: Vec<Option<Micros>> = started.keys().map(|&index| world.ready[index]).collect();
    let mut ready: Vec<Micros> = times.iter().flatten().copied().collect();
    ready.sort();
    let percentile = |share: f64| {
        let rank = ((ready.len() as f64 * share).ceil() as usize).clamp(1, ready.len().max(1)) - 1;
        ready.get(rank).map(|time| (time.0 as f64 / 1e3).round() / 1e3)
    };
    let connects = |endpoint: &Endpoint| -> Vec<Micros> {
        endpoint.connects.iter().filter(|at| **at >= since).copied().collect()
    };
    let first_calls_peak = |span| world.first_calls.iter().map(|times| peak(times, span)).max().unwrap_or(0);
    let messages = &world.messages[first_message..];
    let per_message = |count: usize| (count as f64 / messages.len().max(1) as f64 * 1e4).round() / 1e4;
    let handshakes: usize = world.endpoints.iter().map(|one| connects(one).len()).sum();
    Counts {
        list_calls_total: list_calls.len(),
        list_calls_peak_per_s: peak(&list_calls, 1_000_000),
        endpoint_connects_peak_per_s: world
            .endpoints
            .iter()
            .map(|one| peak(&connects(one), 1_000_000))
            .max()
            .unwrap_or(0),
        endpoint_connections_peak: world.endpoints.iter().map(|one| one.peak_open).max().unwrap_or(0),
        first_calls_peak_per_s: first_calls_peak(1_000_000),
        first_calls_peak_per_100ms: first_calls_peak(100_000),
        handshakes_per_message: per_message(handshakes),
        tables_full: world.endpoints.iter().map(|one| one.connections_rejected).sum(),
        calls_refused: world.endpoints.iter().map(|one| one.calls_rejected).sum(),
        ready_p50_s: percentile(0.5),
        ready_p99_s: percentile(0.99),
        never_ready: times.iter().filter(|ready| ready.is_none()).count(),
        messages: messages.len(),
        delivered_share: per_message(messages.iter().filter(|one| one.delivered > 0).count()),
        refused_share: per_message(messages.iter().filter(|one| one.refused > 0).count()),
        failed_share: per_message(messages.iter().filter(|one| one.failed > 0).count()),
        lost: messages.iter().filter(|one| one.final_outcomes() == 0).count(),
        two_ends: messages.iter().filter(|one| one.final_outcomes() > 1).count(),
        paid_twice: messages.iter().filter(|one| one.paid_twice()).count(),
    }
}

/// Runs the plan, with a membership and without.
pub fn run(plan: &Plan) -> Report {
    let n = plan.forwarders.max(1);
    let running = plan.killed_share > 0.0;
    let counted_from = if running { KILLED_AT } else { Micros(1_000_000) };
    let killed = if running { ((n as f64 * plan.killed_share) as usize).min(n) } else { n };
    let mut random = fastrand::Rng::with_seed(plan.seed);
    // The killed forwarders are chosen at random. Each restarts within half a second; a site that powers up
    // starts all its forwarders within a second.
    let mut order: Vec<usize> = (0..n).collect();
    random.shuffle(&mut order);
    let spread = if running { 500_000 } else { 1_000_000 };
    let starts: BTreeMap<usize, Micros> = order
        .iter()
        .take(killed)
        .map(|&index| (index, counted_from.plus(Micros(random.u64(0..spread)))))
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
        known: simulate(plan, &starts, counted_from, true),
        alone: simulate(plan, &starts, counted_from, false),
    }
}

/// Simulates the starts, of forwarders with a membership or without.
fn simulate(plan: &Plan, starts: &BTreeMap<usize, Micros>, counted_from: Micros, membership: bool) -> Counts {
    let n = plan.forwarders.max(1);
    let running = plan.killed_share > 0.0;
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let messages_per_s = plan.load * plan.capacity * plan.endpoints as f64 / n as f64;
    let mut world = World {
        endpoints: (0..plan.endpoints).map(|_| Endpoint::new(plan.capacity, plan.connections)).collect(),
        messages: Vec::new(),
        journals: vec![BTreeSet::new(); n],
        list_calls: Vec::new(),
        ready: vec![None; n],
        first_calls: vec![Vec::new(); plan.endpoints],
        submit_until: counted_from.plus(plan.duration),
        submit_interval: Micros((1e6 / messages_per_s.max(1e-3)) as u64),
        service: Service::Live,
        forwarders: n,
    };
    let mut fleet: Vec<Option<Forwarder>> = (0..n).map(|_| None).collect();
    // Each forwarder wakes for its start: the first one, or the restart after the kill.
    for (index, forwarder) in fleet.iter_mut().enumerate() {
        if running {
            let at = Micros(index as u64 * 1_000 + 1);
            *forwarder = Some(Forwarder::new(&world, index, plan.seed, at, (membership, true, false)));
            net.wake(index, at);
        } else {
            net.wake(index, starts[&index]);
        }
    }
    let end = world.submit_until.plus(LAST_OUTCOME_WITHIN);
    let (mut counting, mut first_message, mut datagrams) = (false, 0, Vec::new());
    loop {
        // All killed forwarders are killed at the same time.
        let until = if counting { end } else { counted_from };
        let Some((now, due)) = net.next(until) else {
            if counting {
                return counts(&world, counted_from, starts, first_message);
            }
            (counting, world.service) = (true, plan.service);
            first_message = world.messages.len();
            world.endpoints.iter_mut().take(plan.out).for_each(|endpoint| endpoint.out = true);
            for endpoint in &mut world.endpoints {
                (endpoint.peak_open, endpoint.connections_rejected, endpoint.calls_rejected) = (0, 0, 0);
            }
            for (&index, &at) in starts.iter().filter(|_| running) {
                if let Some(forwarder) = fleet[index].take() {
                    forwarder.kill(&mut world);
                }
                for number in 0..plan.held {
                    let endpoint = (index + number) % plan.endpoints;
                    world.accept(counted_from, index, endpoint, number % 2 == 0);
                }
                net.wake(index, at);
            }
            // The messages in the journals are counted, too.
            let first_held = world.journals.iter().flatten().min().map_or(first_message, |&id| id as usize);
            first_message = first_held.min(first_message);
            continue;
        };
        let index = match due {
            Due::Datagram { to, from, bytes } => {
                // A process that is down receives nothing.
                let Some(forwarder) = &mut fleet[to] else { continue };
                forwarder.receive(now, from, &bytes, &mut datagrams);
                to
            }
            Due::Wake { process } => {
                if fleet[process].is_none() {
                    let start = (membership, running, true);
                    fleet[process] = Some(Forwarder::new(&world, process, plan.seed, now, start));
                }
                process
            }
        };
        let Some(forwarder) = &mut fleet[index] else { continue };
        forwarder.iterate(now, &mut world, &mut datagrams);
        net.wake(index, forwarder.due(now, &world));
        for (to, bytes) in datagrams.drain(..) {
            net.send(now, index, usize::from(to.port()) - 20_000, bytes);
        }
    }
}

#[cfg(test)]
mod tests;
