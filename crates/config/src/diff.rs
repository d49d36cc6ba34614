//! Line-based diff of two configurations.

use {
    crate::units::{Percentile, Period},
    egretlb_types::{ClassKind, ClassSpec, ConfigDocument, TeamSpec},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
    },
};

/// Returns the changes from `old` to `new`, one line per team, class or field, ordered by name.
/// Ignores the order of teams and classes.
///
/// Lines start with `+` for an addition, `-` for a removal and `~` for a change.
pub fn diff(old: &ConfigDocument, new: &ConfigDocument) -> Vec<String> {
    let mut lines = Vec::new();
    let teams = |document: &ConfigDocument| -> BTreeMap<String, Fields> {
        document
            .teams
            .iter()
            .map(|team| (format!("team {}", team.name), team_fields(team)))
            .collect()
    };
    let classes = |document: &ConfigDocument| -> BTreeMap<String, Fields> {
        let entries = document.classes.iter();
        entries.map(|class| (format!("class {}", class.name), class_fields(class))).collect()
    };
    diff_entries(&teams(old), &teams(new), &mut lines);
    diff_entries(&classes(old), &classes(new), &mut lines);
    lines
}

/// Names and rendered values of the fields of one team or class, in file order.
type Fields = Vec<(&'static str, String)>;

fn team_fields(team: &TeamSpec) -> Fields {
    vec![field("member", &team.member), field("quota", &team.quota)]
}

fn class_fields(class: &ClassSpec) -> Fields {
    let mut fields = vec![field("member", &class.member), field("team", &class.team)];
    match &class.kind {
        ClassKind::Latency { permille, target, idempotent, replica, spread } => fields.extend([
            field("kind", &"latency"),
            field("percentile", &Percentile(*permille)),
            field("within", &Period::from(*target)),
            field("idempotent", idempotent),
            field("replica", replica),
            field("spread", spread),
        ]),
        ClassKind::Batch { amount, period, task, run_time, urgent } => fields.extend([
            field("kind", &"batch"),
            field("amount", amount),
            field("within", &Period::from(*period)),
            field("task", task),
            field("run_time", &Period::from(*run_time)),
            field("urgent", urgent),
        ]),
    }
    fields
}

fn field(name: &'static str, value: &impl Display) -> (&'static str, String) {
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
            (None, Some(fields)) => lines.push(format!("+ {name}: {}", join_fields(fields))),
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
    for (field, old_value) in old {
        match value(new, field) {
            Some(new_value) if new_value != *old_value => {
                lines.push(format!("~ {name}: {field} {old_value} -> {new_value}"))
            }
            Some(_) => {}
            None => lines.push(format!("~ {name}: {field} {old_value} -> (none)")),
        }
    }
    for (field, new_value) in added {
        lines.push(format!("~ {name}: {field} (none) -> {new_value}"));
    }
}

fn join_fields(fields: &Fields) -> String {
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name} {value}")).collect();
    fields.join(", ")
}
