use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gw_node::CallId;
use gw_node::HostNode;
use gw_node::NodeAction;
use gw_node::NodeEvent;
use gw_node::NodeOptions;
use gw_node::StatusChange;
use gw_profile::Profile;
use gw_types::BootId;
use gw_types::Clock;
use gw_types::HostName;
use gw_types::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ProfileTable;
use crate::ReadyState;
use crate::TrafficState;
use crate::control::ControlError;
use crate::control::ControlHandle;
use crate::control::ControlReply;
use crate::control::JournalError;
use crate::control::ReplyFuture;
use crate::control::journal_writer::JournalWriter;
use crate::control::peer_transport::PeerFrame;
use crate::control::peer_transport::PeerSockets;
use crate::control::peer_transport::PeerTransport;
use crate::records::PeerHandler;
use crate::settings::HostSettings;

/// Time between two ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Events that may wait for the control thread. Further events are dropped; the senders repeat
/// those that must be delivered.
const EVENT_QUEUE_LEN: usize = 16_384;
/// Frames that may wait for the control thread. No frame is received while the queue is full.
const FRAME_QUEUE_LEN: usize = 4_096;
/// Longest wait for the reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest deadline of a request to a target. Profiles with a longer deadline are invalid.
const LONGEST_DEADLINE: Duration = Duration::from_millis(gw_profile::LONGEST_DEADLINE_MS as u64);
/// Time between two updates of the handlers while the control state does not change.
const HANDLER_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a journal that failed, or cannot be opened, is opened again: a full disk may have room
/// by then.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Time between the stop of the state machines and the end of the thread, in which the last
/// messages are sent.
const STOP_DELAY: Duration = Duration::from_millis(100);

/// Why the control thread did not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlStartError {
    /// The sockets for frames of other hosts could not be opened.
    #[error("listener peers: cannot listen on {address}: {source}")]
    Peers {
        /// The `peers` address of this host.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The state of the control replica could not be read from its journal.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The thread could not be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
}

type Query = Box<dyn FnOnce(&HostNode, Timestamp) + Send>;

enum ControlInput {
    Event(NodeEvent),
    Call { call: CallId, event: NodeEvent, reply: oneshot::Sender<ControlReply> },
    Query(Query),
    Stop,
}

/// Arguments of [`start_control`] in addition to the settings.
pub struct ControlOptions {
    /// Boot ID of this process.
    pub boot: BootId,
    /// Clock of the state machines. Must advance while the host is suspended.
    pub clock: Arc<dyn Clock>,
    /// Receives the routes, dispatch plans and profiles that the thread publishes.
    pub state: Arc<TrafficState>,
    /// Readiness as `/readyz` reports it; updated with each tick.
    pub ready: Arc<ReadyState>,
    /// Handlers of the messages that do not concern the state machines. Each message goes to them
    /// in this order until one handles it.
    pub handlers: Vec<Arc<dyn PeerHandler>>,
}

/// Sends events, calls and queries to a running control thread.
#[derive(Clone)]
pub struct ControlClient {
    inputs: mpsc::Sender<ControlInput>,
}

impl ControlClient {
    /// Runs `query` on the control thread and returns its result.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&HostNode, Timestamp) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let (sender, receiver) = oneshot::channel();
        let query: Query = Box::new(move |node, now| {
            // Sending fails if the caller no longer waits for the result.
            sender.send(query(node, now)).ok();
        });
        let sent = self.inputs.send(ControlInput::Query(query)).await;
        sent.map_err(|_| ControlError::Unavailable)?;
        receiver.await.map_err(|_| ControlError::Unavailable)
    }

    /// Hands the zone leadership and the targets over to other hosts.
    ///
    /// Returns when that is done, when no host can take them, or after `limit`.
    pub async fn hand_over(&self, limit: Duration) {
        self.send(NodeEvent::Shutdown);
        let released = async {
            while let Ok(false) = self.query(|node, _| node.is_released()).await {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(limit, released).await.is_err() {
            log::warn!("event=handover_incomplete");
        }
    }

    /// Stops the control thread and waits for its end. No request may be in flight any more.
    pub async fn stop(&self) {
        if self.inputs.send(ControlInput::Stop).await.is_ok() {
            self.inputs.closed().await;
        }
    }
}

impl ControlHandle for ControlClient {
    fn send(&self, event: NodeEvent) {
        if self.inputs.try_send(ControlInput::Event(event)).is_err() {
            log::debug!("event=control_event_dropped");
        }
    }

    fn call(&self, call: CallId, event: NodeEvent) -> ReplyFuture {
        let inputs = self.inputs.clone();
        Box::pin(async move {
            let (reply, receiver) = oneshot::channel();
            let sent = inputs.send(ControlInput::Call { call, event, reply }).await;
            sent.map_err(|_| ControlError::Unavailable)?;
            let answer = tokio::time::timeout(CALL_TIMEOUT, receiver).await;
            if answer.is_err() {
                let abandon = ControlInput::Event(NodeEvent::AbandonCall { call });
                inputs.try_send(abandon).ok();
            }
            answer.ok().and_then(Result::ok).ok_or(ControlError::Unavailable)
        })
    }
}

/// Starts the control thread of a host.
///
/// The thread owns the [`HostNode`], the journal and the sockets to other hosts. It runs until
/// [`ControlClient::stop`].
///
/// # Errors
///
/// Fails if the sockets cannot be opened, the journal cannot be read or the thread cannot be
/// started.
pub fn start_control(
    settings: &HostSettings,
    options: ControlOptions,
) -> Result<ControlClient, ControlStartError> {
    let address = settings.host.peers;
    let sockets = PeerSockets::bind(address)
        .map_err(|source| ControlStartError::Peers { address, source })?;
    let data = settings.control.data.as_deref().filter(|_| settings.host.control);
    let (journal, recovered) = match data {
        Some(folder) => {
            let (journal, recovered) = JournalWriter::open(folder)?;
            (Some(journal), Some(recovered))
        }
        None => (None, None),
    };
    let node = HostNode::new(
        NodeOptions {
            host: settings.host.id,
            boot: options.boot,
            hosts: settings.hosts.clone(),
            recovered,
            seed: options.boot.0 ^ u64::from(settings.host.id.0),
            longest_deadline: LONGEST_DEADLINE,
        },
        options.clock.now(),
    );
    let (inputs, queue) = mpsc::channel(EVENT_QUEUE_LEN);
    let client = ControlClient { inputs };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControlStartError::Thread)?;
    let (frames, received) = mpsc::channel(FRAME_QUEUE_LEN);
    let transport = {
        let _guard = runtime.enter();
        let own = &settings.host;
        let keys = &settings.keys.frames;
        PeerTransport::start(own, options.boot, &settings.hosts, keys, sockets, frames)
            .map_err(|source| ControlStartError::Peers { address, source })?
    };
    let transport = Arc::new(transport);
    for handler in &options.handlers {
        handler.attach(transport.clone());
    }
    let thread = ControlThread {
        name: settings.host.name.clone(),
        node,
        journal,
        data: data.map(Path::to_owned),
        reopen_at: Timestamp::default(),
        transport,
        options,
        client: client.clone(),
        replies: BTreeMap::new(),
        published_index: None,
        next_handler_update: Timestamp::default(),
    };
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(thread.run(queue, received)))
        .map_err(ControlStartError::Thread)?;
    Ok(client)
}

struct ControlThread {
    name: HostName,
    node: HostNode,
    /// `None` on a host without control replica, and while the journal cannot be used.
    journal: Option<JournalWriter>,
    /// Folder of the journal; `None` on a host without control replica.
    data: Option<PathBuf>,
    /// Earliest time at which the journal is opened again.
    reopen_at: Timestamp,
    transport: Arc<PeerTransport>,
    options: ControlOptions,
    client: ControlClient,
    /// Calls that have no reply yet.
    replies: BTreeMap<CallId, oneshot::Sender<ControlReply>>,
    /// Index of the last applied control log entry when profiles were last published.
    published_index: Option<u64>,
    next_handler_update: Timestamp,
}

impl ControlThread {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<ControlInput>,
        mut frames: mpsc::Receiver<PeerFrame>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stop_at = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(frame) = frames.recv() => self.handle_frame(frame),
                Some(input) = inputs.recv() => {
                    if self.handle_input(input) {
                        self.step(NodeEvent::Stop);
                        stop_at = Some(self.options.clock.now() + STOP_DELAY);
                    }
                }
            }
            if stop_at.is_some_and(|at| self.options.clock.now() >= at) {
                log::info!("event=control_ended host={}", self.name);
                return;
            }
        }
    }

    fn tick(&mut self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.node.set_wall_clock(wall.as_millis() as u64);
        self.reopen_journal();
        self.step(NodeEvent::Tick);
        self.options.ready.set(self.node.is_ready());
        let now = self.options.clock.now();
        if now >= self.next_handler_update {
            self.next_handler_update = now + HANDLER_INTERVAL;
            self.options.handlers.iter().for_each(|handler| handler.update(now, &self.node));
        }
    }

    /// Opens the journal again if it has failed.
    fn reopen_journal(&mut self) {
        let now = self.options.clock.now();
        let Some(folder) = self.data.as_deref() else { return };
        if self.journal.is_some() || now < self.reopen_at {
            return;
        }
        match JournalWriter::open(folder) {
            Ok((journal, recovered)) => {
                self.journal = Some(journal);
                self.step(NodeEvent::JournalReopened { recovered });
            }
            Err(error) => {
                log::error!("event=journal_not_opened host={} cause=\"{error}\"", self.name);
                self.reopen_at = now + REOPEN_DELAY;
            }
        }
    }

    fn handle_frame(&mut self, frame: PeerFrame) {
        let PeerFrame { from, boot, message } = frame;
        let mut handlers = self.options.handlers.iter();
        let unhandled = handlers
            .try_fold(message, |message, handler| handler.handle_message(from, boot, message));
        let Some(message) = unhandled else { return };
        self.step(NodeEvent::Message { from, boot, message });
    }

    /// Handles one input. Returns whether the thread must stop.
    fn handle_input(&mut self, input: ControlInput) -> bool {
        match input {
            ControlInput::Event(event) => self.step(event),
            ControlInput::Call { call, event, reply } => {
                self.replies.insert(call, reply);
                self.step(event);
            }
            ControlInput::Query(query) => query(&self.node, self.options.clock.now()),
            ControlInput::Stop => return true,
        }
        false
    }

    fn step(&mut self, event: NodeEvent) {
        if let NodeEvent::AbandonCall { call } = &event {
            self.replies.remove(call);
        }
        let actions = self.node.step(self.options.clock.now(), event);
        for action in actions {
            self.run_action(action);
        }
        self.publish_profiles();
    }

    fn run_action(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send { to, transport, message } => {
                self.transport.send(to, transport, &message);
            }
            NodeAction::Persist { token, batch } => {
                let written = self.journal.as_mut().map(|journal| journal.write(&batch));
                match written {
                    Some(Ok(())) => self.step(NodeEvent::Persisted { token }),
                    Some(Err(error)) => {
                        log::error!("event=journal_failed host={} cause=\"{error}\"", self.name);
                        self.journal = None;
                        self.reopen_at = self.options.clock.now() + REOPEN_DELAY;
                        self.step(NodeEvent::JournalFailed);
                    }
                    None => self.step(NodeEvent::JournalFailed),
                }
            }
            NodeAction::PublishRoutes(routes) => self.options.state.publish_routes(routes),
            NodeAction::PublishPlan(plan) => self.options.state.publish_plan(plan),
            NodeAction::Drain(order) => {
                self.options.state.start_drain(order, Arc::new(self.client.clone()));
            }
            NodeAction::Announced { call, reply } => {
                self.reply(call, ControlReply::Announced(reply));
            }
            NodeAction::Reported { call } => self.reply(call, ControlReply::Reported),
            NodeAction::Refused { call, reason } => {
                self.reply(call, ControlReply::Refused(reason));
            }
            NodeAction::Proposed { call, outcome } => {
                self.reply(call, ControlReply::Proposed(outcome));
            }
            NodeAction::StatusChanged(change) => log_status_change(&self.name, &change),
        }
    }

    fn reply(&mut self, call: CallId, reply: ControlReply) {
        if let Some(waiting) = self.replies.remove(&call) {
            // Sending fails if the caller no longer waits for the reply.
            waiting.send(reply).ok();
        }
    }

    fn publish_profiles(&mut self) {
        let index = self.node.control_state().applied();
        if self.published_index == Some(index) {
            return;
        }
        self.published_index = Some(index);
        let now = self.options.clock.now();
        self.options.handlers.iter().for_each(|handler| handler.update(now, &self.node));
        let view = self.node.control_view();
        let names = view.definitions().map(|definition| definition.profile.clone());
        // If a service names a profile that does not exist, the effective profile is published
        // under that name.
        let profiles = names.map(|name| {
            let rules = view.effective_profile(name.as_str());
            Arc::new(Profile { name, ..Profile::clone(&rules.profile) })
        });
        self.options.state.publish_profiles(Arc::new(ProfileTable::new(profiles)));
    }
}

fn log_status_change(host: &HostName, change: &StatusChange) {
    match change {
        StatusChange::ZoneLeadershipGained(term) => {
            log::info!("event=leads_zone host={host} term={term}")
        }
        StatusChange::ZoneLeadershipLost => log::info!("event=left_zone host={host}"),
        StatusChange::ControlLeadershipGained => log::info!("event=leads_control host={host}"),
        StatusChange::ControlLeadershipLost => log::info!("event=left_control host={host}"),
        StatusChange::JournalFailed => log::error!("event=replica_stopped host={host}"),
        StatusChange::JournalReopened => log::info!("event=replica_started host={host}"),
        StatusChange::HostUnreachable(peer) => {
            log::warn!("event=host_unreachable host={host} peer={peer}");
        }
        StatusChange::HostReachable(peer) => {
            log::info!("event=host_reachable host={host} peer={peer}")
        }
    }
}
