//! Limits the arrival rate by the generic cell rate algorithm (ITU-T I.371). The state is one time per
//! tenant: the theoretical time of the next arrival if arrivals were evenly spaced.
//!
//! Cost: O(1) per arrival, 8 bytes per tenant; nothing for a tenant without a rate.

use crate::Micros;

/// A sustained rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Arrivals per second, above zero.
    pub per_second: f64,
    /// Arrivals admitted at once, at least one.
    pub burst: u32,
}

/// Arrival rates of all tenants: see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct ArrivalLimiter {
    rates: Vec<Option<Rate>>,
    /// By tenant index: the theoretical time of the next arrival, in microseconds.
    expected_us: Vec<f64>,
}

impl ArrivalLimiter {
    /// Replaces the rates, by tenant index. What was used under the old rates still counts.
    pub fn configure(&mut self, rates: Vec<Option<Rate>>) {
        self.expected_us.resize(self.expected_us.len().max(rates.len()), 0.0);
        self.rates = rates;
    }

    /// Counts an arrival, or rejects it with the time until one would be admitted.
    pub fn admit(&mut self, tenant: usize, now: Micros) -> Result<(), Micros> {
        let Some(&Some(rate)) = self.rates.get(tenant) else { return Ok(()) };
        let Some(expected_us) = self.expected_us.get_mut(tenant) else { return Ok(()) };
        let interval_us = 1e6 / rate.per_second;
        let early_us = *expected_us - now.0 as f64;
        let tolerance_us = interval_us * f64::from(rate.burst.max(1) - 1);
        // After a higher rate was configured or the clock was set back, the debt is at most one full burst.
        let early_us = early_us.min(tolerance_us + interval_us);
        if early_us > tolerance_us + 1e-6 {
            return Err(Micros((early_us - tolerance_us).ceil() as u64));
        }
        *expected_us = now.0 as f64 + early_us.max(0.0) + interval_us;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
