//! Notices to the platform: the ends that are owed, until each has its 204.

use super::caller::Caller;
use super::http::write_request;
use super::poll::{Peer, Poll};
use crate::journal::End;
use crate::{MessageId, Micros};
use std::net::SocketAddr;

/// A notice without its 204 is sent again after so long.
const ANSWER_TIMEOUT: Micros = Micros(500_000);
/// Notices in one call at most: 64 KiB take more.
const MAX_REPORTS_PER_CALL: usize = 256;

/// See the module's text.
pub struct DeliveryReports {
    caller: Caller,
    host: String,
    waiting: Vec<(MessageId, String)>,
    /// How many of these are out, from the front.
    out: usize,
}

impl DeliveryReports {
    /// Nothing owed yet.
    pub fn new(address: SocketAddr) -> DeliveryReports {
        let caller = Caller::new(Peer::Reports, address);
        DeliveryReports { caller, host: address.to_string(), waiting: Vec::new(), out: 0 }
    }

    /// Goes on at another address. What is out at the old one is sent again: nobody may have heard it.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.caller.move_to(address) {
            (self.host, self.out) = (address.to_string(), 0);
        }
    }

    /// Notices are out, and their answer is still to come.
    pub fn in_flight(&self) -> bool {
        self.out > 0
    }

    /// An end that is owed.
    pub fn add(&mut self, flow: MessageId, id: &[u8], end: End) {
        let id = escape(&String::from_utf8_lossy(id));
        let line = match end {
            End::Deferred(again) => {
                let again_ms = again.0.div_ceil(1000);
                format!("{{\"id\":\"{id}\",\"status\":\"deferred\",\"again_ms\":{again_ms}}}\n")
            }
            _ => format!("{{\"id\":\"{id}\",\"status\":\"undeliverable\"}}\n"),
        };
        self.waiting.push((flow, line));
    }

    /// Sends what waits, if nothing is out.
    pub fn tick(&mut self, poll: &mut Poll, now: Micros) {
        if self.caller.take_failure(now).is_some() {
            log!("notices: no answer to {} of them, sending them again", self.out);
            self.out = 0;
        }
        if self.waiting.is_empty() || !self.caller.is_ready(now) {
            return;
        }
        self.out = self.waiting.len().min(MAX_REPORTS_PER_CALL);
        let body: String = self.waiting[..self.out].iter().map(|(_, line)| line.as_str()).collect();
        let request = write_request("POST", "/reports", &self.host, "", body.as_bytes());
        self.caller.send(poll, &request, now.plus(ANSWER_TIMEOUT));
    }

    /// When [`DeliveryReports::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.caller.due(!self.waiting.is_empty())
    }

    /// The flows whose notices have been heard, if an answer has come.
    pub fn ready(&mut self, poll: &Poll, token: u64) -> Vec<MessageId> {
        let Some(answer) = self.caller.ready(poll, token) else { return Vec::new() };
        let out = std::mem::take(&mut self.out);
        if answer.status / 100 != 2 {
            log!("notices: answer {} to {out} of them: given up", answer.status);
        }
        self.waiting.drain(..out).map(|(flow, _)| flow).collect()
    }
}

/// Text within a JSON string.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '"' | '\\' => out.extend(['\\', letter]),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out
}
