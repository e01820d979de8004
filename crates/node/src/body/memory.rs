//! The memory for bodies of responses, shared by all connections to endpoints.

use super::MAX_BODY_BYTES;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A number of bytes that the bodies of responses may hold at once. Clones share them.
///
/// A body holds its bytes from before its first frame is read until the client's response is
/// written. When none are left, further bodies are left unread in the order of their reservations.
/// Each reservation covers the whole body, so no two bodies wait for each other.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    /// One permit for each byte.
    bytes: Arc<Semaphore>,
}

impl BodyMemory {
    /// Creates a memory of `max_bytes`; at least one body of [`MAX_BODY_BYTES`] fits.
    pub fn new(max_bytes: usize) -> Self {
        let permits = max_bytes.clamp(MAX_BODY_BYTES, Semaphore::MAX_PERMITS);
        Self {
            bytes: Arc::new(Semaphore::new(permits)),
        }
    }

    /// Returns whether a body of [`MAX_BODY_BYTES`] could be reserved now.
    pub fn has_room(&self) -> bool {
        self.available() >= MAX_BODY_BYTES
    }

    /// Returns the number of bytes that are not reserved.
    pub(super) fn available(&self) -> usize {
        self.bytes.available_permits()
    }

    /// Waits until `bytes` are free, and reserves them; at most [`MAX_BODY_BYTES`].
    pub(super) async fn reserve(&self, bytes: usize) -> BodyReservation {
        let bytes = bytes.min(MAX_BODY_BYTES) as u32;
        // Fails only if the semaphore is closed, which it never is.
        let permit = self.bytes.clone().acquire_many_owned(bytes).await.ok();
        BodyReservation(permit)
    }
}

/// Bytes reserved for a body; released on drop.
#[derive(Debug)]
pub(super) struct BodyReservation(Option<OwnedSemaphorePermit>);

impl BodyReservation {
    /// Returns the body's bytes, which own the reservation from now on. What was reserved beyond
    /// their length is released at once.
    pub(super) fn into_bytes(mut self, bytes: Vec<u8>) -> Bytes {
        if let Some(permit) = &mut self.0 {
            let excess = permit.num_permits().saturating_sub(bytes.len());
            drop(permit.split(excess));
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

/// The content of a body, with its reservation.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
