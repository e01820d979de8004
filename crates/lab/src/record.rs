//! What stand-ins and clients saw of a run. Times are microseconds from its start.

use crate::scenario::FaultKind;

/// A try of a request: the arrival's place in the plan, and which of its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TryId {
    /// Place in the plan.
    pub arrival: u32,
    /// From 0.
    pub number: u8,
}

impl TryId {
    /// As `Req-Id` words it.
    pub fn text(self) -> String {
        format!("{:x}-{}", self.arrival, self.number)
    }

    /// From a `Req-Id`.
    pub fn parse(text: &str) -> Option<Self> {
        let (arrival, number) = text.split_once('-')?;
        let id = Self {
            arrival: u32::from_str_radix(arrival, 16).ok()?,
            number: number.parse().ok()?,
        };
        // A number has one wording.
        (id.text() == text).then_some(id)
    }
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 200, with a body that a server made for this try.
    Served,
    /// 429 or 503; whether it said when to come back.
    Refused {
        /// Milliseconds of `Retry-After`.
        retry_after: Option<u32>,
    },
    /// Any other status.
    Failed(u16),
    /// The client gave up.
    TimedOut,
    /// The connection ended before the whole answer; whether anything of it had come.
    Broke {
        /// Bytes of the answer came.
        begun: bool,
    },
    /// No connection, or it broke before the request was written.
    NotSent,
    /// 200 with a body that no server made for this try.
    Foreign,
    /// More came on the connection after the answer, before anything else was asked.
    Twice,
}

/// One try, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Which.
    pub id: TryId,
    /// The node it was sent to.
    pub node: usize,
    /// When it should have been sent.
    pub due: u64,
    /// When its last byte was written.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// It was the first on its connection.
    pub first_on_connection: bool,
    /// How it ended.
    pub end: End,
}

/// What a server did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Turned away unseen.
    Declined,
    /// Run, or at work still: its answer may be out, lost or yet to come.
    Ran,
    /// Taken and dropped while it waited, since the node had left.
    Dropped,
}

/// One attempt of a node's, as the server saw it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Of which try.
    pub id: TryId,
    /// From.
    pub node: usize,
    /// To.
    pub server: usize,
    /// When its first byte came.
    pub first_byte_at: u64,
    /// When its last byte came.
    pub received_at: u64,
    /// What became of it.
    pub outcome: AttemptOutcome,
}

/// What discovery wrote to a node about the availability of a server.
#[derive(Clone, Copy, Debug)]
pub struct AvailabilityNotice {
    /// The node it was written to.
    pub node: usize,
    /// The server it is about.
    pub server: usize,
    /// Whether the server takes work.
    pub ready: bool,
    /// When it was written.
    pub at: u64,
}

/// A change of a server's availability, as discovery came to know it.
#[derive(Clone, Copy, Debug)]
pub struct AvailabilityChange {
    /// The server that it is about.
    pub server: usize,
    /// Whether the server takes work from then on.
    pub ready: bool,
    /// When discovery had it to report.
    pub at: u64,
}

/// A server or the database was sent more than it withstands, and stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Overload {
    /// Which server; `None` for the database.
    pub server: Option<usize>,
    /// When.
    pub at: u64,
    /// What it was sent in the span, in seconds of work.
    pub sent: f64,
    /// What it can do in the span.
    pub capacity: f64,
    /// Share of it that came from misses at cold servers; for the database.
    pub cold_share: f64,
}

/// What happened to a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It is ready for clients.
    Ready,
    /// It was sent SIGKILL.
    Killed,
    /// It was sent SIGTERM.
    Terminating,
    /// It exited in order after SIGTERM.
    Exited,
    /// It exited by itself, or not in order after SIGTERM.
    Died,
}

/// An event of a node's process, and when it happened.
#[derive(Clone, Debug)]
pub struct NodeEvent {
    /// The node, by its position.
    pub node: usize,
    /// What happened.
    pub event: ProcessEvent,
    /// When.
    pub at: u64,
    /// The exit status and the end of the log, where the event is a failure.
    pub detail: String,
}

/// A sample of a server.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: u64,
    /// Which.
    pub server: usize,
    /// Requests at work and waiting.
    pub held: usize,
    /// Fetches and writes at the database; the same for all servers.
    pub fetches: usize,
}

/// A fault, as it was played on one server or node.
#[derive(Clone, Copy, Debug)]
pub struct AppliedFault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub from: u64,
    /// Until when; `None` for one without an end of its own.
    pub until: Option<u64>,
    /// Position of the server or node; 0 for discovery.
    pub target: usize,
}

/// A request with an id that no client had sent.
#[derive(Clone, Debug)]
pub struct UnknownRequest {
    /// The server that it came to.
    pub server: usize,
    /// Its `Req-Id`.
    pub id: String,
    /// When its last byte came.
    pub at: u64,
}

/// Everything.
#[derive(Debug, Default)]
pub struct Record {
    /// By the clients.
    pub tries: Vec<Try>,
    /// By the servers.
    pub attempts: Vec<Attempt>,
    /// By discovery.
    pub notices: Vec<AvailabilityNotice>,
    /// What discovery had to report, whether or not a node asked for it.
    pub availability_changes: Vec<AvailabilityChange>,
    /// By servers and database.
    pub overloads: Vec<Overload>,
    /// Of the nodes' processes.
    pub node_events: Vec<NodeEvent>,
    /// Of the servers, ten times a second.
    pub samples: Vec<Sample>,
    /// Of the faults, one for each server or node that they hit.
    pub faults: Vec<AppliedFault>,
    /// How late tries were sent, in microseconds: the rig's own doing.
    pub late: Vec<u32>,
    /// Fetches and writes that the database was sent.
    pub fetches: u64,
    /// Requests to servers that bore an id which no client had sent.
    pub unknown_requests: Vec<UnknownRequest>,
}

impl Record {
    /// Counts the time of stand-ins and nodes from `load_start`, as the clients do theirs.
    pub(crate) fn shift(&mut self, load_start: u64) {
        let shift = |at: &mut u64| *at = at.saturating_sub(load_start);
        self.attempts.iter_mut().for_each(|attempt| {
            [&mut attempt.first_byte_at, &mut attempt.received_at]
                .into_iter()
                .for_each(shift)
        });
        self.notices
            .iter_mut()
            .for_each(|notice| shift(&mut notice.at));
        self.availability_changes
            .iter_mut()
            .for_each(|change| shift(&mut change.at));
        self.overloads
            .iter_mut()
            .for_each(|entry| shift(&mut entry.at));
        self.node_events
            .iter_mut()
            .for_each(|event| shift(&mut event.at));
        self.samples
            .iter_mut()
            .for_each(|entry| shift(&mut entry.at));
        self.unknown_requests
            .iter_mut()
            .for_each(|entry| shift(&mut entry.at));
        for fault in &mut self.faults {
            shift(&mut fault.from);
            fault.until.iter_mut().for_each(shift);
        }
    }
}
