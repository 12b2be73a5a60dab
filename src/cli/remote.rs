//! `config`: speaks to a running process over its administration API.

use super::{At, Deed, Exit, Output, Trying};
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

struct Remote<'a> {
    at: &'a At,
    agent: ureq::Agent,
    token: String,
}

/// Status and body.
type Told = Result<(u16, Value), Exit>;

pub fn carry_out(at: &At, deed: Deed) -> Exit {
    let token = match &at.token_file {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|problem| format!("{}: {problem}", path.display()))
        }
        None => std::env::var("CEDARWHARF_TOKEN").map_err(|_| "no token: name --token-file".to_owned()),
    };
    let token = match token {
        Ok(token) => token.trim_end().to_owned(),
        Err(problem) => return fail(Exit::Forbidden, &problem),
    };
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(30)))
        .build();
    let remote = Remote { at, agent: config.into(), token };
    remote.deed(deed).unwrap_or_else(|exit| exit)
}

fn fail(exit: Exit, problem: &str) -> Exit {
    eprintln!("cedarwharf: {problem}");
    exit
}

fn read(path: &Path) -> Result<String, Exit> {
    std::fs::read_to_string(path)
        .map_err(|problem| fail(Exit::Problems, &format!("{}: {problem}", path.display())))
}

impl Remote<'_> {
    fn deed(&self, deed: Deed) -> Result<Exit, Exit> {
        let file = |path: Option<&Path>| path.map(read).transpose().map(Option::unwrap_or_default);
        let (status, told) = match &deed {
            Deed::Show => self.get("")?,
            Deed::History => self.get("/versions")?,
            Deed::Diff { file: path } => self.post("/diff", None, &file(path.as_deref())?)?,
            Deed::Stage { file } => self.post("/stage", None, &read(file)?)?,
            Deed::Confirm => self.post("/confirm", None, "")?,
            Deed::Undo { to, why } => {
                let to = to.map(|to| format!("&to={to}")).unwrap_or_default();
                self.post(&format!("/undo?why={}{to}", quoted(why)), None, "")?
            }
            Deed::Apply { file: path, from, why, trying } => {
                let document = file(path.as_deref())?;
                let from = match from {
                    Some(from) => *from,
                    None => self.get("")?.1["number"].as_u64().unwrap_or_default(),
                };
                self.post(&format!("/apply?why={}{}", quoted(why), query(trying)), Some(from), &document)?
            }
        };
        Ok(self.print(&deed, status, &told))
    }

    fn get(&self, path: &str) -> Told {
        let url = format!("http://{}/v1/config{path}", self.at.admin);
        let request = self.agent.get(url).header("Authorization", format!("Bearer {}", self.token));
        self.heard(request.call())
    }

    fn post(&self, path: &str, from: Option<u64>, body: &str) -> Told {
        let url = format!("http://{}/v1/config{path}", self.at.admin);
        let mut request = self.agent.post(url).header("Authorization", format!("Bearer {}", self.token));
        if let Some(from) = from {
            request = request.header("If-Match", format!("\"{from}\""));
        }
        self.heard(request.send(body))
    }

    fn heard(&self, answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Told {
        let unreachable = |problem: ureq::Error| {
            fail(Exit::Unreachable, &format!("no answer from {}: {problem}", self.at.admin))
        };
        let mut answer = answer.map_err(unreachable)?;
        let text = answer.body_mut().read_to_string().map_err(unreachable)?;
        Ok((answer.status().as_u16(), serde_json::from_str(&text).unwrap_or(Value::Null)))
    }

    fn print(&self, deed: &Deed, status: u16, told: &Value) -> Exit {
        let exit = match status {
            200..300 => Exit::Done,
            401 | 403 => Exit::Forbidden,
            404 | 409 | 412 | 428 => Exit::Conflict,
            503 => Exit::NotNow,
            _ => Exit::Problems,
        };
        if self.at.output == Output::Json {
            println!("{told}");
        } else if exit == Exit::Done {
            print!("{}", text(deed, told));
        } else {
            let what = told["detail"].as_str().or(told["title"].as_str());
            eprintln!("cedarwharf: {}", what.unwrap_or("refused"));
            eprintln!("status {status}; version {} is in force", told["version"]);
        }
        exit
    }
}

fn quoted(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}

fn query(trying: &Trying) -> String {
    let pairs = [
        ("confirm_within_s", trying.confirm_within),
        ("probation_s", trying.probation),
        ("turn_downs", trying.turn_downs),
        ("turn_ms", trying.turn_ms),
    ];
    pairs.iter().filter_map(|(key, value)| value.map(|value| format!("&{key}={value}"))).collect()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn line(version: &Value) -> String {
    let trial = if version["on_trial"] == true { ", on trial" } else { "" };
    let why = plain(&version["why"]);
    format!(
        "{} {} by {}{trial}: {why}\n",
        version["number"],
        plain(&version["digest"]),
        plain(&version["who"])
    )
}

fn text(deed: &Deed, told: &Value) -> String {
    let differences = |told: &Value| -> String {
        let list = told["differences"].as_array().cloned().unwrap_or_default();
        if list.is_empty() {
            return "nothing differs\n".to_owned();
        }
        let line = |one: &Value| {
            let side = |key: &str| if one[key].is_null() { "(none)".to_owned() } else { plain(&one[key]) };
            format!("{}: {} -> {}\n", plain(&one["path"]), side("from"), side("to"))
        };
        list.iter().map(line).collect()
    };
    match deed {
        Deed::Diff { .. } => differences(told),
        Deed::History => told.as_array().into_iter().flatten().map(line).collect(),
        Deed::Show => {
            let values = told["values"].as_object().cloned().unwrap_or_default();
            let values: String =
                values.iter().map(|(path, value)| format!("{path}: {}\n", plain(value))).collect();
            line(told) + &values
        }
        Deed::Apply { .. } => format!("in force: {}{}", line(told), differences(told)),
        Deed::Stage { .. } => format!("staged; in force: {}", line(told)),
        _ => format!("in force: {}", line(told)),
    }
}
