//! Requests about the configuration. Reads are answered immediately; changes wait in a queue, from which the
//! event loop carries out one between two loop iterations.

use super::{Answer, PROBLEM_JSON};
use crate::config::desk::{ChangeService, Refusal, Trial, MAX_WINDOW_MS};
use crate::config::probation::Bounds;
use crate::config::problem::Problems;
use crate::config::secret::DiskFiles;
use crate::config::versions::Version;
use crate::engine::Input;
use crate::net::http::Request;
use crate::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Limit on the queued changes.
pub const MAX_QUEUED_CHANGES: usize = 64;

/// A requested change of the configuration.
#[derive(Clone, Debug)]
pub enum ChangeRequest {
    /// Store a candidate document.
    Stage(String),
    /// Put a document, or the candidate, in force.
    Apply {
        /// The document; none applies the candidate.
        document: Option<String>,
        /// The version that the document is based on.
        from: u64,
        /// Reason for the change.
        why: String,
        /// Trial that the new version must pass, if any.
        trial: Option<Trial>,
    },
    /// Confirm the version on trial.
    Confirm,
    /// Roll back.
    Undo {
        /// The version to return to; none is the previous one.
        to: Option<u64>,
        /// The version expected to be in force; none accepts any.
        from: Option<u64>,
        /// Reason for the rollback.
        why: String,
    },
}

/// A requested change and the connection that waits for its answer.
#[derive(Clone, Debug)]
pub struct QueuedChange {
    /// The waiting connection.
    pub connection: u64,
    /// Name of the token that requested it.
    pub who: String,
    /// The requested change.
    pub request: ChangeRequest,
}

/// Result of handling a request: an answer, or a change to be queued.
pub enum Handling {
    /// Answered immediately.
    Answered(Answer),
    /// To be carried out by the event loop.
    Queued(ChangeRequest),
    /// To be passed to the engine, and answered once the journal has it.
    Recorded(Input),
}

fn answer_json(status: u16, value: &Value) -> Handling {
    Handling::Answered(Answer::json(status, value))
}

/// Creates an answer with problem details (RFC 9457).
pub fn problem_answer(status: u16, title: &str, problems: &Problems, version: Option<u64>) -> Answer {
    let mut body = json!({"type": "about:blank", "title": title, "status": status, "detail": problems.to_string(),
        "problems": problems.list()});
    if let Some(version) = version {
        body["version"] = version.into();
    }
    Answer { kind: PROBLEM_JSON, body: format!("{body}\n"), etag: version, ..Answer::empty(status) }
}

/// Converts a refusal into an answer.
pub fn refusal_answer(refusal: &Refusal, version: u64) -> Answer {
    let title = match refusal.status {
        404 => "No such version",
        409 => "In conflict with what is in force",
        412 => "Made from another version",
        422 => "The configuration has problems",
        428 => "The version it was made from is not named",
        503 => "Not now",
        _ => "Not possible",
    };
    problem_answer(refusal.status, title, &refusal.problems, Some(version))
}

fn refuse(status: u16, what: &str, remedy: &str) -> Handling {
    Handling::Answered(refusal_answer(&Refusal::new(status, what, remedy), 0))
}

fn version_json(one: &Version) -> Value {
    json!({"number": one.number, "digest": one.digest, "from": one.from, "at_ms": one.at_ms, "who": one.who,
        "why": one.why, "on_trial": one.window.is_some()})
}

/// Describes the version in force, the trial and the staged candidate.
pub fn version_status(change_service: &ChangeService, at: Micros) -> Value {
    let versions = change_service.versions();
    let mut status = versions.current().map_or(json!({}), version_json);
    status["trial_left_ms"] = change_service.window_left(at).map(|left| left.0 / 1000).into();
    status["staged"] = versions
        .staged()
        .map(|staged| json!({"from": staged.from, "who": staged.who, "at_ms": staged.at_ms}))
        .into();
    status
}

/// Handles a request to `/v1/config...`; `rest` contains the path segments after it.
pub fn answer(request: &Request, rest: &[&str], change_service: &ChangeService, at: Micros) -> Handling {
    let query = request.target.split_once('?').map_or("", |(_, query)| query);
    let query: BTreeMap<String, String> = pairs(query).collect();
    let body = || match String::from_utf8(request.body.clone()) {
        Ok(text) if text.is_empty() => Ok(None),
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(refuse(422, "the body is not UTF-8", "write it as UTF-8")),
    };
    let body = match body() {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let number = change_service.versions().number();
    match (request.method.as_str(), rest) {
        ("GET", []) => {
            let mut status = version_status(change_service, at);
            let values = change_service
                .outline()
                .iter()
                .map(|(path, shown)| (path.clone(), Value::from(shown.text.clone())));
            status["values"] = Value::Object(values.collect());
            Handling::Answered(Answer { etag: Some(number), ..Answer::json(200, &status) })
        }
        ("GET", ["versions"]) => {
            answer_json(200, &change_service.versions().iter().rev().map(version_json).collect())
        }
        ("GET", ["versions", one]) => {
            match one.parse().ok().and_then(|one| change_service.versions().get(one)) {
                Some(one) => answer_json(200, &version_json(one)),
                None => refuse(404, "this version is not kept", "see the history for those that are"),
            }
        }
        ("POST", ["check" | "diff"]) => {
            let staged = || change_service.versions().staged().map(|staged| staged.document.clone());
            let Some(document) = body.or_else(staged) else {
                return refuse(422, "no candidate", "send one, or stage one first");
            };
            match change_service.diff(&document, &DiskFiles) {
                Ok(differences) => answer_json(200, &json!({"version": number, "differences": differences})),
                Err(refusal) => Handling::Answered(refusal_answer(&refusal, number)),
            }
        }
        ("POST", ["stage"]) => match body {
            Some(document) => Handling::Queued(ChangeRequest::Stage(document)),
            None => refuse(422, "no candidate", "send one as the body"),
        },
        ("POST", ["apply"]) => {
            let etag = request.headers.get("If-Match").map(|tag| tag.trim().trim_matches('"'));
            let staged =
                change_service.versions().staged().filter(|_| body.is_none()).map(|staged| staged.from);
            let from = match etag {
                Some(tag) => tag.parse().ok(),
                None => staged,
            };
            let Some(from) = from else {
                return refuse(
                    428,
                    "If-Match is missing or no version",
                    "name the version that it was made from",
                );
            };
            let trial = match trial(&query) {
                Ok(trial) => trial,
                Err(refusal) => return refusal,
            };
            let why = query.get("why").cloned().unwrap_or_default();
            Handling::Queued(ChangeRequest::Apply { document: body, from, why, trial })
        }
        ("POST", ["confirm"]) => Handling::Queued(ChangeRequest::Confirm),
        ("POST", ["undo"]) => {
            let to = match query.get("to").map(|to| to.parse()) {
                Some(Err(_)) => return refuse(422, "to is no version", "name a number of the history"),
                Some(Ok(to)) => Some(to),
                None => None,
            };
            let from =
                request.headers.get("If-Match").and_then(|tag| tag.trim().trim_matches('"').parse().ok());
            let why = query.get("why").cloned().unwrap_or_default();
            Handling::Queued(ChangeRequest::Undo { to, from, why })
        }
        (_, [] | ["versions"] | ["versions", _])
        | (_, ["check" | "diff" | "stage" | "apply" | "confirm" | "undo"]) => {
            Handling::Answered(Answer::empty(405))
        }
        _ => Handling::Answered(Answer::empty(404)),
    }
}

/// Parses the trial of a change: `confirm_within_s` requires a confirmation, `probation_s` only that service
/// stays within its bounds. Bounds apply to either.
fn trial(query: &BTreeMap<String, String>) -> Result<Option<Trial>, Handling> {
    let number = |key: &str, max: f64| match query.get(key).map(|text| text.parse::<f64>()) {
        None => Ok(None),
        Some(Ok(number)) if number > 0.0 && number <= max => Ok(Some(number)),
        Some(_) => {
            let refusal =
                refuse(422, &format!("{key} is out of bounds"), &format!("write a number from 0 to {max}"));
            Err(refusal)
        }
    };
    let max_window_s = MAX_WINDOW_MS as f64 / 1000.0;
    let (confirm, probation) =
        (number("confirm_within_s", max_window_s)?, number("probation_s", max_window_s)?);
    let bounds = Bounds { turn_downs: number("turn_downs", 1.0)?, turn_ms: number("turn_ms", 60_000.0)? };
    let Some(duration_s) = confirm.or(probation) else { return Ok(None) };
    Ok(Some(Trial { duration_ms: (duration_s * 1000.0) as u64, keep_on_expiry: confirm.is_none(), bounds }))
}

/// The key-value pairs of a query string, percent-decoded.
fn pairs(query: &str) -> impl Iterator<Item = (String, String)> + '_ {
    let decode = |text: &str| {
        let text = text.replace('+', " ");
        percent_encoding::percent_decode_str(&text).decode_utf8_lossy().into_owned()
    };
    query
        .split('&')
        .filter_map(move |pair| pair.split_once('=').map(|(key, value)| (decode(key), decode(value))))
}
