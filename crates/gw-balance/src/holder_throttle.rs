use gw_ranges::HolderShare;
use gw_ranges::RangeHolder;

/// How far urgent requests may go ahead of the share, in requests. What they take beyond it is taken
/// from the others later.
const LARGEST_DEBT: f64 = 3.0;

struct GatedHolder {
    share: HolderShare,
    /// Requests that may go now; below 0 after urgent ones went ahead. Below 2.
    credit: f64,
}

/// Lets only a part of the requests go to holders of keys that are asked for more than they can run.
///
/// Every host has its own gate and lets the same part of its requests pass.
#[derive(Default)]
pub struct HolderThrottle {
    /// Sorted by holder.
    holders: Vec<GatedHolder>,
}

impl HolderThrottle {
    /// Follows the overloaded holders, sorted by holder. Of a holder that was named before, the
    /// credit stays. `first_credit` between 0 and 1 should differ between hosts, so that they do not
    /// all let their first request pass.
    pub fn update(&mut self, shares: Vec<HolderShare>, first_credit: f64) {
        let old = std::mem::take(&mut self.holders);
        let credit_of = |holder: &RangeHolder| {
            let found = old.binary_search_by(|gated| gated.share.holder.cmp(holder));
            found.map_or(first_credit, |index| old[index].credit)
        };
        let gated = shares.into_iter().map(|share| {
            let credit = credit_of(&share.holder);
            GatedHolder { share, credit }
        });
        self.holders = gated.collect();
    }

    /// Whether the next request for `holder` may go. Urgent ones always may.
    pub fn admit(&mut self, holder: &RangeHolder, is_urgent: bool) -> bool {
        let found = self.holders.binary_search_by(|gated| gated.share.holder.cmp(holder));
        let Ok(index) = found else { return true };
        let gated = &mut self.holders[index];
        gated.credit += gated.share.share;
        let passes = is_urgent || gated.credit >= 1.0;
        if passes {
            gated.credit = (gated.credit - 1.0).max(-LARGEST_DEBT);
        }
        passes
    }

    /// The part of the requests for `holder` that may go; `None` if it is not overloaded.
    pub fn share_of(&self, holder: &RangeHolder) -> Option<f64> {
        let found = self.holders.binary_search_by(|gated| gated.share.holder.cmp(holder));
        found.ok().map(|index| self.holders[index].share.share)
    }
}
