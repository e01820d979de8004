//! What a run knows of its fleet, from the members' events. No I/O.

use crate::scale::convergence::Convergence;
use crate::scale::error::ScaleError;
use crate::scale::options::Options;
use crate::scale::protocol::{InForce, Message, WorkerCounts};
use crate::scale::real::RealNodeEvent;
use crate::scale::service::Acknowledged;
use crate::scale::workers::{WorkerEnd, WorkerEvent};

/// Something that happened to a member of the fleet.
#[derive(Debug)]
pub enum FleetEvent {
    /// A call of a real node, as discovery heard it.
    Acknowledged(Acknowledged),
    /// A real node's task, with the node's number.
    Real(usize, RealNodeEvent),
    /// A worker, by its place.
    Worker(usize, WorkerEvent),
}

/// What is known of the fleet.
#[derive(Debug)]
pub struct FleetState {
    /// Which node has what in force.
    pub convergence: Convergence,
    /// Each simulated node's incarnation, counted from 1.
    pub incarnations: Vec<u32>,
    /// Processes of the real nodes that are ready.
    pub pids: Vec<Option<i32>>,
    /// The newest configuration.
    pub configuration: u64,
    /// Changes of the list that were made.
    pub list_changes: u64,
    /// Workers that are set up.
    pub ready_workers: usize,
    /// What workers answered when they were last asked to count.
    pub counted: Vec<Option<WorkerCounts>>,
}

impl FleetState {
    /// Of a fleet that is about to be started.
    pub fn new(options: &Options) -> Result<Self, ScaleError> {
        Ok(Self {
            convergence: Convergence::new(options.nodes())?,
            incarnations: vec![0; options.nodes()],
            pids: vec![None; options.real],
            configuration: 0,
            list_changes: 0,
            ready_workers: 0,
            counted: vec![None; options.used_workers()],
        })
    }

    /// Takes an event in; an error where a member cannot go on.
    pub fn take(&mut self, event: FleetEvent) -> Result<(), ScaleError> {
        match event {
            FleetEvent::Acknowledged(acknowledged) => self.acknowledged(acknowledged),
            FleetEvent::Real(
                node,
                RealNodeEvent::Starts {
                    configuration,
                    at_us,
                },
            ) => {
                self.convergence.node_started(node, configuration, at_us);
            }
            FleetEvent::Real(node, RealNodeEvent::Ready(pid)) => self.pids[node] = pid,
            FleetEvent::Real(node, RealNodeEvent::Failed(why)) => {
                return Err(ScaleError::RealNode(node, why))
            }
            FleetEvent::Worker(worker, WorkerEvent::Message(message)) => {
                return self.worker(worker, message)
            }
            FleetEvent::Worker(worker, WorkerEvent::Ended(why)) => {
                return Err(ScaleError::Worker(worker, why))
            }
        }
        Ok(())
    }

    fn worker(&mut self, worker: usize, message: Message) -> Result<(), ScaleError> {
        match message {
            Message::Ready => self.ready_workers += 1,
            Message::InForce(all) => all.into_iter().for_each(|in_force| self.in_force(in_force)),
            Message::Counted(counts) => self.counted[worker] = Some(counts),
            Message::Failed(why) => {
                return Err(ScaleError::Worker(worker, WorkerEnd::Reported(why)))
            }
        }
        Ok(())
    }

    fn in_force(&mut self, in_force: InForce) {
        let InForce {
            node,
            incarnation,
            list,
            configuration,
            at_us,
        } = in_force;
        // What an earlier incarnation had in force is gone.
        if self.incarnations.get(node) == Some(&incarnation) {
            self.convergence
                .versions_applied(node, list, configuration, at_us);
        }
    }

    /// A real node's next call names the version that it has in force.
    fn acknowledged(&mut self, acknowledged: Acknowledged) {
        let newest = self.configuration;
        // Configurations alternate between a node's two addresses.
        let current = newest % 2 == acknowledged.address as u64;
        let configuration = if current {
            newest
        } else {
            newest.saturating_sub(1)
        };
        self.convergence.versions_applied(
            acknowledged.node,
            acknowledged.after,
            configuration,
            acknowledged.at_us,
        );
    }

    /// Whether all real nodes are ready and have a list.
    pub fn real_nodes_ready(&self) -> bool {
        self.pids.iter().all(Option::is_some) && self.convergence.starting_nodes() == 0
    }

    /// Whether all nodes are ready and up to date.
    pub fn is_up_to_date(&self) -> bool {
        self.real_nodes_ready() && self.convergence.outdated_nodes() == 0
    }
}
