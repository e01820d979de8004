//! Tests of message parsing and encoding.

use crate::common::{ms, LEASE};
use slatelink_membership::{Answer, ListUpdate, Replica, UpstreamCall};

// Guards against a relay that drops or rewrites unknown fields.
#[test]
fn records_are_forwarded_byte_for_byte() {
    let text =
        br#"{"seq":7,"whole":true,"hosts":[{"host":"a","health":"odd","share":1.0,"later":{"x": [1]}}]}"#;
    let read = ListUpdate::parse(text).unwrap();
    assert_eq!(read.encode().unwrap(), text);
    let mut replica = Replica::new(LEASE);
    replica
        .apply(UpstreamCall::Snapshot, read, ms(0), ms(0))
        .unwrap();
    assert_eq!(
        replica.message(Answer::Snapshot).unwrap().encode().unwrap(),
        text
    );
}

// Guards against a malformed message that is applied partially.
#[test]
fn malformed_message_is_rejected_with_index_of_the_record() {
    let error = ListUpdate::parse(
        br#"{"seq":7,"whole":true,"hosts":[{"host":"a","health":"ready"},{"host":"b"}]}"#,
    );
    let text = error.unwrap_err().to_string();
    assert!(
        text.starts_with("record 1 of list 7 has no valid name or health: missing field `health`"),
        "{text}"
    );
    assert!(ListUpdate::parse(b"{\"seq\":-1}")
        .unwrap_err()
        .to_string()
        .starts_with("message is not an endpoint list: "));
}
