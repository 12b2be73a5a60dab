//! The program: its command line, see `cli`.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
