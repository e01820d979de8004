use super::*;

// Guards against noise that is reported as a gain, and against a gain that is reported as noise.
#[test]
fn interval_contains_zero_for_noise_and_not_for_a_gain() {
    let (low, high) = bootstrap_interval(&[0.01, -0.02, 0.015, -0.01, 0.0]);
    assert!(low < 0.0 && high > 0.0);
    let (low, high) = bootstrap_interval(&[0.11, 0.08, 0.12, 0.09, 0.10]);
    assert!(low > 0.07 && high < 0.13, "interval from {low} to {high}");
}
