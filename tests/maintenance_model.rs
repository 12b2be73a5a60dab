//! Model check of the safety property that `docs/maintenance.md` claims: no more forwarders are out
//! of service than the plan allows, in every order of events. The register and the ledger are the
//! program's own; the model covers their environment. Requests reach voters at any time,
//! repeatedly, or never; answers are lost; proposers crash between phases; clocks end leases at any
//! moment. But a lease is written off only once its holder's window is over.

use cedarwharf::maintenance::ledger::{
    Change, Ledger, MaintenancePlan, MemberStatus, OutageLimits, PlanState,
};
use cedarwharf::maintenance::register::{Acceptor, Ballot, Message, Progress, Proposal};
use cedarwharf::maintenance::Fence;
use cedarwharf::Micros;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

struct Fleet {
    voters: usize,
    members: usize,
    at_most: u32,
    /// Proposals that each member may make.
    attempts: u64,
    /// One voter may restart with empty state, as after the loss of its state folder.
    voter_may_lose_state: bool,
    /// Leases may be written off while their holders are still out.
    early_write_off: bool,
    /// The first member is out initially, with a lease that a bare majority has accepted.
    starts_with_lease: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    acceptors: Vec<Acceptor>,
    members: Vec<Member>,
    /// All requests sent so far, with their sender: each may reach each voter at any time.
    requests: BTreeSet<(usize, Message)>,
    state_lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Member {
    proposal: Option<Proposal>,
    proposals_made: u64,
    highest: u64,
    ledger: Ledger,
    /// Fence of the lease under which the member is out.
    out: Option<Fence>,
    /// It has requested a lease, and the time to use it has not passed.
    lease_requested: bool,
    was_out: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    RequestLease(usize),
    /// The member returns to service and releases its lease.
    ReturnLease(usize),
    /// The member's window, or its time to use a requested lease, ends by its own clock.
    EndWindow(usize),
    /// The member releases a lease that arrived too late.
    AbandonLease(usize),
    WriteOff(usize, usize),
    /// A member's current request reaches these voters, and their answers return.
    Exchange(usize, Vec<usize>),
    /// A request of any age reaches a voter, and its answer is lost.
    Deliver(usize, (usize, Message)),
    /// A member receives a later ledger from another.
    SendLedger(usize, usize),
    /// The proposer crashes. A lease that it holds keeps it out until its window is over.
    Crash(usize),
    LoseState(usize),
}

fn members_out(world: &World) -> usize {
    world.members.iter().filter(|member| member.out.is_some()).count()
}

fn name(member: usize) -> String {
    format!("m{member}")
}

impl Fleet {
    fn plan(&self) -> MaintenancePlan {
        MaintenancePlan {
            id: "r".into(),
            names: (0..self.members).map(name).collect(),
            statuses: vec![MemberStatus::Pending; self.members],
            limits: OutageLimits { at_most: self.at_most, in_service_permille: 0 },
            window: Micros(60),
            until: Micros(1_000),
            state: PlanState::Open,
        }
    }

    fn propose(&self, world: &mut World, index: usize, change: Change) {
        let member = &mut world.members[index];
        member.proposals_made += 1;
        member.highest += 1;
        let ballot = Ballot { round: member.highest, name: name(index), generation: 1 };
        let (proposal, prepare) = Proposal::new(ballot, change, self.voters);
        member.proposal = Some(proposal);
        world.requests.insert((index, prepare));
    }
}

/// A member learns that a majority holds this ledger.
fn receive_ledger(world: &mut World, index: usize, ledger: &Ledger) {
    let member = &mut world.members[index];
    if ledger.version >= member.ledger.version {
        member.ledger = ledger.clone();
    }
    let lease = member.ledger.lease(&name(index)).map(|lease| lease.fence);
    if let (Some(fence), true, None) = (lease, member.lease_requested, member.out) {
        (member.out, member.lease_requested, member.was_out) = (Some(fence), false, true);
    }
    // Its lease was written off while it was out: it returns to service.
    if member.out.is_some()
        && lease != member.out
        && member.ledger.version >= member.out.map_or(0, |fence| fence.0)
    {
        member.out = None;
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let ledger = Ledger::default().apply(&Change::AddPlan(self.plan())).unwrap();
        let mut acceptors = vec![Acceptor::default(); self.voters];
        for acceptor in &mut acceptors {
            acceptor.handle(&Message::Accept(Ballot::default(), ledger.clone()));
        }
        let mut members = vec![Member { ledger: ledger.clone(), ..Member::default() }; self.members];
        if self.starts_with_lease {
            let (plan, name) = ("r".to_owned(), name(0));
            let go = Change::GrantLease { plan, name, generation: 1, now: Micros(1), fleet: 9, alive: 9 };
            let next = ledger.apply(&go).unwrap();
            let ballot = Ballot { round: 1, name: "before".into(), generation: 1 };
            for acceptor in acceptors.iter_mut().take(self.voters / 2 + 1) {
                acceptor.handle(&Message::Accept(ballot.clone(), next.clone()));
            }
            (members[0].out, members[0].was_out) = (Some(next.leases[0].fence), true);
            members.iter_mut().for_each(|member| (member.ledger, member.highest) = (next.clone(), 1));
        }
        vec![World { acceptors, members, requests: BTreeSet::new(), state_lost: false }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (index, member) in world.members.iter().enumerate() {
            let may_propose = member.proposals_made < self.attempts && member.proposal.is_none();
            let lease = member.ledger.lease(&name(index));
            if may_propose
                && member.out.is_none()
                && lease.is_none()
                && member.ledger.plans[0].status_of(&name(index)) == Some(MemberStatus::Pending)
            {
                steps.push(Step::RequestLease(index));
            }
            if member.out.is_some() || member.lease_requested {
                steps.push(Step::EndWindow(index));
            }
            if may_propose && member.out.is_some() {
                steps.push(Step::ReturnLease(index));
            }
            if may_propose && member.out.is_none() && !member.lease_requested && lease.is_some() {
                steps.push(Step::AbandonLease(index));
            }
            for (other, holder) in world.members.iter().enumerate() {
                let has_ended = holder.out.is_none() && !holder.lease_requested || self.early_write_off;
                if may_propose && other != index && has_ended && member.ledger.lease(&name(other)).is_some() {
                    steps.push(Step::WriteOff(index, other));
                }
                if holder.ledger.version > member.ledger.version {
                    steps.push(Step::SendLedger(other, index));
                }
            }
            if member.proposal.is_some() {
                steps.push(Step::Crash(index));
                for first in 0..self.voters {
                    steps.push(Step::Exchange(index, vec![first]));
                    steps.extend(
                        (first + 1..self.voters).map(|second| Step::Exchange(index, vec![first, second])),
                    );
                }
            }
        }
        for voter in 0..self.voters {
            for request in &world.requests {
                steps.push(Step::Deliver(voter, request.clone()));
            }
            if self.voter_may_lose_state && !world.state_lost {
                steps.push(Step::LoseState(voter));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::RequestLease(index) => {
                world.members[index].lease_requested = true;
                let (name, plan) = (name(index), "r".to_owned());
                let change =
                    Change::GrantLease { plan, name, generation: 1, now: Micros(1), fleet: 9, alive: 9 };
                self.propose(&mut world, index, change);
            }
            Step::ReturnLease(index) => {
                // It returns to service before it releases the lease.
                let fence = world.members[index].out.take()?;
                self.propose(&mut world, index, Change::ReturnLease(name(index), fence));
            }
            Step::EndWindow(index) => {
                (world.members[index].out, world.members[index].lease_requested) = (None, false);
            }
            Step::AbandonLease(index) => {
                let fence = world.members[index].ledger.lease(&name(index))?.fence;
                self.propose(&mut world, index, Change::AbandonLease(name(index), fence));
            }
            Step::WriteOff(index, other) => {
                let fence = world.members[index].ledger.lease(&name(other))?.fence;
                self.propose(&mut world, index, Change::WriteOffLease(name(other), fence));
            }
            Step::Deliver(voter, (_, message)) => drop(world.acceptors[voter].handle(&message)),
            Step::Exchange(index, voters) => {
                let request = world.members[index].proposal.as_ref()?.current_request()?;
                for voter in voters {
                    let (answer, _) = world.acceptors[voter].handle(&request)?;
                    let Some(proposal) = &mut world.members[index].proposal else { break };
                    match proposal.receive(&format!("v{voter}"), &answer) {
                        Progress::Waiting => {}
                        Progress::Send(message) => drop(world.requests.insert((index, message))),
                        Progress::Committed(ledger) | Progress::Refused(_, ledger) => {
                            world.members[index].proposal = None;
                            receive_ledger(&mut world, index, &ledger);
                            // A lease requested earlier that is not in this ledger will never be granted.
                            let member = &mut world.members[index];
                            member.lease_requested &= ledger.lease(&name(index)).is_some();
                        }
                        Progress::Preempted(round) => {
                            let member = &mut world.members[index];
                            (member.proposal, member.highest) = (None, member.highest.max(round));
                        }
                    }
                }
            }
            Step::SendLedger(from, to) => {
                let ledger = world.members[from].ledger.clone();
                receive_ledger(&mut world, to, &ledger);
            }
            Step::Crash(index) => world.members[index].proposal = None,
            Step::LoseState(voter) => {
                (world.acceptors[voter], world.state_lost) = (Acceptor::default(), true);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(
                "no more members are out than the plan allows",
                |fleet: &Fleet, world| members_out(world) <= fleet.at_most as usize,
            ),
            Property::<Self>::always("no fence exceeds the ledger version", |_, world: &World| {
                world.members.iter().all(|member| {
                    member.ledger.leases.iter().all(|lease| lease.fence.0 <= member.ledger.version)
                })
            }),
            Property::<Self>::sometimes("the maximum number of members is out", |fleet: &Fleet, world| {
                members_out(world) == fleet.at_most as usize
            }),
            Property::<Self>::sometimes("several members have been out", |_, world: &World| {
                world.members.iter().filter(|member| member.was_out).count() > 1
            }),
        ]
    }
}

fn fleet(members: usize, at_most: u32, attempts: u64, starts_with_lease: bool) -> Fleet {
    Fleet {
        voters: 3,
        members,
        at_most,
        attempts,
        voter_may_lose_state: false,
        early_write_off: false,
        starts_with_lease,
    }
}

/// Limit of explored transitions. The smallest fleet is explored completely within it, the others
/// to the depth that it allows.
const MAX_TRANSITIONS: usize = 400_000;

fn check_limit(fleet: Fleet) {
    let checker = fleet.checker().threads(4).target_state_count(MAX_TRANSITIONS).spawn_bfs().join();
    println!(
        "{} transitions, {} states, {} steps deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery("no more members are out than the plan allows");
    checker.assert_no_discovery("no fence exceeds the ledger version");
    checker.assert_any_discovery("the maximum number of members is out");
}

#[test]
fn limit_of_one_out_holds_for_two_members_in_every_order() {
    check_limit(fleet(2, 1, 1, false));
    check_limit(fleet(2, 1, 2, true));
}

#[test]
fn limit_of_two_out_holds_for_three_members_in_every_order() {
    check_limit(fleet(3, 2, 1, true));
}

/// Each assumption is necessary: without it, the checker finds two forwarders out where one is
/// allowed.
#[test]
fn lost_voter_state_or_an_early_write_off_breaks_the_limit() {
    for broken in [
        Fleet { voter_may_lose_state: true, ..fleet(2, 1, 1, true) },
        Fleet { early_write_off: true, ..fleet(2, 1, 2, true) },
    ] {
        let checker = broken.checker().threads(4).target_state_count(4 * MAX_TRANSITIONS).spawn_bfs().join();
        checker.assert_any_discovery("no more members are out than the plan allows");
    }
}
