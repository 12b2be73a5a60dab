//! epoll, and the clock.

use crate::Micros;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whose socket it is: the upper byte of its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Peer {
    /// SIGTERM.
    Stop,
    /// SIGHUP.
    Reload,
    /// The listener for clients.
    ClientListener,
    /// An edge connection.
    Client,
    /// A connection to a real server.
    Endpoint,
    /// The discovery watch.
    Discovery,
    /// The notices.
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
    /// The listener for operators' staff.
    OpsListener,
    /// A connection of theirs.
    Ops,
    /// Where a process that is to follow this one asks.
    UpgradeListener,
    /// One that has asked.
    Successor,
    /// The other forwarders of the fleet.
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
/// Sockets that one look tells of. No more than a process may hold as a rule: one that was left out would be late by a turn, and
/// what had come on it would be told to be missing.
const MAX_READY_EVENTS: usize = 4096;

/// One ready socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Whose.
    pub peer: Peer,
    /// Which.
    pub token: u64,
}

/// The one epoll instance.
pub struct Poll {
    epoll: OwnedFd,
    next: u64,
    events: Vec<epoll::Event>,
}

impl Poll {
    /// Makes it.
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll, next: 0, events: Vec::with_capacity(MAX_READY_EVENTS) })
    }

    /// Another one, that waits for nothing yet. Tokens go on: none of the old ones is given again.
    pub fn replacement(&self) -> io::Result<Poll> {
        Ok(Poll { next: self.next, ..Poll::new()? })
    }

    /// A new token for a peer; none is used twice, so a late event meets nobody.
    pub fn token(&mut self, peer: Peer) -> u64 {
        self.next += 1;
        (peer as u64) << PEER_SHIFT | self.next
    }

    /// Watches a socket for input and, if so wished, for room to write.
    pub fn add(&self, socket: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, socket, EventData::new_u64(token), flags(write))?)
    }

    /// Watches a listener for connections.
    pub fn listen(&mut self, listener: &TcpListener, peer: Peer) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let token = self.token(peer);
        self.add(listener, token, false)
    }

    /// Changes what a socket is watched for.
    pub fn change(&self, socket: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, socket, EventData::new_u64(token), flags(write))?)
    }

    /// Waits until something is ready or the time is over, and tells all that is ready.
    pub fn wait(&mut self, timeout: Duration) -> Vec<Ready> {
        self.events.clear();
        let timeout =
            Timespec { tv_sec: timeout.as_secs().min(3600) as i64, tv_nsec: timeout.subsec_nanos().into() };
        let mut timeout = Some(timeout);
        // Interrupted by a signal, it looks again, without waiting: who was held still would else take all that came meanwhile
        // for silence, and tell time-outs over it.
        while let Err(rustix::io::Errno::INTR) =
            epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), timeout.as_ref())
        {
            timeout = Some(Timespec { tv_sec: 0, tv_nsec: 0 });
        }
        let ready = self.events.iter().filter_map(|event| {
            let token = event.data.u64();
            let peer = *PEERS.get((token >> PEER_SHIFT) as usize)?;
            Some(Ready { peer, token })
        });
        ready.collect()
    }
}

fn flags(write: bool) -> EventFlags {
    if write {
        EventFlags::IN | EventFlags::OUT
    } else {
        EventFlags::IN
    }
}

/// The old process stands still for less than that, and what it wrote is read by then.
const MAX_HANDOVER_TIME: Micros = Micros(2_000_000);

/// The system's clock, as Unix time.
pub fn wall_clock() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(since.as_micros() as u64)
}

/// Unix time that never goes back while the process runs.
pub struct Clock {
    base: Micros,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Clock {
        Clock { base: wall_clock(), started: Instant::now() }
    }

    /// Goes on from another process's clock, as it stood when the system's stood so: what was noted by that one keeps its
    /// meaning, and what went by since then counts. Behind by that, each process that follows would let windows and
    /// deadlines end later. The system's clock may have been set meanwhile: no more is believed than a hand-over takes.
    pub fn continue_from(now: Micros, then: Option<Micros>) -> Clock {
        let passed = then.map_or(Micros(0), |then| wall_clock().minus(then)).min(MAX_HANDOVER_TIME);
        Clock { base: now.plus(passed), started: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.base.plus(Micros(self.started.elapsed().as_micros() as u64))
    }
}

#[cfg(test)]
mod tests;
