//! What idle connections cost a node: many clients that have asked once and then say nothing, and then all speak.

use crate::http::Conn;
use crate::nodes::Program;
use crate::run::{play, Options, RunError};
use crate::scenario::Scenario;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

/// Asked at once while connections are made.
const AT_ONCE: usize = 64;
/// Connections idle for so long when the node is measured.
const REST: Duration = Duration::from_secs(1);
/// Between two batches: longer than it takes a node to see that the last one is idle.
const PAUSE: Duration = Duration::from_millis(450);
/// For an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Idle {
    /// Connections that were held.
    pub held: usize,
    /// Of those that were asked for, closed by the node with their first answer.
    pub closed: usize,
    /// Resident memory of the node before, in KiB.
    pub before_kib: u64,
    /// And with all of them idle.
    pub after_kib: u64,
    /// Bytes of resident memory for each.
    pub bytes_each: f64,
    /// When all spoke at once: how many were answered.
    pub answered: usize,
    /// And the time to the last answer, in milliseconds.
    pub burst_ms: f64,
}

/// Holds `count` idle connections at one node, made in batches, measures it, and lets all speak at once. Clients that
/// come over an evening are in small batches; all in one have their buffers at the same time.
pub fn measure(program: Program, count: usize, batch: usize) -> Result<Idle, RunError> {
    // The clients' third of the descriptors, less what is kept free, holds them all.
    let sockets = count * 4 + 1024;
    let text = format!(
        "about = \"idle\"\nseconds = 3600\n[fleet]\nnodes = 1\nqueue = 100000\nsockets = {sockets}\n[load]\nrate = 1\n"
    );
    let scenario =
        Scenario::parse(&text, Path::new("idle")).map_err(|error| io::Error::other(error.to_string()))?;
    let (ready, told) = mpsc::channel();
    let options = Options { by_hand: true, ready: Some(ready), ..Options::new(program, 1) };
    let stop = options.stop.clone();
    let playing = thread::spawn(move || play(&scenario, &options));
    let measured = told.recv().ok().and_then(|nodes| nodes.first().copied()).map(|(address, pid)| {
        let one = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&one, hold(address, pid, count, batch.max(1)))
    });
    stop.store(true, Ordering::Relaxed);
    let played = playing.join().map_err(|_| RunError::Thread("run"))?;
    match measured {
        Some(measured) => Ok(measured?),
        // Its nodes did not start, and it says why.
        None => Err(played.err().unwrap_or(RunError::Thread("run"))),
    }
}

async fn hold(address: SocketAddr, pid: Option<i32>, count: usize, batch: usize) -> io::Result<Idle> {
    let before_kib = resident(pid)?;
    let places = Arc::new(Semaphore::new(AT_ONCE));
    let mut making = JoinSet::new();
    for i in 0..count {
        if i > 0 && i % batch == 0 {
            sleep(PAUSE).await;
        }
        let place = places.clone().acquire_owned().await.map_err(io::Error::other)?;
        making.spawn_local(async move {
            let mut conn = Conn::new(TcpStream::connect(address).await?)?;
            let kept = ask(&mut conn, i).await?;
            drop(place);
            Ok::<_, io::Error>(kept.then_some(conn))
        });
    }
    let (mut held, mut closed) = (Vec::new(), 0);
    while let Some(made) = making.join_next().await {
        match made.map_err(io::Error::other)? {
            Ok(Some(conn)) => held.push(conn),
            Ok(None) => closed += 1,
            Err(error) => return Err(error),
        }
    }
    sleep(REST).await;
    let after_kib = resident(pid)?;
    let kept = held.len();
    let begun = Instant::now();
    let mut speaking = JoinSet::new();
    let last = Rc::new(std::cell::Cell::new(0.0f64));
    for (i, mut conn) in held.into_iter().enumerate() {
        let last = last.clone();
        speaking.spawn_local(async move {
            let answered = ask(&mut conn, count + i).await.is_ok();
            last.set(last.get().max(begun.elapsed().as_secs_f64() * 1e3));
            answered
        });
    }
    let mut answered = 0;
    while let Some(spoken) = speaking.join_next().await {
        answered += usize::from(spoken.map_err(io::Error::other)?);
    }
    let bytes_each = (after_kib.saturating_sub(before_kib) << 10) as f64 / kept.max(1) as f64;
    Ok(Idle { held: kept, closed, before_kib, after_kib, bytes_each, answered, burst_ms: last.get() })
}

/// One request, to its answer: whatever it says, it is one. Whether the connection stays.
async fn ask(conn: &mut Conn, number: usize) -> io::Result<bool> {
    let text = format!(
        "GET /api/{:x} HTTP/1.1\r\nHost: lab\r\nReq-Id: by-hand-{number}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: 600\r\n\r\n",
        number % 64
    );
    conn.write(text.as_bytes()).await?;
    let answer = timeout(PATIENCE, conn.answer()).await?.map_err(io::Error::other)?;
    Ok(!answer.close)
}

/// Resident memory of a process, in KiB (proc(5), `VmRSS`).
fn resident(pid: Option<i32>) -> io::Result<u64> {
    let pid = pid.ok_or_else(|| io::Error::other("the node is no process of its own"))?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other(format!("/proc/{pid}/status has no VmRSS")))
}
