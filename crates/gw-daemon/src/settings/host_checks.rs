use std::net::SocketAddr;

use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ZoneName;

use super::settings_error::ErrorCollector;
use super::settings_file::HostSection;

/// Checks each host of the list and the list as a whole. Returns the valid hosts.
pub(super) fn check_hosts(sections: &[HostSection], errors: &mut ErrorCollector) -> Vec<HostEntry> {
    let entries = sections.iter().enumerate();
    let hosts: Vec<_> =
        entries.filter_map(|(index, section)| check_host(index, section, errors)).collect();
    check_names(sections, errors);
    check_zones(&hosts, errors);
    check_control(&hosts, errors);
    hosts
}

fn check_host(
    index: usize,
    section: &HostSection,
    errors: &mut ErrorCollector,
) -> Option<HostEntry> {
    let field = |name: &str| format!("hosts[{index}].{name}");
    let name = errors.check(field("name"), HostName::new(section.name.as_str()));
    let zone = errors.check(field("zone"), ZoneName::new(section.zone.as_str()));
    let peers = parse_address(field("peers"), &section.peers, errors);
    let forwards = section.forwards.as_ref();
    let forwards = forwards.map(|text| parse_address(field("forwards"), text, errors));
    if forwards.is_none() && !section.control {
        errors.add(field("forwards"), "a host without forwards must be a control host");
    }
    Some(HostEntry {
        id: HostId(section.id),
        name: name?,
        zone: zone?,
        peers: peers?,
        forwards: match forwards {
            Some(address) => Some(address?),
            None => None,
        },
        control: section.control,
    })
}

/// Parses an IP address with a port other than 0.
pub(super) fn parse_address(
    field: impl Into<String>,
    text: &str,
    errors: &mut ErrorCollector,
) -> Option<SocketAddr> {
    let address = match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => Err(format!("{text:?} has port 0")),
        Ok(address) => Ok(address),
        Err(_) => Err(format!("{text:?} is not an IP address with a port")),
    };
    errors.check(field, address)
}

fn check_names(sections: &[HostSection], errors: &mut ErrorCollector) {
    for (index, section) in sections.iter().enumerate() {
        let earlier = &sections[..index];
        if let Some(first) = earlier.iter().position(|other| other.id == section.id) {
            let reason = format!("id {} is already used by hosts[{first}]", section.id);
            errors.add(format!("hosts[{index}].id"), reason);
        }
        if let Some(first) = earlier.iter().position(|other| other.name == section.name) {
            let reason = format!("name {:?} is already used by hosts[{first}]", section.name);
            errors.add(format!("hosts[{index}].name"), reason);
        }
    }
}

fn check_zones(hosts: &[HostEntry], errors: &mut ErrorCollector) {
    let mut zones: Vec<_> = hosts.iter().map(|host| &host.zone).collect();
    zones.sort();
    zones.dedup();
    for zone in zones {
        if !hosts.iter().any(|host| host.zone == *zone && host.is_entry()) {
            errors.add("hosts", format!("zone {zone} has no entry host"));
        }
    }
}

fn check_control(hosts: &[HostEntry], errors: &mut ErrorCollector) {
    if !hosts.iter().any(|host| host.control) {
        errors.add("hosts", "no host has control = true");
    }
}

/// Reports each address that is listed twice. A wildcard address conflicts with every address of
/// the same port.
pub(super) fn check_addresses(addresses: &[(String, SocketAddr)], errors: &mut ErrorCollector) {
    for (index, (field, address)) in addresses.iter().enumerate() {
        let conflicts = |(_, other): &&(String, SocketAddr)| {
            let is_wildcard = address.ip().is_unspecified() || other.ip().is_unspecified();
            other.port() == address.port() && (other.ip() == address.ip() || is_wildcard)
        };
        if let Some((first, _)) = addresses[..index].iter().find(conflicts) {
            errors.add(field, format!("address {address} is already used by {first}"));
        }
    }
}
