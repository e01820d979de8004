//! One connection of a node to one server: its requests are read, run by the model, and answered as the server's mode
//! has it.

use super::{response_head, CacheServers, ServerMode};
use crate::http::{Asked, Conn, ReadError};
use crate::model::{Admission, CacheResult, Job, JobResult};
use crate::record::{Attempt, AttemptOutcome, TryId, UnknownRequest};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// How the server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// In order, with what was written delivered.
    Close,
    /// With a reset, as a process that dies does.
    Reset,
}

/// What the model made of a job.
enum JobOutcome {
    /// It ended with this result.
    Finished(JobResult),
    /// It was rejected unseen, and the node was answered so.
    Declined,
}

/// Place of an attempt in the record; `None` for a request sent by hand, which is not recorded.
type AttemptIndex = Option<usize>;

struct Connection {
    servers: Rc<CacheServers>,
    server: usize,
    node: usize,
    conn: Conn,
    mode: watch::Receiver<ServerMode>,
}

/// Serves a node's connection to a server until either side ends it.
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

    /// Serves one request, or takes a change of the server's mode in.
    async fn serve_next(&mut self) -> Result<(), ConnectionEnd> {
        let mode = *self.mode.borrow_and_update();
        self.end_if_unreachable(mode).await?;
        let Some(request) = self.read_request().await? else {
            return Ok(());
        };
        let received = Instant::now();
        let Some(text) = request.id else {
            return self.answer_probe(mode, &request.path).await;
        };
        let id = self.servers.planned_try(&text);
        if id.is_none() && !self.servers.is_by_hand(&text) {
            return self.reject_unknown(text, received).await;
        }
        let first_byte = request.first.unwrap_or(received);
        let attempt = id.map(|id| self.record_attempt(id, first_byte, received));
        if *self.mode.borrow() == ServerMode::Hang {
            self.conn.gone().await;
            return Err(ConnectionEnd::Close);
        }
        let job = self.servers.job(id, &request.path);
        let outcome = if id.is_some_and(|id| self.servers.is_duplicate(id)) {
            JobOutcome::Finished(JobResult::Ok(CacheResult::Hit))
        } else {
            self.run(job, attempt).await?
        };
        match outcome {
            JobOutcome::Finished(result) => self.write_answer(&text, job, result).await,
            JobOutcome::Declined => Ok(()),
        }
    }

    /// Ends the connection where the server is down, or once a partition is over: what was open then is reset.
    async fn end_if_unreachable(&mut self, mode: ServerMode) -> Result<(), ConnectionEnd> {
        match mode {
            ServerMode::Partitioned => {
                // The sender lives as long as the servers do.
                let _ = self.mode.changed().await;
                Err(ConnectionEnd::Reset)
            }
            ServerMode::Down => Err(ConnectionEnd::Reset),
            _ => Ok(()),
        }
    }

    /// The next request; `None` where the server's mode changed first.
    async fn read_request(&mut self) -> Result<Option<Asked>, ConnectionEnd> {
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

    /// Answers a request without an id: a probe for the server's load or health, or else 404.
    async fn answer_probe(&mut self, mode: ServerMode, path: &str) -> Result<(), ConnectionEnd> {
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

    /// Records an attempt as run; its place in the record.
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

    /// Submits a job to the model, and waits for its result where the model accepts it.
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
            Admission::Accepted => Ok(JobOutcome::Finished(self.finished(job, attempt).await?)),
        }
    }

    /// Waits for an accepted job's result. A node that ends the connection first cancels the job.
    async fn finished(
        &mut self,
        job: Job,
        attempt: AttemptIndex,
    ) -> Result<JobResult, ConnectionEnd> {
        let (finished, mut result) = oneshot::channel();
        self.servers.waiting.borrow_mut().insert(job.id, finished);
        self.servers.job_added.notify_one();
        loop {
            tokio::select! {
                // The sender is dropped where the server has died.
                result = &mut result => return result.map_err(|_| ConnectionEnd::Reset),
                () = self.conn.gone() => {
                    self.cancel(job, attempt);
                    return Err(ConnectionEnd::Close);
                }
                _ = self.mode.changed() => {
                    let mode = *self.mode.borrow_and_update();
                    let reachable = self.end_if_unreachable(mode).await;
                    if reachable.is_err() {
                        self.servers.waiting.borrow_mut().remove(&job.id);
                    }
                    reachable?;
                }
            }
        }
    }

    /// Cancels a job whose node has given it up.
    fn cancel(&self, job: Job, attempt: AttemptIndex) {
        let dropped = self
            .servers
            .cluster
            .borrow_mut()
            .cancel(self.server, job.id);
        if dropped {
            self.set_outcome(attempt, AttemptOutcome::Dropped);
        }
        self.servers.waiting.borrow_mut().remove(&job.id);
    }

    /// Writes a job's answer, or what the server's mode makes of it.
    async fn write_answer(
        &mut self,
        id: &str,
        job: Job,
        result: JobResult,
    ) -> Result<(), ConnectionEnd> {
        let bytes = self.servers.answer(self.server, id, job, result);
        let mode = *self.mode.borrow();
        match mode {
            ServerMode::Reset => Err(ConnectionEnd::Reset),
            ServerMode::Garbage => {
                // How much of it arrives is the peer's affair.
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

    /// Writes all of it; a connection that cannot be written is reset.
    async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let written = self.conn.write(bytes).await;
        written.map_err(|_| ConnectionEnd::Reset)
    }
}
