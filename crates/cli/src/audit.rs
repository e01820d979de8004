//! `slatelink audit`: verifies an audit trail.

use crate::exit::{success_if, CommandResult, EXIT_UNUSABLE};
use clap::Subcommand;
use slatelink_telemetry::audit::{self, Verification};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Print `ok <count>`, or the number of the first broken or torn line and exit with 1
    Verify {
        /// The audit trail
        file: PathBuf,
    },
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> CommandResult {
        match self {
            Self::Verify { file } => verify(&file),
        }
    }
}

fn verify(path: &Path) -> CommandResult {
    let verification = File::open(path).and_then(|file| audit::verify(BufReader::new(file)));
    match verification {
        Ok(verification) => {
            writeln!(io::stdout(), "{verification}")?;
            Ok(success_if(matches!(
                verification,
                Verification::Intact { .. }
            )))
        }
        // A broken trail has a different exit code.
        Err(error) => {
            eprintln!("slatelink: cannot read {}: {error}", path.display());
            Ok(ExitCode::from(EXIT_UNUSABLE))
        }
    }
}
