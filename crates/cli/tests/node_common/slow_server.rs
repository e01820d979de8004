//! A cache server to which connections take their time to come up.

use super::http::answer;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A cache server to which no connection comes up until it is told to accept; from then on it serves.
pub struct SlowServer {
    pub address: SocketAddr,
    listener: TcpListener,
    filling: Mutex<Vec<TcpStream>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl SlowServer {
    pub fn start() -> Self {
        // With its queue full a listener lets no connection come up; with room, the next try does, some time later.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            filling.push(stream);
        }
        Self {
            address,
            listener,
            filling: Mutex::new(filling),
            asked: Arc::default(),
        }
    }

    /// Connections that are on their way to it.
    pub fn waited_for(&self) -> usize {
        let address = format!(
            "{:08X}:{:04X}",
            u32::from_le_bytes([127, 0, 0, 1]),
            self.address.port()
        );
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = sockets
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        // Of state 2, which has sent its first packet.
        fields
            .filter(|fields| fields[2] == address && fields[3] == "02")
            .count()
    }

    /// What was asked of it, one text a connection: head and body as they came.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().unwrap().clone()
    }

    /// Lets connections come up, and gives the first that the node makes.
    pub fn accept_one(&self) -> TcpStream {
        let filling = std::mem::take(&mut *self.filling.lock().unwrap());
        let own: Vec<_> = filling
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                return stream;
            }
        }
    }

    /// Lets connections come up, and answers one request on each.
    pub fn accept(&self) {
        self.filling.lock().unwrap().clear();
        let (listener, asked) = (self.listener.try_clone().unwrap(), self.asked.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let asked = asked.clone();
                thread::spawn(move || {
                    let mut buffer = [0; 4096];
                    let read = stream.read(&mut buffer).unwrap_or(0);
                    if read > 0 {
                        asked
                            .lock()
                            .unwrap()
                            .push(String::from_utf8_lossy(&buffer[..read]).into_owned());
                        drop(stream.write_all(answer("200 OK", "", "value").as_bytes()));
                    }
                });
            }
        });
    }
}
