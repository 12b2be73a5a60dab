//! A non-blocking socket with its input and output buffers.

use super::poll::Poll;
use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// Bytes read at once; the rest is read in the next loop iteration.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Up to this length the input buffer has no spare capacity: many connections may hold a part of a request.
const EXACT_INPUT_BYTES: usize = 256 * 1024;
/// Limit of the output buffer: a peer that does not read what it is sent is disconnected above it.
const MAX_UNSENT_BYTES: usize = 1 << 20;

/// A non-blocking TCP connection with its buffers.
pub struct Stream {
    socket: TcpStream,
    token: u64,
    /// Bytes that have been read but not used yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    connecting: bool,
    watching_write: bool,
    /// The peer has closed its sending side.
    pub ended: bool,
    /// The last read got as many bytes as it asked for: more may wait.
    filled_last_read: bool,
}

/// A stream's state without its socket, as handed over to the successor process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HandedStream {
    #[serde(with = "serde_bytes")]
    input: Vec<u8>,
    #[serde(with = "serde_bytes")]
    output: Vec<u8>,
    connecting: bool,
    ended: bool,
}

/// Accepts the next waiting connection. An accept that fails is logged and counted.
pub fn accept_next(listener: &TcpListener, who: &str, failures: &mut u64) -> Option<TcpStream> {
    loop {
        match listener.accept() {
            Ok((socket, _)) => return Some(socket),
            Err(problem) if problem.kind() == ErrorKind::WouldBlock => return None,
            Err(problem) if problem.kind() == ErrorKind::ConnectionAborted => {}
            Err(problem) => {
                *failures += 1;
                log!("{who}: cannot accept a connection: {problem}");
                return None;
            }
        }
    }
}

impl Stream {
    /// Starts to connect.
    pub fn connect(poll: &Poll, token: u64, address: SocketAddr) -> io::Result<Stream> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let socket = socket_with(family, SocketType::STREAM, flags, None)?;
        match connect(&socket, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(problem) => return Err(problem.into()),
        }
        Stream::new(poll, token, TcpStream::from(socket), true)
    }

    /// Takes ownership of an accepted socket.
    pub fn accepted(poll: &Poll, token: u64, socket: TcpStream) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        Stream::new(poll, token, socket, false)
    }

    fn new(poll: &Poll, token: u64, socket: TcpStream, connecting: bool) -> io::Result<Stream> {
        socket.set_nodelay(true)?;
        poll.add(&socket, token, connecting)?;
        Ok(Stream {
            socket,
            token,
            input: Vec::new(),
            output: Vec::new(),
            connecting,
            watching_write: connecting,
            ended: false,
            filled_last_read: false,
        })
    }

    /// The state and the socket, to hand over to the successor process.
    pub fn hand_over(&self) -> (HandedStream, BorrowedFd<'_>) {
        let (input, output) = (self.input.clone(), self.output.clone());
        let handed = HandedStream { input, output, connecting: self.connecting, ended: self.ended };
        (handed, self.socket.as_fd())
    }

    /// Takes over a stream of the predecessor process.
    pub fn take_over(poll: &Poll, token: u64, handed: HandedStream, socket: OwnedFd) -> io::Result<Stream> {
        let HandedStream { input, output, connecting, ended } = handed;
        let socket = TcpStream::from(socket);
        let watching_write = connecting || !output.is_empty();
        poll.add(&socket, token, watching_write)?;
        let filled_last_read = false;
        Ok(Stream { socket, token, input, output, connecting, watching_write, ended, filled_last_read })
    }

    /// Registers the socket with another epoll instance.
    pub fn register(&self, poll: &Poll, token: u64) -> io::Result<()> {
        poll.add(&self.socket, token, self.watching_write)
    }

    /// Removes the first `count` bytes of the input. An empty buffer takes no memory.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Discards the input.
    pub fn discard_input(&mut self) {
        self.input = Vec::new();
    }

    /// Bytes of memory that the buffers take.
    pub fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Whether the last read got as many bytes as it asked for, so that more may wait.
    pub fn filled_last_read(&self) -> bool {
        self.filled_last_read
    }

    /// Whether the connection is established.
    pub fn connected(&self) -> bool {
        !self.connecting
    }

    /// Whether received bytes wait in the system's buffer.
    pub fn has_unread(&self) -> bool {
        self.socket.peek(&mut [0]).is_ok_and(|count| count > 0)
    }

    /// Whether everything queued has been written.
    pub fn flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Whether no unread bytes wait and the peer has not closed: the connection can be reused or closed
    /// safely.
    pub fn is_reusable(&self) -> bool {
        let peeked = self.socket.peek(&mut [0]);
        self.input.is_empty() && !self.ended && peeked.is_err_and(|problem| is_transient(&problem))
    }

    /// Closes the sending side: the peer reads everything that was written, then the end.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)
    }

    /// Handles a ready socket: reads available bytes and writes queued ones. An error means that the
    /// connection broke.
    pub fn ready(&mut self, poll: &Poll) -> io::Result<()> {
        if self.connecting {
            if let Some(problem) = self.socket.take_error()? {
                return Err(problem);
            }
            match self.socket.peer_addr() {
                Ok(_) => self.connecting = false,
                Err(problem) if problem.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(problem) => return Err(problem),
            }
        }
        let written = self.flush(poll);
        let mut chunk = [0; READ_CHUNK_BYTES];
        self.filled_last_read = false;
        match self.socket.read(&mut chunk) {
            Ok(0) => self.ended = true,
            Ok(count) => self.append_input(&chunk[..count]),
            Err(problem) if is_transient(&problem) => {}
            Err(problem) => return Err(problem),
        }
        written
    }

    fn append_input(&mut self, bytes: &[u8]) {
        self.filled_last_read = bytes.len() == READ_CHUNK_BYTES;
        if self.input.len() + bytes.len() <= EXACT_INPUT_BYTES {
            self.input.reserve_exact(bytes.len());
        }
        self.input.extend(bytes);
    }

    /// Queues bytes and writes as many as possible now.
    pub fn send(&mut self, poll: &Poll, bytes: &[u8]) -> io::Result<()> {
        if self.output.len() + bytes.len() > MAX_UNSENT_BYTES {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.output.extend(bytes);
        self.flush(poll)
    }

    fn flush(&mut self, poll: &Poll) -> io::Result<()> {
        let mut written = 0;
        while !self.connecting && written < self.output.len() {
            match self.socket.write(&self.output[written..]) {
                Ok(count) => written += count,
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => break,
                Err(problem) => return Err(problem),
            }
        }
        self.output.drain(..written);
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        let wanted = self.connecting || !self.output.is_empty();
        if wanted != self.watching_write {
            self.watching_write = wanted;
            poll.change(&self.socket, self.token, wanted)?;
        }
        Ok(())
    }
}

fn is_transient(problem: &io::Error) -> bool {
    matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
