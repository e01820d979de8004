//! `slatelink lab list`: lists the scenarios in a folder.

use super::scenario_run::scenario_name;
use crate::exit::{unusable, CommandResult, EXIT_UNUSABLE};
use slatelink_lab::scenario::Scenario;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// Prints one line per scenario in a folder, in the order of the file names.
pub fn list(folder: &Path) -> CommandResult {
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) => return unusable(format!("cannot read {}: {error}", folder.display())),
    };
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|path| path.extension().is_some_and(|suffix| suffix == "toml"));
    files.sort();
    let mut all_valid = true;
    let mut out = io::stdout().lock();
    for file in files {
        match Scenario::load(&file) {
            Ok(scenario) => {
                let Scenario {
                    about,
                    fleet,
                    load,
                    seconds,
                    ..
                } = scenario;
                writeln!(
                    out,
                    "{:<22} {:>3.0} s, {} nodes, {} servers, {:.0} requests/s: {about}",
                    scenario_name(&file),
                    seconds.get(),
                    fleet.nodes,
                    fleet.servers,
                    load.rate.get()
                )?;
            }
            Err(error) => {
                all_valid = false;
                eprintln!("slatelink: {error}");
            }
        }
    }
    Ok(if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_UNUSABLE)
    })
}
