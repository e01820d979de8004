use super::*;
use std::sync::mpsc::channel;

// Guards against a stuck write that stalls the node, and against one sender that starves another.
#[test]
fn a_full_sender_refuses_at_once_and_leaves_the_others_their_capacity() {
    let writer = Writer::start().unwrap();
    let (one, two) = (writer.sender(2), writer.sender(1));
    let (release, released) = channel::<()>();
    let (done, ended) = channel();
    assert!(one.try_send(move |_| released.recv().unwrap_or_default()));
    assert!(one.try_send(|_| {}));
    assert!(!one.try_send(|_| {}), "a third of two");
    assert!(two.try_send(move |_| done.send(()).unwrap()));
    release.send(()).unwrap();
    ended.recv_timeout(Duration::from_secs(60)).unwrap();
    // What came first has ended and counts no more.
    assert!(one.try_send(|_| {}) && one.try_send(|_| {}));
}
