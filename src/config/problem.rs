//! Problems of a configuration, each with its location and a remedy. A check reports all problems at once.

use serde::Serialize;
use std::fmt;

/// A problem found by a check. It never contains the value of a secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path in the configuration, for example `amqp.brokers[2].hostPort`; empty for the whole document.
    pub path: String,
    /// Line in the operators' file, from 1; `None` if the value is not from that file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// What is wrong.
    pub what: String,
    /// How to correct it.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem without a line.
    pub fn new(path: impl Into<String>, what: impl Into<String>, remedy: impl Into<String>) -> Problem {
        Problem { path: path.into(), line: None, what: what.into(), remedy: remedy.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.what, self.remedy)
    }
}

/// The problems of one check. The list is bounded, so a file that consists of errors does not fill it without
/// limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems {
    listed: Vec<Problem>,
    omitted: usize,
}

/// Maximum number of listed problems per check; further ones are only counted.
pub const MAX_LISTED: usize = 100;

impl Problems {
    /// Adds a problem, or only counts it where the list is full.
    pub fn add(&mut self, problem: Problem) {
        if self.listed.len() < MAX_LISTED {
            self.listed.push(problem);
        } else {
            self.omitted += 1;
        }
    }

    /// Whether there is no problem.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// The listed problems.
    pub fn list(&self) -> &[Problem] {
        &self.listed
    }

    /// Number of problems that are counted but not listed.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns the value if there is no problem.
    pub fn into_result<T>(self, value: T) -> Result<T, Problems> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<Problem> for Problems {
    fn from(problem: Problem) -> Problems {
        Problems { listed: vec![problem], omitted: 0 }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, problem) in self.listed.iter().enumerate() {
            write!(f, "{}{problem}", if index == 0 { "" } else { "\n" })?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}
