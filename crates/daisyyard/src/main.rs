//! Entry point of the `daisyyard` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    daisyyard::command::run(&arguments)
}
