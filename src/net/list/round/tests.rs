use super::*;

/// What discovery has to tell counts as told by then.
const TOLD: u64 = 6_000_000;
/// An answer at once takes no longer than that.
const PROMPT: u64 = 100_000;

fn round(forwarders: u32, seed: u64) -> WatchSchedule {
    WatchSchedule::new(CallSpread::new(forwarders, seed))
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_from_any_moment_and_in_any_fleet() {
    for forwarders in [1, 2, 30, 300, u32::MAX] {
        for seed in 0..200 {
            // From the start, and in the middle of its life: silent right behind the call.
            let mut new = round(forwarders, seed);
            let start =
                new.start_delay().0 + new.next_call(true).timeout.0 + new.failed(WatchFailure::TimedOut).0;
            let mut established = round(forwarders, seed);
            established.answered();
            let later = established.next_call(true).timeout.0 + established.failed(WatchFailure::TimedOut).0;
            for (at, mut round) in [(start, new), (later, established)] {
                let again = round.next_call(true);
                assert_eq!(
                    (round.stage(), again.hold),
                    (Stage::Immediate, Micros(0)),
                    "one that is answered at once"
                );
                assert!(at + PROMPT <= TOLD, "{forwarders}: known {at} us after it fell silent");
                // Even where one more call gets no answer.
                let at = at + again.timeout.0 + round.failed(WatchFailure::TimedOut).0;
                assert!(
                    at + PROMPT <= TOLD,
                    "{forwarders}: known {at} us after it fell silent, at the second try"
                );
            }
        }
    }
}

#[test]
fn a_change_is_known_in_time_once_discovery_can_be_reached_whatever_failed_before() {
    let random = |seed| fastrand::Rng::with_seed(seed);
    for forwarders in [1, 2, 30, 48, 300, u32::MAX] {
        for seed in 0..200 {
            let (mut round, mut random) = (round(forwarders, seed), random(seed));
            round.answered();
            for failures in 0..20 {
                // Discovery can be reached right behind this call, which was lost: the worst moment for it.
                let ask = round.next_call(true);
                let failure = [WatchFailure::TimedOut, WatchFailure::Broken, WatchFailure::Rejected]
                    [random.usize(0..3)];
                let lost = if failure == WatchFailure::TimedOut { ask.timeout.0 } else { 0 };
                let pause = round.failed(failure).0;
                assert!(
                    lost + pause + PROMPT <= TOLD,
                    "{forwarders}, {failure:?} after {failures} failures: {lost} + {pause} us"
                );
            }
        }
    }
}

#[test]
fn a_fleet_that_gets_no_answer_is_no_storm() {
    for failure in [WatchFailure::TimedOut, WatchFailure::Broken, WatchFailure::Rejected] {
        // Calls in each tenth of a second, of three hundred that fail in one moment and go on failing.
        let mut calls = vec![0; 200];
        for seed in 0..300 {
            let mut round = round(300, seed);
            round.answered();
            // Watches were begun at moments of their own.
            let mut at = if failure == WatchFailure::TimedOut { seed * MAX_HOLD.0 / 300 } else { 0 };
            loop {
                let ask = round.next_call(true);
                at += round.failed(failure).0
                    + if failure == WatchFailure::TimedOut { ask.timeout.0 } else { 0 };
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
fn a_discovery_that_is_only_slow_is_heard_in_the_end() {
    let mut round = round(2, 7);
    round.answered();
    let mut timeout = Micros(0);
    for _ in 0..4 {
        timeout = round.next_call(true).timeout;
        round.failed(WatchFailure::TimedOut);
    }
    assert_eq!((round.stage(), timeout), (Stage::Failed(4), SLOW_ANSWER_TIMEOUT));
    round.answered();
    assert_eq!(
        round.next_call(true),
        WatchCall { hold: MAX_HOLD, timeout: MAX_HOLD.plus(HOLD_GRACE) },
        "the watch goes on as before"
    );
    assert_eq!(round.stage(), Stage::Held);
}

#[test]
fn at_another_discovery_nothing_is_taken_from_the_old_one() {
    let mut round = round(2, 7);
    round.answered();
    round.next_call(true);
    for _ in 0..5 {
        round.failed(WatchFailure::TimedOut);
    }
    round.reset();
    assert_eq!(
        (round.stage(), round.next_call(false)),
        (Stage::Idle, WatchCall { hold: Micros(0), timeout: ANSWER_TIMEOUT })
    );
}
