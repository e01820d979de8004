//! Tests of the command `slatelink lab scale`: exact counts of small runs, faults, rejected
//! arguments, and the end of all processes of a run.

mod arguments;
mod control_counts;
mod exact_counts;
mod faults;
mod processes;
mod requests;
mod scale_run;
