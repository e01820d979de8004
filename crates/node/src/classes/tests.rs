//! Tests of the class table: positions across changes, vanished classes, and their reuse.

use super::{ClassTable, VANISHED_CLASS_GRACE};
use slatelink_policy::{Class, ClassId, Idempotency, Settings};
use std::time::Duration;
use tokio::time::advance;

fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    }
}

fn classes(names: &[&str]) -> Vec<Class> {
    names.iter().map(|name| class(name)).collect()
}

/// Replaces the classes by these, and returns the names in the resulting settings, by position.
fn replace(table: &mut ClassTable, names: &[&str]) -> Vec<String> {
    let mut settings = Settings {
        classes: classes(names),
        ..Settings::default()
    };
    table.replace(&mut settings);
    let names = settings.classes.iter().map(|class| class.name.to_string());
    names.collect()
}

/// Waits until requests of a vanished class are no longer accepted.
async fn wait_out_grace() {
    advance(VANISHED_CLASS_GRACE + Duration::from_millis(1)).await;
}

// Guards against positions that shift when a class vanishes or the file lists classes in another
// order: breakers, quotas and metrics are kept by position.
#[tokio::test(start_paused = true)]
async fn classes_keep_their_positions_when_others_vanish_and_appear() {
    let mut table = ClassTable::new(&classes(&["a", "b", "c"]));
    assert_eq!(replace(&mut table, &["c", "a"]), ["a", "b", "c"]);
    assert_eq!(table.find("c").unwrap().id, ClassId(2));
    assert_eq!(replace(&mut table, &["d", "c", "a"]), ["a", "b", "c", "d"]);
    assert_eq!(table.find("d").unwrap().id, ClassId(3));
    assert_eq!(
        replace(&mut table, &["b", "d"]),
        ["a", "b", "c", "d"],
        "a class that appears again has its position again"
    );
    assert_eq!(table.find("b").unwrap().id, ClassId(1));
}

// Guards against requests of a vanished class that are rejected although their clients sent them
// before the change, and against vanished classes that are accepted forever.
#[tokio::test(start_paused = true)]
async fn a_vanished_class_is_accepted_for_a_grace_period() {
    let mut table = ClassTable::new(&classes(&["a", "b"]));
    replace(&mut table, &["a"]);
    advance(VANISHED_CLASS_GRACE - Duration::from_millis(1)).await;
    assert!(table.find("b").is_some());
    // A further change does not extend the grace period.
    replace(&mut table, &["a"]);
    advance(Duration::from_millis(1)).await;
    assert!(table.find("b").is_none());
    assert!(table.find("a").is_some());
    replace(&mut table, &["a", "b"]);
    assert!(table.find("b").is_some());
}

// Guards against a position that is given to another class while a request of the vanished class is
// open, and against a table that grows with every new name.
#[tokio::test(start_paused = true)]
async fn a_position_is_reused_once_the_last_request_of_its_class_has_ended() {
    let mut table = ClassTable::new(&classes(&["a", "b"]));
    let open_request = table.find("b").unwrap();
    replace(&mut table, &["a"]);
    wait_out_grace().await;
    assert_eq!(replace(&mut table, &["a", "c"]), ["a", "b", "c"]);
    replace(&mut table, &["a"]);
    drop(open_request);
    wait_out_grace().await;
    for name in ["d", "e", "f", "g"] {
        let names = replace(&mut table, &["a", name]);
        assert_eq!(names.len(), 3, "{names:?}");
        assert_eq!(names[1], name, "the first free position is used");
        replace(&mut table, &["a"]);
        wait_out_grace().await;
    }
}

// Guards against a position that counts as free although a request holds an earlier definition of
// the class.
#[tokio::test(start_paused = true)]
async fn a_request_with_an_earlier_definition_reserves_the_position() {
    let mut table = ClassTable::new(&classes(&["a", "b"]));
    let open_request = table.find("b").unwrap();
    let mut stricter = Settings {
        classes: classes(&["a", "b"]),
        ..Settings::default()
    };
    stricter.classes[1].idempotency = Idempotency::NonIdempotent;
    table.replace(&mut stricter);
    let new_request = table.find("b").unwrap();
    assert_eq!(open_request.definition.idempotency, Idempotency::Idempotent);
    assert_eq!(
        new_request.definition.idempotency,
        Idempotency::NonIdempotent
    );
    drop(new_request);
    replace(&mut table, &["a"]);
    wait_out_grace().await;
    assert_eq!(replace(&mut table, &["a", "c"]), ["a", "b", "c"]);
    drop(open_request);
}

// Guards against a class that vanishes and loses its position to a class of the same file.
#[tokio::test(start_paused = true)]
async fn a_new_class_never_takes_the_position_of_a_class_in_the_same_file() {
    let mut table = ClassTable::new(&classes(&["a", "b"]));
    replace(&mut table, &["a"]);
    wait_out_grace().await;
    assert_eq!(replace(&mut table, &["new", "b", "a"]), ["a", "b", "new"]);
}
