//! When discovery is asked: what one forwarder does at once, all of them do in that moment. A hundred that start
//! together, hear of one change together, or are turned away together ask again at moments of their own, drawn from
//! the instance's seed; and the more senders there are, the longer a list that cannot be had is waited for. Small fleets
//! ask at once, as before.

use crate::Micros;

#[cfg(test)]
mod tests;

/// Discovery is taken to serve one more sender in this time: a fleet's calls are spread over as many.
const EACH: u64 = 10_000;
/// The first call after a start comes within this time, however many there are.
const START_MOST: u64 = 1_500_000;
/// A watch goes on where the next call comes within 200 ms of the answer: well before.
const GO_ON_MOST: u64 = 120_000;
/// The first pause after a failure is drawn from up to this, and doubles...
const FIRST_PAUSE: u64 = 200_000;
/// ...up to this in a small fleet...
const LONGEST_PAUSE: u64 = 1_000_000;
/// ...and this in a large one: with the next call's answer, it stays within the 6 s after which a change counts as told.
const LONGEST_IN_A_FLEET: u64 = 2_500_000;
/// The first calls after silence go within this time.
const SOON: u64 = 200_000;
/// A discovery that turns calls away is overbooked, and calls that it turns away may keep it so: each of a fleet draws its pause
/// from up to so much for each sender, and from no less than half of it...
const EACH_TURNED_AWAY: u64 = 80_000;
/// ...up to this, for the same reason.
const LONGEST_TURNED_AWAY: u64 = 4_500_000;
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

    /// How long after the first silence the next call waits.
    pub fn after_silence(&mut self) -> Micros {
        self.failures += 1;
        self.draw(SOON - SHORTEST).plus(Micros(SHORTEST))
    }

    /// How long after a call that failed the next one waits.
    pub fn after_failure(&mut self) -> Micros {
        let longest = LONGEST_PAUSE.max(4 * self.fleet()).min(LONGEST_IN_A_FLEET);
        let most = self.doubled(FIRST_PAUSE.max(self.fleet()), longest);
        self.draw(most - SHORTEST).plus(Micros(SHORTEST))
    }

    /// How long after a call that was turned away the next one waits.
    pub fn turned_away(&mut self) -> Micros {
        let fleet = EACH_TURNED_AWAY.saturating_mul(self.senders.saturating_sub(1));
        let longest = LONGEST_PAUSE.max(fleet.saturating_mul(4)).min(LONGEST_TURNED_AWAY);
        let most = self.doubled(FIRST_PAUSE.max(fleet), longest);
        self.draw(most / 2).plus(Micros(most - most / 2))
    }

    /// A bound that doubles with each failure.
    fn doubled(&mut self, first: u64, longest: u64) -> u64 {
        let first = first.min(longest);
        let most = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures += 1;
        most
    }
}
