//! Lease of a shard.

use std::time::{Duration, Instant};

use fulmarlift_broker::quota::lease::{Context, Effect, Holder, Input, Lease, Row};
use fulmarlift_broker::revision::Revision;
use rstest::rstest;

const FIRST: Context = Context { rank: 0, era: None };

fn holder(vm: &str, proxy: u64) -> Holder {
    Holder {
        vm: vm.into(),
        proxy,
    }
}

fn row(vm: &str, proxy: u64, era: u64) -> Row {
    Row {
        holder: holder(vm, proxy),
        term: 5,
        era,
    }
}

fn revision(era: u64, version: u64) -> Revision {
    Revision { era, version }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn read(row: Option<Row>, revision: Revision) -> Input {
    Input::RowRead { row, revision }
}

/// Returns a process that has read the row at `now`, and the effects of that.
fn seen(
    now: Instant,
    row: Option<Row>,
    revision: Revision,
    context: &Context,
) -> (Lease, Vec<Effect>) {
    let mut lease = Lease::new(now, holder("vm-a", 1));
    assert_eq!(lease.step(now, Input::Tick, context), [Effect::ReadRow]);
    let effects = lease.step(now, read(row, revision), context);
    (lease, effects)
}

fn writes(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::WriteRow { .. }])
}

/// Returns a process that holds the lease, acquired at `now` in era 2.
fn held(now: Instant) -> Lease {
    let (mut lease, effects) = seen(now, Some(row("vm-a", 9, 2)), revision(2, 10), &FIRST);
    assert!(writes(&effects), "{effects:?}");
    let written = Input::RowWritten {
        revision: revision(2, 11),
    };
    let effects = lease.step(now, written, &FIRST);
    let acquired = Effect::Acquired {
        term: (2 << 20) + 1,
        until: now + ms(10_000),
    };
    assert_eq!(effects, [acquired]);
    lease
}

/// Reads the unchanged row whenever the lease asks for it, and returns the time from which it writes, in ms.
fn take_over_ms(mut lease: Lease, start: Instant, input: &Input, context: &Context) -> Option<u64> {
    for after_ms in (0..40_000).step_by(100) {
        let now = start + ms(after_ms);
        let mut effects = lease.step(now, Input::Tick, context);
        if effects == [Effect::ReadRow] {
            effects = lease.step(now, input.clone(), context);
        }
        if writes(&effects) {
            return Some(after_ms);
        }
    }
    None
}

/// Another proxy took over while the lease of the coordinator was valid, or all candidates wrote at once.
#[rstest]
#[case::first(0, Some(10_500))]
#[case::second(1, Some(11_500))]
#[case::third(2, Some(12_500))]
#[case::not_a_watcher(3, None)]
fn step_of_candidate_takes_over(#[case] rank: usize, #[case] expected_ms: Option<u64>) {
    let now = Instant::now();
    let context = Context { rank, era: None };
    let input = read(Some(row("vm-b", 2, 2)), revision(2, 10));
    let (lease, _) = seen(now, Some(row("vm-b", 2, 2)), revision(2, 10), &context);
    assert_eq!(take_over_ms(lease, now, &input, &context), expected_ms);
}

/// After a restart of the coordinator's process the shard had no coordinator for 10.5 s; in a newer era the row may be an old copy.
#[rstest]
#[case::same_era(2, Some(0))]
#[case::older_era(1, Some(10_500))]
fn step_with_predecessor_on_vm_takes_over(#[case] era: u64, #[case] expected_ms: Option<u64>) {
    let now = Instant::now();
    let predecessor = Some(row("vm-a", 9, era));
    let (lease, effects) = seen(now, predecessor.clone(), revision(2, 10), &FIRST);
    let at = match writes(&effects) {
        true => Some(0),
        false => take_over_ms(lease, now, &read(predecessor, revision(2, 10)), &FIRST),
    };
    assert_eq!(at, expected_ms);
}

/// The store lost the row together with a valid lease, and another proxy took over at once.
#[rstest]
#[case::era_just_seen(Revision { era: 2, version: 0 }, None, 10_500)]
#[case::era_known_for_4_s(Revision { era: 2, version: 0 }, Some(4_000), 6_500)]
#[case::era_known_for_long(Revision { era: 2, version: 0 }, Some(60_000), 2_500)]
#[case::store_without_eras(Revision { era: 0, version: 0 }, None, 2_500)]
fn step_without_row_takes_over(
    #[case] revision: Revision,
    #[case] known_for_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let now = Instant::now() + ms(100_000);
    let era = known_for_ms.map(|known_for_ms| (revision.era, now - ms(known_for_ms)));
    let context = Context { rank: 0, era };
    let (lease, effects) = seen(now, None, revision, &context);
    let at = match writes(&effects) {
        true => Some(0),
        false => take_over_ms(lease, now, &read(None, revision), &context),
    };
    assert_eq!(at, Some(expected_ms));
}

/// A holder whose renewals got no answer went on after the end of its lease.
#[test]
fn step_of_holder_without_answers_stops() {
    let now = Instant::now();
    let mut lease = held(now);
    let at = now + ms(3_000);
    assert_eq!(lease.next_tick(&FIRST), Some(at));
    assert!(writes(&lease.step(at, Input::Tick, &FIRST)));
    assert_eq!(lease.step(at + ms(1_000), Input::Refused, &FIRST), []);
    assert_eq!(
        lease.step(at + ms(1_500), Input::Tick, &FIRST),
        [Effect::ReadRow]
    );
    let last = now + ms(9_999);
    assert_eq!(lease.step(last, Input::Tick, &FIRST), []);
    assert!(lease.is_held(last));
    assert_eq!(
        lease.step(now + ms(10_000), Input::Tick, &FIRST),
        [Effect::Stopped]
    );
}

/// A renewal whose answer came after a suspension extended the lease from the answer instead of from the write.
#[test]
fn step_with_late_answer_counts_lease_from_write() {
    let now = Instant::now();
    let mut lease = held(now);
    assert!(writes(&lease.step(now + ms(3_000), Input::Tick, &FIRST)));
    let written = Input::RowWritten {
        revision: revision(2, 12),
    };
    let effects = lease.step(now + ms(9_000), written, &FIRST);
    let renewed = Effect::Renewed {
        until: now + ms(13_000),
    };
    assert!(effects.contains(&renewed), "{effects:?}");
}

/// The store does not compare eras: a write meant for the older era replaced the row of another holder, and gave a second lease.
#[test]
fn step_with_write_in_newer_era_gives_no_lease() {
    let now = Instant::now();
    let mut lease = held(now);
    assert!(writes(&lease.step(now + ms(3_000), Input::Tick, &FIRST)));
    let written = Input::RowWritten {
        revision: revision(3, 12),
    };
    let effects = lease.step(now + ms(9_500), written, &FIRST);
    assert_eq!(effects, [Effect::ReadRow]);
    let after_end = now + ms(10_100);
    let own = Some(row("vm-a", 1, 2));
    let effects = lease.step(after_end, read(own, revision(3, 12)), &FIRST);
    assert_eq!(
        effects,
        [Effect::Stopped],
        "the replaced row's holder may have a lease"
    );
    assert!(!lease.is_held(after_end));
}

/// A holder in a newer era wrote over another holder, or did not renew a lease that only its own renewals had lost.
#[rstest]
#[case::other_holder(Some(("vm-b", 2)), false)]
#[case::earlier_process_on_vm(Some(("vm-a", 9)), false)]
#[case::itself(Some(("vm-a", 1)), true)]
#[case::no_row(None, true)]
fn step_of_holder_in_newer_era(#[case] named: Option<(&str, u64)>, #[case] renews: bool) {
    let now = Instant::now();
    let mut lease = held(now);
    assert!(writes(&lease.step(now + ms(3_000), Input::Tick, &FIRST)));
    let at = now + ms(3_010);
    assert_eq!(lease.step(at, Input::Conflict, &FIRST), [Effect::ReadRow]);
    let version = u64::from(named.is_some());
    let named = named.map(|(vm, proxy)| row(vm, proxy, 2));
    let effects = lease.step(at, read(named, revision(3, version)), &FIRST);
    assert_eq!(writes(&effects), renews, "{effects:?}");
    assert_eq!(effects.contains(&Effect::Stopped), !renews);
}

/// A row of other contents must not pass as a lease.
#[test]
fn from_bytes_with_malformed_row_fails() {
    let whole = row("vm-a", 1, 2);
    assert_eq!(Row::from_bytes(&whole.to_bytes()).ok(), Some(whole));
    assert!(Row::from_bytes(&[200]).is_err());
}
