use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use gw_balance::ConnectionGroup;
use http::Response;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::GatewaySettings;
use crate::OptionsFile;
use crate::control::run_control;
use crate::entry::run_entry;
use crate::http_server::ConnectionCount;
use crate::http_server::serve;
use crate::memory::MemoryGate;
use crate::ports::ProtocolAdapter;
use crate::ports::SettingsSource;
use crate::ports::TargetDialer;

/// Error that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening socket could not be opened.
    #[error("listener {name}: cannot listen on {address}: {source}")]
    Listen {
        /// Purpose of the listener.
        name: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A task without which the host cannot serve has ended, by a panic.
    #[error("task {0} has ended")]
    TaskEnded(&'static str),
    /// The async runtime or a signal handler could not be started.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The settings contain neither a listener for callers nor one for control calls.
    #[error("the settings name no listener")]
    NoListener,
}

/// Runs an entry host or a control host, depending on which listener the settings contain, until it
/// is told to stop and has shut down. Connections to targets are opened by `dialer`. Entry hosts
/// load `options` at the start and each time their file changes.
pub fn run(
    settings: GatewaySettings,
    adapter: Rc<dyn ProtocolAdapter>,
    dialer: Rc<dyn TargetDialer>,
    source: Rc<dyn SettingsSource>,
    options: OptionsFile,
) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    log::info!(
        "event=started host={} zone={} address={} first_start={}",
        settings.host,
        settings.zone,
        settings.address,
        settings.is_first_start,
    );
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async move {
        match (settings.caller_address, settings.control_address) {
            (Some(callers), _) => {
                run_entry(settings, adapter, dialer, (source, options), callers).await
            }
            (None, Some(calls)) => run_control(settings, adapter, dialer, source, calls).await,
            (None, None) => Err(RunError::NoListener),
        }
    })
}

/// Opens a TCP listener. `name` identifies it in the error.
pub(crate) async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| RunError::Listen { name, address, source })
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn shutdown_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    log::info!("event=signal signal={name}");
    Ok(())
}

/// Serves the metrics in the Prometheus text format until the process ends.
pub(crate) async fn serve_metrics(
    address: SocketAddr,
    memory: Rc<MemoryGate>,
    text: impl Fn() -> String + 'static,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=metrics_not_served address={address} cause=\"{error}\"");
            return;
        }
    };
    let (shared, group) = (memory.clone(), ConnectionGroup::Checks);
    let handler = Rc::new(move |_request, _memory| {
        shared.report();
        let body = Bytes::from(text());
        async move { Response::new(Full::new(body)) }
    });
    let (_open, closing) = watch::channel(false);
    serve(listener, ConnectionCount::default(), (memory, group), closing, handler).await;
}
