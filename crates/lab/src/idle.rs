//! What idle connections cost a node: many clients that have asked once and then say nothing, and then all speak.

use crate::client::percentiles;
use crate::http::{Conn, ReadError};
use crate::nodes::Program;
use crate::run::{play, Options, RunError, StartedNode};
use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

/// Asked at once while connections are made.
const CONCURRENT_CONNECTS: usize = 64;
/// Connections idle for so long when the node is measured.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Between two batches: longer than it takes a node to see that the last one is idle.
const BATCH_INTERVAL: Duration = Duration::from_millis(450);
/// For an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Look-ups beside a crowd, one after the other on each of a few connections.
const LOOKUPS: usize = 4_000;
const LOOKUP_CONNECTIONS: usize = 8;

/// A node with a crowd of idle connections.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Crowd {
    /// Connections that are held.
    pub held: usize,
    /// Resident memory of the node, in KiB.
    pub resident_kib: u64,
    /// Bytes of it for each, over what the node took before.
    pub bytes_each: f64,
    /// Milliseconds of look-ups on other connections, at the 50th and 99th percentile.
    pub p50_ms: f32,
    /// See `p50_ms`.
    pub p99_ms: f32,
}

/// What was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Idle {
    /// By the size of the crowd.
    pub crowds: Vec<Crowd>,
    /// Of the connections that were made, closed by the node with their first answer.
    pub closed: usize,
    /// When all spoke at once: how many were answered.
    pub answered: usize,
    /// And the time to the last answer, in milliseconds.
    pub burst_ms: f64,
    /// The most memory that the node ever took, in KiB.
    pub peak_kib: u64,
    /// From SIGTERM, with those that were answered idle again, until the last of them was closed, in milliseconds.
    pub stop_ms: f64,
    /// So many of them the node closed by itself.
    pub stopped: usize,
}

/// Holds idle connections at one node, up to each of `sizes` in turn, made in batches; measures the node with each, and
/// at the end lets all speak at once. Clients that come over an evening are in small batches; all in one have their
/// buffers at the same time.
pub fn measure(program: Program, sizes: &[usize], batch: usize) -> Result<Idle, RunError> {
    // Clients may have all but the servers' part, and idle ones stay.
    let sockets = sizes.iter().max().copied().unwrap_or_default() * 3 + 1024;
    let text = format!(
        "about = \"idle\"\nseconds = 3600\n[fleet]\nnodes = 1\nqueue = 100000\nsockets = {sockets}\nmemory_mb = 1024\n\
         speed = [4, 4]\n[load]\nrate = 1\n[front]\nclients_percent = 100\nidle_s = 3600\n"
    );
    let scenario = Scenario::parse(&text, Path::new("idle"))
        .map_err(|error| io::Error::other(error.to_string()))?;
    let (ready, ready_nodes) = mpsc::channel();
    let options = Options {
        by_hand: true,
        ready: Some(ready),
        ..Options::new(program, 1)
    };
    let stop = options.stop.clone();
    let playing = thread::spawn(move || play(&scenario, &options));
    let measured = ready_nodes
        .recv()
        .ok()
        .and_then(|nodes| nodes.first().copied())
        .map(|node| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, measure_node(node, sizes, batch.max(1)))
        });
    stop.store(true, Ordering::Relaxed);
    let played = playing.join().map_err(|_| RunError::Thread("run"))?;
    match measured {
        Some(measured) => Ok(measured?),
        // Its nodes did not start, and it says why.
        None => Err(played.err().unwrap_or(RunError::Thread("run"))),
    }
}

async fn measure_node(node: StartedNode, sizes: &[usize], batch: usize) -> io::Result<Idle> {
    let address = node.address;
    let pid = node
        .pid
        .ok_or_else(|| io::Error::other("the node is no process of its own"))?;
    let mut idle = Idle::default();
    // What the node takes for its first look-ups is not the crowd's.
    lookups(address).await?;
    sleep(IDLE_TIME).await;
    let empty_kib = process_memory_kib(pid, "VmRSS:")?;
    let mut held = Vec::new();
    for &size in sizes {
        grow(address, &mut held, &mut idle.closed, size, batch).await?;
        sleep(IDLE_TIME).await;
        let crowd = measure_crowd(address, pid, held.len(), empty_kib).await?;
        idle.crowds.push(crowd);
    }
    let (held, burst_ms) = send_at_once(held).await?;
    idle.answered = held.len();
    idle.burst_ms = burst_ms;
    idle.peak_kib = process_memory_kib(pid, "VmHWM:")?;
    sleep(IDLE_TIME).await;
    kill(Pid::from_raw(pid), Signal::SIGTERM)?;
    let started = Instant::now();
    idle.stopped = count_closed(held).await?;
    idle.stop_ms = started.elapsed().as_secs_f64() * 1e3;
    Ok(idle)
}

/// Makes connections in batches, until so many were made; `closed` counts those that the node did not keep.
async fn grow(
    address: SocketAddr,
    held: &mut Vec<Conn>,
    closed: &mut usize,
    size: usize,
    batch: usize,
) -> io::Result<()> {
    while held.len() + *closed < size {
        let count = batch.min(size - held.len() - *closed);
        let made = connect(address, held.len(), count).await?;
        *closed += count - made.len();
        held.extend(made);
        sleep(BATCH_INTERVAL).await;
    }
    Ok(())
}

/// Measures the node's memory, over what it took before any connection, and look-ups on other connections.
async fn measure_crowd(
    address: SocketAddr,
    pid: i32,
    held: usize,
    empty_kib: u64,
) -> io::Result<Crowd> {
    let resident_kib = process_memory_kib(pid, "VmRSS:")?;
    let grown_bytes = resident_kib.saturating_sub(empty_kib) << 10;
    let (p50_ms, p99_ms) = lookups(address).await?;
    Ok(Crowd {
        held,
        resident_kib,
        bytes_each: grown_bytes as f64 / held.max(1) as f64,
        p50_ms,
        p99_ms,
    })
}

/// Sends a request on every connection at once; those that were answered, and milliseconds to the last answer.
async fn send_at_once(held: Vec<Conn>) -> io::Result<(Vec<Conn>, f64)> {
    let started = Instant::now();
    let mut sending = JoinSet::new();
    for (number, mut conn) in held.into_iter().enumerate() {
        sending.spawn_local(async move {
            let answered = send_lookup(&mut conn, number).await.is_ok();
            let took_ms = started.elapsed().as_secs_f64() * 1e3;
            (answered.then_some(conn), took_ms)
        });
    }
    let (mut answered, mut last_ms) = (Vec::new(), 0.0_f64);
    while let Some(sent) = sending.join_next().await {
        let (conn, took_ms) = sent.map_err(io::Error::other)?;
        answered.extend(conn);
        last_ms = last_ms.max(took_ms);
    }
    Ok((answered, last_ms))
}

/// Waits until the connections end; how many of them the node closed in order, with nothing sent.
async fn count_closed(held: Vec<Conn>) -> io::Result<usize> {
    let mut closing = JoinSet::new();
    for mut conn in held {
        closing.spawn_local(async move {
            let ended = timeout(ANSWER_TIMEOUT, conn.answer()).await;
            matches!(ended, Ok(Err(ReadError::Ended { begun: false })))
        });
    }
    let mut closed = 0;
    while let Some(ended) = closing.join_next().await {
        closed += usize::from(ended.map_err(io::Error::other)?);
    }
    Ok(closed)
}

/// Connections that have asked once, and were kept.
async fn connect(address: SocketAddr, first: usize, count: usize) -> io::Result<Vec<Conn>> {
    let places = Arc::new(Semaphore::new(CONCURRENT_CONNECTS));
    let mut making = JoinSet::new();
    for i in first..first + count {
        let place = places
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        making.spawn_local(async move {
            let mut conn = Conn::new(TcpStream::connect(address).await?)?;
            let kept = send_lookup(&mut conn, i).await?;
            drop(place);
            Ok::<_, io::Error>(kept.then_some(conn))
        });
    }
    let mut made = Vec::new();
    while let Some(connected) = making.join_next().await {
        made.extend(connected.map_err(io::Error::other)??);
    }
    Ok(made)
}

/// The 50th and 99th percentile of look-ups, in milliseconds.
async fn lookups(address: SocketAddr) -> io::Result<(f32, f32)> {
    let mut asking = JoinSet::new();
    for connection in 0..LOOKUP_CONNECTIONS {
        asking.spawn_local(async move {
            let mut conn = Conn::new(TcpStream::connect(address).await?)?;
            let mut took: Vec<f32> = Vec::new();
            for i in 0..LOOKUPS / LOOKUP_CONNECTIONS {
                let started = Instant::now();
                if !send_lookup(&mut conn, 10_000_000 + i * LOOKUP_CONNECTIONS + connection).await?
                {
                    conn = Conn::new(TcpStream::connect(address).await?)?;
                }
                took.push(started.elapsed().as_secs_f32() * 1e3);
            }
            Ok::<_, io::Error>(took)
        });
    }
    let mut all = Vec::new();
    while let Some(took) = asking.join_next().await {
        all.extend(took.map_err(io::Error::other)??);
    }
    Ok(percentiles(all))
}

/// One request, to its answer: whatever it says, it is one. Whether the connection stays.
async fn send_lookup(conn: &mut Conn, number: usize) -> io::Result<bool> {
    let request = format!(
        "GET /api/{:x} HTTP/1.1\r\nHost: lab\r\nReq-Id: by-hand-{number}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: 600\r\n\r\n",
        number % 64
    );
    conn.write(request.as_bytes()).await?;
    let answer = timeout(ANSWER_TIMEOUT, conn.answer())
        .await?
        .map_err(io::Error::other)?;
    Ok(!answer.close)
}

/// A line of a process's memory, in KiB (proc(5): `VmRSS:` now, `VmHWM:` at its most).
fn process_memory_kib(pid: i32, name: &str) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other(format!("/proc/{pid}/status has no {name}")))
}
