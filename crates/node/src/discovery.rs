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
/// The wait before a renewal that discovery refused is tried again.
const RENEW_AGAIN: Duration = Duration::from_secs(2);
/// A watch that could not be renewed and says nothing for this long after its wait is over is dead.
const OVERDUE: Duration = Duration::from_millis(500);
/// A call that has nothing to wait for but its turn is given up after this.
const LIST: Duration = Duration::from_millis(2500);
const CONNECT: Duration = Duration::from_secs(1);
/// A list longer than this is no list.
const LARGEST: usize = 8 << 20;
/// Wait before a call that follows failed ones: the first step, doubled with each failure up to the most. The most is
/// also bound to the time for asking: who has no watch and does not ask for that long counts as told.
const BACKOFF: Duration = Duration::from_millis(200);
const BACKOFF_MOST: Duration = Duration::from_secs(3);
const ASKING_PART: u32 = 4;
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
    /// The time that the settings give for asking.
    pub ask_within: Duration,
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
        let mut failures = 0;
        let mut told = moved.is_some();
        loop {
            if !self.pushed && !std::mem::take(&mut told) {
                follow.notified().await;
                if failures > 0 {
                    // Nodes that lost the same discovery together must not come back together.
                    let most = BACKOFF_MOST.min(self.ask_within / ASKING_PART);
                    let step = BACKOFF.saturating_mul(1 << (failures - 1).min(8)).min(most);
                    sleep(step.mul_f64(0.5 + self.random.f64())).await;
                }
            }
            let mut link = None;
            loop {
                let asked = Instant::now();
                let (called, kept) = self.ask(address, link.take(), open).await;
                link = kept;
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
                        failures = 0;
                        let early = self.seq == Some(listing.seq) && asked.elapsed() < EARLY;
                        self.seq = Some(listing.seq);
                        if self.events.send(Input::Listing(listing)).is_err() {
                            return;
                        }
                        if early {
                            sleep(PACE).await;
                        }
                    }
                    Err(error) => {
                        self.log.often("discovery", &format!("discovery: {error}"));
                        failures += 1;
                        told = self.seq.is_none() && moved.is_some_and(|at| at.elapsed() < MOVED);
                        // The module's word is waited for but where it has no say.
                        if (self.pushed || !told) && self.events.send(Input::ListingFailed).is_err() {
                            return;
                        }
                        let pause = match error {
                            _ if self.pushed => PUSHED_AGAIN * u32::from(failures > 1),
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
            let called = self.beside_old(open, timeout(LIST, call(address, None, link))).await;
            return called.unwrap_or((Err(CallError::Overdue), None));
        };
        let mut opened = Instant::now();
        let mut renew = self.renewal();
        *open = Some(Box::pin(call(address, Some(seq), link)));
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
            let mut fresh: Call = Box::pin(call(address, Some(seq), None));
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
                        renew = RENEW_AGAIN.mul_f64(0.5 + self.random.f64());
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
        RENEW.mul_f64(1.0 + RENEW_SPREAD * (2.0 * self.random.f64() - 1.0))
    }
}

/// How the call in this place ended; the place is empty then. Without one it never does.
async fn ended(open: &mut Option<Call>) -> Called {
    let Some(call) = open else { return pending().await };
    let called = call.await;
    *open = None;
    called
}

/// One call: for the whole list, or for what came after a version of it, once there is something.
async fn call(address: SocketAddr, after: Option<u64>, mut link: Option<Link>) -> Called {
    let called = call_on(address, after, &mut link).await;
    (called, link)
}

async fn call_on(
    address: SocketAddr,
    after: Option<u64>,
    link: &mut Option<Link>,
) -> Result<Listing, CallError> {
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
    let path = match after {
        Some(seq) => format!("/v1/servers?after={seq}&wait_ms={}", WAIT.as_millis()),
        None => "/v1/servers".to_owned(),
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
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // How it ends shows at the call that is out, or at the next one.
        let _ = connection.await;
    });
    Ok(Link { sender, task: task.abort_handle() })
}

#[cfg(test)]
mod tests {
    use super::*;
    use slatelink_observe::{Format, Observers};
    use std::cell::RefCell;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
    use tokio::task::{spawn_local, yield_now, LocalSet};

    /// What a change that a silent watch misses has, past the watch's wait, until it counts as told.
    const TOLD: Duration = Duration::from_secs(2);
    /// The module follows again so long after it was told of a failure.
    const FOLLOW_AGAIN: Duration = Duration::from_secs(1);

    /// What the stand-in does with a call.
    enum Reply {
        List(u64),
        /// The list of this version, so long after the call of this number has come.
        After(usize, Duration, u64),
        Refused,
        Reset,
        Nothing,
    }

    /// Calls as they came: when, and for what.
    type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

    /// A discovery that answers the calls, numbered from 0 as they come, as `reply` says.
    async fn stand_in(reply: impl Fn(usize, &str) -> Reply + 'static) -> (SocketAddr, Calls) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (calls, reply) = (Calls::default(), Rc::new(reply));
        let all = calls.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (calls, reply) = (calls.clone(), reply.clone());
                spawn_local(async move {
                    let mut head = Vec::new();
                    while matches!(stream.read_buf(&mut head).await, Ok(n) if n > 0) {
                        if !head.ends_with(b"\r\n\r\n") {
                            continue;
                        }
                        let path = String::from_utf8_lossy(&head).split(' ').nth(1).unwrap().to_owned();
                        head.clear();
                        let number = calls.borrow().len();
                        let said = reply(number, &path);
                        calls.borrow_mut().push((Instant::now(), path));
                        let seq = match said {
                            Reply::List(seq) => seq,
                            Reply::After(other, pause, seq) => {
                                while calls.borrow().len() <= other {
                                    sleep(Duration::from_millis(10)).await;
                                }
                                sleep(pause).await;
                                seq
                            }
                            Reply::Refused => {
                                let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                                stream.write_all(text.as_bytes()).await.unwrap();
                                continue;
                            }
                            Reply::Reset => return,
                            // Until the client gives it up.
                            Reply::Nothing => continue,
                        };
                        let host = |name: &str, health: &str| {
                            format!("{{\"host\":\"{name}\",\"health\":\"{health}\"}}")
                        };
                        let hosts = [host("s-leaving", "draining"), host("s-staying", "ready")].join(",");
                        let body = format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{hosts}]}}");
                        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        (address, all)
    }

    /// Sets a client to work that holds the list of version 1, with a module that says when to follow.
    fn client(address: SocketAddr, seed: u64, log: &Log) -> UnboundedReceiver<(Instant, Input)> {
        client_at(address, seed, false, log).0
    }

    /// The same, with where it is told of another address. Where lists are pushed nobody says when to follow.
    fn client_at(
        address: SocketAddr,
        seed: u64,
        pushed: bool,
        log: &Log,
    ) -> (UnboundedReceiver<(Instant, Input)>, Rc<watch::Sender<SocketAddr>>) {
        let (events, mut inputs) = unbounded_channel();
        let (told, heard) = unbounded_channel();
        let (addresses, address) = watch::channel(address);
        let addresses = Rc::new(addresses);
        let kept = addresses.clone();
        let random = fastrand::Rng::with_seed(seed);
        let ask_within = Duration::from_secs(10);
        let watching =
            Discovery { address, seq: Some(1), pushed, ask_within, random, events, log: log.clone() };
        let follow = Rc::new(Notify::new());
        if !pushed {
            follow.notify_one();
        }
        spawn_local(watching.run(follow.clone()));
        spawn_local(async move {
            while let Some(input) = inputs.recv().await {
                let failed = matches!(input, Input::ListingFailed);
                if told.send((Instant::now(), input)).is_err() {
                    return;
                }
                if failed && !pushed {
                    sleep(FOLLOW_AGAIN).await;
                    follow.notify_one();
                }
            }
            drop(kept);
        });
        (heard, addresses)
    }

    /// Plays in virtual time. It moves on in small steps between which the sockets have their turns: left to itself a
    /// paused clock jumps to the next timer whenever no task is ready, also over bytes that are on their way.
    fn play<T>(day: impl AsyncFnOnce(Log) -> T) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        LocalSet::new().block_on(&runtime.unwrap(), async {
            spawn_local(async {
                loop {
                    for _ in 0..200 {
                        yield_now().await;
                    }
                    std::thread::sleep(Duration::from_micros(50));
                    tokio::time::advance(Duration::from_millis(10)).await;
                }
            });
            let observers = Observers::start(&Default::default(), &[], Format::Text).unwrap();
            day(observers.log.clone()).await
        })
    }

    /// When the list of this version came.
    async fn list(heard: &mut UnboundedReceiver<(Instant, Input)>, version: u64) -> Instant {
        loop {
            let (at, input) = heard.recv().await.expect("a client that runs");
            if matches!(input, Input::Listing(listing) if listing.seq == version) {
                return at;
            }
        }
    }

    fn wait_of(path: &str) -> Duration {
        Duration::from_millis(path.split_once("wait_ms=").unwrap().1.parse().unwrap())
    }

    // Guards against a watch that falls silent and is noticed only once what it misses counts as told: the node then
    // sends to servers that leave.
    #[test]
    fn what_a_silent_watch_misses_is_brought_well_before_it_counts_as_told() {
        for seed in 0..4 {
            play(async |log| {
                let reply = |call, _: &str| if call == 0 { Reply::Nothing } else { Reply::List(2) };
                let (address, calls) = stand_in(reply).await;
                let came = list(&mut client(address, seed, &log), 2).await;
                let (asked, path) = calls.borrow()[0].clone();
                let told = asked + wait_of(&path) + TOLD;
                // Discovery's queue is 2 s long at times, and its connection may fail: there must be time for more tries.
                let most = told - Duration::from_secs(10);
                assert!(came <= most, "{:?} after the call, told at {:?}", came - asked, told - asked);
                assert!(came - asked < Duration::from_secs(20), "{:?}", came - asked);
            });
        }
    }

    // Guards against a watch given up for its renewal with a word on its way: written, it counts as told.
    #[test]
    fn a_word_on_the_old_watch_while_the_new_one_waits_for_its_turn_is_taken_at_once() {
        play(async |log| {
            let pause = Duration::from_millis(1500);
            let reply = move |call, _: &str| match call {
                0 => Reply::After(1, pause, 2),
                _ => Reply::Nothing,
            };
            let (address, calls) = stand_in(reply).await;
            let came = list(&mut client(address, 1, &log), 2).await;
            let late = came - (calls.borrow()[1].0 + pause);
            assert!(late < Duration::from_millis(200), "{late:?}");
        });
    }

    // Guards against a healthy watch that is lost, and a module told that there is none, because discovery had no
    // time for another.
    #[test]
    fn a_renewal_that_is_refused_or_reset_leaves_the_watch_as_it_was() {
        play(async |log| {
            let pause = Duration::from_millis(500);
            let reply = move |call, _: &str| match call {
                0 => Reply::After(4, pause, 2),
                1 | 3 => Reply::Refused,
                2 => Reply::Reset,
                _ => Reply::Nothing,
            };
            let (address, calls) = stand_in(reply).await;
            let mut heard = client(address, 1, &log);
            let (came, first) = heard.recv().await.unwrap();
            assert!(matches!(first, Input::Listing(listing) if listing.seq == 2), "no failure before");
            let late = came - (calls.borrow()[4].0 + pause);
            assert!(late < Duration::from_millis(200), "{late:?}");
            let calls = calls.borrow();
            assert!(calls[1..5].windows(2).all(|two| two[1].0 - two[0].0 >= RENEW_AGAIN / 2), "{calls:?}");
        });
    }

    // Guards against a node with no watch where lists are pushed: what its agent has counts as told all the same.
    #[test]
    fn where_lists_are_pushed_a_lost_watch_is_open_again_within_the_rules_time() {
        play(async |log| {
            let reply = |call, _: &str| match call {
                0 => Reply::List(2),
                1 | 3 | 4 => Reply::Reset,
                5 => Reply::Refused,
                2 => Reply::List(3),
                6 => Reply::List(4),
                _ => Reply::Nothing,
            };
            let (address, calls) = stand_in(reply).await;
            let mut heard = client_at(address, 1, true, &log).0;
            list(&mut heard, 2).await;
            list(&mut heard, 4).await;
            let calls = calls.borrow();
            assert!(calls.iter().all(|(_, path)| path.contains("after=")), "{calls:?}");
            let pauses: Vec<_> = calls.windows(2).map(|two| two[1].0 - two[0].0).collect();
            assert!(pauses.iter().all(|pause| *pause < Duration::from_millis(250)), "{pauses:?}");
            assert!(
                pauses[4] >= PUSHED_AGAIN / 2,
                "an agent that fails is not asked without end: {pauses:?}"
            );
        });
    }

    // Guards against a node that moves to a discovery whose first call is swallowed, or refused for want of a place in
    // its queue, and has no list from there when all of it counts as told.
    #[test]
    fn after_a_move_calls_that_fail_are_made_again_while_their_answer_would_be_in_time() {
        let swallowed: fn(usize, &str) -> Reply =
            |call, _| if call == 0 { Reply::Nothing } else { Reply::List(7) };
        let queue = Duration::from_secs(2);
        let refused: fn(usize, &str) -> Reply = |call, _| match call {
            0..=1 => Reply::Refused,
            call => Reply::After(call, Duration::from_secs(2), 7),
        };
        for (reply, least) in [(swallowed, Duration::ZERO), (refused, queue)] {
            for seed in 0..4 {
                play(async |log| {
                    let (old, _) = stand_in(|_, _| Reply::Nothing).await;
                    let (new, calls) = stand_in(reply).await;
                    let (mut heard, addresses) = client_at(old, seed, false, &log);
                    sleep(Duration::from_secs(1)).await;
                    let moved = Instant::now();
                    addresses.send_replace(new);
                    let took = list(&mut heard, 7).await - moved;
                    assert!(took >= least && took < MOVED, "{took:?}, {:?}", calls.borrow());
                    assert!(calls.borrow().iter().all(|(_, path)| path == "/v1/servers"));
                });
            }
        }
    }

    // Guards against a word that the old discovery writes while a node moves, and that nobody reads: it counts as told,
    // and the new one's list may be a queue away.
    #[test]
    fn what_the_old_discovery_tells_of_servers_that_leave_is_heeded_until_the_new_one_has_answered() {
        play(async |log| {
            let (old, _) = stand_in(|call, _| match call {
                0 => Reply::After(0, Duration::from_millis(1300), 2),
                _ => Reply::Nothing,
            })
            .await;
            let (new, calls) = stand_in(|call, _| match call {
                0 => Reply::After(0, Duration::from_millis(1900), 7),
                _ => Reply::Nothing,
            })
            .await;
            let (mut heard, addresses) = client_at(old, 1, false, &log);
            sleep(Duration::from_secs(1)).await;
            addresses.send_replace(new);
            let moved = Instant::now();
            let (told, word) = heard.recv().await.unwrap();
            let Input::Listing(word) = word else { panic!("a list: {word:?}") };
            let names: Vec<_> = word.hosts.iter().map(|host| (host.entry().id, host.health())).collect();
            assert_eq!(names, [("s-leaving".into(), "draining")], "and nothing of those that stay");
            assert!(!word.whole && told - moved < Duration::from_secs(1), "{:?}", told - moved);
            let came = list(&mut heard, 7).await;
            assert!(came - moved < MOVED, "{:?}", came - moved);
            while calls.borrow().len() < 2 {
                sleep(Duration::from_millis(10)).await;
            }
            assert!(calls.borrow()[1].1.contains("after=7&"), "{:?}", calls.borrow());
        });
    }

    // Guards against nodes that ask discovery together for ever after they have asked together once: its queue is
    // short, and who is refused there learns late of what its watch has missed.
    #[test]
    fn watches_opened_together_are_renewed_apart() {
        play(async |log| {
            const NODES: usize = 64;
            let (address, calls) = stand_in(|_, _| Reply::Nothing).await;
            let _heard: Vec<_> = (0..NODES as u64).map(|seed| client(address, seed, &log)).collect();
            while calls.borrow().len() < 2 * NODES {
                sleep(Duration::from_millis(100)).await;
            }
            let calls = calls.borrow();
            let again: Vec<_> = calls[NODES..2 * NODES].iter().map(|(at, _)| *at).collect();
            let most = (again.iter())
                .map(|from| again.iter().filter(|at| **at >= *from && **at - *from < TOLD).count());
            let most = most.max().unwrap();
            assert!(most <= NODES / 2, "{most} of {NODES} within discovery's queue");
        });
    }
}
