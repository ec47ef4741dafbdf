use std::cell::Cell;

use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::TargetView;

/// The targets of one service among those of a pool.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTargets {
    pub(crate) service: ServiceName,
    /// Positions in the pool, sorted.
    pub(crate) positions: Vec<usize>,
    /// Median response time in seconds, and when it was computed.
    pub(crate) typical: Cell<Option<(Timestamp, f64)>>,
}

impl ServiceTargets {
    /// Groups the targets of a pool; the groups are sorted by service.
    pub(crate) fn group(targets: &[TargetView]) -> Vec<Self> {
        let mut groups: Vec<Self> = Vec::new();
        for (position, target) in targets.iter().enumerate() {
            let service = &target.record.service;
            match groups.binary_search_by(|group| group.service.cmp(service)) {
                Ok(index) => groups[index].positions.push(position),
                Err(index) => {
                    let (service, positions) = (service.clone(), vec![position]);
                    groups.insert(index, Self { service, positions, typical: Cell::new(None) });
                }
            }
        }
        groups
    }
}
