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
        overload_factor: 3.0,
        overload_window: MS * 1000,
        drops_cancelled: true,
    };
    let database = DatabaseSettings {
        workers: 1,
        work: MS * 10,
        queue: 4,
        overload_factor: 2.5,
        overload_window: MS * 1000,
        restart_delay: MS * 500,
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

fn advance_to(cluster: &mut Cluster, ms: u32) -> Vec<(usize, JobId, JobResult)> {
    let mut finished = Vec::new();
    cluster.advance(MS * ms, &mut finished);
    finished
}

// Guards against a simulated server that responds as no cache server would, which would make all
// figures of a run meaningless.
#[test]
fn jobs_queue_for_a_core_and_the_least_recently_used_values_are_evicted() {
    let mut cluster = cluster(1);
    (1..=2).for_each(|key| cluster.warm_up(0, key, 400));
    assert_eq!(cluster.submit(MS, 0, read(1, 1)), Admission::Accepted);
    assert_eq!(cluster.submit(MS, 0, read(2, 1)), Admission::Accepted);
    assert_eq!(cluster.submit(MS, 0, read(3, 1)), Admission::Accepted);
    assert_eq!(
        cluster.submit(MS, 0, read(4, 1)),
        Admission::Declined,
        "one job runs and two are queued"
    );
    assert!(
        cluster.cancel(0, 3) && !cluster.cancel(0, 1),
        "only a queued job can be cancelled"
    );
    let hit = |job| (0, job, JobResult::Ok(CacheResult::Hit));
    assert_eq!(advance_to(&mut cluster, 20), [hit(1)]);
    assert_eq!(advance_to(&mut cluster, 100), [hit(2)]);
    // A third value exceeds the cache size and evicts the least recently used one.
    cluster.submit(MS * 100, 0, read(5, 3));
    assert_eq!(
        advance_to(&mut cluster, 1000),
        [(0, 5, JobResult::Ok(CacheResult::Miss))]
    );
    cluster.submit(MS * 1000, 0, read(6, 1));
    cluster.submit(MS * 1000, 0, read(7, 2));
    assert_eq!(
        advance_to(&mut cluster, 2000),
        [hit(6), (0, 7, JobResult::Ok(CacheResult::Miss))]
    );
}

#[test]
fn a_write_invalidates_every_copy_and_a_killed_server_finishes_no_job() {
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
    assert_eq!(advance_to(&mut cluster, 500).len(), 1);
    cluster.submit(MS * 500, 1, read(2, 1));
    cluster.submit(MS * 500, 0, read(3, 1));
    cluster.kill(0);
    assert_eq!(cluster.submit(MS * 501, 0, read(4, 1)), Admission::Down);
    assert_eq!(
        advance_to(&mut cluster, 1500),
        [(1, 2, JobResult::Ok(CacheResult::Miss))]
    );
}

#[test]
fn a_cold_server_and_the_database_stop_when_overloaded_by_their_factors() {
    let mut cluster = cluster(2);
    cluster.start(MS, 0);
    // 0.5 of the capacity times an overload factor of 3 is 1.5 s of work, or 150 jobs, within a
    // second.
    let admissions: Vec<_> = (0..200)
        .map(|i| cluster.submit(MS * 2, 0, read(i, i)))
        .collect();
    let jobs_before_stop = admissions
        .iter()
        .position(|admission| *admission == Admission::Down)
        .unwrap();
    assert!(
        (148..155).contains(&jobs_before_stop),
        "the server stopped after {jobs_before_stop} jobs"
    );
    assert_eq!(cluster.overloads[0].server, Some(0));
    // The database completes 100 calls a second and stops at more than 250 within a second. None of
    // these calls comes from a cold server.
    let mut finished = Vec::new();
    for i in 0..300u32 {
        cluster.submit(
            MS * 2000 + MS * 3 * i,
            1,
            Job {
                work: MS,
                ..read(1000 + u64::from(i), 1000 + u64::from(i))
            },
        );
        cluster.advance(MS * 2000 + MS * 3 * i, &mut finished);
    }
    let overload = cluster
        .overloads
        .iter()
        .find(|overload| overload.server.is_none())
        .expect("the database is overloaded");
    assert_eq!(overload.cold_share, 0.0);
    assert!(finished
        .iter()
        .any(|(_, _, result)| *result == JobResult::Error));
}
