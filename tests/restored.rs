//! How the dispatcher handles messages recovered after a restart, and a retry-after that comes with other
//! outcomes.

mod common;

use cedarwharf::*;
use common::*;

fn restore(forwarder: &mut TestForwarder, class: usize, history: AttemptHistory) -> Vec<Action> {
    let time_left = ms(5_000);
    let message =
        Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
    forwarder.handle(Event::Restored(MessageId(1), message, history))
}

fn may_have_run(forwarder: &TestForwarder, ago: u64) -> AttemptHistory {
    AttemptHistory {
        effect: None,
        attempts: 1,
        may_have_run: Some((forwarder.now.minus(ms(ago)), EndpointId(1))),
    }
}

#[test]
fn recovered_unsafe_message_fails_if_it_may_have_run_and_is_sent_if_it_never_ran() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    let history = may_have_run(&forwarder, 500);
    assert!(is_failed(&restore(&mut forwarder, UNSAFE, history), 1));
    let mut forwarder = TestForwarder::with_one_endpoint();
    let history = AttemptHistory { effect: None, attempts: 1, may_have_run: None };
    assert_eq!(sent_ids(&restore(&mut forwarder, UNSAFE, history)), [1]);
}

#[test]
fn recovered_keyed_message_keeps_the_repeat_window_of_the_first_attempt_that_may_have_run() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.now = ms(20_000);
    let history = may_have_run(&forwarder, 4_500);
    assert_eq!(sent_ids(&restore(&mut forwarder, KEYED, history)), [1]);
    let mut forwarder = TestForwarder::with_one_endpoint();
    forwarder.now = ms(20_000);
    let history = may_have_run(&forwarder, 5_100);
    let said = restore(&mut forwarder, KEYED, history);
    assert!(sent_ids(&said).is_empty() && is_rejected(&said, 1));
}

#[test]
fn recovered_message_keeps_its_attempt_count() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    let history = AttemptHistory { effect: None, attempts: 4, may_have_run: None };
    assert_eq!(sent_ids(&restore(&mut forwarder, SAFE, history)), [1]);
    // The settings allow five attempts.
    assert!(is_rejected(&forwarder.end_attempt(1, 4, AttemptOutcome::Rejected { retry_after: None }), 1));
}

#[test]
fn retry_after_that_comes_with_a_delivery_applies() {
    let mut forwarder = TestForwarder::with_one_endpoint();
    assert_eq!(sent_ids(&forwarder.submit(1, SAFE, None)), [1]);
    forwarder.handle(Event::RetryAfter(EndpointId(1), ms(600)));
    assert!(sent_ids(&forwarder.end_attempt(1, 0, AttemptOutcome::Delivered)).is_empty());
    assert!(sent_ids(&forwarder.submit(2, SAFE, None)).is_empty());
    assert!(sent_ids(&forwarder.advance(580)).is_empty());
    assert_eq!(sent_ids(&forwarder.advance(60)), [2]);
}

/// Recovers untried messages of one class with `time_left_ms` until their deadline.
fn recover(forwarder: &mut TestForwarder, ids: std::ops::Range<u32>, class: usize, time_left_ms: u64) {
    for id in ids {
        let time_left = ms(time_left_ms);
        let message =
            Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
        forwarder.handle(Event::Restored(
            MessageId(id),
            message,
            AttemptHistory { effect: None, attempts: 0, may_have_run: None },
        ));
    }
}

/// Runs one call at a time, each answered after 50 ms, while newer messages always wait. Returns the messages
/// sent within `millis`, in order. Message `in_flight` is in flight at the start.
fn sent_beside_newer(forwarder: &mut TestForwarder, mut in_flight: u32, millis: u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for number in 0..millis / 50 {
        let mut said = forwarder.submit(100 + number as u32, SAFE, None);
        forwarder.now = forwarder.now.plus(ms(50));
        said.extend(forwarder.end_attempt_after(in_flight, 0, AttemptOutcome::Delivered, 50));
        sent.extend(sent_ids(&said));
        in_flight = *sent.last().unwrap();
    }
    sent
}

fn one_slot() -> Settings {
    // A late message has lost most of its worth and loses little more, so newer ones are sent first.
    Settings { slots: 1, worth_decay: WorthDecay::Halving, ..settings() }
}

#[test]
fn recovered_messages_wait_behind_newer_ones_and_are_all_sent_before_their_deadline() {
    let mut forwarder = TestForwarder::new(one_slot(), vec![endpoint_record(1, HOME, 100.0)]);
    forwarder.now = ms(20_000);
    forwarder.submit(99, SAFE, None);
    recover(&mut forwarder, 1..13, SAFE, 4_000);
    let sent = sent_beside_newer(&mut forwarder, 99, 4_000);
    let recovered = |ids: &[u32]| ids.iter().filter(|id| **id < 13).count();
    assert_eq!(recovered(&sent[..30]), 0, "newer messages lose more worth by waiting: {sent:?}");
    assert_eq!(recovered(&sent), 12, "ended without an attempt: {sent:?}");
}

#[test]
fn recovered_unsafe_message_waits_for_a_repeatable_one_to_probe_a_half_open_destination() {
    let mut forwarder = TestForwarder::new(one_slot(), vec![endpoint_record(1, HOME, 100.0)]);
    for id in 90..92 {
        forwarder.submit(id, SAFE, None);
        forwarder.end_attempt(id, 0, AttemptOutcome::Error);
        forwarder.handle(Event::Withdrawn(MessageId(id)));
    }
    assert_eq!(sent_ids(&forwarder.submit(99, SAFE, None)), [0; 0], "the destination's circuit is open");
    recover(&mut forwarder, 1..41, UNSAFE, 3_000);
    let sent = sent_ids(&forwarder.advance(3_000));
    assert_eq!(sent.first(), Some(&99), "the repeatable message probes the destination: {sent:?}");
}
