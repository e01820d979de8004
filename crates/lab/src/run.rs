//! Plays a scenario: stand-ins on one thread, clients on another, nodes as processes, faults on the time line.

use crate::client::{Clients, Live, Table};
use crate::discovery::Directory;
use crate::model::{Origin, Terms, World};
use crate::nodes::{Lives, Node, NodeError, Program};
use crate::plan::{mix, Plan};
use crate::record::Record;
use crate::rules::{self, Breach};
use crate::scenario::{Fault, Kind, Scenario};
use crate::servers::{Floor, Manner};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until};

/// Load begins so long after all nodes are ready, so that no connection of the start is in its figures.
const SETTLE: Duration = Duration::from_millis(200);
/// Stand-ins serve on for so long after the last answer: what was refused or given up may still arrive.
const LINGER: Duration = Duration::from_millis(300);
/// The nodes are looked at so often.
const LOOK: Duration = Duration::from_millis(20);

/// Why a run did not happen. What a node does wrong is a verdict, and not an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A socket, thread or folder of the rig's own.
    #[error("the rig cannot run: {0}")]
    Rig(#[from] io::Error),
    /// A thread of the rig has gone.
    #[error("the rig's {0} ended early")]
    Thread(&'static str),
    /// Nodes do not start.
    #[error("{0}")]
    Node(#[from] NodeError),
}

/// Where a node answers, and its process.
pub type Started = (SocketAddr, Option<i32>);

/// How to play.
#[derive(Clone)]
pub struct Options {
    /// What is under test.
    pub program: Program,
    /// Of all that is drawn.
    pub seed: u64,
    /// Ids of people's own may be asked for beside the load.
    pub by_hand: bool,
    /// Running counts.
    pub live: Arc<Live>,
    /// Set to end early; what was asked by then is finished.
    pub stop: Arc<AtomicBool>,
    /// Told of each node's address and process once all are ready.
    pub ready: Option<mpsc::Sender<Vec<Started>>>,
}

impl Options {
    /// A plain run of a binary.
    pub fn new(program: Program, seed: u64) -> Self {
        let (live, stop) = (Arc::default(), Arc::default());
        Self { program, seed, by_hand: false, live, stop, ready: None }
    }
}

/// A run that was played to its end.
pub struct Played {
    /// What was asked.
    pub plan: Arc<Plan>,
    /// What was seen.
    pub record: Record,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// For how long load arrived.
    pub lasted: Duration,
}

/// A folder of this run's own, which goes with it.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new() -> io::Result<Self> {
        let unique = mix(u64::from(std::process::id())
            ^ SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64));
        let path = std::env::temp_dir().join(format!("slatelink-lab-{unique:016x}"));
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What cannot be removed is a small file in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the stand-ins listen on.
struct Addresses {
    /// For each node: discovery's two addresses.
    discovery: Vec<[SocketAddr; 2]>,
    /// The servers', as the first node knows them.
    servers: Vec<SocketAddr>,
}

/// Told to the stand-ins while they run.
enum Word {
    /// Load begins: faults count from now.
    Begin,
    /// A node follows another address: its old one closes.
    CloseOld { node: usize, which: usize },
}

/// Plays a scenario once.
pub fn play(scenario: &Scenario, options: &Options) -> Result<Played, RunError> {
    let plan = Arc::new(Plan::draw(scenario, options.seed));
    let folder = Folder::new()?;
    // One clock for all; the run's zero lies ahead of the nodes' start, and is moved to the load's at the end.
    let start = Instant::now();
    let (over, ending) = watch::channel(false);
    let (words, heard) = channel::unbounded_channel();
    let (addresses, listening) = mpsc::channel();
    let stand_ins = spawn("stand-ins", {
        let (scenario, plan, hand) = (scenario.clone(), plan.clone(), options.by_hand);
        move || stand_ins(scenario, plan, start, hand, addresses, heard, ending)
    })?;
    let listening = match listening.recv() {
        Ok(addresses) => addresses,
        Err(_) => {
            return Err(joined(stand_ins, "stand-ins")?
                .err()
                .map_or(RunError::Thread("stand-ins"), RunError::Rig))
        }
    };
    let one = runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let played = one.block_on(nodes(scenario, options, &plan, start, listening, &folder, words));
    over.send_replace(true);
    let seen = joined(stand_ins, "stand-ins")??;
    let (clients, lives, zero, lasted) = played?;
    let mut record = Record { tries: clients.tries, late: clients.late, lives, ..seen };
    record.shift(zero);
    let class_of = |id: crate::record::TryId| plan.arrivals[id.arrival as usize].class;
    let breaches = rules::check(&record, &scenario.classes, class_of);
    Ok(Played { plan, record, breaches, lasted })
}

fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(body)
}

fn joined<T>(thread: JoinHandle<T>, name: &'static str) -> Result<T, RunError> {
    thread.join().map_err(|_| RunError::Thread(name))
}

/// Runs the nodes and the clients, and gives what the clients saw, what became of the nodes, the load's start in
/// microseconds and how long it lasted.
async fn nodes(
    scenario: &Scenario,
    options: &Options,
    plan: &Arc<Plan>,
    start: Instant,
    listening: Addresses,
    folder: &Folder,
    words: channel::UnboundedSender<Word>,
) -> Result<(Record, Vec<(usize, crate::record::Life, u64, String)>, u64, Duration), RunError> {
    let Addresses { mut discovery, servers } = listening;
    let listed = match options.program {
        Program::Nothing => {
            discovery.clear();
            servers.into_iter().map(Some).collect()
        }
        _ => vec![None; discovery.len()],
    };
    let table: Table = Arc::new(std::sync::RwLock::new(listed));
    let lives: Lives = Arc::default();
    let program = options.program.clone().with_front(&scenario.front, &folder.0)?;
    let mut all = Vec::new();
    for (place, discovery) in discovery.into_iter().enumerate() {
        let program = program.clone();
        let (table, lives) = (table.clone(), lives.clone());
        let mut node = Node::new(
            place,
            scenario,
            options.seed,
            program,
            discovery,
            &folder.0,
            table,
            lives,
            start,
            options.live.clone(),
        );
        let address = node.up().await?;
        all.push((node, address));
    }
    if let Some(ready) = &options.ready {
        // Whoever asked may have gone.
        let _ = ready.send(all.iter().map(|(node, address)| (*address, node.pid())).collect());
    }
    sleep(SETTLE).await;
    let begin = Instant::now();
    // The stand-ins end only after this.
    let _ = words.send(Word::Begin);
    let clients = spawn("clients", {
        let (scenario, plan, table) = (scenario.clone(), plan.clone(), table.clone());
        let (live, stop) = (options.live.clone(), options.stop.clone());
        move || {
            let one = runtime::Builder::new_current_thread().enable_all().build()?;
            let clients = Clients::new(&scenario, plan, begin, table, live, stop);
            Ok::<_, io::Error>(LocalSet::new().block_on(&one, clients.run()))
        }
    })?;
    let mut running = Vec::new();
    for (place, (mut node, _)) in all.into_iter().enumerate() {
        let mut faults: Vec<_> = struck(scenario)
            .filter(|(fault, whom, _)| fault.kind.of_nodes() && *whom == place)
            .map(|(fault, _, at)| (at, fault))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (words, stop) = (words.clone(), options.stop.clone());
        let (end, ended) = watch::channel(false);
        running.push((
            end,
            tokio::spawn(async move {
                let result = life(&mut node, place, begin, faults, words, stop, ended).await;
                node.down().await;
                result
            }),
        ));
    }
    while !clients.is_finished() {
        sleep(LOOK).await;
    }
    let lasted = begin.elapsed();
    sleep(LINGER).await;
    let mut failed = None;
    for (end, task) in running {
        end.send_replace(true);
        if let Ok(Err(error)) = task.await {
            failed = failed.or(Some(error));
        }
    }
    let seen = joined(clients, "clients")??;
    // A node that does not come back is a verdict: its fault said so, and the record tells.
    if let Some(error) = failed {
        let at = start.elapsed().as_micros() as u64;
        if let Ok(mut lives) = lives.lock() {
            lives.push((0, crate::record::Life::Died, at, error.to_string()));
        }
    }
    let lives = lives.lock().map(|lives| lives.clone()).unwrap_or_default();
    Ok((seen, lives, begin.duration_since(start).as_micros() as u64, lasted))
}

/// Plays a node's faults and watches that it lives.
async fn life(
    node: &mut Node,
    place: usize,
    begin: Instant,
    faults: Vec<(Duration, Fault)>,
    words: channel::UnboundedSender<Word>,
    stop: Arc<AtomicBool>,
    ended: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let mut faults = faults.into_iter().peekable();
    while !*ended.borrow() {
        let next = faults.peek().map(|(at, _)| begin + *at);
        if next.is_some_and(|at| at <= Instant::now()) && !stop.load(Ordering::Relaxed) {
            if let Some((_, fault)) = faults.next() {
                if let Some(which) = node.strike(&fault).await? {
                    let _ = words.send(Word::CloseOld { node: place, which });
                }
            }
        }
        node.died();
        sleep(LOOK).await;
    }
    Ok(())
}

/// The stand-ins' thread.
fn stand_ins(
    scenario: Scenario,
    plan: Arc<Plan>,
    start: Instant,
    hand: bool,
    addresses: mpsc::Sender<Addresses>,
    heard: channel::UnboundedReceiver<Word>,
    mut ending: watch::Receiver<bool>,
) -> io::Result<Record> {
    let one = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&one, async {
        let fleet = &scenario.fleet;
        // Machines that replace others stand ready, unknown to discovery.
        let spares: usize = struck(&scenario).filter(|(fault, ..)| fault.kind == Kind::Replace).count();
        let count = fleet.servers + spares;
        let floor = Floor::new(&scenario, plan.clone(), world(&scenario, &plan, count), count, start, hand);
        let mut dials = vec![Vec::new(); fleet.nodes];
        for (node, dials) in dials.iter_mut().enumerate() {
            for server in 0..count {
                dials.push(floor.listen(server, node).await?);
            }
        }
        let servers = dials[0][..fleet.servers].to_vec();
        let directory = Directory::new(floor.clone(), fleet, count, dials);
        let mut told = Vec::new();
        for node in 0..fleet.nodes {
            told.push([directory.listen(node, 0).await?, directory.listen(node, 1).await?]);
        }
        spawn_local(floor.clone().pump());
        spawn_local(floor.clone().sample());
        spawn_local(listen(scenario.clone(), floor.clone(), directory, heard));
        // The run may have ended before it began.
        let _ = addresses.send(Addresses { discovery: told, servers });
        let _ = ending.wait_for(|over| *over).await;
        let mut record = floor.record.take();
        let world = floor.world.borrow();
        (record.fell, record.fetches) = (world.fell.clone(), world.fetches);
        Ok(record)
    })
}

async fn listen(
    scenario: Scenario,
    floor: Rc<Floor>,
    directory: Rc<Directory>,
    mut heard: channel::UnboundedReceiver<Word>,
) {
    while let Some(word) = heard.recv().await {
        match word {
            Word::Begin => begin(&scenario, &floor, &directory),
            Word::CloseOld { node, which } => directory.close_old(node, which),
        }
    }
}

/// Each fault with each server or node that it strikes, and when; faults of discovery once.
fn struck(scenario: &Scenario) -> impl Iterator<Item = (Fault, usize, Duration)> + '_ {
    scenario.faults.iter().map(toml::Spanned::get_ref).flat_map(|fault| {
        let whom = match fault.kind {
            kind if kind.of_servers() => fault.struck(&scenario.fleet),
            kind if kind.of_nodes() => fault.nodes.clone(),
            _ => vec![0],
        };
        let apart = fault.apart_s.get();
        whom.into_iter().enumerate().map(move |(nth, server)| {
            (fault.clone(), server, Duration::from_secs_f64(fault.at_s.get() + apart * nth as f64))
        })
    })
}

/// Sets the faults of servers and discovery going.
fn begin(scenario: &Scenario, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let begun = Instant::now();
    let mut spare = scenario.fleet.servers;
    for (fault, server, at) in struck(scenario) {
        let new = spare;
        spare += usize::from(fault.kind == Kind::Replace);
        let long = fault.for_s.map(|long| Duration::from_secs_f64(long.get()));
        let from = (begun + at).saturating_duration_since(floor.start).as_micros() as u64;
        let until = long.map(|long| from + long.as_micros() as u64);
        floor.record.borrow_mut().faults.push((fault.kind, from, until, server));
        if fault.kind.of_nodes() {
            continue;
        }
        let (floor, directory) = (floor.clone(), directory.clone());
        spawn_local(async move {
            sleep_until((begun + at).into()).await;
            tracing::info!(kind = ?fault.kind, whom = server, "a fault begins");
            set(&fault, server, new, &floor, &directory);
            if let Some(long) = long {
                sleep(long).await;
                tracing::info!(kind = ?fault.kind, whom = server, "a fault ends");
                unset(&fault, server, &floor, &directory);
            }
            if let Some(back) = fault.back_s.filter(|_| fault.kind == Kind::Drain) {
                sleep(Duration::from_secs_f64(back.get())).await;
                floor.behave(server, Manner::Well);
                directory.change(server, "ready", unix_ms());
            }
        });
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn set(fault: &Fault, server: usize, new: usize, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        Kind::Kill => {
            floor.behave(server, Manner::Down);
            directory.change(server, "gone", 0);
        }
        Kind::Hang => floor.behave(server, Manner::Hang),
        Kind::Slow => floor.world.borrow_mut().slow(server, by),
        Kind::Reset => floor.behave(server, Manner::Reset),
        Kind::Half => floor.behave(server, Manner::Half),
        Kind::Garbage => floor.behave(server, Manner::Garbage),
        Kind::Refuse => floor.behave(server, Manner::Refuse),
        Kind::Cut => floor.behave(server, Manner::Cut),
        Kind::Drain => directory.change(server, "draining", 0),
        Kind::Replace => {
            floor.behave(server, Manner::Down);
            floor.behave(new, Manner::Down);
            floor.behave(new, Manner::Well);
            directory.change(server, "gone", 0);
            directory.change(new, "ready", unix_ms());
        }
        Kind::DiscoveryDown => directory.set_down(true),
        Kind::DiscoveryRefuses => directory.refuses.set(true),
        Kind::DiscoveryLate => directory.late.set(directory.late.get() + Duration::from_secs_f64(by)),
        Kind::DiscoveryLies => directory.set_lies(true),
        Kind::NodeKill | Kind::NodeTerm | Kind::NodeHup => {}
    }
}

fn unset(fault: &Fault, server: usize, floor: &Rc<Floor>, directory: &Rc<Directory>) {
    let by = fault.by.map_or(1.0, |by| by.get());
    match fault.kind {
        Kind::Kill => {
            floor.behave(server, Manner::Well);
            directory.change(server, "ready", unix_ms());
        }
        Kind::Slow => floor.world.borrow_mut().slow(server, 1.0),
        Kind::Hang | Kind::Reset | Kind::Half | Kind::Garbage | Kind::Refuse | Kind::Cut => {
            floor.behave(server, Manner::Well);
        }
        Kind::Drain => {
            floor.behave(server, Manner::Down);
            directory.change(server, "gone", 0);
        }
        Kind::DiscoveryDown => directory.set_down(false),
        Kind::DiscoveryRefuses => directory.refuses.set(false),
        Kind::DiscoveryLate => {
            directory.late.set(directory.late.get().saturating_sub(Duration::from_secs_f64(by)));
        }
        Kind::DiscoveryLies => directory.set_lies(false),
        Kind::Replace | Kind::NodeKill | Kind::NodeTerm | Kind::NodeHup => {}
    }
}

/// The servers as they stand when the run begins: warm, and holding the keys that are asked for most.
fn world(scenario: &Scenario, plan: &Plan, count: usize) -> World {
    let fleet = &scenario.fleet;
    let [least, most] = fleet.speed.map(|speed| speed.get());
    let step = (most - least) / (fleet.servers.max(2) - 1) as f64;
    let terms = |i: usize| Terms {
        cores: fleet.cores,
        speed: least + step * (i % fleet.servers) as f64,
        queue: fleet.queue,
        memory: fleet.memory_kib << 10,
        cold_share: fleet.cold_share.get(),
        warm: Duration::from_secs_f64(fleet.warm_s.get()),
        fall_times: fleet.fall_times.get(),
        fall_span: Duration::from_secs_f64(fleet.fall_s.get()),
        drops_cancelled: fleet.drops_cancelled,
    };
    let database = &scenario.database;
    let origin = Origin {
        workers: database.workers,
        work: Duration::from_secs_f64(database.work_ms.get() / 1e3),
        queue: database.queue,
        fall_times: database.fall_times.get(),
        fall_span: Duration::from_secs_f64(database.fall_s.get()),
        down: Duration::from_secs_f64(database.down_s.get()),
    };
    let mut world = World::new((0..count).map(terms).collect(), origin, plan.seed);
    // Placement is the nodes' own affair: each server begins with the most wanted keys that fit.
    let mut fits = 0;
    let wanted: Vec<_> = (1..=u64::from(scenario.load.keys))
        .map(|rank| (mix(plan.seed ^ rank), plan.size(mix(plan.seed ^ rank))))
        .take_while(|(_, size)| {
            fits += size;
            fits <= fleet.memory_kib << 10
        })
        .collect();
    for server in 0..fleet.servers {
        // The most wanted last: it is the last to go.
        wanted.iter().rev().for_each(|(key, size)| world.warm_up(server, *key, *size));
    }
    world
}

impl Record {
    /// Counts the time of stand-ins and nodes from `zero`, as the clients do theirs.
    fn shift(&mut self, zero: u64) {
        let less = |at: &mut u64| *at = at.saturating_sub(zero);
        self.attempts.iter_mut().for_each(|one| [&mut one.first, &mut one.got].into_iter().for_each(less));
        self.told.iter_mut().for_each(|one| less(&mut one.at));
        self.changed.iter_mut().for_each(|one| less(&mut one.2));
        self.fell.iter_mut().for_each(|one| less(&mut one.at));
        self.lives.iter_mut().for_each(|one| less(&mut one.2));
        self.samples.iter_mut().for_each(|one| less(&mut one.at));
        self.strangers.iter_mut().for_each(|one| less(&mut one.2));
        for (_, from, until, _) in &mut self.faults {
            less(from);
            until.iter_mut().for_each(less);
        }
    }
}
