use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::KeyHash;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Time for which a lease for the whole rate of a cold target is valid. It is renewed four times a
/// second, so that two messages may be lost.
pub const COLD_LEASE_TIME: Duration = Duration::from_secs(1);
/// Time for which a permit for a single request is valid: until the next permits come. All permits
/// that are valid at the same time may be used at once.
pub const COLD_PERMIT_TIME: Duration = Duration::from_millis(300);
/// Time after the end of a lease from which it has certainly expired: clocks of hosts run at slightly
/// different rates, and a request that was just sent is on its way.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Time between two rounds of permits, whose permits may all be given in one round.
const ROUND_TIME: Duration = Duration::from_millis(250);
/// Fraction of the rate that is given out in permits: a few are used together with those of the round
/// before.
const PERMIT_UTILIZATION: f64 = 0.9;
/// Requests beyond the rate that two sponsors can send in the second in which one follows the other:
/// the first one of each.
const SPONSOR_CHANGE_REQUESTS: f64 = 2.0;
/// Highest rate that is given out in permits, far above what one target takes. Each permit takes a step
/// of a loop: with a configured rate of 1e308 the leader never left it.
const MAX_PERMITS_PER_SECOND: f64 = 10_000.0;
/// Smallest allocated fraction of the rate, however narrow the bounds of the settings are.
const MIN_RATE_FRACTION: f64 = 0.1;

/// Bound on the requests that all hosts send to a cold target in any second, as a function of the
/// rate that it sustains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests in addition.
    pub extra: f64,
}

impl ColdBound {
    /// Returns the largest number of requests in a second for a rate in requests per second.
    pub fn requests(&self, per_second: f64) -> f64 {
        per_second * self.factor + self.extra
    }

    /// Returns the rate that a sponsor may use.
    fn sponsor_rate(&self, per_second: f64) -> f64 {
        let allowed = self.requests(per_second) - SPONSOR_CHANGE_REQUESTS;
        allowed.clamp(per_second * MIN_RATE_FRACTION, per_second)
    }

    /// Returns the rate at which permits may be given. Those of 1 s, of the time for which one is
    /// valid and of one round can be used in the same second.
    fn permit_rate(&self, per_second: f64) -> f64 {
        let span = Duration::from_secs(1) + COLD_PERMIT_TIME + ROUND_TIME;
        let allowed = (self.requests(per_second) - SPONSOR_CHANGE_REQUESTS) / span.as_secs_f64();
        let most = per_second * PERMIT_UTILIZATION;
        allowed.clamp(per_second * MIN_RATE_FRACTION, most)
    }
}

/// Demand of one host for requests to a cold holder of keys.
#[derive(Debug)]
struct HostDemand {
    host: HostName,
    /// Number of requests that it reported last.
    wanted: u32,
    /// Permits that it is due; below 1 after each round.
    due: f64,
}

#[derive(Debug)]
struct RunAllocation {
    holder: RangeHolder,
    /// The host that may use the whole rate, and when its last lease expires on the leader's clock.
    sponsor: Option<(HostName, Timestamp)>,
    /// Sorted by host.
    demands: Vec<HostDemand>,
    /// Permits that may be given now.
    available: f64,
    filled_at: Timestamp,
}

/// Allocates the rate of cold targets to entry hosts. Runs on the leader.
///
/// Invariant: at any time at most one host has a valid lease for a run, and a new allocator gives
/// nothing until all leases of an earlier one have expired.
#[derive(Debug)]
pub struct ColdAllocator {
    bound: ColdBound,
    /// Until when leases of an earlier leader may be valid.
    quiet_until: Timestamp,
    /// Sorted by holder.
    runs: Vec<RunAllocation>,
    /// Holders that each host named in its last report, sorted by host.
    named: Vec<(HostName, Vec<RangeHolder>)>,
}

impl ColdAllocator {
    /// Creates the allocator of a leader that starts at `now`.
    pub fn new(now: Timestamp, bound: ColdBound) -> Self {
        let quiet_until = now + COLD_LEASE_TIME + EXPIRY_MARGIN;
        Self { bound, quiet_until, runs: Vec::new(), named: Vec::new() }
    }

    fn run(&mut self, now: Timestamp, holder: &RangeHolder) -> &mut RunAllocation {
        let found = self.runs.binary_search_by(|run| run.holder.cmp(holder));
        let index = found.unwrap_or_else(|position| {
            self.runs.insert(
                position,
                RunAllocation {
                    holder: holder.clone(),
                    sponsor: None,
                    demands: Vec::new(),
                    available: 0.0,
                    filled_at: now,
                },
            );
            position
        });
        &mut self.runs[index]
    }

    /// Gives the sponsor of a cold run a lease of [`COLD_LEASE_TIME`], and returns it with its rate.
    /// `hosts` are the entry hosts that can be sponsors. One that is no longer among them is replaced
    /// once its last lease has expired.
    pub fn sponsor(
        &mut self,
        now: Timestamp,
        holder: &RangeHolder,
        zone: &ZoneName,
        per_second: f64,
        hosts: &[(HostName, ZoneName)],
    ) -> Option<(HostName, f64)> {
        if now < self.quiet_until {
            return None;
        }
        let rate = self.bound.sponsor_rate(per_second);
        let run = self.run(now, holder);
        let is_eligible = |host: &HostName| hosts.iter().any(|(known, _)| known == host);
        let present = run.sponsor.take();
        let host = match present {
            Some((host, _)) if is_eligible(&host) => host,
            Some((host, until)) if now < until + EXPIRY_MARGIN => {
                run.sponsor = Some((host, until));
                return None;
            }
            _ => choose_sponsor(holder, zone, hosts)?,
        };
        run.sponsor = Some((host.clone(), now + COLD_LEASE_TIME));
        Some((host, rate))
    }

    /// Records how many requests for keys of cold holders a host received since its last report. The
    /// time that this takes depends on the holders that the host names, not on the number of cold
    /// ones.
    pub fn record_demand(
        &mut self,
        now: Timestamp,
        host: &HostName,
        wanted: &[(RangeHolder, u32)],
    ) {
        let named = wanted.iter().map(|(holder, _)| holder.clone()).collect();
        let before = match self.named.binary_search_by(|(known, _)| known.cmp(host)) {
            Ok(index) => std::mem::replace(&mut self.named[index].1, named),
            Err(index) => {
                self.named.insert(index, (host.clone(), named));
                Vec::new()
            }
        };
        for holder in before {
            if let Ok(index) = self.runs.binary_search_by(|run| run.holder.cmp(&holder)) {
                let demands = &mut self.runs[index].demands;
                demands.iter_mut().filter(|demand| demand.host == *host).for_each(|demand| {
                    demand.wanted = 0;
                });
            }
        }
        for (holder, wanted) in wanted {
            self.set_wanted(now, holder, host, *wanted);
        }
    }

    /// Returns the number of pairs of a cold holder and a host that has asked for its keys.
    pub fn demand_count(&self) -> usize {
        self.runs.iter().map(|run| run.demands.len()).sum()
    }

    fn set_wanted(&mut self, now: Timestamp, holder: &RangeHolder, host: &HostName, wanted: u32) {
        let demands = &mut self.run(now, holder).demands;
        match demands.binary_search_by(|demand| demand.host.cmp(host)) {
            Ok(index) => demands[index].wanted = wanted,
            Err(index) => {
                demands.insert(index, HostDemand { host: host.clone(), wanted, due: 0.0 });
            }
        }
    }

    /// Divides the permits for requests to a cold holder of keys among the hosts, by their demand.
    /// Each permit is valid for [`COLD_PERMIT_TIME`].
    pub fn permits(
        &mut self,
        now: Timestamp,
        holder: &RangeHolder,
        per_second: f64,
    ) -> Vec<(HostName, u32)> {
        let rate = self.bound.permit_rate(per_second).min(MAX_PERMITS_PER_SECOND);
        let is_quiet = now < self.quiet_until;
        let run = self.run(now, holder);
        let filled = rate * now.since(run.filled_at).as_secs_f64();
        run.filled_at = now;
        run.available = (run.available + filled).min(rate * ROUND_TIME.as_secs_f64() + 1.0);
        let total: f64 = run.demands.iter().map(|demand| f64::from(demand.wanted)).sum();
        if is_quiet || run.available < 1.0 || total == 0.0 {
            return Vec::new();
        }
        let count = run.available.floor();
        for demand in &mut run.demands {
            demand.due += count * f64::from(demand.wanted) / total;
        }
        let mut given: Vec<(HostName, u32)> = Vec::new();
        while run.available >= 1.0 {
            let most_due = run
                .demands
                .iter_mut()
                .filter(|demand| demand.wanted > 0)
                .max_by(|a, b| a.due.total_cmp(&b.due));
            let Some(demand) = most_due else { break };
            demand.due -= 1.0;
            run.available -= 1.0;
            match given.iter_mut().find(|(host, _)| *host == demand.host) {
                Some((_, count)) => *count += 1,
                None => given.push((demand.host.clone(), 1)),
            }
        }
        given
    }

    /// Drops runs that are no longer cold, once their leases have expired, and the demand of hosts
    /// that are not connected.
    pub fn retain(
        &mut self,
        now: Timestamp,
        is_cold: impl Fn(&RangeHolder) -> bool,
        is_connected: impl Fn(&HostName) -> bool,
    ) {
        self.runs.retain(|run| {
            let is_leased =
                run.sponsor.as_ref().is_some_and(|(_, until)| now < *until + EXPIRY_MARGIN);
            is_leased || is_cold(&run.holder)
        });
        for run in &mut self.runs {
            run.demands.retain(|demand| is_connected(&demand.host));
        }
        self.named.retain(|(host, _)| is_connected(host));
    }
}

/// Chooses the sponsor of a target by a hash, so that targets are spread over hosts: one of the
/// target's zone if there is any.
fn choose_sponsor(
    holder: &RangeHolder,
    zone: &ZoneName,
    hosts: &[(HostName, ZoneName)],
) -> Option<HostName> {
    let rank = |host: &HostName| KeyHash::of(format!("{host} {}", holder.target).as_bytes()).0;
    let best =
        hosts.iter().max_by_key(|(host, host_zone)| (host_zone == zone, rank(host), host.clone()));
    best.map(|(host, _)| host.clone())
}
