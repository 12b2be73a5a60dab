//! Changes of a forwarder's configuration over the administration API, as an operator makes them.

use super::load::ask;
use super::Stage;
use serde_json::Value;

/// The section of an operators' file that opens the administration API.
pub const ADMIN_SECTION: &str = "admin: {listen: ADMIN, tokens: [{token: all, name: ana}]}\n";

/// The configuration in force.
pub fn show(stage: &Stage) -> Value {
    let (status, body) = ask(stage.admin, "GET", "/v1/config", "", "").unwrap();
    assert_eq!(status, 200, "{body}\n{}", stage.log());
    serde_json::from_str(&body).unwrap_or_else(|problem| panic!("{problem}: {body}"))
}

/// The number of the version in force.
pub fn number(stage: &Stage) -> u64 {
    show(stage)["number"].as_u64().unwrap()
}

/// A value of the configuration in force.
pub fn value(stage: &Stage, path: &str) -> String {
    show(stage)["values"][path].as_str().unwrap_or("(none)").to_owned()
}

/// Posts a change that is made from the version in force; returns its status and body.
pub fn post(stage: &Stage, target: &str, file: &str) -> (u16, String) {
    let tag = format!("If-Match: \"{}\"\r\n", number(stage));
    let file = stage.fill_addresses(file);
    ask(stage.admin, "POST", target, &tag, &file).unwrap()
}

/// Puts a whole operators' file in force.
pub fn apply(stage: &Stage, file: &str) {
    let (status, body) = post(stage, "/v1/config/apply", file);
    assert_eq!(status, 200, "{body}");
}
