//! The safety that `docs/maintenance.md` claims, explored in every order by a model checker: never more out than the round
//! allows. Register and ledger are the program's own; what is modelled is the world around them. Requests to voters come at any
//! time, again, or never; answers are lost; proposers die half way; clocks end leases at any moment, but a lease is written off
//! only where its holder's window is over.

use cedarwharf::maintenance::ledger::{Bound, Change, Done, Ledger, Round, Standing};
use cedarwharf::maintenance::register::{Acceptor, Ballot, Message, Progress, Proposal};
use cedarwharf::maintenance::Fence;
use cedarwharf::Micros;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

struct Fleet {
    voters: usize,
    members: usize,
    at_most: u32,
    /// Attempts that each member may make.
    attempts: u64,
    /// A voter may start anew with nothing: what a folder that was lost would do.
    forgetful: bool,
    /// Leases are written off while their holders may still be out.
    hasty: bool,
    /// The first member is out as it begins; a bare majority has accepted that.
    begun: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    acceptors: Vec<Acceptor>,
    members: Vec<Member>,
    /// Ever sent, by a member: each may come to each voter at any time.
    requests: BTreeSet<(usize, Message)>,
    forgot: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Member {
    proposal: Option<Proposal>,
    made: u64,
    highest: u64,
    hint: Ledger,
    /// Clients are sent away, under this lease.
    out: Option<Fence>,
    /// It has asked to go, and its time to begin is not over.
    asked: bool,
    /// It has been out.
    was_out: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Go(usize),
    /// Back in service, and its lease handed back.
    Back(usize),
    /// Its window is over by its own clock, or its time to begin is.
    Over(usize),
    /// A lease that came too late is handed back.
    Unused(usize),
    WriteOff(usize, usize),
    /// What a member asks for just now comes to these voters, and their answers come back.
    Exchange(usize, Vec<usize>),
    /// A request, however old, comes to a voter, and the answer is lost.
    Come(usize, (usize, Message)),
    /// A member hears of a later ledger from another.
    Tell(usize, usize),
    /// The process dies; a lease that it holds has it out until its window is over.
    Die(usize),
    Forget(usize),
}

fn out(world: &World) -> usize {
    world.members.iter().filter(|one| one.out.is_some()).count()
}

fn name(member: usize) -> String {
    format!("m{member}")
}

impl Fleet {
    fn round(&self) -> Round {
        Round {
            id: "r".into(),
            names: (0..self.members).map(name).collect(),
            done: vec![Done::Not; self.members],
            bound: Bound { at_most: self.at_most, in_service: 0 },
            window: Micros(60),
            until: Micros(1_000),
            standing: Standing::Open,
        }
    }

    fn propose(&self, world: &mut World, member: usize, change: Change) {
        let one = &mut world.members[member];
        one.made += 1;
        one.highest += 1;
        let ballot = Ballot { round: one.highest, name: name(member), generation: 1 };
        let (proposal, prepare) = Proposal::new(ballot, change, self.voters);
        one.proposal = Some(proposal);
        world.requests.insert((member, prepare));
    }
}

/// A member knows that a majority holds this ledger.
fn learn(world: &mut World, member: usize, ledger: &Ledger) {
    let one = &mut world.members[member];
    if ledger.version >= one.hint.version {
        one.hint = ledger.clone();
    }
    let lease = one.hint.lease(&name(member)).map(|lease| lease.fence);
    if let (Some(fence), true, None) = (lease, one.asked, one.out) {
        (one.out, one.asked, one.was_out) = (Some(fence), false, true);
    }
    // Written off while it was out: it goes back to work.
    if one.out.is_some() && lease != one.out && one.hint.version >= one.out.map_or(0, |fence| fence.0) {
        one.out = None;
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let ledger = Ledger::default().after(&Change::Ask(self.round())).unwrap();
        let mut acceptors = vec![Acceptor::default(); self.voters];
        for acceptor in &mut acceptors {
            acceptor.answer(&Message::Accept(Ballot::default(), ledger.clone()));
        }
        let mut members = vec![Member { hint: ledger.clone(), ..Member::default() }; self.members];
        if self.begun {
            let (round, name) = ("r".to_owned(), name(0));
            let go = Change::Go { round, name, generation: 1, now: Micros(1), fleet: 9, alive: 9 };
            let next = ledger.after(&go).unwrap();
            let ballot = Ballot { round: 1, name: "before".into(), generation: 1 };
            for acceptor in acceptors.iter_mut().take(self.voters / 2 + 1) {
                acceptor.answer(&Message::Accept(ballot.clone(), next.clone()));
            }
            (members[0].out, members[0].was_out) = (Some(next.out[0].fence), true);
            members.iter_mut().for_each(|member| (member.hint, member.highest) = (next.clone(), 1));
        }
        vec![World { acceptors, members, requests: BTreeSet::new(), forgot: false }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (at, one) in world.members.iter().enumerate() {
            let may = one.made < self.attempts && one.proposal.is_none();
            let lease = one.hint.lease(&name(at));
            if may
                && one.out.is_none()
                && lease.is_none()
                && one.hint.rounds[0].of(&name(at)) == Some(Done::Not)
            {
                steps.push(Step::Go(at));
            }
            if one.out.is_some() || one.asked {
                steps.push(Step::Over(at));
            }
            if may && one.out.is_some() {
                steps.push(Step::Back(at));
            }
            if may && one.out.is_none() && !one.asked && lease.is_some() {
                steps.push(Step::Unused(at));
            }
            for (other, holder) in world.members.iter().enumerate() {
                let over = holder.out.is_none() && !holder.asked || self.hasty;
                if may && other != at && over && one.hint.lease(&name(other)).is_some() {
                    steps.push(Step::WriteOff(at, other));
                }
                if holder.hint.version > one.hint.version {
                    steps.push(Step::Tell(other, at));
                }
            }
            if one.proposal.is_some() {
                steps.push(Step::Die(at));
                for first in 0..self.voters {
                    steps.push(Step::Exchange(at, vec![first]));
                    steps.extend(
                        (first + 1..self.voters).map(|second| Step::Exchange(at, vec![first, second])),
                    );
                }
            }
        }
        for voter in 0..self.voters {
            for request in &world.requests {
                steps.push(Step::Come(voter, request.clone()));
            }
            if self.forgetful && !world.forgot {
                steps.push(Step::Forget(voter));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Go(at) => {
                world.members[at].asked = true;
                let (name, round) = (name(at), "r".to_owned());
                let change = Change::Go { round, name, generation: 1, now: Micros(1), fleet: 9, alive: 9 };
                self.propose(&mut world, at, change);
            }
            Step::Back(at) => {
                // First it is back in service, then it says so.
                let fence = world.members[at].out.take()?;
                self.propose(&mut world, at, Change::Back(name(at), fence));
            }
            Step::Over(at) => {
                (world.members[at].out, world.members[at].asked) = (None, false);
            }
            Step::Unused(at) => {
                let fence = world.members[at].hint.lease(&name(at))?.fence;
                self.propose(&mut world, at, Change::Unused(name(at), fence));
            }
            Step::WriteOff(at, other) => {
                let fence = world.members[at].hint.lease(&name(other))?.fence;
                self.propose(&mut world, at, Change::WriteOff(name(other), fence));
            }
            Step::Come(voter, (_, message)) => drop(world.acceptors[voter].answer(&message)),
            Step::Exchange(at, voters) => {
                let request = world.members[at].proposal.as_ref()?.again()?;
                for voter in voters {
                    let (answer, _) = world.acceptors[voter].answer(&request)?;
                    let Some(proposal) = &mut world.members[at].proposal else { break };
                    match proposal.hear(&format!("v{voter}"), &answer) {
                        Progress::Waiting => {}
                        Progress::Send(message) => drop(world.requests.insert((at, message))),
                        Progress::Done(ledger) | Progress::Refused(_, ledger) => {
                            world.members[at].proposal = None;
                            learn(&mut world, at, &ledger);
                            // What was asked for before and is not in it never will be.
                            let one = &mut world.members[at];
                            one.asked &= ledger.lease(&name(at)).is_some();
                        }
                        Progress::Outbid(round) => {
                            let one = &mut world.members[at];
                            (one.proposal, one.highest) = (None, one.highest.max(round));
                        }
                    }
                }
            }
            Step::Tell(from, to) => {
                let ledger = world.members[from].hint.clone();
                learn(&mut world, to, &ledger);
            }
            Step::Die(at) => world.members[at].proposal = None,
            Step::Forget(voter) => {
                (world.acceptors[voter], world.forgot) = (Acceptor::default(), true);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more are out than the round allows", |fleet: &Fleet, world| {
                out(world) <= fleet.at_most as usize
            }),
            Property::<Self>::always("fences grow", |_, world: &World| {
                world
                    .members
                    .iter()
                    .all(|one| one.hint.out.iter().all(|lease| lease.fence.0 <= one.hint.version))
            }),
            Property::<Self>::sometimes("as many are out as may be", |fleet: &Fleet, world| {
                out(world) == fleet.at_most as usize
            }),
            Property::<Self>::sometimes("one after another", |_, world: &World| {
                world.members.iter().filter(|one| one.was_out).count() > 1
            }),
        ]
    }
}

fn fleet(members: usize, at_most: u32, attempts: u64, begun: bool) -> Fleet {
    Fleet { voters: 3, members, at_most, attempts, forgetful: false, hasty: false, begun }
}

/// Transitions that are looked at, at the most: the smallest fleet is explored whole within it, the others as deep as it goes.
const MOST: usize = 400_000;

fn holds(fleet: Fleet) {
    let checker = fleet.checker().threads(4).target_state_count(MOST).spawn_bfs().join();
    println!(
        "{} transitions, {} states, {} steps deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery("no more are out than the round allows");
    checker.assert_no_discovery("fences grow");
    checker.assert_any_discovery("as many are out as may be");
}

#[test]
fn one_at_once_of_two_in_every_order() {
    holds(fleet(2, 1, 1, false));
    holds(fleet(2, 1, 2, true));
}

#[test]
fn two_at_once_of_three_in_every_order() {
    holds(fleet(3, 2, 1, true));
}

/// What the claims rest on: without it, the checker finds two out where one may be.
#[test]
fn a_voter_that_forgets_or_a_hasty_write_off_breaks_the_bound() {
    for broken in
        [Fleet { forgetful: true, ..fleet(2, 1, 1, true) }, Fleet { hasty: true, ..fleet(2, 1, 2, true) }]
    {
        let checker = broken.checker().threads(4).target_state_count(4 * MOST).spawn_bfs().join();
        checker.assert_any_discovery("no more are out than the round allows");
    }
}
