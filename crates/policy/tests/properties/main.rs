//! The rules as properties of the policy, over sequences of events from fixed seeds.

#[path = "../common/events.rs"]
mod events;

mod breakers;
mod origin;
mod requests;
mod simulation;
mod slow_start;
