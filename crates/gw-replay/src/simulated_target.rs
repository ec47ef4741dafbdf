use std::collections::VecDeque;

/// Health of a target's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetHealth {
    Up,
    /// Suspended: accepts connections but makes no progress.
    Frozen,
    Exited,
}

/// A target that runs up to `work_slots` attempts concurrently and queues others in FIFO order.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedTarget {
    pub(crate) service: usize,
    pub(crate) zone: usize,
    pub(crate) health: TargetHealth,
    /// Whether the hosts' tables list the target as accepting work.
    pub(crate) is_listed: bool,
    running: Vec<usize>,
    backlog: VecDeque<usize>,
    /// Runs that were due to end while the target was frozen.
    stalled_runs: Vec<usize>,
    work_slots: usize,
}

impl SimulatedTarget {
    pub(crate) fn new(service: usize, zone: usize, work_slots: u16) -> Self {
        Self {
            service,
            zone,
            health: TargetHealth::Up,
            is_listed: true,
            running: Vec::new(),
            backlog: VecDeque::new(),
            stalled_runs: Vec::new(),
            work_slots: usize::from(work_slots),
        }
    }

    /// Queues an attempt. Returns the attempt that begins to run now, if any.
    pub(crate) fn accept(&mut self, attempt: usize) -> Option<usize> {
        self.backlog.push_back(attempt);
        self.next_run()
    }

    /// Ends a run and returns the next attempt that begins to run, if any.
    ///
    /// Returns `Err` if the run does not end: the target has exited or is frozen, or the attempt
    /// was cancelled.
    pub(crate) fn end_run(&mut self, attempt: usize) -> Result<Option<usize>, ()> {
        match self.health {
            TargetHealth::Exited => Err(()),
            TargetHealth::Frozen => {
                self.stalled_runs.push(attempt);
                Err(())
            }
            TargetHealth::Up if !self.running.contains(&attempt) => Err(()),
            TargetHealth::Up => {
                self.running.retain(|&run| run != attempt);
                Ok(self.next_run())
            }
        }
    }

    /// Cancels an attempt whose sender has closed the connection, and returns the next attempt that
    /// begins to run. A frozen target does not notice and keeps the attempt.
    pub(crate) fn cancel(&mut self, attempt: usize) -> Option<usize> {
        if self.health != TargetHealth::Up {
            return None;
        }
        self.running.retain(|&run| run != attempt);
        self.backlog.retain(|&queued| queued != attempt);
        self.next_run()
    }

    /// Resumes a frozen target. Returns the runs that end immediately.
    pub(crate) fn unfreeze(&mut self) -> Vec<usize> {
        self.health = TargetHealth::Up;
        std::mem::take(&mut self.stalled_runs)
    }

    fn next_run(&mut self) -> Option<usize> {
        if self.health != TargetHealth::Up || self.running.len() >= self.work_slots {
            return None;
        }
        let attempt = self.backlog.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }
}
