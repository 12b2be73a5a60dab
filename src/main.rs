//! The real forwarder: reads its configuration and runs the loop until it is told to stop.

use cedarwharf::net::{config, node, signals::Signals};
use std::process::ExitCode;

fn main() -> ExitCode {
    let signals = Signals::take().map_err(|problem| format!("signals: {problem}"));
    match signals.and_then(|signals| node::run(config::load()?, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("cedarwharf: {problem}");
            ExitCode::FAILURE
        }
    }
}
