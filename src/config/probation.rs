//! Watches a version on trial: it is rolled back when the service leaves the bounds given with the change.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Submissions needed before the share of rejected ones is meaningful.
const MIN_SUBMISSIONS: u64 = 20;
/// Loop iterations over the bound that count as a violation; fewer can be chance.
const SLOW_ITERATION_LIMIT: u64 = 5;

/// Bounds that the service must keep to while a version is on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum share of submissions that are rejected, 0 to 1.
    pub turn_downs: Option<f64>,
    /// Maximum duration of a loop iteration, in milliseconds.
    pub turn_ms: Option<f64>,
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    /// Accepted submissions.
    pub accepted: u64,
    /// Rejected submissions.
    pub rejected: u64,
    /// Failures of listeners to accept a connection.
    pub listener_failures: u64,
}

/// The state of the trial of one version.
#[derive(Clone, Debug)]
pub struct Probation {
    bounds: Bounds,
    start: ServiceCounts,
    slow_iterations: u64,
}

impl Probation {
    /// Starts a trial; `now` are the counts at its start.
    pub fn new(bounds: Bounds, now: ServiceCounts) -> Probation {
        Probation { bounds, start: now, slow_iterations: 0 }
    }

    /// Returns why the version must be rolled back, if it must. Called in each loop iteration, at negligible
    /// cost.
    pub fn violation(&mut self, now: ServiceCounts, iteration: Micros) -> Option<String> {
        if now.listener_failures > self.start.listener_failures {
            return Some("a listener failed".to_owned());
        }
        let slow = self.bounds.turn_ms.filter(|&limit| iteration.as_ms() > limit);
        if let Some(limit) = slow {
            self.slow_iterations += 1;
            if self.slow_iterations >= SLOW_ITERATION_LIMIT {
                return Some(format!("{SLOW_ITERATION_LIMIT} turns took over {limit} ms"));
            }
        }
        let (rejected, accepted) = (now.rejected - self.start.rejected, now.accepted - self.start.accepted);
        let share = rejected as f64 / (rejected + accepted).max(1) as f64;
        let exceeded =
            self.bounds.turn_downs.filter(|&limit| rejected + accepted >= MIN_SUBMISSIONS && share > limit);
        exceeded
            .map(|limit| format!("{:.0}% of offers turned down, over {:.0}%", share * 100.0, limit * 100.0))
    }
}

#[cfg(test)]
mod tests;
