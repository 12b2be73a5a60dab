//! Delivery reports to the platform: final outcomes, each sent until it is acknowledged with a 204. Each call has
//! a connection of its own, as a second copy of a 204 cannot be told from the answer to another call.

use super::caller::{Caller, Persistence};
use super::http::{write_request, MAX_RESPONSE_BYTES};
use super::poll::{Peer, Poll};
use crate::journal::FinalOutcome;
use crate::{MessageId, Micros};
use std::net::SocketAddr;

/// A report that is not acknowledged within this time is sent again.
const ANSWER_TIMEOUT: Micros = Micros(500_000);
/// Pause before reports are sent again that were answered with an error.
const ERROR_BACKOFF: Micros = Micros(100_000);
/// The platform cannot read a report: sending it again does not help.
const UNREADABLE: u16 = 400;
/// Largest number of reports in one call; a body of 64 KiB has room for more.
const MAX_REPORTS_PER_CALL: usize = 256;

/// Sends delivery reports, one call at a time.
pub struct DeliveryReports {
    caller: Caller,
    host: String,
    waiting: Vec<(MessageId, String)>,
    /// Number of reports in the current call, from the front of `waiting`.
    out: usize,
    /// A call with several reports could not be read, so each is sent alone until one is taken.
    one_at_a_time: bool,
}

impl DeliveryReports {
    /// Creates a sender without any pending reports.
    pub fn new(address: SocketAddr) -> DeliveryReports {
        let caller = Caller::new(Peer::Reports, address, Persistence::OneRequest, MAX_RESPONSE_BYTES);
        DeliveryReports {
            caller,
            host: address.to_string(),
            waiting: Vec::new(),
            out: 0,
            one_at_a_time: false,
        }
    }

    /// Moves to another address. Reports in progress at the old address are sent again: they may not have
    /// been received.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.out) = (address.to_string(), 0);
        }
    }

    /// The address that delivery reports go to.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Whether reports have been sent and their answer is still to come.
    pub fn in_flight(&self) -> bool {
        self.out > 0
    }

    /// Adds the report of a final outcome.
    pub fn add(&mut self, message: MessageId, id: &[u8], end: FinalOutcome) {
        let id = escape(&String::from_utf8_lossy(id));
        let line = match end {
            FinalOutcome::Deferred(retry_after) => {
                let again_ms = retry_after.0.div_ceil(1000);
                format!("{{\"id\":\"{id}\",\"status\":\"deferred\",\"again_ms\":{again_ms}}}\n")
            }
            _ => format!("{{\"id\":\"{id}\",\"status\":\"undeliverable\"}}\n"),
        };
        self.waiting.push((message, line));
    }

    /// Sends the waiting reports if no call is in progress.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.caller.take_failure(now).is_some() {
            log!("reports: no answer to {} delivery reports, sending them again", self.out);
            self.out = 0;
        }
        if self.waiting.is_empty() || !self.caller.is_ready(now) {
            return;
        }
        let limit = if self.one_at_a_time { 1 } else { MAX_REPORTS_PER_CALL };
        self.out = self.waiting.len().min(limit);
        let body: String = self.waiting[..self.out].iter().map(|(_, line)| line.as_str()).collect();
        let request = write_request("POST", "/reports", &self.host, "", body.as_bytes());
        self.caller.send(poll, &request, now.plus(ANSWER_TIMEOUT));
    }

    /// When [`DeliveryReports::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(!self.waiting.is_empty())
    }

    /// Handles the connection when it is ready; returns the messages whose reports need not be sent again.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros) -> Vec<MessageId> {
        let Some(answer) = self.caller.ready(poll, token) else { return Vec::new() };
        let out = std::mem::take(&mut self.out);
        let taken = answer.status / 100 == 2;
        let dropped = answer.status == UNREADABLE && out == 1;
        self.one_at_a_time = !taken && (self.one_at_a_time || answer.status == UNREADABLE);
        if dropped {
            log!("reports: status {UNREADABLE} for a delivery report, not sending it again");
        } else if !taken {
            log!("reports: status {} for {out} delivery reports, sending them again", answer.status);
            self.caller.back_off(now, ERROR_BACKOFF);
            return Vec::new();
        }
        self.waiting.drain(..out).map(|(message, _)| message).collect()
    }
}

/// Escapes text for use in a JSON string.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '"' | '\\' => out.extend(['\\', character]),
            character if (character as u32) < 32 => out.push_str(&format!("\\u{:04x}", character as u32)),
            character => out.push(character),
        }
    }
    out
}
