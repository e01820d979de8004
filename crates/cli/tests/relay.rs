//! A relay between stand-ins for discovery and callers, some of them real nodes, over loopback sockets.

mod node_common;
mod relay_common;

use node_common::*;
use relay_common::*;
use serde_json::json;
use std::process::Command;

// Guards against answers that differ from discovery's, and against watchers that are left out of a change.
#[test]
fn lists_and_watches_are_answered_as_discovery_answers_them() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &["--lease-ms", LONG_LEASE]);
    assert_eq!(relay.list("/v1/servers"), source.lock().told(None));
    assert_eq!(
        relay.list("/v1/servers?after=50&wait_ms=1"),
        json!({"seq": 50, "whole": false, "hosts": []})
    );
    let mut watching: Vec<_> = (0..20).map(|_| relay.watching(50)).collect();
    source.publish(entry("s-1", "draining"));
    let change = source.lock().told(Some(50));
    for client in &mut watching {
        assert_eq!(body(&client.answer().unwrap()), change);
    }
    assert_eq!(
        relay.list("/v1/servers?after=50"),
        change,
        "also to one that comes later"
    );
    assert_eq!(
        relay.list("/v1/servers?after=7")["whole"],
        true,
        "of an unknown version nothing is known"
    );
    let counts = relay.status()["callers"].clone();
    assert_eq!(
        (&counts["change_answers"], &counts["whole_answers"]),
        (&json!(21), &json!(2))
    );
    assert_eq!(
        source.asked("/v1/servers"),
        3,
        "upstream sees one caller: a whole list and two watches"
    );
}

// Guards against requests that are guessed at.
#[test]
fn invalid_calls_are_rejected_with_a_sentence() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &[]);
    let refused = |request: &str, status: u16, why: &str| {
        let message = relay.client().request(request);
        assert!(
            message.status() == status && text(&message).contains(why),
            "{request}: {}",
            text(&message)
        );
    };
    refused(
        &request("/v1/servers?after=1&wait_ms=60001"),
        400,
        "wait_ms is 60001: at most 60000 is possible",
    );
    refused(
        &request("/v1/servers?after=x"),
        400,
        "after is \"x\": a whole number is expected",
    );
    refused(&request("/v1/hosts"), 404, "there is nothing at /v1/hosts");
    refused(
        "PUT /v1/servers HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n",
        405,
        "GET is expected",
    );
}

// Guards against a relay that starts on settings that make no sense.
#[test]
fn invalid_arguments_are_refused_with_a_sentence() {
    for (arguments, why) in [
        (&["--listen", "127.0.0.1:0"][..], "--upstream"),
        (
            &[
                "--upstream",
                "127.0.0.1:1",
                "--listen",
                "127.0.0.1:0",
                "--lease-ms",
                "9",
            ],
            "lease_ms is 9",
        ),
        (
            &[
                "--upstream",
                "127.0.0.1:1",
                "--listen",
                "127.0.0.1:0",
                "--callers",
                "0",
            ],
            "callers is 0",
        ),
        (
            &[
                "--upstream",
                "127.0.0.1:1",
                "--listen",
                "127.0.0.1:0",
                "--callers",
                "999999",
            ],
            "descriptors leaves no room",
        ),
        (
            &["--config", "/nowhere/relay.toml"],
            "cannot read /nowhere/relay.toml",
        ),
    ] {
        let output = command().arg("relay").args(arguments).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && said.contains(why),
            "{arguments:?}: {said}"
        );
    }
}

// Guards against settings that a file has and that are not read, or are read wrongly without a word.
#[test]
fn a_relay_reads_its_settings_from_a_file() {
    let (dead, source) = (
        Source::start(Mode::Dead, &two()),
        Source::start(Mode::Serves, &two()),
    );
    let upstream = [dead.address, source.address].map(|address| address.to_string());
    let file = |more: &str| {
        write_config(&format!(
            "upstream = {upstream:?}\nlisten = \"127.0.0.1:0\"\ncallers = 7\n{more}"
        ))
    };
    let (good, bad) = (file("lease_ms = 700"), file("leese_ms = 700"));
    let relay = Relay::spawn(command().args(["relay", "--config"]).arg(&good));
    relay.until_answering();
    assert_eq!(relay.status()["most_open"], 7);
    assert!(relay.status()["lease_left_ms"].as_u64() <= Some(700));
    let output = command()
        .args(["relay", "--config"])
        .arg(&bad)
        .output()
        .unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(said.contains("line 4: unknown field `leese_ms`"), "{said}");
    [good, bad]
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

// Guards against an old list that is told as if it were new, and against a relay that does not come back.
#[test]
fn callers_are_failed_after_the_lease_until_upstream_is_back() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &["--lease-ms", SHORT_LEASE]);
    let mut waiting = relay.watching(50);
    source.set(Mode::Dead);
    let failed = waiting.answer().unwrap();
    assert!(
        failed.status() == 503 && text(&failed).contains("the lease is 1500 ms"),
        "{}",
        text(&failed)
    );
    fails(&relay, "/v1/servers", "nothing was heard from upstream");
    fails(&relay, "/healthz", "nothing was heard from upstream");
    assert_eq!(relay.status()["lease_left_ms"], 0);
    source.publish(entry("s-2", "gone"));
    source.set(Mode::Serves);
    relay.until_answering();
    assert_eq!(
        health(&relay.list("/v1/servers?after=50")),
        [("s-2", "gone")]
    );
}

// Guards against a relay that waits for ever on an upstream that a cut keeps silent.
#[test]
fn when_upstream_stops_answering_the_next_one_is_called() {
    let hosts = two();
    let (first, second) = (
        Source::start(Mode::Serves, &hosts),
        Source::start(Mode::Serves, &hosts),
    );
    let relay = Relay::ready(&[first.address, second.address], &["--lease-ms", "4500"]);
    let mut waiting = relay.watching(50);
    first.set(Mode::Silent);
    second.publish(entry("s-1", "draining"));
    let told = waiting.answer().unwrap();
    assert_eq!(told.status(), 200, "within the lease: {}", text(&told));
    assert_eq!(health(&body(&told)), [("s-1", "draining")]);
    assert_eq!(
        second.asked("/v1/servers?after=50&"),
        1,
        "from the version that was held, and without a whole list"
    );
    // One that is dead is noticed at once, and the first one has come back.
    first.publish(entry("s-1", "draining"));
    first.publish(entry("s-1", "gone"));
    first.set(Mode::Serves);
    second.set(Mode::Dead);
    wait_for("the first one's list", || relay.status()["version"] == 52);
    assert_eq!(health(&relay.list("/v1/servers")), [("s-2", "ready")]);
}

// Guards against a relay that answers with an empty list, or by an earlier life's, before it has one.
#[test]
fn a_relay_answers_no_caller_before_its_first_list() {
    let source = Source::start(Mode::Silent, &two());
    let relay = Relay::start(&[source.address], &["--lease-ms", LONG_LEASE]);
    wait_for("its call", || source.asked("/v1/servers") > 0);
    for path in [
        "/v1/servers",
        "/v1/servers?after=50&wait_ms=60000",
        "/healthz",
    ] {
        fails(&relay, path, "no list has come from upstream yet");
    }
    source.set(Mode::Serves);
    relay.until_answering();
    assert_eq!(relay.list("/v1/servers")["seq"], 50);
}

// Guards against an older list for a caller that was at a source that is ahead of this relay.
#[test]
fn a_relay_behind_its_caller_answers_once_upstream_has_caught_up() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &["--lease-ms", LONG_LEASE]);
    wait_for("its watch", || source.asked("after=50&") == 1);
    source.set(Mode::Silent);
    fails(
        &relay,
        "/v1/servers?after=52&wait_ms=1000",
        "upstream has not answered for it",
    );
    let mut newer = relay.client();
    newer.send(&request("/v1/servers?after=52&wait_ms=60000"));
    source.publish(entry("s-1", "draining"));
    source.publish(entry("s-2", "draining"));
    source.set(Mode::Serves);
    wait_for("the relay's list", || relay.status()["version"] == 52);
    wait_for("a caller that waits", || relay.status()["waiting"] == 1);
    source.publish(entry("s-1", "gone"));
    let told = newer.answer().unwrap();
    assert_eq!(
        health(&body(&told)),
        [("s-1", "gone")],
        "nothing older came before"
    );
}

// Guards against servers that are back by an old delta, and against callers that stay at versions of before.
#[test]
fn after_an_older_version_from_upstream_callers_wait_for_the_snapshot() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &["--lease-ms", LONG_LEASE]);
    let mut waiting = relay.watching(50);
    wait_for("its watch", || source.asked("after=50&") == 1);
    source.set(Mode::SilentOnWhole);
    source.restart(
        3,
        &[
            entry("s-1", "gone"),
            entry("s-2", "ready"),
            entry("s-3", "ready"),
        ],
    );
    source.publish(entry("s-2", "draining"));
    wait_for("the call for the whole list", || {
        source.asked("/v1/servers") > source.asked("after=")
    });
    wait_for("its rejection", || {
        relay.status()["upstream"]["rejected"] == 1
    });
    assert_eq!(relay.list("/v1/servers")["seq"], 50);
    assert_eq!(health(&relay.list("/v1/servers?after=50")), []);
    source.set(Mode::Serves);
    let told = body(&waiting.answer().unwrap());
    assert_eq!((&told["seq"], &told["whole"]), (&json!(4), &json!(true)));
    assert_eq!(health(&told), [("s-2", "draining"), ("s-3", "ready")]);
    assert_eq!(relay.status()["epochs"], 2);
    assert_eq!(relay.list("/v1/servers?after=50&wait_ms=1")["whole"], true);
}

// Guards against callers without bound, each of which takes a descriptor and an answer's memory.
#[test]
fn callers_over_the_bound_are_rejected_and_a_released_connection_is_available_again() {
    let source = Source::start(Mode::Serves, &two());
    let relay = Relay::ready(&[source.address], &["--callers", "3"]);
    // The connections that asked for its health may still be open there.
    let mut held: Vec<Client> = Vec::new();
    wait_for("three places", || {
        let mut client = relay.client();
        if client.request(&request("/v1/servers")).status() == 200 {
            held.push(client);
        }
        held.len() == 3
    });
    let refused = relay.get("/v1/servers");
    assert_eq!(refused.status(), 503);
    assert!(
        text(&refused).contains("there are 3 connections already"),
        "{}",
        text(&refused)
    );
    assert_eq!(refused.header("connection"), Some("close"));
    let kept = held.pop().unwrap();
    assert_eq!(
        held[0].request(&request("/v1/servers")).status(),
        200,
        "those that are in stay"
    );
    drop(kept);
    wait_for("a place", || relay.get("/v1/servers").status() == 200);
}

// Guards against callers that are cut off without a word when a relay is stopped.
#[test]
fn on_sigterm_waiting_callers_are_failed_and_the_relay_exits() {
    let source = Source::start(Mode::Serves, &two());
    let mut relay = Relay::ready(&[source.address], &["--lease-ms", LONG_LEASE]);
    let mut waiting = relay.watching(50);
    let pid = relay.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    let told = waiting.answer().unwrap();
    assert!(
        told.status() == 503 && text(&told).contains("the relay stops"),
        "{}",
        text(&told)
    );
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
}

// Guards against a node that stops serving without its relay, and against one that never finds the next one.
#[test]
fn a_node_whose_relay_dies_keeps_serving_and_follows_the_next_relay() {
    let servers = [CacheServer::serving("one"), CacheServer::serving("two")];
    let hosts = [
        servers[0].entry("s-1", "ready"),
        servers[1].entry("s-2", "ready"),
    ];
    let source = Source::start(Mode::Serves, &hosts);
    let relay = Relay::ready(&[source.address], &[]);
    let address = relay.address;
    let node = Node::ready(&config(address));
    drop(relay);
    for key in 0..20 {
        assert_eq!(node.read("read", key).status(), 200, "{key}");
    }
    source.publish(servers[0].entry("s-1", "draining"));
    let relay = Relay::start_at(address, &[source.address], &[]);
    wait_for("the node at its new relay", || {
        relay.status()["waiting"] == 1 && relay.status()["version"] == 51
    });
    serves_without(&node, &servers);
}

/// The node sends nothing more to the first of two servers, and serves.
fn serves_without(node: &Node, servers: &[CacheServer; 2]) {
    let before = servers[0].count();
    for key in 100..130 {
        assert_eq!(node.read("read", key).body, b"two", "{key}");
    }
    assert_eq!(servers[0].count(), before);
}

// Guards against a drain that a tier holds back. Each tier passes on what it reads before it calls again, so the node has the
// drain when its next watch has come to its relay; that is waited for, and no tier's lease or wait is in it: these are longer
// than any wait of the test.
#[test]
fn a_drain_reaches_a_real_node_through_two_relay_tiers_at_once() {
    let servers = [CacheServer::serving("one"), CacheServer::serving("two")];
    let hosts = [
        servers[0].entry("s-1", "ready"),
        servers[1].entry("s-2", "ready"),
    ];
    let source = Source::start(Mode::Serves, &hosts);
    let lease = ["--lease-ms", "3600000"];
    let region = Relay::ready(&[source.address], &lease);
    let site = Relay::ready(&[region.address], &lease);
    let node = Node::ready(&config(site.address));
    wait_for("the watches", || {
        [&region, &site]
            .iter()
            .all(|relay| relay.status()["waiting"] == 1)
    });
    source.publish(servers[0].entry("s-1", "draining"));
    wait_for("the node's next watch", || {
        site.status()["version"] == 51 && site.status()["waiting"] == 1
    });
    serves_without(&node, &servers);
    assert_eq!(site.status()["callers"]["change_answers"], 1);
    assert_eq!(region.status()["callers"]["change_answers"], 1);
}
