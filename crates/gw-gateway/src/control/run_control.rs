use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::GatewaySettings;
use crate::RunError;
use crate::control::call_flow::answer_call;
use crate::control::control_host::ControlHost;
use crate::control::link_keeper::LinkKeeper;
use crate::control::link_keeper::send_heads;
use crate::control::order_flow::DetourTable;
use crate::control::order_flow::keep_ranges;
use crate::http_server::ConnectionCount;
use crate::http_server::ServerLimits;
use crate::http_server::serve;
use crate::link::LinkMessage;
use crate::link::accept_links;
use crate::ports::ProtocolAdapter;
use crate::ports::SettingsSource;
use crate::process::bind;
use crate::process::serve_metrics;
use crate::process::stop_asked;
use crate::settings_watch::watch_settings;

/// Time between two ticks of the replica and the granters.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Ticks between two messages to entry hosts, and between two looks at the group.
const TICKS_PER_ROUND: u32 = 10;
/// Events of connections that wait to be handled.
const EVENT_QUEUE: usize = 4096;
/// Longest time for the last answers to leave after the lead was handed over.
const END_TIME: Duration = Duration::from_millis(700);

/// Runs a control host until it was asked to stop.
pub(crate) async fn run_control(
    settings: GatewaySettings,
    dialect: Rc<dyn ProtocolAdapter>,
    source: Rc<dyn SettingsSource>,
    calls: SocketAddr,
) -> Result<(), RunError> {
    let listener = bind("calls", calls).await?;
    let peers = SocketAddr::new(settings.address, settings.peer_port);
    let peers = bind("peers", peers).await?;
    let metrics = SocketAddr::new(settings.address, settings.peer_port + 1);
    let host = ControlHost::new(settings, dialect, calls);
    host.identify().map_err(|error| RunError::Data(error.to_string()))?;
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE);
    spawn_local(accept_links(peers, events.clone()));
    let shared = host.clone();
    spawn_local(serve_metrics(metrics, move || shared.metrics.text()));
    let shared = host.clone();
    spawn_local(watch_settings(source, move |settings| {
        *shared.settings.borrow_mut() = settings;
    }));
    let (closer, closing) = watch::channel(false);
    let shared = host.clone();
    let handler = Rc::new(move |request, _peer| answer_call(shared.clone(), request));
    let count = ConnectionCount::default();
    spawn_local(serve(listener, ServerLimits::default, count.clone(), closing, handler));
    let mut keeper = LinkKeeper::new(host.clone(), events);
    let detours = Rc::new(DetourTable::default());
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stop = stop_asked();
    tokio::pin!(stop);
    let mut round = 0;
    let mut end = None;
    loop {
        tokio::select! {
            event = queue.recv() => if let Some(event) = event { keeper.take_event(event) },
            _ = ticks.tick() => {
                tick(&host, &mut keeper, &detours, round);
                round = (round + 1) % TICKS_PER_ROUND;
            }
            asked = &mut stop, if end.is_none() => {
                asked?;
                closer.send_replace(true);
                hand_over(&host);
                end = Some(Instant::now() + END_TIME);
            }
        }
        if end.is_some_and(|end| Instant::now() >= end) {
            log::info!("event=stopped connections={}", count.get());
            return Ok(());
        }
    }
}

/// Lets another replica lead before this one ends.
fn hand_over(host: &ControlHost) {
    host.is_stopping.set(true);
    let now = host.now();
    let transferred = {
        let mut replica = host.replica.borrow_mut();
        let leading = replica.as_mut().filter(|replica| replica.node.is_leader());
        leading.map(|replica| replica.node.transfer_leadership(now))
    };
    log::info!("event=stopping transfer={transferred:?}");
    host.drive();
}

fn tick(host: &Rc<ControlHost>, keeper: &mut LinkKeeper, detours: &Rc<DetourTable>, round: u32) {
    start_replica(host, round);
    host.tick_replica();
    keep_ranges(host, detours);
    if round != 0 {
        return;
    }
    host.remember_peers();
    keeper.dial();
    send_heads(host, |_| true);
    send_heard(host);
    if host.leads() && !host.is_stopping.get() {
        host.keep_group();
        remove_lost(host);
    }
    let now = host.now();
    host.quarantine.borrow_mut().expire(now);
    let log = host.log.borrow();
    host.metrics.state_index.set(log.applied() as i64);
    host.metrics.config_version.set(log.state().config_version().0 as i64);
}

/// Starts the replica if it does not run: at first, after a disk failure, and after a removal.
fn start_replica(host: &ControlHost, round: u32) {
    if host.replica.borrow().is_some() || host.now() < host.restart_at.get() {
        return;
    }
    let identity = host.identity.borrow().clone();
    let Some(identity) = identity else {
        if round == 0
            && let Err(error) = host.identify()
        {
            log::error!("event=identity_not_read cause=\"{error}\"");
        }
        return;
    };
    if identity.id.is_none() {
        if round == 0 {
            host.ask_to_join();
        }
        return;
    }
    if round == 0
        && let Err(cause) = host.start_replica(&identity)
    {
        log::error!("event=replica_not_started cause=\"{cause}\"");
    }
}

/// Tells the leader which targets were heard here.
fn send_heard(host: &ControlHost) {
    if host.is_leader() {
        host.heard.borrow_mut().clear();
        return;
    }
    let Some(link) = host.leader_link() else { return };
    let targets: Vec<_> = std::mem::take(&mut *host.heard.borrow_mut()).into_iter().collect();
    if !targets.is_empty() {
        link.send(&LinkMessage::Heard { targets });
    }
}

/// Removes targets that have been silent for long.
fn remove_lost(host: &ControlHost) {
    let lost = host.watch.borrow().lost(host.now(), host.log.borrow().state());
    for holder in lost {
        let (name, run) = (holder.target, Some(holder.run));
        host.command(FleetCommand::RemoveTarget { name, run, cause: DepartureCause::Silent });
    }
}
