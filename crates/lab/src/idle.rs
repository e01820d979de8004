//! Cost of idle connections at a node: many clients send one request each, stay idle, and at the
//! end all send a request at once.

use crate::client::percentiles;
use crate::http::{Conn, ReadError};
use crate::nodes::Program;
use crate::run::{run_scenario, Options, RunError, StartedNode};
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

/// Maximum number of concurrent connection attempts, each with its first request.
const CONCURRENT_CONNECTS: usize = 64;
/// Idle time of the connections before the node is measured.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Pause between two batches: longer than a node needs to detect that the previous batch is idle.
const BATCH_INTERVAL: Duration = Duration::from_millis(450);
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Total number of look-ups that measure latency, sequential on each of a few connections.
const LOOKUPS: usize = 4_000;
/// Number of connections that share the look-ups.
const LOOKUP_CONNECTIONS: usize = 8;

/// Measurement of a node with a given number of idle connections.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct IdleSample {
    /// Number of idle connections held open.
    pub held: usize,
    /// Resident memory of the node, in KiB.
    pub resident_kib: u64,
    /// Growth of resident memory per idle connection, in bytes.
    pub bytes_each: f64,
    /// 50th percentile of the latency of look-ups on other connections, in milliseconds.
    pub p50_ms: f32,
    /// 99th percentile of the latency of look-ups on other connections, in milliseconds.
    pub p99_ms: f32,
}

/// Results of a measurement of idle connections.
#[derive(Clone, Debug, Default, Serialize)]
pub struct IdleReport {
    /// Measurements by number of idle connections.
    #[serde(rename = "crowds")]
    pub samples: Vec<IdleSample>,
    /// Number of connections that the node closed with their first response.
    pub closed: usize,
    /// Number of responses when all connections sent a request at once.
    pub answered: usize,
    /// Time from the simultaneous requests to the last response, in milliseconds.
    pub burst_ms: f64,
    /// Peak resident memory of the node, in KiB.
    pub peak_kib: u64,
    /// Time from SIGTERM, sent when the answered connections were idle again, until the last
    /// answered connection was closed, in milliseconds.
    pub stop_ms: f64,
    /// Number of the answered connections that the node closed in order after SIGTERM.
    pub stopped: usize,
}

/// Opens idle connections to one node in batches, up to each of `sizes` in turn; measures the node
/// at each size, and at the end sends a request on all connections at once. Small batches model
/// clients that connect over an evening; in a single batch all clients hold their buffers at the
/// same time.
pub fn measure(program: Program, sizes: &[usize], batch: usize) -> Result<IdleReport, RunError> {
    // Clients may use all descriptors except the reserve for cache servers, and idle connections
    // are kept.
    let sockets = sizes.iter().max().copied().unwrap_or_default() * 3 + 1024;
    let text = format!(
        "about = \"idle\"\nseconds = 3600\n[fleet]\nnodes = 1\nqueue = 100000\nsockets = {sockets}\nmemory_mb = 1024\n\
         speed = [4, 4]\n[load]\nrate = 1\n[front]\nclients_percent = 100\nidle_s = 3600\n"
    );
    let scenario = Scenario::parse(&text, Path::new("idle"))
        .map_err(|error| io::Error::other(error.to_string()))?;
    let (ready, ready_nodes) = mpsc::channel();
    let options = Options {
        manual_requests: true,
        ready: Some(ready),
        ..Options::new(program, 1)
    };
    let stop = options.stop.clone();
    let run_thread = thread::spawn(move || run_scenario(&scenario, &options));
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
    let completed_run = run_thread.join().map_err(|_| RunError::Thread("run"))?;
    match measured {
        Some(measured) => Ok(measured?),
        // The node did not start; the run returns the cause.
        None => Err(completed_run.err().unwrap_or(RunError::Thread("run"))),
    }
}

async fn measure_node(node: StartedNode, sizes: &[usize], batch: usize) -> io::Result<IdleReport> {
    let address = node.address;
    let pid = node
        .pid
        .ok_or_else(|| io::Error::other("the node does not run as a separate process"))?;
    let mut idle = IdleReport::default();
    // Memory for the first look-ups is not attributed to the idle connections.
    measure_lookups(address).await?;
    sleep(IDLE_TIME).await;
    let empty_kib = process_memory_kib(pid, "VmRSS:")?;
    let mut held = Vec::new();
    for &size in sizes {
        open_in_batches(address, &mut held, &mut idle.closed, size, batch).await?;
        sleep(IDLE_TIME).await;
        let sample = measure_sample(address, pid, held.len(), empty_kib).await?;
        idle.samples.push(sample);
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

/// Opens connections in batches until `size` connections have been opened; `closed` counts the
/// connections that the node closed with their first response.
async fn open_in_batches(
    address: SocketAddr,
    held: &mut Vec<Conn>,
    closed: &mut usize,
    size: usize,
    batch: usize,
) -> io::Result<()> {
    while held.len() + *closed < size {
        let count = batch.min(size - held.len() - *closed);
        let kept_open = connect(address, held.len(), count).await?;
        *closed += count - kept_open.len();
        held.extend(kept_open);
        sleep(BATCH_INTERVAL).await;
    }
    Ok(())
}

/// Measures the growth of the node's memory since `empty_kib`, before any idle connection, and the
/// latency of look-ups on other connections.
async fn measure_sample(
    address: SocketAddr,
    pid: i32,
    held: usize,
    empty_kib: u64,
) -> io::Result<IdleSample> {
    let resident_kib = process_memory_kib(pid, "VmRSS:")?;
    let grown_bytes = resident_kib.saturating_sub(empty_kib) << 10;
    let (p50_ms, p99_ms) = measure_lookups(address).await?;
    Ok(IdleSample {
        held,
        resident_kib,
        bytes_each: grown_bytes as f64 / held.max(1) as f64,
        p50_ms,
        p99_ms,
    })
}

/// Sends a request on every connection at once; returns the answered connections and the time to
/// the last response in milliseconds.
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

/// Waits until the connections end; returns the number that the node closed in order, without
/// sending bytes.
async fn count_closed(held: Vec<Conn>) -> io::Result<usize> {
    let mut closing = JoinSet::new();
    for mut conn in held {
        closing.spawn_local(async move {
            let ended = timeout(RESPONSE_TIMEOUT, conn.response()).await;
            matches!(ended, Ok(Err(ReadError::Ended { partial: false })))
        });
    }
    let mut closed = 0;
    while let Some(ended) = closing.join_next().await {
        closed += usize::from(ended.map_err(io::Error::other)?);
    }
    Ok(closed)
}

/// Opens connections with one request each; returns the connections that the node kept open.
async fn connect(address: SocketAddr, first: usize, count: usize) -> io::Result<Vec<Conn>> {
    let permits = Arc::new(Semaphore::new(CONCURRENT_CONNECTS));
    let mut connecting = JoinSet::new();
    for index in first..first + count {
        let permit = permits
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        connecting.spawn_local(async move {
            let mut conn = Conn::new(TcpStream::connect(address).await?)?;
            let kept = send_lookup(&mut conn, index).await?;
            drop(permit);
            Ok::<_, io::Error>(kept.then_some(conn))
        });
    }
    let mut kept_open = Vec::new();
    while let Some(connected) = connecting.join_next().await {
        kept_open.extend(connected.map_err(io::Error::other)??);
    }
    Ok(kept_open)
}

/// Measures the latency of look-ups; returns the 50th and 99th percentile in milliseconds.
async fn measure_lookups(address: SocketAddr) -> io::Result<(f32, f32)> {
    let mut running = JoinSet::new();
    for connection in 0..LOOKUP_CONNECTIONS {
        running.spawn_local(async move {
            let mut conn = Conn::new(TcpStream::connect(address).await?)?;
            let mut latencies: Vec<f32> = Vec::new();
            for round in 0..LOOKUPS / LOOKUP_CONNECTIONS {
                let started = Instant::now();
                if !send_lookup(
                    &mut conn,
                    10_000_000 + round * LOOKUP_CONNECTIONS + connection,
                )
                .await?
                {
                    conn = Conn::new(TcpStream::connect(address).await?)?;
                }
                latencies.push(started.elapsed().as_secs_f32() * 1e3);
            }
            Ok::<_, io::Error>(latencies)
        });
    }
    let mut all = Vec::new();
    while let Some(latencies) = running.join_next().await {
        all.extend(latencies.map_err(io::Error::other)??);
    }
    Ok(percentiles(all))
}

/// Sends one request and waits for a response of any status; returns whether the connection stays
/// open.
async fn send_lookup(conn: &mut Conn, number: usize) -> io::Result<bool> {
    let request = format!(
        "GET /api/{:x} HTTP/1.1\r\nHost: lab\r\nReq-Id: by-hand-{number}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: 600\r\n\r\n",
        number % 64
    );
    conn.write(request.as_bytes()).await?;
    let response = timeout(RESPONSE_TIMEOUT, conn.response())
        .await?
        .map_err(io::Error::other)?;
    Ok(!response.close)
}

/// Reads a memory figure of a process in KiB (proc(5): `VmRSS:` current, `VmHWM:` peak).
fn process_memory_kib(pid: i32, name: &str) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other(format!("/proc/{pid}/status has no {name}")))
}
