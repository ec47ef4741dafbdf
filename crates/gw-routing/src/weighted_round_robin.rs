use gw_types::ServiceName;

use crate::RouteRule;

/// Factor for weights whose sum is not finite; leaves room for as many services as there can be, and for
/// their credits.
const LARGE_WEIGHT_SCALE: f64 = 1e-12;

/// Smooth weighted round robin over the services of one route.
///
/// After any number of requests, the count of each service differs from its share by at most one.
/// Invariant: between calls the credits add up to zero, up to rounding.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// One entry for each service of the route, in its order.
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request of `rule`; `None` if all weights are 0.
    pub fn next<'a>(&mut self, rule: &'a RouteRule) -> Option<&'a ServiceName> {
        self.credits.resize(rule.shares.len(), 0.0);
        // The sum of valid weights may exceed the range of numbers.
        let scale = if total_weight(rule, 1.0).is_finite() { 1.0 } else { LARGE_WEIGHT_SCALE };
        for (credit, share) in self.credits.iter_mut().zip(&rule.shares) {
            *credit += share.weight * scale;
        }
        let eligible = rule.shares.iter().enumerate().filter(|(_, share)| share.weight > 0.0);
        let chosen = eligible.max_by(|a, b| self.credits[a.0].total_cmp(&self.credits[b.0]));
        let (index, share) = chosen?;
        self.credits[index] -= total_weight(rule, scale);
        Some(&share.service)
    }
}

fn total_weight(rule: &RouteRule, scale: f64) -> f64 {
    rule.shares.iter().map(|share| share.weight * scale).sum()
}
