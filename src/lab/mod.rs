//! The project's own emulator of a fleet: simulated time and a seeded simulated network, driving the same sans-IO
//! cores as the program, hundreds to thousands of processes in one. Not a bench: an experiment tool, whose runs are
//! the tables of the design notes. Same seed, same output.

pub mod cold_start;
mod endpoints;
mod forwarder;
pub mod maintenance;
pub mod membership;
mod network;

pub use network::{Fault, Network};
