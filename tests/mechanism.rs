//! Formula (10) and the doubling pauses of Timer A.

mod common;
use cedarwharf::*;
use common::*;

fn near(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-9, "{left} is not {right}");
}

#[test]
fn t1_is_the_reply_time_where_nothing_is_lost_or_repeated() {
    near(timer_t1(200.0, 0.0, 0.0), 200.0);
}

#[test]
fn t1_is_k_reply_times_where_all_is_lost() {
    near(timer_t1(200.0, 1.0, 3.0), 400.0);
}

#[test]
fn t1_falls_with_repeats_that_no_loss_explains() {
    // R = 1: R/(1+R) = 0.5, a = 0.5, T1 = 640 x (1 - 31.5/64) = 325.
    near(timer_t1(640.0, 0.0, 1.0), 325.0);
    // P = 0.2, R = 1: a = 0.3/0.8 = 0.375, T1 = 640 x (0.8 x (1 - 23.625/64) + 0.4) = 579.
    near(timer_t1(640.0, 0.2, 1.0), 579.0);
}

#[test]
fn a_is_held_at_zero_where_loss_explains_more_than_all_repeats() {
    // R = 0, P = 0.5: a would be -1; T1 = 200 x (0.5 + 1) = 300.
    near(timer_t1(200.0, 0.5, 0.0), 300.0);
}

#[test]
fn a_is_held_at_one_and_t1_at_its_floor() {
    near(timer_t1(640.0, 0.0, 1e18), 10.0);
    near(timer_t1(640.0, 0.0, f64::MAX), 10.0);
}

#[test]
fn the_pause_before_a_try_doubles_from_500_ms_before_any_call_was_served() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    let mut waits = Vec::new();
    for attempt in 0..3 {
        let from = forwarder.now;
        let mut said = forwarder.end_attempt(1, attempt, AttemptOutcome::Error);
        while !sent_ids(&said).contains(&1) {
            said = forwarder.advance(10);
        }
        waits.push(forwarder.now.minus(from).as_ms());
    }
    for (wait, pause) in waits.iter().zip([500.0, 1_000.0, 2_000.0]) {
        assert!(*wait >= pause && *wait <= pause + 3_000.0, "{waits:?}");
    }
    assert!(waits[0] < 520.0, "{waits:?}");
}

#[test]
fn moot_tells_nothing_of_a_destination() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.submit(1, SAFE, None);
    let from = forwarder.now;
    let mut said = forwarder.end_attempt(1, 0, AttemptOutcome::NotSent);
    while sent_ids(&said).is_empty() {
        said = forwarder.advance(10);
    }
    assert!(forwarder.now.minus(from) <= ms(40), "no pause, no outage");
}

#[test]
fn messages_of_a_batching_kind_share_a_call() {
    let batching = EndpointRecord { kind: 1, ..endpoint_record(1, HOME, 10.0) };
    let mut forwarder = TestForwarder::new(settings(), vec![batching]);
    let events: Vec<Event> = (0..3).map(|id| message_event(id, HOME, ms(9_000), SAFE, None)).collect();
    let mut said = Vec::new();
    forwarder.dispatcher.handle(forwarder.now, events, &mut said);
    assert_eq!(sent_ids(&said), [0, 1, 2]);
}
