use super::*;

const MINUTE: Micros = Micros(60_000_000);
const DESTINATION: DestinationId = DestinationId(7);

fn position(index: usize, starting: usize) -> StartPosition {
    StartPosition { index, starting }
}

#[test]
fn first_calls_of_300_starting_members_are_spread_and_a_lone_member_starts_at_once() {
    let mut tenths = [0; 36];
    for index in 0..300 {
        let mut ramp = Ramp::new(index as u64, MINUTE);
        ramp.message_waiting(Micros(0), DESTINATION);
        // More and more members are seen to start; the last value counts.
        let mut until = Micros(0);
        for (step, seen) in [1, 20, 300, 250].into_iter().enumerate() {
            let now = Micros(step as u64 * PEER_WAIT_US / 2);
            let delayed = ramp.delays(now, position(index * seen / 300, seen), [DESTINATION].into_iter());
            until = delayed.last().map_or(until, |&(_, until)| until);
        }
        tenths[(until.0 / 100_000) as usize] += 1;
    }
    // With random times alone, some tenths of a second had 18 and more.
    assert!(tenths[3..32].iter().all(|&count| (8..=12).contains(&count)), "{tenths:?}");
    assert_eq!(tenths.iter().sum::<i32>(), 300);
    let mut alone = Ramp::new(1, MINUTE);
    alone.message_waiting(Micros(0), DESTINATION);
    let delayed = |ramp: &mut Ramp, now| ramp.delays(now, position(0, 1), [DESTINATION].into_iter());
    assert_eq!(
        delayed(&mut alone, Micros(0)),
        [(DESTINATION, Micros(PEER_WAIT_US))],
        "it only waits to learn of other members"
    );
    assert!(!alone.settled(Micros(PEER_WAIT_US)));
    assert!(delayed(&mut alone, Micros(PEER_WAIT_US)).is_empty());
    assert!(alone.settled(Micros(PEER_WAIT_US)), "no other member is starting");
    assert!(
        alone.send_rate(STARTUP_OVER_AFTER.minus(Micros(1))).is_some()
            && alone.send_rate(STARTUP_OVER_AFTER).is_none()
    );
}

#[test]
fn only_destinations_with_messages_after_the_peer_wait_stay_delayed() {
    let mut ramp = Ramp::new(9, MINUTE);
    let all = || (0..50).map(DestinationId);
    assert!(ramp.delays(Micros(0), position(3, 100), std::iter::empty()).is_empty(), "no list yet");
    assert_eq!(ramp.delays(Micros(0), position(3, 100), all()).len(), 50);
    assert_eq!(ramp.delays(Micros(10), position(3, 100), all()).len(), 0, "reported once");
    assert_eq!(ramp.delays(Micros(10), position(3, 100), [DestinationId(99)].into_iter()).len(), 1);
    (0..40).for_each(|one| ramp.message_waiting(Micros(0), DestinationId(one)));
    let still_delayed = ramp.delays(Micros(PEER_WAIT_US), position(3, 100), all());
    assert!((36..=40).contains(&still_delayed.len()), "all except those due now: {}", still_delayed.len());
    // Messages for further destinations arrive one by one and are sent as they arrive.
    ramp.message_waiting(Micros(PEER_WAIT_US), DestinationId(45));
    for (starting, reported) in [(100, false), (50, false), (200, true)] {
        let again = ramp.delays(Micros(PEER_WAIT_US), position(3, starting), all());
        assert_eq!(again.len() > 35, reported, "reported again if the window has grown");
        assert!(again.iter().all(|one| one.0 .0 < 40));
    }
}

#[test]
fn short_deadlines_bound_the_window_and_the_send_rate_rises() {
    let mut ramp = Ramp::new(9, Micros(2_000_000));
    (0..50).for_each(|one| ramp.message_waiting(Micros(0), DestinationId(one)));
    ramp.delays(Micros(0), position(999, 1_000), (0..50).map(DestinationId));
    let delayed = ramp.delays(Micros(PEER_WAIT_US), position(999, 1_000), (0..50).map(DestinationId));
    assert!(
        delayed.len() > 40 && delayed.iter().all(|&(_, until)| until <= Micros(PEER_WAIT_US + 500_000)),
        "{delayed:?}"
    );
    assert!(!ramp.settled(Micros(4_999_999)) && ramp.settled(SETTLED_AFTER));
    assert_eq!(ramp.figures(Micros(10_000_000)), (0.5, 1.33));
    let raised: Vec<f64> =
        (0..3).map(|s| ramp.send_rate(Micros(s * 7_000_000)).unwrap().ramp_factor).collect();
    assert!(raised[0] == 1.0 && raised[1] > 1.1 && raised[2] > 1.9, "{raised:?}");
    assert_eq!(ramp.send_rate(Micros(0)).unwrap().floor_per_s, 2.0, "one call in a window at the least");
}
