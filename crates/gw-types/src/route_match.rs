use serde::Deserialize;
use serde::Serialize;

/// Conditions under which a request belongs to a service. Every condition that is present must
/// hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteMatch {
    /// Host of the request without port, compared case-insensitively.
    #[serde(default)]
    pub host: Option<String>,
    /// Prefix of the request path. It matches only whole segments: `/a` matches `/a/b`, not `/ab`.
    #[serde(default)]
    pub path_prefix: Option<String>,
}

impl RouteMatch {
    /// Returns whether a request for `path` on `host` meets the conditions.
    pub fn matches(&self, host: Option<&str>, path: &str) -> bool {
        self.matches_host(host) && self.matches_path(path)
    }

    /// Returns the precedence among routes that match the same request. A route with a host
    /// precedes one without; among these, a longer prefix precedes a shorter one.
    pub fn precedence(&self) -> (bool, usize) {
        (self.host.is_some(), self.path_prefix.as_ref().map_or(0, String::len))
    }

    fn matches_host(&self, host: Option<&str>) -> bool {
        match (&self.host, host) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(expected), Some(host)) => expected.eq_ignore_ascii_case(host),
        }
    }

    fn matches_path(&self, path: &str) -> bool {
        let Some(prefix) = &self.path_prefix else { return true };
        let Some(rest) = path.strip_prefix(prefix.as_str()) else { return false };
        prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
    }
}
