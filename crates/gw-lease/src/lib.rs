//! Zone leases, promises and dispatcher leases.
//!
//! # Why at most one host holds a zone
//!
//! A zone has n hosts, m = floor(n/2) + 1 is a majority and a takeover set has n - m + 1 hosts, so
//! a majority and a takeover set share a host. Host H holds the zone under term t. Host C takes it
//! over at instant T under a later term: at T, C has the control group's committed grant, a live
//! lease from the control leader, and live promises from a takeover set.
//!
//! 1. *H does not hold by control renewals at T.* The control leader proposes a grant only after
//!    the lease that it may have renewed has passed on its own clock, counted from the answer plus
//!    the drift margin, or after H gave the lease up; while a proposal is pending it renews
//!    nothing. H counts from the earlier send time of its request, so H stops first. H never holds
//!    a released term again, so a late release frees nothing that is in use.
//! 2. *A deposed control leader renews nothing that outlives the new leader's wait.* A leader ends
//!    each lease one lease after it sent its last round of messages that a majority acknowledged.
//!    A majority that elects a new leader does so after it acknowledged that round. The new leader
//!    waits one lease plus margin from its start, and so covers every lease of the old one. It must
//!    have applied the first entry of its own term before it answers.
//! 3. *H does not hold by promises at T.* H needs live promises of a majority, which shares host X
//!    with C's takeover set. X promises to one holder at a time and counts from its answer plus
//!    margin, H from the send time. A restarted X stays silent for one lease plus margin, so what
//!    it forgot has passed. Hence H does not count X when X has promised to C.
//! 4. *H cannot resume after T.* A hold that has lapsed is never extended by promises, so a book
//!    that forgot C's term in a restart cannot revive H. Only the control leader can revive it, and
//!    that leader answers renewals of the latest committed grant alone.
//!
//! So C needs no promises after T while the control leader renews it, and H is excluded even when
//! it renews by promises long after its control lease has passed.
//!
//! A holder by promises stops at `zone_hold` after the base of its last renewal. The base is the
//! send time of the request less the part of the lease that the leader withheld for the age of its
//! last acknowledged round; it is never later than the start of a new control leader. The control
//! leader re-delegates after `zone_hold` plus margin from its last answer.
//!
//! # Why at most one host dispatches to a target
//!
//! A grant echoes the number of an answer from the dispatcher, which counts from when it sent that
//! answer. The zone leader counts from when that answer arrived, plus margin. A grant that was held
//! back in a queue is therefore worth nothing. A new zone leader treats each target that the table
//! gives to a dispatcher as held for one dispatcher lease from the start of its own lease.
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
