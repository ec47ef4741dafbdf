use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gw_node::LoadReport;
use gw_placement::KeyCounter;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::SlotIndex;

/// Number of keys counted for each service. A key with more than 1/128 of the load is always among
/// them.
const MAX_COUNTED_KEYS: usize = 128;

/// Largest numbers of keys and slots in one report. They limit a report to about 1 KB, so that the
/// reports of a few services stay within the 3 KB/s that a host may use for control traffic.
const MAX_REPORTED_KEYS: usize = 32;
const MAX_REPORTED_SLOTS: usize = 96;

/// Service time for each key and slot since the last report, measured at the targets that this host
/// dispatches to.
#[derive(Default)]
pub(crate) struct LoadMeter {
    services: Mutex<BTreeMap<ServiceName, ServiceLoad>>,
}

struct ServiceLoad {
    keys: KeyCounter,
    slots: HashMap<SlotIndex, u64>,
}

impl LoadMeter {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceLoad>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the service time of one request.
    pub(crate) fn observe(&self, service: &ServiceName, key: KeyHash, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1);
        let mut services = self.lock();
        if !services.contains_key(service) {
            let load =
                ServiceLoad { keys: KeyCounter::new(MAX_COUNTED_KEYS), slots: HashMap::new() };
            services.insert(service.clone(), load);
        }
        if let Some(load) = services.get_mut(service) {
            load.keys.add(key, micros);
            *load.slots.entry(key.slot()).or_default() += micros;
        }
    }

    /// Returns a report for each service that had traffic, and resets the counters.
    pub(crate) fn take_reports(&self) -> Vec<LoadReport> {
        let services = std::mem::take(&mut *self.lock());
        services.into_iter().map(|(service, load)| load.report(service)).collect()
    }
}

impl ServiceLoad {
    fn report(mut self, service: ServiceName) -> LoadReport {
        // The lower bound, so that the load of other keys is never attributed to a key.
        let keys = self.keys.heaviest().filter(|load| load.lower > 0);
        let keys: Vec<_> =
            keys.take(MAX_REPORTED_KEYS).map(|load| (load.key, micros(load.lower))).collect();
        for (key, load) in &keys {
            if let Some(sum) = self.slots.get_mut(&key.slot()) {
                *sum = sum.saturating_sub(u64::from(*load));
            }
        }
        let mut slots: Vec<_> = self.slots.into_iter().filter(|(_, load)| *load > 0).collect();
        slots.sort_by_key(|(slot, load)| (std::cmp::Reverse(*load), *slot));
        slots.truncate(MAX_REPORTED_SLOTS);
        let slots = slots.into_iter().map(|(slot, load)| (slot, micros(load))).collect();
        LoadReport { service, keys, slots }
    }
}

fn micros(load: u64) -> u32 {
    u32::try_from(load).unwrap_or(u32::MAX)
}
