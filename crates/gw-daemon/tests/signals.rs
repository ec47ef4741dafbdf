//! Shutdown by signals. In a separate test binary, since a signal affects the whole process.

mod support;

use gw_daemon::ShutdownHandle;
use gw_daemon::ShutdownPhase;
use gw_daemon::watch_signals;
use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;
use support::WAIT_LIMIT;

/// Guards against a first SIGTERM that ends the process immediately, and a second one that has no
/// effect.
#[tokio::test]
async fn first_signal_is_graceful_and_second_immediate() {
    let shutdown = ShutdownHandle::default();
    watch_signals(shutdown.clone()).unwrap();
    for phase in [ShutdownPhase::Graceful, ShutdownPhase::Immediate] {
        kill_process(getpid(), Signal::TERM).unwrap();
        let reached = tokio::time::timeout(WAIT_LIMIT, shutdown.reached(phase)).await;
        assert!(reached.is_ok() && shutdown.phase() == phase);
    }
}
