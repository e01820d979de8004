use super::buffer::{Losses, LOSS_COUNTER_BYTES, MAX_BUFFERED_BYTES};
use super::counters::MAX_TIMERS_PER_SECOND;
use super::file::AppendedFile;
use super::line::MAX_TAG_BYTES;
use super::*;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::mpsc::channel;

fn metrics(text: &str, writer: &Writer) -> (Metrics, UnboundedReceiver<BatchResult>) {
    let settings: MetricsSettings = toml::from_str(text).unwrap();
    Metrics::open(
        &settings,
        &["look up".into(), "put".into()],
        writer,
        Log::new(writer, crate::LogFormat::Text),
    )
    .unwrap()
}

/// Returns the lines emitted for `events`, received in one or more datagrams.
fn lines(format: &str, events: impl Fn(&Metrics)) -> Vec<String> {
    let receiver = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let target = receiver.local_addr().unwrap();
    let writer = Writer::start().unwrap();
    let (metrics, _) = metrics(
        &format!("format = \"{format}\"\ntarget = \"udp:{target}\""),
        &writer,
    );
    events(&metrics);
    metrics.flush();
    let (mut lines, mut buffer) = (Vec::new(), [0; 2000]);
    receiver
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    while !lines
        .iter()
        .any(|line: &String| line.starts_with("slatelink.req.open") && line.contains("put"))
    {
        let datagram_bytes = receiver.recv(&mut buffer).unwrap();
        assert!(
            datagram_bytes <= 1400,
            "{datagram_bytes} bytes in a datagram"
        );
        lines.extend(
            std::str::from_utf8(&buffer[..datagram_bytes])
                .unwrap()
                .lines()
                .map(str::to_owned),
        );
    }
    lines
}

fn sample_events(metrics: &Metrics) {
    let endpoint = EndpointId::from("s,=1 x");
    metrics.request_received(ClassId(0));
    metrics.request_received(ClassId(0));
    metrics.attempt_started(&endpoint);
    metrics.attempt_ended(ClassId(0), &endpoint, Status::TimedOut);
    metrics.request_completed(
        ClassId(0),
        None,
        Duration::from_micros(411_600),
        RequestOutcome::Shed,
    );
}

// Guards against lines that a StatsD server parses incorrectly.
#[test]
fn statsd_lines_carry_tags_with_reserved_characters_replaced() {
    assert_eq!(
        lines("statsd", sample_events),
        [
            "slatelink.req.time:412|ms|#kind:look_up,host:none",
            "slatelink.attempt.count:1|c|#kind:look_up,host:s_=1_x,outcome:timeout",
            "slatelink.req.count:1|c|#kind:look_up,host:none,status:503",
            "slatelink.req.open:1|g|#kind:look_up",
            "slatelink.req.open:0|g|#kind:put",
        ]
    );
}

// Guards against points that InfluxDB cannot parse, and against points that replace each other.
#[test]
fn influx_lines_are_escaped_and_have_unique_timestamps() {
    let lines = lines("influx", sample_events);
    let (texts, timestamps): (Vec<_>, Vec<_>) = lines
        .iter()
        .map(|line| line.rsplit_once(' ').unwrap())
        .unzip();
    assert_eq!(
        texts,
        [
            "slatelink.req.time,kind=look\\ up,host=none value=412i",
            "slatelink.attempt.count,kind=look\\ up,host=s\\,\\=1\\ x,outcome=timeout value=1i",
            "slatelink.req.count,kind=look\\ up,host=none,status=503 value=1i",
            "slatelink.req.open,kind=look\\ up value=1i",
            "slatelink.req.open,kind=put value=0i",
        ]
    );
    let timestamps: Vec<u64> = timestamps
        .iter()
        .map(|timestamp| timestamp.parse().unwrap())
        .collect();
    assert!(
        timestamps.windows(2).all(|pair| pair[0] < pair[1]),
        "{timestamps:?}"
    );
}

// Guards against unbounded memory use while the writer is blocked, and against losing the newest
// lines.
#[test]
fn buffer_stays_within_its_limit_and_evicts_the_oldest_lines_first() {
    let writer = Writer::start().unwrap();
    let (metrics, mut results) = metrics("target = \"file:/dev/null\"", &writer);
    let blocked_sender = writer.sender(1);
    let (release_sender, release_receiver) = channel::<()>();
    assert!(blocked_sender.try_send(move |_| release_receiver.recv().unwrap_or_default()));
    // The first batch is sent to the writer and stays in flight; later lines must fit in the
    // remaining capacity of the buffer.
    for i in 0..20_000 {
        let emitter = &mut metrics.state.borrow_mut().emitter;
        for name in ["req.count", "req.time"] {
            emitter.emit(&Metric::new(
                name,
                &[("kind", "put"), ("host", "h")],
                i,
                MetricKind::Timer,
            ));
        }
        let buffer = &emitter.buffer;
        assert!(
            buffer.lines.len() + buffer.in_flight.unwrap_or_default().bytes <= MAX_BUFFERED_BYTES
        );
        assert!(buffer.lines.capacity() <= MAX_BUFFERED_BYTES);
    }
    let state = metrics.state.borrow();
    let buffer = &state.emitter.buffer;
    let evicted = buffer.losses.evicted_lines;
    let text = String::from_utf8(buffer.lines.iter().copied().collect()).unwrap();
    assert!(
        buffer.lines.len() > MAX_BUFFERED_BYTES - LOSS_COUNTER_BYTES - 2 * buffer.max_batch_bytes,
        "{} bytes used",
        buffer.lines.len()
    );
    assert!(
        text.starts_with("slatelink.") && text.ends_with("\n"),
        "the buffer holds complete lines only"
    );
    assert!(text
        .lines()
        .last()
        .unwrap()
        .starts_with("slatelink.req.time:19999|ms|"));
    let kept = text.lines().count() as u64;
    let in_flight_bytes = buffer.in_flight.unwrap().bytes as u64;
    assert!(evicted > 0 && evicted + kept < 40_000 && in_flight_bytes > 0);
    assert!(
        40_000 - evicted - kept <= in_flight_bytes / 40,
        "every line is counted as kept, evicted or in flight"
    );
    drop(state);
    drop(release_sender);
    assert_eq!(results.blocking_recv(), Some(BatchResult::Written));
}

// Guards against metrics that add to an overload, and against counts lost when lines are merged or
// cannot be sent.
#[test]
fn counters_are_exact_and_timers_are_rate_limited_under_load() {
    let writer = Writer::start().unwrap();
    let path = std::env::temp_dir().join(format!("slatelink-merged-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let (metrics, mut results) = metrics(&format!("target = \"file:{}\"", path.display()), &writer);
    let blocked_sender = writer.sender(1);
    let (release_sender, release_receiver) = channel::<()>();
    assert!(blocked_sender.try_send(move |_| release_receiver.recv().unwrap_or_default()));
    let (endpoint, start) = (EndpointId::from("h"), std::time::Instant::now());
    for i in 0..100_000 {
        metrics.request_received(ClassId(1));
        metrics.attempt_ended(ClassId(1), &endpoint, Status::Ok);
        metrics.request_completed(
            ClassId(1),
            Some(&endpoint),
            Duration::from_millis(5),
            RequestOutcome::Served,
        );
        if i % 1_000 == 0 {
            metrics.flush();
        }
    }
    let seconds = start.elapsed().as_secs() + 1;
    drop(release_sender);
    let all_sent = |state: &State| {
        let buffer = &state.emitter.buffer;
        buffer.in_flight.is_none() && buffer.lines.is_empty() && state.counters.is_empty()
    };
    while !all_sent(&metrics.state.borrow()) {
        if metrics.state.borrow().emitter.buffer.in_flight.is_some() {
            let result = results.blocking_recv().unwrap();
            let emitter = &mut metrics.state.borrow_mut().emitter;
            emitter.batch_finished(result);
            emitter.send_batches();
        } else {
            metrics.flush();
        }
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let sum = |name: &str| -> u64 {
        let values = text
            .lines()
            .filter_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        values
            .map(|rest| rest.split('|').next().unwrap().parse::<u64>().unwrap())
            .sum()
    };
    assert_eq!(sum("slatelink.req.count"), 100_000);
    assert_eq!(sum("slatelink.attempt.count"), 100_000);
    let timers = text.matches("slatelink.req.time:").count() as u64;
    assert!(
        timers <= u64::from(MAX_TIMERS_PER_SECOND) * seconds,
        "{timers} timers in {seconds} s"
    );
    assert_eq!(sum("slatelink.figures.times_left_out") + timers, 100_000);
    std::fs::remove_file(&path).unwrap();
}

// Guards against metrics being written to a file that was moved away from its path.
#[test]
fn moved_file_is_created_again_at_its_path() {
    let path = std::env::temp_dir().join(format!("slatelink-moved-{}", std::process::id()));
    let mut file = AppendedFile::open(&path).unwrap();
    file.write(b"one\n").unwrap();
    let moved = path.with_extension("1");
    std::fs::rename(&path, &moved).unwrap();
    file.write(b"two\n").unwrap();
    assert_eq!(
        (
            std::fs::read(&moved).unwrap(),
            std::fs::read(&path).unwrap()
        ),
        (b"one\n".to_vec(), b"two\n".to_vec())
    );
    [path, moved]
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

// Guards against a count of dropped batches that is lost when the batch that reports it is dropped.
#[test]
fn first_written_batch_reports_the_dropped_batches() {
    let writer = Writer::start().unwrap();
    let (metrics, _results) = metrics("target = \"file:/dev/null\"", &writer);
    let emitter = &mut metrics.state.borrow_mut().emitter;
    for _ in 0..3 {
        emitter.next_batch();
        emitter.batch_finished(BatchResult::Dropped);
    }
    let batch = emitter.next_batch();
    assert_eq!(batch, b"slatelink.figures.dropped:3|c\n");
    emitter.batch_finished(BatchResult::Written);
    assert_eq!(emitter.buffer.losses, Losses::default());
    assert_eq!(emitter.buffer.total_dropped_batches, 3);
    assert_eq!(emitter.next_batch(), b"");
}

// Guards against a line longer than any batch: it would never be sent.
#[test]
fn line_of_maximum_length_fits_in_the_smallest_batch() {
    let writer = Writer::start().unwrap();
    let (metrics, _results) = metrics("format = \"influx\"\nmax_batch_bytes = 512", &writer);
    let long_value = escape_tag(MetricsFormat::Influx, &"=".repeat(1000)).into_owned();
    assert_eq!(long_value.len(), 2 * MAX_TAG_BYTES);
    let emitter = &mut metrics.state.borrow_mut().emitter;
    let max_batch_bytes = emitter.buffer.max_batch_bytes;
    let mut size = |name, tags: &[(&str, &str)], value, kind| {
        let metric = Metric::new(name, tags, value, kind);
        emitter.formatter.format(&metric).len()
    };
    let tags = [
        ("kind", &*long_value),
        ("host", &long_value),
        ("outcome", "canceled"),
    ];
    let attempt = size("attempt.count", &tags, 1, MetricKind::Counter);
    let time = size("req.time", &tags[..2], u64::MAX, MetricKind::Timer);
    let loss_line_bytes = size("figures.dropped", &[], u64::MAX, MetricKind::Counter)
        + size("figures.pushed_out", &[], u64::MAX, MetricKind::Counter);
    assert!(
        loss_line_bytes + attempt.max(time) <= max_batch_bytes,
        "{loss_line_bytes} {attempt} {time}"
    );
    assert!(loss_line_bytes <= LOSS_COUNTER_BYTES);
}

// Guards against an incomplete line that merges with the next line.
#[test]
fn incomplete_line_does_not_merge_with_the_next_line() {
    let path = std::env::temp_dir().join(format!("slatelink-torn-{}", std::process::id()));
    let mut file = AppendedFile::open(&path).unwrap();
    file.write(b"half").unwrap();
    file.torn = true;
    file.write(b"whole\n").unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), b"half\nwhole\n");
    std::fs::remove_file(&path).unwrap();
}

// Guards against counts and gauges that are written under the name of another class when a position
// is given to a new class.
#[test]
fn counts_before_a_change_of_classes_have_the_names_of_that_time() {
    let lines = lines("statsd", |metrics| {
        let endpoint = EndpointId::from("s");
        metrics.attempt_ended(ClassId(0), &endpoint, Status::Ok);
        metrics.classes_changed(&["new".into(), "put".into()]);
        metrics.attempt_ended(ClassId(0), &endpoint, Status::Ok);
        metrics.request_received(ClassId(1));
    });
    for expected in [
        "slatelink.attempt.count:1|c|#kind:look_up,host:s,outcome:ok",
        "slatelink.attempt.count:1|c|#kind:new,host:s,outcome:ok",
        "slatelink.req.open:0|g|#kind:new",
        "slatelink.req.open:1|g|#kind:put",
    ] {
        assert!(lines.iter().any(|line| line == expected), "{lines:?}");
    }
}
