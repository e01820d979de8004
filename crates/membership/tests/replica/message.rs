//! Messages as they are read and written.

use crate::common::{ms, LEASE};
use slatelink_membership::{Answer, ListUpdate, Replica, UpstreamCall};

// Guards against a relay that drops or rewrites fields it does not know.
#[test]
fn records_are_passed_on_byte_for_byte() {
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

// Guards against a message of which a part is applied.
#[test]
fn a_malformed_message_is_rejected_with_the_index_of_the_record() {
    let error = ListUpdate::parse(
        br#"{"seq":7,"whole":true,"hosts":[{"host":"a","health":"ready"},{"host":"b"}]}"#,
    );
    let text = error.unwrap_err().to_string();
    assert!(
        text.starts_with("entry 1 of list 7 has no name or no health: missing field `health`"),
        "{text}"
    );
    assert!(ListUpdate::parse(b"{\"seq\":-1}")
        .unwrap_err()
        .to_string()
        .starts_with("not a list: "));
}
