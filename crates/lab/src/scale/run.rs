//! A scale run from its first process to its report.

use crate::client::Table;
use crate::nodes::{NodeError, Program};
use crate::run::Folder;
use crate::scale::bounds::{BoundsError, Limits, Reckoning};
use crate::scale::convergence::{Change, Convergence, Occasion, Spread};
use crate::scale::counts::ControlCounts;
use crate::scale::options::{Options, OptionsError, TroubleKind};
use crate::scale::processes::{monotonic_us, Usage};
use crate::scale::protocol::{InForce, Message, NodeSetup, Order, Setup, WorkerCounts};
use crate::scale::real::{self, FromReal, RealNode, Surroundings};
use crate::scale::report::{self, ChangeTimes, Counts, Report, StartTimes};
use crate::scale::schedule::{Draws, Schedule, Step, TroubleStep};
use crate::scale::service::{Heard, Peer, Service, ServiceEnded, ServiceFigures};
use crate::scale::traffic::{Traffic, TrafficCounts};
use crate::scale::workers::{FromWorker, Worker, WorkersError};
use crate::scenario::ScenarioError;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::runtime;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// What is due is looked at so often, and whether the run is to stop.
const TICK: Duration = Duration::from_millis(5);
/// A fleet that is not up to date by then does not get there.
const FLEET_START: Duration = Duration::from_secs(120);
/// After the last change the fleet has this long to be up to date.
const SETTLE: Duration = Duration::from_secs(20);
/// A worker answers within this.
const WORKER_ANSWER: Duration = Duration::from_secs(20);

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The options make no sense.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// It would take too much.
    #[error(transparent)]
    Bounds(#[from] BoundsError),
    /// Ctrl-C, or another word to stop.
    #[error("stopped")]
    Stopped,
    /// Files, sockets or threads of the run itself.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The real nodes' description.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// The real nodes' files.
    #[error("{0}")]
    Nodes(#[from] NodeError),
    /// A worker.
    #[error(transparent)]
    Workers(#[from] WorkersError),
    /// A worker that gave up.
    #[error("worker {0}: {1}")]
    Worker(usize, String),
    /// A worker that says nothing.
    #[error("a worker did not answer in time")]
    Silent,
    /// A real node that gave up.
    #[error("real node {0}: {1}")]
    RealNode(usize, String),
    /// The stand-in for discovery.
    #[error(transparent)]
    Service(#[from] ServiceEnded),
    /// The fleet.
    #[error("{behind} of {nodes} nodes had no list {} s after the start", FLEET_START.as_secs())]
    NoStart {
        /// Nodes without one.
        behind: usize,
        /// All nodes.
        nodes: usize,
    },
    /// The histograms of times.
    #[error("{0}")]
    Times(#[from] hdrhistogram::CreationError),
}

/// How far a run is, for whoever watches.
#[derive(Debug, Default)]
pub struct Progress(Mutex<String>);

impl Progress {
    /// One line.
    pub fn line(&self) -> String {
        self.0.lock().map(|line| line.clone()).unwrap_or_default()
    }

    fn say(&self, line: String) {
        if let Ok(mut said) = self.0.lock() {
            *said = line;
        }
    }
}

/// The programs that a run starts.
#[derive(Clone)]
pub struct Programs {
    /// The real nodes'.
    pub node: Program,
    /// The workers', with what makes it one.
    pub worker: (PathBuf, Vec<String>),
}

/// Runs it, until it is over or `stop` is raised. Nothing that it started is left then.
pub fn run(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
    progress: &Progress,
) -> Result<Report, ScaleError> {
    options.check()?;
    let (reckoning, limits) = (Reckoning::of(options), Limits::read()?);
    reckoning.check(&limits)?;
    let one = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&one, async {
        progress.say("starting".to_owned());
        let mut fleet = Fleet::start(options, programs).await?;
        let measured = tokio::select! {
            measured = fleet.measure(progress) => measured,
            () = stopped(stop) => Err(ScaleError::Stopped),
        };
        progress.say("ending".to_owned());
        let clients = fleet.end().await;
        measured.map(|measured| measured.report(options, reckoning, limits, clients))
    })
}

async fn stopped(stop: &AtomicBool) {
    let mut ticks = interval(TICK * 4);
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
    }
}

/// All that a run started.
struct Fleet<'a> {
    options: &'a Options,
    service: Service,
    traffic: Traffic,
    real: Vec<RealNode>,
    workers: Vec<Worker>,
    /// Which worker has which nodes: the first node of each, and the end.
    dealt: Vec<usize>,
    state: State,
    inbox: Inbox,
    draws: Draws,
    /// Its own folder goes with it.
    _folder: Folder,
}

/// What comes from the members of the fleet.
struct Inbox {
    heard: UnboundedReceiver<Heard>,
    real: UnboundedReceiver<(usize, FromReal)>,
    workers: UnboundedReceiver<(usize, FromWorker)>,
}

/// Something that came.
enum Came {
    Heard(Heard),
    Real(usize, FromReal),
    Worker(usize, FromWorker),
}

impl Inbox {
    async fn next(&mut self) -> Came {
        tokio::select! {
            Some(heard) = self.heard.recv() => Came::Heard(heard),
            Some((node, from)) = self.real.recv() => Came::Real(node, from),
            Some((worker, from)) = self.workers.recv() => Came::Worker(worker, from),
            // The other ends stay for as long as the fleet.
            else => pending().await,
        }
    }
}

/// What is known of the fleet.
struct State {
    convergence: Convergence,
    real: usize,
    /// Each node's life, from 1; of a real node it does not matter.
    lives: Vec<u32>,
    pids: Vec<Option<i32>>,
    /// The newest configuration.
    configuration: u64,
    list_changes: u64,
    ready_workers: usize,
    counted: Vec<Option<WorkerCounts>>,
}

impl State {
    fn take(&mut self, came: Came) -> Result<(), ScaleError> {
        match came {
            Came::Heard(heard) => self.heard(heard),
            Came::Real(node, FromReal::Starts(at_us)) => self.convergence.starts(node, at_us),
            Came::Real(node, FromReal::Ready(pid)) => self.pids[node] = pid,
            Came::Real(node, FromReal::Failed(why)) => return Err(ScaleError::RealNode(node, why)),
            Came::Worker(_, FromWorker::Told(Message::Ready)) => self.ready_workers += 1,
            Came::Worker(_, FromWorker::Told(Message::InForce(all))) => {
                all.into_iter().for_each(|in_force| self.in_force(in_force));
            }
            Came::Worker(worker, FromWorker::Told(Message::Counted(counts))) => {
                self.counted[worker] = Some(counts);
            }
            Came::Worker(worker, FromWorker::Told(Message::Failed(why)) | FromWorker::Ended(why)) => {
                return Err(ScaleError::Worker(worker, why));
            }
        }
        Ok(())
    }

    fn in_force(&mut self, in_force: InForce) {
        let InForce { node, life, list, configuration, at_us } = in_force;
        // What an earlier life had in force is gone.
        if self.lives.get(node) == Some(&life) {
            self.convergence.in_force(node, list, configuration, at_us);
        }
    }

    /// A real node's next call tells what it has in force.
    fn heard(&mut self, heard: Heard) {
        let newest = self.configuration;
        // Configurations alternate between a node's two addresses.
        let current = newest % 2 == heard.address as u64;
        let configuration = if current { newest } else { newest.saturating_sub(1) };
        self.convergence.in_force(heard.node, heard.after, configuration, heard.at_us);
    }
}

impl<'a> Fleet<'a> {
    async fn start(options: &'a Options, programs: &Programs) -> Result<Self, ScaleError> {
        let folder = Folder::new()?;
        let scenario = real::scenario(options)?;
        let table: Table = Table::default();
        if let Ok(mut table) = table.write() {
            table.resize(options.nodes(), None);
        }
        let traffic = Traffic::start(table.clone(), options.real, options.requests, options.seed).await?;
        let (heard, hears) = unbounded_channel();
        let service = Service::start(options, traffic.servers, peers(options), heard).await?;
        let (told, real_told) = unbounded_channel();
        let configuration = real::write_configuration(&scenario, options.seed, &folder.0)?;
        let around = Surroundings {
            scenario: &scenario,
            seed: options.seed,
            program: programs.node.clone(),
            folder: &folder.0,
            table,
            told,
        };
        let pairs = pairs(&service.addresses);
        let real = (0..options.real).map(|node| RealNode::start(node, pairs[node], &around)).collect();
        let dealt = deal(options);
        let (told, workers_told) = unbounded_channel();
        let workers = start_workers(options, programs, &dealt, &pairs, &configuration, &told).await?;
        let state = State {
            convergence: Convergence::new(options.nodes())?,
            real: options.real,
            lives: vec![0; options.nodes()],
            pids: vec![None; options.real],
            configuration: 0,
            list_changes: 0,
            ready_workers: 0,
            counted: vec![None; workers.len()],
        };
        let inbox = Inbox { heard: hears, real: real_told, workers: workers_told };
        let draws = Draws::new(options);
        Ok(Self { options, service, traffic, real, workers, dealt, state, inbox, draws, _folder: folder })
    }

    /// Ends all that was started; what clients saw.
    async fn end(self) -> TrafficCounts {
        let clients = self.traffic.stop().await;
        // All at once: each may take a while.
        let mut ending = tokio::task::JoinSet::new();
        self.real.into_iter().for_each(|node| drop(ending.spawn_local(node.end())));
        self.workers.into_iter().for_each(|worker| drop(ending.spawn_local(worker.end())));
        while ending.join_next().await.is_some() {}
        clients
    }

    /// Starts all nodes, plays the time line, and measures.
    async fn measure(&mut self, progress: &Progress) -> Result<Measured, ScaleError> {
        let start = self.start_nodes(progress).await?;
        let before = self.sample().await?;
        let played = self.play(progress).await?;
        let after = self.sample().await?;
        Ok(self.measured(start, before, after, played))
    }

    /// Takes in what comes until something holds, or for so long.
    async fn until(
        &mut self,
        most: Duration,
        progress: &Progress,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<bool, ScaleError> {
        let end = Instant::now() + most;
        let mut ticks = ticks();
        while !holds(self) {
            if Instant::now() > end {
                return Ok(false);
            }
            tokio::select! {
                came = self.inbox.next() => self.state.take(came)?,
                _ = ticks.tick() => self.tell(progress, "waiting"),
            }
        }
        Ok(true)
    }

    async fn start_nodes(&mut self, progress: &Progress) -> Result<StartTimes, ScaleError> {
        let workers = self.workers.len();
        if !self.until(WORKER_ANSWER, progress, |fleet| fleet.state.ready_workers == workers).await? {
            return Err(ScaleError::Silent);
        }
        // Real nodes are up before, so that their start does not wait for a herd.
        let real = |fleet: &Self| {
            fleet.state.pids.iter().all(Option::is_some) && fleet.state.convergence.starting() == 0
        };
        let mut well = self.until(FLEET_START, progress, real).await?;
        self.start_simulated((self.options.real..self.options.nodes()).collect()).await?;
        well &= self.until(FLEET_START, progress, Self::is_settled).await?;
        if !well {
            let (behind, nodes) = (self.state.convergence.behind(), self.options.nodes());
            return Err(ScaleError::NoStart { behind, nodes });
        }
        self.start_times()
    }

    /// Starts simulated nodes, in a new life.
    async fn start_simulated(&mut self, nodes: Vec<usize>) -> Result<(), ScaleError> {
        let at_us = monotonic_us();
        for &node in &nodes {
            self.state.lives[node] += 1;
            self.state.convergence.starts(node, at_us);
        }
        for (place, worker) in self.workers.iter_mut().enumerate() {
            let own = self.dealt[place]..self.dealt[place + 1];
            let own: Vec<_> = nodes.iter().copied().filter(|node| own.contains(node)).collect();
            if !own.is_empty() {
                worker.order(&Order::Start(own)).await?;
            }
        }
        Ok(())
    }

    fn start_times(&mut self) -> Result<StartTimes, ScaleError> {
        let real_nodes = self.state.real;
        let (real, simulated): (Vec<_>, Vec<_>) =
            self.state.convergence.take_started().into_iter().partition(|(node, _)| *node < real_nodes);
        let spread = |started: Vec<(usize, u64)>| Spread::of_each(started.into_iter().map(|(_, time)| time));
        Ok(StartTimes { real: spread(real)?, simulated: spread(simulated)? })
    }

    /// Whether all nodes are up to date, and watch.
    fn is_settled(&self) -> bool {
        let convergence = &self.state.convergence;
        convergence.behind() == 0
            && convergence.starting() == 0
            && self.service.waiting() >= self.options.nodes()
    }

    fn tell(&self, progress: &Progress, doing: &str) {
        let (behind, nodes) = (self.state.convergence.behind(), self.options.nodes());
        progress.say(format!(
            "{doing}: {} of {nodes} nodes up to date, {} list changes, {} configurations",
            nodes - behind,
            self.state.list_changes,
            self.state.configuration
        ));
    }

    /// Makes what is due, until all of it is made and the fleet is up to date.
    async fn play(&mut self, progress: &Progress) -> Result<Played, ScaleError> {
        let mut schedule = Schedule::new(self.options);
        let mut played = Played::default();
        let begun = Instant::now();
        let length = self.options.length();
        let mut ticks = ticks();
        loop {
            let now = begun.elapsed();
            while let Some(step) = schedule.next_trouble(now) {
                self.trouble(step, &mut played).await?;
            }
            while !self.options.step_wise || self.is_settled() {
                let Some(step) = schedule.next_step(now) else { break };
                self.step(step).await?;
            }
            let over = now >= length && schedule.is_over() && self.is_settled();
            if over || now >= length + SETTLE {
                break;
            }
            tokio::select! {
                came = self.inbox.next() => self.state.take(came)?,
                _ = ticks.tick() => {
                    let (now, length) = (now.as_secs_f64(), self.options.length_s);
                    self.tell(progress, &format!("{now:.0} of {length:.0} s"));
                }
            }
        }
        Ok(played)
    }

    async fn step(&mut self, step: Step) -> Result<(), ScaleError> {
        match step {
            Step::ListChange => {
                let changes = self.draws.list_change();
                self.change_list(changes, Occasion::Planned).await
            }
            Step::Configuration => self.configure().await,
        }
    }

    async fn change_list(
        &mut self,
        changes: Vec<crate::scale::directory::EntryChange>,
        occasion: Occasion,
    ) -> Result<(), ScaleError> {
        let changed = self.service.change(changes).await?;
        self.state.list_changes += 1;
        self.state.convergence.changed(Change::List(changed.version), occasion, changed.at_us);
        Ok(())
    }

    async fn configure(&mut self) -> Result<(), ScaleError> {
        let at_us = monotonic_us();
        self.state.configuration += 1;
        let configuration = self.state.configuration;
        self.state.convergence.changed(Change::Configuration(configuration), Occasion::Planned, at_us);
        self.real.iter().for_each(RealNode::configure);
        for worker in &mut self.workers {
            worker.order(&Order::Configure(configuration)).await?;
        }
        Ok(())
    }

    async fn trouble(&mut self, step: TroubleStep, played: &mut Played) -> Result<(), ScaleError> {
        match step {
            TroubleStep::Begin(kind) => {
                let figures = self.service.figures().await?;
                played.trouble = Some((kind, figures.real + figures.simulated));
                match kind {
                    TroubleKind::DiscoveryDown => self.service.set_down(true)?,
                    TroubleKind::Split => self.service.set_cut(true)?,
                    TroubleKind::RestartTenth => {
                        let nodes = self.draws.tenth();
                        self.restart(nodes).await?;
                    }
                    TroubleKind::ZoneLost => {
                        let lost = self.draws.lose_zone();
                        self.change_list(lost, Occasion::TroubleBegins).await?;
                    }
                }
            }
            TroubleStep::End(kind) => {
                match kind {
                    TroubleKind::DiscoveryDown => self.service.set_down(false)?,
                    TroubleKind::Split => self.service.set_cut(false)?,
                    TroubleKind::RestartTenth | TroubleKind::ZoneLost => {}
                }
                // Time to be up to date is that of a change made just then.
                let changes = match kind {
                    TroubleKind::ZoneLost => self.draws.return_zone(unix_ms()),
                    _ => self.draws.list_change(),
                };
                self.change_list(changes, Occasion::TroubleEnds).await?;
            }
        }
        Ok(())
    }

    async fn restart(&mut self, nodes: Vec<usize>) -> Result<(), ScaleError> {
        let real_nodes = self.state.real;
        let (real, simulated): (Vec<_>, Vec<_>) = nodes.into_iter().partition(|node| *node < real_nodes);
        real.into_iter().for_each(|node| self.real[node].restart());
        self.start_simulated(simulated).await
    }

    /// What all members used so far.
    async fn sample(&mut self) -> Result<Sample, ScaleError> {
        self.state.counted.iter_mut().for_each(|counted| *counted = None);
        for worker in &mut self.workers {
            worker.order(&Order::Count).await?;
        }
        let counted = |fleet: &Self| fleet.state.counted.iter().all(Option::is_some);
        if !self.until(WORKER_ANSWER, &Progress::default(), counted).await? {
            return Err(ScaleError::Silent);
        }
        let usage =
            |pids: Vec<Option<i32>>| pids.into_iter().flatten().map(Usage::of).sum::<io::Result<Usage>>();
        let requests = self.state.counted.iter().flatten();
        Ok(Sample {
            at: Instant::now(),
            service: self.service.figures().await?,
            run: Usage::of(nix::unistd::getpid().as_raw())?,
            real: usage(self.state.pids.clone())?,
            workers: usage(self.workers.iter().map(Worker::pid).collect())?,
            requests: requests.clone().map(|counts| counts.requests).sum(),
            request_processor: Duration::from_nanos(
                requests.clone().map(|counts| counts.request_processor_ns).sum(),
            ),
            failed_calls: requests.map(|counts| counts.failed_calls).sum(),
        })
    }

    fn measured(&mut self, start: StartTimes, before: Sample, after: Sample, played: Played) -> Measured {
        let restarted = self.start_times().ok();
        let convergence = &self.state.convergence;
        let times = |times: &crate::scale::convergence::Times| ChangeTimes {
            to_last_node: Spread::of(&times.to_last),
            to_each_node: Spread::of(&times.to_each),
        };
        let ms = |occasion| convergence.trouble(occasion).map(|us| us as f64 / 1e3);
        let trouble = played.trouble.map(|(kind, counts)| report::Trouble {
            kind,
            to_last_node_ms: ms(Occasion::TroubleBegins),
            recovered_ms: ms(Occasion::TroubleEnds),
            restarted: restarted.filter(|_| kind == TroubleKind::RestartTenth),
            counts: after.service.real + after.service.simulated - counts,
            failed_calls: after.failed_calls,
        });
        Measured {
            start,
            behind: convergence.behind(),
            list_change: times(convergence.lists()),
            configuration: times(convergence.configurations()),
            list_changes: self.state.list_changes,
            configurations: self.state.configuration,
            trouble,
            before,
            after,
        }
    }
}

/// What was played.
#[derive(Default)]
struct Played {
    /// The trouble, and all messages before it.
    trouble: Option<(TroubleKind, ControlCounts)>,
}

/// What the members of the fleet used so far.
struct Sample {
    at: Instant,
    service: ServiceFigures,
    run: Usage,
    real: Usage,
    workers: Usage,
    requests: u64,
    request_processor: Duration,
    failed_calls: u64,
}

/// What a run came to.
struct Measured {
    start: StartTimes,
    behind: usize,
    list_change: ChangeTimes,
    configuration: ChangeTimes,
    list_changes: u64,
    configurations: u64,
    trouble: Option<report::Trouble>,
    before: Sample,
    after: Sample,
}

impl Measured {
    fn report(
        self,
        options: &Options,
        reckoning: Reckoning,
        limits: Limits,
        clients: TrafficCounts,
    ) -> Report {
        let seconds = (self.after.at - self.before.at).as_secs_f64();
        let counts = self.counts();
        Report {
            options: options.clone(),
            reckoning,
            limits,
            measured_s: seconds,
            behind_at_end: self.behind,
            discovery: self.discovery(&counts, seconds),
            real_node: (options.real > 0).then(|| self.real_node(options, &counts, seconds)),
            simulated_node: (options.simulated > 0).then(|| self.simulated_node(options, &counts, seconds)),
            counts,
            list_change: self.list_change,
            configuration: self.configuration,
            start: self.start,
            trouble: self.trouble,
            clients,
        }
    }

    fn counts(&self) -> Counts {
        let (before, after) = (&self.before.service, &self.after.service);
        Counts {
            list_changes: self.list_changes,
            configurations: self.configurations,
            real: after.real,
            simulated: after.simulated,
            real_measured: after.real - before.real,
            simulated_measured: after.simulated - before.simulated,
        }
    }

    fn discovery(&self, counts: &Counts, seconds: f64) -> report::Discovery {
        let (before, after) = (&self.before.service, &self.after.service);
        let processor = after.processor.saturating_sub(before.processor);
        let busy = after.busy.saturating_sub(before.busy);
        report::Discovery {
            traffic: report::Traffic::of(&(counts.real_measured + counts.simulated_measured), seconds, 1),
            processor_ms_per_s: processor.as_secs_f64() * 1e3 / seconds,
            busy_share: busy.as_secs_f64() / seconds,
            resident_kib: self.after.run.resident_kib,
            connections: after.open,
            most_connections: after.most_open,
        }
    }

    fn real_node(&self, options: &Options, counts: &Counts, seconds: f64) -> report::Node {
        let used = self.after.real - self.before.real;
        let nodes = options.real as f64;
        let processor = used.processor.as_secs_f64() * 1e6 / seconds / nodes;
        report::Node {
            traffic: report::Traffic::of(&counts.real_measured, seconds, options.real),
            processor_us_per_s: processor,
            control_processor_us_per_s: (options.requests == 0.0).then_some(processor),
            resident_kib: used.resident_kib as f64 / nodes,
            connections: used.sockets as f64 / nodes,
            requests_per_s: None,
        }
    }

    fn simulated_node(&self, options: &Options, counts: &Counts, seconds: f64) -> report::Node {
        let used = self.after.workers - self.before.workers;
        let nodes = options.simulated as f64;
        let each = |time: Duration| time.as_secs_f64() * 1e6 / seconds / nodes;
        let requests = self.after.request_processor.saturating_sub(self.before.request_processor);
        report::Node {
            traffic: report::Traffic::of(&counts.simulated_measured, seconds, options.simulated),
            processor_us_per_s: each(used.processor),
            control_processor_us_per_s: Some(each(used.processor.saturating_sub(requests))),
            resident_kib: used.resident_kib as f64 / nodes,
            connections: used.sockets as f64 / nodes,
            requests_per_s: Some((self.after.requests - self.before.requests) as f64 / seconds / nodes),
        }
    }
}

fn ticks() -> tokio::time::Interval {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Nodes of each worker: the first of each, and the end.
fn deal(options: &Options) -> Vec<usize> {
    let workers = options.used_workers();
    (0..=workers).map(|place| options.real + options.simulated * place / workers.max(1)).collect()
}

/// Every second node is cut off by a split.
fn is_far(node: usize) -> bool {
    node % 2 == 1
}

/// Who calls at discovery's addresses, two for each node's place. Simulated nodes share them: a worker's on each side of a
/// cut.
fn peers(options: &Options) -> Vec<Peer> {
    let both = |real, far| (0..2).map(move |address| Peer { real, address, far });
    let real = (0..options.real).flat_map(|node| both(Some(node), is_far(node)));
    let shared = (0..options.used_workers() * 2).flat_map(|group| both(None, is_far(group)));
    real.chain(shared).collect()
}

fn pairs(addresses: &[SocketAddr]) -> Vec<[SocketAddr; 2]> {
    addresses.chunks_exact(2).map(|pair| [pair[0], pair[1]]).collect()
}

async fn start_workers(
    options: &Options,
    programs: &Programs,
    dealt: &[usize],
    pairs: &[[SocketAddr; 2]],
    configuration: &Path,
    told: &UnboundedSender<(usize, FromWorker)>,
) -> Result<Vec<Worker>, ScaleError> {
    let (program, arguments) = &programs.worker;
    let mut workers = Vec::new();
    for place in 0..options.used_workers() {
        let mut worker = Worker::start(place, program, arguments, told.clone())?;
        let setup = |number: usize| NodeSetup {
            number,
            discovery: pairs[options.real + 2 * place + usize::from(is_far(number))],
        };
        let setup = Setup {
            configuration: configuration.to_owned(),
            nodes: (dealt[place]..dealt[place + 1]).map(setup).collect(),
            seed: options.seed,
            request_rate: options.requests,
        };
        worker.order(&Order::SetUp(setup)).await?;
        workers.push(worker);
    }
    Ok(workers)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
