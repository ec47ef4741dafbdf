use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gw_balance::HolderThrottle;
use gw_balance::PreferredTargets;
use gw_balance::RequestQueue;
use gw_balance::TargetPool;
use gw_daemon::BootClock;
use gw_dispatch::CrashQuarantine;
use gw_dispatch::QuarantineOptions;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RetryBudget;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
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

use crate::GatewaySettings;
use crate::entry::admission::Ticket;
use crate::metrics_page::MetricsPage;
use crate::ports::ProtocolAdapter;
use crate::targets::TargetConnections;

/// Share of the retry budget of all hosts that this host uses. The rest covers requests that other
/// hosts count in another window.
const BUDGET_USE: f64 = 0.8;
/// How requests that crash targets are remembered: the number is a bound on memory, the time
/// outlasts the resends of a caller.
const QUARANTINE: QuarantineOptions =
    QuarantineOptions { capacity: 256, hold: Duration::from_secs(120) };

/// Everything that the tasks of an entry host share. All of them run on one thread.
pub(crate) struct EntryHost {
    pub(crate) settings: RefCell<GatewaySettings>,
    pub(crate) dialect: Rc<dyn ProtocolAdapter>,
    pub(crate) clock: BootClock,
    pub(crate) metrics: MetricsPage,
    /// The learnt state.
    pub(crate) state: RefCell<FleetState>,
    /// Index of the learnt state; 0 until something was learnt.
    pub(crate) applied: Cell<u64>,
    /// Whether the state was once as new as that of a control host in contact with a majority.
    pub(crate) was_current: Cell<bool>,
    /// When a control host in contact with a majority was last heard.
    pub(crate) current_at: Cell<Timestamp>,
    pub(crate) pool: RefCell<TargetPool>,
    pub(crate) line: RefCell<RequestQueue>,
    /// Overloaded holders of keys, as the leader sees them.
    pub(crate) gate: RefCell<HolderThrottle>,
    pub(crate) waiters: RefCell<BTreeMap<u64, oneshot::Sender<Ticket>>>,
    pub(crate) connections: TargetConnections,
    pub(crate) quarantine: RefCell<CrashQuarantine>,
    /// Requests at targets.
    pub(crate) in_flight: RefCell<Vec<(RangeHolder, RequestFingerprint)>>,
    /// When the move of a key range was learnt, by service and first key.
    pub(crate) moves: RefCell<BTreeMap<(ServiceName, u16), Timestamp>>,
    /// Requests by service and key since the last report.
    pub(crate) heat: RefCell<BTreeMap<(ServiceName, u16), u32>>,
    pub(crate) homes: RefCell<PreferredTargets>,
    /// Entry hosts of all zones that control hosts know.
    pub(crate) host_count: Cell<usize>,
    /// Something changed that may let a waiting request start.
    pub(crate) room: Notify,
    /// Whether the host stops: it is not ready, and answers end their connections.
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) closing: watch::Sender<bool>,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    splits: RefCell<BTreeMap<Arc<str>, WeightedRoundRobin>>,
    next_number: Cell<u64>,
}

impl EntryHost {
    pub(crate) fn new(settings: GatewaySettings, dialect: Rc<dyn ProtocolAdapter>) -> Rc<Self> {
        let pool = TargetPool::new(settings.host.clone(), settings.zone.clone());
        Rc::new(Self {
            settings: RefCell::new(settings),
            dialect,
            clock: BootClock,
            metrics: MetricsPage::default(),
            state: RefCell::default(),
            applied: Cell::new(0),
            was_current: Cell::new(false),
            current_at: Cell::new(Timestamp::ZERO),
            pool: RefCell::new(pool),
            line: RefCell::default(),
            gate: RefCell::default(),
            waiters: RefCell::default(),
            connections: TargetConnections::default(),
            quarantine: RefCell::new(CrashQuarantine::new(QUARANTINE)),
            in_flight: RefCell::default(),
            moves: RefCell::default(),
            heat: RefCell::default(),
            homes: RefCell::default(),
            host_count: Cell::new(1),
            room: Notify::new(),
            is_stopping: Cell::new(false),
            closing: watch::Sender::new(false),
            budgets: RefCell::default(),
            splits: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.state.borrow().config().cloned()
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.was_current.get() && self.state.borrow().config().is_some() && !self.is_stopping.get()
    }

    /// Takes a whole state, unless the own one is newer.
    pub(crate) fn install(&self, index: u64, state: FleetState) {
        if index <= self.applied.get() && self.applied.get() > 0 {
            return;
        }
        log::info!(
            "event=state_installed index={index} config={} targets={}",
            state.config_version(),
            state.targets().len(),
        );
        *self.state.borrow_mut() = state;
        self.applied.set(index);
        self.follow_state();
    }

    /// Applies what follows the own state. Returns whether there was no gap.
    pub(crate) fn update(
        &self,
        after: u64,
        through: u64,
        commands: &[(u64, FleetCommand)],
    ) -> bool {
        let applied = self.applied.get();
        if applied < after {
            return false;
        }
        if through <= applied {
            return true;
        }
        for (_, command) in commands.iter().filter(|(index, _)| *index > applied) {
            let before = self.state.borrow().config_version();
            let outcome = self.state.borrow_mut().apply(command);
            if matches!(command, FleetCommand::PatchConfig(_))
                && outcome == FleetOutcome::Superseded
            {
                log::error!("event=config_change_unfit held={before}");
                // The whole state is asked for, as by a host that knows nothing.
                self.applied.set(0);
                return false;
            }
            log_change(command);
            let version = self.state.borrow().config_version();
            if version != before {
                log::info!("event=config_in_force version={version} was={before}");
            }
        }
        self.applied.set(through);
        self.follow_state();
        true
    }

    /// Lets everything that follows from the state follow it.
    pub(crate) fn follow_state(&self) {
        let now = self.now();
        let state = self.state.borrow();
        self.pool.borrow_mut().update(now, state.targets(), &self.homes.borrow());
        self.metrics.config_version.set(state.config_version().0 as i64);
        self.metrics.state_index.set(self.applied.get() as i64);
        let mut moves = std::mem::take(&mut *self.moves.borrow_mut());
        let services = state.config().map_or(&[][..], |config| &config.services);
        for spec in services.iter().filter(|spec| spec.is_keyed) {
            let Some(table) = state.table(&spec.name) else { continue };
            let moving = table.assignments().iter().filter(|held| held.successor.is_some());
            for held in moving {
                let key = (spec.name.clone(), held.range.first);
                let since = moves.remove(&key).unwrap_or(now);
                self.moves.borrow_mut().insert(key, since);
            }
        }
        drop(state);
        self.room.notify_one();
    }

    /// The service of the next request of a route.
    pub(crate) fn choose_service(&self, host: &str, rule: &RouteRule) -> Option<ServiceName> {
        if let [share] = &rule.shares[..] {
            return Some(share.service.clone());
        }
        let route = Arc::from(format!("{host}{}", rule.path_prefix));
        self.splits.borrow_mut().entry(route).or_default().next(rule).cloned()
    }

    /// Counts a caller's request for the retry budget, and its key for the plan of key ranges.
    pub(crate) fn note_request(&self, service: &ServiceName, key: Option<u16>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
        if let Some(key) = key {
            *self.heat.borrow_mut().entry((service.clone(), key)).or_default() += 1;
        }
    }

    /// Takes a retry from the budget.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_retry(now))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let (share, floor) = {
            let settings = self.settings.borrow();
            (settings.retry_share * BUDGET_USE, settings.retry_floor * BUDGET_USE)
        };
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(share, now));
        budget.set_min_retries(floor / self.host_count.get().max(1) as f64);
        act(budget)
    }
}

fn log_change(command: &FleetCommand) {
    match command {
        FleetCommand::PutTarget(record) => log::info!(
            "event=target_known target={} run={} service={} address={} phase={:?}",
            record.name,
            record.run,
            record.service,
            record.address,
            record.phase,
        ),
        FleetCommand::RemoveTarget { name, cause, .. } => {
            log::info!("event=target_removed target={name} cause={cause:?}");
        }
        FleetCommand::ChangeRanges(change) => log::debug!("event=ranges_changed change={change:?}"),
        _ => {}
    }
}
