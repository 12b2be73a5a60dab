//! What is wrong with a configuration: where, what, and what would do. A check tells all of it at once.

use serde::Serialize;
use std::fmt;

/// One problem. Never holds the value of a secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Where in the configuration, as `amqp.brokers[2].hostPort`; empty for the whole.
    pub path: String,
    /// Line in the operators' file, from 1; none where the value is not from there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// What is wrong.
    pub what: String,
    /// What would do.
    pub remedy: String,
}

impl Problem {
    /// A problem that has no line.
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

/// The problems of one check, bounded: a file of nothing but errors is not listed line by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems {
    listed: Vec<Problem>,
    omitted: usize,
}

/// Problems listed of one check at most; the rest is counted.
pub const MAX_LISTED: usize = 100;

impl Problems {
    /// One more.
    pub fn add(&mut self, problem: Problem) {
        if self.listed.len() < MAX_LISTED {
            self.listed.push(problem);
        } else {
            self.omitted += 1;
        }
    }

    /// None.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// All that are listed.
    pub fn list(&self) -> &[Problem] {
        &self.listed
    }

    /// How many there are besides.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// The value where there is no problem.
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
        for (place, problem) in self.listed.iter().enumerate() {
            write!(f, "{}{problem}", if place == 0 { "" } else { "\n" })?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}
