//! Daemons and command line of the galenawheel router.
//!
//! The programs only parse arguments, wire the parts of the other crates and print.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cli;
pub mod daemon;
pub mod layout;
pub mod request_story;
pub mod stand_in;
