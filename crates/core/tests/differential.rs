//! Compares the answers to callers under random workloads and faults with a reference: the history that a naive
//! proxy gives by sending every request to the primary and waiting for every answer, which is the final log.
//!
//! `FULMARLIFT_CASES` sets the number of schedules, and `FULMARLIFT_SEED` the seed that generates them.

mod sim;
mod history {
    pub mod check;
    pub mod schedule;
}

use history::{check, schedule};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};

const DEFAULT_CASES: u32 = 40;
const DEFAULT_SEED: u64 = 20_261_203;

fn env_number<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| {
        let number = text.parse().ok();
        number.unwrap_or_else(|| panic!("{name} must be a number, got {text}"))
    })
}

#[test]
fn schedule_agrees_with_naive_history() {
    let cases = env_number("FULMARLIFT_CASES", DEFAULT_CASES);
    let seed = env_number("FULMARLIFT_SEED", DEFAULT_SEED);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let totals = std::cell::RefCell::new(check::Totals::default());
    let result = runner.run(&schedule::schedules(), |schedule| {
        let world = schedule.run();
        let checked = check::check_world(&world, &mut totals.borrow_mut());
        proptest::prop_assert!(checked.is_ok(), "{}", checked.unwrap_err());
        Ok(())
    });
    println!("{cases} schedules from seed {seed}: {:?}", totals.borrow());
    if let Err(TestError::Fail(reason, schedule)) = result {
        panic!("{reason}\n{schedule:#?}");
    }
    result.expect("no schedule is rejected");
}
