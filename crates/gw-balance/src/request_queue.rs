use gw_types::ServiceName;
use gw_types::TargetName;

/// A request that waits for room at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Names the request among those of this host.
    pub number: u64,
    /// The service.
    pub service: ServiceName,
    /// The key, of services divided by key.
    pub key: Option<u16>,
    /// Targets that it must not be sent to again.
    pub tried: Vec<TargetName>,
    /// Rank under load; 0 is the most urgent.
    pub priority: u8,
}

/// Requests that wait for room, the most urgent first, then by arrival.
///
/// Invariant: sorted by priority and number, and numbers grow with arrival.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    waiting: Vec<WaitingRequest>,
}

impl RequestQueue {
    /// Adds a request.
    pub fn push(&mut self, request: WaitingRequest) {
        let rank = (request.priority, request.number);
        let position = self.waiting.partition_point(|other| (other.priority, other.number) < rank);
        self.waiting.insert(position, request);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|request| request.number != number);
    }

    /// Requests for `service` that would be served before one of `priority`.
    pub fn count_ahead(&self, service: &ServiceName, priority: u8) -> usize {
        let ahead = self.waiting.iter().take_while(|request| request.priority <= priority);
        ahead.filter(|request| request.service == *service).count()
    }

    /// Requests that are served before one of `priority`, for keys that `is_same` accepts.
    pub fn count_ahead_for_keys(
        &self,
        service: &ServiceName,
        priority: u8,
        is_same: impl Fn(Option<u16>) -> bool,
    ) -> usize {
        let ahead = self.waiting.iter().take_while(|request| request.priority <= priority);
        let same = ahead.filter(|request| request.service == *service);
        same.filter(|request| is_same(request.key)).count()
    }

    /// Takes out the requests for which `admit` returns something, in order of rank.
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

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
