//! Thread of the stand-ins of a run: cache servers, database and discovery.

use super::faults::{faults_by_target, schedule_faults};
use super::{Addresses, Command};
use crate::discovery::DiscoveryStandIn;
use crate::model::{Cluster, DatabaseSettings, ServerSettings};
use crate::plan::{mix, Plan};
use crate::record::Record;
use crate::scenario::{FaultKind, Scenario};
use crate::servers::CacheServers;
use std::io;
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};
use tokio::task::{spawn_local, LocalSet};

/// Runs the stand-ins until `shutdown` is set and returns their record.
pub(super) fn run_stand_ins(
    scenario: Scenario,
    plan: Arc<Plan>,
    start: Instant,
    manual_requests: bool,
    address_sender: mpsc::Sender<Addresses>,
    received_commands: channel::UnboundedReceiver<Command>,
    mut shutdown: watch::Receiver<bool>,
) -> io::Result<Record> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let fleet = &scenario.fleet;
        // Spare servers for `replace` faults listen from the start, unlisted by discovery.
        let spares: usize = faults_by_target(&scenario)
            .filter(|(fault, ..)| fault.kind == FaultKind::Replace)
            .count();
        let server_count = fleet.servers + spares;
        let cache_servers = CacheServers::new(
            &scenario,
            plan.clone(),
            initial_cluster(&scenario, &plan, server_count),
            server_count,
            start,
            manual_requests,
        );
        let mut addresses_by_node = vec![Vec::new(); fleet.nodes];
        for (node, node_addresses) in addresses_by_node.iter_mut().enumerate() {
            for server in 0..server_count {
                node_addresses.push(cache_servers.listen(server, node).await?);
            }
        }
        let servers = addresses_by_node[0][..fleet.servers].to_vec();
        let discovery_stand_in = DiscoveryStandIn::new(
            cache_servers.clone(),
            fleet,
            server_count,
            addresses_by_node,
        );
        let mut discovery_addresses = Vec::new();
        for node in 0..fleet.nodes {
            discovery_addresses.push([
                discovery_stand_in.listen(node, 0).await?,
                discovery_stand_in.listen(node, 1).await?,
            ]);
        }
        spawn_local(cache_servers.clone().run_model());
        spawn_local(cache_servers.clone().sample());
        spawn_local(execute_commands(
            scenario.clone(),
            cache_servers.clone(),
            discovery_stand_in,
            received_commands,
        ));
        // The receiver is dropped if the run has already failed.
        let _ = address_sender.send(Addresses {
            discovery: discovery_addresses,
            servers,
        });
        let _ = shutdown.wait_for(|requested| *requested).await;
        let mut record = cache_servers.record.take();
        let cluster = cache_servers.cluster.borrow();
        (record.overloads, record.fetches) = (cluster.overloads.clone(), cluster.fetches);
        Ok(record)
    })
}

async fn execute_commands(
    scenario: Scenario,
    cache_servers: Rc<CacheServers>,
    discovery_stand_in: Rc<DiscoveryStandIn>,
    mut received_commands: channel::UnboundedReceiver<Command>,
) {
    while let Some(command) = received_commands.recv().await {
        match command {
            Command::StartFaults => schedule_faults(&scenario, &cache_servers, &discovery_stand_in),
            Command::CloseOldAddress {
                node,
                address_index,
            } => discovery_stand_in.close_old_address(node, address_index),
        }
    }
}

/// Returns the servers in their state at the start of the run: warm, with the most requested keys
/// cached.
fn initial_cluster(scenario: &Scenario, plan: &Plan, server_count: usize) -> Cluster {
    let fleet = &scenario.fleet;
    let [slowest, fastest] = fleet.speed.map(|speed| speed.get());
    let step = (fastest - slowest) / (fleet.servers.max(2) - 1) as f64;
    let settings = |server: usize| ServerSettings {
        cores: fleet.cores,
        speed: slowest + step * (server % fleet.servers) as f64,
        queue: fleet.queue,
        memory: fleet.memory_kib << 10,
        cold_share: fleet.cold_share.get(),
        warm: Duration::from_secs_f64(fleet.warm_s.get()),
        overload_factor: fleet.overload_factor.get(),
        overload_window: Duration::from_secs_f64(fleet.overload_window_s.get()),
        drops_cancelled: fleet.drops_cancelled,
    };
    let database = &scenario.database;
    let database_settings = DatabaseSettings {
        workers: database.workers,
        work: Duration::from_secs_f64(database.work_ms.get() / 1e3),
        queue: database.queue,
        overload_factor: database.overload_factor.get(),
        overload_window: Duration::from_secs_f64(database.overload_window_s.get()),
        restart_delay: Duration::from_secs_f64(database.restart_delay_s.get()),
    };
    let mut cluster = Cluster::new(
        (0..server_count).map(settings).collect(),
        database_settings,
        plan.seed,
    );
    // The placement of keys is decided by the nodes, so each server starts with the hottest keys
    // that fit.
    let mut total_size = 0;
    let hottest: Vec<_> = (1..=u64::from(scenario.load.keys))
        .map(|rank| (mix(plan.seed ^ rank), plan.size(mix(plan.seed ^ rank))))
        .take_while(|(_, size)| {
            total_size += size;
            total_size <= fleet.memory_kib << 10
        })
        .collect();
    for server in 0..fleet.servers {
        // The hottest key is inserted last and therefore evicted last.
        hottest
            .iter()
            .rev()
            .for_each(|(key, size)| cluster.warm_up(server, *key, *size));
    }
    cluster
}
