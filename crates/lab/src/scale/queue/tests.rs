use super::*;

const MS: Duration = Duration::from_millis(1);

// Guards against a queue model that serves calls in parallel: no burst of calls could overload it.
#[test]
fn calls_are_served_one_at_a_time_and_refused_beyond_the_longest_queueing_time() {
    let mut queue = CallQueue::new(Costs {
        call: 900 * MS,
        entry: 10 * MS,
    });
    let now = Duration::from_secs(5);
    assert_eq!(
        queue.enqueue_call(now, 0),
        Admission::Served(now + 900 * MS)
    );
    assert_eq!(
        queue.enqueue_watch_answer(now + 900 * MS, 20),
        now + 1100 * MS
    );
    assert_eq!(
        queue.enqueue_call(now, 0),
        Admission::Served(now + 2000 * MS)
    );
    assert_eq!(
        queue.enqueue_call(now, 5),
        Admission::Served(now + 2950 * MS),
        "a queueing time of exactly 2 s is accepted"
    );
    assert_eq!(
        queue.enqueue_call(now, 5),
        Admission::Refused(now + 2000 * MS)
    );
    assert_eq!(
        queue.enqueue_call(now + 950 * MS, 0),
        Admission::Served(now + 3850 * MS)
    );
    assert_eq!(queue.busy(), 3850 * MS);
    let later = now + Duration::from_secs(60);
    assert_eq!(
        queue.enqueue_call(later, 0),
        Admission::Served(later + 900 * MS),
        "idle time does not shorten later calls"
    );
}
