//! The traffic side of an entry host: its listeners and the forwarding of requests.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use gw_node::NodeEvent;
use gw_types::BootId;
use tokio::net::TcpListener;

use crate::OperatorApi;
use crate::ReadyState;
use crate::RecordStore;
use crate::ShutdownHandle;
use crate::ShutdownPhase;
use crate::TrafficMetrics;
use crate::TrafficState;
use crate::control::ControlHandle;
use crate::forward::ForwardSigner;
use crate::forward::ForwardVerifier;
use crate::forward::HostPools;
use crate::listen::CallersService;
use crate::listen::ForwardsService;
use crate::listen::HttpListener;
use crate::listen::HttpService;
use crate::listen::ListenerParts;
use crate::listen::OperatorsService;
use crate::listen::TargetsService;
use crate::records::QuarantineReplicator;
use crate::settings::HostSettings;
use crate::traffic::Router;
use crate::traffic::RouterParts;

/// Time between two load reports to the zone leader, which plans moves of slots once a second.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Error when the traffic side is started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be opened.
    #[error("listener {name}: cannot listen on {address}: {source}")]
    Listen {
        /// Name of the listener in the settings.
        name: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings describe a host that only runs a control replica.
    #[error("host {0} has no forwards address, so it is not an entry host")]
    NotEntry(String),
}

/// Arguments of [`run`] in addition to the settings and listeners.
pub struct Options {
    /// Boot ID of this process.
    pub boot: BootId,
    /// The routes, dispatch plan and profiles that the control thread publishes.
    pub state: Arc<TrafficState>,
    /// Passes events to the control thread.
    pub control: Arc<dyn ControlHandle>,
    /// The idempotency records of non-idempotent requests.
    pub records: Arc<dyn RecordStore>,
    /// The quarantine of requests that crash targets.
    pub quarantine: Arc<QuarantineReplicator>,
    /// Handles the operators' calls.
    pub api: Arc<dyn OperatorApi>,
    /// Readiness as `/readyz` reports it.
    pub ready: Arc<ReadyState>,
}

/// The open listeners of an entry host.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts requests of callers.
    pub callers: StdListener,
    /// Accepts requests that other hosts forward.
    pub forwards: StdListener,
    /// Accepts announcements and reports of targets.
    pub targets: StdListener,
    /// Serves metrics, health checks and operators' calls.
    pub operators: StdListener,
}

impl Listeners {
    /// Opens the listeners that the settings name. Fails if the host is not an entry host.
    pub fn bind(settings: &HostSettings) -> Result<Self, Error> {
        let name = settings.host.name.to_string();
        let forwards = settings.host.forwards.ok_or(Error::NotEntry(name))?;
        Ok(Self {
            callers: bind("callers", settings.listeners.callers)?,
            forwards: bind("forwards", forwards)?,
            targets: bind("targets", settings.listeners.targets)?,
            operators: bind("operators", settings.listeners.operators)?,
        })
    }
}

fn bind(name: &'static str, address: SocketAddr) -> Result<StdListener, Error> {
    StdListener::bind(address).map_err(|source| Error::Listen { name, address, source })
}

fn listen(
    name: &'static str,
    listener: StdListener,
    parts: ListenerParts,
) -> Result<HttpListener, Error> {
    let open = |listener: StdListener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    let address = listener.local_addr().unwrap_or_else(|_| ([0, 0, 0, 0], 0).into());
    let listener = open(listener).map_err(|source| Error::Listen { name, address, source })?;
    Ok(HttpListener { listener, parts })
}

/// Serves requests until a shutdown, and returns when the last request in flight has ended.
///
/// The operators listener stays open until the others have ended, so that operators can observe the
/// shutdown.
pub async fn run(
    settings: HostSettings,
    listeners: Listeners,
    options: Options,
    shutdown: ShutdownHandle,
) -> Result<(), Error> {
    let metrics = Arc::new(TrafficMetrics::new());
    let router = Arc::new(new_router(&settings, &options, &metrics));
    let parts = |service: Arc<dyn HttpService>, shutdown: &ShutdownHandle| ListenerParts {
        service,
        limits: settings.limits.clone(),
        metrics: metrics.clone(),
        shutdown: shutdown.clone(),
    };
    let callers = parts(Arc::new(CallersService(router.clone())), &shutdown);
    let callers = listen("callers", listeners.callers, callers)?;
    // Forwarded requests are in flight like those of callers, so the forwards listener ends together
    // with the callers listener.
    let load_reports = tokio::spawn(report_loads(router.clone()));
    let forwards = parts(Arc::new(ForwardsService(router)), &shutdown);
    let forwards = listen("forwards", listeners.forwards, forwards)?;
    let targets = parts(Arc::new(new_targets_service(&settings, &options)), &shutdown);
    let targets = listen("targets", listeners.targets, targets)?;
    let operators = OperatorsService {
        state: options.state.clone(),
        metrics: metrics.clone(),
        ready: options.ready.clone(),
        shutdown: shutdown.clone(),
        token: settings.keys.operators.clone(),
        api: options.api.clone(),
    };
    let operators_shutdown = ShutdownHandle::default();
    let operators = parts(Arc::new(operators), &operators_shutdown);
    let operators = tokio::spawn(listen("operators", listeners.operators, operators)?.run());
    log::info!("event=started host={} boot={}", settings.host.name, options.boot);
    let notify_control = async {
        shutdown.reached(ShutdownPhase::Graceful).await;
        options.control.send(NodeEvent::Shutdown);
    };
    tokio::join!(callers.run(), forwards.run(), targets.run(), notify_control);
    load_reports.abort();
    log::info!("event=traffic_ended host={}", settings.host.name);
    operators_shutdown.advance(shutdown.phase().max(ShutdownPhase::Graceful));
    operators.await.ok();
    Ok(())
}

async fn report_loads(router: Arc<Router>) {
    let mut ticks = tokio::time::interval(LOAD_REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        router.report_loads();
    }
}

/// Serves only the operators listener, on a control host. The returned task ends with `shutdown`.
pub fn run_operators(
    settings: &HostSettings,
    state: Arc<TrafficState>,
    api: Arc<dyn OperatorApi>,
    ready: Arc<ReadyState>,
    shutdown: ShutdownHandle,
) -> Result<tokio::task::JoinHandle<()>, Error> {
    let listener = bind("operators", settings.listeners.operators)?;
    let metrics = Arc::new(TrafficMetrics::new());
    let service = OperatorsService {
        state,
        metrics: metrics.clone(),
        ready,
        shutdown: shutdown.clone(),
        token: settings.keys.operators.clone(),
        api,
    };
    let parts = ListenerParts {
        service: Arc::new(service),
        limits: settings.limits.clone(),
        metrics,
        shutdown,
    };
    Ok(tokio::spawn(listen("operators", listener, parts)?.run()))
}

fn new_router(settings: &HostSettings, options: &Options, metrics: &Arc<TrafficMetrics>) -> Router {
    let others = || settings.hosts.iter().filter(|host| host.id != settings.host.id);
    Router::new(RouterParts {
        state: options.state.clone(),
        host: settings.host.clone(),
        boot: options.boot,
        limits: settings.limits.clone(),
        control: options.control.clone(),
        records: options.records.clone(),
        quarantine: options.quarantine.clone(),
        host_pools: HostPools::new(others()),
        signer: ForwardSigner::new(&settings.keys.frames, settings.host.id, options.boot),
        verifier: ForwardVerifier::new(&settings.keys.frames, others().map(|host| host.id)),
        metrics: metrics.clone(),
    })
}

fn new_targets_service(settings: &HostSettings, options: &Options) -> TargetsService {
    TargetsService {
        state: options.state.clone(),
        control: options.control.clone(),
        tokens: settings.keys.registration.clone(),
        zones: settings.hosts.iter().map(|host| host.zone.clone()).collect(),
        next_call: AtomicU64::new(0),
    }
}
