//! Retry amplification and attribution of crashes to requests.

use std::time::Duration;

use gw_dispatch::CrashQuarantine;
use gw_dispatch::CrashVerdict;
use gw_dispatch::CrashedRun;
use gw_dispatch::QuarantineEntry;
use gw_dispatch::QuarantineOptions;
use gw_dispatch::RandomSource;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RetryBudget;
use gw_dispatch::RetryDecision;
use gw_dispatch::RetryPolicy;
use gw_dispatch::RetryRefusal;
use gw_dispatch::RetryRequest;
use gw_dispatch::SplitMix;
use gw_types::BootId;
use gw_types::TargetName;
use gw_types::Timestamp;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const CRASH_LIMIT: u8 = 2;
const OPTIONS: QuarantineOptions =
    QuarantineOptions { capacity: 64, hold: Duration::from_secs(600) };

fn run(target: u64, boot: u64) -> CrashedRun {
    let target = TargetName::new(format!("target-{target}")).unwrap();
    CrashedRun { target, boot: BootId(boot) }
}

/// Guards against a retry storm. A third of the targets fail at once and every failed attempt asks
/// for a retry; retries must stay within the share of requests plus the tokens of the bucket.
#[test]
fn amplification_stays_within_budget() {
    struct Case {
        seed: u64,
        share: f64,
        per_second: u64,
    }
    let cases = [
        Case { seed: 1, share: 0.1, per_second: 2_000 },
        Case { seed: 2, share: 0.2, per_second: 300 },
        Case { seed: 3, share: 0.1, per_second: 2 },
        Case { seed: 4, share: 0.0, per_second: 1_000 },
    ];
    for case in cases {
        let mut random = SplitMix::new(case.seed);
        let mut budget = RetryBudget::new(case.share, Timestamp::ZERO);
        let (seconds, mut retries) = (30, 0);
        let requests = seconds * case.per_second;
        for number in 0..requests {
            let now = Timestamp::from_nanos(number * 1_000_000_000 / case.per_second);
            budget.record_request(now);
            // From 10 s on, an attempt fails if it is sent to a lost target.
            while now >= Timestamp::from_millis(10_000) && random.below(3) == 0 {
                if !budget.try_retry(now) {
                    break;
                }
                retries += 1;
            }
        }
        let bucket_tokens = 3 + seconds;
        let bound = case.share * requests as f64 + bucket_tokens as f64;
        assert!(retries as f64 <= bound, "{retries} retries of {requests}, bound {bound}");
    }
}

/// Guards against retries that could repeat a side effect, crash another target or miss the
/// deadline.
#[test]
fn policy_refuses_unsafe_retries() {
    struct Case {
        is_idempotent: bool,
        was_sent: bool,
        attempts: u8,
        crashed: usize,
        now_ms: u64,
        decision: RetryDecision,
    }
    let base = Case {
        is_idempotent: true,
        was_sent: true,
        attempts: 1,
        crashed: 0,
        now_ms: 0,
        decision: RetryDecision::Retry,
    };
    let stop = RetryDecision::Stop;
    let cases = [
        Case { is_idempotent: false, decision: stop(RetryRefusal::MayHaveRun), ..base },
        Case { is_idempotent: false, was_sent: false, ..base },
        Case { crashed: 2, decision: stop(RetryRefusal::CrashLimit), ..base },
        Case { attempts: 3, decision: stop(RetryRefusal::AttemptLimit), ..base },
        Case { now_ms: 96, decision: stop(RetryRefusal::Deadline), ..base },
        base,
    ];
    let policy = RetryPolicy { crash_limit: 2, attempt_limit: 3 };
    let crashed: Vec<_> = (0..2).map(|target| run(target, 0).target).collect();
    for (index, case) in cases.iter().enumerate() {
        let mut budget = RetryBudget::new(0.1, Timestamp::ZERO);
        let request = RetryRequest {
            is_idempotent: case.is_idempotent,
            was_sent: case.was_sent,
            attempts: case.attempts,
            expected: Duration::from_millis(5),
            deadline: Timestamp::from_millis(100),
            crashed: &crashed[..case.crashed],
        };
        let now = Timestamp::from_millis(case.now_ms);
        assert_eq!(policy.decide(now, &request, &mut budget), case.decision, "case {index}");
    }
}

struct RestartCase {
    name: &'static str,
    /// Seconds at which the process starts again.
    restarts: &'static [u64],
}

/// Guards against processes that get the tokens of their retry budget again with each restart, beyond
/// what is allowed in one window.
#[test]
fn restarts_do_not_renew_the_retry_budget() {
    const MIN_RETRIES: f64 = 8.0;
    const WINDOW: Duration = Duration::from_secs(10);
    let cases = [
        RestartCase { name: "no restart", restarts: &[] },
        RestartCase { name: "one restart", restarts: &[24] },
        RestartCase { name: "a restart each second", restarts: &[20, 21, 22, 23, 24, 25, 26] },
    ];
    for case in cases {
        let start = |now| {
            let mut budget = RetryBudget::without_tokens(0.2, now);
            budget.set_min_retries(MIN_RETRIES);
            budget
        };
        let mut budget = start(Timestamp::ZERO);
        let mut retries: Vec<Timestamp> = Vec::new();
        // The first retries come when the bucket is full.
        for millis in (20_000..40_000).step_by(20) {
            let now = Timestamp::from_millis(millis);
            if millis % 1_000 == 0 && case.restarts.contains(&(millis / 1_000)) {
                budget = start(now);
            }
            if budget.try_retry(now) {
                retries.push(now);
            }
        }
        let in_window = |from: &Timestamp| {
            retries.iter().filter(|at| *from <= **at && at.since(*from) < WINDOW).count()
        };
        let most = retries.iter().map(in_window).max().unwrap_or(0);
        assert!(most as f64 <= MIN_RETRIES, "{}: {most} retries in 10 s", case.name);
        assert!(!retries.is_empty(), "{}: no retries", case.name);
    }
}

/// Simulates a request that crashes every target, where each target runs two requests at a time.
/// Returns the number of crashed targets and the number of other requests that are refused.
/// `counts_in_full` injects a fault: each request in flight is treated as if it had been alone.
fn simulate_crashes(seed: u64, counts_in_full: bool) -> (u64, usize) {
    let mut random = SplitMix::new(seed);
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    let fatal = RequestFingerprint(0);
    let mut crashes = 0;
    for round in 0..200 {
        let now = Timestamp::from_millis(round);
        let verdict = quarantine.verdict(now, fatal, CRASH_LIMIT);
        if verdict == CrashVerdict::Refused {
            break;
        }
        // Only two other requests, so that the same one is often in flight with the fatal one.
        let neighbour = RequestFingerprint(1 + random.below(2) as u128);
        let runs_alone = verdict == CrashVerdict::Suspect && !counts_in_full;
        let in_flight = if runs_alone { vec![fatal] } else { vec![fatal, neighbour] };
        if counts_in_full {
            in_flight.iter().for_each(|&one| quarantine.record_crash(now, &run(round, 0), &[one]));
        } else {
            quarantine.record_crash(now, &run(round, 0), &in_flight);
            quarantine.record_completion(neighbour);
        }
        crashes += 1;
    }
    let now = Timestamp::from_millis(200);
    let refused = (1..=2).filter(|&one| {
        quarantine.verdict(now, RequestFingerprint(one), CRASH_LIMIT) == CrashVerdict::Refused
    });
    (crashes, refused.count())
}

/// Guards against a fatal request that crashes more targets than the limit, and against refusing
/// requests that only were in flight at the same time.
#[test]
fn fatal_request_is_refused_and_neighbours_are_not() {
    for seed in 0..50 {
        assert_eq!(simulate_crashes(seed, false), (2, 0), "seed {seed}");
    }
}

/// Guards against a simulation that detects nothing: it must show refused requests if each crash
/// counts in full against all requests in flight.
#[test]
fn blaming_all_in_flight_is_caught() {
    assert!((0..50).any(|seed| simulate_crashes(seed, true).1 > 0));
}

/// Guards against one unstable target that gets a request refused on its own.
#[test]
fn crashes_of_one_target_count_once() {
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    let fingerprint = RequestFingerprint(1);
    for boot in 0..5 {
        quarantine.record_crash(Timestamp::ZERO, &run(0, boot), &[fingerprint]);
    }
    assert_eq!(
        quarantine.verdict(Timestamp::ZERO, fingerprint, CRASH_LIMIT),
        CrashVerdict::Suspect
    );
}

fn quarantine_of(crashes: &[(u8, u8, bool)]) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    for &(fingerprint, target, is_shared) in crashes {
        let fingerprint = RequestFingerprint(u128::from(fingerprint % 8));
        let other = RequestFingerprint(u128::from(target % 8) + 8);
        let in_flight = [fingerprint, other];
        let in_flight = if is_shared { &in_flight[..] } else { &in_flight[..1] };
        let at = Timestamp::from_millis(u64::from(target));
        quarantine.record_crash(at, &run(u64::from(target % 4), 0), in_flight);
        if target.is_multiple_of(5) {
            quarantine.record_completion(fingerprint);
        }
    }
    quarantine
}

fn merged(first: &CrashQuarantine, others: &[&CrashQuarantine]) -> Vec<QuarantineEntry> {
    let now = Timestamp::from_millis(1_000);
    let mut joined = first.clone();
    for other in others {
        other.entries(now).iter().for_each(|entry| joined.merge(now, entry));
    }
    joined.entries(now)
}

/// Guards against hosts whose quarantines never converge: merging must be commutative, associative
/// and idempotent.
#[test]
fn merge_is_a_join() {
    type Crashes = Vec<(u8, u8, bool)>;
    fn holds(a: Crashes, b: Crashes, c: Crashes) -> bool {
        let (a, b, c) = (quarantine_of(&a), quarantine_of(&b), quarantine_of(&c));
        let all = merged(&a, &[&b, &c]);
        all == merged(&c, &[&b, &a])
            && all == merged(&b, &[&c, &c, &a, &b])
            && merged(&a, &[&a]) == a.entries(Timestamp::from_millis(1_000))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 9))
        .tests(300)
        .quickcheck(holds as fn(Crashes, Crashes, Crashes) -> bool);
}

/// Guards against a quarantine that grows without bound or never expires an entry.
#[test]
fn quarantine_is_bounded_and_expires() {
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    for number in 0..1_000 {
        let now = Timestamp::from_millis(number);
        quarantine.record_crash(now, &run(number, 0), &[RequestFingerprint(u128::from(number))]);
        assert!(quarantine.len() <= OPTIONS.capacity);
    }
    let end = Timestamp::from_millis(999) + OPTIONS.hold;
    assert_eq!(quarantine.verdict(end, RequestFingerprint(999), CRASH_LIMIT), CrashVerdict::Clear);
    quarantine.expire(end);
    assert!(quarantine.is_empty());
}

struct FleetCase {
    hosts: u64,
    /// Broken connections that each host reports, each with requests of its own.
    broken_connections: u64,
}

/// Guards against a leader that sends every host the evidence of every broken connection: bytes that
/// grow with the square of the fleet. A request that crashes targets is still refused everywhere.
#[test]
fn hosts_are_sent_only_requests_that_several_targets_crashed_with() {
    let cases = [
        FleetCase { hosts: 8, broken_connections: 4 },
        FleetCase { hosts: 285, broken_connections: 2 },
        FleetCase { hosts: 630, broken_connections: 1 },
    ];
    let now = Timestamp::from_millis(1_000);
    let fatal = RequestFingerprint(1);
    for FleetCase { hosts, broken_connections } in cases {
        let options = QuarantineOptions { capacity: 10_000, ..OPTIONS };
        let mut leader = CrashQuarantine::new(options);
        for host in 0..hosts {
            let mut quarantine = CrashQuarantine::new(options);
            for broken in 0..broken_connections {
                let number = host * broken_connections + broken;
                let own = [2, 3].map(|turn| RequestFingerprint(u128::from(10 * number + turn)));
                quarantine.record_crash(now, &run(100 + number % 50, 0), &own);
            }
            // The fatal request reaches one target through each of three hosts.
            if host < u64::from(CRASH_LIMIT) {
                quarantine.record_crash(now, &run(host, 0), &[fatal]);
            }
            let first = quarantine.changed_entries(now, 0);
            first.iter().for_each(|entry| leader.merge(now, entry));
            // Nothing is reported twice.
            assert!(quarantine.changed_entries(now, quarantine.revision()).is_empty());
        }
        let sent = leader.repeated_entries(now);
        let fingerprints: Vec<_> = sent.iter().map(|entry| entry.fingerprint).collect();
        assert_eq!(fingerprints, [fatal], "{hosts} hosts");
        let mut other = CrashQuarantine::new(options);
        sent.iter().for_each(|entry| other.merge(now, entry));
        assert_eq!(other.verdict(now, fatal, CRASH_LIMIT), CrashVerdict::Refused, "{hosts} hosts");
        // What clears a request is sent as well.
        let revision = other.revision();
        other.record_completion(fatal);
        assert_eq!(other.changed_entries(now, revision).len(), 1, "{hosts} hosts");
        other.changed_entries(now, revision).iter().for_each(|entry| leader.merge(now, entry));
        assert!(leader.repeated_entries(now)[0].evidence.iter().all(|one| one.is_cleared));
    }
}

/// Guards against a request that crashes targets and is forgotten because many other requests have
/// shared a broken connection since.
#[test]
fn repeated_crashes_outlast_single_ones() {
    let fatal = RequestFingerprint(0);
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    for target in 0..u64::from(CRASH_LIMIT) {
        quarantine.record_crash(Timestamp::from_millis(target), &run(target, 0), &[fatal]);
    }
    for number in 1..10 * OPTIONS.capacity as u64 {
        let now = Timestamp::from_millis(10 + number);
        let other = RequestFingerprint(u128::from(number));
        quarantine.record_crash(now, &run(number % 7, 0), &[other]);
        assert!(quarantine.len() <= OPTIONS.capacity);
        assert_eq!(quarantine.verdict(now, fatal, CRASH_LIMIT), CrashVerdict::Refused, "{number}");
    }
}

/// Guards against a request that crashes targets and is cleared by the answers to other callers of the
/// same path, so that it is never refused.
#[test]
fn answers_to_other_callers_do_not_clear_a_request() {
    struct Case {
        name: &'static str,
        caller: Option<&'static [u8]>,
        is_same: bool,
    }
    let of = |caller| {
        let body = [&b"sl"[..], b"ip"];
        RequestFingerprint::of_segments("GET", "/slips/a", None, caller, 4, body.into_iter())
    };
    let crashing = of(Some(b"Bearer a"));
    let cases = [
        Case { name: "the same caller", caller: Some(b"Bearer a"), is_same: true },
        Case { name: "another caller", caller: Some(b"Bearer b"), is_same: false },
        Case { name: "a caller without a name", caller: None, is_same: false },
    ];
    for case in cases {
        assert_eq!(of(case.caller) == crashing, case.is_same, "{}", case.name);
    }
}
