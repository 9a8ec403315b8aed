//! Stored encodings, a file for each kind of messages and version.

use std::fmt::Write;
use std::path::Path;

/// Compares encodings with the stored ones, which change only together with the version.
pub fn compare(kind: &str, encodings: &[(&str, Vec<u8>)]) {
    let version = super::greeting::PROTOCOL_VERSION;
    let mut lines = String::new();
    for (name, bytes) in encodings {
        let hex = bytes.iter().fold(String::new(), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        });
        lines += &format!("{name}: {hex}\n");
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/layout")
        .join(format!("{kind}-{version}.txt"));
    let stored = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        stored == lines,
        "the messages of version {version} are not those of {}: raise PROTOCOL_VERSION, and store under the new version:\n{lines}",
        path.display()
    );
}
