//! Lifeguard's dynamic suspicion timeout: a suspect has until its deadline to refute.

use super::super::Settings;
use crate::Micros;

/// A suspicion of a member. Each independent confirmation shortens the timeout.
pub(super) struct Suspicion {
    started: Micros,
    /// The first accuser; its repeated accusations are no confirmations.
    accuser: String,
    confirmers: Vec<String>,
    /// Number of confirmations that reduces the timeout to `min`.
    expected: usize,
    min: Micros,
    max: Micros,
}

impl Suspicion {
    /// Starts a suspicion at `now` in a fleet with `live` live members.
    pub(super) fn new(now: Micros, accuser: &str, live: usize, settings: &Settings) -> Suspicion {
        let scale = (live as f64).max(1.0).log10().max(1.0);
        let min = settings.suspicion_multiplier * scale * settings.probe_interval.0 as f64;
        let max = min * settings.suspicion_max_multiplier;
        Suspicion {
            started: now,
            accuser: accuser.to_owned(),
            confirmers: Vec::new(),
            expected: settings.indirect_probes,
            min: Micros(min as u64),
            max: Micros(max as u64),
        }
    }

    /// When the suspect is declared dead unless it refutes.
    pub(super) fn deadline(&self) -> Micros {
        let (min, max) = (self.min.0 as f64, self.max.0 as f64);
        let confirmations = self.confirmers.len() as f64;
        let progress = ((confirmations + 1.0).ln() / (self.expected as f64 + 1.0).ln()).min(1.0);
        self.started.plus(Micros((max - (max - min) * progress).max(min) as u64))
    }

    /// Counts a confirmation once per accuser, the first accuser excluded. Returns whether it counted.
    pub(super) fn confirm(&mut self, accuser: &str) -> bool {
        let known = accuser == self.accuser || self.confirmers.iter().any(|one| one == accuser);
        if known || self.confirmers.len() >= self.expected {
            return false;
        }
        self.confirmers.push(accuser.to_owned());
        true
    }

    /// Extends the timeout by the time that this process was suspended and could not receive a refutation.
    pub(super) fn extend(&mut self, missed: Micros) {
        self.started = self.started.plus(missed);
    }
}
