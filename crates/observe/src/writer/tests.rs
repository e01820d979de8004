use super::*;
use std::sync::mpsc::channel;

// Guards against a stuck write that stalls the node, and against one lane that starves another.
#[test]
fn a_full_lane_turns_away_at_once_and_leaves_the_others_their_places() {
    let writer = Writer::start().unwrap();
    let (one, two) = (writer.lane(2), writer.lane(1));
    let (release, held) = channel::<()>();
    let (done, ended) = channel();
    assert!(one.put(move |_| held.recv().unwrap_or_default()));
    assert!(one.put(|_| {}));
    assert!(!one.put(|_| {}), "a third of two");
    assert!(two.put(move |_| done.send(()).unwrap()));
    release.send(()).unwrap();
    ended.recv_timeout(Duration::from_secs(60)).unwrap();
    // What came first has given its places back.
    assert!(one.put(|_| {}) && one.put(|_| {}));
}
