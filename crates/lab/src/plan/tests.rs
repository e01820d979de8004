use super::*;
use std::path::Path;

fn scenario(changes: &str) -> Scenario {
    let text = format!("about = \"x\"\nseconds = 20\n[load]\nrate = 500\n{changes}");
    Scenario::parse(&text, Path::new("day.toml")).unwrap()
}

// Guards against a comparison of two nodes under different loads.
#[test]
fn equal_seeds_give_equal_loads_and_different_seeds_different_loads() {
    let scenario = scenario("");
    let plan = Plan::draw(&scenario, 7);
    assert_eq!(plan, Plan::draw(&scenario, 7));
    assert_ne!(plan.arrivals, Plan::draw(&scenario, 8).arrivals);
    assert!(
        (9_500..10_500).contains(&plan.arrivals.len()),
        "{}",
        plan.arrivals.len()
    );
}

// Guards against load changes in a scenario that have no effect on the drawn load.
#[test]
fn bursts_hot_keys_and_scans_change_the_drawn_load() {
    let scenario = scenario(
        "[[load.change]]\nkind = \"burst\"\nat_s = 5\nfor_s = 5\ntimes = 3\n\
         [[load.change]]\nkind = \"hot_key\"\nat_s = 0\nfor_s = 5\nshare = 0.5\nkeys = 1\n\
         [[load.change]]\nkind = \"scan\"\nat_s = 10\nfor_s = 5\nshare = 0.5\n",
    );
    let plan = Plan::draw(&scenario, 1);
    let keys_from = |from: u64| {
        let span = Duration::from_secs(from)..Duration::from_secs(from + 5);
        plan.arrivals
            .iter()
            .filter(|a| span.contains(&a.due))
            .map(|a| a.key)
            .collect::<Vec<_>>()
    };
    let (hot, burst, scan) = (keys_from(0), keys_from(5), keys_from(10));
    assert!(
        burst.len() > hot.len() * 5 / 2,
        "{} requests in the burst, {} before it",
        burst.len(),
        hot.len()
    );
    let max_count_and_distinct = |keys: &[u64]| {
        let mut counts = std::collections::HashMap::new();
        keys.iter()
            .for_each(|key| *counts.entry(*key).or_insert(0usize) += 1);
        (counts.values().max().copied().unwrap_or(0), counts.len())
    };
    assert!(max_count_and_distinct(&hot).0 * 100 > hot.len() * 40);
    assert!(
        max_count_and_distinct(&scan).1 * 100 > scan.len() * 60,
        "{} distinct keys in {} requests",
        max_count_and_distinct(&scan).1,
        scan.len()
    );
}
