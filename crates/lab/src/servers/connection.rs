//! One connection of a node to one server: reads requests, runs them in the model, and responds as
//! the mode of the server requires.

use super::{response_head, CacheServers, ServerMode};
use crate::http::{Conn, ReadError, ReceivedRequest};
use crate::model::{Admission, CacheResult, Job, JobResult};
use crate::record::{Attempt, AttemptOutcome, TryId, UnknownRequest};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// Way in which the server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// Closed in order, with all written bytes delivered.
    Close,
    /// Reset, as when a process is killed.
    Reset,
}

/// Outcome of a job in the model.
enum JobOutcome {
    /// The job ended with this result.
    Finished(JobResult),
    /// The job was declined without being run, and the rejection was sent to the node.
    Declined,
}

/// Index of an attempt in the record; `None` for a manual request, which is not recorded.
type AttemptIndex = Option<usize>;

struct Connection {
    servers: Rc<CacheServers>,
    server: usize,
    node: usize,
    conn: Conn,
    mode: watch::Receiver<ServerMode>,
}

/// Serves a node's connection to a server until either peer ends it.
pub(super) async fn serve(servers: Rc<CacheServers>, server: usize, node: usize, conn: Conn) {
    let open = &servers.open_connections[server];
    open.set(open.get() + 1);
    let mut connection = Connection {
        mode: servers.modes[server].subscribe(),
        servers: servers.clone(),
        server,
        node,
        conn,
    };
    if connection.serve_until_end().await == ConnectionEnd::Reset {
        connection.conn.reset();
    }
    open.set(open.get() - 1);
}

impl Connection {
    async fn serve_until_end(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.serve_next().await {
                return end;
            }
        }
    }

    /// Serves one request, or handles a change of the server's mode.
    async fn serve_next(&mut self) -> Result<(), ConnectionEnd> {
        let mode = *self.mode.borrow_and_update();
        self.end_if_unreachable(mode).await?;
        let Some(request) = self.read_request().await? else {
            return Ok(());
        };
        let received = Instant::now();
        let Some(text) = request.id else {
            return self.respond_to_probe(mode, &request.path).await;
        };
        let id = self.servers.planned_try(&text);
        if id.is_none() && !self.servers.is_manual(&text) {
            return self.reject_unknown(text, received).await;
        }
        let first_byte = request.started_at.unwrap_or(received);
        let attempt = id.map(|id| self.record_attempt(id, first_byte, received));
        if *self.mode.borrow() == ServerMode::Hang {
            self.conn.closed_or_readable().await;
            return Err(ConnectionEnd::Close);
        }
        let job = self.servers.job(id, &request.path);
        let outcome = if id.is_some_and(|id| self.servers.is_duplicate(id)) {
            JobOutcome::Finished(JobResult::Ok(CacheResult::Hit))
        } else {
            self.run(job, attempt).await?
        };
        match outcome {
            JobOutcome::Finished(result) => self.write_response(&text, job, result).await,
            JobOutcome::Declined => Ok(()),
        }
    }

    /// Ends the connection if the server is down, or at the end of a partition, which resets the
    /// open connections.
    async fn end_if_unreachable(&mut self, mode: ServerMode) -> Result<(), ConnectionEnd> {
        match mode {
            ServerMode::Partitioned => {
                // Cannot fail: the servers own the sender, and the connection holds the servers.
                let _ = self.mode.changed().await;
                Err(ConnectionEnd::Reset)
            }
            ServerMode::Down => Err(ConnectionEnd::Reset),
            _ => Ok(()),
        }
    }

    /// Reads the next request; returns `None` if the server's mode changes first.
    async fn read_request(&mut self) -> Result<Option<ReceivedRequest>, ConnectionEnd> {
        let read = tokio::select! {
            read = timeout(self.servers.idle_close, self.conn.request()) => read,
            _ = self.mode.changed() => return Ok(None),
        };
        match read {
            Ok(Ok(request)) => Ok(Some(request)),
            Ok(Err(ReadError::Ended { .. })) | Err(_) => Err(ConnectionEnd::Close),
            Ok(Err(ReadError::Malformed(_) | ReadError::TooLarge)) => Err(ConnectionEnd::Reset),
        }
    }

    /// Answers a request without an id: a probe for the server's load or health, otherwise 404.
    async fn respond_to_probe(
        &mut self,
        mode: ServerMode,
        path: &str,
    ) -> Result<(), ConnectionEnd> {
        let body = match path {
            _ if !self.servers.probes || mode == ServerMode::Hang => None,
            "/load" => Some(self.servers.load_report(self.server)),
            "/healthz" => Some(String::new()),
            _ => None,
        };
        let bytes = body.map_or_else(
            || response_head(404, "", 0),
            |body| [response_head(200, "", body.len()), body.into_bytes()].concat(),
        );
        self.write(&bytes).await
    }

    /// Records and rejects a request with an id that no client sent.
    async fn reject_unknown(&mut self, id: String, received: Instant) -> Result<(), ConnectionEnd> {
        let unknown = UnknownRequest {
            server: self.server,
            id,
            at: self.servers.since_start_us(received),
        };
        let record = &self.servers.record;
        record.borrow_mut().unknown_requests.push(unknown);
        self.write(&response_head(400, "", 0)).await
    }

    /// Records an attempt as run and returns its index in the record.
    fn record_attempt(&self, id: TryId, first_byte: Instant, received: Instant) -> usize {
        let attempts = &mut self.servers.record.borrow_mut().attempts;
        attempts.push(Attempt {
            id,
            node: self.node,
            server: self.server,
            first_byte_at: self.servers.since_start_us(first_byte),
            received_at: self.servers.since_start_us(received),
            outcome: AttemptOutcome::Ran,
        });
        attempts.len() - 1
    }

    fn set_outcome(&self, attempt: AttemptIndex, outcome: AttemptOutcome) {
        if let Some(index) = attempt {
            self.servers.record.borrow_mut().attempts[index].outcome = outcome;
        }
    }

    /// Submits a job to the model and waits for its result if the model accepts it.
    async fn run(&mut self, job: Job, attempt: AttemptIndex) -> Result<JobOutcome, ConnectionEnd> {
        let now = self.servers.now();
        let admission = self
            .servers
            .cluster
            .borrow_mut()
            .submit(now, self.server, job);
        match admission {
            Admission::Declined => {
                self.set_outcome(attempt, AttemptOutcome::Declined);
                let rejection = response_head(503, "Srv-Declined: 1\r\n", 0);
                self.write(&rejection).await?;
                Ok(JobOutcome::Declined)
            }
            Admission::Down => {
                self.servers.modes[self.server].send_replace(ServerMode::Down);
                Err(ConnectionEnd::Reset)
            }
            Admission::Accepted => Ok(JobOutcome::Finished(
                self.wait_for_result(job, attempt).await?,
            )),
        }
    }

    /// Waits for the result of an accepted job. The job is cancelled if the node ends the
    /// connection first.
    async fn wait_for_result(
        &mut self,
        job: Job,
        attempt: AttemptIndex,
    ) -> Result<JobResult, ConnectionEnd> {
        let (result_sender, mut result) = oneshot::channel();
        self.servers
            .result_senders
            .borrow_mut()
            .insert(job.id, result_sender);
        self.servers.job_added.notify_one();
        loop {
            tokio::select! {
                // The sender is dropped if the server has stopped.
                result = &mut result => return result.map_err(|_| ConnectionEnd::Reset),
                () = self.conn.closed_or_readable() => {
                    self.cancel(job, attempt);
                    return Err(ConnectionEnd::Close);
                }
                _ = self.mode.changed() => {
                    let mode = *self.mode.borrow_and_update();
                    let reachable = self.end_if_unreachable(mode).await;
                    if reachable.is_err() {
                        self.servers.result_senders.borrow_mut().remove(&job.id);
                    }
                    reachable?;
                }
            }
        }
    }

    /// Cancels a job whose node has disconnected.
    fn cancel(&self, job: Job, attempt: AttemptIndex) {
        let dropped = self
            .servers
            .cluster
            .borrow_mut()
            .cancel(self.server, job.id);
        if dropped {
            self.set_outcome(attempt, AttemptOutcome::Dropped);
        }
        self.servers.result_senders.borrow_mut().remove(&job.id);
    }

    /// Writes the response to a job, altered as the server's mode requires.
    async fn write_response(
        &mut self,
        id: &str,
        job: Job,
        result: JobResult,
    ) -> Result<(), ConnectionEnd> {
        let bytes = self.servers.response(self.server, id, job, result);
        let mode = *self.mode.borrow();
        match mode {
            ServerMode::Reset => Err(ConnectionEnd::Reset),
            ServerMode::Garbage => {
                // The node may have disconnected already.
                let _ = self.write(b"\x16\x03\x01 not a status line\r\n\r\n").await;
                Err(ConnectionEnd::Close)
            }
            ServerMode::Truncate => {
                let _ = self.write(&bytes[..bytes.len() / 2]).await;
                Err(ConnectionEnd::Close)
            }
            _ => self.write(&bytes).await,
        }
    }

    /// Writes all bytes; a connection that cannot be written is reset.
    async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let written = self.conn.write(bytes).await;
        written.map_err(|_| ConnectionEnd::Reset)
    }
}
