use gw_types::TargetState;
use statig::prelude::*;

/// Event that may change the state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvent {
    /// The slow start is over.
    WarmedUp,
    /// The target reported that it drains or leaves.
    DrainRequested,
    /// The target expired, failed or was replaced by a later run.
    Failed,
    /// The target, or a later run of it, announced itself again and may rejoin.
    Rejoined,
}

/// State machine of a target with the states starting, serving, draining and lost.
///
/// A run that has started to drain never serves again; only a later run of the target does.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetHealth;

#[state_machine(initial = "State::starting()", state(derive(Clone, Debug, PartialEq, Eq)))]
impl TargetHealth {
    #[state]
    fn starting(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::WarmedUp => Transition(State::serving()),
            HealthEvent::DrainRequested => Transition(State::draining()),
            HealthEvent::Failed => Transition(State::lost()),
            HealthEvent::Rejoined => Handled,
        }
    }

    #[state]
    fn serving(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::DrainRequested => Transition(State::draining()),
            HealthEvent::Failed => Transition(State::lost()),
            HealthEvent::WarmedUp | HealthEvent::Rejoined => Handled,
        }
    }

    #[state]
    fn draining(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Failed => Transition(State::lost()),
            _ => Handled,
        }
    }

    #[state]
    fn lost(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Rejoined => Transition(State::starting()),
            _ => Handled,
        }
    }
}

impl State {
    pub(crate) fn target_state(&self) -> TargetState {
        match self {
            State::Starting {} => TargetState::Starting,
            State::Serving {} => TargetState::Serving,
            State::Draining {} => TargetState::Draining,
            State::Lost {} => TargetState::Lost,
        }
    }
}
