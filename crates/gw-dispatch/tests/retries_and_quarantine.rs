//! Retry amplification and attribution of crashes.

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

/// Guards against a retry storm: a third of the targets fail at once, every failed attempt asks
/// for a retry, and sends stay within 1 + budget of the requests, plus the floor.
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
            // After 10 s of calm, an attempt fails whenever it meets a lost target.
            while now >= Timestamp::from_millis(10_000) && random.below(3) == 0 {
                if !budget.try_retry(now) {
                    break;
                }
                retries += 1;
            }
        }
        let floor = 3 + seconds;
        let bound = case.share * requests as f64 + floor as f64;
        assert!(retries as f64 <= bound, "{retries} retries of {requests}, bound {bound}");
    }
}

/// Guards against retries that could repeat an effect, crash a further target, or come too late.
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

/// How many targets a fatal request crashes, and how many innocent requests are refused, when each
/// target runs two requests at a time. `counts_in_full` is a broken variant that blames every
/// request in flight as if it had been alone.
fn crash_story(seed: u64, counts_in_full: bool) -> (u64, usize) {
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
        // Few popular requests, so that the same one is often in flight beside the fatal one.
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

/// Guards against a fatal request that crashes more targets than the limit, and against innocent
/// neighbours in quarantine.
#[test]
fn fatal_request_is_refused_and_neighbours_are_not() {
    for seed in 0..50 {
        assert_eq!(crash_story(seed, false), (2, 0), "seed {seed}");
    }
}

/// Guards against a check that passes everything: blaming all requests in flight is caught.
#[test]
fn blaming_all_in_flight_is_caught() {
    assert!((0..50).any(|seed| crash_story(seed, true).1 > 0));
}

/// Guards against one unstable target that puts a request in quarantine by itself.
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

fn host(facts: &[(u8, u8, bool)]) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::new(OPTIONS);
    for &(fingerprint, target, is_shared) in facts {
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

/// Guards against hosts that never agree: the join is commutative, associative and idempotent, and
/// equal contents have equal digests.
#[test]
fn merge_is_a_join() {
    type Facts = Vec<(u8, u8, bool)>;
    fn holds(a: Facts, b: Facts, c: Facts) -> bool {
        let (a, b, c) = (host(&a), host(&b), host(&c));
        let all = merged(&a, &[&b, &c]);
        all == merged(&c, &[&b, &a])
            && all == merged(&b, &[&c, &c, &a, &b])
            && merged(&a, &[&a]) == a.entries(Timestamp::from_millis(1_000))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 9))
        .tests(300)
        .quickcheck(holds as fn(Facts, Facts, Facts) -> bool);
}

/// Guards against a quarantine that grows without bound or holds a request for ever.
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
