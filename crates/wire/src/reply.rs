//! Formatting of the lines of a reply.

use crate::InstanceId;
use slatelink_policy::Action;
use std::fmt::{self, Write};

/// Smallest timeout of an attempt on the wire, in microseconds: 0 means no timeout.
const MIN_TIMEOUT_MICROS: u128 = 1;

/// Appends the line for an action of this instance.
pub fn write_action(out: &mut String, instance: InstanceId, action: &Action) {
    match action {
        Action::Send {
            id,
            endpoint,
            timeout,
            // In the simulator an attempt begins at the moment it is sent.
            begin_within: _,
        } => {
            let timeout = timeout.as_micros().max(MIN_TIMEOUT_MICROS);
            write_line(
                out,
                format_args!(
                    "send who={instance} request_id={id} server={endpoint} allow_for_us={timeout}"
                ),
            );
        }
        Action::Shed { id, retry_after } => {
            let micros = retry_after.as_micros();
            write_line(
                out,
                format_args!("busy who={instance} request_id={id} hold_off_us={micros}"),
            );
        }
        Action::Fail { id } => write_line(
            out,
            format_args!("report_failure who={instance} request_id={id}"),
        ),
        Action::Wake { after } => {
            let micros = after.as_micros();
            write_line(
                out,
                format_args!("wake_at who={instance} nonce=w sleep_for_us={micros}"),
            );
        }
        Action::CloseIdleConnections { endpoint } => {
            write_line(out, format_args!("close who={instance} server={endpoint}"));
        }
        Action::PollDiscovery => write_line(out, format_args!("follow who={instance} on=1")),
        Action::BreakerOpened(scope) => {
            let text = one_line(&scope.to_string());
            write_line(
                out,
                format_args!("write_log who={instance} body_text={text}"),
            );
        }
    }
}

/// Appends the line that reports a panic of this instance's decision module, with the panic
/// message.
pub fn write_failure(out: &mut String, instance: InstanceId, message: &str) {
    let text = one_line(message);
    write_line(
        out,
        format_args!("bail_out who={instance} body_text={text}"),
    );
}

/// Appends the line that ends a reply.
pub fn end_reply(out: &mut String) {
    out.push_str("ack\n");
}

fn write_line(out: &mut String, line: fmt::Arguments<'_>) {
    // Appending to a `String` and the `Display` of the values never fail.
    let _ = out.write_fmt(line);
    out.push('\n');
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
