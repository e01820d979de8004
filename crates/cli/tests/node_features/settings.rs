//! Empty, missing and invalid feature files.

use crate::node_common::{config, write_temporary_file, CacheServer, Discovery, Node};
use crate::run_until_exit;

// Guards against a node that ignores unknown or invalid settings, or that starts without the
// feature file named on the command line.
#[test]
fn a_missing_or_invalid_feature_file_fails_the_start_with_one_line() {
    let invalid_settings = [
        "unknown = 1",
        "[nothing]",
        "[figures",
        "\u{0}",
        "[figures]\ntarget = \"file:\"",
        "[figures]\ntarget = \"udp\"",
        "[figures]\ntarget = \"udp:localhost\"",
        "[figures]\ntarget = \"stdout\"",
        "[figures]\nformat = \"json\"",
        "[figures]\nflush_ms = 0",
        "[figures]\nflush_ms = \"1s\"",
        "[figures]\nmax_batch_bytes = 10",
        "[figures]\ncolour = \"red\"",
        "[audit]\npath = 7",
        "[hotlist]\ncapacity = -1",
        "[hotlist]\nwindow_s = 0",
        "[audit]\npath = \"/no/such/folder/trail\"",
    ];
    let mut paths: Vec<_> = invalid_settings
        .iter()
        .map(|text| write_temporary_file(text))
        .collect();
    paths.push("no/such/file.toml".into());
    // The platform configuration is valid, so only the feature file can cause the failure.
    let platform_path = write_temporary_file(&config("127.0.0.1:1".parse().unwrap()).to_string());
    for path in paths {
        let output = run_until_exit(&platform_path, &path);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("slatelink: "), "{error}");
        assert!(
            error.contains(path.to_str().unwrap()) || error.contains("/no/such/"),
            "{error}"
        );
    }
}

// Guards against a feature file without sections that changes the node's behaviour.
#[test]
fn a_node_with_an_empty_feature_file_serves_and_stops_as_without_one() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "# nothing is on\n");
    assert_eq!(node.read("read", 1).body, b"value");
    node.terminate();
    assert!(node.wait_for_exit().success());
}
