//! `slatelink lab idle`: measures a node's memory and latency with idle client connections.

use crate::exit::{unusable, CommandResult};
use crate::node_arguments::NodeArguments;
use clap::Args;
use slatelink_lab::idle::{self, IdleSample};
use std::io::{self, Write};
use std::process::ExitCode;

/// Numbers of idle connections measured before the requested number.
const INTERMEDIATE_SIZES: [usize; 3] = [0, 1_000, 10_000];

#[derive(Args)]
pub struct Idle {
    /// Connections to hold; each takes two descriptors on this machine
    #[arg(long, visible_alias = "count", default_value_t = 5_000,
        value_parser = clap::value_parser!(u32).range(1..=200_000))]
    connections: u32,
    /// Number of connections opened at a time; batches are about half a second apart
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(1..=200_000))]
    batch: u32,
    #[command(flatten)]
    node: NodeArguments,
}

impl Idle {
    /// Runs the measurement and prints the results.
    pub fn run(self) -> CommandResult {
        self.node.start_log();
        if self.node.has_features() {
            return unusable(
                "lab idle sets the section [front] of the node itself: --features is not allowed",
            );
        }
        let sizes = sizes(self.connections as usize);
        let measured = idle::measure(self.node.program()?, &sizes, self.batch as usize)?;
        print(&measured)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns the numbers of connections to measure, up to this number.
fn sizes(connections: usize) -> Vec<usize> {
    INTERMEDIATE_SIZES
        .into_iter()
        .filter(|&size| size < connections)
        .chain([connections])
        .collect()
}

fn print(measured: &idle::IdleReport) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{:>8} {:>10} {:>11} {:>14} {:>14}",
        "idle", "KiB", "bytes each", "look-up p50 ms", "p99 ms"
    )?;
    for sample in &measured.samples {
        let IdleSample {
            held,
            resident_kib,
            bytes_each,
            p50_ms,
            p99_ms,
        } = sample;
        writeln!(
            out,
            "{held:>8} {resident_kib:>10} {bytes_each:>11.0} {p50_ms:>14.2} {p99_ms:>14.2}"
        )?;
    }
    writeln!(
        out,
        "{} connections were closed by the node with their first response",
        measured.closed
    )?;
    writeln!(
        out,
        "requests on all connections at once: {} answered, the last after {:.0} ms; peak memory of the node {} KiB",
        measured.answered, measured.burst_ms, measured.peak_kib
    )?;
    writeln!(
        out,
        "SIGTERM with {} idle connections: {} closed, the last after {:.0} ms (the node drains for 500 ms)",
        measured.answered, measured.stopped, measured.stop_ms
    )
}
