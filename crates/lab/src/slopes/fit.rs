//! Linear regression by least squares.

use serde::Serialize;

/// The line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Coefficient of determination: share of the variance of y that the line explains.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line to the points. Returns `None` if all x are the same.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let var_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let var_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let cov: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        if var_x <= 0.0 {
            return None;
        }
        let slope = cov / var_x;
        let r_squared = cov * cov / (var_x * var_y);
        Some(Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if var_y > 0.0 { r_squared } else { 1.0 },
        })
    }

    /// Returns the value of the line at this x.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
