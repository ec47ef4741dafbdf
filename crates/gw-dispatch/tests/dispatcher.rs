//! Composition of one host's dispatch state.

use std::time::Duration;

use gw_dispatch::CrashedRun;
use gw_dispatch::Dispatcher;
use gw_dispatch::DispatcherOptions;
use gw_dispatch::NotRunReason;
use gw_dispatch::RequestAttributes;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RouteShape;
use gw_profile::Profile;
use gw_profile::ShedClass;
use gw_types::BootId;
use gw_types::ProfileName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

const OPTIONS: DispatcherOptions = DispatcherOptions {
    quarantine_capacity: 64,
    quarantine_hold: Duration::from_secs(600),
    shape_limit: 64,
    record_bytes: 1 << 20,
    attempt_limit: 4,
    first_record_version: 0,
};

fn dispatcher(service: &ServiceName, all_non_idempotent: bool) -> Dispatcher {
    let mut profile = Profile::with_defaults(ProfileName::new("test").unwrap());
    profile.refuse.all_non_idempotent = all_non_idempotent;
    let mut dispatcher = Dispatcher::new(OPTIONS);
    dispatcher.set_service(Timestamp::ZERO, service, &profile);
    dispatcher
}

/// Guards against requests that are retried or shed as idempotent although they are not.
#[test]
fn method_and_profile_decide_the_class() {
    struct Case {
        method: &'static str,
        all_non_idempotent: bool,
        is_retry: bool,
        class: ShedClass,
    }
    let case = |method, all_non_idempotent, is_retry, class| Case {
        method,
        all_non_idempotent,
        is_retry,
        class,
    };
    let cases = [
        case("GET", false, false, ShedClass::ShortIdempotent),
        case("GET", false, true, ShedClass::Retry),
        case("PUT", false, false, ShedClass::ShortIdempotent),
        case("POST", false, false, ShedClass::NonIdempotent),
        case("PATCH", false, true, ShedClass::NonIdempotent),
        case("GET", true, false, ShedClass::NonIdempotent),
    ];
    let service = ServiceName::new("betalning").unwrap();
    for case in cases {
        let facts = RequestAttributes {
            service: &service,
            method: case.method,
            shape: RouteShape(1),
            fingerprint: RequestFingerprint(1),
            is_retry: case.is_retry,
        };
        let dispatcher = dispatcher(&service, case.all_non_idempotent);
        let class = dispatcher.classify(Timestamp::ZERO, &facts).unwrap();
        assert_eq!(class.class, case.class, "{}", case.method);
        assert_eq!(class.is_idempotent, case.class != ShedClass::NonIdempotent);
    }
}

/// Guards against a request that crashed its targets and is run again, and against one that is
/// refused or run alone after it has completed.
#[test]
fn crashes_decide_whether_a_request_runs() {
    let service = ServiceName::new("attestor").unwrap();
    let mut dispatcher = dispatcher(&service, false);
    let facts = |fingerprint| RequestAttributes {
        service: &service,
        method: "POST",
        shape: RouteShape(1),
        fingerprint: RequestFingerprint(fingerprint),
        is_retry: false,
    };
    let run =
        |target: &str| CrashedRun { target: TargetName::new(target).unwrap(), boot: BootId(1) };
    let now = Timestamp::ZERO;
    let both = [RequestFingerprint(1), RequestFingerprint(2)];
    dispatcher.quarantine().record_crash(now, &run("a"), &both);
    assert!(dispatcher.classify(now, &facts(1)).unwrap().runs_alone);
    dispatcher.quarantine().record_crash(now, &run("b"), &both[..1]);
    assert_eq!(dispatcher.classify(now, &facts(1)), Err(NotRunReason::Quarantined));
    dispatcher.record_answer(&facts(2), Duration::from_millis(3));
    assert!(!dispatcher.classify(now, &facts(2)).unwrap().runs_alone);
}
