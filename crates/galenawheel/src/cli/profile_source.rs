use std::path::Path;

use gw_daemon::operators::ProfileReport;
use gw_profile::Profile;
use gw_profile::ProfileFile;

use super::CommandError;
use super::operator_client::OperatorClient;

/// Source of a profile that is compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProfileSource {
    /// The profile file with this path.
    File(String),
    /// A profile that the hosts store: this revision of it, or the one in force if absent.
    Hosts { name: String, revision: Option<u64> },
}

impl ProfileSource {
    /// Parses `FILE`, `NAME` or `NAME@REVISION`. A string that contains `/` or ends in `.toml` is a
    /// file.
    pub(super) fn parse(text: &str) -> Result<Self, CommandError> {
        if text.contains('/') || text.ends_with(".toml") {
            return Ok(Self::File(text.to_owned()));
        }
        let Some((name, revision)) = text.split_once('@') else {
            return Ok(Self::Hosts { name: text.to_owned(), revision: None });
        };
        let error = || CommandError::Usage(format!("{text:?}: {revision:?} is not a revision"));
        let revision = revision.parse().map_err(|_| error())?;
        Ok(Self::Hosts { name: name.to_owned(), revision: Some(revision) })
    }

    /// Loads the profile. `client` is required only for a profile of the hosts.
    pub(super) async fn load(
        &self,
        client: Option<&OperatorClient>,
    ) -> Result<Profile, CommandError> {
        match self {
            Self::File(path) => read_file(Path::new(path)),
            Self::Hosts { name, revision } => {
                let client =
                    client.ok_or_else(|| CommandError::Usage("--host is required".into()))?;
                let report = fetch(client, name, *revision).await?;
                Ok(ProfileFile::parse("answer", &report.text)?)
            }
        }
    }
}

/// Reads and parses a profile file.
pub(super) fn read_file(path: &Path) -> Result<Profile, CommandError> {
    let (file, text) = read_text(path)?;
    Ok(ProfileFile::parse(&file, &text)?)
}

/// Returns the path of a profile file, as it appears in errors, and its content.
pub(super) fn read_text(path: &Path) -> Result<(String, String), CommandError> {
    let file = path.display().to_string();
    let to_error = |error| CommandError::Usage(format!("cannot read {file}: {error}"));
    let text = std::fs::read_to_string(path).map_err(to_error)?;
    Ok((file, text))
}

/// Fetches a profile from the hosts: `revision`, or the one in force if absent.
pub(super) async fn fetch(
    client: &OperatorClient,
    name: &str,
    revision: Option<u64>,
) -> Result<ProfileReport, CommandError> {
    gw_types::ProfileName::new(name).map_err(|error| CommandError::Usage(error.to_string()))?;
    let query = revision.map(|revision| format!("?revision={revision}")).unwrap_or_default();
    Ok(client.get(&format!("/v1/profiles/{name}{query}")).await?)
}
