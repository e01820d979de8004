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

fn temporary(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("slatelink-{}-{name}", std::process::id()))
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
    let path = temporary("figures");
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
    let path = temporary("blocked");
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
    let path = temporary("fifo");
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

fn records(path: &std::path::Path) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn verify(path: &std::path::Path) -> (String, Option<i32>) {
    let ended = command()
        .args(["audit", "verify"])
        .arg(path)
        .output()
        .unwrap();
    (
        String::from_utf8(ended.stdout).unwrap(),
        ended.status.code(),
    )
}

fn sha256(path: &std::path::Path) -> String {
    let ended = std::process::Command::new("sha256sum")
        .arg(path)
        .output()
        .unwrap();
    String::from_utf8(ended.stdout).unwrap()[..64].to_owned()
}

// Guards against a start, stop, configuration or switch of discovery's that the trail lacks, and against a chain
// that a restart breaks. The operators' own check stands at the end.
#[test]
fn the_audit_trail_verifies_over_restarts_and_any_edit_of_it_is_detected() {
    let server = CacheServer::serving("value");
    let host = |health| server.entry("s-1", health);
    let path = temporary("trail");
    let settings = format!("[audit]\npath = \"{}\"\n", path.display());
    let mut shas = Vec::new();
    for (signal, code) in [
        ("-TERM", Some(0)),
        ("-INT", Some(130)),
        ("-KILL", None),
        ("-USR2", Some(140)),
    ] {
        let discovery = Discovery::start(&[host("ready")]);
        let told = config(discovery.address);
        let node = Node::with_features(&told, &settings);
        shas.push(sha256(node.config()));
        if signal == "-TERM" {
            discovery.publish(false, &[host("draining")]);
            discovery.wait_until_applied(2);
            discovery.publish(true, &[]);
            discovery.wait_until_applied(3);
            discovery.publish(false, &[host("strange")]);
            discovery.wait_until_applied(4);
            discovery.publish(false, &[host("gone")]);
            discovery.wait_until_applied(5);
            node.reload(&format!("{told} "));
            wait_for("the reload", || {
                records(&path)
                    .iter()
                    .filter(|r| r["file"] == "platform")
                    .count()
                    == 2
            });
            shas.push(sha256(node.config()));
            node.reload("not a configuration");
        }
        // Before it is killed, its records must be there.
        let loaded = || {
            records(&path)
                .iter()
                .filter(|record| record["file"] == "features")
                .count()
        };
        wait_for("the start's records", || loaded() == shas.len());
        node.signal(signal);
        assert_eq!(node.exit().code(), code, "{signal}");
    }
    let all = records(&path);
    assert_eq!(verify(&path), (format!("ok {}\n", all.len()), Some(0)));
    for (i, record) in all.iter().enumerate() {
        assert_eq!(record["seq"], i as u64 + 1);
    }
    let of = |event: &str| {
        all.iter()
            .filter(|record| record["event"] == event)
            .collect::<Vec<_>>()
    };
    assert_eq!(of("start").len(), 4);
    assert_eq!(of("start")[0]["node"], "n0");
    let signals: Vec<_> = of("stop")
        .iter()
        .map(|record| record["signal"].clone())
        .collect();
    assert_eq!(signals, ["SIGTERM", "SIGINT", "SIGUSR2"]);
    // What was killed shows as a start that no stop comes before.
    let before =
        |i: usize| &all[all.iter().rposition(|r| r == of("start")[i]).unwrap() - 1]["event"];
    assert_eq!(
        [before(1), before(2), before(3)].map(|event| event == "stop"),
        [true, true, false]
    );
    let switches: Vec<_> = of("health")[..5]
        .iter()
        .map(|r| {
            ["host", "from", "to"]
                .map(|field| r[field].as_str().unwrap().to_owned())
                .join(" ")
        })
        .collect();
    let expected = [
        "absent ready",
        "ready draining",
        "draining absent",
        "absent strange",
        "strange gone",
    ]
    .map(|s| format!("s-1 {s}"));
    assert_eq!(switches, expected);
    let files = of("config");
    let platform: Vec<_> = files.iter().filter(|r| r["file"] == "platform").collect();
    assert_eq!(platform.len(), 5);
    assert!(
        platform
            .iter()
            .zip(&shas)
            .all(|(record, sha)| record["sha256"] == **sha),
        "{platform:?} {shas:?}"
    );
    assert_eq!(files.iter().filter(|r| r["file"] == "features").count(), 5);

    let text = std::fs::read(&path).unwrap();
    let mut start = 0;
    for line in 1..=all.len() {
        let end = start
            + text[start..]
                .iter()
                .position(|&byte| byte == b'\n')
                .unwrap();
        let mut edited = text.clone();
        edited[(start + end) / 2] ^= 1;
        std::fs::write(&path, &edited).unwrap();
        assert_eq!(verify(&path), (format!("broken at line {line}\n"), Some(1)));
        start = end + 1;
    }
    std::fs::write(&path, &text[..text.len() - 1]).unwrap();
    assert_eq!(
        verify(&path),
        (format!("torn at line {}\n", all.len()), Some(1))
    );
    std::fs::remove_file(&path).unwrap();
    assert_eq!(verify(&path), (String::new(), Some(2)));
}

// Guards against two nodes in one trail.
#[test]
fn an_audit_trail_in_use_is_a_failed_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary("shared");
    let settings = format!("[audit]\npath = \"{}\"\n", path.display());
    let node = Node::with_features(&config(discovery.address), &settings);
    let (told, settings) = (
        write_config(&config(discovery.address).to_string()),
        write_config(&settings),
    );
    let second = command()
        .env("LB_CONFIG", told)
        .arg("--features")
        .arg(settings)
        .output()
        .unwrap();
    let error = String::from_utf8(second.stderr).unwrap();
    assert_eq!(
        (second.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.contains("another node writes there"), "{error}");
    assert_eq!(node.read("read", 1).status(), 200);
    std::fs::remove_file(path).unwrap();
}

// Guards against a full disk that stops service.
#[test]
fn an_audit_trail_that_cannot_be_written_is_reported_and_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(
        &config(discovery.address),
        "[audit]\npath = \"/dev/full\"\n",
    );
    let said = || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.starts_with("audit: a record is not written"))
    };
    wait_for("word of the error", said);
    assert_eq!(node.read("read", 1).status(), 200);
    node.terminate();
    assert!(node.exit().success());
}

// Guards against a trail that goes nowhere where no path is set.
#[test]
fn an_audit_trail_without_a_path_goes_to_standard_error() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "[audit]\n");
    let records = || {
        let log = node.log.lock().unwrap();
        log.iter()
            .filter(|line| line.starts_with("{\"seq\":"))
            .map(|line| line.clone() + "\n")
            .collect::<String>()
    };
    wait_for("a switch", || records().contains("\"event\":\"health\""));
    let path = write_config(&records());
    assert_eq!(
        verify(&path),
        (format!("ok {}\n", records().lines().count()), Some(0))
    );
    std::fs::remove_file(path).unwrap();
}

/// The hot list's lines of a class, as key, rate, count and bound.
fn hot(node: &Node, class: &str) -> Vec<(String, f64, u64, u64)> {
    let log = node.log.lock().unwrap();
    let start = format!("hot {class} ");
    let lines = log
        .iter()
        .filter_map(|line| line.strip_prefix(&start))
        .filter(|line| *line != "none");
    lines
        .map(|line| {
            let words: Vec<_> = line.split(' ').collect();
            let [key, rate, count, bound] = words[..] else {
                panic!("{line}")
            };
            let rate = rate
                .strip_prefix("rate=")
                .unwrap()
                .strip_suffix("/s")
                .unwrap()
                .parse()
                .unwrap();
            let count = count.strip_prefix("count=").unwrap().parse().unwrap();
            (
                key.to_owned(),
                rate,
                count,
                bound.strip_prefix("err<=").unwrap().parse().unwrap(),
            )
        })
        .collect()
}

// The operators' own check: a skewed load, and its clients' tally against the printed counts.
#[test]
fn the_hot_list_agrees_with_the_clients_counts_within_its_error_bound() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "[hotlist]\ncapacity = 8\n");
    let (mut client, mut tally) = (
        node.client(),
        std::collections::HashMap::<String, u64>::new(),
    );
    for i in 0..600_u64 {
        let key = if i % 3 == 0 { 7 } else { i * 40_503 % 100 };
        let text = read("read", i, 20_000)
            .replace(&format!("/api/{i:016x}"), &format!("/api/x/key{key}?v={i}"));
        assert_eq!(client.request(&text).status(), 200);
        *tally.entry(format!("key{key}")).or_default() += 1;
    }
    // One that is refused is counted too; one that is not taken, or no request, is not.
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("once", 0xabc).status(), 503);
    assert_eq!(node.read("no such class", 1).status(), 400);
    node.signal("-USR1");
    wait_for("the list", || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.starts_with("hot keyed "))
    });
    let list = hot(&node, "read");
    assert_eq!((list.len(), &*list[0].0), (8, "key7"));
    assert!(list.is_sorted_by(|a, b| a.2 >= b.2), "{list:?}");
    for (key, rate, count, bound) in &list {
        let real = tally[key];
        assert_eq!(*bound, 600 / 8);
        assert!(
            real <= *count && count - real <= *bound,
            "{key}: {real} and {count}"
        );
        assert!(*rate > 0.0);
    }
    let once = hot(&node, "once");
    assert_eq!(
        (once.len(), &*once[0].0, once[0].2, once[0].3),
        (1, "0000000000000abc", 1, 0)
    );
    assert!(node
        .log
        .lock()
        .unwrap()
        .contains(&"hot keyed none".to_owned()));
    assert_eq!(
        node.read("once", 1).status(),
        503,
        "it goes on after the signal"
    );
}

// Guards against a signal that means something although the feature is off, and a capacity that is too large.
#[test]
fn without_a_capacity_the_hot_list_is_off_and_with_too_much_the_node_does_not_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let told = config(discovery.address);
    let node = Node::with_features(&told, "[hotlist]\ncapacity = 0\n");
    node.signal("-USR1");
    assert_eq!(
        node.exit().code(),
        None,
        "the signal ends a process that does not catch it"
    );
    let (told, settings) = (
        write_config(&told.to_string()),
        write_config("[hotlist]\ncapacity = 100000\n"),
    );
    let ended = command()
        .env("LB_CONFIG", told)
        .arg("--features")
        .arg(settings)
        .output()
        .unwrap();
    let error = String::from_utf8(ended.stderr).unwrap();
    assert_eq!(
        (ended.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.contains("over 1 MB"), "{error}");
}
