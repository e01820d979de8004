//! The thread that writes files and standard error for the log and the features. The node runs on a
//! single thread: a pipe without a reader, a slow disk or a FIFO may block the writer thread, but
//! never the node's thread.

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

/// Capacity of the shared queue, at least the sum of the capacities of all senders: a sender below
/// its own capacity can always queue a job.
const QUEUE_CAPACITY: usize = 1024;

/// A write operation run by the writer thread, which passes standard error as the argument.
type Job = Box<dyn FnOnce(&mut File) + Send>;

/// Handle of the writer thread. The thread ends with the process, or after the last sender is
/// dropped.
#[derive(Debug)]
pub struct Writer {
    jobs: SyncSender<Job>,
}

impl Writer {
    /// Number of file descriptors held by the writer: a duplicate of the stderr descriptor, so that
    /// threads don't contend for the stderr lock.
    pub const DESCRIPTORS: usize = 1;

    /// Starts the writer thread. Fails if the thread or the duplicate of stderr cannot be created.
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

    /// Creates a sender that allows `capacity` queued or running jobs at a time: a full sender
    /// takes no capacity from other senders.
    pub fn sender(&self, capacity: usize) -> BoundedSender {
        BoundedSender {
            jobs: self.jobs.clone(),
            queued: Arc::default(),
            capacity,
        }
    }

    /// Waits for at most `limit` until all jobs queued earlier have run: shutdown must not wait for
    /// a blocked pipe.
    pub async fn flush(&self, limit: Duration) {
        let (done, finished) = oneshot::channel();
        let queued = self.sender(1).try_send(move |_| {
            // The send fails if the timeout has passed; the result is then no longer needed.
            let _ = done.send(());
        });
        if queued {
            let _ = timeout(limit, finished).await;
        }
    }
}

/// Progress of a partial write.
pub struct WriteProgress {
    /// Number of bytes written.
    pub written: usize,
    /// Error that stopped the write before the end, if any.
    pub result: io::Result<()>,
}

/// Writes bytes until the end or the first error, such as a full pipe. Retries interrupted writes.
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

/// Checks whether a regular file is no longer the file at `path`, after a move or removal: data
/// written to it would not be read. Returns `false` for a FIFO or a device.
pub fn has_vanished(file: &File, path: &Path) -> io::Result<bool> {
    let opened = file.metadata()?;
    let inode = |metadata: &Metadata| (metadata.dev(), metadata.ino());
    let named = std::fs::metadata(path).ok();
    Ok(opened.is_file() && named.as_ref().map(inode) != Some(inode(&opened)))
}

/// Sender with a bounded number of jobs on the writer thread; see [`Writer::sender`].
#[derive(Debug)]
pub struct BoundedSender {
    jobs: SyncSender<Job>,
    /// Number of queued or running jobs of this sender.
    queued: Arc<AtomicUsize>,
    capacity: usize,
}

impl BoundedSender {
    /// Queues a job for the writer thread, which passes standard error to it. Returns `false` if
    /// the sender is full. Never blocks.
    pub fn try_send(&self, job: impl FnOnce(&mut File) + Send + 'static) -> bool {
        // Only the node's thread sends, so the count cannot grow between the check and the
        // increment.
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
