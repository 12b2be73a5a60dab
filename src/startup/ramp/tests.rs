use super::*;

const MINUTE: Micros = Micros(60_000_000);
const HOME: DestinationId = DestinationId(7);

fn among(place: usize, starting: usize) -> Among {
    Among { place, starting }
}

#[test]
fn three_hundred_come_one_after_another_and_one_alone_at_once() {
    let mut tenths = [0; 36];
    for place in 0..300 {
        let mut ramp = Ramp::new(place as u64, MINUTE);
        ramp.wants(Micros(0), HOME);
        // More and more are seen to start; the last word counts.
        let mut until = Micros(0);
        for (step, seen) in [1, 20, 300, 250].into_iter().enumerate() {
            let now = Micros(step as u64 * LOOK_ROUND / 2);
            let told = ramp.waits(now, among(place * seen / 300, seen), [HOME].into_iter());
            until = told.last().map_or(until, |&(_, until)| until);
        }
        tenths[(until.0 / 100_000) as usize] += 1;
    }
    // Drawn at random alone, some tenth of a second had 18 and more.
    assert!(tenths[3..32].iter().all(|&count| (8..=12).contains(&count)), "{tenths:?}");
    assert_eq!(tenths.iter().sum::<i32>(), 300);
    let mut alone = Ramp::new(1, MINUTE);
    alone.wants(Micros(0), HOME);
    let told = |ramp: &mut Ramp, now| ramp.waits(now, among(0, 1), [HOME].into_iter());
    assert_eq!(told(&mut alone, Micros(0)), [(HOME, Micros(LOOK_ROUND))], "it looks round, no more");
    assert!(!alone.settled(Micros(LOOK_ROUND)));
    assert!(told(&mut alone, Micros(LOOK_ROUND)).is_empty());
    assert!(alone.settled(Micros(LOOK_ROUND)), "nobody starts beside it");
    assert!(alone.pace(OVER.minus(Micros(1))).is_some() && alone.pace(OVER).is_none());
}

#[test]
fn what_is_wanted_once_it_has_looked_round_waits_on_and_no_other() {
    let mut ramp = Ramp::new(9, MINUTE);
    let all = || (0..50).map(DestinationId);
    assert!(ramp.waits(Micros(0), among(3, 100), std::iter::empty()).is_empty(), "no list yet");
    assert_eq!(ramp.waits(Micros(0), among(3, 100), all()).len(), 50);
    assert_eq!(ramp.waits(Micros(10), among(3, 100), all()).len(), 0, "told once");
    assert_eq!(ramp.waits(Micros(10), among(3, 100), [DestinationId(99)].into_iter()).len(), 1);
    (0..40).for_each(|one| ramp.wants(Micros(0), DestinationId(one)));
    let parted = ramp.waits(Micros(LOOK_ROUND), among(3, 100), all());
    assert!((36..=40).contains(&parted.len()), "but those whose moment is now: {}", parted.len());
    // What comes from now on comes by itself, and goes as it comes.
    ramp.wants(Micros(LOOK_ROUND), DestinationId(45));
    for (starting, told) in [(100, false), (50, false), (200, true)] {
        let again = ramp.waits(Micros(LOOK_ROUND), among(3, starting), all());
        assert_eq!(again.len() > 35, told, "told again where the window has grown");
        assert!(again.iter().all(|one| one.0 .0 < 40));
    }
}

#[test]
fn messages_of_little_time_are_not_waited_to_death_and_the_pace_is_raised() {
    let mut ramp = Ramp::new(9, Micros(2_000_000));
    (0..50).for_each(|one| ramp.wants(Micros(0), DestinationId(one)));
    ramp.waits(Micros(0), among(999, 1_000), (0..50).map(DestinationId));
    let told = ramp.waits(Micros(LOOK_ROUND), among(999, 1_000), (0..50).map(DestinationId));
    assert!(
        told.len() > 40 && told.iter().all(|&(_, until)| until <= Micros(LOOK_ROUND + 500_000)),
        "{told:?}"
    );
    assert!(!ramp.settled(Micros(4_999_999)) && ramp.settled(SETTLED));
    assert_eq!(ramp.figures(Micros(10_000_000)), (0.5, 1.33));
    let raised: Vec<f64> = (0..3).map(|s| ramp.pace(Micros(s * 7_000_000)).unwrap().ramp_factor).collect();
    assert!(raised[0] == 1.0 && raised[1] > 1.1 && raised[2] > 1.9, "{raised:?}");
    assert_eq!(ramp.pace(Micros(0)).unwrap().floor_per_s, 2.0, "one call in a window at the least");
}
