//! `slatelink lab list`: the scenarios of a folder.

use super::play::scenario_name;
use crate::exit::{unusable, CommandResult, UNUSABLE};
use slatelink_lab::scenario::Scenario;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// Prints a line for each scenario of a folder, in the order of their names.
pub fn list(folder: &Path) -> CommandResult {
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) => return unusable(format!("cannot read {}: {error}", folder.display())),
    };
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    files.sort();
    let mut readable = true;
    let mut out = io::stdout().lock();
    for file in files {
        match Scenario::load(&file) {
            Ok(it) => {
                let Scenario {
                    about,
                    fleet,
                    load,
                    seconds,
                    ..
                } = it;
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
                readable = false;
                eprintln!("slatelink: {error}");
            }
        }
    }
    Ok(if readable {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(UNUSABLE)
    })
}
