//! The rule checker: for each rule a faulty node whose breach it reports, and a correct node of which it reports none.

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

/// What a faulty node does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeFault {
    None,
    /// Ends a kept connection in place of an answer.
    Loses,
    /// Answers a second time.
    Doubles,
    /// Answers by itself, without a server.
    Invents,
    /// Sends everything to two servers.
    Repeats,
    /// Refuses what has run.
    Refuses,
    /// Goes on sending to the server it began with, whatever discovery reports.
    Ignores,
}

/// A message: its head, and its body.
fn read(stream: &mut BufReader<TcpStream>) -> io::Result<(String, Vec<u8>)> {
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

fn ask(address: &str, head: &str, body: &[u8]) -> io::Result<(String, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read(&mut BufReader::new(stream))
}

/// Addresses of the servers that discovery calls ready.
fn ready(discovery: &str) -> io::Result<Vec<String>> {
    let (_, body) = ask(
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
        let first = ready(&discovery)?;
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (discovery, first) = (discovery.clone(), first.clone());
                // A connection that breaks ends its thread.
                thread::spawn(move || serve(stream, fault, &discovery, &first));
            }
        });
        Ok(address)
    }))
}

fn serve(stream: TcpStream, fault: NodeFault, discovery: &str, first: &[String]) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    for served in 0.. {
        let (head, body) = read(&mut reader)?;
        if head.starts_with("GET /healthz") {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let now = ready(discovery)?;
        let servers = if fault == NodeFault::Ignores {
            first.to_vec()
        } else {
            now
        };
        let (answer, value) = match fault {
            NodeFault::Invents => (
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n".to_owned(),
                b"value".to_vec(),
            ),
            _ => ask(&servers[0], &head, &body)?,
        };
        match fault {
            NodeFault::Loses if served > 0 => return Ok(()),
            NodeFault::Repeats => drop(ask(&servers[1], &head, &body)?),
            NodeFault::Refuses => {
                out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            _ => {}
        }
        let whole = [answer.as_bytes(), &value[..]].concat();
        out.write_all(&whole)?;
        if fault == NodeFault::Doubles {
            out.write_all(&whole)?;
        }
    }
    Ok(())
}

fn broken(fault: NodeFault, rest: &str) -> BTreeSet<Rule> {
    // Every class a third, and work short enough for one server: what is slow would hide the fault.
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
         discovery_late_s = 0.01\nqueue = 500\nfall_s = 0.1\nfall_times = 0.2\n{classes}{rest}"
    );
    let scenario = Scenario::parse(&text, Path::new("day.toml")).unwrap();
    let played = run_scenario(&scenario, &Options::new(node(fault), 1)).unwrap();
    assert!(!played.record.tries.is_empty());
    played.breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn a_correct_node_breaks_no_rule() {
    let drain = "[[fault]]\nat_s = 0.5\nkind = \"drain\"\nservers = [0]\n";
    assert_eq!(broken(NodeFault::None, drain), BTreeSet::new());
}

#[test]
fn each_rule_is_reported_for_the_node_that_breaks_it() {
    let cases = [
        (NodeFault::Loses, "", vec![Rule::OneAnswer]),
        (NodeFault::Doubles, "", vec![Rule::OneAnswer]),
        (NodeFault::Invents, "", vec![Rule::OneAnswer]),
        (NodeFault::Repeats, "", vec![Rule::Repeats]),
        (NodeFault::Refuses, "", vec![Rule::Refusals]),
        (
            NodeFault::Ignores,
            "[[fault]]\nat_s = 0.5\nkind = \"drain\"\nservers = [0]\n",
            vec![Rule::Drains],
        ),
        // All of the load on a server that has just come back cold is more than it can take.
        (
            NodeFault::None,
            "[[fault]]\nat_s = 0.3\nfor_s = 0.2\nkind = \"kill\"\nservers = [0]\n\
             [[load.change]]\nkind = \"burst\"\nat_s = 0.8\nfor_s = 1.2\ntimes = 10\n",
            vec![Rule::PushedOver],
        ),
    ];
    for (fault, rest, rules) in cases {
        let broken = broken(fault, rest);
        assert!(
            rules.iter().all(|rule| broken.contains(rule)),
            "{fault:?}: {broken:?} lacks {rules:?}"
        );
    }
}
