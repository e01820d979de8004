//! The simulator adapter: runs balancers on the simulator's wire, on standard input and output.
//! Each instance is one isolated [`Balancer`]; each batch of lines gets a reply of lines.

use slatelink_policy::{Action, Balancer, Event, Timestamp};
use slatelink_wire::{
    end_reply, write_action, write_failure, InstanceId, Message, Parser, WireError,
};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Size of the input buffer in bytes: batches for many instances are long.
const INPUT_BUFFER_BYTES: usize = 256 * 1024;

/// Reason why the adapter ends before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let output = io::stdout().lock();
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slatelink-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles the lines of `input` until its end.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut parser = Parser::default();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    while input.read_line(&mut line)? > 0 {
        if let Some(message) = parser.parse_line(&line)? {
            adapter.handle(message, &mut output)?;
        }
        line.clear();
    }
    Ok(())
}

/// The instances and the state of the current batch.
#[derive(Default)]
struct Adapter {
    instances: HashMap<InstanceId, Balancer>,
    /// Time of the batch.
    now: Timestamp,
    /// Lines of the reply to the current batch.
    reply: String,
    /// Buffer for the actions of one event, kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles a message. If the message ends the batch, writes the reply to `output`.
    fn handle(&mut self, message: Message, output: &mut impl Write) -> io::Result<()> {
        match message {
            Message::Tick(time) => self.now = time,
            Message::Start {
                instance,
                seed,
                settings,
            } => {
                self.instances
                    .insert(instance, Balancer::new(*settings, seed));
            }
            Message::Stop { instance } => {
                self.instances.remove(&instance);
            }
            Message::Event { instance, event } => self.handle_event(instance, event),
            Message::EndOfBatch => self.send_reply(output)?,
        }
        Ok(())
    }

    /// Passes an event to an instance and appends its actions to the reply. A panic of the decision
    /// module is also reported in the reply, and the other instances continue.
    fn handle_event(&mut self, instance: InstanceId, event: Event) {
        let Some(balancer) = self.instances.get_mut(&instance) else {
            return;
        };
        self.actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            balancer.handle(self.now, event, &mut self.actions);
        }));
        for action in &self.actions {
            write_action(&mut self.reply, instance, action);
        }
        if let Err(panic) = handled {
            write_failure(&mut self.reply, instance, panic_message(&*panic));
        }
    }

    /// Writes the reply to the batch and clears it for the next batch.
    fn send_reply(&mut self, output: &mut impl Write) -> io::Result<()> {
        end_reply(&mut self.reply);
        output.write_all(self.reply.as_bytes())?;
        output.flush()?;
        self.reply.clear();
        Ok(())
    }
}

/// Returns the message of a panic if it is text.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
