//! Tests of a relay's parts that need no sockets. Those with sockets stand in `crates/cli/tests/relay.rs`.

use super::RelayStatus;

// Guards against a field of the status that changes its key: operators and the scale run read these.
#[test]
fn the_status_is_written_under_its_documented_keys() {
    let status = serde_json::to_string(&RelayStatus::default()).unwrap();
    let expected = concat!(
        r#"{"version":null,"servers":0,"epochs":0,"history_bytes":0,"lease_left_ms":null,"#,
        r#""open":0,"most_open":0,"waiting":0,"#,
        r#""callers":{"whole_calls":0,"watch_calls":0,"call_bytes":0,"whole_answers":0,"#,
        r#""change_answers":0,"empty_answers":0,"refused":0,"answer_bytes":0,"entries":0,"#,
        r#""connections":0,"connections_refused":0},"#,
        r#""upstream":{"calls":0,"failed":0,"applied":0,"rejected":0}}"#,
    );
    assert_eq!(status, expected);
}
