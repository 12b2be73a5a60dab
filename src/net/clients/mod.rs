//! The fronts: the interfaces through which clients submit messages.

pub mod amqp;
pub mod life;
pub mod platform;

/// Number of the HTTP front in the core and in the journal.
pub const HTTP_FRONT: u8 = 0;
/// Number of the AMQP front in the core and in the journal.
pub const AMQP_FRONT: u8 = 1;
