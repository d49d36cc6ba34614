//! VMs and classes for the tests.

use {
    egretlb_types::{
        Accelerators, ClassKind, ClassName, ClassSpec, ConfigDocument, Megabytes, MilliCores,
        Resources, TeamSpec, VmRecord, VmState,
    },
    std::time::Duration,
};

pub fn resources(cores: f64, gigabytes: f64, accelerators: u32) -> Resources {
    Resources {
        cpu: MilliCores((cores * 1_000.0) as u32),
        memory: Megabytes((gigabytes * 1_000.0) as u32),
        accelerators: Accelerators(accelerators),
    }
}

/// VMs of one size, `per_rack` per rack; racks alternate over four data centres.
pub fn vms(count: usize, per_rack: usize, capacity: Resources) -> Vec<VmRecord> {
    let record = |i: usize| {
        let rack = i / per_rack;
        VmRecord {
            vm: format!("vm{i}").parse().unwrap(),
            addr: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
            data_centre: format!("dc{}", rack % 4).parse().unwrap(),
            rack: format!("rack{rack}").parse().unwrap(),
            state: VmState::Live,
            capacity,
            slots: 8,
            connections: 64,
        }
    };
    (0..count).map(record).collect()
}

pub fn batch_class(name: &str, task: Resources, run_time: Duration, urgent: bool) -> ClassSpec {
    ClassSpec {
        name: name.parse().unwrap(),
        member: "member".parse().unwrap(),
        team: "team".parse().unwrap(),
        kind: ClassKind::Batch {
            amount: 1_000,
            period: Duration::from_secs(3_600),
            task,
            run_time,
            urgent,
        },
    }
}

pub fn latency_class(name: &str, replica: Resources, spread: bool) -> ClassSpec {
    ClassSpec {
        name: name.parse().unwrap(),
        member: "member".parse().unwrap(),
        team: "team".parse().unwrap(),
        kind: ClassKind::Latency {
            permille: 990,
            target: Duration::from_millis(100),
            idempotent: true,
            replica,
            spread,
        },
    }
}

pub fn team(name: &str, quota: Resources) -> TeamSpec {
    TeamSpec { name: name.parse().unwrap(), member: "member".parse().unwrap(), quota }
}

pub fn document(classes: Vec<ClassSpec>) -> ConfigDocument {
    let quota = resources(1e6, 4e6, 10_000);
    let mut document = ConfigDocument { classes, ..ConfigDocument::default() };
    document.teams.push(team("team", quota));
    document
}

pub fn class(name: &str) -> ClassName {
    name.parse().unwrap()
}
