//! Tests of the learnt idle timeout, of the checks before a request starts on a reused connection,
//! and of the classification of local errors.

use super::idle_history::{IdleHistory, HISTORY_LIFETIME};
use super::is_local_resource_error;
use super::pool::{EndpointPool, PooledConnection};
use super::socket::EndpointSocket;
use super::write_progress::WriteProgress;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slatelink_admission::{Budget, ConnectionKind, Quota};
use slatelink_policy::Endpoint;
use socket2::SockRef;
use std::io::{self, Write as _};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Records `requests` requests on connections that had been idle for `idle_ms`, the first `lost` of
/// these requests as lost.
fn record(history: &mut IdleHistory, idle_ms: u64, requests: u32, lost: u32, now: Instant) {
    for request in 0..requests {
        history.record(Duration::from_millis(idle_ms), request < lost, now);
    }
}

// Guards against requests lost on connections that endpoints have dropped without notice.
#[test]
fn idle_timeout_is_learnt_from_dropped_connections_and_later_discarded() {
    let now = Instant::now();
    let mut history = IdleHistory::new(MAX_IDLE_TIMEOUT, now);
    record(&mut history, 5, 100, 4, now);
    record(&mut history, 200, 4, 2, now);
    assert_eq!(
        history.idle_timeout(),
        MAX_IDLE_TIMEOUT,
        "two drops are too few"
    );
    record(&mut history, 200, 4, 2, now);
    assert_eq!(history.idle_timeout(), Duration::from_millis(128));
    record(&mut history, 5, 1, 0, now + HISTORY_LIFETIME);
    assert_eq!(
        history.idle_timeout(),
        MAX_IDLE_TIMEOUT,
        "discarded after its lifetime"
    );
}

// Guards against a short idle timeout, and thus a handshake for each request, where connections
// break independently of their idle time.
#[test]
fn losses_independent_of_idle_time_leave_the_idle_timeout_unchanged() {
    let now = Instant::now();
    let mut history = IdleHistory::new(MAX_IDLE_TIMEOUT, now);
    for idle_ms in [0, 1, 10, 100, 1_000, 10_000, 100_000] {
        record(&mut history, idle_ms, 30, 9, now);
    }
    assert_eq!(history.idle_timeout(), MAX_IDLE_TIMEOUT);
}

/// Connects a socket to a listener, and returns the socket with its write progress.
async fn connect_to(listener: &TcpListener) -> (EndpointSocket, Rc<WriteProgress>) {
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let progress = Rc::new(WriteProgress::default());
    let socket = EndpointSocket {
        stream: TokioIo::new(stream),
        progress: progress.clone(),
    };
    (socket, progress)
}

fn poll_write(socket: &mut EndpointSocket) -> Poll<io::Result<usize>> {
    let mut cx = Context::from_waker(Waker::noop());
    hyper::rt::Write::poll_write(Pin::new(socket), &mut cx, b"GET")
}

// Guards against data left in a reused connection's socket (a duplicate of a response, or noise)
// being taken for the response to the next request. hyper detects such data only if the runtime has
// polled the socket in between.
#[tokio::test]
async fn request_does_not_start_on_a_reused_connection_with_data_to_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut socket, progress) = connect_to(&listener).await;
    let mut endpoint = listener.accept().unwrap().0;
    progress.reused.set(true);
    assert!(
        matches!(poll_write(&mut socket), Poll::Ready(Ok(3))),
        "the socket has no data to read"
    );
    endpoint.write_all(b"HTTP/1.1 200 OK\r\n").unwrap();
    while SockRef::from(socket.stream.inner())
        .peek(&mut [MaybeUninit::uninit()])
        .is_err()
    {
        std::thread::yield_now();
    }
    // A response may arrive while its request is still being written.
    assert!(
        matches!(poll_write(&mut socket), Poll::Ready(Ok(3))),
        "the data is the request's own response"
    );
    progress.started.set(false);
    let rejected_write = poll_write(&mut socket);
    assert!(
        matches!(&rejected_write, Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::ConnectionAborted),
        "{rejected_write:?}"
    );
    assert!(
        !progress.started.get(),
        "no byte was written, so another connection may be used"
    );
    // A new connection cannot hold data of an earlier request.
    progress.reused.set(false);
    assert!(matches!(poll_write(&mut socket), Poll::Ready(Ok(3))));
}

// Guards against a shortage of the node's own resources that counts against the endpoint to which
// the node was connecting.
#[test]
fn shortage_of_descriptors_memory_or_addresses_is_a_local_resource_error() {
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

// Guards against a connection that is returned to the pool unused and then treated as new: only
// reused connections are checked for data to read.
#[tokio::test]
async fn connection_returned_to_the_pool_unused_counts_as_reused() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (socket, progress) = connect_to(&listener).await;
        let (sender, connection_driver) = http1::Builder::new().handshake(socket).await.unwrap();
        let task =
            tokio::task::spawn_local(async move { drop(connection_driver.await) }).abort_handle();
        let quota = Quota {
            reserved: 0,
            limit: 1,
        };
        let budget = Budget::new(1, [quota; 3], 0).unwrap();
        let connection = PooledConnection {
            incarnation: 0,
            sender,
            progress: progress.clone(),
            task,
            idle_since: Instant::now(),
            _lease: budget.lease(ConnectionKind::Upstream).unwrap(),
        };
        let pool = EndpointPool::new(&Endpoint::new("a"), listener.local_addr().unwrap());
        assert!(!progress.reused.get(), "the connection is new");
        pool.put_idle(connection);
        assert!(progress.reused.get());
        assert_eq!(pool.idle.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
