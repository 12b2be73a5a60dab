//! Thirty processes of the real program over links that lose and delay, where several things go wrong at once: some are killed,
//! one stands still for a moment and one for long, one is cut off from a third of the others, and one of the killed starts again.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::relay::Link;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn of_thirty_the_killed_are_dead_to_all_and_nobody_else_stays_so() {
    let plan = Plan { members: 30, seed: 41, seeds: vec![0, 1, 29], siblings: 30, ..Plan::default() };
    let mut fleet = Fleet::new("thirty-faults", plan);
    fleet.relay.usual(Link { drop: 0.03, delay: s(0.001), jitter: s(0.004), ..Link::default() });
    (0..30).for_each(|member| fleet.start(member));
    let joined = fleet.until("all know all", s(20.0), |fleet| fleet.agree(&fleet.all()));
    let state = |fleet: &Fleet, by: usize, member: usize| fleet.held(by, member).map(|held| held.0);
    let dead = |fleet: &Fleet, by: usize, member: usize| state(fleet, by, member).as_deref() == Some("dead");
    let (killed, short, long, apart) = ([4, 11, 17], 7, 21, 13);
    let begun = fleet.held(0, 11).unwrap().1;

    // All in one moment. The one apart is reached by two thirds of the others.
    let at = Instant::now();
    killed.iter().for_each(|&member| fleet.kill(member));
    fleet.signal(short, "-STOP");
    fleet.signal(long, "-STOP");
    fleet.relay.cut(&[apart], &(0..10).filter(|one| *one != 4).collect::<Vec<_>>());
    thread::sleep(s(0.5));
    fleet.signal(short, "-CONT");
    let live: Vec<usize> =
        fleet.all().into_iter().filter(|one| !killed.contains(one) && *one != long).collect();
    fleet.until("the killed are dead to all who live", s(12.0), |fleet| {
        live.iter().all(|&by| killed.iter().all(|&member| dead(fleet, by, member)))
    });
    let known = at.elapsed();
    assert!(known > s(1.0), "not before the shortest timeout: {known:?}");
    thread::sleep(s(5.0).saturating_sub(at.elapsed()));
    // Who stands still for long is dead to the others; who did for half a second, or is reached by some, to nobody.
    fleet.until("so is the one that stands still", s(12.0), |fleet| {
        live.iter().all(|&by| dead(fleet, by, long))
    });
    for &by in &live {
        for one in [short, apart] {
            assert!(!dead(&fleet, by, one), "f{one} is dead to f{by}: {}", fleet.lines(by));
        }
    }

    // Links are whole again, the one goes on, and one of the killed starts again on its address.
    fleet.signal(long, "-CONT");
    fleet.relay.heal();
    fleet.start(11);
    let all: Vec<usize> = fleet.all().into_iter().filter(|one| ![4, 17].contains(one)).collect();
    let healed = fleet.until("all who live know all who live", s(20.0), |fleet| {
        // The one that stood still has missed the deaths, and finds them out itself.
        let gone = |by: usize| [4, 17].iter().all(|&member| dead(fleet, by, member));
        all.iter().all(|&by| fleet.told(by, "/ops/members")["alive"] == all.len() && gone(by))
    });
    println!(
        "joined after {joined:?}, killed known to all after {known:?}, one fleet again after {healed:?}"
    );
    for &by in &all {
        let (_, generation, incarnation) = fleet.held(by, 11).unwrap();
        assert!(generation > begun && incarnation == 0, "a new start, not the old one: f{by}");
        let (_, _, refuted) = fleet.held(by, long).unwrap();
        assert!(refuted > 0, "it refuted, and is the same start: f{by}");
    }
}
