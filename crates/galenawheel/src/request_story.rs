//! The story of one request, from the log files of several hosts.

/// Seconds before the first line of a request in which beliefs are told: a plan, a move and an
/// election are over within that time.
const LOOK_BACK: f64 = 10.0;
/// Events that say what a host believes whichever target a request went to.
const GENERAL_EVENTS: [&str; 9] = [
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

/// Fields of a request's lines that name targets: where it was sent, who holds its key, and who is
/// to hold it.
const TARGET_FIELDS: [&str; 3] = ["target", "holder", "next"];

/// A log file and what it is called in the story.
#[derive(Clone, Debug)]
pub struct LogFile {
    /// Name of the host.
    pub host: String,
    /// The whole text.
    pub text: String,
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct StoryLine {
    /// Seconds since 1970 on the host's clock.
    pub time: f64,
    /// The host.
    pub host: String,
    /// Whether the line is about the request itself, not about a belief behind it.
    pub is_request: bool,
    /// The line without its time.
    pub text: String,
}

/// Value of the field `name` of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = line.split(' ').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// All that hosts logged about the request `id`, and what they believed of the targets that it went
/// to, in order of time. Empty if no file names the request.
pub fn request_story(id: &str, files: &[LogFile]) -> Vec<StoryLine> {
    let lines: Vec<StoryLine> = files.iter().flat_map(|file| read_lines(id, file)).collect();
    let own = || lines.iter().filter(|line| line.is_request);
    let Some(first) = own().map(|line| line.time).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let last = own().map(|line| line.time).max_by(f64::total_cmp).unwrap_or(first);
    let named = |line: &StoryLine| {
        TARGET_FIELDS.map(|name| field(&line.text, name).map(str::to_owned)).into_iter().flatten()
    };
    let mut targets: Vec<String> = own()
        .flat_map(|line| named(line).collect::<Vec<_>>())
        .filter(|target| target != "none")
        .map(|target| target.split('@').next().unwrap_or(&target).to_owned())
        .collect();
    targets.sort();
    targets.dedup();
    let is_belief = |line: &StoryLine| {
        let event = field(&line.text, "event").unwrap_or_default();
        let is_general = GENERAL_EVENTS.contains(&event);
        is_general || targets.iter().any(|target| tells_of_target(&line.text, event, target))
    };
    let in_time = |line: &StoryLine| line.time >= first - LOOK_BACK && line.time <= last;
    let mut story: Vec<StoryLine> = lines
        .iter()
        .filter(|line| line.is_request || (in_time(line) && is_belief(line)))
        .cloned()
        .collect();
    story.sort_by(|a, b| a.time.total_cmp(&b.time));
    story
}

/// Whether a line changes what is believed of `target`. Other requests to it are left out.
fn tells_of_target(line: &str, event: &str, target: &str) -> bool {
    let is_request = matches!(event, "answered" | "refused" | "attempt_failed");
    !is_request && line.contains(target)
}

fn read_lines(id: &str, file: &LogFile) -> Vec<StoryLine> {
    let read = file.text.lines().filter_map(|line| {
        let start = line.find("time=")?;
        let line = &line[start..];
        let (time, text) = line.split_once(' ')?;
        Some(StoryLine {
            time: time.strip_prefix("time=")?.parse().ok()?,
            host: file.host.clone(),
            is_request: field(text, "id") == Some(id),
            text: text.to_owned(),
        })
    });
    read.collect()
}
