//! What a watch tells of servers that leave, where that crosses another call of the same node.

use super::notified::*;
use super::tests::{client_at, list, play, wait_of};
use super::timing::*;
use super::*;
use slatelink_policy::Availability;
use slatelink_policy::Settings;
use socket2::SockRef;
use std::cell::Cell;
use std::net::Shutdown;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::{sleep_until, timeout_at};

/// Within so long of the word the driver must have it: the rule leaves 0.25 s, and the way to a server is part of that.
const PROMPTLY: Duration = Duration::from_millis(200);

/// A call that the test answers itself.
struct Asked {
    at: Instant,
    path: String,
    stream: Rc<OwnedWriteHalf>,
    /// The node has closed its connection.
    closed: Rc<Cell<bool>>,
}

impl Asked {
    fn write(&self, text: &str) {
        let wrote = self
            .stream
            .try_write(text.as_bytes())
            .expect("a connection that stands");
        assert_eq!(wrote, text.len());
    }

    fn answer(&self, body: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    fn refuse(&self) {
        self.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /// Whether its connection is still open at the node.
    fn stands(&self) -> bool {
        !self.closed.get()
    }

    /// Ends its connection.
    fn reset(&self) {
        SockRef::from((*self.stream).as_ref())
            .shutdown(Shutdown::Both)
            .unwrap();
    }
}

/// A discovery whose calls the test answers.
async fn manual() -> (SocketAddr, UnboundedReceiver<Asked>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (came, calls) = unbounded_channel();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let came = came.clone();
            spawn_local(async move {
                let (mut reading, writing) = stream.into_split();
                let (mut head, writing) = (Vec::new(), Rc::new(writing));
                let closed = Rc::new(Cell::new(false));
                while matches!(reading.read_buf(&mut head).await, Ok(n) if n > 0) {
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let path = String::from_utf8_lossy(&head)
                        .split(' ')
                        .nth(1)
                        .unwrap()
                        .to_owned();
                    head.clear();
                    // A test that is over takes no more calls.
                    let (at, stream, closed) = (Instant::now(), writing.clone(), closed.clone());
                    let _ = came.send(Asked {
                        at,
                        path,
                        stream,
                        closed,
                    });
                }
                closed.set(true);
            });
        }
    });
    (address, calls)
}

fn changes(seq: u64, hosts: &[(&str, &str)]) -> String {
    let hosts: Vec<_> = hosts
        .iter()
        .map(|(name, health)| format!("{{\"host\":\"{name}\",\"health\":\"{health}\"}}"))
        .collect();
    format!(
        "{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}",
        hosts.join(",")
    )
}

/// Waits until the driver hears that this server leaves; `None` if it does not in this time.
async fn heard_leaving(
    heard: &mut UnboundedReceiver<(Instant, DriverEvent)>,
    name: &str,
    within: Duration,
) -> Option<Instant> {
    let until = Instant::now() + within;
    while let Ok(Some((at, input))) = timeout_at(until, heard.recv()).await {
        let DriverEvent::EndpointListReceived(list) = input else {
            continue;
        };
        let leaves = |host: &slatelink_config::EndpointRecord| {
            host.endpoint().id.as_str() == name
                && host.endpoint().availability != Availability::Ready
        };
        if list.endpoints.iter().any(leaves) {
            return Some(at);
        }
    }
    None
}

// Guards against a word that is dropped unread with the watch that it was written to, because the other watch had one too:
// written, it counts as told, and the next call may stand in discovery's queue.
#[test]
fn words_on_both_watches_of_a_renewal_are_both_heeded_at_once() {
    let mut missed = Vec::new();
    // Which of the two the drain of the later version is told on.
    for later_on in ["new", "old"] {
        let came = play(async |log| {
            let (address, mut calls) = manual().await;
            let mut heard = client_at(address, 1, false, &log).0;
            let old = calls.recv().await.unwrap();
            let new = calls.recv().await.unwrap();
            assert_eq!(old.path, new.path, "a renewal");
            let (first, second) = if later_on == "new" {
                (&old, &new)
            } else {
                (&new, &old)
            };
            // The word of the later version is long: the other one is read before it.
            let mut later = vec![("s-1", "draining"), ("s-2", "draining")];
            later.extend([("s-other", "ready")].repeat(2_000));
            second.answer(&changes(3, &later));
            first.answer(&changes(2, &[("s-1", "draining")]));
            // The call that follows is not answered.
            heard_leaving(&mut heard, "s-2", PROMPTLY).await
        });
        if came.is_none() {
            missed.push(later_on);
        }
    }
    assert!(
        missed.is_empty(),
        "the drain that was told on the watch that is {missed:?} is not heeded"
    );
}

// The same for the old discovery's watch, where the new one's list comes in that moment.
#[test]
fn a_word_of_the_old_discovery_that_comes_with_the_new_ones_list_is_heeded_at_once() {
    play(async |log| {
        let ((old, mut old_calls), (new, mut new_calls)) = (manual().await, manual().await);
        let (mut heard, addresses) = client_at(old, 1, false, &log);
        let watch = old_calls.recv().await.unwrap();
        addresses.send_replace(new);
        let whole = new_calls.recv().await.unwrap();
        assert_eq!(whole.path, "/v1/servers");
        whole.answer(&changes(5, &[("s-2", "ready")]));
        watch.answer(&changes(6, &[("s-1", "draining")]));
        // The call that follows is not answered.
        let came = heard_leaving(&mut heard, "s-1", PROMPTLY).await;
        assert!(came.is_some(), "a drain that was written, and so told");
    });
}

// Guards against the older of two words, on the two watches of a renewal, that undoes what the later one told.
#[test]
fn an_older_word_on_the_other_watch_of_a_renewal_does_not_undo_a_drain() {
    for (later_on, written_first) in [
        ("new", "new"),
        ("new", "old"),
        ("old", "new"),
        ("old", "old"),
    ] {
        play(async |log| {
            let (address, mut calls) = manual().await;
            let mut heard = client_at(address, 1, false, &log).0;
            let (old, new) = (calls.recv().await.unwrap(), calls.recv().await.unwrap());
            assert_eq!(old.path, new.path, "a renewal");
            let write = |watch: &Asked, name: &str| match name == later_on {
                true => watch.answer(&changes(3, &[("s-1", "draining")])),
                false => watch.answer(&changes(2, &[("s-1", "ready")])),
            };
            let mut words = [(&old, "old"), (&new, "new")];
            words.sort_by_key(|(_, name)| *name != written_first);
            words.iter().for_each(|(watch, name)| write(watch, name));
            let until = Instant::now() + PROMPTLY;
            let mut drained = false;
            while let Ok(Some((_, input))) = timeout_at(until, heard.recv()).await {
                let DriverEvent::EndpointListReceived(list) = input else {
                    continue;
                };
                for host in &list.endpoints {
                    let ready = host.endpoint().availability == Availability::Ready;
                    assert!(
                        !(ready && drained),
                        "{later_on}, {written_first}: version {}",
                        list.version
                    );
                    drained |= !ready;
                }
            }
        });
    }
}

/// What the calls of a node meet, one letter each: R is refused at once, r after its wait in the queue, X reset, and -
/// swallowed. The one after them stands in the queue and is answered. How long after the end of the first one that failed
/// that answer came.
fn after(first: usize, meets: &'static str, seed: u64) -> Duration {
    play(async |log| {
        let (address, mut calls) = manual().await;
        let mut heard = client_at(address, seed, false, &log).0;
        let mut swallowed = Vec::new();
        let mut start = None;
        for (i, meets) in meets.bytes().enumerate() {
            let call = calls.recv().await.unwrap();
            if i == first {
                start = Some(call.at);
            }
            match meets {
                b'R' => call.refuse(),
                // In the queue from when it came, also beside another call.
                b'r' => drop(spawn_local(async move {
                    sleep_until(call.at + QUEUE_LIMIT).await;
                    call.refuse();
                })),
                b'X' => call.reset(),
                _ => swallowed.push(call),
            }
        }
        let call = calls.recv().await.unwrap();
        spawn_local(async move {
            sleep_until(call.at + QUEUE_LIMIT).await;
            call.answer(&changes(2, &[("s-1", "draining")]));
            std::future::pending::<()>().await;
        });
        list(&mut heard, 2).await - start.expect("a call that fails")
    })
}

// Guards against two failed calls in a row that together outlast the time in which a change counts as told: two refusals
// that each stood in the queue, two calls that are swallowed.
#[test]
fn after_two_calls_in_a_row_that_fail_late_a_change_is_brought_before_it_counts_as_told() {
    let mut late = Vec::new();
    // An open watch that is reset, or a renewal beside a silent one that is refused, and two more.
    for (first, meets) in [
        (0, "Xrr"),
        (0, "X--"),
        (0, "Xr-"),
        (0, "X-r"),
        (1, "-rr"),
        (1, "-R--"),
    ] {
        let took = (0..2).map(|seed| after(first, meets, seed)).max().unwrap();
        println!("{meets}: {took:?}");
        assert!(took >= QUEUE_LIMIT, "{meets}: {took:?}");
        if took >= NOTIFIED_AFTER_FAILED_CALL {
            late.push((meets, took));
        }
    }
    assert!(
        late.is_empty(),
        "later than {NOTIFIED_AFTER_FAILED_CALL:?}: {late:?}"
    );
}

// Guards against a first call that fails, or is still in the queue, as a drain is told.
#[test]
fn a_first_call_that_is_refused_or_waits_in_the_queue_brings_a_drain_in_time() {
    for (meets, most) in [
        ("", QUEUE_LIMIT + PROMPTLY),
        ("R", NOTIFIED_AFTER_FAILED_CALL),
        ("r", NOTIFIED_AFTER_FAILED_CALL),
    ] {
        for seed in 0..3 {
            let took = match meets {
                "" => play(async |log| {
                    let (address, mut calls) = manual().await;
                    let mut heard = client_at(address, seed, false, &log).0;
                    let call = calls.recv().await.unwrap();
                    sleep(QUEUE_LIMIT).await;
                    call.answer(&changes(2, &[("s-1", "draining")]));
                    list(&mut heard, 2).await - call.at
                }),
                _ => after(0, meets, seed),
            };
            assert!(took < most, "{meets:?}: {took:?}");
        }
    }
}

// Guards against a first call that is swallowed and noticed only when it is renewed: discovery has heard nothing of the node,
// which counts as told once it has neither watched nor asked for the settings' time.
#[test]
fn a_first_call_that_is_swallowed_is_followed_before_the_settings_time_is_over() {
    let within = Settings::default().max_poll_interval;
    let took = (0..3).map(|seed| after(0, "-", seed)).max().unwrap();
    assert!(took < within, "{took:?} of {within:?}");
}

/// A client that has just renewed its watch: what it hears, its further calls, the watch and the one that renews it.
async fn renewed(
    seed: u64,
    log: &Log,
) -> (
    UnboundedReceiver<(Instant, DriverEvent)>,
    UnboundedReceiver<Asked>,
    Asked,
    Asked,
) {
    let (address, mut calls) = manual().await;
    let heard = client_at(address, seed, false, log).0;
    let old = calls.recv().await.unwrap();
    let new = calls.recv().await.unwrap();
    (heard, calls, old, new)
}

// Guards against an old watch that is given up for a new one which is silent: a call that was given up makes each change
// count as told 6 s after discovery had it.
#[test]
fn after_an_old_watch_was_given_up_for_a_silent_one_a_change_is_brought_within_six_seconds() {
    let mut late = Vec::new();
    // How long after the renewal the change is made: while the renewal may wait for its turn, once it no longer may, and
    // up to the next one.
    for change_after in [0, 1_000, 3_100, 6_000, 9_000, 12_000, 16_000].map(Duration::from_millis) {
        for seed in 0..3 {
            let took = play(async |log| {
                let (mut heard, mut calls, old, silent) = renewed(seed, &log).await;
                let changed = silent.at + change_after;
                let mut watching = vec![old];
                while let Ok(Some(call)) = timeout_at(changed, calls.recv()).await {
                    watching.push(call);
                }
                // It is written to all watches that are still open but to the silent one, and to a call that comes later once
                // that has had its turn.
                let change = changes(2, &[("s-1", "draining")]);
                watching
                    .iter()
                    .filter(|call| call.stands())
                    .for_each(|call| call.answer(&change));
                spawn_local(async move {
                    while let Some(call) = calls.recv().await {
                        sleep(QUEUE_LIMIT).await;
                        call.answer(&change);
                    }
                });
                list(&mut heard, 2).await - changed
            });
            if took >= NOTIFIED_AFTER_FAILED_CALL {
                late.push((change_after, seed, took));
            }
        }
    }
    assert!(
        late.is_empty(),
        "change after the renewal, seed, brought so long after it: {late:?}"
    );
}

// Guards against a node that hears a change by the watch that it renewed, and goes on with the silent one that renewed it: what
// changes within 200 ms of that answer counts as told, unless a call follows.
#[test]
fn after_a_change_that_only_the_renewed_watch_brought_a_call_follows_for_the_next_one() {
    for seed in 0..3 {
        let took = play(async |log| {
            let (mut heard, mut calls, old, silent) = renewed(seed, &log).await;
            sleep_until(silent.at + RENEWAL_OVERLAP + Duration::from_secs(1)).await;
            assert!(old.stands(), "a closed watch is a call that was given up");
            let answered = Instant::now();
            old.answer(&changes(2, &[("s-1", "draining")]));
            spawn_local(async move {
                while let Some(call) = calls.recv().await {
                    sleep(QUEUE_LIMIT).await;
                    call.answer(&changes(3, &[("s-2", "draining")]));
                }
                drop(silent);
            });
            list(&mut heard, 3).await - answered
        });
        assert!(took < QUEUE_LIMIT + PROMPTLY, "seed {seed}: {took:?}");
    }
}

/// What a call takes of the one discovery, by the number of nodes: as measured at 6 and 300, and the latter for 350.
const FLEETS: [(u64, Duration); 3] = [
    (6, Duration::from_millis(350)),
    (300, Duration::from_micros(13_600)),
    (350, Duration::from_micros(13_600)),
];

/// A discovery that handles calls in turn, each in this time, and refuses at once those that would wait for longer than its
/// queue. All that is open is reset once, and all that is asked for after that is told a new version at its turn.
async fn in_turn(takes: Duration) -> (SocketAddr, Rc<Notify>, Rc<Cell<u32>>) {
    let (address, mut calls) = manual().await;
    let lose = Rc::new(Notify::new());
    let lost = lose.clone();
    let refused: Rc<Cell<u32>> = Rc::default();
    let refusals = refused.clone();
    spawn_local(async move {
        let (mut free, mut open, mut version) = (Instant::now(), Vec::new(), 1);
        loop {
            tokio::select! {
                () = lost.notified() => {
                    version = 2;
                    open.drain(..).for_each(|call: Asked| call.reset());
                    free = Instant::now();
                }
                call = calls.recv() => {
                    let Some(call) = call else { return };
                    if version == 1 {
                        open.push(call);
                        continue;
                    }
                    let now = Instant::now();
                    free = free.max(now);
                    if free - now > QUEUE_LIMIT {
                        refusals.set(refusals.get() + 1);
                        call.refuse();
                        continue;
                    }
                    free += takes;
                    let turn = free;
                    spawn_local(async move {
                        sleep_until(turn).await;
                        if call.path.contains("after=1&") {
                            call.answer(&changes(2, &[("s-1", "draining")]));
                            return;
                        }
                        // Nothing comes that is newer.
                        sleep(wait_of(&call.path)).await;
                        if call.stands() {
                            call.answer(&changes(2, &[]));
                        }
                    });
                }
            }
        }
    });
    (address, lose, refused)
}

/// A client of discovery that holds version 1, with a module that says when to follow after a pause drawn as the module's.
fn drawn_client(
    address: SocketAddr,
    seed: u64,
    log: &Log,
) -> UnboundedReceiver<(Instant, DriverEvent)> {
    let (events, mut inputs) = unbounded_channel();
    let (told, heard) = unbounded_channel();
    let (addresses, address) = watch::channel(address);
    let random = fastrand::Rng::with_seed(seed);
    let Settings {
        drain_grace,
        max_poll_interval,
        ..
    } = Settings::default();
    let options = DiscoveryOptions {
        address,
        version: Some(1),
        pushed: false,
        drain_grace,
        max_poll_interval,
        random,
        events,
        log: log.clone(),
    };
    let poll_requested = Rc::new(Notify::new());
    poll_requested.notify_one();
    spawn_local(run(options, poll_requested.clone()));
    spawn_local(async move {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x9e37);
        while let Some(input) = inputs.recv().await {
            let failed = matches!(input, DriverEvent::DiscoveryFailed);
            if told.send((Instant::now(), input)).is_err() {
                return;
            }
            if failed {
                sleep(Duration::from_millis(random.u64(360..840))).await;
                poll_requested.notify_one();
            }
        }
        drop(addresses);
    });
    heard
}

// Guards against a fleet that has lost its watches together and asks discovery for more than that can answer in the time in
// which changes count as told.
#[test]
fn a_large_fleet_that_loses_its_watches_together_has_the_list_before_that_counts_as_told() {
    let mut late = Vec::new();
    for (nodes, takes) in FLEETS {
        let took = play(async |log| {
            let (address, lose, refused) = in_turn(takes).await;
            let mut fleet: Vec<_> = (0..nodes)
                .map(|seed| drawn_client(address, seed, &log))
                .collect();
            sleep(Duration::from_secs(3)).await;
            lose.notify_one();
            let lost = Instant::now();
            let mut took = Vec::new();
            for heard in &mut fleet {
                took.push(list(heard, 2).await - lost);
            }
            took.sort_unstable();
            println!(
                "{nodes} nodes: refused {}, half {:?}, last {:?}",
                refused.get(),
                took[took.len() / 2],
                took[took.len() - 1]
            );
            took
        });
        let missed = took
            .iter()
            .filter(|took| **took >= NOTIFIED_AFTER_FAILED_CALL)
            .count();
        if missed > 0 {
            late.push((nodes, missed, took[took.len() - 1]));
        }
    }
    assert!(
        late.is_empty(),
        "of so many nodes so many were late, the last one by then: {late:?}"
    );
}
