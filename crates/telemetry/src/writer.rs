//! The one thread that writes files and standard error for the log and the features. The node is one thread too: a pipe that
//! nobody reads, a slow disk or a FIFO may block the writer thread, never the node's thread.

use std::fs::{File, Metadata};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Jobs that may wait, at least as many as all senders may have together: a sender that is not full always gets in.
const QUEUE_CAPACITY: usize = 1024;

/// What the thread is to write; it gets standard error.
type Job = Box<dyn FnOnce(&mut File) + Send>;

/// The way to the thread, which ends with the process, or once the last sender is dropped.
#[derive(Debug)]
pub struct Writer {
    jobs: SyncSender<Job>,
}

impl Writer {
    /// Descriptors that it holds: a duplicate of the stderr descriptor, so that threads don't contend for its lock.
    pub const DESCRIPTORS: usize = 1;

    /// Starts the thread. Fails where it cannot be had, or a descriptor for it.
    pub fn start() -> io::Result<Self> {
        let mut stderr = File::from(io::stderr().as_fd().try_clone_to_owned()?);
        let (jobs, queue) = sync_channel::<Job>(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("writer".to_owned())
            .spawn(move || {
                for job in queue {
                    job(&mut stderr);
                }
            })?;
        Ok(Self { jobs })
    }

    /// A sender of which `capacity` jobs may wait or run at a time: a full one takes nothing from the others.
    pub fn sender(&self, capacity: usize) -> BoundedSender {
        BoundedSender {
            jobs: self.jobs.clone(),
            queued: Arc::default(),
            capacity,
        }
    }

    /// Waits until all that was sent before is written, or for `limit`: a stop must not wait for a stuck pipe.
    pub async fn flush(&self, limit: Duration) {
        let (done, finished) = oneshot::channel();
        let queued = self.sender(1).try_send(move |_| {
            // Nobody waits any more where it came too late.
            let _ = done.send(());
        });
        if queued {
            let _ = timeout(limit, finished).await;
        }
    }
}

/// How far a write came.
pub struct WriteProgress {
    /// Bytes that are written.
    pub written: usize,
    /// What kept it from the rest.
    pub result: io::Result<()>,
}

/// Writes as much as the file takes at once.
pub fn write_part(file: &mut File, bytes: &[u8]) -> WriteProgress {
    let mut written = 0;
    while written < bytes.len() {
        let error = match file.write(&bytes[written..]) {
            Ok(0) => io::ErrorKind::WriteZero.into(),
            Ok(count) => {
                written += count;
                continue;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => error,
        };
        return WriteProgress {
            written,
            result: Err(error),
        };
    }
    WriteProgress {
        written,
        result: Ok(()),
    }
}

/// Whether a regular file is no longer the one at `path`, after a move or removal: nobody reads what is written there. `false`
/// for a FIFO or a device.
pub fn has_vanished(file: &File, path: &Path) -> io::Result<bool> {
    let opened = file.metadata()?;
    let inode = |metadata: &Metadata| (metadata.dev(), metadata.ino());
    let named = std::fs::metadata(path).ok();
    Ok(opened.is_file() && named.as_ref().map(inode) != Some(inode(&opened)))
}

/// A bounded way to the thread; see [`Writer::sender`].
#[derive(Debug)]
pub struct BoundedSender {
    jobs: SyncSender<Job>,
    /// Jobs that wait or run.
    queued: Arc<AtomicUsize>,
    capacity: usize,
}

impl BoundedSender {
    /// Has the thread run this job, which gets standard error; `false` where the sender is full. Never waits.
    pub fn try_send(&self, job: impl FnOnce(&mut File) + Send + 'static) -> bool {
        // Only the node's own thread sends, so the number cannot grow in between.
        if self.queued.load(Ordering::Acquire) >= self.capacity {
            return false;
        }
        self.queued.fetch_add(1, Ordering::AcqRel);
        let queued = self.queued.clone();
        let sent = self.jobs.try_send(Box::new(move |stderr| {
            job(stderr);
            queued.fetch_sub(1, Ordering::AcqRel);
        }));
        if sent.is_err() {
            self.queued.fetch_sub(1, Ordering::AcqRel);
        }
        sent.is_ok()
    }
}

#[cfg(test)]
mod tests;
