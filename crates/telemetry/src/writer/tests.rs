use super::*;
use std::sync::mpsc::channel;

// Guards against a blocked write that stalls the node, and against one sender starving another.
#[test]
fn full_sender_rejects_jobs_at_once_and_leaves_other_senders_their_capacity() {
    let writer = Writer::start().unwrap();
    let (first_sender, second_sender) = (writer.sender(2), writer.sender(1));
    let (release_sender, release_receiver) = channel::<()>();
    let (done_sender, done_receiver) = channel();
    assert!(first_sender.try_send(move |_| release_receiver.recv().unwrap_or_default()));
    assert!(first_sender.try_send(|_| {}));
    assert!(
        !first_sender.try_send(|_| {}),
        "a third job with capacity 2"
    );
    assert!(second_sender.try_send(move |_| done_sender.send(()).unwrap()));
    release_sender.send(()).unwrap();
    done_receiver.recv_timeout(Duration::from_secs(60)).unwrap();
    // The finished jobs no longer count towards the capacity.
    assert!(first_sender.try_send(|_| {}) && first_sender.try_send(|_| {}));
}
