//! A cache server that delays the establishment of connections.

use super::http::http_response;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A cache server to which no connection is established until the test calls [`SlowServer::accept`]
/// or [`SlowServer::accept_one`].
pub struct SlowServer {
    pub address: SocketAddr,
    listener: TcpListener,
    queue_fillers: Mutex<Vec<TcpStream>>,
    received: Arc<Mutex<Vec<String>>>,
}

impl SlowServer {
    pub fn start() -> Self {
        // No connection is established while the listener's accept queue is full. Once there is
        // space, the next attempt of the kernel succeeds, some time later.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut queue_fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            queue_fillers.push(stream);
        }
        Self {
            address,
            listener,
            queue_fillers: Mutex::new(queue_fillers),
            received: Arc::default(),
        }
    }

    /// Number of connections to the server that are being established.
    pub fn pending_connections(&self) -> usize {
        let address = format!(
            "{:08X}:{:04X}",
            u32::from_le_bytes([127, 0, 0, 1]),
            self.address.port()
        );
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = sockets
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        // State 02 is SYN_SENT: the first packet is sent, the connection not yet established.
        fields
            .filter(|fields| fields[2] == address && fields[3] == "02")
            .count()
    }

    /// Received requests, one text per connection: head and body as received.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Allows connections to be established and returns the first one from the node.
    pub fn accept_one(&self) -> TcpStream {
        let queue_fillers = std::mem::take(&mut *self.queue_fillers.lock().unwrap());
        let filler_addresses: Vec<_> = queue_fillers
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !filler_addresses.contains(&from) {
                return stream;
            }
        }
    }

    /// Allows connections to be established and answers one request on each.
    pub fn accept(&self) {
        self.queue_fillers.lock().unwrap().clear();
        let (listener, requests) = (self.listener.try_clone().unwrap(), self.received.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let requests = requests.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    let bytes_read = stream.read(&mut buffer).unwrap_or(0);
                    if bytes_read > 0 {
                        requests
                            .lock()
                            .unwrap()
                            .push(String::from_utf8_lossy(&buffer[..bytes_read]).into_owned());
                        drop(stream.write_all(http_response("200 OK", "", "value").as_bytes()));
                    }
                });
            }
        });
    }
}
