use super::*;

fn list_after(
    endpoint_list: &mut EndpointList,
    after: Option<u64>,
) -> (bool, u64, Vec<(String, String)>) {
    let answer = endpoint_list.answer(after).unwrap();
    let text = String::from_utf8(answer.message.to_vec()).unwrap();
    let list: serde_json::Value =
        serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
    let text_field = |host: &serde_json::Value, name: &str| host[name].as_str().unwrap().to_owned();
    let hosts = list["hosts"].as_array().unwrap();
    assert_eq!(hosts.len(), answer.entries);
    assert_eq!(list["whole"].as_bool(), Some(answer.whole));
    let hosts = hosts
        .iter()
        .map(|host| (text_field(host, "host"), text_field(host, "health")))
        .collect();
    (answer.whole, list["seq"].as_u64().unwrap(), hosts)
}

// Guards against an outdated cached answer, the cached answer of a different call, and omitted
// changes.
#[test]
fn answer_lists_exactly_the_changes_after_the_callers_version() {
    let options = Options {
        servers: 3,
        ..Options::default()
    };
    let mut endpoint_list = EndpointList::new(&options, SocketAddr::from(([127, 0, 0, 1], 7070)));
    let name_and_health = |server: usize, availability: &str| {
        (format!("server-{server:05}"), availability.to_owned())
    };
    let ready = (0..3)
        .map(|server| name_and_health(server, "ready"))
        .collect();
    assert_eq!(list_after(&mut endpoint_list, None), (true, 1, ready));
    assert_eq!(list_after(&mut endpoint_list, Some(1)), (false, 1, vec![]));
    let change = |server, availability| EndpointChange {
        server,
        availability,
        started_ms: None,
    };
    assert_eq!(endpoint_list.apply(&[change(1, Availability::Draining)]), 2);
    assert_eq!(
        list_after(&mut endpoint_list, Some(1)),
        (false, 2, vec![name_and_health(1, "draining")])
    );
    assert_eq!(
        endpoint_list.apply(&[
            change(1, Availability::Removed),
            change(2, Availability::Draining)
        ]),
        3
    );
    let delta = vec![name_and_health(1, "gone"), name_and_health(2, "draining")];
    assert_eq!(
        list_after(&mut endpoint_list, Some(1)),
        (false, 3, delta.clone())
    );
    assert_eq!(list_after(&mut endpoint_list, Some(2)), (false, 3, delta));
    let remaining = vec![name_and_health(0, "ready"), name_and_health(2, "draining")];
    assert_eq!(
        list_after(&mut endpoint_list, None),
        (true, 3, remaining.clone()),
        "a complete list omits removed servers"
    );
    assert_eq!(
        list_after(&mut endpoint_list, Some(9)),
        (true, 3, remaining),
        "an unpublished version is answered with the complete list"
    );
}
