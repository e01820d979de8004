//! A cache of encoded answers, each shared by all clients that receive the same answer.

use bytes::Bytes;
use slatelink_membership::{Answer, ListUpdate};
use std::collections::HashMap;

/// Maximum number of answers cached for one version. Clients whose versions differ receive
/// different deltas; beyond this limit, an answer is encoded separately for its client.
const MAX_CACHED_ANSWERS: usize = 64;

/// An encoded update, as sent to clients.
#[derive(Clone, Debug)]
pub struct EncodedUpdate {
    /// JSON text of the update.
    pub body: Bytes,
    /// Whether the update is a snapshot.
    pub complete: bool,
    /// Number of endpoint records in the update.
    pub record_count: usize,
}

impl EncodedUpdate {
    fn new(update: &ListUpdate) -> serde_json::Result<Self> {
        Ok(Self {
            body: update.encode()?.into(),
            complete: update.complete,
            record_count: update.records.len(),
        })
    }
}

/// Cached answers for the held version.
#[derive(Debug, Default)]
pub struct EncodedAnswers(HashMap<Answer, EncodedUpdate>);

impl EncodedAnswers {
    /// Removes all answers, because the held list has changed.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the cached answer, or encodes the result of `update`. Returns `None` if `update`
    /// does.
    pub fn get_or_encode(
        &mut self,
        answer: Answer,
        update: impl FnOnce() -> Option<ListUpdate>,
    ) -> Option<serde_json::Result<EncodedUpdate>> {
        if let Some(cached) = self.0.get(&answer) {
            return Some(Ok(cached.clone()));
        }
        let encoded = EncodedUpdate::new(&update()?);
        if let (Ok(encoded), true) = (&encoded, self.0.len() < MAX_CACHED_ANSWERS) {
            self.0.insert(answer, encoded.clone());
        }
        Some(encoded)
    }
}
