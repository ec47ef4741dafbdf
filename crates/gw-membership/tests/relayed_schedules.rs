//! Registry and relay under loss, duplication, reordering and two relaying hosts.

mod support;

use gw_membership::LossCause;
use gw_membership::MAX_BATCH_BYTES;
use gw_membership::RegistryOptions;
use gw_membership::RelayBatch;
use gw_membership::RelayError;
use gw_membership::RelayEvent;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetChange;
use gw_membership::TargetRegistry;
use gw_membership::TargetRelay;
use gw_membership::TroubleKind;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::TargetState;
use gw_types::Timestamp;
use quickcheck::QuickCheck;
use support::announcement;
use support::generator;
use support::ms;
use support::report;

fn registry() -> TargetRegistry {
    TargetRegistry::new("spinneri".parse().unwrap(), RegistryOptions::default())
}

/// A message for the registry, from small numbers.
fn deliver(registry: &mut TargetRegistry, now: Timestamp, kind: u8, boot: u64, sequence: u64) {
    let result = match kind % 4 {
        0 | 1 => registry.announce(now, now, &announcement("t", boot, sequence)),
        2 => registry.renew(now, now, "t", BootId(boot), sequence),
        _ => registry.report(now, now, &report("t", boot, TroubleKind::Draining)),
    };
    drop(result);
}

/// Guards against an older run or announcement that undoes a newer one, in any permutation of
/// messages with repetitions.
#[test]
fn no_order_of_messages_goes_back() {
    fn holds(messages: Vec<(u8, u8, u8)>) -> bool {
        let mut registry = registry();
        let mut highest = None;
        let mut drained = None;
        for (step, (kind, boot, sequence)) in messages.into_iter().enumerate() {
            let (boot, sequence) = (u64::from(boot % 4), 1 + u64::from(sequence % 6));
            let now = ms(step as u64);
            deliver(&mut registry, now, kind, boot, sequence);
            let Some(entry) = registry.target("t") else { continue };
            let current = Some((entry.boot, registry.sequence("t")));
            if current < highest {
                return false;
            }
            highest = current;
            if drained == Some(entry.boot) && entry.state.accepts_work() {
                return false;
            }
            if entry.state == TargetState::Draining {
                drained = Some(entry.boot);
            }
        }
        true
    }
    let mut check = QuickCheck::new().rng(generator(13)).tests(500);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a result that depends on the order in which the announcements of a target arrive.
#[test]
fn any_order_of_announcements_ends_with_the_newest() {
    fn holds(messages: Vec<(u8, u8)>) -> bool {
        let run = |messages: &[(u8, u8)]| {
            let mut registry = registry();
            for (boot, sequence) in messages {
                let (boot, sequence) = (u64::from(boot % 4), 1 + u64::from(sequence % 6));
                deliver(&mut registry, ms(1), 0, boot, sequence);
            }
            (registry.target("t").map(|entry| entry.boot), registry.sequence("t"))
        };
        let mut sorted = [&messages[..], &messages[..messages.len() / 2]].concat();
        sorted.sort();
        let reversed: Vec<_> = sorted.iter().rev().copied().collect();
        run(&messages) == run(&sorted) && run(&messages) == run(&reversed)
    }
    let mut check = QuickCheck::new().rng(generator(17)).tests(300);
    check.quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// Longest delay of the network. Hosts cannot compare their clocks, so a registry cannot tell the
/// delay of a batch and counts liveness from its arrival, less its age at the sender.
const MAX_DELAY_MS: u64 = 120;

/// A network that loses, repeats and delays batches, with a sequence of random numbers.
struct Network {
    random: u64,
    /// Time of arrival, sender and batch.
    in_flight: Vec<(u64, HostId, RelayBatch)>,
}

impl Network {
    fn next(&mut self, bound: u64) -> u64 {
        self.random = KeyHash::of(&self.random.to_le_bytes()).0;
        self.random % bound
    }

    /// Sends with 15% loss, 20% duplication and delays up to [`MAX_DELAY_MS`].
    fn send(&mut self, now: u64, from: HostId, batch: &RelayBatch) {
        let copies = if self.next(100) < 15 { 0 } else { 1 + u64::from(self.next(100) < 20) };
        for _ in 0..copies {
            let at = now + 1 + self.next(MAX_DELAY_MS);
            self.in_flight.push((at, from, batch.clone()));
        }
    }

    fn deliver(&mut self, now: u64, registry: &mut TargetRegistry) {
        for (_, from, batch) in self.in_flight.extract_if(.., |(at, ..)| *at <= now) {
            registry.apply_batch(ms(now), from, &batch);
        }
    }
}

/// Guards against two registrations, spurious losses and missed deaths on a bad network: a live
/// target that announces to two hosts stays registered, its restart is noticed, and its death is
/// noticed within one expiry of its last announcement plus the longest delay and one step.
#[test]
fn two_relaying_hosts_keep_one_registration_over_a_bad_network() {
    for seed in 0..30 {
        let mut network = Network { random: seed, in_flight: Vec::new() };
        let mut relays = [TargetRelay::new(BootId(1)), TargetRelay::new(BootId(1))];
        let mut registry = registry();
        let mut changes = Vec::new();
        for now in (0..24_000).step_by(10) {
            let boot = if now < 10_000 { 1 } else { 2 };
            if now % 500 == 0 && now < 20_000 {
                let announcement = announcement("t", boot, 1 + now / 500);
                for relay in &mut relays {
                    relay.announce(ms(now), &announcement).unwrap();
                }
            }
            for (relay, host) in relays.iter_mut().zip([HostId(1), HostId(2)]) {
                for batch in relay.take_batches(ms(now)) {
                    network.send(now, host, &batch);
                }
            }
            network.deliver(now, &mut registry);
            registry.tick(ms(now));
            changes.extend(registry.take_changes().into_iter().map(|change| (now, change)));
            assert!(registry.entries().count() <= 1);
        }
        let is_new_run = |change: &TargetChange| matches!(change, TargetChange::Restarted { .. });
        let runs = changes.iter().filter(|(_, change)| is_new_run(change)).count();
        let losses: Vec<_> = changes
            .iter()
            .filter_map(|(now, change)| match change {
                TargetChange::Lost { boot, cause, .. } => Some((*now, boot.0, *cause)),
                _ => None,
            })
            .collect();
        assert_eq!(runs, 1, "seed {seed}: {changes:?}");
        assert_eq!(losses.len(), 1, "seed {seed}: {changes:?}");
        let (at, boot, cause) = losses[0];
        assert_eq!((boot, cause), (2, LossCause::Expired), "seed {seed}");
        assert!(at <= 19_500 + 1_500 + MAX_DELAY_MS + 10, "seed {seed}: lost at {at}");
    }
}

/// Guards against datagrams that are too large, targets left out of a batch, and batches without
/// bound.
#[test]
fn batches_are_bounded_and_complete() {
    let mut relay = TargetRelay::new(BootId(7));
    for number in 0..200 {
        let target = format!("target-{number:03}");
        relay.announce(ms(0), &announcement(&target, 1, 1)).unwrap();
    }
    let batches = relay.take_batches(ms(3));
    let mut seen = 0;
    for (batch, sequence) in batches.iter().zip(1..) {
        let bytes = postcard::to_stdvec(batch).unwrap();
        assert!(bytes.len() <= MAX_BATCH_BYTES, "{} bytes", bytes.len());
        assert_eq!(batch.sequence, sequence);
        assert_eq!(postcard::from_bytes::<RelayBatch>(&bytes).as_ref(), Ok(batch));
        assert!(batch.items.iter().all(|item| item.age_ms == 3));
        seen += batch.items.len();
    }
    assert_eq!(seen, 200);
    assert_eq!(relay.take_batches(ms(4)), []);
    let route = gw_types::RouteMatch { host: None, path_prefix: Some("/x".repeat(800)) };
    let large = TargetAnnouncement { route, ..announcement("large", 1, 1) };
    assert!(matches!(relay.announce(ms(5), &large), Err(RelayError::TooLarge { .. })));
}

struct RelayCase {
    at: u64,
    announcement: TargetAnnouncement,
    sent: Option<&'static str>,
}

/// Guards against relays that repeat full announcements needlessly, or leave a change out.
#[test]
fn renewals_are_short_unless_something_changed() {
    let moved = TargetAnnouncement {
        address: "127.0.0.1:9001".parse().unwrap(),
        ..announcement("t", 1, 5)
    };
    let cases = [
        RelayCase { at: 0, announcement: announcement("t", 1, 1), sent: Some("full") },
        RelayCase { at: 500, announcement: announcement("t", 1, 2), sent: Some("renewal") },
        RelayCase { at: 600, announcement: announcement("t", 1, 1), sent: None },
        RelayCase { at: 1_000, announcement: announcement("t", 1, 3), sent: Some("full") },
        RelayCase { at: 1_500, announcement: announcement("t", 1, 4), sent: Some("renewal") },
        RelayCase { at: 1_600, announcement: moved, sent: Some("full") },
        RelayCase { at: 1_700, announcement: announcement("t", 2, 1), sent: Some("full") },
        RelayCase { at: 1_800, announcement: announcement("t", 1, 9), sent: None },
    ];
    let mut relay = TargetRelay::new(BootId(1));
    for case in cases {
        relay.announce(ms(case.at), &case.announcement).unwrap();
        let batches = relay.take_batches(ms(case.at));
        let sent = batches.first().map(|batch| match &batch.items[0].event {
            RelayEvent::Announced(_) => "full",
            _ => "renewal",
        });
        assert_eq!(sent, case.sent, "at {}", case.at);
    }
    relay.resend_all();
    let batches = relay.take_batches(ms(1_900));
    assert!(matches!(batches[0].items[0].event, RelayEvent::Announced(_)));
}

/// Guards against observations of the dispatcher that do not reach the registry, or reach it with
/// every request.
#[test]
fn traffic_and_health_are_relayed_when_they_change() {
    let mut relay = TargetRelay::new(BootId(1));
    let mut registry = registry();
    registry.announce(ms(0), ms(0), &announcement("t", 1, 1)).unwrap();
    registry.set_dispatcher("t", Some(HostId(1)));
    let target = "t".parse().unwrap();
    let mut batches = 0;
    let mut pass = |relay: &mut TargetRelay, now| {
        for batch in relay.take_batches(ms(now)) {
            assert_eq!(registry.apply_batch(ms(now), HostId(1), &batch), []);
            batches += 1;
        }
        registry.target("t").map(|entry| entry.state)
    };
    for now in 0..1_000 {
        relay.observe(ms(now), &target, BootId(1), true).unwrap();
        relay.health(ms(now), &target, BootId(1), false).unwrap();
        assert_eq!(pass(&mut relay, now), Some(TargetState::Starting));
    }
    for now in [1_000, 1_001] {
        relay.observe(ms(now), &target, BootId(1), false).unwrap();
        assert_eq!(pass(&mut relay, now), Some(TargetState::Starting));
    }
    relay.observe(ms(1_002), &target, BootId(1), false).unwrap();
    assert_eq!(pass(&mut relay, 1_002), Some(TargetState::Lost));
    // An answer each 250 ms for a second, the endpoint with the first, and three failures.
    assert_eq!(batches, 4 + 3);
}

/// Guards against reports that one lost datagram suppresses.
#[test]
fn reports_are_relayed_three_times() {
    let mut relay = TargetRelay::new(BootId(1));
    relay.report(ms(0), &report("t", 1, TroubleKind::Leaving)).unwrap();
    let copies = (0..10).map(|step| relay.take_batches(ms(step * 50)).len()).sum::<usize>();
    assert_eq!(copies, 3);
}
