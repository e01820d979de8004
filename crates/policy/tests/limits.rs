//! The settings file `deploy/balancer.toml` lists each source file of the policy, and each source
//! file stays short enough to be read as a whole.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 450;
const MAX_COLUMNS: usize = 100;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the files listed under `policy` in `deploy/balancer.toml`, relative to the workspace
/// root.
fn listed_files() -> BTreeSet<String> {
    let text = fs::read_to_string(workspace_root().join("deploy/balancer.toml"))
        .expect("the settings file is readable");
    let list = text
        .lines()
        .find_map(|line| line.strip_prefix("policy = ["))
        .and_then(|file_list| file_list.strip_suffix(']'))
        .expect("the settings file has a line that lists the policy's files");
    list.split(',')
        .map(|name| name.trim().trim_matches('"').to_owned())
        .collect()
}

/// Returns all files in a directory and its subdirectories, relative to the workspace root.
fn files_under(directory: &str) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    for entry in fs::read_dir(workspace_root().join(directory)).expect("the directory is readable")
    {
        let entry = entry.expect("the directory entry is readable");
        let name = entry
            .file_name()
            .into_string()
            .expect("the file name is valid UTF-8");
        let path = format!("{directory}/{name}");
        if entry
            .file_type()
            .expect("the file type is readable")
            .is_dir()
        {
            files.extend(files_under(&path));
        } else {
            files.insert(path);
        }
    }
    files
}

#[test]
fn settings_file_lists_exactly_the_source_files_of_the_policy() {
    assert_eq!(listed_files(), files_under("crates/policy/src"));
}

#[test]
fn source_files_of_the_policy_are_within_the_limits_of_lines_and_columns() {
    for file in files_under("crates/policy/src") {
        let text =
            fs::read_to_string(workspace_root().join(&file)).expect("the source file is readable");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file} has {lines} lines, at most {MAX_LINES} allowed"
        );
        for (i, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}:{} has {columns} columns, at most {MAX_COLUMNS} allowed",
                i + 1
            );
        }
    }
}

#[test]
fn first_three_lines_of_the_balancer_name_the_interface_file() {
    let text = include_str!("../src/balancer.rs");
    let head: Vec<&str> = text.lines().take(3).collect();
    assert!(head.join(" ").contains("src/api.rs"));
}
