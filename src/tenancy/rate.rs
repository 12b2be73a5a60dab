//! Offers a second, by the generic cell rate algorithm (ITU-T I.371): one time for each tenant, the earliest at which a next
//! offer would come if all came evenly.
//!
//! Cost: O(1) an offer, 8 bytes a tenant; none for one without a rate.

use crate::Micros;

/// So many a second, and so many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Offers a second, above zero.
    pub per_second: f64,
    /// Offers that may come at once, one at least.
    pub burst: u32,
}

/// See the module's text.
#[derive(Clone, Debug, Default)]
pub struct ArrivalLimiter {
    rates: Vec<Option<Rate>>,
    /// When the next offer is expected, by place, in microseconds.
    expected: Vec<f64>,
}

impl ArrivalLimiter {
    /// Other rates, by place; what was used under the old ones still counts.
    pub fn configure(&mut self, rates: Vec<Option<Rate>>) {
        self.expected.resize(self.expected.len().max(rates.len()), 0.0);
        self.rates = rates;
    }

    /// An offer is there: counted, or refused with how long until one would not be.
    pub fn admit(&mut self, place: usize, now: Micros) -> Result<(), Micros> {
        let Some(&Some(rate)) = self.rates.get(place) else { return Ok(()) };
        let Some(expected) = self.expected.get_mut(place) else { return Ok(()) };
        let each = 1e6 / rate.per_second;
        let early = *expected - now.0 as f64;
        let leeway = each * f64::from(rate.burst.max(1) - 1);
        // A rate that was raised, or a clock that was set back, leaves no debt of more than a full burst.
        let early = early.min(leeway + each);
        if early > leeway + 1e-6 {
            return Err(Micros((early - leeway).ceil() as u64));
        }
        *expected = now.0 as f64 + early.max(0.0) + each;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
