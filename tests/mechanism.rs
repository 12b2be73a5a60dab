//! T1 by formula (10), the doubling backoff of Timer A, attempts that were not sent, and batches.

mod common;
use cedarwharf::*;
use common::*;

fn assert_near(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-9, "{left} is not {right}");
}

#[test]
fn t1_is_the_response_time_without_loss_and_retransmissions() {
    assert_near(timer_t1(200.0, 0.0, 0.0), 200.0);
}

#[test]
fn t1_is_k_times_the_response_time_when_all_calls_are_lost() {
    assert_near(timer_t1(200.0, 1.0, 3.0), 400.0);
}

#[test]
fn t1_falls_with_retransmissions_that_loss_does_not_explain() {
    // R = 1: R/(1+R) = 0.5, a = 0.5, T1 = 640 x (1 - 31.5/64) = 325.
    assert_near(timer_t1(640.0, 0.0, 1.0), 325.0);
    // P = 0.2, R = 1: a = 0.3/0.8 = 0.375, T1 = 640 x (0.8 x (1 - 23.625/64) + 0.4) = 579.
    assert_near(timer_t1(640.0, 0.2, 1.0), 579.0);
}

#[test]
fn a_is_at_least_zero_when_loss_explains_more_than_all_retransmissions() {
    // R = 0, P = 0.5: a would be -1; T1 = 200 x (0.5 + 1) = 300.
    assert_near(timer_t1(200.0, 0.5, 0.0), 300.0);
}

#[test]
fn a_is_at_most_one_and_t1_at_least_its_floor() {
    assert_near(timer_t1(640.0, 0.0, 1e18), 10.0);
    assert_near(timer_t1(640.0, 0.0, f64::MAX), 10.0);
}

#[test]
fn retry_backoff_doubles_from_500_ms_before_the_first_served_call() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    let mut waits = Vec::new();
    for attempt in 0..3 {
        let from = forwarder.now;
        let mut actions = forwarder.end_attempt(1, attempt, AttemptOutcome::Error);
        while !sent_ids(&actions).contains(&1) {
            actions = forwarder.advance(10);
        }
        waits.push(forwarder.now.minus(from).as_ms());
    }
    for (wait, backoff) in waits.iter().zip([500.0, 1_000.0, 2_000.0]) {
        assert!(*wait >= backoff && *wait <= backoff + 3_000.0, "{waits:?}");
    }
    assert!(waits[0] < 520.0, "{waits:?}");
}

#[test]
fn attempt_that_was_not_sent_does_not_count_against_the_destination() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    let from = forwarder.now;
    let mut actions = forwarder.end_attempt(1, 0, AttemptOutcome::NotSent);
    while sent_ids(&actions).is_empty() {
        actions = forwarder.advance(10);
    }
    assert!(forwarder.now.minus(from) <= ms(40), "neither a backoff nor an open circuit");
}

#[test]
fn messages_for_an_endpoint_kind_with_batches_share_a_call() {
    let batching = EndpointRecord { kind: 1, ..endpoint_record(1, HOME, 10.0) };
    let mut forwarder = TestForwarder::new(settings(), vec![batching]);
    let events: Vec<Event> = (0..3).map(|id| message_event(id, HOME, ms(9_000), SAFE, None)).collect();
    let mut actions = Vec::new();
    forwarder.dispatcher.handle(forwarder.now, events, &mut actions);
    assert_eq!(sent_ids(&actions), [0, 1, 2]);
}
