//! Plot and page of a report contain its measurements and the faults.

use std::time::Duration;

use fulmarlift_lab::{experiment, report};

fn second(reads: u64, by_replicas: u64, writes: u64) -> experiment::Second {
    experiment::Second {
        reads,
        by_replicas,
        writes,
        ..experiment::Second::default()
    }
}

fn sample_report() -> experiment::Report {
    experiment::Report {
        profile: "petra".into(),
        replica_share: 0.9731,
        longest_write_gap_ms: 1_234.4,
        unknown: 7,
        seconds: vec![second(10, 9, 4), second(0, 0, 0), second(8, 4, 2)],
        ..experiment::Report::default()
    }
}

fn faults() -> Vec<experiment::Fault> {
    let window = experiment::Window {
        from: Duration::from_secs(1),
        until: Duration::from_secs(2),
    };
    vec![
        experiment::Fault::KillMember {
            at: Duration::from_secs(1),
            member: 0,
        },
        experiment::Fault::Rush {
            window,
            factor: 10.0,
        },
    ]
}

#[test]
fn plot_marks_each_fault_in_both_panels() {
    let svg = report::plot(&sample_report(), &faults()).expect("the plot is drawn");
    assert_eq!(svg.matches("member 0 dies").count(), 2);
    assert_eq!(svg.matches("10 times the load").count(), 2);
    assert!(svg.contains("Share of reads served by replicas"));
    assert!(svg.contains("Writes acknowledged"));
}

#[test]
fn plot_leaves_out_seconds_without_reads() {
    let svg = report::plot(&sample_report(), &[]).expect("the plot is drawn");
    let polylines = svg.split("<polyline").skip(1);
    let series = polylines.filter(|line| line.contains("stroke-width=\"2\""));
    let point_counts: Vec<usize> = series
        .map(|line| {
            let points = line.split("points=\"").nth(1).expect("a line has points");
            let points = points.split('"').next().expect("the attribute ends");
            points.split_whitespace().count()
        })
        .collect();
    assert_eq!(point_counts, [2, 3]);
}

#[test]
fn page_gives_figures_and_command() {
    let options = experiment::Options {
        faults: faults(),
        ..experiment::Options::default()
    };
    let page = report::page(
        &sample_report(),
        &options,
        "fulmarlift report petra",
        "petra.svg",
    );
    for part in [
        "fulmarlift report petra",
        "(petra.svg)",
        "| reads served by replicas | 97.31% |",
        "| longest time without an acknowledged write | 1234 ms |",
        "| writes of unknown outcome | 7 |",
        "- member 0 dies at 1.0 s",
        "- 10 times the load from 1.0 s to 2.0 s",
    ] {
        assert!(page.contains(part), "{part} is not in\n{page}");
    }
}
