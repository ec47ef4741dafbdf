//! What a platform's adapter translates: calls, requests, answers and orders.
//!
//! An adapter implements [`HostDialect`]. It decides nothing and keeps no state.

mod call_error;
mod caller_facts;
mod control_call;
mod host_dialect;
mod order_call;
mod settings_source;
mod target_answer;
mod target_stamp;

pub use call_error::CallError;
pub use caller_facts::CallerFacts;
pub use control_call::ControlCall;
pub use control_call::ControlReply;
pub use control_call::TargetBeat;
pub use host_dialect::HostDialect;
pub use order_call::OrderCall;
pub use settings_source::SettingsSource;
pub use target_answer::TargetAnswer;
pub use target_stamp::TargetStamp;
