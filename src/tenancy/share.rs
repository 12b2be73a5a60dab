//! One resource of a certain size that tenants share. Each may use what is idle, but never what others have in reserve, and
//! never more than its ceiling. A reserve is there at any time; the rest of a guarantee may be lent, and who is below its
//! guarantee has it before others once it is given back (see [`gate`](super::gate) and [`intake`](super::intake)).
//!
//! Cost: a question, a use and its end O(1); a change of the settings O(tenants). 48 bytes a tenant.

use super::Told;

/// The part of a guarantee that is not lent: its owner starts at once when it returns.
const RESERVED: f64 = 0.25;

/// What a tenant may use, in the resource's unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// So much is its own.
    pub guarantee: u64,
    /// It never has more.
    pub ceiling: u64,
    /// So much of its own is never lent, in thousandths of the unit.
    pub reserve: u64,
}

/// Why a tenant may not have more just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is no room for anyone.
    NoRoom,
    /// It has reached its ceiling.
    Ceiling,
    /// What is left is kept for others.
    Reserved,
}

/// Bounds where each tenant tells what it wants; what is not told is parted by weight among those who do not tell.
/// One tenant alone has all of it.
pub fn bounds(size: u64, told: &[(f64, Told)]) -> Vec<Bounds> {
    let alone = told.iter().filter(|(weight, _)| *weight > 0.0).count() <= 1;
    let taken: u64 = told.iter().filter_map(|(_, told)| told.guarantee).fold(0, u64::saturating_add);
    let rest = size.saturating_sub(taken) as f64;
    let weights: f64 =
        told.iter().filter(|(_, told)| told.guarantee.is_none()).map(|(weight, _)| weight).sum();
    let one = |&(weight, told): &(f64, Told)| {
        let part = if weights > 0.0 { rest * weight / weights } else { 0.0 };
        let own = told.guarantee.map_or(part, |own| own as f64);
        let ceiling = told.ceiling.unwrap_or(size).min(size);
        let own = own.min(ceiling as f64);
        let reserve = if alone && told.guarantee.is_none() { 0 } else { (own * RESERVED * 1000.0) as u64 };
        Bounds { guarantee: own as u64, ceiling, reserve }
    };
    told.iter().map(one).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    bounds: Bounds,
    used: u64,
}

impl Share {
    /// What is still kept for it, in thousandths.
    fn spare(&self) -> u64 {
        self.bounds.reserve.saturating_sub(self.used.saturating_mul(1000))
    }
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    size: u64,
    used: u64,
    /// What is kept for all together, in thousandths.
    spare: u64,
    of: Vec<Share>,
}

impl Shares {
    /// Other bounds, by place. Uses stay as they are, also above the new ones.
    pub fn configure(&mut self, size: u64, bounds: &[Bounds]) {
        self.size = size;
        self.of.resize(self.of.len().max(bounds.len()), Share::default());
        for (place, share) in self.of.iter_mut().enumerate() {
            share.bounds = bounds.get(place).copied().unwrap_or_default();
        }
        self.spare = self.of.iter().map(Share::spare).sum();
    }

    /// Whether a tenant may have so much more.
    pub fn may(&self, place: usize, more: u64) -> Result<(), Refused> {
        let share = self.of.get(place).copied().unwrap_or_default();
        let (own, all) = (share.used.saturating_add(more), self.used.saturating_add(more));
        if all > self.size {
            return Err(Refused::NoRoom);
        }
        if own > share.bounds.ceiling {
            return Err(Refused::Ceiling);
        }
        // What it takes of its own reserve is not kept from it.
        let others = self.spare - share.spare();
        if (self.size - all).saturating_mul(1000) >= others {
            Ok(())
        } else {
            Err(Refused::Reserved)
        }
    }

    /// A tenant has so much more.
    pub fn take(&mut self, place: usize, more: u64) {
        self.change(place, |used| used + more);
    }

    /// A tenant has so much less.
    pub fn give(&mut self, place: usize, less: u64) {
        debug_assert!(self.used(place) >= less, "tenant {place} gives back {less} of {}", self.used(place));
        self.change(place, |used| used.saturating_sub(less));
    }

    fn change(&mut self, place: usize, to: impl FnOnce(u64) -> u64) {
        if place >= self.of.len() {
            self.of.resize(place + 1, Share::default());
        }
        let share = &mut self.of[place];
        self.used -= share.used;
        self.spare -= share.spare();
        share.used = to(share.used);
        self.used += share.used;
        self.spare += share.spare();
    }

    /// What a tenant has.
    pub fn used(&self, place: usize) -> u64 {
        self.of.get(place).map_or(0, |share| share.used)
    }

    /// What it may have.
    pub fn bounds(&self, place: usize) -> Bounds {
        self.of.get(place).map_or(Bounds::default(), |share| share.bounds)
    }

    /// Whether it has less than its guarantee.
    pub fn below(&self, place: usize) -> bool {
        self.of.get(place).is_some_and(|share| share.used < share.bounds.guarantee)
    }

    /// What all have, and the size.
    pub fn total(&self) -> (u64, u64) {
        (self.used, self.size)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn equal(size: u64, tenants: usize) -> Shares {
        let mut shares = Shares::default();
        shares.configure(size, &bounds(size, &vec![(1.0, Told::default()); tenants]));
        shares
    }

    #[test]
    fn one_alone_has_all_and_of_two_none_gets_the_reserve_of_the_other() {
        let mut one = equal(10, 1);
        (0..10).for_each(|_| {
            one.may(0, 1).unwrap();
            one.take(0, 1);
        });
        assert_eq!(one.may(0, 1), Err(Refused::NoRoom));
        let mut two = equal(40, 2);
        while two.may(0, 1).is_ok() {
            two.take(0, 1);
        }
        // Its own 20, and what is lent of the other's 20: all but a quarter.
        assert_eq!((two.used(0), two.may(0, 1)), (35, Err(Refused::Reserved)));
        (0..5).for_each(|_| {
            two.may(1, 1).unwrap();
            two.take(1, 1);
        });
        // What is lent beyond the reserve comes back with the end of a borrower's use, and the owner has it.
        assert_eq!(two.may(1, 1), Err(Refused::NoRoom));
        two.give(0, 1);
        assert_eq!((two.may(0, 1), two.may(1, 1)), (Ok(()), Ok(())));
    }

    #[test]
    fn what_is_told_counts_before_what_is_parted_and_a_ceiling_binds() {
        let told = Told { guarantee: Some(30), ceiling: Some(50) };
        let parts = bounds(
            100,
            &[(1.0, told), (3.0, Told::default()), (1.0, Told::default()), (0.0, Told::default())],
        );
        let own: Vec<u64> = parts.iter().map(|bounds| bounds.guarantee).collect();
        assert_eq!(own, [30, 52, 17, 0]);
        let mut shares = Shares::default();
        shares.configure(100, &parts);
        while shares.may(0, 1).is_ok() {
            shares.take(0, 1);
        }
        assert_eq!((shares.used(0), shares.may(0, 1)), (50, Err(Refused::Ceiling)));
        // Lowered under what is held: nothing is taken away, nothing more is given.
        shares.configure(
            40,
            &bounds(40, &[(1.0, Told { guarantee: None, ceiling: Some(10) }), (1.0, Told::default())]),
        );
        assert_eq!((shares.used(0), shares.may(0, 1)), (50, Err(Refused::NoRoom)));
        (0..45).for_each(|_| shares.give(0, 1));
        assert_eq!(shares.may(0, 1), Ok(()));
    }

    proptest! {
        /// Whatever the others borrow, each can have its reserve at any time, and the sums kept are the sums.
        #[test]
        fn a_reserve_is_there_at_any_time(
            size in 1u64..2000,
            told in proptest::collection::vec((0.1f64..9.0, proptest::option::of(0u64..50)), 2..12),
            deeds in proptest::collection::vec((0usize..12, 1u64..40, any::<bool>()), 1..200),
        ) {
            let told: Vec<_> =
                told.into_iter().map(|(weight, ceiling)| (weight, Told { guarantee: None, ceiling })).collect();
            let mut shares = Shares::default();
            shares.configure(size, &bounds(size, &told));
            for (place, amount, takes) in deeds {
                let place = place % told.len();
                if takes && shares.may(place, amount).is_ok() {
                    shares.take(place, amount);
                } else if !takes {
                    shares.give(place, amount.min(shares.used(place)));
                }
                let used: u64 = shares.of.iter().map(|share| share.used).sum();
                let spare: u64 = shares.of.iter().map(Share::spare).sum();
                prop_assert_eq!((used, spare), (shares.used, shares.spare));
                prop_assert!(used <= size);
                for (place, share) in shares.of.iter().enumerate() {
                    prop_assert!(share.used <= share.bounds.ceiling);
                    let own = share.bounds.reserve / 1000;
                    if share.used < own {
                        prop_assert!(shares.may(place, 1).is_ok(), "place {place}: {shares:?}");
                    }
                }
            }
        }
    }
}
