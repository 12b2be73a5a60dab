//! Maintenance: forwarders are taken out of service for work on their machines, in an order that
//! the forwarders agree on among themselves. The parts are a ledger of maintenance plans and
//! leases, a register through which a majority of the configured voters agrees on each change of
//! the ledger, and an agent that takes one forwarder out of service and back. These modules make
//! decisions and do no I/O. Design and measurements: `docs/maintenance.md`.

pub mod agent;
pub mod kept;
pub mod ledger;
pub mod parts;
pub mod register;
pub mod request;

use serde::{Deserialize, Serialize};

/// Fencing token of a lease: the ledger's version at which the lease was granted. A later lease has
/// a higher token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);
