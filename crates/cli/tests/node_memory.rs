//! A node's memory with many concurrent clients, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// Largest body of a message, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Size of a small piece of a message, in bytes. A buffer into which it is read has at least 8 KiB.
const PIECE_BYTES: usize = 256;
/// Pause after a small piece. Without it, several pieces would be read at once.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Memory limit of the nodes under test.
const MEMORY_MB: u64 = 32;

/// Splits a message into pieces of `piece_bytes`.
fn split_message(message: &str, piece_bytes: usize) -> Vec<String> {
    message
        .as_bytes()
        .chunks(piece_bytes)
        .map(|piece| String::from_utf8(piece.to_vec()).unwrap())
        .collect()
}

/// Sends a request of this class on each of `count` new connections.
fn send_requests(node: &Node, count: u64, class: &str, deadline_ms: u64) -> Vec<Client> {
    let send = |key| {
        let mut client = node.client();
        client.send(&api_request(class, key, deadline_ms));
        client
    };
    (0..count).map(send).collect()
}

fn assert_within_memory_limit(node: &Node) {
    let peak_kb = node.peak_memory_kb();
    assert!(peak_kb < MEMORY_MB << 10, "peak memory is {peak_kb} kB");
}

/// Reads the responses of all clients, each of which must be a served body or a shed request, and
/// returns the number of served ones.
fn count_served(clients: &mut [Client], body_bytes: usize) -> usize {
    let responses = clients.iter_mut().map(|client| {
        let response = client.read_response().expect("a response");
        match response.status() {
            200 => assert_eq!(response.body.len(), body_bytes),
            _ => assert_shed(&response),
        }
        response.status()
    });
    responses.filter(|status| *status == 200).count()
}

// Guards against responses that are held as the pieces in which they arrived: each piece then keeps
// the whole buffer into which it was read, and a few dozen responses exceed the memory limit.
#[test]
fn responses_that_arrive_in_small_pieces_stay_within_the_memory_limit() {
    let response = http_response("200 OK", "", &"v".repeat(MAX_BODY_BYTES));
    let pieces = split_message(&response, PIECE_BYTES);
    let (_servers, _discovery, node) = start_limited_fleet(8, MEMORY_MB, 256, move |_| {
        Reply::Pieces(pieces.clone(), PIECE_PAUSE)
    });
    let mut clients = send_requests(&node, 40, "read", 20_000);
    assert_eq!(count_served(&mut clients, MAX_BODY_BYTES), clients.len());
    assert_within_memory_limit(&node);
}

// Guards against chunks that are held as they arrived.
#[test]
fn responses_in_small_chunks_stay_within_the_memory_limit() {
    let mut response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    for _ in 0..MAX_BODY_BYTES / PIECE_BYTES {
        response.push_str(&format!(
            "{PIECE_BYTES:x}\r\n{}\r\n",
            "v".repeat(PIECE_BYTES)
        ));
    }
    response.push_str("0\r\n\r\n");
    let chunk_bytes = PIECE_BYTES + "100\r\n\r\n".len();
    let pieces = split_message(&response, chunk_bytes);
    let (_servers, _discovery, node) = start_limited_fleet(8, MEMORY_MB, 256, move |_| {
        Reply::Pieces(pieces.clone(), PIECE_PAUSE)
    });
    let mut clients = send_requests(&node, 40, "read", 20_000);
    assert_eq!(count_served(&mut clients, MAX_BODY_BYTES), clients.len());
    assert_within_memory_limit(&node);
}

// Guards against a response without an end that is held until its request's deadline.
#[test]
fn endless_responses_in_pieces_of_one_byte_stay_within_the_memory_limit() {
    let mut pieces = vec!["HTTP/1.1 200 OK\r\n\r\n".to_owned()];
    pieces.resize(MAX_BODY_BYTES, "v".to_owned());
    let (_servers, _discovery, node) = start_limited_fleet(8, MEMORY_MB, 256, move |_| {
        Reply::Pieces(pieces.clone(), Duration::from_micros(50))
    });
    let mut clients = send_requests(&node, 20, "once", 1_500);
    for client in &mut clients {
        let response = client.read_response().expect("a response");
        assert_ne!(response.status(), 200, "the response has not ended");
    }
    assert_within_memory_limit(&node);
}

// Guards against requests that are held as the pieces in which they arrived.
#[test]
fn requests_that_arrive_in_small_pieces_stay_within_the_memory_limit() {
    let (_servers, _discovery, node) = start_limited_fleet(8, MEMORY_MB, 256, |_| {
        Reply::Response(http_response("200 OK", "", ""))
    });
    let senders: Vec<_> = (0..40u64)
        .map(|key| {
            let address = node.address;
            std::thread::spawn(move || {
                let head = api_request("keyed", key, 20_000).replace("GET", "PUT");
                let head = head.trim_end();
                let request = format!(
                    "{head}\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{}",
                    "b".repeat(MAX_BODY_BYTES)
                );
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                let pieces = split_message(&request, PIECE_BYTES);
                write_pieces(&mut stream, &pieces, PIECE_PAUSE);
                Client::from_stream(stream)
            })
        })
        .collect();
    let mut clients: Vec<_> = senders
        .into_iter()
        .map(|sender| sender.join().unwrap())
        .collect();
    assert_eq!(count_served(&mut clients, 0), clients.len());
    assert_within_memory_limit(&node);
}

// Guards against responses that the memory budget does not count: with many descriptors and little
// memory, the responses of all clients do not fit, and some requests have to be shed or wait.
#[test]
fn responses_of_more_clients_than_the_memory_allows_stay_within_the_memory_limit() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let (servers, _discovery, node) = start_limited_fleet(16, MEMORY_MB, 1024, move |_| {
        let response = http_response("200 OK", "", &"v".repeat(MAX_BODY_BYTES));
        let (most, rest) = response.split_at(response.len() - 1);
        Reply::Gated(most.to_owned(), server_gate.clone(), rest.to_owned())
    });
    let mut clients = send_requests(&node, 330, "read", 20_000);
    let received = || {
        servers
            .iter()
            .map(CacheServer::request_count)
            .sum::<usize>()
    };
    wait_for("requests at the servers", || received() > 60);
    // Every response that the node reads has all but its last byte.
    sleep(Duration::from_millis(1_000));
    gate.open();
    let served = count_served(&mut clients, MAX_BODY_BYTES);
    assert!(served >= 60, "{served} requests served");
    assert_within_memory_limit(&node);
    wait_for("a served request after the others", || {
        node.read("read", 9_999).status() == 200
    });
}

// Guards against request and response bodies of many concurrent clients that take more memory than
// the limit, or whose memory is not released after the clients have disconnected.
#[test]
fn bodies_and_responses_of_the_largest_size_stay_within_the_memory_limit_and_are_released() {
    let body = "v".repeat(64 << 10);
    let server = CacheServer::start(move |_| Reply::Response(http_response("200 OK", "", &body)));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut node_config = config(discovery.address);
    node_config["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&node_config);
    // About a third of the descriptors. No client reads its response before all have sent.
    let mut clients: Vec<_> = (0..300u64)
        .map(|key| {
            let mut client = node.client();
            let head = api_request("keyed", key, 20_000)
                .replace("GET", "PUT")
                .replace("\r\n\r\n", "\r\n");
            client.try_send(&format!(
                "{head}Content-Length: 65536\r\n\r\n{}",
                "b".repeat(64 << 10)
            ));
            client
        })
        .collect();
    wait_for("requests at the server", || server.request_count() > 20);
    sleep(Duration::from_millis(500));
    let responses: Vec<_> = clients
        .iter_mut()
        .filter_map(Client::read_response)
        .collect();
    for response in &responses {
        match response.status() {
            200 => assert_eq!(response.body.len(), 64 << 10),
            _ => assert_shed(response),
        }
    }
    assert!(responses.len() > 100, "{} of 300 answered", responses.len());
    drop(clients);
    assert!(
        node.peak_memory_kb() < 32 << 10,
        "peak memory is {} kB",
        node.peak_memory_kb()
    );
    wait_for(
        "a served request after the clients have disconnected",
        || node.read("read", 9_999).status() == 200,
    );
}

// Guards against clients that send many bytes behind a request and disconnect. The node reads ahead
// to notice the end of a connection; these bytes must not fill its memory or block other clients.
#[test]
fn clients_that_send_many_bytes_behind_a_request_and_disconnect_use_little_memory() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    // The servers have more than enough capacity for all clients.
    let (servers, discovery) = start_servers(16, move |request| {
        if request.header("req-id").is_some_and(|id| id.len() < 4) {
            server_gate.wait_until_open();
        }
        Reply::Response(http_response("200 OK", "", "value"))
    });
    let mut node_config = config(discovery.address);
    node_config["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&node_config);
    let peak_before_kb = node.peak_memory_kb();
    let excess_bytes = "x".repeat(500_000);
    let mut senders: Vec<_> = (0..120u64)
        .map(|key| {
            let mut client = node.client();
            client.send(&api_request("read", key, 60_000));
            client
        })
        .collect();
    wait_for("all requests at the servers", || {
        total_requests(&servers) == senders.len()
    });
    senders
        .iter_mut()
        .for_each(|client| client.try_send(&excess_bytes));
    assert_eq!(
        node.read("read", 0xffff).status(),
        200,
        "another client is served while the bytes arrive"
    );
    // The budget counts 40 KiB for an active client and 10 KiB for a connection to a server.
    // Buffering all 500 kB of each client would take 60,000 kB.
    let growth_kb = node.peak_memory_kb() - peak_before_kb;
    assert!(
        growth_kb < 120 * (40 + 10) + 500,
        "memory grew by {growth_kb} kB for 120 clients that sent 500 kB each"
    );
    for client in &senders {
        client.shutdown_write();
    }
    gate.open();
    drop(senders);
    wait_for(
        "a served request after the clients have disconnected",
        || node.read("read", 0xfffe).status() == 200,
    );
}
