//! Configuration: the settings, and how a change of them is checked, planned, applied atomically and undone.
//! Nothing here opens a socket; only `store` reads files, and `secret` those of secrets. Design:
//! `docs/configuration-design.md`.

#[macro_use]
pub mod read;
pub mod descriptors;
pub mod desk;
pub mod document;
mod fingerprint;
pub mod members;
pub mod memory;
pub mod model;
pub mod plan;
pub mod probation;
pub mod problem;
pub mod secret;
pub mod store;
pub mod transaction;
pub mod tree;
pub mod versions;
