//! Signals, as bytes on sockets of their own that the loop waits for.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The signals that are handled, from the moment that this is made.
pub struct Signals {
    /// Readable after SIGTERM.
    pub stop: UnixStream,
    /// Readable after SIGHUP.
    pub reload: UnixStream,
}

impl Signals {
    /// Takes the signals over. Made before anything else: what is not handled yet would end the process.
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

/// Empties one of them: several signals that came together count as one.
pub fn drain(mut signal: &UnixStream) {
    while matches!(signal.read(&mut [0; 64]), Ok(1..)) {}
}
