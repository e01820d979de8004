//! Metrics targets that reject or delay writes. Requests must be served without delay regardless.

use crate::metrics::{counter_sum, metrics_file_settings};
use crate::node_common::{
    api_request, command, config, temporary_path, wait_for, write_temporary_file, CacheServer,
    Client, Discovery, Node, WAIT_TIMEOUT,
};
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};

/// Returns the totals of dropped batches from the node's log, in log order.
fn dropped_batches(node: &Node) -> Vec<u64> {
    let log = node.log.lock().unwrap();
    let totals = log
        .iter()
        .filter_map(|line| line.strip_prefix("slatelink.figures.dropped: "));
    totals
        .map(|total| {
            total
                .strip_suffix(" batches so far")
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect()
}

// Guards against failed writes to the metrics target that disturb service or go uncounted. Every
// write to `/dev/full` fails.
#[test]
fn metrics_to_a_full_device_are_dropped_and_counted_while_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = metrics_file_settings("/dev/full".as_ref(), 20);
    let node = Node::with_features(&config(discovery.address), &features);
    let mut client = node.client();
    let mut key = 0;
    wait_for("an increasing count of dropped batches", || {
        key += 1;
        assert_eq!(
            client.request(&api_request("read", key, 20_000)).status(),
            200
        );
        dropped_batches(&node).len() > 3
    });
    assert!(
        dropped_batches(&node)
            .windows(2)
            .all(|pair| pair[0] < pair[1]),
        "{:?}",
        dropped_batches(&node)
    );
}

/// Reading end of a metrics FIFO and the text read from it so far.
struct FifoReader {
    fifo: File,
    text: String,
}

impl FifoReader {
    /// Reads up to 1 KiB more. Returns the number of dropped batches that all complete lines read
    /// so far report.
    fn read_more(&mut self) -> u64 {
        let mut bytes = [0; 1024];
        let count = self.fifo.read(&mut bytes).unwrap();
        self.text
            .push_str(std::str::from_utf8(&bytes[..count]).unwrap());
        let end = self.text.rfind('\n').map_or(0, |newline| newline + 1);
        let complete = &self.text[..end];
        assert!(
            complete.lines().all(|line| line.starts_with("slatelink.")),
            "a line is not a complete metric: {complete}"
        );
        counter_sum(complete, "slatelink.figures.dropped", "")
    }
}

// Guards against a FIFO that stalls the node: without a reader, with a reader that reads nothing,
// and with a reader that reads late.
#[test]
fn metrics_to_a_fifo_never_block_the_node() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("fifo");
    assert!(Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    let node = Node::with_features(
        &config(discovery.address),
        &metrics_file_settings(&path, 10),
    );
    let last_dropped_total = || dropped_batches(&node).last().copied().unwrap_or(0);
    wait_for("dropped batches", || last_dropped_total() > 0);
    let mut reader = FifoReader {
        fifo: File::open(&path).unwrap(),
        text: String::new(),
    };
    let mut reported_drops = 0;
    wait_for("the metric of dropped batches", || {
        reported_drops = reader.read_more();
        reported_drops > 0
    });
    // Once the FIFO is full, writes to it fail.
    let (mut client, mut key) = (node.client(), 0);
    wait_for("further dropped batches", || {
        key += 1;
        assert_eq!(
            client.request(&api_request("read", key, 20_000)).status(),
            200
        );
        last_dropped_total() > reported_drops
    });
    wait_for("the increased metric of dropped batches", || {
        reader.read_more() > reported_drops
    });
    std::fs::remove_file(path).unwrap();
}

// Guards against a node that stalls once the unread pipe at its standard error is full.
#[test]
fn node_with_unread_standard_error_serves_requests_and_stops() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let platform_path = write_temporary_file(&config(discovery.address).to_string());
    let features_path = write_temporary_file("[figures]\nflush_ms = 20\n");
    let mut child = command()
        .env("LB_CONFIG", &platform_path)
        .arg("--features")
        .arg(&features_path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The small buffer leaves most of the log in the pipe.
    let mut log = BufReader::with_capacity(64, child.stderr.take().unwrap());
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    let address: SocketAddr = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut client = Client::from_stream(stream);
    wait_for("readiness", || {
        client
            .request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n")
            .status()
            == 200
    });
    // The metrics of these requests far exceed the pipe (64 KiB) and the metrics buffer (256 KiB).
    for key in 0..4_000 {
        assert_eq!(
            client.request(&api_request("read", key, 20_000)).status(),
            200
        );
    }
    let killed = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(killed.success());
    let mut exit = None;
    wait_for("the node's exit", || {
        exit = child.try_wait().unwrap();
        exit.is_some()
    });
    assert!(exit.unwrap().success());
    for path in [platform_path, features_path] {
        std::fs::remove_file(path).unwrap();
    }
}
