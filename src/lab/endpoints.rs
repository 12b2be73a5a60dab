//! Simulated endpoints that all forwarders of a fleet share. Each has a limit of calls per second (a token
//! bucket of half a second, which rejected calls use up as served ones do) and a limit of open connections.
//! Each answer reports the limit of calls.

use crate::report::Report;
use crate::{AttemptOutcome, Micros};
use std::collections::BTreeMap;

/// Duration of a served call.
const SERVICE_TIME: Micros = Micros(30_000);
/// Time until a call or connection is rejected.
const REJECTION_TIME: Micros = Micros(1_000);

/// How an endpoint answers a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The attempt outcome that the forwarder sees.
    pub outcome: AttemptOutcome,
    /// Time from the call to the answer.
    pub after: Micros,
    /// The report of the limit in the answer.
    pub report: Option<Report>,
    /// Whether the endpoint ran the call.
    pub ran: bool,
}

/// One simulated endpoint.
pub struct Endpoint {
    calls_per_s: f64,
    max_connections: usize,
    tokens: f64,
    filled_at: Micros,
    /// Open connections of each forwarder.
    connections: BTreeMap<usize, usize>,
    open: usize,
    /// The endpoint is down: connection attempts fail.
    pub out: bool,
    /// Times of new connections.
    pub connects: Vec<Micros>,
    /// Largest number of connections open at once.
    pub peak_open: usize,
    /// Connections rejected because the table was full, and calls rejected above the limit.
    pub connections_rejected: usize,
    #[allow(missing_docs)]
    pub calls_rejected: usize,
    #[allow(missing_docs)]
    pub served: usize,
}

impl Endpoint {
    /// Creates an endpoint with its limits.
    pub fn new(calls_per_s: f64, max_connections: usize) -> Endpoint {
        Endpoint {
            calls_per_s,
            max_connections,
            tokens: calls_per_s / 2.0,
            filled_at: Micros(0),
            connections: BTreeMap::new(),
            open: 0,
            out: false,
            connects: Vec::new(),
            peak_open: 0,
            connections_rejected: 0,
            calls_rejected: 0,
            served: 0,
        }
    }

    /// Answers a call of a forwarder, on a new or an open connection.
    pub fn call(&mut self, now: Micros, forwarder: usize, new_connection: bool) -> Answer {
        let answer = |outcome, after, report, ran| Answer { outcome, after, report, ran };
        if new_connection {
            self.connects.push(now);
            if self.out {
                return answer(AttemptOutcome::ConnectFailed, REJECTION_TIME, None, false);
            }
            if self.open >= self.max_connections {
                self.connections_rejected += 1;
                return answer(AttemptOutcome::ConnectionLimitReached, REJECTION_TIME, None, false);
            }
            *self.connections.entry(forwarder).or_default() += 1;
            self.open += 1;
            self.peak_open = self.peak_open.max(self.open);
        }
        let filled = self.tokens + self.calls_per_s * now.minus(self.filled_at).0 as f64 / 1e6;
        self.filled_at = now;
        self.tokens = (filled.min(self.calls_per_s / 2.0) - 1.0).max(-0.2 * self.calls_per_s);
        let unused_share = (self.tokens / (self.calls_per_s / 2.0)).clamp(0.0, 1.0);
        let report = Report::new(unused_share, self.calls_per_s);
        if self.tokens < 0.0 {
            self.calls_rejected += 1;
            return answer(AttemptOutcome::Rejected { retry_after: None }, REJECTION_TIME, report, false);
        }
        self.served += 1;
        answer(AttemptOutcome::Delivered, SERVICE_TIME, report, true)
    }

    /// Closes up to `count` connections of a forwarder.
    pub fn close(&mut self, forwarder: usize, count: usize) {
        let Some(connections) = self.connections.get_mut(&forwarder) else { return };
        let closed = count.min(*connections);
        *connections -= closed;
        self.open -= closed;
    }

    /// Closes all connections of a forwarder that died, as the operating system does.
    pub fn close_all(&mut self, forwarder: usize) {
        self.open -= self.connections.remove(&forwarder).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
