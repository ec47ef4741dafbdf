//! Daemons and command line of the galenawheel router.
//!
//! The programs parse arguments, start the processes of the other crates and print results.
//! [`stand_in`] and [`layout`] also serve examples and tests.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cli;
pub mod daemon;
pub mod layout;
pub mod request_timeline;
pub mod stand_in;
