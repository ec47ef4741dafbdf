use std::time::Duration;

use gw_fleet::ZoneEvacuation;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Part of the time limit of an evacuation that passes before a host learns of it: the control log's
/// changes reach it within 120 ms or are requested, and a control host counts as current for 600 ms
/// after it last heard the leader.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// What an entry host knows about the time at which it learns of evacuations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearningTime {
    /// The present time.
    pub now: Timestamp,
    /// When this host's state last contained everything that a control host in contact with a
    /// majority had announced; `None` if it never did.
    pub current_at: Option<Timestamp>,
    /// Milliseconds since 1970 by this host's clock, which may differ from the leader's.
    pub unix_ms: u64,
    /// Time after the acknowledgement of an evacuation from which no request may reach the zone.
    pub evacuation_time: Duration,
}

impl LearningTime {
    /// Returns when holders of keys in the zone get their last request.
    ///
    /// A host that has missed nothing has just learnt of the evacuation. One that has restarted or
    /// was cut off may find an evacuation that is minutes old, which only the wall clocks show.
    fn stops_at(&self, evacuation: &ZoneEvacuation) -> Timestamp {
        let by_wall_clock =
            Duration::from_millis(self.unix_ms.saturating_sub(evacuation.since_unix_ms));
        let longest = self.current_at.map_or(Duration::MAX, |at| self.now.since(at));
        let serving_time = self.evacuation_time.saturating_sub(LEARNING_TIME);
        self.now + serving_time.saturating_sub(by_wall_clock.min(longest))
    }
}

/// An evacuated zone, as far as an entry host is concerned.
#[derive(Clone, Debug)]
struct EvacuatedZone {
    evacuation: ZoneEvacuation,
    /// When holders of keys in the zone get their last request.
    stops_at: Timestamp,
    /// Whether [`EvacuatedZones::take_stopped`] has returned the zone.
    is_stop_reported: bool,
}

/// What has changed between two lists of evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// New evacuations, with the time at which holders of keys in the zone get their last request.
    pub started: Vec<(ZoneName, Timestamp)>,
    /// Zones that are no longer evacuated.
    pub ended: Vec<ZoneName>,
}

/// The evacuated zones, and when this host stops sending to holders of keys in them.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    /// Sorted by zone.
    zones: Vec<EvacuatedZone>,
}

impl EvacuatedZones {
    /// Takes over the replicated list, sorted by zone. An evacuation that is in both lists keeps its
    /// time; one that was withdrawn and requested again is a new one.
    pub fn update(
        &mut self,
        evacuations: &[ZoneEvacuation],
        learning: &LearningTime,
    ) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        let mut old = std::mem::take(&mut self.zones);
        for evacuation in evacuations {
            let known = old.iter().position(|known| known.evacuation == *evacuation);
            let zone = known.map(|index| old.remove(index)).unwrap_or_else(|| {
                let stops_at = learning.stops_at(evacuation);
                changes.started.push((evacuation.zone.clone(), stops_at));
                let evacuation = evacuation.clone();
                EvacuatedZone { evacuation, stops_at, is_stop_reported: false }
            });
            self.zones.push(zone);
        }
        changes.ended = old
            .into_iter()
            .map(|ended| ended.evacuation.zone)
            .filter(|zone| self.stops_at(zone).is_none())
            .collect();
        changes
    }

    /// Returns when holders of keys in `zone` get their last request; `None` if the zone is not
    /// evacuated.
    pub fn stops_at(&self, zone: &ZoneName) -> Option<Timestamp> {
        let found = self.zones.binary_search_by(|known| known.evacuation.zone.cmp(zone));
        found.ok().map(|index| self.zones[index].stops_at)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns the zones whose holders of keys get nothing any more, each of them once.
    pub fn take_stopped(&mut self, now: Timestamp) -> Vec<ZoneName> {
        let stopped =
            self.zones.iter_mut().filter(|zone| zone.stops_at <= now && !zone.is_stop_reported);
        stopped
            .map(|zone| {
                zone.is_stop_reported = true;
                zone.evacuation.zone.clone()
            })
            .collect()
    }
}
