//! The memory that a process under test uses.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Watches a process and records the most memory that it used, without the pages of its program file.
pub struct MemoryWatch {
    stopped: Arc<AtomicBool>,
    peak: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Starts to watch a process.
    pub fn start(process: u32) -> MemoryWatch {
        let (stopped, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (is_stopped, largest) = (stopped.clone(), peak.clone());
        let thread = std::thread::spawn(move || {
            while !is_stopped.load(SeqCst) {
                largest.fetch_max(anonymous_bytes(process).unwrap_or(0), SeqCst);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        MemoryWatch { stopped, peak, thread: Some(thread) }
    }

    /// The most bytes that were in use at once so far.
    pub fn peak(&self) -> u64 {
        self.peak.load(SeqCst)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The bytes of anonymous memory that a process uses; `None` once it has ended.
pub fn anonymous_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(PathBuf::from(format!("/proc/{process}/status"))).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes * 1024)
}
