use std::io;
use std::time::Duration;

use crate::HostRole;
use crate::LayoutMeasurement;
use crate::LineFit;
use crate::MESSAGE_KINDS;
use crate::SpreadTimes;

/// Message kinds with fewer bytes than this are left out of reports. Applies to bytes per second
/// and host in the steady state, and to bytes per event.
const MIN_KIND_BYTES: f64 = 1.0;

/// Value of one quantity, measured in one layout.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredValue {
    /// Number of entry hosts of the layout.
    pub hosts: usize,
    /// Number of targets of the layout.
    pub targets: usize,
    /// Number of zones of the layout.
    pub zones: usize,
    /// Number of slots of all keyed services together.
    pub slots: usize,
    /// Whether control replicas run on entry hosts.
    pub embedded: bool,
    /// Group of the quantity: a role, an event, `cluster`, or a set of propagation times.
    pub group: String,
    /// Name of the quantity, with its unit.
    pub quantity: String,
    /// Measured value; NaN if no trial finished.
    pub value: f64,
}

/// Lists all quantities of a measurement.
pub fn measured_values(measurement: &LayoutMeasurement) -> Vec<MeasuredValue> {
    let mut values = Vec::new();
    for rates in &measurement.roles {
        let role = rates.role.to_string();
        let mut add =
            |quantity: &str, value: f64| values.push((role.clone(), quantity.to_owned(), value));
        add("hosts", rates.hosts as f64);
        add("sent_frames_per_s", rates.sent_frames);
        add("sent_bytes_per_s", rates.sent_bytes);
        add("most_sent_bytes_per_s", rates.most_sent_bytes);
        add("received_frames_per_s", rates.received_frames);
        add("received_bytes_per_s", rates.received_bytes);
        add("step_us_per_s", rates.step_micros);
        add("codec_us_per_s", rates.codec_micros);
        add("state_bytes", rates.state_bytes as f64);
        for (kind, bytes) in rates.kind_bytes.iter().enumerate() {
            if *bytes >= MIN_KIND_BYTES {
                add(&format!("sent_{}_bytes_per_s", MESSAGE_KINDS[kind]), *bytes);
            }
        }
    }
    for cost in &measurement.events {
        let group = cost.event.name().to_owned();
        let mut add =
            |quantity: &str, value: f64| values.push((group.clone(), quantity.to_owned(), value));
        add("frames", cost.frames);
        add("bytes", cost.bytes);
        add("most_host_bytes", cost.most_host_bytes);
        add("journal_entries", cost.journal_entries);
        add("journal_bytes", cost.journal_bytes);
        add("cpu_ms", cost.cpu_millis);
        for (kind, bytes) in cost.kind_bytes.iter().enumerate() {
            if bytes.abs() >= MIN_KIND_BYTES {
                add(&format!("{}_bytes", MESSAGE_KINDS[kind]), *bytes);
            }
        }
    }
    let mut add = |quantity: &str, value: f64| {
        values.push(("cluster".to_owned(), quantity.to_owned(), value))
    };
    add("resident_bytes_per_host", measurement.resident_per_host as f64);
    add("table_bytes", measurement.table_bytes as f64);
    add_spread(&mut values, "spread", &measurement.spread);
    add_spread(&mut values, "spread-10%-loss", &measurement.lossy_spread);
    let layout = measurement.layout;
    let slots = layout.keyed_services * usize::from(gw_types::SLOT_COUNT);
    let value = |(group, quantity, value)| MeasuredValue {
        hosts: layout.hosts,
        targets: layout.targets,
        zones: layout.zones,
        slots,
        embedded: layout.embedded,
        group,
        quantity,
        value,
    };
    values.into_iter().map(value).collect()
}

fn add_spread(values: &mut Vec<(String, String, f64)>, group: &str, times: &SpreadTimes) {
    let kinds = [("report", &times.report), ("profile", &times.profile), ("served", &times.served)];
    for (what, times) in kinds {
        let millis =
            |time: Option<&Duration>| time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3);
        let mut add =
            |part: &str, value| values.push((group.to_owned(), format!("{what}_{part}"), value));
        add("trials", times.len() as f64);
        add("median_ms", millis(times.get(times.len() / 2)));
        add("longest_ms", millis(times.last()));
    }
}

/// Size that a quantity is fitted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeAxis {
    /// Number of entry hosts, with targets in proportion.
    Hosts,
    /// Number of targets, with hosts fixed.
    Targets,
    /// Number of slots, with hosts and targets fixed.
    Slots,
}

impl SizeAxis {
    /// Returns the name in CSV files.
    pub fn name(self) -> &'static str {
        match self {
            SizeAxis::Hosts => "hosts",
            SizeAxis::Targets => "targets",
            SizeAxis::Slots => "slots",
        }
    }

    fn size_of(self, value: &MeasuredValue) -> f64 {
        match self {
            SizeAxis::Hosts => value.hosts as f64,
            SizeAxis::Targets => value.targets as f64,
            SizeAxis::Slots => value.slots as f64,
        }
    }
}

/// Regression line of one quantity over one size.
#[derive(Clone, Debug, PartialEq)]
pub struct QuantityFit {
    /// Size that the quantity is fitted against.
    pub axis: SizeAxis,
    /// Number of zones, which is the same in all fitted layouts.
    pub zones: usize,
    /// Group of the quantity, as in [`MeasuredValue::group`].
    pub group: String,
    /// Name of the quantity, with its unit.
    pub quantity: String,
    /// Number of points that the line was fitted to.
    pub points: usize,
    /// Fitted line.
    pub line: LineFit,
}

/// Fits a line to each quantity that was measured at two or more sizes.
///
/// `values` belong to one sweep over `axis`. Layouts with embedded replicas and values that are not
/// finite are left out.
pub fn fit_values(axis: SizeAxis, values: &[MeasuredValue]) -> Vec<QuantityFit> {
    let mut names: Vec<_> = values
        .iter()
        .filter(|value| !value.embedded && value.value.is_finite())
        .map(|value| (value.zones, value.group.clone(), value.quantity.clone()))
        .collect();
    names.sort();
    names.dedup();
    let fits = names.into_iter().filter_map(|(zones, group, quantity)| {
        let of_quantity = values.iter().filter(|value| {
            !value.embedded
                && value.value.is_finite()
                && value.zones == zones
                && value.group == group
                && value.quantity == quantity
        });
        let points: Vec<_> = of_quantity.map(|value| (axis.size_of(value), value.value)).collect();
        let line = LineFit::through(&points)?;
        Some(QuantityFit { axis, zones, group, quantity, points: points.len(), line })
    });
    fits.collect()
}

/// Writes values as CSV with a header row.
pub fn write_values(out: impl io::Write, values: &[MeasuredValue]) -> csv::Result<()> {
    let mut writer = csv::Writer::from_writer(out);
    writer.write_record([
        "hosts", "targets", "zones", "slots", "embedded", "group", "quantity", "value",
    ])?;
    for value in values {
        writer.write_record([
            value.hosts.to_string(),
            value.targets.to_string(),
            value.zones.to_string(),
            value.slots.to_string(),
            value.embedded.to_string(),
            value.group.clone(),
            value.quantity.clone(),
            format!("{:.3}", value.value),
        ])?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes fits as CSV with a header row.
pub fn write_fits(out: impl io::Write, fits: &[QuantityFit]) -> csv::Result<()> {
    let mut writer = csv::Writer::from_writer(out);
    writer.write_record([
        "over",
        "zones",
        "group",
        "quantity",
        "points",
        "slope",
        "intercept",
        "r_squared",
    ])?;
    for fit in fits {
        writer.write_record([
            fit.axis.name().to_owned(),
            fit.zones.to_string(),
            fit.group.clone(),
            fit.quantity.clone(),
            fit.points.to_string(),
            format!("{:.6}", fit.line.slope),
            format!("{:.3}", fit.line.intercept),
            format!("{:.4}", fit.line.r_squared),
        ])?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes the rates of each role and the costs of each event as readable text.
pub fn write_table(mut out: impl io::Write, measurement: &LayoutMeasurement) -> io::Result<()> {
    writeln!(out, "{}", measurement.layout.label())?;
    for rates in &measurement.roles {
        let role: HostRole = rates.role;
        writeln!(
            out,
            "  {role:<16} x{:<4} out {:>8.1} fr/s {:>10.0} B/s (most {:>9.0})  in {:>8.1} fr/s \
             {:>10.0} B/s  step {:>8.0} us/s  codec {:>7.0} us/s  state {:>9} B",
            rates.hosts,
            rates.sent_frames,
            rates.sent_bytes,
            rates.most_sent_bytes,
            rates.received_frames,
            rates.received_bytes,
            rates.step_micros,
            rates.codec_micros,
            rates.state_bytes,
        )?;
        writeln!(out, "    sent B/s: {}", largest_kinds(&rates.kind_bytes))?;
    }
    for cost in &measurement.events {
        writeln!(
            out,
            "  {:<16} {:>9.0} fr {:>12.0} B (most {:>10.0} B of one host) journal {:>6.1} \
             entries {:>10.0} B  cpu {:>9.2} ms",
            cost.event.name(),
            cost.frames,
            cost.bytes,
            cost.most_host_bytes,
            cost.journal_entries,
            cost.journal_bytes,
            cost.cpu_millis,
        )?;
        writeln!(out, "    B: {}", largest_kinds(&cost.kind_bytes))?;
    }
    writeln!(
        out,
        "  resident {} B per host; zone table {} B; spread {:?}; with loss {:?}",
        measurement.resident_per_host,
        measurement.table_bytes,
        measurement.spread,
        measurement.lossy_spread,
    )
}

fn largest_kinds(bytes: &[f64; MESSAGE_KINDS.len()]) -> String {
    let mut kinds: Vec<_> = bytes.iter().zip(MESSAGE_KINDS).collect();
    kinds.retain(|(bytes, _)| bytes.abs() >= MIN_KIND_BYTES);
    kinds.sort_by(|a, b| b.0.total_cmp(a.0));
    let texts: Vec<_> = kinds.iter().map(|(bytes, name)| format!("{name} {bytes:.0}")).collect();
    texts.join(", ")
}
