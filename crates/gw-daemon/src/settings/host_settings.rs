use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use gw_types::HostEntry;
use log::LevelFilter;
use rustix::fs::Access;
use rustix::fs::access;

use super::KeySettings;
use super::LimitSettings;
use super::SettingsErrors;
use super::host_checks::check_addresses;
use super::host_checks::check_hosts;
use super::host_checks::parse_address;
use super::key_files::read_keys;
use super::settings_error::ErrorCollector;
use super::settings_file::ListenerSection;
use super::settings_file::SettingsFile;

/// Valid settings of one host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// This host; one of `hosts`.
    pub host: HostEntry,
    /// All hosts of the system.
    pub hosts: Vec<HostEntry>,
    /// Addresses of this host in addition to those in the list of hosts.
    pub listeners: ListenerSettings,
    /// Whether and where this process runs a control replica.
    pub control: ControlSettings,
    /// Secrets that were read from the key files.
    pub keys: KeySettings,
    /// Limits on requests and connections.
    pub limits: LimitSettings,
    /// Lowest severity that is logged.
    pub log_level: LevelFilter,
}

/// Addresses of the listeners that other hosts do not connect to. A control host uses only
/// `operators`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for announcements and reports of targets.
    pub targets: SocketAddr,
    /// Address for metrics, health checks and operators' calls.
    pub operators: SocketAddr,
}

/// Whether and where this process stores control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Whether an entry host also runs a control replica.
    pub embedded: bool,
    /// Folder of the replica's journal; required on a host that runs a replica.
    pub data: Option<PathBuf>,
}

impl HostSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file and of the key files that it names. A file that cannot be
    /// read or is not valid TOML gives a single error.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let mut errors = ErrorCollector::new(path);
        let settings = read(path, &mut errors).and_then(|file| check(file, path, &mut errors));
        errors.finish(settings)
    }
}

fn read(path: &Path, errors: &mut ErrorCollector) -> Option<SettingsFile> {
    let text = errors.check("file", fs::read_to_string(path))?;
    match toml::from_str(&text) {
        Ok(file) => Some(file),
        Err(error) => {
            let before = error.span().map_or("", |span| text.get(..span.start).unwrap_or(""));
            let line = 1 + before.matches('\n').count();
            errors.add(format!("line {line}"), error.message());
            None
        }
    }
}

fn check(file: SettingsFile, path: &Path, errors: &mut ErrorCollector) -> Option<HostSettings> {
    let hosts = check_hosts(&file.hosts, errors);
    let host = hosts.iter().find(|host| host.name.as_str() == file.name).cloned();
    if !file.hosts.iter().any(|host| host.name == file.name) {
        errors.add("name", format!("{:?} is not in the list of hosts", file.name));
    }
    for (field, reason) in file.limits.invalid_fields() {
        errors.add(field, reason);
    }
    let level = file.log.level.parse::<LevelFilter>();
    let level = level.map_err(|_| "must be off, error, warn, info, debug or trace");
    let log_level = errors.check("log.level", level);
    let folder = path.parent().unwrap_or(Path::new("."));
    let keys = read_keys(&file.keys, folder, errors);
    let is_entry = host.as_ref().is_none_or(HostEntry::is_entry);
    let listeners = check_listeners(&file.listeners, is_entry, errors);
    let control = ControlSettings {
        embedded: file.control.embedded,
        data: file.control.data.map(|data| folder.join(data)),
    };
    let host = host?;
    check_control(&host, &control, errors);
    check_all_addresses(&host, &hosts, listeners, errors);
    let (listeners, keys, log_level) = (listeners?, keys?, log_level?);
    let limits = file.limits;
    Some(HostSettings { host, hosts, listeners, control, keys, limits, log_level })
}

fn check_listeners(
    section: &ListenerSection,
    is_entry: bool,
    errors: &mut ErrorCollector,
) -> Option<ListenerSettings> {
    let mut parse = |name: &str, text: &Option<String>, is_needed: bool| {
        let field = format!("listeners.{name}");
        match text {
            Some(text) => parse_address(field, text, errors),
            None if is_needed => {
                errors.add(field, "is missing");
                None
            }
            None => Some(SocketAddr::from(([0, 0, 0, 0], 0))),
        }
    };
    let callers = parse("callers", &section.callers, is_entry);
    let targets = parse("targets", &section.targets, is_entry);
    let operators = parse("operators", &section.operators, true);
    Some(ListenerSettings { callers: callers?, targets: targets?, operators: operators? })
}

fn check_control(host: &HostEntry, control: &ControlSettings, errors: &mut ErrorCollector) {
    if control.embedded && !host.control {
        errors.add("control.embedded", format!("host {} is not listed with control", host.name));
    }
    if host.control && host.is_entry() && !control.embedded {
        errors.add("control.embedded", format!("host {} is listed with control", host.name));
    }
    match &control.data {
        Some(data) => {
            let writable = access(data, Access::WRITE_OK | Access::EXEC_OK);
            let writable = writable
                .map_err(|error| format!("folder {} cannot be written: {error}", data.display()));
            errors.check("control.data", writable);
            if !data.is_dir() && data.exists() {
                errors.add("control.data", format!("{} is not a folder", data.display()));
            }
        }
        None if host.control => {
            errors.add("control.data", "a host with a control replica needs a data folder");
        }
        None => {}
    }
}

fn check_all_addresses(
    host: &HostEntry,
    hosts: &[HostEntry],
    listeners: Option<ListenerSettings>,
    errors: &mut ErrorCollector,
) {
    let mut addresses = Vec::new();
    for (index, entry) in hosts.iter().enumerate() {
        addresses.push((format!("hosts[{index}].peers"), entry.peers));
        let forwards =
            entry.forwards.map(|forwards| (format!("hosts[{index}].forwards"), forwards));
        addresses.extend(forwards);
    }
    if let Some(listeners) = listeners {
        let mut own = vec![("listeners.operators", listeners.operators)];
        if host.is_entry() {
            own.push(("listeners.callers", listeners.callers));
            own.push(("listeners.targets", listeners.targets));
        }
        // A wildcard address of this host conflicts only with other addresses of this host.
        let is_wildcard = |address: &SocketAddr| address.ip().is_unspecified();
        if own.iter().any(|(_, address)| is_wildcard(address)) {
            addresses
                .retain(|(_, address)| *address == host.peers || Some(*address) == host.forwards);
        }
        addresses.extend(own.into_iter().map(|(field, address)| (field.to_owned(), address)));
    }
    check_addresses(&addresses, errors);
}
