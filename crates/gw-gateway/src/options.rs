use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

/// Error while loading the options file.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The file cannot be read.
    #[error("options file {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown or has an invalid value.
    #[error("options file {path}: line {line}: field {field}: {reason}")]
    Field {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Name of the field with its section, or what the line has in its place.
        field: String,
        /// Description of the fault.
        reason: String,
    },
}

/// Options of the product's own, in addition to the platform's settings. The defaults leave the
/// behavior as it is without them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayOptions {
    /// Second attempts for slow requests.
    pub hedging: HedgingOptions,
}

/// Options of second attempts for slow requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgingOptions {
    /// Share of a service's requests that may get a second attempt; 0 turns them off.
    pub max_share: f64,
}

/// Contents of the file before they are checked.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FileContents {
    hedging: HedgingSection,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct HedgingSection {
    max_share: Option<Spanned<f64>>,
}

impl GatewayOptions {
    /// Parses the contents of the file at `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, OptionsError> {
        let error_at = |span: Option<Range<usize>>, reason: &str| {
            let offset = span.map_or(0, |span| span.start);
            let (line, field) = locate(text, offset);
            let (path, reason) = (path.to_owned(), reason.lines().collect::<Vec<_>>().join(" "));
            OptionsError::Field { path, line, field, reason }
        };
        let contents: FileContents =
            toml::from_str(text).map_err(|error| error_at(error.span(), error.message()))?;
        let max_share = match contents.hedging.max_share {
            Some(share) if !(0.0..=1.0).contains(share.get_ref()) => {
                return Err(error_at(Some(share.span()), "must be a share from 0 to 1"));
            }
            share => share.map_or(0.0, Spanned::into_inner),
        };
        Ok(Self { hedging: HedgingOptions { max_share } })
    }
}

/// Returns the number of the line at `offset` and the name of its field, with the section.
fn locate(text: &str, offset: usize) -> (usize, String) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count();
    let name_of = |line: &str| line.split('=').next().unwrap_or_default().trim().to_owned();
    let field = text.lines().nth(line).map(name_of).unwrap_or_default();
    let sections = text.lines().take(line).map(str::trim).filter(|line| line.starts_with('['));
    let section = sections.last().map(|section| section.trim_matches(['[', ']', ' ']));
    let field = match section {
        Some(section) if !field.starts_with('[') => format!("{section}.{field}"),
        _ => field,
    };
    (line + 1, field)
}
