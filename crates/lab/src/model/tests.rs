use super::*;

const MS: Duration = Duration::from_millis(1);

fn world(servers: usize) -> World {
    let terms = Terms {
        cores: 1,
        speed: 1.0,
        queue: 2,
        memory: 1000,
        cold_share: 0.5,
        warm: MS * 1000,
        fall_times: 3.0,
        fall_span: MS * 1000,
        drops_cancelled: true,
    };
    let origin =
        Origin { workers: 1, work: MS * 10, queue: 4, fall_times: 2.5, fall_span: MS * 1000, down: MS * 500 };
    World::new(vec![terms; servers], origin, 1)
}

fn read(id: JobId, key: u64) -> Job {
    Job { id, key, size: 400, work: MS * 10, write: false }
}

fn until(world: &mut World, ms: u32) -> Vec<(usize, JobId, Ended)> {
    let mut ended = Vec::new();
    world.advance(MS * ms, &mut ended);
    ended
}

// Guards against a stand-in that answers what no cache server would, so that figures mean nothing.
#[test]
fn jobs_wait_their_turn_and_values_are_kept_by_use_and_bytes() {
    let mut world = world(1);
    (1..=2).for_each(|key| world.warm_up(0, key, 400));
    assert_eq!(world.offer(MS, 0, read(1, 1)), Offer::Taken);
    assert_eq!(world.offer(MS, 0, read(2, 1)), Offer::Taken);
    assert_eq!(world.offer(MS, 0, read(3, 1)), Offer::Taken);
    assert_eq!(world.offer(MS, 0, read(4, 1)), Offer::Declined, "one at work and two wait");
    assert!(world.cancel(0, 3) && !world.cancel(0, 1), "what is at work goes on");
    let hit = |job| (0, job, Ended::Ok(Note::Hit));
    assert_eq!(until(&mut world, 20), [hit(1)]);
    assert_eq!(until(&mut world, 100), [hit(2)]);
    // A third value pushes the one out that was used longest ago.
    world.offer(MS * 100, 0, read(5, 3));
    assert_eq!(until(&mut world, 1000), [(0, 5, Ended::Ok(Note::Miss))]);
    world.offer(MS * 1000, 0, read(6, 1));
    world.offer(MS * 1000, 0, read(7, 2));
    assert_eq!(until(&mut world, 2000), [hit(6), (0, 7, Ended::Ok(Note::Miss))]);
}

#[test]
fn a_write_voids_every_copy_and_what_died_answers_nothing() {
    let mut world = world(2);
    (0..2).for_each(|server| world.warm_up(server, 1, 400));
    world.offer(MS, 0, Job { write: true, ..read(1, 1) });
    assert_eq!(until(&mut world, 500).len(), 1);
    world.offer(MS * 500, 1, read(2, 1));
    world.offer(MS * 500, 0, read(3, 1));
    world.kill(0);
    assert_eq!(world.offer(MS * 501, 0, read(4, 1)), Offer::Down);
    assert_eq!(until(&mut world, 1500), [(1, 2, Ended::Ok(Note::Miss))]);
}

#[test]
fn a_cold_server_and_the_database_fall_over_at_their_stated_multiples() {
    let mut world = world(2);
    world.start(MS, 0);
    // 0.5 of capacity for a second, three times over: 1.5 s of work, or 150 jobs, within a second.
    let offers: Vec<_> = (0..200).map(|i| world.offer(MS * 2, 0, read(i, i))).collect();
    let fell = offers.iter().position(|offer| *offer == Offer::Down).unwrap();
    assert!((148..155).contains(&fell), "fell after {fell}");
    assert_eq!(world.fell[0].server, Some(0));
    // The database does 100 calls a second; 250 within one are too many. They are not of cold servers.
    let mut ended = Vec::new();
    for i in 0..300u32 {
        world.offer(
            MS * 2000 + MS * 3 * i,
            1,
            Job { work: MS, ..read(1000 + u64::from(i), 1000 + u64::from(i)) },
        );
        world.advance(MS * 2000 + MS * 3 * i, &mut ended);
    }
    let fell = world.fell.iter().find(|fell| fell.server.is_none()).expect("the database falls");
    assert_eq!(fell.cold, 0.0);
    assert!(ended.iter().any(|(_, _, end)| *end == Ended::Error));
}
