//! Tests of the adapter process: batches of lines as input, replies as output.

mod common;

use common::START;
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_slatelink-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    // The write fails if the adapter ends early, which some tests expect.
    let _ = child
        .stdin
        .take()
        .expect("stdin is not piped")
        .write_all(input.as_bytes());
    child
        .wait_with_output()
        .expect("failed to wait for the adapter")
}

#[test]
fn adapter_replies_to_each_batch_and_exits_at_the_end_of_its_input() {
    let batch = format!(
        "tick t_us=1\nyour_turn\ntick t_us=10\nretire who=3\n{START}\nroster bank=0 hosts=1\nm server=s:1 machine=std availability=U\n\
         peers_known who=3 how=restored bank=0 revision=1\n\
         submit who=3 request_id=c:x cls=read object=4 valid_until_us=400010\nsubmit who=9 request_id=c:y valid_until_us=9\nyour_turn\n"
    );
    let process_output = run_adapter(&batch);
    assert!(process_output.status.success());
    let text = String::from_utf8(process_output.stdout).expect("the reply is not UTF-8");
    assert!(
        text.starts_with("ack\n") && text.ends_with("ack\n"),
        "{text}"
    );
    assert!(
        text.contains("send who=3 request_id=c:x server=s:1 "),
        "{text}"
    );
    assert!(
        !text.contains("who=9"),
        "reply has an action of an instance that was never started: {text}"
    );
}

#[test]
fn adapter_fails_on_a_malformed_line_without_a_reply_to_its_batch() {
    let process_output =
        run_adapter("tick t_us=1\nyour_turn\ntick t_us=2\nsubmit who=1 request_id=r\nyour_turn\n");
    assert!(!process_output.status.success());
    assert_eq!(String::from_utf8_lossy(&process_output.stdout), "ack\n");
    let errors = String::from_utf8_lossy(&process_output.stderr);
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(
        errors.contains("valid_until_us") && errors.contains("submit who=1"),
        "{errors}"
    );
}

#[test]
fn events_of_an_instance_that_was_never_started_are_ignored() {
    let output =
        run_adapter("tick t_us=1\ntimer who=9 nonce=w\nabandoned who=9 request_id=c:x\nretire who=9\nyour_turn\n");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "ack\n");
}
