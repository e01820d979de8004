//! Text output of the hot list.

use super::ClassList;
use std::io::{self, Write};
use tokio::time::Instant;

/// Writes one line for each entry in descending order of counts, or a single line with `none` if
/// the list is empty. Rates are as of `now` and averaged over `averaging_seconds`.
pub(super) fn print_list(
    out: &mut impl Write,
    mut list: ClassList,
    averaging_seconds: f64,
    now: Instant,
) -> io::Result<()> {
    let class = escaped(list.class.as_str());
    if list.keys.entries.is_empty() {
        writeln!(out, "hot {class} none")?;
    }
    list.keys.sort_by_count();
    let max_error = list.keys.max_error();
    for entry in &list.keys.entries {
        let key = escaped(&entry.key);
        let rate = list.keys.decayed_count(entry, now) / averaging_seconds;
        let count = entry.count;
        writeln!(
            out,
            "hot {class} {key} rate={rate:.1}/s count={count} err<={max_error}"
        )?;
    }
    out.flush()
}

/// Escapes text so that it stays a single word on a single line, whatever characters a client
/// sends.
pub(super) fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '\\' => escaped.push_str("\\\\"),
            '\'' | '"' => escaped.push(c),
            c if c.is_whitespace() => escaped.extend(c.escape_unicode()),
            // Escapes non-printable characters.
            c => escaped.extend(c.escape_debug()),
        }
    }
    escaped
}
