use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gw_dispatch::LoadView;
use gw_dispatch::SplitMix;
use gw_dispatch::TargetCandidate;
use gw_dispatch::TargetChooser;
use gw_dispatch::chooser_for;
use gw_profile::SpreadRules;
use gw_types::ServiceName;
use gw_types::ServiceRoutes;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Share of its work slots that a starting target is assumed to have. An estimate: the exact slow
/// start of the profile is applied by the dispatcher's queue.
const STARTING_SHARE: f64 = 0.3;

/// Picks targets of unkeyed services by the load that this host observes.
pub(crate) struct TargetPicker {
    state: Mutex<PickerState>,
}

struct PickerState {
    view: LoadView,
    random: SplitMix,
    choosers: HashMap<ServiceName, (SpreadRules, Box<dyn TargetChooser>)>,
}

impl TargetPicker {
    pub(crate) fn new(seed: u64) -> Self {
        let (view, random, choosers) = (LoadView::new(), SplitMix::new(seed), HashMap::new());
        Self { state: Mutex::new(PickerState { view, random, choosers }) }
    }

    fn lock(&self) -> MutexGuard<'_, PickerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks a target that accepts work and for which `may_use` returns `true`.
    pub(crate) fn pick<'a>(
        &self,
        now: Timestamp,
        service: &'a ServiceRoutes,
        rules: &SpreadRules,
        zone: &ZoneName,
        may_use: impl Fn(&TargetEntry) -> bool,
    ) -> Option<&'a TargetEntry> {
        let usable: Vec<_> = service
            .targets()
            .filter(|(_, entry)| entry.state.accepts_work() && entry.dispatcher.is_some())
            .filter(|(_, entry)| may_use(entry))
            .collect();
        let candidates: Vec<_> =
            usable.iter().map(|(at, entry)| candidate(entry, *at == zone)).collect();
        let mut state = self.lock();
        let PickerState { view, random, choosers } = &mut *state;
        let name = &service.definition.name;
        if choosers.get(name).is_none_or(|(known, _)| known != rules) {
            choosers.insert(name.clone(), (rules.clone(), chooser_for(rules)));
        }
        let (_, chooser) = choosers.get_mut(name)?;
        let index = chooser.choose(now, view, &candidates, random)?;
        usable.get(index).map(|(_, entry)| *entry)
    }
}

fn candidate(entry: &TargetEntry, is_own_zone: bool) -> TargetCandidate {
    let share = if entry.state == TargetState::Starting { STARTING_SHARE } else { 1.0 };
    TargetCandidate { target: entry.name.clone(), is_own_zone, work_slots: entry.work_slots, share }
}

/// Counts one request as outstanding at its target until dropped.
pub(crate) struct LoadGuard {
    picker: Arc<TargetPicker>,
    target: TargetName,
    sent: Instant,
    answered: Option<Duration>,
}

impl LoadGuard {
    pub(crate) fn new(picker: &Arc<TargetPicker>, now: Timestamp, target: &TargetName) -> Self {
        picker.lock().view.record_sent(now, target);
        Self {
            picker: picker.clone(),
            target: target.clone(),
            sent: Instant::now(),
            answered: None,
        }
    }

    pub(crate) fn set_answered(&mut self) {
        self.answered = Some(self.sent.elapsed());
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.picker.lock().view.record_ended(&self.target, self.answered);
    }
}
