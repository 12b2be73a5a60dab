//! A resource of fixed size that tenants share. Each tenant may use what is idle, but never the reserves of
//! others, and never more than its ceiling. A reserve is available at any time. The rest of a guarantee may
//! be lent; a tenant below its guarantee takes precedence over others once the borrowed amount is released
//! (see [`gate`](super::gate) and [`intake`](super::intake)).
//!
//! Cost: a check, an acquisition and a release O(1); a change of the settings O(tenants). 48 bytes per
//! tenant.

use super::ShareLimits;

/// Fraction of a guarantee that is never lent, so that its owner can start at once after an idle time.
const RESERVE_FRACTION: f64 = 0.25;

/// The bounds of a tenant's use, in the resource's unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// The amount guaranteed to the tenant.
    pub guarantee: u64,
    /// The most that the tenant may use.
    pub ceiling: u64,
    /// The part of the guarantee that is never lent, in thousandths of the unit.
    pub reserve: u64,
}

/// The reason for which a tenant cannot acquire more at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareError {
    /// The resource is used up.
    Exhausted,
    /// The tenant would exceed its ceiling.
    CeilingReached,
    /// The remainder is reserved for other tenants.
    Reserved,
}

/// Computes the bounds of all tenants from their weights and limits. What is not guaranteed explicitly is
/// divided by weight among the tenants without an explicit guarantee. A single tenant gets the whole resource
/// without a reserve.
pub fn bounds(size: u64, limits: &[(f64, ShareLimits)]) -> Vec<Bounds> {
    let single = limits.iter().filter(|(weight, _)| *weight > 0.0).count() <= 1;
    let guaranteed: u64 =
        limits.iter().filter_map(|(_, limits)| limits.guarantee).fold(0, u64::saturating_add);
    let remaining = size.saturating_sub(guaranteed) as f64;
    let weights: f64 =
        limits.iter().filter(|(_, limits)| limits.guarantee.is_none()).map(|(weight, _)| weight).sum();
    let tenant_bounds = |&(weight, limits): &(f64, ShareLimits)| {
        let by_weight = if weights > 0.0 { remaining * weight / weights } else { 0.0 };
        let guarantee = limits.guarantee.map_or(by_weight, |explicit| explicit as f64);
        let ceiling = limits.ceiling.unwrap_or(size).min(size);
        let guarantee = guarantee.min(ceiling as f64);
        let reserve = if single && limits.guarantee.is_none() {
            0
        } else {
            (guarantee * RESERVE_FRACTION * 1000.0) as u64
        };
        Bounds { guarantee: guarantee as u64, ceiling, reserve }
    };
    limits.iter().map(tenant_bounds).collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    bounds: Bounds,
    used: u64,
}

impl Share {
    /// The part of its reserve that is not in use, in thousandths.
    fn unused_reserve(&self) -> u64 {
        self.bounds.reserve.saturating_sub(self.used.saturating_mul(1000))
    }
}

/// The shares of all tenants: see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    size: u64,
    used: u64,
    /// Sum of the unused reserves of all tenants, in thousandths.
    unused_reserve: u64,
    tenants: Vec<Share>,
}

impl Shares {
    /// Replaces the bounds, by tenant index. Present uses stay, even above the new bounds.
    pub fn configure(&mut self, size: u64, bounds: &[Bounds]) {
        self.size = size;
        self.tenants.resize(self.tenants.len().max(bounds.len()), Share::default());
        for (tenant, share) in self.tenants.iter_mut().enumerate() {
            share.bounds = bounds.get(tenant).copied().unwrap_or_default();
        }
        self.unused_reserve = self.tenants.iter().map(Share::unused_reserve).sum();
    }

    /// Whether a tenant may acquire `more`.
    pub fn check(&self, tenant: usize, more: u64) -> Result<(), ShareError> {
        let share = self.tenants.get(tenant).copied().unwrap_or_default();
        let (own, total) = (share.used.saturating_add(more), self.used.saturating_add(more));
        if total > self.size {
            return Err(ShareError::Exhausted);
        }
        if own > share.bounds.ceiling {
            return Err(ShareError::CeilingReached);
        }
        // A tenant's own reserve is available to it.
        let reserved_for_others = self.unused_reserve - share.unused_reserve();
        if (self.size - total).saturating_mul(1000) >= reserved_for_others {
            Ok(())
        } else {
            Err(ShareError::Reserved)
        }
    }

    /// Adds `more` to a tenant's use.
    pub fn acquire(&mut self, tenant: usize, more: u64) {
        self.change(tenant, |used| used + more);
    }

    /// Subtracts `less` from a tenant's use.
    pub fn release(&mut self, tenant: usize, less: u64) {
        debug_assert!(self.used(tenant) >= less, "tenant {tenant} releases {less} of {}", self.used(tenant));
        self.change(tenant, |used| used.saturating_sub(less));
    }

    fn change(&mut self, tenant: usize, update: impl FnOnce(u64) -> u64) {
        if tenant >= self.tenants.len() {
            self.tenants.resize(tenant + 1, Share::default());
        }
        let share = &mut self.tenants[tenant];
        self.used -= share.used;
        self.unused_reserve -= share.unused_reserve();
        share.used = update(share.used);
        self.used += share.used;
        self.unused_reserve += share.unused_reserve();
    }

    /// The amount that a tenant uses.
    pub fn used(&self, tenant: usize) -> u64 {
        self.tenants.get(tenant).map_or(0, |share| share.used)
    }

    /// A tenant's bounds.
    pub fn bounds(&self, tenant: usize) -> Bounds {
        self.tenants.get(tenant).map_or(Bounds::default(), |share| share.bounds)
    }

    /// Whether a tenant uses less than its guarantee.
    pub fn is_below_guarantee(&self, tenant: usize) -> bool {
        self.tenants.get(tenant).is_some_and(|share| share.used < share.bounds.guarantee)
    }

    /// The amount that all tenants use, and the size of the resource.
    pub fn usage(&self) -> (u64, u64) {
        (self.used, self.size)
    }
}

#[cfg(test)]
mod tests;
