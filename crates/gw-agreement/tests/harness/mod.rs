//! Simulates time, a lossy network and disk crashes for replicas and their journals.
#![allow(dead_code, reason = "each test binary uses a part")]

pub(crate) mod checks;
pub(crate) mod cluster;
pub(crate) mod replica;
pub(crate) mod rng;
pub(crate) mod schedule;
