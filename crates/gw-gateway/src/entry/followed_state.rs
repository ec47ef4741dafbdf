use std::time::Duration;

use gw_balance::LearningTime;
use gw_balance::PreferredTargets;
use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_fleet::LearnOutcome;
use tokio::time::Instant;

use crate::entry::entry_host::EntryHost;
use crate::wall_clock::unix_millis;

/// Shortest time between two updates of the target pool.
const POOL_UPDATE_INTERVAL: Duration = Duration::from_millis(30);

/// The replicated state that an entry host follows, and what is derived from it.
impl EntryHost {
    /// Installs a complete state, unless the present one is as recent.
    pub(crate) fn install_snapshot(&self, index: u64, state: FleetState) {
        log::info!(
            "event=state_received index={index} config={} targets={}",
            state.config_version(),
            state.targets().len(),
        );
        if self.learned.borrow_mut().install(index, state) == LearnOutcome::Advanced {
            self.is_pool_stale.set(true);
            self.refresh_from_state();
        }
    }

    /// Applies the commands after the present state, up to index `through`. Returns `false` if
    /// commands are missing or do not fit, in which case the sender has to be asked again.
    pub(crate) fn apply_updates(
        &self,
        after: u64,
        through: u64,
        commands: &[(u64, FleetCommand)],
    ) -> bool {
        let mut version = self.state().config_version();
        let inspect = |command: &FleetCommand, state: &FleetState| {
            log_command(command);
            let is_about_target =
                matches!(command, FleetCommand::PutTarget(_) | FleetCommand::RemoveTarget { .. });
            self.is_pool_stale.set(self.is_pool_stale.get() || is_about_target);
            if state.config_version() != version {
                log::info!(
                    "event=config_in_force version={} was={version}",
                    state.config_version()
                );
                version = state.config_version();
            }
        };
        let outcome = self.learned.borrow_mut().apply(after, through, commands, inspect);
        if outcome == LearnOutcome::Advanced {
            self.refresh_from_state();
        }
        if outcome == LearnOutcome::Incomplete && self.learned.borrow().is_damaged() {
            log::error!("event=config_change_unfit held={version}");
        }
        outcome != LearnOutcome::Incomplete
    }

    /// When the pool of targets is due to be brought up to date; `None` if it is.
    ///
    /// An update costs time for every target, and at the start of a large system hundreds of targets
    /// announce themselves one after the other, so updates in quick succession are joined.
    pub(crate) fn pool_due_at(&self) -> Option<Instant> {
        let due_at = self.pool_updated_at.get() + POOL_UPDATE_INTERVAL;
        self.is_pool_stale.get().then_some(due_at)
    }

    /// Brings the pool of targets up to date if that is due.
    pub(crate) fn update_pool(&self) {
        let now = Instant::now();
        if self.pool_due_at().is_none_or(|due_at| now < due_at) {
            return;
        }
        self.is_pool_stale.set(false);
        self.pool_updated_at.set(now);
        let state = self.state();
        let preferred = self.preferred_targets.borrow();
        let mut pool = self.pool.borrow_mut();
        pool.set_state_position(self.applied(), unix_millis());
        pool.update(self.now(), state.targets(), &preferred);
        pool.set_evacuated(&self.evacuated.borrow());
        drop(pool);
        self.apply_limits();
    }

    /// Sets which targets this host prefers.
    pub(crate) fn set_preferred_targets(&self, preferred: PreferredTargets) {
        if *self.preferred_targets.borrow() != preferred {
            *self.preferred_targets.borrow_mut() = preferred;
            self.is_pool_stale.set(true);
            self.update_pool();
        }
    }

    /// Updates everything derived from the state: the target pool, metrics, pending moves, and
    /// queued requests.
    fn refresh_from_state(&self) {
        self.update_pool();
        self.update_evacuations();
        let now = self.now();
        let state = self.state();
        self.metrics.config_version.set(state.config_version().0 as i64);
        self.metrics.state_index.set(self.applied() as i64);
        let mut moves = std::mem::take(&mut *self.move_started.borrow_mut());
        let services = state.config().map_or(&[][..], |config| &config.services);
        for spec in services.iter().filter(|spec| spec.is_keyed) {
            let Some(table) = state.table(&spec.name) else { continue };
            let moving =
                table.assignments().iter().filter(|assignment| assignment.successor.is_some());
            for assignment in moving {
                let key = (spec.name.clone(), assignment.range.first);
                let since = moves.remove(&key).unwrap_or(now);
                self.move_started.borrow_mut().insert(key, since);
            }
        }
        if let Some(planner) = &mut *self.hedging.borrow_mut() {
            planner.retain(|service| services.iter().any(|spec| spec.name == *service));
        }
        drop(state);
        self.state_changed.notify_waiters();
        self.admission_wakeup.notify_one();
    }

    /// Records that the state is as recent as that of a control host in contact with a majority.
    pub(crate) fn record_caught_up(&self) {
        if !self.has_caught_up.replace(true) {
            log::info!("event=state_current index={}", self.applied());
            self.state_changed.notify_waiters();
        }
    }

    /// Waits until this host has a configuration to serve requests by, at most until `end`.
    pub(crate) async fn wait_for_config(&self, end: Instant) {
        let is_configured = async {
            loop {
                let changed = self.state_changed.notified();
                if self.serving_config().is_some() {
                    return;
                }
                changed.await;
            }
        };
        // Without a configuration by then, the request is refused.
        tokio::time::timeout_at(end, is_configured).await.ok();
    }

    /// Takes over the evacuations of the state.
    fn update_evacuations(&self) {
        let learning = LearningTime {
            now: self.now(),
            current_at: self.current_at.get(),
            unix_ms: unix_millis(),
            evacuation_time: self.settings.borrow().evacuation_time,
        };
        let mut zones = self.evacuated.borrow_mut();
        let changes = zones.update(self.state().evacuations(), &learning);
        for (zone, stops_at) in &changes.started {
            let millis = stops_at.since(learning.now).as_millis();
            log::info!("event=evacuation_known zone={zone} stops_in_ms={millis}");
        }
        for zone in &changes.ended {
            log::info!("event=evacuation_withdrawn zone={zone}");
        }
        if !changes.started.is_empty() || !changes.ended.is_empty() {
            self.pool.borrow_mut().set_evacuated(&zones);
        }
        self.record_evacuation_ends(&changes.ended);
        self.metrics.evacuated_zones.set(zones.len() as i64);
    }

    /// Whether any zone is evacuated.
    pub(crate) fn has_evacuations(&self) -> bool {
        !self.evacuated.borrow().is_empty()
    }

    /// Logs the zones to which this host has stopped sending since the last call.
    pub(crate) fn log_stopped_zones(&self) {
        for zone in self.evacuated.borrow_mut().take_stopped(self.now()) {
            log::info!("event=evacuation_in_effect zone={zone}");
        }
    }
}

fn log_command(command: &FleetCommand) {
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
