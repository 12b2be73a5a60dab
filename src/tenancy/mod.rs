//! What each tenant may use of what all share: guarantees, ceilings and reserves, arrivals a second, and whose message may
//! take the next call slot. No I/O, no wire; tenants go by their places (see [`directory`](crate::directory)).
//! `docs/tenancy-design.md` has the reasons.

pub mod gate;
pub mod intake;
pub mod rate;
pub mod share;

/// Bounds that an operator tells for one resource, in its unit; what is absent is parted by weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareLimits {
    /// So much is a tenant's own.
    pub guarantee: Option<u64>,
    /// It never has more.
    pub ceiling: Option<u64>,
}

/// What one tenant is told of its parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Isolation {
    /// Its part of what is not told, beside the others' weights. Zero for one that is gone: nothing is kept for it.
    pub weight: f64,
    /// Call slots.
    pub slots: ShareLimits,
    /// Messages held.
    pub held: ShareLimits,
    /// Bytes of messages held.
    pub bytes: ShareLimits,
    /// Offers a second.
    pub arrivals: Option<rate::Rate>,
}

impl Default for Isolation {
    fn default() -> Self {
        Isolation {
            weight: 1.0,
            slots: ShareLimits::default(),
            held: ShareLimits::default(),
            bytes: ShareLimits::default(),
            arrivals: None,
        }
    }
}

impl Isolation {
    /// One that is gone from the configuration.
    pub const REMOVED: Isolation = Isolation {
        weight: 0.0,
        slots: ShareLimits { guarantee: None, ceiling: None },
        held: ShareLimits { guarantee: None, ceiling: None },
        bytes: ShareLimits { guarantee: None, ceiling: None },
        arrivals: None,
    };
}
