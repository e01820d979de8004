use super::*;

// Guards against a stand-in that answers a watch with the complete list, or lets it wait without
// limit.
#[test]
fn list_call_is_parsed_with_its_version_and_a_capped_wait() {
    let call = |after, wait: Option<u64>| ListCall {
        after,
        wait: wait.map(Duration::from_millis),
    };
    assert_eq!(ListCall::parse("/v1/servers"), Some(call(None, None)));
    assert_eq!(
        ListCall::parse("/v1/servers?after=41&wait_ms=50"),
        Some(call(Some(41), Some(50)))
    );
    assert_eq!(
        ListCall::parse("/v1/servers?wait_ms=99000&after=0"),
        Some(call(Some(0), Some(60_000)))
    );
    assert_eq!(
        ListCall::parse("/v1/servers?after=x"),
        Some(call(None, None))
    );
    assert_eq!(ListCall::parse("/v1/other?after=1"), None);
}
