//! An attempt: the checkout of a connection, one request on it, and the outcome.

use super::exchange::{exchange, AttemptResult, Exchange, ForwardedRequest};
use super::pool::{EndpointPool, PooledConnection};
use super::write_progress::{SendPermit, WriteProgress};
use super::{is_local_resource_error, Upstream};
use slatelink_policy::{EndpointId, Status};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Deadlines and cancellation of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Latest time for the first byte of the request, after which no byte is written; no later than
    /// `deadline`.
    pub start_deadline: Instant,
    /// Time until which the attempt waits for its response.
    pub deadline: Instant,
    /// Set once the request has its final response, or its client has disconnected. After that no
    /// attempt of the request starts.
    pub canceled: Rc<Cell<bool>>,
}

/// Why an attempt received no response on the connection that it used.
enum AttemptError {
    /// Nothing was written; another connection may be used.
    StaleConnection,
    /// The attempt has ended with this status.
    Ended(Status),
}

impl Upstream {
    /// Makes one attempt, which ends when its response is complete, its connection breaks or its
    /// deadline passes.
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
        let exchange_future = exchange(&mut connection.sender, http_request, &self.response_memory);
        let exchange_result = timeout_at(limits.deadline, exchange_future).await;
        let broken = matches!(exchange_result, Ok(Err(_)));
        self.record_idle_time(&connection.progress, idle_time, broken);
        match exchange_result {
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

    /// Checks out a connection on which the attempt may start now.
    async fn checkout_within(
        &self,
        pool: &EndpointPool,
        limits: &AttemptLimits,
    ) -> Result<PooledConnection, AttemptError> {
        // The request may have finished before this task was first polled.
        if limits.canceled.get() {
            return Err(AttemptError::Ended(Status::NotSent));
        }
        if !pool.accepts_requests.get() {
            return Err(AttemptError::Ended(Status::ConnectError));
        }
        let connection = match timeout_at(limits.start_deadline, self.checkout(pool)).await {
            Ok(Ok(connection)) => connection,
            // A shortage of the node's own resources is no evidence of a fault at the endpoint.
            Ok(Err(error)) if is_local_resource_error(&error) => {
                return Err(AttemptError::Ended(Status::NotSent));
            }
            Ok(Err(_)) | Err(_) => return Err(AttemptError::Ended(Status::ConnectError)),
        };
        // Each of these conditions may have changed while the connection was being made. No attempt
        // starts once the endpoint drains.
        if !pool.accepts_requests.get() {
            return Err(AttemptError::Ended(Status::ConnectError));
        }
        if connection.incarnation != pool.incarnation.get() {
            return Err(AttemptError::StaleConnection);
        }
        // No attempt starts for a client that has disconnected, and no repeat starts once endpoints
        // would no longer recognise it as a repeat.
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

    /// Records whether a request was lost on a connection that had been idle for this time.
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

/// Returns a connection to its pool after a response, if it is reusable.
fn release(pool: &EndpointPool, connection: PooledConnection) {
    if pool.accepts_requests_at(connection.incarnation) && !connection.sender.is_closed() {
        pool.put_idle(connection);
    }
}

/// Returns the outcome of an attempt whose connection broke.
fn broken_attempt(progress: &WriteProgress) -> AttemptError {
    // No byte was written: a reused connection was stale, or the request is no longer permitted.
    // Either another connection is used, or the checks before the next exchange end the attempt.
    if !progress.started.get() && (progress.reused.get() || !progress.is_permitted()) {
        AttemptError::StaleConnection
    } else if progress.complete.get() {
        AttemptError::Ended(Status::Reset)
    } else {
        AttemptError::Ended(Status::ConnectError)
    }
}

/// Returns the outcome of an attempt whose deadline has passed.
fn timed_out_attempt(progress: &WriteProgress) -> AttemptError {
    if progress.complete.get() {
        AttemptError::Ended(Status::TimedOut)
    } else {
        AttemptError::Ended(Status::ConnectError)
    }
}
