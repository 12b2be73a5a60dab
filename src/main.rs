//! The entry point of the program; `cli` has its command line.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
