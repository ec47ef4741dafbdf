/// Least-squares regression line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Coefficient of determination; 1 if all points lie on the line.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line to `(size, value)` points. Returns `None` for fewer than two distinct sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_xx == 0.0 {
            return None;
        }
        let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let sum_yy: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let slope = sum_xy / sum_xx;
        let r_squared = if sum_yy == 0.0 { 1.0 } else { sum_xy.powi(2) / (sum_xx * sum_yy) };
        Some(Self { slope, intercept: mean_y - slope * mean_x, r_squared })
    }

    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
