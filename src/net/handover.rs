//! Upgrades: a process that is started beside a serving one takes everything over from it. Who owns the folder that lasts
//! holds its lock, and has a door, a Unix socket, where the next process asks. The steps, and who owns what at each of
//! them, are told in `docs/operations-design.md`.

use super::clients::platform::HandedEdge;
use super::list::{endpoint_id, Entry, Names};
use super::members;
use super::servers::http::HandedConnection;
use crate::engine::handover::Handed;
use crate::lifecycle::Lifecycle;
use crate::Micros;
use rustix::fs::{flock, FlockOperation};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fs::{self, File, Permissions};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What is said first: the name of the talk, and the version of its form.
const PROTOCOL_HEADER: &[u8; 12] = b"cedarwharf 1";
/// The new process has built itself from what it was handed.
const READY: u8 = b'r';
/// It is the owner from here on.
const GO: u8 = b'g';
/// The old process stands still for so long at the most; staff are owed an answer within a second.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// The new process waits for the state: the old one ends its turn first, and hears of notices that are out.
const STATE_TIMEOUT: Duration = Duration::from_millis(900);
/// No state is longer.
const MAX_STATE_BYTES: usize = 256 << 20;
/// Descriptors in one message; the system takes 253.
const DESCRIPTORS_PER_MESSAGE: usize = 64;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Clients of the platform's front.
    Clients,
    /// Publishers.
    Publishers,
    /// The administration API.
    Administration,
}

/// All that is handed over, beside the journal. Sockets come in this order: the lock, the door, listeners, the
/// membership's, clients' connections, those to real servers.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// The old process's clock.
    pub now: Micros,
    /// The system's clock in that moment. Told by none that was handed over by a version before this.
    #[serde(default)]
    pub wall: Option<Micros>,
    /// Of the core.
    pub core: Handed,
    /// A drain goes on.
    pub life: Lifecycle,
    /// The list as discovery told it, and its version.
    pub listed: bool,
    /// See above.
    pub generation: Option<u64>,
    /// See above.
    pub entries: Vec<Entry>,
    /// What look-ups descriptors.
    pub looked_up: Vec<Entry>,
    /// Kinds of destination, and zones, in the order of the old settings.
    pub names: Names,
    /// What the listeners are for.
    pub listeners: Vec<Role>,
    /// Of the membership, whose socket follows the listeners'.
    pub members: Option<members::MembershipHandover>,
    /// Clients' connections.
    pub edges: Vec<HandedEdge>,
    /// Connections to real servers.
    pub servers: Vec<HandedConnection>,
}

/// The folder's owner: its lock, and its door.
pub struct FolderOwnership {
    lock: File,
    listener: UnixListener,
}

/// Where the door of a folder's owner is: among the files that last for a while (`$TMPDIR`), named after the folder.
fn socket_path(folder: &Path) -> PathBuf {
    let absolute = fs::canonicalize(folder).unwrap_or_else(|_| folder.to_owned());
    std::env::temp_dir().join(format!("cedarwharf-{:016x}.sock", endpoint_id(&absolute.to_string_lossy()).0))
}

/// Whether the other side is a process of the same user: the parent may be open to all.
fn same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Does something with a socket's path, which may be longer than a socket's address.
fn with_short_path<T>(path: &Path, operation: impl FnOnce(&Path) -> io::Result<T>) -> io::Result<T> {
    let short = path.as_os_str().len() < 100;
    let (Some(parent), Some(name), false) = (path.parent(), path.file_name(), short) else {
        return operation(path);
    };
    let parent = File::open(parent)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&parent);
    operation(&Path::new(&format!("/proc/self/fd/{number}")).join(name))
}

/// The folder's lock, if nobody holds it: on the folder itself, so that nothing is written for it.
fn try_lock(folder: &Path) -> io::Result<Option<File>> {
    let file = File::open(folder)?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(Some(file)),
        Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
        Err(problem) => Err(problem.into()),
    }
}

impl FolderOwnership {
    /// Where the next process asks.
    pub fn listener(&self) -> &UnixListener {
        &self.listener
    }

    fn bind(lock: File, folder: &Path) -> io::Result<FolderOwnership> {
        let path = socket_path(folder);
        // What a killed process left: nobody listens there, as the lock was free.
        let _ = fs::remove_file(&path);
        let listener = with_short_path(&path, |path| UnixListener::bind(path))?;
        fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        listener.set_nonblocking(true)?;
        Ok(FolderOwnership { lock, listener })
    }

    /// The next one that asks, if it is of the same user.
    pub fn accept_successor(&self) -> Option<SuccessorConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        if !same_user(&stream) {
            log!("upgrade: a process of another user asks to follow this one, and is not let in");
            return None;
        }
        stream.set_nonblocking(true).ok()?;
        Some(SuccessorConnection { stream, requested_at: None })
    }
}

/// How a start finds the folder.
pub enum FolderStatus {
    /// Nobody's: this process owns it now. Without a seat, no other process can follow this one.
    Acquired(Option<FolderOwnership>),
    /// Another's, who hands everything over.
    HandedOver(Box<PredecessorConnection>),
    /// Another's, who does not, for a reason.
    Held(String),
}

/// Looks whose the folder is, and asks its owner to hand it over.
pub fn acquire(folder: &Path) -> FolderStatus {
    match try_lock(folder) {
        Ok(Some(lock)) => match FolderOwnership::bind(lock, folder) {
            Ok(ownership) => FolderStatus::Acquired(Some(ownership)),
            Err(problem) => {
                log!(
                    "no upgrade beside this process: no socket at {}: {problem}",
                    socket_path(folder).display()
                );
                FolderStatus::Acquired(None)
            }
        },
        Ok(None) => match PredecessorConnection::request(folder) {
            Ok(predecessor) => FolderStatus::HandedOver(Box::new(predecessor)),
            Err(problem) => FolderStatus::Held(problem.to_string()),
        },
        Err(problem) => {
            log!("no upgrade beside this process: no lock in {}: {problem}", folder.display());
            FolderStatus::Acquired(None)
        }
    }
}

/// The side of the new process.
pub struct PredecessorConnection {
    stream: UnixStream,
    /// What it was handed, until it is taken.
    state: Option<State>,
    /// The old process's clock, when it built its state.
    pub now: Micros,
    /// The system's clock in that moment.
    pub wall: Option<Micros>,
    sockets: VecDeque<OwnedFd>,
    ownership: FolderOwnership,
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

impl PredecessorConnection {
    fn request(folder: &Path) -> io::Result<PredecessorConnection> {
        let mut stream = with_short_path(&socket_path(folder), |path| UnixStream::connect(path))?;
        if !same_user(&stream) {
            return Err(io::Error::new(ErrorKind::PermissionDenied, "the door is another user's"));
        }
        stream.set_read_timeout(Some(STATE_TIMEOUT))?;
        stream.set_write_timeout(Some(STATE_TIMEOUT))?;
        stream.write_all(PROTOCOL_HEADER)?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        let count = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut length = [0; 8];
        length.copy_from_slice(&head[4..]);
        let length = usize::try_from(u64::from_le_bytes(length)).unwrap_or(usize::MAX);
        if length > MAX_STATE_BYTES {
            return Err(invalid_data("a state too long"));
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes)?;
        let mut sockets = receive_descriptors(&stream, count)?;
        let state: State =
            ciborium::from_reader(&bytes[..]).map_err(|problem| invalid_data(&problem.to_string()))?;
        let members = usize::from(state.members.is_some());
        let expected = 2 + state.listeners.len() + members + state.edges.len() + state.servers.len();
        let (Some(lock), Some(listener)) = (sockets.pop_front(), sockets.pop_front()) else {
            return Err(invalid_data("no lock and no door"));
        };
        if expected != count {
            return Err(invalid_data("sockets of another number"));
        }
        let ownership = FolderOwnership { lock: File::from(lock), listener: UnixListener::from(listener) };
        let (now, wall) = (state.now, state.wall);
        Ok(PredecessorConnection { stream, state: Some(state), now, wall, sockets, ownership })
    }

    /// The state, once.
    pub fn take_state(&mut self) -> Option<State> {
        self.state.take()
    }

    /// The sockets, in the order of the state.
    pub fn sockets(&mut self) -> impl Iterator<Item = OwnedFd> + '_ {
        self.sockets.drain(..)
    }

    /// All is built: waits for the old process to let go. Then, and only then, the folder is this process's.
    pub fn confirm(mut self) -> io::Result<FolderOwnership> {
        self.stream.write_all(&[READY])?;
        // However long that takes: the old one either says go, or ends the connection, also when it is killed.
        self.stream.set_read_timeout(None)?;
        let mut reply = [0];
        self.stream.read_exact(&mut reply)?;
        if reply != [GO] {
            return Err(invalid_data("no go"));
        }
        Ok(self.ownership)
    }
}

/// The side of the old process: one that requested_at.
pub struct SuccessorConnection {
    stream: UnixStream,
    /// Since then it waits for the state.
    pub requested_at: Option<Micros>,
}

impl SuccessorConnection {
    /// Its socket, for the poll.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Something has come: hears what it asks. False where it is to be let go of.
    pub fn ready(&mut self, now: Micros) -> bool {
        let mut hello = [0; PROTOCOL_HEADER.len()];
        match self.stream.read(&mut hello) {
            Ok(count)
                if count == PROTOCOL_HEADER.len()
                    && hello == *PROTOCOL_HEADER
                    && self.requested_at.is_none() =>
            {
                self.requested_at = Some(now);
                true
            }
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => true,
            Ok(0) => false,
            _ => {
                log!("upgrade: a process asks to follow this one in another form, and is not let in");
                false
            }
        }
    }

    /// Hands everything over. Once this is well, nothing may be done here any more; else, all is as it was.
    pub fn hand_over(
        &mut self,
        ownership: &FolderOwnership,
        state: &State,
        sockets: &[BorrowedFd],
    ) -> io::Result<()> {
        let until = Instant::now() + HANDOVER_TIMEOUT;
        let left = || {
            let left = until.saturating_duration_since(Instant::now());
            (!left.is_zero()).then_some(left).ok_or_else(|| io::Error::from(ErrorKind::TimedOut))
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(state, &mut bytes).map_err(|problem| invalid_data(&problem.to_string()))?;
        let mut all = vec![ownership.lock.as_fd(), ownership.listener.as_fd()];
        all.extend(sockets);
        let mut head = (all.len() as u32).to_le_bytes().to_vec();
        head.extend((bytes.len() as u64).to_le_bytes());
        self.stream.set_nonblocking(false)?;
        self.stream.set_write_timeout(Some(left()?))?;
        self.stream.write_all(&head)?;
        self.stream.write_all(&bytes)?;
        for batch in all.chunks(DESCRIPTORS_PER_MESSAGE) {
            self.stream.set_write_timeout(Some(left()?))?;
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_MESSAGE))];
            let mut buffer = SendAncillaryBuffer::new(&mut space);
            if !buffer.push(SendAncillaryMessage::ScmRights(batch)) {
                return Err(invalid_data("too many sockets at once"));
            }
            sendmsg(&self.stream, &[IoSlice::new(&[0])], &mut buffer, SendFlags::NOSIGNAL)?;
        }
        fault_point("handed");
        self.stream.set_read_timeout(Some(left()?))?;
        let mut reply = [0];
        self.stream.read_exact(&mut reply)?;
        if reply != [READY] {
            return Err(invalid_data("not ready"));
        }
        fault_point("ready");
        // The moment at which the folder changes hands.
        self.stream.write_all(&[GO])
    }
}

/// So many descriptors, as they come.
fn receive_descriptors(stream: &UnixStream, count: usize) -> io::Result<VecDeque<OwnedFd>> {
    let mut descriptors = VecDeque::new();
    while descriptors.len() < count {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_MESSAGE))];
        let mut buffer = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let received =
            recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut buffer, RecvFlags::CMSG_CLOEXEC)?;
        let before = descriptors.len();
        for message in buffer.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                descriptors.extend(sockets);
            }
        }
        if received.bytes == 0 || descriptors.len() == before {
            return Err(invalid_data("fewer sockets than told"));
        }
    }
    Ok(descriptors)
}

/// Tests have the process end or hang at a named step.
pub fn fault_point(step: &str) {
    super::change::crash_point(step);
    if cfg!(debug_assertions) && std::env::var("CEDARWHARF_HANG_AT").is_ok_and(|at| at == step) {
        let hang_ms = std::env::var("CEDARWHARF_HANG_MS").ok().and_then(|ms| ms.parse().ok());
        std::thread::sleep(Duration::from_millis(hang_ms.unwrap_or(3_000)));
    }
}
