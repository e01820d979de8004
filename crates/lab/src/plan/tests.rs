use super::*;
use std::path::Path;

fn scenario(changes: &str) -> Scenario {
    let text = format!("about = \"x\"\nseconds = 20\n[load]\nrate = 500\n{changes}");
    Scenario::parse(&text, Path::new("day.toml")).unwrap()
}

// Guards against a comparison of two nodes over days that are not the same.
#[test]
fn a_seed_gives_the_same_load_again_and_another_seed_another() {
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

// Guards against changes of the load that do not change it.
#[test]
fn bursts_hot_keys_and_scans_show_in_what_is_drawn() {
    let scenario = scenario(
        "[[load.change]]\nkind = \"burst\"\nat_s = 5\nfor_s = 5\ntimes = 3\n\
         [[load.change]]\nkind = \"hot_key\"\nat_s = 0\nfor_s = 5\nshare = 0.5\nkeys = 1\n\
         [[load.change]]\nkind = \"scan\"\nat_s = 10\nfor_s = 5\nshare = 0.5\n",
    );
    let plan = Plan::draw(&scenario, 1);
    let part = |from: u64| {
        let span = Duration::from_secs(from)..Duration::from_secs(from + 5);
        plan.arrivals
            .iter()
            .filter(|a| span.contains(&a.due))
            .map(|a| a.key)
            .collect::<Vec<_>>()
    };
    let (hot, burst, scan) = (part(0), part(5), part(10));
    assert!(
        burst.len() > hot.len() * 5 / 2,
        "{} after {}",
        burst.len(),
        hot.len()
    );
    let top = |keys: &[u64]| {
        let mut counts = std::collections::HashMap::new();
        keys.iter()
            .for_each(|key| *counts.entry(*key).or_insert(0usize) += 1);
        (counts.values().max().copied().unwrap_or(0), counts.len())
    };
    assert!(top(&hot).0 * 100 > hot.len() * 40);
    assert!(
        top(&scan).1 * 100 > scan.len() * 60,
        "{} keys of {}",
        top(&scan).1,
        scan.len()
    );
}
