//! The hot list that a node prints of the keys requested most, over loopback sockets.

mod node_common;

use node_common::*;

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
