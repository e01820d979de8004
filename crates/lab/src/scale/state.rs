//! State of the fleet, derived from the events of its members. No I/O.

use crate::scale::convergence::Convergence;
use crate::scale::discovery::Acknowledgement;
use crate::scale::error::ScaleError;
use crate::scale::options::Options;
use crate::scale::protocol::{AppliedList, Message, WorkerCounts};
use crate::scale::real::RealNodeEvent;
use crate::scale::workers::{WorkerEnd, WorkerEvent};

/// Event of a member of the fleet.
#[derive(Debug)]
pub enum FleetEvent {
    /// Version that a real node acknowledged by a call to discovery.
    Acknowledged(Acknowledgement),
    /// Event of a real node, with the node's number.
    Real(usize, RealNodeEvent),
    /// Event of a worker, with the worker's index.
    Worker(usize, WorkerEvent),
}

/// State of the fleet.
#[derive(Debug)]
pub struct FleetState {
    /// Versions applied by each node.
    pub convergence: Convergence,
    /// Current incarnation of each simulated node, counted from 1 and indexed by node number.
    pub incarnations: Vec<u32>,
    /// Process id of each real node that is ready.
    pub pids: Vec<Option<i32>>,
    /// Version of the newest configuration.
    pub configuration: u64,
    /// Number of list changes made so far.
    pub list_changes: u64,
    /// Number of workers that are set up.
    pub ready_workers: usize,
    /// Counters from each worker's answer to the latest count command.
    pub counted: Vec<Option<WorkerCounts>>,
}

impl FleetState {
    /// Returns the state of a fleet that has not been started.
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

    /// Handles an event; returns an error if a member has failed or ended.
    pub fn handle(&mut self, event: FleetEvent) -> Result<(), ScaleError> {
        match event {
            FleetEvent::Acknowledged(acknowledgement) => {
                self.handle_acknowledgement(acknowledgement)
            }
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
            FleetEvent::Real(node, RealNodeEvent::Failed(failure)) => {
                return Err(ScaleError::RealNode(node, failure))
            }
            FleetEvent::Worker(worker, WorkerEvent::Message(message)) => {
                return self.handle_worker_message(worker, message)
            }
            FleetEvent::Worker(worker, WorkerEvent::Ended(end)) => {
                return Err(ScaleError::Worker(worker, end))
            }
        }
        Ok(())
    }

    fn handle_worker_message(&mut self, worker: usize, message: Message) -> Result<(), ScaleError> {
        match message {
            Message::Ready => self.ready_workers += 1,
            Message::InForce(applied_lists) => applied_lists
                .into_iter()
                .for_each(|applied_list| self.handle_applied_list(applied_list)),
            Message::Counted(counts) => self.counted[worker] = Some(counts),
            Message::Failed(error) => {
                return Err(ScaleError::Worker(worker, WorkerEnd::Reported(error)))
            }
        }
        Ok(())
    }

    fn handle_applied_list(&mut self, applied_list: AppliedList) {
        let AppliedList {
            node,
            incarnation,
            list,
            configuration,
            at_us,
        } = applied_list;
        // Reports of earlier incarnations are outdated and ignored.
        if self.incarnations.get(node) == Some(&incarnation) {
            self.convergence
                .versions_applied(node, list, configuration, at_us);
        }
    }

    /// Records the versions applied by a real node, whose next call names the applied list version.
    fn handle_acknowledgement(&mut self, acknowledgement: Acknowledgement) {
        let newest = self.configuration;
        // Configurations alternate between the node's two addresses, so the called address tells
        // the newest configuration from the one before it.
        let has_newest = newest % 2 == acknowledgement.address as u64;
        let configuration = if has_newest {
            newest
        } else {
            newest.saturating_sub(1)
        };
        self.convergence.versions_applied(
            acknowledgement.node,
            acknowledgement.after,
            configuration,
            acknowledgement.at_us,
        );
    }

    /// Checks whether all real nodes are ready and no started node lacks a list.
    pub fn real_nodes_ready(&self) -> bool {
        self.pids.iter().all(Option::is_some) && self.convergence.starting_nodes() == 0
    }

    /// Checks whether all real nodes are ready and all nodes are up to date.
    pub fn is_up_to_date(&self) -> bool {
        self.real_nodes_ready() && self.convergence.outdated_nodes() == 0
    }
}
