//! Each of the six rules at the dispatcher's interface, without the simulator.

mod common;
use cedarwharf::*;
use common::*;

#[test]
fn rule_1_message_without_capacity_is_rejected_before_its_deadline() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    forwarder.end_attempt(1, 0, AttemptOutcome::Rejected { retry_after: Some(ms(30_000)) });
    let before = forwarder.advance(11_900);
    assert!(
        !is_rejected(&before, 1) && !is_failed(&before, 1),
        "the message is held while it may still be delivered"
    );
    assert!(is_rejected(&forwarder.advance(120), 1));
}

#[test]
fn rule_1_withdrawn_message_is_neither_sent_nor_reported() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    forwarder.handle(Event::Withdrawn(MessageId(1)));
    let actions = [forwarder.end_attempt(1, 0, AttemptOutcome::TimedOut), forwarder.advance(13_000)].concat();
    assert!(sent_ids(&actions).is_empty() && !is_rejected(&actions, 1) && !is_failed(&actions, 1));
}

#[test]
fn rule_2_unsafe_message_that_may_have_run_fails_at_once() {
    for outcome in
        [AttemptOutcome::TimedOut, AttemptOutcome::Reset, AttemptOutcome::Error, AttemptOutcome::Cancelled]
    {
        let mut forwarder = TestForwarder::with_one_endpoint();
        forwarder.submit(1, UNSAFE, None);
        assert!(is_failed(&forwarder.end_attempt(1, 0, outcome), 1), "{outcome:?}");
        assert!(sent_ids(&forwarder.advance(13_000)).is_empty(), "{outcome:?}");
    }
}

#[test]
fn rule_2_unsafe_message_that_never_ran_is_retried() {
    for outcome in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Rejected { retry_after: None },
        AttemptOutcome::NotSent,
    ] {
        let mut forwarder = TestForwarder::with_one_endpoint();
        forwarder.submit(1, UNSAFE, None);
        forwarder.end_attempt(1, 0, outcome);
        assert_eq!(sent_ids(&forwarder.advance(4_000)), [1], "{outcome:?}");
    }
}

#[test]
fn rule_2_keyed_message_is_not_resent_after_its_window() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, KEYED, None);
    forwarder.now = forwarder.now.plus(ms(5_100));
    let actions = forwarder.end_attempt_after(1, 0, AttemptOutcome::TimedOut, 5_100);
    assert!(is_rejected(&actions, 1));
    assert!(sent_ids(&forwarder.advance(7_000)).is_empty());
}

#[test]
fn rule_2_keyed_message_stays_in_the_zone_that_may_have_run_it() {
    let mut settings = settings();
    settings.classes[KEYED].effect = Effect::Keyed { scope: KeyScope::Zone, window: ms(5_000) };
    let far = EndpointRecord { zone: 1, ..endpoint_record(2, HOME, 10.0) };
    let mut forwarder = TestForwarder::new(settings, vec![endpoint_record(1, HOME, 10.0), far.clone()]);
    forwarder.submit(1, KEYED, None);
    forwarder.end_attempt(1, 0, AttemptOutcome::Reset);
    let gone = EndpointRecord { lifecycle: Lifecycle::Gone, ..endpoint_record(1, HOME, 10.0) };
    forwarder.handle(Event::EndpointRecords(ListScope::Changes, vec![gone]));
    let actions = forwarder.advance(12_000);
    assert!(sent_ids(&actions).is_empty(), "the other zone would run it again");
    assert!(is_failed(&actions, 1), "a rejection would let the client submit it again, and it may have run");
}

#[test]
fn rule_3_draining_endpoint_receives_no_calls_after_the_grace_period() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
        let mut forwarder = TestForwarder::with_one_endpoint();
        let record = EndpointRecord { lifecycle, ..endpoint_record(1, HOME, 10.0) };
        forwarder.handle(Event::EndpointRecords(ListScope::Changes, vec![record]));
        forwarder.advance(700);
        let actions = [forwarder.submit(1, SAFE, None), forwarder.advance(3_000)].concat();
        assert!(sent_ids(&actions).is_empty(), "{lifecycle:?}");
        assert!(
            is_rejected(&actions, 1),
            "{lifecycle:?}: messages for an unknown destination are held briefly, then rejected"
        );
    }
}

#[test]
fn rule_3_endpoint_missing_from_a_whole_list_is_removed() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder
        .handle(Event::EndpointRecords(ListScope::Whole, vec![endpoint_record(2, DestinationId(8), 5.0)]));
    forwarder.advance(700);
    assert!(sent_ids(&forwarder.submit(1, SAFE, None)).is_empty());
}

#[test]
fn rule_4_calls_during_an_outage_and_recovery_stay_within_the_forwarders_budget() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    let mut sent = Vec::new();
    let mut id = 0;
    let mut in_flight: Vec<(u32, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    for step in 0..1_200u64 {
        forwarder.now = forwarder.now.plus(ms(10));
        let mut actions = Vec::new();
        if step % 10 == 0 {
            id += 1;
            actions.extend(forwarder.submit(id, SAFE, None));
        }
        let outcome = if step < 600 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Delivered };
        for (id, attempt) in std::mem::take(&mut in_flight) {
            actions.extend(forwarder.end_attempt(id, attempt, outcome));
        }
        actions.extend(forwarder.handle(Event::Wake));
        for id in sent_ids(&actions) {
            let attempt = attempts.entry(id).or_insert(0);
            in_flight.push((id, *attempt));
            *attempt += 1;
            sent.push((step, id));
        }
    }
    // From the second failure on, the circuit is open or the destination recovers: the budget is 2 x 0.2 x
    // 10/s x 2.5 s, and half of it, 5 calls, is for each forwarder.
    let after: Vec<u64> =
        sent.iter().map(|&(step, _)| step).filter(|&step| (20..700).contains(&step)).collect();
    assert!(after.len() > 3, "trial calls continue: {after:?}");
    for &start in &after {
        let window = after.iter().filter(|&&step| (start..start + 250).contains(&step)).count();
        assert!(window <= 6, "{window} calls within the window from step {start}");
    }
    assert!(sent.iter().any(|&(step, _)| step > 620), "the destination is used again after the outage");
}

#[test]
fn rule_5_messages_with_one_key_are_sent_one_at_a_time_in_order() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    let mut actions = forwarder.submit(1, ORDERED, Some(5));
    actions.extend(forwarder.submit(2, ORDERED, Some(5)));
    actions.extend(forwarder.submit(3, ORDERED, Some(6)));
    actions.extend(forwarder.advance(300));
    assert_eq!(sent_ids(&actions), [1, 3]);
    assert_eq!(
        sent_ids(&[forwarder.end_attempt(1, 0, AttemptOutcome::Delivered), forwarder.advance(300)].concat()),
        [2]
    );
}

#[test]
fn rule_5_key_backs_off_after_an_unknown_outcome() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, ORDERED, Some(5));
    forwarder.end_attempt(9, 0, AttemptOutcome::Delivered);
    forwarder.submit(2, ORDERED, Some(5));
    let mut actions = forwarder.end_attempt(1, 0, AttemptOutcome::Reset);
    actions.extend(forwarder.advance(390));
    assert!(sent_ids(&actions).is_empty());
    assert_eq!(sent_ids(&forwarder.advance(1_500)), [2]);
}

#[test]
fn rule_5_withdrawn_message_holds_its_key_until_its_attempt_ends() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, ORDERED, Some(5));
    forwarder.submit(2, ORDERED, Some(5));
    assert!(sent_ids(&[forwarder.handle(Event::Withdrawn(MessageId(1))), forwarder.advance(1_000)].concat())
        .is_empty());
    assert_eq!(
        sent_ids(&[forwarder.end_attempt(1, 0, AttemptOutcome::Delivered), forwarder.advance(100)].concat()),
        [2]
    );
}

#[test]
fn rule_6_destination_receives_no_calls_during_its_retry_after() {
    let mut forwarder =
        TestForwarder::new(settings(), vec![endpoint_record(1, HOME, 10.0), endpoint_record(2, HOME, 10.0)]);
    forwarder.submit(1, SAFE, None);
    forwarder.end_attempt(1, 0, AttemptOutcome::Rejected { retry_after: Some(ms(1_500)) });
    let actions = [forwarder.submit(2, SAFE, None), forwarder.advance(1_490)].concat();
    assert!(sent_ids(&actions).is_empty(), "neither endpoint receives a call");
    assert!(!sent_ids(&forwarder.advance(2_000)).is_empty());
}

#[test]
fn rule_6_retry_after_blocks_one_route_when_routes_are_separate() {
    let mut settings = settings();
    settings.kinds[0].separate_routes = true;
    let mut forwarder =
        TestForwarder::new(settings, vec![endpoint_record(1, HOME, 10.0), endpoint_record(2, HOME, 10.0)]);
    let first = forwarder.submit(1, SAFE, None);
    let Some(Action::Send { endpoint, .. }) = first.first().cloned() else { panic!("not sent: {first:?}") };
    forwarder.end_attempt(1, 0, AttemptOutcome::Rejected { retry_after: Some(ms(1_500)) });
    let actions = [forwarder.submit(2, SAFE, None), forwarder.advance(1_000)].concat();
    assert!(!sent_ids(&actions).is_empty());
    assert!(actions.iter().all(|a| !matches!(a, Action::Send { endpoint: to, .. } if *to == endpoint)));
}

#[test]
fn rule_6_first_rejected_message_of_a_batch_blocks_the_others() {
    let batching = EndpointRecord { kind: 1, ..endpoint_record(1, HOME, 10.0) };
    let mut forwarder = TestForwarder::new(settings(), vec![batching]);
    forwarder.submit(1, SAFE, None);
    forwarder.end_attempt(1, 0, AttemptOutcome::Rejected { retry_after: Some(ms(100)) });
    forwarder.submit(2, SAFE, None);
    forwarder.submit(3, SAFE, None);
    let mut both = Vec::new();
    while sent_ids(&both).len() < 2 {
        both.extend(forwarder.advance(10));
    }
    let together = sent_ids(&both);
    forwarder.end_attempt(
        together[0],
        u32::from(together[0] == 1),
        AttemptOutcome::Rejected { retry_after: Some(ms(2_000)) },
    );
    assert!(
        sent_ids(&forwarder.advance(1_900)).is_empty(),
        "the other message of the batch is still in flight"
    );
}

/// Guards against incident i0ffc33: a small destination of two endpoints stopped answering. Each of many
/// forwarders timed out at one endpoint and tried the other half a second later, just as it returned: 5.2
/// times its capacity.
#[test]
fn one_timeout_stops_calls_to_all_endpoints_of_a_rarely_called_destination() {
    let count = |spent, outcome| -> usize {
        let calls = (0..40).map(|seed| {
            let mut settings = settings();
            (settings.forwarders, settings.weights) = (300, Weights::Absent);
            let mut forwarder = TestForwarder::new(settings.clone(), Vec::new());
            forwarder.dispatcher = Dispatcher::new(settings, seed * 7_919);
            forwarder.handle(Event::EndpointRecords(
                ListScope::Cached,
                vec![endpoint_record(1, HOME, 0.0), endpoint_record(2, HOME, 0.0)],
            ));
            forwarder.submit(1, SAFE, None);
            forwarder.end_attempt_after(1, 0, outcome, spent);
            sent_ids(&forwarder.advance(2_500)).len()
        });
        calls.sum()
    };
    assert!(
        count(1_000, AttemptOutcome::ConnectFailed) <= 8,
        "{}",
        count(1_000, AttemptOutcome::ConnectFailed)
    );
    assert!(count(2_000, AttemptOutcome::TimedOut) <= 8, "{}", count(2_000, AttemptOutcome::TimedOut));
    assert!(
        count(40, AttemptOutcome::ConnectFailed) >= 30,
        "a full connection table doesn't stop calls to the other endpoint"
    );
}
