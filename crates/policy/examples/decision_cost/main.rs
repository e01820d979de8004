//! What the policy costs by the number of endpoints: time for a request with its outcome, for a complete
//! list and for a list of one change, and resident memory.
//!
//! ```sh
//! cargo run --release -p slatelink-policy --example decision_cost > docs/capacity/decision-cost.json
//! ```
//!
//! Prints one JSON object with a row for each number of endpoints, and for each figure a least-squares fit in that
//! number, made from `FITTED_FROM` endpoints on without the row of `HELD_BACK`, with the error there. Keys, names and
//! the node's seed are fixed, so that each run makes the same decisions; only times and memory differ. All cases are
//! gone through `PASSES` times, so that a busy moment of the machine falls on all of them; in each pass a case ends
//! after `BATCHES` batches of about `BATCH_TIME`, or of one operation where that takes longer, and begins none after
//! `CASE_TIME`. Fits take the least batch: what else the machine does can only add to it.

mod cases;
mod fit;
mod memory;
mod report;
mod timing;

use cases::CASES;
use memory::resident_bytes;
use report::{report, Row};

/// Numbers of endpoints that are measured.
const ENDPOINTS: [usize; 7] = [10, 100, 300, 1_000, 2_000, 4_600, 10_000];
/// How often all cases are gone through.
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
            eprintln!("pass {pass} of {PASSES}, {} servers", row.endpoints);
            for (cost, case) in row.costs.iter_mut().zip(&CASES) {
                cost.add((case.measure)(row.endpoints));
            }
        }
    }
    println!("{}", report(&rows));
}
