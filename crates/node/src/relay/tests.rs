//! Tests of a relay's parts that need no sockets. Those with sockets stand in `crates/cli/tests/relay`.

use super::backoff::{after_failed_rounds, after_rejections};
use super::RelayStatus;
use std::time::Duration;

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

// Guards against an upstream that is called without a pause, and against a pause that outlasts the lease.
#[test]
fn pauses_double_from_their_first_to_two_seconds() {
    let ms = Duration::from_millis;
    let expected = [50, 100, 200, 400, 800, 1600, 2000, 2000];
    for (rejections, pause) in (1..).zip(expected) {
        assert_eq!(after_rejections(rejections), ms(pause), "{rejections}");
    }
    assert_eq!(after_rejections(u32::MAX), ms(2000));
    let mut random = fastrand::Rng::with_seed(1);
    for (rounds, mean) in [(1, 100), (2, 200), (5, 1600), (6, 2000), (u32::MAX, 2000)] {
        for _ in 0..1000 {
            let pause = after_failed_rounds(rounds, &mut random);
            let bounds = ms(mean) / 2..ms(mean) * 3 / 2;
            assert!(bounds.contains(&pause), "{rounds}: {pause:?}");
        }
    }
}
