//! One resource of a certain size that tenants share. Each may use what is idle, but never what others have in reserve, and
//! never more than its ceiling. A reserve is there at any time; the rest of a guarantee may be lent, and who is below its
//! guarantee has it before others once it is given back (see [`gate`](super::gate) and [`intake`](super::intake)).
//!
//! Cost: a question, a use and its end O(1); a change of the settings O(tenants). 48 bytes a tenant.

use super::ShareLimits;

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
pub enum ShareError {
    /// There is no room for anyone.
    Exhausted,
    /// It has reached its ceiling.
    CeilingReached,
    /// What is left is kept for others.
    Reserved,
}

/// Bounds where each tenant tells what it wants; what is not told is parted by weight among those who do not tell.
/// One tenant alone has all of it.
pub fn bounds(size: u64, told: &[(f64, ShareLimits)]) -> Vec<Bounds> {
    let alone = told.iter().filter(|(weight, _)| *weight > 0.0).count() <= 1;
    let taken: u64 = told.iter().filter_map(|(_, told)| told.guarantee).fold(0, u64::saturating_add);
    let rest = size.saturating_sub(taken) as f64;
    let weights: f64 =
        told.iter().filter(|(_, told)| told.guarantee.is_none()).map(|(weight, _)| weight).sum();
    let one = |&(weight, told): &(f64, ShareLimits)| {
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
    pub fn check(&self, place: usize, more: u64) -> Result<(), ShareError> {
        let share = self.of.get(place).copied().unwrap_or_default();
        let (own, all) = (share.used.saturating_add(more), self.used.saturating_add(more));
        if all > self.size {
            return Err(ShareError::Exhausted);
        }
        if own > share.bounds.ceiling {
            return Err(ShareError::CeilingReached);
        }
        // What it takes of its own reserve is not kept from it.
        let others = self.spare - share.spare();
        if (self.size - all).saturating_mul(1000) >= others {
            Ok(())
        } else {
            Err(ShareError::Reserved)
        }
    }

    /// A tenant has so much more.
    pub fn acquire(&mut self, place: usize, more: u64) {
        self.change(place, |used| used + more);
    }

    /// A tenant has so much less.
    pub fn release(&mut self, place: usize, less: u64) {
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
    pub fn is_below_guarantee(&self, place: usize) -> bool {
        self.of.get(place).is_some_and(|share| share.used < share.bounds.guarantee)
    }

    /// What all have, and the size.
    pub fn usage(&self) -> (u64, u64) {
        (self.used, self.size)
    }
}

#[cfg(test)]
mod tests;
