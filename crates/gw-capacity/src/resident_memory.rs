use std::fs;

/// Returns the resident set size of this process in bytes, from `/proc/self/statm`; 0 if that file
/// cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * rustix::param::page_size() as u64
}
