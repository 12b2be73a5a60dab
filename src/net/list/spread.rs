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
/// A discovery that turns calls away is overbooked, and calls that it turns away keep it so: each of a fleet draws its pause
/// from up to so much for each sender, which doubles, so that all of them together ask few times a second...
const EACH_TURNED_AWAY: u64 = 80_000;
/// ...up to this.
const LONGEST_TURNED_AWAY: u64 = 32_000_000;
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

    /// How long after silence, or an answer that cannot be read, the next call waits.
    pub fn after_failure(&mut self) -> Micros {
        let longest = LONGEST_PAUSE.max(4 * self.fleet()).min(4 * LONGEST_PAUSE);
        self.pause(FIRST_PAUSE.max(self.fleet()), longest)
    }

    /// How long after a call that was turned away the next one waits.
    pub fn turned_away(&mut self) -> Micros {
        let fleet = EACH_TURNED_AWAY.saturating_mul(self.senders.saturating_sub(1));
        let longest = LONGEST_PAUSE.max(fleet.saturating_mul(4)).min(LONGEST_TURNED_AWAY);
        self.pause(FIRST_PAUSE.max(fleet), longest)
    }

    /// Full jitter over a bound that doubles.
    fn pause(&mut self, first: u64, longest: u64) -> Micros {
        let first = first.min(longest);
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

    /// A discovery with a bucket of 20 calls that fills at 5 a second; calls that it turns away use it up as well, as limits of
    /// this place do, and a watch that goes on costs nothing. Tells when each of the fleet has an answer, in seconds.
    fn answered(senders: u32, pause: fn(&mut Spread) -> Micros) -> Vec<u64> {
        let mut spreads: Vec<Spread> = (0..senders).map(|seed| Spread::new(senders, seed.into())).collect();
        let mut due: std::collections::BTreeSet<(u64, usize)> =
            (0..spreads.len()).map(|one| (one as u64 * 1_000, one)).collect();
        let (mut tokens, mut at, mut times) = (0.0f64, 0, Vec::new());
        while let Some((now, one)) = due.pop_first().filter(|&(now, _)| now < 120_000_000) {
            tokens = (tokens + (now - at) as f64 / 1e6 * 5.0).min(20.0) - 1.0;
            at = now;
            if tokens >= 0.0 {
                times.push(now / 1_000_000);
            } else {
                tokens = tokens.max(-4.0);
                due.insert((now + pause(&mut spreads[one]).0, one));
            }
        }
        times
    }

    #[test]
    fn calls_that_are_turned_away_do_not_keep_an_overbooked_discovery_shut() {
        for senders in [20, 48, 100] {
            let (waits, asks) =
                (answered(senders, Spread::turned_away), answered(senders, Spread::after_failure));
            assert_eq!(waits.len(), senders as usize, "all of {senders} have their answer: {waits:?}");
            assert!(waits.last() <= Some(&90), "{senders}: {waits:?}");
            assert!(senders < 48 || asks.len() < waits.len() / 4, "as before it stays shut: {asks:?}");
        }
        let mut few = Spread::new(2, 7);
        assert!((0..40).all(|_| few.turned_away() <= Micros(LONGEST_PAUSE)), "two ask as before");
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
