use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    #[default]
    Running,
    /// No new connections are accepted; requests in flight are finished.
    Graceful,
    /// Connections and requests in flight are aborted.
    Immediate,
}

/// Starts a shutdown and notifies the tasks that wait for it. The phase never decreases.
#[derive(Clone, Debug, Default)]
pub struct ShutdownHandle {
    phase: watch::Sender<ShutdownPhase>,
}

impl ShutdownHandle {
    /// Sets the phase, unless the shutdown is already in that phase or a later one.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown is in `phase` or a later one.
    pub async fn reached(&self, phase: ShutdownPhase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        phases.wait_for(|current| *current >= phase).await.ok();
    }
}

/// Starts a graceful shutdown on the first SIGTERM or SIGINT and an immediate one on the second.
///
/// Must be called inside a tokio runtime.
pub fn watch_signals(shutdown: ShutdownHandle) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        for phase in [ShutdownPhase::Graceful, ShutdownPhase::Immediate] {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!("event=signal phase={phase:?}");
            shutdown.advance(phase);
        }
    });
    Ok(())
}
