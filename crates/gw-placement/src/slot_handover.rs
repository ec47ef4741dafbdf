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

/// State of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverState {
    /// The dispatcher must stop sending and finish the requests in flight.
    Draining,
    /// No dispatcher can confirm, so the grant and the last deadline must pass.
    WaitingUntilSafe,
    /// The old owner cannot run any request for the slots or key, so the new owner may be granted.
    Granting,
}

/// Writes the name of the state that log lines and metrics use.
impl fmt::Display for HandoverState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HandoverState::Draining => "draining",
            HandoverState::WaitingUntilSafe => "waiting_until_safe",
            HandoverState::Granting => "granting",
        })
    }
}

/// Action that follows once a handover is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverPurpose {
    /// Grants to this target or, if it is absent or no longer accepts work, to any target that the
    /// next plan chooses.
    Grant(Option<TargetName>),
    /// Removes the override of the key, so that the owner of its slot serves it again.
    MergeKey,
    /// Leaves the slots or key to another zone.
    Release,
}

/// Move of slots or of a key away from an owner.
///
/// The slots or key have no owner in the table from the start of the handover until it is granting.
/// A handover is safe when the dispatcher has confirmed, when a target that checks tokens has
/// confirmed, or when the lease of the dispatcher and the last deadline have passed, plus the drift
/// margin. The confirmation of a target that does not check tokens does not count, because its
/// dispatcher might send to it again.
#[derive(Clone, Debug)]
pub struct SlotHandover {
    /// Identifier of the handover.
    pub id: HandoverId,
    /// Service of the slots or key.
    pub service: ServiceName,
    /// Slots or key that are handed over.
    pub subject: HandoverSubject,
    /// Old owner; `None` if an earlier leader began the handover, because the table does not name
    /// the old owner.
    pub from: Option<TargetName>,
    /// Dispatcher that sent to the old owner when the handover began, or that was assigned later;
    /// `None` if there is none.
    pub dispatcher: Option<HostId>,
    /// Action that follows once the handover is safe.
    pub purpose: HandoverPurpose,
    /// Token of the revocation.
    pub token: FencingToken,
    /// Whether the old owner refuses requests with lower tokens.
    pub checks_tokens: bool,
    started: Timestamp,
    state: HandoverState,
    /// Time at which the move becomes safe without a confirmation. Grows while the lease of the
    /// dispatcher is renewed.
    bound: SendBound,
    /// Whether a table version that shows the revocation exists. Until then the lease of the
    /// dispatcher is renewed under a version that names the old owner, so the bound is not final
    /// even if it has passed.
    is_published: bool,
    /// Time up to which requests of earlier dispatchers may run. The confirmation of the current
    /// dispatcher does not cover them, because it does not know of them.
    not_before: Timestamp,
    /// Whether later leases of the old owner's dispatcher do not extend the bound.
    is_bound_final: bool,
    next_request: Timestamp,
}

impl SlotHandover {
    /// Begins a handover; `bound` is the time until which the old owner may be sent requests.
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
            not_before: now,
            is_bound_final: false,
            next_request: now,
        }
    }

    /// Returns the state of the handover.
    pub fn state(&self) -> HandoverState {
        self.state
    }

    /// Records that a table version exists that shows the revocation.
    pub fn mark_published(&mut self) {
        self.is_published = true;
    }

    /// Records that requests of an earlier dispatcher may run until `until`.
    pub fn wait_until(&mut self, until: Timestamp) {
        self.not_before = self.not_before.max(until);
    }

    /// Extends the time until which the old owner may be sent requests, unless the bound is final.
    pub fn extend_bound(&mut self, bound: SendBound) {
        if !self.is_bound_final {
            self.bound = self.bound.max(bound);
        }
    }

    /// Records that the lease of the dispatcher has expired and another host replaced it.
    ///
    /// The old dispatcher sends nothing more, so its requests end within `longest_deadline`. The
    /// new one has no request for the slots or key in flight, and its lease requires a table in
    /// which they have no owner.
    pub fn expire_dispatcher(&mut self, now: Timestamp, longest_deadline: Duration) {
        if self.state == HandoverState::Granting {
            return;
        }
        self.bound = SendBound::new(now, longest_deadline);
        self.is_bound_final = true;
        self.dispatcher = None;
        self.state = HandoverState::WaitingUntilSafe;
    }

    /// Handles the confirmation of `host` that it sends nothing and has nothing in flight.
    pub fn confirm_dispatcher(&mut self, host: HostId) {
        if self.dispatcher == Some(host) {
            self.state = HandoverState::Granting;
        }
    }

    /// Handles the confirmation of the old owner that it refuses tokens below `token` for the slots
    /// or key and runs none of their requests.
    pub fn confirm_target(&mut self, token: FencingToken) {
        if self.checks_tokens && token >= self.token {
            self.state = HandoverState::Granting;
        }
    }

    /// Records that `host` may send to the old owner from now on, and makes it drain.
    ///
    /// Without this, a handover that began while the target had no dispatcher would wait for a
    /// bound that each renewal of the new dispatcher's lease extends. The new dispatcher may be the
    /// previous one again, with requests in flight.
    pub fn assign_dispatcher(&mut self, host: HostId) {
        let is_waiting = self.state == HandoverState::WaitingUntilSafe;
        if self.dispatcher.is_none() && is_waiting && !self.is_bound_final {
            self.dispatcher = Some(host);
            self.state = HandoverState::Draining;
        }
    }

    /// Records that the dispatcher cannot be reached, so that the handover must wait for the bound.
    pub fn lose_dispatcher(&mut self) {
        if self.state == HandoverState::Draining {
            self.state = HandoverState::WaitingUntilSafe;
        }
    }

    /// Returns the state as of `now`. It is [`HandoverState::Granting`] only once the revocation is
    /// published, the handover is safe and the requests of earlier dispatchers have ended.
    pub fn advance(&mut self, now: Timestamp) -> HandoverState {
        if !self.is_published {
            return HandoverState::WaitingUntilSafe;
        }
        if now >= self.safe_at() {
            self.state = HandoverState::Granting;
        }
        if self.state == HandoverState::Granting && now < self.not_before {
            return HandoverState::WaitingUntilSafe;
        }
        self.state
    }

    /// Returns when the handover becomes safe without any confirmation.
    pub fn safe_at(&self) -> Timestamp {
        self.bound.safe_at(self.started)
    }

    /// Returns whether a drain request is due. If so, the next one is due at `next`.
    pub fn take_request(&mut self, now: Timestamp, next: Timestamp) -> bool {
        let due = self.state == HandoverState::Draining && now >= self.next_request;
        if due {
            self.next_request = next;
        }
        due
    }

    /// Returns when the handover has something to do.
    pub fn next_wakeup(&self) -> Timestamp {
        match self.state {
            HandoverState::Draining => self.next_request.min(self.safe_at()),
            HandoverState::WaitingUntilSafe => self.safe_at(),
            HandoverState::Granting => self.not_before,
        }
    }
}
