//! Five control hosts, of which two may be lost. One is restarted as planned at the start of the day, and two
//! others lose their disks meanwhile.

mod common;

use common::*;

/// Time from the start of the machines to that of the traffic.
const LEAD_S: f64 = 10.0;

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(&record, 67, vec![1, 2, 3], 2);
    (1..=5).for_each(|host| deployment.start_control(host, true));
    let hosts = (1..=5).map(|host| deployment.control(host)).collect();
    let operator = Operator { hosts, record: record.clone() };
    if !operator.put(&config(1, ""), 9.0) {
        finish(deployment, &record, 2, "the first configuration was not acknowledged");
    }
    let at = |seconds: f64| sleep((LEAD_S + seconds - record.seconds()).max(0.0));
    at(0.0);
    if has_trouble() {
        deployment.signal("core-2", SIGTERM);
    }
    at(0.4);
    let last = config(2, &further_route("last"));
    if !operator.put(&last, 1.0) {
        finish(deployment, &record, 2, "the second configuration was not acknowledged");
    }
    if has_trouble() {
        for host in [1, 3] {
            deployment.kill(&format!("core-{host}"));
            deployment.lose_disk(host);
        }
        deployment.wait_end("core-2", 6.0);
        sleep(0.5);
        (1..=3).for_each(|host| deployment.start_control(host, false));
    }
    // `recover-s` after all are back.
    sleep(16.0);
    let read = operator.get(20.0);
    deployment.record_logs(&[
        "majority_lost",
        "members_changed",
        "replica_removed",
        "replica_leaves",
        "was_removed",
    ]);
    match read {
        Some(text) if text == last => finish(deployment, &record, 0, "r2 is read back"),
        Some(text) => finish(deployment, &record, 1, &format!("read back: {text}")),
        None => {
            let text = "r2 was acknowledged; the configuration doesn't come from 16 to 36 s after all are back";
            finish(deployment, &record, 1, text)
        }
    }
}
