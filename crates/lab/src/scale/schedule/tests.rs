use super::*;
use crate::scale::options::Fault;

// Guards against steps that are lost at the end of the run or become due too early.
#[test]
fn planned_steps_become_due_exactly_once_and_in_order() {
    let fault = Fault {
        kind: FaultKind::Partition,
        at_s: 1.0,
        for_s: 0.5,
    };
    let options = Options {
        list_changes: 1.0,
        configurations: 0.5,
        length_s: 3.0,
        fault: Some(fault),
        ..Options::default()
    };
    let mut schedule = Schedule::new(&options);
    let ms = Duration::from_millis;
    assert_eq!(schedule.next_step(ms(499)), None);
    assert_eq!(schedule.next_step(ms(500)), Some(Step::ListChange));
    assert_eq!(schedule.next_step(ms(999)), None);
    assert_eq!(
        schedule.next_fault(ms(1000)),
        Some(FaultStep::Begin(FaultKind::Partition))
    );
    assert_eq!(schedule.next_fault(ms(1000)), None);
    let remaining: Vec<_> = std::iter::from_fn(|| schedule.next_step(ms(3000))).collect();
    assert_eq!(
        remaining,
        [Step::Configuration, Step::ListChange, Step::ListChange]
    );
    assert!(!schedule.is_finished());
    assert_eq!(
        schedule.next_fault(ms(1500)),
        Some(FaultStep::End(FaultKind::Partition))
    );
    assert!(schedule.is_finished());
}

// Guards against runs with the same seed that differ, and against a zone fault that removes servers
// of another zone.
#[test]
fn equal_seeds_draw_equal_changes_and_a_zone_is_removed_completely() {
    let options = Options {
        servers: 7,
        zones: 3,
        simulated: 24,
        real: 1,
        ..Options::default()
    };
    let draw_all = || {
        let mut generator = ChangeGenerator::new(&options);
        (
            (0..9).map(|_| generator.list_change()).collect::<Vec<_>>(),
            generator.nodes_to_restart(),
            generator.remove_zone(),
        )
    };
    let (_, restarted, removed) = draw_all();
    assert_eq!(draw_all(), draw_all());
    assert_eq!(restarted.len(), 3);
    let removed: Vec<_> = removed
        .iter()
        .map(|change| (change.server, change.availability))
        .collect();
    assert_eq!(
        removed,
        [0, 3, 6].map(|server| (server, Availability::Removed))
    );
}
