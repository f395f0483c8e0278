//! Tests of the linear regression behind the scale series.

use daisyyard_lab::fit::Fit;

/// Guards against a wrong slope or intercept: points on a line yield that line and no residual.
#[test]
fn exact_line() {
    let points = [11.0, 100.0, 400.0, 930.0].map(|size| (size, 50.0 + 0.25 * size));
    let fit = Fit::new(&points).expect("sizes differ");
    assert!((fit.slope - 0.25).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 50.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
    assert!((fit.predict(2_000.0) - 550.0).abs() < 1e-6, "{fit:?}");
}

/// Guards against a residual that hides curvature: points off the line must raise it.
#[test]
fn residual_of_scatter() {
    let points = [(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)];
    let fit = Fit::new(&points).expect("sizes differ");
    assert!(fit.slope.abs() < 1e-9, "{fit:?}");
    assert!(fit.intercept.abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - 1.0).abs() < 1e-9, "{fit:?}");
}

/// Guards against a division by zero when there are no points or all points have the same size.
#[test]
fn no_line_through_one_size() {
    assert_eq!(Fit::new(&[]), None);
    assert_eq!(Fit::new(&[(5.0, 1.0)]), None);
    assert_eq!(Fit::new(&[(5.0, 1.0), (5.0, 2.0)]), None);
}
