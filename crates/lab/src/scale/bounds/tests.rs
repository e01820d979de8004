use super::*;

const LIMITS: Limits = Limits {
    memory_kib: 1 << 20,
    descriptors: 1 << 14,
};

fn rejection(options: Options) -> Option<String> {
    Estimate::of(&options)
        .check(&LIMITS)
        .err()
        .map(|error| error.to_string())
}

// Guards against a run that exhausts the machine's processes, memory or descriptors.
#[test]
fn run_beyond_a_limit_is_rejected_with_that_limit() {
    assert_eq!(rejection(Options::default()), None);
    let too_many_processes = rejection(Options {
        real: 300,
        ..Options::default()
    })
    .unwrap();
    assert!(
        too_many_processes.contains("305 processes, but the limit is 300"),
        "{too_many_processes}"
    );
    let too_much_memory = rejection(Options {
        simulated: 3_000,
        servers: 2_000,
        ..Options::default()
    })
    .unwrap();
    assert!(
        too_much_memory.ends_with("half of this machine's memory is 1024 MiB"),
        "{too_much_memory}"
    );
    let too_many_descriptors = rejection(Options {
        simulated: 5_600,
        servers: 9,
        ..Options::default()
    })
    .unwrap();
    assert!(
        too_many_descriptors.ends_with("its limit is 16384 (ulimit -n)"),
        "{too_many_descriptors}"
    );
}
