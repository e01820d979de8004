//! Watches on the list: opened, verified after failures, renewed, and what stands beside them.

use super::call::{CallOutcome, DiscoveryConnection, DiscoveryError, ListRequest};
use super::in_flight::CallId;
use super::timing::*;
use super::watches::Watches;
use super::Client;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How a call that has nothing to wait for but its turn ended, or what a watch brought meanwhile.
enum Prompt {
    Answered(CallOutcome),
    Watch(CallOutcome),
    Failed(DiscoveryError),
}

/// What became of a call beside the open watches.
enum Beside {
    /// Discovery has said something, or no watch is left: the next watch is to be opened.
    Called(CallOutcome),
    /// The watches stand, verified or renewed.
    Stands,
    /// It failed, and the watches stay as they were.
    Failed(DiscoveryError),
}

impl Client {
    /// Discovery's next word: the whole list where none is held, or what a watch brings.
    pub(super) async fn ask(
        &mut self,
        address: SocketAddr,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        match self.version {
            Some(version) => self.watch(address, version, connection).await,
            None => self.whole_list(address, connection).await,
        }
    }

    async fn whole_list(
        &mut self,
        address: SocketAddr,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        let asked = Instant::now();
        let hedge = self.failed_late.then_some(LATE_FAILURE_HEDGE_DELAY);
        let called = match self
            .prompt(
                address,
                ListRequest::Complete,
                connection,
                hedge,
                &mut Watches::default(),
            )
            .await
        {
            Prompt::Answered(called) | Prompt::Watch(called) => called,
            Prompt::Failed(error) => CallOutcome::failed(error),
        };
        self.failed_late = called.result.is_err() && asked.elapsed() >= LATE_FAILURE_THRESHOLD;
        called
    }

    /// What a watch brings, or one of those that renew it.
    async fn watch(
        &mut self,
        address: SocketAddr,
        version: u64,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        let mut opened = Instant::now();
        let mut unverified = self.unsure;
        let mut next_call = opened + self.first_call_beside();
        let mut watches = Watches::new(self.start(
            address,
            ListRequest::ChangesAfter {
                version,
                wait: WATCH_WAIT,
            },
            connection,
        ));
        loop {
            let over = opened + WATCH_WAIT + WATCH_ANSWER_GRACE;
            if let Ok(called) = timeout_at(next_call.min(over), self.answer_of(&mut watches)).await
            {
                let waited = opened.elapsed();
                self.failed_late = unverified
                    && called.result.is_err()
                    && (LATE_FAILURE_THRESHOLD..POLL_TIMEOUT).contains(&waited);
                return called;
            }
            if over <= next_call {
                watches.supersede(&mut self.in_flight, Duration::ZERO);
                return CallOutcome::failed(DiscoveryError::AnswerTimedOut);
            }
            let asked = Instant::now();
            let beside = match unverified {
                true => self.verify(address, version, &mut watches).await,
                false => self.renew(address, version, &mut watches).await,
            };
            match beside {
                Beside::Called(called) => return called,
                Beside::Stands => {
                    // A watch that was verified is as young as before.
                    opened = if unverified { opened } else { asked };
                    unverified = false;
                    next_call = asked + self.renewal();
                }
                Beside::Failed(error) if asked.elapsed() >= LATE_FAILURE_THRESHOLD => {
                    // No time is left to wait before the next call. Those that are open are read on.
                    self.failed_late = true;
                    let left = over.saturating_duration_since(Instant::now());
                    watches.supersede(&mut self.in_flight, left);
                    return CallOutcome::failed(error);
                }
                Beside::Failed(error) => {
                    self.log.rate_limited(
                        "discovery",
                        &format!("discovery: watch not renewed: {error}"),
                    );
                    self.unsure = true;
                    next_call = Instant::now() + RENEWAL_BACKOFF.draw(&mut self.random);
                }
            }
        }
    }

    /// What the watches bring: the answer of either, or the failure of the newest.
    async fn answer_of(&mut self, watches: &mut Watches) -> CallOutcome {
        loop {
            let (ended, called) = self.answer_to(&watches.open().collect::<Vec<_>>()).await;
            watches.remove(ended);
            if called.result.is_ok() || watches.is_broken() {
                watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                return called;
            }
        }
    }

    /// Makes sure of a watch that was opened after a failed call.
    async fn verify(&mut self, address: SocketAddr, version: u64, watches: &mut Watches) -> Beside {
        let request = ListRequest::ChangesAfter {
            version,
            wait: CATCH_UP_WAIT,
        };
        match self
            .prompt(
                address,
                request,
                None,
                Some(VERIFICATION_HEDGE_DELAY),
                watches,
            )
            .await
        {
            Prompt::Answered(CallOutcome {
                result: Ok(list), ..
            }) if list.version == version && !watches.is_broken() => {
                self.unsure = false;
                self.failed_late = false;
                self.answered = Some(Instant::now());
                Beside::Stands
            }
            prompt => self.end_of_call_beside(prompt, watches),
        }
    }

    /// Makes a call that stands in the newest watch's place, or shows what that has missed.
    async fn renew(&mut self, address: SocketAddr, version: u64, watches: &mut Watches) -> Beside {
        let confirm = self.confirm_at.is_some_and(|at| Instant::now() >= at);
        if !confirm && !self.unsure {
            return self.renew_by_watch(address, version, watches).await;
        }
        let request = if confirm {
            ListRequest::Complete
        } else {
            ListRequest::ChangesAfter {
                version,
                wait: CATCH_UP_WAIT,
            }
        };
        let prompt = self.prompt(address, request, None, None, watches).await;
        if confirm && matches!(prompt, Prompt::Answered(_)) {
            self.confirm_at = None;
        }
        self.end_of_call_beside(prompt, watches)
    }

    /// What follows from a call beside the watches: an answer takes their place, and without a watch a failure is theirs.
    fn end_of_call_beside(&mut self, prompt: Prompt, watches: &mut Watches) -> Beside {
        match prompt {
            Prompt::Answered(called) => {
                watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                Beside::Called(called)
            }
            Prompt::Watch(called) => Beside::Called(called),
            Prompt::Failed(error) if watches.is_broken() => {
                Beside::Called(CallOutcome::failed(error))
            }
            Prompt::Failed(error) => Beside::Failed(error),
        }
    }

    async fn renew_by_watch(
        &mut self,
        address: SocketAddr,
        version: u64,
        watches: &mut Watches,
    ) -> Beside {
        let fresh = self.start(
            address,
            ListRequest::ChangesAfter {
                version,
                wait: WATCH_WAIT,
            },
            None,
        );
        let until = Instant::now() + RENEWAL_OVERLAP;
        loop {
            let calls: Vec<_> = watches.open().chain([fresh]).collect();
            let Ok((ended, called)) = timeout_at(until, self.answer_to(&calls)).await else {
                watches.renew(fresh, &mut self.in_flight);
                return Beside::Stands;
            };
            let CallOutcome { result, connection } = called;
            match result {
                Ok(list) => {
                    if ended == fresh && list.version > version {
                        let news = list.version;
                        let text = format!(
                            "discovery: list {news} came by a new watch, not by the old one"
                        );
                        self.log.rate_limited("discovery", &text);
                    }
                    watches.remove(ended);
                    watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                    if ended != fresh {
                        self.in_flight.supersede(fresh, SUPERSEDED_READ_TIME);
                    }
                    return Beside::Called(CallOutcome {
                        result: Ok(list),
                        connection,
                    });
                }
                // Those that are open are as good as they were.
                Err(error) if ended == fresh && !watches.is_broken() => {
                    return Beside::Failed(error)
                }
                Err(error) if ended == fresh => {
                    return Beside::Called(CallOutcome {
                        result: Err(error),
                        connection,
                    })
                }
                // What is left of a watch that broke just now is the new one.
                Err(_) => watches.remove(ended),
            }
        }
    }

    /// A call that has nothing to wait for but its turn, beside these watches. Where it has no answer after `hedge`, a second
    /// one is made.
    async fn prompt(
        &mut self,
        address: SocketAddr,
        request: ListRequest,
        connection: Option<DiscoveryConnection>,
        hedge: Option<Duration>,
        watches: &mut Watches,
    ) -> Prompt {
        let mut calls = vec![self.start(address, request, connection)];
        let mut until = Instant::now() + hedge.unwrap_or(POLL_TIMEOUT);
        let mut hedged = hedge.is_none();
        loop {
            let all: Vec<_> = watches.open().chain(calls.iter().copied()).collect();
            let Ok((ended, called)) = timeout_at(until, self.answer_to(&all)).await else {
                if std::mem::replace(&mut hedged, true) {
                    self.supersede(&calls, LATE_ANSWER_READ_TIME);
                    return Prompt::Failed(DiscoveryError::AnswerTimedOut);
                }
                calls.push(self.start(address, request, None));
                until = Instant::now() + POLL_TIMEOUT;
                continue;
            };
            let by_watch = watches.contains(ended);
            watches.remove(ended);
            calls.retain(|call| *call != ended);
            let CallOutcome { result, connection } = called;
            match result {
                Ok(list) => {
                    self.supersede(&calls, SUPERSEDED_READ_TIME);
                    if by_watch {
                        watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                        return Prompt::Watch(CallOutcome {
                            result: Ok(list),
                            connection,
                        });
                    }
                    return Prompt::Answered(CallOutcome {
                        result: Ok(list),
                        connection,
                    });
                }
                Err(error) if calls.is_empty() => return Prompt::Failed(error),
                Err(_) => {}
            }
        }
    }

    fn supersede(&mut self, calls: &[CallId], read_for: Duration) {
        calls
            .iter()
            .for_each(|call| self.in_flight.supersede(*call, read_for));
    }

    /// How long after a watch was opened another call is made beside it.
    fn first_call_beside(&mut self) -> Duration {
        match self.unsure {
            true if self.failed_late => LATE_FAILURE_HEDGE_DELAY,
            true => WATCH_VERIFICATION_DELAY.draw(&mut self.random),
            false => self.renewal(),
        }
    }

    /// How long after it was opened a watch is renewed.
    fn renewal(&mut self) -> Duration {
        if self.answered.is_some() || self.pushed {
            return WATCH_RENEWAL_INTERVAL.draw(&mut self.random);
        }
        let Range { start, end } = FIRST_RENEWAL_FRACTION;
        let part = start + (end - start) * self.random.f64();
        self.max_poll_interval
            .mul_f64(part)
            .min(WATCH_RENEWAL_INTERVAL.mean)
    }
}
