//! Tests of conditional writes of the claim row that get no answer.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Answer, Event, StatementReport, StoreOutcome};
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

/// Time for which a claimant waits after the holds where promotions are fenced.
const TRUST_MS: u64 = TRUST_DURATION.as_millis() as u64;

/// What happens to a write of the claim row.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// The row is written, and the answer lost.
    AnswerLost,
    /// The row is not written.
    Lost,
    /// The row is written when it is written next, before that write.
    Late,
    /// Another proxy writes the row instead.
    Overtaken,
    /// An older write of this proxy is made instead, with an earlier token.
    OvertakenByOlder,
    /// Another target is written to the row.
    OtherTarget,
    /// The store comes back in another era, and has the row of another proxy.
    OtherEra,
}

/// A store whose clock is that of the fixture, and members that answer at once.
struct Group {
    fixture: Fixture,
    began_at: Instant,
    row: ClaimRow,
    late: Option<ClaimRow>,
    /// Fates of the next writes; later ones are answered.
    fates: Vec<Fate>,
    /// Instant at which the write that is under way ends without an answer.
    unanswered: Option<Instant>,
    writes: u32,
    last_write: ClaimRow,
    /// Shortest time for which a claim that was to be written would still have lasted.
    shortest_claim_ms: u64,
    /// Instants of the reads of the row.
    reads: Vec<Instant>,
    reads_are_answered: bool,
    /// Number of writes after which reads are not answered.
    reads_after_writes: u32,
    /// Member that answers nothing.
    silent: Option<id::MemberId>,
    /// Newest term that the members know.
    newest_term: id::Term,
    /// Whether member 3 leads the next term.
    other_leads: bool,
    directory_reads: u32,
    leader_leads: bool,
    /// Whether the leader answers commands.
    leader_answers: bool,
    /// Member that has received most.
    furthest: id::MemberId,
    /// Targets of the orders, with the target in the row at that time.
    orders: Vec<(id::MemberId, Option<Box<str>>)>,
    holds: u32,
    releases: u32,
}

impl Group {
    /// A group whose leader leaves, and answers, so that it hands over.
    fn with_leaving_leader(fixture: Fixture, fates: &[Fate]) -> Self {
        let mut group = Self::new(fixture, fates);
        let mut leaving = member_at(1, "a", true);
        leaving.leaving = true;
        leaving.revision = version(10);
        group.fixture.handle(Event::Listed(leaving));
        group
    }

    /// A group whose leader does not answer, so that it is taken over from.
    fn with_silent_leader(fixture: Fixture, fates: &[Fate]) -> Self {
        let mut group = Self::new(fixture, fates);
        group.leader_answers = false;
        for _ in 0..2 {
            group.fixture.handle(Event::StatementEnded(StatementReport {
                member: 1,
                answer: Answer::Silent { commit: false },
                point: None,
                floor: None,
                connected_at: None,
                took: Some(Duration::from_millis(760)),
            }));
        }
        group
    }

    fn new(fixture: Fixture, fates: &[Fate]) -> Self {
        Self {
            began_at: fixture.now,
            fixture,
            row: ClaimRow::default(),
            late: None,
            fates: fates.to_vec(),
            unanswered: None,
            writes: 0,
            last_write: ClaimRow::default(),
            shortest_claim_ms: u64::MAX,
            reads: Vec::new(),
            reads_are_answered: true,
            reads_after_writes: u32::MAX,
            silent: None,
            newest_term: 1,
            other_leads: false,
            directory_reads: 0,
            leader_leads: true,
            leader_answers: true,
            furthest: 2,
            orders: Vec::new(),
            holds: 0,
            releases: 0,
        }
    }

    /// Plays for `ms` milliseconds.
    fn play(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.answer_all();
            self.fixture.advance(50);
            if self.unanswered.is_some_and(|at| self.fixture.now >= at) {
                self.unanswered = None;
                self.end_write(StoreOutcome::Unknown);
            }
        }
        self.answer_all();
    }

    fn answer_all(&mut self) {
        loop {
            let effects = self.fixture.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.answer(effect);
            }
        }
    }

    fn end_write(&mut self, outcome: StoreOutcome) {
        let group = GROUP;
        self.fixture.handle(Event::ClaimStored { group, outcome });
    }

    fn write(&mut self, written: ClaimRow) -> StoreOutcome {
        if written.revision != self.row.revision {
            return StoreOutcome::Conflict;
        }
        self.row.claim = written.claim;
        self.row.revision.version += 1;
        StoreOutcome::Written(self.row.revision)
    }

    /// Returns the time on the store's clock.
    fn now_ms(&self) -> u64 {
        let played = self.fixture.now.duration_since(self.began_at);
        9_000 + u64::try_from(played.as_millis()).expect("tests are short")
    }

    fn load(&mut self, asked_at: Instant, mut row: ClaimRow) {
        row.now_ms = self.now_ms();
        self.fixture.handle(Event::ClaimLoaded {
            group: GROUP,
            asked_at,
            stored: Some(row),
        });
    }

    fn answer(&mut self, effect: Effect) {
        let group = GROUP;
        match effect {
            Effect::LoadClaim(_) => {
                self.reads.push(self.fixture.now);
                let is_answered = self.reads_are_answered || self.writes == 0;
                if is_answered && self.writes <= self.reads_after_writes {
                    self.load(self.fixture.now, self.row.clone());
                }
            }
            Effect::StoreClaim {
                claim, revision, ..
            } => {
                self.writes += 1;
                let lasts_ms = claim.until_ms.saturating_sub(self.now_ms());
                self.shortest_claim_ms = self.shortest_claim_ms.min(lasts_ms);
                let written = ClaimRow {
                    claim,
                    revision,
                    now_ms: self.now_ms(),
                };
                self.last_write = written.clone();
                if let Some(late) = self.late.take() {
                    self.write(late);
                }
                let fate = match self.fates.is_empty() {
                    true => Fate::Answered,
                    false => self.fates.remove(0),
                };
                match fate {
                    Fate::Answered => {
                        let outcome = self.write(written);
                        return self.end_write(outcome);
                    }
                    Fate::AnswerLost => {
                        self.write(written);
                    }
                    Fate::Lost => {}
                    Fate::Late => self.late = Some(written),
                    Fate::Overtaken => {
                        let mut other = written;
                        other.claim.holder = "proxy-2-0".into();
                        self.write(other);
                    }
                    Fate::OvertakenByOlder => {
                        let mut older = written;
                        older.claim.token -= 1;
                        self.write(older);
                    }
                    Fate::OtherTarget => {
                        let mut other = written;
                        other.claim.target = Some("member-9".into());
                        self.write(other);
                    }
                    Fate::OtherEra => {
                        self.write(written);
                        self.row.revision.era += 1;
                    }
                }
                let at = self.fixture.now + Duration::from_millis(1_500);
                self.unanswered = Some(at);
            }
            Effect::ReadDirectory(_) => {
                self.directory_reads += 1;
                let is_read = true;
                self.fixture
                    .handle(Event::DirectoryLoaded { group, is_read });
            }
            Effect::OrderPromotion { member, until, .. } => {
                assert!(
                    until.is_some_and(|until| self.fixture.now < until),
                    "the order is outdated"
                );
                self.orders.push((member, self.row.claim.target.clone()));
            }
            Effect::SendCommand {
                member, command, ..
            } if Some(member) != self.silent && (member != 1 || self.leader_answers) => {
                if member == 1 && matches!(command, MemberCommand::Demote(_)) {
                    self.leader_leads = false;
                }
                let held_term = match command {
                    MemberCommand::Hold(term) => {
                        self.holds += 1;
                        term
                    }
                    MemberCommand::Release { .. } => {
                        self.releases += 1;
                        0
                    }
                    _ => 0,
                };
                let position = match member == self.furthest || member == 1 {
                    true => 528,
                    false => 520,
                };
                let leads = member == 1 && self.leader_leads;
                let status = match self.other_leads && member == 3 {
                    true => status(true, 2, (2, position), 0),
                    false => status(leads, self.newest_term, (1, position), held_term),
                };
                self.fixture.handle(Event::StatusAnswered {
                    group,
                    member,
                    asked_at: self.fixture.now,
                    status: Some(status),
                });
            }
            _ => {}
        }
    }
}

fn create(fenced: bool) -> Fixture {
    match fenced {
        true => Fixture::new(),
        false => Fixture::unfenced(),
    }
}

/// A record without an answer ended the attempt, and named a pending target although no order had been given: later attempts held all
/// members of a leader that could have handed over (inc10).
#[rstest]
#[case::answer_to_claim_is_lost(&[Fate::AnswerLost])]
#[case::claim_is_lost(&[Fate::Lost])]
#[case::claim_is_late(&[Fate::Late])]
#[case::answer_to_record_is_lost(&[Fate::Answered, Fate::AnswerLost])]
#[case::record_is_lost(&[Fate::Answered, Fate::Lost])]
#[case::record_is_late(&[Fate::Answered, Fate::Late])]
fn leader_hands_over_after_write_without_answer(
    #[case] fates: &[Fate],
    #[values(true, false)] fenced: bool,
) {
    let mut group = Group::with_leaving_leader(create(fenced), fates);
    group.play(2_600);
    assert_eq!(group.orders, [(2, Some("member-2".into()))]);
    assert!(
        !group.leader_leads,
        "the leader is stopped before the order"
    );
    assert_eq!(group.releases, 0);
}

#[rstest]
#[case::answer_to_claim_is_lost(&[Fate::AnswerLost], 1)]
#[case::claim_is_lost(&[Fate::Lost], 1)]
#[case::claim_is_late(&[Fate::Late], 1)]
#[case::answer_to_record_is_lost(&[Fate::Answered, Fate::AnswerLost], 2)]
#[case::record_is_lost(&[Fate::Answered, Fate::Lost], 2)]
#[case::record_is_late(&[Fate::Answered, Fate::Late], 2)]
fn leader_is_taken_over_from_after_write_without_answer(
    #[case] fates: &[Fate],
    #[case] directory_reads: u32,
    #[values(true, false)] fenced: bool,
) {
    let mut group = Group::with_silent_leader(create(fenced), fates);
    group.play(1_600 + 2_800 + if fenced { TRUST_MS } else { 0 });
    assert_eq!(group.orders, [(2, Some("member-2".into()))]);
    // Where promotions are not fenced, orders follow their record quickly.
    let found = fates.last() == Some(&Fate::AnswerLost);
    let recorded_again = !fenced && directory_reads == 2;
    assert_eq!(
        group.writes,
        2 + u32::from(!found) + u32::from(recorded_again),
    );
    assert_eq!(
        group.directory_reads, directory_reads,
        "the logs are read once more if the record is late"
    );
}

/// The logs on which the choice rests were read 1.5 s before the end of its record.
#[test]
fn order_names_member_that_is_furthest_when_late_record_is_found() {
    let fates = [Fate::Answered, Fate::AnswerLost];
    let mut group = Group::with_silent_leader(Fixture::new(), &fates);
    group.play(1_900 + TRUST_MS);
    assert_eq!(group.writes, 2);
    group.furthest = 3;
    group.play(2_600);
    assert_eq!(group.orders, [(3, Some("member-3".into()))]);
}

#[rstest]
#[case::of_claim(&[Fate::Overtaken])]
#[case::of_claim_by_older(&[Fate::OvertakenByOlder])]
#[case::of_claim_by_other_target(&[Fate::OtherTarget])]
#[case::of_record(&[Fate::Answered, Fate::Overtaken])]
#[case::of_record_by_older(&[Fate::Answered, Fate::OvertakenByOlder])]
#[case::of_record_by_other_target(&[Fate::Answered, Fate::OtherTarget])]
fn attempt_ends_once_row_was_written_otherwise(#[case] fates: &[Fate]) {
    let mut group = Group::with_silent_leader(Fixture::new(), fates);
    group.play(1_600 + 2_600 + TRUST_MS);
    assert_eq!(group.orders, []);
    assert_eq!(group.releases, 0, "the other proxy may hold the members");
    assert_eq!(group.writes as usize, fates.len());
}

/// The store may have lost newer claims. No other proxy claims for some time, so the members can be released.
#[rstest]
#[case::of_claim(&[Fate::OtherEra], 0)]
#[case::of_record(&[Fate::Answered, Fate::OtherEra], 2)]
fn attempt_ends_once_row_is_of_another_era(#[case] fates: &[Fate], #[case] releases: u32) {
    let mut group = Group::with_silent_leader(Fixture::new(), fates);
    group.play(1_600 + 2_600 + TRUST_MS);
    assert_eq!(group.orders, []);
    assert_eq!(group.releases, releases);
}

#[rstest]
#[case::of_claim(&[Fate::Lost])]
#[case::of_record(&[Fate::Answered, Fate::Lost])]
fn row_that_was_asked_for_before_end_of_write_does_not_count(#[case] fates: &[Fate]) {
    let mut group = Group::with_leaving_leader(Fixture::new(), fates);
    group.reads_are_answered = false;
    group.play(1_200);
    let (asked_at, row) = (group.fixture.now, group.row.clone());
    group.play(700);
    let writes = group.writes;
    group.load(asked_at, row.clone());
    group.answer_all();
    assert_eq!(group.writes, writes);
    group.load(group.fixture.now, row);
    group.answer_all();
    assert!(group.writes > writes, "the write is repeated");
}

/// Calls of the store are limited.
#[rstest]
#[case::of_claim(&[Fate::AnswerLost])]
#[case::of_record(&[Fate::Answered, Fate::AnswerLost])]
fn row_is_read_seldom_while_store_does_not_answer(#[case] fates: &[Fate]) {
    let mut group = Group::with_leaving_leader(Fixture::new(), fates);
    group.play(1_500);
    group.reads_are_answered = false;
    let reads = group.reads.len();
    group.play(1_400);
    assert!(group.reads.len() - reads <= 3, "{:?}", group.reads);
    assert_eq!(group.orders, []);
}

/// The row tells the newest term before the order, from which proxies conclude which term the target leads.
#[test]
fn choice_is_recorded_again_if_newer_term_has_begun() {
    let fates = [Fate::Answered, Fate::AnswerLost];
    let mut group = Group::with_silent_leader(Fixture::new(), &fates);
    group.play(1_900 + TRUST_MS);
    assert_eq!(group.writes, 2);
    group.newest_term = 2;
    group.play(2_600);
    assert_eq!(group.orders, [(2, Some("member-2".into()))]);
    assert_eq!(group.row.claim.last_ordered.replaced_term(), 2);
}

/// The members stayed held although no order had been given (inc10).
#[test]
fn members_are_released_if_record_stays_unanswered() {
    let fates = [Fate::Answered, Fate::AnswerLost];
    let mut group = Group::with_silent_leader(Fixture::new(), &fates);
    group.reads_after_writes = 1;
    group.play(1_600 + 2_700 + TRUST_MS);
    assert_eq!(group.orders, []);
    assert_eq!(group.releases, 2);
}

/// The same while the logs are read once more.
#[test]
fn members_are_released_if_one_does_not_answer_after_late_record() {
    let fates = [Fate::Answered, Fate::AnswerLost];
    let mut group = Group::with_silent_leader(Fixture::new(), &fates);
    group.play(1_900 + TRUST_MS);
    assert_eq!(group.writes, 2);
    group.silent = Some(3);
    group.play(3_600);
    assert_eq!(group.orders, []);
    assert_eq!(group.releases, 1);
    assert_eq!(group.row.claim.pending_target(), None);
}

/// The same if another member leads by then.
#[test]
fn members_are_released_if_another_leads_after_late_record() {
    let fates = [Fate::Answered, Fate::AnswerLost];
    let mut group = Group::with_silent_leader(Fixture::new(), &fates);
    group.play(1_900 + TRUST_MS);
    group.other_leads = true;
    group.play(1_600);
    assert_eq!(group.orders, []);
    assert!(group.releases > 0);
    assert_eq!(group.row.claim.target.as_deref(), Some("member-3"));
}

/// Otherwise the members could not be released any more before another proxy holds them.
#[test]
fn write_is_not_repeated_when_claim_ends_soon() {
    let mut group = Group::with_leaving_leader(Fixture::new(), &[Fate::Lost; 3]);
    group.play(4_000);
    assert!(group.writes > 2, "the next attempt claims");
    let shortest = group.shortest_claim_ms;
    assert!(shortest >= 1_500, "{shortest} ms left");
}

/// An earlier attempt of the proxy wrote the claim late, with the same token, and it ends before that of this attempt would have.
#[test]
fn claim_ends_when_row_that_was_found_tells() {
    let mut group = Group::with_silent_leader(Fixture::new(), &[Fate::Lost]);
    while group.writes == 0 {
        group.play(50);
    }
    group.play(1_400);
    let mut earlier = group.last_write.clone();
    earlier.claim.until_ms = group.now_ms() + 1_600;
    group.write(earlier);
    group.play(300);
    assert!(group.reads.len() > 1);
    assert_eq!(group.writes, 1);
    assert_eq!(group.holds, 0, "the members could not be released in time");
}

/// The store wrote the choice after the end of the claim, while the row showed no attempt, and an order on the old logs followed (inc10).
#[test]
fn choice_that_is_recorded_after_end_of_claim_is_made_anew() {
    let mut group = Group::with_silent_leader(Fixture::new(), &[Fate::Answered, Fate::Late]);
    while group.holds < 2 {
        group.play(50);
    }
    group.silent = Some(3);
    while group.directory_reads == 0 {
        group.play(50);
    }
    let asked_at = group.fixture.now;
    let left_ms = group.row.claim.until_ms - group.now_ms();
    group.fixture.now += Duration::from_millis(left_ms - 30);
    group.silent = None;
    group.fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 3,
        asked_at,
        status: Some(status(false, 1, (1, 520), 2)),
    });
    group.answer_all();
    assert_eq!(group.writes, 2, "the choice is being recorded");
    let directory_reads = group.directory_reads;
    group.fixture.now += Duration::from_millis(500);
    let late = group.late.take().expect("the store has not written yet");
    let outcome = group.write(late);
    group.unanswered = None;
    group.end_write(outcome);
    group.answer_all();
    assert!(group.orders.is_empty() || group.directory_reads > directory_reads);
}
