//! `slatelink lab idle`: what idle client connections cost a node.

use crate::exit::{unusable, CommandResult};
use crate::node_arguments::NodeArguments;
use clap::Args;
use slatelink_lab::idle::{self, IdleSample};
use std::io::{self, Write};
use std::process::ExitCode;

/// Numbers of idle connections that are measured on the way to the one asked for.
const INTERMEDIATE_SIZES: [usize; 3] = [0, 1_000, 10_000];

#[derive(Args)]
pub struct Idle {
    /// Connections to hold; each takes two descriptors of this machine
    #[arg(long, visible_alias = "count", default_value_t = 5_000,
        value_parser = clap::value_parser!(u32).range(1..=200_000))]
    connections: u32,
    /// Make so many at a time, half a second apart
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(1..=200_000))]
    batch: u32,
    #[command(flatten)]
    node: NodeArguments,
}

impl Idle {
    /// Measures and prints the table.
    pub fn run(self) -> CommandResult {
        self.node.start_log();
        if self.node.names_features() {
            return unusable("lab idle writes the node's section front itself: --features must go");
        }
        let sizes = sizes(self.connections as usize);
        let measured = idle::measure(self.node.program()?, &sizes, self.batch as usize)?;
        print(&measured)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// The sizes to measure, up to this many connections.
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
    for crowd in &measured.crowds {
        let IdleSample {
            held,
            resident_kib,
            bytes_each,
            p50_ms,
            p99_ms,
        } = crowd;
        writeln!(
            out,
            "{held:>8} {resident_kib:>10} {bytes_each:>11.0} {p50_ms:>14.2} {p99_ms:>14.2}"
        )?;
    }
    writeln!(
        out,
        "{} were closed by the node with their first answer",
        measured.closed
    )?;
    writeln!(
        out,
        "all spoke at once: {} answered, the last after {:.0} ms; the node took {} KiB at most",
        measured.answered, measured.burst_ms, measured.peak_kib
    )?;
    writeln!(
        out,
        "SIGTERM with {} of them idle: {} closed, the last after {:.0} ms (500 ms are for the front to notice)",
        measured.answered, measured.stopped, measured.stop_ms
    )
}
