//! Encoded answers, each shared by all clients that get the same one.

use bytes::Bytes;
use slatelink_membership::{Answer, ListUpdate};
use std::collections::HashMap;

/// Upper bound of the answers cached for one version. Clients that are behind by different versions each get another
/// delta; past the bound, an answer is encoded for its client alone.
const MAX_CACHED_ANSWERS: usize = 64;

/// An update as it is sent to clients.
#[derive(Clone, Debug)]
pub struct EncodedUpdate {
    /// The JSON.
    pub body: Bytes,
    /// Whether it is a snapshot.
    pub complete: bool,
    /// Number of endpoint records in it.
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

/// The cached answers of the version held.
#[derive(Debug, Default)]
pub struct EncodedAnswers(HashMap<Answer, EncodedUpdate>);

impl EncodedAnswers {
    /// Drops all answers, because another list is held.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The answer from the cache, or encoded from `update`; `None` if that is.
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
