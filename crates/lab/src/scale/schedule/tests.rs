use super::*;
use crate::scale::options::Fault;

// Guards against changes that are lost at the run's end, or that come before their time.
#[test]
fn each_planned_step_is_due_once_in_order() {
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
    let rest: Vec<_> = std::iter::from_fn(|| schedule.next_step(ms(3000))).collect();
    assert_eq!(
        rest,
        [Step::Configuration, Step::ListChange, Step::ListChange]
    );
    assert!(!schedule.is_over());
    assert_eq!(
        schedule.next_fault(ms(1500)),
        Some(FaultStep::End(FaultKind::Partition))
    );
    assert!(schedule.is_over());
}

// Guards against runs of one seed that differ, and against a lost zone that takes another one with it.
#[test]
fn draws_of_a_seed_are_the_same_and_a_zone_is_lost_whole() {
    let options = Options {
        servers: 7,
        zones: 3,
        simulated: 24,
        real: 1,
        ..Options::default()
    };
    let drawn = || {
        let mut generator = ChangeGenerator::new(&options);
        (
            (0..9).map(|_| generator.list_change()).collect::<Vec<_>>(),
            generator.tenth(),
            generator.lose_zone(),
        )
    };
    let (_, tenth, lost) = drawn();
    assert_eq!(drawn(), drawn());
    assert_eq!(tenth.len(), 3);
    let lost: Vec<_> = lost
        .iter()
        .map(|change| (change.server, change.availability))
        .collect();
    assert_eq!(
        lost,
        [0, 3, 6].map(|server| (server, Availability::Removed))
    );
}
