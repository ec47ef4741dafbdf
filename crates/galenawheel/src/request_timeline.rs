//! Timeline of one request, from the log files of several hosts.

/// Time before the first log line of a request from which other events are included, in seconds. A
/// plan, a move and an election take less than that.
const LOOKBACK_S: f64 = 10.0;
/// Events that are included for all requests, because they change the state of a host rather than
/// of a target.
const HOST_EVENTS: [&str; 9] = [
    "config_in_force",
    "leads_control",
    "left_control",
    "link_closed",
    "host_unreachable",
    "state_behind",
    "replica_stopped",
    "started",
    "stopping",
];

/// Fields of a request's log lines that name targets: the one that it was sent to, the holder of
/// its key, and the next holder of the key.
const TARGET_FIELDS: [&str; 3] = ["target", "holder", "next"];

/// Log file of a host.
#[derive(Clone, Debug)]
pub struct LogFile {
    /// Name of the host in the timeline.
    pub host: String,
    /// Content of the file.
    pub text: String,
}

/// A log line in the timeline of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Time on the host's clock, in seconds since 1970-01-01 UTC.
    pub time: f64,
    /// Name of the host that logged the line.
    pub host: String,
    /// Whether the line has the id of the request. Other lines are events that may explain its
    /// outcome.
    pub is_request: bool,
    /// Log line without its time.
    pub text: String,
}

/// Returns the value of the field `name` of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = line.split(' ').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the log lines about the request `id`, and the events that changed the state of hosts and
/// of the request's targets up to then, in order of time. Empty if no file contains the request.
pub fn request_timeline(id: &str, files: &[LogFile]) -> Vec<TimelineEntry> {
    let lines: Vec<TimelineEntry> = files.iter().flat_map(|file| read_lines(id, file)).collect();
    let request_lines = || lines.iter().filter(|line| line.is_request);
    let Some(first) = request_lines().map(|line| line.time).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let last = request_lines().map(|line| line.time).max_by(f64::total_cmp).unwrap_or(first);
    let named_targets = |line: &TimelineEntry| {
        TARGET_FIELDS.map(|name| field(&line.text, name).map(str::to_owned)).into_iter().flatten()
    };
    let mut targets: Vec<String> = request_lines()
        .flat_map(|line| named_targets(line).collect::<Vec<_>>())
        .filter(|target| target != "none")
        .map(|target| target.split('@').next().unwrap_or(&target).to_owned())
        .collect();
    targets.sort();
    targets.dedup();
    let is_related = |line: &TimelineEntry| {
        let event = field(&line.text, "event").unwrap_or_default();
        let is_host_event = HOST_EVENTS.contains(&event);
        is_host_event || targets.iter().any(|target| is_target_event(&line.text, event, target))
    };
    let is_in_window = |line: &TimelineEntry| line.time >= first - LOOKBACK_S && line.time <= last;
    let mut timeline: Vec<TimelineEntry> = lines
        .iter()
        .filter(|line| line.is_request || (is_in_window(line) && is_related(line)))
        .cloned()
        .collect();
    timeline.sort_by(|a, b| a.time.total_cmp(&b.time));
    timeline
}

/// Returns whether a log line is an event of `target` other than the outcome of a request.
fn is_target_event(line: &str, event: &str, target: &str) -> bool {
    let is_request = matches!(event, "answered" | "refused" | "attempt_failed");
    !is_request && line.contains(target)
}

fn read_lines(id: &str, file: &LogFile) -> Vec<TimelineEntry> {
    let entries = file.text.lines().filter_map(|line| {
        let start = line.find("time=")?;
        let line = &line[start..];
        let (time, text) = line.split_once(' ')?;
        Some(TimelineEntry {
            time: time.strip_prefix("time=")?.parse().ok()?,
            host: file.host.clone(),
            is_request: field(text, "id") == Some(id),
            text: text.to_owned(),
        })
    });
    entries.collect()
}
