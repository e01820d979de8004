//! Random interleavings against simple models of what is kept.

#[path = "../../policy/tests/common/events.rs"]
mod events;

use events::{check, Step};
use slatelink_admission::{
    AddressQuotaExceeded, Budget, CloseCause, ConnectionKind, ConnectionLimits, ConnectionTable,
    Directive, Lease, LeaseError, MemoryShortage, Phase, Quota, TimerWheel,
};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

// Guards against a leak, a double release, and a side that the others keep from its floor.
#[test]
fn a_budget_keeps_its_floors_and_gives_all_back() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let places = random.usize(3..60);
        let shares = ConnectionKind::ALL.map(|_| {
            let reserved = random.usize(0..=places / 3);
            Quota {
                reserved,
                limit: random.usize(reserved..=places),
            }
        });
        let bytes = random.usize(0..10_000);
        let budget = Budget::new(places, shares, bytes).expect("floors of a third each fit");
        let mut held: Vec<(ConnectionKind, usize, Lease)> = Vec::new();
        for _ in 0..2_000 {
            match random.u8(0..4) {
                0 | 1 => {
                    let side = ConnectionKind::ALL[random.usize(0..3)];
                    let own = held.iter().filter(|(of, ..)| *of == side).count();
                    match budget.lease(side) {
                        Ok(lease) => held.push((side, 0, lease)),
                        Err(_) => assert!(
                            own >= shares[side as usize].reserved,
                            "seed {seed}: refused under its floor"
                        ),
                    }
                }
                2 if !held.is_empty() => drop(held.swap_remove(random.usize(0..held.len()))),
                _ if !held.is_empty() => {
                    let wanted = random.usize(0..2_000);
                    let all: usize = held.iter().map(|(_, bytes, _)| bytes).sum();
                    let one = random.usize(0..held.len());
                    let (_, bytes_of, lease) = &mut held[one];
                    let fits = wanted <= *bytes_of || all - *bytes_of + wanted <= bytes;
                    assert_eq!(lease.try_set_bytes(wanted), fits, "seed {seed}");
                    if fits {
                        *bytes_of = wanted;
                    }
                }
                _ => {}
            }
            let counted =
                ConnectionKind::ALL.map(|side| held.iter().filter(|(of, ..)| *of == side).count());
            assert_eq!(budget.usage().descriptors, counted, "seed {seed}");
            assert_eq!(
                budget.usage().bytes,
                held.iter().map(|(_, bytes, _)| bytes).sum::<usize>(),
                "seed {seed}"
            );
            assert!(counted.iter().sum::<usize>() <= places, "seed {seed}");
            assert!(
                ConnectionKind::ALL
                    .iter()
                    .all(|side| counted[*side as usize] <= budget.max_descriptors(*side)),
                "seed {seed}"
            );
        }
        held.clear();
        assert_eq!(
            budget.usage(),
            Default::default(),
            "seed {seed}: all is given back"
        );
    }
}

// Guards against one side that lives off its own connections while the other sits on the shared part idly.
#[test]
fn the_side_furthest_above_its_floor_is_asked_to_give_way() {
    let share = |reserved| Quota {
        reserved,
        limit: 12,
    };
    let budget = Budget::new(12, [share(4), share(4), share(0)], 0).expect("fits");
    let take = |side, count| {
        (0..count)
            .map(|_| budget.lease(side).expect("free"))
            .collect::<Vec<_>>()
    };
    let clients = take(ConnectionKind::Client, 4);
    let mut servers = take(ConnectionKind::Upstream, 8);
    assert_eq!(
        budget.lease(ConnectionKind::Client).err(),
        Some(LeaseError::OtherKind(ConnectionKind::Upstream))
    );
    assert_eq!(
        budget.lease(ConnectionKind::Upstream).err(),
        Some(LeaseError::OwnLimit)
    );
    servers.pop();
    assert!(budget.lease(ConnectionKind::Client).is_ok());
    drop(clients);
    assert_eq!(
        budget.max_descriptors(ConnectionKind::Client),
        8,
        "the servers' floor stays theirs"
    );
    assert!(
        Budget::new(7, [share(4), share(4), share(0)], 0).is_none(),
        "floors past the whole"
    );
}

// Guards against timers that are lost, early, doubled or late, however far off and however the work is cut.
#[test]
fn a_wheel_fires_what_a_sorted_map_would() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut wheel = TimerWheel::default();
        let mut model: HashMap<u32, Duration> = HashMap::new();
        let mut now = Duration::ZERO;
        for _ in 0..3_000 {
            let id = random.u32(0..64);
            match random.u8(0..8) {
                0..=3 => {
                    let far = [100, 5_000, 60_000, 10_000_000][random.usize(0..4)];
                    let at = now + ms(random.u64(0..far));
                    wheel.set(id, at);
                    model.insert(id, at);
                }
                4 => assert_eq!(wheel.cancel(id), model.remove(&id).is_some(), "seed {seed}"),
                _ => {
                    let far = [20, 2_000, 100_000, 4_000_000][random.usize(0..4)];
                    now += ms(random.u64(0..far));
                    let mut fired = Vec::new();
                    while !wheel.advance(now, random.usize(1..9), &mut fired) {}
                    for id in fired {
                        let at = model.remove(&id).expect("set, and fired once");
                        assert!(at <= now, "seed {seed}: {at:?} fired at {now:?}");
                    }
                    assert!(
                        model.values().all(|at| *at + ms(20) > now),
                        "seed {seed}: late at {now:?}"
                    );
                }
            }
            assert_eq!(wheel.len(), model.len(), "seed {seed}");
        }
    }
}

fn table(limits: ConnectionLimits) -> (ConnectionTable, Budget) {
    let share = Quota {
        reserved: 0,
        limit: 1 << 20,
    };
    let budget = Budget::new(1 << 20, [share; 3], 1_000).expect("fits");
    (
        ConnectionTable::new(ConnectionLimits {
            keep_alive_limit: 1 << 20,
            idle_timeout: ms(10_000),
            active_bytes: 100,
            parked_bytes: 1,
            ..limits
        }),
        budget,
    )
}

fn enter(table: &mut ConnectionTable, budget: &Budget, now: Duration, last: u8) -> u32 {
    table.insert(
        now,
        address(last),
        budget.lease(ConnectionKind::Client).expect("free"),
    )
}

/// A request and its answer.
fn converse(table: &mut ConnectionTable, now: Duration, id: u32) {
    table.on_readable(now, id).expect("memory is there");
    table.on_bytes_read(now, id);
    table.on_request_head(now, id);
    assert!(!table.on_request(now, id, 0));
    table.on_response(now, id);
    table.on_flushed(now, id);
}

// Guards against counts that drift from what is there, and connections that outlive their time, whatever happens when.
#[test]
fn a_table_agrees_with_a_plain_model_through_any_interleaving() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut table, budget) = table(ConnectionLimits {
            per_address: Some(40),
            ..ConnectionLimits::default()
        });
        let mut now = Duration::ZERO;
        let mut model: BTreeMap<u32, (Phase, u8)> = BTreeMap::new();
        let mut left = 0;
        for _ in 0..2_000 {
            now += ms(random.u64(0..60));
            let some = model
                .keys()
                .nth(random.usize(0..model.len().max(1)))
                .copied();
            match (random.u8(0..9), some) {
                (0 | 1, _) => {
                    let last = random.u8(0..3);
                    if table.check_address_quota(address(last)).is_ok() {
                        let id = enter(&mut table, &budget, now, last);
                        assert!(
                            model.insert(id, (Phase::AwaitingFirstByte, last)).is_none(),
                            "seed {seed}: a number in use"
                        );
                    } else {
                        let count = model.values().filter(|(_, of)| *of == last).count();
                        assert!(count >= 40, "seed {seed}: kept out with {count}");
                    }
                }
                (2 | 3, Some(id)) if model[&id].0 != Phase::Processing => {
                    let phase = &mut model.get_mut(&id).expect("in").0;
                    if table.on_readable(now, id).is_ok() {
                        table.on_bytes_read(now, id);
                        table.on_request_head(now, id);
                        table.on_request(now, id, 0);
                        *phase = Phase::Processing;
                    } else if *phase != Phase::AwaitingFirstByte {
                        *phase = Phase::ReadingRequest;
                    }
                }
                (4 | 5, Some(id)) if model[&id].0 == Phase::Processing => {
                    table.on_response(now, id);
                    table.on_flushed(now, id);
                    model.get_mut(&id).expect("in").0 = Phase::Idle;
                }
                (6, Some(id)) => {
                    table.remove(id);
                    model.remove(&id);
                    left += 1;
                }
                _ => {
                    let mut woken = Vec::new();
                    while !table.advance(now, random.usize(1..5), &mut woken) {}
                    for id in woken {
                        match table.directive(id) {
                            Directive::Park => {
                                table.on_parked(id);
                                model.get_mut(&id).expect("in").0 = Phase::Parked;
                            }
                            Directive::Finish | Directive::Abort => {
                                table.remove(id);
                                model.remove(&id);
                                left += 1;
                            }
                            Directive::Continue => {}
                        }
                    }
                }
            }
            let stats = table.stats();
            for phase in Phase::ALL {
                let count = model.values().filter(|(at, _)| *at == phase).count();
                assert_eq!(
                    stats.phases[phase as usize], count,
                    "seed {seed}: {phase:?}"
                );
            }
            assert_eq!(
                table.ids().collect::<Vec<_>>(),
                model.keys().copied().collect::<Vec<_>>(),
                "seed {seed}"
            );
            assert_eq!(stats.closed.iter().sum::<u64>(), left, "seed {seed}");
            assert_eq!(budget.usage().descriptors[0], model.len(), "seed {seed}");
        }
        model.keys().for_each(|id| table.remove(*id));
        assert!(
            table.is_empty() && budget.usage() == Default::default(),
            "seed {seed}: all is given back"
        );
    }
}

// Guards against a thread that is held while a whole crowd's time is up.
#[test]
fn a_mass_expiry_is_handed_out_in_parts() {
    let (mut table, budget) = table(ConnectionLimits::default());
    for _ in 0..100_000 {
        enter(&mut table, &budget, ms(5), 1);
    }
    let (mut woken, mut parts) = (Vec::new(), 0);
    while !table.advance(ms(1_900), 256, &mut woken) {}
    assert!(woken.is_empty(), "their time is 2 s");
    while !table.advance(ms(2_100), 256, &mut woken) {
        assert!(woken.len() <= (parts + 1) * 256);
        parts += 1;
    }
    assert_eq!(woken.len(), 100_000);
    assert!(parts >= 390, "{parts} parts");
    assert!(woken
        .iter()
        .all(|id| table.directive(*id) == Directive::Finish));
    woken.iter().for_each(|id| table.remove(*id));
    assert_eq!(
        table.stats().closed[CloseCause::FirstByteTimeout as usize],
        100_000
    );
}

// Guards against an address, or a class, that takes the whole table.
#[test]
fn an_address_gives_up_its_own_idle_connection_first_and_a_class_over_its_share_is_told() {
    let (mut table, budget) = table(ConnectionLimits {
        per_address: Some(2),
        per_class: vec![None, Some(1)],
        ..ConnectionLimits::default()
    });
    let first = enter(&mut table, &budget, ms(0), 1);
    let second = enter(&mut table, &budget, ms(1), 1);
    assert_eq!(
        table.check_address_quota(address(1)),
        Err(AddressQuotaExceeded { evicted: None }),
        "neither is idle"
    );
    assert_eq!(
        table.check_address_quota(address(2)),
        Ok(()),
        "another address has its own share"
    );
    converse(&mut table, ms(2), second);
    converse(&mut table, ms(3), first);
    assert_eq!(
        table.check_address_quota(address(1)),
        Err(AddressQuotaExceeded {
            evicted: Some(second)
        }),
        "idle for longest"
    );
    assert_eq!(table.directive(second), Directive::Finish);
    assert_eq!(
        table.check_address_quota(address(1)),
        Err(AddressQuotaExceeded {
            evicted: Some(first)
        }),
        "the next, as that one ends already"
    );
    table.remove(second);
    table.remove(first);
    let stats = table.stats();
    assert_eq!(stats.closed[CloseCause::AddressQuota as usize], 2);
    assert_eq!(stats.refused[CloseCause::AddressQuota as usize], 1);
    let ids = [1, 2].map(|last| enter(&mut table, &budget, ms(4), last));
    assert!(!table.on_request(ms(5), ids[0], 1));
    assert!(
        table.on_request(ms(5), ids[1], 1),
        "a second one of a class of one"
    );
    table.remove(ids[0]);
    table.on_response(ms(6), ids[1]);
    table.on_request_head(ms(6), ids[1]);
    assert!(
        !table.on_request(ms(7), ids[1], 1),
        "what left is counted no more"
    );
}

// Guards against a burst of a parked crowd that takes more memory than there is.
#[test]
fn a_connection_that_speaks_waits_for_memory_which_an_idle_one_gives_up() {
    let (mut table, budget) = table(ConnectionLimits::default());
    let ids: Vec<_> = (0..11)
        .map(|_| enter(&mut table, &budget, ms(0), 1))
        .collect();
    ids[..9]
        .iter()
        .for_each(|id| converse(&mut table, ms(1), *id));
    assert_eq!(budget.usage().bytes, 902);
    assert_eq!(
        table.on_readable(ms(2), ids[9]),
        Err(MemoryShortage {
            parking: Some(ids[0])
        })
    );
    assert_eq!(table.directive(ids[0]), Directive::Park);
    table.on_parked(ids[0]);
    assert_eq!(table.on_readable(ms(2), ids[9]), Ok(()));
    assert_eq!(
        table.on_readable(ms(3), ids[10]),
        Err(MemoryShortage {
            parking: Some(ids[1])
        })
    );
    let mut woken = Vec::new();
    while !table.advance(ms(2_100), 64, &mut woken) {}
    assert!(
        !woken.contains(&ids[0]),
        "parked before its time, it is kept as long as any"
    );
    assert!(
        woken.contains(&ids[10]),
        "it waits for no longer than a request may take"
    );
    table.remove(ids[10]);
    assert_eq!(table.stats().closed[CloseCause::MemoryLimit as usize], 1);
}

// Guards against a crowd that keeps idle connections while answered ones close, and against waiting for nothing.
#[test]
fn who_gives_way_is_the_one_that_is_missed_least() {
    let (mut table, budget) = table(ConnectionLimits::default());
    let [old, new, silent, half] =
        [0, 1_500, 2_440, 1_900].map(|at| enter(&mut table, &budget, ms(at), 1));
    converse(&mut table, ms(10), old);
    converse(&mut table, ms(2_000), new);
    table.on_bytes_read(ms(1_900), half);
    let next = |table: &mut ConnectionTable, now| table.evict_for_client(ms(now));
    assert_eq!(
        next(&mut table, 2_460),
        Some(old),
        "unused for over 2 s; the silent one is too young"
    );
    assert_eq!(
        next(&mut table, 2_460),
        Some(half),
        "half a request for over 0.5 s"
    );
    assert_eq!(
        next(&mut table, 2_460),
        None,
        "the silent one may speak yet"
    );
    assert_eq!(next(&mut table, 2_480), Some(silent));
    assert_eq!(
        next(&mut table, 2_480),
        Some(new),
        "the idle one, where nobody is silent"
    );
    assert_eq!(table.directive(half), Directive::Abort);
    assert_eq!(table.directive(new), Directive::Finish);
}

// A rule as a property, over the sequences that the module and the node are played with: each request that is open is
// counted until its one end, nothing is held over the budget, and all of it is whole again when everyone has gone.
#[test]
fn every_request_ends_once_and_the_budget_is_whole_again() {
    const PLACES: usize = 12;
    const BYTES: usize = 40_000;
    check(0..6, 60, 300, |_, steps| {
        let share = |reserved| Quota {
            reserved,
            limit: PLACES,
        };
        let budget = Budget::new(PLACES, [share(4), share(2), share(0)], BYTES).expect("fits");
        let per_class = vec![Some(3); 4];
        let mut table = ConnectionTable::new(ConnectionLimits {
            keep_alive_limit: 8,
            idle_timeout: ms(500),
            active_bytes: 4_000,
            parked_bytes: 100,
            per_class,
            ..ConnectionLimits::default()
        });
        let (mut now, mut open) = (Duration::ZERO, Vec::<(u32, usize)>::new());
        for step in steps {
            match step {
                Step::Ask {
                    class, patience_ms, ..
                } => {
                    let Ok(lease) = budget.lease(ConnectionKind::Client) else {
                        continue;
                    };
                    let id = table.insert(now, address(1), lease);
                    if table.on_readable(now, id).is_err() {
                        table.remove(id);
                        continue;
                    }
                    table.on_bytes_read(now, id);
                    table.on_request_head(now, id);
                    table.reserve_request_bytes(id, *patience_ms as usize * 20);
                    let before = open.iter().filter(|(_, of)| of == class).count();
                    assert_eq!(
                        table.on_request(now, id, *class),
                        before >= 3,
                        "the class's open requests are {before}"
                    );
                    open.push((id, *class));
                }
                Step::End { which, .. } if !open.is_empty() => {
                    let (id, _) = open.remove(which % open.len());
                    table.on_response(now, id);
                    table.on_flushed(now, id);
                }
                Step::Leave { which } if !open.is_empty() => {
                    let (id, _) = open.remove(which % open.len());
                    table.remove(id);
                    table.remove(id);
                }
                Step::Pass { ms: time } => {
                    now += ms(*time);
                    let mut woken = Vec::new();
                    while !table.advance(now, 3, &mut woken) {}
                    for id in woken {
                        match table.directive(id) {
                            Directive::Park => table.on_parked(id),
                            Directive::Finish | Directive::Abort => {
                                assert!(
                                    open.iter().all(|(of, _)| *of != id),
                                    "{id} is open, and told to end"
                                );
                                table.remove(id);
                            }
                            Directive::Continue => {}
                        }
                    }
                }
                _ => {}
            }
            let held = budget.usage();
            assert!(
                held.bytes <= BYTES && held.descriptors[0] == table.len(),
                "{held:?} of {} connections",
                table.len()
            );
            assert_eq!(table.stats().phases[Phase::Processing as usize], open.len());
        }
        table
            .ids()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| table.remove(id));
        assert_eq!(budget.usage(), Default::default());
    });
}

// Guards against a request that the node has whole, in the turn in which its time runs out, and that is dropped for it.
#[test]
fn a_request_that_comes_whole_as_its_time_runs_out_is_answered_and_then_closed() {
    let budget = Budget::new(
        4,
        [Quota {
            reserved: 1,
            limit: 4,
        }; 3],
        1_000,
    )
    .expect("fits");
    let terms = ConnectionLimits {
        keep_alive_limit: 4,
        idle_timeout: ms(60_000),
        active_bytes: 10,
        parked_bytes: 1,
        ..ConnectionLimits::default()
    };
    let mut table = ConnectionTable::new(terms);
    let id = table.insert(
        ms(0),
        address(1),
        budget.lease(ConnectionKind::Client).expect("room"),
    );
    table.on_bytes_read(ms(10), id);
    let mut woken = Vec::new();
    while !table.advance(ms(2_500), 100, &mut woken) {}
    assert_eq!(
        (woken, table.directive(id)),
        (vec![id], Directive::Abort),
        "what is not whole ends at once"
    );
    table.on_request_head(ms(2_500), id);
    table.on_request(ms(2_500), id, 0);
    assert_eq!(table.directive(id), Directive::Finish);
    table.on_response(ms(2_600), id);
    assert_eq!(
        table.directive(id),
        Directive::Finish,
        "while its answer is written too"
    );
    // One that is not taken ends at once all the same.
    while !table.advance(ms(9_000), 100, &mut Vec::new()) {}
    assert_eq!(table.directive(id), Directive::Abort);
}
