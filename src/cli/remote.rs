//! `cedarwharf config ...`: calls the administration API of a running process.

use super::{Command, Connection, Exit, Output, TrialOptions};
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Client of the administration API of one process.
struct AdminClient<'a> {
    connection: &'a Connection,
    agent: ureq::Agent,
    token: String,
}

/// Status and JSON body of an answer.
type ApiResult = Result<(u16, Value), Exit>;

/// Carries out one command and prints its result.
pub fn run(connection: &Connection, command: Command) -> Exit {
    let token = match &connection.token_file {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|problem| format!("{}: {problem}", path.display()))
        }
        None => std::env::var("CEDARWHARF_TOKEN")
            .map_err(|_| "no token: give --token-file or set CEDARWHARF_TOKEN".to_owned()),
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
    let client = AdminClient { connection, agent: config.into(), token };
    client.execute(command).unwrap_or_else(|exit| exit)
}

fn fail(exit: Exit, problem: &str) -> Exit {
    eprintln!("cedarwharf: {problem}");
    exit
}

fn read(path: &Path) -> Result<String, Exit> {
    std::fs::read_to_string(path)
        .map_err(|problem| fail(Exit::Problems, &format!("{}: {problem}", path.display())))
}

impl AdminClient<'_> {
    fn execute(&self, command: Command) -> Result<Exit, Exit> {
        // An empty document stands for the staged candidate.
        let read_document = |path: Option<&Path>| path.map(read).transpose().map(Option::unwrap_or_default);
        let (status, body) = match &command {
            Command::Show => self.get("")?,
            Command::History => self.get("/versions")?,
            Command::Diff { file } => self.post("/diff", None, &read_document(file.as_deref())?)?,
            Command::Stage { file } => self.post("/stage", None, &read(file)?)?,
            Command::Confirm => self.post("/confirm", None, "")?,
            Command::Undo { to, why } => {
                let to = to.map(|to| format!("&to={to}")).unwrap_or_default();
                self.post(&format!("/undo?why={}{to}", percent_encode(why)), None, "")?
            }
            Command::Apply { file, from, why, trial } => {
                let document = read_document(file.as_deref())?;
                let from = match from {
                    Some(from) => *from,
                    None => self.get("")?.1["number"].as_u64().unwrap_or_default(),
                };
                let path = format!("/apply?why={}{}", percent_encode(why), trial_query(trial));
                self.post(&path, Some(from), &document)?
            }
        };
        Ok(self.print(&command, status, &body))
    }

    fn get(&self, path: &str) -> ApiResult {
        let url = format!("http://{}/v1/config{path}", self.connection.admin);
        let request = self.agent.get(url).header("Authorization", format!("Bearer {}", self.token));
        self.read_answer(request.call())
    }

    fn post(&self, path: &str, from: Option<u64>, body: &str) -> ApiResult {
        let url = format!("http://{}/v1/config{path}", self.connection.admin);
        let mut request = self.agent.post(url).header("Authorization", format!("Bearer {}", self.token));
        if let Some(from) = from {
            request = request.header("If-Match", format!("\"{from}\""));
        }
        self.read_answer(request.send(body))
    }

    fn read_answer(&self, answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> ApiResult {
        let unreachable = |problem: ureq::Error| {
            fail(Exit::Unreachable, &format!("no answer from {}: {problem}", self.connection.admin))
        };
        let mut answer = answer.map_err(unreachable)?;
        let text = answer.body_mut().read_to_string().map_err(unreachable)?;
        Ok((answer.status().as_u16(), serde_json::from_str(&text).unwrap_or(Value::Null)))
    }

    fn print(&self, command: &Command, status: u16, body: &Value) -> Exit {
        let exit = match status {
            200..300 => Exit::Done,
            401 | 403 => Exit::Forbidden,
            404 | 409 | 412 | 428 => Exit::Conflict,
            503 => Exit::NotNow,
            _ => Exit::Problems,
        };
        if self.connection.output == Output::Json {
            println!("{body}");
        } else if exit == Exit::Done {
            print!("{}", text_output(command, body));
        } else {
            let problem = body["detail"].as_str().or(body["title"].as_str());
            eprintln!("cedarwharf: {}", problem.unwrap_or("the request was rejected"));
            eprintln!("status {status}; version {} is in force", body["version"]);
        }
        exit
    }
}

fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// The options that are set, as parameters of a query.
fn trial_query(trial: &TrialOptions) -> String {
    let pairs = [
        ("confirm_within_s", trial.confirm_within),
        ("probation_s", trial.probation),
        ("turn_downs", trial.turn_downs),
        ("turn_ms", trial.turn_ms),
    ];
    pairs.iter().filter_map(|(key, value)| value.map(|value| format!("&{key}={value}"))).collect()
}

/// The text of a JSON string, or any other value as JSON.
fn display_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// One line of text that describes a version.
fn version_line(version: &Value) -> String {
    let trial = if version["on_trial"] == true { ", on trial" } else { "" };
    let why = display_value(&version["why"]);
    format!(
        "{} {} by {}{trial}: {why}\n",
        version["number"],
        display_value(&version["digest"]),
        display_value(&version["who"])
    )
}

fn text_output(command: &Command, body: &Value) -> String {
    let differences = |body: &Value| -> String {
        let list = body["differences"].as_array().cloned().unwrap_or_default();
        if list.is_empty() {
            return "no differences\n".to_owned();
        }
        let line = |difference: &Value| {
            let side = |key: &str| {
                if difference[key].is_null() {
                    "(none)".to_owned()
                } else {
                    display_value(&difference[key])
                }
            };
            format!("{}: {} -> {}\n", display_value(&difference["path"]), side("from"), side("to"))
        };
        list.iter().map(line).collect()
    };
    match command {
        Command::Diff { .. } => differences(body),
        Command::History => body.as_array().into_iter().flatten().map(version_line).collect(),
        Command::Show => {
            let values = body["values"].as_object().cloned().unwrap_or_default();
            let values: String =
                values.iter().map(|(path, value)| format!("{path}: {}\n", display_value(value))).collect();
            version_line(body) + &values
        }
        Command::Apply { .. } => format!("in force: {}{}", version_line(body), differences(body)),
        Command::Stage { .. } => format!("staged; in force: {}", version_line(body)),
        _ => format!("in force: {}", version_line(body)),
    }
}
