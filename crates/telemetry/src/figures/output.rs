//! Where figures go: a file, standard error or UDP.

use crate::error::TelemetryError;
use crate::writer::{has_vanished, write_part, BoundedSender, Writer};
use slatelink_config::operators::MetricsTarget;
use std::fs::File;
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, UdpSocket};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::UnboundedSender;

/// Where batches go.
pub(super) enum Output {
    Udp(UdpSocket),
    /// By the writer's thread, one batch at a time: what waits here can still give way to what is newer.
    Queue {
        sender: BoundedSender,
        /// `None` for standard error.
        sink: Option<Arc<Mutex<Sink>>>,
        results: UnboundedSender<bool>,
    },
}

impl Output {
    /// Opens what figures go to; `results` is told of each batch that the writer is done with.
    pub(super) fn open(
        target: &MetricsTarget,
        writer: &Writer,
        results: UnboundedSender<bool>,
    ) -> Result<Self, TelemetryError> {
        // A second place: the first is given back only after its batch's result is told.
        let queue = |sink| Self::Queue {
            sender: writer.sender(2),
            sink,
            results,
        };
        Ok(match target {
            MetricsTarget::Stderr => queue(None),
            MetricsTarget::File(path) => {
                let file = match Sink::open(path) {
                    Ok(file) => Some(file),
                    // A FIFO without a reader: one may come.
                    Err(error) if error.raw_os_error() == Some(libc::ENXIO) => None,
                    Err(error) => {
                        return Err(TelemetryError::MetricsFile {
                            path: path.clone(),
                            error,
                        })
                    }
                };
                queue(Some(Arc::new(Mutex::new(Sink {
                    path: path.clone(),
                    file,
                    torn: false,
                }))))
            }
            MetricsTarget::Udp(address) => {
                let any = match address.ip() {
                    IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
                    IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
                };
                let socket = UdpSocket::bind((any, 0)).and_then(|socket| {
                    socket.set_nonblocking(true)?;
                    // Connected, it hears that nobody listens there.
                    socket.connect(address)?;
                    Ok(socket)
                });
                Self::Udp(socket.map_err(|error| TelemetryError::MetricsSocket {
                    address: *address,
                    error,
                })?)
            }
        })
    }
}

/// A file that batches are appended to.
pub(super) struct Sink {
    pub(super) path: PathBuf,
    /// `None` while it cannot be opened: a FIFO that nobody reads.
    pub(super) file: Option<File>,
    /// The last write broke off within a line.
    pub(super) torn: bool,
}

impl Sink {
    fn open(path: &Path) -> io::Result<File> {
        // Neither opening nor writing waits for a FIFO's reader.
        File::options()
            .append(true)
            .create(true)
            .custom_flags(libc::O_NONBLOCK)
            .open(path)
    }

    pub(super) fn write(&mut self, batch: &[u8]) -> io::Result<()> {
        if self
            .file
            .as_ref()
            .is_some_and(|file| has_vanished(file, &self.path).unwrap_or(false))
        {
            (self.file, self.torn) = (None, false);
        }
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(Self::open(&self.path)?),
        };
        if self.torn {
            file.write_all(b"\n")?;
            self.torn = false;
        }
        let (taken, written) = write_part(file, batch);
        self.torn = taken > 0 && taken < batch.len();
        written
    }
}
