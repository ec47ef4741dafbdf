//! Five control hosts, of which two may be lost. Two are dark for some seconds, one is added meanwhile, and
//! two others lose their disks.

mod common;

use common::*;

/// How long two control hosts have no power, the largest `for_s` of `node_kill` on two core machines.
const DARK_S: f64 = 7.0;

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(&record, 62, vec![1, 2, 3], 2);
    (1..=5).for_each(|host| deployment.start_control(host, true));
    let hosts = (1..=5).map(|host| deployment.control(host)).collect();
    let mut operator = Operator { hosts, record: record.clone() };
    if !operator.put(&config(1, ""), 15.0) {
        finish(deployment, &record, 2, "the first configuration was not acknowledged");
    }
    // `catch-up-s` passes after the start.
    sleep(8.0);
    if !operator.put(&config(2, ""), 4.0) {
        finish(deployment, &record, 2, "the second configuration was not acknowledged");
    }
    let dark_since = record.seconds();
    let at = |seconds: f64| sleep((dark_since + seconds - record.seconds()).max(0.0));
    if has_trouble() {
        deployment.kill("core-4");
        deployment.kill("core-5");
    }
    at(3.0);
    deployment.start_control(6, false);
    operator.hosts.push(deployment.control(6));
    at(4.5);
    let last = config(3, &further_route("last"));
    if !operator.put(&last, 1.5) {
        finish(deployment, &record, 2, "the third configuration was not acknowledged");
    }
    if has_trouble() {
        // Both have acknowledged the change or could have.
        for host in 1..=2 {
            deployment.kill(&format!("core-{host}"));
            deployment.lose_disk(host);
        }
        sleep(0.5);
        (1..=2).for_each(|host| deployment.start_control(host, false));
    }
    at(DARK_S);
    if has_trouble() {
        (4..=5).for_each(|host| deployment.start_control(host, false));
    }
    // `recover-s` after all are back.
    sleep(16.0);
    let read = operator.get(20.0);
    deployment.record_logs(&[
        "majority_lost",
        "members_changed",
        "replica_removed",
        "replica_lost",
        "replica_replaced",
        "was_removed",
    ]);
    match read {
        Some(text) if text == last => finish(deployment, &record, 0, "r3 is read back"),
        Some(text) => finish(deployment, &record, 1, &format!("read back: {text}")),
        None => {
            let text = "r3 was acknowledged; the configuration doesn't come from 16 to 36 s after all are back";
            finish(deployment, &record, 1, text)
        }
    }
}
