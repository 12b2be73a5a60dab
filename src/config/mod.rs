//! Configuration: what the program can be told, how a change of it is checked, planned, put in force at once, and
//! undone. Nothing here opens a socket; files are read by `store` alone. The design: `docs/configuration-design.md`.

#[macro_use]
pub mod read;
pub mod desk;
pub mod document;
pub mod members;
pub mod model;
pub mod plan;
pub mod probation;
pub mod problem;
pub mod secret;
pub mod store;
pub mod transaction;
pub mod tree;
pub mod versions;
