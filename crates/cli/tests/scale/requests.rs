//! Clients' requests during a run.

use crate::scale_run::{command, text, ReportFile};
use serde_json::Value;

// Guards against simulated nodes that only open sockets: their policies decide on the requests that are drawn.
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
        "all servers are ready: none is shed"
    );
    assert!(report["clients"]["served"].as_u64() > Some(0), "{report}");
    assert_eq!(
        report["real_node"]["control_processor_us_per_s"],
        Value::Null,
        "control and requests cannot be told apart"
    );
}
