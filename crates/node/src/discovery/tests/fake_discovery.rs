//! Fake discoveries: `ScriptedDiscovery` answers by a script, `ManualDiscovery` leaves the answers
//! to the test.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

fn response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads the path of the next request; `None` at the end of the connection.
async fn read_path(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    while matches!(stream.read_buf(&mut head).await, Ok(n) if n > 0) {
        if head.ends_with(b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&head);
            return Some(head.split(' ').nth(1).unwrap().to_owned());
        }
    }
    None
}

/// Returns the wait that a long poll requests.
pub fn wait_of(path: &str) -> Duration {
    Duration::from_millis(path.split_once("wait_ms=").unwrap().1.parse().unwrap())
}

/// Returns the JSON of a list, or of its changes, in discovery's format. Endpoints are pairs of id
/// and health.
fn list(version: u64, complete: bool, endpoints: &[(&str, &str)]) -> String {
    let endpoints: Vec<_> = endpoints
        .iter()
        .map(|(id, health)| format!("{{\"host\":\"{id}\",\"health\":\"{health}\"}}"))
        .collect();
    format!(
        "{{\"seq\":{version},\"whole\":{complete},\"hosts\":[{}]}}",
        endpoints.join(",")
    )
}

/// Returns the JSON of the changes up to a version.
pub fn changes(version: u64, endpoints: &[(&str, &str)]) -> String {
    list(version, false, endpoints)
}

/// Reaction of a scripted discovery to a call.
pub enum Reply {
    /// Answers at once with the complete list of this version.
    List(u64),
    /// Answers with the complete list of `version`, `delay` after the arrival of call number
    /// `call`.
    ListAfter {
        call: usize,
        delay: Duration,
        version: u64,
    },
    /// Answers 503.
    Refused,
    /// Closes the connection.
    Reset,
    /// Doesn't answer.
    Nothing,
}

/// A received call.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub at: Instant,
    pub path: String,
}

/// The calls received so far.
pub type ReceivedCalls = Rc<RefCell<Vec<ReceivedCall>>>;

/// A discovery that answers calls according to a script. Calls are numbered from 0 in the order of
/// their arrival.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    pub calls: ReceivedCalls,
}

impl ScriptedDiscovery {
    pub async fn start(script: impl Fn(usize, &str) -> Reply + 'static) -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").await.unwrap(), script)
    }

    pub fn start_on(
        listener: TcpListener,
        script: impl Fn(usize, &str) -> Reply + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let (calls, script) = (ReceivedCalls::default(), Rc::new(script));
        let received = calls.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(follow_script(stream, received.clone(), script.clone()));
            }
        });
        Self { address, calls }
    }

    /// Waits until at least this number of calls has been received.
    pub async fn received(&self, calls: usize) {
        while self.calls.borrow().len() < calls {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn follow_script(
    mut stream: TcpStream,
    calls: ReceivedCalls,
    script: Rc<impl Fn(usize, &str) -> Reply>,
) {
    while let Some(path) = read_path(&mut stream).await {
        let number = calls.borrow().len();
        let reply = script(number, &path);
        let at = Instant::now();
        calls.borrow_mut().push(ReceivedCall { at, path });
        let version = match reply {
            Reply::List(version) => version,
            Reply::ListAfter {
                call,
                delay,
                version,
            } => {
                while calls.borrow().len() <= call {
                    sleep(Duration::from_millis(10)).await;
                }
                sleep(delay).await;
                version
            }
            Reply::Refused => {
                stream.write_all(REFUSAL.as_bytes()).await.unwrap();
                continue;
            }
            Reply::Reset => return,
            Reply::Nothing => continue,
        };
        let endpoints = [("s-leaving", "draining"), ("s-staying", "ready")];
        let response = response(&list(version, true, &endpoints));
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A received call that the test answers.
pub struct PendingCall {
    pub at: Instant,
    pub path: String,
    stream: Rc<OwnedWriteHalf>,
    closed_by_client: Rc<Cell<bool>>,
}

impl PendingCall {
    fn write(&self, text: &str) {
        let written = self
            .stream
            .try_write(text.as_bytes())
            .expect("connection is open");
        assert_eq!(written, text.len());
    }

    pub fn answer(&self, body: &str) {
        self.write(&response(body));
    }

    pub fn refuse(&self) {
        self.write(REFUSAL);
    }

    /// Whether the client still has its connection open.
    pub fn is_open(&self) -> bool {
        !self.closed_by_client.get()
    }

    /// Closes the call's connection.
    pub fn reset(&self) {
        SockRef::from((*self.stream).as_ref())
            .shutdown(Shutdown::Both)
            .unwrap();
    }
}

/// A discovery that passes received calls to the test, which answers them.
pub struct ManualDiscovery {
    pub address: SocketAddr,
    pub calls: UnboundedReceiver<PendingCall>,
}

impl ManualDiscovery {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (received, calls) = unbounded_channel();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(forward_calls(stream, received.clone()));
            }
        });
        Self { address, calls }
    }

    pub async fn next_call(&mut self) -> PendingCall {
        self.calls.recv().await.unwrap()
    }
}

async fn forward_calls(stream: TcpStream, received: UnboundedSender<PendingCall>) {
    let (mut read_half, write_half) = stream.into_split();
    let write_half = Rc::new(write_half);
    let closed_by_client = Rc::new(Cell::new(false));
    while let Some(path) = read_path(&mut read_half).await {
        // Calls are dropped once the test has ended.
        let _ = received.send(PendingCall {
            at: Instant::now(),
            path,
            stream: write_half.clone(),
            closed_by_client: closed_by_client.clone(),
        });
    }
    closed_by_client.set(true);
}
