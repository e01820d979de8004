//! Stand-ins for the platform: cache servers, discovery, and the node's process and configuration.

use crate::http::{answer, Connection, Message};
use crate::record::Record;
use std::collections::{BTreeMap, HashSet};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// What a cache server does with a request: it answers on the connection, and returns whether the
/// connection stays open.
pub type Behaviour = dyn Fn(&Message, &mut Connection) -> bool + Send + Sync;

/// A cache server.
#[derive(Clone)]
pub struct CacheServer {
    pub name: String,
    pub address: SocketAddr,
    /// Each request that came whole: when its first byte was read, and its id.
    pub received: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl CacheServer {
    pub fn start(name: &str, behaviour: Arc<Behaviour>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            received: Arc::default(),
        };
        let received = server.received.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (received, behaviour) = (received.clone(), behaviour.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read(None) {
                        let id = request.header("req-id").unwrap_or("").to_owned();
                        received.lock().unwrap().push((request.first_byte, id));
                        if !behaviour(&request, &mut connection) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(server)
    }

    /// Returns the entry of this server in discovery's list.
    pub fn entry(&self, index: usize, health: &str) -> String {
        self.entry_in(
            ["boston", "worcester", "providence"][index % 3],
            ["fast-1c", "slow-1c"][index % 2],
            index / 5,
            health,
        )
    }

    /// Returns the entry of this server in a zone, of a kind, in a cell.
    pub fn entry_in(&self, site: &str, class: &str, block: usize, health: &str) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{site}\",\"class\":\"{class}\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}",
            self.name, self.address
        )
    }
}

/// A cache server's body for a request: the path and the id, so that a client can check it.
pub fn value_of(request: &Message) -> Vec<u8> {
    format!(
        "{} {}",
        request.target(),
        request.header("req-id").unwrap_or("")
    )
    .into_bytes()
}

/// Serves each request after this time.
pub fn serve_after(delay: Duration) -> Arc<Behaviour> {
    Arc::new(move |request, connection| {
        thread::sleep(delay);
        connection
            .send(&answer("200 OK", &value_of(request)))
            .is_ok()
    })
}

struct ListState {
    seq: u64,
    /// Entry and version of its last change, by name.
    entries: BTreeMap<String, (String, u64)>,
    /// Connections that are open.
    open: HashSet<u64>,
    /// Connections that have fallen silent.
    silent: HashSet<u64>,
    /// Number of connections so far.
    connections: u64,
    /// Whether discovery is down: nothing is answered, and connections stay open.
    down: bool,
    /// When the node closed watches that were not answered.
    given_up: Vec<Instant>,
    /// Number of calls so far.
    calls: u64,
}

/// Discovery, which answers every call at once, or a watch when something is newer.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    record: Record,
}

impl Discovery {
    /// Starts with the list at this version.
    pub fn start(record: &Record, seq: u64, entries: &[(String, String)]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(ListState {
                seq,
                entries: entries
                    .iter()
                    .map(|(name, entry)| (name.clone(), (entry.clone(), seq)))
                    .collect(),
                open: HashSet::new(),
                silent: HashSet::new(),
                connections: 0,
                down: false,
                given_up: Vec::new(),
                calls: 0,
            })),
            record: record.clone(),
        };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Changes entries under the next version.
    pub fn publish(&self, changed: &[(String, String)]) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        for (name, entry) in changed {
            state.entries.insert(name.clone(), (entry.clone(), seq));
        }
    }

    /// All watches that are open now fall silent: nothing is said on their connections any more.
    pub fn silence_open_watches(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        let open = state.open.clone();
        state.silent.extend(&open);
        open.len()
    }

    /// Sets whether discovery is down. At its return it answers the calls that still wait.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        let what = if down { "down" } else { "back" };
        self.record.line(format!("discovery is {what}"));
    }

    /// Returns when the node closed watches that were not answered.
    pub fn given_up(&self) -> Vec<Instant> {
        self.state.lock().unwrap().given_up.clone()
    }

    fn list(state: &ListState, after: Option<u64>) -> String {
        let hosts: Vec<&str> = state
            .entries
            .values()
            .filter(|(_, changed)| after.is_none_or(|after| *changed > after))
            .map(|(entry, _)| entry.as_str())
            .collect();
        format!(
            "{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}",
            state.seq,
            after.is_none(),
            hosts.join(",")
        )
    }

    fn serve(&self, stream: TcpStream) {
        let id = {
            let mut state = self.state.lock().unwrap();
            state.connections += 1;
            let id = state.connections;
            state.open.insert(id);
            id
        };
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(None) {
            if !self.answer(id, &request, &mut connection) {
                break;
            }
        }
        self.state.lock().unwrap().open.remove(&id);
    }

    fn answer(&self, id: u64, request: &Message, connection: &mut Connection) -> bool {
        let target = request.target().to_owned();
        let parameter = |name: &str| {
            let query = target.split_once('?')?.1;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
                .parse::<u64>()
                .ok()
        };
        let after = parameter("after");
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000));
        let wait_ends = Instant::now() + wait;
        let call = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.calls
        };
        self.record.line(format!(
            "discovery: call {call} on connection {id}: GET {target}"
        ));
        loop {
            {
                let state = self.state.lock().unwrap();
                let silent = state.down || state.silent.contains(&id);
                let newer = after.is_none_or(|after| state.seq > after);
                if !silent && (newer || Instant::now() >= wait_ends) {
                    let body = Self::list(&state, after);
                    let seq = state.seq;
                    drop(state);
                    self.record.line(format!(
                        "discovery: call {call} is answered with version {seq}, {} bytes",
                        body.len()
                    ));
                    return connection.send(&answer("200 OK", body.as_bytes())).is_ok();
                }
            }
            // Waits a little, and notices a close by the node.
            if connection.peer_has_acted() {
                let mut state = self.state.lock().unwrap();
                state.open.remove(&id);
                let silent = state.silent.contains(&id);
                if !silent {
                    state.given_up.push(Instant::now());
                }
                drop(state);
                self.record.line(format!(
                    "discovery: call {call} is given up by the node: closed before its answer{}",
                    if silent { " (silent)" } else { "" }
                ));
                return false;
            }
        }
    }
}

/// The settings of mm-cache-east, as its page of the wire has them.
pub const SETTINGS: &str = r#"{"az":"boston","balancers":3,"position":0,"stage":0,"tick_us":5000,
"client_habits":{"marks_retry":true},"family":"cache",
"family_info":{"mode":"through","origin_fall_multiple":2.5,"origin_fall_us":3000000,"origin_kind":-1},
"lanes":[
{"dedup_scope":"all","effect":"safe","hard_limit_us":2500000,"late_value":0.0,"name":"lookup","promise_us":1000000,"repeat_window_us":5000000,"streaming":false,"worth":1.0},
{"dedup_scope":"all","effect":"keyed","hard_limit_us":2000000,"late_value":0.0,"name":"queue-join","promise_us":800000,"repeat_window_us":4000000,"streaming":false,"worth":3.0},
{"dedup_scope":"all","effect":"unsafe","hard_limit_us":3000000,"late_value":0.0,"name":"entry-fee","promise_us":1000000,"repeat_window_us":5000000,"streaming":false,"worth":10.0}],
"limits":{"cancelling":true,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":800000,"keepalive_us":60000000,"max_open":20000,"max_retry_after_us":1500000,"most_tries":6,"peer_messages":false,"probing":true,"retry_after":false,"second_copies":true,"streams_per_conn":1},
"membership_mode":"subscribe","orgs":[],"over_share_worth":0.1,
"report":{"fields":["err_rps","avg_ms","active"],"source":"probe"},
"safety":{"ask_within_us":10000000,"cold_share":0.31,"fall_multiple":3.0,"fall_us":1500000,"grace_to_answer_us":20000,"stop_sending_within_us":250000,"warm_within_us":9000000},
"shapes":["fast-1c","slow-1c"],"tiers":["lobby-cache"],"value_by":"work","weights":"nominal",
"zones":["boston","worcester","providence"]}"#;

/// What a node is started with.
pub struct NodeOptions<'a> {
    pub name: &'a str,
    /// Where clients connect; any free port if there is none.
    pub listen: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// `known`: a list in discovery's form.
    pub known: String,
    pub settings: &'a str,
}

/// A node, started as the deploy file says; killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts a node and waits until `/healthz` answers 200.
    pub fn start(root: &Path, options: &NodeOptions<'_>) -> io::Result<Self> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or_else(|| io::Error::other("the deploy file has no run line"))?;
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), options.name));
        fs::create_dir_all(folder.join("tmp"))?;
        // A free port: bound for a moment, then left to the node.
        let address = match options.listen {
            Some(address) => address,
            None => TcpListener::bind("127.0.0.1:0")?.local_addr()?,
        };
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            options.name,
            options.discovery,
            options.memory_mb,
            options.sockets,
            options.known,
            options.settings
        );
        let config_path = folder.join("config.json");
        fs::write(&config_path, config)?;
        let log = fs::File::create(folder.join("log.txt"))?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {}; {run}", options.sockets))
            .current_dir(root)
            .env("LB_NAME", options.name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", options.discovery.to_string())
            .env("LB_CONFIG", &config_path)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        // The node ends with the stand-in, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn()?;
        let mut node = Self {
            address,
            child,
            folder,
        };
        // The pages give a node 30 s to be ready.
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if let Some(status) = node.child.try_wait()? {
                return Err(io::Error::other(format!("the node ended: {status}")));
            }
            if node.is_ready() {
                return Ok(node);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the node is not ready after 30 s"))
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        let sent = connection.send(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        let until = Instant::now() + Duration::from_millis(500);
        sent.is_ok()
            && connection
                .read(Some(until))
                .is_ok_and(|message| message.status() == 200)
    }

    pub fn signal(&self, signal: i32) {
        // The shell has replaced itself by the node.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the whole list of ready servers at this version.
pub fn whole_list(seq: u64, servers: &[CacheServer]) -> String {
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.entry(index, "ready"))
        .collect();
    format!(
        "{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}",
        entries.join(",")
    )
}

/// Returns names and entries of all servers, ready.
pub fn ready_entries(servers: &[CacheServer]) -> Vec<(String, String)> {
    servers
        .iter()
        .enumerate()
        .map(|(index, server)| (server.name.clone(), server.entry(index, "ready")))
        .collect()
}
