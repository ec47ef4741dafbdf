use gw_types::ServiceName;

use crate::RouteRule;

/// Spreads the requests of one route over its services by weight.
///
/// Smooth weighted round robin: within any run of requests, each service's count is within one of
/// its share. Invariant: the credits add up to zero between calls, up to rounding.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// One for each share of the route, in its order.
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// The service of the next request of `rule`; `None` if no share has weight.
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
