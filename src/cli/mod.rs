//! The command line. Without a verb the forwarder runs: the platform starts the program that way.

mod lab;
mod maintenance;
mod remote;

use cedarwharf::config::desk;
use cedarwharf::config::document::{parse, schema};
use cedarwharf::config::problem::Problems;
use cedarwharf::config::secret::DiskFiles;
use cedarwharf::net::node::Options;
use cedarwharf::net::signals::Signals;
use cedarwharf::net::{config, log, node};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a command, as the exit code that scripts check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done = 0,
    /// The configuration has problems, or the process cannot start or keep running.
    Problems = 1,
    /// Another version is in force, a version is on trial, or the change cannot be prepared.
    Conflict = 3,
    /// No answer from the address.
    Unreachable = 4,
    /// The token does not permit the command.
    Forbidden = 5,
    /// The process is stopping, or too many changes are queued; the command may be retried.
    NotNow = 6,
}

const EXIT_CODES_HELP: &str = "Exit codes: 0 success; 1 the configuration has problems, or the start failed; 2 invalid \
command line; 3 another version is in force, a version is on trial, or the change cannot be prepared; 4 no answer; 5 the \
token does not permit the command; 6 temporarily unavailable, retry later.";

/// Forwards messages to outside destinations and reports exactly one final outcome for each
#[derive(Parser)]
#[command(version, after_help = EXIT_CODES_HELP, args_conflicts_with_subcommands = true)]
struct Cli {
    /// The operators' file (YAML); the same as `run FILE`
    file: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Run the forwarder (PROXY_CONFIG names the platform's file, PROXY_STATE the state folder)
    Run {
        /// The operators' file (YAML)
        file: Option<PathBuf>,
        /// Use the file even if a version is stored; by default, a start uses the last version in force
        #[arg(long)]
        from_file: bool,
    },
    /// Check an operators' file and report every problem
    Check {
        /// The operators' file (YAML)
        file: PathBuf,
        /// The platform's file, which FILE overrides; without it, only FILE itself is checked
        #[arg(long, env = "PROXY_CONFIG")]
        platform: Option<PathBuf>,
        /// Format of the output
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Print the JSON Schema of the operators' file
    Schema,
    /// Run an experiment on an emulated fleet (simulated time and network); prints one JSON object
    Lab {
        #[command(subcommand)]
        experiment: lab::Experiment,
    },
    /// Take forwarders out of service for maintenance, in an order that the forwarders agree on
    Maintenance {
        #[command(flatten)]
        connection: maintenance::Connection,
        #[command(subcommand)]
        command: maintenance::Command,
    },
    /// Show or change the configuration of a running process
    Config {
        #[command(flatten)]
        connection: Connection,
        #[command(subcommand)]
        command: Command,
    },
}

/// How to reach the administration API, and how to print its answer.
#[derive(Args)]
struct Connection {
    /// Address of the administration API
    #[arg(long, global = true, env = "CEDARWHARF_ADMIN", default_value = "127.0.0.1:8081")]
    admin: String,
    /// File with the bearer token; without it, the token is taken from CEDARWHARF_TOKEN
    #[arg(long, global = true)]
    token_file: Option<PathBuf>,
    /// Format of the output
    #[arg(long, global = true, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Plain text for people
    Text,
    /// JSON for scripts
    Json,
}

/// Conditions under which a version is rolled back by itself.
#[derive(Args)]
struct TrialOptions {
    /// Roll back automatically unless the version is confirmed within this time (such as 30s or 5m)
    #[arg(long, value_parser = duration, conflicts_with = "probation")]
    confirm_within: Option<f64>,
    /// Roll back automatically if the service exceeds a bound within this time
    #[arg(long, value_parser = duration)]
    probation: Option<f64>,
    /// Bound: largest share of submissions that may be rejected, 0 to 1
    #[arg(long)]
    turn_downs: Option<f64>,
    /// Bound: longest loop iteration in milliseconds
    #[arg(long)]
    turn_ms: Option<f64>,
}

#[derive(Subcommand)]
enum Command {
    /// Show the version in force and its values
    Show,
    /// Show what a file, or the staged candidate, would change
    Diff {
        /// The operators' file (YAML); by default the staged candidate
        file: Option<PathBuf>,
    },
    /// Store a file as the candidate
    Stage {
        /// The operators' file (YAML)
        file: PathBuf,
    },
    /// Put a file, or the staged candidate, in force
    Apply {
        /// The operators' file (YAML); by default the staged candidate
        file: Option<PathBuf>,
        /// Version that the file is based on; by default the one in force when the command starts
        #[arg(long)]
        from: Option<u64>,
        /// Reason for the change, kept in the history
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        trial: TrialOptions,
    },
    /// Keep the version that is on trial
    Confirm,
    /// Go back to an earlier version; by default the previous one
    Undo {
        /// Number of the version
        to: Option<u64>,
        /// Reason for the change, kept in the history
        #[arg(long, default_value = "")]
        why: String,
    },
    /// List the stored versions
    History,
}

/// Parses `30s`, `5m`, `1.5h` or a plain number into seconds.
fn duration(text: &str) -> Result<f64, String> {
    let number = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = &text[number.len()..];
    let factor = match unit {
        "ms" => 0.001,
        "" | "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err("expected a number and a unit (ms, s, m or h), such as 30s".to_owned()),
    };
    let number: f64 =
        number.parse().map_err(|_| "expected a number and a unit (ms, s, m or h), such as 30s".to_owned())?;
    if number > 0.0 && number.is_finite() {
        Ok(number * factor)
    } else {
        Err("the time must be above 0".to_owned())
    }
}

pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let exit = match cli.verb {
        None => run(Options { file: cli.file, ignore_stored_versions: false }),
        Some(Verb::Run { file, from_file }) => run(Options { file, ignore_stored_versions: from_file }),
        Some(Verb::Check { file, platform, output }) => check(&file, platform.as_deref(), output),
        Some(Verb::Schema) => {
            println!("{}", schema());
            Exit::Done
        }
        Some(Verb::Config { connection, command }) => remote::run(&connection, command),
        Some(Verb::Maintenance { connection, command }) => maintenance::run(&connection, command),
        Some(Verb::Lab { experiment }) => lab::run(experiment),
    };
    ExitCode::from(exit as u8)
}

fn run(options: Options) -> Exit {
    // The handlers come first: a signal without a handler would end the process.
    let signals = Signals::install();
    log::start();
    let signals = signals.map_err(|problem| format!("signals: {problem}"));
    match signals.and_then(|signals| node::run(config::load()?, options, signals)) {
        Ok(()) => Exit::Done,
        Err(problem) => {
            eprintln!("cedarwharf: {problem}");
            Exit::Problems
        }
    }
}

fn check(file: &Path, platform: Option<&Path>, output: Output) -> Exit {
    let text = match std::fs::read(file) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(problem) => {
            eprintln!("cedarwharf: {}: {problem}", file.display());
            return Exit::Problems;
        }
    };
    let checked: Result<(), Problems> = match platform {
        None => parse(text.as_bytes()).map(|_| ()),
        Some(path) => {
            let bytes = std::fs::read(path).map_err(|problem| problem.to_string());
            match bytes.and_then(|bytes| config::parse(bytes, PathBuf::new())) {
                Ok(platform) => desk::check(&platform.platform, &text, &DiskFiles).map(|_| ()),
                Err(problem) => {
                    eprintln!("cedarwharf: {}: {problem}", path.display());
                    return Exit::Problems;
                }
            }
        }
    };
    let problems = checked.err().unwrap_or_default();
    match output {
        Output::Json => {
            let report = serde_json::json!({"problems": problems.list(), "more": problems.omitted()});
            println!("{report}");
        }
        Output::Text if problems.is_empty() => println!("{}: no problems", file.display()),
        Output::Text => println!("{problems}"),
    }
    if problems.is_empty() {
        Exit::Done
    } else {
        Exit::Problems
    }
}

#[cfg(test)]
mod tests;
