//! The epoll instance and the clock.

use crate::Micros;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a socket belongs to; the upper byte of its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Peer {
    /// The pipe of SIGTERM.
    Stop,
    /// The pipe of SIGHUP.
    Reload,
    /// The listener for clients.
    ClientListener,
    /// A client connection.
    Client,
    /// A connection to an endpoint.
    Endpoint,
    /// The connection of the discovery watch.
    Discovery,
    /// The connection for delivery reports.
    Reports,
    /// The listener for publishers.
    AmqpListener,
    /// A publisher's connection.
    Publisher,
    /// A connection to a broker.
    Broker,
    /// The listener of the administration API.
    AdminListener,
    /// A connection to the administration API.
    Admin,
    /// The resolver that DNS-SD asks.
    Resolver,
    /// The listener for operators' calls.
    OpsListener,
    /// A connection of an operator.
    Ops,
    /// The socket on which a successor process asks for the handover.
    UpgradeListener,
    /// A connection of a successor process that has asked.
    Successor,
    /// The socket to the other forwarders of the fleet.
    Members,
}

const PEERS: [Peer; 18] = [
    Peer::Stop,
    Peer::Reload,
    Peer::ClientListener,
    Peer::Client,
    Peer::Endpoint,
    Peer::Discovery,
    Peer::Reports,
    Peer::AmqpListener,
    Peer::Publisher,
    Peer::Broker,
    Peer::AdminListener,
    Peer::Admin,
    Peer::Resolver,
    Peer::OpsListener,
    Peer::Ops,
    Peer::UpgradeListener,
    Peer::Successor,
    Peer::Members,
];
const PEER_SHIFT: u32 = 56;
/// Largest number of sockets that one wait returns. A process may normally open fewer. A socket that is left
/// out would be handled one loop iteration late, and its data would be treated as missing until then.
const MAX_READY_EVENTS: usize = 4096;

/// A socket that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// What the socket belongs to.
    pub peer: Peer,
    /// The socket's token.
    pub token: u64,
    /// What the peer has ended. Known before what it sent earlier has been read.
    pub hangup: Hangup,
}

/// What the peer of a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hangup {
    /// Nothing.
    None,
    /// It sends nothing more, but may still read.
    Sending,
    /// The connection: nothing can be sent to the peer any more.
    Connection,
}

impl Hangup {
    fn from_flags(flags: EventFlags) -> Hangup {
        if flags.intersects(EventFlags::HUP | EventFlags::ERR) {
            Hangup::Connection
        } else if flags.contains(EventFlags::RDHUP) {
            Hangup::Sending
        } else {
            Hangup::None
        }
    }
}

/// The process's epoll instance.
pub struct Poll {
    epoll: OwnedFd,
    next: u64,
    events: Vec<epoll::Event>,
}

impl Poll {
    /// Creates an instance that watches no socket.
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll, next: 0, events: Vec::with_capacity(MAX_READY_EVENTS) })
    }

    /// Creates a replacement that watches no socket yet. Tokens continue: no token of the old instance is
    /// reused.
    pub fn replacement(&self) -> io::Result<Poll> {
        Ok(Poll { next: self.next, ..Poll::new()? })
    }

    /// A new token for a peer. Tokens are never reused, so a late event cannot be attributed to another
    /// socket.
    pub fn token(&mut self, peer: Peer) -> u64 {
        self.next += 1;
        (peer as u64) << PEER_SHIFT | self.next
    }

    /// Watches a socket for input and, with `write`, for space to write.
    pub fn add(&self, socket: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, socket, EventData::new_u64(token), flags(write))?)
    }

    /// Watches a listener for new connections.
    pub fn listen(&mut self, listener: &TcpListener, peer: Peer) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let token = self.token(peer);
        self.add(listener, token, false)
    }

    /// Changes whether a socket is also watched for space to write.
    pub fn change(&self, socket: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, socket, EventData::new_u64(token), flags(write))?)
    }

    /// Waits until a socket is ready or the time-out is over; returns all sockets that are ready.
    pub fn wait(&mut self, timeout: Duration) -> Vec<Ready> {
        self.events.clear();
        let timeout =
            Timespec { tv_sec: timeout.as_secs().min(3600) as i64, tv_nsec: timeout.subsec_nanos().into() };
        let mut timeout = Some(timeout);
        // After an interrupting signal, poll again without waiting. A process that was stopped (SIGSTOP)
        // would otherwise treat the input that arrived meanwhile as silence and report time-outs.
        while let Err(rustix::io::Errno::INTR) =
            epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), timeout.as_ref())
        {
            timeout = Some(Timespec { tv_sec: 0, tv_nsec: 0 });
        }
        let ready = self.events.iter().filter_map(|event| {
            let token = event.data.u64();
            let peer = *PEERS.get((token >> PEER_SHIFT) as usize)?;
            let (token, flags) = (event.data.u64(), event.flags);
            Some(Ready { peer, token, hangup: Hangup::from_flags(flags) })
        });
        ready.collect()
    }
}

fn flags(write: bool) -> EventFlags {
    if write {
        EventFlags::IN | EventFlags::RDHUP | EventFlags::OUT
    } else {
        EventFlags::IN | EventFlags::RDHUP
    }
}

/// Upper bound of a handover: the predecessor is paused for less, and its state has been read by then.
const MAX_HANDOVER_TIME: Micros = Micros(2_000_000);

/// The system's clock as Unix time.
pub fn wall_clock() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(since.as_micros() as u64)
}

/// Unix time that never goes backwards while the process runs.
pub struct Clock {
    base: Micros,
    started: Instant,
}

impl Clock {
    /// Reads the system's clock once; later readings add the elapsed monotonic time.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Clock {
        Clock { base: wall_clock(), started: Instant::now() }
    }

    /// Continues the predecessor's clock, which read `now` when the system's clock read `then`: recorded
    /// times keep their meaning, and the time since then counts. Otherwise each handover would let windows
    /// and deadlines end later. The system's clock may have been set meanwhile, so at most the time of a
    /// handover is added.
    pub fn continue_from(now: Micros, then: Option<Micros>) -> Clock {
        let passed = then.map_or(Micros(0), |then| wall_clock().minus(then)).min(MAX_HANDOVER_TIME);
        Clock { base: now.plus(passed), started: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base.plus(Micros(self.started.elapsed().as_micros() as u64))
    }
}

#[cfg(test)]
mod tests;
