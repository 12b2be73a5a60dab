//! When discovery is asked: what one forwarder does at once, all of them do in that moment. A hundred that start
//! together, hear of one change together, or are turned away together ask again at moments of their own, drawn from
//! the instance's seed; and the more senders there are, the longer a list that cannot be had is waited for. Small fleets
//! ask at once, as before.

use crate::Micros;

/// Discovery is taken to serve one more sender in this time: a fleet's calls are spread over as many.
const EACH: u64 = 10_000;
/// The first call after a start comes within this time, however many there are.
const START_MOST: u64 = 1_500_000;
/// A watch goes on where the next call comes within 200 ms of the answer: well before.
const GO_ON_MOST: u64 = 120_000;
/// The first pause after a failure is drawn from up to this, and doubles...
const FIRST_PAUSE: u64 = 200_000;
/// ...up to this in a small fleet, and to four times as much in a large one. What discovery has to tell counts as told
/// 6 s after it could be had: longer pauses would learn of a drain after it binds.
const LONGEST_PAUSE: u64 = 1_000_000;
/// No pause is shorter.
const SHORTEST: u64 = 20_000;

/// The moments of one forwarder.
pub struct Spread {
    random: fastrand::Rng,
    senders: u64,
    failures: u32,
}

impl Spread {
    /// For one of so many senders.
    pub fn new(senders: u32, seed: u64) -> Spread {
        Spread { random: fastrand::Rng::with_seed(seed), senders: u64::from(senders), failures: 0 }
    }

    fn draw(&mut self, most: u64) -> Micros {
        Micros(self.random.u64(0..=most))
    }

    /// The time that all siblings need if one follows the other; none for one alone.
    fn fleet(&self) -> u64 {
        EACH * self.senders.saturating_sub(1)
    }

    /// How long after the start the first call waits.
    pub fn start(&mut self) -> Micros {
        self.draw(self.fleet().min(START_MOST))
    }

    /// How long after an answer the next call of a watch waits.
    pub fn go_on(&mut self) -> Micros {
        self.failures = 0;
        self.draw(self.fleet().min(GO_ON_MOST))
    }

    /// How long after a failure the next call waits: full jitter over a bound that doubles.
    pub fn after_failure(&mut self) -> Micros {
        let longest = LONGEST_PAUSE.max(4 * self.fleet()).min(4 * LONGEST_PAUSE);
        let first = FIRST_PAUSE.max(self.fleet()).min(longest);
        let most = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures += 1;
        self.draw(most - SHORTEST).plus(Micros(SHORTEST))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls of a fleet in each 100 ms of the ten seconds after all were turned away in one moment, and always again.
    fn calls(senders: u32) -> Vec<usize> {
        let mut calls = vec![0; 100];
        for seed in 0..u64::from(senders) {
            let mut spread = Spread::new(senders, seed);
            let mut at = 0;
            while at < 10_000_000 {
                at += spread.after_failure().0;
                calls.get_mut((at / 100_000) as usize).into_iter().for_each(|count| *count += 1);
            }
        }
        calls
    }

    #[test]
    fn a_fleet_that_is_turned_away_together_does_not_come_back_together() {
        let calls = calls(100);
        assert!(calls.iter().all(|&count| count <= 30), "{calls:?}");
        let late: usize = calls[50..].iter().sum();
        assert!(late <= 100 * 5, "once every second each at the most: {late}");
    }

    #[test]
    fn one_alone_asks_soon_and_is_back_within_a_second() {
        let mut spread = Spread::new(1, 7);
        assert_eq!((spread.start(), spread.go_on()), (Micros(0), Micros(0)));
        for _ in 0..40 {
            assert!(spread.after_failure() <= Micros(LONGEST_PAUSE));
        }
        spread.go_on();
        assert!(spread.after_failure() <= Micros(FIRST_PAUSE), "an answer ends the row of failures");
    }

    #[test]
    fn a_watch_goes_on_in_time_however_many_there_are() {
        let mut spread = Spread::new(u32::MAX, 7);
        assert!((0..1_000).all(|_| spread.go_on() <= Micros(GO_ON_MOST)));
        assert!((0..1_000).all(|_| spread.start() <= Micros(START_MOST)));
        assert!((0..1_000).all(|_| spread.after_failure() <= Micros(4 * LONGEST_PAUSE)));
    }
}
