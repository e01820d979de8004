//! What a run knows of its fleet, from what the members tell. No I/O.

use crate::scale::convergence::Convergence;
use crate::scale::options::Options;
use crate::scale::protocol::{InForce, Message, WorkerCounts};
use crate::scale::real::FromReal;
use crate::scale::run::ScaleError;
use crate::scale::service::Heard;
use crate::scale::workers::FromWorker;

/// Something that a member of the fleet tells.
#[derive(Debug)]
pub enum Told {
    /// A call of a real node, as discovery heard it.
    Heard(Heard),
    /// A real node's task, with the node's number.
    Real(usize, FromReal),
    /// A worker, by its place.
    Worker(usize, FromWorker),
}

/// What is known of the fleet.
#[derive(Debug)]
pub struct State {
    /// Which node has what in force.
    pub convergence: Convergence,
    /// Each simulated node's life, from 1.
    pub lives: Vec<u32>,
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

impl State {
    /// Of a fleet that is about to be started.
    pub fn new(options: &Options) -> Result<Self, ScaleError> {
        Ok(Self {
            convergence: Convergence::new(options.nodes())?,
            lives: vec![0; options.nodes()],
            pids: vec![None; options.real],
            configuration: 0,
            list_changes: 0,
            ready_workers: 0,
            counted: vec![None; options.used_workers()],
        })
    }

    /// Takes in what a member tells; an error where that is its end.
    pub fn take(&mut self, told: Told) -> Result<(), ScaleError> {
        match told {
            Told::Heard(heard) => self.heard(heard),
            Told::Real(node, FromReal::Starts { configuration, at_us }) => {
                self.convergence.starts(node, configuration, at_us);
            }
            Told::Real(node, FromReal::Ready(pid)) => self.pids[node] = pid,
            Told::Real(node, FromReal::Failed(why)) => return Err(ScaleError::RealNode(node, why)),
            Told::Worker(worker, FromWorker::Told(message)) => return self.worker(worker, message),
            Told::Worker(worker, FromWorker::Ended(why)) => return Err(ScaleError::Worker(worker, why)),
        }
        Ok(())
    }

    fn worker(&mut self, worker: usize, message: Message) -> Result<(), ScaleError> {
        match message {
            Message::Ready => self.ready_workers += 1,
            Message::InForce(all) => all.into_iter().for_each(|in_force| self.in_force(in_force)),
            Message::Counted(counts) => self.counted[worker] = Some(counts),
            Message::Failed(why) => return Err(ScaleError::Worker(worker, why)),
        }
        Ok(())
    }

    fn in_force(&mut self, in_force: InForce) {
        let InForce { node, life, list, configuration, at_us } = in_force;
        // What an earlier life had in force is gone.
        if self.lives.get(node) == Some(&life) {
            self.convergence.in_force(node, list, configuration, at_us);
        }
    }

    /// A real node's next call tells what it has in force.
    fn heard(&mut self, heard: Heard) {
        let newest = self.configuration;
        // Configurations alternate between a node's two addresses.
        let current = newest % 2 == heard.address as u64;
        let configuration = if current { newest } else { newest.saturating_sub(1) };
        self.convergence.in_force(heard.node, heard.after, configuration, heard.at_us);
    }

    /// Whether all real nodes are ready and have a list.
    pub fn real_nodes_ready(&self) -> bool {
        self.pids.iter().all(Option::is_some) && self.convergence.starting() == 0
    }

    /// Whether all nodes are ready and up to date.
    pub fn is_up_to_date(&self) -> bool {
        self.real_nodes_ready() && self.convergence.behind() == 0
    }
}
