//! SIGHUP: reads the platform's file and the operators' file again.
//!
//! The operators' file is read once it has stopped changing, and then both files are put in force by one
//! change. Where the operators' file cannot be taken over (it has problems, it keeps changing, a version is on
//! trial), the platform's file is put in force alone, under the document in force: the platform waits for no
//! operator. Where even that fails, the address of discovery is taken over, and the rest is tried again until
//! it succeeds.

use super::node::Node;
use crate::config::desk::{Change, ChangeOrigin, Refusal};
use crate::config::model::Difference;
use crate::config::tree::MAX_DOCUMENT_BYTES;
use crate::Micros;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// A file is read once it has not changed for this time: an editor may still be writing it.
const FILE_STABLE_TIME: Micros = Micros(100_000);
/// The operators' file is not taken over where it still changes after this time.
const FILE_STABLE_TIMEOUT: Micros = Micros(3_000_000);
/// Time from an attempt to put the platform's file in force to the next one.
const PLATFORM_RETRY_DELAY: Micros = Micros(1_000_000);

/// Reason of a change by the platform's file alone, as the history shows it.
const PLATFORM_REASON: &str = "the platform's file was read again";

/// A reload that waits until the operators' file no longer changes.
pub(super) struct FileReload {
    text: Result<String, String>,
    /// When the text was first read as it is.
    since: Micros,
    /// When SIGHUP arrived.
    begun: Micros,
}

/// What of the platform's file is not in force yet.
pub(super) struct PlatformRetry {
    at: Micros,
    /// Why the last attempt failed.
    problem: String,
}

/// The reloads that wait for a later iteration.
#[derive(Default)]
pub(super) struct PendingReloads {
    /// SIGHUP arrived at this process or its predecessor before this process served.
    requested: bool,
    file: Option<FileReload>,
    platform: Option<PlatformRetry>,
}

impl PendingReloads {
    /// The reloads at a start.
    pub fn at_start(requested: bool) -> PendingReloads {
        PendingReloads { requested, ..PendingReloads::default() }
    }

    /// When [`Node::continue_reload`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        let file = self.file.as_ref().map(|reload| reload.since.plus(FILE_STABLE_TIME));
        let platform = self.platform.as_ref().map(|retry| retry.at);
        let requested = self.requested.then_some(Micros(0));
        [requested, file, platform].into_iter().flatten().min()
    }

    /// Whether SIGHUP has arrived and the files have not been read since.
    pub fn is_reading(&self) -> bool {
        self.requested || self.file.is_some()
    }
}

/// Reads an operators' file as text; one that exceeds the size limit is not read to its end.
pub(super) fn read_file(path: &Path) -> Result<String, String> {
    let mut bytes = Vec::new();
    let file =
        File::open(path).and_then(|file| file.take(MAX_DOCUMENT_BYTES as u64 + 1).read_to_end(&mut bytes));
    file.map_err(|problem| format!("{}: {problem}", path.display()))?;
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(format!("{}: longer than {MAX_DOCUMENT_BYTES} bytes", path.display()));
    }
    String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8", path.display()))
}

fn in_one_line(refusal: &Refusal) -> String {
    refusal.problems.to_string().replace('\n', "; ")
}

impl Node {
    /// Handles SIGHUP.
    pub(super) fn begin_reload(&mut self, now: Micros) {
        if self.life.is_ending() {
            log!("operators' file not read again: the process is stopping");
            return self.reload_platform_file(now);
        }
        match &self.options.file {
            Some(path) => {
                self.reloads.file = Some(FileReload { text: read_file(path), since: now, begun: now });
            }
            None => self.reload_platform_file(now),
        }
    }

    /// Continues the reloads that wait. Cost: none where none waits.
    pub(super) fn continue_reload(&mut self, now: Micros) {
        if std::mem::take(&mut self.reloads.requested) {
            self.begin_reload(now);
        }
        if self.reloads.platform.as_ref().is_some_and(|retry| retry.at <= now) {
            self.reload_platform_file(now);
        }
        let is_due = |reload: &mut FileReload| reload.since.plus(FILE_STABLE_TIME) <= now;
        let Some(FileReload { text, begun, .. }) = self.reloads.file.take_if(is_due) else { return };
        let again = self.options.file.as_ref().map(|path| read_file(path));
        match again {
            Some(again) if again != text => {
                self.reload_platform_file(now);
                if begun.plus(FILE_STABLE_TIMEOUT) > now {
                    self.reloads.file = Some(FileReload { text: again, since: now, begun });
                } else {
                    log!("operators' file not read again: the file keeps changing");
                }
            }
            _ => match text {
                Ok(document) => self.reload_both_files(document, now),
                Err(problem) => {
                    self.report_unread_document(&problem);
                    self.reload_platform_file(now);
                }
            },
        }
    }

    fn report_unread_document(&self, problem: &str) {
        log!("configuration not read again, the current one stays in force: {problem}");
    }

    /// Puts the platform's file and the operators' file in force by one change, or the platform's file alone.
    fn reload_both_files(&mut self, document: String, now: Micros) {
        let base = super::config::load().ok().map(|config| config.platform);
        let is_whole = base.is_some();
        let (who, why) = ("SIGHUP".to_owned(), "the files were read again".to_owned());
        let origin = ChangeOrigin::Document;
        let change = Change { document, base, from: None, who, why, trial: None, origin };
        match self.apply_change(change, now) {
            Ok(differences) if is_whole => {
                self.reloads.platform = None;
                let (count, discovery) = (differences.len(), self.change_service.model().discovery);
                log!("configuration read again, {count} values differ: discovery at {discovery}");
            }
            Ok(_) => self.reload_platform_file(now),
            Err(refusal) => {
                self.report_unread_document(&in_one_line(&refusal));
                self.reload_platform_file(now);
            }
        }
    }

    /// Puts the platform's file in force under the document in force; what fails is tried again later.
    fn reload_platform_file(&mut self, now: Micros) {
        match self.try_platform_file(now) {
            Ok(differences) => {
                self.reloads.platform = None;
                self.report_platform_file(&differences);
            }
            Err(problem) => {
                let is_known = self.reloads.platform.as_ref().is_some_and(|retry| retry.problem == problem);
                if !is_known {
                    log!("platform's file not in force, trying again: {problem}");
                }
                self.reloads.platform = Some(PlatformRetry { at: now.plus(PLATFORM_RETRY_DELAY), problem });
            }
        }
    }

    fn report_platform_file(&self, differences: &[Difference]) {
        let (count, discovery) = (differences.len(), self.change_service.model().discovery);
        log!("platform's file read again, {count} values differ: discovery at {discovery}");
    }

    /// Puts the platform's file in force, or the address of discovery alone if the rest fails.
    fn try_platform_file(&mut self, now: Micros) -> Result<Vec<Difference>, String> {
        let base = super::config::load()?.platform;
        let discovery = base.discovery;
        if self.life.is_ending() {
            // A process that stops takes over no listeners or limits.
            return self.move_discovery(discovery, now);
        }
        let change = self.change_service.platform_change(base, PLATFORM_REASON);
        let refusal = match self.apply_change(change, now) {
            Ok(differences) => return Ok(differences),
            Err(refusal) => refusal,
        };
        let moved = self.move_discovery(discovery, now)?;
        if !moved.is_empty() {
            self.report_platform_file(&moved);
        }
        Err(in_one_line(&refusal))
    }

    fn move_discovery(&mut self, discovery: SocketAddr, now: Micros) -> Result<Vec<Difference>, String> {
        let planned = self.change_service.plan_discovery(discovery, PLATFORM_REASON, now);
        let applied = planned.and_then(|planned| self.apply_planned_change(planned, now));
        applied.map_err(|refusal| in_one_line(&refusal))
    }
}
