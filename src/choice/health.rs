//! The circuit breaker of an endpoint or a route, and the call budget while it is open or recovering.
//! Interface: `src/interface.rs`; state: `src/state.rs`.

use super::*;

impl Health {
    /// Opens the circuit at the start of an outage. The bucket starts at `random` (0 to 1), so that the trial
    /// calls of the other forwarders do not arrive at the same time.
    pub(super) fn open_circuit(&mut self, now: Micros, random: f64) {
        self.tokens = if self.circuit == CircuitState::Closed { random } else { self.tokens.min(random) };
        self.circuit = CircuitState::Open;
        self.filled_at = now;
    }

    /// Records a served call; returns whether it is the first after an outage. Slow calls that were
    /// cancelled, often by this forwarder itself, and lost connections look like an outage: a call served
    /// soon after the last one shows that there was none. A receiver that answers with errors or rejections
    /// may serve some calls in between, so this doesn't apply to it.
    pub(super) fn record_success(&mut self, now: Micros, recovery_time: Micros) -> bool {
        let was_open = self.circuit == CircuitState::Open;
        let no_outage = !self.refusing && now.minus(self.served_at) < MIN_OUTAGE;
        self.served_at = now;
        self.refusing = false;
        match self.circuit {
            CircuitState::Open if no_outage => self.circuit = CircuitState::Closed,
            CircuitState::Open => self.circuit = CircuitState::Recovering(now),
            CircuitState::Recovering(since) if now.minus(since) >= recovery_time => {
                self.circuit = CircuitState::Closed;
            }
            _ => {}
        }
        was_open
    }

    /// The share of its capacity that a receiver in slow start has at least.
    fn available_capacity_share(&self, now: Micros, settings: &Settings) -> f64 {
        let progress = match self.circuit {
            CircuitState::Recovering(since) => {
                seconds(now.minus(since)) / seconds(settings.recovery_time).max(1e-3)
            }
            // Long after the last call, it may have recovered for other forwarders. The slow start counts
            // from two recovery times on, as outages are longer than one.
            CircuitState::Open => {
                seconds(now.minus(self.called_at)) / seconds(settings.recovery_time).max(1e-3) - 2.0
            }
            CircuitState::Closed => 1.0,
        };
        settings.recovery_start_share + (1.0 - settings.recovery_start_share) * progress.clamp(0.0, 1.0)
    }

    /// When the call budget of rule 4 allows a call. `capacity` is what the receiver takes after its slow
    /// start, in calls a second.
    pub(super) fn opens_at(&self, now: Micros, capacity: f64, settings: &Settings) -> Micros {
        match self.circuit {
            CircuitState::Closed => return now,
            CircuitState::Recovering(since) if now.minus(since) >= settings.recovery_time => return now,
            _ => {}
        }
        let available = self.available_capacity_share(now, settings);
        let rate = (settings.overload_multiple * available * capacity).max(1e-6);
        let missing_tokens = 1.0 - self.tokens - rate * seconds(now.minus(self.filled_at));
        if missing_tokens <= 0.0 {
            now
        } else {
            now.plus(micros(missing_tokens / rate))
        }
    }

    /// Takes a sent call out of the call budget.
    pub(super) fn record_call(&mut self, now: Micros, capacity: f64, settings: &Settings) {
        let rate = settings.overload_multiple * self.available_capacity_share(now, settings) * capacity;
        self.tokens = (self.tokens + rate * seconds(now.minus(self.filled_at))).min(1.0) - 1.0;
        self.filled_at = now;
        self.called_at = now;
    }
}
