use std::str::FromStr;
use std::time::Duration;

use gw_types::NameError;
use gw_types::ServiceName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// A service and the number of its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioService {
    /// Name of the service, as in the trace.
    pub name: ServiceName,
    /// Number of targets, assigned to the zones in round-robin order.
    pub target_count: usize,
    /// Whether each key belongs to exactly one target.
    pub is_keyed: bool,
}

/// A fault of a target or of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioFault {
    /// The process of a target exits and is not restarted.
    LoseTarget {
        /// Index of the target among the targets of all services, in the order of the services.
        target: usize,
    },
    /// A target is suspended, then resumes its work where it stopped.
    FreezeTarget {
        /// Index of the target among the targets of all services.
        target: usize,
        /// Duration of the suspension.
        length: Duration,
    },
    /// A zone is partitioned from all other zones.
    PartitionZone {
        /// Index of the zone in [`Scenario::zones`].
        zone: usize,
        /// Duration of the partition.
        length: Duration,
    },
}

/// A fault and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time since the start of the trace.
    pub at: Timestamp,
    /// The fault.
    pub fault: ScenarioFault,
}

/// The hosts, targets, delays and faults with which a trace is replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Name in reports, and the name by which the command line selects the scenario.
    pub name: &'static str,
    /// Availability zones. Trace rows of other zones are skipped.
    pub zones: Vec<ZoneName>,
    /// Number of entry hosts in each zone, in the order of `zones`.
    pub hosts_per_zone: Vec<usize>,
    /// Services. Trace rows of other services are skipped.
    pub services: Vec<ScenarioService>,
    /// One-way network delay between zones.
    pub cross_zone_delay: Duration,
    /// One-way network delay between two processes in the same zone.
    pub same_zone_delay: Duration,
    /// Number of requests that each target runs concurrently.
    pub work_slots: u16,
    /// Start and end of peak load, since the start of the trace.
    pub peak: (Timestamp, Timestamp),
    /// Faults to inject; empty for none.
    pub faults: Vec<TimedFault>,
}

fn parse_name<T: FromStr<Err = NameError>>(name: &str) -> T {
    name.parse().expect("scenario names are valid")
}

impl Scenario {
    /// Slipwerk Lexicografie: three zones, with peak load in drafting hours.
    pub fn slipwerk() -> Self {
        Self::build(
            "slipwerk",
            &[("nl-west-a", 3), ("nl-west-b", 3), ("nl-west-c", 2)],
            &[("slipreader", 13, true), ("attestor", 8, false), ("correctiebak", 6, false)],
            Duration::from_millis(4),
        )
    }

    /// Ullvävs Kommunala Verk: four zones, with peak load on a wage day.
    pub fn ullvav() -> Self {
        Self::build(
            "ullvav",
            &[("spinneri", 2), ("vaveri", 2), ("fargeri", 2), ("valkeri", 2)],
            &[("matarlas", 14, true), ("abonnent", 8, false), ("betalning", 8, false)],
            Duration::from_millis(5),
        )
    }

    /// Returns the same scenario without faults.
    pub fn without_faults(self) -> Self {
        Self { faults: Vec::new(), ..self }
    }

    /// Returns the number of targets of all services.
    pub fn target_count(&self) -> usize {
        self.services.iter().map(|service| service.target_count).sum()
    }

    fn build(
        name: &'static str,
        zones: &[(&str, usize)],
        services: &[(&str, usize, bool)],
        cross_zone_delay: Duration,
    ) -> Self {
        let services = services.iter().map(|&(name, target_count, is_keyed)| ScenarioService {
            name: parse_name(name),
            target_count,
            is_keyed,
        });
        let services: Vec<_> = services.collect();
        let first_unkeyed = services[0].target_count;
        let fault =
            |second: u64, fault| TimedFault { at: Timestamp::from_millis(second * 1_000), fault };
        let freeze = ScenarioFault::FreezeTarget { target: 4, length: Duration::from_secs(4) };
        let partition = ScenarioFault::PartitionZone { zone: 1, length: Duration::from_secs(2) };
        Self {
            name,
            zones: zones.iter().map(|zone| parse_name(zone.0)).collect(),
            hosts_per_zone: zones.iter().map(|zone| zone.1).collect(),
            services,
            cross_zone_delay,
            same_zone_delay: Duration::from_micros(100),
            work_slots: 2,
            peak: (Timestamp::from_millis(6_000), Timestamp::from_millis(9_000)),
            faults: vec![
                fault(11, ScenarioFault::LoseTarget { target: 2 }),
                fault(12, ScenarioFault::LoseTarget { target: first_unkeyed + 1 }),
                fault(15, freeze),
                fault(20, partition),
            ],
        }
    }
}
