//! Exhaustion of descriptors, memory or disk in a node or its environment: no accepted request is
//! lost, nothing spins, and service resumes once resources are free. The tests lower and raise the
//! limits of the running node.

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

/// Sets the soft limit of a running node; `None` restores the limit it started with.
fn set_limit(node: &Node, resource: Resource, soft_limit: Option<u64>) {
    // The node inherited the limits of this process. The hard limit stays, because a lowered hard
    // limit could not be raised again.
    let inherited = getrlimit(resource);
    let new = Rlimit {
        current: soft_limit.or(inherited.current),
        maximum: inherited.maximum,
    };
    prlimit(Some(Pid::from_child(&node.child)), resource, new).unwrap();
}

/// Limit at which no further descriptor can be opened, even after connections close: the standard
/// streams stay open.
const NO_FREE_DESCRIPTORS: Option<u64> = Some(3);

/// Returns the CPU time of the node so far, in seconds; a clock tick is 1/100 s.
fn cpu_seconds(node: &Node) -> f64 {
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

fn log_lines(node: &Node, prefix: &str) -> Vec<String> {
    node.log
        .lock()
        .unwrap()
        .iter()
        .filter(|line| line.starts_with(prefix))
        .cloned()
        .collect()
}

// Guards against an accept loop that spins or floods the log, a request that is lost for lack of a
// descriptor, and a node that does not resume service when descriptors are free again.
#[test]
fn without_descriptors_accepted_requests_are_answered_and_others_are_served_once_descriptors_are_free(
) {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut accepted_client = node.client();
    accepted_client.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n");
    discovery.wait_until_applied(1);
    set_limit(&node, Resource::Nofile, NO_FREE_DESCRIPTORS);
    let (cpu_time, start) = (cpu_seconds(&node), Instant::now());
    // The connection to the endpoint needs a descriptor. The shortage is no failure of the
    // endpoint, and the request is shed at once.
    assert_shed(&accepted_client.request(&api_request("once", 1, 20_000)));
    // Without a descriptor to accept them, these connections wait in the kernel's accept queue.
    let mut waiting_clients: Vec<_> = (2..40).map(|key| (key, node.client())).collect();
    waiting_clients
        .iter_mut()
        .for_each(|(key, client)| client.send(&api_request("read", *key, 50_000)));
    sleep(Duration::from_secs(3));
    let (cpu_time, wall_time) = (cpu_seconds(&node) - cpu_time, start.elapsed().as_secs_f64());
    assert!(
        cpu_time < wall_time / 4.0,
        "{cpu_time} s of CPU time in {wall_time} s"
    );
    let accept_lines = log_lines(&node, "accept: ").len();
    assert!(
        (1..=10).contains(&accept_lines),
        "{accept_lines} log lines in {wall_time:.1} s without a free descriptor"
    );
    assert_eq!(server.request_count(), 0);
    set_limit(&node, Resource::Nofile, None);
    let mut served = 0;
    for (_, client) in &mut waiting_clients {
        // All requests arrive at once, and a server without previous requests receives only a few
        // at first.
        let response = client
            .read_response()
            .expect("no response to a waiting client");
        match response.status() {
            200 => served += 1,
            _ => assert_shed(&response),
        }
    }
    assert!(served > 10, "{served}");
    assert_eq!(
        accepted_client
            .try_request(&api_request("once", 1, 20_000))
            .unwrap_or_else(|| node.read("once", 1))
            .status(),
        200
    );
    // Afterwards the log states the number of suppressed lines and the duration of the suppression.
    wait_for("the summary of suppressed log lines", || {
        let suppression_lines = log_lines(&node, "accept: ");
        suppression_lines.iter().any(|line| {
            line.contains("more lines left out, ") && line.contains("Too many open files")
        })
    });
}

// Guards against a reload that is lost for lack of a descriptor: if the old discovery is then shut
// down, the node receives no further list.
#[test]
fn a_reload_without_descriptors_is_retried_until_descriptors_are_free() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1")];
    let discoveries = servers
        .each_ref()
        .map(|server| Discovery::start(&[server.entry("s-1", "ready")]));
    let node = Node::ready(&config(discoveries[0].address));
    discoveries[0].wait_until_applied(1);
    set_limit(&node, Resource::Nofile, NO_FREE_DESCRIPTORS);
    node.reload(&config(discoveries[1].address).to_string());
    wait_for("the log line of the failed reload", || {
        !log_lines(&node, "configuration rejected: ").is_empty()
    });
    assert_eq!(discoveries[1].call_count(), 0);
    set_limit(&node, Resource::Nofile, None);
    discoveries[1].wait_until_applied(1);
    assert_eq!(node.read("read", 1).body, b"1");
}

// Guards against a node terminated by SIGXFSZ at the size limit of a file, against dropped records
// that are not counted, and against a broken chain of audit records.
#[test]
fn at_the_file_size_limit_records_are_dropped_and_counted_and_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let folder = std::env::temp_dir().join(format!("slatelink-fsize-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let [audit_file, metrics_file] = ["trail", "figures"].map(|name| folder.join(name));
    let settings = format!(
        "[audit]\npath = \"{}\"\n[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        audit_file.display(),
        metrics_file.display()
    );
    let node = Node::with_features(&config(discovery.address), &settings);
    discovery.wait_until_applied(1);
    let file_size = |path| fs::metadata(path).map_or(0, |file| file.len());
    wait_for("the audit records of the start", || {
        fs::read_to_string(&audit_file).unwrap().contains("\"s-1\"")
    });
    wait_for("a metrics file larger than the audit file", || {
        file_size(&metrics_file) > file_size(&audit_file) + 40
    });
    // The limit truncates a record in the middle of its line.
    set_limit(&node, Resource::Fsize, Some(file_size(&audit_file) + 40));
    for seq in 2..5 {
        discovery.publish(
            false,
            &[server.entry("s-1", ["ready", "odd"][seq as usize % 2])],
        );
        discovery.wait_until_applied(seq);
    }
    wait_for("the log lines of dropped records", || {
        log_lines(&node, "audit: a record is not written").len() >= 2
    });
    let verify_output = || {
        let finished = command()
            .args(["audit", "verify"])
            .arg(&audit_file)
            .output()
            .unwrap();
        String::from_utf8(finished.stdout).unwrap()
    };
    assert!(
        verify_output().starts_with("ok "),
        "the truncated record was not removed: {}",
        verify_output()
    );
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    discovery.wait_until_applied(5);
    assert_eq!(node.read("read", 1).status(), 200);
    set_limit(&node, Resource::Fsize, None);
    discovery.publish(false, &[server.entry("s-2", "ready")]);
    wait_for("the audit record of lost records", || {
        fs::read_to_string(&audit_file)
            .unwrap()
            .contains("\"event\":\"lost\"")
    });
    wait_for("the audit record that follows", || {
        fs::read_to_string(&audit_file).unwrap().contains("\"s-2\"")
    });
    assert!(verify_output().starts_with("ok "), "{}", verify_output());
    wait_for("the metric of dropped batches", || {
        fs::read_to_string(&metrics_file)
            .unwrap()
            .lines()
            .any(|line| line.starts_with("slatelink.figures.dropped:"))
    });
    assert_eq!(node.read("read", 2).status(), 200);
    // A running node would re-create its files during the removal.
    drop(node);
    fs::remove_dir_all(folder).unwrap();
}

// Guards against a node without features that stalls because its log is not read.
#[test]
fn a_node_without_features_serves_while_its_log_is_not_read() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let (mut reader, writer) = std::io::pipe().unwrap();
    rustix::pipe::fcntl_setpipe_size(&writer, 4096).unwrap();
    let first_line = || {
        let mut bytes = [0; 4096];
        let n = reader.read(&mut bytes).unwrap();
        String::from_utf8_lossy(&bytes[..n]).into_owned()
    };
    let node = Node::with_stderr(&config(discovery.address), writer.into(), first_line);
    let mut client = node.client();
    for key in 0..300 {
        node.reload("not a configuration");
        assert_eq!(
            client
                .try_request(&api_request("read", key, 20_000))
                .expect("no response during reloads")
                .status(),
            200
        );
    }
    node.terminate();
    assert!(node.wait_for_exit().success());
    drop(reader);
}

// Guards against a node without features that SIGXFSZ terminates when its log file reaches the size
// limit.
#[test]
fn a_node_without_features_keeps_running_at_the_size_limit_of_its_log_file() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = std::env::temp_dir().join(format!("slatelink-log-{}", std::process::id()));
    let log = || fs::read_to_string(&path).unwrap();
    let first_line = || {
        wait_for("the first line", || log().ends_with('\n'));
        log()
    };
    let node = Node::with_stderr(
        &config(discovery.address),
        File::create(&path).unwrap().into(),
        first_line,
    );
    let mut client = node.client();
    set_limit(&node, Resource::Fsize, Some(0));
    for key in 0..20 {
        node.reload("not a configuration");
        assert_eq!(
            client
                .try_request(&api_request("read", key, 20_000))
                .expect("no response during reloads")
                .status(),
            200
        );
    }
    set_limit(&node, Resource::Fsize, None);
    node.reload("not a configuration");
    wait_for("the log line of the failed reload", || {
        log().contains("configuration rejected")
    });
    fs::remove_file(&path).unwrap();
}

// Guards against a cache server that is not used again after it ran out of resources and recovered,
// and against a truncated response that is forwarded as complete.
#[test]
fn an_endpoint_out_of_descriptors_loses_no_request_and_is_used_again() {
    let failures_left = Arc::new(AtomicU32::new(30));
    let failure_counter = failures_left.clone();
    let failing = CacheServer::start(move |_| {
        match failure_counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        {
            // Out of descriptors: the connection is accepted and closed. Out of memory: the
            // response is truncated.
            Ok(n) if n % 2 == 0 => Reply::ResponseAndClose(String::new()),
            Ok(_) => {
                Reply::ResponseAndClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nva".to_owned())
            }
            Err(_) => Reply::Response(http_response("200 OK", "", "value")),
        }
    });
    let healthy = CacheServer::serving("value");
    let discovery =
        Discovery::start(&[failing.entry("s-1", "ready"), healthy.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut key = 0;
    wait_for("requests to the recovered server", || {
        key += 1;
        let response = node.read("read", key);
        assert!(matches!(response.status(), 200 | 503), "{response:?}");
        assert!(
            response.status() != 200 || response.body == b"value",
            "{response:?}"
        );
        // The server restarts with an empty cache under the same name.
        if key == 60 {
            failures_left.store(0, Ordering::SeqCst);
            let mut entry = failing.entry("s-1", "ready");
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap();
            entry["born_ms"] = json!(now.as_millis() as u64);
            discovery.publish(false, &[entry]);
            discovery.wait_until_applied(2);
        }
        key > 200 && failing.request_count() > 40
    });
}

// Guards against idle clients that hold all descriptors while discovery is down, so that the node
// can connect neither to the restarted discovery nor to a server of its new list; and against a
// node that spins meanwhile.
#[test]
fn idle_clients_at_the_full_quota_leave_descriptors_for_discovery_and_endpoints() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1")];
    let old_discovery = Discovery::start(&[servers[0].entry("s-0", "ready")]);
    let mut small_config = config(old_discovery.address);
    small_config["limits"]["sockets"] = json!(64);
    let node = Node::ready(&small_config);
    old_discovery.wait_until_applied(1);
    // As on the platform, no descriptor can be opened above the configured limit.
    set_limit(&node, Resource::Nofile, Some(64));
    // The new configuration names a discovery address on which nothing listens yet.
    let address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    node.reload(&config(address).to_string());
    wait_for("the log line of a failed call", || {
        !log_lines(&node, "discovery: ").is_empty()
    });
    // Twice the number of clients that the node can accept; the other clients wait unaccepted.
    let mut idle_clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    let (cpu_time, start) = (cpu_seconds(&node), Instant::now());
    for (key, client) in idle_clients.iter_mut().enumerate().take(20) {
        client.try_send(&api_request("read", key as u64, 20_000));
    }
    sleep(Duration::from_secs(2));
    let (cpu_time, wall_time) = (cpu_seconds(&node) - cpu_time, start.elapsed().as_secs_f64());
    assert!(
        cpu_time < wall_time / 4.0,
        "{cpu_time} s of CPU time in {wall_time} s"
    );
    let new_discovery = Discovery::start_at(address, &[servers[1].entry("s-1", "ready")]);
    let start = Instant::now();
    new_discovery.wait_until_applied(1);
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
    // The client has to wait for a descriptor, and the node has no connection to the endpoint yet.
    let mut late_client = node.client();
    assert_eq!(
        late_client
            .request(&api_request("once", 1_000, 20_000))
            .body,
        b"1"
    );
    drop(idle_clients);
    wait_for("service after the idle clients disconnected", || {
        node.read("read", 1_001).status() == 200
    });
}
