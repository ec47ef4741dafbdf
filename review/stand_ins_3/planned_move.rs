//! The control hosts of a deployment are replaced by new ones, one after the other, as planned work.

mod common;

use std::sync::Arc;
use std::sync::Mutex;

use common::*;

/// Time between two stops, the largest `gap_s` of `roll_term` on our deployments.
const GAP_S: f64 = 2.0;

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(&record, 61, vec![1, 2, 3], 1);
    let mut controls: Vec<_> = (1..=3).map(|host| deployment.control(host)).collect();
    (1..=3).for_each(|host| deployment.start_control(host, true));
    (1..=2).for_each(|host| deployment.start_entry(host));
    let mut operator = Operator { hosts: controls.clone(), record: record.clone() };
    if !operator.put(&config(1, ""), 15.0) {
        finish(deployment, &record, 2, "the first configuration was not acknowledged");
    }
    let listed = Arc::new(Mutex::new(controls.clone()));
    let instances = [("s-1", "slips", true), ("s-2", "slips", true), ("n-1", "notes", false)];
    let _instances: Vec<Instance> = (1..)
        .zip(instances)
        .map(|(number, (id, service, is_keyed))| {
            let (id, service) = (id.to_owned(), service.to_owned());
            let spec = InstanceSpec { id, service, is_keyed, zone: "zone-a", work_ms: 20 };
            Instance::start(spec, deployment.instance(number), listed.clone(), &record)
        })
        .collect();
    let paths = ["/keyed/x", "/plain/x"];
    if !wait_served(deployment.front(1), &paths, &record, 15.0) {
        finish(deployment, &record, 2, "requests are not served before the planned work");
    }
    // The successors, each at a new address and with an empty disk.
    (4..=6).for_each(|host| deployment.start_control(host, false));
    controls.extend((4..=6).map(|host| deployment.control(host)));
    operator.hosts = controls.clone();
    // `seed-lag-s` and `catch-up-s` pass several times over before the old machines leave.
    sleep(14.0);
    if !operator.put(&config(2, &further_route("later")), 4.0) {
        finish(deployment, &record, 2, "the second configuration was not acknowledged");
    }
    if has_trouble() {
        // The platform's files name the present machines before the old ones leave.
        deployment.change_seeds(vec![4, 5, 6]);
        sleep(2.0);
        for host in 1..=3 {
            let name = format!("core-{host}");
            let next = record.seconds() + GAP_S;
            deployment.signal(&name, SIGTERM);
            deployment.wait_end(&name, 6.0);
            sleep((next - record.seconds()).max(0.0));
        }
        operator.hosts = (4..=6).map(|host| deployment.control(host)).collect();
        *listed.lock().expect("a lock") = operator.hosts.clone();
    }
    // `contact-s` and `recover-s` from the last planned stop.
    sleep(18.0);
    let read = operator.get(15.0);
    let is_acknowledged = operator.put(&config(3, &further_route("last")), 8.0);
    let keyed =
        (0..10).filter(|n| request(deployment.front(1), "/keyed/x", n * 6_000, &record) == 200);
    let keyed = keyed.count();
    deployment.record_logs(&[
        "majority_lost",
        "members_changed",
        "replica_removed",
        "replica_lost",
    ]);
    let served =
        format!("{keyed} of 10 keyed requests served, next change acknowledged: {is_acknowledged}");
    match read {
        Some(text) if text == config(2, &further_route("later")) => {
            finish(deployment, &record, 0, &format!("r2 is read back; {served}"))
        }
        Some(text) => finish(deployment, &record, 1, &format!("read back: {text}; {served}")),
        None => finish(
            deployment,
            &record,
            1,
            &format!("the configuration doesn't come for 15 s, 18 s after the last stop; {served}"),
        ),
    }
}
