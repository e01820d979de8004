//! Counters, gauges and timers of requests and attempts, in batches to a file, standard error or UDP.

mod batch;
mod line;
mod output;

use crate::error::TelemetryError;
use crate::log::Log;
use crate::writer::Writer;
use crate::RequestOutcome;
use batch::InFlightBatch;
use line::{escape_tag, outcome_tag, MetricKind};
use output::Output;
use slatelink_admission::{CloseCause, ConnectionStats, Phase};
use slatelink_config::operators::{MetricsFormat, MetricsSettings};
use slatelink_config::{EndpointList, EndpointRecord};
use slatelink_policy::{Availability, ClassId, EndpointId, Name, Status};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// What waits to go out, the batch that is being written included, is never more bytes than this.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Of these, kept free for the counters of what was lost, which a batch gets as it goes out.
const LOSS_COUNTER_BYTES: usize = 256;
/// So many series of counters are merged between two flushes; one more, and they go out before the flush.
const MAX_SERIES: usize = 2048;
/// So many timers are written whole each second; what is past them is counted.
const MAX_TIMERS_PER_SECOND: u32 = 500;
/// Stands for the host where none was picked.
const NO_HOST: &str = "none";

/// A counter's name, class, host and last tag.
type Series = (&'static str, usize, EndpointId, &'static str);

#[derive(Default)]
struct State {
    /// Counted since the last flush. Where what was written before is stuck they are merged on: no count is lost.
    counts: BTreeMap<Series, u64>,
    /// The second that timers are counted in, how many went out in it, and how many of all were left out.
    timer_second: Option<Instant>,
    timers_this_second: u32,
    timers_omitted: u64,
    /// Whole lines, the oldest first.
    lines: VecDeque<u8>,
    /// So many of these bytes have waited for a flush: they go out also where they fill no batch.
    due_bytes: usize,
    in_flight: Option<InFlightBatch>,
    /// Batches dropped, and lines pushed out of a full buffer, that no batch that got out has told of.
    dropped: u64,
    pushed_out: u64,
    dropped_total: u64,
    /// As standard error has it.
    dropped_reported: u64,
    open_requests: Vec<u64>,
    /// As they were told last.
    connections: ConnectionStats,
    /// By host: whether its breaker has tripped and nothing was sent there since.
    blocked: BTreeMap<EndpointId, bool>,
    /// Points of one instant and the same tags would replace each other in InfluxDB.
    last_timestamp: u128,
}

/// See the module's page.
pub struct Figures {
    format: MetricsFormat,
    batch: usize,
    flush: Duration,
    classes: Vec<String>,
    no_host: EndpointId,
    output: Output,
    log: Log,
    state: RefCell<State>,
}

impl Figures {
    /// Descriptors that they hold.
    pub const DESCRIPTORS: usize = 1;

    /// Opens what they go to. The receiver is for [`Figures::run`].
    pub fn open(
        settings: &MetricsSettings,
        classes: &[Name],
        writer: &Writer,
        log: Log,
    ) -> Result<(Self, UnboundedReceiver<bool>), TelemetryError> {
        let (results, finished_batches) = unbounded_channel();
        let output = Output::open(&settings.target, writer, results)?;
        let format = settings.format;
        let figures = Self {
            format,
            batch: settings.max_batch_bytes(),
            flush: settings.flush_interval(),
            classes: classes
                .iter()
                .map(|name| escape_tag(format, name.as_str()).into_owned())
                .collect(),
            no_host: NO_HOST.into(),
            output,
            log,
            state: RefCell::new(State {
                open_requests: vec![0; classes.len()],
                ..State::default()
            }),
        };
        Ok((figures, finished_batches))
    }

    /// A request of this class was taken.
    pub fn request_received(&self, class: ClassId) {
        if let Some(open) = self.state.borrow_mut().open_requests.get_mut(class.0) {
            *open += 1;
        }
    }

    /// It has its final answer; `host` is the server that served it, or was tried last.
    pub fn request_completed(
        &self,
        class: ClassId,
        host: Option<&EndpointId>,
        took: Duration,
        end: RequestOutcome,
    ) {
        let state = &mut *self.state.borrow_mut();
        if let Some(open) = state.open_requests.get_mut(class.0) {
            *open = open.saturating_sub(1);
        }
        let host = host.unwrap_or(&self.no_host);
        self.count(state, ("req.count", class.0, host.clone(), end.word()));
        let now = Instant::now();
        if state
            .timer_second
            .is_none_or(|second| now - second >= Duration::from_secs(1))
        {
            (state.timer_second, state.timers_this_second) = (Some(now), 0);
        }
        if state.timers_this_second == MAX_TIMERS_PER_SECOND {
            state.timers_omitted += 1;
            return;
        }
        state.timers_this_second += 1;
        let host = escape_tag(self.format, host.as_str());
        let ms = u64::try_from((took + Duration::from_micros(500)).as_millis()).unwrap_or(u64::MAX);
        self.add_line(
            state,
            "req.time",
            &[("kind", self.class_name(class)), ("host", &host)],
            ms,
            MetricKind::Timer,
        );
    }

    fn count(&self, state: &mut State, series: Series) {
        *state.counts.entry(series).or_default() += 1;
        if state.counts.len() >= MAX_SERIES {
            self.write_counts(state);
        }
    }

    /// Turns what was counted into lines.
    fn write_counts(&self, state: &mut State) {
        for ((name, class, host, last), count) in std::mem::take(&mut state.counts) {
            let last = (
                if name == "req.count" {
                    "status"
                } else {
                    "outcome"
                },
                last,
            );
            let host = escape_tag(self.format, host.as_str());
            let tags = [
                ("kind", self.class_name(ClassId(class))),
                ("host", &*host),
                last,
            ];
            self.add_line(state, name, &tags, count, MetricKind::Counter);
        }
        let omitted = std::mem::take(&mut state.timers_omitted);
        if omitted > 0 {
            self.add_line(
                state,
                "figures.times_left_out",
                &[],
                omitted,
                MetricKind::Counter,
            );
        }
    }

    /// An attempt begins.
    pub fn attempt_started(&self, host: &EndpointId) {
        if let Some(blocked) = self.state.borrow_mut().blocked.get_mut(host) {
            *blocked = false;
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, class: ClassId, host: &EndpointId, status: Status) {
        let series = ("attempt.count", class.0, host.clone(), outcome_tag(status));
        self.count(&mut self.state.borrow_mut(), series);
    }

    /// Discovery's word of hosts.
    pub fn endpoints_updated(&self, list: &EndpointList) {
        let blocked = &mut self.state.borrow_mut().blocked;
        let mut previous = if list.complete {
            std::mem::take(blocked)
        } else {
            BTreeMap::new()
        };
        for entry in list.endpoints.iter().map(EndpointRecord::endpoint) {
            if entry.availability == Availability::Removed {
                blocked.remove(&entry.id);
            } else {
                let was_blocked = previous.remove(&entry.id).unwrap_or(false);
                blocked.entry(entry.id).or_insert(was_blocked);
            }
        }
    }

    /// What the table of clients' connections is like.
    pub fn connections_sampled(&self, now: &ConnectionStats) {
        let state = &mut *self.state.borrow_mut();
        let previous = std::mem::replace(&mut state.connections, now.clone());
        for (phase, count) in Phase::ALL.iter().zip(now.phases) {
            self.add_line(
                state,
                "conn.open",
                &[("phase", phase.label())],
                count as u64,
                MetricKind::Gauge,
            );
        }
        self.add_line(
            state,
            "conn.waiting",
            &[],
            now.waiting as u64,
            MetricKind::Gauge,
        );
        for (index, cause) in CloseCause::ALL.iter().enumerate() {
            let tags = [("cause", cause.label())];
            for (name, count) in [
                ("conn.closed", now.closed[index] - previous.closed[index]),
                ("conn.refused", now.refused[index] - previous.refused[index]),
            ] {
                if count > 0 {
                    self.add_line(state, name, &tags, count, MetricKind::Counter);
                }
            }
        }
    }

    /// The breaker of this host has tripped.
    pub fn breaker_opened(&self, host: &EndpointId) {
        if let Some(blocked) = self.state.borrow_mut().blocked.get_mut(host) {
            *blocked = true;
        }
    }

    /// Sends what waits each `flush_ms`, and on as the writer is done with a batch; never returns.
    pub async fn run(self: Rc<Self>, mut finished_batches: UnboundedReceiver<bool>) {
        let mut flush_timer = interval(self.flush);
        flush_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = flush_timer.tick() => self.flush(),
                Some(succeeded) = finished_batches.recv() => {
                    let state = &mut *self.state.borrow_mut();
                    self.batch_finished(state, succeeded);
                    self.send_batches(state);
                }
            }
        }
    }

    /// Flushes and waits until all is out, or for `limit`. [`Figures::run`] must be running.
    pub async fn stop(&self, limit: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(2);
        self.flush();
        let has_unsent = |state: &State| state.in_flight.is_some() || !state.lines.is_empty();
        let empty = async {
            while has_unsent(&self.state.borrow()) || !self.state.borrow().counts.is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
                if !has_unsent(&self.state.borrow()) {
                    self.flush();
                }
            }
        };
        // What a stuck pipe does not take by then is lost.
        let _ = timeout(limit, empty).await;
        self.report_dropped(&mut self.state.borrow_mut());
    }

    fn flush(&self) {
        let state = &mut *self.state.borrow_mut();
        if state.lines.len() < MAX_BUFFERED_BYTES / 2 {
            self.write_counts(state);
        }
        for class in 0..self.classes.len() {
            let open = state.open_requests[class];
            self.add_line(
                state,
                "req.open",
                &[("kind", self.class_name(ClassId(class)))],
                open,
                MetricKind::Gauge,
            );
        }
        let blocked = std::mem::take(&mut state.blocked);
        for (host, &blocked) in &blocked {
            let host = escape_tag(self.format, host.as_str());
            self.add_line(
                state,
                "host.blocked",
                &[("host", &host)],
                u64::from(blocked),
                MetricKind::Gauge,
            );
        }
        state.blocked = blocked;
        state.due_bytes = state.lines.len();
        self.send_batches(state);
        self.report_dropped(state);
    }

    /// Where no batch gets out, their number can only be told beside them.
    fn report_dropped(&self, state: &mut State) {
        if state.dropped_total > state.dropped_reported {
            state.dropped_reported = state.dropped_total;
            let total = state.dropped_total;
            self.log.line(&format!(
                "slatelink.figures.dropped: {total} batches so far"
            ));
        }
    }

    fn class_name(&self, class: ClassId) -> &str {
        self.classes.get(class.0).map_or(NO_HOST, String::as_str)
    }

    fn add_line(
        &self,
        state: &mut State,
        name: &str,
        tags: &[(&str, &str)],
        value: u64,
        metric_kind: MetricKind,
    ) {
        let line = self.format_line(state, name, tags, value, metric_kind);
        let in_flight_bytes = state.in_flight.map_or(0, |flight| flight.bytes);
        while state.lines.len() + in_flight_bytes + line.len()
            > MAX_BUFFERED_BYTES - LOSS_COUNTER_BYTES
        {
            // At most a batch is being written, so some line of those that wait can go.
            let oldest_end = state
                .lines
                .iter()
                .position(|&byte| byte == b'\n')
                .map_or(0, |end| end + 1);
            if oldest_end == 0 {
                return;
            }
            state.lines.drain(..oldest_end);
            state.due_bytes = state.due_bytes.saturating_sub(oldest_end);
            state.pushed_out += 1;
        }
        let needed = state.lines.len() + line.len();
        if needed > state.lines.capacity() {
            // Grown by itself, it could take twice its bound.
            state.lines.reserve_exact(
                needed.next_power_of_two().min(MAX_BUFFERED_BYTES) - state.lines.len(),
            );
        }
        state.lines.extend(line.as_bytes());
        self.send_batches(state);
    }
}

#[cfg(test)]
mod tests;
