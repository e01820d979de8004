//! Requests of clients during a run.

use crate::scale_run::{command, text, ReportFile};
use serde_json::Value;

// Guards against simulated nodes that only open sockets: their policies must decide on requests.
#[test]
fn requests_reach_the_policies_of_simulated_nodes_and_the_real_nodes() {
    let file = ReportFile::new("requests");
    let arguments = [
        "--real=1",
        "--simulated=4",
        "--workers=1",
        "--servers=6",
        "--length=3",
        "--seed=5",
        "--requests=20",
        "--json",
        file.path(),
    ];
    let output = command(&arguments).output().unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    let rate = |name: &str| report["simulated_node"][name].as_f64().unwrap();
    assert!(rate("requests_per_s") > 0.0, "{report}");
    assert_eq!(
        rate("sent_per_s"),
        rate("requests_per_s"),
        "a request was shed, although all servers are ready"
    );
    assert!(report["clients"]["served"].as_u64() > Some(0), "{report}");
    assert_eq!(
        report["real_node"]["control_processor_us_per_s"],
        Value::Null,
        "the processor time of control cannot be separated from the time for requests"
    );
}
