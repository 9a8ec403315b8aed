//! Prints text, JSON and tables to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::error;

const COLUMN_GAP: &str = "  ";

/// A table whose columns are as wide as their widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with the columns' titles.
    pub fn new<const N: usize>(titles: [&str; N]) -> Self {
        Self {
            rows: vec![titles.map(str::to_owned).to_vec()],
        }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// The table as lines.
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

/// Prints text, with a line break at its end. A reader that has gone is no failure.
pub fn text(text: &str) -> Result<(), error::Error> {
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
pub fn json(value: &impl Serialize) -> Result<(), error::Error> {
    text(&serde_json::to_string_pretty(value).expect("what is printed has only text keys"))
}

/// A value that may be absent.
pub fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// A truth.
pub fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
