//! Tests of the reply: actions and failures to lines.

use slatelink_policy::{Action, BreakerScope, EndpointId, RequestId};
use slatelink_wire::{write_action, write_failure};
use std::time::Duration;

#[test]
fn each_action_is_written_as_one_line() {
    let (id, server) = (RequestId::from("c:x"), EndpointId::from("s:1"));
    let duration = Duration::from_micros(250);
    for (action, line) in [
        (
            Action::Send {
                id: id.clone(),
                endpoint: server.clone(),
                timeout: duration,
                begin_within: Duration::ZERO,
            },
            "send who=3 request_id=c:x server=s:1 allow_for_us=250\n",
        ),
        (
            Action::Send {
                id: id.clone(),
                endpoint: server.clone(),
                timeout: Duration::ZERO,
                begin_within: Duration::ZERO,
            },
            "send who=3 request_id=c:x server=s:1 allow_for_us=1\n",
        ),
        (
            Action::Shed {
                id: id.clone(),
                retry_after: duration,
            },
            "busy who=3 request_id=c:x hold_off_us=250\n",
        ),
        (Action::Fail { id }, "report_failure who=3 request_id=c:x\n"),
        (
            Action::Wake { after: duration },
            "wake_at who=3 nonce=w sleep_for_us=250\n",
        ),
        (
            Action::CloseIdleConnections { endpoint: server },
            "close who=3 server=s:1\n",
        ),
        (Action::PollDiscovery, "follow who=3 on=1\n"),
        (
            Action::BreakerOpened(BreakerScope::Endpoint("two\nlines".into())),
            "write_log who=3 body_text=breaker of two lines tripped\n",
        ),
    ] {
        let mut out = String::new();
        write_action(&mut out, 3, &action);
        assert_eq!(out, line);
    }
}

#[test]
fn a_panic_of_the_decision_module_is_reported_on_one_line_with_its_message() {
    let mut reply = String::new();
    write_failure(&mut reply, 3, "index\nout of range");
    assert_eq!(reply, "bail_out who=3 body_text=index out of range\n");
}
