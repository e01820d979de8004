//! Discovery whose calls the test answers one by one.

use super::{http_response, Message, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// Discovery that hands each call to the test, which answers it.
pub struct ManualDiscovery {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

/// A call of the node that has not been answered yet.
pub struct Call {
    pub path: String,
    stream: TcpStream,
}

impl Call {
    pub fn answer(&mut self, list: &str) {
        self.stream
            .write_all(http_response("200 OK", "", list).as_bytes())
            .unwrap();
    }

    pub fn refuse(&mut self) {
        self.stream
            .write_all(http_response("503 Service Unavailable", "", "").as_bytes())
            .unwrap();
    }

    pub fn reset(self) {
        self.stream.shutdown(std::net::Shutdown::Both).unwrap();
    }
}

impl ManualDiscovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let call_sender = call_sender.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        let path = message.start.split(' ').nth(1).unwrap().to_owned();
                        if call_sender
                            .send(Call {
                                path,
                                stream: stream.try_clone().unwrap(),
                            })
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, calls }
    }

    pub fn next_call(&self) -> Call {
        self.calls
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the node made no further call to discovery")
    }
}

pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}
