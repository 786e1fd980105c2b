//! Measured series and single figures, printed as a table or as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::fits::Fit;

/// A cost measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// What was measured.
    pub name: String,
    /// What the size counts, such as workers or requests.
    pub size: String,
    /// Unit of the cost, such as `us` or `bytes`.
    pub unit: String,
    /// Pairs of a size and the cost measured at it.
    pub points: Vec<(f64, f64)>,
    /// Line through the points; `None` if they do not determine one.
    pub fit: Option<Fit>,
}

impl Series {
    /// Creates a series and fits a line to its points.
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

/// A single value that does not depend on a size.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Unit of the value, such as `us` or `bytes`.
    pub unit: String,
    /// Measured value.
    pub value: f64,
}

/// Results of one measurement of the cores.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Costs by size, in the order of the measurements.
    pub series: Vec<Series>,
    /// Single values, in the order of the measurements.
    pub figures: Vec<Figure>,
    /// Descriptions of single events, in the order of the measurements.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl Report {
    /// Appends a series to the report.
    pub fn add_series(&mut self, series: Series) {
        self.series.push(series);
    }

    /// Appends a single value to the report.
    pub fn add_figure(&mut self, name: &str, unit: &str, value: f64) {
        self.figures.push(Figure {
            name: name.to_owned(),
            unit: unit.to_owned(),
            value,
        });
    }

    /// Appends the description of a single event to the report.
    pub fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Formats the report as a table.
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
                    fit.intercept,
                    fit.slope,
                    fit.points,
                    fit.rms_residual,
                    fit.max_residual_share * 100.0
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
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        text
    }
}
