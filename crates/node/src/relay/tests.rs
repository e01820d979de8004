//! Tests of the parts of a relay that need no sockets. Tests with sockets are in
//! `crates/cli/tests/relay`.

use super::backoff::{pause_after_failed_rounds, pause_after_rejections};
use super::RelayStatus;
use std::time::Duration;

// Guards against a changed key of a status field: operators and the scale run read these keys.
#[test]
fn status_is_serialized_with_its_documented_keys() {
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

// Guards against calling upstream without a pause, and against a pause that is longer than the
// lease.
#[test]
fn pauses_double_up_to_two_seconds() {
    let ms = Duration::from_millis;
    let expected = [50, 100, 200, 400, 800, 1600, 2000, 2000];
    for (rejections, pause) in (1..).zip(expected) {
        assert_eq!(
            pause_after_rejections(rejections),
            ms(pause),
            "{rejections}"
        );
    }
    assert_eq!(pause_after_rejections(u32::MAX), ms(2000));
    let mut random = fastrand::Rng::with_seed(1);
    for (rounds, mean) in [(1, 100), (2, 200), (5, 1600), (6, 2000), (u32::MAX, 2000)] {
        for _ in 0..1000 {
            let pause = pause_after_failed_rounds(rounds, &mut random);
            let bounds = ms(mean) / 2..ms(mean) * 3 / 2;
            assert!(bounds.contains(&pause), "{rounds}: {pause:?}");
        }
    }
}
