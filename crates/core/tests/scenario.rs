//! Scripted scenarios: each file under scenarios/ tells a story and what the callers saw.
//!
//! `REWRITE=1 cargo test -p fulmarlift-core --test scenario` writes the answers anew, to be reviewed.

mod sim;
mod story {
    pub mod command;
}

use std::path::PathBuf;

#[test]
fn scenario_reads_as_told() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let folder = folder.to_str().expect("the path is text");
    datadriven::walk(folder, |file| {
        let mut story = story::command::Story::default();
        file.run(|test| story.run(test));
    });
}
