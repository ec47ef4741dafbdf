//! Two control hosts are replaced one after the other, as planned, and each successor has had its time. Then
//! the third one loses its disk.

mod common;

use common::*;

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(&record, 66, vec![1, 2, 3], 1);
    (1..=3).for_each(|host| deployment.start_control(host, true));
    let hosts = (1..=3).map(|host| deployment.control(host)).collect();
    let mut operator = Operator { hosts, record: record.clone() };
    if !operator.put(&config(1, ""), 15.0) {
        finish(deployment, &record, 2, "the first configuration was not acknowledged");
    }
    // `catch-up-s` passes after the start.
    sleep(5.0);
    let start = record.seconds();
    let at = |seconds: f64| sleep((start + seconds - record.seconds()).max(0.0));
    // The successor of core-3 comes first and has much more than `catch-up-s`.
    deployment.start_control(4, false);
    operator.hosts.push(deployment.control(4));
    at(14.0);
    if has_trouble() {
        deployment.change_seeds(vec![1, 2, 4]);
        deployment.signal("core-3", SIGTERM);
        deployment.wait_end("core-3", 6.0);
        operator.hosts.remove(2);
    }
    at(24.5);
    if has_trouble() {
        // core-1 is gone for good; its successor comes a second later.
        deployment.kill("core-1");
        operator.hosts.remove(0);
        deployment.change_seeds(vec![2, 4]);
    }
    at(25.5);
    deployment.start_control(5, false);
    operator.hosts.push(deployment.control(5));
    deployment.change_seeds(vec![2, 4, 5]);
    // `catch-up-s` is 4: core-1 no longer counts as lost.
    at(30.8);
    let last = config(2, &further_route("last"));
    if !operator.put(&last, 1.5) {
        finish(deployment, &record, 2, "the second configuration was not acknowledged");
    }
    if has_trouble() {
        deployment.kill("core-2");
        deployment.lose_disk(2);
        sleep(1.0);
        deployment.start_control(2, false);
    }
    // `recover-s` after all are back.
    sleep(16.0);
    let read = operator.get(15.0);
    deployment.record_logs(&[
        "majority_lost",
        "members_changed",
        "replica_removed",
        "replica_lost",
        "replica_replaced",
    ]);
    match read {
        Some(text) if text == last => finish(deployment, &record, 0, "r2 is read back"),
        Some(text) => finish(deployment, &record, 1, &format!("read back: {text}")),
        None => {
            let text = "r2 was acknowledged; the configuration doesn't come from 16 to 31 s after all are back";
            finish(deployment, &record, 1, text)
        }
    }
}
