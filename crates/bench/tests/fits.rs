//! Tests of the line fit from which the figures of the capacity page are extrapolated.

use hyssop_bench::fits::Fit;

/// Guards against a wrong slope, whose error grows with extrapolation by a factor of hundreds.
#[test]
fn a_straight_line_has_no_residual() {
    let points = [(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)];
    let fit = Fit::new(&points).expect("three points");
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.rms_residual < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-9);
}

/// Guards against a residual too small to show that the points lie on a curve.
#[test]
fn a_bent_curve_has_a_residual() {
    let points = [(0.0, 0.0), (1.0, 1.0), (2.0, 4.0)];
    let fit = Fit::new(&points).expect("three points");
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept + 1.0 / 3.0).abs() < 1e-9);
    assert!((fit.rms_residual - (2.0_f64 / 9.0).sqrt()).abs() < 1e-9);
    assert!((fit.max_residual_share - 1.0 / 6.0).abs() < 1e-9);
}

/// Guards against a fit through two points, whose residual is always 0, and against a division by
/// zero if all points have the same size.
#[test]
fn too_few_points_have_no_fit() {
    assert_eq!(Fit::new(&[(0.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Fit::new(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}
