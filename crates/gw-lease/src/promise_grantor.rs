use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::LeaseHolder;
use crate::LeaseOptions;
use crate::PromiseAnswer;
use crate::PromiseOperation;
use crate::PromiseRequest;

/// Promises of one entry host to the holders and candidates of its zone.
///
/// A promise names one holder and expires. The host makes no promise to another holder before that.
#[derive(Clone, Debug)]
pub struct PromiseGrantor {
    zone: ZoneName,
    host: HostId,
    options: LeaseOptions,
    /// Time before which the host makes no promise: promises from before a restart, which it no
    /// longer knows, may still be in use.
    refuse_until: Timestamp,
    /// Whether the host has received the zone's state since its start.
    recovered: bool,
    /// Highest term seen; never decreases. Requests of lower terms are refused.
    highest_term: TermNumber,
    /// Holder of the latest promise and the end of the promise.
    promise: Option<(LeaseHolder, Timestamp)>,
}

impl PromiseGrantor {
    /// Creates the grantor of a host whose process started at `started`.
    ///
    /// It refuses all promises for one lease length plus margin, and until
    /// [`mark_recovered`](Self::mark_recovered) is called.
    pub fn new(zone: ZoneName, host: HostId, options: LeaseOptions, started: Timestamp) -> Self {
        let refuse_until = started + options.with_margin(options.lease);
        let refuse_until =
            if options.faults.promise_after_restart { started } else { refuse_until };
        Self {
            zone,
            host,
            options,
            refuse_until,
            recovered: false,
            highest_term: TermNumber(0),
            promise: None,
        }
    }

    /// Records that the host has received the zone's state since its start.
    pub fn mark_recovered(&mut self) {
        self.recovered = true;
    }

    /// Returns whether the host makes promises and counts as a copy of the zone's state.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.recovered && now >= self.refuse_until
    }

    /// Returns the holder that the unexpired promise names.
    pub fn promised_holder(&self, now: Timestamp) -> Option<LeaseHolder> {
        self.promise.filter(|(_, until)| now < *until).map(|(holder, _)| holder)
    }

    /// Handles a request; `version` is the highest version of the zone table that the host holds.
    pub fn handle(
        &mut self,
        now: Timestamp,
        request: &PromiseRequest,
        version: TableVersion,
    ) -> PromiseAnswer {
        let granted = request.zone == self.zone && self.decide(now, request);
        PromiseAnswer {
            zone: request.zone.clone(),
            from: self.host,
            holder: request.holder,
            sequence: request.sequence,
            granted,
            version,
        }
    }

    fn decide(&mut self, now: Timestamp, request: &PromiseRequest) -> bool {
        match request.operation {
            PromiseOperation::Release => {
                self.promise.take_if(|(holder, _)| *holder == request.holder);
                false
            }
            PromiseOperation::Promise(duration) => {
                duration <= self.options.lease && self.promise_to(now, request.holder)
            }
        }
    }

    fn promise_to(&mut self, now: Timestamp, holder: LeaseHolder) -> bool {
        if holder.term < self.highest_term {
            return false;
        }
        // A higher term is recorded even if its request is refused. The earlier holder then gets no
        // renewal, and the candidate that the control group chose takes over within one lease
        // length.
        self.highest_term = holder.term;
        if !self.is_ready(now) || self.promised_holder(now).is_some_and(|current| current != holder)
        {
            return false;
        }
        let until = now + self.options.with_margin(self.options.lease);
        self.promise = Some((holder, until));
        true
    }
}
