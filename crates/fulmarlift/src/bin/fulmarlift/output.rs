//! Prints text, JSON and tables to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::error;

const COLUMN_GAP: &str = "  ";

/// Text table; each column is as wide as its widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column titles and no other rows.
    pub fn new<const N: usize>(titles: [&str; N]) -> Self {
        Self {
            rows: vec![titles.map(str::to_owned).to_vec()],
        }
    }

    /// Appends a row.
    pub fn push_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Formats the table, one line per row, with the titles first.
    pub fn to_text(&self) -> String {
        let widths = self.widths();
        let line = |row: &Vec<String>| {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"));
            format!(
                "{}\n",
                cells.collect::<Vec<_>>().join(COLUMN_GAP).trim_end()
            )
        };
        self.rows.iter().map(line).collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].chars().count())
                .max()
        };
        (0..columns)
            .map(|column| width(column).unwrap_or_default())
            .collect()
    }
}

/// Prints text with a single line break at its end. A closed pipe is no error, so that `| head` works.
pub fn print_text(text: &str) -> Result<(), error::Error> {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(text.trim_end().as_bytes());
    match written
        .and_then(|()| stdout.write_all(b"\n"))
        .and_then(|()| stdout.flush())
    {
        Err(cause) if cause.kind() != io::ErrorKind::BrokenPipe => Err(error::Error::Output(cause)),
        _ => Ok(()),
    }
}

/// Prints indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<(), error::Error> {
    print_text(
        &serde_json::to_string_pretty(value).expect("map keys of printed values are strings"),
    )
}

/// Formats a value; `-` when it is absent.
pub fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Formats a flag as `yes` or `no`.
pub fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
