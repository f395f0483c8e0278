//! The `daisyyard` command.

use std::process::ExitCode;

/// Allocator of the process; it holds memory better than the default under many threads.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    daisyyard::command::run(&arguments)
}
