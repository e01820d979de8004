//! The decision module is named to the platform file by file, and each of its files can be read at one sitting.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 450;
const MAX_COLUMNS: usize = 100;

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files that `policy` in `deploy/balancer.toml` names, from the workspace's root.
fn named_files() -> BTreeSet<String> {
    let text =
        fs::read_to_string(workspace().join("deploy/balancer.toml")).expect("a settings file");
    let list = text
        .lines()
        .find_map(|line| line.strip_prefix("policy = ["))
        .and_then(|rest| rest.strip_suffix(']'))
        .expect("a line that lists the policy's files");
    list.split(',')
        .map(|name| name.trim().trim_matches('"').to_owned())
        .collect()
}

/// All files under a directory, from the workspace's root.
fn files_under(directory: &str) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    for entry in fs::read_dir(workspace().join(directory)).expect("a directory") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a name in UTF-8");
        let path = format!("{directory}/{name}");
        if entry.file_type().expect("a type").is_dir() {
            files.extend(files_under(&path));
        } else {
            files.insert(path);
        }
    }
    files
}

#[test]
fn the_platform_is_told_of_every_file_of_the_decision_module_and_of_no_other() {
    assert_eq!(named_files(), files_under("crates/policy/src"));
}

#[test]
fn no_file_of_the_decision_module_has_too_many_lines_or_columns() {
    for file in files_under("crates/policy/src") {
        let text = fs::read_to_string(workspace().join(&file)).expect("a source file");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file}: {lines} lines, {MAX_LINES} at most"
        );
        for (i, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}:{}: {columns} columns, {MAX_COLUMNS} at most",
                i + 1
            );
        }
    }
}

#[test]
fn the_first_lines_of_the_balancer_name_the_interface_file() {
    let text = include_str!("../src/balancer.rs");
    let head: Vec<&str> = text.lines().take(3).collect();
    assert!(head.join(" ").contains("src/api.rs"));
}
