//! Zone leases, promises and dispatcher leases.
//!
//! - A zone lease makes one entry host the leader of its zone. The control leader grants and renews
//!   it ([`LeaseGrantor`]); the host requests it and tracks its state ([`ZoneLease`]).
//! - A promise is a vote of a zone host that expires. Promises of a majority keep a holder in place
//!   while it cannot reach the control leader ([`PromiseGrantor`]).
//! - A dispatcher lease lets one host send requests to a target. The zone leader grants it
//!   ([`DispatcherGrantor`]) and the host tracks it ([`DispatcherLease`]).
//!
//! All times are read from local clocks whose rates differ by at most 1%; see [`drift_margin`].
//!
//! # At most one host holds a zone
//!
//! A zone has n hosts. A majority is m = floor(n/2) + 1 of them and a takeover quorum is n - m + 1,
//! so every majority shares a host with every takeover quorum. Let host H hold the zone under term
//! t, and let host C take it over at time T under a later term. At T, C has the committed grant of
//! the control group, an unexpired lease from the control leader, and unexpired promises of a
//! takeover quorum.
//!
//! 1. *H does not hold by control renewals at T.* The control leader proposes a grant only after H
//!    released its lease, or after the lease that the leader may have renewed has expired on the
//!    leader's clock, measured from its answer plus the drift margin. It renews nothing while a
//!    proposal is pending. H measures from the earlier send time of its request, so H stops first.
//!    H never holds a released term again, so a release that arrives late frees nothing that is in
//!    use.
//! 2. *Renewals of a deposed control leader expire before its successor stops waiting.* A leader
//!    ends each lease one lease length after it sent its last round of messages that a majority
//!    acknowledged. A majority that elects a new leader does so after it acknowledged that round.
//!    The new leader waits one lease length plus margin from its start, which covers every lease of
//!    the old one. It answers only after it has applied the first entry of its own term.
//! 3. *H does not hold by promises at T.* H needs unexpired promises of a majority, which includes
//!    a host X of the takeover quorum of C. X promises to one holder at a time and measures from
//!    its answer plus margin, while H measures from the send time. After a restart X refuses to
//!    promise for one lease length plus margin, so any promise from before the restart has expired.
//!    Hence H does not count X once X has promised to C.
//! 4. *H cannot resume after T.* Promises never extend an expired hold, so a host that lost its
//!    record of the term of C in a restart cannot restore H. Only the control leader can, and it
//!    renews only the latest committed grant.
//!
//! C therefore needs no promises after T while the control leader renews its lease, and H is
//! excluded even if H renews by promises long after its control lease has expired.
//!
//! A holder by promises stops `zone_hold` after the base of its last renewal. The base is the send
//! time of the request minus the part of the lease that the leader withheld for the age of its last
//! acknowledged round; it is never later than the start of a new control leader. The control leader
//! re-delegates the slots of the zone `zone_hold` plus margin after its last answer.
//!
//! # At most one host dispatches to a target
//!
//! A grant echoes the number of an answer from the dispatcher. The dispatcher measures the lease
//! from when it sent that answer, the zone leader from when it received that answer, plus margin. A
//! grant that is delayed in a queue therefore does not prolong the lease. A new zone leader treats
//! each target to which the table assigns a dispatcher as held for one dispatcher lease from the
//! start of its own lease.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod dispatcher_answer;
mod dispatcher_grant;
mod dispatcher_grantor;
mod dispatcher_lease;
mod lease_action;
mod lease_answer;
mod lease_grantor;
mod lease_holder;
mod lease_options;
mod lease_request;
mod lease_state;
mod promise_answer;
mod promise_grantor;
mod promise_request;
mod sent_requests;
mod zone_grant;
mod zone_lease;
mod zone_quorum;

pub use dispatcher_answer::DispatcherAnswer;
pub use dispatcher_grant::DispatcherGrant;
pub use dispatcher_grantor::AssignError;
pub use dispatcher_grantor::DispatcherGrantor;
pub use dispatcher_lease::DispatcherLease;
pub use lease_action::LeaseAction;
pub use lease_answer::LeaseAnswer;
pub use lease_answer::LeaseOutcome;
pub use lease_grantor::GrantorReply;
pub use lease_grantor::LeaseGrantor;
pub use lease_holder::LeaseHolder;
pub use lease_options::DISPATCHER_LEASE;
pub use lease_options::DISPATCHER_RENEWAL;
pub use lease_options::LeaseOptions;
pub use lease_options::TestFaults;
pub use lease_options::ZONE_LEASE;
pub use lease_options::ZONE_RENEWAL;
pub use lease_options::drift_margin;
pub use lease_request::LeaseOperation;
pub use lease_request::LeaseRequest;
pub use lease_state::LeaseState;
pub use promise_answer::PromiseAnswer;
pub use promise_grantor::PromiseGrantor;
pub use promise_request::PromiseOperation;
pub use promise_request::PromiseRequest;
pub use zone_grant::GrantedZone;
pub use zone_lease::ZoneLease;
pub use zone_quorum::ZoneQuorum;
