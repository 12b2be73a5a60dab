//! The history of configuration versions. Each version records its number, its digest, and who applied it,
//! when and why. The most recent versions are kept, limited in number and size. There is no I/O here: `store`
//! writes the encoded bytes.

use super::problem::Problem;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of versions kept.
pub const MAX_VERSIONS: usize = 16;
const MAGIC: &str = "cedarwharf versions 1";

/// The period within which a version must be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// End of the window, in Unix time in milliseconds.
    pub until_ms: u64,
    /// The version that is restored if this one is not confirmed.
    pub back_to: u64,
}

/// A configuration that is or was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number, from 1; never reused.
    pub number: u64,
    /// Digest of the effective configuration, see [`digest`](super::model::digest).
    pub digest: String,
    /// The version that this one was made from; 0 for the first.
    pub from: u64,
    /// When it was applied, in Unix time in milliseconds.
    pub at_ms: u64,
    /// Who applied it.
    pub who: String,
    /// Reason of the change.
    pub why: String,
    /// Text of the operators' file.
    pub document: String,
    /// Set while the version is on trial: it is rolled back automatically unless it is confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<Window>,
}

/// A candidate stored for a later `apply`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staged {
    /// The version that the candidate was made from.
    pub from: u64,
    /// When it was staged, in Unix time in milliseconds.
    pub at_ms: u64,
    /// Who staged it.
    pub who: String,
    /// Text of the operators' file.
    pub document: String,
}

#[derive(Serialize, Deserialize)]
enum Line {
    Salt(String),
    Version(Version),
    Staged(Option<Staged>),
    Confirmed(u64),
}

/// The history of versions, with the candidate if one is staged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versions {
    versions: VecDeque<Version>,
    staged: Option<Staged>,
    salt: String,
    bound: usize,
}

impl Versions {
    /// Creates an empty history. `salt` is random; the encoded size stays within `bound` bytes.
    pub fn new(salt: String, bound: usize) -> Versions {
        Versions { versions: VecDeque::new(), staged: None, salt, bound }
    }

    /// The salt of the secrets' digests, without which the secrets could be guessed from them.
    pub fn salt(&self) -> &[u8] {
        self.salt.as_bytes()
    }

    /// Maximum encoded size in bytes.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// The version in force.
    pub fn current(&self) -> Option<&Version> {
        self.versions.back()
    }

    /// The number of the version in force; 0 before the first.
    pub fn number(&self) -> u64 {
        self.current().map_or(0, |version| version.number)
    }

    /// Returns a version if it is kept.
    pub fn get(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|version| version.number == number)
    }

    /// The kept versions, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The staged candidate, if there is one.
    pub fn staged(&self) -> Option<&Staged> {
        self.staged.as_ref()
    }

    /// Returns a history with a new version in force and no candidate. The oldest versions are removed where
    /// a limit is exceeded, but not the version that an open window would restore.
    pub fn with_version(&self, version: Version) -> Result<Versions, Problem> {
        let mut next = self.clone();
        next.staged = None;
        next.versions.push_back(version);
        next.trimmed()
    }

    /// Returns a history with a new version in force that differs in the platform's file alone: the candidate
    /// stays, and so does the window of the version before.
    pub fn with_platform_version(&self, version: Version) -> Result<Versions, Problem> {
        let window = self.current().and_then(|current| current.window.clone());
        let mut next = self.clone();
        next.versions.push_back(Version { window, ..version });
        next.trimmed()
    }

    /// Returns a history with another candidate, or none.
    pub fn with_staged(&self, staged: Option<Staged>) -> Result<Versions, Problem> {
        let mut next = self.clone();
        next.staged = staged;
        next.trimmed()
    }

    /// Returns a history in which the version in force is confirmed.
    pub fn confirmed(&self) -> Versions {
        let mut next = self.clone();
        next.versions.back_mut().into_iter().for_each(|version| version.window = None);
        next
    }

    /// Returns the history trimmed to another maximum size.
    pub fn with_bound(&self, bound: usize) -> Result<Versions, Problem> {
        Versions { bound, ..self.clone() }.trimmed()
    }

    fn trimmed(mut self) -> Result<Versions, Problem> {
        let back_to = self.current().and_then(|version| version.window.as_ref()).map(|window| window.back_to);
        loop {
            let exceeds = self.versions.len() > MAX_VERSIONS || self.encode().len() > self.bound;
            if !exceeds {
                return Ok(self);
            }
            let last = self.versions.len().saturating_sub(1);
            let oldest = self.versions.iter().take(last).position(|version| Some(version.number) != back_to);
            let Some(oldest) = oldest else {
                let what = format!("the file does not fit into the {} bytes for versions", self.bound);
                return Err(Problem::new("", what, "shorten it, or allow more with limits.disk_mb"));
            };
            self.versions.remove(oldest);
        }
    }

    /// Encodes the history: one line per entry, each with its checksum in front.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = format!("{MAGIC}\n").into_bytes();
        let lines = [Line::Salt(self.salt.clone())].into_iter();
        let lines = lines.chain(self.versions.iter().cloned().map(Line::Version));
        lines
            .chain(self.staged.clone().map(|staged| Line::Staged(Some(staged))))
            .for_each(|line| append_line(&mut out, &line));
        out
    }

    /// Encodes the difference from an earlier history as lines to append to the file. Versions removed
    /// because of a limit need no line: decoding removes them again.
    pub fn lines_since(&self, before: &Versions) -> Vec<u8> {
        let mut out = Vec::new();
        for version in self.versions.iter().filter(|version| version.number > before.number()) {
            append_line(&mut out, &Line::Version(version.clone()));
        }
        if self.number() == before.number() {
            if self.staged != before.staged {
                append_line(&mut out, &Line::Staged(self.staged.clone()));
            }
            if self.current().map(|version| &version.window)
                != before.current().map(|version| &version.window)
            {
                append_line(&mut out, &Line::Confirmed(self.number()));
            }
        }
        out
    }

    /// Decodes bytes up to the first damaged line. Returns the history and the number of valid bytes, or
    /// `None` if not even the salt is intact.
    pub fn decode(bytes: &[u8], bound: usize) -> Option<(Versions, usize)> {
        let mut rest = bytes.strip_prefix(MAGIC.as_bytes())?.strip_prefix(b"\n")?;
        let mut versions: Option<Versions> = None;
        let mut valid_bytes = 0;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            let (line, after) = (&rest[..end], &rest[end + 1..]);
            let Some((sum, text)) = line.split_at_checked(8) else { break };
            let Some(text) = text.strip_prefix(b" ") else { break };
            let sum = std::str::from_utf8(sum).ok().and_then(|sum| u32::from_str_radix(sum, 16).ok());
            if sum != Some(crc32fast::hash(text)) {
                break;
            }
            match (serde_json::from_slice(text), &mut versions) {
                (Ok(Line::Salt(salt)), None) => versions = Some(Versions::new(salt, bound)),
                (Ok(Line::Version(version)), Some(versions)) if version.number > versions.number() => {
                    versions.versions.push_back(version);
                    versions.staged = None;
                }
                (Ok(Line::Staged(staged)), Some(versions)) => versions.staged = staged,
                (Ok(Line::Confirmed(number)), Some(versions)) if number == versions.number() => {
                    versions.versions.back_mut().into_iter().for_each(|version| version.window = None);
                }
                _ => break,
            }
            rest = after;
            valid_bytes = bytes.len() - rest.len();
        }
        let versions = versions?;
        Some((versions.clone().trimmed().unwrap_or(versions), valid_bytes))
    }
}

fn append_line(out: &mut Vec<u8>, line: &Line) {
    let text = serde_json::to_string(line).unwrap_or_default();
    out.extend(format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes())).bytes());
}
