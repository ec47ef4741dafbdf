use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::Term;

/// State that a replica must sync before it responds to a message of the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen. Never decreases.
    pub term: Term,
    /// Candidate that the replica voted for in `term`, if any. Never changes within a term once
    /// set.
    pub vote: Option<HostId>,
}
