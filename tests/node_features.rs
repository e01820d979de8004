//! The features that the operators' file turns on, over the command line and loopback sockets.

mod node_common;

use node_common::*;

// Guards against a node that starts on settings it does not understand, or on none where some were named.
#[test]
fn a_missing_or_broken_feature_file_is_one_line_and_a_failed_start() {
    let texts = ["unknown = 1", "[nothing]", "[figures", "\u{0}"];
    let mut paths: Vec<_> = texts.iter().map(|text| write_config(text)).collect();
    paths.push("no/such/file.toml".into());
    // What the node is told is in order: only the features' file can be to blame.
    let told = write_config(&config("127.0.0.1:1".parse().unwrap()).to_string());
    for path in paths {
        let ended = command().env("LB_CONFIG", &told).arg("--features").arg(&path).output().unwrap();
        let error = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(ended.status.code(), Some(1), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("slatelink: ") && error.contains(path.to_str().unwrap()), "{error}");
    }
}

// Guards against a file without sections that changes what the node does.
#[test]
fn a_node_with_an_empty_feature_file_serves_as_ever() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "# nothing is on\n");
    assert_eq!(node.read("read", 1).body, b"value");
    node.terminate();
    assert!(node.exit().success());
}
