use super::record::{FIRST_PREVIOUS_HASH, MAX_LINE_BYTES};
use super::trail::Destination;
use super::*;
use slatelink_config::sha256_hex;
use std::fs::File;
use std::io::Read;
use std::path::PathBuf;

fn temp_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("slatelink-audit-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn null_device() -> File {
    File::options().write(true).open("/dev/null").unwrap()
}

fn health(endpoint: &str) -> Event {
    Event::Health {
        endpoint: endpoint.to_owned(),
        from: "ready".to_owned(),
        to: "draining".to_owned(),
    }
}

fn trail_with_records(name: &str, records: usize) -> (PathBuf, Vec<u8>) {
    let path = temp_path(name);
    let OpenedTrail { mut trail, torn } = Trail::open(&path).unwrap();
    assert!(torn.is_none());
    for i in 0..records {
        trail
            .append(
                &mut null_device(),
                1_718_000_000_123,
                &health(&format!("s-\u{e9}{i}")),
            )
            .unwrap();
    }
    let bytes = std::fs::read(&path).unwrap();
    (path, bytes)
}

// Guards against a hash that covers anything but the line without the `hash` field, or that differs
// in form from the hash computed by the operators' own tools.
#[test]
fn records_have_the_documented_format_and_hash() {
    let (path, bytes) = trail_with_records("form", 2);
    let lines: Vec<_> = std::str::from_utf8(&bytes).unwrap().lines().collect();
    let mut prev = FIRST_PREVIOUS_HASH.to_owned();
    for (i, line) in lines.iter().enumerate() {
        let body = format!(
            "{{\"seq\":{},\"at_ms\":1718000000123,\"event\":\"health\",\"host\":\"s-\u{e9}{i}\",\
             \"from\":\"ready\",\"to\":\"draining\",\"prev\":\"{prev}\"}}",
            i + 1
        );
        prev = sha256_hex(body.as_bytes());
        let body = body.strip_suffix('}').unwrap();
        assert_eq!(*line, format!("{body},\"hash\":\"{prev}\"}}"));
    }
    assert_eq!(
        sha256_hex(b""),
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
    );
    std::fs::remove_file(path).unwrap();
}

// Guards against an undetected edit: applies the operators' own check to several edits of each byte
// of a trail.
#[test]
fn any_edited_byte_is_reported_as_broken_at_its_line() {
    let (path, bytes) = trail_with_records("edits", 3);
    assert_eq!(
        verify(&bytes[..]).unwrap(),
        Verification::Intact { records: 3 }
    );
    let mut line = 1;
    for (i, &byte) in bytes.iter().enumerate() {
        if byte == b'\n' {
            line += 1;
            continue;
        }
        for new in [
            byte ^ 1,
            byte ^ 0x20,
            byte.wrapping_add(1),
            b' ',
            b'\n',
            0,
            0xff,
        ] {
            let mut edited = bytes.clone();
            edited[i] = new;
            let verification = verify(&edited[..]).unwrap();
            let expected = if new == byte {
                Verification::Intact { records: 3 }
            } else {
                Verification::Broken { line }
            };
            assert_eq!(verification, expected, "byte {i} from {byte} to {new}");
        }
    }
    std::fs::remove_file(path).unwrap();
}

// Guards against a crash during a write being reported as an edit, and against an edit being hidden
// by an incomplete last line.
#[test]
fn incomplete_last_line_is_torn_unless_an_earlier_line_is_broken() {
    let (path, bytes) = trail_with_records("torn", 3);
    let start = bytes[..bytes.len() - 1]
        .iter()
        .rposition(|&byte| byte == b'\n')
        .unwrap()
        + 1;
    for end in start + 1..bytes.len() {
        assert_eq!(
            verify(&bytes[..end]).unwrap(),
            Verification::Torn { line: 3 }
        );
    }
    assert_eq!(
        verify(&bytes[..start]).unwrap(),
        Verification::Intact { records: 2 }
    );
    let mut edited = bytes[..bytes.len() - 1].to_vec();
    edited[5] ^= 1;
    assert_eq!(
        verify(&edited[..]).unwrap(),
        Verification::Broken { line: 1 }
    );
    assert_eq!(
        verify(&b""[..]).unwrap(),
        Verification::Intact { records: 0 }
    );
    assert_eq!(
        verify(&b"\n"[..]).unwrap(),
        Verification::Broken { line: 1 }
    );
    let long = vec![b' '; 3 * MAX_LINE_BYTES];
    assert_eq!(verify(&long[..]).unwrap(), Verification::Torn { line: 1 });
    assert_eq!(
        verify(&[&long[..], b"\n"].concat()[..]).unwrap(),
        Verification::Broken { line: 1 }
    );
    // Removing a line breaks the line after it.
    assert_eq!(
        verify(&bytes[bytes.iter().position(|&b| b == b'\n').unwrap() + 1..]).unwrap(),
        Verification::Broken { line: 1 }
    );
    std::fs::remove_file(path).unwrap();
}

// Guards against a record appended directly to an incomplete line, and against an incomplete line
// being removed without a record of it.
#[test]
fn opening_a_trail_removes_a_torn_last_line_and_records_the_removal() {
    let (path, bytes) = trail_with_records("tail", 2);
    let torn_file = &bytes[..bytes.len() - 20];
    std::fs::write(&path, torn_file).unwrap();
    let OpenedTrail { mut trail, torn } = Trail::open(&path).unwrap();
    let torn = torn.expect("event for the torn line");
    trail.append(&mut null_device(), 1, &torn).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        verify(text.as_bytes()).unwrap(),
        Verification::Intact { records: 2 }
    );
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    let start = torn_file.iter().rposition(|&byte| byte == b'\n').unwrap() + 1;
    assert_eq!((&last["event"], &last["seq"]), (&"torn".into(), &2.into()));
    assert_eq!(
        last["text"],
        std::str::from_utf8(&torn_file[start..]).unwrap()
    );
    assert_eq!(last["sha256"], sha256_hex(&torn_file[start..]));
    std::fs::remove_file(path).unwrap();
}

// Guards against two nodes writing to one trail, and against a trail being appended to a file that
// is not a trail.
#[test]
fn locked_or_invalid_trail_is_not_opened() {
    let (path, bytes) = trail_with_records("use", 1);
    let locked_trail = Trail::open(&path).unwrap();
    assert_eq!(
        Trail::open(&path).err().unwrap().to_string(),
        "the file is locked by another process"
    );
    drop(locked_trail);
    for other in [
        &b"some words"[..],
        b"a line\n",
        &bytes[1..],
        &[&bytes[..], b"x\n"].concat(),
    ] {
        std::fs::write(&path, other).unwrap();
        assert!(Trail::open(&path).is_err(), "{other:?}");
        assert_eq!(
            std::fs::read(&path).unwrap(),
            other,
            "the file is unchanged"
        );
    }
    std::fs::remove_file(path).unwrap();
}

// Guards against a failed write that breaks the hash chain for all later records.
#[test]
fn partial_record_of_a_failed_write_is_removed_before_the_next_record() {
    let (path, _) = trail_with_records("spoiled", 1);
    let OpenedTrail { mut trail, .. } = Trail::open(&path).unwrap();
    let Destination::Regular { file, .. } = &mut trail.destination else {
        panic!("the trail is in a regular file");
    };
    file.write_all(b"{\"seq\":2,\"at").unwrap();
    trail.write_failed = true;
    trail
        .append(&mut null_device(), 1, &Event::Lost { records: 1 })
        .unwrap();
    assert_eq!(
        verify(&std::fs::read(&path).unwrap()[..]).unwrap(),
        Verification::Intact { records: 2 }
    );
    std::fs::remove_file(path).unwrap();
}

// Guards against a trail that silently continues in a file which was moved away from its path.
#[test]
fn moved_trail_restarts_at_its_path_with_a_reference_to_the_previous_file() {
    let (path, _) = trail_with_records("vanished", 2);
    let OpenedTrail { mut trail, .. } = Trail::open(&path).unwrap();
    let moved = path.with_extension("1");
    std::fs::rename(&path, &moved).unwrap();
    trail.record(&mut null_device(), 1, &health("s-1")).unwrap();
    let [old, new] = [&moved, &path].map(|path| std::fs::read_to_string(path).unwrap());
    assert_eq!(
        verify(old.as_bytes()).unwrap(),
        Verification::Intact { records: 2 }
    );
    assert_eq!(
        verify(new.as_bytes()).unwrap(),
        Verification::Intact { records: 2 }
    );
    let record = |text: &str, i: usize| -> serde_json::Value {
        serde_json::from_str(text.lines().nth(i).unwrap()).unwrap()
    };
    assert_eq!(
        (&record(&new, 0)["event"], &record(&new, 0)["records"]),
        (&"vanished".into(), &2.into())
    );
    assert_eq!(record(&new, 0)["last"], record(&old, 1)["hash"]);
    [path, moved]
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

// Guards against a record appended directly to a partial record, which a full FIFO buffer leaves
// behind.
#[test]
fn remainder_of_a_partly_written_record_goes_to_the_fifo_first() {
    let path = temp_path("fifo");
    // Not created by a child process: a forked process holds the locks of other tests' trails until
    // it calls exec.
    nix::unistd::mkfifo(&path, nix::sys::stat::Mode::S_IRWXU).unwrap();
    let mut reader = File::options().read(true).write(true).open(&path).unwrap();
    let OpenedTrail { mut trail, .. } = Trail::open(&path).unwrap();
    // Longer than the size that a pipe accepts atomically, so that the record is split.
    let long = health(&"h".repeat(5_000));
    let mut lost = 0;
    while lost < 3 {
        if trail.record(&mut null_device(), 1, &long).is_err() {
            trail.lost += 1;
            lost += 1;
        }
    }
    let (mut text, mut bytes) = (Vec::new(), [0; 1 << 16]);
    let byte_count = reader.read(&mut bytes).unwrap();
    text.extend_from_slice(&bytes[..byte_count]);
    trail
        .record(&mut null_device(), 1, &health("after"))
        .unwrap();
    while !text.ends_with(b"\n") || !String::from_utf8_lossy(&text).contains("after") {
        let byte_count = reader.read(&mut bytes).unwrap();
        text.extend_from_slice(&bytes[..byte_count]);
    }
    assert!(
        matches!(verify(&text[..]).unwrap(), Verification::Intact { .. }),
        "{}",
        verify(&text[..]).unwrap()
    );
    assert!(String::from_utf8_lossy(&text).contains("\"event\":\"lost\",\"records\":3,"));
    std::fs::remove_file(path).unwrap();
}

// Guards against records that are lost without a count while the disk is blocked, and against a
// hash chain broken by lost records.
#[test]
fn records_beyond_the_queue_capacity_are_counted_in_the_trail() {
    let path = temp_path("lost");
    let writer = Writer::start().unwrap();
    let audit = Audit::open(Some(&path), &writer).unwrap();
    let (release_sender, release_receiver) = std::sync::mpsc::channel::<()>();
    assert!(writer
        .sender(1)
        .try_send(move |_| release_receiver.recv().unwrap_or_default()));
    (0..MAX_QUEUED_RECORDS + 5).for_each(|i| audit.record(health(&i.to_string())));
    release_sender.send(()).unwrap();
    let lines = || std::fs::read_to_string(&path).unwrap().lines().count();
    let start = std::time::Instant::now();
    let wait_for_lines = |count| {
        while lines() < count {
            assert!(start.elapsed().as_secs() < 60, "{} lines", lines());
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    };
    wait_for_lines(MAX_QUEUED_RECORDS);
    audit.node_stopped(StopSignal::TERMINATE);
    audit.record(health("after the stop"));
    wait_for_lines(MAX_QUEUED_RECORDS + 2);
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        verify(text.as_bytes()).unwrap(),
        Verification::Intact {
            records: MAX_QUEUED_RECORDS as u64 + 2
        }
    );
    let last: Vec<_> = text.lines().skip(MAX_QUEUED_RECORDS).collect();
    assert!(
        last[0].contains("\"event\":\"lost\",\"records\":5,"),
        "{}",
        last[0]
    );
    assert!(
        last[1].contains("\"event\":\"stop\",\"signal\":\"SIGTERM\""),
        "{}",
        last[1]
    );
    std::fs::remove_file(path).unwrap();
}

// Guards against a stored name that changes when an identifier is renamed: old trails and the
// operators' tools use the stored names.
#[test]
fn events_are_stored_under_fixed_names() {
    let text = str::to_owned;
    for (event, stored) in [
        (
            Event::Start {
                node: text("n"),
                pid: 1,
                version: "0",
            },
            r#"{"event":"start","node":"n","pid":1,"version":"0"}"#,
        ),
        (
            Event::Stop { signal: "SIGINT" },
            r#"{"event":"stop","signal":"SIGINT"}"#,
        ),
        (
            Event::Config {
                file: "platform",
                path: text("/p"),
                sha256: text("0"),
            },
            r#"{"event":"config","file":"platform","path":"/p","sha256":"0"}"#,
        ),
        (
            health("s"),
            r#"{"event":"health","host":"s","from":"ready","to":"draining"}"#,
        ),
        (
            Event::Torn {
                bytes: 2,
                sha256: text("0"),
                text: text("x"),
            },
            r#"{"event":"torn","bytes":2,"sha256":"0","text":"x"}"#,
        ),
        (
            Event::Lost { records: 3 },
            r#"{"event":"lost","records":3}"#,
        ),
        (
            Event::Vanished {
                records: 4,
                last: text("0"),
            },
            r#"{"event":"vanished","records":4,"last":"0"}"#,
        ),
    ] {
        assert_eq!(serde_json::to_string(&event).unwrap(), stored);
    }
}
