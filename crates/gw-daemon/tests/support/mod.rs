//! Hosts, stand-in targets and callers that run in the test process.
#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

mod fake_control;
mod fake_network;
mod raw_caller;
mod stand_in_target;
mod test_host;

pub(crate) use fake_control::FakeControl;
pub(crate) use fake_network::FakeNetwork;
pub(crate) use raw_caller::Answer;
pub(crate) use raw_caller::RawCaller;
pub(crate) use stand_in_target::Reply;
pub(crate) use stand_in_target::SeenRequest;
pub(crate) use stand_in_target::StandInTarget;
pub(crate) use test_host::Layout;
pub(crate) use test_host::TestHost;
pub(crate) use test_host::frame_keys;
pub(crate) use test_host::host_entry;
pub(crate) use test_host::new_record_replicator;
pub(crate) use test_host::start_hosts;
pub(crate) use test_host::start_hosts_with_records;

use std::time::Duration;

/// Longest wait for a condition. Far above the duration of any test, so that only a hang reaches
/// it.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Waits until `is_met` returns `true`. Panics after [`WAIT_LIMIT`].
pub(crate) async fn eventually(what: &str, mut is_met: impl FnMut() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_LIMIT, waiting).await.is_ok(), "not met: {what}");
}
