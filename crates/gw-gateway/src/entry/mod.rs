//! Entry hosts: callers' requests, and the learner of the control log.

mod admission;
mod control_links;
mod entry_host;
mod own_answer;
mod read_request;
mod request_flow;
mod run_entry;
mod target_attempt;

pub(crate) use run_entry::run_entry;
