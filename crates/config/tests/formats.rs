//! The formats that a node reads: keys, defaults, bounds and error messages.

use slatelink_config::operators::{self, MetricsFormat, MetricsTarget, Settings};
use slatelink_config::platform::{self, Config};
use slatelink_config::relay::RelaySettings;
use slatelink_config::EndpointList;
use slatelink_policy::{Availability, Timestamp};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Writes a file with this text under a unique name.
fn write_file(text: &str) -> PathBuf {
    static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("slatelink-config-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn load_operators_settings(text: &str) -> Result<Settings, String> {
    let path = write_file(text);
    let loaded = operators::load(path.clone()).map_err(|error| {
        let error = error.to_string();
        let prefix = path.display().to_string();
        error.strip_prefix(&prefix).unwrap().trim_start().to_owned()
    });
    std::fs::remove_file(path).unwrap();
    loaded
}

// Guards against renaming a key along with its field.
#[test]
fn operators_file_keys_set_the_matching_settings() {
    let settings = load_operators_settings(
        "[figures]\nformat = \"influx\"\ntarget = \"udp:127.0.0.1:8125\"\nflush_ms = 10\nmax_batch_bytes = 512\n\
         [audit]\npath = \"/a\"\n[hotlist]\ncapacity = 7\nwindow_s = 3\n\
         [multiget]\nport = 81\nparallel = 2\nmax_items = 5\n\
         [front]\nclients_percent = 50\nservers_floor = 9\nidle_s = 4\nper_address = 6\nper_class.once = 20\n",
    )
    .unwrap();
    let metrics = settings.metrics.as_ref().unwrap();
    let target = MetricsTarget::Udp("127.0.0.1:8125".parse().unwrap());
    assert_eq!(
        (metrics.format, &metrics.target),
        (MetricsFormat::Influx, &target)
    );
    assert_eq!(metrics.flush_interval(), Duration::from_millis(10));
    assert_eq!(metrics.max_batch_bytes(), 512);
    assert_eq!(settings.audit.as_ref().unwrap().path, Some("/a".into()));
    let hotlist = settings.enabled_hotlist().unwrap();
    assert_eq!(
        (hotlist.capacity, hotlist.window()),
        (7, Duration::from_secs(3))
    );
    let multiget = settings.multiget.as_ref().unwrap();
    assert_eq!(settings.multiget_port(), Some(81));
    assert_eq!((multiget.parallel_requests(), multiget.max_items()), (2, 5));
    let admission = &settings.admission;
    assert_eq!(
        (
            admission.client_limit(200),
            admission.upstream_reservation(200)
        ),
        (100, 9)
    );
    assert_eq!(admission.idle_timeout(), Duration::from_secs(4));
    assert_eq!(admission.connections_per_address(), Some(6));
    assert_eq!(admission.percent_per_class["once"].get(), 20);
}

// Guards against an unnoticed change of a default.
#[test]
fn keys_missing_from_the_operators_file_have_defaults() {
    let settings = load_operators_settings("[figures]\n[audit]\n[hotlist]\n[multiget]\n").unwrap();
    let metrics = settings.metrics.as_ref().unwrap();
    assert_eq!(
        (metrics.format, &metrics.target),
        (MetricsFormat::Statsd, &MetricsTarget::Stderr)
    );
    assert_eq!(metrics.flush_interval(), Duration::from_secs(1));
    assert_eq!(metrics.max_batch_bytes(), 1400);
    assert_eq!(settings.audit.as_ref().unwrap().path, None);
    let hotlist = settings.enabled_hotlist().unwrap();
    assert_eq!(
        (hotlist.capacity, hotlist.window()),
        (256, Duration::from_secs(60))
    );
    let multiget = settings.multiget.as_ref().unwrap();
    assert_eq!(settings.multiget_port(), None);
    assert_eq!(
        (multiget.parallel_requests(), multiget.max_items()),
        (8, 32)
    );
    let admission = &settings.admission;
    assert_eq!(
        (
            admission.client_limit(200),
            admission.upstream_reservation(200)
        ),
        (66, 66)
    );
    assert_eq!(admission.idle_timeout(), Duration::from_secs(10));
    assert_eq!(admission.connections_per_address(), None);
    assert!(admission.percent_per_class.is_empty());

    let empty = load_operators_settings("").unwrap();
    assert!(empty.metrics.is_none() && empty.audit.is_none() && empty.multiget.is_none());
    assert!(empty.enabled_hotlist().is_none());
    assert!(load_operators_settings("[hotlist]\ncapacity = 0\n")
        .unwrap()
        .enabled_hotlist()
        .is_none());
}

// Guards against an error message without the line, the value met or the value expected.
#[test]
fn invalid_operators_settings_are_reported_with_their_line() {
    for (text, message) in [
        ("[figures]\nflush_ms = 9\n", "line 2: 9 is not from 10 to 3600000"),
        ("[figures]\nmax_batch_bytes = 65508\n", "line 2: 65508 is not from 512 to 65507"),
        ("\n[figures]\n\ntarget = \"udp:x\"\n", "line 4: target udp:\"x\" is not an address and port"),
        (
            "[figures]\ntarget = \"tcp:1.1.1.1:1\"\n",
            "line 2: target \"tcp:1.1.1.1:1\" is not stderr, file:<path> or udp:<addr:port>",
        ),
        ("[front]\nclients_percent = 101\n", "line 2: 101 is not from 1 to 100"),
        ("[front]\nidle_s = -1\n", "line 2: -1 is not from 2 to 86400"),
        (
            "[front]\nper_adress = 5\n",
            "line 2: unknown field `per_adress`, expected one of `clients_percent`, `servers_floor`, `idle_s`, \
             `per_address`, `per_class`",
        ),
        (
            "[metrics]\n",
            "line 1: unknown field `metrics`, expected one of `figures`, `audit`, `hotlist`, `multiget`, `front`",
        ),
    ] {
        assert_eq!(load_operators_settings(text).unwrap_err(), message, "{text}");
    }
}

// Guards against renaming a JSON key of discovery along with its field.
#[test]
fn endpoint_list_uses_the_json_keys_of_discovery() {
    let list: EndpointList = serde_json::from_str(
        r#"{"seq":3,"whole":true,"hosts":[
            {"host":"a","dial":"127.0.0.1:1","site":"z","class":"k","block":2,"health":"ready","share":0.5,"born_ms":7},
            {"host":"b","health":"draining","share":-1.0,"born_ms":0},
            {"host":"c","health":"gone"},
            {"host":"d","health":"unheard of"}]}"#,
    )
    .unwrap();
    assert_eq!(
        (list.version, list.complete, list.endpoints.len()),
        (3, true, 4)
    );
    let first = &list.endpoints[0];
    assert_eq!((first.id(), first.state()), ("a", "ready"));
    assert_eq!(first.address(), Some("127.0.0.1:1".parse().unwrap()));
    assert_eq!(first.started_ms(), Some(7));
    let first = first.endpoint();
    assert_eq!((first.id.as_str(), first.cell), ("a", 2));
    assert_eq!(first.zone, Some("z".into()));
    assert_eq!(first.kind, Some("k".into()));
    assert!((first.weight - 0.5).abs() < f64::EPSILON);
    assert_eq!(first.started, Some(Timestamp::from_micros(7000)));
    let second = list.endpoints[1].endpoint();
    assert!(
        (second.weight - 1.0).abs() < f64::EPSILON,
        "a negative weight is replaced by the default"
    );
    assert_eq!(
        (second.zone, second.kind, second.cell, second.started),
        (None, None, 0, None)
    );
    let availability: Vec<_> = list
        .endpoints
        .iter()
        .map(|record| record.availability())
        .collect();
    let expected = [
        Availability::Ready,
        Availability::Draining,
        Availability::Removed,
        Availability::Draining,
    ];
    assert_eq!(availability, expected);
    let changes: EndpointList = serde_json::from_str(r#"{"seq":4,"whole":false}"#).unwrap();
    assert!(!changes.complete && changes.endpoints.is_empty());
}

/// Loads a configuration of this text with these variables and `LB_CONFIG`.
fn load_platform_config(text: &str, variables: &[(&str, &str)]) -> Result<Config, String> {
    let path = write_file(text);
    let loaded = platform::load(|variable| {
        if variable == "LB_CONFIG" {
            return Some(path.display().to_string());
        }
        let set = variables.iter().find(|(name, _)| *name == variable);
        set.map(|(_, value)| (*value).to_owned())
    });
    std::fs::remove_file(&path).unwrap();
    loaded.map_err(|error| error.to_string())
}

const PLATFORM_CONFIG: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
    "limits":{"sockets":32,"memory_mb":3},"settings":{}}"#;

// Guards against a variable that does not override its key, and against renaming a key along with
// its field.
#[test]
fn environment_variables_override_the_platform_file() {
    let config = load_platform_config(PLATFORM_CONFIG, &[]).unwrap();
    assert_eq!((config.name.as_str(), config.seed), ("n", 0x1f));
    assert_eq!(
        (config.descriptor_limit, config.memory_bytes),
        (32, Some(3 << 20))
    );
    assert_eq!(config.listen, "127.0.0.1:1".parse().unwrap());
    assert_eq!(config.discovery, "127.0.0.1:2".parse().unwrap());
    assert_eq!(config.contents, PLATFORM_CONFIG.as_bytes());
    assert!(config.known_endpoints.endpoints.is_empty());
    let variables = [
        ("LB_NAME", "other"),
        ("LB_LISTEN", "127.0.0.1:3"),
        ("LB_DISCOVERY", "127.0.0.1:4"),
    ];
    let config = load_platform_config(PLATFORM_CONFIG, &variables).unwrap();
    assert_eq!(config.name, "other");
    assert_eq!(config.listen, "127.0.0.1:3".parse().unwrap());
    assert_eq!(config.discovery, "127.0.0.1:4".parse().unwrap());
}

// Guards against an error message that does not state the fault.
#[test]
fn unusable_platform_configuration_is_reported_with_the_reason() {
    assert_eq!(
        platform::load(|_| None).unwrap_err().to_string(),
        "LB_CONFIG is not set"
    );
    assert_eq!(
        load_platform_config(PLATFORM_CONFIG, &[("LB_LISTEN", "here")]).unwrap_err(),
        "LB_LISTEN is not an address and port: here"
    );
    for (from, to, message) in [
        (
            "1f",
            "x",
            "the configuration's seed is not a hexadecimal number: x",
        ),
        (
            ":32",
            ":31",
            "a limit of 31 sockets is too low: a node needs at least 32",
        ),
    ] {
        let text = PLATFORM_CONFIG.replace(from, to);
        assert_eq!(load_platform_config(&text, &[]).unwrap_err(), message);
    }
    let missing =
        load_platform_config(&PLATFORM_CONFIG.replace("\"seed\"", "\"sead\""), &[]).unwrap_err();
    assert!(
        missing.contains("is not a valid configuration: missing field `seed`"),
        "{missing}"
    );
}

// Guards against an unnoticed change of a bound in the relay settings.
#[test]
fn relay_settings_have_a_default_lease_and_bounds() {
    let load = |text: &str| {
        let path = write_file(text);
        let loaded = RelaySettings::load(&path);
        std::fs::remove_file(path).unwrap();
        loaded
    };
    let listen = "listen = \"127.0.0.1:9\"\n";
    let upstream = "upstream = [\"127.0.0.1:8\"]\n";
    let settings = load(&format!("{upstream}{listen}")).unwrap();
    assert_eq!(
        (settings.lease(), settings.max_connections),
        (Duration::from_secs(10), None)
    );
    for (extra, message) in [
        (
            "lease_ms = 299\n",
            "lease_ms is 299: expected a number from 300 to 3600000",
        ),
        (
            "callers = 0\n",
            "callers is 0: expected a number from 1 to 1000000",
        ),
    ] {
        let error = load(&format!("{upstream}{listen}{extra}")).unwrap_err();
        assert_eq!(error.to_string(), message);
    }
    let error = load(&format!("upstream = []\n{listen}")).unwrap_err();
    assert_eq!(
        error.to_string(),
        "upstream has 0 addresses: expected 1 to 16"
    );
}
