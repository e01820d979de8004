//! Case: where lists are pushed, a node that is started anew while discovery is down.

use crate::client::{read_key, Ending};
use crate::fleet::{serve_after, CacheServer, Discovery, Node, NodeOptions, SIGKILL};
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Settings of harbour-permits (deploy/sites), by the names of the page on the wire.
const SETTINGS: &str = r#"{"az":"quay","balancers":3,"position":0,"stage":0,"tick_us":5000,
"client_habits":{"marks_retry":true},"family":"cache",
"family_info":{"mode":"through","origin_fall_multiple":0,"origin_fall_us":0,"origin_kind":-1},
"lanes":[
{"dedup_scope":"all","effect":"safe","hard_limit_us":1600000,"late_value":0.0,"name":"berth-view","promise_us":700000,"repeat_window_us":5000000,"streaming":false,"worth":1.0},
{"dedup_scope":"cell","effect":"keyed","hard_limit_us":1500000,"late_value":0.0,"name":"berth-hold","promise_us":600000,"repeat_window_us":1200000,"streaming":false,"worth":4.0},
{"dedup_scope":"all","effect":"unsafe","hard_limit_us":2000000,"late_value":0.0,"name":"duty-paid","promise_us":800000,"repeat_window_us":5000000,"streaming":false,"worth":6.0}],
"limits":{"cancelling":true,"connect_timeout_us":200000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"keepalive_us":25000000,"max_open":20000,"max_retry_after_us":900000,"most_tries":4,"peer_messages":false,"probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":1},
"membership_mode":"automatic","orgs":[],"over_share_worth":0.1,
"report":{"fields":["err_rps","avg_ms","active"],"source":"probe"},
"safety":{"ask_within_us":10000000,"cold_share":0.25,"fall_multiple":3.5,"fall_us":1200000,"grace_to_answer_us":20000,"stop_sending_within_us":250000,"warm_within_us":12000000},
"shapes":["duo","solo"],"tiers":["permit-cache"],"value_by":"request","weights":"nominal",
"zones":["quay","yard","tower","mole"]}"#;

const SERVERS: usize = 10;
/// Servers that begin to drain: under a quarter of them.
const DRAINING: usize = 2;
/// Time that discovery is down.
const DOWN_TIME: Duration = Duration::from_secs(8);
/// `safety.stop_sending_within_us`, and the 50 ms by which every limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
const LOAD_TIME: Duration = Duration::from_secs(12);

pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<(bool, Vec<String>)> {
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| {
            let delay = serve_after(Duration::from_millis(15));
            CacheServer::start(&format!("s-{index:08x}"), delay)
        })
        .collect::<io::Result<_>>()?;
    let entry = |index: usize, health: &str| {
        let zone = ["quay", "yard", "tower", "mole"][index % 4];
        servers[index].entry_in(zone, ["duo", "solo"][index % 2], index / 4, health)
    };
    let entries: Vec<_> = (0..SERVERS)
        .map(|index| (servers[index].name.clone(), entry(index, "ready")))
        .collect();
    let hosts: Vec<_> = entries.iter().map(|(_, entry)| entry.as_str()).collect();
    let known = format!(
        "{{\"seq\":41,\"whole\":true,\"hosts\":[{}]}}",
        hosts.join(",")
    );
    let agent = Discovery::start(record, 41, &entries)?;
    let mut options = NodeOptions {
        name: "n0",
        listen: None,
        discovery: agent.address,
        memory_mb: 32,
        sockets: 256,
        known,
        settings: SETTINGS,
    };
    let mut node = Node::start(root, &options)?;
    record.line(format!("the node is ready at {}", node.address));
    load(&node, Duration::from_secs(1));
    node.signal(SIGKILL);
    node.wait(Duration::from_secs(2));
    record.line("the node is killed; it last held version 41");
    options.listen = Some(node.address);
    drop(node);
    thread::sleep(Duration::from_millis(200));
    let drained: Vec<_> = (0..DRAINING)
        .map(|index| (servers[index].name.clone(), entry(index, "draining")))
        .collect();
    agent.publish(&drained);
    let published = Instant::now();
    record.line("discovery: version 42: the first two servers are draining; the agent has it");
    thread::sleep(Duration::from_millis(300));
    if trouble {
        agent.set_down(true);
        let agent = agent.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            agent.set_down(false);
        });
    }
    thread::sleep(Duration::from_millis(200));
    let restarted = Instant::now();
    record.line("the node is started again, under its name and address");
    let node = Node::start(root, &options)?;
    let ready_after = restarted.elapsed();
    record.line("the node is ready: /healthz answers 200");
    let [served, others] = load(&node, LOAD_TIME);
    drop(node);
    let limit = restarted + GRACE;
    let (mut late, mut last) = (0, 0.0_f64);
    for server in servers.iter().take(DRAINING) {
        for (at, id) in server.received.lock().unwrap().iter() {
            if *at <= published {
                continue;
            }
            let after = at.saturating_duration_since(restarted).as_secs_f64();
            late += usize::from(*at > limit);
            last = last.max(after);
            record.line_at(
                *at,
                format!(
                    "{}: request {id}, {after:.3} s after the node's start",
                    server.name
                ),
            );
        }
    }
    let result = vec![
        format!("the new process is ready after {:.2} s; then {served} requests served, {others} others", ready_after.as_secs_f64()),
        format!("{late} requests were sent to draining servers later than 0.3 s after its start; the last one {last:.2} s after it"),
        if late > 0 { "the rule is broken: new requests go to draining servers".to_owned() }
        else { "the rule held".to_owned() },
    ];
    Ok((late > 0, result))
}

/// Sends reads for this time. Returns how many were served, and how many were not.
fn load(node: &Node, time: Duration) -> [usize; 2] {
    let stop = Arc::new(AtomicBool::new(false));
    let endings: Arc<Mutex<[usize; 2]>> = Arc::default();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (stop, endings, address) = (stop.clone(), endings.clone(), node.address);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let outcome = read_key(address, "berth-view", 800, Duration::from_secs(2));
                    let served = matches!(outcome.ending, Ending::Answered(200));
                    endings.lock().unwrap()[usize::from(!served)] += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(time);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let counts = *endings.lock().unwrap();
    counts
}
