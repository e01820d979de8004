//! The end of a request head in bytes that arrive in pieces.

/// A search for the end of a request head: the first empty line after the first other byte.
///
/// The search finds the end of the bytes that hyper parses as a head; what they mean is left to
/// hyper.
#[derive(Debug, Default)]
pub(super) struct HeadScanner {
    /// Number of bytes searched.
    searched: usize,
    /// Whether a byte other than a line ending was found; line endings before the request line are
    /// ignored.
    begun: bool,
    /// Whether the current line has a byte other than its ending.
    in_line: bool,
}

impl HeadScanner {
    /// Searches the bytes that were added since the last call, and returns the length of the head
    /// if it is complete. `bytes` are all bytes since the start of the request.
    pub(super) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate().skip(self.searched) {
            match byte {
                b'\n' if self.begun && !self.in_line => return Some(index + 1),
                b'\n' => self.in_line = false,
                b'\r' => {}
                _ => {
                    self.begun = true;
                    self.in_line = true;
                }
            }
        }
        self.searched = bytes.len();
        None
    }
}

#[cfg(test)]
mod tests;
