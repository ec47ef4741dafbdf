//! Control groups in virtual time, whose hosts are moved, stopped, lost and wiped at random. `GW_SEED`
//! sets the first seed and `GW_SCHEDULES` the number of schedules per group.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use gw_fleet::FaultTolerance;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::ReplicaRecord;
use gw_fleet::SeatPolicy;
use gw_fleet::SeatView;
use gw_fleet::VoteChange;
use gw_types::HostId;
use gw_types::ZoneName;

const DEFAULT_SEED: u64 = 20_261_208;
const DEFAULT_SCHEDULES: u64 = 300;
/// Time between two steps of the simulation, in milliseconds, as all times here.
const STEP: u64 = 50;
const SCHEDULE_TIME: u64 = 85_000;
/// Time for which a host that is back or new counts as lost.
const CATCH_UP_TIME: u64 = 4_000;
/// Longest time without a leader within the tolerance.
const LEADERLESS_TIME: u64 = 3_000;
/// Longest time without a leader after all hosts are back.
const RECOVERY_TIME: u64 = 15_000;

struct ScheduleRng(u64);

impl ScheduleRng {
    fn between(&mut self, min: u64, max: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        min + self.0 % (max - min + 1)
    }
}

/// A machine, whose address is its position in the list.
#[derive(Clone)]
struct ControlMachine {
    zone: usize,
    /// What the disk says; `None` if it is empty.
    replica: Option<HostId>,
    /// Whether the process runs, and since when.
    up_since: Option<u64>,
    /// When the process starts again.
    starts_at: Option<u64>,
    /// When the process ends, after it was told to stop.
    ends_at: Option<u64>,
    /// Until when the leader remembers that the host was told to stop.
    leaving_until: u64,
    /// When the replica has all committed entries.
    caught_up_at: u64,
    heard_at: u64,
    /// Until when the machine counts as lost.
    lost_until: u64,
    is_removed: bool,
}

/// Something that was planned for a certain time.
enum PlannedStep {
    /// Tells a machine to stop, which is started again after so many milliseconds.
    Stop(usize, u64),
    /// Empties the disk of a machine.
    Wipe(usize),
}

struct VotingGroup {
    rng: ScheduleRng,
    now: u64,
    policy: SeatPolicy,
    tolerance: FaultTolerance,
    machines: Vec<ControlMachine>,
    state: FleetState,
    voters: Vec<HostId>,
    learners: Vec<HostId>,
    leader: Option<usize>,
    elected_at: u64,
    led_at: u64,
    planned: Vec<(u64, PlannedStep)>,
    next_stop_at: u64,
    /// What has happened, for the message of a broken schedule.
    history: Vec<String>,
}

impl VotingGroup {
    fn new(seed: u64, tolerance: FaultTolerance, hosts: usize, zones: usize) -> Self {
        let first = (0..hosts.min(3)).map(|host| HostId(host as u16 + 1)).collect();
        let mut group = Self {
            rng: ScheduleRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            now: 0,
            policy: SeatPolicy::new(tolerance),
            tolerance,
            machines: Vec::new(),
            state: FleetState::default(),
            voters: first,
            learners: Vec::new(),
            leader: None,
            elected_at: 0,
            led_at: 0,
            planned: Vec::new(),
            next_stop_at: 0,
            history: Vec::new(),
        };
        (0..hosts).for_each(|host| group.add_machine(host % zones, 0));
        for (machine, id) in group.machines.iter_mut().zip(&group.voters) {
            machine.replica = Some(*id);
        }
        let record = |(index, id): (usize, &HostId)| ReplicaRecord {
            id: *id,
            folder: u64::from(id.0),
            peers: address(index),
            calls: address(index),
        };
        let first = group.voters.iter().enumerate().map(record).collect();
        group.state.apply(&FleetCommand::SetFirstReplicas(first));
        group
    }

    fn add_machine(&mut self, zone: usize, starts_at: u64) {
        self.record(format!("adds {} in zone {zone}", self.machines.len()));
        self.machines.push(ControlMachine {
            zone,
            replica: None,
            up_since: None,
            starts_at: Some(starts_at),
            ends_at: None,
            leaving_until: 0,
            caught_up_at: u64::MAX,
            heard_at: starts_at,
            lost_until: starts_at + CATCH_UP_TIME,
            is_removed: false,
        });
    }

    fn machine_of(&self, id: HostId) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.replica == Some(id) && machine.up_since.is_some())
    }

    fn has_majority(&self) -> bool {
        let up = self.voters.iter().filter(|id| self.machine_of(**id).is_some()).count();
        up > self.voters.len() / 2
    }

    fn record(&mut self, event: String) {
        self.history.push(format!("{} ms: {event}", self.now));
    }

    fn lost_count(&self) -> usize {
        self.machines.iter().filter(|machine| machine.lost_until > self.now).count()
    }

    fn step(&mut self) {
        self.now += STEP;
        self.run_processes();
        self.elect();
        if self.leader.is_some() {
            self.led_at = self.now;
            self.join();
            self.review();
        }
    }

    fn run_processes(&mut self) {
        let now = self.now;
        // Planned work waits while a host is lost, and stops one host after the other.
        let may_stop = self.lost_count() == 0 && now >= self.next_stop_at;
        let is_due = |(at, step): &(u64, PlannedStep)| match step {
            PlannedStep::Stop(..) => may_stop && *at <= now,
            PlannedStep::Wipe(_) => *at <= now,
        };
        if let Some(position) = self.planned.iter().position(is_due) {
            let (_, step) = self.planned.remove(position);
            match step {
                PlannedStep::Stop(index, back_in) => self.stop(index, back_in),
                PlannedStep::Wipe(index) => self.machines[index].replica = None,
            }
        }
        for machine in &mut self.machines {
            if machine.ends_at.take_if(|at| *at <= now).is_some() {
                machine.up_since = None;
            }
            if machine.starts_at.take_if(|at| *at <= now).is_some() {
                machine.up_since = Some(now);
                machine.caught_up_at = u64::MAX;
            }
            if machine.up_since.is_some() {
                machine.heard_at = now;
            }
        }
    }

    /// Sends SIGTERM to a host that is started again `back_in` after its end; `u64::MAX` if never.
    fn stop(&mut self, index: usize, back_in: u64) {
        self.next_stop_at = self.now + self.rng.between(300, 2_000);
        self.record(format!("stops {index} back in {back_in}"));
        let ends_at = self.now + self.rng.between(700, 1_500);
        let machine = &mut self.machines[index];
        machine.ends_at = Some(ends_at);
        machine.leaving_until = ends_at + 1_000;
        machine.is_removed = back_in == u64::MAX;
        if !machine.is_removed {
            machine.starts_at = Some(ends_at + back_in);
            machine.lost_until = ends_at + back_in + CATCH_UP_TIME;
        }
    }

    /// Ends a process without warning until it is back; `u64::MAX` if it never is.
    fn crash(&mut self, index: usize, back_in: u64) {
        self.record(format!("crashes {index} back in {back_in}"));
        let now = self.now;
        let machine = &mut self.machines[index];
        (machine.up_since, machine.ends_at) = (None, None);
        machine.is_removed = back_in == u64::MAX;
        let back_at = now.saturating_add(back_in);
        machine.starts_at = Some(back_at).filter(|at| *at < u64::MAX);
        machine.lost_until = back_at.saturating_add(CATCH_UP_TIME);
    }

    fn elect(&mut self) {
        let is_voter = |id: HostId| self.voters.contains(&id);
        let leads = |index: &usize| {
            let machine = &self.machines[*index];
            machine.up_since.is_some()
                && machine.ends_at.is_none()
                && machine.replica.is_some_and(is_voter)
        };
        let has_majority = self.has_majority();
        let was_led = self.leader.is_some();
        let is_handed_over =
            self.leader.is_some_and(|index| self.machines[index].ends_at.is_some());
        self.leader = self.leader.filter(|index| leads(index) && has_majority);
        if (was_led && self.leader.is_none()) || !has_majority {
            // A host that stops hands the leadership over.
            let (min, max) = if is_handed_over { (100, 200) } else { (500, 1_200) };
            self.elected_at = self.now + self.rng.between(min, max);
        }
        if self.leader.is_none() && self.now >= self.elected_at {
            let candidates: Vec<usize> =
                (0..self.machines.len()).filter(|index| leads(index)).collect();
            if !candidates.is_empty() {
                let chosen = self.rng.between(0, candidates.len() as u64 - 1) as usize;
                self.leader = Some(candidates[chosen]);
            }
        }
    }

    fn join(&mut self) {
        for index in 0..self.machines.len() {
            let Some(up_since) = self.machines[index].up_since else { continue };
            let id = self.machines[index].replica;
            if id.is_some_and(|id| self.state.is_removed(id)) {
                self.machines[index].replica = None;
            } else if id.is_none()
                && self.now >= up_since + 250
                && self.machines[index].ends_at.is_none()
            {
                let (peers, folder) = (address(index), self.rng.between(100, u64::MAX - 1));
                let command = FleetCommand::AddReplica { folder, peers, calls: peers };
                let FleetOutcome::Replica(id) = self.state.apply(&command) else { panic!("no id") };
                self.machines[index].replica = Some(id);
                self.record(format!("{index} is {}", id.0));
                self.learners.push(id);
            }
            if self.machines[index].caught_up_at == u64::MAX {
                self.machines[index].caught_up_at = self.now + self.rng.between(50, 1_000);
            }
        }
    }

    fn review(&mut self) {
        let seats: Vec<SeatView> =
            self.voters.iter().chain(&self.learners).map(|id| self.seat(*id)).collect();
        for id in self.policy.abandoned_learners(&seats) {
            self.state.apply(&FleetCommand::RemoveReplica { id });
            self.learners.retain(|learner| *learner != id);
        }
        let change = self.policy.next_vote_change(&seats);
        if change.is_some() {
            self.record(format!("{change:?}, voters {:?}", self.voters));
        }
        match change {
            Some(VoteChange::Promote(id)) => {
                self.learners.retain(|learner| *learner != id);
                self.voters.push(id);
            }
            Some(VoteChange::Demote(id)) => {
                self.voters.retain(|voter| *voter != id);
                self.learners.push(id);
            }
            None => {}
        }
    }

    fn seat(&self, id: HostId) -> SeatView {
        let record = self.state.replicas().iter().find(|replica| replica.id == id);
        let index = record.map_or(0, |record| usize::from(record.peers.port()) - 1);
        let machine = &self.machines[index];
        let is_present = machine.replica == Some(id);
        // A host without its disk is not heard under its old id.
        let silence = self.now - if is_present { machine.heard_at } else { 0 };
        SeatView {
            id,
            zone: ZoneName::new(format!("zone-{}", machine.zone)).ok(),
            is_leader: self.leader == Some(index),
            is_voter: self.voters.contains(&id),
            silence: Duration::from_millis(silence),
            is_caught_up: is_present && machine.caught_up_at <= self.now,
            is_leaving: is_present && self.now < machine.leaving_until,
            successor: self.state.replica_successor(id),
        }
    }

    /// Returns a machine that runs and is not about to stop.
    fn pick(&mut self) -> Option<usize> {
        let is_free = |index: &usize| {
            let machine = &self.machines[*index];
            let is_planned = self.planned.iter().any(|(_, step)| match step {
                PlannedStep::Stop(planned, _) | PlannedStep::Wipe(planned) => planned == index,
            });
            machine.up_since.is_some() && machine.ends_at.is_none() && !is_planned
        };
        let free: Vec<usize> = (0..self.machines.len()).filter(is_free).collect();
        if free.is_empty() {
            return None;
        }
        Some(free[self.rng.between(0, free.len() as u64 - 1) as usize])
    }

    /// Adds a successor of the machine `index` in its zone, and stops that one `wait` later.
    fn move_host(&mut self, index: usize, wait: u64) {
        self.add_machine(self.machines[index].zone, self.now);
        self.planned.push((self.now + wait, PlannedStep::Stop(index, u64::MAX)));
    }

    /// Begins a disruption that keeps within the tolerance.
    fn disrupt_within(&mut self, zones: usize) {
        let Some(index) = self.pick() else { return };
        let wait = self.rng.between(4_300, 15_000);
        match self.rng.between(0, 8) {
            0 => self.move_host(index, wait),
            1 => {
                let zone = self.machines[index].zone;
                self.crash(index, u64::MAX);
                self.machines[index].lost_until = self.now + 1_000 + CATCH_UP_TIME;
                self.add_machine(zone, self.now + 1_000);
                // The two count as one loss.
                self.machines.last_mut().expect("a machine").lost_until = 0;
            }
            2 => {
                let back_in = self.rng.between(500, 3_000);
                self.crash(index, back_in);
                self.record("without its disk".to_owned());
                self.machines[index].replica = None;
            }
            3 => self.stop(index, 500),
            4 | 5 => {
                let back_in = self.rng.between(500, 6_000);
                self.crash(index, back_in);
            }
            6 if self.lost_count() == 0 => {
                let back_in = self.rng.between(200, 1_000);
                self.crash_all(back_in, |_| true);
            }
            7 if self.lost_count() == 0 && zones > 2 => {
                let (zone, back_in) = (self.machines[index].zone, self.rng.between(5_000, 7_000));
                self.crash_all(back_in, |machine| machine.zone == zone);
            }
            8 if self.lost_count() == 0 && self.planned.is_empty() => {
                let gap = self.rng.between(300, 2_000);
                let running: Vec<usize> = (0..self.machines.len())
                    .filter(|index| self.machines[*index].up_since.is_some())
                    .collect();
                for (number, index) in (0..).zip(running) {
                    self.move_host(index, wait + number * gap);
                }
            }
            _ => {}
        }
    }

    fn crash_all(&mut self, back_in: u64, is_meant: impl Fn(&ControlMachine) -> bool) {
        let is_hit = |machine: &ControlMachine| machine.up_since.is_some() && is_meant(machine);
        let hit: Vec<usize> =
            (0..self.machines.len()).filter(|index| is_hit(&self.machines[*index])).collect();
        for index in hit {
            if self.machines[index].ends_at.is_some() && self.machines[index].is_removed {
                self.crash(index, u64::MAX);
                self.machines[index].lost_until = 0;
            } else {
                self.crash(index, back_in);
            }
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), index as u16 + 1)
}

/// Plays losses that keep within the tolerance. Returns what was broken, and when.
fn play_within(mut group: VotingGroup, zones: usize) -> Result<(), String> {
    (0..8_000 / STEP).for_each(|_| group.step());
    let mut next_at = group.now;
    while group.now < SCHEDULE_TIME {
        let stopping = group.machines.iter().filter(|machine| machine.ends_at.is_some()).count();
        if group.now >= next_at && group.lost_count() + stopping < group.tolerance.hosts {
            group.disrupt_within(zones);
            next_at = group.now + group.rng.between(0, 3_000);
        }
        group.step();
        // All processes may be down together for a second.
        let is_calm = group.lost_count() <= group.tolerance.hosts;
        let limit = if is_calm { LEADERLESS_TIME } else { LEADERLESS_TIME + 8_000 };
        if group.now - group.led_at > limit {
            return Err(group.history.join("\n"));
        }
    }
    Ok(())
}

/// Plays losses that overlap beyond the tolerance, with as many lost disks as it allows.
fn play_overlapping(mut group: VotingGroup) -> Result<(), String> {
    (0..8_000 / STEP).for_each(|_| group.step());
    let mut disks = group.tolerance.hosts;
    for _ in 0..group.rng.between(3, 8) {
        let back_in = group.rng.between(500, 13_000);
        match (group.pick(), group.rng.between(0, 5)) {
            (Some(index), 0 | 1) => group.crash(index, back_in),
            (Some(index), 2) => group.stop(index, back_in),
            (Some(index), 3) if disks > 0 => {
                disks -= 1;
                group.crash(index, back_in);
                group.planned.push((group.now, PlannedStep::Wipe(index)));
            }
            (_, 4) => {
                let zone = group.rng.between(0, 4) as usize;
                group.add_machine(zone, group.now);
            }
            _ => {}
        }
        (0..group.rng.between(0, 80)).for_each(|_| group.step());
    }
    (0..(15_000 + RECOVERY_TIME) / STEP).for_each(|_| group.step());
    match group.leader {
        Some(_) => Ok(()),
        None => Err(group.history.join("\n")),
    }
}

struct GroupCase {
    name: &'static str,
    tolerated: usize,
    hosts: usize,
    zones: usize,
}

/// Guards against groups that lose their majority for good, or for longer than an election, by losses
/// that the tolerance allows, at any moment of moves, restarts and repairs.
#[test]
fn tolerated_losses_never_take_the_majority() {
    let cases = [
        GroupCase { name: "three", tolerated: 1, hosts: 3, zones: 3 },
        GroupCase { name: "three in one zone", tolerated: 1, hosts: 3, zones: 1 },
        GroupCase { name: "four", tolerated: 1, hosts: 4, zones: 4 },
        GroupCase { name: "five", tolerated: 2, hosts: 5, zones: 5 },
        GroupCase { name: "fifteen", tolerated: 2, hosts: 15, zones: 5 },
    ];
    let setting = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = setting("GW_SEED", DEFAULT_SEED);
    let mut broken = Vec::new();
    for case in cases {
        let tolerance = FaultTolerance { hosts: case.tolerated, zones: 1 };
        let group = |seed| VotingGroup::new(seed, tolerance, case.hosts, case.zones);
        for seed in first..first + setting("GW_SCHEDULES", DEFAULT_SCHEDULES) {
            let within = play_within(group(seed), case.zones);
            let overlapping = play_overlapping(group(seed));
            for (kind, result) in [("within", within), ("overlapping", overlapping)] {
                if let Err(cause) = result {
                    broken.push(format!("{} {kind}, seed {seed}: {cause}", case.name));
                }
            }
        }
    }
    let shown = broken.iter().take(3).cloned().collect::<Vec<_>>().join("\n");
    assert!(broken.is_empty(), "{} broken\n{shown}", broken.len());
}
