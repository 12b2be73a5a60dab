//! Calls to endpoints over HTTP and AMQP.

pub mod amqp;
pub mod http;
