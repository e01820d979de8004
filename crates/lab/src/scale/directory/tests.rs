use super::*;

fn listed(directory: &mut Directory, after: Option<u64>) -> (bool, u64, Vec<(String, String)>) {
    let answer = directory.answer(after).unwrap();
    let text = String::from_utf8(answer.message.to_vec()).unwrap();
    let list: serde_json::Value =
        serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
    let word = |host: &serde_json::Value, name: &str| host[name].as_str().unwrap().to_owned();
    let hosts = list["hosts"].as_array().unwrap();
    assert_eq!(hosts.len(), answer.entries);
    assert_eq!(list["whole"].as_bool(), Some(answer.whole));
    let hosts = hosts
        .iter()
        .map(|host| (word(host, "host"), word(host, "health")))
        .collect();
    (answer.whole, list["seq"].as_u64().unwrap(), hosts)
}

// Guards against an answer out of date or to another call, and against news that are left out.
#[test]
fn a_node_is_told_what_is_newer_than_its_version_and_no_more() {
    let options = Options {
        servers: 3,
        ..Options::default()
    };
    let mut directory = Directory::new(&options, SocketAddr::from(([127, 0, 0, 1], 7070)));
    let pair = |server: usize, availability: &str| {
        (format!("server-{server:05}"), availability.to_owned())
    };
    let ready = (0..3).map(|server| pair(server, "ready")).collect();
    assert_eq!(listed(&mut directory, None), (true, 1, ready));
    assert_eq!(listed(&mut directory, Some(1)), (false, 1, vec![]));
    let change = |server, availability| EndpointChange {
        server,
        availability,
        started_ms: None,
    };
    assert_eq!(directory.change(&[change(1, Availability::Draining)]), 2);
    assert_eq!(
        listed(&mut directory, Some(1)),
        (false, 2, vec![pair(1, "draining")])
    );
    assert_eq!(
        directory.change(&[
            change(1, Availability::Removed),
            change(2, Availability::Draining)
        ]),
        3
    );
    let gone = vec![pair(1, "gone"), pair(2, "draining")];
    assert_eq!(listed(&mut directory, Some(1)), (false, 3, gone.clone()));
    assert_eq!(listed(&mut directory, Some(2)), (false, 3, gone));
    let left = vec![pair(0, "ready"), pair(2, "draining")];
    assert_eq!(
        listed(&mut directory, None),
        (true, 3, left.clone()),
        "what is gone is not in a whole list"
    );
    assert_eq!(
        listed(&mut directory, Some(9)),
        (true, 3, left),
        "of an unknown version nothing is known"
    );
}
