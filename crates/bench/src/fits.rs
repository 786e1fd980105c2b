//! Least squares fits of a straight line.

use serde::Serialize;

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Root of the mean squared residual, in the unit of the values.
    pub error: f64,
    /// Largest residual as a part of the largest value.
    pub worst: f64,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits a line through three points or more; `None` for fewer, or if all have the same place.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = joint / spread;
        let base = mean_y - slope * mean_x;
        let residuals = points.iter().map(|p| (p.1 - base - slope * p.0).abs());
        let squares: f64 = residuals.clone().map(|r| r * r).sum();
        let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let worst = residuals.fold(0.0, f64::max);
        Some(Self {
            base,
            slope,
            error: (squares / count).sqrt(),
            worst: if largest > 0.0 { worst / largest } else { 0.0 },
            points: points.len(),
        })
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
