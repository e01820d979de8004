//! Rule checker: a breach is reported for a faulty node of each kind, and none for a correct node.

use serde_json::Value;
use slatelink_lab::nodes::Program;
use slatelink_lab::rules::Rule;
use slatelink_lab::run::{run_scenario, Options};
use slatelink_lab::scenario::Scenario;
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// Fault of a simulated node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeFault {
    None,
    /// Closes a reused connection instead of responding.
    LosesResponse,
    /// Sends each response twice.
    DuplicatesResponse,
    /// Responds without contacting a server.
    FabricatesResponse,
    /// Sends each request to two servers.
    RepeatsRequest,
    /// Refuses each request after a server has run it.
    RefusesAfterRun,
    /// Sends to the servers that were ready at its start, whatever discovery reports later.
    IgnoresDiscovery,
}

/// Reads one HTTP message and returns its head and body.
fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap();
            }
        }
        head.push_str(&line);
        if line == "\r\n" {
            let mut body = vec![0; length];
            stream.read_exact(&mut body)?;
            return Ok((head, body));
        }
    }
}

fn send_request(address: &str, head: &str, body: &[u8]) -> io::Result<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream))
}

/// Returns the addresses of the servers that discovery reports as ready.
fn ready_servers(discovery: &str) -> io::Result<Vec<String>> {
    let (_, body) = send_request(
        discovery,
        "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n",
        b"",
    )?;
    let list: Value = serde_json::from_slice(&body)?;
    let hosts = list["hosts"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|host| host["health"] == "ready");
    Ok(hosts
        .map(|host| host["dial"].as_str().unwrap().to_owned())
        .collect())
}

fn node(fault: NodeFault) -> Program {
    Program::InProcess(Arc::new(move |config| {
        let discovery = config["discovery"].as_str().unwrap().to_owned();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address: SocketAddr = listener.local_addr()?;
        let initial_servers = ready_servers(&discovery)?;
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (discovery, initial_servers) = (discovery.clone(), initial_servers.clone());
                // An I/O error ends the thread of its connection.
                thread::spawn(move || {
                    serve_connection(stream, fault, &discovery, &initial_servers)
                });
            }
        });
        Ok(address)
    }))
}

fn serve_connection(
    stream: TcpStream,
    fault: NodeFault,
    discovery: &str,
    initial_servers: &[String],
) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    for served in 0.. {
        let (head, body) = read_message(&mut reader)?;
        if head.starts_with("GET /healthz") {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let current_servers = ready_servers(discovery)?;
        let servers = if fault == NodeFault::IgnoresDiscovery {
            initial_servers.to_vec()
        } else {
            current_servers
        };
        let (response_head, response_body) = match fault {
            NodeFault::FabricatesResponse => (
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n".to_owned(),
                b"value".to_vec(),
            ),
            _ => send_request(&servers[0], &head, &body)?,
        };
        match fault {
            NodeFault::LosesResponse if served > 0 => return Ok(()),
            NodeFault::RepeatsRequest => drop(send_request(&servers[1], &head, &body)?),
            NodeFault::RefusesAfterRun => {
                out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            _ => {}
        }
        let response = [response_head.as_bytes(), &response_body[..]].concat();
        out.write_all(&response)?;
        if fault == NodeFault::DuplicatesResponse {
            out.write_all(&response)?;
        }
    }
    Ok(())
}

fn broken_rules(fault: NodeFault, sections: &str) -> BTreeSet<Rule> {
    // Each class has a large share, and the work is short enough for a single server: slow
    // responses would hide the fault.
    let class = |name: &str, effect: &str, share: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\nshare = {share}\neffect = \"{effect}\"\nwork_ms = 1\naim_ms = 2000\n\
             deadline_ms = 20000\nworth = 1\n"
        )
    };
    let classes = [
        class("a", "safe", "0.5"),
        class("b", "keyed", "0.25"),
        class("c", "unsafe", "0.25"),
    ]
    .concat();
    let text = format!(
        "about = \"x\"\nseconds = 2\n[load]\nrate = 40\nretries = 0\n[fleet]\nnodes = 1\nservers = 3\nwarm_s = 30\n\
         discovery_late_s = 0.01\nqueue = 500\nfall_s = 0.1\nfall_times = 0.2\n{classes}{sections}"
    );
    let scenario = Scenario::parse(&text, Path::new("day.toml")).unwrap();
    let completed_run = run_scenario(&scenario, &Options::new(node(fault), 1)).unwrap();
    assert!(!completed_run.record.tries.is_empty());
    completed_run
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn a_correct_node_breaks_no_rule() {
    let drain = "[[fault]]\nat_s = 0.5\nkind = \"drain\"\nservers = [0]\n";
    assert_eq!(broken_rules(NodeFault::None, drain), BTreeSet::new());
}

#[test]
fn each_rule_is_reported_for_the_node_that_breaks_it() {
    let cases = [
        (NodeFault::LosesResponse, "", vec![Rule::OneAnswer]),
        (NodeFault::DuplicatesResponse, "", vec![Rule::OneAnswer]),
        (NodeFault::FabricatesResponse, "", vec![Rule::OneAnswer]),
        (NodeFault::RepeatsRequest, "", vec![Rule::Repeats]),
        (NodeFault::RefusesAfterRun, "", vec![Rule::Refusals]),
        (
            NodeFault::IgnoresDiscovery,
            "[[fault]]\nat_s = 0.5\nkind = \"drain\"\nservers = [0]\n",
            vec![Rule::Drains],
        ),
        // The node sends all requests to server 0, which has just restarted cold and is overloaded.
        (
            NodeFault::None,
            "[[fault]]\nat_s = 0.3\nfor_s = 0.2\nkind = \"kill\"\nservers = [0]\n\
             [[load.change]]\nkind = \"burst\"\nat_s = 0.8\nfor_s = 1.2\ntimes = 10\n",
            vec![Rule::Overloads],
        ),
    ];
    for (fault, sections, rules) in cases {
        let broken = broken_rules(fault, sections);
        assert!(
            rules.iter().all(|rule| broken.contains(rule)),
            "{fault:?}: {broken:?} lacks {rules:?}"
        );
    }
}
