//! Model checks of the safety properties that `docs/membership.md` states, in every order of events. The
//! rules are the program's own (`cedarwharf::membership::rules`); the models supply their environment.
//! Updates are lost, repeated and reordered arbitrarily; members are partitioned, crash, leave, and notice
//! this one by one or never.

use cedarwharf::membership::rules::{divisor, refuting_incarnation, supersedes, Belief, Divisor};
use cedarwharf::membership::State::{self, Alive, Dead, Left, Suspect};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// One member, and observers that record its state from updates.
struct Refutation {
    observers: usize,
    max_incarnation: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RefutationState {
    own: u32,
    /// Whether the member runs. Otherwise it has crashed or left.
    running: bool,
    left: bool,
    recorded: Vec<Belief>,
    /// The highest incarnation that each observer has recorded as alive; only the properties use it.
    max_alive: Vec<u32>,
    /// The highest incarnation that each observer has recorded as dead, plus one; only the properties use it.
    dead_below: Vec<u32>,
    /// All updates sent so far. Each may arrive at any time, repeatedly, or never.
    updates: BTreeSet<Belief>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RefutationEvent {
    /// An observer's probe fails.
    Suspect(usize),
    /// An observer's suspicion times out.
    DeclareDead(usize),
    Receive(usize, Belief),
    /// The member receives an update about itself.
    ReceiveOwn(Belief),
    Crash,
    Leave,
}

fn belief(incarnation: u32, state: State) -> Belief {
    Belief { incarnation, state }
}

impl Model for Refutation {
    type State = RefutationState;
    type Action = RefutationEvent;

    fn init_states(&self) -> Vec<RefutationState> {
        let recorded = vec![belief(0, Alive); self.observers];
        let (max_alive, dead_below) = (vec![0; self.observers], vec![0; self.observers]);
        vec![RefutationState {
            own: 0,
            running: true,
            left: false,
            recorded,
            max_alive,
            dead_below,
            updates: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &RefutationState, out: &mut Vec<RefutationEvent>) {
        for (observer, recorded) in state.recorded.iter().enumerate() {
            match recorded.state {
                Alive => out.push(RefutationEvent::Suspect(observer)),
                Suspect => out.push(RefutationEvent::DeclareDead(observer)),
                Dead | Left => {}
            }
            out.extend(state.updates.iter().map(|&update| RefutationEvent::Receive(observer, update)));
        }
        if state.running {
            out.extend(state.updates.iter().map(|&update| RefutationEvent::ReceiveOwn(update)));
            out.extend([RefutationEvent::Crash, RefutationEvent::Leave]);
        }
    }

    fn next_state(&self, state: &RefutationState, event: RefutationEvent) -> Option<RefutationState> {
        let mut next = state.clone();
        match event {
            RefutationEvent::Suspect(observer) => {
                next.recorded[observer].state = Suspect;
                next.updates.insert(next.recorded[observer]);
            }
            RefutationEvent::DeclareDead(observer) => {
                next.recorded[observer].state = Dead;
                next.updates.insert(next.recorded[observer]);
            }
            RefutationEvent::Receive(observer, update) => {
                if supersedes(state.recorded[observer], update) {
                    next.recorded[observer] = update;
                    if update.state == Alive {
                        next.max_alive[observer] = next.max_alive[observer].max(update.incarnation);
                    }
                }
            }
            RefutationEvent::ReceiveOwn(update) => {
                next.own = refuting_incarnation(state.own, update)?;
                next.updates.insert(belief(next.own, Alive));
            }
            RefutationEvent::Crash => next.running = false,
            RefutationEvent::Leave => {
                (next.running, next.left) = (false, true);
                next.updates.insert(belief(next.own, Left));
            }
        }
        for (dead, recorded) in next.dead_below.iter_mut().zip(&next.recorded) {
            if recorded.state == Dead {
                *dead = (*dead).max(recorded.incarnation + 1);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a refuted death at a lower incarnation is not recorded again",
                |_, state: &RefutationState| {
                    let pairs = state.recorded.iter().zip(&state.max_alive);
                    pairs
                        .into_iter()
                        .all(|(recorded, &alive)| recorded.state != Dead || recorded.incarnation >= alive)
                },
            ),
            Property::always(
                "a dead member is revived only by a higher incarnation",
                |_, state: &RefutationState| {
                    let pairs = state.recorded.iter().zip(&state.dead_below);
                    pairs
                        .into_iter()
                        .all(|(recorded, &dead)| !recorded.state.live() || recorded.incarnation >= dead)
                },
            ),
            Property::always("no incarnation is above the member's own", |_, state: &RefutationState| {
                state.recorded.iter().chain(&state.updates).all(|update| update.incarnation <= state.own)
            }),
            Property::always(
                "once all updates arrived, no observer records a running member as dead",
                |_, state: &RefutationState| {
                    let pending = state
                        .recorded
                        .iter()
                        .any(|&recorded| state.updates.iter().any(|&update| supersedes(recorded, update)));
                    let unanswered =
                        state.updates.iter().any(|&update| refuting_incarnation(state.own, update).is_some());
                    !state.running
                        || pending
                        || unanswered
                        || state.recorded.iter().all(|recorded| recorded.state != Dead)
                },
            ),
            Property::always(
                "a departed member is not recorded as dead once its departure is known",
                |_, state: &RefutationState| {
                    let informed = |recorded: &Belief| !supersedes(*recorded, belief(state.own, Left));
                    !state.left
                        || state.recorded.iter().all(|recorded| !informed(recorded) || recorded.state == Left)
                },
            ),
            // The properties above are meaningful only if these situations occur.
            Property::sometimes(
                "every observer records a running member as dead",
                |_, state: &RefutationState| {
                    state.running && state.recorded.iter().all(|recorded| recorded.state == Dead)
                },
            ),
            Property::sometimes(
                "every observer records the member as alive again after that",
                |_, state: &RefutationState| {
                    let revived = state
                        .recorded
                        .iter()
                        .all(|recorded| recorded.state == Alive && recorded.incarnation > 0);
                    revived && state.updates.iter().any(|update| update.state == Dead)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &RefutationState) -> bool {
        state.own <= self.max_incarnation
    }
}

#[test]
fn refuted_updates_never_cause_a_death_and_incarnations_only_grow() {
    for model in
        [Refutation { observers: 2, max_incarnation: 3 }, Refutation { observers: 3, max_incarnation: 2 }]
    {
        let checker = model.checker().threads(4).spawn_bfs().join();
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}

/// Members that share a limit, each with its own live count. Members of one side of a partition differ only
/// in what they have noticed, so states are kept sorted.
struct PartitionShares {
    members: usize,
    groups: usize,
}

/// The live count of a member, and the live count when its view was last whole.
type Counts = (u8, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Partitions {
    groups: Vec<Vec<Counts>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PartitionEvent {
    /// The members of a group whose bit is set in the mask are cut from the others.
    Cut(usize, u32),
    Heal(usize, usize),
    /// A member notices that it lost or regained contact with one other member.
    Notice(usize, usize),
    Crash(usize, usize),
}

impl PartitionShares {
    fn divisor(&self, (live, last_whole): Counts) -> Divisor {
        // No member is forgotten: dead members are remembered for longer than a series of partitions takes.
        divisor(live.into(), self.members, last_whole.into(), false)
    }

    fn share(&self, counts: Counts) -> f64 {
        let (Divisor::Whole(all) | Divisor::Doubtful(all)) = self.divisor(counts);
        1.0 / all as f64
    }

    fn sum(&self, partitions: &Partitions) -> f64 {
        partitions.groups.iter().flatten().map(|&counts| self.share(counts)).sum()
    }

    fn all_noticed(partitions: &Partitions) -> bool {
        partitions.groups.iter().all(|group| group.iter().all(|counts| usize::from(counts.0) == group.len()))
    }
}

impl Model for PartitionShares {
    type State = Partitions;
    type Action = PartitionEvent;

    fn init_states(&self) -> Vec<Partitions> {
        let all = self.members as u8;
        vec![Partitions { groups: vec![vec![(all, all); self.members]] }]
    }

    fn actions(&self, partitions: &Partitions, out: &mut Vec<PartitionEvent>) {
        for (index, group) in partitions.groups.iter().enumerate() {
            if partitions.groups.len() < self.groups {
                out.extend((1..(1u32 << group.len()) - 1).map(|mask| PartitionEvent::Cut(index, mask)));
            }
            out.extend((index + 1..partitions.groups.len()).map(|other| PartitionEvent::Heal(index, other)));
            for (member, counts) in group.iter().enumerate() {
                if usize::from(counts.0) != group.len() {
                    out.push(PartitionEvent::Notice(index, member));
                }
                out.push(PartitionEvent::Crash(index, member));
            }
        }
    }

    fn next_state(&self, partitions: &Partitions, event: PartitionEvent) -> Option<Partitions> {
        let mut next = partitions.clone();
        match event {
            PartitionEvent::Cut(index, mask) => {
                let group = next.groups.swap_remove(index);
                let (mut one, mut other) = (Vec::new(), Vec::new());
                for (member, counts) in group.into_iter().enumerate() {
                    if mask & (1 << member) == 0 { &mut one } else { &mut other }.push(counts);
                }
                next.groups.extend([one, other]);
            }
            PartitionEvent::Heal(index, other) => {
                let group = next.groups.remove(other);
                next.groups[index].extend(group);
            }
            PartitionEvent::Notice(index, member) => {
                let group_size = next.groups[index].len() as u8;
                let counts = &mut next.groups[index][member];
                counts.0 = if counts.0 > group_size { counts.0 - 1 } else { counts.0 + 1 };
                let counts = *counts;
                if let Divisor::Whole(live) = self.divisor(counts) {
                    next.groups[index][member].1 = live as u8;
                }
            }
            PartitionEvent::Crash(index, member) => {
                next.groups[index].remove(member);
            }
        }
        next.groups.retain(|group| !group.is_empty());
        next.groups.iter_mut().for_each(|group| group.sort_unstable());
        next.groups.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "once partitions are noticed, the sum is at most 1.5 limits",
                |model: &PartitionShares, partitions: &Partitions| {
                    !PartitionShares::all_noticed(partitions) || model.sum(partitions) <= 1.5 + 1e-9
                },
            ),
            Property::always(
                "at any moment, even without the ramp, the sum is below 2 limits",
                |model: &PartitionShares, partitions: &Partitions| model.sum(partitions) < 2.0,
            ),
            Property::always(
                "once partitions are noticed, at most one side is whole",
                |model: &PartitionShares, partitions: &Partitions| {
                    let whole = |group: &&Vec<Counts>| matches!(model.divisor(group[0]), Divisor::Whole(_));
                    !PartitionShares::all_noticed(partitions)
                        || partitions.groups.iter().filter(whole).count() <= 1
                },
            ),
            Property::sometimes(
                "both sides use the limit",
                |model: &PartitionShares, partitions: &Partitions| {
                    PartitionShares::all_noticed(partitions) && model.sum(partitions) > 1.2
                },
            ),
            Property::sometimes(
                "a minority keeps the smaller share",
                |model: &PartitionShares, partitions: &Partitions| {
                    let all: usize = partitions.groups.iter().map(Vec::len).sum();
                    PartitionShares::all_noticed(partitions)
                        && all == model.members
                        && (model.sum(partitions) - 1.0).abs() < 1e-9
                },
            ),
        ]
    }
}

#[test]
fn shares_stay_within_the_bound_in_every_order_of_partitions_heals_and_crashes() {
    for model in [PartitionShares { members: 5, groups: 4 }, PartitionShares { members: 6, groups: 3 }] {
        let checker = model.checker().threads(4).spawn_bfs().join();
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}
