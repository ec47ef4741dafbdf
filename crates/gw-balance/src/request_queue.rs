use gw_types::ServiceName;
use gw_types::TargetName;

/// A request that waits for a free target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Number of the request, unique on this host. Grows with arrival.
    pub number: u64,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Key of the request; `None` for services that are not partitioned by key.
    pub key: Option<u16>,
    /// Targets that have been tried and must not be used again.
    pub tried: Vec<TargetName>,
    /// Priority under load; 0 is the most urgent.
    pub priority: u8,
    /// Length of its body in bytes.
    pub body_bytes: usize,
}

/// Priority queue of waiting requests: the most urgent first, then in order of arrival.
///
/// Invariant: sorted by priority and number, and numbers grow with arrival.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    waiting: Vec<WaitingRequest>,
}

impl RequestQueue {
    /// Inserts a request by its priority and number.
    pub fn push(&mut self, request: WaitingRequest) {
        let rank = (request.priority, request.number);
        let position = self.waiting.partition_point(|other| (other.priority, other.number) < rank);
        self.waiting.insert(position, request);
    }

    /// Removes the request `number`, if it is queued.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|request| request.number != number);
    }

    /// Counts the requests for `service` that are served before a new one of `priority`.
    pub fn count_ahead(&self, service: &ServiceName, priority: u8) -> usize {
        let ahead = self.waiting.iter().take_while(|request| request.priority <= priority);
        ahead.filter(|request| request.service == *service).count()
    }

    /// Counts the requests for `service` that are served before a new one of `priority` and whose
    /// key `is_matching` accepts.
    pub fn count_ahead_for_keys(
        &self,
        service: &ServiceName,
        priority: u8,
        is_matching: impl Fn(Option<u16>) -> bool,
    ) -> usize {
        let ahead = self.waiting.iter().take_while(|request| request.priority <= priority);
        let matching = ahead.filter(|request| request.service == *service);
        matching.filter(|request| is_matching(request.key)).count()
    }

    /// Removes the requests for which `admit` returns a value, and returns their numbers with these
    /// values. Calls `admit` for every request, in the order of the queue.
    pub fn take_admitted<T>(
        &mut self,
        mut admit: impl FnMut(&WaitingRequest) -> Option<T>,
    ) -> Vec<(u64, T)> {
        let mut taken = Vec::new();
        self.waiting.retain(|request| match admit(request) {
            Some(admission) => {
                taken.push((request.number, admission));
                false
            }
            None => true,
        });
        taken
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
