//! Says in lines what changes between two configurations.

use {
    crate::units::{Percentile, Period},
    egretlb_types::{ClassKind, ClassSpec, ConfigDocument, TeamSpec},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
    },
};

/// What changes from `old` to `new`, a line for each team, class or field, in the order of names.
/// Empty if the two mean the same; the order within a document and its comments mean nothing.
///
/// A line starts with `+` for what is new, `-` for what goes, `~` for what changes.
pub fn diff(old: &ConfigDocument, new: &ConfigDocument) -> Vec<String> {
    let mut lines = Vec::new();
    let teams = |document: &ConfigDocument| -> BTreeMap<String, Fields> {
        document.teams.iter().map(|team| (format!("team {}", team.name), of_team(team))).collect()
    };
    let classes = |document: &ConfigDocument| -> BTreeMap<String, Fields> {
        let entries = document.classes.iter();
        entries.map(|class| (format!("class {}", class.name), of_class(class))).collect()
    };
    diff_entries(&teams(old), &teams(new), &mut lines);
    diff_entries(&classes(old), &classes(new), &mut lines);
    lines
}

/// The fields of one team or class, in the order of the format, as they are written there.
type Fields = Vec<(&'static str, String)>;

fn of_team(team: &TeamSpec) -> Fields {
    vec![text("member", &team.member), text("quota", &team.quota)]
}

fn of_class(class: &ClassSpec) -> Fields {
    let mut fields = vec![text("member", &class.member), text("team", &class.team)];
    match &class.kind {
        ClassKind::Latency { permille, target, idempotent, replica, spread } => fields.extend([
            text("kind", &"latency"),
            text("percentile", &Percentile(*permille)),
            text("within", &Period::from(*target)),
            text("idempotent", idempotent),
            text("replica", replica),
            text("spread", spread),
        ]),
        ClassKind::Batch { amount, period, task, run_time, urgent } => fields.extend([
            text("kind", &"batch"),
            text("amount", amount),
            text("within", &Period::from(*period)),
            text("task", task),
            text("run_time", &Period::from(*run_time)),
            text("urgent", urgent),
        ]),
    }
    fields
}

fn text(name: &'static str, value: &impl Display) -> (&'static str, String) {
    (name, value.to_string())
}

fn diff_entries(
    old: &BTreeMap<String, Fields>,
    new: &BTreeMap<String, Fields>,
    lines: &mut Vec<String>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        match (old.get(name), new.get(name)) {
            (None, Some(fields)) => lines.push(format!("+ {name}: {}", listed(fields))),
            (Some(_), None) => lines.push(format!("- {name}")),
            (Some(old), Some(new)) => diff_fields(name, old, new, lines),
            (None, None) => {}
        }
    }
}

fn diff_fields(name: &str, old: &Fields, new: &Fields, lines: &mut Vec<String>) {
    let value = |fields: &Fields, field: &str| {
        fields.iter().find(|(name, _)| *name == field).map(|(_, value)| value.clone())
    };
    let added = new.iter().filter(|(field, _)| value(old, field).is_none());
    for (field, was) in old {
        match value(new, field) {
            Some(is) if is != *was => lines.push(format!("~ {name}: {field} {was} -> {is}")),
            Some(_) => {}
            None => lines.push(format!("~ {name}: {field} {was} -> (none)")),
        }
    }
    for (field, is) in added {
        lines.push(format!("~ {name}: {field} (none) -> {is}"));
    }
}

fn listed(fields: &Fields) -> String {
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name} {value}")).collect();
    fields.join(", ")
}
