//! The operators' request for a maintenance plan. It is validated in full before any voter is
//! asked; each problem is reported with its remedy.

use super::ledger::{
    Lease, Ledger, MaintenancePlan, MemberStatus, OutageLimits, PlanState, MAX_PLAN_MEMBERS,
};
use crate::startup::digest;
use crate::Micros;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// A day.
const MAX_WINDOW_S: f64 = 86_400.0;
/// Deadline of a request that specifies none.
const DEFAULT_DEADLINE_S: f64 = 86_400.0;
const MAX_ID_LENGTH: usize = 64;

/// The forwarders that are to go out of service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Set {
    /// `all`: every member that is alive.
    Word(String),
    /// These members.
    Names(Vec<String>),
}

/// A request as the operators' listener reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Unique id of the plan. If absent, it is derived from the other fields, so that a repeated
    /// request means the same plan.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    #[allow(missing_docs)]
    pub set: Set,
    /// Maximum number of forwarders out of service at once.
    #[serde(default = "default_at_most")]
    pub at_most: u32,
    /// Share of the fleet that is to stay in service, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_service: Option<f64>,
    /// Maximum time that each forwarder is out of service.
    pub window_s: f64,
    /// Deadline relative to now: no forwarder goes out of service after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Deadline in Unix time, instead of `deadline_s`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<f64>,
}

fn default_at_most() -> u32 {
    1
}

/// The fleet as the forwarder that receives the request sees it: the names of the members that are
/// alive, and the number of all members.
pub struct Fleet {
    #[allow(missing_docs)]
    pub alive: BTreeSet<String>,
    #[allow(missing_docs)]
    pub size: usize,
}

/// Parses and validates a request. Returns the plan, or all problems found.
pub fn parse(
    body: &[u8],
    fleet: &Fleet,
    ledger: &Ledger,
    now: Micros,
) -> Result<MaintenancePlan, Vec<String>> {
    let example = "write {\"set\": \"all\", \"at_most\": 1, \"window_s\": 600}";
    let request: Request = serde_json::from_slice(body)
        .map_err(|problem| vec![format!("the request cannot be read: {problem}; {example}")])?;
    let mut problems = Vec::new();
    let mut report = |problem: String| problems.push(problem);
    let names = match &request.set {
        Set::Word(word) if word == "all" => fleet.alive.iter().cloned().collect(),
        Set::Word(word) => {
            report(format!("set: {word:?} is not a set; write \"all\" or a list of names"));
            Vec::new()
        }
        Set::Names(names) => names.clone(),
    };
    let distinct: BTreeSet<&String> = names.iter().collect();
    if distinct.len() < names.len() {
        report("set: a name occurs twice; list each name once".to_owned());
    }
    for name in names.iter().filter(|name| !fleet.alive.contains(*name)).take(5) {
        report(format!("set: {name} is not alive among the members; see /ops/members"));
    }
    if names.is_empty() || names.len() > MAX_PLAN_MEMBERS {
        report(format!("set: {} forwarders; list 1 to {MAX_PLAN_MEMBERS}", names.len()));
    }
    if names.len() > fleet.size {
        report(format!("set: {} forwarders of a fleet of {}; list members only", names.len(), fleet.size));
    }
    if request.at_most == 0 {
        report("at_most: 0 allows no forwarder to go out of service; write 1 or more".to_owned());
    } else if request.at_most as usize >= fleet.alive.len() {
        let all = fleet.alive.len();
        report(format!(
            "at_most: {} of {all} that are alive would leave no forwarder in service; write a smaller number",
            request.at_most
        ));
    }
    let in_service = request.in_service.unwrap_or(0.0);
    if !(0.0..=1.0).contains(&in_service) {
        report(format!("in_service: {in_service} is not a share; write 0 to 1"));
    } else if ((fleet.alive.len().max(1) - 1) as f64) < in_service * fleet.size as f64 {
        let (left, all) = (fleet.alive.len().max(1) - 1, fleet.size);
        report(format!("in_service: with one out {left} of {all} are left, less than {in_service}; write a smaller share"));
    }
    if !(1.0..=MAX_WINDOW_S).contains(&request.window_s) {
        report(format!("window_s: {} s; write 1 to {MAX_WINDOW_S}", request.window_s));
    }
    if request.deadline_s.is_some() && request.until.is_some() {
        report("deadline_s, until: both are given; write one of them".to_owned());
    }
    let unix = now.0 as f64 / 1e6;
    let until = request.until.unwrap_or(unix + request.deadline_s.unwrap_or(DEFAULT_DEADLINE_S));
    if !until.is_finite() || until <= unix || until > unix + 366.0 * 86_400.0 {
        report(format!(
            "until: {} s from now is in the past or too far in the future; write a time within a year",
            (until - unix).round()
        ));
    }
    let id = request.id.clone().unwrap_or_else(|| {
        let fields = format!("{names:?} {} {in_service} {}", request.at_most, request.window_s);
        let id = format!("round-{:08x}", digest(fields.as_bytes()) as u32);
        let finished = ledger.plan(&id).is_some_and(|plan| plan.state != PlanState::Open);
        if finished {
            format!("{id}-{}", ledger.version)
        } else {
            id
        }
    });
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if id.is_empty() || id.len() > MAX_ID_LENGTH || !id.bytes().all(allowed) {
        report(format!("id: {id:?}; write 1 to {MAX_ID_LENGTH} letters, digits, '-', '_' or '.'"));
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(MaintenancePlan {
        id,
        statuses: vec![MemberStatus::Pending; names.len()],
        names,
        limits: OutageLimits {
            at_most: request.at_most,
            in_service_permille: (in_service * 1e3).round() as u16,
        },
        window: Micros((request.window_s * 1e6) as u64),
        until: Micros((until * 1e6) as u64),
        state: PlanState::Open,
    })
}

/// JSON representation of a plan, for operators.
pub fn plan_json(plan: &MaintenancePlan, ledger: &Ledger) -> Value {
    let with_status = |status: MemberStatus| -> Vec<&str> {
        plan.names
            .iter()
            .zip(&plan.statuses)
            .filter(|(_, one)| **one == status)
            .map(|(name, _)| name.as_str())
            .collect()
    };
    let out: Vec<&Lease> = ledger.leases.iter().filter(|lease| lease.plan == plan.id).collect();
    let order = plan.lease_order(&ledger.lease_counts);
    let waiting = order
        .into_iter()
        .filter(|name| plan.status_of(name) == Some(MemberStatus::Pending) && ledger.lease(name).is_none());
    json!({
        "id": plan.id,
        "standing": match plan.state {
            PlanState::Open => "open",
            PlanState::Cancelled => "cancelled",
            PlanState::Closed => "over",
        },
        "at_most": plan.limits.at_most, "in_service": f64::from(plan.limits.in_service_permille) / 1e3,
        "window_s": plan.window.0 as f64 / 1e6, "until": plan.until.0 as f64 / 1e6,
        "waiting": waiting.collect::<Vec<_>>(), "out": out.iter().map(|lease| &lease.name).collect::<Vec<_>>(),
        "back": with_status(MemberStatus::Returned), "written_off": with_status(MemberStatus::WrittenOff),
    })
}

#[cfg(test)]
mod tests;
