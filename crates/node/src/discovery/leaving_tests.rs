//! What a watch tells of servers that leave, where that crosses another call of the same node.

use super::tests::{client_at, list, play, QUEUE, TOLD_AFTER_FAILURE};
use super::*;
use socket2::SockRef;
use std::net::Shutdown;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::spawn_local;

/// Within so long of the word the driver must have it: the rule leaves 0.25 s, and the way to a server is part of that.
const AT_ONCE: Duration = Duration::from_millis(200);

/// A call that the test answers itself.
struct Asked {
    at: Instant,
    path: String,
    stream: Rc<OwnedWriteHalf>,
}

impl Asked {
    fn write(&self, text: &str) {
        let wrote = self.stream.try_write(text.as_bytes()).expect("a connection that stands");
        assert_eq!(wrote, text.len());
    }

    fn answer(&self, body: &str) {
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    fn refuse(&self) {
        self.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /// Ends its connection.
    fn reset(&self) {
        SockRef::from((*self.stream).as_ref()).shutdown(Shutdown::Both).unwrap();
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
                while matches!(reading.read_buf(&mut head).await, Ok(n) if n > 0) {
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let path = String::from_utf8_lossy(&head).split(' ').nth(1).unwrap().to_owned();
                    head.clear();
                    // A test that is over takes no more calls.
                    let _ = came.send(Asked { at: Instant::now(), path, stream: writing.clone() });
                }
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
    format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}", hosts.join(","))
}

// Guards against the older of two words, on the two watches of a renewal, that undoes what the later one told.
#[test]
fn an_older_word_on_the_other_watch_of_a_renewal_does_not_undo_a_drain() {
    for (later_on, written_first) in [("new", "new"), ("new", "old"), ("old", "new"), ("old", "old")] {
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
            let until = Instant::now() + AT_ONCE;
            let mut drained = false;
            while let Ok(Some((_, input))) = timeout_at(until, heard.recv()).await {
                let Input::Listing(listing) = input else { continue };
                for host in &listing.hosts {
                    let ready = host.entry().availability == Availability::Ready;
                    assert!(!(ready && drained), "{later_on}, {written_first}: version {}", listing.seq);
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
                b'r' => {
                    sleep(QUEUE).await;
                    call.refuse();
                }
                b'X' => call.reset(),
                _ => swallowed.push(call),
            }
        }
        let call = calls.recv().await.unwrap();
        spawn_local(async move {
            sleep(QUEUE).await;
            call.answer(&changes(2, &[("s-1", "draining")]));
            pending::<()>().await;
        });
        list(&mut heard, 2).await - start.expect("a call that fails")
    })
}

// Guards against a first call that fails, or is still in the queue, as a drain is told.
#[test]
fn a_first_call_that_is_refused_or_waits_in_the_queue_brings_a_drain_in_time() {
    for (meets, most) in [("", QUEUE + AT_ONCE), ("R", TOLD_AFTER_FAILURE), ("r", TOLD_AFTER_FAILURE)] {
        for seed in 0..3 {
            let took = match meets {
                "" => play(async |log| {
                    let (address, mut calls) = manual().await;
                    let mut heard = client_at(address, seed, false, &log).0;
                    let call = calls.recv().await.unwrap();
                    sleep(QUEUE).await;
                    call.answer(&changes(2, &[("s-1", "draining")]));
                    list(&mut heard, 2).await - call.at
                }),
                _ => after(0, meets, seed),
            };
            assert!(took < most, "{meets:?}: {took:?}");
        }
    }
}
