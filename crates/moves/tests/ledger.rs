//! The ledger of a move: its bounds hold whatever is posted, and each posting is applied once.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::Revision;
use monsoondeal_moves::ledger::BAD_LIMIT;
use monsoondeal_moves::{
    LatencyHistogram, Ledger, MoveLimits, OrderId, OrderKey, Posting, PostingHistory, PostingReply,
    RecordedPosting, RouteSamples, Ruling, Totals,
};
use proptest::prelude::*;
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(12);

fn limits() -> MoveLimits {
    MoveLimits {
        duration: DURATION,
        share: 0.1,
        slack: 50.0,
        nodes: 9,
    }
}

fn ledger() -> Ledger {
    Ledger::new(OrderKey {
        id: OrderId {
            created: 1,
            revision: Revision::new(0, 1),
        },
        version: "v2".to_owned(),
    })
}

/// Returns the ledger as another process reads it.
fn reread(ledger: &Ledger) -> Ledger {
    let text = serde_json::to_string(ledger).expect("JSON");
    serde_json::from_str(&text).expect("a ledger")
}

fn times(count: u64, response: Duration) -> LatencyHistogram {
    let mut times = LatencyHistogram::default();
    (0..count).for_each(|_| times.record(response));
    times
}

/// Returns samples of `old` and `new` calls on one route. Of the new ones `failed` failed, and they took
/// `slower` times as long as the old ones.
fn samples(old: u64, new: u64, failed: u64, slower: u32) -> BTreeMap<String, RouteSamples> {
    let usual = Duration::from_millis(8);
    let mut samples = RouteSamples::default();
    samples.old.times = times(old, usual);
    samples.new.times = times(new, usual * slower);
    samples.new.failed = failed;
    BTreeMap::from([("r".to_owned(), samples)])
}

/// A posting is applied once, however often it is sent, and always gets the same reply.
#[test]
fn ledger_applies_posting_once() {
    let mut ledger = ledger();
    let posting = Posting {
        process: 7,
        sequence: 1,
        calls: 100,
        wanted_permits: 3,
        samples: samples(90, 0, 0, 1),
        ..Posting::default()
    };
    let first = ledger.post(&posting, &limits());
    assert_eq!((first.permits, first.needs_write), (3, true));
    let mut ledger = reread(&ledger);
    let again = ledger.post(&posting, &limits());
    assert_eq!((again.permits, again.needs_write), (3, false));
    assert!(again.is_recorded);
    assert_eq!(again.totals, first.totals);
}

/// A posting with nothing that other nodes need is not recorded: its process includes the content in the next one.
#[test]
fn ledger_does_not_record_unimportant_posting() {
    let mut ledger = ledger();
    let posting = Posting {
        process: 7,
        sequence: 1,
        calls: 10,
        ..Posting::default()
    };
    let reply = ledger.post(&posting, &limits());
    assert!(!reply.is_recorded && !reply.needs_write);
    let later = Posting {
        elapsed: Duration::from_secs(1),
        ..posting
    };
    // Once the checkpoint interval has passed, a posting is recorded for its elapsed time alone.
    assert!(ledger.post(&later, &limits()).is_recorded);
}

/// After a final ruling, a posting neither changes it nor gets permits.
#[rstest]
#[case::failing(samples(100, 12, 10, 1), Duration::from_secs(1), Ruling::Failing)]
#[case::slow(samples(100, 20, 0, 4), Duration::from_secs(1), Ruling::Slow)]
#[case::too_late(samples(100, 20, 0, 1), DURATION, Ruling::TooLate)]
fn ledger_ruling_is_final(
    #[case] samples: BTreeMap<String, RouteSamples>,
    #[case] elapsed: Duration,
    #[case] ruling: Ruling,
) {
    let mut ledger = ledger();
    let posting = Posting {
        process: 1,
        sequence: 1,
        elapsed,
        calls: 120,
        settled: 20,
        samples,
        ..Posting::default()
    };
    assert_eq!(ledger.post(&posting, &limits()).ruling, ruling);
    let mut ledger = reread(&ledger);
    let later = Posting {
        process: 2,
        sequence: 1,
        elapsed: DURATION,
        wanted_permits: 5,
        wants_completion: true,
        ..Posting::default()
    };
    let reply = ledger.post(&later, &limits());
    assert_eq!((reply.ruling, reply.permits), (ruling, 0));
}

/// A move is not completed early, without enough calls to the new version, or before that version has served the load.
#[rstest]
#[case::untried(0, 0, Duration::from_millis(11_600), Ruling::Running)]
#[case::no_load(40, 0, Duration::from_millis(11_600), Ruling::Running)]
#[case::early(60, 12, Duration::from_millis(9_900), Ruling::Running)]
#[case::in_time(60, 12, Duration::from_millis(11_600), Ruling::Completed)]
fn ledger_completes_only_proven_version(
    #[case] trial_calls: u64,
    #[case] interval_calls: u64,
    #[case] elapsed: Duration,
    #[case] ruling: Ruling,
) {
    let mut ledger = ledger();
    let first_interval = limits().load_phase_start().as_millis() as u64 / 125;
    let posting = Posting {
        process: 1,
        sequence: 1,
        elapsed,
        calls: 1_000,
        rate: 10.0,
        settled: trial_calls,
        samples: samples(900, trial_calls, 0, 1),
        interval_calls: (first_interval..first_interval + 3)
            .map(|interval| (interval, interval_calls))
            .collect(),
        wants_completion: true,
        ..Posting::default()
    };
    assert_eq!(ledger.post(&posting, &limits()).ruling, ruling);
}

/// An action of a process. The first field is the index of the process.
#[derive(Clone, Debug)]
enum Action {
    /// The process makes a number of calls to the service, and asks for a number of permits.
    Call(u64, u64, u64),
    /// The process uses all its permits. None, half or all of the calls fail if the second field is 0, 1 or 2.
    Use(u64, u64),
    /// The process is lost with its permits, and a new one starts.
    Restart(u64),
    /// The process sends its latest recorded posting again.
    Resend(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..9_u64, 0..40_u64, 0..20_u64)
            .prop_map(|(index, calls, wanted)| Action::Call(index, calls, wanted)),
        (0..9_u64, 0..3_u64).prop_map(|(index, failing)| Action::Use(index, failing)),
        (0..9_u64).prop_map(Action::Restart),
        (0..9_u64).prop_map(Action::Resend),
    ]
}

#[derive(Default)]
struct Process {
    name: u64,
    sequence: u64,
    permits: u64,
    latest: Option<Posting>,
    history: PostingHistory,
    totals: Totals,
}

/// Calls that leafs have received, and bad answers.
#[derive(Default)]
struct Received {
    calls: u64,
    to_new: u64,
    bad: u64,
}

impl Process {
    /// Makes calls to the service, and asks for permits.
    fn call(
        &mut self,
        (calls, wanted_permits): (u64, u64),
        elapsed: Duration,
        ledger: &mut Ledger,
        received: &mut Received,
    ) {
        received.calls += calls;
        let posting = Posting {
            elapsed,
            calls,
            wanted_permits,
            samples: samples(calls, 0, 0, 1),
            ..Posting::default()
        };
        self.permits += self.post(ledger, posting).permits;
    }

    /// Uses all permits. None, half or all of the calls fail if `failing` is 0, 1 or 2.
    fn use_permits(
        &mut self,
        failing: u64,
        elapsed: Duration,
        ledger: &mut Ledger,
        received: &mut Received,
    ) {
        let used = std::mem::take(&mut self.permits);
        let failed = used * failing / 2;
        received.calls += used;
        received.to_new += used;
        received.bad += failed;
        let posting = Posting {
            elapsed,
            calls: used,
            settled: used,
            samples: samples(0, used, failed, 1),
            ..Posting::default()
        };
        self.post(ledger, posting);
    }

    fn post(&mut self, ledger: &mut Ledger, posting: Posting) -> PostingReply {
        self.sequence += 1;
        let posting = Posting {
            process: self.name,
            sequence: self.sequence,
            ..posting
        };
        ledger.restore(self.name, &self.history);
        let reply = ledger.post(&posting, &limits());
        self.totals = reply.totals.clone();
        if reply.is_recorded {
            self.history.totals_before = None;
            let recorded = RecordedPosting {
                posting: posting.clone(),
                permits: reply.permits,
            };
            self.history.postings.push(Rc::new(recorded));
            self.latest = Some(posting);
        } else {
            self.sequence -= 1;
        }
        reply
    }
}

proptest! {
    /// Calls to the new version and its bad answers stay within their bounds, however processes call, ask for
    /// permits, are lost, restart and send postings again.
    #[test]
    fn ledger_bounds_calls_and_bad_answers(actions in prop::collection::vec((action(), 0..400_u64), 0..200)) {
        let mut ledger = ledger();
        let mut elapsed = Duration::ZERO;
        let mut processes: Vec<Process> = (0..9)
            .map(|name| Process { name, ..Process::default() })
            .collect();
        let mut received = Received::default();
        let mut next_name = 9;
        for (action, millis) in actions {
            elapsed += Duration::from_millis(millis);
            ledger = reread(&ledger);
            match action {
                Action::Call(index, calls, wanted) => {
                    let process = &mut processes[index as usize];
                    process.call((calls, wanted), elapsed, &mut ledger, &mut received);
                }
                Action::Use(index, failing) => {
                    let process = &mut processes[index as usize];
                    process.use_permits(failing, elapsed, &mut ledger, &mut received);
                }
                Action::Restart(index) => {
                    let process = &mut processes[index as usize];
                    // Calls may have been made with all its permits, and all of them may have failed.
                    received.calls += process.permits;
                    received.to_new += process.permits;
                    received.bad += process.permits;
                    *process = Process { name: next_name, ..Process::default() };
                    next_name += 1;
                }
                Action::Resend(index) => {
                    if let Some(posting) = &processes[index as usize].latest {
                        let before = serde_json::to_string(&ledger).expect("JSON");
                        prop_assert!(ledger.post(posting, &limits()).is_recorded);
                        let after = serde_json::to_string(&ledger).expect("JSON");
                        prop_assert_eq!(before, after);
                    }
                }
            }
            let allowed = 0.1 * received.calls as f64 + 50.0;
            prop_assert!(received.to_new as f64 <= 0.55 * allowed, "{} of {}", received.to_new, received.calls);
            prop_assert!(received.bad <= BAD_LIMIT, "{} bad", received.bad);
        }
    }
}

/// Returns a posting of a process that has called the service and asks for permits.
fn asking(process: u64, sequence: u64, calls: u64) -> Posting {
    Posting {
        process,
        sequence,
        elapsed: Duration::from_millis(500 * sequence),
        calls,
        wanted_permits: 3,
        samples: samples(calls, 0, 0, 1),
        ..Posting::default()
    }
}

/// Posts in turn for two processes, and returns the ledger with what both know of it.
fn posted_by_two() -> (Ledger, [Process; 2]) {
    let mut ledger = ledger();
    let mut processes = [1, 2].map(|name| Process {
        name,
        ..Process::default()
    });
    for _ in 0..2 {
        for process in &mut processes {
            let posting = asking(process.name, process.sequence + 1, 20);
            assert!(process.post(&mut ledger, posting).is_recorded);
        }
    }
    (ledger, processes)
}

/// Guards against permits and calls that are forgotten when the store is restored from an older copy (EXPOSURE): the
/// processes rebuild the ledger together, in any order, and once.
#[rstest]
#[case::in_turn([0, 1])]
#[case::other_way_round([1, 0])]
fn ledger_is_restored_by_its_processes(#[case] order: [usize; 2]) {
    let (lost, processes) = posted_by_two();
    let mut restored = ledger();
    for at in order {
        let process = &processes[at];
        assert_eq!(restored.restore(process.name, &process.history), 2);
        assert_eq!(restored.restore(process.name, &process.history), 0);
    }
    let read = |ledger: &mut Ledger| ledger.post(&Posting::default(), &limits()).totals;
    let mut lost = lost;
    assert_eq!(read(&mut restored), read(&mut lost));
}

/// Guards against permits that are granted twice before the others have restored their part: what one process knows of
/// all limits what it gets.
#[rstest]
#[case::known_to_be_restored(true)]
#[case::not_restored(false)]
fn ledger_counts_permits_that_were_granted_before_the_return(#[case] is_restored: bool) {
    let (_, mut processes) = posted_by_two();
    let known = processes[1].totals.net_permits;
    assert_eq!(known, 11, "all that the canary phase allows for");
    processes[1].history.totals_before = is_restored.then(|| processes[1].totals.clone());
    let mut restored = ledger();
    let posting = asking(2, 3, 0);
    let reply = processes[1].post(&mut restored, posting);
    assert_eq!(reply.permits, if is_restored { 0 } else { 3 });
}

/// A ledger that has ruled is not changed any more.
#[test]
fn ledger_that_has_ruled_is_not_restored() {
    let (_, processes) = posted_by_two();
    let mut ruled = ledger();
    let late = Posting {
        process: 3,
        sequence: 1,
        elapsed: DURATION,
        ..Posting::default()
    };
    assert_eq!(ruled.post(&late, &limits()).ruling, Ruling::TooLate);
    assert_eq!(ruled.restore(1, &processes[0].history), 0);
}

proptest! {
    /// A bad version stays within its exposure, however old the copies are from which the store is restored, and however
    /// few postings lie between two returns, and gets no fiftieth bad answer since the latest return. All processes live on.
    #[test]
    fn restored_ledger_bounds_calls_and_bad_answers(
        actions in prop::collection::vec((action(), 0..400_u64, 0..12_usize), 0..200),
    ) {
        let mut ledger = ledger();
        let mut copies = vec![ledger.clone()];
        let mut elapsed = Duration::ZERO;
        let mut processes: Vec<Process> = (0..9)
            .map(|name| Process { name, ..Process::default() })
            .collect();
        let mut received = Received::default();
        for (action, millis, age) in actions {
            elapsed += Duration::from_millis(millis);
            match action {
                Action::Call(index, calls, wanted) => {
                    let process = &mut processes[index as usize];
                    process.call((calls, wanted), elapsed, &mut ledger, &mut received);
                }
                Action::Use(index, failing) => {
                    let process = &mut processes[index as usize];
                    process.use_permits(failing, elapsed, &mut ledger, &mut received);
                }
                Action::Restart(_) => {
                    // The store is restored from a copy that lacks the last `age` postings.
                    copies.truncate(copies.len().saturating_sub(age).max(1));
                    ledger = reread(copies.last().expect("a copy"));
                    for process in &mut processes {
                        let totals = &process.totals;
                        process.history.totals_before.get_or_insert_with(|| totals.clone());
                    }
                    received.bad = 0;
                }
                Action::Resend(_) => {}
            }
            copies.push(reread(&ledger));
            let allowed = 0.1 * received.calls as f64 + 50.0;
            prop_assert!(received.to_new as f64 <= allowed, "{} of {}", received.to_new, received.calls);
            prop_assert!(received.bad <= 50, "{} bad", received.bad);
        }
    }
}
