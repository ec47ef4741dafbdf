use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::ConnectionGroup;
use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::GatewaySettings;
use crate::RunError;
use crate::control::call_handler::handle_call;
use crate::control::cold_targets::send_cold_targets;
use crate::control::control_host::ControlHost;
use crate::control::order_delivery::UnreachableTargets;
use crate::control::order_delivery::step_granters;
use crate::control::peer_links::PeerLinks;
use crate::control::peer_links::announce_contact;
use crate::control::peer_links::greet_entry_hosts;
use crate::control::peer_links::send_heads;
use crate::http_server::ConnectionCount;
use crate::http_server::serve;
use crate::link::LinkMessage;
use crate::link::accept_links;
use crate::ports::ProtocolAdapter;
use crate::ports::SettingsSource;
use crate::ports::TargetDialer;
use crate::process::bind;
use crate::process::serve_metrics;
use crate::process::shutdown_signal;
use crate::settings_watch::watch_settings;

/// Interval between two ticks of the replica and the range granters.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Ticks per round. Messages to entry hosts and membership checks happen once per round.
const TICKS_PER_ROUND: u32 = 10;
/// Capacity of the queue of connection events.
const EVENT_QUEUE_LEN: usize = 4096;
/// Most events of connections that are handled before the replica's I/O for them is performed.
const MAX_EVENTS_PER_DRIVE: usize = 64;
/// Least time between handing over the leadership and the exit. Calls under way may take longer.
const SHUTDOWN_TIME: Duration = Duration::from_millis(700);
/// Margin before the end of the grace time, within which the process exits by itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// Runs a control host until it is told to stop.
pub(crate) async fn run_control(
    settings: GatewaySettings,
    adapter: Rc<dyn ProtocolAdapter>,
    dialer: Rc<dyn TargetDialer>,
    source: Rc<dyn SettingsSource>,
    control_address: SocketAddr,
) -> Result<(), RunError> {
    let listener = bind("calls", control_address).await?;
    let peers = SocketAddr::new(settings.address, settings.peer_port);
    let peers = bind("peers", peers).await?;
    let metrics = SocketAddr::new(settings.address, settings.peer_port + 1);
    let (reports, mut journal) = mpsc::unbounded_channel();
    let host = ControlHost::new(settings, adapter, dialer.clone(), control_address, reports);
    start_replica(&host, 0);
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
    spawn_local(accept_links(peers, events.clone(), host.bounds, host.memory.clone()));
    let shared = host.clone();
    spawn_local(serve_metrics(metrics, host.memory.clone(), move || shared.metrics.text()));
    spawn_local(host.memory.clone().run());
    let shared = host.clone();
    spawn_local(watch_settings(source, move |settings| {
        *shared.settings.borrow_mut() = settings;
    }));
    let (closer, closing) = watch::channel(false);
    let shared = host.clone();
    let handler = Rc::new(move |request, memory| handle_call(shared.clone(), request, memory));
    let memory = (host.memory.clone(), ConnectionGroup::Callers);
    let count = ConnectionCount::default();
    spawn_local(serve(listener, count.clone(), memory, closing, handler));
    let mut links = PeerLinks::new(host.clone(), events, dialer);
    let unreachable = Rc::new(UnreachableTargets::default());
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stop = shutdown_signal();
    tokio::pin!(stop);
    let mut round = 0;
    // Earliest and latest time of the exit, once the host has been told to stop.
    let mut end = None;
    loop {
        tokio::select! {
            event = queue.recv() => {
                let arrived = std::iter::from_fn(|| queue.try_recv().ok());
                let events = event.into_iter().chain(arrived).take(MAX_EVENTS_PER_DRIVE);
                events.for_each(|event| links.handle_event(event));
            }
            () = host.drive_wakeup.notified() => {}
            report = journal.recv() => if let Some(report) = report { host.handle_journal(report) },
            _ = ticks.tick() => {
                tick(&host, &mut links, &unreachable, round);
                round = (round + 1) % TICKS_PER_ROUND;
            }
            received = &mut stop, if end.is_none() => {
                received?;
                closer.send_replace(true);
                step_down(&host);
                let grace_time = host.settings.borrow().grace_time.saturating_sub(SHUTDOWN_MARGIN);
                let now = Instant::now();
                end = Some((now + SHUTDOWN_TIME, now + grace_time.max(SHUTDOWN_TIME)));
            }
        }
        host.drive_if_due();
        let now = Instant::now();
        let has_ended =
            |(least, most): (Instant, Instant)| now >= most || now >= least && count.get() == 0;
        if end.is_some_and(has_ended) {
            log::info!("event=stopped connections={}", count.get());
            return Ok(());
        }
    }
}

/// Hands the leadership over to another replica before this process ends.
fn step_down(host: &ControlHost) {
    host.is_stopping.set(true);
    log::info!("event=stopping");
    hand_over(host);
    host.announce_leaving();
}

/// Starts to hand the leadership over, if this host has it.
fn hand_over(host: &ControlHost) {
    let now = host.now();
    let transferred = {
        let mut replica = host.replica.borrow_mut();
        let leading = replica.as_mut().filter(|replica| replica.node.is_leader());
        leading.map(|replica| replica.node.transfer_leadership(now))
    };
    // An error says that a transfer is under way or that the leadership is being lost.
    if let Some(Ok(to)) = transferred {
        log::info!("event=leadership_handed_over to={}", to.0);
        host.drive();
    }
}

fn tick(
    host: &Rc<ControlHost>,
    links: &mut PeerLinks,
    unreachable: &Rc<UnreachableTargets>,
    round: u32,
) {
    start_replica(host, round);
    host.tick_replica();
    host.relieve_leader();
    let leads = host.is_confirmed_leader() && !host.is_stopping.get();
    if leads {
        host.reconcile_members();
        host.review_votes();
    }
    if host.is_stopping.get() {
        // Another host that stops may have handed the leadership to this one.
        hand_over(host);
    }
    step_granters(host, unreachable);
    send_cold_targets(host, round == 0);
    if round != 0 {
        announce_contact(host);
        greet_entry_hosts(host);
        return;
    }
    host.record_heard_hosts();
    host.save_peers();
    host.log_lost_majority();
    if host.is_stopping.get() {
        // A host that led has another leader only now.
        host.announce_leaving();
    }
    links.dial();
    send_heads(host, |_| true);
    forward_contacts(host);
    if leads {
        host.review_replicas();
        remove_silent_targets(host);
    }
    let now = host.now();
    host.quarantine.borrow_mut().expire(now);
    let log = host.log.borrow();
    host.metrics.state_index.set(log.applied() as i64);
    host.metrics.config_version.set(log.state().config_version().0 as i64);
    host.metrics.evacuated_zones.set(log.state().evacuations().len() as i64);
}

/// Starts the replica if it is not running: at process start, after a disk failure, and after its
/// removal from the group. A host that stops does not join again.
fn start_replica(host: &ControlHost, round: u32) {
    let is_due = host.now() >= host.restart_at.get() && !host.is_stopping.get();
    if host.replica.borrow().is_some() || !is_due {
        return;
    }
    if host.identity.borrow().is_none()
        && round == 0
        && let Err(error) = host.load_identity()
    {
        // The disk may have room for it later.
        log::error!("event=identity_not_loaded cause=\"{error}\"");
    }
    let Some(identity) = host.identity.borrow().clone() else { return };
    if identity.id.is_none() {
        if round == 0 {
            host.ask_to_join();
        }
        return;
    }
    if round == 0
        && let Err(cause) = host.open_journal(&identity)
    {
        log::error!("event=replica_not_started cause=\"{cause}\"");
    }
}

/// Reports to the leader which targets announced themselves to this host.
fn forward_contacts(host: &ControlHost) {
    if host.is_leader() {
        host.heard_targets.borrow_mut().clear();
        return;
    }
    host.forward_warmth();
    let Some(link) = host.leader_link() else { return };
    let targets: Vec<_> =
        std::mem::take(&mut *host.heard_targets.borrow_mut()).into_iter().collect();
    if !targets.is_empty() {
        link.send(&LinkMessage::Heard { targets });
    }
}

/// Proposes the removal of targets that have been silent for too long.
fn remove_silent_targets(host: &ControlHost) {
    let expired = host.monitor.borrow().expired(host.now(), host.log.borrow().state());
    for holder in expired {
        let (name, run) = (holder.target, Some(holder.run));
        host.propose(FleetCommand::RemoveTarget { name, run, cause: DepartureCause::Silent });
    }
}
