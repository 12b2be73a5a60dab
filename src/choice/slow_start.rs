//! Slow start of a route after an outage (rule 4): when an outage is possible, and how many calls may be sent
//! until its receiver has all of its capacity again. Interface: `src/interface.rs`; state: `src/state.rs`.
//!
//! One failed or rejected call is enough: from there on, an outage of [`MIN_OUTAGE`] or longer cannot be
//! excluded once nothing has been served for that time. The budget then applies until a call that was sent
//! after the failure is served, and, if an outage was possible by then, for the recovery time after that.

use super::*;

/// What the budget of calls applies to at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// No outage is possible: no budget applies.
    Unlimited,
    /// The receiver may be out, or back since any moment.
    Suspected,
    /// A call was first served after an outage at this time.
    Recovering(Micros),
}

/// What the budget of one forwarder is computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteConditions {
    /// This forwarder's share of what the receiver takes outside of a slow start, in calls a second.
    pub share_per_s: f64,
    /// Forwarders that share the receiver.
    pub forwarders: f64,
    /// The circuit of the route is open.
    pub circuit_open: bool,
}

/// A budget of calls, as a token bucket.
#[derive(Clone, Copy, Debug)]
struct Budget {
    calls_per_s: f64,
    burst: f64,
}

impl SlowStart {
    /// Records a call that failed or was rejected. `random` (0 to 1) is the first level of the token bucket;
    /// `share_per_s` is this forwarder's share of what the receiver takes.
    pub(super) fn record_failure(&mut self, now: Micros, share_per_s: f64, settings: &Settings, random: f64) {
        if self.failed_at.is_none() && self.phase(now, settings) == Phase::Unlimited {
            self.tokens = random;
            self.filled_at = now;
            self.share_before = share_per_s;
        }
        self.failed_at = Some(now);
    }

    /// Records a connection rejected at the receiver's limit. A single one happens without an outage, where
    /// connections are scarce; in an outage, calls that hang fill the table. Returns whether it counts as a
    /// failure.
    pub(super) fn record_connection_rejection(&mut self) -> bool {
        self.connection_rejections += 1;
        self.connection_rejections >= CONNECTION_REJECTIONS_TO_SUSPECT
    }

    /// Counts an ended call for the share of errors.
    pub(super) fn count_call(&mut self, is_error: bool) {
        self.error_share += ERROR_SHARE_GAIN * (f64::from(u8::from(is_error)) - self.error_share);
    }

    /// Records that a failed call was answered with an error. Errors of a large share of the calls may be an
    /// outage in which some are served; in a slow start, one more error may be.
    pub(super) fn record_error(&mut self, now: Micros, settings: &Settings) {
        let in_slow_start = self.phase(now, settings) != Phase::Unlimited;
        self.refusing |= in_slow_start || self.error_share > SINGLE_ERROR_SHARE;
    }

    /// Records that so many rejections came that they may be an outage in which some calls are served.
    pub(super) fn record_refusal(&mut self) {
        self.refusing |= self.failed_at.is_some();
    }

    /// Records that the circuit of the route opened: the outage is taken for certain.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
    }

    /// Records a served call that was sent at `sent_at`; returns whether a slow start begins with it at a
    /// receiver that served calls before.
    pub(super) fn record_success(&mut self, now: Micros, sent_at: Micros, settings: &Settings) -> bool {
        let begins = self.phase(now, settings) == Phase::Suspected;
        let was_served = self.served_at > Micros(0);
        self.served_at = now;
        self.connection_rejections = 0;
        if !begins && self.phase(now, settings) == Phase::Unlimited {
            self.confirmed = false;
        }
        if self.failed_at.is_some_and(|failed_at| sent_at >= failed_at) {
            self.failed_at = None;
            self.refusing = false;
        }
        if begins {
            self.recovering_since = Some(now);
        }
        if self.error_share > SINGLE_ERROR_SHARE {
            self.outage_possible_until = now;
        }
        begins && was_served
    }

    /// Whether the state says more than that calls are served.
    pub(super) fn is_active(&self, now: Micros, settings: &Settings) -> bool {
        self.failed_at.is_some() || self.phase(now, settings) != Phase::Unlimited
    }

    /// The phase by the calls alone, whether the circuit is open or not.
    fn phase(&self, now: Micros, settings: &Settings) -> Phase {
        let unserved = now.minus(self.served_at);
        if self.failed_at.is_some() && (self.refusing || unserved >= MIN_OUTAGE) {
            return Phase::Suspected;
        }
        // The first call may have been served before the outage was over, and so may later ones while many
        // others fail. So what has waited does not go at once at the end, but within the budget of the whole
        // capacity.
        let limited_time = settings.recovery_time.plus(settings.overload_window);
        let Some(since) = self.recovering_since else { return Phase::Unlimited };
        if now.minus(since.max(self.outage_possible_until)) < limited_time {
            Phase::Recovering(since)
        } else {
            Phase::Unlimited
        }
    }

    fn limiting_phase(&self, now: Micros, conditions: RouteConditions, settings: &Settings) -> Phase {
        if conditions.circuit_open {
            Phase::Suspected
        } else {
            self.phase(now, settings)
        }
    }

    /// The share of its capacity that the receiver has at least.
    fn capacity_share(&self, phase: Phase, now: Micros, settings: &Settings) -> f64 {
        let recovery_s = seconds(settings.recovery_time).max(1e-3);
        let progress = match phase {
            Phase::Unlimited => 1.0,
            Phase::Recovering(since) => seconds(now.minus(since)) / recovery_s,
            // Long after the last call, it may have recovered for other forwarders. The slow start counts
            // from two recovery times on, as outages are longer than one.
            Phase::Suspected => seconds(now.minus(self.called_at)) / recovery_s - 2.0,
        };
        settings.recovery_start_share + (1.0 - settings.recovery_start_share) * progress.clamp(0.0, 1.0)
    }

    /// The budget of this forwarder in a phase in which it applies.
    fn budget(&self, phase: Phase, now: Micros, conditions: RouteConditions, settings: &Settings) -> Budget {
        let RouteConditions { share_per_s, forwarders, .. } = conditions;
        let capacity_share = self.capacity_share(phase, now, settings);
        let rate = settings.overload_multiple * capacity_share * share_per_s;
        let window_s = seconds(settings.overload_window).max(1e-3);
        let allowance = random_variation_allowance(rate * window_s * forwarders) / forwarders;
        let min_rate = ALLOWANCE_SHARE_OF_TRIALS * allowance / window_s;
        if self.confirmed || conditions.circuit_open {
            return Budget { calls_per_s: rate.max(min_rate), burst: 1.0 };
        }
        let extra_rate = ALLOWANCE_SHARE_OF_RATE * allowance / window_s;
        let burst = (ALLOWANCE_SHARE_OF_BURST * allowance).max(1.0);
        Budget { calls_per_s: (rate + extra_rate).max(min_rate), burst }
    }

    /// Level of the token bucket.
    fn tokens_at(&self, now: Micros, budget: Budget) -> f64 {
        (self.tokens + budget.calls_per_s * seconds(now.minus(self.filled_at))).min(budget.burst)
    }

    /// When the budget allows a call.
    pub(super) fn opens_at(&self, now: Micros, conditions: RouteConditions, settings: &Settings) -> Micros {
        let phase = self.limiting_phase(now, conditions, settings);
        if phase == Phase::Unlimited {
            return now;
        }
        let budget = self.budget(phase, now, conditions, settings);
        let missing_tokens = 1.0 - self.tokens_at(now, budget);
        if missing_tokens <= 0.0 {
            now
        } else {
            now.plus(micros(missing_tokens / budget.calls_per_s))
        }
    }

    /// Takes a sent call out of the budget, where it applies.
    pub(super) fn record_call(&mut self, now: Micros, conditions: RouteConditions, settings: &Settings) {
        let phase = self.limiting_phase(now, conditions, settings);
        if phase != Phase::Unlimited {
            let budget = self.budget(phase, now, conditions, settings);
            self.tokens = self.tokens_at(now, budget) - 1.0;
        }
        self.filled_at = now;
        self.called_at = now;
    }
}

/// Calls above a budget of `budget` calls that all forwarders together may send by random variation.
fn random_variation_allowance(budget: f64) -> f64 {
    if budget < 30.0 {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}
