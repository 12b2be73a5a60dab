use super::*;

const AT: Micros = Micros(1_000_000_000);

fn after(ms: u64) -> Micros {
    AT.plus(Micros(ms * 1_000))
}

#[test]
fn request_received_after_the_decision_to_close_is_not_accepted() {
    for mut state in [
        ConnectionState::open(AT),
        ConnectionState::Idle { since: AT },
        ConnectionState::Reading { since: AT, first: false },
    ] {
        state.close(after(10));
        // A race may deliver input, a complete request and an answer after the decision.
        state.request_started(after(11));
        state.request_received(false);
        assert_eq!((state, state.accepts_requests()), (ConnectionState::closing(after(10)), false));
        assert!(
            state.output_flushed(after(11)) && !state.output_flushed(after(12)),
            "the sending side is shut down once"
        );
        state.request_started(after(12));
        state.request_received(false);
        state.input_discarded(300);
        assert_eq!(state, ConnectionState::Lingering { since: after(11), dropped: 300 });
    }
}

#[test]
fn connection_with_a_request_in_the_core_is_answered_before_it_closes_and_lingers() {
    let mut state = ConnectionState::Idle { since: AT };
    state.request_received(false);
    state.close(after(1));
    assert_eq!(state, ConnectionState::Answering { last: true });
    assert!(!state.output_flushed(after(1)), "the sending side stays open until the answer is queued");
    assert!(state.response_queued(after(2), false));
    assert!(state.output_flushed(after(3)));
    state.client_closed(after(4), true);
    assert_eq!(state, ConnectionState::Gone);
}

#[test]
fn client_that_shuts_down_its_sending_side_still_gets_its_pending_answer() {
    let mut state = ConnectionState::Idle { since: AT };
    state.request_received(false);
    state.client_closed(after(1), true);
    assert_eq!(state, ConnectionState::Answering { last: true });
    assert!(state.response_queued(after(1), false));
    state.client_closed(after(2), false);
    assert!(!state.accepts_requests() && state != ConnectionState::Gone, "the answer is not written yet");
    assert_eq!(
        state.check_deadline(after(2_001), false),
        DeadlineAction::End,
        "a client that does not read the answer is disconnected"
    );
    // Between two requests no answer is pending.
    let mut state = ConnectionState::Idle { since: AT };
    state.client_closed(after(1), true);
    assert_eq!(state, ConnectionState::Gone);
}

#[test]
fn lingering_ends_after_the_time_limit_or_the_byte_limit() {
    let lingering = ConnectionState::Lingering { since: AT, dropped: 0 };
    let mut state = lingering;
    state.input_discarded(MAX_DISCARDED_BYTES);
    assert_eq!(state, ConnectionState::Lingering { since: AT, dropped: MAX_DISCARDED_BYTES });
    state.input_discarded(1);
    assert_eq!(state, ConnectionState::Gone);
    let mut state = lingering;
    assert_eq!(
        (state.check_deadline(after(999), true), state.check_deadline(after(1_000), true)),
        (DeadlineAction::Wait, DeadlineAction::End)
    );
    assert_eq!(state, ConnectionState::Gone);
}

#[test]
fn slow_request_gets_a_408_and_a_silent_connection_is_closed_without_an_answer() {
    let mut state = ConnectionState::open(AT);
    assert_eq!(state.check_deadline(after(2_000), true), DeadlineAction::End);
    assert_eq!(state, ConnectionState::closing(after(2_000)));
    let mut state = ConnectionState::open(AT);
    state.request_started(after(1_900));
    assert_eq!(
        state.check_deadline(after(2_000), true),
        DeadlineAction::SendTimeout,
        "counted from the opening of the connection"
    );
    let mut state = ConnectionState::Idle { since: AT };
    state.request_started(after(4_900));
    assert_eq!(
        (state.check_deadline(after(6_899), true), state.check_deadline(after(6_900), true)),
        (DeadlineAction::Wait, DeadlineAction::SendTimeout)
    );
    let mut state = ConnectionState::Idle { since: AT };
    assert_eq!(
        (state.check_deadline(after(4_999), true), state.check_deadline(after(5_000), true)),
        (DeadlineAction::Wait, DeadlineAction::End)
    );
    assert_eq!(state, ConnectionState::closing(after(5_000)));
}

#[test]
fn timeout_and_request_in_one_loop_iteration_produce_one_answer() {
    // The request is read first: no 408 is sent.
    let mut state = ConnectionState::Reading { since: AT, first: true };
    state.request_received(false);
    assert_eq!(state.check_deadline(after(2_000), true), DeadlineAction::Wait);
    assert!(!state.response_queued(after(2_000), false));
    // The 408 is sent first: the request is not accepted.
    let mut state = ConnectionState::Reading { since: AT, first: true };
    assert_eq!(state.check_deadline(after(2_000), true), DeadlineAction::SendTimeout);
    state.request_received(false);
    assert!(!state.is_answering());
}

#[test]
fn discarded_input_is_limited_before_and_after_the_last_answer_is_written() {
    let mut state = ConnectionState::closing(AT);
    state.input_discarded(MAX_DISCARDED_BYTES);
    assert!(matches!(state, ConnectionState::Closing { .. }), "{state:?}");
    let mut written = state;
    assert!(written.output_flushed(after(1)));
    [&mut state, &mut written].into_iter().for_each(|state| state.input_discarded(1));
    assert_eq!(
        [state, written],
        [ConnectionState::Gone, ConnectionState::Gone],
        "bytes discarded before the shutdown count"
    );
}
