use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use gw_types::ServiceName;
use gw_wire::FrameKey;
use gw_wire::KeyId;
use gw_wire::KeyRing;

use super::KeySettings;
use super::RegistrationToken;
use super::settings_error::ErrorCollector;
use super::settings_file::KeySection;
use crate::forward::decode_hex;

/// Permission bits of the group and of others.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// Reads the key files that the settings name. Relative paths are relative to the folder of the
/// settings file.
pub(super) fn read_keys(
    section: &KeySection,
    folder: &Path,
    errors: &mut ErrorCollector,
) -> Option<KeySettings> {
    let mut keys = Vec::new();
    for (index, path) in section.frames.iter().enumerate() {
        let field = format!("keys.frames[{index}]");
        let key = read_secret(&folder.join(path)).and_then(|text| parse_frame_key(&text));
        keys.extend(errors.check(field, key));
    }
    let has_all = keys.len() == section.frames.len();
    let ring = if has_all { errors.check("keys.frames", KeyRing::new(keys)) } else { None };
    let operators = read_secret(&folder.join(&section.operators)).and_then(|text| {
        let token = text.trim().to_owned();
        check_token(&token).map(|()| token)
    });
    let operators = errors.check("keys.operators", operators);
    let registration = read_secret(&folder.join(&section.registration));
    let registration = registration.and_then(|text| parse_registration(&text));
    let registration = errors.check("keys.registration", registration);
    Some(KeySettings { frames: ring?, operators: operators?, registration: registration? })
}

fn read_secret(path: &Path) -> Result<String, String> {
    let name = path.display();
    let metadata = fs::metadata(path).map_err(|error| format!("cannot read {name}: {error}"))?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHERS_MODE != 0 {
        return Err(format!("{name} has mode {mode:04o}; others must not have access, use 0600"));
    }
    fs::read_to_string(path).map_err(|error| format!("cannot read {name}: {error}"))
}

/// Parses a frame key file. It has one line: the key's number, a space and 64 hexadecimal digits.
fn parse_frame_key(text: &str) -> Result<FrameKey, String> {
    let form = || "must hold a number and 64 hexadecimal digits".to_owned();
    let (id, secret) = text.trim().split_once(' ').ok_or_else(form)?;
    let id = id.parse().map_err(|_| form())?;
    let secret = decode_hex(secret.trim().as_bytes()).ok_or_else(form)?;
    Ok(FrameKey::new(KeyId(id), secret.try_into().map_err(|_| form())?))
}

/// Parses the registration file. Each line has a service name, a space and a token. Empty lines and
/// lines that begin with `#` are ignored. A service may have several tokens, so that a token can be
/// replaced without an interruption.
fn parse_registration(text: &str) -> Result<Vec<RegistrationToken>, String> {
    let lines = text.lines().map(str::trim).enumerate();
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|(index, line)| {
            parse_registration_line(line).map_err(|error| format!("line {}: {error}", index + 1))
        })
        .collect()
}

fn parse_registration_line(line: &str) -> Result<RegistrationToken, String> {
    let (service, token) = line.split_once(' ').ok_or("must be a service and a token")?;
    let service = ServiceName::new(service).map_err(|error| error.to_string())?;
    let token = token.trim().to_owned();
    check_token(&token)?;
    Ok(RegistrationToken { service, token })
}

fn check_token(token: &str) -> Result<(), String> {
    if token.len() < MIN_TOKEN_BYTES {
        return Err(format!("token is shorter than {MIN_TOKEN_BYTES} bytes"));
    }
    let is_plain = token.bytes().all(|byte| byte.is_ascii_graphic());
    if is_plain { Ok(()) } else { Err("token has a space or a special character".to_owned()) }
}
