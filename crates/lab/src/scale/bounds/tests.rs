use super::*;

const LIMITS: Limits = Limits {
    memory_kib: 1 << 20,
    descriptors: 1 << 14,
};

fn refused(options: Options) -> Option<String> {
    Estimate::of(&options)
        .check(&LIMITS)
        .err()
        .map(|error| error.to_string())
}

// Guards against a run that takes the machine down, for want of any one of the three.
#[test]
fn a_run_beyond_any_bound_is_refused_with_the_bound() {
    assert_eq!(refused(Options::default()), None);
    let many = refused(Options {
        real: 300,
        ..Options::default()
    })
    .unwrap();
    assert!(many.contains("305 processes: 300 are the most"), "{many}");
    let large = refused(Options {
        simulated: 3_000,
        servers: 2_000,
        ..Options::default()
    })
    .unwrap();
    assert!(
        large.ends_with("half of this machine's is 1024 MiB"),
        "{large}"
    );
    let open = refused(Options {
        simulated: 5_600,
        servers: 9,
        ..Options::default()
    })
    .unwrap();
    assert!(open.ends_with("its limit is 16384 (ulimit -n)"), "{open}");
}
