//! Runs stand-in targets for the hosts of a layout that `galenawheel settings generate` wrote: two
//! targets of each service in each zone. They run until the process is terminated.
//!
//! Arguments: the folder of the settings, then the services. `NAME=key` is a keyed service, `NAME`
//! an unkeyed one. The path prefix of a service is `/NAME`; the key is the next path segment.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;

use galenawheel::stand_in::StandInOptions;
use galenawheel::stand_in::StandInTarget;
use gw_daemon::settings::HostSettings;

/// Number of targets of each service in each zone.
const TARGETS_PER_ZONE: usize = 2;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().ok_or("the first argument is the folder of the settings")?;
    let hosts = load_hosts(Path::new(&folder))?;
    for argument in arguments {
        let (service, keyed) = match argument.split_once('=') {
            Some((service, "key")) => (service, true),
            Some(_) => return Err(format!("{argument}: only NAME or NAME=key").into()),
            None => (argument.as_str(), false),
        };
        start_service(&hosts, service, keyed).await?;
    }
    std::future::pending().await
}

/// Loads the settings of all entry hosts in `folder`, sorted by host id.
fn load_hosts(folder: &Path) -> Result<Vec<HostSettings>, Box<dyn Error>> {
    let mut hosts = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            hosts.push(HostSettings::load(&path)?);
        }
    }
    // Hosts that only run a control replica do not accept announcements.
    hosts.retain(|settings| settings.host.is_entry());
    hosts.sort_by_key(|settings| settings.host.id);
    Ok(hosts)
}

/// Starts the targets of `service` in all zones.
async fn start_service(
    hosts: &[HostSettings],
    service: &str,
    keyed: bool,
) -> Result<(), Box<dyn Error>> {
    let mut zones: Vec<_> = hosts.iter().map(|settings| settings.host.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    for zone in zones {
        let members: Vec<_> = hosts.iter().filter(|item| item.host.zone == zone).collect();
        let mut tokens = members.iter().flat_map(|settings| &settings.keys.registration);
        let token = tokens.find(|known| known.service.as_str() == service);
        let token = token.ok_or(format!("{service} has no registration token"))?;
        let listeners: Vec<SocketAddr> =
            members.iter().map(|settings| settings.listeners.targets).collect();
        for number in 1..=TARGETS_PER_ZONE {
            let options = StandInOptions {
                target: format!("{service}-{zone}-{number}"),
                service: service.to_owned(),
                path_prefix: format!("/{service}"),
                keyed,
                zone: zone.to_string(),
                token: token.token.clone(),
                hosts: listeners.clone(),
            };
            println!("target {} in zone {zone}", options.target);
            StandInTarget::start(options).await?;
        }
    }
    Ok(())
}
