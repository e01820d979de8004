//! Tests of the parser: lines to messages.

mod common;

use common::START;
use slatelink_policy::{
    CacheMode, CacheResult, ClassId, DeduplicationScope, EndpointUpdate, Event, Idempotency,
    LoadReport, Name, Settings, Status, Timestamp,
};
use slatelink_wire::{Message, Parser};
use std::time::Duration;

fn parse(lines: &[&str]) -> Vec<Message> {
    let mut parser = Parser::default();
    lines
        .iter()
        .filter_map(|line| parser.parse_line(line).expect("line was not accepted"))
        .collect()
}

#[test]
fn settings_are_parsed_and_unknown_settings_are_skipped() {
    let Message::Start {
        instance: 3,
        seed: 5,
        settings,
    } = parse(&[START]).remove(0)
    else {
        panic!("expected a start message")
    };
    assert_eq!(settings.classes.len(), 2);
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        window: Duration::from_millis(600),
    };
    assert_eq!(settings.classes[1].idempotency, keyed);
    assert_eq!(settings.tenants, [Name::from("t1")]);
    assert_eq!(
        settings.mode,
        CacheMode::CacheAside {
            origin_kind: "origin".into()
        }
    );
    assert_eq!(settings.max_retry_after, Duration::from_secs(1));
    assert!(settings.polls_discovery);
    assert_eq!(settings.max_poll_interval, Duration::from_secs(7));
    assert_eq!(settings.drain_grace, Duration::from_millis(60));
    assert_eq!(
        settings.slow_start_overload_factor,
        Settings::default().slow_start_overload_factor,
        "a missing setting must have its default"
    );
}

#[test]
fn every_field_of_a_request_is_parsed() {
    let line = "submit who=3 request_id=c:x cls=log party=t1 object=17 valid_until_us=900 expected_us=12 options=7 odd=1";
    let Message::Event {
        instance: 3,
        event: Event::Request(request),
    } = parse(&[START, line]).remove(1)
    else {
        panic!("expected a request")
    };
    assert_eq!(request.class, Some(ClassId(1)));
    assert_eq!(
        (request.key, request.deadline),
        (Some(17), Timestamp::from_micros(900))
    );
    assert_eq!(request.expected_work, Some(Duration::from_micros(12)));
    assert!(request.write);
}

#[test]
fn every_field_of_an_outcome_is_parsed_and_an_unknown_result_counts_as_failed() {
    let line = "returned who=1 request_id=r result=Miss info=2 hop=2 server=s:1 spent_us=70 finished=1 server_stats=avg_ms:1.5,cpu:0.25,waiting:2,new:1";
    let unknown_result = "returned who=1 request_id=r result=Exploded hop=0 server=s:1";
    let messages = parse(&[line, unknown_result]);
    let Message::Event {
        event: Event::AttemptEnded(outcome),
        ..
    } = &messages[0]
    else {
        panic!("expected an outcome")
    };
    assert_eq!(
        (outcome.attempt, outcome.status, outcome.cache_result),
        (2, Status::Miss, Some(CacheResult::Miss))
    );
    assert!(outcome.answered);
    assert_eq!(
        outcome.load,
        LoadReport {
            service_time: Some(Duration::from_micros(1500)),
            utilization: Some(0.25),
            queue_length: Some(2.0)
        }
    );
    assert!(
        matches!(&messages[1], Message::Event { event: Event::AttemptEnded(second), .. } if second.status == Status::Failed)
    );
}

#[test]
fn a_later_endpoint_list_replaces_the_list_with_the_same_number() {
    let entry = |id: &str| {
        format!("m server={id} region_part=x machine=std group=2 availability=U capacity_hint=1.5 born_us=0")
    };
    let (a, b) = (entry("a:1"), entry("b:1"));
    let snapshot = "peers_known who=3 how=replace bank=0 revision=1";
    let messages = parse(&[
        "roster bank=0 hosts=1",
        &a,
        snapshot,
        "roster bank=0 hosts=1",
        &b,
        snapshot,
        "roster bank=0 hosts=0",
        snapshot,
    ]);
    let ids: Vec<Vec<&str>> = messages
        .iter()
        .map(|message| match message {
            Message::Event {
                event: Event::Endpoints(EndpointUpdate::Snapshot(list)),
                ..
            } => list.iter().map(|endpoint| endpoint.id.as_str()).collect(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(ids, [vec!["a:1"], vec!["b:1"], vec![]]);
}

#[test]
fn unknown_messages_are_skipped() {
    assert!(parse(&[
        "inbox who=1 from=2 octets=aGk=",
        "first_byte who=1 request_id=r",
        "sampled who=1 server=s result=Ok",
        "weather who=1 sky=blue",
        "",
        "peers_known who=1 how=odd"
    ])
    .is_empty());
}

#[test]
fn a_malformed_line_is_an_error_that_names_the_fault() {
    for (lines, word) in [
        (vec!["tick"], "tick"),
        (vec!["tick t_us=soon"], "t_us"),
        (vec!["submit who=1 request_id=r"], "valid_until_us"),
        (vec!["submit who=1 valid_until_us=1"], "request_id"),
        (vec!["submit request_id=r valid_until_us=1"], "who"),
        (vec!["returned who=1 request_id=r hop=0 server=s"], "result"),
        (
            vec!["returned who=1 request_id=r result=Ok server=s"],
            "hop",
        ),
        (
            vec!["returned who=1 request_id=r result=Ok hop=0"],
            "server",
        ),
        (vec!["peers_known who=1 how=replace bank=4"], "bank"),
        (
            vec![
                "roster bank=0 hosts=2",
                "m server=a availability=U",
                "your_turn",
            ],
            "missing",
        ),
        (
            vec![
                "roster bank=0 hosts=1",
                "m server=a availability=U",
                "m server=b availability=U",
            ],
            "outside",
        ),
        (vec!["roster bank=0 hosts=1", "m server=a"], "availability"),
        (vec!["power_on who=1"], "prng"),
        (
            vec!["power_on who=1 prng=1 safety.cold_share=much"],
            "cold_share",
        ),
    ] {
        let mut parser = Parser::default();
        let errors: Vec<String> = lines
            .iter()
            .filter_map(|line| parser.parse_line(line).err())
            .map(|error| error.to_string())
            .collect();
        assert_eq!(errors.len(), 1, "{lines:?}");
        assert!(
            errors[0].contains(word) && !errors[0].contains('\n'),
            "{errors:?}"
        );
    }
}

/// Numbers out of range must not reach the decision module; their defaults are used instead.
#[test]
fn numbers_out_of_range_count_as_absent() {
    for invalid in ["NaN", "inf", "-inf", "-0.5"] {
        let start = format!(
            "power_on who=1 prng=1 lanes.count=1 lanes.0.name=a \
             safety.cold_share={invalid} safety.fall_multiple={invalid}"
        );
        let entry = format!("m server=s availability=U capacity_hint={invalid}");
        let lines = [
            start.as_str(),
            "roster bank=0 hosts=1",
            &entry,
            "peers_known who=1 how=replace bank=0",
        ];
        let mut messages = parse(&lines);
        let Message::Event {
            event: Event::Endpoints(EndpointUpdate::Snapshot(list)),
            ..
        } = messages.remove(1)
        else {
            panic!("expected a snapshot")
        };
        assert_eq!(list[0].weight, 1.0);
        let Message::Start { settings, .. } = messages.remove(0) else {
            panic!("expected a start message")
        };
        let default = Settings::default();
        assert_eq!(
            (
                settings.slow_start_min_capacity,
                settings.slow_start_overload_factor
            ),
            (
                default.slow_start_min_capacity,
                default.slow_start_overload_factor
            )
        );
    }
    let Message::Start { settings, .. } =
        parse(&["power_on who=1 prng=1 safety.cold_share=2"]).remove(0)
    else {
        panic!("expected a start message")
    };
    assert_eq!(
        settings.slow_start_min_capacity,
        Settings::default().slow_start_min_capacity,
        "a share of the capacity above 1 must count as absent"
    );
}
