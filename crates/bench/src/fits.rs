//! Least squares fits of a straight line.

use serde::Serialize;

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value of the line at size 0, in the unit of the values.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// Growth of the value for each unit of size.
    pub slope: f64,
    /// Root mean square of the residuals, in the unit of the values.
    #[serde(rename = "error")]
    pub rms_residual: f64,
    /// Largest residual as a share of the largest measured value; 0 if all values are 0.
    #[serde(rename = "worst")]
    pub max_residual_share: f64,
    /// Number of points that the line is fitted to, at least three.
    pub points: usize,
}

impl Fit {
    /// Fits a line by least squares. Returns `None` for fewer than three points, or if all points
    /// have the same size.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let x_variation: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if x_variation <= 0.0 {
            return None;
        }
        let covariation: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = covariation / x_variation;
        let intercept = mean_y - slope * mean_x;
        let residuals = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
        let squared_sum: f64 = residuals.clone().map(|r| r * r).sum();
        let max_value = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let max_residual = residuals.fold(0.0, f64::max);
        Some(Self {
            intercept,
            slope,
            rms_residual: (squared_sum / count).sqrt(),
            max_residual_share: if max_value > 0.0 {
                max_residual / max_value
            } else {
                0.0
            },
            points: points.len(),
        })
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
