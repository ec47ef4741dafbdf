//! Entry and control host processes, from checked settings to the end of a shutdown.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gw_types::BootId;

use crate::BootClock;
use crate::ReadyState;
use crate::ShutdownHandle;
use crate::ShutdownPhase;
use crate::TrafficState;
use crate::control::ControlClient;
use crate::control::ControlOptions;
use crate::control::ControlStartError;
use crate::control::start_control;
use crate::entry;
use crate::operators::ControlApi;
use crate::records::QuarantineReplicator;
use crate::records::RecordReplicator;
use crate::records::RecordReplicatorOptions;
use crate::settings::HostSettings;

/// Longest time for which a host that shuts down hands its targets over. Callers are still served
/// during that time.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(4);

/// Error when a host process is started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The control thread did not start.
    #[error(transparent)]
    Control(#[from] ControlStartError),
    /// The traffic side did not start.
    #[error(transparent)]
    Entry(#[from] entry::Error),
}

/// Runs an entry host until a shutdown has ended.
///
/// [`ShutdownPhase::Graceful`] hands the targets over and then finishes the requests in flight.
/// [`ShutdownPhase::Immediate`] ends everything at once.
pub async fn run_entry(settings: HostSettings, shutdown: ShutdownHandle) -> Result<(), Error> {
    let boot = new_boot_id();
    let listeners = entry::Listeners::bind(&settings)?;
    let clock = Arc::new(BootClock);
    let state = TrafficState::new(clock.clone());
    let ready = Arc::new(ReadyState::default());
    let records = RecordReplicator::new(RecordReplicatorOptions {
        host: settings.host.id,
        boot,
        hosts: settings.hosts.clone(),
        state: state.clone(),
    });
    let quarantine = QuarantineReplicator::new(settings.host.id, &settings.hosts, state.clone());
    let options = ControlOptions {
        boot,
        clock,
        state: state.clone(),
        ready: ready.clone(),
        handlers: vec![records.clone(), quarantine.clone()],
    };
    let client = start_control(&settings, options)?;
    tokio::spawn(RecordReplicator::run(Arc::downgrade(&records)));
    let options = entry::Options {
        boot,
        state,
        control: Arc::new(client.clone()),
        records,
        quarantine,
        api: Arc::new(ControlApi::new(client.clone())),
        ready,
    };
    let traffic = ShutdownHandle::default();
    tokio::spawn(shut_down(client.clone(), shutdown, traffic.clone()));
    entry::run(settings, listeners, options, traffic).await?;
    client.stop().await;
    Ok(())
}

async fn shut_down(client: ControlClient, requested: ShutdownHandle, traffic: ShutdownHandle) {
    requested.reached(ShutdownPhase::Graceful).await;
    tokio::select! {
        () = client.hand_over(HANDOVER_TIMEOUT) => traffic.advance(ShutdownPhase::Graceful),
        () = requested.reached(ShutdownPhase::Immediate) => {}
    }
    requested.reached(ShutdownPhase::Immediate).await;
    traffic.advance(ShutdownPhase::Immediate);
}

/// Runs a control host until a shutdown has ended.
pub async fn run_control(settings: HostSettings, shutdown: ShutdownHandle) -> Result<(), Error> {
    let boot = new_boot_id();
    let clock = Arc::new(BootClock);
    let state = TrafficState::new(clock.clone());
    let ready = Arc::new(ReadyState::default());
    let (state_of, ready_of, handlers) = (state.clone(), ready.clone(), Vec::new());
    let options = ControlOptions { boot, clock, state: state_of, ready: ready_of, handlers };
    let client = start_control(&settings, options)?;
    let api = Arc::new(ControlApi::new(client.clone()));
    let serving = entry::run_operators(&settings, state, api, ready, shutdown.clone())?;
    shutdown.reached(ShutdownPhase::Graceful).await;
    client.hand_over(HANDOVER_TIMEOUT).await;
    client.stop().await;
    serving.await.ok();
    Ok(())
}

/// Returns an ID that is larger than that of every earlier boot, unless the wall clock was set back
/// by more than the time between the two starts.
fn new_boot_id() -> BootId {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    BootId(wall.as_nanos() as u64)
}
