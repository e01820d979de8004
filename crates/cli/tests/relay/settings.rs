//! Settings of a relay from a file and from arguments.

use crate::node_common::{command, write_temporary_file};
use crate::relay_process::RelayProcess;
use crate::versioned_discovery::{two_ready_entries, Fault, VersionedDiscovery};

// Guards against a settings file that is ignored, and against unknown settings that are accepted
// silently.
#[test]
fn settings_are_read_from_a_file_and_an_unknown_setting_fails_the_start() {
    let (unavailable_discovery, discovery) = (
        VersionedDiscovery::start(Fault::Down, &two_ready_entries()),
        VersionedDiscovery::start(Fault::None, &two_ready_entries()),
    );
    let upstream =
        [unavailable_discovery.address, discovery.address].map(|address| address.to_string());
    let write_settings = |last_line: &str| {
        write_temporary_file(&format!(
            "upstream = {upstream:?}\nlisten = \"127.0.0.1:0\"\ncallers = 7\n{last_line}"
        ))
    };
    let (valid_file, misspelt_file) = (
        write_settings("lease_ms = 700"),
        write_settings("leese_ms = 700"),
    );
    let relay = RelayProcess::spawn(command().args(["relay", "--config"]).arg(&valid_file));
    relay.wait_until_healthy();
    assert_eq!(relay.status()["most_open"], 7);
    assert!(relay.status()["lease_left_ms"].as_u64() <= Some(700));
    let output = command()
        .args(["relay", "--config"])
        .arg(&misspelt_file)
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("line 4: unknown field `leese_ms`"),
        "{stderr}"
    );
    [valid_file, misspelt_file]
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

// Guards against a relay that starts with missing or out-of-range arguments, or with an unreadable
// settings file.
#[test]
fn invalid_arguments_fail_the_start_with_the_reason() {
    let required_arguments = ["--upstream", "127.0.0.1:1", "--listen", "127.0.0.1:0"];
    let with_argument = |argument: &'static str, value: &'static str| {
        [&required_arguments[..], &[argument, value]].concat()
    };
    for (arguments, reason) in [
        (vec!["--listen", "127.0.0.1:0"], "--upstream"),
        (with_argument("--lease-ms", "9"), "lease_ms is 9"),
        (with_argument("--callers", "0"), "callers is 0"),
        (
            with_argument("--callers", "999999"),
            "file descriptors is too low for 999999 client connections",
        ),
        (
            vec!["--config", "/nowhere/relay.toml"],
            "cannot read /nowhere/relay.toml",
        ),
    ] {
        let output = command().arg("relay").args(&arguments).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && stderr.contains(reason),
            "{arguments:?}: {stderr}"
        );
    }
}
