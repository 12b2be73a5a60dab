//! Machines taken out for work in an order that the forwarders settle among themselves: a ledger of rounds and leases, a register
//! by which a majority of named voters agrees on each change of it, and the agent that drives one forwarder out and back. Decisions
//! alone, no I/O; the design and what was measured: `docs/maintenance.md`.

pub mod agent;
pub mod kept;
pub mod ledger;
pub mod parts;
pub mod register;
pub mod request;

use serde::{Deserialize, Serialize};

/// Fencing number of a lease: the ledger's version at which it was given. A later lease has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);
