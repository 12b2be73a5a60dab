//! Upgrades: a process that is started beside a serving one takes everything over from it. The owner of the
//! state folder holds its lock and listens on a Unix socket, where a successor connects.
//! `docs/operations-design.md` describes the steps, and the owner of each resource at each step.

use super::clients::platform::HandedClientConnection;
use super::list::identity::fnv1a;
use super::list::{ListEntry, Names};
use super::members;
use super::servers::http::HandedConnection;
use crate::engine::handover::EngineHandover;
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

/// First bytes of a connection: the name of the protocol and the version of its format.
const PROTOCOL_HEADER: &[u8; 12] = b"cedarwharf 1";
/// Sent by the successor once it is built from the state.
const READY: u8 = b'r';
/// Sent by the predecessor: the successor is the owner from here on.
const GO: u8 = b'g';
/// Longest halt of the predecessor's event loop; operators are owed an answer within a second.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait of the successor for the state: the predecessor first ends its iteration and waits for
/// delivery reports in flight.
const STATE_TIMEOUT: Duration = Duration::from_millis(900);
/// Upper limit of the encoded state.
const MAX_STATE_BYTES: usize = 256 << 20;
/// Descriptors in one message; the system allows 253.
const DESCRIPTORS_PER_MESSAGE: usize = 64;

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Clients of the HTTP front.
    Clients,
    /// Publishers of the AMQP front.
    Publishers,
    /// The administration API.
    Administration,
}

/// The state that is handed over, beside the journal. The sockets are sent in this order: the folder's lock,
/// the upgrade listener, listeners, the membership's socket, client connections, connections to endpoints.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// The predecessor's clock.
    pub now: Micros,
    /// The system's clock at that moment. Absent where an earlier version hands over.
    #[serde(default)]
    pub wall: Option<Micros>,
    /// The state of the core.
    pub core: EngineHandover,
    /// The lifecycle stage: a drain continues in the successor.
    pub life: Lifecycle,
    /// Whether the predecessor has a list.
    pub listed: bool,
    /// The version of discovery's list.
    pub generation: Option<u64>,
    /// The list as received from discovery.
    pub entries: Vec<ListEntry>,
    /// The records found by DNS-SD.
    pub looked_up: Vec<ListEntry>,
    /// The service of these records. Absent in a handover from an older version.
    #[serde(default)]
    pub looked_up_service: Option<String>,
    /// Kinds of destination and zones, in the order of the predecessor's settings.
    pub names: Names,
    /// The purposes of the listeners.
    pub listeners: Vec<Role>,
    /// The state of the membership, whose socket follows the listeners.
    pub members: Option<members::MembershipHandover>,
    /// SIGHUP has arrived, and the files have not been read since.
    #[serde(default)]
    pub reload_requested: bool,
    /// Client connections.
    pub edges: Vec<HandedClientConnection>,
    /// Connections to endpoints.
    pub servers: Vec<HandedConnection>,
}

/// Ownership of the state folder: its lock, and the socket on which successors connect.
pub struct FolderOwnership {
    lock: File,
    listener: UnixListener,
}

/// The path of the upgrade socket: in the folder for temporary files (`$TMPDIR`), named after the state
/// folder.
fn socket_path(folder: &Path) -> PathBuf {
    let absolute = fs::canonicalize(folder).unwrap_or_else(|_| folder.to_owned());
    std::env::temp_dir().join(format!("cedarwharf-{:016x}.sock", fnv1a(&absolute.to_string_lossy())))
}

/// Whether the other side is a process of the same user: the folder of the socket may be open to all users.
fn same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Runs an operation with the path of a socket. A path that is too long for a socket address is replaced by a
/// short one by way of `/proc/self/fd`.
fn with_short_path<T>(path: &Path, operation: impl FnOnce(&Path) -> io::Result<T>) -> io::Result<T> {
    let short = path.as_os_str().len() < 100;
    let (Some(parent), Some(name), false) = (path.parent(), path.file_name(), short) else {
        return operation(path);
    };
    let parent = File::open(parent)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&parent);
    operation(&Path::new(&format!("/proc/self/fd/{number}")).join(name))
}

/// Takes the folder's lock, if no process holds it. The folder itself is locked, so that no lock file is
/// written.
fn try_lock(folder: &Path) -> io::Result<Option<File>> {
    let file = File::open(folder)?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(Some(file)),
        Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
        Err(problem) => Err(problem.into()),
    }
}

impl FolderOwnership {
    /// The socket on which a successor connects.
    pub fn listener(&self) -> &UnixListener {
        &self.listener
    }

    fn bind(lock: File, folder: &Path) -> io::Result<FolderOwnership> {
        let path = socket_path(folder);
        // The socket of a killed process: no process listens on it, as the lock was free.
        let _ = fs::remove_file(&path);
        let listener = with_short_path(&path, |path| UnixListener::bind(path))?;
        fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        listener.set_nonblocking(true)?;
        Ok(FolderOwnership { lock, listener })
    }

    /// Accepts the connection of a successor, if it belongs to the same user.
    pub fn accept_successor(&self) -> Option<SuccessorConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        if !same_user(&stream) {
            log!("upgrade: a process of another user requested the handover: rejected");
            return None;
        }
        stream.set_nonblocking(true).ok()?;
        Some(SuccessorConnection { stream, requested_at: None })
    }
}

/// The state folder's status at a start.
pub enum FolderStatus {
    /// No process held the folder: this process owns it now. Without the ownership object, it cannot hand
    /// over to a successor.
    Acquired(Option<FolderOwnership>),
    /// Held by another process, which hands everything over.
    HandedOver(Box<PredecessorConnection>),
    /// Held by another process, which does not hand over, for this reason.
    Held(String),
}

/// Takes the state folder, or requests it from the process that holds it.
pub fn acquire(folder: &Path) -> FolderStatus {
    match try_lock(folder) {
        Ok(Some(lock)) => match FolderOwnership::bind(lock, folder) {
            Ok(ownership) => FolderStatus::Acquired(Some(ownership)),
            Err(problem) => {
                log!(
                    "this process cannot hand over to a successor: no socket at {}: {problem}",
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
            log!("this process cannot hand over to a successor: no lock in {}: {problem}", folder.display());
            FolderStatus::Acquired(None)
        }
    }
}

/// The successor's side of a handover.
pub struct PredecessorConnection {
    stream: UnixStream,
    /// The state, until it is taken out.
    state: Option<State>,
    /// The predecessor's clock when it built the state.
    pub now: Micros,
    /// The system's clock at that moment.
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
            return Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "the upgrade socket belongs to another user",
            ));
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
            return Err(invalid_data("the handed-over state exceeds the size limit"));
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes)?;
        let mut sockets = receive_descriptors(&stream, count)?;
        let state: State =
            ciborium::from_reader(&bytes[..]).map_err(|problem| invalid_data(&problem.to_string()))?;
        let members = usize::from(state.members.is_some());
        let expected = 2 + state.listeners.len() + members + state.edges.len() + state.servers.len();
        let (Some(lock), Some(listener)) = (sockets.pop_front(), sockets.pop_front()) else {
            return Err(invalid_data("the handover contains no lock and no upgrade socket"));
        };
        if expected != count {
            return Err(invalid_data("the number of sockets does not match the state"));
        }
        let ownership = FolderOwnership { lock: File::from(lock), listener: UnixListener::from(listener) };
        let (now, wall) = (state.now, state.wall);
        Ok(PredecessorConnection { stream, state: Some(state), now, wall, sockets, ownership })
    }

    /// The state, once.
    pub fn take_state(&mut self) -> Option<State> {
        self.state.take()
    }

    /// The sockets, in the order of [`State`].
    pub fn sockets(&mut self) -> impl Iterator<Item = OwnedFd> + '_ {
        self.sockets.drain(..)
    }

    /// Reports that this process is built, and waits for the predecessor's confirmation. Only after it the
    /// state folder belongs to this process.
    pub fn confirm(mut self) -> io::Result<FolderOwnership> {
        self.stream.write_all(&[READY])?;
        // No time-out: the predecessor either confirms, or its connection ends, also where it is killed.
        self.stream.set_read_timeout(None)?;
        let mut reply = [0];
        self.stream.read_exact(&mut reply)?;
        if reply != [GO] {
            return Err(invalid_data("the predecessor did not confirm the handover"));
        }
        Ok(self.ownership)
    }
}

/// The predecessor's side of a handover.
pub struct SuccessorConnection {
    stream: UnixStream,
    /// When the successor requested the state.
    pub requested_at: Option<Micros>,
}

impl SuccessorConnection {
    /// The connection's socket, for the poll.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Reads the successor's request. Returns false where the connection is to be dropped.
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
                log!("upgrade: a process requested the handover in an unknown format: rejected");
                false
            }
        }
    }

    /// Hands everything over. After `Ok`, this process may do nothing any more; after an error, nothing has
    /// changed.
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
            return Err(invalid_data("the successor did not report that it is ready"));
        }
        fault_point("ready");
        // From this write on, the successor owns the folder.
        self.stream.write_all(&[GO])
    }
}

/// Receives `count` descriptors, in any number of messages.
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
            return Err(invalid_data("fewer sockets than announced"));
        }
    }
    Ok(descriptors)
}

/// Aborts or delays the process at a step that a test names by `CEDARWHARF_FAIL_AT` or `CEDARWHARF_HANG_AT`.
pub fn fault_point(step: &str) {
    super::change::crash_point(step);
    if cfg!(debug_assertions) && std::env::var("CEDARWHARF_HANG_AT").is_ok_and(|at| at == step) {
        let hang_ms = std::env::var("CEDARWHARF_HANG_MS").ok().and_then(|ms| ms.parse().ok());
        std::thread::sleep(Duration::from_millis(hang_ms.unwrap_or(3_000)));
    }
}
