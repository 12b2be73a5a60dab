//! The simulator's adapter: reads batches of events in the simulator's binary protocol from standard input, and
//! writes the actions of one [`cedarwharf::Dispatcher`] per instance to standard output.

mod link;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match link::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("cedarwharf-wirehost: {problem}");
            ExitCode::FAILURE
        }
    }
}
