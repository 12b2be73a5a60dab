//! Decides which connections may carry another call. HTTP/1.1 pairs answers with calls by their order alone, so an
//! endpoint that sends an answer twice would have the second copy taken for the answer to the next call. A
//! connection is reused only where a copy can be recognized: its answers so far were deliveries with bodies of
//! their own.

use crate::net::http::Response;
use crate::EndpointId;
use std::collections::{BTreeMap, VecDeque};

/// Number of latest deliveries of an endpoint that are compared.
const COMPARED_DELIVERIES: usize = 8;
/// Largest body that is remembered.
const MAX_BODY_BYTES: usize = 1024;
/// Largest number of body bytes that are remembered for one connection.
const MAX_CONNECTION_BYTES: usize = 4 * 1024;

/// The bodies of the deliveries that were answered on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionDeliveries {
    bodies: Vec<Box<[u8]>>,
}

impl ConnectionDeliveries {
    /// Continues with the bodies that a predecessor process has remembered.
    pub fn from_bodies(bodies: impl IntoIterator<Item = Vec<u8>>) -> ConnectionDeliveries {
        ConnectionDeliveries { bodies: bodies.into_iter().map(Vec::into_boxed_slice).collect() }
    }

    /// The remembered bodies, oldest first.
    pub fn bodies(&self) -> impl Iterator<Item = &[u8]> {
        self.bodies.iter().map(|body| &body[..])
    }

    /// Whether an answer may be a second copy of one that was received before.
    pub fn may_repeat(&self, answer: &Response) -> bool {
        is_delivery(answer) && self.bodies.iter().any(|body| body[..] == answer.body[..])
    }

    /// Remembers a delivery; false if there is no room for it.
    fn remember(&mut self, body: &[u8]) -> bool {
        let remembered: usize = self.bodies.iter().map(|body| body.len()).sum();
        let has_room = remembered + body.len() <= MAX_CONNECTION_BYTES;
        if has_room {
            self.bodies.push(body.into());
        }
        has_room
    }
}

/// The latest deliveries of each endpoint, over all of its connections.
#[derive(Default)]
pub struct EndpointDeliveries(pub(super) BTreeMap<EndpointId, VecDeque<Box<[u8]>>>);

impl EndpointDeliveries {
    /// Records an answer, whether it belongs to a call or is a copy.
    pub fn record(&mut self, endpoint: EndpointId, answer: &Response) {
        if !is_delivery(answer) {
            return;
        }
        let recent = self.0.entry(endpoint).or_default();
        if recent.len() == COMPARED_DELIVERIES {
            recent.pop_front();
        }
        recent.push_back(answer.body[..answer.body.len().min(MAX_BODY_BYTES)].into());
    }

    /// Whether a connection may carry another call after this answer, which has been recorded. The answer is
    /// remembered for the connection.
    pub fn allow_reuse(
        &self,
        endpoint: EndpointId,
        answer: &Response,
        connection: &mut ConnectionDeliveries,
    ) -> bool {
        let is_small = (1..=MAX_BODY_BYTES).contains(&answer.body.len());
        is_delivery(answer)
            && is_small
            && self.has_distinct_bodies(endpoint)
            && connection.remember(&answer.body)
    }

    /// Whether the latest deliveries of an endpoint, at least two, differ from each other.
    fn has_distinct_bodies(&self, endpoint: EndpointId) -> bool {
        let Some(recent) = self.0.get(&endpoint) else { return false };
        let differs_from_later =
            |index: usize| recent.iter().skip(index + 1).all(|later| later != &recent[index]);
        recent.len() > 1 && (0..recent.len()).all(differs_from_later)
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.0.remove(&endpoint);
    }
}

/// Only deliveries are told apart by their bodies: rejections and errors of an endpoint are alike.
fn is_delivery(answer: &Response) -> bool {
    answer.status == 200
}

#[cfg(test)]
mod tests;
