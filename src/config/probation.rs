//! A version on probation goes back by itself when the service under it goes out of stated bounds.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Offers before their share says anything.
const MIN_SUBMISSIONS: u64 = 20;
/// Turns over the bound that are no chance.
const SLOW_ITERATION_LIMIT: u64 = 5;

/// How a new version may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Share of offers that may be turned down, 0 to 1.
    pub turn_downs: Option<f64>,
    /// How long a turn may take, in milliseconds.
    pub turn_ms: Option<f64>,
}

/// ServiceCounts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    /// Offers taken on.
    pub accepted: u64,
    /// Offers turned down.
    pub rejected: u64,
    /// Listeners that failed to take a connection.
    pub listener_failures: u64,
}

/// A probation under way.
#[derive(Clone, Debug)]
pub struct Probation {
    bounds: Bounds,
    start: ServiceCounts,
    slow_iterations: u64,
}

impl Probation {
    /// Begins.
    pub fn new(bounds: Bounds, now: ServiceCounts) -> Probation {
        Probation { bounds, start: now, slow_iterations: 0 }
    }

    /// Why the version must go back, if it must. Cost: none to speak of; called each turn.
    pub fn violation(&mut self, now: ServiceCounts, iteration: Micros) -> Option<String> {
        if now.listener_failures > self.start.listener_failures {
            return Some("a listener failed".to_owned());
        }
        let slow = self.bounds.turn_ms.filter(|&most| iteration.as_ms() > most);
        if let Some(most) = slow {
            self.slow_iterations += 1;
            if self.slow_iterations >= SLOW_ITERATION_LIMIT {
                return Some(format!("{SLOW_ITERATION_LIMIT} turns took over {most} ms"));
            }
        }
        let (down, on) = (now.rejected - self.start.rejected, now.accepted - self.start.accepted);
        let share = down as f64 / (down + on).max(1) as f64;
        let most = self.bounds.turn_downs.filter(|&most| down + on >= MIN_SUBMISSIONS && share > most);
        most.map(|most| format!("{:.0}% of offers turned down, over {:.0}%", share * 100.0, most * 100.0))
    }
}

#[cfg(test)]
mod tests;
