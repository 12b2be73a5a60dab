//! Network I/O around the engine: one thread with one epoll loop. There is a module for each kind of peer.

#[macro_use]
pub mod log;
pub mod admin;
pub mod amqp;
pub mod caller;
mod change;
pub mod clients;
pub mod config;
pub mod handover;
pub mod http;
pub mod list;
pub mod maintenance;
pub mod members;
pub mod node;
pub mod ops;
pub mod poll;
mod reload;
pub mod reports;
pub mod servers;
pub mod signals;
pub mod stream;
mod upgrade;
