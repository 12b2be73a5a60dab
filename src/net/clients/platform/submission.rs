//! The form of a submission over HTTP: the request's target and headers. It knows no connection.

use crate::directory::Directory;
use crate::engine::{MessageSubmission, Token};
use crate::journal::IdScope;
use crate::net::clients::HTTP_FRONT;
use crate::net::http::{Headers, Request};
use crate::{DestinationId, Micros};
use std::rc::Rc;

/// Longest message id or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Parses the submission of a request, or returns the status that answers it.
pub(super) fn parse_submission(
    token: Token,
    request: Request,
    directory: &Directory,
    is_ready: bool,
) -> Result<MessageSubmission, u16> {
    let path = request.target.split('?').next().unwrap_or_default();
    match (path, request.method.as_str()) {
        ("/ready", "GET" | "HEAD") => return Err(if is_ready { 200 } else { 503 }),
        ("/api", "POST") => {}
        ("/api" | "/ready", _) => return Err(405),
        _ => return Err(404),
    }
    let headers = &request.headers;
    let name = |name: &str| -> Result<Option<Rc<[u8]>>, u16> {
        let value = headers.get(name).filter(|value| !value.is_empty());
        // Batch calls to endpoints write these names on one line, separated by spaces.
        if value.is_some_and(|value| {
            value.len() > MAX_NAME_BYTES || !value.bytes().all(|byte| byte.is_ascii_graphic())
        }) {
            return Err(400);
        }
        Ok(value.map(|value| Rc::from(value.as_bytes())))
    };
    let class = headers.get("Request-Class").and_then(|name| directory.classes.active_index(name));
    Ok(MessageSubmission {
        token,
        front: HTTP_FRONT,
        // Endpoints distinguish messages of this front by their ids alone, across tenants.
        id_scope: IdScope::Front,
        report_delivery: false,
        tenant: directory.tenant_index(headers.get("Tenant")).ok_or(400u16)?,
        class: class.ok_or(400u16)?,
        destination: destination(headers).ok_or(400u16)?,
        id: name("Request-Id")?.ok_or(400u16)?,
        key: name("Idempotency-Key")?,
        time_left: time_left(headers).ok_or(400u16)?,
        resubmitted: headers.get("Client-Retry").is_some(),
        origin: Rc::from(&[][..]),
        body: request.body.into(),
    })
}

fn destination(headers: &Headers) -> Option<DestinationId> {
    let parts = headers.get("X-Addressing")?.split([',', ';']);
    let dest = parts.filter_map(|part| part.trim().strip_prefix("dest=")).next()?;
    dest.trim().parse().ok().map(DestinationId)
}

fn time_left(headers: &Headers) -> Option<Micros> {
    let seconds: f64 = headers.get("Request-Timeout")?.parse().ok()?;
    (seconds.is_finite() && (0.0..=1e6).contains(&seconds)).then(|| Micros::from_ms(seconds * 1e3))
}
