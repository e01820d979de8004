//! Start-up settings, in the simulator's names and values.

use crate::fields::Fields;
use crate::WireError;
use slatelink_policy::{CacheMode, Class, DeduplicationScope, Idempotency, Name, Settings};
use std::time::Duration;

/// Parses start-up settings from pairs of path and value. A missing setting has its value in
/// `Settings::default()`; unknown paths are skipped.
pub fn read_settings(pairs: &[(String, String)]) -> Result<Settings, WireError> {
    let pairs = pairs
        .iter()
        .map(|(path, value)| (path.as_str(), value.as_str()))
        .collect();
    parse(&Fields::from_pairs("settings", pairs))
}

/// Parses start-up settings from the fields of a line.
pub(crate) fn parse(fields: &Fields) -> Result<Settings, WireError> {
    let default = Settings::default();
    let duration = |name: &str, default: Duration| -> Result<Duration, WireError> {
        Ok(fields.micros(name)?.unwrap_or(default))
    };
    Ok(Settings {
        classes: classes(fields)?,
        tenants: tenants(fields)?,
        mode: cache_mode(fields)?,
        nodes: fields.optional("balancers")?.unwrap_or(default.nodes),
        weights_include_speed: matches!(fields.text("weights"), None | Some("nominal")),
        polls_discovery: fields.text("membership_mode") == Some("subscribe"),
        max_poll_interval: duration("safety.ask_within_us", default.max_poll_interval)?,
        drain_grace: duration("safety.stop_sending_within_us", default.drain_grace)?,
        max_attempts: fields
            .optional("limits.most_tries")?
            .unwrap_or(default.max_attempts),
        max_retry_after: duration("limits.max_retry_after_us", default.max_retry_after)?,
        connect_timeout: duration("limits.connect_timeout_us", default.connect_timeout)?,
        keepalive: duration("limits.keepalive_us", default.keepalive)?,
        slow_start_min_capacity: fields
            .number("safety.cold_share", 1.0)?
            .unwrap_or(default.slow_start_min_capacity),
        slow_start_duration: duration("safety.warm_within_us", default.slow_start_duration)?,
        slow_start_overload_factor: fields
            .number("safety.fall_multiple", f64::MAX)?
            .unwrap_or(default.slow_start_overload_factor),
        slow_start_overload_window: duration("safety.fall_us", default.slow_start_overload_window)?,
    })
}

fn classes(fields: &Fields) -> Result<Vec<Class>, WireError> {
    let count = fields.optional::<usize>("lanes.count")?.unwrap_or(0);
    (0..count).map(|index| class(fields, index)).collect()
}

fn class(fields: &Fields, index: usize) -> Result<Class, WireError> {
    let path = |name: &str| format!("lanes.{index}.{name}");
    let default = Class::default();
    Ok(Class {
        idempotency: idempotency(fields, index)?,
        name: fields.required_text(&path("name"))?.into(),
        latency_objective: fields
            .micros(&path("promise_us"))?
            .unwrap_or(default.latency_objective),
        deadline: fields
            .micros(&path("hard_limit_us"))?
            .unwrap_or(default.deadline),
    })
}

/// Returns the idempotency of a class's requests. An unknown scope counts as the narrowest one, and
/// an unknown effect as not idempotent.
fn idempotency(fields: &Fields, class: usize) -> Result<Idempotency, WireError> {
    let path = |name: &str| format!("lanes.{class}.{name}");
    let window = fields.micros(&path("repeat_window_us"))?;
    let scope = match fields.text(&path("dedup_scope")) {
        Some("all") => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    Ok(match fields.text(&path("effect")) {
        Some("safe") => Idempotency::Idempotent,
        Some("keyed") => Idempotency::Keyed {
            scope,
            window: window.unwrap_or_default(),
        },
        _ => Idempotency::NonIdempotent,
    })
}

fn tenants(fields: &Fields) -> Result<Vec<Name>, WireError> {
    let count = fields.optional::<usize>("orgs.count")?.unwrap_or(0);
    (0..count)
        .map(|index| {
            let name = fields.required_text(&format!("orgs.{index}.name"))?;
            Ok(name.into())
        })
        .collect()
}

/// Returns the cache mode. Cache-aside requires the origin's kind, given as its position in the
/// list of all machine kinds; without it the mode is read-through.
fn cache_mode(fields: &Fields) -> Result<CacheMode, WireError> {
    let position = fields.optional::<i64>("family_info.origin_kind")?;
    let kinds = fields.text("shapes").unwrap_or("");
    let origin_kind = position
        .and_then(|position| usize::try_from(position).ok())
        .and_then(|position| kinds.split(',').nth(position));
    Ok(match (fields.text("family_info.mode"), origin_kind) {
        (Some("aside"), Some(kind)) => CacheMode::CacheAside {
            origin_kind: kind.into(),
        },
        _ => CacheMode::ReadThrough,
    })
}
