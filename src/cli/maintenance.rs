//! `cedarwharf maintenance ...`: requests, shows and cancels maintenance plans over the operators' listener
//! of any forwarder.

use super::{duration, Exit, Output};
use cedarwharf::maintenance::request::{Request, Set};
use clap::{Args, Subcommand};
use serde_json::Value;
use std::time::Duration;

/// How to reach a forwarder, and how to print its answer.
#[derive(Args)]
pub struct Connection {
    /// Address of a forwarder's operators' listener (its admin_addr)
    #[arg(long, global = true, env = "CEDARWHARF_OPS", default_value = "127.0.0.1:8082")]
    ops: String,
    /// Format of the output
    #[arg(long, global = true, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Subcommand)]
pub enum Command {
    /// Request a maintenance plan: a set of forwarders goes out of service, one after another
    Request(RequestArgs),
    /// Show the maintenance plans and which forwarders are out of service
    Status,
    /// Cancel a maintenance plan: no further forwarder goes out, and those that are out return at once
    Cancel {
        /// Name of the plan
        id: String,
    },
}

#[derive(Args)]
pub struct RequestArgs {
    /// `all` for every live forwarder, or names separated by commas
    #[arg(long)]
    set: String,
    /// Most forwarders that are out of service at once
    #[arg(long, default_value_t = 1)]
    at_most: u32,
    /// Share of the fleet that must stay in service, 0 to 1
    #[arg(long)]
    in_service: Option<f64>,
    /// Longest time that each forwarder is out of service (such as 10m)
    #[arg(long, value_parser = duration)]
    window: f64,
    /// Time from now after which no forwarder goes out (such as 8h); by default one day
    #[arg(long, value_parser = duration)]
    deadline: Option<f64>,
    /// Name of the plan; without it, identical requests are the same plan
    #[arg(long)]
    id: Option<String>,
}

/// Carries out one command and prints its result.
pub fn run(connection: &Connection, command: Command) -> Exit {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(10)))
        .build();
    let agent: ureq::Agent = config.into();
    let url = |path: &str| format!("http://{}/ops/maintenance{path}", connection.ops);
    let answer = match &command {
        Command::Status => agent.get(url("")).call(),
        Command::Cancel { id } => agent.delete(url(&format!("/{id}"))).call(),
        Command::Request(args) => agent.put(url("")).send(request_body(args)),
    };
    let answer =
        answer.and_then(|mut answer| Ok((answer.status().as_u16(), answer.body_mut().read_to_string()?)));
    let (status, text) = match answer {
        Ok(answer) => answer,
        Err(problem) => {
            eprintln!("cedarwharf: no answer from {}: {problem}", connection.ops);
            return Exit::Unreachable;
        }
    };
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let exit = match status {
        200..300 => Exit::Done,
        404 | 409 => Exit::Conflict,
        503 => Exit::NotNow,
        _ => Exit::Problems,
    };
    if connection.output == Output::Json {
        println!("{body}");
    } else if exit != Exit::Done {
        let problems = body["problems"].as_array().into_iter().flatten().filter_map(Value::as_str);
        let problems: Vec<&str> = problems.chain(body["status"].as_str()).collect();
        problems.iter().for_each(|problem| eprintln!("cedarwharf: {problem}"));
        if problems.is_empty() || status == 404 && body["problems"].is_null() {
            eprintln!(
                "cedarwharf: status {status}: is `membership.voters` set in the operators' file of {}?",
                connection.ops
            );
        }
    } else {
        match command {
            Command::Status => print!("{}", status_text(&body)),
            Command::Request(_) | Command::Cancel { .. } => print!("{}", plan_text(&body)),
        }
    }
    exit
}

/// The JSON body of a request for a maintenance plan.
fn request_body(args: &RequestArgs) -> String {
    let set = match &args.set[..] {
        "all" => Set::Word("all".to_owned()),
        names => Set::Names(names.split(',').map(|name| name.trim().to_owned()).collect()),
    };
    let request = Request {
        id: args.id.clone(),
        set,
        at_most: args.at_most,
        in_service: args.in_service,
        window_s: args.window,
        deadline_s: args.deadline,
        until: None,
    };
    serde_json::to_string(&request).expect("a request is plain data")
}

fn names(list: &Value) -> String {
    let names: Vec<&str> = list.as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(" ")
    }
}

fn plan_text(plan: &Value) -> String {
    let word = |key: &str| plan[key].as_str().unwrap_or("?").to_owned();
    format!(
        "{} {}: at most {} out, {} s each\n  waiting: {}\n  out: {}\n  back: {}\n  written off: {}\n",
        word("id"),
        word("standing"),
        plan["at_most"],
        plan["window_s"],
        names(&plan["waiting"]),
        names(&plan["out"]),
        names(&plan["back"]),
        names(&plan["written_off"]),
    )
}

fn status_text(body: &Value) -> String {
    let plans = body["rounds"].as_array().cloned().unwrap_or_default();
    let received = body["heard_s"].as_f64().map_or("never".to_owned(), |ago| format!("{ago} s ago"));
    let ledger = format!(
        "ledger {}, last received: {received}; voters: {}\n",
        body["version"],
        names(&body["voters"])
    );
    let own_lease = match body["mine"]["stage"].as_str() {
        Some(stage) => format!(
            "this forwarder is {stage}, lease {}, {} s left\n",
            body["mine"]["fence"], body["mine"]["left_s"]
        ),
        None => String::new(),
    };
    let plans: String = plans.iter().map(plan_text).collect();
    ledger + &own_lease + if plans.is_empty() { "no maintenance plans\n" } else { &plans }
}

#[cfg(test)]
mod tests;
