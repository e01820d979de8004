use super::*;

const PLANNED: ChangeCause = ChangeCause::Planned;

// Guards against a change that counts as complete while a node lacks it, and against times measured
// from another change or to the last report instead of the last node.
#[test]
fn change_is_complete_when_the_last_node_has_applied_it() {
    let mut fleet = Convergence::new(2).unwrap();
    fleet.node_started(0, 0, 0);
    fleet.node_started(1, 0, 0);
    fleet.versions_applied(0, 1, 0, 30);
    assert_eq!((fleet.outdated_nodes(), fleet.starting_nodes()), (1, 1));
    fleet.versions_applied(1, 1, 0, 50);
    assert_eq!((fleet.outdated_nodes(), fleet.starting_nodes()), (0, 0));
    assert_eq!(fleet.take_start_times(), [(0, 30), (1, 50)]);
    fleet.change_published(Change::List(2), PLANNED, 100);
    fleet.change_published(Change::List(3), PLANNED, 110);
    fleet.versions_applied(1, 3, 0, 190);
    assert_eq!(
        (
            fleet.outdated_nodes(),
            fleet.list_times().until_last_node.len()
        ),
        (1, 0)
    );
    fleet.versions_applied(0, 2, 0, 120);
    assert_eq!(
        fleet.list_times().until_last_node.max(),
        90,
        "the time ends at the last node, not at the last report"
    );
    fleet.versions_applied(0, 3, 0, 140);
    assert_eq!(
        (
            fleet.outdated_nodes(),
            fleet.list_times().until_last_node.len(),
            fleet.list_times().until_each_node.len()
        ),
        (0, 2, 4)
    );
    assert_eq!(fleet.list_times().until_last_node.min(), 80);
}

// Guards against a restarted node that counts as up to date, or counts twice among the nodes that
// lack a change.
#[test]
fn restarted_node_is_outdated_until_it_applies_a_list() {
    let mut fleet = Convergence::new(2).unwrap();
    fleet.versions_applied(0, 1, 0, 0);
    fleet.versions_applied(1, 1, 0, 0);
    fleet.change_published(Change::List(2), ChangeCause::FaultEnds, 10);
    fleet.versions_applied(0, 2, 0, 20);
    fleet.node_started(0, 0, 30);
    fleet.versions_applied(1, 2, 0, 40);
    assert_eq!(
        (
            fleet.outdated_nodes(),
            fleet.fault_time(ChangeCause::FaultEnds)
        ),
        (1, None)
    );
    fleet.versions_applied(0, 2, 0, 60);
    assert_eq!(
        (
            fleet.outdated_nodes(),
            fleet.fault_time(ChangeCause::FaultEnds)
        ),
        (0, Some(50))
    );
    assert_eq!(fleet.take_start_times(), [(0, 30)]);
    fleet.change_published(Change::Configuration(1), PLANNED, 70);
    fleet.node_started(1, 1, 75);
    fleet.versions_applied(1, 2, 0, 80);
    assert_eq!(fleet.configuration_times().until_last_node.len(), 0);
    fleet.versions_applied(0, 2, 1, 90);
    assert_eq!(
        (
            fleet.outdated_nodes(),
            fleet.configuration_times().until_last_node.max()
        ),
        (0, 20)
    );
}
