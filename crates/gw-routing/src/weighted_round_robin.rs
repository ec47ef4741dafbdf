use gw_types::ServiceName;

use crate::RouteRule;

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
        let total: f64 = rule.shares.iter().map(|share| share.weight).sum();
        for (credit, share) in self.credits.iter_mut().zip(&rule.shares) {
            *credit += share.weight;
        }
        let eligible = rule.shares.iter().enumerate().filter(|(_, share)| share.weight > 0.0);
        let chosen = eligible.max_by(|a, b| self.credits[a.0].total_cmp(&self.credits[b.0]));
        let (index, share) = chosen?;
        self.credits[index] -= total;
        Some(&share.service)
    }
}
