//! Settings that change while a node runs: SIGHUP with a changed file, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time after which requests of a vanished class are rejected, with a margin.
const VANISHED_AFTER: Duration = Duration::from_millis(1_300);

/// Returns the position of a class in the tests' configuration.
fn class_index(config: &Value, name: &str) -> usize {
    let classes = config["settings"]["lanes"].as_array().unwrap();
    classes
        .iter()
        .position(|class| class["name"] == name)
        .unwrap()
}

/// Returns the configuration without this class.
fn without_class(config: &Value, name: &str) -> Value {
    let mut changed = config.clone();
    let index = class_index(config, name);
    let classes = changed["settings"]["lanes"].as_array_mut().unwrap();
    classes.remove(index);
    changed
}

/// Returns the configuration with this effect of a class.
fn with_effect(config: &Value, name: &str, effect: &str) -> Value {
    let mut changed = config.clone();
    changed["settings"]["lanes"][class_index(config, name)]["effect"] = json!(effect);
    changed
}

fn count_log_lines(node: &Node, prefix: &str) -> usize {
    let log = node.log.lock().unwrap();
    log.iter().filter(|line| line.starts_with(prefix)).count()
}

/// Reloads the configuration and waits until it is in force.
fn reload(node: &Node, config: &Value) {
    const ACCEPTED: &str = "configuration reloaded: ";
    let before = count_log_lines(node, ACCEPTED);
    node.reload(&config.to_string());
    wait_for("the reload", || count_log_lines(node, ACCEPTED) > before);
}

/// Reloads a text and waits until it is rejected; returns the reason.
fn rejected_reload(node: &Node, text: &str) -> String {
    const REJECTED: &str = "configuration rejected: ";
    let before = count_log_lines(node, REJECTED);
    node.reload(text);
    wait_for("the rejection", || count_log_lines(node, REJECTED) > before);
    let log = node.log.lock().unwrap();
    let line = log.iter().rfind(|line| line.starts_with(REJECTED));
    line.unwrap()[REJECTED.len()..].to_owned()
}

/// Starts two servers with the same reply, discovery, and a node.
fn start_fleet(
    features: &str,
    reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
) -> (Vec<CacheServer>, Discovery, Node, Value) {
    let (servers, discovery) = start_servers(2, reply);
    let node_config = config(discovery.address);
    let node = Node::with_features(&node_config, features);
    discovery.wait_until_applied(1);
    (servers, discovery, node, node_config)
}

fn error_response() -> Reply {
    Reply::Response(http_response("500 Internal Server Error", "", "error"))
}

// Guards against a class that vanishes and appears again as unsafe, and whose requests are still
// sent again after an error: they may run twice.
#[test]
fn a_class_that_appears_again_as_unsafe_is_not_sent_again_after_an_error() {
    let (servers, _discovery, node, node_config) = start_fleet("", |_| error_response());
    assert_eq!(node.read("keyed", 1).status(), 503);
    assert!(
        total_requests(&servers) > 1,
        "a keyed request is sent again"
    );
    reload(&node, &without_class(&node_config, "keyed"));
    reload(&node, &with_effect(&node_config, "keyed", "unsafe"));
    let before = total_requests(&servers);
    for key in 10..20 {
        assert_eq!(node.read("keyed", key).status(), 502);
    }
    assert_eq!(total_requests(&servers) - before, 10);
}

// Guards against a request under way that loses its class, or whose effect changes with the class:
// its client sent it with or without an idempotency key.
#[test]
fn a_request_under_way_keeps_its_class_and_its_effect() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let failed_ids: Arc<Mutex<HashSet<String>>> = Arc::default();
    // The first attempt of each request fails, once the gate is open.
    let (servers, _discovery, node, node_config) = start_fleet("", move |request| {
        let id = request.header("req-id").unwrap_or_default().to_owned();
        server_gate.wait_until_open();
        if failed_ids.lock().unwrap().insert(id) {
            error_response()
        } else {
            Reply::Response(http_response("200 OK", "", "value"))
        }
    });
    let mut clients = ["keyed", "once", "read"].map(|class| {
        let mut client = node.client();
        let id = match class {
            "keyed" => 1,
            "once" => 2,
            _ => 3,
        };
        client.send(&api_request(class, id, 20_000));
        client
    });
    wait_for("the first attempts", || total_requests(&servers) == 3);
    let mut changed = with_effect(&node_config, "keyed", "unsafe");
    changed = with_effect(&changed, "once", "safe");
    reload(&node, &without_class(&changed, "read"));
    gate.open();
    let statuses = clients
        .each_mut()
        .map(|client| client.read_response().expect("a response").status());
    // The keyed request and the one of the vanished class are sent again, the unsafe one fails.
    assert_eq!(statuses, [200, 502, 200]);
    assert_eq!(total_requests(&servers), 5);
}

// Guards against a file that is taken in part: its address without its settings, or the reverse.
#[test]
fn a_rejected_file_changes_neither_the_settings_nor_the_discovery_address() {
    let (servers, discovery, node, node_config) = start_fleet("", |_| error_response());
    let other = Discovery::start(&[servers[0].entry("s-0", "ready")]);
    let mut stricter = with_effect(&node_config, "read", "unsafe");
    stricter["discovery"] = json!(other.address.to_string());
    let valid = stricter.to_string();
    let mut lacks_key = stricter.clone();
    let limits = lacks_key["settings"]["limits"].as_object_mut().unwrap();
    limits.remove("most_tries").unwrap();
    let mut zero_deadline = stricter.clone();
    zero_deadline["settings"]["lanes"][2]["hard_limit_us"] = json!(0);
    let mut text_for_attempts = stricter.clone();
    text_for_attempts["settings"]["limits"]["most_tries"] = json!("three");
    let mut no_address = stricter.clone();
    no_address["discovery"] = json!("nowhere");
    for (text, reason) in [
        (String::new(), "EOF"),
        (valid[..valid.len() - 1].to_owned(), "EOF"),
        (
            lacks_key.to_string(),
            "lacks the key settings.limits.most_tries",
        ),
        (
            zero_deadline.to_string(),
            "settings.lanes.2.hard_limit_us is 0, expected a number above 0",
        ),
        (text_for_attempts.to_string(), "most_tries"),
        (no_address.to_string(), "nowhere"),
    ] {
        let rejection = rejected_reload(&node, &text);
        assert!(rejection.contains(reason), "{rejection}");
    }
    let before = total_requests(&servers);
    assert_eq!(node.read("read", 1).status(), 503);
    assert!(
        total_requests(&servers) - before > 1,
        "reads are sent again"
    );
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    assert_eq!(other.call_count(), 0, "the new discovery was called");
    reload(&node, &stricter);
    other.wait_until_applied(1);
    let before = total_requests(&servers);
    assert_eq!(node.read("read", 2).status(), 502);
    assert_eq!(total_requests(&servers) - before, 1);
}

// Guards against fewer attempts or shorter deadlines that are not in force after a reload.
#[test]
fn fewer_attempts_and_shorter_deadlines_are_in_force_after_a_reload() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let (servers, _discovery, node, node_config) = start_fleet("", move |request| {
        if request.start.contains("ffff") {
            server_gate.wait_until_open();
        }
        error_response()
    });
    let mut changed = node_config.clone();
    changed["settings"]["limits"]["most_tries"] = json!(1);
    changed["settings"]["lanes"][class_index(&node_config, "once")]["hard_limit_us"] =
        json!(300_000);
    reload(&node, &changed);
    assert_eq!(node.read("read", 1).status(), 503);
    assert_eq!(total_requests(&servers), 1);
    // The client states 20 s.
    let started_at = std::time::Instant::now();
    assert_eq!(node.read("once", 0xffff).status(), 502);
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_secs(10), "{waited:?}");
    gate.open();
}

// Guards against a class that vanishes and shifts the quotas and metrics of the classes after it.
#[test]
fn quotas_and_metrics_stay_with_their_classes_when_another_class_vanishes() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let metrics_path = temporary_path("settings-metrics");
    let features = format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n[front.per_class]\nonce = 1\n",
        metrics_path.display()
    );
    let (servers, _discovery, node, node_config) = start_fleet(&features, move |request| {
        if request.header("req-id") != Some("7") {
            server_gate.wait_until_open();
        }
        Reply::Response(http_response("200 OK", "", "value"))
    });
    reload(&node, &without_class(&node_config, "read"));
    // One in a hundred of the clients' third of 1,024 descriptors: three requests.
    let mut held: Vec<_> = (0..3u64)
        .map(|key| {
            let mut client = node.client();
            client.send(&api_request("once", 0x100 + key, 20_000));
            client
        })
        .collect();
    wait_for("the attempts", || total_requests(&servers) == 3);
    assert_shed(&node.read("once", 1));
    let keyed = node.client().request(&api_request("keyed", 7, 20_000));
    assert_eq!(keyed.status(), 200, "another class has no quota");
    let metrics = || std::fs::read_to_string(&metrics_path).unwrap_or_default();
    wait_for("the metric of the class", || {
        metrics()
            .lines()
            .any(|line| line.starts_with("slatelink.req.count:1|") && line.contains("#kind:keyed"))
    });
    wait_for("the gauge of the class", || {
        let has_gauge = |gauge: &str| metrics().lines().any(|line| line == gauge);
        has_gauge("slatelink.req.open:3|g|#kind:once")
    });
    gate.open();
    for client in &mut held {
        assert_eq!(client.read_response().expect("a response").status(), 200);
    }
    let _ = std::fs::remove_file(metrics_path);
}

// Guards against a vanished class that is served forever, and against one that is rejected while
// its clients' requests are still on their way.
#[test]
fn a_vanished_class_is_rejected_after_a_grace_period() {
    let (_servers, _discovery, node, node_config) = start_fleet("", |_| {
        Reply::Response(http_response("200 OK", "", "value"))
    });
    reload(&node, &without_class(&node_config, "read"));
    assert_eq!(node.read("read", 1).status(), 200);
    std::thread::sleep(VANISHED_AFTER);
    let rejected = node.read("read", 2);
    assert_eq!(rejected.status(), 400);
    assert_eq!(rejected.body, b"unknown Req-Kind");
    assert_eq!(node.read("once", 3).status(), 200);
    // A new class takes the free position, and is a class of its own.
    let mut renamed = with_effect(&node_config, "read", "unsafe");
    renamed["settings"]["lanes"][class_index(&node_config, "read")]["name"] = json!("lookup");
    reload(&node, &renamed);
    assert_eq!(node.read("lookup", 4).status(), 200);
    assert_eq!(node.read("read", 5).status(), 400);
}
