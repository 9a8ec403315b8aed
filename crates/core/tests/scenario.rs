//! Scripted scenarios: each file under scenarios/ lists commands and the output that is expected of them.
//!
//! `REWRITE=1 cargo test -p fulmarlift-core --test scenario` replaces the expected outputs; review the changes.

mod sim;
mod scenario {
    pub mod command;
}

use std::path::PathBuf;

#[test]
fn scenario_reads_as_told() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let folder = folder.to_str().expect("the path is valid UTF-8");
    datadriven::walk(folder, |file| {
        let mut scenario = scenario::command::Scenario::default();
        file.run(|test| scenario.run(test));
    });
}
