//! The fit behind every figure of the capacity page.

use hyssop_bench::fits::Fit;

/// Guards against a wrong slope, which would be extrapolated by a factor of hundreds.
#[test]
fn a_straight_line_is_found_without_error() {
    let points = [(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)];
    let fit = Fit::new(&points).expect("three points");
    assert!((fit.base - 3.0).abs() < 1e-9);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.error < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-9);
}

/// Guards against an error that hides a bent curve.
#[test]
fn a_bent_curve_has_an_error() {
    let points = [(0.0, 0.0), (1.0, 1.0), (2.0, 4.0)];
    let fit = Fit::new(&points).expect("three points");
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.base + 1.0 / 3.0).abs() < 1e-9);
    assert!((fit.error - (2.0_f64 / 9.0).sqrt()).abs() < 1e-9);
    assert!((fit.worst - 1.0 / 6.0).abs() < 1e-9);
}

/// Guards against a line through two points, which always fits.
#[test]
fn too_few_points_have_no_fit() {
    assert_eq!(Fit::new(&[(0.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Fit::new(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}
