//! The divisor of a limit that all forwarders share, derived from the member counts.
//!
//! A live count can be wrong in two ways: too low (a partition hides members that still send) or too high
//! (crashed members are not declared dead yet). Too high is safe: each forwarder takes less. Too low is not.
//! Therefore a live count of half or less of all known members (including the dead still remembered), or of
//! the last trusted count, is treated as a partition, and the larger of these two numbers stays the divisor.
//! At most one side of a partition can hold more than half, so the whole fleet sends less than 1.5 times the
//! limit (the argument is in `docs/membership.md`). A share rises along a ramp, never in a jump.

use super::protocol::MemberCounts;
use super::rules::{self, Divisor};
use crate::Micros;

/// How shares follow the member counts.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// The configured number of forwarders: the least divisor while the view is young.
    pub min_divisor: u32,
    /// How long after the start the view counts as young: not all members may be known yet.
    pub young_period: Micros,
    /// How long a rising share takes to reach its new value.
    pub ramp_duration: Micros,
    /// A larger fraction of suspects among the live members makes the view doubtful.
    pub suspect_share: f64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        ShareSettings {
            min_divisor: 1,
            young_period: Micros::from_ms(5_000.0),
            ramp_duration: Micros::from_ms(10_000.0),
            suspect_share: 0.1,
        }
    }
}

/// Trust in the member counts, for log lines and `/ops/stats`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewStatus {
    /// Just started: the divisor is the configured number, or the live count if that is higher.
    Young,
    /// Trusted: the divisor is the live count.
    Whole,
    /// Many suspects, or half or more of the members lost: the divisor does not fall below the last trusted
    /// count.
    Doubtful,
}

impl ViewStatus {
    /// The name in log lines and statistics.
    pub fn name(self) -> &'static str {
        match self {
            ViewStatus::Young => "young",
            ViewStatus::Whole => "whole",
            ViewStatus::Doubtful => "doubtful",
        }
    }
}

/// This forwarder's share of shared limits, updated as the member counts change.
pub struct Shares {
    settings: ShareSettings,
    started: Micros,
    /// The live count when the view was last whole.
    last_whole: usize,
    status: ViewStatus,
    /// The share (1 / divisor) when the last rise began, the start of that rise, and its target.
    ramp_from: f64,
    ramp_start: Micros,
    target: f64,
}

impl Shares {
    /// Creates the shares of a forwarder that starts at `now`.
    pub fn new(settings: ShareSettings, now: Micros) -> Self {
        let min_divisor = f64::from(settings.min_divisor.max(1));
        Shares {
            last_whole: settings.min_divisor.max(1) as usize,
            settings,
            started: now,
            status: ViewStatus::Young,
            ramp_from: 1.0 / min_divisor,
            ramp_start: now,
            target: 1.0 / min_divisor,
        }
    }

    /// The current trust in the member counts.
    pub fn view_status(&self) -> ViewStatus {
        self.status
    }

    /// The live count when the view was last whole.
    pub fn last_whole(&self) -> usize {
        self.last_whole
    }

    /// Replaces the configured number of forwarders. It counts at once where the view is young; later it is of
    /// no use, as the members are known.
    pub fn set_min_divisor(&mut self, min_divisor: u32) {
        self.settings.min_divisor = min_divisor;
        if self.status == ViewStatus::Young {
            self.last_whole = min_divisor.max(1) as usize;
        }
    }

    /// Records that a member announced its departure. It will not send, so the whole view is one member
    /// smaller.
    pub fn record_departure(&mut self) {
        self.last_whole = self.last_whole.saturating_sub(1).max(1);
    }

    /// Updates the share for the member counts at `now`. Returns the view status if it changed.
    pub fn observe(&mut self, now: Micros, counts: MemberCounts) -> Option<ViewStatus> {
        let live = counts.live().max(1);
        let many_suspects = counts.suspect as f64 > (self.settings.suspect_share * live as f64).max(1.0);
        let (status, divisor) = if now.minus(self.started) < self.settings.young_period {
            (ViewStatus::Young, live.max(self.settings.min_divisor as usize))
        } else {
            match rules::divisor(live, live + counts.dead, self.last_whole, many_suspects) {
                Divisor::Whole(divisor) => (ViewStatus::Whole, divisor),
                Divisor::Doubtful(divisor) => (ViewStatus::Doubtful, divisor),
            }
        };
        if status == ViewStatus::Whole {
            self.last_whole = live;
        }
        if status == ViewStatus::Young && live > self.last_whole {
            self.last_whole = live;
        }
        self.set_target(now, 1.0 / divisor as f64);
        let changed = status != self.status;
        self.status = status;
        changed.then_some(status)
    }

    fn set_target(&mut self, now: Micros, target: f64) {
        let current = self.share(now);
        if target < current {
            // A lower share is safe, so it applies at once.
            self.ramp_from = target;
            self.ramp_start = now;
        } else if target > self.target {
            self.ramp_from = current;
            self.ramp_start = now;
        }
        self.target = target;
    }

    /// This forwarder's share of a shared limit at `now`, from 0 to 1.
    pub fn share(&self, now: Micros) -> f64 {
        if self.target <= self.ramp_from {
            return self.target;
        }
        let progress =
            (now.minus(self.ramp_start).0 as f64 / self.settings.ramp_duration.0.max(1) as f64).min(1.0);
        self.ramp_from + (self.target - self.ramp_from) * progress
    }

    /// The divisor once the current rise is complete.
    pub fn target_divisor(&self) -> u64 {
        (1.0 / self.target).round() as u64
    }

    /// When the view status may change without a change of the member counts: when a young view ages.
    /// Otherwise never.
    pub fn next_wake(&self) -> Micros {
        let young_until = self.started.plus(self.settings.young_period);
        if self.status == ViewStatus::Young {
            young_until
        } else {
            Micros(u64::MAX)
        }
    }

    /// The divisor of a shared limit at `now`: `1 / share`, never below 1.
    pub fn divisor(&self, now: Micros) -> f64 {
        (1.0 / self.share(now)).max(1.0)
    }
}

#[cfg(test)]
mod tests;
