//! `slatelink multi-get`: asks a node's side port for many keys and prints a line for each.

use crate::exit::{CommandResult, UNUSABLE};
use crate::runtime::single_threaded_runtime;
use bytes::Bytes;
use clap::Args;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1 as client;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use slatelink_config::operators::DEFAULT_MAX_ITEMS;
use std::collections::HashSet;
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

/// A line holds a body, every byte of it escaped at worst, and a key.
const LONGEST_LINE: usize = 1 << 20;

#[derive(Serialize)]
struct Item<'a> {
    key: &'a str,
    req_id: String,
}

/// What stands for a key whose line has not come.
#[derive(Serialize)]
struct Partial<'a> {
    i: usize,
    key: &'a str,
    partial: bool,
}

/// Asks a node's side port for many keys.
#[derive(Args)]
pub struct Command {
    /// The side port's address
    #[arg(long, value_name = "ADDR:PORT")]
    node: SocketAddr,
    /// The class of the requests
    #[arg(long)]
    kind: String,
    /// What is unfinished after so many milliseconds is printed as partial
    #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u32).range(1..))]
    deadline_ms: u32,
    /// More keys than this are refused, as the node does past its own `max_items`
    #[arg(long, value_name = "N", default_value_t = DEFAULT_MAX_ITEMS)]
    max_items: usize,
    /// The keys; one line is printed for each, in this order
    #[arg(required = true)]
    keys: Vec<String>,
}

impl Command {
    /// Asks, and prints a line for each key.
    pub fn run(self) -> CommandResult {
        single_threaded_runtime()?.block_on(self.ask_and_print())
    }

    async fn ask_and_print(self) -> CommandResult {
        if self.keys.len() > self.max_items {
            eprintln!(
                "slatelink: {} keys are more than {}",
                self.keys.len(),
                self.max_items
            );
            return Ok(ExitCode::from(UNUSABLE));
        }
        let until = Instant::now() + Duration::from_millis(self.deadline_ms.into());
        let mut ordered = Ordered {
            next: 0,
            lines: vec![None; self.keys.len()],
        };
        let asked = timeout_at(until, self.ask(until, &mut ordered)).await;
        let mut out = io::stdout().lock();
        for (i, key) in self.keys.iter().enumerate().skip(ordered.next) {
            match ordered.lines[i].take() {
                Some(line) => out.write_all(&line)?,
                None => writeln!(
                    out,
                    "{}",
                    serde_json::to_string(&Partial {
                        i,
                        key,
                        partial: true
                    })?
                )?,
            }
        }
        out.flush()?;
        match asked {
            // Time that is up is an answer too, and the lines tell of it.
            Ok(Ok(())) | Err(_) => Ok(ExitCode::SUCCESS),
            Ok(Err(error)) => Err(format!("{}: {error}", self.node).into()),
        }
    }

    async fn ask(&self, until: Instant, ordered: &mut Ordered) -> Result<(), Box<dyn Error>> {
        let stream = TcpStream::connect(self.node).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
        // How it ends shows at the answer.
        let mut driving = JoinSet::new();
        driving.spawn(connection);
        let mut ids = HashSet::new();
        while ids.len() < self.keys.len() {
            ids.insert(format!("{:016x}", fastrand::u64(..)));
        }
        let items = self
            .keys
            .iter()
            .zip(ids)
            .map(|(key, req_id)| Item { key, req_id });
        let body = serde_json::to_vec(&items.collect::<Vec<_>>())?;
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let request = Request::post("/multi")
            .header(HOST, self.node.to_string())
            .header("req-kind", &self.kind)
            .header("req-deadline-ms", left.to_string())
            .body(Full::new(Bytes::from(body)))?;
        let mut response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let why = response.into_body().collect().await?.to_bytes();
            return Err(format!("{status}: {}", String::from_utf8_lossy(&why)).into());
        }
        let mut read = Vec::new();
        while let Some(frame) = response.frame().await {
            read.extend(frame?.into_data().unwrap_or_default());
            while let Some(end) = read.iter().position(|&byte| byte == b'\n') {
                ordered.take(read.drain(..=end).collect())?;
            }
            if read.len() > LONGEST_LINE {
                return Err("a line is longer than any item".into());
            }
        }
        Ok(())
    }
}

/// Lines in the order of the keys: one that comes early waits for those before it.
struct Ordered {
    /// The first that is not printed.
    next: usize,
    lines: Vec<Option<Bytes>>,
}

impl Ordered {
    fn take(&mut self, line: Bytes) -> Result<(), Box<dyn Error>> {
        #[derive(Deserialize)]
        struct Place {
            i: usize,
        }
        let Place { i } = serde_json::from_slice(&line)?;
        let place = self
            .lines
            .get_mut(i)
            .filter(|place| place.is_none() && i >= self.next);
        *place.ok_or("a line of an item that was not asked for")? = Some(line);
        let mut out = io::stdout().lock();
        while let Some(line) = self.lines.get_mut(self.next).and_then(Option::take) {
            out.write_all(&line)?;
            self.next += 1;
        }
        Ok(out.flush()?)
    }
}
