use super::*;

const MS: Duration = Duration::from_millis(1);

// Guards against a stand-in that serves calls beside each other, for which no herd would ever be too large.
#[test]
fn calls_are_served_in_turn_and_those_that_wait_for_too_long_are_turned_away() {
    let mut queue = CallQueue::new(Costs {
        call: 900 * MS,
        entry: 10 * MS,
    });
    let now = Duration::from_secs(5);
    assert_eq!(queue.call(now, 0), Admission::Served(now + 900 * MS));
    assert_eq!(queue.news(now + 900 * MS, 20), now + 1100 * MS);
    assert_eq!(queue.call(now, 0), Admission::Served(now + 2000 * MS));
    assert_eq!(
        queue.call(now, 5),
        Admission::Served(now + 2950 * MS),
        "it waits 2 s, and no longer"
    );
    assert_eq!(queue.call(now, 5), Admission::Refused(now + 2000 * MS));
    assert_eq!(
        queue.call(now + 950 * MS, 0),
        Admission::Served(now + 3850 * MS)
    );
    assert_eq!(queue.busy(), 3850 * MS);
    let later = now + Duration::from_secs(60);
    assert_eq!(
        queue.call(later, 0),
        Admission::Served(later + 900 * MS),
        "an idle service saves no time up"
    );
}
