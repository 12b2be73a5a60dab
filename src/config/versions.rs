//! Versions of the configuration: each that was in force has a number, a digest, who, when and why. The last ones are
//! kept, bounded in number and bytes. No I/O: `store` writes the bytes that this makes.

use super::problem::Problem;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions kept at most.
pub const MAX_VERSIONS: usize = 16;
const MAGIC: &str = "cedarwharf versions 1";

/// The time within which a version must be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Until then, in Unix time in milliseconds.
    pub until_ms: u64,
    /// The version that comes back.
    pub back_to: u64,
}

/// A configuration that is or was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// From 1, never given twice.
    pub number: u64,
    /// Of what was in force, see [`digest`](super::model::digest).
    pub digest: String,
    /// The version that it was made from; 0 for the first.
    pub from: u64,
    /// Since when, in Unix time in milliseconds.
    pub at_ms: u64,
    /// By whom.
    pub who: String,
    /// What for.
    pub why: String,
    /// The operators' file.
    pub document: String,
    /// It goes back by itself unless it is confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<Window>,
}

/// A candidate that is kept for a later `apply`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staged {
    /// The version that it was made from.
    pub from: u64,
    /// Since when, in Unix time in milliseconds.
    pub at_ms: u64,
    /// By whom.
    pub who: String,
    /// The operators' file.
    pub document: String,
}

#[derive(Serialize, Deserialize)]
enum Line {
    Salt(String),
    Version(Version),
    Staged(Option<Staged>),
    Confirmed(u64),
}

/// See the module's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versions {
    versions: VecDeque<Version>,
    staged: Option<Staged>,
    salt: String,
    bound: usize,
}

impl Versions {
    /// None yet. `salt` is random; the bytes of all together stay within `bound`.
    pub fn new(salt: String, bound: usize) -> Versions {
        Versions { versions: VecDeque::new(), staged: None, salt, bound }
    }

    /// What keeps digests of secrets from being guessed at.
    pub fn salt(&self) -> &[u8] {
        self.salt.as_bytes()
    }

    /// Bytes that all together may take.
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

    /// A version that is kept.
    pub fn get(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|version| version.number == number)
    }

    /// Those kept, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The candidate, if one is staged.
    pub fn staged(&self) -> Option<&Staged> {
        self.staged.as_ref()
    }

    /// These, with one more in force. What was staged is used up. The oldest go where there are too many; the one
    /// that a window leads back to stays.
    pub fn with_version(&self, version: Version) -> Result<Versions, Problem> {
        let mut next = self.clone();
        next.staged = None;
        next.versions.push_back(version);
        next.trimmed()
    }

    /// These, with another candidate, or none.
    pub fn with_staged(&self, staged: Option<Staged>) -> Result<Versions, Problem> {
        let mut next = self.clone();
        next.staged = staged;
        next.trimmed()
    }

    /// These, with the one in force confirmed.
    pub fn confirmed(&self) -> Versions {
        let mut next = self.clone();
        next.versions.back_mut().into_iter().for_each(|version| version.window = None);
        next
    }

    /// The same within another bound.
    pub fn with_bound(&self, bound: usize) -> Result<Versions, Problem> {
        Versions { bound, ..self.clone() }.trimmed()
    }

    fn trimmed(mut self) -> Result<Versions, Problem> {
        let back_to = self.current().and_then(|version| version.window.as_ref()).map(|window| window.back_to);
        loop {
            let over = self.versions.len() > MAX_VERSIONS || self.encode().len() > self.bound;
            if !over {
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

    /// As bytes: a line each, with its sum in front.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = format!("{MAGIC}\n").into_bytes();
        let lines = [Line::Salt(self.salt.clone())].into_iter();
        let lines = lines.chain(self.versions.iter().cloned().map(Line::Version));
        lines
            .chain(self.staged.clone().map(|staged| Line::Staged(Some(staged))))
            .for_each(|line| append_line(&mut out, &line));
        out
    }

    /// The lines that lead from those to these, for the end of the file. Who goes for want of room is found again when
    /// the file is read.
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

    /// From bytes, up to the first damage, and how many of them are good; `None` where not even the salt is there.
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
