use crate::FleetCommand;
use crate::FleetOutcome;
use crate::FleetState;

/// Effect of a message of a control host on a [`LearnedState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The state has changed.
    Advanced,
    /// The message contained nothing new.
    Unchanged,
    /// Entries are missing or do not fit; they have to be requested.
    Incomplete,
}

/// The replicated state as far as a learner has received it.
#[derive(Clone, Debug, Default)]
pub struct LearnedState {
    state: FleetState,
    /// Log index of `state`; 0 until a first state has arrived. Never decreases, so that the complete
    /// state of a control host that lags does not put an older configuration in force.
    applied: u64,
    /// Whether a command did not fit, so that only a complete state can replace the present one.
    is_damaged: bool,
}

impl LearnedState {
    /// Returns the state.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns the log index of the state.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether a command did not fit, so that the complete state has to be requested.
    pub fn is_damaged(&self) -> bool {
        self.is_damaged
    }

    /// Whether the state contains everything up to `index`.
    pub fn contains(&self, index: u64) -> bool {
        !self.is_damaged && self.applied > 0 && self.applied >= index
    }

    /// Returns the index after which entries are to be requested; 0 requests the complete state.
    pub fn fetch_index(&self) -> u64 {
        if self.is_damaged { 0 } else { self.applied }
    }

    /// Installs a complete state, unless the present one is as recent.
    pub fn install(&mut self, index: u64, state: FleetState) -> LearnOutcome {
        if index < self.applied || (index == self.applied && self.contains(index)) {
            return LearnOutcome::Unchanged;
        }
        self.state = state;
        self.applied = index;
        self.is_damaged = false;
        LearnOutcome::Advanced
    }

    /// Applies the commands after index `after`, up to index `through`. Calls `inspect` with each
    /// command that was applied and the state after it.
    pub fn apply(
        &mut self,
        after: u64,
        through: u64,
        commands: &[(u64, FleetCommand)],
        mut inspect: impl FnMut(&FleetCommand, &FleetState),
    ) -> LearnOutcome {
        if through <= self.applied {
            return LearnOutcome::Unchanged;
        }
        if self.is_damaged || self.applied < after {
            return LearnOutcome::Incomplete;
        }
        let new = commands.iter().filter(|(index, _)| *index > self.applied);
        for (_, command) in new {
            let outcome = self.state.apply(command);
            let is_patch = matches!(command, FleetCommand::PatchConfig(_));
            if is_patch && outcome == FleetOutcome::Superseded {
                self.is_damaged = true;
                return LearnOutcome::Incomplete;
            }
            inspect(command, &self.state);
        }
        self.applied = through;
        LearnOutcome::Advanced
    }
}
