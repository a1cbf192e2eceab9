//! Linear least squares for a few regressors, solved with the normal equations.

/// Pivots below this count as zero.
const SMALLEST_PIVOT: f64 = 1e-9;

/// A linear fit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fit {
    /// One coefficient per regressor; 0 if the data does not determine it.
    pub coefficients: Vec<f64>,
    /// Share of the variance explained by the fit.
    pub r_squared: f64,
}

/// Fits `values` to the regressors in `rows`, with one row per value.
pub fn least_squares(rows: &[Vec<f64>], values: &[f64]) -> Fit {
    let width = rows.first().map_or(0, Vec::len);
    let mut matrix = vec![vec![0.0; width + 1]; width];
    for (row, value) in rows.iter().zip(values) {
        for (line, factor) in row.iter().enumerate() {
            for (column, other) in row.iter().enumerate() {
                matrix[line][column] += factor * other;
            }
            matrix[line][width] += factor * value;
        }
    }
    let coefficients = solve(matrix, width);
    let r_squared = explained(rows, values, &coefficients);
    Fit {
        coefficients,
        r_squared,
    }
}

/// Gauss-Jordan elimination with partial pivoting.
fn solve(mut matrix: Vec<Vec<f64>>, width: usize) -> Vec<f64> {
    let mut pivot_rows = vec![None; width];
    let mut next_row = 0;
    for column in 0..width {
        let pivot = (next_row..width).max_by(|one, two| {
            let (one, two) = (matrix[*one][column].abs(), matrix[*two][column].abs());
            one.total_cmp(&two)
        });
        let Some(pivot) = pivot.filter(|row| matrix[*row][column].abs() > SMALLEST_PIVOT) else {
            continue;
        };
        matrix.swap(next_row, pivot);
        eliminate(&mut matrix, next_row, column);
        pivot_rows[column] = Some(next_row);
        next_row += 1;
    }
    pivot_rows
        .into_iter()
        .map(|row| row.map_or(0.0, |row| matrix[row][width]))
        .collect()
}

fn eliminate(matrix: &mut [Vec<f64>], row: usize, column: usize) {
    let divisor = matrix[row][column];
    for value in &mut matrix[row] {
        *value /= divisor;
    }
    let pivot = matrix[row].clone();
    for (index, line) in matrix.iter_mut().enumerate() {
        if index == row {
            continue;
        }
        let factor = line[column];
        for (value, subtracted) in line.iter_mut().zip(&pivot) {
            *value -= factor * subtracted;
        }
    }
}

fn explained(rows: &[Vec<f64>], values: &[f64], coefficients: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let predicted = |row: &Vec<f64>| -> f64 {
        row.iter()
            .zip(coefficients)
            .map(|(factor, coefficient)| factor * coefficient)
            .sum()
    };
    let total: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let left: f64 = rows
        .iter()
        .zip(values)
        .map(|(row, value)| (value - predicted(row)).powi(2))
        .sum();
    if total == 0.0 {
        1.0
    } else {
        1.0 - left / total
    }
}
