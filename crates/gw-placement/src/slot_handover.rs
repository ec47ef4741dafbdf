use std::fmt;

use std::time::Duration;

use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::HandoverId;
use crate::HandoverSubject;
use crate::SendBound;

/// Progress of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverState {
    /// The dispatcher is asked to stop sending and to finish what is in flight.
    Draining,
    /// No dispatcher can confirm; the grant and the last deadline must pass.
    WaitingUntilSafe,
    /// The old owner cannot run any request of the subject; the new owner may be granted.
    Granting,
}

/// As log lines and metrics name the state.
impl fmt::Display for HandoverState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HandoverState::Draining => "draining",
            HandoverState::WaitingUntilSafe => "waiting_until_safe",
            HandoverState::Granting => "granting",
        })
    }
}

/// What follows when a handover is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverPurpose {
    /// Grant to this target or, when it is absent or takes no work, to any that is planned.
    Grant(Option<TargetName>),
    /// Merge the key back into its slot.
    MergeKey,
    /// Leave the slots or key to another zone.
    Release,
}

/// One move of slots or of a key away from an owner.
///
/// The subject has no owner in the table from the start of the handover until it is granting. A
/// move is safe when the dispatcher has confirmed, when a target that checks tokens has confirmed,
/// or when the dispatcher's lease and the last deadline have passed, plus the drift margin. The
/// confirmation of a target that does not check tokens counts for nothing, because its dispatcher
/// might send to it again.
#[derive(Clone, Debug)]
pub struct SlotHandover {
    /// Identifies the handover.
    pub id: HandoverId,
    /// The service.
    pub service: ServiceName,
    /// What is handed over.
    pub subject: HandoverSubject,
    /// The old owner; absent when an earlier leader began the handover and the owner is unknown.
    pub from: Option<TargetName>,
    /// The dispatcher that sent to the old owner when the handover began.
    pub dispatcher: Option<HostId>,
    /// What follows.
    pub purpose: HandoverPurpose,
    /// Token of the revocation.
    pub token: FencingToken,
    /// Whether the old owner refuses lower tokens.
    pub checks_tokens: bool,
    started: Timestamp,
    state: HandoverState,
    /// Grows while the dispatcher's lease is renewed.
    bound: SendBound,
    /// Whether a version of the table that takes the subject from its owner has been made. Until
    /// then the dispatcher's lease is renewed under a version that names the owner, so the bound is
    /// not final, however long ago it passed.
    is_published: bool,
    /// Requests of dispatchers before the present one may run up to here. The present one does not
    /// know them, so its confirmation does not cover them.
    earliest: Timestamp,
    /// Whether later leases of the old owner's dispatcher leave the bound alone.
    is_bound_final: bool,
    next_request: Timestamp,
}

impl SlotHandover {
    /// Begins a handover; `bound` tells until when the old owner may be sent requests.
    #[expect(clippy::too_many_arguments, reason = "each argument is one field of the record")]
    pub fn start(
        now: Timestamp,
        id: HandoverId,
        service: ServiceName,
        subject: HandoverSubject,
        from: Option<TargetName>,
        dispatcher: Option<HostId>,
        checks_tokens: bool,
        purpose: HandoverPurpose,
        token: FencingToken,
        bound: SendBound,
    ) -> Self {
        let state = match dispatcher {
            Some(_) => HandoverState::Draining,
            None => HandoverState::WaitingUntilSafe,
        };
        Self {
            id,
            service,
            subject,
            from,
            dispatcher,
            purpose,
            token,
            checks_tokens,
            started: now,
            state,
            bound,
            is_published: false,
            earliest: now,
            is_bound_final: false,
            next_request: now,
        }
    }

    /// How far the handover is.
    pub fn state(&self) -> HandoverState {
        self.state
    }

    /// Notes that a version of the table was made which shows the revocation.
    pub fn mark_published(&mut self) {
        self.is_published = true;
    }

    /// Notes that requests of an earlier dispatcher may run until `until`.
    pub fn wait_until(&mut self, until: Timestamp) {
        self.earliest = self.earliest.max(until);
    }

    /// Notes that the old owner may be sent requests for longer than known so far.
    pub fn extend_bound(&mut self, bound: SendBound) {
        if !self.is_bound_final {
            self.bound = self.bound.max(bound);
        }
    }

    /// Notes that the lease of the dispatcher has passed and another host was named.
    ///
    /// The old dispatcher sends nothing more, so what it sent ends within `longest_deadline`. The
    /// new one has nothing of the subject in flight, and its lease requires a table in which the
    /// subject has no owner.
    pub fn expire_dispatcher(&mut self, now: Timestamp, longest_deadline: Duration) {
        if self.state == HandoverState::Granting {
            return;
        }
        self.bound = SendBound::new(now, longest_deadline);
        self.is_bound_final = true;
        self.dispatcher = None;
        self.state = HandoverState::WaitingUntilSafe;
    }

    /// Takes the confirmation that `host` sends nothing and has nothing in flight.
    pub fn confirm_dispatcher(&mut self, host: HostId) {
        if self.dispatcher == Some(host) {
            self.state = HandoverState::Granting;
        }
    }

    /// Takes the old owner's confirmation that it refuses tokens below `token` for the subject and
    /// runs none of its requests.
    pub fn confirm_target(&mut self, token: FencingToken) {
        if self.checks_tokens && token >= self.token {
            self.state = HandoverState::Granting;
        }
    }

    /// Notes that `host` may send to the old owner from now on, and asks it to drain.
    ///
    /// A handover that began while the target had no dispatcher would else wait for a bound that
    /// each renewal of the new dispatcher's lease extends. The new dispatcher may be the one that
    /// the target had before, with requests in flight.
    pub fn assign_dispatcher(&mut self, host: HostId) {
        let is_waiting = self.state == HandoverState::WaitingUntilSafe;
        if self.dispatcher.is_none() && is_waiting && !self.is_bound_final {
            self.dispatcher = Some(host);
            self.state = HandoverState::Draining;
        }
    }

    /// Notes that the dispatcher cannot be reached, so that only time can make the move safe.
    pub fn lose_dispatcher(&mut self) {
        if self.state == HandoverState::Draining {
            self.state = HandoverState::WaitingUntilSafe;
        }
    }

    /// Goes on when the bound has passed.
    pub fn advance(&mut self, now: Timestamp) -> HandoverState {
        if !self.is_published {
            return HandoverState::WaitingUntilSafe;
        }
        if now >= self.safe_at() {
            self.state = HandoverState::Granting;
        }
        if self.state == HandoverState::Granting && now < self.earliest {
            return HandoverState::WaitingUntilSafe;
        }
        self.state
    }

    /// When the move becomes safe without any confirmation.
    pub fn safe_at(&self) -> Timestamp {
        self.bound.safe_at(self.started)
    }

    /// Whether a drain request is due; if so, the next is due at `next`.
    pub fn take_request(&mut self, now: Timestamp, next: Timestamp) -> bool {
        let due = self.state == HandoverState::Draining && now >= self.next_request;
        if due {
            self.next_request = next;
        }
        due
    }

    /// When the handover has something to do.
    pub fn next_wakeup(&self) -> Timestamp {
        match self.state {
            HandoverState::Draining => self.next_request.min(self.safe_at()),
            HandoverState::WaitingUntilSafe => self.safe_at(),
            HandoverState::Granting => self.earliest,
        }
    }
}
