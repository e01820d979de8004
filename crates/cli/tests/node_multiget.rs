//! The side port for many keys and the command that asks there, over the command line and loopback sockets.

mod node_common;

use node_common::*;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

const SIDE: &str = "[multiget]\nport = 0\n";

/// Where a node's side port is.
fn side(node: &Node) -> SocketAddr {
    let address = || {
        let log = node.log.lock().unwrap();
        log.iter()
            .find_map(|line| line.strip_prefix("multi-get listens on "))
            .map(|text| text.parse().unwrap())
    };
    wait_for("the side port", || address().is_some());
    address().unwrap()
}

fn client(address: SocketAddr) -> Client {
    let stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    Client::on(stream)
}

fn post(items: &str, deadline_ms: u64) -> String {
    format!(
        "POST /multi HTTP/1.1\r\nHost: s\r\nReq-Kind: read\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{items}",
        items.len()
    )
}

fn multi_get(node: SocketAddr, deadline_ms: u64, keys: &[String]) -> Command {
    let mut command = command();
    command.args(["multi-get", "--node", &node.to_string(), "--kind", "read"]);
    command
        .args(["--deadline-ms", &deadline_ms.to_string()])
        .args(keys);
    command
}

fn lines(output: &Output) -> Vec<Value> {
    let text = std::str::from_utf8(&output.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn keys(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{:016x}", i + 1)).collect()
}

/// A cache server whose body is what it was asked for.
fn echo(asked: &Message) -> Reply {
    Reply::Answer(answer("200 OK", "", asked.start.split(' ').nth(1).unwrap()))
}

// Guards against items that are not what single requests would be, and against lines out of order.
#[test]
fn each_key_is_a_request_of_its_own_and_lines_come_in_the_order_given() {
    let server = CacheServer::start(|asked| match asked.start.contains("0003 ") {
        true => Reply::Answer(answer("500 No", "", "")),
        false => echo(asked),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = std::env::temp_dir().join(format!("slatelink-{}-multi", std::process::id()));
    let features = format!(
        "{SIDE}[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n[hotlist]\n",
        path.display()
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let keys = keys(32);
    let output = multi_get(side(&node), 20_000, &keys).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    assert_eq!(
        text.lines().next().unwrap(),
        format!(
            "{{\"i\":0,\"key\":\"{0}\",\"status\":200,\"body\":\"/api/{0}\"}}",
            keys[0]
        )
    );
    for (i, (line, key)) in lines(&output).iter().zip(&keys).enumerate() {
        // A server's error may be the class's to send again or not: here there is no other server.
        let expected = match i {
            2 => json!({"i": 2, "key": key, "status": line["status"]}),
            _ => json!({"i": i, "key": key, "status": 200, "body": format!("/api/{key}")}),
        };
        assert_eq!(*line, expected);
    }
    assert!(
        [502, 503]
            .map(Value::from)
            .contains(&lines(&output)[2]["status"]),
        "{:?}",
        lines(&output)[2]
    );
    assert_eq!(lines(&output).len(), 32);
    let asked = server.received.lock().unwrap();
    assert!(asked
        .iter()
        .all(|message| message.start.starts_with("GET /api/")));
    let ids: HashSet<_> = asked
        .iter()
        .map(|message| message.header("req-id").unwrap().to_owned())
        .collect();
    assert_eq!(ids.len(), 32, "a fresh id each");
    assert!(asked
        .iter()
        .all(|m| m.header("req-deadline-ms").unwrap().parse::<u64>().unwrap() < 20_000));
    drop(asked);
    let counted = || -> u64 {
        let text = std::fs::read_to_string(&path).unwrap();
        let counts = text
            .lines()
            .filter_map(|line| line.strip_prefix("slatelink.req.count:"));
        let ours = counts.filter_map(|rest| rest.split_once("|c|#kind:read,"));
        ours.map(|(count, _)| count.parse::<u64>().unwrap()).sum()
    };
    wait_for("figures of each item", || counted() == 32);
    node.signal("-USR1");
    wait_for("the hot list", || {
        let log = node.log.lock().unwrap();
        log.iter()
            .filter(|line| line.starts_with("hot read 0"))
            .count()
            == 32
    });
    std::fs::remove_file(path).unwrap();
}

// Guards against more than so many items out at once.
#[test]
fn no_more_than_the_configured_number_of_items_are_in_flight_at_once() {
    let gate = Gate::default();
    let held = gate.clone();
    let server = CacheServer::start(move |asked| {
        held.wait_until_open();
        echo(asked)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(
        &config(discovery.address),
        "[multiget]\nport = 0\nparallel = 3\n",
    );
    let mut asking = multi_get(side(&node), 20_000, &keys(9));
    let asked = std::thread::spawn(move || asking.output().unwrap());
    wait_for("the first items", || server.count() == 3);
    // The node answers others meanwhile, and sends no fourth.
    for _ in 0..5 {
        assert_eq!(node.get("/healthz").status(), 200);
    }
    assert_eq!(server.count(), 3);
    gate.open();
    assert!(lines(&asked.join().unwrap())
        .iter()
        .all(|line| line["status"] == 200));
    assert_eq!(server.count(), 9);
}

// The operators' own check: two cache servers, one of which stops partway. What the other one has answered is
// printed whole, the rest is partial once the time is up, and nothing is asked twice for it.
#[test]
fn with_one_of_two_endpoints_stopped_unfinished_keys_are_printed_as_partial_in_time() {
    let stopped = Arc::new(AtomicBool::new(false));
    let off = stopped.clone();
    let one = CacheServer::start(echo);
    let two = CacheServer::start(move |asked| {
        if off.load(Ordering::SeqCst) {
            Reply::NoAnswer
        } else {
            echo(asked)
        }
    });
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::with_features(&config(discovery.address), SIDE);
    let node_side = side(&node);
    let keys = keys(12);
    let whole = lines(&multi_get(node_side, 20_000, &keys).output().unwrap());
    assert!(whole.iter().all(|line| line["status"] == 200), "{whole:?}");
    let of_two: HashSet<String> = two
        .received
        .lock()
        .unwrap()
        .iter()
        .map(|m| m.start.split(['/', ' ']).nth(3).unwrap().to_owned())
        .collect();
    assert!(
        !of_two.is_empty() && of_two.len() < 12,
        "both have keys: {of_two:?}"
    );
    stopped.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let output = multi_get(node_side, 1_500, &keys).output().unwrap();
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(output.status.code(), Some(0));
    let partial = lines(&output);
    assert_eq!(partial.len(), 12);
    for (i, (line, key)) in partial.iter().zip(&keys).enumerate() {
        let expected = match of_two.contains(key) {
            true => json!({"i": i, "key": key, "partial": true}),
            false => whole[i].clone(),
        };
        assert_eq!(*line, expected);
    }
    // The main port serves on, and the ids are free again.
    let key = keys.iter().position(|key| !of_two.contains(key)).unwrap() as u64 + 1;
    assert_eq!(node.read("read", key).status(), 200);
}

// Guards against what is done being lost with a node that dies, and against a wait for one that is gone.
#[test]
fn finished_keys_are_printed_when_the_node_dies_and_others_as_partial() {
    let server = CacheServer::start(|asked| match asked.start.contains("0003 ") {
        true => Reply::NoAnswer,
        false => echo(asked),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut node = Node::with_features(&config(discovery.address), SIDE);
    let node_side = side(&node);
    let mut child = multi_get(node_side, 60_000, &keys(3))
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    // What is next in the order is printed as it comes.
    let mut out = std::io::BufReader::new(child.stdout.take().unwrap());
    for i in 0..2 {
        let mut line = String::new();
        std::io::BufRead::read_line(&mut out, &mut line).unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        assert_eq!((&line["i"], &line["status"]), (&i.into(), &200.into()));
    }
    wait_for("the third item", || server.count() == 3);
    node.child.kill().unwrap();
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut out, &mut rest).unwrap();
    let expected = json!({"i": 2, "key": keys(3)[2], "partial": true});
    assert_eq!(serde_json::from_str::<Value>(&rest).unwrap(), expected);
    assert_eq!(child.wait().unwrap().code(), Some(1));
    // Nobody listens there any more.
    let output = multi_get(node_side, 60_000, &keys(2)).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(lines(&output).iter().all(|line| line["partial"] == true) && lines(&output).len() == 2);
    assert_eq!(
        std::str::from_utf8(&output.stderr).unwrap().lines().count(),
        1,
        "{output:?}"
    );
}

// Guards against a call with more keys than allowed, of which some are sent.
#[test]
fn too_many_keys_exit_2_and_send_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let output = multi_get(address, 1_000, &keys(33)).output().unwrap();
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    listener.set_nonblocking(true).unwrap();
    assert_eq!(
        listener.accept().unwrap_err().kind(),
        std::io::ErrorKind::WouldBlock
    );
}

// Guards against input that takes the side port down or reaches a cache server.
#[test]
fn invalid_calls_are_answered_with_their_status_and_reach_no_endpoint() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), SIDE);
    let side = side(&node);
    let item = |key: &str, id: &str| json!({"key": key, "req_id": id});
    let many: Vec<_> = (0..33).map(|i| item("1", &i.to_string())).collect();
    let long = json!([item(&"k".repeat(70_000), "1")]).to_string();
    let cases = [
        (post("", 900), 400),
        (post("{}", 900), 400),
        (post("[1]", 900), 400),
        (post("[{\"key\":\"1\"}]", 900), 400),
        (post("[{\"key\":\"1\",\"req_id\":1}]", 900), 400),
        (
            post(
                &json!([{"key": "1", "req_id": "1", "more": 1}]).to_string(),
                900,
            ),
            400,
        ),
        (post(&json!([item("1", "")]).to_string(), 900), 400),
        (post(&json!([item("", "1")]).to_string(), 900), 400),
        (post(&json!([item("1", "a\r\nb: c")]).to_string(), 900), 400),
        (
            post(&json!([item("1 HTTP/1.1", "1")]).to_string(), 900),
            400,
        ),
        (post(&json!([item("../1", "1")]).to_string(), 900), 400),
        (post(&json!([item("1?x", "1")]).to_string(), 900), 400),
        (
            post(&json!([item("1", "1"), item("2", "1")]).to_string(), 900),
            400,
        ),
        (post("[]", 900).replace("read", "other"), 400),
        (post("[]", 900).replace("Req-Kind: read\r\n", ""), 400),
        (post("[]", 900).replace("900", "soon"), 400),
        (post(&json!(many).to_string(), 900), 413),
        (post(&long, 900), 413),
        (post("[]", 900).replace("/multi", "/other"), 404),
        (post("[]", 900).replace("POST", "GET"), 405),
        (
            post("[]", 900)
                .replace("Content-Length: 2", "Transfer-Encoding: chunked")
                .replace("[]", "0\r\n\r\n"),
            411,
        ),
        (read("read", 1, 900), 404),
    ];
    for (text, status) in cases {
        let mut client = client(side);
        assert_eq!(client.request(&text).status(), status, "{text}");
        assert_eq!(client.answer(), None, "still open after {text}");
    }
    assert_eq!(server.count(), 0);
    let mut silent = client(side);
    assert_eq!(silent.answer(), None, "a silent peer is closed");
    // The main port does not take what the side port does.
    assert_eq!(node.client().request(&post("[]", 900)).status(), 404);
}

// Guards against work that goes on for a client that has left, and against ids that two requests share.
#[test]
fn items_of_a_disconnected_client_are_cancelled_and_an_id_in_flight_is_rejected() {
    let server = CacheServer::start(|asked| match asked.header("req-id") {
        Some("held") => Reply::NoAnswer,
        _ => echo(asked),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = std::env::temp_dir().join(format!("slatelink-{}-left", std::process::id()));
    let features = format!(
        "{SIDE}parallel = 1\n[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        path.display()
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let side = side(&node);
    let items =
        json!([{"key": "1", "req_id": "held"}, {"key": "2", "req_id": "later"}]).to_string();
    let mut leaver = client(side);
    leaver.send(&post(&items, 20_000));
    wait_for("the first item", || server.count() == 1);
    let mut second = client(side);
    second.send(&post(
        &json!([{"key": "1", "req_id": "held"}]).to_string(),
        20_000,
    ));
    let taken = second.read_to_end();
    assert!(
        taken.contains("{\"i\":0,\"key\":\"1\",\"status\":409}\n"),
        "{taken}"
    );
    drop(leaver);
    let left = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("status:left")
            .count()
    };
    wait_for("the item's end", || left() == 1);
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(server.count(), 2, "the second item is never sent");
    std::fs::remove_file(path).unwrap();
}

// Guards against items that have descriptors of their own past the node's limit, and against a side port that
// takes the places of the usual clients.
#[test]
fn with_few_descriptors_all_items_and_clients_are_still_served() {
    let server = CacheServer::start(echo);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    // Six places for clients: the items of three calls wait for them in turn.
    small["limits"]["sockets"] = json!(46);
    let node = Node::with_features(&small, SIDE);
    let side = side(&node);
    let idle: Vec<_> = (0..5)
        .map(|i| {
            let mut client = node.client();
            assert_eq!(
                client.request(&read("read", 1_000 + i, 20_000)).status(),
                200
            );
            client
        })
        .collect();
    let mut calls: Vec<_> = (0..3).map(|_| multi_get(side, 20_000, &keys(12))).collect();
    let calls: Vec<_> = calls
        .iter_mut()
        .map(|call| call.stdout(std::process::Stdio::piped()).spawn().unwrap())
        .collect();
    for call in calls {
        let output = call.wait_with_output().unwrap();
        assert!(
            lines(&output).iter().all(|line| line["status"] == 200),
            "{output:?}"
        );
    }
    assert_eq!(node.read("read", 2_000).status(), 200);
    drop(idle);
}

// Guards against a stop that loses the items it has taken.
#[test]
fn a_terminated_node_finishes_accepted_calls() {
    let gate = Gate::default();
    let held = gate.clone();
    let server = CacheServer::start(move |asked| {
        held.wait_until_open();
        echo(asked)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), SIDE);
    let side = side(&node);
    let mut asking = multi_get(side, 20_000, &keys(12));
    let asked = std::thread::spawn(move || asking.output().unwrap());
    wait_for("the first items", || server.count() == 8);
    node.terminate();
    wait_for("a closed side port", || {
        std::net::TcpStream::connect(side).is_err()
    });
    gate.open();
    let output = asked.join().unwrap();
    assert!(
        lines(&output).iter().all(|line| line["status"] == 200),
        "{output:?}"
    );
    assert!(node.exit().success());
}

// Guards against a side port that is there unasked.
#[test]
fn without_a_configured_port_none_is_opened_and_one_in_use_is_a_failed_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let told = config(discovery.address);
    let node = Node::with_features(&told, "[multiget]\nparallel = 2\n");
    assert!(!node
        .log
        .lock()
        .unwrap()
        .iter()
        .any(|line| line.contains("multi-get")));
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = write_config(&format!(
        "[multiget]\nport = {}\n",
        taken.local_addr().unwrap().port()
    ));
    let told = write_config(&told.to_string());
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
    assert!(error.starts_with("slatelink: multiget: "), "{error}");
}
