use gw_ranges::HolderShare;
use gw_ranges::RangeHolder;

/// Largest debt, in requests, that urgent requests may run up beyond the share. Later requests that
/// are not urgent pay for it.
const MAX_URGENT_DEBT: f64 = 3.0;

struct ThrottledHolder {
    share: HolderShare,
    /// Requests that may be sent now. Below 0 after urgent requests exceeded the share; below 2.
    credit: f64,
}

/// Limits the requests to overloaded holders of keys to a share that the control leader sets.
///
/// Every entry host has its own throttle and admits the same fraction of its requests.
#[derive(Default)]
pub struct HolderThrottle {
    /// Sorted by holder.
    holders: Vec<ThrottledHolder>,
}

impl HolderThrottle {
    /// Replaces the list of overloaded holders, which is sorted by holder. Holders that stay in the
    /// list keep their credit; new ones start with `first_credit`, between 0 and 1. It should
    /// differ between hosts, so that they do not all admit their first request.
    pub fn update(&mut self, shares: Vec<HolderShare>, first_credit: f64) {
        let old = std::mem::take(&mut self.holders);
        let credit_of = |holder: &RangeHolder| {
            let found = old.binary_search_by(|throttled| throttled.share.holder.cmp(holder));
            found.map_or(first_credit, |index| old[index].credit)
        };
        let throttled = shares.into_iter().map(|share| {
            let credit = credit_of(&share.holder);
            ThrottledHolder { share, credit }
        });
        self.holders = throttled.collect();
    }

    /// Returns whether the next request for `holder` may be sent, and counts it against the share.
    /// Urgent requests are always admitted.
    pub fn admit(&mut self, holder: &RangeHolder, is_urgent: bool) -> bool {
        let found = self.holders.binary_search_by(|throttled| throttled.share.holder.cmp(holder));
        let Ok(index) = found else { return true };
        let throttled = &mut self.holders[index];
        throttled.credit += throttled.share.share;
        let is_admitted = is_urgent || throttled.credit >= 1.0;
        if is_admitted {
            throttled.credit = (throttled.credit - 1.0).max(-MAX_URGENT_DEBT);
        }
        is_admitted
    }

    /// Returns the admitted fraction of the requests for `holder`; `None` if it is not overloaded.
    pub fn share_of(&self, holder: &RangeHolder) -> Option<f64> {
        let found = self.holders.binary_search_by(|throttled| throttled.share.holder.cmp(holder));
        found.ok().map(|index| self.holders[index].share.share)
    }
}
