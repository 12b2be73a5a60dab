//! How the dispatcher handles messages recovered after a restart, and a retry-after that comes with other
//! outcomes.

mod common;

use cedarwharf::*;
use common::*;

fn restore(sender: &mut Sender, class: usize, history: AttemptHistory) -> Vec<Action> {
    let time_left = ms(5_000);
    let message =
        Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
    sender.hear(Event::Restored(MessageId(1), message, history))
}

fn may_have_run(sender: &Sender, ago: u64) -> AttemptHistory {
    AttemptHistory { attempts: 1, may_have_run: Some((sender.now.minus(ms(ago)), EndpointId(1))) }
}

#[test]
fn recovered_unsafe_message_fails_if_it_may_have_run_and_is_sent_if_it_never_ran() {
    let mut sender = Sender::simple();
    let history = may_have_run(&sender, 500);
    assert!(failed(&restore(&mut sender, UNSAFE, history), 1));
    let mut sender = Sender::simple();
    let history = AttemptHistory { attempts: 1, may_have_run: None };
    assert_eq!(sends(&restore(&mut sender, UNSAFE, history)), [1]);
}

#[test]
fn recovered_keyed_message_keeps_the_repeat_window_of_the_first_attempt_that_may_have_run() {
    let mut sender = Sender::simple();
    sender.now = ms(20_000);
    let history = may_have_run(&sender, 4_500);
    assert_eq!(sends(&restore(&mut sender, KEYED, history)), [1]);
    let mut sender = Sender::simple();
    sender.now = ms(20_000);
    let history = may_have_run(&sender, 5_100);
    let said = restore(&mut sender, KEYED, history);
    assert!(sends(&said).is_empty() && refused(&said, 1));
}

#[test]
fn recovered_message_keeps_its_attempt_count() {
    let mut sender = Sender::simple();
    let history = AttemptHistory { attempts: 4, may_have_run: None };
    assert_eq!(sends(&restore(&mut sender, SAFE, history)), [1]);
    // The settings allow five attempts.
    assert!(refused(&sender.settle(1, 4, AttemptOutcome::Rejected { retry_after: None }), 1));
}

#[test]
fn retry_after_that_comes_with_a_delivery_applies() {
    let mut sender = Sender::simple();
    assert_eq!(sends(&sender.message(1, SAFE, None)), [1]);
    sender.hear(Event::RetryAfter(EndpointId(1), ms(600)));
    assert!(sends(&sender.settle(1, 0, AttemptOutcome::Delivered)).is_empty());
    assert!(sends(&sender.message(2, SAFE, None)).is_empty());
    assert!(sends(&sender.wait(580)).is_empty());
    assert_eq!(sends(&sender.wait(60)), [2]);
}

/// Recovers untried messages of one class with `time_left_ms` until their deadline.
fn recover(sender: &mut Sender, ids: std::ops::Range<u32>, class: usize, time_left_ms: u64) {
    for id in ids {
        let time_left = ms(time_left_ms);
        let message =
            Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
        sender.hear(Event::Restored(
            MessageId(id),
            message,
            AttemptHistory { attempts: 0, may_have_run: None },
        ));
    }
}

/// Runs one call at a time, each answered after 50 ms, while newer messages always wait. Returns the messages
/// sent within `millis`, in order. Message `in_flight` is in flight at the start.
fn sent_beside_newer(sender: &mut Sender, mut in_flight: u32, millis: u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for number in 0..millis / 50 {
        let mut said = sender.message(100 + number as u32, SAFE, None);
        sender.now = sender.now.plus(ms(50));
        said.extend(sender.settle_after(in_flight, 0, AttemptOutcome::Delivered, 50));
        sent.extend(sends(&said));
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
    let mut sender = Sender::new(one_slot(), vec![member(1, HOME, 100.0)]);
    sender.now = ms(20_000);
    sender.message(99, SAFE, None);
    recover(&mut sender, 1..13, SAFE, 4_000);
    let sent = sent_beside_newer(&mut sender, 99, 4_000);
    let recovered = |ids: &[u32]| ids.iter().filter(|id| **id < 13).count();
    assert_eq!(recovered(&sent[..30]), 0, "newer messages lose more worth by waiting: {sent:?}");
    assert_eq!(recovered(&sent), 12, "ended without an attempt: {sent:?}");
}

#[test]
fn recovered_unsafe_message_waits_for_a_repeatable_one_to_probe_a_half_open_destination() {
    let mut sender = Sender::new(one_slot(), vec![member(1, HOME, 100.0)]);
    for id in 90..92 {
        sender.message(id, SAFE, None);
        sender.settle(id, 0, AttemptOutcome::Error);
        sender.hear(Event::Withdrawn(MessageId(id)));
    }
    assert_eq!(sends(&sender.message(99, SAFE, None)), [0; 0], "the destination's circuit is open");
    recover(&mut sender, 1..41, UNSAFE, 3_000);
    let sent = sends(&sender.wait(3_000));
    assert_eq!(sent.first(), Some(&99), "the repeatable message probes the destination: {sent:?}");
}
