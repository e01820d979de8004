//! Case: a class vanishes from the settings and appears again with a stricter effect.

use crate::discovery::{self, Host};
use crate::http::read_message;
use crate::platform::{classes, Class, Node, Options, SIGHUP};
use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const CLIENTS: u64 = 40;
/// Requests of each client in a second.
const RATE: u64 = 5;
/// One in this many requests that a server runs ends in an error: the deployment's upper bound is
/// 0.002.
const REQUESTS_PER_ERROR: u64 = 500;
const PATIENCE: Duration = Duration::from_millis(1000);
/// The class that changes.
const CLASS: &str = "queue-join";
/// Clients use a class again this long after the signal; the page allows it after 1.2 s.
const IN_USE_AFTER: Duration = Duration::from_millis(1500);
/// The class's window for repeats while it is keyed, with the 50 ms that every limit has on sockets.
const WINDOW: Duration = Duration::from_millis(4050);
const LOAD_TIME: Duration = Duration::from_secs(25);

/// What the servers saw of a request.
#[derive(Default)]
struct Runs {
    /// Times at which the request reached a server whole, with what the server did.
    attempts: Vec<(Duration, &'static str)>,
}

/// State that servers, clients and the check share.
#[derive(Default)]
struct World {
    /// By `Req-Id`.
    runs: Mutex<HashMap<String, Runs>>,
    /// Idempotency keys that have run; all servers drop repeats.
    keys: Mutex<HashSet<String>>,
    executed: AtomicU64,
    /// Whether the class is unsafe now: its requests bear no key.
    strict: AtomicBool,
    stop: AtomicBool,
    paused: AtomicBool,
    ids: AtomicU64,
    /// By `Req-Id`: whether the request was sent while the class was unsafe, and its answer.
    answers: Mutex<HashMap<String, (bool, String)>>,
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let world = Arc::new(World::default());
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        hosts.push(Host {
            id: format!("s-{number:08x}"),
            address: start_server(number, world.clone(), record.clone())?,
        });
    }
    let options = Options {
        memory_mb: 192,
        sockets: 1024,
        nodes: 3,
        classes: classes(),
        discovery: discovery::start(hosts.clone())?,
        hosts,
    };
    let mut node = Node::start(options, folder)?;
    record.say(&format!(
        "node ready at {}; class {CLASS} is keyed",
        node.address
    ));
    // The platform does not signal a node in its first second.
    sleep(Duration::from_millis(1500));
    world.paused.store(true, Ordering::Relaxed);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, world, record) = (node.address, world.clone(), record.clone());
            thread::spawn(move || {
                sleep(Duration::from_millis(1000 * number / RATE / CLIENTS));
                client(address, &world, &record);
            })
        })
        .collect();
    if trouble {
        let without: Vec<Class> = classes()
            .into_iter()
            .filter(|class| class.name != CLASS)
            .collect();
        signal(
            &mut node,
            without,
            record,
            &format!("the file lacks {CLASS}; SIGHUP"),
        )?;
        sleep(Duration::from_secs(2));
        let mut stricter = classes();
        for class in stricter.iter_mut().filter(|class| class.name == CLASS) {
            class.effect = "unsafe";
        }
        signal(
            &mut node,
            stricter,
            record,
            &format!("the file has {CLASS} as unsafe; SIGHUP"),
        )?;
        sleep(IN_USE_AFTER);
        world.strict.store(true, Ordering::Relaxed);
    }
    record.say(&format!("clients use {CLASS} from now on"));
    world.paused.store(false, Ordering::Relaxed);
    let began = Instant::now();
    while began.elapsed() < LOAD_TIME && !node.has_ended() {
        sleep(Duration::from_millis(50));
    }
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for line in node
        .log()
        .lines()
        .filter(|line| line.contains("configuration"))
    {
        record.line(&format!("the node's log: {line}"));
    }
    if node.has_ended() {
        record.say("BROKEN: the node ended");
        return Ok(false);
    }
    Ok(check(&world, record))
}

fn signal(node: &mut Node, classes: Vec<Class>, record: &Record, text: &str) -> io::Result<()> {
    node.reconfigure(classes)?;
    node.signal(SIGHUP);
    record.say(text);
    Ok(())
}

/// The rule on double effects, by the effect that the class had when the request was sent.
fn check(world: &World, record: &Record) -> bool {
    let runs = world.runs.lock().unwrap();
    let answers = world.answers.lock().unwrap();
    let (mut sent_again, mut ran_twice, mut refused) = (0, 0, 0);
    for (id, (_, answer)) in answers.iter().filter(|(_, (strict, _))| *strict) {
        let Some(seen) = runs.get(id) else { continue };
        if seen.attempts.len() > 1 {
            sent_again += 1;
            let executions = seen
                .attempts
                .iter()
                .filter(|(_, what)| what.starts_with("ran"));
            ran_twice += u64::from(executions.count() > 1);
            record.line(&format!(
                "request {id} reached servers {} times: {:?}",
                seen.attempts.len(),
                seen.attempts
            ));
        }
        if answer == "answered 503" || answer == "answered 429" {
            refused += 1;
            record.line(&format!("request {id} was refused though it may have run"));
        }
    }
    // While the class is keyed: repeats within the window, which the servers drop, and one run.
    let (mut keyed, mut keyed_broken) = (0, 0);
    for (id, _) in answers.iter().filter(|(_, (strict, _))| !strict) {
        let Some(seen) = runs.get(id) else { continue };
        keyed += 1;
        let executions = seen
            .attempts
            .iter()
            .filter(|(_, what)| what.starts_with("ran"));
        let first = seen.attempts[0].0;
        let late = seen.attempts.iter().any(|(at, _)| *at > first + WINDOW);
        if executions.count() > 1 || late {
            keyed_broken += 1;
            record.line(&format!("keyed request {id}: {:?}", seen.attempts));
        }
    }
    let unsafe_seen = answers
        .iter()
        .filter(|(id, (strict, _))| *strict && runs.contains_key(*id));
    record.say(&format!(
        "judged: {} unsafe and {keyed} keyed requests that reached servers",
        unsafe_seen.count()
    ));
    if keyed_broken > 0 {
        record.say(&format!(
            "BROKEN: {keyed_broken} keyed requests ran twice or were sent again after their window"
        ));
    }
    let mut counts = std::collections::BTreeMap::<&str, u64>::new();
    for (_, answer) in answers.values() {
        *counts.entry(answer).or_default() += 1;
    }
    for (answer, count) in counts {
        record.say(&format!("{count:6} requests: {answer}"));
    }
    let repeated = answers
        .keys()
        .filter(|id| runs.get(*id).is_some_and(|seen| seen.attempts.len() > 1))
        .count();
    record.say(&format!(
        "{repeated} requests reached servers more than once"
    ));
    if sent_again > 0 {
        record.say(&format!(
            "BROKEN: {sent_again} unsafe requests were sent again after an attempt that may have run; {ran_twice} ran twice"
        ));
    }
    if refused > 0 {
        record.say(&format!("BROKEN: {refused} unsafe requests that may have run were refused as safe to send again"));
    }
    sent_again == 0 && refused == 0 && keyed_broken == 0
}

fn client(address: SocketAddr, world: &World, record: &Record) {
    let mut connection = None;
    while !world.stop.load(Ordering::Relaxed) {
        if world.paused.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(10));
            continue;
        }
        let began = Instant::now();
        let id = format!("{:016x}", world.ids.fetch_add(1, Ordering::Relaxed) + 1);
        let strict = world.strict.load(Ordering::Relaxed);
        let answer = put(address, &id, strict, &mut connection);
        record.line(&format!("request {id}: {answer}"));
        world.answers.lock().unwrap().insert(id, (strict, answer));
        sleep(Duration::from_millis(1000 / RATE).saturating_sub(began.elapsed()));
    }
}

fn put(address: SocketAddr, id: &str, strict: bool, connection: &mut Option<TcpStream>) -> String {
    let mut stream = match connection
        .take()
        .map_or_else(|| TcpStream::connect(address), Ok)
    {
        Ok(stream) => stream,
        Err(_) => return "not sent: the node cannot be reached".to_owned(),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(PATIENCE + Duration::from_millis(550)));
    let key = if strict {
        String::new()
    } else {
        format!("Idempotency-Key: k{id}\r\n")
    };
    let number = u64::from_str_radix(id, 16)
        .unwrap_or(0)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let request = format!(
        "PUT /api/{number:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {CLASS}\r\nReq-Deadline-Ms: {}\r\n{key}Content-Length: 5\r\n\r\nvalue",
        PATIENCE.as_millis()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "not sent: the connection was closed before".to_owned();
    }
    match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(answer)) => {
            let status = answer.status();
            if !answer.wants_close() {
                *connection = Some(stream);
            }
            format!("answered {status}")
        }
        Ok(None) | Err(_) => "no answer".to_owned(),
    }
}

fn start_server(number: usize, world: Arc<World>, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, record) = (world.clone(), record.clone());
            thread::spawn(move || {
                let _ = serve(stream, number, &world, &record);
            });
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, number: usize, world: &World, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        let id = request.header("req-id").unwrap_or("").to_owned();
        let key = request.header("idempotency-key").map(str::to_owned);
        let is_repeat = key.is_some_and(|key| !world.keys.lock().unwrap().insert(key));
        let fails = !is_repeat
            && world.executed.fetch_add(1, Ordering::Relaxed) % REQUESTS_PER_ERROR
                == REQUESTS_PER_ERROR - 1;
        let what = match (is_repeat, fails) {
            (true, _) => "dropped as a repeat",
            (false, true) => "ran, answered 500",
            (false, false) => "ran",
        };
        record.line(&format!("server {number}: {id} {what}"));
        let attempt = (record.elapsed(), what);
        world
            .runs
            .lock()
            .unwrap()
            .entry(id)
            .or_default()
            .attempts
            .push(attempt);
        sleep(Duration::from_millis(10));
        let answer = if fails {
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
        };
        stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}
