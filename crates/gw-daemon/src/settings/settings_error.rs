use std::fmt;
use std::path::Path;
use std::path::PathBuf;

/// One error in a settings file. Printed as one line: file, field and reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {field}: {reason}", .file.display())]
pub struct SettingsError {
    /// The settings file.
    pub file: PathBuf,
    /// The invalid field, such as `hosts[1].peers`; `line N` if the file cannot be parsed, or
    /// `file` if it cannot be read.
    pub field: String,
    /// Why the field is invalid, in one line.
    pub reason: String,
}

/// All errors of a settings file. Printed with one error per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Collects the errors of one file, so that all of them are reported at once.
#[derive(Debug)]
pub(super) struct ErrorCollector {
    file: PathBuf,
    errors: Vec<SettingsError>,
}

impl ErrorCollector {
    pub(super) fn new(file: &Path) -> Self {
        Self { file: file.to_owned(), errors: Vec::new() }
    }

    pub(super) fn add(&mut self, field: impl Into<String>, reason: impl fmt::Display) {
        let reason = reason.to_string().replace('\n', " ");
        self.errors.push(SettingsError { file: self.file.clone(), field: field.into(), reason });
    }

    /// Returns the value, or adds the error and returns `None`.
    pub(super) fn check<T, E: fmt::Display>(
        &mut self,
        field: impl Into<String>,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(field, error);
                None
            }
        }
    }

    pub(super) fn finish<T>(self, value: Option<T>) -> Result<T, SettingsErrors> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(SettingsErrors(self.errors)),
        }
    }
}
