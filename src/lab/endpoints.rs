//! Simulated real servers that all forwarders of a fleet share: each takes so many calls a second (a bucket of half a second; a
//! refused call uses it up as a served one does) and holds so many connections; it tells its limit with each answer.

use crate::report::Report;
use crate::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// How long a call that is served takes.
const SERVICE: Micros = Micros(30_000);
/// An answer that is there at once.
const AT_ONCE: Micros = Micros(1_000);

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// What its sender hears...
    pub outcome: AttemptOutcome,
    /// ...after so long.
    pub after: Micros,
    /// What the answer tells of the limit.
    pub report: Option<Report>,
    /// The call ran.
    pub ran: bool,
}

/// One of them.
pub struct Endpoint {
    limit: f64,
    most: usize,
    tokens: f64,
    filled_at: Micros,
    /// Connections that each forwarder holds here.
    held: BTreeMap<usize, usize>,
    open: usize,
    /// Nobody listens.
    pub out: bool,
    /// New connections, when they came.
    pub connects: Vec<Micros>,
    /// The most that were open at once.
    pub most_open: usize,
    /// Connections that found the table full, and calls above the limit.
    pub turned_away: usize,
    #[allow(missing_docs)]
    pub refused: usize,
    #[allow(missing_docs)]
    pub served: usize,
}

impl Endpoint {
    /// With so many calls a second, and so many connections.
    pub fn new(limit: f64, most: usize) -> Endpoint {
        Endpoint {
            limit,
            most,
            tokens: limit / 2.0,
            filled_at: Micros(0),
            held: BTreeMap::new(),
            open: 0,
            out: false,
            connects: Vec::new(),
            most_open: 0,
            turned_away: 0,
            refused: 0,
            served: 0,
        }
    }

    /// A call comes, on a new connection or on one that is held.
    pub fn call(&mut self, now: Micros, by: usize, new: bool) -> Answer {
        let answer = |outcome, after, report, ran| Answer { outcome, after, report, ran };
        if new {
            self.connects.push(now);
            if self.out {
                return answer(AttemptOutcome::ConnectFailed, AT_ONCE, None, false);
            }
            if self.open >= self.most {
                self.turned_away += 1;
                return answer(AttemptOutcome::ConnectionLimitReached, AT_ONCE, None, false);
            }
            *self.held.entry(by).or_default() += 1;
            self.open += 1;
            self.most_open = self.most_open.max(self.open);
        }
        let filled = self.tokens + self.limit * now.minus(self.filled_at).0 as f64 / 1e6;
        self.filled_at = now;
        self.tokens = (filled.min(self.limit / 2.0) - 1.0).max(-0.2 * self.limit);
        let report = Report::new((self.tokens / (self.limit / 2.0)).clamp(0.0, 1.0), self.limit);
        if self.tokens < 0.0 {
            self.refused += 1;
            return answer(AttemptOutcome::Rejected { retry_after: None }, AT_ONCE, report, false);
        }
        self.served += 1;
        answer(AttemptOutcome::Delivered, SERVICE, report, true)
    }

    /// A forwarder closes so many of its connections here.
    pub fn close(&mut self, by: usize, count: usize) {
        let Some(held) = self.held.get_mut(&by) else { return };
        let closed = count.min(*held);
        *held -= closed;
        self.open -= closed;
    }

    /// A forwarder has died: the system closes what it held.
    pub fn gone(&mut self, by: usize) {
        self.open -= self.held.remove(&by).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
