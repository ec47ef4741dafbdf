use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::GatewaySettings;
use crate::ports::SettingsSource;

/// Interval at which the settings file is checked for changes; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings on SIGHUP and when their source changes, and passes them to `apply`.
/// Invalid settings are logged and the previous ones stay in force.
pub(crate) async fn watch_settings(
    source: Rc<dyn SettingsSource>,
    mut apply: impl FnMut(GatewaySettings),
) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!("event=signal_not_watched signal=SIGHUP cause=\"{error}\"");
            return;
        }
    };
    let mut modified = source.modified();
    loop {
        let cause = tokio::select! {
            _ = hangups.recv() => "signal",
            () = tokio::time::sleep(POLL_INTERVAL) => "changed",
        };
        let now = source.modified();
        if cause == "changed" && now == modified {
            continue;
        }
        modified = now;
        match source.load() {
            Ok(settings) => {
                log::info!("event=settings_reloaded cause={cause} seeds={:?}", settings.seeds);
                apply(settings);
            }
            Err(error) => log::error!("event=settings_refused cause=\"{error}\""),
        }
    }
}
