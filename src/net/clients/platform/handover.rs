//! The handover of client connections to the successor process.

use super::{ClientConnection, HttpFront};
use crate::net::clients::life::ConnectionState;
use crate::net::poll::{Peer, Poll};
use crate::net::stream::{HandedStream, Stream};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::os::fd::{BorrowedFd, OwnedFd};

/// A connection as it is handed over to the successor process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedClientConnection {
    stream: HandedStream,
    /// Missing in connections that earlier versions hand over.
    #[serde(default)]
    life: Option<ConnectionState>,
    leaving: bool,
    continued: bool,
    used_at: Micros,
}

impl HttpFront {
    /// All connections, to be handed over to the successor process. Between two loop iterations the core
    /// holds no submission.
    pub fn hand_over(&self) -> (Vec<HandedClientConnection>, Vec<BorrowedFd<'_>>) {
        let connection = |connection: &'_ ClientConnection| {
            let &ClientConnection { state, leaving, continued, used_at, .. } = connection;
            HandedClientConnection {
                stream: connection.stream.hand_over().0,
                life: Some(state),
                leaving,
                continued,
                used_at,
            }
        };
        let transferable = || self.connections.values().filter(|connection| !connection.state.is_answering());
        (
            transferable().map(connection).collect(),
            transferable().map(|connection| connection.stream.hand_over().1).collect(),
        )
    }

    /// Takes over a connection from the predecessor process.
    pub fn adopt(&mut self, poll: &mut Poll, handed: HandedClientConnection, socket: OwnedFd) {
        let token = poll.token(Peer::Client);
        let Ok(stream) = Stream::take_over(poll, token, handed.stream, socket) else { return };
        let HandedClientConnection { life, leaving, continued, used_at, .. } = handed;
        let state = life.unwrap_or(ConnectionState::Idle { since: used_at });
        let connection =
            ClientConnection { leaving, continued, ..ClientConnection::new(stream, state, used_at) };
        self.connections.insert(token, connection);
        self.unfinished.insert(token);
        self.update_indexes(token);
    }
}
