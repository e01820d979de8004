//! Test data shared by the tests of the wire.

/// Starts instance 3 with two classes: idempotent reads and requests with an idempotency key.
pub const START: &str = "power_on who=3 prng=5 az=x lanes.count=2 lanes.0.name=read lanes.0.effect=safe lanes.0.promise_us=150000 \
    lanes.0.hard_limit_us=400000 lanes.1.name=log lanes.1.effect=keyed lanes.1.dedup_scope=zone lanes.1.repeat_window_us=600000 \
    orgs.count=1 orgs.0.name=t1 orgs.0.quota_per_s=12.5 family_info.mode=aside family_info.origin_kind=1 shapes=std,origin \
    limits.most_tries=6 limits.second_copies=true limits.retry_after=true limits.max_retry_after_us=1000000 \
    membership_mode=subscribe safety.cold_share=0.31 safety.ask_within_us=7000000 safety.stop_sending_within_us=60000 novelty.of=1";
