use crate::DecayedCounts;
use crate::RangeHolder;
use crate::RangeTable;

/// Fraction of a holder's capacity that all entry hosts together may use. Above it, requests queue
/// at the target until their responses are late.
const TARGET_UTILIZATION: f64 = 0.85;
/// Largest number of holders reported, the most overloaded ones. Bounds the size of the message
/// that every entry host receives.
const MAX_REPORTED_HOLDERS: usize = 16;

/// Fraction of the requests for an overloaded holder that entry hosts may send to it.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderShare {
    /// The overloaded holder.
    pub holder: RangeHolder,
    /// Admitted fraction of the requests, between 0 and 1.
    pub share: f64,
}

/// Returns the holders whose request rate exceeds their capacity, sorted by holder, with the
/// fraction of requests that entry hosts may send to each. `capacity` returns the requests per
/// second that a holder can process, if known.
///
/// Entry hosts do not see each other's requests. Without a common limit, a target with two slots
/// receives one request from every entry host, and all of them are completed late or refused.
pub fn overloaded_holders(
    table: &RangeTable,
    counts: &DecayedCounts,
    capacity: impl Fn(&RangeHolder) -> Option<f64>,
) -> Vec<HolderShare> {
    let mut rates: Vec<(&RangeHolder, f64)> = Vec::new();
    for assignment in table.assignments() {
        let Some(holder) = &assignment.holder else { continue };
        let rate = counts.rate_of(assignment.range);
        match rates.binary_search_by(|(known, _)| (*known).cmp(holder)) {
            Ok(index) => rates[index].1 += rate,
            Err(index) => rates.insert(index, (holder, rate)),
        }
    }
    let share = |(holder, rate): (&RangeHolder, f64)| {
        let share = capacity(holder)? * TARGET_UTILIZATION / rate;
        (share < 1.0).then(|| HolderShare { holder: holder.clone(), share })
    };
    let mut shares: Vec<HolderShare> = rates.into_iter().filter_map(share).collect();
    shares.sort_by(|a, b| a.share.total_cmp(&b.share));
    shares.truncate(MAX_REPORTED_HOLDERS);
    shares.sort_by(|a, b| a.holder.cmp(&b.holder));
    shares
}
