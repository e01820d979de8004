//! The stand-ins' thread of a run: cache servers, database and discovery.

use super::faults::{begin, struck};
use super::{Addresses, Word};
use crate::discovery::Directory;
use crate::model::{Cluster, DatabaseSettings, ServerSettings};
use crate::plan::{mix, Plan};
use crate::record::Record;
use crate::scenario::{Kind, Scenario};
use crate::servers::Floor;
use std::io;
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};
use tokio::task::{spawn_local, LocalSet};

/// The stand-ins' thread.
pub(super) fn stand_ins(
    scenario: Scenario,
    plan: Arc<Plan>,
    start: Instant,
    hand: bool,
    addresses: mpsc::Sender<Addresses>,
    heard: channel::UnboundedReceiver<Word>,
    mut ending: watch::Receiver<bool>,
) -> io::Result<Record> {
    let one = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&one, async {
        let fleet = &scenario.fleet;
        // Machines that replace others stand ready, unknown to discovery.
        let spares: usize = struck(&scenario).filter(|(fault, ..)| fault.kind == Kind::Replace).count();
        let count = fleet.servers + spares;
        let floor =
            Floor::new(&scenario, plan.clone(), initial_cluster(&scenario, &plan, count), count, start, hand);
        let mut dials = vec![Vec::new(); fleet.nodes];
        for (node, dials) in dials.iter_mut().enumerate() {
            for server in 0..count {
                dials.push(floor.listen(server, node).await?);
            }
        }
        let servers = dials[0][..fleet.servers].to_vec();
        let directory = Directory::new(floor.clone(), fleet, count, dials);
        let mut told = Vec::new();
        for node in 0..fleet.nodes {
            told.push([directory.listen(node, 0).await?, directory.listen(node, 1).await?]);
        }
        spawn_local(floor.clone().run_model());
        spawn_local(floor.clone().sample());
        spawn_local(listen(scenario.clone(), floor.clone(), directory, heard));
        // The run may have ended before it began.
        let _ = addresses.send(Addresses { discovery: told, servers });
        let _ = ending.wait_for(|over| *over).await;
        let mut record = floor.record.take();
        let cluster = floor.cluster.borrow();
        (record.overloads, record.fetches) = (cluster.overloads.clone(), cluster.fetches);
        Ok(record)
    })
}

async fn listen(
    scenario: Scenario,
    floor: Rc<Floor>,
    directory: Rc<Directory>,
    mut heard: channel::UnboundedReceiver<Word>,
) {
    while let Some(word) = heard.recv().await {
        match word {
            Word::Begin => begin(&scenario, &floor, &directory),
            Word::CloseOld { node, which } => directory.close_old(node, which),
        }
    }
}

/// The servers as they stand when the run begins: warm, and holding the keys that are asked for most.
fn initial_cluster(scenario: &Scenario, plan: &Plan, count: usize) -> Cluster {
    let fleet = &scenario.fleet;
    let [least, most] = fleet.speed.map(|speed| speed.get());
    let step = (most - least) / (fleet.servers.max(2) - 1) as f64;
    let settings = |i: usize| ServerSettings {
        cores: fleet.cores,
        speed: least + step * (i % fleet.servers) as f64,
        queue: fleet.queue,
        memory: fleet.memory_kib << 10,
        cold_share: fleet.cold_share.get(),
        warm: Duration::from_secs_f64(fleet.warm_s.get()),
        fall_times: fleet.fall_times.get(),
        fall_span: Duration::from_secs_f64(fleet.fall_s.get()),
        drops_cancelled: fleet.drops_cancelled,
    };
    let database = &scenario.database;
    let database_settings = DatabaseSettings {
        workers: database.workers,
        work: Duration::from_secs_f64(database.work_ms.get() / 1e3),
        queue: database.queue,
        fall_times: database.fall_times.get(),
        fall_span: Duration::from_secs_f64(database.fall_s.get()),
        down: Duration::from_secs_f64(database.down_s.get()),
    };
    let mut cluster = Cluster::new((0..count).map(settings).collect(), database_settings, plan.seed);
    // Placement is the nodes' own affair: each server begins with the most wanted keys that fit.
    let mut fits = 0;
    let wanted: Vec<_> = (1..=u64::from(scenario.load.keys))
        .map(|rank| (mix(plan.seed ^ rank), plan.size(mix(plan.seed ^ rank))))
        .take_while(|(_, size)| {
            fits += size;
            fits <= fleet.memory_kib << 10
        })
        .collect();
    for server in 0..fleet.servers {
        // The most wanted last: it is the last to go.
        wanted.iter().rev().for_each(|(key, size)| cluster.warm_up(server, *key, *size));
    }
    cluster
}
