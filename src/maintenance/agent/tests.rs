use super::super::ledger::OutageLimits;
use super::*;
use crate::maintenance::ledger::{MaintenancePlan, MemberStatus};

struct NoOtherMembers;

impl FleetView for NoOtherMembers {
    fn state(&self, _: &str) -> Option<State> {
        None
    }

    fn counts(&self) -> (u32, u32) {
        (3, 3)
    }
}

const IN_SERVICE: ProcessState =
    ProcessState { in_service: true, settled: true, draining: false, drained: false };
const DRAINING: ProcessState =
    ProcessState { in_service: false, settled: true, draining: true, drained: false };

fn s(seconds: f64) -> Micros {
    Micros(1_000_000_000 + (seconds * 1e6) as u64)
}

fn plan_request(id: &str) -> Change {
    Change::AddPlan(MaintenancePlan {
        id: id.to_owned(),
        names: vec!["me".into()],
        statuses: vec![MemberStatus::Pending],
        limits: OutageLimits { at_most: 1, in_service_permille: 0 },
        window: Micros(20_000_000),
        until: s(900.0),
        state: PlanState::Open,
    })
}

/// Runs one iteration of an agent that is the only voter. A message that it sends to itself is
/// delivered if `passes` returns true. Returns the other outputs.
fn run_once(
    agent: &mut Agent,
    now: Micros,
    process: ProcessState,
    passes: impl Fn(&Message) -> bool,
) -> Vec<Output> {
    let (mut out, mut others) = (Vec::new(), Vec::new());
    agent.tick(now, process, &NoOtherMembers, &mut out);
    let mut queue = VecDeque::from(out);
    while let Some(output) = queue.pop_front() {
        match output {
            Output::Send(name, message) if name == "me" => {
                let mut more = Vec::new();
                if passes(&message) {
                    agent.receive(now, "me", message, &mut more);
                }
                queue.extend(more);
            }
            Output::Persist(_) => agent.persisted(true),
            other => others.push(other),
        }
    }
    others
}

fn agent_with_plan() -> Agent {
    let mut agent = Agent::new(("me", 7), &["me".to_owned()], Some(Acceptor::default()), None, 1, s(0.0));
    agent.submit(s(0.0), 5, plan_request("r"));
    let outputs = run_once(&mut agent, s(0.0), DRAINING, |_| true);
    assert!(matches!(&outputs[..], [Output::Answer(5, Ok(_))]), "{outputs:?}");
    agent
}

fn starts_drain(outputs: &[Output]) -> bool {
    outputs.iter().any(|one| matches!(one, Output::Drain(_)))
}

#[test]
fn forwarder_drains_on_its_turn_and_releases_the_lease_after_stable_service() {
    let mut agent = agent_with_plan();
    assert!(
        !starts_drain(&run_once(&mut agent, s(1.0), DRAINING, |_| true)),
        "not while operators have it drain"
    );
    run_once(&mut agent, s(2.0), IN_SERVICE, |_| true);
    assert!(starts_drain(&run_once(&mut agent, s(2.1), IN_SERVICE, |_| true)));
    run_once(&mut agent, s(6.0), ProcessState { drained: true, ..DRAINING }, |_| true);
    assert_eq!(agent.own_lease().map(|mine| (mine.stage, mine.until)), Some((Stage::Out, s(22.0))));
    let outputs = run_once(&mut agent, s(22.0), ProcessState { drained: true, ..DRAINING }, |_| true);
    assert!(outputs.contains(&Output::EndDrain), "{outputs:?}");
    run_once(&mut agent, s(22.1), IN_SERVICE, |_| true);
    run_once(&mut agent, s(23.0), ProcessState { settled: false, ..IN_SERVICE }, |_| true);
    run_once(&mut agent, s(24.0), IN_SERVICE, |_| true);
    run_once(&mut agent, s(25.9), IN_SERVICE, |_| true);
    assert!(agent.own_lease().is_some(), "in service for 1.9 s of the required 2 s");
    run_once(&mut agent, s(26.0), IN_SERVICE, |_| true);
    run_once(&mut agent, s(26.1), IN_SERVICE, |_| true);
    assert_eq!(
        (agent.own_lease(), agent.ledger().0.plan("r").unwrap().status_of("me")),
        (None, Some(MemberStatus::Returned))
    );
}

#[test]
fn lease_granted_too_late_is_released_without_a_drain_and_requested_again() {
    let mut agent = agent_with_plan();
    // The voter accepts the lease, but its answer is lost; then no message passes for 6 s.
    run_once(&mut agent, s(2.0), IN_SERVICE, |message| !matches!(message, Message::Accepted(_)));
    for tenth in 21..80 {
        let outputs = run_once(&mut agent, s(f64::from(tenth) / 10.0), IN_SERVICE, |_| false);
        assert!(!starts_drain(&outputs), "{outputs:?}");
    }
    let mut outputs = Vec::new();
    for tenth in 80..100 {
        outputs.extend(run_once(&mut agent, s(f64::from(tenth) / 10.0), IN_SERVICE, |_| true));
    }
    let released = |one: &Output| matches!(one, Output::Log(line) if line.contains("it arrived too late"));
    let index = outputs.iter().position(released).expect("the lease is released");
    assert!(!starts_drain(&outputs[..index]), "{outputs:?}");
    // It requests a new lease.
    assert!(starts_drain(&outputs[index..]), "{outputs:?}");
    assert!(agent.ledger().0.lease("me").unwrap().fence > Fence(3));
}

#[test]
fn process_stopped_past_its_window_ends_the_drain_first() {
    let mut agent = agent_with_plan();
    run_once(&mut agent, s(2.0), IN_SERVICE, |_| true);
    assert!(starts_drain(&run_once(&mut agent, s(2.1), IN_SERVICE, |_| true)));
    run_once(&mut agent, s(2.2), DRAINING, |_| true);
    let outputs = run_once(&mut agent, s(300.0), DRAINING, |_| true);
    assert_eq!(
        outputs.iter().position(|one| *one == Output::EndDrain),
        Some(1),
        "after its log line: {outputs:?}"
    );
    // The lease was written off in the meantime: once the agent learns this, it has no lease to
    // release.
    let fence = agent.own_lease().unwrap().fence;
    let written_off = agent.ledger().0.apply(&Change::WriteOffLease("me".into(), fence)).unwrap();
    agent.receive(s(300.1), "me", Message::LedgerUpdate(written_off), &mut Vec::new());
    run_once(&mut agent, s(300.2), IN_SERVICE, |_| true);
    assert_eq!(agent.own_lease(), None);
}

#[test]
fn vote_that_could_not_be_persisted_is_persisted_before_the_next_answer() {
    let mut agent = Agent::new(("me", 7), &["me".to_owned()], Some(Acceptor::default()), None, 1, s(0.0));
    let ballot = Ballot { round: 9, name: "x".into(), generation: 1 };
    let vote = |agent: &mut Agent, written: bool| {
        let mut out = Vec::new();
        agent.receive(s(0.0), "x", Message::Prepare(ballot.clone()), &mut out);
        agent.persisted(written);
        out.iter().filter(|one| matches!(one, Output::Persist(_))).count()
    };
    assert_eq!((vote(&mut agent, false), vote(&mut agent, true), vote(&mut agent, true)), (1, 1, 0));
    let mut none = Agent::new(("me", 7), &["me".to_owned()], None, None, 1, s(0.0));
    assert_eq!((vote(&mut none, true), none.votes()), (0, false), "it abstains");
}
