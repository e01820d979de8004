//! The hot list as lines of text.

use super::ClassList;
use std::io::{self, Write};
use tokio::time::Instant;

/// Writes one line for each entry, those with the highest counts first, and one that says so where there is none. Rates are as
/// of `now`, and averaged over `averaged_seconds`.
pub(super) fn print_list(
    out: &mut impl Write,
    mut list: ClassList,
    averaged_seconds: f64,
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
        let rate = list.keys.decayed_count(entry, now) / averaged_seconds;
        let count = entry.count;
        writeln!(
            out,
            "hot {class} {key} rate={rate:.1}/s count={count} err<={max_error}"
        )?;
    }
    out.flush()
}

/// Text that is one word of one line, whatever a client has put into it.
pub(super) fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '\\' => escaped.push_str("\\\\"),
            '\'' | '"' => escaped.push(c),
            c if c.is_whitespace() => escaped.extend(c.escape_unicode()),
            // What would not be seen as itself.
            c => escaped.extend(c.escape_debug()),
        }
    }
    escaped
}
