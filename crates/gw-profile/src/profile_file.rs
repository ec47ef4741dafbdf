use std::ops::Range;

use toml::Table;
use toml::Value;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::FIELD_RULES;
use crate::FieldKind;
use crate::FileLocation;
use crate::Profile;
use crate::ProfileError;
use crate::field_rule::find_invalid_field;
use crate::field_rule::flatten;
use crate::field_rule::rule_of;

/// Reader and writer of profiles as TOML text.
pub struct ProfileFile<'a> {
    file: &'a str,
    text: &'a str,
    /// Paths of the fields and sections with their byte offsets in the text.
    offsets: Vec<(String, usize)>,
}

impl<'a> ProfileFile<'a> {
    /// Parses and validates `text`. Fields that are not set get their default values.
    ///
    /// `file` is the name of the file in errors; the file is not read.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is not valid TOML, contains an unknown field or a value that is
    /// not allowed, or has no name.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Profile, ProfileError> {
        let mut reader = ProfileFile { file, text, offsets: Vec::new() };
        reader.offsets = reader.read_offsets()?;
        let table: Table = toml::from_str(text).map_err(|error| reader.syntax_error(&error))?;
        let fields = flatten(&table);
        reader.check_fields_known(&fields)?;
        if let Some(error) = find_invalid_field(&fields) {
            let at = reader.location_of(&error.field);
            return Err(ProfileError::Value { at, error });
        }
        if !table.contains_key("name") {
            let allowed = FieldKind::Name.to_string();
            return Err(ProfileError::MissingName { file: file.to_owned(), allowed });
        }
        toml::from_str(text).map_err(|error| reader.syntax_error(&error))
    }

    /// Returns `profile` as TOML with all fields. Parsing the text gives an equal profile.
    pub fn write(profile: &Profile) -> String {
        toml::to_string(profile).expect("every field of a profile has a form in TOML")
    }

    fn read_offsets(&self) -> Result<Vec<(String, usize)>, ProfileError> {
        let table = DeTable::parse(self.text).map_err(|error| self.syntax_error(&error))?;
        let mut offsets = Vec::new();
        for (name, value) in table.get_ref() {
            offsets.push((name.get_ref().to_string(), name.span().start));
            let DeValue::Table(section) = value.get_ref() else { continue };
            for field in section.keys() {
                let path = format!("{}.{}", name.get_ref(), field.get_ref());
                offsets.push((path, field.span().start));
            }
        }
        Ok(offsets)
    }

    fn check_fields_known(&self, fields: &[(String, Value)]) -> Result<(), ProfileError> {
        let is_known = |path: &str, value: &Value| {
            let is_empty_section = value.as_table().is_some_and(Table::is_empty);
            rule_of(path).is_some() || (is_empty_section && is_section(path))
        };
        let Some((path, value)) = fields.iter().find(|(path, value)| !is_known(path, value)) else {
            return Ok(());
        };
        Err(ProfileError::UnknownField {
            at: self.location_of(path),
            field: path.clone(),
            value: value.to_string(),
            allowed: allowed_fields(path),
        })
    }

    fn syntax_error(&self, error: &toml::de::Error) -> ProfileError {
        let line = error.span().map(|Range { start, .. }| self.line_at(start));
        let at = FileLocation { file: self.file.to_owned(), line };
        ProfileError::Syntax { at, message: error.message().to_owned() }
    }

    fn location_of(&self, path: &str) -> FileLocation {
        let entry = self.offsets.iter().find(|(known, _)| known == path);
        FileLocation {
            file: self.file.to_owned(),
            line: entry.map(|(_, offset)| self.line_at(*offset)),
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end].iter().filter(|&&byte| byte == b'\n').count() + 1
    }
}

fn is_section(name: &str) -> bool {
    FIELD_RULES.iter().any(|rule| rule.path.split_once('.').is_some_and(|(head, _)| head == name))
}

/// Returns the fields of the section in `path`, or the sections if that section does not exist.
fn allowed_fields(path: &str) -> String {
    let section = path.split_once('.').map(|(section, _)| section).filter(|name| is_section(name));
    let Some(section) = section else { return "name, spread, move, refuse".to_owned() };
    let fields = FIELD_RULES.iter().filter_map(|rule| rule.path.split_once('.'));
    let names: Vec<_> =
        fields.filter(|(head, _)| *head == section).map(|(_, field)| field).collect();
    names.join(", ")
}
