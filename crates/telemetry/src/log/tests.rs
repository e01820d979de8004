use super::*;

// Guards against a log that grows with an overload, and against one that no longer tells how long it was.
#[test]
fn lines_of_a_topic_are_few_and_those_left_out_are_counted_to_the_end() {
    let start = Instant::now();
    let mut topic = Topic::new(start);
    let (mut written, mut told, mut now) = (0, Vec::new(), start);
    for i in 0..30_000 {
        now = start + Duration::from_millis(i);
        written += u64::from(topic.admit(now, &format!("no room {i}")));
        told.extend((i % 1_000 == 0).then(|| topic.summary(now)).flatten());
    }
    told.extend(topic.summary(now + TOPIC_EXPIRY));
    assert_eq!(
        topic.summary(now + TOPIC_EXPIRY * 2),
        None,
        "nothing more to tell"
    );
    let left_out: u64 = told
        .iter()
        .map(|text| text.split(' ').next().unwrap().parse::<u64>().unwrap())
        .sum();
    assert_eq!(
        written + left_out,
        30_000,
        "every line is counted once: {told:?}"
    );
    assert!(
        written <= 3 * LINES_PER_WINDOW && told.len() <= 3,
        "{written} lines, {told:?}"
    );
    let last = told.last().unwrap();
    assert!(
        last.ends_with("30000 in 30.0 s; the last: no room 29999"),
        "{last}"
    );
}
