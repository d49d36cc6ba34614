//! Parses a class configuration.

use {
    crate::{
        check::{CheckFault, Place, check_document},
        fault::{FaultKind, Faults},
        reader::{CountRange, Reader},
        units::{Percentile, Period},
    },
    egretlb_types::{ClassKind, ClassSpec, ConfigDocument, Resources, TeamSpec},
    jsonc_parser::{
        ast::{Object, Value},
        common::{Range, Ranged},
    },
    smallvec::SmallVec,
    std::{fmt, str::FromStr, time::Duration},
};

const ROOT_FIELDS: &[&str] = &["teams", "classes"];
const TEAM_FIELDS: &[&str] = &["name", "member", "quota"];
const CLASS_FIELDS: &[&str] = &["name", "member", "team", "latency", "batch"];
const LATENCY_FIELDS: &[&str] = &["percentile", "within", "idempotent", "replica", "spread"];
const BATCH_FIELDS: &[&str] = &["amount", "within", "task", "run_time", "urgent"];

const NAME_EXPECTED: &str = r#"a name of letters, digits, "-", "_" and ".", like "claims""#;
const PERIOD_EXPECTED: &str = r#"a duration in quotes, like "400ms" or "8h""#;

/// Any `u32`; `check_document` checks the allowed range.
const AMOUNT_RANGE: CountRange = CountRange {
    min: 0,
    max: u32::MAX,
    expected: "a whole number of tasks, like 1200",
    reason: "it counts tasks",
};

/// Parses and checks a class configuration.
///
/// # Errors
///
/// All faults of the text, each with its position. A syntax error is the only fault reported, since
/// nothing after it can be read.
pub fn parse_config(text: &str) -> Result<ConfigDocument, Faults> {
    let mut lowering = Lowering { reader: Reader::new(text), teams: vec![], classes: vec![] };
    let document = match lowering.reader.parse_root() {
        Some(root) => lowering.document(&root),
        None => ConfigDocument::default(),
    };
    for fault in check_document(&document) {
        lowering.push_check_fault(&document, fault);
    }
    match Faults::new(lowering.reader.into_faults()) {
        Some(faults) => Err(faults),
        None => Ok(document),
    }
}

/// Positions of the fields of one team or class. A field that couldn't be read is absent: the
/// document holds a placeholder, and check faults of that field are dropped.
type Spans = SmallVec<[(&'static str, Range); 10]>;

struct Lowering<'t> {
    reader: Reader<'t>,
    teams: Vec<Spans>,
    classes: Vec<Spans>,
}

impl<'t> Lowering<'t> {
    fn document(&mut self, root: &Object<'t>) -> ConfigDocument {
        self.reader.check_fields(root, ROOT_FIELDS);
        let teams = self.reader.array(root, "teams", r#"a list like "teams": [{...}]"#);
        let teams = teams.map(|array| array.elements.as_slice()).unwrap_or_default();
        let classes = self.reader.array(root, "classes", r#"a list like "classes": [{...}]"#);
        let classes = classes.map(|array| array.elements.as_slice()).unwrap_or_default();
        ConfigDocument {
            teams: teams.iter().map(|value| self.team(value)).collect(),
            classes: classes.iter().map(|value| self.class(value)).collect(),
        }
    }

    fn team(&mut self, value: &Value<'t>) -> TeamSpec {
        let mut spans = Spans::new();
        let index = self.teams.len();
        let object = self.reader.as_object(value, "a team, like {\"name\": \"claims\", ...}");
        let team = match object {
            None => TeamSpec {
                name: placeholder_name(index),
                member: placeholder_name(index),
                quota: Resources::default(),
            },
            Some(object) => {
                self.reader.check_fields(object, TEAM_FIELDS);
                TeamSpec {
                    name: self.name(object, "name", index, &mut spans),
                    member: self.name(object, "member", index, &mut spans),
                    quota: self.resources(object, "quota", &mut spans),
                }
            }
        };
        self.teams.push(spans);
        team
    }

    fn class(&mut self, value: &Value<'t>) -> ClassSpec {
        let mut spans = Spans::new();
        let index = self.classes.len();
        let object = self.reader.as_object(value, "a class, like {\"name\": \"check\", ...}");
        let class = match object {
            None => ClassSpec {
                name: placeholder_name(index),
                member: placeholder_name(index),
                team: placeholder_name(index),
                kind: placeholder_kind(),
            },
            Some(object) => {
                self.reader.check_fields(object, CLASS_FIELDS);
                ClassSpec {
                    name: self.name(object, "name", index, &mut spans),
                    member: self.name(object, "member", index, &mut spans),
                    team: self.name(object, "team", index, &mut spans),
                    kind: self.kind(object, &mut spans),
                }
            }
        };
        self.classes.push(spans);
        class
    }

    fn kind(&mut self, class: &Object<'t>, spans: &mut Spans) -> ClassKind {
        match (class.get("latency"), class.get("batch")) {
            (Some(prop), None) => {
                let object = self.reader.as_object(&prop.value, "a latency target in braces");
                object.map(|object| self.latency(object, spans))
            }
            (None, Some(prop)) => {
                let object = self.reader.as_object(&prop.value, "a batch target in braces");
                object.map(|object| self.batch(object, spans))
            }
            (None, None) => {
                self.reader.push(class.range, FaultKind::MissingTarget);
                None
            }
            (Some(latency), Some(batch)) => {
                let later = latency.range.start.max(batch.range.start);
                self.reader.push(Range::from_byte_index(later), FaultKind::ConflictingTargets);
                None
            }
        }
        .unwrap_or_else(placeholder_kind)
    }

    fn latency(&mut self, object: &Object<'t>, spans: &mut Spans) -> ClassKind {
        const PERCENTILE: &str = r#"a percentile in quotes, like "p99""#;
        const IDEMPOTENT: &str = "true if a request may run twice without harm, else false";
        const SPREAD: &str = "true if replicas must survive the loss of a data centre, else false";
        self.reader.check_fields(object, LATENCY_FIELDS);
        let percentile = self.reader.text::<Percentile>(object, "percentile", PERCENTILE);
        record_span(object, "percentile", percentile.is_some(), spans);
        ClassKind::Latency {
            permille: percentile.map_or(0, |percentile| percentile.0),
            target: self.period(object, "within", spans),
            idempotent: self.reader.bool(object, "idempotent", IDEMPOTENT).unwrap_or_default(),
            replica: self.resources(object, "replica", spans),
            spread: self.reader.bool(object, "spread", SPREAD).unwrap_or_default(),
        }
    }

    fn batch(&mut self, object: &Object<'t>, spans: &mut Spans) -> ClassKind {
        const URGENT: &str = "true if tasks must start at once, else false";
        self.reader.check_fields(object, BATCH_FIELDS);
        let amount = self.reader.count(object, "amount", AMOUNT_RANGE);
        record_span(object, "amount", amount.is_some(), spans);
        ClassKind::Batch {
            amount: amount.unwrap_or_default(),
            period: self.period(object, "within", spans),
            task: self.resources(object, "task", spans),
            run_time: self.period(object, "run_time", spans),
            urgent: self.reader.bool(object, "urgent", URGENT).unwrap_or_default(),
        }
    }

    fn name<T: FromStr<Err: fmt::Display>>(
        &mut self,
        object: &Object<'t>,
        field: &'static str,
        index: usize,
        spans: &mut Spans,
    ) -> T {
        let name = self.reader.text(object, field, NAME_EXPECTED);
        record_span(object, field, name.is_some(), spans);
        name.unwrap_or_else(|| placeholder_name(index))
    }

    fn period(&mut self, object: &Object<'t>, field: &'static str, spans: &mut Spans) -> Duration {
        let period = self.reader.text::<Period>(object, field, PERIOD_EXPECTED);
        record_span(object, field, period.is_some(), spans);
        period.map_or(Duration::ZERO, Period::as_duration)
    }

    fn resources(
        &mut self,
        object: &Object<'t>,
        field: &'static str,
        spans: &mut Spans,
    ) -> Resources {
        let resources = self.reader.resources(object, field);
        record_span(object, field, resources.is_some(), spans);
        resources.unwrap_or_default()
    }

    /// Adds a check fault with its position in the text; drops it if it results from a field that
    /// couldn't be read.
    fn push_check_fault(&mut self, document: &ConfigDocument, fault: CheckFault) {
        let Some(range) = self.range(fault.place) else { return };
        if self.results_from_unread_field(document, &fault) {
            return;
        }
        let kind = match fault.kind {
            FaultKind::DuplicateName { what, name, .. } => {
                let first = self.first_occurrence(document, what, &name);
                let first = first.map(|range| self.reader.position(range.start));
                FaultKind::DuplicateName { what, name, first }
            }
            kind => kind,
        };
        self.reader.push(range, kind);
    }

    fn range(&self, place: Place) -> Option<Range> {
        match place {
            Place::Teams | Place::Classes => Some(Range::from_byte_index(0)),
            Place::Team { index, field } => span(&self.teams[index], field),
            Place::Class { index, field } => span(&self.classes[index], field),
        }
    }

    fn results_from_unread_field(&self, document: &ConfigDocument, fault: &CheckFault) -> bool {
        let unread = |spans: &Spans, field| span(spans, field).is_none();
        match (&fault.kind, fault.place) {
            (FaultKind::UnknownTeam { .. }, _) => {
                self.teams.is_empty() || self.teams.iter().any(|spans| unread(spans, "name"))
            }
            (FaultKind::TeamOfOtherMember { team, .. }, Place::Class { index, .. }) => {
                let team_index = document.teams.iter().position(|spec| spec.name == *team);
                unread(&self.classes[index], "member")
                    || team_index.is_some_and(|index| unread(&self.teams[index], "member"))
            }
            (FaultKind::RunTimeExceedsPeriod { .. }, Place::Class { index, .. }) => {
                unread(&self.classes[index], "within")
            }
            _ => false,
        }
    }

    fn first_occurrence(&self, document: &ConfigDocument, what: &str, name: &str) -> Option<Range> {
        if what == "team" {
            let index = document.teams.iter().position(|team| team.name.as_str() == name)?;
            return span(&self.teams[index], "name");
        }
        let index = document.classes.iter().position(|class| class.name.as_str() == name)?;
        span(&self.classes[index], "name")
    }
}

fn span(spans: &Spans, field: &str) -> Option<Range> {
    spans.iter().find(|(name, _)| *name == field).map(|(_, range)| *range)
}

fn record_span(object: &Object<'_>, field: &'static str, read: bool, spans: &mut Spans) {
    if let Some(prop) = object.get(field).filter(|_| read) {
        spans.push((field, prop.value.range()));
    }
}

/// A unique name for one that couldn't be read, so that it isn't reported as a duplicate.
fn placeholder_name<T: FromStr<Err: fmt::Display>>(index: usize) -> T {
    match format!("unread..{index}").parse() {
        Ok(name) => name,
        Err(e) => unreachable!("a placeholder is a valid name: {e}"),
    }
}

/// A target for one that couldn't be read; check faults of its fields are dropped.
fn placeholder_kind() -> ClassKind {
    ClassKind::Batch {
        amount: 0,
        period: Duration::ZERO,
        task: Resources::default(),
        run_time: Duration::ZERO,
        urgent: false,
    }
}
