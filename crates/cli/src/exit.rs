//! Exit codes of the commands, and the error message for unusable input.

use std::error::Error;
use std::fmt::Display;
use std::process::ExitCode;

/// A rule was broken, or the run was stopped or failed.
pub const EXIT_FAILURE: u8 = 1;
/// The input cannot be used: a file cannot be read, or arguments contradict each other.
pub const EXIT_UNUSABLE: u8 = 2;

/// Result of a command: an exit code, or an error that `main` prints before exiting with 1.
pub type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Prints the reason why a command cannot run and returns [`EXIT_UNUSABLE`].
pub fn unusable(error: impl Display) -> CommandResult {
    eprintln!("slatelink: {error}");
    Ok(ExitCode::from(EXIT_UNUSABLE))
}

/// Returns success if a check has passed, else [`EXIT_FAILURE`].
pub fn success_if(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}
