//! What the module makes of messages that outlived a process, and of waits told beside other outcomes.

mod common;

use cedarwharf::*;
use common::*;

fn restore(sender: &mut Sender, class: usize, past: AttemptHistory) -> Vec<Action> {
    let time_left = ms(5_000);
    let message =
        Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
    sender.hear(Event::Restored(MessageId(1), message, past))
}

fn ran(sender: &Sender, ago: u64) -> AttemptHistory {
    AttemptHistory { attempts: 1, may_have_run: Some((sender.now.minus(ms(ago)), EndpointId(1))) }
}

#[test]
fn an_unsafe_message_that_was_out_is_failed_and_one_that_never_ran_is_sent() {
    let mut sender = Sender::simple();
    let past = ran(&sender, 500);
    assert!(failed(&restore(&mut sender, UNSAFE, past), 1));
    let mut sender = Sender::simple();
    let past = AttemptHistory { attempts: 1, may_have_run: None };
    assert_eq!(sends(&restore(&mut sender, UNSAFE, past)), [1]);
}

#[test]
fn a_keyed_message_keeps_its_window_from_the_first_send_that_may_have_run() {
    let mut sender = Sender::simple();
    sender.now = ms(20_000);
    let past = ran(&sender, 4_500);
    assert_eq!(sends(&restore(&mut sender, KEYED, past)), [1]);
    let mut sender = Sender::simple();
    sender.now = ms(20_000);
    let past = ran(&sender, 5_100);
    let said = restore(&mut sender, KEYED, past);
    assert!(sends(&said).is_empty() && refused(&said, 1));
}

#[test]
fn attempts_go_on_counting() {
    let mut sender = Sender::simple();
    let past = AttemptHistory { attempts: 4, may_have_run: None };
    assert_eq!(sends(&restore(&mut sender, SAFE, past)), [1]);
    // The fifth was the last that the settings allow.
    assert!(refused(&sender.settle(1, 4, AttemptOutcome::Rejected { retry_after: None }), 1));
}

#[test]
fn a_wait_told_beside_a_delivery_binds() {
    let mut sender = Sender::simple();
    assert_eq!(sends(&sender.message(1, SAFE, None)), [1]);
    sender.hear(Event::RetryAfter(EndpointId(1), ms(600)));
    assert!(sends(&sender.settle(1, 0, AttemptOutcome::Delivered)).is_empty());
    assert!(sends(&sender.message(2, SAFE, None)).is_empty());
    assert!(sends(&sender.wait(580)).is_empty());
    assert_eq!(sends(&sender.wait(60)), [2]);
}

/// Recovered, untried messages of one class, with so much time left.
fn recover(sender: &mut Sender, ids: std::ops::Range<u32>, class: usize, left: u64) {
    for id in ids {
        let time_left = ms(left);
        let message =
            Submission { destination: HOME, time_left, class, key: None, tenant: 0, resubmitted: false };
        sender.hear(Event::Restored(
            MessageId(id),
            message,
            AttemptHistory { attempts: 0, may_have_run: None },
        ));
    }
}

/// One call at a time, each answered after 50 ms, and always newer messages that wait: what is called for, in order, in so many
/// milliseconds. Call `out` is out before.
fn called_beside_newer(sender: &mut Sender, mut out: u32, millis: u64) -> Vec<u32> {
    let mut called = Vec::new();
    for number in 0..millis / 50 {
        let mut said = sender.message(100 + number as u32, SAFE, None);
        sender.now = sender.now.plus(ms(50));
        said.extend(sender.settle_after(out, 0, AttemptOutcome::Delivered, 50));
        called.extend(sends(&said));
        out = *called.last().unwrap();
    }
    called
}

fn one_slot() -> Settings {
    // A late message has lost most of its worth, and loses little more: newer ones are worth sending first.
    Settings { slots: 1, worth_decay: WorthDecay::Halving, ..settings() }
}

#[test]
fn recovered_messages_wait_while_there_is_time_and_are_all_called_for_before_it_ends() {
    let mut sender = Sender::new(one_slot(), vec![member(1, HOME, 100.0)]);
    sender.now = ms(20_000);
    sender.message(99, SAFE, None);
    recover(&mut sender, 1..13, SAFE, 4_000);
    let called = called_beside_newer(&mut sender, 99, 4_000);
    let recovered = |ids: &[u32]| ids.iter().filter(|id| **id < 13).count();
    assert_eq!(recovered(&called[..30]), 0, "newer ones lose more by waiting: {called:?}");
    assert_eq!(recovered(&called), 12, "ended with no call: {called:?}");
}

#[test]
fn a_recovered_message_that_may_not_be_repeated_waits_at_a_doubtful_destination_for_one_that_may() {
    let mut sender = Sender::new(one_slot(), vec![member(1, HOME, 100.0)]);
    for id in 90..92 {
        sender.message(id, SAFE, None);
        sender.settle(id, 0, AttemptOutcome::Error);
        sender.hear(Event::Withdrawn(MessageId(id)));
    }
    assert_eq!(sends(&sender.message(99, SAFE, None)), [0; 0], "the destination is out");
    recover(&mut sender, 1..41, UNSAFE, 3_000);
    let called = sends(&sender.wait(3_000));
    assert_eq!(called.first(), Some(&99), "the repeatable one finds out: {called:?}");
}
