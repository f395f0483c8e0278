//! Linear regression by least squares.

use daisyyard_derive::record;
use serde::Serialize;

/// A fitted line with its residual.
#[record]
#[derive(Copy, Serialize)]
pub struct Fit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Root mean square of the differences in value between the points and the line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to pairs of size and value, or returns `None` unless at least two sizes differ.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let x_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || x_squares <= f64::EPSILON {
            return None;
        }
        let products: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = products / x_squares;
        let mut fit = Self {
            slope,
            intercept: mean_y - slope * mean_x,
            residual: 0.0,
        };
        let squared_error = |point: &(f64, f64)| (point.1 - fit.predict(point.0)).powi(2);
        fit.residual = (points.iter().map(squared_error).sum::<f64>() / count).sqrt();
        Some(fit)
    }

    /// Returns the value of the line at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
