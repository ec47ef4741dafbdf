//! Runs the example of `docs/EMBEDDING.md`.

#[path = "../examples/three_replicas.rs"]
mod three_replicas;

/// Guards against an embedding example that compiles but no longer works.
#[test]
fn example_elects_commits_and_replaces_a_lost_leader() {
    three_replicas::main().expect("each step of the example is done in time");
}
