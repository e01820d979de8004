//! A node, or what is around it, runs out of descriptors, memory or disk: nothing that was taken is lost, nothing spins,
//! and service is back once there is room. Limits of the running node are lowered and raised.

mod node_common;

use node_common::*;
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use std::fs::{self, File};
use std::io::Read;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Sets a limit of a running node; `None` for what it started with.
fn limit(node: &Node, what: Resource, most: Option<u64>) {
    // The node has this process's limits from its start. The hard one stays, or it could not be raised again.
    let held = getrlimit(what);
    let new = Rlimit {
        current: most.or(held.current),
        maximum: held.maximum,
    };
    prlimit(Some(Pid::from_child(&node.child)), what, new).unwrap();
}

/// With this limit there is no further descriptor, whatever closes: the standard streams stay.
const NO_MORE: Option<u64> = Some(3);

/// Seconds on a core so far; a tick is a hundredth.
fn cpu(node: &Node) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let ticks = stat
        .rsplit(") ")
        .next()
        .unwrap()
        .split(' ')
        .skip(11)
        .take(2);
    ticks
        .map(|ticks| ticks.parse::<f64>().unwrap())
        .sum::<f64>()
        / 100.0
}

fn lines(node: &Node, start: &str) -> Vec<String> {
    node.log
        .lock()
        .unwrap()
        .iter()
        .filter(|line| line.starts_with(start))
        .cloned()
        .collect()
}

// Guards against an accept loop that spins or floods the log, a request that is lost for want of a descriptor, and a
// node that is as good as dead when there are descriptors again.
#[test]
fn without_descriptors_accepted_requests_are_answered_and_others_are_served_once_descriptors_are_free(
) {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut taken = node.client();
    taken.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n");
    discovery.wait_until_applied(1);
    limit(&node, Resource::Nofile, NO_MORE);
    let (used, start) = (cpu(&node), Instant::now());
    // At the dial: the node's own want is no server's fault, and is told at once.
    assert_shed(&taken.request(&read("once", 1, 20_000)));
    // At accept: these wait in the machine's own queue.
    let mut outside: Vec<_> = (2..40).map(|key| (key, node.client())).collect();
    outside
        .iter_mut()
        .for_each(|(key, client)| client.send(&read("read", *key, 50_000)));
    sleep(Duration::from_secs(3));
    let (used, took) = (cpu(&node) - used, start.elapsed().as_secs_f64());
    assert!(used < took / 4.0, "{used} s of {took} s on a core");
    let said = lines(&node, "accept: ").len();
    assert!(
        (1..=10).contains(&said),
        "{said} lines of {took:.1} s without a descriptor"
    );
    assert_eq!(server.count(), 0);
    limit(&node, Resource::Nofile, None);
    let mut served = 0;
    for (_, client) in &mut outside {
        // All come at once, and a server that was never asked is sent a few at first.
        let answer = client.answer().expect("an answer");
        match answer.status() {
            200 => served += 1,
            _ => assert_shed(&answer),
        }
    }
    assert!(served > 10, "{served}");
    assert_eq!(
        taken
            .try_request(&read("once", 1, 20_000))
            .unwrap_or_else(|| node.read("once", 1))
            .status(),
        200
    );
    // The log tells afterwards how long it was, and how often.
    wait_for("what was left out", || {
        let told = lines(&node, "accept: ");
        told.iter().any(|line| {
            line.contains("more lines left out, ") && line.contains("Too many open files")
        })
    });
}

// Guards against a reload that is lost for want of a descriptor: its old discovery goes away, and no list comes any more.
#[test]
fn a_reload_without_descriptors_is_retried_until_descriptors_are_free() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1")];
    let lists = servers
        .each_ref()
        .map(|server| Discovery::start(&[server.entry("s-1", "ready")]));
    let node = Node::ready(&config(lists[0].address));
    lists[0].wait_until_applied(1);
    limit(&node, Resource::Nofile, NO_MORE);
    node.reload(&config(lists[1].address).to_string());
    wait_for("a line", || {
        !lines(&node, "configuration not taken: ").is_empty()
    });
    assert_eq!(lists[1].calls(), 0);
    limit(&node, Resource::Nofile, None);
    lists[1].wait_until_applied(1);
    assert_eq!(node.read("read", 1).body, b"1");
}

// Guards against a file that may grow no further: its signal ends no node, records are counted, and the chain goes on.
#[test]
fn at_the_file_size_limit_records_are_dropped_and_counted_and_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let folder = std::env::temp_dir().join(format!("slatelink-fsize-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let [trail, figures] = ["trail", "figures"].map(|name| folder.join(name));
    let settings = format!(
        "[audit]\npath = \"{}\"\n[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        trail.display(),
        figures.display()
    );
    let node = Node::with_features(&config(discovery.address), &settings);
    discovery.wait_until_applied(1);
    let len = |path| fs::metadata(path).map_or(0, |file| file.len());
    wait_for("the start's records", || {
        fs::read_to_string(&trail).unwrap().contains("\"s-1\"")
    });
    wait_for("as many figures", || len(&figures) > len(&trail) + 40);
    // A record breaks off in the middle of its line.
    limit(&node, Resource::Fsize, Some(len(&trail) + 40));
    for seq in 2..5 {
        discovery.publish(
            false,
            &[server.entry("s-1", ["ready", "odd"][seq as usize % 2])],
        );
        discovery.wait_until_applied(seq);
    }
    wait_for("word of a record", || {
        lines(&node, "audit: a record is not written").len() >= 2
    });
    let verdict = || {
        let ended = command()
            .args(["audit", "verify"])
            .arg(&trail)
            .output()
            .unwrap();
        String::from_utf8(ended.stdout).unwrap()
    };
    assert!(
        verdict().starts_with("ok "),
        "half a record is cut off again: {}",
        verdict()
    );
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    discovery.wait_until_applied(5);
    assert_eq!(node.read("read", 1).status(), 200);
    limit(&node, Resource::Fsize, None);
    discovery.publish(false, &[server.entry("s-2", "ready")]);
    wait_for("the gap", || {
        fs::read_to_string(&trail)
            .unwrap()
            .contains("\"event\":\"lost\"")
    });
    wait_for("the next record", || {
        fs::read_to_string(&trail).unwrap().contains("\"s-2\"")
    });
    assert!(verdict().starts_with("ok "), "{}", verdict());
    wait_for("figures again", || {
        fs::read_to_string(&figures)
            .unwrap()
            .lines()
            .any(|line| line.starts_with("slatelink.figures.dropped:"))
    });
    assert_eq!(node.read("read", 2).status(), 200);
    // A running node would make its files anew meanwhile.
    drop(node);
    fs::remove_dir_all(folder).unwrap();
}

// Guards against a log that nobody reads and that stalls a node without features.
#[test]
fn a_node_without_features_serves_while_nobody_reads_its_log() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let (mut reader, writer) = std::io::pipe().unwrap();
    rustix::pipe::fcntl_setpipe_size(&writer, 4096).unwrap();
    let first = || {
        let mut bytes = [0; 4096];
        let n = reader.read(&mut bytes).unwrap();
        String::from_utf8_lossy(&bytes[..n]).into_owned()
    };
    let node = Node::with_stderr(&config(discovery.address), writer.into(), first);
    let mut client = node.client();
    for key in 0..300 {
        node.reload("not a configuration");
        assert_eq!(
            client
                .try_request(&read("read", key, 20_000))
                .expect("an answer")
                .status(),
            200
        );
    }
    node.terminate();
    assert!(node.exit().success());
    drop(reader);
}

// Guards against a log file at its limit whose signal ends a node without features.
#[test]
fn a_node_without_features_outlives_the_limit_of_its_log_file() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = std::env::temp_dir().join(format!("slatelink-log-{}", std::process::id()));
    let log = || fs::read_to_string(&path).unwrap();
    let first = || {
        wait_for("the first line", || log().ends_with('\n'));
        log()
    };
    let node = Node::with_stderr(
        &config(discovery.address),
        File::create(&path).unwrap().into(),
        first,
    );
    let mut client = node.client();
    limit(&node, Resource::Fsize, Some(0));
    for key in 0..20 {
        node.reload("not a configuration");
        assert_eq!(
            client
                .try_request(&read("read", key, 20_000))
                .expect("an answer")
                .status(),
            200
        );
    }
    limit(&node, Resource::Fsize, None);
    node.reload("not a configuration");
    wait_for("a line", || log().contains("configuration not taken"));
    fs::remove_file(&path).unwrap();
}

// Guards against a cache server that runs out and comes back, and is not used again; against one that broke off part-way
// and whose answer is taken for whole.
#[test]
fn an_endpoint_out_of_descriptors_loses_no_request_and_is_used_again() {
    let left = Arc::new(AtomicU32::new(30));
    let out = left.clone();
    let poor = CacheServer::start(move |_| {
        match out.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)) {
            // No descriptor: accepted and closed. No memory: it breaks off within an answer.
            Ok(n) if n % 2 == 0 => Reply::AnswerAndClose(String::new()),
            Ok(_) => {
                Reply::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nva".to_owned())
            }
            Err(_) => Reply::Answer(answer("200 OK", "", "value")),
        }
    });
    let rich = CacheServer::serving("value");
    let discovery = Discovery::start(&[poor.entry("s-1", "ready"), rich.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut key = 0;
    wait_for("the poor server's recovery", || {
        key += 1;
        let answer = node.read("read", key);
        assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
        assert!(
            answer.status() != 200 || answer.body == b"value",
            "{answer:?}"
        );
        // It starts anew, cold, under its id.
        if key == 60 {
            left.store(0, Ordering::SeqCst);
            let mut entry = poor.entry("s-1", "ready");
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap();
            entry["born_ms"] = json!(now.as_millis() as u64);
            discovery.publish(false, &[entry]);
            discovery.wait_until_applied(2);
        }
        key > 200 && poor.count() > 40
    });
}

// Guards against clients that sit idle on every place while discovery is down, and keep the node from it, or from a server
// of its new list, once it is back; and against a node that spins meanwhile.
#[test]
fn idle_clients_at_the_full_quota_leave_descriptors_for_discovery_and_endpoints() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1")];
    let first = Discovery::start(&[servers[0].entry("s-0", "ready")]);
    let mut small = config(first.address);
    small["limits"]["sockets"] = json!(64);
    let node = Node::ready(&small);
    first.wait_until_applied(1);
    // As on the platform: a descriptor more than its limit is refused.
    limit(&node, Resource::Nofile, Some(64));
    // It is told of a discovery that is down: nobody listens there yet.
    let address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    node.reload(&config(address).to_string());
    wait_for("a call that fails", || {
        !lines(&node, "discovery: ").is_empty()
    });
    // Twice as many as it has places: the others wait unaccepted.
    let mut idle: Vec<_> = (0..100).map(|_| node.client()).collect();
    let (used, start) = (cpu(&node), Instant::now());
    for (key, client) in idle.iter_mut().enumerate().take(20) {
        client.try_send(&read("read", key as u64, 20_000));
    }
    sleep(Duration::from_secs(2));
    let (used, took) = (cpu(&node) - used, start.elapsed().as_secs_f64());
    assert!(used < took / 4.0, "{used} s of {took} s on a core");
    let back = Discovery::start_at(address, &[servers[1].entry("s-1", "ready")]);
    let start = Instant::now();
    back.wait_until_applied(1);
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
    // A server that it has no connection to, for a client that had to wait for a place.
    let mut late = node.client();
    assert_eq!(late.request(&read("once", 1_000, 20_000)).body, b"1");
    drop(idle);
    wait_for("the room that they leave", || {
        node.read("read", 1_001).status() == 200
    });
}
