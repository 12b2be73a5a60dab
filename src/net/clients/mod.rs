//! Edge connections: the fronts at which flows are handed in.

pub mod amqp;
pub mod life;
pub mod platform;

/// Number of the platform's front in the core and in the journal.
pub const PLATFORM: u8 = 0;
/// The same of AMQP's front.
pub const PUBLISHERS: u8 = 1;
