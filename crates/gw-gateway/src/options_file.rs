use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use crate::GatewayOptions;
use crate::OptionsError;

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The file with the options, if the program was given one.
#[derive(Clone, Debug, Default)]
pub struct OptionsFile {
    path: Option<PathBuf>,
}

impl OptionsFile {
    /// Uses the file at `path`; without one, the defaults apply.
    pub fn new(path: Option<PathBuf>) -> Self {
        Self { path }
    }

    /// Reads and checks the options.
    pub fn load(&self) -> Result<GatewayOptions, OptionsError> {
        let Some(path) = &self.path else { return Ok(GatewayOptions::default()) };
        let read = fs::read_to_string(path);
        let text = read.map_err(|source| OptionsError::File { path: path.clone(), source })?;
        GatewayOptions::parse(path, &text)
    }

    /// Time of the last modification; `None` if it cannot be determined.
    fn modified(&self) -> Option<SystemTime> {
        fs::metadata(self.path.as_ref()?).and_then(|data| data.modified()).ok()
    }
}

/// Loads the options each time their file changes, and passes them to `apply`. Invalid options are
/// logged and the previous ones stay in force. Returns at once without a file.
pub(crate) async fn watch_options(file: OptionsFile, mut apply: impl FnMut(GatewayOptions)) {
    if file.path.is_none() {
        return;
    }
    // A change between the first load and now is loaded as well.
    let mut modified = None;
    loop {
        let now = file.modified();
        if now != modified {
            modified = now;
            match file.load() {
                Ok(options) => {
                    log::info!("event=options_loaded options=\"{options:?}\"");
                    apply(options);
                }
                Err(error) => log::error!("event=options_refused cause=\"{error}\""),
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
