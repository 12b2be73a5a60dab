use super::super::ledger::{MaintenancePlan, MemberStatus, OutageLimits, PlanState};
use super::*;
use crate::Micros;

fn ballot(round: u64, name: &str) -> Ballot {
    Ballot { round, name: name.to_owned(), generation: 1 }
}

fn add_plan(id: &str) -> Change {
    Change::AddPlan(MaintenancePlan {
        id: id.to_owned(),
        names: vec!["a".into()],
        statuses: vec![MemberStatus::Pending],
        limits: OutageLimits { at_most: 1, in_service_permille: 0 },
        window: Micros(1),
        until: Micros(1),
        state: PlanState::Open,
    })
}

/// Sends a message to some voters and passes their answers to the proposal.
fn send(voters: &mut [Acceptor], to: &[usize], proposal: &mut Proposal, message: &Message) -> Progress {
    let mut last = Progress::Waiting;
    for &index in to {
        if let Some((answer, _)) = voters[index].handle(message) {
            let progress = proposal.receive(&format!("v{index}"), &answer);
            if progress != Progress::Waiting {
                last = progress;
            }
        }
    }
    last
}

fn change(voters: &mut [Acceptor], to: &[usize], ballot: Ballot, change: Change) -> Progress {
    let (mut proposal, prepare) = Proposal::new(ballot, change, voters.len());
    match send(voters, to, &mut proposal, &prepare) {
        Progress::Send(accept) => send(voters, to, &mut proposal, &accept),
        other => other,
    }
}

#[test]
fn change_applies_to_the_previous_result_whichever_majority_answers() {
    let mut voters = vec![Acceptor::default(); 3];
    assert!(matches!(change(&mut voters, &[0, 1], ballot(1, "x"), add_plan("one")), Progress::Committed(_)));
    let Progress::Committed(ledger) = change(&mut voters, &[1, 2], ballot(2, "y"), add_plan("two")) else {
        panic!()
    };
    assert_eq!((ledger.version, ledger.plans.len()), (2, 2));
    let Progress::Refused(refusal, ledger) = change(&mut voters, &[0, 2], ballot(3, "z"), add_plan("one"))
    else {
        panic!()
    };
    assert_eq!((refusal, ledger.version), (Refusal::PlanExists, 2));
    assert_eq!(
        change(&mut voters, &[2], ballot(4, "z"), add_plan("three")),
        Progress::Waiting,
        "one of three"
    );
}

#[test]
fn preempted_proposer_changes_nothing_and_the_next_completes_a_partly_accepted_change() {
    let mut voters = vec![Acceptor::default(); 3];
    let (mut slow, prepare) = Proposal::new(ballot(1, "slow"), add_plan("slow"), 3);
    let Progress::Send(accept) = send(&mut voters, &[0, 1], &mut slow, &prepare) else { panic!() };
    assert!(matches!(
        change(&mut voters, &[1, 2], ballot(2, "fast"), add_plan("fast")),
        Progress::Committed(_)
    ));
    // Voter 0 still accepts it, voter 1 does not: there is no majority.
    assert_eq!(send(&mut voters, &[0, 1], &mut slow, &accept), Progress::Preempted(2));
    let Progress::Committed(ledger) = change(&mut voters, &[0, 1, 2], ballot(3, "next"), add_plan("next"))
    else {
        panic!()
    };
    assert_eq!(ledger.plans.iter().map(|plan| &plan.id[..]).collect::<Vec<_>>(), ["fast", "next"]);
    // Only one voter accepts it, and its proposer dies. The next proposer that reads it from that voter
    // commits it for good.
    let (mut crashed, prepare) = Proposal::new(ballot(4, "crashed"), add_plan("crashed"), 3);
    let Progress::Send(accept) = send(&mut voters, &[0, 1], &mut crashed, &prepare) else { panic!() };
    send(&mut voters, &[0], &mut crashed, &accept);
    let Progress::Committed(ledger) =
        change(&mut voters, &[0, 2], ballot(5, "successor"), add_plan("successor"))
    else {
        panic!()
    };
    assert!(ledger.plan("crashed").is_some() && ledger.plan("successor").is_some());
}

#[test]
fn duplicate_and_late_answers_change_nothing() {
    let mut voters = vec![Acceptor::default(); 3];
    let (mut proposal, prepare) = Proposal::new(ballot(1, "x"), add_plan("one"), 3);
    let (promise, changed) = voters[0].handle(&prepare).unwrap();
    assert!(changed && !voters[0].handle(&prepare).unwrap().1, "the second time there is nothing to write");
    assert_eq!(proposal.receive("v0", &promise), Progress::Waiting);
    assert_eq!(proposal.receive("v0", &promise), Progress::Waiting, "one voter counts once");
    assert_eq!(proposal.receive("v1", &Message::Accepted(ballot(1, "x"))), Progress::Waiting);
    assert_eq!(
        proposal.receive("v1", &Message::TooLow { ballot: ballot(0, "x"), promised: ballot(9, "y") }),
        Progress::Waiting
    );
    assert!(matches!(proposal.current_request(), Some(Message::Prepare(_))));
}
