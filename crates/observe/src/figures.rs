//! Counters, gauges and timers of requests and attempts, in batches to a file, standard error or UDP.

mod batch;
mod line;
mod output;

use crate::log::Log;
use crate::writer::Writer;
use crate::End;
use batch::Flight;
use line::{outcome, tag, Measure};
use output::Output;
use slatelink_config::operators::{Figures as Settings, Format};
use slatelink_config::{Host, Listing};
use slatelink_decide::{Availability, ClassId, Name, ServerId, Status};
use slatelink_front::{Cause, Figures as Connections, Phase};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// What waits to go out, the batch that is being written included, is never more bytes than this.
const BUFFER: usize = 256 << 10;
/// Of these, kept free for the counters of what was lost, which a batch gets as it goes out.
const CARRIED: usize = 256;
/// So many series of counters are merged between two flushes; one more, and they go out before the flush.
const SERIES: usize = 2048;
/// So many timers are written whole each second; what is past them is counted.
const TIMES: u32 = 500;
/// Stands for the host where none was picked.
const NO_HOST: &str = "none";

/// A counter's name, class, host and last tag.
type Series = (&'static str, usize, ServerId, &'static str);

#[derive(Default)]
struct State {
    /// Counted since the last flush. Where what was written before is stuck they are merged on: no count is lost.
    counts: BTreeMap<Series, u64>,
    /// The second that timers are counted in, how many went out in it, and how many of all were left out.
    second: Option<Instant>,
    timed: u32,
    times_left_out: u64,
    /// Whole lines, the oldest first.
    lines: VecDeque<u8>,
    /// So many of these bytes have waited for a flush: they go out also where they fill no batch.
    due: usize,
    flight: Option<Flight>,
    /// Batches dropped, and lines pushed out of a full buffer, that no batch that got out has told of.
    dropped: u64,
    pushed_out: u64,
    dropped_ever: u64,
    /// As standard error has it.
    dropped_told: u64,
    open: Vec<u64>,
    /// As they were told last.
    connections: Connections,
    /// By host: whether its breaker has tripped and nothing was sent there since.
    blocked: BTreeMap<ServerId, bool>,
    /// Points of one instant and the same tags would replace each other in InfluxDB.
    stamp: u128,
}

/// See the module's page.
pub struct Figures {
    format: Format,
    batch: usize,
    flush: Duration,
    classes: Vec<String>,
    no_host: ServerId,
    output: Output,
    log: Log,
    state: RefCell<State>,
}

impl Figures {
    /// Descriptors that they hold.
    pub const DESCRIPTORS: usize = 1;

    /// Opens what they go to. The receiver is for [`Figures::run`].
    pub fn open(
        settings: &Settings,
        classes: &[Name],
        writer: &Writer,
        log: Log,
    ) -> Result<(Self, UnboundedReceiver<bool>), String> {
        let (results, landed) = unbounded_channel();
        let output = Output::open(&settings.target, writer, results)?;
        let format = settings.format;
        let figures = Self {
            format,
            batch: settings.batch(),
            flush: settings.flush(),
            classes: classes.iter().map(|name| tag(format, name.as_str()).into_owned()).collect(),
            no_host: NO_HOST.into(),
            output,
            log,
            state: RefCell::new(State { open: vec![0; classes.len()], ..State::default() }),
        };
        Ok((figures, landed))
    }

    /// A request of this class was taken.
    pub fn taken(&self, class: ClassId) {
        if let Some(open) = self.state.borrow_mut().open.get_mut(class.0) {
            *open += 1;
        }
    }

    /// It has its final answer; `host` is the server that served it, or was tried last.
    pub fn answered(&self, class: ClassId, host: Option<&ServerId>, took: Duration, end: End) {
        let state = &mut *self.state.borrow_mut();
        if let Some(open) = state.open.get_mut(class.0) {
            *open = open.saturating_sub(1);
        }
        let host = host.unwrap_or(&self.no_host);
        self.count(state, ("req.count", class.0, host.clone(), end.word()));
        let now = Instant::now();
        if state.second.is_none_or(|second| now - second >= Duration::from_secs(1)) {
            (state.second, state.timed) = (Some(now), 0);
        }
        if state.timed == TIMES {
            state.times_left_out += 1;
            return;
        }
        state.timed += 1;
        let host = tag(self.format, host.as_str());
        let ms = u64::try_from((took + Duration::from_micros(500)).as_millis()).unwrap_or(u64::MAX);
        self.add(state, "req.time", &[("kind", self.kind(class)), ("host", &host)], ms, Measure::Timer);
    }

    fn count(&self, state: &mut State, series: Series) {
        *state.counts.entry(series).or_default() += 1;
        if state.counts.len() >= SERIES {
            self.write_counts(state);
        }
    }

    /// Turns what was counted into lines.
    fn write_counts(&self, state: &mut State) {
        for ((name, class, host, last), count) in std::mem::take(&mut state.counts) {
            let last = (if name == "req.count" { "status" } else { "outcome" }, last);
            let host = tag(self.format, host.as_str());
            let tags = [("kind", self.kind(ClassId(class))), ("host", &*host), last];
            self.add(state, name, &tags, count, Measure::Counter);
        }
        let left_out = std::mem::take(&mut state.times_left_out);
        if left_out > 0 {
            self.add(state, "figures.times_left_out", &[], left_out, Measure::Counter);
        }
    }

    /// An attempt begins.
    pub fn sent(&self, host: &ServerId) {
        if let Some(blocked) = self.state.borrow_mut().blocked.get_mut(host) {
            *blocked = false;
        }
    }

    /// An attempt has ended.
    pub fn ended(&self, class: ClassId, host: &ServerId, status: Status) {
        let series = ("attempt.count", class.0, host.clone(), outcome(status));
        self.count(&mut self.state.borrow_mut(), series);
    }

    /// Discovery's word of hosts.
    pub fn learned(&self, listing: &Listing) {
        let blocked = &mut self.state.borrow_mut().blocked;
        let mut held = if listing.whole { std::mem::take(blocked) } else { BTreeMap::new() };
        for entry in listing.hosts.iter().map(Host::entry) {
            if entry.availability == Availability::Gone {
                blocked.remove(&entry.id);
            } else {
                let was = held.remove(&entry.id).unwrap_or(false);
                blocked.entry(entry.id).or_insert(was);
            }
        }
    }

    /// What the table of clients' connections is like.
    pub fn connections(&self, now: &Connections) {
        let state = &mut *self.state.borrow_mut();
        let was = std::mem::replace(&mut state.connections, now.clone());
        for (phase, count) in Phase::ALL.iter().zip(now.phases) {
            self.add(state, "conn.open", &[("phase", phase.word())], count as u64, Measure::Gauge);
        }
        self.add(state, "conn.waiting", &[], now.waiting as u64, Measure::Gauge);
        for (i, cause) in Cause::ALL.iter().enumerate() {
            let tags = [("cause", cause.word())];
            for (name, count) in [
                ("conn.closed", now.closed[i] - was.closed[i]),
                ("conn.refused", now.refused[i] - was.refused[i]),
            ] {
                if count > 0 {
                    self.add(state, name, &tags, count, Measure::Counter);
                }
            }
        }
    }

    /// The breaker of this host has tripped.
    pub fn tripped(&self, host: &ServerId) {
        if let Some(blocked) = self.state.borrow_mut().blocked.get_mut(host) {
            *blocked = true;
        }
    }

    /// Sends what waits each `flush_ms`, and on as the writer is done with a batch; never returns.
    pub async fn run(self: Rc<Self>, mut landed: UnboundedReceiver<bool>) {
        let mut turns = interval(self.flush);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = turns.tick() => self.flush(),
                Some(well) = landed.recv() => {
                    let state = &mut *self.state.borrow_mut();
                    self.landed(state, well);
                    self.send_on(state);
                }
            }
        }
    }

    /// Flushes and waits until all is out, or for `limit`. [`Figures::run`] must be running.
    pub async fn stop(&self, limit: Duration) {
        const STEP: Duration = Duration::from_millis(2);
        self.flush();
        let waits = |state: &State| state.flight.is_some() || !state.lines.is_empty();
        let empty = async {
            while waits(&self.state.borrow()) || !self.state.borrow().counts.is_empty() {
                tokio::time::sleep(STEP).await;
                if !waits(&self.state.borrow()) {
                    self.flush();
                }
            }
        };
        // What a stuck pipe does not take by then is lost.
        let _ = timeout(limit, empty).await;
        self.tell_dropped(&mut self.state.borrow_mut());
    }

    fn flush(&self) {
        let state = &mut *self.state.borrow_mut();
        if state.lines.len() < BUFFER / 2 {
            self.write_counts(state);
        }
        for class in 0..self.classes.len() {
            let open = state.open[class];
            self.add(state, "req.open", &[("kind", self.kind(ClassId(class)))], open, Measure::Gauge);
        }
        let blocked = std::mem::take(&mut state.blocked);
        for (host, &blocked) in &blocked {
            let host = tag(self.format, host.as_str());
            self.add(state, "host.blocked", &[("host", &host)], u64::from(blocked), Measure::Gauge);
        }
        state.blocked = blocked;
        state.due = state.lines.len();
        self.send_on(state);
        self.tell_dropped(state);
    }

    /// Where no batch gets out, their number can only be told beside them.
    fn tell_dropped(&self, state: &mut State) {
        if state.dropped_ever > state.dropped_told {
            state.dropped_told = state.dropped_ever;
            let total = state.dropped_ever;
            self.log.line(&format!("slatelink.figures.dropped: {total} batches so far"));
        }
    }

    fn kind(&self, class: ClassId) -> &str {
        self.classes.get(class.0).map_or(NO_HOST, String::as_str)
    }

    fn add(&self, state: &mut State, name: &str, tags: &[(&str, &str)], value: u64, measure: Measure) {
        let line = self.line(state, name, tags, value, measure);
        let flying = state.flight.map_or(0, |flight| flight.bytes);
        while state.lines.len() + flying + line.len() > BUFFER - CARRIED {
            // At most a batch is being written, so some line of those that wait can go.
            let oldest = state.lines.iter().position(|&byte| byte == b'\n').map_or(0, |end| end + 1);
            if oldest == 0 {
                return;
            }
            state.lines.drain(..oldest);
            state.due = state.due.saturating_sub(oldest);
            state.pushed_out += 1;
        }
        let whole = state.lines.len() + line.len();
        if whole > state.lines.capacity() {
            // Grown by itself, it could take twice its bound.
            state.lines.reserve_exact(whole.next_power_of_two().min(BUFFER) - state.lines.len());
        }
        state.lines.extend(line.as_bytes());
        self.send_on(state);
    }
}

#[cfg(test)]
mod tests;
