use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gw_balance::EvacuatedZones;
use gw_balance::HolderThrottle;
use gw_balance::HostCount;
use gw_balance::LimitTable;
use gw_balance::PreferredTargets;
use gw_balance::RequestQueue;
use gw_balance::SentBytes;
use gw_balance::TargetLimit;
use gw_balance::TargetPool;
use gw_daemon::BootClock;
use gw_dispatch::CrashQuarantine;
use gw_dispatch::HedgePlanner;
use gw_dispatch::QuarantineOptions;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RetryBudget;
use gw_fleet::FleetState;
use gw_fleet::LearnedState;
use gw_ranges::RangeHolder;
use gw_routing::RouteRule;
use gw_routing::RoutingConfig;
use gw_routing::WeightedRoundRobin;
use gw_types::Clock;
use gw_types::ServiceName;
use gw_types::Timestamp;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::GatewayOptions;
use crate::GatewaySettings;
use crate::entry::admission::AdmissionParams;
use crate::entry::admission::SendPermit;
use crate::entry::cold_watch::ColdWatch;
use crate::entry::relay_hosts::RelayHosts;
use crate::entry::transfer_gate::TransferGate;
use crate::gateway_metrics::GatewayMetrics;
use crate::link::log_limit;
use crate::memory::MemoryGate;
use crate::ports::ProtocolAdapter;
use crate::ports::TargetDialer;
use crate::targets::TargetConnections;

/// Time after the start within which a host connects to the control hosts that it can reach: some
/// attempts with their timeouts, also to those that others name.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// Fraction of its part of the global retry budget that this host uses. The remainder allows for
/// requests that other hosts count in a different window.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// Fraction of the process's memory for requests and responses. The largest body of the usual
/// configuration (64 MiB) fits on hosts of 120 MB; an idle host uses 5 to 10 MB.
const MEMORY_SHARE: f64 = 0.625;
/// Size of the kernel's buffers of a caller's connection, in bytes. The links of entry hosts have up
/// to 5 Mbit/s, which this fills at round trips of 100 ms.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Bounds for remembering requests that crash targets: `capacity` bounds memory, `hold` outlasts a
/// caller's retries.
const QUARANTINE_OPTIONS: QuarantineOptions =
    QuarantineOptions { capacity: 256, hold: Duration::from_secs(120) };

/// State shared by the tasks of an entry host, all of which run on one thread.
pub(crate) struct EntryHost {
    pub(crate) settings: RefCell<GatewaySettings>,
    pub(crate) adapter: Rc<dyn ProtocolAdapter>,
    pub(crate) clock: BootClock,
    pub(crate) metrics: Rc<GatewayMetrics>,
    /// What this host holds for callers and other hosts.
    pub(crate) memory: Rc<MemoryGate>,
    /// The replicated state as far as this host has received it.
    pub(crate) learned: RefCell<LearnedState>,
    /// Whether the state has once been as recent as that of a control host in contact with a
    /// majority.
    pub(crate) has_caught_up: Cell<bool>,
    /// Whether this host is connected to a control host in contact with a majority, or to most of the
    /// control hosts that it knows.
    pub(crate) reaches_majority: Cell<bool>,
    /// When a control host in contact with a majority was last heard.
    pub(crate) last_contact: Cell<Timestamp>,
    pub(crate) pool: RefCell<TargetPool>,
    /// When the state last contained everything that a control host in contact with a majority had
    /// announced.
    pub(crate) current_at: Cell<Option<Timestamp>>,
    /// The evacuated zones of the state.
    pub(super) evacuated: RefCell<EvacuatedZones>,
    /// When the pool was last brought up to date.
    pub(super) pool_updated_at: Cell<Instant>,
    /// Whether targets have changed since.
    pub(super) is_pool_stale: Cell<bool>,
    pub(crate) queue: RefCell<RequestQueue>,
    /// Limits requests to holders that the control leader reports as overloaded.
    pub(crate) throttle: RefCell<HolderThrottle>,
    /// Limits on the rate of requests that targets have named to this host.
    pub(crate) named_limits: RefCell<LimitTable>,
    /// Those that targets have named to any host.
    limits: RefCell<LimitTable>,
    pub(crate) cold: ColdWatch,
    /// Number of hosts among which these limits and the retry budget are divided.
    sharing_hosts: Cell<HostCount>,
    pub(crate) waiters: RefCell<BTreeMap<u64, oneshot::Sender<SendPermit>>>,
    pub(crate) connections: TargetConnections,
    /// Whether this host has lost its path to targets.
    is_path_lost: Cell<bool>,
    /// Whether open connections to targets do not work either.
    is_path_silent: watch::Sender<bool>,
    /// Entry hosts that forward requests while this host cannot reach targets.
    pub(crate) relays: RelayHosts,
    /// Keeps large responses from filling the link.
    pub(crate) transfers: TransferGate,
    pub(crate) quarantine: RefCell<CrashQuarantine>,
    /// Bytes of bodies that are in flight at targets.
    pub(crate) sent_bytes: RefCell<SentBytes>,
    /// Requests that are in flight at targets.
    pub(crate) in_flight: RefCell<Vec<(RangeHolder, RequestFingerprint)>>,
    /// When this host learned of a pending move of a key range, by service and first key.
    pub(crate) move_started: RefCell<BTreeMap<(ServiceName, u16), Timestamp>>,
    /// Number of requests by service and key since the last report.
    pub(crate) request_counts: RefCell<BTreeMap<(ServiceName, u16), u32>>,
    pub(super) preferred_targets: RefCell<PreferredTargets>,
    /// When this process started.
    pub(crate) started_at: Instant,
    /// Notified when the replicated state has changed.
    pub(crate) state_changed: Notify,
    /// Notified when a change may let a queued request start.
    pub(crate) admission_wakeup: Notify,
    /// Whether the host is shutting down: it reports itself as not ready and closes connections
    /// after their current response.
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) closing: watch::Sender<bool>,
    /// When the process ends, once the host has been told to stop.
    pub(crate) stops_at: Cell<Option<Instant>>,
    /// Second attempts for slow requests; `None` while they are turned off.
    pub(crate) hedging: RefCell<Option<HedgePlanner>>,
    retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    split_cursors: RefCell<BTreeMap<Arc<str>, WeightedRoundRobin>>,
    next_number: Cell<u64>,
}

impl EntryHost {
    pub(crate) fn new(
        settings: GatewaySettings,
        adapter: Rc<dyn ProtocolAdapter>,
        dialer: Rc<dyn TargetDialer>,
    ) -> Rc<Self> {
        let transfers = TransferGate::new(settings.link_rate);
        let metrics = Rc::new(GatewayMetrics::default());
        let memory = MemoryGate::new(&settings, MEMORY_SHARE, SOCKET_BUFFER_BYTES, metrics.clone());
        let pool = TargetPool::new(settings.host.clone(), settings.zone.clone());
        Rc::new(Self {
            settings: RefCell::new(settings),
            adapter,
            clock: BootClock,
            metrics,
            memory,
            learned: RefCell::default(),
            has_caught_up: Cell::new(false),
            reaches_majority: Cell::new(false),
            last_contact: Cell::new(Timestamp::ZERO),
            pool: RefCell::new(pool),
            current_at: Cell::new(None),
            evacuated: RefCell::default(),
            pool_updated_at: Cell::new(Instant::now()),
            is_pool_stale: Cell::new(false),
            queue: RefCell::default(),
            throttle: RefCell::default(),
            named_limits: RefCell::default(),
            limits: RefCell::default(),
            cold: ColdWatch::default(),
            sharing_hosts: Cell::default(),
            waiters: RefCell::default(),
            connections: TargetConnections::new(dialer.clone()),
            is_path_lost: Cell::new(false),
            is_path_silent: watch::Sender::new(false),
            relays: RelayHosts::new(dialer),
            transfers,
            quarantine: RefCell::new(CrashQuarantine::new(QUARANTINE_OPTIONS)),
            sent_bytes: RefCell::default(),
            in_flight: RefCell::default(),
            move_started: RefCell::default(),
            request_counts: RefCell::default(),
            preferred_targets: RefCell::default(),
            started_at: Instant::now(),
            state_changed: Notify::new(),
            admission_wakeup: Notify::new(),
            is_stopping: Cell::new(false),
            closing: watch::Sender::new(false),
            stops_at: Cell::new(None),
            hedging: RefCell::default(),
            retry_budgets: RefCell::default(),
            split_cursors: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Puts options in force.
    pub(crate) fn set_options(&self, options: GatewayOptions) {
        let share = options.hedging.max_share;
        let mut hedging = self.hedging.borrow_mut();
        match &mut *hedging {
            Some(planner) if share > 0.0 => planner.set_max_share(share),
            _ => *hedging = (share > 0.0).then(|| HedgePlanner::new(share)),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.state().config().cloned()
    }

    /// Returns the configuration by which requests are served. There is none until this host's state
    /// was once as recent as that of a control host in contact with a majority: others may lack what
    /// was acknowledged since. A host that has not reached most control hosts within
    /// [`CONFIRMATION_TIME`] is cut off with those that it reaches, and serves by their state.
    pub(crate) fn serving_config(&self) -> Option<Arc<RoutingConfig>> {
        let is_cut_off = !self.reaches_majority.get();
        let may_serve = self.has_caught_up.get()
            || is_cut_off && self.started_at.elapsed() >= CONFIRMATION_TIME;
        self.config().filter(|_| may_serve)
    }

    /// Whether the load balancer should send callers to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_caught_up.get() && self.config().is_some() && !self.is_stopping.get()
    }

    /// Whether a request may be sent to a target now: not if this host closes its connections and
    /// might end before the response.
    pub(crate) fn may_send(&self, params: &AdmissionParams) -> bool {
        let is_closing = *self.closing.borrow();
        !is_closing || self.stops_at.get().is_none_or(|end| params.deadline <= end)
    }

    /// Whether this host can forward requests of other entry hosts.
    pub(crate) fn takes_relays(&self) -> bool {
        self.is_ready() && !self.connections.path().is_lost()
    }

    /// Whether this host cannot reach the targets that a request may be sent to, so that it has to
    /// go through another host.
    pub(crate) fn lacks_path(&self, params: &AdmissionParams) -> bool {
        let is_lost = self.connections.path().is_lost();
        let (now, pool) = (self.now(), self.pool.borrow());
        match self.holder(params) {
            Some(holder) if is_lost => pool
                .target(&holder.target)
                .is_none_or(|target| !self.connections.has_idle(target.record.address)),
            Some(holder) => pool.is_holder_unreachable(now, &holder),
            None if params.key.is_some() => is_lost,
            None if is_lost => !pool
                .targets_of(&params.service)
                .any(|target| self.connections.has_idle(target.record.address)),
            None => pool.is_service_unreachable(now, &params.service),
        }
    }

    /// Records that no other host reaches the holder of the request's key either.
    pub(crate) fn record_unreachable_everywhere(&self, params: &AdmissionParams) {
        if let Some(holder) = self.holder(params) {
            self.pool.borrow_mut().record_unreachable_everywhere(&holder);
        }
    }

    /// Returns the holder of the request's key, if it has a key and the key has a holder.
    fn holder(&self, params: &AdmissionParams) -> Option<RangeHolder> {
        let state = self.state();
        state.table(&params.service)?.find(params.key?).holder.clone()
    }

    /// Waits until this host has lost its path to targets, and open connections do not work either.
    pub(crate) async fn path_silence(&self) {
        let mut silence = self.is_path_silent.subscribe();
        // The sender is part of this host.
        silence.wait_for(|is_silent| *is_silent).await.ok();
    }

    /// Acts on a change of this host's path to targets.
    pub(crate) fn update_path(&self) {
        let (is_lost, is_silent) = {
            let path = self.connections.path();
            (path.is_lost(), path.is_lost() && path.is_silent(self.now()))
        };
        self.is_path_silent.send_replace(is_silent);
        if is_silent {
            self.connections.close_all_idle();
        }
        if self.is_path_lost.replace(is_lost) == is_lost {
            return;
        }
        self.metrics.is_path_lost.set(i64::from(is_lost));
        let event = if is_lost { "target_path_lost" } else { "target_path_restored" };
        let known = self.pool.borrow().serving_count();
        log::info!(
            "event={event} targets={known} waiting={} silent={is_silent}",
            self.queue.borrow().len(),
        );
        if is_lost {
            // Queued requests stop waiting for targets and are sent through relays.
            self.waiters.borrow_mut().clear();
        } else {
            self.admission_wakeup.notify_one();
        }
    }

    /// Returns the replicated state.
    pub(crate) fn state(&self) -> Ref<'_, FleetState> {
        Ref::map(self.learned.borrow(), LearnedState::state)
    }

    /// Returns the log index of the replicated state.
    pub(crate) fn applied(&self) -> u64 {
        self.learned.borrow().applied()
    }

    /// Selects the service for the next request of a route, by the weights of its shares.
    pub(crate) fn choose_service(&self, host: &str, rule: &RouteRule) -> Option<ServiceName> {
        if let [share] = &rule.shares[..] {
            return Some(share.service.clone());
        }
        let route = Arc::from(format!("{host}{}", rule.path_prefix));
        self.split_cursors.borrow_mut().entry(route).or_default().next(rule).cloned()
    }

    /// Counts a request for the retry budget and, if it has a key, for the reports from which the
    /// leader plans key ranges.
    pub(crate) fn record_request(&self, service: &ServiceName, key: Option<u16>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
        if let Some(key) = key {
            *self.request_counts.borrow_mut().entry((service.clone(), key)).or_default() += 1;
        }
    }

    /// Records what a target said to this host about the rate of requests that it takes.
    pub(crate) fn record_named_limit(&self, limit: TargetLimit) {
        self.named_limits.borrow_mut().record(limit.clone());
        self.record_limits([limit]);
    }

    /// Records what targets said to any host about the rate of requests that they take.
    pub(crate) fn record_limits(&self, limits: impl IntoIterator<Item = TargetLimit>) {
        let mut is_changed = false;
        for limit in limits {
            let (holder, per_second) = (limit.holder.clone(), limit.per_second);
            if self.limits.borrow_mut().record(limit) {
                log_limit(&holder, per_second);
                is_changed = true;
            }
        }
        if is_changed {
            self.apply_limits();
        }
    }

    /// Records the number of entry hosts in all zones, as reported by the leader.
    pub(crate) fn record_host_count(&self, count: usize) {
        let mut sharing_hosts = self.sharing_hosts.get();
        let before = sharing_hosts.peak();
        sharing_hosts.record(self.now(), u32::try_from(count).unwrap_or(u32::MAX));
        self.sharing_hosts.set(sharing_hosts);
        let divisor = usize::try_from(sharing_hosts.divisor()).unwrap_or(usize::MAX);
        self.pool.borrow_mut().set_host_count(divisor);
        let peak = sharing_hosts.peak();
        if peak != before {
            log::info!("event=host_count hosts={} was={}", peak.unwrap_or(0), before.unwrap_or(0));
            self.apply_limits();
        }
    }

    /// Applies the limits of targets to the pool, and drops those of targets that have ended.
    pub(super) fn apply_limits(&self) {
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        for table in [&self.named_limits, &self.limits] {
            table.borrow_mut().expire(now, |holder| pool.live_target(holder).is_some());
        }
        let host_count = self.sharing_hosts.get().divisor();
        pool.set_limits(now, &self.limits.borrow(), host_count);
        drop(pool);
        self.admission_wakeup.notify_one();
    }

    /// Takes one retry from the service's budget. Returns `false` if none is left.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_retry(now))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let (share, floor) = {
            let settings = self.settings.borrow();
            (settings.retry_share * RETRY_BUDGET_SHARE, settings.retry_floor * RETRY_BUDGET_SHARE)
        };
        let now = self.now();
        let host_count = self.sharing_hosts.get().peak();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::without_tokens(share, now));
        // While the number of hosts is unknown, so is this host's part of the floor.
        budget.set_min_retries(host_count.map_or(0.0, |count| floor / f64::from(count)));
        act(budget)
    }
}
