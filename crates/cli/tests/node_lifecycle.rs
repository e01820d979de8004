//! Start, reload and shutdown of a node, on loopback sockets.

mod node_common;

use node_common::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// Guards against a planned restart that loses accepted requests.
#[test]
fn a_terminated_node_finishes_accepted_requests_and_exits_successfully() {
    let gate = Gate::default();
    let server = CacheServer::delaying_first(&gate, || {
        Reply::Response(http_response("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.send(&api_request("read", 1, 60_000));
    wait_for("the first request", || server.request_count() == 1);
    let served = idle.request(&api_request("read", 2, 20_000));
    assert_eq!((served.status(), served.header("connection")), (200, None));
    node.terminate();
    // The idle connection is closed once the node accepts no more clients. The accepted request is
    // still in flight.
    assert_eq!(idle.read_response(), None);
    gate.open();
    let served = waiting
        .read_response()
        .expect("the response to the accepted request");
    assert_eq!((served.status(), &served.body[..]), (200, &b"value"[..]));
    assert_eq!(served.header("connection"), Some("close"));
    assert!(node.wait_for_exit().success());
}

// Guards against idle clients that keep a node from exiting.
#[test]
fn a_terminated_node_does_not_wait_for_idle_connections() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut used, mut fresh) = (node.client(), node.client());
    assert_eq!(used.request(&api_request("read", 1, 20_000)).status(), 200);
    node.terminate();
    assert_eq!(used.read_response(), None);
    assert_eq!(fresh.read_response(), None);
    assert!(node.wait_for_exit().success());
}

// Guards against a node that starts on a partial configuration, or ends with a multi-line panic.
#[test]
fn a_missing_or_malformed_configuration_is_one_log_line_and_a_failed_start() {
    let good = config("127.0.0.1:1".parse().unwrap());
    let changed = |path: &str, value: serde_json::Value| {
        let mut broken = good.clone();
        *broken.pointer_mut(path).unwrap() = value;
        broken.to_string()
    };
    let contents = [
        None,
        Some(String::new()),
        Some("{\"name\":".to_owned()),
        Some(changed("/seed", "not a number".into())),
        Some(changed("/listen", "nowhere".into())),
        Some(changed("/limits/sockets", 3.into())),
        Some(changed("/settings/lanes/0/promise_us", "soon".into())),
        Some(changed("/known/hosts", "none".into())),
    ];
    let mut paths: Vec<_> = contents
        .iter()
        .map(|content| {
            content
                .as_ref()
                .map(|content| write_temporary_file(content))
        })
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

// Guards against a node that SIGHUP terminates, that stays at its old discovery, or that requests
// from the new discovery a delta after a version of the old discovery.
#[test]
fn a_reload_moves_the_watch_to_the_new_discovery_and_its_complete_list() {
    let servers = [
        CacheServer::serving("0"),
        CacheServer::serving("1"),
        CacheServer::serving("2"),
    ];
    let discoveries = servers
        .each_ref()
        .map(|server| Discovery::start(&[server.entry("s-1", "ready")]));
    let node = Node::ready(&config(discoveries[0].address));
    discoveries[0].wait_until_applied(1);
    // The connection of this client stays open across the reloads.
    let mut client = node.client();
    for (i, new_discovery) in discoveries.iter().enumerate().skip(1) {
        assert_eq!(
            client.request(&api_request("read", 1, 20_000)).body,
            (i - 1).to_string().as_bytes()
        );
        node.reload(&config(new_discovery.address).to_string());
        new_discovery.wait_until_applied(1);
        assert_eq!(new_discovery.received.lock().unwrap()[0], "/v1/servers");
        assert_eq!(
            client.request(&api_request("read", 1, 20_000)).body,
            i.to_string().as_bytes()
        );
    }
    // Lists from the old discoveries have no effect.
    discoveries[0].publish(true, &[servers[0].entry("s-1", "ready")]);
    discoveries[2].publish(false, &[]);
    discoveries[2].wait_until_applied(2);
    assert_eq!(client.request(&api_request("read", 1, 20_000)).body, b"2");
    assert_eq!(
        discoveries.each_ref().map(|watched| watched.call_count()),
        [2, 2, 3]
    );
}

// Guards against a reload that terminates the node or leaves it without a list: the node serves
// from the old list until the new discovery answers.
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
        let malformed_reloads = || {
            let log = node.log.lock().unwrap();
            log.iter()
                .filter(|line| line.starts_with("configuration rejected: "))
                .count()
        };
        wait_for("one log line per malformed configuration", || {
            malformed_reloads() == i + 1
        });
        assert_eq!(node.read("read", 1).status(), 200);
    }
    // The old watch continues.
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload(&config(unresponsive.local_addr().unwrap()).to_string());
    let _call = unresponsive.accept().unwrap();
    assert_eq!(node.read("read", 1).status(), 200);
    // A node can move back from a discovery that never answers.
    let calls = discovery.call_count();
    node.reload(&good.to_string());
    wait_for("a call to the previous discovery", || {
        discovery.call_count() > calls
    });
    assert_eq!(discovery.received.lock().unwrap()[calls], "/v1/servers");
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against a JSON log that a log collector cannot parse.
#[test]
fn the_log_is_json_if_requested() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = write_temporary_file(&config(discovery.address).to_string());
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

// Guards against a second SIGTERM, or a SIGHUP, that aborts the requests which the node finishes
// after the first SIGTERM.
#[test]
fn further_signals_during_shutdown_change_nothing() {
    let gate = Gate::default();
    let server = CacheServer::delaying_first(&gate, || {
        Reply::Response(http_response("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut waiting, mut idle) = (node.client(), node.client());
    waiting.send(&api_request("once", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    assert_eq!(idle.request(&api_request("read", 2, 20_000)).status(), 200);
    node.terminate();
    // Signals are sent while the node still accepts clients, and again when it no longer does.
    let reloads = || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains("configuration reloaded"))
            .count()
    };
    node.terminate();
    node.signal("-HUP");
    wait_for("the first reload", || reloads() == 1);
    assert_eq!(
        idle.read_response(),
        None,
        "the node must close idle connections once it accepts no more clients"
    );
    node.terminate();
    node.signal("-HUP");
    wait_for("the second reload", || reloads() == 2);
    gate.open();
    assert_eq!(
        waiting
            .read_response()
            .expect("the response to the accepted request")
            .status(),
        200
    );
    assert_eq!(server.request_count(), 2);
    assert!(node.wait_for_exit().success());
}

// Guards against nodes that start together and stay unready because discovery is slow and refuses
// most calls, and against nodes that accept requests before they know a server to send them to.
#[test]
fn thirty_nodes_started_together_are_ready_within_their_deadline() {
    const NODES: usize = 30;
    let server = CacheServer::serving("value");
    let (address, refused) =
        busy_discovery(Duration::from_millis(100), &server.entry("s-1", "ready"));
    // The only server that the nodes know has been removed.
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
        "a node without a known server must not be ready"
    );
    let mut ready = Vec::new();
    let mut unready: Vec<_> = nodes.iter().collect();
    while !unready.is_empty() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{} nodes are not ready",
            unready.len()
        );
        unready.retain(|node| {
            let is_ready = node.get("/healthz").status() == 200;
            if is_ready {
                ready.push(start.elapsed());
                assert_eq!(
                    node.read("once", 1).status(),
                    200,
                    "a ready node must serve the request"
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
        "discovery must have refused calls for the test to be valid"
    );
}

/// Starts a discovery that answers at most one call per `call_duration` and refuses calls that it
/// cannot answer within half a second. Returns its address and the number of refused calls.
fn busy_discovery(
    call_duration: Duration,
    entry: &serde_json::Value,
) -> (std::net::SocketAddr, Arc<Mutex<u32>>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": [entry]}).to_string();
    let (next_free, refused) = (
        Arc::new(Mutex::new(Instant::now())),
        Arc::new(Mutex::new(0)),
    );
    let refusal_counter = refused.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (next_free, refused, list) =
                (next_free.clone(), refusal_counter.clone(), list.clone());
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(call)) = Message::read(&mut reader) {
                    let admitted = {
                        let mut next_free = next_free.lock().unwrap();
                        let finish = (*next_free).max(Instant::now()) + call_duration;
                        (finish < Instant::now() + Duration::from_millis(500))
                            .then(|| std::mem::replace(&mut *next_free, finish))
                    };
                    let response = match admitted {
                        None => {
                            *refused.lock().unwrap() += 1;
                            http_response("503 Service Unavailable", "", "")
                        }
                        Some(previous_free) => {
                            std::thread::sleep(
                                (previous_free + call_duration)
                                    .saturating_duration_since(Instant::now()),
                            );
                            // A watch for versions after the list is never answered.
                            if call.start.contains("after=1&wait_ms=60000") {
                                continue;
                            }
                            http_response("200 OK", "", &list)
                        }
                    };
                    if std::io::Write::write_all(&mut stream, response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, refused)
}
