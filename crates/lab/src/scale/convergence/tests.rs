use super::*;

const PLANNED: ChangeCause = ChangeCause::Planned;

// Guards against a change that counts as everywhere while a node lacks it, and against times from other moments.
#[test]
fn a_change_is_over_with_the_last_node_that_has_it() {
    let mut fleet = Convergence::new(2).unwrap();
    fleet.starts(0, 0, 0);
    fleet.starts(1, 0, 0);
    fleet.in_force(0, 1, 0, 30);
    assert_eq!((fleet.behind(), fleet.starting()), (1, 1));
    fleet.in_force(1, 1, 0, 50);
    assert_eq!((fleet.behind(), fleet.starting()), (0, 0));
    assert_eq!(fleet.take_started(), [(0, 30), (1, 50)]);
    fleet.changed(Change::List(2), PLANNED, 100);
    fleet.changed(Change::List(3), PLANNED, 110);
    fleet.in_force(1, 3, 0, 190);
    assert_eq!((fleet.behind(), fleet.lists().to_last.len()), (1, 0));
    fleet.in_force(0, 2, 0, 120);
    assert_eq!(
        fleet.lists().to_last.max(),
        90,
        "the last report is not the last node"
    );
    fleet.in_force(0, 3, 0, 140);
    assert_eq!(
        (
            fleet.behind(),
            fleet.lists().to_last.len(),
            fleet.lists().to_each.len()
        ),
        (0, 2, 4)
    );
    assert_eq!(fleet.lists().to_last.min(), 80);
}

// Guards against a restarted node that passes for up to date, or that is waited for twice.
#[test]
fn a_restarted_node_has_nothing_until_it_has_a_list() {
    let mut fleet = Convergence::new(2).unwrap();
    fleet.in_force(0, 1, 0, 0);
    fleet.in_force(1, 1, 0, 0);
    fleet.changed(Change::List(2), ChangeCause::FaultEnds, 10);
    fleet.in_force(0, 2, 0, 20);
    fleet.starts(0, 0, 30);
    fleet.in_force(1, 2, 0, 40);
    assert_eq!(
        (fleet.behind(), fleet.fault_time(ChangeCause::FaultEnds)),
        (1, None)
    );
    fleet.in_force(0, 2, 0, 60);
    assert_eq!(
        (fleet.behind(), fleet.fault_time(ChangeCause::FaultEnds)),
        (0, Some(50))
    );
    assert_eq!(fleet.take_started(), [(0, 30)]);
    fleet.changed(Change::Configuration(1), PLANNED, 70);
    fleet.starts(1, 1, 75);
    fleet.in_force(1, 2, 0, 80);
    assert_eq!(fleet.configurations().to_last.len(), 0);
    fleet.in_force(0, 2, 1, 90);
    assert_eq!(
        (fleet.behind(), fleet.configurations().to_last.max()),
        (0, 20)
    );
}
