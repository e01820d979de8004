//! Truncation of keys to a bounded length.

use std::hash::{DefaultHasher, Hasher};

/// Maximum length of a stored key; longer keys are truncated to this length, including the
/// truncation mark.
pub(super) const MAX_KEY_BYTES: usize = 128;
/// Last character of a truncated key.
const TRUNCATION_MARK: char = '…';

/// A key in its stored form: complete, or truncated with a mark. The key is borrowed, so that
/// looking up a stored key needs no allocation.
pub(super) struct TruncatedKey<'a> {
    /// The key without the truncated part.
    head: &'a str,
    /// Whether the key was truncated.
    truncated: bool,
}

impl<'a> TruncatedKey<'a> {
    /// Wraps the key, truncated at a character boundary if it is too long.
    pub(super) fn new(key: &'a str) -> Self {
        if key.len() <= MAX_KEY_BYTES {
            return Self {
                head: key,
                truncated: false,
            };
        }
        let max_head_bytes = MAX_KEY_BYTES - TRUNCATION_MARK.len_utf8();
        Self {
            head: &key[..key.floor_char_boundary(max_head_bytes)],
            truncated: true,
        }
    }

    /// Returns a hash that identifies the text of [`TruncatedKey::text`].
    pub(super) fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.head.as_bytes());
        hasher.write_u8(u8::from(self.truncated));
        hasher.finish()
    }

    /// Checks whether `text` equals [`TruncatedKey::text`], without building it.
    pub(super) fn matches(&self, text: &str) -> bool {
        if self.truncated {
            text.strip_suffix(TRUNCATION_MARK) == Some(self.head)
        } else {
            text == self.head
        }
    }

    /// Returns the key, with the truncation mark if it was truncated.
    pub(super) fn text(&self) -> Box<str> {
        let mut text = String::with_capacity(MAX_KEY_BYTES);
        text.push_str(self.head);
        if self.truncated {
            text.push(TRUNCATION_MARK);
        }
        text.into()
    }
}
