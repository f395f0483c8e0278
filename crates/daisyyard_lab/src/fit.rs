//! Least-squares line through measured points.

use daisyyard_derive::record;
use serde::Serialize;

/// A line with the error that it leaves.
#[record]
#[derive(Copy, Serialize)]
pub struct Fit {
    /// Growth of the measured value for one unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Root mean square of the distances between the points and the line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points of size and value; nothing if fewer than two sizes differ.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let square: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if points.len() < 2 || square <= f64::EPSILON {
            return None;
        }
        let product: f64 = points.iter().map(|at| (at.0 - x) * (at.1 - y)).sum();
        let slope = product / square;
        let mut fit = Self {
            slope,
            intercept: y - slope * x,
            residual: 0.0,
        };
        let error = |point: &(f64, f64)| (point.1 - fit.at(point.0)).powi(2);
        fit.residual = (points.iter().map(error).sum::<f64>() / count).sqrt();
        Some(fit)
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
