//! Answers as they are written, each encoded once for all callers that get the same.

use bytes::Bytes;
use slatelink_membership::{Answer, ListUpdate};
use std::collections::HashMap;

/// Different answers that are kept for one version. Clients that are behind by different versions each have their own; past
/// this, an answer is encoded for its caller alone.
const MAX_ENCODED_ANSWERS: usize = 64;

/// An answer's body, and what is in it.
#[derive(Clone, Debug)]
pub struct EncodedUpdate {
    pub body: Bytes,
    pub whole: bool,
    pub entries: usize,
}

impl EncodedUpdate {
    fn new(list: &ListUpdate) -> serde_json::Result<Self> {
        Ok(Self {
            body: list.encode()?.into(),
            whole: list.complete,
            entries: list.records.len(),
        })
    }
}

/// The answers of the version held.
#[derive(Debug, Default)]
pub struct EncodedAnswers(HashMap<Answer, EncodedUpdate>);

impl EncodedAnswers {
    /// There is another list: none of the answers holds any more.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The answer for this reply, encoded anew where it is not kept.
    pub fn encoded(
        &mut self,
        reply: Answer,
        list: impl FnOnce() -> Option<ListUpdate>,
    ) -> Option<serde_json::Result<EncodedUpdate>> {
        if let Some(kept) = self.0.get(&reply) {
            return Some(Ok(kept.clone()));
        }
        let encoded = EncodedUpdate::new(&list()?);
        if let (Ok(encoded), true) = (&encoded, self.0.len() < MAX_ENCODED_ANSWERS) {
            self.0.insert(reply, encoded.clone());
        }
        Some(encoded)
    }
}
