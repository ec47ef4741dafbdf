//! Example layouts: settings files and new keys for hosts on loopback ports.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

/// Length of a frame key and of a token, in bytes.
const SECRET_BYTES: usize = 32;
/// Number of ports that are reserved for each host.
const PORTS_PER_HOST: u16 = 10;

/// Set of hosts for which settings are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Names of the zones, each with its number of entry hosts.
    pub zones: Vec<(String, usize)>,
    /// Positions of the hosts that embed a control replica, counted from 0 over all zones.
    pub control: Vec<usize>,
    /// First port. The host at position `n` uses the ten ports from `base_port + 10 * n`.
    pub base_port: u16,
    /// Services whose targets may announce themselves.
    pub services: Vec<String>,
}

/// Settings file and ports of a host of a written layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutHost {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Port on which the host accepts callers' requests.
    pub caller_port: u16,
    /// Port on which the host accepts announcements of targets.
    pub target_port: u16,
    /// Port on which the host accepts operators' calls.
    pub operator_port: u16,
}

/// Hosts and secrets of a written layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenLayout {
    /// All hosts, in the order of their positions.
    pub hosts: Vec<LayoutHost>,
    /// Path of the file with the operators' token.
    pub operators_token_path: PathBuf,
    /// Registration token, which is the same for all services.
    pub registration_token: String,
}

/// Error of creating or writing a layout.
#[derive(Debug, thiserror::Error)]
pub enum LayoutError {
    /// There is no layout of this name.
    #[error("layout {0:?} is not known; known are single, slipwerk and ullvav")]
    Unknown(String),
    /// Some ports of the hosts would be above 65535.
    #[error("{hosts} hosts do not fit into the ports from {base_port} on")]
    Ports {
        /// Number of hosts.
        hosts: usize,
        /// First port.
        base_port: u16,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Layout {
    /// Returns a predefined layout: `single` (1 host), `slipwerk` (3 zones) or `ullvav` (4 zones).
    ///
    /// # Errors
    ///
    /// Returns an error if there is no layout `name`.
    pub fn named(name: &str, base_port: u16) -> Result<Self, LayoutError> {
        let (zones, control, services): (&[(&str, usize)], &[usize], &[&str]) = match name {
            "single" => (&[("local", 1)], &[0], &["slipreader", "attestor"]),
            "slipwerk" => (
                &[("nl-west-a", 3), ("nl-west-b", 3), ("nl-west-c", 2)],
                &[0, 1, 3, 4, 6],
                &["slipreader", "attestor", "correctiebak"],
            ),
            "ullvav" => (
                &[("spinneri", 2), ("vaveri", 2), ("fargeri", 2), ("valkeri", 2)],
                &[0, 1, 2, 4, 6],
                &["matarlas", "abonnent", "betalning"],
            ),
            _ => return Err(LayoutError::Unknown(name.to_owned())),
        };
        Ok(Self {
            zones: zones.iter().map(|(zone, hosts)| ((*zone).to_owned(), *hosts)).collect(),
            control: control.to_vec(),
            base_port,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
        })
    }

    /// Writes a settings file for each host, and the keys and tokens that all hosts share, into
    /// `folder`.
    ///
    /// `random` fills a buffer with random bytes for keys and tokens. Outside of tests they must
    /// not be predictable.
    ///
    /// # Errors
    ///
    /// Returns an error if the ports do not fit or a file cannot be written.
    pub fn write(
        &self,
        folder: &Path,
        mut random: impl FnMut(&mut [u8]),
    ) -> Result<WrittenLayout, LayoutError> {
        let host_count: usize = self.zones.iter().map(|(_, hosts)| hosts).sum();
        let port_count = host_count as u64 * u64::from(PORTS_PER_HOST);
        if u64::from(self.base_port) + port_count > u64::from(u16::MAX) {
            return Err(LayoutError::Ports { hosts: host_count, base_port: self.base_port });
        }
        create_folder(folder)?;
        let frame_key = random_secret(&mut random);
        write_file(&folder.join("frames.key"), &format!("1 {frame_key}\n"))?;
        let operators_token_path = folder.join("operators.token");
        write_file(&operators_token_path, &format!("{}\n", random_secret(&mut random)))?;
        let registration_token = random_secret(&mut random);
        let lines = self.services.iter().map(|name| format!("{name} {registration_token}\n"));
        write_file(&folder.join("registration.tokens"), &lines.collect::<String>())?;
        let mut hosts = Vec::new();
        for (position, zone, name) in self.hosts() {
            let settings_path = folder.join(format!("{name}.toml"));
            if self.control.contains(&position) {
                create_folder(&folder.join(format!("{name}.data")))?;
            }
            write_file(&settings_path, &self.settings(position, &name))?;
            let port = self.port(position);
            let zone = zone.to_owned();
            let (caller_port, target_port, operator_port) = (port, port + 1, port + 2);
            hosts.push(LayoutHost {
                name,
                zone,
                settings_path,
                caller_port,
                target_port,
                operator_port,
            });
        }
        Ok(WrittenLayout { hosts, operators_token_path, registration_token })
    }

    fn port(&self, position: usize) -> u16 {
        self.base_port + PORTS_PER_HOST * position as u16
    }

    /// Returns the position, zone and name of each host.
    fn hosts(&self) -> impl Iterator<Item = (usize, &str, String)> {
        let hosts = self.zones.iter().flat_map(|(zone, hosts)| {
            (1..=*hosts).map(move |number| (zone.as_str(), format!("{zone}-{number}")))
        });
        hosts.enumerate().map(|(position, (zone, name))| (position, zone, name))
    }

    /// Returns the settings file of the host at `own_position`.
    fn settings(&self, own_position: usize, name: &str) -> String {
        let mut text = format!("name = \"{name}\"\n");
        for (position, zone, name) in self.hosts() {
            let port = self.port(position);
            let control = self.control.contains(&position);
            let _ = write!(
                text,
                "\n[[hosts]]\nid = {position}\nname = \"{name}\"\nzone = \"{zone}\"\n\
                 peers = \"127.0.0.1:{}\"\nforwards = \"127.0.0.1:{}\"\ncontrol = {control}\n",
                port + 3,
                port + 4,
            );
        }
        let port = self.port(own_position);
        let _ = write!(
            text,
            "\n[listeners]\ncallers = \"127.0.0.1:{port}\"\ntargets = \"127.0.0.1:{}\"\n\
             operators = \"127.0.0.1:{}\"\n",
            port + 1,
            port + 2,
        );
        if self.control.contains(&own_position) {
            let _ = write!(text, "\n[control]\nembedded = true\ndata = \"{name}.data\"\n");
        }
        text.push_str(
            "\n[keys]\nframes = [\"frames.key\"]\noperators = \"operators.token\"\n\
             registration = \"registration.tokens\"\n",
        );
        text
    }
}

fn random_secret(random: &mut impl FnMut(&mut [u8])) -> String {
    let mut bytes = [0; SECRET_BYTES];
    random(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn create_folder(path: &Path) -> Result<(), LayoutError> {
    fs::create_dir_all(path).map_err(|source| LayoutError::Write { path: path.to_owned(), source })
}

/// Writes a file that only its owner can read, because it may contain secrets.
fn write_file(path: &Path, text: &str) -> Result<(), LayoutError> {
    let write = || {
        let mut options = fs::OpenOptions::new();
        let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(path)?;
        io::Write::write_all(&mut file, text.as_bytes())
    };
    write().map_err(|source| LayoutError::Write { path: path.to_owned(), source })
}
