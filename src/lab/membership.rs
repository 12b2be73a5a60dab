//! `cedarwharf lab membership`: runs a fleet of membership cores on the simulated network, with crashes,
//! stalls and a partition. Reports the time until every member knows of a crash, the members wrongly declared
//! dead, and the network traffic.

use super::network::{Due, Fault, Network};
use crate::membership::{Identity, Node, Output, Settings, State};
use crate::Micros;
use serde::Serialize;
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

/// One experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Members, all started within the first second.
    pub members: usize,
    /// Seed of all random choices.
    pub seed: u64,
    #[allow(missing_docs)]
    pub fault: Fault,
    /// Members that crash at the end of the warm-up.
    pub crash: usize,
    /// Number of members that are stopped one second after the warm-up, and for how long.
    pub stall: Option<(usize, Micros)>,
    /// Sizes of the two groups of a partition that begins at the end of the warm-up, and its duration.
    pub partition: Option<(usize, usize, Micros)>,
    /// Time for the fleet to join before faults begin.
    pub warmup: Micros,
    #[allow(missing_docs)]
    pub duration: Micros,
    #[allow(missing_docs)]
    pub settings: Settings,
}

/// Result of a run. Times are in seconds; `null` if the event never happened.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Report {
    pub members: usize,
    pub seed: u64,
    pub loss: f64,
    pub delay_ms: f64,
    pub probe_interval_ms: f64,
    pub duration_s: f64,
    /// Time from the start until every member lists every other member as alive or suspect, and none as dead.
    pub joined_s: Option<f64>,
    /// Time from a crash until every live member lists the crashed member as dead: median and 99th
    /// percentile.
    pub detected_p50_s: Option<f64>,
    pub detected_p99_s: Option<f64>,
    /// Time from a crash until the first member suspects the crashed member.
    pub first_suspected_p50_s: Option<f64>,
    /// Crashed members that some live member doesn't list as dead at the end.
    pub undetected: usize,
    /// Members that did not crash, but were declared dead by a member on their side of the partition, if any.
    pub false_dead: usize,
    /// Members declared dead across the partition, from its start until the views have converged after it.
    /// This is expected and doesn't count as false.
    pub partition_dead: usize,
    /// Time from the end of the partition until every live member lists every other as live, and none as
    /// dead.
    pub converged_s: Option<f64>,
    /// Pairs (observer, member) where a live observer lists a live member as dead or suspect at the end.
    pub wrongly_held_at_end: usize,
    /// Datagrams and bytes sent per member per second, after the warm-up.
    pub packets_per_member_s: f64,
    pub bytes_per_member_s: f64,
    pub suspicions: u64,
    pub refutations: u64,
    pub refuted_self: u64,
    pub stalls: u64,
    pub max_health: u32,
    pub lost: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 20_000 + index as u16)
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port()).wrapping_sub(20_000)
}

fn seconds(length: Micros) -> f64 {
    (length.0 as f64 / 1e3).round() / 1e3
}

fn percentile(sorted: &[Micros], share: f64) -> Option<f64> {
    if sorted.is_empty() {
        return None;
    }
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    Some(seconds(sorted[rank]))
}

/// Runs the plan on simulated time.
pub fn run(plan: &Plan) -> Report {
    let n = plan.members.max(1);
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut net = Network::new(n, plan.fault.clone(), plan.seed);
    let seeds: Vec<SocketAddr> = (0..n.min(2)).map(address).collect();
    let mut nodes: Vec<Node> = (0..n)
        .map(|i| {
            let id = Identity { name: format!("m{i}"), address: address(i), generation: 1 };
            Node::new(
                id,
                "lab",
                None,
                plan.settings.clone(),
                seeds.clone(),
                plan.seed.wrapping_mul(31).wrapping_add(i as u64),
                Micros(0),
            )
        })
        .collect();
    for (i, node) in nodes.iter().enumerate() {
        let start = Micros(rng.u64(0..1_000_000));
        net.stop(i, start);
        net.wake(i, node.next_wake().max(start));
    }
    // The members that crash or stall are chosen at random, never the first seed member.
    let mut candidates: Vec<usize> = (1..n).collect();
    rng.shuffle(&mut candidates);
    let crashed: Vec<usize> = candidates.iter().copied().take(plan.crash.min(n - 1)).collect();
    let stalled: Vec<usize> = match plan.stall {
        Some((count, _)) => candidates.iter().copied().skip(crashed.len()).take(count).collect(),
        None => Vec::new(),
    };
    let mut is_crashed = vec![false; n];
    for &member in &crashed {
        is_crashed[member] = true;
    }
    let groups: Option<Vec<u8>> = plan.partition.map(|(a, _, _)| (0..n).map(|i| u8::from(i >= a)).collect());
    let partition_from = plan.warmup;
    let partition_until = plan.partition.map(|(_, _, length)| plan.warmup.plus(length));

    let crash_at = plan.warmup;
    // Pairs (observer, member) where the observer has declared the member dead.
    let mut declared_dead: HashSet<(usize, usize)> = HashSet::new();
    let mut dead_count = vec![0usize; n];
    let mut detected: Vec<Option<Micros>> = vec![None; n];
    let mut first_suspected: Vec<Option<Micros>> = vec![None; n];
    let mut false_dead: HashSet<usize> = HashSet::new();
    let mut partition_dead: HashSet<usize> = HashSet::new();
    let live_observers = n - crashed.len();
    let (mut joined, mut converged) = (None, None);
    let (mut crashes_injected, mut stalls_injected, mut partitioned) = (false, false, false);
    let (mut sent_before_faults, mut bytes_before_faults, mut bytes) = (0u64, 0u64, 0u64);
    let mut max_health = 0;
    let step = Micros::from_ms(100.0);
    let mut now = Micros(0);
    let mut out = Vec::new();
    while now < plan.duration {
        now = now.plus(step);
        while let Some((at, due)) = net.next(now) {
            let process = match due {
                Due::Datagram { to, from, bytes } => {
                    nodes[to].receive(at, address(from), &bytes, &mut out);
                    to
                }
                Due::Wake { process } => {
                    nodes[process].tick(at, &mut out);
                    process
                }
            };
            for output in out.drain(..) {
                match output {
                    Output::Send { to, bytes: datagram } => {
                        bytes += datagram.len() as u64;
                        net.send(at, process, index(to), datagram);
                    }
                    Output::Changed(change) => {
                        let target = index(change.id.address);
                        if target >= n {
                            continue;
                        }
                        if change.to == State::Suspect
                            && is_crashed[target]
                            && first_suspected[target].is_none()
                        {
                            first_suspected[target] = Some(at.minus(crash_at));
                        }
                        if change.to != State::Dead || !declared_dead.insert((process, target)) {
                            continue;
                        }
                        if is_crashed[target] && at >= crash_at {
                            dead_count[target] += 1;
                            if dead_count[target] == live_observers {
                                detected[target] = Some(at.minus(crash_at));
                            }
                        } else if (partitioned
                            || partition_until.is_some_and(|until| at >= until && converged.is_none()))
                            && groups.as_ref().is_some_and(|g| g[process] != g[target])
                        {
                            partition_dead.insert(target);
                        } else {
                            false_dead.insert(target);
                        }
                    }
                    _ => {}
                }
            }
            max_health = max_health.max(nodes[process].health());
            net.wake(process, nodes[process].next_wake());
        }
        if !crashes_injected && now >= crash_at {
            crashes_injected = true;
            for &member in &crashed {
                net.crash(member);
            }
            sent_before_faults = net.sent;
            bytes_before_faults = bytes;
        }
        if let Some((_, length)) = plan.stall {
            if !stalls_injected && now >= crash_at.plus(Micros::from_ms(1_000.0)) {
                stalls_injected = true;
                for &member in &stalled {
                    net.stop(member, now.plus(length));
                }
            }
        }
        if let (Some(groups), Some(until)) = (&groups, partition_until) {
            if !partitioned && now >= partition_from && now < until && converged.is_none() {
                partitioned = true;
                net.set_groups(Some(groups.clone()));
            } else if partitioned && now >= until {
                partitioned = false;
                net.set_groups(None);
            }
        }
        let live = live_count(&net, n);
        let all_views_complete = || {
            (0..n).filter(|&i| !net.crashed(i)).all(|i| {
                let view = nodes[i].counts();
                view.live() == live && view.dead == 0
            })
        };
        if joined.is_none() && now <= crash_at && all_views_complete() {
            joined = Some(now);
        }
        if let Some(until) = partition_until {
            if converged.is_none() && now > until && all_views_complete() {
                converged = Some(now.minus(until));
            }
        }
    }
    let mut detection_times: Vec<Micros> = crashed.iter().filter_map(|&member| detected[member]).collect();
    detection_times.sort();
    let mut suspicion_times: Vec<Micros> =
        crashed.iter().filter_map(|&member| first_suspected[member]).collect();
    suspicion_times.sort();
    let mut wrongly_held = 0;
    for observer in (0..n).filter(|&i| !net.crashed(i)) {
        for member in (0..n).filter(|&m| m != observer && !net.crashed(m)) {
            let state = nodes[observer].state_of(&format!("m{member}")).map(|(_, _, state)| state);
            if !matches!(state, Some(State::Alive)) {
                wrongly_held += 1;
            }
        }
    }
    let stats = nodes.iter().map(|node| node.stats().clone());
    let (mut suspicions, mut refutations, mut refuted_self, mut stalls) = (0, 0, 0, 0);
    for node_stats in stats {
        suspicions += node_stats.suspicions;
        refutations += node_stats.refutations;
        refuted_self += node_stats.refuted_self;
        stalls += node_stats.stalls;
    }
    let seconds_after_warmup = plan.duration.minus(plan.warmup).0.max(1) as f64 / 1e6;
    let per_member_second =
        |count: u64| ((count as f64 / n as f64 / seconds_after_warmup) * 100.0).round() / 100.0;
    Report {
        members: n,
        seed: plan.seed,
        loss: plan.fault.loss,
        delay_ms: plan.fault.delay.as_ms(),
        probe_interval_ms: plan.settings.probe_interval.as_ms(),
        duration_s: seconds(plan.duration),
        joined_s: joined.map(seconds),
        detected_p50_s: percentile(&detection_times, 0.5),
        detected_p99_s: percentile(&detection_times, 0.99),
        first_suspected_p50_s: percentile(&suspicion_times, 0.5),
        undetected: crashed.len() - detection_times.len(),
        false_dead: false_dead.len(),
        partition_dead: partition_dead.len(),
        converged_s: converged.map(seconds),
        wrongly_held_at_end: wrongly_held,
        packets_per_member_s: per_member_second(net.sent - sent_before_faults),
        bytes_per_member_s: per_member_second(bytes - bytes_before_faults),
        suspicions,
        refutations,
        refuted_self,
        stalls,
        max_health,
        lost: net.lost,
    }
}

fn live_count(net: &Network, n: usize) -> usize {
    (0..n).filter(|&i| !net.crashed(i)).count()
}
