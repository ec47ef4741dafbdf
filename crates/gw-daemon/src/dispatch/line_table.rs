use std::sync::Arc;

use arc_swap::ArcSwap;
use gw_node::DispatchPlan;

use super::TargetLine;
use crate::TrafficState;

/// The lines of all targets that this host dispatches to.
#[derive(Default)]
pub(crate) struct LineTable {
    /// Sorted by target name. Replaced as a whole; readers never lock.
    lines: ArcSwap<Vec<Arc<TargetLine>>>,
}

impl LineTable {
    /// Keeps the lines of targets that run on, makes lines for new ones and closes the others. Only
    /// the control thread calls this.
    pub(crate) fn apply(&self, state: &Arc<TrafficState>, plan: &DispatchPlan) {
        let old = self.lines.load_full();
        let lines: Vec<_> = plan
            .assignments
            .iter()
            .map(|duty| {
                let known = find(&old, duty.target.name.as_str()).filter(|line| {
                    let target = &line.duty.target;
                    target.boot == duty.target.boot
                        && target.address == duty.target.address
                        && target.work_slots == duty.target.work_slots
                });
                known.cloned().unwrap_or_else(|| Arc::new(TargetLine::new(state, duty)))
            })
            .collect();
        self.lines.store(Arc::new(lines.clone()));
        for line in old.iter().filter(|line| !lines.iter().any(|kept| Arc::ptr_eq(kept, line))) {
            line.close();
        }
    }

    /// The line of `target`.
    pub(crate) fn get(&self, target: &str) -> Option<Arc<TargetLine>> {
        find(&self.lines.load(), target).cloned()
    }

    /// Requests that wait in all lines.
    pub(crate) fn waiting(&self) -> usize {
        self.lines.load().iter().map(|line| line.waiting()).sum()
    }
}

fn find<'a>(lines: &'a [Arc<TargetLine>], target: &str) -> Option<&'a Arc<TargetLine>> {
    let search = lines.binary_search_by(|line| line.duty.target.name.as_str().cmp(target));
    search.ok().map(|index| &lines[index])
}
