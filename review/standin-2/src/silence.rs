//! Case: after a long quiet time all open watches fall silent, and servers begin to drain.

use crate::client::{read_key, Ending};
use crate::fleet::{
    ready_entries, serve_after, whole_list, CacheServer, Discovery, Node, NodeOptions, SETTINGS,
};
use crate::record::Record;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
/// Servers that begin to drain: under a quarter of them.
const DRAINING: usize = 2;
/// The quiet time. The node opens a second and a third watch in it, and then closes the first.
const LONGEST_QUIET: Duration = Duration::from_secs(75);
/// From the node's close of an unanswered watch to the silence of all open ones.
const UNTIL_SILENCE: Duration = Duration::from_millis(400);
/// From the silence to the drain: 'right after'.
const UNTIL_DRAIN: Duration = Duration::from_millis(100);
/// After a failed, refused or given-up call, a change counts as told at the latest so long after
/// discovery had it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `safety.stop_sending_within_us`, and the 50 ms by which every limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// From the drain to the end of the load.
const AFTER_DRAIN: Duration = Duration::from_secs(22);

pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<(bool, Vec<String>)> {
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| {
            let delay = serve_after(Duration::from_millis(15));
            CacheServer::start(&format!("s-{index:08x}"), delay)
        })
        .collect::<io::Result<_>>()?;
    // Discovery is one version further than the list that the platform handed over.
    let discovery = Discovery::start(record, 42, &ready_entries(&servers))?;
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
    let stop = Arc::new(AtomicBool::new(false));
    let endings: Arc<Mutex<[usize; 2]>> = Arc::default();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (stop, endings, address) = (stop.clone(), endings.clone(), node.address);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let outcome = read_key(address, "lookup", 1_000, Duration::from_secs(2));
                    let served = matches!(outcome.ending, Ending::Answered(200));
                    endings.lock().unwrap()[usize::from(!served)] += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    let started = Instant::now();
    let given_up = loop {
        if let Some(at) = discovery.given_up().first() {
            break *at;
        }
        if started.elapsed() > LONGEST_QUIET {
            stop.store(true, Ordering::Relaxed);
            return Err(io::Error::other("the node has given no call up"));
        }
        thread::sleep(Duration::from_millis(5));
    };
    thread::sleep(UNTIL_SILENCE);
    if trouble {
        let open = discovery.silence_open_watches();
        record.line(format!("discovery: {open} open watches fall silent"));
    }
    thread::sleep(UNTIL_DRAIN);
    let drained: Vec<_> = servers.iter().enumerate().take(DRAINING).collect();
    let published = Instant::now();
    discovery.publish(
        &drained
            .iter()
            .map(|(index, server)| (server.name.clone(), server.entry(*index, "draining")))
            .collect::<Vec<_>>(),
    );
    record.line("discovery: version 43: the first two servers are draining");
    thread::sleep(AFTER_DRAIN);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(node);
    let limit = published + TOLD_AFTER + GRACE;
    let mut late = 0;
    let mut last: f64 = 0.0;
    for (_, server) in &drained {
        for (at, id) in server.received.lock().unwrap().iter() {
            let Some(after) = at.checked_duration_since(published) else {
                continue;
            };
            last = last.max(after.as_secs_f64());
            let is_late = *at > limit;
            late += usize::from(is_late);
            record.line_at(
                *at,
                format!(
                    "{}: request {id}, {:.3} s after its drain was published{}",
                    server.name,
                    after.as_secs_f64(),
                    if is_late { ": LATE" } else { "" }
                ),
            );
        }
    }
    let [served, others] = *endings.lock().unwrap();
    let result = vec![
        format!("{served} requests served, {others} others"),
        format!(
            "the node gave a watch up at {:.2} s; the drain was published {:.2} s later",
            record.seconds(given_up),
            published.duration_since(given_up).as_secs_f64()
        ),
        format!("{late} requests were sent to draining servers later than 6.3 s after the drain; the last one {last:.2} s after it"),
        if late > 0 { "the rule is broken: new requests go to draining servers".to_owned() }
        else { "the rule held".to_owned() },
    ];
    Ok((late > 0, result))
}
