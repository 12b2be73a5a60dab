//! The command line. Without a verb the program runs, as the platform starts it.

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

/// What a command comes to, as the exit code that scripts go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done = 0,
    /// The configuration has problems, or the process cannot start or go on.
    Problems = 1,
    /// Another version is in force, one is on trial, or it cannot be prepared.
    Conflict = 3,
    /// Nobody answers at the address.
    Unreachable = 4,
    /// The token does not allow it.
    Forbidden = 5,
    /// Not now: it is stopping, or too many changes wait.
    NotNow = 6,
}

const AFTER: &str = "Exit codes: 0 done; 1 the configuration has problems, or the start failed; 2 the command line is \
wrong; 3 another version is in force, one is on trial, or the change cannot be prepared; 4 nobody answers; 5 the token \
does not allow it; 6 not now, come again.";

/// Takes messages on for outside partners and gives each exactly one end.
#[derive(Parser)]
#[command(version, after_help = AFTER, args_conflicts_with_subcommands = true)]
struct Cli {
    /// The operators' file; the same as `run FILE`
    file: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Run the forwarder (PROXY_CONFIG names the platform's file, PROXY_STATE the folder that lasts)
    Run {
        /// The operators' file, YAML
        file: Option<PathBuf>,
        /// Let the file count even where a version is kept: by default, a start runs the last version in force
        #[arg(long)]
        from_file: bool,
    },
    /// Check an operators' file, telling every problem
    Check {
        /// The file
        file: PathBuf,
        /// The platform's file that it is laid over; without one, only the file itself is checked
        #[arg(long, env = "PROXY_CONFIG")]
        platform: Option<PathBuf>,
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Print the JSON Schema of the operators' file
    Schema,
    /// Experiments on the project's own emulator of a fleet (simulated time and network), one JSON object each
    Lab {
        #[command(subcommand)]
        experiment: lab::Experiment,
    },
    /// Take forwarders out for work, in an order that they settle among themselves
    Maintenance {
        #[command(flatten)]
        at: maintenance::At,
        #[command(subcommand)]
        deed: maintenance::Deed,
    },
    /// Look at or change the configuration of a running process
    Config {
        #[command(flatten)]
        at: At,
        #[command(subcommand)]
        deed: Deed,
    },
}

#[derive(Args)]
struct At {
    /// Where the administration API listens
    #[arg(long, global = true, env = "CEDARWHARF_ADMIN", default_value = "127.0.0.1:8081")]
    admin: String,
    /// The file that holds the bearer token; else CEDARWHARF_TOKEN holds it
    #[arg(long, global = true)]
    token_file: Option<PathBuf>,
    #[arg(long, global = true, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people
    Text,
    /// For scripts
    Json,
}

#[derive(Args)]
struct Trying {
    /// Go back by itself unless confirmed within this time (as 30s, 5m)
    #[arg(long, value_parser = duration, conflicts_with = "probation")]
    confirm_within: Option<f64>,
    /// Go back by itself if, within this time, the service goes out of the bounds
    #[arg(long, value_parser = duration)]
    probation: Option<f64>,
    /// Bound: share of offers that may be turned down, 0 to 1
    #[arg(long)]
    turn_downs: Option<f64>,
    /// Bound: milliseconds that a turn may take
    #[arg(long)]
    turn_ms: Option<f64>,
}

#[derive(Subcommand)]
enum Deed {
    /// What is in force
    Show,
    /// What a file, or the candidate, would change
    Diff { file: Option<PathBuf> },
    /// Keep a file as the candidate
    Stage { file: PathBuf },
    /// Put a file, or the candidate, in force
    Apply {
        file: Option<PathBuf>,
        /// The version that it was made from; by default the one in force as the command starts
        #[arg(long)]
        from: Option<u64>,
        /// What for, for the history
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        trying: Trying,
    },
    /// Keep the version that is on trial
    Confirm,
    /// Go back to a version; by default the one before
    Undo {
        to: Option<u64>,
        /// What for, for the history
        #[arg(long, default_value = "")]
        why: String,
    },
    /// The versions that are kept
    History,
}

/// Seconds, from `30s`, `5m`, `1.5h` or a plain number.
fn duration(text: &str) -> Result<f64, String> {
    let number = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = &text[number.len()..];
    let factor = match unit {
        "ms" => 0.001,
        "" | "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err("write a number and ms, s, m or h".to_owned()),
    };
    let number: f64 = number.parse().map_err(|_| "write a number and ms, s, m or h".to_owned())?;
    if number > 0.0 && number.is_finite() {
        Ok(number * factor)
    } else {
        Err("write more than nothing".to_owned())
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
        Some(Verb::Config { at, deed }) => remote::carry_out(&at, deed),
        Some(Verb::Maintenance { at, deed }) => maintenance::carry_out(&at, deed),
        Some(Verb::Lab { experiment }) => lab::carry_out(experiment),
    };
    ExitCode::from(exit as u8)
}

fn run(options: Options) -> Exit {
    // Before anything else: a signal that is not handled yet would end the process.
    let signals = Signals::take();
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
                Ok(platform) => desk::check(&platform.base, &text, &DiskFiles).map(|_| ()),
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
            let told = serde_json::json!({"problems": problems.list(), "more": problems.omitted()});
            println!("{told}");
        }
        Output::Text if problems.is_empty() => println!("{}: good", file.display()),
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
