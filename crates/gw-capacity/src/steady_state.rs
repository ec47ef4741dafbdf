use std::time::Duration;

use crate::Cluster;
use crate::HostCounters;
use crate::HostRole;
use crate::MESSAGE_KINDS;

/// Mean rates of the hosts of one role in the steady state.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleRates {
    /// Role of the hosts.
    pub role: HostRole,
    /// Number of hosts with this role.
    pub hosts: usize,
    /// Frames sent per second and host.
    pub sent_frames: f64,
    /// Bytes of frames sent per second and host.
    pub sent_bytes: f64,
    /// Frames received per second and host.
    pub received_frames: f64,
    /// Bytes of frames received per second and host.
    pub received_bytes: f64,
    /// Bytes of frames sent per second by the host of the role that sent most.
    pub most_sent_bytes: f64,
    /// CPU time of the state machine per second and host, in microseconds.
    pub step_micros: f64,
    /// CPU time of encoding and decoding frames per second and host, in microseconds.
    pub codec_micros: f64,
    /// Bytes of the encoded state of one host of the role.
    pub state_bytes: usize,
    /// Bytes of frames sent per second and host by message kind, indexed as [`MESSAGE_KINDS`].
    pub kind_bytes: [f64; MESSAGE_KINDS.len()],
}

/// Runs the cluster for `windows` windows and returns the rates of each role that some host has at
/// the start.
///
/// Message and byte rates are means over all windows; CPU times are medians of the windows.
pub fn measure_steady(cluster: &mut Cluster, window: Duration, windows: usize) -> Vec<RoleRates> {
    let roles = cluster.roles();
    let mut deltas = Vec::new();
    for _ in 0..windows {
        let before = cluster.counters();
        cluster.run(window);
        let after = cluster.counters().into_iter().zip(before);
        deltas.push(after.map(|(after, before)| after - before).collect::<Vec<_>>());
    }
    let seconds = window.as_secs_f64();
    let measured = HostRole::ALL.into_iter().filter_map(|role| {
        let members: Vec<_> = (0..roles.len()).filter(|host| roles[*host] == role).collect();
        role_rates(cluster, role, &members, &deltas, seconds)
    });
    measured.collect()
}

fn role_rates(
    cluster: &Cluster,
    role: HostRole,
    members: &[usize],
    deltas: &[Vec<HostCounters>],
    seconds: f64,
) -> Option<RoleRates> {
    let first = *members.first()?;
    let count = members.len() as f64;
    let sums: Vec<_> = deltas.iter().map(|window| sum_of(members, window)).collect();
    let mut total = HostCounters::default();
    sums.iter().for_each(|sum| total += *sum);
    let all_seconds = seconds * deltas.len() as f64;
    let rate = |value: u64| value as f64 / count / all_seconds;
    let most = members.iter().map(|host| {
        let sent = deltas.iter().map(|window| window[*host].sent_bytes()).sum::<u64>();
        sent as f64 / all_seconds
    });
    let micros = |nanos: fn(&HostCounters) -> u64| {
        median(sums.iter().map(nanos).collect()) as f64 / 1_000.0 / count / seconds
    };
    Some(RoleRates {
        role,
        hosts: members.len(),
        sent_frames: rate(total.sent_frames()),
        sent_bytes: rate(total.sent_bytes()),
        received_frames: rate(total.received_frames),
        received_bytes: rate(total.received_bytes),
        most_sent_bytes: most.fold(0.0, f64::max),
        step_micros: micros(|sum| sum.step_nanos),
        codec_micros: micros(|sum| sum.codec_nanos),
        state_bytes: cluster.hosts()[first].state_bytes(),
        kind_bytes: total.kind_bytes.map(rate),
    })
}

fn sum_of(members: &[usize], window: &[HostCounters]) -> HostCounters {
    let mut sum = HostCounters::default();
    members.iter().for_each(|host| sum += window[*host]);
    sum
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}
