//! Signals as bytes on sockets that the event loop waits for.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The handled signals.
pub struct Signals {
    /// Readable after SIGTERM.
    pub stop: UnixStream,
    /// Readable after SIGHUP.
    pub reload: UnixStream,
}

impl Signals {
    /// Installs the handlers. Must run before anything else: until then, a signal would end the process.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals { stop: pipe(SIGTERM)?, reload: pipe(SIGHUP)? })
    }
}

fn pipe(signal: i32) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    Ok(read)
}

/// Reads all pending bytes of one signal: several deliveries count as one.
pub fn drain(mut signal: &UnixStream) {
    while matches!(signal.read(&mut [0; 64]), Ok(1..)) {}
}
