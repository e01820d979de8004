//! The scale run through its command, `slatelink lab scale`: exact counts of small runs, faults, rejected arguments, and that no
//! process outlives a run.

mod arguments;
mod control_counts;
mod exact_counts;
mod faults;
mod processes;
mod requests;
mod scale_run;
