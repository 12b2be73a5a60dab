//! Decides about requests for a change: which version they were made from, whether a window is open, what they would
//! change. Holds what is in force. No I/O but the reading of secrets' files, through [`SecretFiles`].

use super::document::{self, line_of, Document};
use super::model::{self, differences, digest, merge, Difference, Model, Outline, PlatformConfig};
use super::plan::{plan, Step};
use super::probation::{Bounds, Probation, ServiceCounts};
use super::problem::{Problem, Problems};
use super::secret::SecretFiles;
use super::versions::{Staged, Version, Versions, Window};
use crate::Micros;

/// A window is no longer than this.
pub const MAX_WINDOW_MS: u64 = 24 * 3600 * 1000;
/// Longest reason that is kept.
const MAX_WHY_CHARS: usize = 256;

/// What the window of a version asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// How long it is, in milliseconds.
    pub duration_ms: u64,
    /// At its end the version keep_on_expiry unless it was confirmed; else it goes back.
    pub keep_on_expiry: bool,
    /// It goes back at once when the service is out of these.
    pub bounds: Bounds,
}

/// A change that is asked for.
#[derive(Clone, Debug)]
pub struct Change {
    /// The operators' file.
    pub document: String,
    /// The platform's file, where it was read again.
    pub base: Option<PlatformConfig>,
    /// The version that it was made from; none takes whichever is in force.
    pub from: Option<u64>,
    /// By whom.
    pub who: String,
    /// What for.
    pub why: String,
    /// Whether it must prove itself.
    pub trial: Option<Trial>,
    /// It leads back: an open window does not keep it out.
    pub is_rollback: bool,
}

/// Why a request is not carried out. The status is HTTP's.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// 404, 409, 412, 422, 503 or 507.
    pub status: u16,
    /// What is wrong.
    pub problems: Problems,
}

impl Refusal {
    /// One with a single problem.
    pub fn new(status: u16, what: impl Into<String>, remedy: impl Into<String>) -> Refusal {
        Refusal { status, problems: Problem::new("", what, remedy).into() }
    }
}

/// A change that has passed every check, ready to be put in force.
pub struct PlannedChange {
    /// Its steps.
    pub steps: Vec<Step>,
    /// What will be in force.
    pub model: Model,
    /// The history with it.
    pub versions: Versions,
    /// What differs.
    pub differences: Vec<Difference>,
    outline: Outline,
    base: Option<PlatformConfig>,
    trial: Option<Trial>,
}

/// An open window.
#[derive(Debug)]
struct OpenWindow {
    until: Micros,
    back_to: u64,
    keep_on_expiry: bool,
    probation: Probation,
}

/// See the module's text.
pub struct ChangeService {
    base: PlatformConfig,
    versions: Versions,
    model: Model,
    outline: Outline,
    open_window: Option<OpenWindow>,
}

/// Reads a document and lays it over the platform's file; problems carry their lines.
pub fn check(
    base: &PlatformConfig,
    text: &str,
    files: &dyn SecretFiles,
) -> Result<(Document, Model), Problems> {
    let (document, node) = document::parse(text.as_bytes())?;
    match merge(base, &document, files) {
        Ok(model) => Ok((document, model)),
        Err(told) => {
            let mut problems = Problems::default();
            for problem in told.list() {
                problems.add(Problem { line: line_of(&node, &problem.path), ..problem.clone() });
            }
            Err(problems)
        }
    }
}

/// What a start found, for those on call.
pub type StartNotes = Vec<String>;

impl ChangeService {
    /// At a start: the last version kept runs, or the file where there is none, or where `fresh` asks for it. A version
    /// whose window was open goes back. What is to be written comes in [`ChangeService::versions`].
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
        // Documents to try, in this order, each with what to say of it.
        let mut tries: Vec<(String, String)> = Vec::new();
        match &last {
            Some(last) if !fresh => {
                if let Some(window) = &last.window {
                    let back = versions.get(window.back_to);
                    let why = format!("version {} was not confirmed", last.number);
                    tries.extend(back.map(|version| (version.document.clone(), why)));
                }
                tries.push((last.document.clone(), String::new()));
                let older = versions.iter().rev().skip(1);
                tries.extend(
                    older.map(|old| (old.document.clone(), format!("back to version {}", old.number))),
                );
                if file.is_some_and(|file| file != last.document) {
                    notes.push("the file differs from the version in force; SIGHUP takes it over".to_owned());
                }
            }
            _ => tries.push((file.unwrap_or_default().to_owned(), "first start with this file".to_owned())),
        }
        let mut failed: Option<Problems> = None;
        for (document, why) in tries {
            let (_, model) = match check(&base, &document, files) {
                Ok(checked) => checked,
                Err(problems) => {
                    notes.push(format!("a version cannot run any more: {problems}").replace('\n', "; "));
                    failed.get_or_insert(problems);
                    continue;
                }
            };
            let outline = model.outline(versions.salt());
            let digest = digest(&outline);
            let same = last.as_ref().is_some_and(|last| {
                last.digest == digest && last.document == document && last.window.is_none()
            });
            let versions = if same {
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

    /// What is in force.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The same as text, by path.
    pub fn outline(&self) -> &Outline {
        &self.outline
    }

    /// The platform's file as last read.
    pub fn base(&self) -> &PlatformConfig {
        &self.base
    }

    /// The history.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// How long an open window still is.
    pub fn window_left(&self, now: Micros) -> Option<Micros> {
        self.open_window.as_ref().map(|open| open.until.minus(now))
    }

    /// When [`ChangeService::turn`] is due though nothing happens.
    pub fn due(&self) -> Option<Micros> {
        self.open_window.as_ref().map(|open| open.until)
    }

    /// Called each turn: whether the version in force must go back, and to what. Cost: none while no window is open.
    pub fn check_window(&mut self, now: Micros, counts: ServiceCounts, iteration: Micros) -> Option<Change> {
        let open = self.open_window.as_mut()?;
        let over = open.until <= now;
        if over && open.keep_on_expiry {
            return None;
        }
        let why = match open.probation.violation(counts, iteration) {
            Some(why) => why,
            None if over => "not confirmed in time".to_owned(),
            None => return None,
        };
        let to = open.back_to;
        self.rollback_to(to, "probation".to_owned(), why).ok()
    }

    /// Whether a probation has been passed: then the version is to be confirmed.
    pub fn probation_passed(&self, now: Micros) -> bool {
        self.open_window.as_ref().is_some_and(|open| open.keep_on_expiry && open.until <= now)
    }

    /// A change that leads back to a version.
    pub fn rollback_to(&self, to: u64, who: String, why: String) -> Result<Change, Refusal> {
        let Some(version) = self.versions.get(to) else {
            return Err(Refusal::new(
                404,
                format!("version {to} is not kept"),
                "see the history for those that are",
            ));
        };
        let why = format!("back to version {to}: {why}");
        let document = version.document.clone();
        Ok(Change { document, base: None, from: None, who, why, trial: None, is_rollback: true })
    }

    /// The version before the one in force, for an undo that names none.
    pub fn previous_version(&self) -> Option<u64> {
        match &self.open_window {
            Some(open) => Some(open.back_to),
            None => self.versions.iter().rev().nth(1).map(|version| version.number),
        }
    }

    /// The history with another candidate.
    pub fn stage(
        &self,
        document: String,
        who: String,
        now: Micros,
        files: &dyn SecretFiles,
    ) -> Result<Versions, Refusal> {
        self.check_changeable(&self.base, &document, files)?;
        let staged = Staged { from: self.versions.number(), at_ms: now.0 / 1000, who, document };
        self.versions.with_staged(Some(staged)).map_err(storage_full)
    }

    /// What a document would change.
    pub fn diff(&self, document: &str, files: &dyn SecretFiles) -> Result<Vec<Difference>, Refusal> {
        let model = self.check_changeable(&self.base, document, files)?;
        Ok(differences(&self.outline, &model.outline(self.versions.salt())))
    }

    fn check_changeable(
        &self,
        base: &PlatformConfig,
        document: &str,
        files: &dyn SecretFiles,
    ) -> Result<Model, Refusal> {
        let checked = check(base, document, files).map_err(|problems| Refusal { status: 422, problems })?;
        // What a running process cannot do is told by a check, too.
        plan(&self.model, &checked.1).map_err(|problems| Refusal { status: 422, problems })?;
        Ok(checked.1)
    }

    /// A change, checked and planned. Nothing has been done yet.
    pub fn plan_change(
        &self,
        change: Change,
        now: Micros,
        files: &dyn SecretFiles,
    ) -> Result<PlannedChange, Refusal> {
        let number = self.versions.number();
        if let Some(from) = change.from.filter(|&from| from != number) {
            let what = format!("made from version {from}, but version {number} is in force");
            return Err(Refusal::new(412, what, "look at what has changed, and make it from that one"));
        }
        if let Some(open) = self.open_window.as_ref().filter(|_| !change.is_rollback) {
            let (left, back) = (open.until.minus(now).0 / 1_000_000, open.back_to);
            let what =
                format!("version {number} is on trial for {left} s more, then version {back} comes back");
            return Err(Refusal::new(409, what, "confirm it or undo it first"));
        }
        let base = change.base.as_ref().unwrap_or(&self.base);
        let model = self.check_changeable(base, &change.document, files)?;
        let steps = plan(&self.model, &model).map_err(|problems| Refusal { status: 422, problems })?;
        let outline = model.outline(self.versions.salt());
        let differences = differences(&self.outline, &outline);
        let trial = change.trial.filter(|_| !steps.is_empty());
        let window =
            trial.map(|trial| Window { until_ms: now.0 / 1000 + trial.duration_ms, back_to: number });
        let unchanged = steps.is_empty() && !change.is_rollback;
        let versions = if unchanged {
            self.versions.with_staged(None)
        } else {
            self.versions.with_version(Version {
                number: number + 1,
                digest: digest(&outline),
                from: number,
                at_ms: now.0 / 1000,
                who: change.who,
                why: change.why.chars().take(MAX_WHY_CHARS).collect(),
                document: change.document,
                window,
            })
        };
        // Where the folder gets smaller with this change, the history does so first.
        let versions =
            versions.and_then(|versions| versions.with_bound(super::store::max_versions_bytes(model.disk)));
        let versions = versions.map_err(storage_full)?;
        Ok(PlannedChange { steps, model, versions, differences, outline, base: change.base, trial })
    }

    /// A planned change is in force.
    pub fn complete(&mut self, planned: PlannedChange, now: Micros, counts: ServiceCounts) {
        let back_to = self.versions.number();
        if let Some(base) = planned.base {
            self.base = base;
        }
        (self.model, self.outline, self.versions) = (planned.model, planned.outline, planned.versions);
        self.open_window = planned.trial.map(|trial| OpenWindow {
            until: now.plus(Micros(trial.duration_ms * 1000)),
            back_to,
            keep_on_expiry: trial.keep_on_expiry,
            probation: Probation::new(trial.bounds, counts),
        });
        debug_assert_eq!(self.versions.current().map(|v| &v.digest), Some(&digest(&self.outline)));
    }

    /// The history with the version in force confirmed.
    pub fn confirm(&self) -> Result<Versions, Refusal> {
        if self.open_window.is_none() {
            return Err(Refusal::new(409, "no version is on trial", "nothing is to be done"));
        }
        Ok(self.versions.confirmed())
    }

    /// The history was written.
    pub fn replace_versions(&mut self, versions: Versions) {
        if versions.current().is_some_and(|version| version.window.is_none()) {
            self.open_window = None;
        }
        self.versions = versions;
    }

    /// What is in force is that of one version: an invariant, for tests and assertions.
    pub fn is_consistent(&self) -> bool {
        let outline = self.model.outline(self.versions.salt());
        self.versions.current().is_some_and(|version| version.digest == model::digest(&outline))
    }
}

fn storage_full(problem: Problem) -> Refusal {
    Refusal { status: 507, problems: problem.into() }
}
