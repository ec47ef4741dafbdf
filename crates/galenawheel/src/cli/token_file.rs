use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use super::CommandError;

/// Permission bits of all users other than the owner.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// Reads the operators' token. Returns an error if users other than the owner can access the file.
pub(super) fn read_token(path: &Path) -> Result<String, CommandError> {
    let name = path.display();
    let to_error = |reason: String| CommandError::Usage(format!("token file {name}: {reason}"));
    let metadata = fs::metadata(path).map_err(|error| to_error(error.to_string()))?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHERS_MODE != 0 {
        let reason = format!("has mode {mode:04o}; others must not have access, use 0600");
        return Err(to_error(reason));
    }
    let text = fs::read_to_string(path).map_err(|error| to_error(error.to_string()))?;
    let token = text.trim();
    if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(to_error("must contain exactly one token".to_owned()));
    }
    Ok(token.to_owned())
}
