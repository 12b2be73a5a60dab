//! What all clients together may hold: connections, and memory of their buffers.

use super::{send, ClientConnection, CloseReason, HttpFront, OVERLOAD_RETRY_AFTER};
use crate::config::descriptors::MIN_CLIENT_CONNECTIONS;
use crate::net::clients::life::ConnectionState;
use crate::net::poll::Poll;
use crate::Micros;

impl HttpFront {
    /// The most connections while those of other peers are open.
    pub(super) fn connection_limit(&self) -> usize {
        self.max_connections.saturating_sub(self.other_connections).max(MIN_CLIENT_CONNECTIONS)
    }

    /// Sets the number of other peers' connections that take descriptors from those of clients. Unused
    /// connections beyond what is left are closed.
    pub fn make_room_for(&mut self, other_connections: usize) {
        self.other_connections = other_connections;
        while self.connections.len() > self.connection_limit() && self.evict_one() {}
    }

    /// Closes one unused connection to make room for a new one: closing connections first, then those without
    /// a request so far, then idle ones, the oldest first in each group. Silent connections, however many,
    /// thus keep no other client out. A connection with unread input is in use. Returns whether one was closed.
    pub(super) fn evict_one(&mut self) -> bool {
        let is_evictable = |connection: &ClientConnection| {
            matches!(connection.state, ConnectionState::Lingering { .. }) || connection.is_quiescent()
        };
        let can_evict = |token: &u64| self.connections.get(token).is_some_and(is_evictable);
        let first = self.eviction_order.iter().map(|&(_, token)| token).find(can_evict);
        first.into_iter().for_each(|token| self.remove(token, CloseReason::MadeRoom));
        first.is_some()
    }

    /// The most bytes of bodies that are submitted in one iteration: until its end they take memory beside the
    /// messages that are held already.
    pub(super) fn max_submitted_bytes(&self) -> usize {
        self.max_buffered_bytes / 2
    }

    /// Rejects the requests that take most memory while all of them together take too much. None of them has been
    /// submitted, so it is safe to send them again.
    pub(super) fn free_memory(&mut self, poll: &Poll, now: Micros) {
        while self.buffered_bytes > self.max_buffered_bytes {
            let Some(&(_, token)) = self.by_buffer.last() else { return };
            let Some(connection) = self.connections.get_mut(&token) else { return };
            self.closed_for_memory += 1;
            let (all, bytes) = (self.buffered_bytes, connection.buffered_bytes);
            log!("clients: buffers take {all} bytes, closing the connection with most of it: {bytes}");
            if connection.state.accepts_requests() && connection.stream.flushed() {
                connection.state.close(now);
                send(poll, connection, 503, &[("Retry-After", OVERLOAD_RETRY_AFTER)], b"");
                self.advance_closing(token, now);
                self.update_indexes(token);
            } else {
                self.remove(token, CloseReason::LackOfMemory);
            }
        }
    }

    /// Statistics for operators: connections, their buffers and the limits of both, and how many connections
    /// were rejected or closed for lack of room.
    pub fn figures(&self) -> serde_json::Value {
        serde_json::json!({
            "connections": self.connections.len(),
            "connections_max": self.connection_limit(),
            "buffered_bytes": self.buffered_bytes,
            "buffered_bytes_max": self.max_buffered_bytes,
            "rejected": self.rejected_connections,
            "closed_for_memory": self.closed_for_memory,
        })
    }
}
