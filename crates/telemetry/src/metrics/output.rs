//! Destinations of batches: a file, standard error or UDP.

use super::file::AppendedFile;
use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use slatelink_config::operators::MetricsTarget;
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// Maximum number of batches held by the writer: one being written, and one whose result is already
/// sent but which the writer still counts as running.
const MAX_QUEUED_BATCHES: usize = 2;

/// Result of writing a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchResult {
    /// The batch was written.
    Written,
    /// The batch was lost, at least in part.
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

/// Result of sending a batch.
pub(super) enum SendOutcome {
    /// The batch is finished.
    Finished(BatchResult),
    /// The batch is queued for the writer, which will send its result.
    InFlight,
}

/// Destination of batches.
pub(super) enum Output {
    /// One datagram for each batch.
    Udp(UdpSocket),
    /// The writer thread, one batch at a time: lines that are still buffered here can be evicted in
    /// favour of newer lines.
    Queue {
        /// Sender of jobs to the writer thread.
        sender: BoundedSender,
        /// `None` for standard error.
        file: Option<Arc<Mutex<AppendedFile>>>,
        /// Channel for the result of each batch that the writer thread has finished.
        results: UnboundedSender<BatchResult>,
    },
}

impl Output {
    /// Opens the destination of metrics; `results` receives the result of each batch that the
    /// writer has finished.
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

    /// Sends a batch. Never blocks.
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
                    // The receiver may be dropped if the node has stopped.
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
    // Only a connected socket reports that the destination port is closed.
    socket.connect(address)?;
    Ok(socket)
}
