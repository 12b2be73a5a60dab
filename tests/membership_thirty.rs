//! Several simultaneous faults among thirty real processes over lossy links with delay: three are killed, one
//! is suspended briefly and one for long, one is cut off from a third of the others, and a killed one
//! restarts.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::relay::Link;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn killed_members_of_thirty_are_dead_everywhere_and_no_other_member_stays_dead() {
    let plan = Plan { members: 30, seed: 41, seeds: vec![0, 1, 29], siblings: 30, ..Plan::default() };
    let mut fleet = Fleet::new("thirty-faults", plan);
    fleet.relay.set_default_link(Link {
        drop: 0.03,
        delay: seconds(0.001),
        jitter: seconds(0.004),
        ..Link::default()
    });
    (0..30).for_each(|member| fleet.start(member));
    let joined =
        fleet.until("every member knows every other", seconds(20.0), |fleet| fleet.agree(&fleet.all()));
    let state = |fleet: &Fleet, observer: usize, member: usize| {
        fleet.member_state(observer, member).map(|held| held.0)
    };
    let dead = |fleet: &Fleet, observer: usize, member: usize| {
        state(fleet, observer, member).as_deref() == Some("dead")
    };
    let (killed, short_stall, long_stall, cut_off) = ([4, 11, 17], 7, 21, 13);
    let first_generation = fleet.member_state(0, 11).unwrap().1;

    // All faults start at once. Two thirds of the other members still reach `cut_off`.
    let at = Instant::now();
    killed.iter().for_each(|&member| fleet.kill(member));
    fleet.signal(short_stall, "-STOP");
    fleet.signal(long_stall, "-STOP");
    fleet.relay.partition(&[cut_off], &(0..10).filter(|one| *one != 4).collect::<Vec<_>>());
    thread::sleep(seconds(0.5));
    fleet.signal(short_stall, "-CONT");
    let live: Vec<usize> =
        fleet.all().into_iter().filter(|one| !killed.contains(one) && *one != long_stall).collect();
    fleet.until("every live member declares the killed ones dead", seconds(12.0), |fleet| {
        live.iter().all(|&observer| killed.iter().all(|&member| dead(fleet, observer, member)))
    });
    let detected = at.elapsed();
    assert!(detected > seconds(1.0), "not before the minimum suspicion timeout: {detected:?}");
    thread::sleep(seconds(5.0).saturating_sub(at.elapsed()));
    // The others declare the member dead that is suspended for long, but neither the one suspended for half a
    // second nor the one that some of them reach.
    fleet.until("every live member declares the suspended one dead", seconds(12.0), |fleet| {
        live.iter().all(|&observer| dead(fleet, observer, long_stall))
    });
    for &observer in &live {
        for member in [short_stall, cut_off] {
            assert!(
                !dead(&fleet, observer, member),
                "f{member} is dead at f{observer}: {}",
                fleet.log(observer)
            );
        }
    }

    // The links work again, the suspended process resumes, and a killed one restarts on its address.
    fleet.signal(long_stall, "-CONT");
    fleet.relay.heal();
    fleet.start(11);
    let all: Vec<usize> = fleet.all().into_iter().filter(|one| ![4, 17].contains(one)).collect();
    let healed = fleet.until("every live member knows every other live member", seconds(20.0), |fleet| {
        // The suspended member missed the deaths and has to detect them itself.
        let gone = |observer: usize| [4, 17].iter().all(|&member| dead(fleet, observer, member));
        all.iter()
            .all(|&observer| fleet.get_json(observer, "/ops/members")["alive"] == all.len() && gone(observer))
    });
    println!("joined after {joined:?}, deaths detected after {detected:?}, full membership after {healed:?}");
    for &observer in &all {
        let (_, generation, incarnation) = fleet.member_state(observer, 11).unwrap();
        assert!(
            generation > first_generation && incarnation == 0,
            "a new generation, not the old one: f{observer}"
        );
        let (_, _, refuted) = fleet.member_state(observer, long_stall).unwrap();
        assert!(refuted > 0, "it refuted and is the same generation: f{observer}");
    }
}
