//! Reading and checking of settings files.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;

use gw_daemon::settings::HostSettings;

const VALID_SETTINGS: &str = r#"name = "entry-1"

[[hosts]]
id = 1
name = "entry-1"
zone = "a"
peers = "10.0.0.1:7000"
forwards = "10.0.0.1:7001"
control = true

[[hosts]]
id = 2
name = "entry-2"
zone = "b"
peers = "10.0.0.2:7000"
forwards = "10.0.0.2:7001"

[[hosts]]
id = 3
name = "control-3"
zone = "b"
peers = "10.0.0.3:7000"
control = true

[listeners]
callers = "10.0.0.1:80"
targets = "10.0.0.1:81"
operators = "10.0.0.1:82"

[control]
embedded = true
data = "data"

[keys]
frames = ["frame-1", "frame-2"]
operators = "operators"
registration = "registration"

[limits]
body_bytes = 1000

[log]
level = "warn"
"#;

fn write(folder: &Path, name: &str, text: &str, mode: u32) {
    let path = folder.join(name);
    fs::write(&path, text).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
}

/// Creates a folder with a valid settings file and its key files.
fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings").join(name);
    fs::remove_dir_all(&folder).ok();
    fs::create_dir_all(folder.join("data")).unwrap();
    write(&folder, "frame-1", &format!("1 {}\n", "ab".repeat(32)), 0o600);
    write(&folder, "frame-2", &format!("2 {}\n", "cd".repeat(32)), 0o600);
    write(&folder, "operators", "operators-token-1\n", 0o600);
    let registration = "# tokens\nslips registration-token-1\n\nslips registration-token-2\n";
    write(&folder, "registration", registration, 0o600);
    write(&folder, "host.toml", VALID_SETTINGS, 0o644);
    folder
}

/// Guards against valid settings that are rejected or read wrongly, and against secrets in the
/// debug output.
#[test]
fn valid_settings_are_read() {
    let folder = new_folder("good");
    let settings = HostSettings::load(&folder.join("host.toml")).unwrap();
    assert_eq!(settings.host.id.0, 1);
    assert_eq!(settings.hosts.len(), 3);
    assert!(!settings.hosts[2].is_entry());
    assert_eq!(settings.listeners.callers.to_string(), "10.0.0.1:80");
    assert_eq!(settings.control.data, Some(folder.join("data")));
    assert_eq!(settings.keys.frames.signing_key().0, 1);
    assert_eq!(settings.keys.operators, "operators-token-1");
    assert_eq!(settings.keys.registration.len(), 2);
    assert_eq!(settings.limits.body_bytes, 1_000);
    assert_eq!(settings.log_level, log::LevelFilter::Warn);
    let shown = format!("{settings:?}");
    assert!(!shown.contains("token-1") && !shown.contains("abab"), "a secret is shown: {shown}");
}

/// Guards against invalid settings that are accepted, and against error messages that lack the
/// file, the field or the reason or have more than one line.
#[test]
fn each_error_is_one_line_with_file_field_and_reason() {
    struct Case {
        from: &'static str,
        to: &'static str,
        field: &'static str,
        reason: &'static str,
    }
    let case = |from, to, field, reason| Case { from, to, field, reason };
    let cases = [
        case("level = \"warn\"", "colour = 1", "line ", "unknown field `colour`"),
        case("[log]", "[logs]", "line ", "unknown field `logs`"),
        case("id = 2", "id = \"two\"", "line ", "invalid type"),
        case("id = 2", "id = 1", "hosts[1].id", "id 1 is already used by hosts[0]"),
        case("\"entry-2\"", "\"entry-1\"", "hosts[1].name", "already used by hosts[0]"),
        case("\"control-3\"", "\"entry-2\"", "hosts[2].name", "already used by hosts[1]"),
        case("\"entry-2\"", "\"entry 2\"", "hosts[1].name", "contains ' '"),
        case("name = \"entry-1\"\n\n", "name = \"x\"\n\n", "name", "not in the list of hosts"),
        case("10.0.0.2:7000", "localhost:7000", "hosts[1].peers", "not an IP address"),
        case("10.0.0.2:7000", "10.0.0.2:0", "hosts[1].peers", "has port 0"),
        case("10.0.0.2:7000", "10.0.0.1:7000", "hosts[1].peers", "already used by hosts[0].peers"),
        case("10.0.0.1:81", "10.0.0.1:80", "listeners.targets", "used by listeners.callers"),
        case("10.0.0.1:82", "0.0.0.0:7001", "listeners.operators", "used by hosts[0].forwards"),
        case("targets = \"10.0.0.1:81\"\n", "", "listeners.targets", "is missing"),
        case("forwards = \"10.0.0.2:7001\"\n", "", "hosts", "zone b has no entry host"),
        case("control = true\n\n[listeners]", "\n[listeners]", "hosts[2].forwards", "control"),
        case("data = \"data\"\n", "", "control.data", "needs a data folder"),
        case("data = \"data\"", "data = \"gone\"", "control.data", "cannot be written"),
        case("data = \"data\"", "data = \"host.toml\"", "control.data", "not a folder"),
        case("embedded = true", "embedded = false", "control.embedded", "listed with control"),
        case("\"frame-2\"", "\"frame-3\"", "keys.frames[1]", "cannot read"),
        case("\"frame-2\"", "\"frame-1\"", "keys.frames", "key 1 is given twice"),
        case("\"frame-1\", \"frame-2\"", "", "keys.frames", "there is no key"),
        case("\"frame-2\"", "\"operators\"", "keys.frames[1]", "64 hexadecimal digits"),
        case("\"operators\"", "\"open\"", "keys.operators", "mode 0644"),
        case("\"registration\"", "\"open\"", "keys.registration", "mode 0644"),
        case("\"operators\"", "\"short\"", "keys.operators", "shorter than 16 bytes"),
        case("\"registration\"", "\"short\"", "keys.registration", "line 1"),
        case("body_bytes = 1000", "head_bytes = 100", "limits.head_bytes", "at least 8192"),
        case("body_bytes = 1000", "connections = 0", "limits.connections", "at least 1"),
        case("level = \"warn\"", "level = \"loud\"", "log.level", "must be off"),
    ];
    let folder = new_folder("faults");
    write(&folder, "open", "slips registration-token-1\n", 0o644);
    write(&folder, "short", "token\n", 0o600);
    for Case { from, to, field, reason } in cases {
        assert!(VALID_SETTINGS.contains(from), "{from:?} is not in the file");
        write(&folder, "host.toml", &VALID_SETTINGS.replacen(from, to, 1), 0o644);
        let path = folder.join("host.toml");
        let errors = HostSettings::load(&path).expect_err(to).0;
        let is_expected = |error: &&gw_daemon::settings::SettingsError| {
            error.field.starts_with(field) && error.reason.contains(reason)
        };
        let error = errors.iter().find(is_expected);
        let error = error.unwrap_or_else(|| panic!("{from:?} -> {to:?} gives {errors:?}"));
        let line = error.to_string();
        assert!(line.starts_with(&format!("{}: {field}", path.display())), "{line}");
        assert!(!line.contains('\n'), "{line:?}");
    }
    let missing = HostSettings::load(&folder.join("none.toml")).unwrap_err();
    assert_eq!(missing.0[0].field, "file");
}

/// Guards against errors that are only reported after an earlier one was corrected.
#[test]
fn all_errors_are_reported_at_once() {
    let folder = new_folder("several");
    let text = VALID_SETTINGS
        .replace("id = 2", "id = 1")
        .replace("10.0.0.3:7000", "x")
        .replace("warn", "x");
    write(&folder, "host.toml", &text, 0o644);
    let errors = HostSettings::load(&folder.join("host.toml")).unwrap_err();
    assert_eq!(errors.0.len(), 3, "{errors}");
    assert_eq!(errors.to_string().lines().count(), 3);
}
