//! `slatelink audit`: checks an audit trail.

use crate::exit::{success_if, CommandResult, UNUSABLE};
use clap::Subcommand;
use slatelink_telemetry::audit::{self, Verification};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Command {
    /// Print `ok <count>`, or the first line that is broken or torn, and then exit 1
    Verify {
        /// The trail
        file: PathBuf,
    },
}

impl Command {
    /// Runs it.
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
        // Another code than a broken trail has.
        Err(error) => {
            eprintln!("slatelink: cannot read {}: {error}", path.display());
            Ok(ExitCode::from(UNUSABLE))
        }
    }
}
