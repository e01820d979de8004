//! Keys of bounded length.

use std::hash::{DefaultHasher, Hasher};

/// A longer key is cut to so many bytes, the mark of the cut included.
pub(super) const MAX_KEY_BYTES: usize = 128;
/// Stands at the end of a key that was cut.
const TRUNCATION_MARK: char = '…';

/// A key as it is kept: whole, or cut with a mark. It borrows the key, so that a key which is kept already needs no allocation.
pub(super) struct TruncatedKey<'a> {
    /// The key, less what was cut off.
    head: &'a str,
    /// Whether something was cut off.
    truncated: bool,
}

impl<'a> TruncatedKey<'a> {
    /// The key, cut at the end of a character where it is too long.
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

    /// A hash of what [`TruncatedKey::text`] would give.
    pub(super) fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.head.as_bytes());
        hasher.write_u8(u8::from(self.truncated));
        hasher.finish()
    }

    /// Whether this is what [`TruncatedKey::text`] would give.
    pub(super) fn matches(&self, text: &str) -> bool {
        if self.truncated {
            text.strip_suffix(TRUNCATION_MARK) == Some(self.head)
        } else {
            text == self.head
        }
    }

    /// The key with its mark.
    pub(super) fn text(&self) -> Box<str> {
        let mut text = String::with_capacity(MAX_KEY_BYTES);
        text.push_str(self.head);
        if self.truncated {
            text.push(TRUNCATION_MARK);
        }
        text.into()
    }
}
