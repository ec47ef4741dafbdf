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

/// Promises of one entry host of a zone.
#[derive(Clone, Debug)]
pub struct PromiseGrantor {
    zone: ZoneName,
    host: HostId,
    options: LeaseOptions,
    /// Earlier promises of this host, which it forgot in a restart, have passed from here on.
    silent_until: Timestamp,
    /// Set once the host holds the zone's state again.
    recovered: bool,
    /// Never decreases: a request of a lower term is refused.
    highest: TermNumber,
    /// At most one holder at a time.
    promise: Option<(LeaseHolder, Timestamp)>,
}

impl PromiseGrantor {
    /// The book of a host whose process started at `started`.
    ///
    /// It refuses for one lease plus margin, and until [`mark_recovered`](Self::mark_recovered).
    pub fn new(zone: ZoneName, host: HostId, options: LeaseOptions, started: Timestamp) -> Self {
        let silent_until = started + options.with_margin(options.lease);
        let silent_until =
            if options.faults.promise_after_restart { started } else { silent_until };
        Self {
            zone,
            host,
            options,
            silent_until,
            recovered: false,
            highest: TermNumber(0),
            promise: None,
        }
    }

    /// Notes that the host holds the zone's state, received after its start.
    pub fn mark_recovered(&mut self) {
        self.recovered = true;
    }

    /// Whether the host promises and counts as a copy.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.recovered && now >= self.silent_until
    }

    /// The holder that the host supports.
    pub fn promised_holder(&self, now: Timestamp) -> Option<LeaseHolder> {
        self.promise.filter(|(_, until)| now < *until).map(|(holder, _)| holder)
    }

    /// Answers a request; `version` is the highest table version that the host holds.
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
        if holder.term < self.highest {
            return false;
        }
        // A later term is noted even while its request is refused. The earlier holder then gets no
        // renewal, and the candidate that the control group chose takes over within one lease.
        self.highest = holder.term;
        if !self.is_ready(now) || self.promised_holder(now).is_some_and(|current| current != holder)
        {
            return false;
        }
        let until = now + self.options.with_margin(self.options.lease);
        self.promise = Some((holder, until));
        true
    }
}
