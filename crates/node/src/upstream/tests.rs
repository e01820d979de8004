use super::idle_history::HISTORY_LIFETIME;
use super::*;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};

const STATED: Duration = Duration::from_secs(30);

/// Requests on connections that had stood idle for so many milliseconds, of which so many were lost.
fn notes(idle_history: &mut IdleHistory, idle: u64, all: u32, lost: u32, now: Instant) {
    (0..all).for_each(|i| idle_history.record(Duration::from_millis(idle), i < lost, now));
}

// Guards against requests lost on connections that servers have dropped without a word.
#[test]
fn an_idle_time_after_which_connections_are_dropped_is_learnt_and_forgotten() {
    let now = Instant::now();
    let mut idle_history = IdleHistory::new(STATED, now);
    notes(&mut idle_history, 5, 100, 4, now);
    notes(&mut idle_history, 200, 4, 2, now);
    assert_eq!(idle_history.limit(), STATED, "two drops are too few");
    notes(&mut idle_history, 200, 4, 2, now);
    assert_eq!(idle_history.limit(), Duration::from_millis(128));
    notes(&mut idle_history, 5, 1, 0, now + HISTORY_LIFETIME);
    assert_eq!(idle_history.limit(), STATED, "tried again after a while");
}

// Guards against a handshake for each request where connections break at any time.
#[test]
fn breaks_that_do_not_grow_with_idleness_leave_connections_kept() {
    let now = Instant::now();
    let mut idle_history = IdleHistory::new(STATED, now);
    for idle in [0, 1, 10, 100, 1_000, 10_000, 100_000] {
        notes(&mut idle_history, idle, 30, 9, now);
    }
    assert_eq!(idle_history.limit(), STATED);
}

// Guards against what lies in a kept connection's socket, a second copy of an answer or noise, taken for the answer to
// the request that is written next. hyper sees it only where the runtime has polled in between.
#[tokio::test]
async fn a_kept_connection_with_something_to_read_takes_no_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let mut server = listener.accept().unwrap().0;
    let progress = Rc::new(WriteProgress::default());
    let mut watched = WatchedSocket {
        stream: TokioIo::new(stream),
        progress: progress.clone(),
    };
    let write = |watched: &mut WatchedSocket| {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        hyper::rt::Write::poll_write(Pin::new(watched), &mut cx, b"GET")
    };
    progress.reused.set(true);
    assert!(
        matches!(write(&mut watched), Poll::Ready(Ok(3))),
        "nothing lies there"
    );
    io::Write::write_all(&mut server, b"HTTP/1.1 200 OK\r\n").unwrap();
    while SockRef::from(watched.stream.inner())
        .peek(&mut [MaybeUninit::uninit()])
        .is_err()
    {
        std::thread::yield_now();
    }
    // An answer may come while a request is still being written.
    assert!(
        matches!(write(&mut watched), Poll::Ready(Ok(3))),
        "the request's own answer"
    );
    progress.begun.set(false);
    let refused = write(&mut watched);
    assert!(
        matches!(&refused, Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::ConnectionAborted),
        "{refused:?}"
    );
    assert!(
        !progress.begun.get(),
        "not a byte went out: another connection serves"
    );
    // On a new one there can be nothing of a request before.
    progress.reused.set(false);
    assert!(matches!(write(&mut watched), Poll::Ready(Ok(3))));
}

// Guards against a node's own want of memory that is held against the server it meant to ask.
#[test]
fn a_want_of_descriptors_memory_or_addresses_is_the_nodes_own() {
    for code in [
        libc::ENOMEM,
        libc::ENFILE,
        libc::EMFILE,
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
    ] {
        assert!(
            is_local_resource_error(&io::Error::from_raw_os_error(code)),
            "{code}"
        );
    }
    assert!(!is_local_resource_error(&io::Error::from_raw_os_error(
        libc::ECONNREFUSED
    )));
}

// Guards against a connection that is kept though it has carried nothing, and taken for a new one: what lies in it is looked
// for only on one that has stood idle.
#[tokio::test]
async fn a_connection_kept_unused_is_looked_at_before_its_first_request() {
    let run = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let progress = Rc::new(WriteProgress::default());
        let watched = WatchedSocket {
            stream: TokioIo::new(stream),
            progress: progress.clone(),
        };
        let (sender, driving) = http1::Builder::new().handshake(watched).await.unwrap();
        let task = tokio::task::spawn_local(async move { drop(driving.await) }).abort_handle();
        let share = slatelink_admission::Quota {
            reserved: 0,
            limit: 1,
        };
        let budget = Budget::new(1, [share; 3], 0).unwrap();
        let _lease = budget.lease(ConnectionKind::Upstream).unwrap();
        let connection = Connection {
            incarnation: 0,
            sender,
            progress: progress.clone(),
            task,
            idle_since: Instant::now(),
            _lease,
        };
        let (dial, started) = (Cell::new(listener.local_addr().unwrap()), Cell::default());
        let (incarnation, accepts_requests, idle) =
            (Cell::default(), Cell::new(true), RefCell::default());
        let peer = Peer {
            dial,
            started,
            incarnation,
            accepts_requests,
            idle,
        };
        assert!(!progress.reused.get(), "a new one");
        peer.keep(connection);
        assert!(progress.reused.get());
        assert_eq!(peer.idle.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
