//! Measured series and single figures, printed as a table or as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::fits::Fit;

/// A cost measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// What was measured.
    pub name: String,
    /// What the size counts.
    pub size: String,
    /// Unit of the cost.
    pub unit: String,
    /// Sizes and costs.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: Option<Fit>,
}

impl Series {
    /// Creates a series and fits a line through it.
    #[must_use]
    pub fn new(name: &str, size: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        Self {
            name: name.to_owned(),
            size: size.to_owned(),
            unit: unit.to_owned(),
            fit: Fit::new(&points),
            points,
        }
    }
}

/// A single measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Unit.
    pub unit: String,
    /// Value.
    pub value: f64,
}

/// Everything that one call measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Costs by size.
    pub series: Vec<Series>,
    /// Single values.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Adds a series.
    pub fn add(&mut self, series: Series) {
        self.series.push(series);
    }

    /// Adds a single value.
    pub fn note(&mut self, name: &str, unit: &str, value: f64) {
        self.figures.push(Figure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            value,
        });
    }

    /// Writes the report as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::new();
        for series in &self.series {
            let _ = writeln!(text, "{} [{}] by {}", series.name, series.unit, series.size);
            for (x, y) in &series.points {
                let _ = writeln!(text, "  {x:>10.0}  {y:>14.3}");
            }
            if let Some(fit) = series.fit {
                let _ = writeln!(
                    text,
                    "  fit {:.4} + {:.6} x, {} points, residual {:.4} (largest {:.1}%)",
                    fit.base,
                    fit.slope,
                    fit.points,
                    fit.error,
                    fit.worst * 100.0
                );
            }
        }
        for figure in &self.figures {
            let _ = writeln!(
                text,
                "{:<52} {:>12.3} {}",
                figure.name, figure.value, figure.unit
            );
        }
        text
    }
}
