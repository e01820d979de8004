//! One attempt: a connection checked out, one request on it, and what becomes of both.

use super::exchange::{exchange, AttemptResult, Exchange, ForwardedRequest};
use super::pool::{EndpointPool, PooledConnection};
use super::write_progress::{SendPermit, WriteProgress};
use super::{is_local_resource_error, Upstream};
use slatelink_policy::{EndpointId, Status};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Until when an attempt is worth starting, and worth waiting for.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// The first byte of the request is written by then, or none is; no later than `deadline`.
    pub start_deadline: Instant,
    /// The response is waited for until then.
    pub deadline: Instant,
    /// Set once the request has its final response, or its client has disconnected: nothing more starts for it.
    pub canceled: Rc<Cell<bool>>,
}

/// Why an attempt has no response on the connection that it tried.
enum AttemptError {
    /// Nothing was written, and another connection may serve.
    StaleConnection,
    /// The attempt has ended.
    Ended(Status),
}

impl Upstream {
    /// Makes one attempt, until its response is complete, its connection breaks or its time is up.
    pub async fn attempt(
        &self,
        endpoint: &EndpointId,
        request: &ForwardedRequest,
        limits: AttemptLimits,
    ) -> AttemptResult {
        let pool = self.pools.borrow().get(endpoint).cloned();
        let Some(pool) = pool else {
            return AttemptResult::without_response(Status::ConnectError);
        };
        loop {
            match self.attempt_once(&pool, request, &limits).await {
                Ok(result) => return result,
                Err(AttemptError::Ended(status)) => return AttemptResult::without_response(status),
                Err(AttemptError::StaleConnection) => {}
            }
        }
    }

    /// Makes the attempt on one connection.
    async fn attempt_once(
        &self,
        pool: &Rc<EndpointPool>,
        request: &ForwardedRequest,
        limits: &AttemptLimits,
    ) -> Result<AttemptResult, AttemptError> {
        let mut connection = self.checkout_within(pool, limits).await?;
        let http_request = request
            .to_http(pool.address.get(), limits.deadline)
            .map_err(|_| AttemptError::Ended(Status::ConnectError))?;
        connection.progress.reset(SendPermit {
            pool: pool.clone(),
            incarnation: connection.incarnation,
            start_deadline: limits.start_deadline,
            canceled: limits.canceled.clone(),
        });
        let idle_time = connection.idle_since.elapsed();
        let exchanging = exchange(&mut connection.sender, http_request);
        let exchanged = timeout_at(limits.deadline, exchanging).await;
        let broken = matches!(exchanged, Ok(Err(_)));
        self.record_idle_time(&connection.progress, idle_time, broken);
        match exchanged {
            Ok(Ok(Exchange { result, reusable })) => {
                if reusable {
                    release(pool, connection);
                }
                Ok(result)
            }
            Ok(Err(_)) => Err(broken_attempt(&connection.progress)),
            Err(_) => Err(timed_out_attempt(&connection.progress)),
        }
    }

    /// A connection on which the attempt may start now.
    async fn checkout_within(
        &self,
        pool: &EndpointPool,
        limits: &AttemptLimits,
    ) -> Result<PooledConnection, AttemptError> {
        // A request may be over before its attempt has its first turn.
        if limits.canceled.get() {
            return Err(AttemptError::Ended(Status::NotSent));
        }
        if !pool.accepts_requests.get() {
            return Err(AttemptError::Ended(Status::ConnectError));
        }
        let connection = match timeout_at(limits.start_deadline, self.checkout(pool)).await {
            Ok(Ok(connection)) => connection,
            // A lack of the node's own resources says nothing of the endpoint.
            Ok(Err(error)) if is_local_resource_error(&error) => {
                return Err(AttemptError::Ended(Status::NotSent));
            }
            Ok(Err(_)) | Err(_) => return Err(AttemptError::Ended(Status::ConnectError)),
        };
        // All of this may have changed while the connection was being made. Nothing new starts after a drain.
        if !pool.accepts_requests.get() {
            return Err(AttemptError::Ended(Status::ConnectError));
        }
        if connection.incarnation != pool.incarnation.get() {
            return Err(AttemptError::StaleConnection);
        }
        // For a client that has disconnected nothing starts, nor does a repeat once endpoints no longer recognise it as one.
        if limits.canceled.get() {
            pool.put_idle(connection);
            return Err(AttemptError::Ended(Status::NotSent));
        }
        if Instant::now() >= limits.start_deadline {
            pool.put_idle(connection);
            return Err(AttemptError::Ended(Status::ConnectError));
        }
        Ok(connection)
    }

    /// Records whether a request was lost on a connection that had been idle for so long.
    fn record_idle_time(&self, progress: &WriteProgress, idle_time: Duration, lost: bool) {
        if !progress.started.get() {
            return;
        }
        // New connections give the baseline loss rate (idle time 0).
        let idle_time = if progress.reused.get() {
            idle_time
        } else {
            Duration::ZERO
        };
        self.idle_history
            .borrow_mut()
            .record(idle_time, lost, Instant::now());
    }
}

/// Returns a connection to its pool after a response, if it may carry another request.
fn release(pool: &EndpointPool, connection: PooledConnection) {
    if pool.accepts_requests_at(connection.incarnation) && !connection.sender.is_closed() {
        pool.put_idle(connection);
    }
}

/// What a connection that broke makes of the attempt on it.
fn broken_attempt(progress: &WriteProgress) -> AttemptError {
    // Not a byte was written: a reused connection was stale, or the request is not permitted any more. Another connection
    // serves, or the checks before the next one end the attempt.
    if !progress.started.get() && (progress.reused.get() || !progress.is_permitted()) {
        AttemptError::StaleConnection
    } else if progress.complete.get() {
        AttemptError::Ended(Status::Reset)
    } else {
        AttemptError::Ended(Status::ConnectError)
    }
}

/// What the end of its time makes of an attempt.
fn timed_out_attempt(progress: &WriteProgress) -> AttemptError {
    if progress.complete.get() {
        AttemptError::Ended(Status::TimedOut)
    } else {
        AttemptError::Ended(Status::ConnectError)
    }
}
