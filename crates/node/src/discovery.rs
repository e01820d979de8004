//! The list of cache servers: discovery's words as the module's, the watch on changes, backoff.

use crate::driver::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slatelink_config::Listing;
use slatelink_decide::Availability;
use slatelink_observe::Log;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// How long a watch asks discovery to wait: the most that it takes. What a watch that has fallen silent misses counts
/// as told 2 s after this wait, so the wait is what a node has for noticing that.
const WAIT: Duration = Duration::from_secs(60);
/// A watch is renewed after this, give or take a part of it: it looks alike whether it is silent or there is no news. A
/// call costs the one discovery of all nodes as much as dozens of entries, so it is not done more often; and it is drawn
/// anew each time, since nodes whose watches fell silent together would stand in discovery's queue together.
const RENEW: Duration = Duration::from_secs(15);
const RENEW_SPREAD: f64 = 0.2;
/// For so long the old watch stays beside the new one: a call has its turn at discovery by then, or has failed, and what
/// is written to the old one meanwhile counts as told.
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
/// A call that has nothing to wait for but its turn, which it gets or loses within 2 s, is given up after this.
const TURN: Duration = Duration::from_millis(2250);
const CONNECT: Duration = Duration::from_secs(1);
/// A list longer than this is no list.
const LARGEST: usize = 8 << 20;
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
/// without delay, and after a call that failed too the next one follows within the time that the rule on drains leaves.
/// The agent is the node's own, so that nobody else waits for that.
const PUSHED_AGAIN: Duration = Duration::from_millis(100);

#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Uri(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("no answer in time")]
    Overdue,
}

/// How a call ended, and its connection where that may carry another.
type Called = (Result<Listing, CallError>, Option<Link>);
/// A call that is out.
type Call = Pin<Box<dyn Future<Output = Called>>>;

/// An open connection; its driving task ends with it.
struct Link {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The client of discovery.
pub struct Discovery {
    /// Where it answers. A new address ends what was going on at the old one, but for the open watch.
    pub address: watch::Receiver<SocketAddr>,
    /// Version of the list held; `None` where none is.
    pub seq: Option<u64>,
    /// Whether changes come unprompted: a watch is open all the time then, and the module says nothing of it.
    pub pushed: bool,
    /// A call has failed, and none has had its answer since.
    pub unsure: bool,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<Input>,
    pub log: Log,
}

impl Discovery {
    /// Watches whenever it is told to, until a call fails: then the module is told and says when to try again.
    /// A new address starts anew at once, from the whole list: versions of the old one mean nothing there, and
    /// the node serves from the list it holds until that has come.
    pub async fn run(mut self, follow: Rc<Notify>) {
        let mut address = self.address.clone();
        let mut moved = None;
        // The watch that is open.
        let mut open = None;
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                // What belongs to the old address goes with this future: link, calls and backoff.
                () = self.watch_at(at, &follow, moved, &mut open) => return,
                changed = address.changed() => if changed.is_err() { return },
            }
            // The open watch stays until the new one has answered: what the old one still writes counts as told.
            self.seq = None;
            moved = Some(Instant::now());
        }
    }

    /// Watches at one address, until the driver has gone. Where it moved there, the module's word to watch holds.
    async fn watch_at(
        &mut self,
        address: SocketAddr,
        follow: &Notify,
        moved: Option<Instant>,
        open: &mut Option<Call>,
    ) {
        let mut told = moved.is_some();
        loop {
            if !self.pushed && !std::mem::take(&mut told) {
                follow.notified().await;
            }
            let mut link = None;
            loop {
                let asked = Instant::now();
                let (called, kept) = self.ask(address, link.take(), open).await;
                link = kept;
                let unsure = std::mem::replace(&mut self.unsure, called.is_err());
                match called {
                    // It would bring servers back that are gone. Discovery may have lost its versions all the same:
                    // the whole list is taken as it comes, and until then what this one says of servers that leave.
                    Ok(listing) if self.seq.is_some_and(|held| listing.seq < held) => {
                        let (held, got) = (self.seq.take().unwrap_or_default(), listing.seq);
                        self.tell_leaving(listing);
                        let text =
                            format!("discovery: list {got} is older than {held}: asking for the whole list");
                        self.log.often("discovery", &text);
                        sleep(PACE).await;
                    }
                    Ok(listing) => {
                        let early = self.seq == Some(listing.seq) && asked.elapsed() < EARLY;
                        self.seq = Some(listing.seq);
                        if self.events.send(Input::Listing(listing)).is_err() {
                            return;
                        }
                        if early && !unsure {
                            sleep(PACE).await;
                        }
                    }
                    Err(error) => {
                        self.log.often("discovery", &format!("discovery: {error}"));
                        told = self.seq.is_none() && moved.is_some_and(|at| at.elapsed() < MOVED);
                        // The module's word is waited for but where it has no say.
                        if (self.pushed || !told) && self.events.send(Input::ListingFailed).is_err() {
                            return;
                        }
                        let pause = match error {
                            _ if self.pushed => PUSHED_AGAIN * u32::from(unsure),
                            CallError::Overdue => Duration::ZERO,
                            _ => MOVED_AGAIN * u32::from(told),
                        };
                        let pause = pause.mul_f64(0.5 + self.random.f64());
                        self.beside_old(open, sleep(pause)).await;
                        break;
                    }
                }
            }
        }
    }

    /// Discovery's next word: the whole list where none is held, or what a watch brings.
    async fn ask(&mut self, address: SocketAddr, link: Option<Link>, open: &mut Option<Call>) -> Called {
        let Some(seq) = self.seq else {
            // With a list, the next call takes the old watch's place at once.
            return self.beside_old(open, turn(call(address, Ask::Whole, link))).await;
        };
        if self.unsure {
            return self.beside_old(open, turn(call(address, Ask::After(seq, BRIEF), link))).await;
        }
        let mut opened = Instant::now();
        let mut renew = self.renewal();
        *open = Some(Box::pin(call(address, Ask::After(seq, WAIT), link)));
        loop {
            let now = Instant::now();
            let (due, over) = (now + renew, opened + WAIT + OVERDUE);
            if let Ok(ended) = timeout_at(due.min(over), ended(open)).await {
                return ended;
            }
            if over <= due {
                *open = None;
                return (Err(CallError::Overdue), None);
            }
            let mut fresh: Call = match self.unsure {
                true => Box::pin(turn(call(address, Ask::After(seq, BRIEF), None))),
                false => Box::pin(call(address, Ask::After(seq, WAIT), None)),
            };
            tokio::select! {
                biased;
                // What is left of a watch that broke just now is the new one.
                ended = ended(open) => match ended {
                    (Err(_), _) => {}
                    word => return word,
                },
                ended = &mut fresh => match ended {
                    (Err(error), _) => {
                        self.log.often("discovery", &format!("discovery: watch not renewed: {error}"));
                        self.unsure = true;
                        // One that was given up has waited for long enough.
                        let pause = RENEW_AGAIN * u32::from(!matches!(error, CallError::Overdue));
                        renew = self.spread(pause, RENEW_AGAIN_SPREAD);
                        // The one that is open is as good as it was.
                        continue;
                    }
                    (Ok(listing), link) => {
                        if listing.seq > seq {
                            let news = listing.seq;
                            let text = format!("discovery: list {news} came by a new watch, not by the old one");
                            self.log.often("discovery", &text);
                        }
                        *open = None;
                        return (Ok(listing), link);
                    }
                },
                () = sleep(OVERLAP) => {}
            }
            *open = Some(fresh);
            (opened, renew) = (due, self.renewal());
        }
    }

    /// Does something while a watch of before may still be open, and hands on what that tells of servers that leave.
    async fn beside_old<T>(&self, open: &mut Option<Call>, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return done,
                (word, _) = ended(open) => if let Ok(listing) = word {
                    self.tell_leaving(listing);
                },
            }
        }
    }

    /// Hands on what a list that is not taken tells of servers that leave: written, it counts as told. Whether the
    /// driver is there shows at the next list.
    fn tell_leaving(&self, mut listing: Listing) {
        listing.whole = false;
        listing.hosts.retain(|host| host.entry().availability != Availability::Ready);
        let _ = self.events.send(Input::Listing(listing));
    }

    fn renewal(&mut self) -> Duration {
        self.spread(RENEW, RENEW_SPREAD)
    }

    fn spread(&mut self, time: Duration, part: f64) -> Duration {
        time.mul_f64(1.0 + part * (2.0 * self.random.f64() - 1.0))
    }
}

/// What a call is for.
#[derive(Clone, Copy)]
enum Ask {
    /// The whole list.
    Whole,
    /// What came after a version, once there is something or so long has passed.
    After(u64, Duration),
}

/// A call that has nothing to wait for but its turn.
async fn turn(call: impl Future<Output = Called>) -> Called {
    timeout(TURN, call).await.unwrap_or((Err(CallError::Overdue), None))
}

/// How the call in this place ended; the place is empty then. Without one it never does.
async fn ended(open: &mut Option<Call>) -> Called {
    let Some(call) = open else { return pending().await };
    let called = call.await;
    *open = None;
    called
}

async fn call(address: SocketAddr, ask: Ask, mut link: Option<Link>) -> Called {
    let called = call_on(address, ask, &mut link).await;
    (called, link)
}

async fn call_on(address: SocketAddr, ask: Ask, link: &mut Option<Link>) -> Result<Listing, CallError> {
    // A kept connection that discovery has closed meanwhile is no failure of the call.
    let usable = match link {
        Some(link) => link.sender.ready().await.is_ok(),
        None => false,
    };
    if !usable {
        *link = None;
    }
    let link = match link {
        Some(link) => link,
        None => link.insert(connect(address).await?),
    };
    let path = match ask {
        Ask::After(seq, wait) => format!("/v1/servers?after={seq}&wait_ms={}", wait.as_millis()),
        Ask::Whole => "/v1/servers".to_owned(),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
    let response = link.sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), LARGEST).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}

async fn connect(address: SocketAddr) -> Result<Link, CallError> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| CallError::Overdue)??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // How it ends shows at the call that is out, or at the next one.
        let _ = connection.await;
    });
    Ok(Link { sender, task: task.abort_handle() })
}

#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod tests;
