use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_balance::ConnectionGroup;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::GatewaySettings;
use crate::OptionsFile;
use crate::RunError;
use crate::callers::serve_callers;
use crate::entry::admission::run_admission;
use crate::entry::control_links::ControlLinks;
use crate::entry::entry_host::EntryHost;
use crate::entry::path_probe::watch_path;
use crate::entry::read_request::RequestOrigin;
use crate::entry::request_handler::RequestHandler;
use crate::http_server::ConnectionCount;
use crate::http_server::serve;
use crate::options_file::watch_options;
use crate::ports::ProtocolAdapter;
use crate::ports::SettingsSource;
use crate::ports::TargetDialer;
use crate::process::bind;
use crate::process::serve_metrics;
use crate::process::shutdown_signal;
use crate::settings_watch::watch_settings;

/// Delay between the stop signal and closing the listener. The load balancer notices within two of
/// its readiness checks that this host is not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Margin before the end of the grace time, within which the process exits by itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the number of open connections is checked during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry host until it is told to stop and has finished the requests that it had read.
pub(crate) async fn run_entry(
    settings: GatewaySettings,
    adapter: Rc<dyn ProtocolAdapter>,
    dialer: Rc<dyn TargetDialer>,
    (source, options): (Rc<dyn SettingsSource>, OptionsFile),
    callers: SocketAddr,
) -> Result<(), RunError> {
    let callers = bind("callers", callers).await?;
    let relays = SocketAddr::new(settings.address, settings.peer_port);
    let relays = bind("relays", relays).await?;
    let readiness = match settings.readiness_address {
        Some(address) => Some(bind("readiness", address).await?),
        None => None,
    };
    let metrics = SocketAddr::new(settings.address, settings.peer_port + 1);
    let host = EntryHost::new(settings, adapter, dialer.clone());
    let shared = host.clone();
    spawn_local(serve_metrics(metrics, host.memory.clone(), move || shared.metrics.text()));
    spawn_local(host.memory.clone().run());
    let links = spawn_local(ControlLinks::run(host.clone(), dialer));
    let admission = spawn_local(run_admission(host.clone()));
    let path = spawn_local(watch_path(host.clone()));
    if let Some(listener) = readiness {
        spawn_local(serve_readiness(listener, host.clone()));
    }
    let shared = host.clone();
    spawn_local(watch_settings(source, move |settings| {
        *shared.settings.borrow_mut() = settings;
    }));
    let shared = host.clone();
    spawn_local(watch_options(options, move |options| shared.set_options(options)));
    let count = ConnectionCount::default();
    for (listener, origin) in [(callers, RequestOrigin::Caller), (relays, RequestOrigin::EntryHost)]
    {
        let handler = Rc::new(RequestHandler::new(host.clone(), origin));
        spawn_local(serve_callers(listener, count.clone(), host.closing.subscribe(), handler));
    }
    tokio::select! {
        received = shutdown_signal() => received?,
        // The host would go on with the state that it has, and with requests that nobody sends.
        _ = links => return Err(RunError::TaskEnded("control_links")),
        _ = admission => return Err(RunError::TaskEnded("admission")),
        _ = path => return Err(RunError::TaskEnded("path")),
    }
    host.is_stopping.set(true);
    let grace_time = host.settings.borrow().grace_time;
    let end = tokio::time::Instant::now() + grace_time.saturating_sub(SHUTDOWN_MARGIN);
    host.stops_at.set(Some(end));
    log::info!("event=stopping connections={}", count.get());
    tokio::time::sleep(DRAIN_DELAY.min(grace_time / 2)).await;
    // Closes idle connections now and the others after their current response.
    host.closing.send_replace(true);
    while count.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::info!("event=stopped connections={}", count.get());
    Ok(())
}

async fn serve_readiness(listener: TcpListener, host: Rc<EntryHost>) {
    let memory = (host.memory.clone(), ConnectionGroup::Checks);
    let handler = Rc::new(move |request: http::Request<hyper::body::Incoming>, _memory| {
        let is_known = request.uri().path() == host.adapter.ready_path();
        let status = match (is_known, host.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = status;
            response
        }
    });
    // Readiness checks are served until the process ends.
    let (_open, closing) = watch::channel(false);
    serve(listener, ConnectionCount::default(), memory, closing, handler).await;
}
