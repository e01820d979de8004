use super::*;

// Guards against noise that is told as a gain, and a gain that is told as noise.
#[test]
fn an_interval_holds_zero_for_noise_and_not_for_a_gain() {
    let (low, high) = interval(&[0.01, -0.02, 0.015, -0.01, 0.0]);
    assert!(low < 0.0 && high > 0.0);
    let (low, high) = interval(&[0.11, 0.08, 0.12, 0.09, 0.10]);
    assert!(low > 0.07 && high < 0.13, "{low} to {high}");
}
