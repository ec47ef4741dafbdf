use crate::HeatMap;
use crate::RangeHolder;
use crate::RangeTable;

/// Share of what a holder can run that its callers together may ask for. With more, requests wait
/// at the target until their answers are late.
const WANTED_USE: f64 = 0.85;
/// Holders that are named at most, the most overloaded ones. Each of them is told to every host.
const NAMED_HOLDERS: usize = 16;

/// The part of its requests that a holder of keys can run.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderShare {
    /// The holder.
    pub holder: RangeHolder,
    /// Between 0 and 1.
    pub share: f64,
}

/// The holders that are asked for more than they can run, with the part of the requests for their
/// keys that hosts may send them, sorted by holder. `capacity` tells how many runs a second a holder
/// can do, if known.
///
/// Hosts do not see each other's requests. If each sends what it has, a target with two slots gets
/// one request from every host, and all of them are answered late or refused there.
pub fn overloaded_holders(
    table: &RangeTable,
    heat: &HeatMap,
    capacity: impl Fn(&RangeHolder) -> Option<f64>,
) -> Vec<HolderShare> {
    let mut rates: Vec<(&RangeHolder, f64)> = Vec::new();
    for held in table.assignments() {
        let Some(holder) = &held.holder else { continue };
        let rate = heat.rate_of(held.range);
        match rates.binary_search_by(|(known, _)| (*known).cmp(holder)) {
            Ok(index) => rates[index].1 += rate,
            Err(index) => rates.insert(index, (holder, rate)),
        }
    }
    let share = |(holder, rate): (&RangeHolder, f64)| {
        let share = capacity(holder)? * WANTED_USE / rate;
        (share < 1.0).then(|| HolderShare { holder: holder.clone(), share })
    };
    let mut shares: Vec<HolderShare> = rates.into_iter().filter_map(share).collect();
    shares.sort_by(|a, b| a.share.total_cmp(&b.share));
    shares.truncate(NAMED_HOLDERS);
    shares.sort_by(|a, b| a.holder.cmp(&b.holder));
    shares
}
