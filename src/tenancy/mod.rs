//! Isolation of tenants: guarantees, ceilings and reserves of shared resources, limits on the arrival rate,
//! and the choice of the tenant whose message takes the next call slot. No I/O; tenants are identified by
//! their indices (see [`directory`](crate::directory)). `docs/tenancy-design.md` has the reasons.

pub mod gate;
pub mod intake;
pub mod rate;
pub mod share;

/// Configured limits of a tenant's share of one resource, in the resource's unit. What has no limit is
/// divided by weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareLimits {
    /// The amount guaranteed to the tenant.
    pub guarantee: Option<u64>,
    /// The most that the tenant may use.
    pub ceiling: Option<u64>,
}

/// One tenant's configured shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Isolation {
    /// Its weight among all tenants in the division of what is not guaranteed explicitly. Zero for a tenant
    /// that was removed: nothing is reserved for it.
    pub weight: f64,
    /// Call slots.
    pub slots: ShareLimits,
    /// Held messages.
    pub held: ShareLimits,
    /// Bytes of held messages.
    pub bytes: ShareLimits,
    /// Submissions per second.
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
    /// The shares of a tenant that is no longer in the configuration.
    pub const REMOVED: Isolation = Isolation {
        weight: 0.0,
        slots: ShareLimits { guarantee: None, ceiling: None },
        held: ShareLimits { guarantee: None, ceiling: None },
        bytes: ShareLimits { guarantee: None, ceiling: None },
        arrivals: None,
    };
}
