//! Output of measurements and their linear fits.

use fulmarlift_lab::slopes;

/// Prints the points of one measured quantity and their linear fit.
pub fn print(title: &str, x_name: &str, y_name: &str, points: &[(f64, f64)]) {
    println!("{title}: {x_name} -> {y_name}");
    for (x, y) in points {
        println!("  {x:>10} {y:>14.3}");
    }
    match slopes::Fit::from_points(points) {
        Some(fit) => println!(
            "  fit: {:.4} + {:.6} per {x_name}, r2 {:.4}",
            fit.intercept, fit.slope, fit.r_squared
        ),
        None => println!("  fit: none"),
    }
}
