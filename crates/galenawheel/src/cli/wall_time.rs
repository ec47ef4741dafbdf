const DAY_MS: u64 = 86_400_000;

/// Formats a time in milliseconds since 1970-01-01 UTC according to RFC 3339.
pub(super) fn format_wall_time(at_ms: u64) -> String {
    let (year, month, day) = date_of((at_ms / DAY_MS) as i64);
    let of_day = at_ms % DAY_MS;
    let (hour, minute) = (of_day / 3_600_000, of_day / 60_000 % 60);
    let (second, millis) = (of_day / 1_000 % 60, of_day % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Parses a time as milliseconds since 1970-01-01 UTC, or in the format of [`format_wall_time`], in
/// which the fraction of the second or the whole time of day may be omitted.
pub(super) fn parse_wall_time(text: &str) -> Result<u64, String> {
    if let Ok(millis) = text.parse() {
        return Ok(millis);
    }
    let error = || format!("{text:?} is neither milliseconds nor a time like 2026-01-31T08:00:00Z");
    let (date, time) = text.split_once('T').unwrap_or((text, "00:00:00Z"));
    let date: Vec<i64> = parse_numbers(date, '-').ok_or_else(error)?;
    let time = time.strip_suffix('Z').ok_or_else(error)?;
    let (time_of_day, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let time_of_day: Vec<i64> = parse_numbers(time_of_day, ':').ok_or_else(error)?;
    let fraction = fraction.get(..3.min(fraction.len())).ok_or_else(error)?;
    let scale = 10_i64.pow(3 - fraction.len() as u32);
    let millis = fraction.parse::<i64>().map_err(|_| error())? * scale;
    let ([year, month, day], [hour, minute, second]) = (&date[..], &time_of_day[..]) else {
        return Err(error());
    };
    let is_time = (0..24).contains(hour) && (0..60).contains(minute) && (0..60).contains(second);
    let days = days_of(*year, *month, *day);
    let is_date = (1_970..10_000).contains(year) && date_of(days) == (*year, *month, *day);
    if !is_time || !is_date || millis < 0 {
        return Err(error());
    }
    let seconds = days * 86_400 + hour * 3_600 + minute * 60 + second;
    Ok((seconds * 1_000 + millis) as u64)
}

fn parse_numbers(text: &str, separator: char) -> Option<Vec<i64>> {
    text.split(separator).map(|part| part.parse().ok()).collect()
}

/// Returns the year, month and day of a number of days since 1970-01-01, in the Gregorian calendar.
fn date_of(days: i64) -> (i64, i64, i64) {
    // Years start on March 1, counted from 0000-03-01, so that a leap day is the last day of its
    // year. An era of 400 years has 146,097 days.
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let of_era = shifted.rem_euclid(146_097);
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    (year_of_era + era * 400 + i64::from(month <= 2), month, day)
}

/// Returns the number of days since 1970-01-01; the inverse of [`date_of`].
fn days_of(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let shifted_month = if month > 2 { month - 3 } else { month + 9 };
    let of_year = (153 * shifted_month + 2) / 5 + day - 1;
    let of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + of_year;
    era * 146_097 + of_era - 719_468
}
