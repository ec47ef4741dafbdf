//! Entries of another writer name a service that the configuration does not name, at the addresses of
//! instances that live.

mod common;

use std::sync::Arc;
use std::sync::Mutex;

use common::*;

fn main() {
    let record = Record::create();
    let mut deployment = Deployment::new(&record, 65, vec![1, 2, 3], 1);
    (1..=3).for_each(|host| deployment.start_control(host, true));
    (1..=2).for_each(|host| deployment.start_entry(host));
    let controls: Vec<_> = (1..=3).map(|host| deployment.control(host)).collect();
    let operator = Operator { hosts: controls.clone(), record: record.clone() };
    if !operator.put(&config(1, ""), 15.0) {
        finish(deployment, &record, 2, "the first configuration was not acknowledged");
    }
    let listed = Arc::new(Mutex::new(controls.clone()));
    let instances = [("s-1", "slips", true), ("s-2", "slips", true), ("n-1", "notes", false)];
    let instances: Vec<Instance> = (1..)
        .zip(instances)
        .map(|(number, (id, service, is_keyed))| {
            let (id, service) = (id.to_owned(), service.to_owned());
            let spec = InstanceSpec { id, service, is_keyed, zone: "zone-a", work_ms: 20 };
            Instance::start(spec, deployment.instance(number), listed.clone(), &record)
        })
        .collect();
    // Traffic starts 8 s after the machines do.
    sleep(7.0);
    if !instances[0].holds_keys() || !instances[1].holds_keys() {
        finish(deployment, &record, 2, "the instances hold no keys");
    }
    if has_trouble() {
        for (number, instance) in instances.iter().enumerate() {
            let body = format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"elsewhere","version":"v1","zone":"zone-a","slots":2}},"status":{{"state":"ready","seq":1,"warmup-left-s":0}}}}"#,
                instance.address,
                unix_ms(),
            );
            let start = format!("PUT /instances/other-{number}");
            let fields = [("Content-Type", "application/json")];
            let answer = send(controls[number], &start, &fields, &body, 1.0);
            let status = answer.as_ref().map_or(0, Message::status);
            record.write(&format!("another writer: {start} {body} -> {status}"));
        }
        sleep(1.0);
    }
    let (mut sent, mut served) = (0, 0);
    let end = record.seconds() + 30.0;
    while record.seconds() < end {
        for host in 1..=2 {
            for path in ["/keyed/x", "/plain/x"] {
                sent += 1;
                served += u32::from(
                    request(deployment.front(host), path, sent * 977 % 65_536, &record) == 200,
                );
            }
        }
        sleep(0.1);
    }
    deployment.record_logs(&["target_committed", "target_removed", "odd_announcement"]);
    let text = format!("{served} of {sent} requests were served");
    finish(deployment, &record, i32::from(served == 0), &text);
}
