//! The run's handles of its worker processes, which run the simulated nodes.

use crate::scale::protocol::{Message, WorkerCommand};
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

/// Time for a worker to exit after its standard input is closed; it is killed afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Command line of a worker process.
#[derive(Clone, Debug)]
pub struct WorkerProgram {
    /// Path of the binary.
    pub path: PathBuf,
    /// Arguments of the binary.
    pub arguments: Vec<String>,
}

/// Error of starting or commanding a worker.
#[derive(Debug, Error)]
pub enum WorkersError {
    /// The process cannot be started.
    #[error("cannot start a worker: {0}")]
    Start(io::Error),
    /// A command cannot be sent to the worker.
    #[error("cannot send a command to worker {0}: {1}")]
    SendCommand(usize, io::Error),
}

/// Event of a worker.
#[derive(Debug)]
pub enum WorkerEvent {
    /// The worker sent a message.
    Message(Message),
    /// The worker has ended and sends no more messages.
    Ended(WorkerEnd),
}

/// Reason for which a worker sends no more messages.
#[derive(Debug, Error)]
pub enum WorkerEnd {
    /// The worker wrote a line that is not a valid message.
    #[error("sent a line that is not a valid message: {0}")]
    InvalidMessage(serde_json::Error),
    /// The worker closed its standard output.
    #[error("the process has ended")]
    Exited,
    /// The worker's standard output cannot be read.
    #[error("{0}")]
    Output(io::Error),
    /// The worker reported an error.
    #[error("{0}")]
    Reported(String),
}

/// Handle of a worker process.
pub struct Worker {
    index: usize,
    child: Child,
    input: Option<ChildStdin>,
}

impl Worker {
    /// Starts a worker process. Its events are sent to `events` together with its index.
    pub fn start(
        index: usize,
        program: &WorkerProgram,
        events: UnboundedSender<(usize, WorkerEvent)>,
    ) -> Result<Self, WorkersError> {
        let mut child = Command::new(&program.path)
            .args(&program.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            // A separate process group keeps Ctrl-C from reaching the worker; the run stops its
            // workers itself.
            .process_group(0)
            .spawn()
            .map_err(WorkersError::Start)?;
        let input = child.stdin.take();
        if let Some(output) = child.stdout.take() {
            spawn_local(forward_events(index, output, events));
        }
        Ok(Self {
            index,
            child,
            input,
        })
    }

    /// Returns the id of the process while it runs.
    pub fn pid(&self) -> Option<i32> {
        self.child.id().and_then(|id| i32::try_from(id).ok())
    }

    /// Sends a command to the worker.
    pub async fn send_command(&mut self, command: &WorkerCommand) -> Result<(), WorkersError> {
        let index = self.index;
        let mut line = serde_json::to_vec(command)
            .map_err(|error| WorkersError::SendCommand(index, error.into()))?;
        line.push(b'\n');
        let broken_pipe = || io::Error::from(io::ErrorKind::BrokenPipe);
        let written = match &mut self.input {
            Some(input) => input.write_all(&line).await,
            None => Err(broken_pipe()),
        };
        written.map_err(|error| WorkersError::SendCommand(index, error))
    }

    /// Stops the worker: closes its standard input, and kills the process after `STOP_TIMEOUT`.
    pub async fn shut_down(mut self) {
        self.input = None;
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            // Killing fails if the process has exited in the meantime.
            let _ = self.child.kill().await;
        }
    }
}

async fn forward_events(
    index: usize,
    output: ChildStdout,
    events: UnboundedSender<(usize, WorkerEvent)>,
) {
    let mut lines = BufReader::new(output).lines();
    loop {
        let event = match lines.next_line().await {
            Ok(Some(line)) => match serde_json::from_str(&line) {
                Ok(message) => WorkerEvent::Message(message),
                Err(error) => WorkerEvent::Ended(WorkerEnd::InvalidMessage(error)),
            },
            Ok(None) => WorkerEvent::Ended(WorkerEnd::Exited),
            Err(error) => WorkerEvent::Ended(WorkerEnd::Output(error)),
        };
        let has_ended = matches!(event, WorkerEvent::Ended(_));
        if events.send((index, event)).is_err() || has_ended {
            return;
        }
    }
}
