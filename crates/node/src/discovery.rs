//! The client of discovery: keeps a watch on the list of cache servers, renews it, and tries again after failures.

mod call;
mod departures;
mod in_flight;

use crate::driver::Input;
use call::{call, Ask, CallError, Called, Link};
use departures::{Departures, REMEMBERED};
use in_flight::{Answered, Call, CallId, InFlight, Source};
use slatelink_config::Listing;
use slatelink_decide::Availability;
use slatelink_observe::Log;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// How long a watch asks discovery to wait: the most that it takes. What a watch that has fallen silent misses counts
/// as told 2 s after this wait, so the wait is what a node has for noticing that.
const WAIT: Duration = Duration::from_secs(60);
/// A watch is renewed after this, give or take a part of it: it looks alike whether it is silent or there is no news. A
/// call costs the one discovery of all nodes as much as dozens of entries, so it is not done more often; and it is drawn
/// anew each time, since nodes whose watches fell silent together would stand in discovery's queue together.
const RENEW: Duration = Duration::from_secs(15);
const RENEW_SPREAD: f64 = 0.2;
/// For so long the old watch stays beside the new one: a call has its turn at discovery by then, or has failed. What is
/// written to a call that another has taken the place of is read for as long again.
const OVERLAP: Duration = Duration::from_secs(3);
/// A call that failed, a renewal too, makes each change count as told 6 s after discovery had it, and whether a watch that
/// is opened then says nothing because it has nothing to say cannot be told in that time. The next call waits no longer
/// than this at discovery: once it has its answer all is known that there was. The watch follows at once: the call
/// before it counts as one too, and what changes within 200 ms of an answer counts as told on it.
const BRIEF: Duration = Duration::from_millis(50);
/// The pause before a renewal that failed is tried again, give or take a part of it; before other calls the module's.
const RENEW_AGAIN: Duration = Duration::from_millis(600);
const RENEW_AGAIN_SPREAD: f64 = 0.4;
/// A watch that could not be renewed and says nothing for this long after its wait is over is dead.
const OVERDUE: Duration = Duration::from_millis(500);
/// A call that has nothing to wait for but its turn is made again after this. It is read on: it may have had its turn
/// late, and what discovery has written counts as told.
const TURN: Duration = Duration::from_millis(2250);
const LATE_ANSWER: Duration = Duration::from_secs(10);
/// A call that fails after this has waited in discovery's queue or was swallowed. Two of these one after the other take up
/// most of the 6 s: the next call follows within `LATE_PAUSE`, and a second one beside it after `HEDGE`.
const LATE_FAILURE: Duration = Duration::from_millis(1500);
const LATE_PAUSE: Duration = Duration::from_millis(200);
const HEDGE: Duration = Duration::from_millis(600);
/// For so long after it was told to move, a node counts as told nothing that it has not heard at the new address.
const MOVED: Duration = Duration::from_secs(4);
/// Until it has a list there, a call that is refused is made again after about this, and one without an answer at
/// once: a call may stand in discovery's queue for 2 s, so what gets its place there later comes too late.
const MOVED_AGAIN: Duration = Duration::from_millis(500);
/// After an answer with nothing newer that came before its wait was over the next call waits: made at once, calls would
/// spin. A watch lasts where they are 200 ms apart at most.
const PACE: Duration = Duration::from_millis(50);
const EARLY: Duration = Duration::from_secs(10);
/// Where lists are pushed, what the agent has counts as told at once, watch or no watch: a lost watch is opened again
/// without delay, and after a call that failed too the next one follows within this part of the time that the settings
/// leave for heeding a drain. The agent is the node's own, so that nobody else waits for that.
const PUSHED_AGAIN_PART: f64 = 0.4;

/// How the client of discovery begins.
pub struct Discovery {
    /// Where it answers. A new address ends what was going on at the old one, but for reading what that still says.
    pub address: watch::Receiver<SocketAddr>,
    /// Version of the list held; `None` where none is.
    pub seq: Option<u64>,
    /// Whether changes come unprompted: a watch is open all the time then, and the module says nothing of it.
    pub pushed: bool,
    /// Nothing is sent to a server later than this after its departure was told.
    pub stop_sending_within: Duration,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<Input>,
    pub log: Log,
}

impl Discovery {
    /// Watches whenever it is told to, until a call fails: then the module is told and says when to try again.
    /// A new address starts anew at once, from the whole list: versions of the old one mean nothing there, and
    /// the node serves from the list it holds until that has come.
    pub async fn run(self, follow: Rc<Notify>) {
        let mut address = self.address.clone();
        let mut client = Client::new(self);
        let mut moved = None;
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                () = client.watch_at(at, &follow, moved) => return,
                changed = address.changed() => if changed.is_err() { return },
            }
            client.leave_address();
            moved = Some(Instant::now());
        }
    }
}

/// The client at work.
struct Client {
    seq: Option<u64>,
    pushed: bool,
    stop_sending_within: Duration,
    random: fastrand::Rng,
    events: UnboundedSender<Input>,
    log: Log,
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
    fn new(begin: Discovery) -> Self {
        let Discovery { seq, pushed, stop_sending_within, random, events, log, .. } = begin;
        Self {
            seq,
            pushed,
            stop_sending_within,
            random,
            events,
            log,
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
        self.in_flight.supersede_all(LATE_ANSWER);
        self.source = self.source.next();
        self.seq = None;
    }

    /// Watches at one address, until the driver has gone. Where it moved there, the module's word to watch holds.
    async fn watch_at(&mut self, address: SocketAddr, follow: &Notify, moved: Option<Instant>) {
        let mut at_once = moved.is_some();
        loop {
            if !self.pushed && !std::mem::take(&mut at_once) {
                self.reading(follow.notified()).await;
            }
            let mut link = None;
            loop {
                let asked = Instant::now();
                let (called, kept) = self.ask(address, link.take()).await;
                link = kept;
                let unsure = std::mem::replace(&mut self.unsure, called.is_err());
                match called {
                    Ok(listing) => {
                        let early = self.seq == Some(listing.seq) && asked.elapsed() < EARLY;
                        match self.take(listing) {
                            Taken::Older => self.reading(sleep(PACE)).await,
                            Taken::Newest if early && !unsure => self.reading(sleep(PACE)).await,
                            Taken::Newest => {}
                            Taken::NobodyListens => return,
                        }
                    }
                    Err(error) => {
                        self.log.often("discovery", &format!("discovery: {error}"));
                        let new_there = self.seq.is_none() && moved.is_some_and(|at| at.elapsed() < MOVED);
                        at_once = new_there || self.failed_late;
                        // The module's word is waited for but where it has no say.
                        if (self.pushed || !at_once) && self.events.send(Input::ListingFailed).is_err() {
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
    fn pause_after(&mut self, error: &CallError, unsure: bool, new_there: bool) -> Duration {
        let pause = match error {
            _ if self.pushed && !unsure => Duration::ZERO,
            _ if self.pushed => self.stop_sending_within.mul_f64(PUSHED_AGAIN_PART),
            CallError::Overdue => Duration::ZERO,
            _ if new_there => MOVED_AGAIN,
            _ if self.failed_late => LATE_PAUSE,
            _ => Duration::ZERO,
        };
        self.spread(pause, 0.5)
    }

    /// Discovery's next word: the whole list where none is held, or what a watch brings.
    async fn ask(&mut self, address: SocketAddr, link: Option<Link>) -> Called {
        let asked = Instant::now();
        let ask = match self.seq {
            None => Ask::Whole,
            Some(seq) if self.unsure => Ask::After(seq, BRIEF),
            Some(seq) => return self.watch(address, seq, link).await,
        };
        let called = self.ask_now(address, ask, link).await;
        self.failed_late = called.0.is_err() && asked.elapsed() >= LATE_FAILURE;
        called
    }

    /// A call that has nothing to wait for but its turn. After one that failed late a second one is made beside it.
    async fn ask_now(&mut self, address: SocketAddr, ask: Ask, link: Option<Link>) -> Called {
        let first = self.start(address, ask, link);
        if !self.failed_late {
            return self.turn_of(first).await;
        }
        if let Ok((_, called)) = timeout(HEDGE, self.answer_to(&[first])).await {
            return called;
        }
        let second = self.start(address, ask, None);
        let Ok((ended, called)) = timeout(TURN - HEDGE, self.answer_to(&[first, second])).await else {
            self.in_flight.supersede(first, LATE_ANSWER);
            return self.turn_of(second).await;
        };
        let other = if ended == first { second } else { first };
        if called.0.is_err() {
            return self.turn_of(other).await;
        }
        self.in_flight.supersede(other, OVERLAP);
        called
    }

    /// The answer to a call that has had its turn within `TURN`, or has none in time.
    async fn turn_of(&mut self, id: CallId) -> Called {
        match timeout(TURN, self.answer_to(&[id])).await {
            Ok((_, called)) => called,
            Err(_) => {
                self.in_flight.supersede(id, LATE_ANSWER);
                (Err(CallError::Overdue), None)
            }
        }
    }

    /// What a watch brings, or one of those that renew it.
    async fn watch(&mut self, address: SocketAddr, seq: u64, link: Option<Link>) -> Called {
        let mut opened = Instant::now();
        let mut renew_after = self.renewal();
        let mut open = self.start(address, Ask::After(seq, WAIT), link);
        loop {
            let now = Instant::now();
            let (due, over) = (now + renew_after, opened + WAIT + OVERDUE);
            if let Ok((_, called)) = timeout_at(due.min(over), self.answer_to(&[open])).await {
                return called;
            }
            if over <= due {
                self.in_flight.supersede(open, Duration::ZERO);
                return (Err(CallError::Overdue), None);
            }
            match self.renew(address, seq, open).await {
                Renewed::Called(called) => return called,
                Renewed::By(fresh) => (open, opened, renew_after) = (fresh, due, self.renewal()),
                Renewed::Failed(error) => {
                    if now.elapsed() >= renew_after + LATE_FAILURE {
                        // No time is left to wait before the next call. The one that is open is read on.
                        self.failed_late = true;
                        self.in_flight.supersede(open, over.saturating_duration_since(Instant::now()));
                        return (Err(error), None);
                    }
                    self.log.often("discovery", &format!("discovery: watch not renewed: {error}"));
                    self.unsure = true;
                    renew_after = self.spread(RENEW_AGAIN, RENEW_AGAIN_SPREAD);
                }
            }
        }
    }

    /// Makes a call beside an open watch, to stand in its place.
    async fn renew(&mut self, address: SocketAddr, seq: u64, open: CallId) -> Renewed {
        let confirm = self.confirm_at.is_some_and(|at| Instant::now() >= at);
        let is_watch = !confirm && !self.unsure;
        let (ask, patience) = match is_watch {
            true => (Ask::After(seq, WAIT), OVERLAP),
            false if confirm => (Ask::Whole, TURN),
            false => (Ask::After(seq, BRIEF), TURN),
        };
        let fresh = self.start(address, ask, None);
        match timeout(patience, self.answer_to(&[open, fresh])).await {
            // What is left of a watch that broke just now is the new one.
            Ok((ended, (Err(_), _))) if ended == open && is_watch => Renewed::By(fresh),
            Ok((ended, (Err(_), _))) if ended == open => Renewed::Called(self.turn_of(fresh).await),
            Ok((ended, called)) if ended == open => {
                self.in_flight.supersede(fresh, OVERLAP);
                Renewed::Called(called)
            }
            // The one that is open is as good as it was.
            Ok((_, (Err(error), _))) => Renewed::Failed(error),
            Ok((_, (Ok(listing), link))) => {
                if listing.seq > seq {
                    let news = listing.seq;
                    let text = format!("discovery: list {news} came by a new watch, not by the old one");
                    self.log.often("discovery", &text);
                }
                if confirm {
                    self.confirm_at = None;
                }
                self.in_flight.supersede(open, OVERLAP);
                Renewed::Called((Ok(listing), link))
            }
            Err(_) if is_watch => {
                self.in_flight.supersede(open, OVERLAP);
                Renewed::By(fresh)
            }
            Err(_) => {
                self.in_flight.supersede(fresh, LATE_ANSWER);
                Renewed::Failed(CallError::Overdue)
            }
        }
    }

    fn start(&mut self, address: SocketAddr, ask: Ask, link: Option<Link>) -> CallId {
        let call: Call = Box::pin(call(address, ask, link));
        self.in_flight.start(self.source, call)
    }

    /// How the first of these calls ended. What others bring meanwhile is heeded.
    async fn answer_to(&mut self, calls: &[CallId]) -> (CallId, Called) {
        loop {
            let answered = self.in_flight.next().await;
            if calls.contains(&answered.id) {
                return (answered.id, answered.called);
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
        let Answered { source, called: (Ok(listing), _), .. } = answered else { return };
        // Whether the driver is there shows at the next list.
        if source != self.source || self.seq.is_none() {
            self.tell_leaving(listing, source);
        } else if self.seq.is_some_and(|held| listing.seq > held) {
            self.take(listing);
        }
    }

    /// Takes a list of the present address, unless it is older than the one held.
    fn take(&mut self, listing: Listing) -> Taken {
        // It would bring servers back that are gone. Discovery may have lost its versions all the same: the whole list is
        // taken as it comes, and until then what this one says of servers that leave.
        if let Some(held) = self.seq.filter(|held| listing.seq < *held) {
            let text =
                format!("discovery: list {} is older than {held}: asking for the whole list", listing.seq);
            self.log.often("discovery", &text);
            self.seq = None;
            self.tell_leaving(listing, self.source);
            return Taken::Older;
        }
        self.seq = Some(listing.seq);
        match self.tell(listing, self.source) {
            true => Taken::Newest,
            false => Taken::NobodyListens,
        }
    }

    /// Hands on what a list that is not taken tells of servers that leave.
    fn tell_leaving(&mut self, mut listing: Listing, source: Source) {
        listing.whole = false;
        listing.hosts.retain(|host| host.availability() != Availability::Ready);
        self.tell(listing, source);
    }

    /// Hands a list on. `false` where the driver has gone.
    fn tell(&mut self, mut listing: Listing, source: Source) -> bool {
        let now = Instant::now();
        if self.departures.amend(&mut listing, source, now) {
            let text = "discovery: a server that leaves stays left alone, against a list that is not newer";
            self.log.often("discovery", text);
            self.confirm_at = Some(now + REMEMBERED);
        }
        self.events.send(Input::Listing(listing)).is_ok()
    }

    /// When the watch that is opened now is renewed.
    fn renewal(&mut self) -> Duration {
        self.spread(RENEW, RENEW_SPREAD)
    }

    fn spread(&mut self, time: Duration, part: f64) -> Duration {
        time.mul_f64(1.0 + part * (2.0 * self.random.f64() - 1.0))
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

/// What became of a renewal.
enum Renewed {
    /// One of the two calls has ended.
    Called(Called),
    /// The new watch stands in the old one's place.
    By(CallId),
    /// The old one stays.
    Failed(CallError),
}

#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod tests;
