use super::*;

/// What discovery has to tell counts as told by then.
const TOLD: u64 = 6_000_000;
/// An answer at once takes no longer than that.
const PROMPT: u64 = 100_000;

fn round(senders: u32, seed: u64) -> Round {
    Round::new(Spread::new(senders, seed))
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_from_any_moment_and_in_any_fleet() {
    for senders in [1, 2, 30, 300, u32::MAX] {
        for seed in 0..200 {
            // From the start, and in the middle of its life: silent right behind the call.
            let mut new = round(senders, seed);
            let start = new.start().0 + new.ask(true).patience.0 + new.missed(Miss::Silent).0;
            let mut going = round(senders, seed);
            going.answered();
            let later = going.ask(true).patience.0 + going.missed(Miss::Silent).0;
            for (at, mut round) in [(start, new), (later, going)] {
                let again = round.ask(true);
                assert_eq!(
                    (round.stage(), again.hold),
                    (Stage::Asked, Micros(0)),
                    "one that is answered at once"
                );
                assert!(at + PROMPT <= TOLD, "{senders}: known {at} us after it fell silent");
                // Even where one more call gets no answer.
                let at = at + again.patience.0 + round.missed(Miss::Silent).0;
                assert!(
                    at + PROMPT <= TOLD,
                    "{senders}: known {at} us after it fell silent, at the second try"
                );
            }
        }
    }
}

#[test]
fn a_change_is_known_in_time_once_discovery_can_be_reached_whatever_failed_before() {
    let random = |seed| fastrand::Rng::with_seed(seed);
    for senders in [1, 2, 30, 48, 300, u32::MAX] {
        for seed in 0..200 {
            let (mut round, mut random) = (round(senders, seed), random(seed));
            round.answered();
            for failure in 0..20 {
                // Discovery can be reached right behind this call, which was lost: the worst moment for it.
                let ask = round.ask(true);
                let miss = [Miss::Silent, Miss::Broken, Miss::TurnedAway][random.usize(0..3)];
                let lost = if miss == Miss::Silent { ask.patience.0 } else { 0 };
                let pause = round.missed(miss).0;
                assert!(
                    lost + pause + PROMPT <= TOLD,
                    "{senders}, {miss:?} after {failure} failures: {lost} + {pause} us"
                );
            }
        }
    }
}

#[test]
fn a_fleet_that_gets_no_answer_is_no_storm() {
    for miss in [Miss::Silent, Miss::Broken, Miss::TurnedAway] {
        // Calls in each tenth of a second, of three hundred that fail in one moment and go on failing.
        let mut calls = vec![0; 200];
        for seed in 0..300 {
            let mut round = round(300, seed);
            round.answered();
            // Watches were begun at moments of their own.
            let mut at = if miss == Miss::Silent { seed * HOLD.0 / 300 } else { 0 };
            loop {
                let ask = round.ask(true);
                at += round.missed(miss).0 + if miss == Miss::Silent { ask.patience.0 } else { 0 };
                let Some(calls) = calls.get_mut((at / 100_000) as usize) else { break };
                *calls += 1;
            }
        }
        let most = calls.iter().max().unwrap();
        let later = calls[100..].iter().sum::<usize>() as f64 / 10.0;
        assert!(*most <= 60, "{miss:?}: {most} in a tenth of a second");
        assert!(later <= 300.0, "{miss:?}: {later} a second, of three hundred");
    }
}

#[test]
fn a_discovery_that_is_only_slow_is_heard_in_the_end() {
    let mut round = round(2, 7);
    round.answered();
    let mut patience = Micros(0);
    for _ in 0..4 {
        patience = round.ask(true).patience;
        round.missed(Miss::Silent);
    }
    assert_eq!((round.stage(), patience), (Stage::Missed(4), SLOW_ANSWER));
    round.answered();
    assert_eq!(round.ask(true), Ask { hold: HOLD, patience: HOLD.plus(LATE) }, "the watch goes on as before");
    assert_eq!(round.stage(), Stage::Held);
}

#[test]
fn at_another_discovery_nothing_is_taken_from_the_old_one() {
    let mut round = round(2, 7);
    round.answered();
    round.ask(true);
    for _ in 0..5 {
        round.missed(Miss::Silent);
    }
    round.begin_anew();
    assert_eq!(
        (round.stage(), round.ask(false)),
        (Stage::Resting, Ask { hold: Micros(0), patience: ANSWER })
    );
}
