use std::time::Duration;

use gw_types::HostId;
use gw_types::ZoneName;

use crate::FaultTolerance;
use crate::SeatView;
use crate::VoteChange;
use crate::departure_reason::DepartureReason;

/// Silence up to which a learner can take over a vote.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);
/// Silence after which a learner is removed from the group. Longer than the restart of a host.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Decides who votes in the control group.
///
/// A replica that is down does not count towards a majority but raises the number of votes that a
/// majority needs, so its vote has to go to another replica before the next loss. Its log may still be
/// the only copy that is left of an entry: a vote is therefore given up only if those that remain bear
/// the tolerated losses by themselves.
#[derive(Clone, Copy, Debug)]
pub struct SeatPolicy {
    tolerance: FaultTolerance,
}

impl SeatPolicy {
    /// Creates the policy for a group that has to bear the losses of `tolerance`.
    pub fn new(tolerance: FaultTolerance) -> Self {
        Self { tolerance }
    }

    /// Returns the next change of votes, if one is due. `seats` are all members, the leader included.
    ///
    /// Invariants:
    /// - A vote is given up only if [`FaultTolerance::min_voters`] remain, however long the silence,
    ///   or if the host has lost its disk and votes under its new id.
    /// - A learner is promoted only after it has caught up, and one promotion lets at most one vote be
    ///   given up.
    /// - A group that bears the loss of its zones is not enlarged to one that does not.
    pub fn next_vote_change(&self, seats: &[SeatView]) -> Option<VoteChange> {
        let voters: Vec<&SeatView> = seats.iter().filter(|seat| seat.is_voter).collect();
        let mut departing: Vec<_> =
            voters.iter().filter_map(|seat| Some((DepartureReason::of(seat)?, *seat))).collect();
        departing.sort_by_key(|(reason, seat)| (*reason, seat.silence));
        departing.reverse();
        let departing: Vec<&SeatView> = departing.into_iter().map(|(_, seat)| seat).collect();
        let surplus = departing.iter().find(|seat| self.can_spare(&voters, seat));
        if let Some(seat) = surplus.copied().or_else(|| self.crowded_seat(&voters)) {
            return Some(VoteChange::Demote(seat.id));
        }
        let ready: Vec<&SeatView> = seats.iter().filter(|seat| is_ready(seat)).collect();
        let replacement = departing.iter().find_map(|seat| self.replacement(&voters, &ready, seat));
        let promoted = replacement.or_else(|| self.addition(&voters, &ready));
        promoted.map(|seat| VoteChange::Promote(seat.id))
    }

    /// Returns the learners that are to be removed from the group: those whose host has lost its disk
    /// or does not come back.
    pub fn abandoned_learners(&self, seats: &[SeatView]) -> Vec<HostId> {
        let learners = seats.iter().filter(|seat| !seat.is_voter);
        let is_abandoned =
            |seat: &&SeatView| seat.successor.is_some() || seat.silence > REMOVAL_TIMEOUT;
        learners.filter(is_abandoned).map(|seat| seat.id).collect()
    }

    /// Whether the group can do without the vote of `seat` at once.
    fn can_spare(&self, voters: &[&SeatView], seat: &SeatView) -> bool {
        let rest = without(voters, seat);
        let is_successor = |other: &&SeatView| Some(other.id) == seat.successor;
        rest.len() >= self.tolerance.min_voters() || rest.iter().any(is_successor)
    }

    /// Returns a voter whose zone has so many that the group bears the loss of its zones only without
    /// it.
    fn crowded_seat<'a>(&self, voters: &[&'a SeatView]) -> Option<&'a SeatView> {
        if self.zone_margin(voters) >= 0 {
            return None;
        }
        let is_crowded = |seat: &&&SeatView| {
            !seat.is_leader
                && self.can_spare(voters, seat)
                && self.zone_margin(&without(voters, seat)) >= 0
        };
        voters.iter().filter(is_crowded).max_by_key(|seat| (seat.silence, seat.id)).copied()
    }

    /// Returns the learner that takes over the vote of `seat`: its own host under the new id, or else
    /// the one with which the group is best spread over the zones.
    fn replacement<'a>(
        &self,
        voters: &[&'a SeatView],
        ready: &[&'a SeatView],
        seat: &SeatView,
    ) -> Option<&'a SeatView> {
        if voters.len() < self.tolerance.min_voters() {
            return None;
        }
        let rest = without(voters, seat);
        let rank = |learner: &&&'a SeatView| {
            (Some(learner.id) == seat.successor, self.zone_margin(&with(&rest, learner)))
        };
        ready.iter().max_by_key(rank).copied()
    }

    /// Returns the learner whose vote makes the group more robust, if there is one. The others stand by.
    fn addition<'a>(
        &self,
        voters: &[&'a SeatView],
        ready: &[&'a SeatView],
    ) -> Option<&'a SeatView> {
        let enlarged_margin = |learner: &&'a SeatView| self.zone_margin(&with(voters, learner));
        let best = ready.iter().copied().max_by_key(enlarged_margin)?;
        let is_needed = voters.len() < self.tolerance.min_voters()
            || self.zone_margin(voters) < 0
            || enlarged_margin(&best) >= 0;
        is_needed.then_some(best)
    }

    /// Returns how many voters more than a majority are left without the zones with the most voters,
    /// as many as are tolerated. Negative if no majority is left.
    fn zone_margin(&self, voters: &[&SeatView]) -> isize {
        let mut zones: Vec<&ZoneName> =
            voters.iter().filter_map(|seat| seat.zone.as_ref()).collect();
        zones.sort();
        let mut sizes: Vec<usize> = zones.chunk_by(|a, b| a == b).map(<[_]>::len).collect();
        // A host whose zone is not known counts as a zone of its own.
        sizes.extend(voters.iter().filter(|seat| seat.zone.is_none()).map(|_| 1));
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let lost: usize = sizes.iter().take(self.tolerance.zones).sum();
        let majority = voters.len() / 2 + 1;
        (voters.len() - lost) as isize - majority as isize
    }
}

/// Whether a learner can take over a vote.
fn is_ready(seat: &SeatView) -> bool {
    let is_there = seat.silence < CONTACT_TIMEOUT && !seat.is_leaving && seat.successor.is_none();
    !seat.is_voter && seat.is_caught_up && is_there
}

fn without<'a>(voters: &[&'a SeatView], seat: &SeatView) -> Vec<&'a SeatView> {
    voters.iter().filter(|other| other.id != seat.id).copied().collect()
}

fn with<'a>(voters: &[&'a SeatView], seat: &'a SeatView) -> Vec<&'a SeatView> {
    voters.iter().copied().chain([seat]).collect()
}
