//! The HTTP form of a call: its request, and what an answer says of each of its messages and of the endpoint's
//! limits.

use crate::engine::{CallId, Input, Item};
use crate::net::http::{self, Headers, Response};
use crate::report::Report;
use crate::{AttemptOutcome, EndpointId, Micros};
use std::net::SocketAddr;
use std::rc::Rc;

/// The call in progress on a connection.
pub(super) struct ActiveCall {
    pub(super) call: CallId,
    pub(super) ids: Vec<Rc<[u8]>>,
    pub(super) batch: bool,
    pub(super) written: bool,
    /// If the connection is not established by then, nothing of the call is written.
    pub(super) send_deadline: Micros,
    /// The outcome has been reported; the rest of the response is still to come.
    pub(super) outcome_reported: bool,
    /// The wait and the load report in the response's headers have been reported.
    pub(super) wait_reported: bool,
    pub(super) load_reported: bool,
    /// When the first byte of the response was received.
    pub(super) answer_since: Option<Micros>,
}

impl ActiveCall {
    pub(super) fn new(call: CallId, ids: Vec<Rc<[u8]>>, batch: bool, send_deadline: Micros) -> ActiveCall {
        ActiveCall {
            call,
            ids,
            batch,
            written: false,
            send_deadline,
            outcome_reported: false,
            wait_reported: false,
            load_reported: false,
            answer_since: None,
        }
    }

    /// Reports the endpoint's limits from the response's headers, each once. A limit is reported as soon as
    /// its header line is complete: the call's outcome may be reported earlier, or the response may never be
    /// complete.
    pub(super) fn report_limits(&mut self, endpoint: EndpointId, headers: &Headers, inputs: &mut Vec<Input>) {
        if !self.load_reported {
            let report = headers.get("Server-Load").and_then(Report::parse);
            self.load_reported = report.is_some();
            inputs.extend(report.map(|report| Input::Report(endpoint, report)));
        }
        if !self.wait_reported {
            let wait = wait_header(headers);
            self.wait_reported = wait.is_some();
            inputs.extend(wait.map(|wait| Input::RetryAfter(endpoint, wait)));
        }
    }
}

/// How long nothing may be sent to the endpoint's destination, from the `X-RateLimit-Wait-Ms` header.
fn wait_header(headers: &Headers) -> Option<Micros> {
    let wait = headers.get("X-RateLimit-Wait-Ms")?.trim().parse::<f64>().ok()?;
    Some(wait).filter(|&ms| ms > 0.0).map(Micros::from_ms)
}

fn timeout_header(wait: Micros) -> String {
    format!("Request-Timeout: {:.3}\r\n", wait.0 as f64 / 1e6)
}

pub(super) fn single_request(address: SocketAddr, wait: Micros, item: &Item) -> Vec<u8> {
    let mut headers = format!("Request-Id: {}\r\n", String::from_utf8_lossy(&item.id));
    if let Some(key) = &item.key {
        headers.push_str(&format!("Idempotency-Key: {}\r\n", String::from_utf8_lossy(key)));
    }
    headers.push_str(&timeout_header(wait));
    http::write_request("POST", "/v1/messages", &address.to_string(), &headers, &item.body)
}

pub(super) fn batch_request(address: SocketAddr, wait: Micros, items: &[Item]) -> Vec<u8> {
    let mut body = Vec::new();
    for item in items {
        body.extend(&item.id[..]);
        body.push(b' ');
        body.extend(item.key.as_deref().unwrap_or(b"-"));
        body.extend(format!(" {}\r\n", item.body.len()).bytes());
        body.extend(&item.body[..]);
        body.extend(b"\r\n");
    }
    let headers = timeout_header(wait);
    http::write_request("POST", "/v1/messages:batch", &address.to_string(), &headers, &body)
}

/// The attempt outcome of each message in the call. A new connection that is answered with 503 and closed,
/// without a wait, means that the endpoint's connection limit is reached. On a reused connection the same
/// response rejects the call.
pub(super) fn outcome(active_call: &ActiveCall, answer: &Response, new: bool) -> Input {
    let wait = wait_header(&answer.headers);
    let slots_taken = answer.headers.get("X-Over-Slots").is_some_and(|value| value.trim() == "1");
    let each = |outcome, over| (0..active_call.ids.len()).map(|index| (index, outcome, over)).collect();
    let results: Vec<(usize, AttemptOutcome, bool)> = match answer.status {
        200 if active_call.batch => {
            let mut results: Vec<_> = active_call
                .ids
                .iter()
                .enumerate()
                .map(|(index, id)| batch_result(index, id, answer, wait))
                .collect();
            // The engine takes the last result as that of the call: a rejection carries more information than
            // a delivery.
            results.sort_by_key(|result| u8::from(result.1 != AttemptOutcome::Delivered));
            results
        }
        200 => each(AttemptOutcome::Delivered, true),
        503 if slots_taken => each(AttemptOutcome::NotSent, false),
        503 if new && answer.close && wait.is_none() => each(AttemptOutcome::ConnectionLimitReached, false),
        429 | 503 => each(AttemptOutcome::Rejected { retry_after: wait }, false),
        504 => each(AttemptOutcome::NotSent, false),
        410 => each(AttemptOutcome::NotSent, true),
        status => {
            if status != 500 {
                log!("endpoints: unexpected status {status} for a call of size {}", active_call.ids.len());
            }
            each(AttemptOutcome::Error, false)
        }
    };
    Input::Answered { call: active_call.call, results, wait }
}

/// Whether all messages of a call were delivered.
pub(super) fn is_delivery_of_all(outcome: &Input) -> bool {
    let Input::Answered { results, .. } = outcome else { return false };
    results.iter().all(|(_, outcome, _)| *outcome == AttemptOutcome::Delivered)
}

/// The result for one message of a batch. A message without a line in the response may have run.
fn batch_result(
    index: usize,
    id: &[u8],
    answer: &Response,
    wait: Option<Micros>,
) -> (usize, AttemptOutcome, bool) {
    let lines = answer.body.split(|&byte| byte == b'\n').map(<[u8]>::trim_ascii);
    let mut results = lines.filter_map(|line| line.strip_prefix(id)?.strip_prefix(b" "));
    match results.next() {
        Some(b"delivered") => (index, AttemptOutcome::Delivered, true),
        Some(b"refused") => (index, AttemptOutcome::Rejected { retry_after: wait }, false),
        Some(b"over") => (index, AttemptOutcome::NotSent, true),
        Some(b"spent") => (index, AttemptOutcome::NotSent, false),
        _ => (index, AttemptOutcome::Error, false),
    }
}
