//! Command line for operators.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

use galenawheel::cli;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    match runtime {
        Ok(runtime) => runtime.block_on(cli::run(std::env::args_os(), &mut out, &mut err)).into(),
        Err(_) => cli::ExitStatus::Failed.into(),
    }
}
