//! Edge connections: the fronts at which flows are handed in.

pub mod amqp;
pub mod life;
pub mod platform;

/// Number of the platform's front in the core and in the journal.
pub const HTTP_FRONT: u8 = 0;
/// The same of AMQP's front.
pub const AMQP_FRONT: u8 = 1;
