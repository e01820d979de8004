//! Drives the module: the only owner of the `Balancer` and of what is open. Events come in by channel and the
//! module's actions are carried out in order; nothing is picked, repeated or refused here.

use crate::decisions::Decisions;
use crate::upstream::{AttemptLimits, AttemptResult, ForwardedRequest, Upstream};
use bytes::Bytes;
use hyper::StatusCode;
use slatelink_config::EndpointList;
use slatelink_policy::{
    Action, Availability, Balancer, ClassId, Endpoint, EndpointId, EndpointUpdate, Event, Outcome,
    Request, RequestId,
};
use slatelink_telemetry::{Observer, RequestOutcome};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// Taken off a client's time: it counts from when the client sent, and the answer has its way back to go.
const MARGIN: Duration = Duration::from_millis(5);
/// Where lists are pushed a new process waits for its first one, but no longer than this for an agent that is silent.
const AGENT: Duration = Duration::from_secs(2);
/// How long past a request's time, less the margin, the module has for its own answer.
const GUARD: Duration = Duration::from_millis(4);

/// A client's request, read whole.
#[derive(Debug)]
pub struct ClientRequest {
    /// A number that is never used twice: a client's own id might come again.
    pub ticket: u64,
    pub at: Instant,
    /// How long the client waits.
    pub patience: Duration,
    pub class: ClassId,
    pub key: Option<u64>,
    pub expected_work: Option<Duration>,
    pub write: bool,
    pub over_quota: bool,
    pub message: ForwardedRequest,
    pub answer: oneshot::Sender<FinalResponse>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of the cache server's answer.
    Served(Bytes),
    /// Not done and safe to ask again.
    Shed { retry_after: Duration },
    /// Not done, or not known.
    Failed,
}

impl FinalResponse {
    /// What its client reads.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Served(_) => StatusCode::OK,
            Self::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
        }
    }
}

/// What the node's other parts tell the driver.
#[derive(Debug)]
pub enum DriverEvent {
    RequestReceived(Box<ClientRequest>),
    /// The client of this ticket has gone.
    ClientDisconnected(u64),
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        ended: AttemptResult,
    },
    EndpointListReceived(EndpointList),
    DiscoveryFailed,
}

struct OpenRequest {
    message: Rc<ForwardedRequest>,
    /// `None` once the final answer is given, or its client has gone.
    answer: Option<oneshot::Sender<FinalResponse>>,
    /// Tells its attempts of that: those which have not begun then never do.
    over: Rc<Cell<bool>>,
    class: ClassId,
    at: Instant,
    until: Instant,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Who was tried last.
    fn last(&self) -> Option<&EndpointId> {
        self.attempts.last().map(|sent| &sent.server)
    }

    /// Nothing more is begun for it. Who waits for its answer, if nobody has had one.
    fn close(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.over.set(true);
        self.answer.take()
    }
}

struct Attempt {
    server: EndpointId,
    at: Instant,
    /// Its end is not known yet.
    out: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake,
    Guard(RequestId),
}

/// See the module's page.
pub struct Driver {
    decisions: Decisions,
    upstream: Rc<Upstream>,
    follow: Rc<Notify>,
    ready: Rc<Cell<bool>>,
    /// Until when clients are kept waiting for the first list; `None` once they are not.
    awaits: Option<Instant>,
    some_ready: bool,
    events: UnboundedSender<DriverEvent>,
    observer: Rc<dyn Observer>,
    open: HashMap<RequestId, OpenRequest>,
    timers: BTreeSet<(Instant, Timer)>,
}

impl Driver {
    /// `events` is where attempts report to: the sending end of what `run` reads.
    pub fn new(
        balancer: Balancer,
        upstream: Rc<Upstream>,
        follow: Rc<Notify>,
        ready: Rc<Cell<bool>>,
        pushed: bool,
        events: UnboundedSender<DriverEvent>,
        observer: Rc<dyn Observer>,
    ) -> Self {
        Self {
            decisions: Decisions::new(balancer),
            upstream,
            follow,
            ready,
            awaits: pushed.then(|| Instant::now() + AGENT),
            some_ready: false,
            events,
            observer,
            open: HashMap::new(),
            timers: BTreeSet::new(),
        }
    }

    /// Runs for as long as the node does. What discovery says comes by a channel of its own and goes before all else: in
    /// one queue it would wait until the whole of a burst of requests has been decided by the old list.
    pub async fn run(
        mut self,
        known: EndpointList,
        mut lists: UnboundedReceiver<DriverEvent>,
        mut inputs: UnboundedReceiver<DriverEvent>,
    ) {
        let entries = self.learn(&EndpointList {
            complete: true,
            ..known
        });
        self.decisions.push(Event::LastKnownEndpoints(entries));
        self.handle_due();
        loop {
            let next = self.timers.first().map(|(at, _)| *at);
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                list = lists.recv() => match list {
                    Some(list) => self.take(list),
                    None => return,
                },
                () = timer => self.ring(),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            self.handle_due();
        }
    }

    fn take(&mut self, input: DriverEvent) {
        match input {
            DriverEvent::RequestReceived(taken) => self.request(*taken),
            DriverEvent::ClientDisconnected(ticket) => {
                let id = request_id(ticket);
                if let Some(open) = self.open.get_mut(&id).filter(|open| open.answer.is_some()) {
                    drop(open.close());
                    self.observer.request_completed(
                        open.class,
                        open.last(),
                        open.at.elapsed(),
                        RequestOutcome::ClientDisconnected,
                    );
                    self.decisions.push(Event::RequestCanceled(id.clone()));
                    self.tidy(&id);
                }
            }
            DriverEvent::AttemptEnded { id, attempt, ended } => self.ended(id, attempt, ended),
            DriverEvent::EndpointListReceived(list) => {
                self.awaits = None;
                let entries = self.learn(&list);
                self.decisions.push_list(entries, list.complete);
            }
            DriverEvent::DiscoveryFailed => {
                self.awaits = self.awaits.filter(|until| Instant::now() < *until);
                self.be_ready();
                self.decisions
                    .push(Event::Endpoints(EndpointUpdate::Unavailable));
            }
        }
    }

    /// Hands a list to the connections and gives its entries back as the module's. It goes to both in one
    /// step, so that no attempt of the module's can overtake it.
    fn learn(&mut self, list: &EndpointList) -> Arc<[Endpoint]> {
        self.observer.endpoints_updated(list);
        let entries: Arc<[Endpoint]> = list.hosts.iter().map(|host| host.entry()).collect();
        if list.complete {
            self.upstream
                .retain(|id| entries.iter().any(|entry| entry.id == *id));
        }
        for (host, entry) in list.hosts.iter().zip(entries.iter()) {
            match entry.availability {
                Availability::Removed => self.upstream.forget(&entry.id),
                _ => self.upstream.learn(entry, host.dial()),
            }
        }
        self.some_ready |= entries
            .iter()
            .any(|entry| entry.availability == Availability::Ready);
        self.be_ready();
        entries
    }

    /// Lets clients come, for good, once there is a server to send to and no first list to wait for.
    fn be_ready(&self) {
        if self.some_ready && self.awaits.is_none() {
            self.ready.set(true);
        }
    }

    fn request(&mut self, taken: ClientRequest) {
        let id = request_id(taken.ticket);
        let until = taken.at + taken.patience.saturating_sub(MARGIN);
        self.observer
            .request_received(taken.class, taken.message.target.path());
        let open = OpenRequest {
            message: Rc::new(taken.message),
            answer: Some(taken.answer),
            over: Rc::default(),
            class: taken.class,
            at: taken.at,
            until,
            attempts: Vec::new(),
        };
        self.open.insert(id.clone(), open);
        self.timers
            .insert((until + GUARD, Timer::Guard(id.clone())));
        self.decisions.push(Event::Request(Request {
            id,
            class: Some(taken.class),
            key: taken.key,
            deadline: self.decisions.at(until),
            expected_work: taken.expected_work,
            write: taken.write,
            over_quota: taken.over_quota,
        }));
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ended: AttemptResult) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(sent) = open.attempts.get_mut(attempt as usize) else {
            return;
        };
        sent.out = false;
        let (server, took) = (sent.server.clone(), sent.at.elapsed());
        self.observer
            .attempt_ended(open.class, &server, ended.status);
        if let Some(body) = ended.body {
            reply(
                &*self.observer,
                open,
                Some(&server),
                FinalResponse::Served(body),
            );
        }
        let answered = open.answer.is_none();
        let AttemptResult {
            status,
            cache_result,
            load,
            ..
        } = ended;
        self.tidy(&id);
        self.decisions.push(Event::AttemptEnded(Outcome {
            id,
            attempt,
            endpoint: server,
            status,
            cache_result,
            latency: took,
            answered,
            load,
        }));
    }

    /// Drops a request that has its answer and no attempt out.
    fn tidy(&mut self, id: &RequestId) {
        let over = |open: &OpenRequest| {
            open.answer.is_none() && open.attempts.iter().all(|sent| !sent.out)
        };
        if let Some(open) = self.open.get(id).filter(|open| over(open)) {
            // Left to fire, the timers of what is long done would outnumber what is open.
            self.timers
                .remove(&(open.until + GUARD, Timer::Guard(id.clone())));
            self.open.remove(id);
        }
    }

    fn ring(&mut self) {
        let now = Instant::now();
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            match self.timers.pop_first() {
                Some((_, Timer::Wake)) => self.decisions.push(Event::Timer),
                Some((_, Timer::Guard(id))) => self.guard(id),
                None => {}
            }
        }
    }

    /// A request that the module has left open until its time is all but over would be lost: it fails here,
    /// and the module learns that nothing is owed any more. What its attempts come to is still reported.
    fn guard(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.answer.is_some()) else {
            return;
        };
        let last = open.last().cloned();
        reply(&*self.observer, open, last.as_ref(), FinalResponse::Failed);
        self.tidy(&id);
        self.decisions.push(Event::RequestCanceled(id));
    }

    fn handle_due(&mut self) {
        let mut actions = Vec::new();
        while self.decisions.handle_next(&mut actions) {
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint: server,
                timeout,
                begin_within,
            } => {
                self.send(id, server, timeout, begin_within);
            }
            Action::Shed { id, retry_after } => {
                self.finish(&id, FinalResponse::Shed { retry_after })
            }
            Action::Fail { id } => self.finish(&id, FinalResponse::Failed),
            Action::Wake { after } => {
                self.timers.insert((Instant::now() + after, Timer::Wake));
            }
            Action::CloseIdleConnections { endpoint } => self.upstream.close_idle(&endpoint),
            Action::PollDiscovery => self.follow.notify_one(),
            Action::BreakerOpened(scope) => self.observer.breaker_opened(&scope),
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        server: EndpointId,
        timeout: Duration,
        begin_within: Duration,
    ) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let (at, attempt) = (Instant::now(), open.attempts.len() as u32);
        let (until, over) = (open.until.min(at + timeout), open.over.clone());
        let bounds = AttemptLimits {
            begin_by: until.min(at + begin_within),
            until,
            over,
        };
        self.observer.attempt_started(&server);
        let (upstream, events) = (self.upstream.clone(), self.events.clone());
        let (message, target) = (open.message.clone(), server.clone());
        tokio::task::spawn_local(async move {
            let ended = upstream.attempt(&target, &message, bounds).await;
            // The driver only goes when the node does.
            let _ = events.send(DriverEvent::AttemptEnded { id, attempt, ended });
        });
        open.attempts.push(Attempt {
            server,
            at,
            out: true,
        });
    }

    fn finish(&mut self, id: &RequestId, answer: FinalResponse) {
        if let Some(open) = self.open.get_mut(id) {
            let last = open.last().cloned();
            reply(&*self.observer, open, last.as_ref(), answer);
            self.tidy(id);
        }
    }
}

fn reply(
    observer: &dyn Observer,
    open: &mut OpenRequest,
    host: Option<&EndpointId>,
    answer: FinalResponse,
) {
    if let Some(sender) = open.close() {
        let end = match &answer {
            FinalResponse::Served(_) => RequestOutcome::Served,
            FinalResponse::Shed { .. } => RequestOutcome::Shed,
            FinalResponse::Failed => RequestOutcome::Failed,
        };
        observer.request_completed(open.class, host, open.at.elapsed(), end);
        // A client that has gone meanwhile is owed nothing.
        let _ = sender.send(answer);
    }
}

fn request_id(ticket: u64) -> RequestId {
    RequestId::from(ticket.to_string().as_str())
}
