//! The handover of connections to the successor process, with the calls in progress on them.

use super::call::ActiveCall;
use super::reuse::ConnectionDeliveries;
use super::{Connection, EndpointConnections, IndexKeys};
use crate::engine::CallId;
use crate::net::poll::{Peer, Poll};
use crate::net::stream::{HandedStream, Stream};
use crate::{EndpointId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;

/// A connection as handed over to the successor process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedConnection {
    endpoint: EndpointId,
    stream: HandedStream,
    #[serde(rename = "out")]
    active_call: Option<HandedOut>,
    answered: bool,
    /// Absent in a handover from an older version, which did not record them.
    #[serde(default)]
    deliveries: Vec<serde_bytes::ByteBuf>,
    #[serde(rename = "since")]
    last_used: Micros,
    /// Absent in a handover from an older version, which did not record it.
    #[serde(default)]
    address: Option<SocketAddr>,
}

/// The call in progress on a [`HandedConnection`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HandedOut {
    call: CallId,
    ids: Vec<serde_bytes::ByteBuf>,
    batch: bool,
    written: bool,
    /// Absent in a handover from an older version, which did not record it.
    #[serde(default, rename = "leaves_by")]
    send_deadline: Option<Micros>,
    #[serde(rename = "told")]
    outcome_reported: bool,
    /// Absent in a handover from an older version, which reported the limits only with the complete response.
    #[serde(default, rename = "wait_told")]
    wait_reported: bool,
    #[serde(default, rename = "report_told")]
    load_reported: bool,
    answer_since: Option<Micros>,
}

impl HandedConnection {
    /// Replaces the id of its endpoint where the successor uses another one.
    pub fn rename_endpoint(&mut self, renamed: &BTreeMap<EndpointId, EndpointId>) {
        self.endpoint = renamed.get(&self.endpoint).copied().unwrap_or(self.endpoint);
    }
}

impl EndpointConnections {
    /// All connections, to hand over to the successor process.
    pub fn hand_over(&self) -> (Vec<HandedConnection>, Vec<BorrowedFd<'_>>) {
        let active_call = |active_call: &ActiveCall| HandedOut {
            call: active_call.call,
            ids: active_call.ids.iter().map(|id| serde_bytes::ByteBuf::from(id.to_vec())).collect(),
            batch: active_call.batch,
            written: active_call.written,
            send_deadline: Some(active_call.send_deadline),
            outcome_reported: active_call.outcome_reported,
            wait_reported: active_call.wait_reported,
            load_reported: active_call.load_reported,
            answer_since: active_call.answer_since,
        };
        let hand_over_connection = |connection: &Connection| HandedConnection {
            endpoint: connection.endpoint,
            stream: connection.stream.hand_over().0,
            active_call: connection.active_call.as_ref().map(active_call),
            answered: connection.answered,
            deliveries: connection.deliveries.bodies().map(serde_bytes::ByteBuf::from).collect(),
            last_used: connection.last_used,
            address: connection.address,
        };
        let sockets = self.connections.values().map(|connection| connection.stream.hand_over().1);
        (self.connections.values().map(hand_over_connection).collect(), sockets.collect())
    }

    /// Takes over a connection of the predecessor process; returns the call in progress on it.
    pub fn take_over(
        &mut self,
        poll: &mut Poll,
        handed: HandedConnection,
        socket: OwnedFd,
    ) -> Option<CallId> {
        // The answers on a connection of an older version are not known.
        let closes_after_call = handed.answered && handed.deliveries.is_empty();
        if closes_after_call && handed.active_call.is_none() {
            return None;
        }
        let socket = TcpStream::from(socket);
        let address = handed.address.or_else(|| socket.peer_addr().ok());
        let token = poll.token(Peer::Endpoint);
        let stream = Stream::take_over(poll, token, handed.stream, socket.into()).ok()?;
        let active_call = handed.active_call.map(|active_call| ActiveCall {
            call: active_call.call,
            ids: active_call.ids.iter().map(|id| Rc::from(&id[..])).collect(),
            batch: active_call.batch,
            written: active_call.written,
            send_deadline: active_call.send_deadline.unwrap_or(Micros(u64::MAX)),
            outcome_reported: active_call.outcome_reported,
            wait_reported: active_call.wait_reported,
            load_reported: active_call.load_reported,
            answer_since: active_call.answer_since,
        });
        let call = active_call
            .as_ref()
            .filter(|active_call| !active_call.outcome_reported)
            .map(|active_call| active_call.call);
        let index_keys = IndexKeys { deadline: Micros(u64::MAX), idle_since: None };
        let connection = Connection {
            endpoint: handed.endpoint,
            stream,
            active_call,
            answered: handed.answered,
            deliveries: ConnectionDeliveries::from_bodies(
                handed.deliveries.into_iter().map(|body| body.into_vec()),
            ),
            closes_after_call,
            last_used: handed.last_used,
            address,
            index_keys,
        };
        if connection.active_call.is_none() && !self.leads_to_its_endpoint(&connection) {
            return None;
        }
        self.connections.insert(token, connection);
        self.calls.extend(call.map(|call| (call, token)));
        self.update_indexes(token);
        call
    }
}
