use super::*;

/// Time within which a change must be known.
const CHANGE_KNOWN_WITHIN: u64 = 6_000_000;
/// Upper bound of the time for an immediate answer.
const IMMEDIATE_ANSWER: u64 = 100_000;

fn schedule(forwarders: u32, seed: u64) -> WatchSchedule {
    WatchSchedule::new(CallSpread::new(forwarders, seed))
}

#[test]
fn silent_watch_is_retried_within_the_limit_from_any_state_and_for_any_fleet_size() {
    for forwarders in [1, 2, 30, 300, u32::MAX] {
        for seed in 0..200 {
            // At the start, and after an answer: discovery falls silent right after the call.
            let mut new = schedule(forwarders, seed);
            let start =
                new.start_delay().0 + new.next_call(true).timeout.0 + new.failed(WatchFailure::TimedOut).0;
            let mut established = schedule(forwarders, seed);
            established.answered();
            let later = established.next_call(true).timeout.0 + established.failed(WatchFailure::TimedOut).0;
            for (at, mut schedule) in [(start, new), (later, established)] {
                let again = schedule.next_call(true);
                assert_eq!(
                    (schedule.stage(), again.hold),
                    (Stage::Immediate, Micros(0)),
                    "the retry asks for an immediate answer"
                );
                assert!(
                    at + IMMEDIATE_ANSWER <= CHANGE_KNOWN_WITHIN,
                    "{forwarders}: known {at} us after it fell silent"
                );
                // Also if one more call gets no answer.
                let at = at + again.timeout.0 + schedule.failed(WatchFailure::TimedOut).0;
                assert!(
                    at + IMMEDIATE_ANSWER <= CHANGE_KNOWN_WITHIN,
                    "{forwarders}: known {at} us after it fell silent, at the second try"
                );
            }
        }
    }
}

#[test]
fn change_is_known_within_the_limit_after_any_sequence_of_failures() {
    let random = |seed| fastrand::Rng::with_seed(seed);
    for forwarders in [1, 2, 30, 48, 300, u32::MAX] {
        for seed in 0..200 {
            let (mut schedule, mut random) = (schedule(forwarders, seed), random(seed));
            schedule.answered();
            for failures in 0..20 {
                // Worst case: discovery becomes reachable right after this call, which is lost.
                let call = schedule.next_call(true);
                let failure = [WatchFailure::TimedOut, WatchFailure::Broken, WatchFailure::Rejected]
                    [random.usize(0..3)];
                let lost = if failure == WatchFailure::TimedOut { call.timeout.0 } else { 0 };
                let backoff = schedule.failed(failure).0;
                assert!(
                    lost + backoff + IMMEDIATE_ANSWER <= CHANGE_KNOWN_WITHIN,
                    "{forwarders}, {failure:?} after {failures} failures: {lost} + {backoff} us"
                );
            }
        }
    }
}

#[test]
fn fleet_without_answers_spreads_its_calls() {
    for failure in [WatchFailure::TimedOut, WatchFailure::Broken, WatchFailure::Rejected] {
        // Calls in each 100 ms of 300 forwarders that fail at the same moment and keep failing.
        let mut calls = vec![0; 200];
        for seed in 0..300 {
            let mut schedule = schedule(300, seed);
            schedule.answered();
            // The watches began at different times.
            let mut at = if failure == WatchFailure::TimedOut { seed * MAX_HOLD.0 / 300 } else { 0 };
            loop {
                let call = schedule.next_call(true);
                at += schedule.failed(failure).0
                    + if failure == WatchFailure::TimedOut { call.timeout.0 } else { 0 };
                let Some(calls) = calls.get_mut((at / 100_000) as usize) else { break };
                *calls += 1;
            }
        }
        let most = calls.iter().max().unwrap();
        let later = calls[100..].iter().sum::<usize>() as f64 / 10.0;
        assert!(*most <= 60, "{failure:?}: {most} in a tenth of a second");
        assert!(later <= 300.0, "{failure:?}: {later} a second, of three hundred");
    }
}

#[test]
fn time_out_grows_for_a_slow_discovery_until_it_answers() {
    let mut schedule = schedule(2, 7);
    schedule.answered();
    let mut timeout = Micros(0);
    for _ in 0..4 {
        timeout = schedule.next_call(true).timeout;
        schedule.failed(WatchFailure::TimedOut);
    }
    assert_eq!((schedule.stage(), timeout), (Stage::Failed(4), SLOW_ANSWER_TIMEOUT));
    schedule.answered();
    assert_eq!(
        schedule.next_call(true),
        WatchCall { hold: MAX_HOLD, timeout: MAX_HOLD.plus(HOLD_GRACE) },
        "the watch holds its calls again"
    );
    assert_eq!(schedule.stage(), Stage::Held);
}

#[test]
fn reset_forgets_the_results_of_the_previous_discovery() {
    let mut schedule = schedule(2, 7);
    schedule.answered();
    schedule.next_call(true);
    for _ in 0..5 {
        schedule.failed(WatchFailure::TimedOut);
    }
    schedule.reset();
    assert_eq!(
        (schedule.stage(), schedule.next_call(false)),
        (Stage::Idle, WatchCall { hold: Micros(0), timeout: ANSWER_TIMEOUT })
    );
}
