use super::key::MAX_KEY_BYTES;
use super::report::escaped;
use super::space_saving::{Entry, ALLOCATION_OVERHEAD};
use super::*;
use std::collections::HashMap;

const WINDOW: Duration = Duration::from_secs(60);

fn hot_keys(capacity: usize) -> HotKeys {
    HotKeys::new(capacity, WINDOW)
}

fn printed(keys: HotKeys, now: Instant) -> Vec<String> {
    let class = "look\nup".into();
    let mut out = Vec::new();
    print_list(&mut out, ClassList { class, keys }, 1.0, now).unwrap();
    String::from_utf8(out)
        .unwrap()
        .lines()
        .map(str::to_owned)
        .collect()
}

// Guards against a count outside its error bound and against a missing hot key, both of which the
// Space-Saving method rules out.
#[test]
fn count_errors_are_at_most_total_by_capacity_and_every_hot_key_is_listed() {
    const CAPACITY: usize = 16;
    let (mut list, mut real_counts) = (hot_keys(CAPACITY), HashMap::<String, u64>::new());
    let (mut random, now) = (fastrand::Rng::with_seed(7), Instant::now());
    for i in 1..=20_000 {
        let key = match random.f64() {
            x if x < 0.3 => "hot".to_owned(),
            x if x < 0.5 => format!("warm{}", random.u8(..4)),
            _ => format!("{:x}", random.u16(..2000)),
        };
        list.count(&key, now);
        *real_counts.entry(key).or_default() += 1;
        let least = list.entries.iter().map(|entry| entry.count).min().unwrap();
        assert!(least <= i / CAPACITY as u64 || i < CAPACITY as u64);
    }
    let bound = list.total / CAPACITY as u64;
    assert_eq!((list.entries.len(), list.total), (CAPACITY, 20_000));
    assert_eq!(
        list.entries.iter().map(|entry| entry.count).sum::<u64>(),
        list.total,
        "a new key continues from the lowest count"
    );
    for entry in &list.entries {
        let real_count = real_counts[&*entry.key];
        assert!(
            real_count <= entry.count && entry.count - real_count <= bound,
            "{entry:?} {real_count}"
        );
    }
    let is_listed = |key: &str| list.entries.iter().any(|entry| *entry.key == *key);
    assert!(real_counts
        .iter()
        .filter(|(_, &count)| count > bound)
        .all(|(key, _)| is_listed(key)));
    let lines = printed(list, now);
    let counts: Vec<u64> = lines
        .iter()
        .map(|line| {
            line.split("count=")
                .nth(1)
                .unwrap()
                .split(' ')
                .next()
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    assert!(counts.is_sorted_by(|a, b| a >= b), "{counts:?}");
    assert!(
        lines[0].starts_with("hot look\\u{a}up hot rate=") && lines[0].ends_with(" err<=1250"),
        "{}",
        lines[0]
    );
}

// Guards against a class without traffic missing from the output.
#[test]
fn class_without_traffic_is_printed_as_none() {
    assert_eq!(
        printed(hot_keys(4), Instant::now()),
        ["hot look\\u{a}up none"]
    );
}

// Guards against keys that exceed the length limit, are cut within a character, or forge lines of
// the log.
#[test]
fn keys_are_truncated_at_a_character_boundary_and_escaped() {
    for (key, truncated) in [
        ("k".repeat(128), "k".repeat(128)),
        ("k".repeat(129), "k".repeat(125) + "…"),
        ("é".repeat(65), "é".repeat(62) + "…"),
        (
            format!("k{}", "é".repeat(64)),
            format!("k{}…", "é".repeat(62)),
        ),
    ] {
        let mut list = hot_keys(4);
        list.count(&key, Instant::now());
        list.count(&key.clone(), Instant::now());
        assert_eq!(
            (&*list.entries[0].key, list.entries[0].count),
            (&*truncated, 2)
        );
        assert!(truncated.len() <= MAX_KEY_BYTES);
    }
    assert_eq!(
        escaped("a\\b\nhot lookup x\u{1b}[2K\u{2028}\u{202e}'\"é"),
        "a\\\\b\\u{a}hot\\u{20}lookup\\u{20}x\\u{1b}[2K\\u{2028}\\u{202e}'\"é"
    );
}

// Guards against exceeding the memory limit set by the operators, at the maximum capacity and with
// keys of maximum length.
#[test]
fn lists_of_maximum_capacity_and_their_copy_fit_in_one_megabyte() {
    let writer = Writer::start().unwrap();
    let classes: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let max_capacity = MAX_MEMORY_BYTES / (COPIES * MAX_ENTRY_BYTES * classes.len());
    assert!(max_capacity >= 256, "{max_capacity}");
    assert!(HotList::new(max_capacity + 1, WINDOW, &classes, &writer).is_err());
    let hot_list = HotList::new(max_capacity, WINDOW, &classes, &writer).unwrap();
    for i in 0..3 * max_capacity {
        for class in 0..3 {
            hot_list.request_received(ClassId(class), &format!("{i}{}", "k".repeat(200)));
        }
    }
    let lists = hot_list.lists.borrow();
    let bytes = |list: &HotKeys| {
        let keys: usize = list
            .entries
            .iter()
            .map(|entry| entry.key.len() + ALLOCATION_OVERHEAD)
            .sum();
        list.entries.capacity() * size_of::<Entry>() + keys
    };
    let total_bytes: usize = lists.iter().map(|list| bytes(&list.keys)).sum();
    assert!(lists
        .iter()
        .all(|list| list.keys.entries.len() == max_capacity));
    assert!(2 * total_bytes <= MAX_MEMORY_BYTES, "{total_bytes}");
}

// Guards against a rate that never falls, and against a count that does.
#[test]
fn rates_decay_over_the_window_and_counts_do_not() {
    let (mut list, start) = (hot_keys(4), Instant::now());
    (0..600).for_each(|i| list.count("k", start + Duration::from_secs(i)));
    let last = start + Duration::from_secs(599);
    let recent = list.decayed_count(&list.entries[0], last);
    assert!(
        (recent / 60.0 - 1.0).abs() < 0.02,
        "one request per second: {recent}"
    );
    let later = list.decayed_count(&list.entries[0], last + WINDOW);
    assert!((later / recent - (-1.0f64).exp()).abs() < 1e-9);
    assert_eq!(list.entries[0].count, 600);
}

// Guards against counts that move to another class when classes change, and against added classes
// that exceed the memory limit.
#[test]
fn lists_stay_with_their_classes_and_within_the_memory_limit_when_classes_change() {
    let writer = Writer::start().unwrap();
    let names = |names: &[&str]| -> Vec<Name> { names.iter().copied().map(Name::from).collect() };
    let capacity = max_capacity(2) - 10;
    let hot_list = HotList::new(capacity, WINDOW, &names(&["a", "b"]), &writer).unwrap();
    hot_list.request_received(ClassId(0), "key of a");
    hot_list.request_received(ClassId(1), "key of b");
    hot_list.classes_changed(&names(&["a", "new", "added"]));
    let totals = || {
        let lists = hot_list.lists.borrow();
        let totals = lists.iter().map(|list| list.keys.total);
        totals.collect::<Vec<_>>()
    };
    assert_eq!(totals(), [1, 0, 0]);
    hot_list.request_received(ClassId(2), "key of added");
    assert_eq!(totals(), [1, 0, 1]);
    let lists = hot_list.lists.borrow();
    let capacities = lists.iter().map(|list| list.keys.capacity());
    assert_eq!(capacities.clone().max(), Some(capacity));
    assert!(capacities.sum::<usize>() <= max_capacity(1));
}
