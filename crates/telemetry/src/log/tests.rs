use super::topic::{Topic, LINES_PER_WINDOW, TOPIC_EXPIRY};
use std::time::Duration;
use tokio::time::Instant;

// Guards against a log that grows with an overload, and against one that no longer says how long it was.
#[test]
fn few_lines_of_a_topic_are_written_and_all_suppressed_ones_are_counted() {
    let start = Instant::now();
    let mut topic = Topic::new(start);
    let (mut written, mut summaries, mut now) = (0, Vec::new(), start);
    for i in 0..30_000 {
        now = start + Duration::from_millis(i);
        written += u64::from(topic.admit(now, &format!("no room {i}")));
        summaries.extend((i % 1_000 == 0).then(|| topic.summary(now)).flatten());
    }
    summaries.extend(topic.summary(now + TOPIC_EXPIRY));
    assert_eq!(
        topic.summary(now + TOPIC_EXPIRY * 2),
        None,
        "nothing more to tell"
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
        last.ends_with("30000 in 30.0 s; the last: no room 29999"),
        "{last}"
    );
}
