//! Entry hosts: callers' requests, and the learner of the control log.

mod admission;
mod control_links;
mod entry_host;
mod local_reply;
mod read_request;
mod request_handler;
mod run_entry;
mod target_attempt;

pub(crate) use run_entry::run_entry;
