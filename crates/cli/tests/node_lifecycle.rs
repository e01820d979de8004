//! How the node starts and stops, on loopback sockets.

mod node_common;

use node_common::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// Guards against a planned restart that loses what was taken.
#[test]
fn a_terminated_node_finishes_accepted_requests_and_exits_successfully() {
    let gate = Gate::default();
    let server =
        CacheServer::delaying_first(&gate, || Reply::Answer(answer("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.send(&read("read", 1, 60_000));
    wait_for("the first request", || server.count() == 1);
    let served = idle.request(&read("read", 2, 20_000));
    assert_eq!((served.status(), served.header("connection")), (200, None));
    node.terminate();
    // An idle connection ends when the node has stopped accepting; what it took before is still out.
    assert_eq!(idle.answer(), None);
    gate.open();
    let served = waiting.answer().expect("the answer to what was taken");
    assert_eq!((served.status(), &served.body[..]), (200, &b"value"[..]));
    assert_eq!(served.header("connection"), Some("close"));
    assert!(node.exit().success());
}

// Guards against clients that sit idle and keep a node from its end.
#[test]
fn a_terminated_node_does_not_wait_for_idle_connections() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut used, mut fresh) = (node.client(), node.client());
    assert_eq!(used.request(&read("read", 1, 20_000)).status(), 200);
    node.terminate();
    assert_eq!(used.answer(), None);
    assert_eq!(fresh.answer(), None);
    assert!(node.exit().success());
}

// Guards against a node that starts on half a configuration, or that dies with a panic's many lines.
#[test]
fn a_missing_or_malformed_configuration_is_one_log_line_and_a_failed_start() {
    let good = config("127.0.0.1:1".parse().unwrap());
    let changed = |path: &str, value: serde_json::Value| {
        let mut broken = good.clone();
        *broken.pointer_mut(path).unwrap() = value;
        broken.to_string()
    };
    let texts = [
        None,
        Some(String::new()),
        Some("{\"name\":".to_owned()),
        Some(changed("/seed", "not a number".into())),
        Some(changed("/listen", "nowhere".into())),
        Some(changed("/limits/sockets", 3.into())),
        Some(changed("/settings/lanes/0/promise_us", "soon".into())),
        Some(changed("/known/hosts", "none".into())),
    ];
    let mut paths: Vec<_> = texts
        .iter()
        .map(|text| text.as_ref().map(|text| write_config(text)))
        .collect();
    paths.push(Some("no/such/file.json".into()));
    for path in paths {
        let mut command = command();
        if let Some(path) = &path {
            command.env("LB_CONFIG", path);
        }
        let ended = command.output().unwrap();
        let error = String::from_utf8(ended.stderr).unwrap();
        assert!(!ended.status.success(), "{path:?}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("slatelink: "), "{error}");
    }
}

// Guards against a node that SIGHUP ends, that stays with its old discovery, and that asks the new one for what
// came after a version of the old one's.
#[test]
fn a_reload_moves_the_watch_to_the_new_discovery_and_its_complete_list() {
    let servers = [
        CacheServer::serving("0"),
        CacheServer::serving("1"),
        CacheServer::serving("2"),
    ];
    let lists = servers
        .each_ref()
        .map(|server| Discovery::start(&[server.entry("s-1", "ready")]));
    let node = Node::ready(&config(lists[0].address));
    lists[0].wait_until_applied(1);
    // Under way, it stays on its server and is finished.
    let mut client = node.client();
    for (i, list) in lists.iter().enumerate().skip(1) {
        assert_eq!(
            client.request(&read("read", 1, 20_000)).body,
            (i - 1).to_string().as_bytes()
        );
        node.reload(&config(list.address).to_string());
        list.wait_until_applied(1);
        assert_eq!(list.received.lock().unwrap()[0], "/v1/servers");
        assert_eq!(
            client.request(&read("read", 1, 20_000)).body,
            i.to_string().as_bytes()
        );
    }
    // What the old ones say means nothing any more.
    lists[0].publish(true, &[servers[0].entry("s-1", "ready")]);
    lists[2].publish(false, &[]);
    lists[2].wait_until_applied(2);
    assert_eq!(client.request(&read("read", 1, 20_000)).body, b"2");
    assert_eq!(lists.each_ref().map(|list| list.calls()), [2, 2, 3]);
}

// Guards against a reload that takes the node down or leaves it without a list: it serves from the old one for
// as long as the new discovery says nothing.
#[test]
fn a_malformed_reload_is_one_log_line_and_an_unresponsive_discovery_keeps_the_old_list() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let good = config(discovery.address);
    let node = Node::ready(&good);
    discovery.wait_until_applied(1);
    for (i, text) in [
        "",
        "{\"name\":",
        "{}",
        &good.to_string().replace("8c1f30d27a5be964", "-"),
    ]
    .iter()
    .enumerate()
    {
        node.reload(text);
        let said = || {
            let log = node.log.lock().unwrap();
            log.iter()
                .filter(|line| line.starts_with("configuration rejected: "))
                .count()
        };
        wait_for("a line in the log", || said() == i + 1);
        assert_eq!(node.read("read", 1).status(), 200);
    }
    // The old watch goes on.
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload(&config(silent.local_addr().unwrap()).to_string());
    let _call = silent.accept().unwrap();
    assert_eq!(node.read("read", 1).status(), 200);
    // From one that never answers the way back is open.
    let calls = discovery.calls();
    node.reload(&good.to_string());
    wait_for("a call", || discovery.calls() > calls);
    assert_eq!(discovery.received.lock().unwrap()[calls], "/v1/servers");
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against a log that a collector cannot read.
#[test]
fn the_log_is_json_where_that_is_asked_for() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = write_config(&config(discovery.address).to_string());
    let mut child = command()
        .args(["--log-format", "json"])
        .env("LB_CONFIG", &path)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(child.stderr.take().unwrap()),
        &mut line,
    )
    .unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(
        line["message"]
            .as_str()
            .unwrap()
            .starts_with("node n0 listens on 127.0.0.1:"),
        "{line}"
    );
    assert_eq!(line["level"], "INFO");
}

// Guards against a second SIGTERM, or a SIGHUP, that cuts short what the first one lets the node finish.
#[test]
fn further_signals_during_shutdown_change_nothing() {
    let gate = Gate::default();
    let server =
        CacheServer::delaying_first(&gate, || Reply::Answer(answer("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.send(&read("once", 1, 60_000));
    wait_for("the attempt", || server.count() == 1);
    assert_eq!(idle.request(&read("read", 2, 20_000)).status(), 200);
    node.terminate();
    // While it still accepts, and once it does no more.
    let told = || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains("configuration reloaded"))
            .count()
    };
    node.terminate();
    node.signal("-HUP");
    wait_for("the reload", || told() == 1);
    assert_eq!(idle.answer(), None, "it accepts no more");
    node.terminate();
    node.signal("-HUP");
    wait_for("the reload", || told() == 2);
    gate.open();
    assert_eq!(
        waiting
            .answer()
            .expect("the answer to what was taken")
            .status(),
        200
    );
    assert_eq!(server.count(), 2);
    assert!(node.exit().success());
}

// Guards against a fleet that starts together and stays away from its clients: discovery is slow and refuses most calls.
// And against one that takes requests before it can place them.
#[test]
fn thirty_nodes_started_together_are_ready_within_their_deadline() {
    const NODES: usize = 30;
    let server = CacheServer::serving("value");
    let (address, refused) =
        busy_discovery(Duration::from_millis(100), &server.entry("s-1", "ready"));
    // They know servers that are no more, or none at all.
    let mut config = config(address);
    config["known"]["hosts"] = serde_json::json!([server.entry("s-0", "gone")]);
    let start = Instant::now();
    let nodes: Vec<_> = (0..NODES)
        .map(|i| {
            config["seed"] = format!("{i:x}").into();
            Node::start(&config)
        })
        .collect();
    assert_eq!(
        nodes[NODES - 1].get("/healthz").status(),
        503,
        "it knows no server yet"
    );
    let mut ready = Vec::new();
    let mut left: Vec<_> = nodes.iter().collect();
    while !left.is_empty() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{} of them are not ready",
            left.len()
        );
        left.retain(|node| {
            let is_ready = node.get("/healthz").status() == 200;
            if is_ready {
                ready.push(start.elapsed());
                assert_eq!(
                    node.read("once", 1).status(),
                    200,
                    "what it takes it can place"
                );
            }
            !is_ready
        });
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(
        ready[NODES * 9 / 10 - 1] < Duration::from_secs(10),
        "{ready:?}"
    );
    assert!(
        *refused.lock().unwrap() > 0,
        "it had more calls than it takes"
    );
}

/// Discovery that takes so long for each call, one after the other, and refuses those that would wait for over half a second.
fn busy_discovery(
    turn: Duration,
    entry: &serde_json::Value,
) -> (std::net::SocketAddr, Arc<Mutex<u32>>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": [entry]}).to_string();
    let (free, refused) = (
        Arc::new(Mutex::new(Instant::now())),
        Arc::new(Mutex::new(0)),
    );
    let count = refused.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (free, refused, list) = (free.clone(), count.clone(), list.clone());
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(asked)) = Message::read(&mut reader) {
                    let at = {
                        let mut free = free.lock().unwrap();
                        let at = (*free).max(Instant::now()) + turn;
                        (at < Instant::now() + Duration::from_millis(500))
                            .then(|| std::mem::replace(&mut *free, at))
                    };
                    let text = match at {
                        None => {
                            *refused.lock().unwrap() += 1;
                            answer("503 Service Unavailable", "", "")
                        }
                        Some(before) => {
                            std::thread::sleep(
                                (before + turn).saturating_duration_since(Instant::now()),
                            );
                            // A watch for what comes after it waits for good.
                            if asked.start.contains("after=1&wait_ms=60000") {
                                continue;
                            }
                            answer("200 OK", "", &list)
                        }
                    };
                    if std::io::Write::write_all(&mut stream, text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, refused)
}
