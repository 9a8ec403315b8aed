//! Policy experiments: they detect violations of guarantees, and the default policy causes none.

use std::time::Duration;

use fulmarlift_core::route;
use fulmarlift_lab::experiment;
use rstest::rstest;

/// A faulty policy that sends reads to the nearest replica even if its log lacks the session's writes.
#[derive(Clone, Copy)]
struct AnyReplica;

impl route::Policy for AnyReplica {
    fn name(&self) -> &'static str {
        "any-replica"
    }

    fn choose(&self, input: &route::RoutingInput<'_>) -> route::Choice {
        let usable = input.candidates.iter().filter(|c| c.usable());
        let of_role = usable.filter(|c| c.primary != input.kind.is_read());
        let chosen = of_role.min_by_key(|c| c.distance);
        chosen.map_or(route::Choice::Park, |c| route::Choice::Member(c.member))
    }
}

fn options(seconds: u64, fault: Option<&str>) -> experiment::Options {
    let length = Duration::from_secs(seconds);
    let fault = fault.map(|name| experiment::Fault::named(name, length).expect("the fault exists"));
    experiment::Options {
        length,
        faults: fault.into_iter().collect(),
        ..experiment::Options::default()
    }
}

#[test]
fn run_sees_stale_reads_of_a_careless_policy() {
    let profile = experiment::Profile::petra();
    let report = experiment::run_with(&profile, &options(5, Some("lag")), AnyReplica);
    assert!(
        report
            .violations
            .contains(&experiment::Violation::StaleRead)
    );
}

#[test]
fn run_gives_the_same_report_for_the_same_seed() {
    let profile = experiment::Profile::abyrgdarpostur();
    let reports = [(); 2].map(|()| experiment::run(&profile, &options(3, None)));
    let [first, second] = reports.map(|report| format!("{report:?}"));
    assert_eq!(first, second);
}

#[rstest]
#[case::calm(None)]
#[case::lag(Some("lag"))]
#[case::rush(Some("rush"))]
#[case::kill_primary(Some("kill-primary"))]
#[case::kill_proxy(Some("kill-proxy"))]
#[case::silence(Some("silence"))]
#[case::leaving(Some("leaving"))]
fn run_breaks_no_promise(#[case] fault: Option<&str>) {
    for profile in [
        experiment::Profile::petra(),
        experiment::Profile::abyrgdarpostur(),
    ] {
        let report = experiment::run(&profile, &options(6, fault));
        assert_eq!(report.violations, []);
        assert!(report.reads > 0 && report.writes > 0);
    }
}

#[rstest]
#[case::petra(experiment::Profile::petra())]
#[case::abyrgdarpostur(experiment::Profile::abyrgdarpostur())]
fn run_lends_connections_within_the_limit(#[case] profile: experiment::Profile) {
    let options = experiment::Options {
        load: 10.0,
        first_proxy_share: 0.7,
        ..options(5, None)
    };
    let report = experiment::run(&profile, &options);
    assert_eq!(report.violations, []);
    assert_eq!(report.connects_refused, 0);
    // The first proxy's share of each member's connections is an eighth; with loans from its peers it uses more.
    let limit = profile.connections as usize;
    assert!(report.connections_peak.iter().all(|peak| *peak <= limit));
    assert!(report.connections_peak[1] * 3 >= limit * 2);
}

#[rstest]
#[case::petra(experiment::Profile::petra(), [14.0, 28.0, 140.0])]
#[case::abyrgdarpostur(experiment::Profile::abyrgdarpostur(), [20.0, 40.0, 200.0])]
fn run_keeps_goodput_past_capacity(#[case] profile: experiment::Profile, #[case] loads: [f64; 3]) {
    let profile = experiment::Profile {
        request_timeout: Duration::from_secs(1),
        ..profile
    };
    let reports = loads.map(|load| {
        let options = experiment::Options {
            load,
            ..options(1, None)
        };
        experiment::run(&profile, &options)
    });
    let goodputs = reports.iter().map(|report| report.goodput);
    let best = goodputs.clone().fold(0.0, f64::max);
    assert!(
        goodputs.clone().all(|goodput| goodput >= 0.9 * best),
        "{:?}",
        goodputs.collect::<Vec<_>>()
    );
    let overloaded = reports.iter().filter(|report| report.refusals > 0);
    assert!(overloaded.clone().count() >= 2);
    for report in overloaded {
        assert!(report.refusal_latency.p50_ms < 5.0);
        assert!(report.retry_share <= 0.1);
        assert_eq!(report.violations, []);
    }
}
