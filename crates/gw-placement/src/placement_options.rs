use std::time::Duration;

use gw_lease::DISPATCHER_LEASE;

const DRAIN_REPEAT: Duration = Duration::from_millis(250);
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);

/// Lengths that a zone leader works with.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions {
    /// Length of a dispatcher lease.
    pub dispatcher_lease: Duration,
    /// Longest deadline of a request that dispatchers send to targets.
    pub longest_deadline: Duration,
    /// Whether an adopted table gets new tokens for all that is owned. Wanted unless the earlier
    /// leader handed its table over: more copies than the system tolerates may have been lost, and
    /// tokens of the lost table, which targets have seen, must not be undercut.
    pub raise_tokens: bool,
    /// Interval at which an unanswered drain request is sent again.
    pub drain_repeat: Duration,
    /// Faults for tests of the checks; none in production.
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

/// Deliberate faults, by which tests show that their checks catch each of them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementFaults {
    /// A handover grants while the old owner may still be served.
    pub grant_early: bool,
    /// A move keeps the token.
    pub keep_token: bool,
    /// A new leader forgets that grants of the old term may be live.
    pub forget_old_grants: bool,
    /// A dispatcher that has just started counts as drained.
    pub trust_new_run: bool,
    /// The confirmation of a target that does not check tokens counts.
    pub trust_unchecked_target: bool,
}
