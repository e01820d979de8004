use super::*;

const MS: Duration = Duration::from_millis(1);

fn cluster(servers: usize) -> Cluster {
    let settings = ServerSettings {
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
    let database = DatabaseSettings {
        workers: 1,
        work: MS * 10,
        queue: 4,
        fall_times: 2.5,
        fall_span: MS * 1000,
        down: MS * 500,
    };
    Cluster::new(vec![settings; servers], database, 1)
}

fn read(id: JobId, key: u64) -> Job {
    Job {
        id,
        key,
        size: 400,
        work: MS * 10,
        write: false,
    }
}

fn until(cluster: &mut Cluster, ms: u32) -> Vec<(usize, JobId, JobResult)> {
    let mut ended = Vec::new();
    cluster.advance(MS * ms, &mut ended);
    ended
}

// Guards against a stand-in that answers what no cache server would, so that figures mean nothing.
#[test]
fn jobs_wait_their_turn_and_values_are_kept_by_use_and_bytes() {
    let mut cluster = cluster(1);
    (1..=2).for_each(|key| cluster.warm_up(0, key, 400));
    assert_eq!(cluster.submit(MS, 0, read(1, 1)), Admission::Accepted);
    assert_eq!(cluster.submit(MS, 0, read(2, 1)), Admission::Accepted);
    assert_eq!(cluster.submit(MS, 0, read(3, 1)), Admission::Accepted);
    assert_eq!(
        cluster.submit(MS, 0, read(4, 1)),
        Admission::Declined,
        "one at work and two wait"
    );
    assert!(
        cluster.cancel(0, 3) && !cluster.cancel(0, 1),
        "what is at work goes on"
    );
    let hit = |job| (0, job, JobResult::Ok(CacheResult::Hit));
    assert_eq!(until(&mut cluster, 20), [hit(1)]);
    assert_eq!(until(&mut cluster, 100), [hit(2)]);
    // A third value pushes the one out that was used longest ago.
    cluster.submit(MS * 100, 0, read(5, 3));
    assert_eq!(
        until(&mut cluster, 1000),
        [(0, 5, JobResult::Ok(CacheResult::Miss))]
    );
    cluster.submit(MS * 1000, 0, read(6, 1));
    cluster.submit(MS * 1000, 0, read(7, 2));
    assert_eq!(
        until(&mut cluster, 2000),
        [hit(6), (0, 7, JobResult::Ok(CacheResult::Miss))]
    );
}

#[test]
fn a_write_voids_every_copy_and_what_died_answers_nothing() {
    let mut cluster = cluster(2);
    (0..2).for_each(|server| cluster.warm_up(server, 1, 400));
    cluster.submit(
        MS,
        0,
        Job {
            write: true,
            ..read(1, 1)
        },
    );
    assert_eq!(until(&mut cluster, 500).len(), 1);
    cluster.submit(MS * 500, 1, read(2, 1));
    cluster.submit(MS * 500, 0, read(3, 1));
    cluster.kill(0);
    assert_eq!(cluster.submit(MS * 501, 0, read(4, 1)), Admission::Down);
    assert_eq!(
        until(&mut cluster, 1500),
        [(1, 2, JobResult::Ok(CacheResult::Miss))]
    );
}

#[test]
fn a_cold_server_and_the_database_fall_over_at_their_stated_multiples() {
    let mut cluster = cluster(2);
    cluster.start(MS, 0);
    // 0.5 of capacity for a second, three times over: 1.5 s of work, or 150 jobs, within a second.
    let offers: Vec<_> = (0..200)
        .map(|i| cluster.submit(MS * 2, 0, read(i, i)))
        .collect();
    let fell = offers
        .iter()
        .position(|offer| *offer == Admission::Down)
        .unwrap();
    assert!((148..155).contains(&fell), "fell after {fell}");
    assert_eq!(cluster.overloads[0].server, Some(0));
    // The database does 100 calls a second; 250 within one are too many. They are not of cold servers.
    let mut ended = Vec::new();
    for i in 0..300u32 {
        cluster.submit(
            MS * 2000 + MS * 3 * i,
            1,
            Job {
                work: MS,
                ..read(1000 + u64::from(i), 1000 + u64::from(i))
            },
        );
        cluster.advance(MS * 2000 + MS * 3 * i, &mut ended);
    }
    let fell = cluster
        .overloads
        .iter()
        .find(|fell| fell.server.is_none())
        .expect("the database falls");
    assert_eq!(fell.cold_share, 0.0);
    assert!(ended.iter().any(|(_, _, end)| *end == JobResult::Error));
}
