//! Prints what was measured and the line through it.

use fulmarlift_lab::slopes;

/// Prints the points of one measure and their fit.
pub fn print(title: &str, x: &str, y: &str, points: &[(f64, f64)]) {
    println!("{title}: {x} -> {y}");
    for (at, value) in points {
        println!("  {at:>10} {value:>14.3}");
    }
    match slopes::Fit::from_points(points) {
        Some(fit) => println!(
            "  fit: {:.4} + {:.6} per {x}, r2 {:.4}",
            fit.intercept, fit.slope, fit.r_squared
        ),
        None => println!("  fit: none"),
    }
}
