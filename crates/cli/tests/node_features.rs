//! The features that the operators' file turns on, over the command line and loopback sockets.

mod node_common;

use node_common::*;

// Guards against a node that starts on settings it does not understand, or on none where some were named.
#[test]
fn a_missing_or_malformed_feature_file_is_one_log_line_and_a_failed_start() {
    let texts = [
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
    let mut paths: Vec<_> = texts.iter().map(|text| write_config(text)).collect();
    paths.push("no/such/file.toml".into());
    // What the node is told is in order: only the features' file can be to blame.
    let told = write_config(&config("127.0.0.1:1".parse().unwrap()).to_string());
    for path in paths {
        let ended = command()
            .env("LB_CONFIG", &told)
            .arg("--features")
            .arg(&path)
            .output()
            .unwrap();
        let error = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(ended.status.code(), Some(1), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("slatelink: "), "{error}");
        assert!(
            error.contains(path.to_str().unwrap()) || error.contains("/no/such/"),
            "{error}"
        );
    }
}

// Guards against a file without sections that changes what the node does.
#[test]
fn a_node_with_an_empty_feature_file_serves_as_without_one() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "# nothing is on\n");
    assert_eq!(node.read("read", 1).body, b"value");
    node.terminate();
    assert!(node.exit().success());
}

/// The sum of a StatsD counter over all lines that have it and `tag`.
fn sum(lines: &str, name: &str, tag: &str) -> u64 {
    let start = format!("{name}:");
    let of = lines
        .lines()
        .filter_map(|line| line.strip_prefix(&start))
        .filter(|line| line.contains(tag));
    of.map(|line| line.split('|').next().unwrap().parse::<u64>().unwrap())
        .sum()
}

// Guards against requests or attempts that are not counted, or counted under another host, class or end.
#[test]
fn metrics_count_each_request_and_attempt_by_class_and_endpoint() {
    let server = CacheServer::start(|asked| match asked.header("req-kind") {
        _ if asked.header("req-id") == Some("7") => Reply::Answer(answer("500 No", "", "")),
        _ => Reply::Answer(answer("200 OK", "", "value")),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("figures");
    let features = format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 50\n",
        path.display()
    );
    let node = Node::with_features(&config(discovery.address), &features);
    for key in 0..5 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(node.read("once", 7).status(), 502);
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("keyed", 8).status(), 503);
    let read = || std::fs::read_to_string(&path).unwrap();
    wait_for("a flush", || read().contains("status:503"));
    assert!(
        read().contains("slatelink.req.open:0|g|#kind:read\n"),
        "{}",
        read()
    );
    // What has not been flushed goes out at the stop.
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 9).status(), 200);
    node.terminate();
    assert!(node.exit().success());
    let lines = read();
    assert_eq!(
        sum(
            &lines,
            "slatelink.req.count",
            "#kind:read,host:s-1,status:200"
        ),
        6,
        "{lines}"
    );
    assert_eq!(
        sum(
            &lines,
            "slatelink.req.count",
            "#kind:once,host:s-1,status:502"
        ),
        1
    );
    assert_eq!(
        sum(
            &lines,
            "slatelink.req.count",
            "#kind:keyed,host:none,status:503"
        ),
        1
    );
    assert_eq!(sum(&lines, "slatelink.req.count", ""), 8);
    assert_eq!(lines.matches("slatelink.req.time:").count(), 8);
    assert_eq!(
        sum(&lines, "slatelink.attempt.count", "host:s-1,outcome:ok"),
        6
    );
    assert_eq!(
        sum(&lines, "slatelink.attempt.count", "host:s-1,outcome:failed"),
        1
    );
    assert!(lines.contains("slatelink.host.blocked:0|g|#host:s-1\n"));
    assert!(lines.ends_with('\n') && lines.lines().all(|line| line.starts_with("slatelink.")));
    std::fs::remove_file(path).unwrap();
}

// Guards against a gauge that misses a breaker's trip: the module's words are all that tells of it.
#[test]
fn metrics_report_an_endpoint_whose_circuit_breaker_is_open() {
    let bad = CacheServer::start(|_| Reply::Answer(answer("500 No", "", "")));
    let good = CacheServer::serving("value");
    let discovery = Discovery::start(&[bad.entry("s-bad", "ready"), good.entry("s-good", "ready")]);
    let path = temporary_path("blocked");
    let features = format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        path.display()
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let mut key = 0;
    wait_for("a blocked host", || {
        key += 1;
        node.read("read", key);
        std::fs::read_to_string(&path)
            .unwrap()
            .contains("slatelink.host.blocked:1|g|#host:s-bad\n")
    });
    assert!(node
        .log
        .lock()
        .unwrap()
        .iter()
        .any(|line| line == "breaker of s-bad tripped"));
    assert!(!std::fs::read_to_string(&path)
        .unwrap()
        .contains("blocked:1|g|#host:s-good"));
    std::fs::remove_file(path).unwrap();
}

/// The totals of dropped batches, as standard error has them.
fn dropped(node: &Node) -> Vec<u64> {
    let log = node.log.lock().unwrap();
    let counts = log
        .iter()
        .filter_map(|line| line.strip_prefix("slatelink.figures.dropped: "));
    counts
        .map(|rest| {
            rest.strip_suffix(" batches so far")
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect()
}

// The operators' own check: every write to this target reports an error, requests flow and the count rises.
#[test]
fn metrics_to_a_full_device_are_dropped_and_counted_while_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = "[figures]\ntarget = \"file:/dev/full\"\nflush_ms = 20\n";
    let node = Node::with_features(&config(discovery.address), features);
    let mut client = node.client();
    let mut key = 0;
    wait_for("a count that rises", || {
        key += 1;
        assert_eq!(client.request(&read("read", key, 20_000)).status(), 200);
        dropped(&node).len() > 3
    });
    assert!(
        dropped(&node).windows(2).all(|pair| pair[0] < pair[1]),
        "{:?}",
        dropped(&node)
    );
}

// Guards against a FIFO that stalls the node: without a reader, with one that reads nothing, and read at last.
#[test]
fn metrics_to_a_fifo_without_a_reader_block_no_request() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("fifo");
    assert!(std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    let features = format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 10\n",
        path.display()
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let dropped = || dropped(&node).last().copied().unwrap_or(0);
    wait_for("dropped batches", || dropped() > 0);
    let mut fifo = std::fs::File::open(&path).unwrap();
    let (mut text, mut bytes) = (String::new(), [0; 1024]);
    let mut read_more = || {
        let n = std::io::Read::read(&mut fifo, &mut bytes).unwrap();
        text.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
        let whole = text.rfind('\n').map_or("", |end| &text[..=end]);
        assert!(
            whole.lines().all(|line| line.starts_with("slatelink.")),
            "whole lines only"
        );
        sum(whole, "slatelink.figures.dropped", "")
    };
    let mut told = 0;
    wait_for("the count of what was dropped", || {
        told = read_more();
        told > 0
    });
    // Once the FIFO is full its writes report that.
    let (mut client, mut key) = (node.client(), 0);
    wait_for("dropped batches again", || {
        key += 1;
        assert_eq!(client.request(&read("read", key, 20_000)).status(), 200);
        dropped() > told
    });
    wait_for("the count of those", || read_more() > told);
    std::fs::remove_file(path).unwrap();
}

// Guards against a pipe that nobody reads, and that stalls the node once it is full.
#[test]
fn a_node_whose_standard_error_is_not_read_serves_and_shuts_down() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = write_config(&config(discovery.address).to_string());
    let features = write_config("[figures]\nflush_ms = 20\n");
    let mut child = command()
        .env("LB_CONFIG", &path)
        .arg("--features")
        .arg(&features)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = std::io::BufReader::with_capacity(64, child.stderr.take().unwrap());
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).unwrap();
    let address: std::net::SocketAddr =
        line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
    let stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut client = Client::on(stream);
    wait_for("readiness", || {
        client
            .request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n")
            .status()
            == 200
    });
    // Well over what a pipe of 64 KiB and the buffer of 256 KiB hold.
    for key in 0..4_000 {
        assert_eq!(client.request(&read("read", key, 20_000)).status(), 200);
    }
    let killed = std::process::Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(killed.success());
    let mut ended = None;
    wait_for("the node's exit", || {
        ended = child.try_wait().unwrap();
        ended.is_some()
    });
    assert!(ended.unwrap().success());
    for path in [path, features] {
        std::fs::remove_file(path).unwrap();
    }
}
