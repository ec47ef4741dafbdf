use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::ZoneEvacuation;
use gw_ranges::RangeHolder;
use gw_types::TargetName;
use http::Request;
use http::Response;
use http::request;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::control::call_body::BODY_LIMIT;
use crate::control::call_body::CallBodyError;
use crate::control::call_body::read_body;
use crate::control::control_host::ControlHost;
use crate::control::control_host::ReplySink;
use crate::link::CallResult;
use crate::link::LinkMessage;
use crate::memory::ConnectionMemory;
use crate::ports::CallError;
use crate::ports::ControlCall;
use crate::ports::ControlReply;
use crate::ports::TargetAnnouncement;

/// Size of a body, in bytes, from which calls are decided one after the other.
const LARGE_CALL_BYTES: usize = 64 * 1024;
/// Longest wait for another large call. Clients try another control host after a second.
const LARGE_CALL_WAIT: Duration = Duration::from_millis(800);
/// Longest time until a call is decided. Clients try another control host after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which the applied index is checked while a read waits for it.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles a call of a target or an operator.
pub(crate) async fn handle_call(
    host: Rc<ControlHost>,
    request: Request<Incoming>,
    memory: Rc<ConnectionMemory>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let refuse = |error: CallError| {
        let (method, cause) = (&head.method, error.description());
        log::warn!("event=call_refused method={method} path={path} cause=\"{cause}\"");
        host.adapter.write_error(&error).map(Full::new)
    };
    let (body, _held) = match read_body(&memory, body).await {
        Ok(read) => read,
        Err(CallBodyError::TooLarge) => return refuse(CallError::TooLarge { limit: BODY_LIMIT }),
        Err(CallBodyError::Broken(cause)) => return refuse(CallError::Body(cause)),
        Err(CallBodyError::NoMemory) => return refuse_busy(&host, &head, &path, "memory_full"),
    };
    // A parsed configuration takes several times its size until it is decided.
    let _large_call = match body.len() > LARGE_CALL_BYTES {
        true => match timeout(LARGE_CALL_WAIT, host.large_call.acquire()).await {
            Ok(permit) => permit.ok(),
            Err(_) => return refuse_busy(&host, &head, &path, "another large call"),
        },
        false => None,
    };
    let call = match host.adapter.read_call(&head.method, &path, &body) {
        Ok(call) => call,
        Err(error) => return refuse(error),
    };
    drop(body);
    let reply = execute(&host, call).await;
    if let ControlReply::Unavailable { reason } = &reply {
        return refuse_busy(&host, &head, &path, reason);
    }
    host.adapter.write_reply(&reply).map(Full::new)
}

/// Answers a call that this host cannot serve now.
fn refuse_busy(
    host: &ControlHost,
    head: &request::Parts,
    path: &str,
    reason: &'static str,
) -> Response<Full<Bytes>> {
    log::info!("event=call_unavailable method={} path={path} reason={reason}", head.method);
    host.adapter.write_reply(&ControlReply::Unavailable { reason }).map(Full::new)
}

async fn execute(host: &Rc<ControlHost>, call: ControlCall) -> ControlReply {
    match call {
        ControlCall::Announce(announcement) => announce(host, announcement).await,
        ControlCall::Leave { name } => leave(host, &name).await,
        ControlCall::PutConfig(config) => {
            match commit(host, FleetCommand::SetConfig(config)).await {
                Ok(FleetOutcome::Config(version)) => ControlReply::ConfigInForce(version),
                Ok(_) => ControlReply::Unavailable { reason: "unexpected outcome" },
                Err(reply) => reply,
            }
        }
        ControlCall::ReadConfig => read_config(host).await,
        ControlCall::StartEvacuation { zone } => {
            // The leader sets the time when it proposes the command.
            let evacuation = ZoneEvacuation { zone, since_unix_ms: 0 };
            let command = FleetCommand::StartEvacuation(evacuation);
            commit(host, command).await.map_or_else(|reply| reply, |_| ControlReply::Accepted)
        }
        ControlCall::EndEvacuation { zone } => {
            let command = FleetCommand::EndEvacuation { zone };
            commit(host, command).await.map_or_else(|reply| reply, |_| ControlReply::Accepted)
        }
        ControlCall::ReadEvacuations => match catch_up(host).await {
            Ok(()) => ControlReply::Evacuations(host.log.borrow().state().evacuations().to_vec()),
            Err(reply) => reply,
        },
    }
}

/// Handles an announcement. A changed record is committed. An unchanged one only counts as a sign
/// that the target is alive, which a follower reports to the leader. Late announcements of targets
/// that have left or ended are ignored, and those that another writer has left for a known target.
async fn announce(host: &Rc<ControlHost>, announcement: TargetAnnouncement) -> ControlReply {
    let now = host.now();
    if !host.is_current() {
        return ControlReply::Unavailable { reason: "no contact with a majority" };
    }
    let record = &announcement.record;
    if host.log.borrow().state().contradicts_service(record) {
        log::warn!("event=odd_announcement target={} service={}", record.holder(), record.service);
        return ControlReply::Accepted;
    }
    let misplaced = host.log.borrow().state().misplaced_target(record);
    if let Some(RangeHolder { target: name, run }) = misplaced {
        log::warn!("event=misplaced_target target={name} run={run} by={}", record.holder());
        let cause = DepartureCause::Silent;
        let command = FleetCommand::RemoveTarget { name, run: Some(run), cause };
        if let Err(reply) = commit(host, command).await {
            return reply;
        }
    }
    if host.log.borrow().state().is_outdated(record) {
        // No sign of life of a later run either.
        return ControlReply::Accepted;
    }
    let is_newest = host.monitor.borrow_mut().record_announcement(now, &announcement);
    if !is_newest {
        return ControlReply::Accepted;
    }
    // The leader learns of it before the record of a new run, which may go to it over the same
    // connection.
    host.update_warm_up_limits();
    host.record_warmth(&announcement.record.holder(), announcement.warm_up_left, Duration::ZERO);
    let name = announcement.record.name.clone();
    let is_known = host.log.borrow().state().target(&name) == Some(&announcement.record);
    if is_known {
        if !host.is_leader() {
            host.heard_targets.borrow_mut().insert(name);
        }
        return ControlReply::Accepted;
    }
    let command = FleetCommand::PutTarget(announcement.record);
    commit(host, command).await.map_or_else(|reply| reply, |_| ControlReply::Accepted)
}

/// Handles a deregistration. One that may be that of an earlier run suspends the present run and is
/// not acknowledged: the target that leaves repeats it, one that does not leave announces itself.
async fn leave(host: &Rc<ControlHost>, name: &TargetName) -> ControlReply {
    let (departure, suspension, run) = {
        let (log, replacements) = (host.log.borrow(), host.run_replacements.borrow());
        let (now, state) = (host.now(), log.state());
        let departure = replacements.departure(now, state, name);
        (departure, replacements.suspension(now, state, name), state.latest_run(name))
    };
    let Some(command) = departure else {
        let is_suspended = suspension.is_none();
        log::warn!("event=departure_doubted target={name} run={run:?} suspended={is_suspended}");
        if let Some(command) = suspension
            && let Err(reply) = commit(host, command).await
        {
            return reply;
        }
        return ControlReply::Unavailable { reason: "not certain which run leaves" };
    };
    match commit(host, command).await {
        Ok(FleetOutcome::Applied) => ControlReply::Accepted,
        // The target has left before, or has a run that this host did not know of.
        Ok(_) => confirm_departure(host, name, run).await,
        Err(reply) => reply,
    }
}

/// Acknowledges a deregistration that changed nothing if no run of the target remains. `run` is the
/// latest run that this host knew of when the call arrived.
async fn confirm_departure(
    host: &Rc<ControlHost>,
    name: &TargetName,
    run: Option<u64>,
) -> ControlReply {
    if let Err(reply) = catch_up(host).await {
        return reply;
    }
    let log = host.log.borrow();
    if log.state().has_left(name) {
        return ControlReply::Accepted;
    }
    let latest = log.state().latest_run(name);
    log::warn!("event=departure_of_earlier_run target={name} run={run:?} latest={latest:?}");
    ControlReply::Unavailable { reason: "a later run of the target is registered" }
}

/// Proposes a command, through the leader if that is another host, and waits until it is committed.
async fn commit(host: &ControlHost, command: FleetCommand) -> Result<FleetOutcome, ControlReply> {
    let (sender, receiver) = oneshot::channel();
    if host.is_leader() {
        host.propose_as_leader(&command, ReplySink::Local(sender));
    } else if host.leader_link().is_some_and(|link| !link.supports(command.format())) {
        return Err(ControlReply::Unavailable { reason: "the leader is of an earlier build" });
    } else {
        ask_leader(host, sender, |call| LinkMessage::Propose { call, command })?;
    }
    match tokio::time::timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(CallResult::Committed(outcome))) => Ok(outcome),
        Ok(_) => Err(ControlReply::Unavailable { reason: "not committed" }),
        Err(_) => Err(ControlReply::Unavailable { reason: "not committed in time" }),
    }
}

fn ask_leader(
    host: &ControlHost,
    sender: oneshot::Sender<CallResult>,
    message: impl FnOnce(u64) -> LinkMessage,
) -> Result<(), ControlReply> {
    let Some(link) = host.leader_link() else {
        return Err(ControlReply::Unavailable { reason: "no leader known" });
    };
    let call = host.next_call();
    host.pending_calls.borrow_mut().retain(|_, waiting| !waiting.is_closed());
    host.pending_calls.borrow_mut().insert(call, sender);
    if !link.send(&message(call)) {
        return Err(ControlReply::Unavailable { reason: "leader not reachable" });
    }
    Ok(())
}

/// Performs a linearizable read of the configuration.
async fn read_config(host: &Rc<ControlHost>) -> ControlReply {
    if let Err(reply) = catch_up(host).await {
        return reply;
    }
    let log = host.log.borrow();
    match log.state().stored_config() {
        Some(config) => ControlReply::Config(Bytes::from_owner(config.document.clone())),
        None => ControlReply::NoConfig,
    }
}

/// Waits until this host has applied everything that was acknowledged before the call.
async fn catch_up(host: &Rc<ControlHost>) -> Result<(), ControlReply> {
    let (sender, receiver) = oneshot::channel();
    if host.is_leader() {
        host.read_as_leader(ReplySink::Local(sender));
    } else {
        ask_leader(host, sender, |call| LinkMessage::ReadFence { call })?;
    }
    let caught_up = async {
        let Ok(CallResult::ReadIndex(index)) = receiver.await else { return false };
        while host.log.borrow().applied() < index {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    };
    if !tokio::time::timeout(CALL_TIMEOUT, caught_up).await.unwrap_or(false) {
        return Err(ControlReply::Unavailable { reason: "cannot tell the newest state" });
    }
    Ok(())
}
