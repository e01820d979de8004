//! Discovery that answers every call with the list that the test has published.

use super::http::{http_response, Message};
use super::waiting::{wait_for, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

struct PublishedList {
    seq: u64,
    body: String,
}

/// Discovery that records the requested paths, in order.
pub struct Discovery {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<String>>>,
    current_list: Arc<(Mutex<PublishedList>, Condvar)>,
}

impl Discovery {
    /// Starts discovery on a free port with a complete list of version 1.
    pub fn start(hosts: &[Value]) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), hosts)
    }

    /// Starts discovery at this address with a complete list of version 1.
    pub fn start_at(address: SocketAddr, hosts: &[Value]) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let body = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let current_list = Arc::new((Mutex::new(PublishedList { seq: 1, body }), Condvar::new()));
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let (shared_list, shared_received) = (current_list.clone(), received.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (current_list, received) = (shared_list.clone(), shared_received.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        let path = message.start.split(' ').nth(1).unwrap().to_owned();
                        let after = path
                            .split_once("after=")
                            .map(|(_, value)| value.split('&').next().unwrap());
                        let after = after.map_or(0, |after| after.parse().unwrap());
                        received.lock().unwrap().push(path);
                        let (list, changed) = &*current_list;
                        let list = changed
                            .wait_timeout_while(list.lock().unwrap(), WAIT_TIMEOUT, |list| {
                                list.seq <= after
                            })
                            .unwrap()
                            .0;
                        if stream
                            .write_all(http_response("200 OK", "", &list.body).as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Self {
            address,
            received,
            current_list,
        }
    }

    /// Publishes a complete list (`whole`) or a delta, with the next version.
    pub fn publish(&self, whole: bool, hosts: &[Value]) {
        let seq = self.current_list.0.lock().unwrap().seq + 1;
        self.publish_text(json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string());
    }

    /// Answers pending calls, and later calls until the next publication, with this text.
    pub fn publish_text(&self, body: String) {
        let mut current_list = self.current_list.0.lock().unwrap();
        *current_list = PublishedList {
            seq: current_list.seq + 1,
            body,
        };
        self.current_list.1.notify_all();
    }

    pub fn call_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Waits until the node has applied the list of this version, which its next watch confirms.
    pub fn wait_until_applied(&self, seq: u64) {
        let next = format!("after={seq}&");
        wait_for("the watch that follows the applied list", || {
            self.received
                .lock()
                .unwrap()
                .iter()
                .any(|path| path.contains(&next))
        });
    }
}
