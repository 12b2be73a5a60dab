//! The sockets round the core: one thread, one epoll loop. Parts go by peer.

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
pub mod reports;
pub mod servers;
pub mod signals;
pub mod stream;
mod upgrade;
