use std::time::Duration;

use gw_lease::DISPATCHER_LEASE;

const DRAIN_REPEAT: Duration = Duration::from_millis(250);
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);

/// Times and rules by which a zone leader places slots and keys.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions {
    /// Length of the dispatcher leases that may be in force when the table is adopted.
    pub dispatcher_lease: Duration,
    /// Longest deadline of a request that dispatchers send to targets.
    pub longest_deadline: Duration,
    /// Whether the owned slots and keys of an adopted table get new tokens. Set unless the earlier
    /// leader handed over its table: more copies of the table may have been lost than the system
    /// tolerates, and the new tokens must exceed those of the lost table that targets have seen.
    pub raise_tokens: bool,
    /// Interval at which an unanswered drain request is repeated.
    pub drain_repeat: Duration,
    /// Faults injected by tests; none in production.
    #[doc(hidden)]
    pub faults: PlacementFaults,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            dispatcher_lease: DISPATCHER_LEASE,
            longest_deadline: LONGEST_DEADLINE,
            raise_tokens: false,
            drain_repeat: DRAIN_REPEAT,
            faults: PlacementFaults::default(),
        }
    }
}

/// Faults with which tests show that their checks detect each of them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementFaults {
    /// A handover grants to the new owner while the old owner may still be served.
    pub grant_early: bool,
    /// A move does not change the token.
    pub keep_token: bool,
    /// A new leader ignores that grants of the earlier term may be in force.
    pub ignore_old_grants: bool,
    /// The confirmation of a dispatcher that has just started counts.
    pub trust_new_boot: bool,
    /// The confirmation of a target that does not check tokens counts.
    pub trust_unchecked_target: bool,
}
