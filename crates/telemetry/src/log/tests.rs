use super::topic::{Topic, LINES_PER_WINDOW, TOPIC_EXPIRY};
use std::time::Duration;
use tokio::time::Instant;

// Guards against a log that grows during an overload, and against a summary that no longer reports
// the overload's duration.
#[test]
fn topic_writes_few_lines_and_counts_all_suppressed_lines() {
    let start = Instant::now();
    let mut topic = Topic::new(start);
    let (mut written, mut summaries, mut now) = (0, Vec::new(), start);
    for i in 0..30_000 {
        now = start + Duration::from_millis(i);
        written += u64::from(topic.admit(now, &format!("connection rejected {i}")));
        summaries.extend((i % 1_000 == 0).then(|| topic.summary(now)).flatten());
    }
    summaries.extend(topic.summary(now + TOPIC_EXPIRY));
    assert_eq!(
        topic.summary(now + TOPIC_EXPIRY * 2),
        None,
        "no lines are suppressed after the last summary"
    );
    let suppressed: u64 = summaries
        .iter()
        .map(|text| text.split(' ').next().unwrap().parse::<u64>().unwrap())
        .sum();
    assert_eq!(
        written + suppressed,
        30_000,
        "every line is counted once: {summaries:?}"
    );
    assert!(
        written <= 3 * LINES_PER_WINDOW && summaries.len() <= 3,
        "{written} lines, {summaries:?}"
    );
    let last = summaries.last().unwrap();
    assert!(
        last.ends_with("30000 in 30.0 s; the last: connection rejected 29999"),
        "{last}"
    );
}
