//! Formats the report of a scale run as tables for a terminal.

use super::{Node, RelayTier, Report, Traffic};
use crate::scale::convergence::TimeSummary;
use crate::scale::counts::ControlCounts;
use crate::scale::traffic::TrafficCounts;
use std::fmt;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let options = &self.options;
        writeln!(
            f,
            "{} real and {} simulated nodes in {} workers, {} servers in {} zones, seed {}: {:.1} s measured",
            options.real,
            options.simulated,
            options.used_workers(),
            options.servers,
            options.zones,
            options.seed,
            self.measured_s
        )?;
        if !options.relays.is_empty() {
            let tiers: Vec<_> = options.relays.iter().map(usize::to_string).collect();
            let lease = options.relay_lease_ms;
            writeln!(
                f,
                "relays by tier from discovery on: {}; lease {lease} ms",
                tiers.join(", ")
            )?;
        }
        self.write_members(f)?;
        self.write_times(f)?;
        self.write_totals(f)
    }
}

impl Report {
    fn write_members(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<16} {:>9} {:>11} {:>9} {:>11} {:>12} {:>13} {:>12} {:>8}",
            "",
            "calls/s",
            "bytes/s",
            "answers/s",
            "bytes/s",
            "CPU us/s",
            "control us/s",
            "memory KiB",
            "sockets"
        )?;
        if let Some(real) = &self.real_node {
            write_node_line(f, "a real node", real)?;
        }
        if let Some(simulated) = &self.simulated_node {
            write_node_line(f, "a simulated node", simulated)?;
        }
        for (tier, relay) in self.relays.iter().enumerate() {
            write_relay_line(f, tier, relay)?;
        }
        self.write_discovery_line(f)?;
        let discovery = &self.discovery;
        writeln!(
            f,
            "discovery was busy for {:.2} % of the time at the configured costs; at most {} connections; \
             a worker without nodes uses {} KiB",
            discovery.busy_share * 100.0,
            discovery.most_connections,
            self.empty_worker_kib
        )
    }

    fn write_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<44} {:>7} {:>10} {:>10} {:>10}",
            "time, ms", "count", "p50", "p99", "worst"
        )?;
        write_time_line(
            f,
            "list change, to the last node",
            &self.list_change.to_last_node,
        )?;
        write_time_line(
            f,
            "list change, to each node",
            &self.list_change.to_each_node,
        )?;
        write_time_line(
            f,
            "configuration, to the last node",
            &self.configuration.to_last_node,
        )?;
        write_time_line(
            f,
            "configuration, to each node",
            &self.configuration.to_each_node,
        )?;
        write_time_line(f, "fleet start, simulated nodes", &self.start.simulated)?;
        write_time_line(f, "fleet start, real nodes", &self.start.real)?;
        let Some(fault) = &self.fault else {
            return Ok(());
        };
        if let Some(restarted) = &fault.restarted {
            write_time_line(f, "restart, simulated nodes", &restarted.simulated)?;
            write_time_line(f, "restart, real nodes", &restarted.real)?;
        }
        write_single_time_line(f, "fault start, to the last node", fault.to_last_node_ms)?;
        write_single_time_line(f, "fault end, to the last node", fault.recovered_ms)
    }

    fn write_discovery_line(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let discovery = &self.discovery;
        write_traffic_columns(f, "discovery", &discovery.traffic)?;
        let processor = discovery.processor_us_per_s;
        let (memory, sockets) = (discovery.resident_kib, discovery.connections);
        writeln!(
            f,
            " {processor:>12.0} {processor:>13.0} {memory:>12} {sockets:>8}"
        )
    }

    fn write_totals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(
            f,
            "\n{} list changes, {} configurations; messages of the whole run:",
            counts.list_changes, counts.configurations
        )?;
        write_counts_line(f, "real", &counts.real)?;
        write_counts_line(f, "simulated", &counts.simulated)?;
        if !self.relays.is_empty() {
            for (tier, relay) in self.relays.iter().enumerate() {
                write_counts_line(f, &format!("tier {}", tier + 1), &relay.callers)?;
            }
            write_counts_line(f, "discovery", &counts.discovery)?;
        }
        self.write_request_counts(f)?;
        if self.behind_at_end > 0 {
            writeln!(
                f,
                "{} nodes were not up to date at the end",
                self.behind_at_end
            )?;
        }
        Ok(())
    }

    /// Writes the request counts, if there were requests.
    fn write_request_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Node {
            requests_per_s: Some(handled),
            sent_per_s: Some(sent),
            ..
        }) = self.simulated_node
        {
            if handled > 0.0 {
                writeln!(
                    f,
                    "a simulated node handled {handled:.1} requests/s and selected a server for {sent:.1}"
                )?;
            }
        }
        if self.clients.asked > 0 {
            let TrafficCounts {
                asked,
                served,
                refused,
                unanswered,
            } = self.clients;
            writeln!(
                f,
                "clients of real nodes sent {asked} requests: {served} served, {refused} refused, {unanswered} unanswered"
            )?;
        }
        Ok(())
    }
}

/// Writes the line of a node kind in the table of members.
fn write_node_line(f: &mut fmt::Formatter<'_>, name: &str, node: &Node) -> fmt::Result {
    write_traffic_columns(f, name, &node.traffic)?;
    let control = node.control_processor_us_per_s;
    let control = control.map_or_else(|| "-".to_owned(), |time| format!("{time:.0}"));
    let (processor, memory) = (node.processor_us_per_s, node.resident_kib);
    writeln!(
        f,
        " {processor:>12.0} {control:>13} {memory:>12.0} {:>8.1}",
        node.connections
    )
}

/// Writes the line of a tier of relays in the table of members. `tier` counts from 0.
fn write_relay_line(f: &mut fmt::Formatter<'_>, tier: usize, relay: &RelayTier) -> fmt::Result {
    write_traffic_columns(f, &format!("a relay, tier {}", tier + 1), &relay.traffic)?;
    let (processor, memory) = (relay.processor_us_per_s, relay.resident_kib);
    writeln!(
        f,
        " {processor:>12.0} {processor:>13.0} {memory:>12.0} {:>8.1}",
        relay.connections
    )
}

/// Writes a line of message and byte counts.
fn write_counts_line(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    counts: &ControlCounts,
) -> fmt::Result {
    writeln!(
        f,
        "{name:<10} {} calls ({} for snapshots), {} bytes; {} answers ({} snapshots, {} deltas, {} empty, \
         {} refused), {} bytes, {} entries; {} connections, {} reset",
        counts.calls(),
        counts.whole_calls,
        counts.call_bytes,
        counts.answers(),
        counts.whole_answers,
        counts.change_answers,
        counts.empty_answers,
        counts.refused,
        counts.answer_bytes,
        counts.entries,
        counts.connections,
        counts.resets
    )
}

/// Writes the line of a single time, if it was measured.
fn write_single_time_line(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    time: Option<f64>,
) -> fmt::Result {
    match time {
        Some(time) => writeln!(f, "{name:<44} {:>7} {:>10} {:>10} {time:>10.1}", 1, "", ""),
        None => Ok(()),
    }
}

/// Writes the columns that all members have in common.
fn write_traffic_columns(f: &mut fmt::Formatter<'_>, name: &str, traffic: &Traffic) -> fmt::Result {
    let Traffic {
        calls_per_s,
        call_bytes_per_s,
        answers_per_s,
        answer_bytes_per_s,
    } = traffic;
    write!(
        f,
        "{name:<16} {calls_per_s:>9.3} {call_bytes_per_s:>11.1} {answers_per_s:>9.3} {answer_bytes_per_s:>11.1}"
    )
}

/// Writes a line of times, if any were measured.
fn write_time_line(f: &mut fmt::Formatter<'_>, name: &str, times: &TimeSummary) -> fmt::Result {
    let TimeSummary {
        count,
        p50_ms,
        p99_ms,
        worst_ms,
    } = times;
    if *count == 0 {
        return Ok(());
    }
    writeln!(
        f,
        "{name:<44} {count:>7} {p50_ms:>10.1} {p99_ms:>10.1} {worst_ms:>10.1}"
    )
}
