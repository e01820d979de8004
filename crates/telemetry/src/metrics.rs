//! Counters, gauges and timers of requests and attempts, sent in batches to a file, standard error
//! or UDP.
//!
//! Events are counted immediately and written as lines at the next flush; timers are written
//! immediately, up to a rate limit. Lines are kept in a buffer of bounded size until a batch is
//! sent.

mod buffer;
mod counters;
mod emitter;
mod file;
mod line;
mod output;

use crate::error::TelemetryError;
use crate::log::Log;
use crate::writer::Writer;
use crate::RequestOutcome;
use buffer::LineBuffer;
use counters::{attempt_outcome, CounterName, Counters, Series, TimerLimit};
use emitter::Emitter;
use line::{escape_tag, LineFormatter, Metric, MetricKind};
use output::{BatchResult, Output};
use slatelink_admission::{CloseCause, ConnectionStats, Phase};
use slatelink_config::operators::{MetricsFormat, MetricsSettings};
use slatelink_config::{EndpointList, EndpointRecord};
use slatelink_policy::{Availability, ClassId, EndpointId, Name, Status};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// Tag value used if there is no endpoint or class to name.
const NONE_TAG: &str = "none";
/// Interval between checks for unsent data during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Mutable state of the metrics.
struct State {
    emitter: Emitter,
    counters: Counters,
    timer_limit: TimerLimit,
    /// By class: the class name as a tag value.
    classes: Vec<String>,
    /// By class: number of requests received and not completed.
    open_requests: Vec<u64>,
    /// Connection statistics of the last sample.
    connections: ConnectionStats,
    /// By endpoint: whether its breaker has opened and no attempt has started there since.
    breaker_open: BTreeMap<EndpointId, bool>,
    /// Number of dropped batches already reported in the log.
    reported_dropped_batches: u64,
}

/// Counts events and sends them as metrics; see the module documentation.
pub struct Metrics {
    format: MetricsFormat,
    flush_interval: Duration,
    no_endpoint: EndpointId,
    log: Log,
    state: RefCell<State>,
}

impl Metrics {
    /// Number of file descriptors held by the metrics.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the output of the metrics. The returned receiver must be passed to [`Metrics::run`].
    pub fn open(
        settings: &MetricsSettings,
        classes: &[Name],
        writer: &Writer,
        log: Log,
    ) -> Result<(Self, UnboundedReceiver<BatchResult>), TelemetryError> {
        let (results, finished_batches) = unbounded_channel();
        let format = settings.format;
        let emitter = Emitter::new(
            LineFormatter::new(format),
            LineBuffer::new(settings.max_batch_bytes()),
            Output::open(&settings.target, writer, results)?,
        );
        let metrics = Self {
            format,
            flush_interval: settings.flush_interval(),
            no_endpoint: NONE_TAG.into(),
            log,
            state: RefCell::new(State {
                emitter,
                counters: Counters::default(),
                timer_limit: TimerLimit::default(),
                classes: tag_values(format, classes),
                open_requests: vec![0; classes.len()],
                connections: ConnectionStats::default(),
                breaker_open: BTreeMap::new(),
                reported_dropped_batches: 0,
            }),
        };
        Ok((metrics, finished_batches))
    }

    /// See [`crate::Telemetry::classes_changed`].
    pub fn classes_changed(&self, classes: &[Name]) {
        let state = &mut *self.state.borrow_mut();
        // The counts so far belong to the earlier names.
        self.emit_counters(state);
        state.classes = tag_values(self.format, classes);
        state.open_requests.resize(classes.len(), 0);
    }

    /// See [`crate::Observer::request_received`].
    pub fn request_received(&self, class: ClassId) {
        if let Some(open) = self.state.borrow_mut().open_requests.get_mut(class.0) {
            *open += 1;
        }
    }

    /// See [`crate::Observer::request_completed`].
    pub fn request_completed(
        &self,
        class: ClassId,
        endpoint: Option<&EndpointId>,
        latency: Duration,
        outcome: RequestOutcome,
    ) {
        let state = &mut *self.state.borrow_mut();
        if let Some(open) = state.open_requests.get_mut(class.0) {
            *open = open.saturating_sub(1);
        }
        let endpoint = endpoint.unwrap_or(&self.no_endpoint);
        self.count(
            state,
            Series::new(
                CounterName::Requests,
                class,
                endpoint.clone(),
                outcome.status_tag(),
            ),
        );
        if state.timer_limit.admit(Instant::now()) {
            let endpoint = escape_tag(self.format, endpoint.as_str());
            let class = class_name(&state.classes, class);
            let tags = [("kind", class), ("host", &endpoint)];
            let latency_ms = rounded_ms(latency);
            state.emitter.emit(&Metric::new(
                "req.time",
                &tags,
                latency_ms,
                MetricKind::Timer,
            ));
        }
    }

    /// See [`crate::Observer::attempt_started`].
    pub fn attempt_started(&self, endpoint: &EndpointId) {
        if let Some(open) = self.state.borrow_mut().breaker_open.get_mut(endpoint) {
            *open = false;
        }
    }

    /// See [`crate::Observer::attempt_ended`].
    pub fn attempt_ended(&self, class: ClassId, endpoint: &EndpointId, status: Status) {
        let series = Series::new(
            CounterName::Attempts,
            class,
            endpoint.clone(),
            attempt_outcome(status),
        );
        self.count(&mut self.state.borrow_mut(), series);
    }

    /// See [`crate::Observer::endpoints_updated`].
    pub fn endpoints_updated(&self, list: &EndpointList) {
        let breaker_open = &mut self.state.borrow_mut().breaker_open;
        let mut previous = if list.complete {
            std::mem::take(breaker_open)
        } else {
            BTreeMap::new()
        };
        for endpoint in list.endpoints.iter().map(EndpointRecord::endpoint) {
            if endpoint.availability == Availability::Removed {
                breaker_open.remove(&endpoint.id);
            } else {
                let was_open = previous.remove(&endpoint.id).unwrap_or(false);
                breaker_open.entry(endpoint.id).or_insert(was_open);
            }
        }
    }

    /// See [`crate::Observer::connections_sampled`].
    pub fn connections_sampled(&self, stats: &ConnectionStats) {
        let state = &mut *self.state.borrow_mut();
        let emitter = &mut state.emitter;
        let previous = std::mem::replace(&mut state.connections, stats.clone());
        for (phase, count) in Phase::ALL.iter().zip(stats.phases) {
            let tags = [("phase", phase.label())];
            emitter.emit(&Metric::gauge("conn.open", &tags, count as u64));
        }
        emitter.emit(&Metric::gauge("conn.waiting", &[], stats.waiting as u64));
        for (index, cause) in CloseCause::ALL.iter().enumerate() {
            let tags = [("cause", cause.label())];
            let closed = stats.closed[index] - previous.closed[index];
            let refused = stats.refused[index] - previous.refused[index];
            for (name, count) in [("conn.closed", closed), ("conn.refused", refused)] {
                if count > 0 {
                    emitter.emit(&Metric::counter(name, &tags, count));
                }
            }
        }
    }

    /// Records that the breaker of this endpoint has opened.
    pub fn breaker_opened(&self, endpoint: &EndpointId) {
        if let Some(open) = self.state.borrow_mut().breaker_open.get_mut(endpoint) {
            *open = true;
        }
    }

    /// Flushes metrics every `flush_ms`, and sends further batches whenever the writer finishes
    /// one. Never returns.
    pub async fn run(self: Rc<Self>, mut finished_batches: UnboundedReceiver<BatchResult>) {
        let mut flush_timer = interval(self.flush_interval);
        flush_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = flush_timer.tick() => self.flush(),
                Some(result) = finished_batches.recv() => {
                    let emitter = &mut self.state.borrow_mut().emitter;
                    emitter.batch_finished(result);
                    emitter.send_batches();
                }
            }
        }
    }

    /// Flushes and waits for at most `limit` until all lines are sent; lines that a blocked pipe
    /// does not accept by then are lost. [`Metrics::run`] must be running.
    pub async fn shut_down(&self, limit: Duration) {
        let _ = timeout(limit, self.drain()).await;
        self.report_dropped(&mut self.state.borrow_mut());
    }

    async fn drain(&self) {
        self.flush();
        let has_unsent = || self.state.borrow().emitter.buffer.has_unsent();
        while has_unsent() || !self.state.borrow().counters.is_empty() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            if !has_unsent() {
                self.flush();
            }
        }
    }

    /// Emits counters and gauges as lines, and sends them.
    fn flush(&self) {
        let state = &mut *self.state.borrow_mut();
        if !state.emitter.buffer.is_half_full() {
            self.emit_counters(state);
        }
        for (class, &open) in state.classes.iter().zip(&state.open_requests) {
            let tags = [("kind", class.as_str())];
            state.emitter.emit(&Metric::gauge("req.open", &tags, open));
        }
        for (endpoint, &open) in &state.breaker_open {
            let endpoint = escape_tag(self.format, endpoint.as_str());
            let tags = [("host", &*endpoint)];
            let metric = Metric::gauge("host.blocked", &tags, u64::from(open));
            state.emitter.emit(&metric);
        }
        state.emitter.flush();
        self.report_dropped(state);
    }

    fn count(&self, state: &mut State, series: Series) {
        state.counters.increment(series);
        if state.counters.is_full() {
            self.emit_counters(state);
        }
    }

    /// Emits the counters as lines.
    fn emit_counters(&self, state: &mut State) {
        for (series, count) in state.counters.take() {
            let endpoint = escape_tag(self.format, series.endpoint.as_str());
            let tags = [
                ("kind", class_name(&state.classes, series.class())),
                ("host", &endpoint),
                (series.name.outcome_tag(), series.outcome),
            ];
            let metric = Metric::counter(series.name.metric(), &tags, count);
            state.emitter.emit(&metric);
        }
        let omitted = state.timer_limit.take_omitted();
        if omitted > 0 {
            let metric = Metric::counter("figures.times_left_out", &[], omitted);
            state.emitter.emit(&metric);
        }
    }

    /// Logs the number of dropped batches: while no batch can be sent, the counter of dropped
    /// batches cannot be sent either.
    fn report_dropped(&self, state: &mut State) {
        let total = state.emitter.buffer.total_dropped_batches;
        if total > state.reported_dropped_batches {
            state.reported_dropped_batches = total;
            self.log.line(&format!(
                "slatelink.figures.dropped: {total} batches so far"
            ));
        }
    }
}

/// Returns the names of classes as tag values.
fn tag_values(format: MetricsFormat, classes: &[Name]) -> Vec<String> {
    classes
        .iter()
        .map(|name| escape_tag(format, name.as_str()).into_owned())
        .collect()
}

fn class_name(classes: &[String], class: ClassId) -> &str {
    classes.get(class.0).map_or(NONE_TAG, String::as_str)
}

/// Returns the duration in milliseconds, rounded to the nearest.
fn rounded_ms(duration: Duration) -> u64 {
    const HALF_MILLISECOND: Duration = Duration::from_micros(500);
    u64::try_from((duration + HALF_MILLISECOND).as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
