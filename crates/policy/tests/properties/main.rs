//! Property tests of the policy's rules over event sequences generated from fixed seeds.

#[path = "../common/events.rs"]
mod events;

mod breakers;
mod origin;
mod requests;
mod simulation;
mod slow_start;
