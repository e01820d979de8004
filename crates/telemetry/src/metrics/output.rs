//! Where batches go: a file, standard error or UDP.

use super::file::AppendedFile;
use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use slatelink_config::operators::MetricsTarget;
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// Batches that may be with the writer: one that is written, and one whose result is sent already but which the writer still
/// counts.
const MAX_QUEUED_BATCHES: usize = 2;

/// How the writing of a batch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchResult {
    /// It is out.
    Written,
    /// It is lost, at least a part of it.
    Dropped,
}

impl BatchResult {
    fn from_io<T>(result: &io::Result<T>) -> Self {
        match result {
            Ok(_) => Self::Written,
            Err(_) => Self::Dropped,
        }
    }
}

/// What became of a batch that was sent.
pub(super) enum SendOutcome {
    /// It is done with.
    Finished(BatchResult),
    /// The writer has it, and will send its result.
    InFlight,
}

/// Where batches go.
pub(super) enum Output {
    /// A datagram for each batch.
    Udp(UdpSocket),
    /// By the writer's thread, one batch at a time: what waits here can still give way to what is newer.
    Queue {
        /// The way to the thread.
        sender: BoundedSender,
        /// `None` for standard error.
        file: Option<Arc<Mutex<AppendedFile>>>,
        /// Gets the result of each batch that the thread is done with.
        results: UnboundedSender<BatchResult>,
    },
}

impl Output {
    /// Opens what metrics go to; `results` gets that of each batch that the writer is done with.
    pub(super) fn open(
        target: &MetricsTarget,
        writer: &Writer,
        results: UnboundedSender<BatchResult>,
    ) -> Result<Self, TelemetryError> {
        let file = match target {
            MetricsTarget::Udp(address) => return Self::open_socket(*address),
            MetricsTarget::File(path) => Some(open_file(path)?),
            MetricsTarget::Stderr => None,
        };
        Ok(Self::Queue {
            sender: writer.sender(MAX_QUEUED_BATCHES),
            file: file.map(|file| Arc::new(Mutex::new(file))),
            results,
        })
    }

    fn open_socket(address: SocketAddr) -> Result<Self, TelemetryError> {
        connect(address)
            .map(Self::Udp)
            .map_err(|error| TelemetryError::MetricsSocket { address, error })
    }

    /// Sends a batch. Never waits.
    pub(super) fn send(&self, batch: Vec<u8>) -> SendOutcome {
        match self {
            Self::Udp(socket) => {
                let sent = socket.send(batch.trim_ascii_end());
                SendOutcome::Finished(BatchResult::from_io(&sent))
            }
            Self::Queue {
                sender,
                file,
                results,
            } => {
                let file = file.clone();
                let results = results.clone();
                let queued = sender.try_send(move |stderr| {
                    let written = match &file {
                        None => stderr.write_all(&batch),
                        Some(file) => file
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .write(&batch),
                    };
                    // The node may have stopped meanwhile.
                    let _ = results.send(BatchResult::from_io(&written));
                });
                if queued {
                    SendOutcome::InFlight
                } else {
                    SendOutcome::Finished(BatchResult::Dropped)
                }
            }
        }
    }
}

fn open_file(path: &Path) -> Result<AppendedFile, TelemetryError> {
    AppendedFile::open(path).map_err(|error| TelemetryError::MetricsFile {
        path: path.to_owned(),
        error,
    })
}

fn connect(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = match address.ip() {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    // Connected, it hears that nobody listens there.
    socket.connect(address)?;
    Ok(socket)
}
