//! Discovery: the list of cache servers, complete or as a watch on changes.

use crate::http::read_message;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One cache server of the list.
#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"boston","class":"fast-1c","block":1,"health":"ready","share":1.0,"born_ms":0}}"#,
            self.id, self.address
        )
    }
}

/// The list in discovery's form.
pub fn list_json(version: u64, complete: bool, hosts: &[Host]) -> String {
    let hosts: Vec<_> = hosts.iter().map(Host::json).collect();
    format!(
        r#"{{"seq":{version},"whole":{complete},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

/// Version of the list, which does not change during a run.
pub const VERSION: u64 = 41;

/// Starts discovery and returns its address.
pub fn start(hosts: Vec<Host>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let hosts = Arc::new(hosts);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let hosts = hosts.clone();
            thread::spawn(move || {
                let _ = serve(stream, &hosts);
            });
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, hosts: &[Host]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        let query = request
            .second_word()
            .split_once('?')
            .map_or("", |(_, query)| query);
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name)?.1.parse().ok()
        };
        let body = if number("after") == Some(VERSION) {
            thread::sleep(Duration::from_millis(number("wait_ms").unwrap_or(0)));
            list_json(VERSION, false, &[])
        } else {
            list_json(VERSION, true, hosts)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}
