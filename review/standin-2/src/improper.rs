//! Case: peers that send no proper request.

use crate::client::unique;
use crate::fleet::{
    ready_entries, value_of, whole_list, Behaviour, CacheServer, Discovery, Node, NodeOptions,
    SETTINGS,
};
use crate::http::{answer, Connection};
use crate::record::Record;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Peers of each kind.
const PEERS: usize = 40;

/// What a peer sends, apart from its id.
struct Kind {
    name: &'static str,
    request: fn(&str, bool) -> String,
}

/// The kinds. With `proper`, each sends the same as a proper request.
const KINDS: [Kind; 3] = [
    Kind {
        name: "a write of a keyed class with no Idempotency-Key",
        request: |id, proper| {
            let key = if proper {
                format!("Idempotency-Key: k{id}\r\n")
            } else {
                String::new()
            };
            format!(
                "PUT /api/{id} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: queue-join\r\n\
                 Req-Deadline-Ms: 800\r\n{key}Content-Length: 5\r\n\r\nvalue"
            )
        },
    },
    Kind {
        name: "an HTTP/1.1 request with no Host",
        request: |id, proper| {
            let host = if proper {
                "Host: service.internal\r\n"
            } else {
                ""
            };
            format!(
                "GET /api/{id} HTTP/1.1\r\n{host}Req-Id: {id}\r\nReq-Kind: lookup\r\nReq-Deadline-Ms: 1000\r\n\r\n"
            )
        },
    },
    Kind {
        name: "an HTTP/1.1 request with two different Hosts",
        request: |id, proper| {
            let second = if proper {
                ""
            } else {
                "Host: other.internal\r\n"
            };
            format!(
                "GET /api/{id} HTTP/1.1\r\nHost: service.internal\r\n{second}Req-Id: {id}\r\nReq-Kind: lookup\r\n\
                 Req-Deadline-Ms: 1000\r\n\r\n"
            )
        },
    },
];

pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<(bool, Vec<String>)> {
    // How often each request has run, by its id; a write with a key that was seen is dropped.
    let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let keys: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let counted = (runs.clone(), keys.clone());
    let behaviour: Arc<Behaviour> = Arc::new(move |request, connection| {
        let id = request.header("req-id").unwrap_or("").to_owned();
        let repeat = request.header("idempotency-key").is_some_and(|key| {
            let mut keys = counted.1.lock().unwrap();
            let times = keys.entry(key.to_owned()).or_default();
            *times += 1;
            *times > 1
        });
        let attempt = {
            let mut runs = counted.0.lock().unwrap();
            let runs = runs.entry(id).or_default();
            *runs += usize::from(!repeat);
            *runs
        };
        // The first attempt of one write in four has run when its connection breaks.
        let breaks = u64::from_str_radix(request.header("req-id").unwrap_or(""), 16)
            .is_ok_and(|id| id % 4 == 0);
        if request.method() == "PUT" && breaks && attempt == 1 && !repeat {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
        connection
            .send(&answer("200 OK", &value_of(request)))
            .is_ok()
    });
    let servers: Vec<_> = (0..4)
        .map(|index| CacheServer::start(&format!("s-{index:08x}"), behaviour.clone()))
        .collect::<io::Result<_>>()?;
    let discovery = Discovery::start(record, 41, &ready_entries(&servers))?;
    let node = Node::start(
        root,
        &NodeOptions {
            name: "n0",
            listen: None,
            discovery: discovery.address,
            memory_mb: 32,
            sockets: 256,
            known: whole_list(41, &servers),
            settings: SETTINGS,
        },
    )?;
    record.line(format!("the node is ready at {}", node.address));
    let mut result = Vec::new();
    let mut broken = false;
    for kind in &KINDS {
        let (mut served, mut refused, mut most_runs) = (0, 0, 0);
        for _ in 0..PEERS {
            let id = format!("{:016x}", unique());
            let request = (kind.request)(&id, !trouble);
            let status = send(node.address, &request);
            let runs = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
            record.line(format!(
                "peer: {}, id {id}: status {}, run {runs} times",
                if trouble {
                    kind.name
                } else {
                    "a proper request"
                },
                status.map_or("none".to_owned(), |status| status.to_string())
            ));
            served += usize::from(status == Some(200));
            refused += usize::from(status != Some(200));
            most_runs = most_runs.max(runs);
            thread::sleep(Duration::from_millis(30));
        }
        let what = if trouble { kind.name } else { "proper" };
        result.push(format!(
            "{what}: {served} peers got 200, {refused} an error or a close; a request ran {most_runs} times at most"
        ));
        broken |= trouble && served > 0;
        // Proper requests run once.
        broken |= !trouble && most_runs > 1;
    }
    drop(node);
    result.push(if broken {
        "the rule is broken: peers that sent no proper request were served as though it had run"
            .to_owned()
    } else {
        "the rule held".to_owned()
    });
    Ok((broken, result))
}

/// Sends a request on a new connection, and returns the status of the answer.
fn send(node: SocketAddr, request: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    let mut connection = Connection::new(stream);
    connection.send(request.as_bytes()).ok()?;
    let until = Instant::now() + Duration::from_secs(3);
    connection
        .read(Some(until))
        .ok()
        .map(|message| message.status())
}
