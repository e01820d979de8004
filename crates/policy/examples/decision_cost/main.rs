//! Cost of the policy by the number of endpoints: time of a request with its outcome, of a complete
//! list and of a list with one change, and resident memory.
//!
//! ```sh
//! cargo run --release -p slatelink-policy --example decision_cost \
//!     > docs/capacity/decision-cost.json
//! ```
//!
//! Prints one JSON object with a row for each number of endpoints. For each figure, the object
//! contains a least-squares fit in the number of endpoints, made from the rows with at least
//! `FITTED_FROM` endpoints without the row of `HELD_BACK`, and the error of the fit at the
//! held-back row. Keys, names and the node's seed are fixed, so that each run makes the same
//! decisions; only times and memory differ.
//!
//! All cases run in each of `PASSES` passes, so that a period of other load on the machine affects
//! all cases. In each pass a case runs `BATCHES` batches of about `BATCH_TIME` each, or of one
//! operation if an operation takes longer, and starts no batch after `CASE_TIME`. Fits use the
//! fastest batch, because other load on the machine can only add time.

mod cases;
mod fit;
mod memory;
mod report;
mod timing;

use cases::CASES;
use memory::resident_bytes;
use report::{report, Row};

/// Measured numbers of endpoints.
const ENDPOINTS: [usize; 7] = [10, 100, 300, 1_000, 2_000, 4_600, 10_000];
/// Number of passes over all cases.
const PASSES: usize = 5;

fn main() {
    let row = |(&endpoints, bytes)| Row {
        endpoints,
        bytes,
        costs: Default::default(),
    };
    let mut rows: Vec<Row> = ENDPOINTS.iter().zip(resident_bytes()).map(row).collect();
    for pass in 1..=PASSES {
        for row in &mut rows {
            eprintln!("pass {pass} of {PASSES}, {} endpoints", row.endpoints);
            for (cost, case) in row.costs.iter_mut().zip(&CASES) {
                cost.add((case.measure)(row.endpoints));
            }
        }
    }
    println!("{}", report(&rows));
}
