//! `slatelink multi-get`: requests many keys from a node's multi-get port and prints one line per
//! key.

use crate::exit::{CommandResult, EXIT_UNUSABLE};
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

/// Maximum length of a response line: a key and a body, in the worst case with every byte escaped.
const MAX_LINE_BYTES: usize = 1 << 20;

#[derive(Serialize)]
struct Item<'a> {
    key: &'a str,
    req_id: String,
}

/// Line printed for a key whose line was not received before the deadline.
#[derive(Serialize)]
struct Partial<'a> {
    i: usize,
    key: &'a str,
    partial: bool,
}

/// Requests many keys from a node's multi-get port.
#[derive(Args)]
pub struct Command {
    /// Address of the multi-get port
    #[arg(long, value_name = "ADDR:PORT")]
    node: SocketAddr,
    /// Class of the requests
    #[arg(long)]
    kind: String,
    /// Deadline in milliseconds; keys without a response by then are printed as partial
    #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u32).range(1..))]
    deadline_ms: u32,
    /// Maximum number of keys, like the node's setting `max_items`; more keys are rejected
    #[arg(long, value_name = "N", default_value_t = DEFAULT_MAX_ITEMS)]
    max_items: usize,
    /// Keys to request; one line is printed per key, in this order
    #[arg(required = true)]
    keys: Vec<String>,
}

impl Command {
    /// Requests the keys and prints one line per key.
    pub fn run(self) -> CommandResult {
        single_threaded_runtime()?.block_on(self.request_and_print())
    }

    async fn request_and_print(self) -> CommandResult {
        if self.keys.len() > self.max_items {
            eprintln!(
                "slatelink: {} keys were given, but --max-items allows at most {}",
                self.keys.len(),
                self.max_items
            );
            return Ok(ExitCode::from(EXIT_UNUSABLE));
        }
        let deadline = Instant::now() + Duration::from_millis(self.deadline_ms.into());
        let mut output = OrderedOutput {
            next: 0,
            lines: vec![None; self.keys.len()],
        };
        let result = timeout_at(deadline, self.request_items(deadline, &mut output)).await;
        let mut out = io::stdout().lock();
        for (i, key) in self.keys.iter().enumerate().skip(output.next) {
            match output.lines[i].take() {
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
        match result {
            // An expired deadline is no failure: the partial lines report it.
            Ok(Ok(())) | Err(_) => Ok(ExitCode::SUCCESS),
            Ok(Err(error)) => Err(format!("{}: {error}", self.node).into()),
        }
    }

    async fn request_items(
        &self,
        deadline: Instant,
        output: &mut OrderedOutput,
    ) -> Result<(), Box<dyn Error>> {
        let stream = TcpStream::connect(self.node).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
        // `send_request` and the response body return a failure of the connection.
        let mut connection_task = JoinSet::new();
        connection_task.spawn(connection);
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
        let remaining_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let request = Request::post("/multi")
            .header(HOST, self.node.to_string())
            .header("req-kind", &self.kind)
            .header("req-deadline-ms", remaining_ms.to_string())
            .body(Full::new(Bytes::from(body)))?;
        let mut response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let error_body = response.into_body().collect().await?.to_bytes();
            return Err(format!("{status}: {}", String::from_utf8_lossy(&error_body)).into());
        }
        let mut buffer = Vec::new();
        while let Some(frame) = response.frame().await {
            buffer.extend(frame?.into_data().unwrap_or_default());
            while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                output.add_line(buffer.drain(..=end).collect())?;
            }
            if buffer.len() > MAX_LINE_BYTES {
                return Err("the node sent a line longer than 1 MiB".into());
            }
        }
        Ok(())
    }
}

/// Prints lines in the order of the keys. A line is kept until all lines before it are printed.
struct OrderedOutput {
    /// Index of the first key whose line is not printed yet.
    next: usize,
    lines: Vec<Option<Bytes>>,
}

impl OrderedOutput {
    fn add_line(&mut self, line: Bytes) -> Result<(), Box<dyn Error>> {
        #[derive(Deserialize)]
        struct ItemIndex {
            i: usize,
        }
        let ItemIndex { i } = serde_json::from_slice(&line)?;
        let slot = self
            .lines
            .get_mut(i)
            .filter(|slot| slot.is_none() && i >= self.next);
        *slot.ok_or("the node sent a line for an unknown or already answered item")? = Some(line);
        let mut out = io::stdout().lock();
        while let Some(line) = self.lines.get_mut(self.next).and_then(Option::take) {
            out.write_all(&line)?;
            self.next += 1;
        }
        Ok(out.flush()?)
    }
}
