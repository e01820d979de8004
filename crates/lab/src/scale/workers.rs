//! The run's side of its workers: processes of this program that run the simulated nodes.

use crate::scale::protocol::{Message, Order};
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A worker whose standard input has ended ends within this, or is ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// What makes a process a worker.
#[derive(Clone, Debug)]
pub struct WorkerProgram {
    /// The binary.
    pub path: PathBuf,
    /// With these arguments.
    pub arguments: Vec<String>,
}

/// Why a worker is not there.
#[derive(Debug, Error)]
pub enum WorkersError {
    /// It cannot be started.
    #[error("cannot start a worker: {0}")]
    Start(io::Error),
    /// An order cannot be sent to it.
    #[error("worker {0} takes no orders: {1}")]
    Order(usize, io::Error),
}

/// Something that happened to a worker.
#[derive(Debug)]
pub enum WorkerEvent {
    /// It says something.
    Message(Message),
    /// No more is heard from it.
    Ended(WorkerEnd),
}

/// Why no more is heard from a worker.
#[derive(Debug, Error)]
pub enum WorkerEnd {
    /// It wrote a line that is no message.
    #[error("it said what cannot be read: {0}")]
    Unreadable(serde_json::Error),
    /// Its process closed its standard output.
    #[error("its process has ended")]
    Exited,
    /// Its standard output cannot be read.
    #[error("{0}")]
    Output(io::Error),
    /// It reported an error of its own.
    #[error("{0}")]
    Reported(String),
}

/// A worker's process.
pub struct Worker {
    place: usize,
    child: Child,
    orders: Option<ChildStdin>,
}

impl Worker {
    /// Starts one; its events go to `events`, with its place.
    pub fn start(
        place: usize,
        program: &WorkerProgram,
        events: UnboundedSender<(usize, WorkerEvent)>,
    ) -> Result<Self, WorkersError> {
        let mut child = Command::new(&program.path)
            .args(&program.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            // Ctrl-C is for the run, which ends its workers itself.
            .process_group(0)
            .spawn()
            .map_err(WorkersError::Start)?;
        let orders = child.stdin.take();
        if let Some(output) = child.stdout.take() {
            spawn_local(listen(place, output, events));
        }
        Ok(Self {
            place,
            child,
            orders,
        })
    }

    /// Its process, while it runs.
    pub fn pid(&self) -> Option<i32> {
        self.child.id().and_then(|id| i32::try_from(id).ok())
    }

    /// Sends it an order.
    pub async fn order(&mut self, order: &Order) -> Result<(), WorkersError> {
        let place = self.place;
        let mut line =
            serde_json::to_vec(order).map_err(|error| WorkersError::Order(place, error.into()))?;
        line.push(b'\n');
        let ended = || io::Error::from(io::ErrorKind::BrokenPipe);
        let written = match &mut self.orders {
            Some(orders) => orders.write_all(&line).await,
            None => Err(ended()),
        };
        written.map_err(|error| WorkersError::Order(place, error))
    }

    /// Ends it.
    pub async fn end(mut self) {
        self.orders = None;
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            // It may have ended this moment.
            let _ = self.child.kill().await;
        }
    }
}

async fn listen(place: usize, output: ChildStdout, events: UnboundedSender<(usize, WorkerEvent)>) {
    let mut lines = BufReader::new(output).lines();
    loop {
        let event = match lines.next_line().await {
            Ok(Some(line)) => match serde_json::from_str(&line) {
                Ok(message) => WorkerEvent::Message(message),
                Err(error) => WorkerEvent::Ended(WorkerEnd::Unreadable(error)),
            },
            Ok(None) => WorkerEvent::Ended(WorkerEnd::Exited),
            Err(error) => WorkerEvent::Ended(WorkerEnd::Output(error)),
        };
        let over = matches!(event, WorkerEvent::Ended(_));
        if events.send((place, event)).is_err() || over {
            return;
        }
    }
}
