//! The change service: it holds the effective configuration and its history, and decides about requests for a
//! change by the version that they were made from, an open window, and their checks. It does no I/O except
//! that it reads the files of secrets through [`SecretFiles`].

use super::document::{self, line_of, Document};
use super::model::{self, differences, digest, merge, Difference, Model, Outline, PlatformConfig};
use super::plan::{plan, Step};
use super::probation::{Bounds, Probation, ServiceCounts};
use super::problem::{Problem, Problems};
use super::secret::SecretFiles;
use super::versions::{Staged, Version, Versions, Window};
use crate::Micros;
use std::net::SocketAddr;

/// Longest window in which a version can be on trial.
pub const MAX_WINDOW_MS: u64 = 24 * 3600 * 1000;
/// Time from a rollback or confirmation that failed to the next one.
const WINDOW_END_RETRY_DELAY: Micros = Micros(1_000_000);
/// Maximum stored length of a reason.
const MAX_WHY_CHARS: usize = 256;

/// The conditions under which a version is put on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Length of the window in milliseconds.
    pub duration_ms: u64,
    /// Whether the version is kept at the end of the window; otherwise it is rolled back unless it was
    /// confirmed.
    pub keep_on_expiry: bool,
    /// The version is rolled back at once when the service leaves these bounds.
    pub bounds: Bounds,
}

/// A requested change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Text of the operators' file.
    pub document: String,
    /// The platform's file, if it was read again.
    pub base: Option<PlatformConfig>,
    /// The version that the change was made from; `None` accepts any version in force.
    pub from: Option<u64>,
    /// Who requests the change.
    pub who: String,
    /// Reason of the change.
    pub why: String,
    /// Set if the new version starts on trial.
    pub trial: Option<Trial>,
    /// Where the change comes from, which decides what becomes of an open window.
    pub origin: ChangeOrigin,
}

/// Where a change comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// An operator, by a document. An open window blocks it.
    Document,
    /// It restores an earlier version, and ends an open window.
    Rollback,
    /// The platform's file alone, under the document in force. It waits for no operator: an open window stays
    /// open, and the version in it on trial.
    Platform,
}

/// Why a request is rejected, with an HTTP status.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status: 404, 409, 412, 422, 503 or 507.
    pub status: u16,
    /// What is wrong.
    pub problems: Problems,
}

impl Refusal {
    /// Creates a refusal with a single problem.
    pub fn new(status: u16, what: impl Into<String>, remedy: impl Into<String>) -> Refusal {
        Refusal { status, problems: Problem::new("", what, remedy).into() }
    }
}

/// A change that has passed all checks and can be applied.
pub struct PlannedChange {
    /// Steps of the change.
    pub steps: Vec<Step>,
    /// The configuration after the change.
    pub model: Model,
    /// The history after the change.
    pub versions: Versions,
    /// Values that the change alters.
    pub differences: Vec<Difference>,
    outline: Outline,
    base: Option<PlatformConfig>,
    trial: Option<Trial>,
    /// Where the change comes from.
    pub origin: ChangeOrigin,
}

/// The window of a version that is on trial.
#[derive(Debug)]
struct OpenWindow {
    until: Micros,
    /// Set after the rollback or the confirmation at the end failed: when it is tried again.
    retry_at: Option<Micros>,
    back_to: u64,
    keep_on_expiry: bool,
    probation: Probation,
}

/// The change service, see the module documentation.
pub struct ChangeService {
    base: PlatformConfig,
    versions: Versions,
    model: Model,
    outline: Outline,
    open_window: Option<OpenWindow>,
}

/// Parses a document and merges it over the platform's file; problems include their lines.
pub fn check(
    base: &PlatformConfig,
    text: &str,
    files: &dyn SecretFiles,
) -> Result<(Document, Model), Problems> {
    let (document, node) = document::parse(text.as_bytes())?;
    match merge(base, &document, files) {
        Ok(model) => Ok((document, model)),
        Err(unlocated) => {
            let mut problems = Problems::default();
            for problem in unlocated.list() {
                problems.add(Problem { line: line_of(&node, &problem.path), ..problem.clone() });
            }
            Err(problems)
        }
    }
}

/// Log lines about a start, for operators.
pub type StartNotes = Vec<String>;

impl ChangeService {
    /// Determines the configuration at a start of the process: the last stored version, or the operators'
    /// file if there is no version or `fresh` is set. A version whose window is open is rolled back. The
    /// history to be written is in [`ChangeService::versions`].
    pub fn start(
        base: PlatformConfig,
        versions: Versions,
        file: Option<&str>,
        fresh: bool,
        files: &dyn SecretFiles,
        at: Micros,
    ) -> Result<(ChangeService, StartNotes), Problems> {
        let mut notes = StartNotes::new();
        let at_ms = at.0 / 1000;
        let last = versions.current().cloned();
        // Candidate documents in order of preference, each with the reason that the history records.
        let mut candidates: Vec<(String, String)> = Vec::new();
        match &last {
            Some(last) if !fresh => {
                if let Some(window) = &last.window {
                    let back = versions.get(window.back_to);
                    let why = format!("version {} was not confirmed", last.number);
                    candidates.extend(back.map(|version| (version.document.clone(), why)));
                }
                candidates.push((last.document.clone(), String::new()));
                let older = versions.iter().rev().skip(1);
                candidates.extend(
                    older.map(|old| (old.document.clone(), format!("back to version {}", old.number))),
                );
                if file.is_some_and(|file| file != last.document) {
                    notes.push("the file differs from the version in force; SIGHUP applies it".to_owned());
                }
            }
            _ => candidates
                .push((file.unwrap_or_default().to_owned(), "first start with this file".to_owned())),
        }
        let mut failed: Option<Problems> = None;
        for (document, why) in candidates {
            let (_, model) = match check(&base, &document, files) {
                Ok(checked) => checked,
                Err(problems) => {
                    notes
                        .push(format!("a stored version is no longer valid: {problems}").replace('\n', "; "));
                    failed.get_or_insert(problems);
                    continue;
                }
            };
            let outline = model.outline(versions.salt());
            let digest = digest(&outline);
            let unchanged = last.as_ref().is_some_and(|last| {
                last.digest == digest && last.document == document && last.window.is_none()
            });
            let versions = if unchanged {
                versions
            } else {
                let why =
                    if why.is_empty() { "the platform's file or a secret differs".to_owned() } else { why };
                let from = versions.number();
                let who = "start".to_owned();
                let version =
                    Version { number: from + 1, digest, from, at_ms, who, why, document, window: None };
                versions.with_version(version)?
            };
            if let Some(version) = versions.current() {
                notes.push(format!("configuration {} in force, digest {}", version.number, version.digest));
            }
            return Ok((ChangeService { base, versions, model, outline, open_window: None }, notes));
        }
        Err(failed.unwrap_or_default())
    }

    /// The effective configuration.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The effective configuration as text by path.
    pub fn outline(&self) -> &Outline {
        &self.outline
    }

    /// The settings of the platform's file, as last read.
    pub fn base(&self) -> &PlatformConfig {
        &self.base
    }

    /// The history.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Remaining time of the open window.
    pub fn window_left(&self, now: Micros) -> Option<Micros> {
        self.open_window.as_ref().map(|open| open.until.minus(now))
    }

    /// The time at which [`ChangeService::check_window`] must be called even if nothing else happens.
    pub fn due(&self) -> Option<Micros> {
        self.open_window.as_ref().map(|open| open.retry_at.map_or(open.until, |at| at.max(open.until)))
    }

    /// The window could not be ended now: it is tried again later, and other changes go on meanwhile.
    pub fn postpone_window_end(&mut self, now: Micros) {
        if let Some(open) = &mut self.open_window {
            open.retry_at = Some(now.plus(WINDOW_END_RETRY_DELAY));
        }
    }

    /// Called in each loop iteration: returns the rollback if the version in force must be rolled back. It
    /// does nothing while no window is open.
    pub fn check_window(&mut self, now: Micros, counts: ServiceCounts, iteration: Micros) -> Option<Change> {
        let open = self.open_window.as_mut()?;
        if open.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let is_expired = open.until <= now;
        if is_expired && open.keep_on_expiry {
            return None;
        }
        let why = match open.probation.violation(counts, iteration) {
            Some(why) => why,
            None if is_expired => "not confirmed in time".to_owned(),
            None => return None,
        };
        let to = open.back_to;
        self.rollback_to(to, "probation".to_owned(), why).ok()
    }

    /// Whether a version has passed its probation; the caller then confirms it.
    pub fn probation_passed(&self, now: Micros) -> bool {
        let may_try = |open: &OpenWindow| open.retry_at.is_none_or(|at| at <= now);
        let has_passed = |open: &OpenWindow| open.keep_on_expiry && open.until <= now;
        self.open_window.as_ref().is_some_and(|open| has_passed(open) && may_try(open))
    }

    /// Creates the change that restores a version.
    pub fn rollback_to(&self, to: u64, who: String, why: String) -> Result<Change, Refusal> {
        let Some(version) = self.versions.get(to) else {
            return Err(Refusal::new(
                404,
                format!("version {to} is not kept"),
                "see the history for the versions that are kept",
            ));
        };
        let why = format!("back to version {to}: {why}");
        let document = version.document.clone();
        let origin = ChangeOrigin::Rollback;
        Ok(Change { document, base: None, from: None, who, why, trial: None, origin })
    }

    /// Creates the change that puts the platform's file in force under the present document.
    pub fn platform_change(&self, base: PlatformConfig, why: &str) -> Change {
        let document = self.versions.current().map_or(String::new(), |version| version.document.clone());
        let (who, why, origin) = ("SIGHUP".to_owned(), why.to_owned(), ChangeOrigin::Platform);
        Change { document, base: Some(base), from: None, who, why, trial: None, origin }
    }

    /// Plans the move of discovery alone. It needs nothing of the operators: neither a document that is valid
    /// under the platform's file, nor the secrets that the document names.
    pub fn plan_discovery(
        &self,
        discovery: SocketAddr,
        why: &str,
        now: Micros,
    ) -> Result<PlannedChange, Refusal> {
        let base = PlatformConfig { discovery, ..self.base.clone() };
        let change = self.platform_change(base, why);
        let parsed = document::parse(change.document.as_bytes());
        let is_overridden = parsed.is_ok_and(|(document, _)| document.discovery.is_some());
        let mut model = self.model.clone();
        if !is_overridden {
            model.discovery = discovery;
        }
        self.plan_model(change, model, now)
    }

    /// The version that an undo restores if it names none.
    pub fn previous_version(&self) -> Option<u64> {
        match &self.open_window {
            Some(open) => Some(open.back_to),
            None => {
                // A version by the platform's file alone has the document of the one before it.
                let document = &self.versions.current()?.document;
                let earlier: Vec<&Version> = self.versions.iter().rev().skip(1).collect();
                let by_document = earlier.iter().find(|version| version.document != *document);
                by_document.or(earlier.first()).map(|version| version.number)
            }
        }
    }

    /// Checks a candidate and returns the history in which it is staged.
    pub fn stage(
        &self,
        document: String,
        who: String,
        now: Micros,
        files: &dyn SecretFiles,
    ) -> Result<Versions, Refusal> {
        self.check_changeable(&document, files)?;
        let staged = Staged { from: self.versions.number(), at_ms: now.0 / 1000, who, document };
        self.versions.with_staged(Some(staged)).map_err(storage_full)
    }

    /// The values that a document would change.
    pub fn diff(&self, document: &str, files: &dyn SecretFiles) -> Result<Vec<Difference>, Refusal> {
        let model = self.check_changeable(document, files)?;
        Ok(differences(&self.outline, &model.outline(self.versions.salt())))
    }

    fn check_changeable(&self, document: &str, files: &dyn SecretFiles) -> Result<Model, Refusal> {
        let (_, model) = check(&self.base, document, files).map_err(unprocessable)?;
        // A check also reports changes that a running process cannot make.
        plan(&self.model, &model).map_err(unprocessable)?;
        Ok(model)
    }

    /// Checks and plans a change, without any effect yet.
    pub fn plan_change(
        &self,
        change: Change,
        now: Micros,
        files: &dyn SecretFiles,
    ) -> Result<PlannedChange, Refusal> {
        let number = self.versions.number();
        if let Some(from) = change.from.filter(|&from| from != number) {
            let what = format!("made from version {from}, but version {number} is in force");
            return Err(Refusal::new(
                412,
                what,
                "review what has changed, and make the change from that version",
            ));
        }
        if let Some(open) = self.open_window.as_ref().filter(|_| change.origin == ChangeOrigin::Document) {
            let (left, back) = (open.until.minus(now).0 / 1_000_000, open.back_to);
            let what =
                format!("version {number} is on trial for {left} s more, then version {back} comes back");
            return Err(Refusal::new(409, what, "confirm it or undo it first"));
        }
        let base = change.base.as_ref().unwrap_or(&self.base);
        let (_, model) = check(base, &change.document, files).map_err(unprocessable)?;
        self.plan_model(change, model, now)
    }

    /// Plans a change to a model that has passed the checks.
    fn plan_model(&self, change: Change, model: Model, now: Micros) -> Result<PlannedChange, Refusal> {
        let number = self.versions.number();
        let steps = plan(&self.model, &model).map_err(unprocessable)?;
        let outline = model.outline(self.versions.salt());
        let differences = differences(&self.outline, &outline);
        let trial = change.trial.filter(|_| !steps.is_empty());
        let new_window =
            trial.map(|trial| Window { until_ms: now.0 / 1000 + trial.duration_ms, back_to: number });
        let version = Version {
            number: number + 1,
            digest: digest(&outline),
            from: number,
            at_ms: now.0 / 1000,
            who: change.who,
            why: change.why.chars().take(MAX_WHY_CHARS).collect(),
            document: change.document,
            window: new_window,
        };
        let versions = match change.origin {
            ChangeOrigin::Document if steps.is_empty() => self.versions.with_staged(None),
            ChangeOrigin::Document | ChangeOrigin::Rollback => self.versions.with_version(version),
            ChangeOrigin::Platform if steps.is_empty() => Ok(self.versions.clone()),
            ChangeOrigin::Platform => self.versions.with_platform_version(version),
        };
        // If the change reduces the size of the state folder, the history is trimmed first.
        let versions =
            versions.and_then(|versions| versions.with_bound(super::store::max_versions_bytes(model.disk)));
        let versions = versions.map_err(storage_full)?;
        let (base, origin) = (change.base, change.origin);
        Ok(PlannedChange { steps, model, versions, differences, outline, base, trial, origin })
    }

    /// Records that a planned change has been applied.
    pub fn complete(&mut self, planned: PlannedChange, now: Micros, counts: ServiceCounts) {
        let back_to = self.versions.number();
        if let Some(base) = planned.base {
            self.base = base;
        }
        (self.model, self.outline, self.versions) = (planned.model, planned.outline, planned.versions);
        if planned.origin != ChangeOrigin::Platform {
            self.open_window = planned.trial.map(|trial| OpenWindow {
                until: now.plus(Micros(trial.duration_ms * 1000)),
                retry_at: None,
                back_to,
                keep_on_expiry: trial.keep_on_expiry,
                probation: Probation::new(trial.bounds, counts),
            });
        }
        debug_assert_eq!(self.versions.current().map(|v| &v.digest), Some(&digest(&self.outline)));
    }

    /// Returns the history in which the version in force is confirmed.
    pub fn confirm(&self) -> Result<Versions, Refusal> {
        if self.open_window.is_none() {
            return Err(Refusal::new(409, "no version is on trial", "there is nothing to confirm"));
        }
        Ok(self.versions.confirmed())
    }

    /// Replaces the history after it was written; closes the window if the version in force is confirmed.
    pub fn replace_versions(&mut self, versions: Versions) {
        if versions.current().is_some_and(|version| version.window.is_none()) {
            self.open_window = None;
        }
        self.versions = versions;
    }

    /// Whether the effective configuration is the one of the current version: an invariant for tests and
    /// assertions.
    pub fn is_consistent(&self) -> bool {
        let outline = self.model.outline(self.versions.salt());
        self.versions.current().is_some_and(|version| version.digest == model::digest(&outline))
    }
}

fn unprocessable(problems: Problems) -> Refusal {
    Refusal { status: 422, problems }
}

fn storage_full(problem: Problem) -> Refusal {
    Refusal { status: 507, problems: problem.into() }
}
