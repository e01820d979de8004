//! Exit codes of the commands, and the line that an error of use is reported with.

use std::error::Error;
use std::fmt::Display;
use std::process::ExitCode;

/// What was run did not hold, was stopped, or failed.
pub const BROKEN: u8 = 1;
/// What was named cannot be run at all: a file that cannot be read, arguments that contradict each other.
pub const UNUSABLE: u8 = 2;

/// How a command ends: an exit code, or an error that `main` prints before it exits with 1.
pub type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Prints why a command cannot be run; the exit code for that.
pub fn unusable(error: impl Display) -> CommandResult {
    eprintln!("slatelink: {error}");
    Ok(ExitCode::from(UNUSABLE))
}

/// The exit code of a check: success where it holds, [`BROKEN`] where it does not.
pub fn success_if(holds: bool) -> ExitCode {
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    }
}
