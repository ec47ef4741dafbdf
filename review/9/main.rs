//! Case 9: an instance restarts under its id and, some seconds later, leaves as those instances do that
//! never report `draining`. Its DELETE is acknowledged, and requests reach it until long after
//! `drain-s`; those that it still runs when it exits are lost.

#[path = "../stand_ins_2/common.rs"]
mod common;

use std::io::Write;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

/// Instances of the service, as in the small deployment.
const INSTANCES: u8 = 8;
/// `drain-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the acknowledgement until the instance exits: `drain-s` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// Time for which the instance is down when it crashes.
const DOWN: Duration = Duration::from_secs(3);
/// Time from its return until it leaves.
const STAYS: Duration = Duration::from_secs(4);
/// Requests a second.
const RATE: u64 = 60;
/// Time that clients wait.
const PATIENCE: Duration = Duration::from_secs(2);

const CONFIG: &str = r#"{"version":"r1","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"listeners":[{"host":"a.example","rule-set":[{"name":"attest","kind":"unsafe","target-latency-s":0.5,"priority":1,"match":{"path-prefix":"/attest/"},"action":{"service":"attestor","timeout-s":2,"max-attempts":2}}]}],"clusters":[{"name":"attestor","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}]}"#;

/// A request that an instance began to run.
struct Run {
    request: String,
    instance: String,
    born: u64,
    at: Instant,
}

struct Answer {
    request: String,
    text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has_trouble = arguments[1] != "0";
    let record = Record::new(&arguments[2]);
    limit_time(110, &record);
    let Some(mut fleet) = Fleet::start(2) else {
        eprintln!("the deployment could not be started");
        exit(NOT_RUN);
    };
    if !fleet.put_config(CONFIG, &record) {
        record.save();
        fleet.stop();
        exit(NOT_RUN);
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let shared = runs.clone();
    let behaviour: Behaviour = Arc::new(move |connection, request, instance| {
        if connection.read_body(&request, false).is_err() {
            return false;
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        instance.record.add(format!("{} (born {}) runs {id}", instance.id, instance.born));
        shared.lock().unwrap().push(Run {
            request: id,
            instance: instance.id.clone(),
            born: instance.born,
            at: Instant::now(),
        });
        thread::sleep(millis(80 + random() % 121));
        !instance.has_ended.load(Ordering::SeqCst)
            && connection
                .stream
                .write_all(success(&request, instance, "attested").as_bytes())
                .is_ok()
    });
    let mut instances = Vec::new();
    for number in 1..=INSTANCES {
        let id = format!("i-{number:x}{:07x}", random() & 0xfff_ffff);
        let ip = fleet.instance_ip(number);
        let started =
            Instance::start(&fleet, (&id, "attestor", ip, 2), None, &record, behaviour.clone());
        instances.extend(started);
    }
    if instances.len() != usize::from(INSTANCES) || !fleet.wait_ready(&record) {
        record.save();
        fleet.stop();
        exit(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let started = Instant::now();
    let has_stopped = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (entries, load_record, load_answers, load_stopped) =
        (fleet.entries.clone(), record.clone(), answers.clone(), has_stopped.clone());
    let load = thread::spawn(move || {
        let mut clients = Vec::new();
        while !load_stopped.load(Ordering::SeqCst) {
            let entry = entries[random() as usize % entries.len()];
            let (record, answers) = (load_record.clone(), load_answers.clone());
            clients.push(thread::spawn(move || {
                let id = request_id();
                let patience = PATIENCE.as_millis().to_string();
                let headers = [
                    ("Host", "a.example"),
                    ("X-Request-Id", &id[..]),
                    ("X-Request-Timeout-Ms", &patience),
                ];
                let reply = call(entry, "POST", "/attest/1", &headers, b"slip", PATIENCE);
                let text = reply.text();
                record.add(format!("client: POST {id} to {entry}: {text}"));
                answers.lock().unwrap().push(Answer { request: id, text });
            }));
            thread::sleep(millis(1_000 / RATE));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
    });
    thread::sleep(Duration::from_secs(4));
    let mut leaving = instances.remove(0);
    if has_trouble {
        record.add(format!("disruption: {} crashes", leaving.id));
        leaving.end();
        thread::sleep(DOWN);
        let (id, address) = (leaving.id.clone(), leaving.address);
        let std::net::IpAddr::V4(ip) = address.ip() else { exit(NOT_RUN) };
        let again = Instance::start(
            &fleet,
            (&id, "attestor", ip, 2),
            Some(address.port()),
            &record,
            behaviour.clone(),
        );
        match again {
            Some(again) => leaving = again,
            None => {
                record.add("the instance could not start again");
                record.save();
                fleet.stop();
                exit(NOT_RUN);
            }
        }
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(STAYS);
    // An instance that never reports `draining`: it sends DELETE first, serves on, and exits.
    leaving.beats.store(false, Ordering::SeqCst);
    thread::sleep(millis(1_000));
    let path = format!("/instances/{}", leaving.id);
    let acknowledged = loop {
        if let Some(control) = leaving.call_control(&fleet.controls, "DELETE", &path, b"") {
            record.add(format!("{}: DELETE acknowledged by {control}", leaving.id));
            break Instant::now();
        }
        thread::sleep(millis(200));
    };
    thread::sleep(SERVES_ON);
    leaving.end();
    let ended = Instant::now();
    thread::sleep(Duration::from_secs(3));
    has_stopped.store(true, Ordering::SeqCst);
    load.join().ok();
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let of_leaving = |run: &&Run| run.instance == leaving.id && run.born == leaving.born;
    let late: Vec<&Run> =
        runs.iter().filter(of_leaving).filter(|run| run.at > acknowledged + DRAIN).collect();
    let mut lost = 0;
    for run in &late {
        let answer = answers.iter().find(|answer| answer.request == run.request);
        let text = answer.map_or("none", |answer| &answer.text);
        record.add(format!(
            "late: {} reached {} {} ms after the acknowledgement; the client got: {text}",
            run.request,
            run.instance,
            run.at.duration_since(acknowledged).as_millis()
        ));
        lost += usize::from(!text.starts_with("200"));
    }
    let before = runs.iter().filter(of_leaving).filter(|run| run.at <= acknowledged).count();
    record.add(format!(
        "{} requests reached {} before the acknowledgement, {} later than drain-s after it; {lost} of these were not answered by it ({} ms from acknowledgement to exit, {} ms of load)",
        before,
        leaving.id,
        late.len(),
        ended.duration_since(acknowledged).as_millis(),
        started.elapsed().as_millis(),
    ));
    let is_broken = !late.is_empty();
    record.add(if is_broken { "DRAIN broken" } else { "DRAIN held" });
    let could_run = before > 0;
    record.save();
    instances.iter().for_each(Instance::end);
    fleet.stop();
    println!("{}", if is_broken { "broken" } else { "held" });
    exit(match (could_run, is_broken) {
        (_, true) => BROKEN,
        (true, false) => HELD,
        (false, false) => NOT_RUN,
    });
}
