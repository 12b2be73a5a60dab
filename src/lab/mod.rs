//! An emulator of a fleet for experiments. It runs the sans-IO cores of hundreds to thousands of forwarders
//! in one process, on simulated time and a simulated network. The same seed gives the same output. The tables
//! of the design notes come from its runs; it is not a benchmark.

pub mod cold_start;
mod endpoints;
mod forwarder;
pub mod maintenance;
pub mod membership;
mod network;

pub use network::{Fault, Network};
