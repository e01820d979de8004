//! The client of discovery: keeps a watch on the list of cache servers, renews it, and tries again after failures.

mod call;
mod departures;
mod in_flight;
mod notified;
mod timing;
mod watches;
mod watching;

use crate::driver::DriverEvent;
use call::{call, CallOutcome, DiscoveryConnection, DiscoveryError, ListRequest};
use departures::{Departures, ANNOUNCEMENT_LIFETIME};
use in_flight::{Answered, Call, CallId, InFlight, Source};
use notified::NOTIFIED_AFTER_ADDRESS_CHANGE;
use slatelink_config::EndpointList;
use slatelink_policy::Availability;
use slatelink_telemetry::Log;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use timing::*;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

/// How the client of discovery begins.
pub struct DiscoveryOptions {
    /// Where it answers. A new address ends what was going on at the old one, but for reading what that still says.
    pub address: watch::Receiver<SocketAddr>,
    /// Version of the list held; `None` where none is.
    pub version: Option<u64>,
    /// Whether changes come unprompted: a watch is open all the time then, and the module says nothing of it.
    pub pushed: bool,
    /// Nothing is sent to a server later than this after its departure was told.
    pub drain_grace: Duration,
    /// A node that has not called for so long counts as told.
    pub max_poll_interval: Duration,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<DriverEvent>,
    pub log: Log,
}

/// Watches whenever it is told to, until a call fails: then the module is told and says when to try again.
/// A new address starts anew at once, from the whole list: versions of the old one mean nothing there, and
/// the node serves from the list it holds until that has come.
pub async fn run(options: DiscoveryOptions, poll_requested: Rc<Notify>) {
    let mut address = options.address.clone();
    let mut client = Client::new(options);
    let mut moved = None;
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = client.watch_at(at, &poll_requested, moved) => return,
            changed = address.changed() => if changed.is_err() { return },
        }
        client.leave_address();
        moved = Some(Instant::now());
    }
}

/// The client at work.
struct Client {
    version: Option<u64>,
    pushed: bool,
    drain_grace: Duration,
    max_poll_interval: Duration,
    random: fastrand::Rng,
    events: UnboundedSender<DriverEvent>,
    log: Log,
    /// When discovery last answered a call; before that it may not know of this node.
    answered: Option<Instant>,
    /// A call has failed, and none has had its answer since.
    unsure: bool,
    /// That call failed late.
    failed_late: bool,
    source: Source,
    in_flight: InFlight,
    departures: Departures,
    /// A server is left alone against the list's word: when the whole list is asked for, to see whether it still leaves.
    confirm_at: Option<Instant>,
}

impl Client {
    fn new(options: DiscoveryOptions) -> Self {
        let DiscoveryOptions {
            version,
            pushed,
            drain_grace,
            max_poll_interval,
            random,
            events,
            log,
            ..
        } = options;
        Self {
            version,
            pushed,
            drain_grace,
            max_poll_interval,
            random,
            events,
            log,
            answered: None,
            unsure: false,
            failed_late: false,
            source: Source::default(),
            in_flight: InFlight::default(),
            departures: Departures::default(),
            confirm_at: None,
        }
    }

    /// What the old address still writes counts as told.
    fn leave_address(&mut self) {
        self.in_flight.supersede_all(LATE_ANSWER_READ_TIME);
        self.source = self.source.next();
        self.version = None;
    }

    /// Watches at one address, until the driver has gone. Where it moved there, the module's word to watch holds.
    async fn watch_at(
        &mut self,
        address: SocketAddr,
        poll_requested: &Notify,
        moved: Option<Instant>,
    ) {
        let mut at_once = moved.is_some();
        loop {
            if !self.pushed && !std::mem::take(&mut at_once) {
                self.reading(poll_requested.notified()).await;
            }
            let mut connection = None;
            loop {
                let asked = Instant::now();
                let outcome = self.ask(address, connection.take()).await;
                connection = outcome.connection;
                let unsure = std::mem::replace(&mut self.unsure, outcome.result.is_err());
                match outcome.result {
                    Ok(list) => {
                        self.answered = Some(Instant::now());
                        let early = self.version == Some(list.version)
                            && asked.elapsed() < EARLY_ANSWER_THRESHOLD;
                        match self.take(list) {
                            Taken::Older => self.reading(sleep(EARLY_ANSWER_PAUSE)).await,
                            Taken::Newest if early && !unsure => {
                                self.reading(sleep(EARLY_ANSWER_PAUSE)).await
                            }
                            Taken::Newest => {}
                            Taken::NobodyListens => return,
                        }
                    }
                    Err(error) => {
                        self.log
                            .rate_limited("discovery", &format!("discovery: {error}"));
                        let new_there = self.version.is_none()
                            && moved.is_some_and(|at| at.elapsed() < NOTIFIED_AFTER_ADDRESS_CHANGE);
                        at_once = new_there || self.failed_late;
                        // The module's word is waited for but where it has no say.
                        if (self.pushed || !at_once)
                            && self.events.send(DriverEvent::DiscoveryFailed).is_err()
                        {
                            return;
                        }
                        let pause = self.pause_after(&error, unsure, new_there);
                        self.reading(sleep(pause)).await;
                        break;
                    }
                }
            }
        }
    }

    /// How long the next call waits here, beside what the module says.
    fn pause_after(&mut self, error: &DiscoveryError, unsure: bool, new_there: bool) -> Duration {
        let pause = match error {
            _ if self.pushed && !unsure => Duration::ZERO,
            _ if self.pushed => self
                .drain_grace
                .mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION),
            DiscoveryError::ConnectTimedOut | DiscoveryError::AnswerTimedOut => Duration::ZERO,
            _ if new_there => ADDRESS_CHANGE_BACKOFF,
            _ if self.failed_late => LATE_FAILURE_BACKOFF,
            DiscoveryError::Status(_)
                if self
                    .answered
                    .is_some_and(|at| at.elapsed() < RECENT_ANSWER_WINDOW) =>
            {
                return RECENT_ANSWER_BACKOFF.draw(&mut self.random);
            }
            _ => Duration::ZERO,
        };
        let backoff = Jittered {
            mean: pause,
            jitter: BACKOFF_JITTER,
        };
        backoff.draw(&mut self.random)
    }

    fn start(
        &mut self,
        address: SocketAddr,
        request: ListRequest,
        connection: Option<DiscoveryConnection>,
    ) -> CallId {
        let call: Call = Box::pin(call(address, request, connection));
        self.in_flight.start(self.source, call)
    }

    /// How the first of these calls ended. What others bring meanwhile is heeded.
    async fn answer_to(&mut self, calls: &[CallId]) -> (CallId, CallOutcome) {
        loop {
            let answered = self.in_flight.next().await;
            if calls.contains(&answered.id) {
                return (answered.id, answered.outcome);
            }
            self.heed(answered);
        }
    }

    /// Does something while calls of before may still be out, and heeds what these bring.
    async fn reading<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                answered = self.in_flight.next() => self.heed(answered),
                done = &mut work => return done,
            }
        }
    }

    /// Heeds the answer to a call that another has taken the place of: written, it counts as told.
    fn heed(&mut self, answered: Answered) {
        let Answered {
            source,
            outcome: CallOutcome {
                result: Ok(list), ..
            },
            ..
        } = answered
        else {
            return;
        };
        // Whether the driver is there shows at the next list.
        if source != self.source || self.version.is_none() {
            self.tell_leaving(list, source);
        } else if self.version.is_some_and(|held| list.version > held) {
            self.take(list);
        }
    }

    /// Takes a list of the present address, unless it is older than the one held.
    fn take(&mut self, list: EndpointList) -> Taken {
        // It would bring servers back that are gone. Discovery may have lost its versions all the same: the whole list is
        // taken as it comes, and until then what this one says of servers that leave.
        if let Some(held) = self.version.filter(|held| list.version < *held) {
            let text = format!(
                "discovery: list {} is older than {held}: asking for the whole list",
                list.version
            );
            self.log.rate_limited("discovery", &text);
            self.version = None;
            self.tell_leaving(list, self.source);
            return Taken::Older;
        }
        self.version = Some(list.version);
        match self.tell(list, self.source) {
            true => Taken::Newest,
            false => Taken::NobodyListens,
        }
    }

    /// Hands on what a list that is not taken tells of servers that leave.
    fn tell_leaving(&mut self, mut list: EndpointList, source: Source) {
        list.complete = false;
        list.endpoints
            .retain(|host| host.availability() != Availability::Ready);
        self.tell(list, source);
    }

    /// Hands a list on. `false` where the driver has gone.
    fn tell(&mut self, mut list: EndpointList, source: Source) -> bool {
        let now = Instant::now();
        if self.departures.amend(&mut list, source, now) {
            let text = "discovery: a server that leaves stays left alone, against a list that is not newer";
            self.log.rate_limited("discovery", text);
            self.confirm_at = Some(now + ANNOUNCEMENT_LIFETIME);
        }
        self.events
            .send(DriverEvent::EndpointListReceived(list))
            .is_ok()
    }
}

/// What became of a list.
enum Taken {
    /// It is the one held now.
    Newest,
    /// It is older than the one held, which may be wrong: the whole list is asked for.
    Older,
    /// The driver has gone.
    NobodyListens,
}

#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod tests;
