//! The parsers don't panic on any text, and the position of every fault is inside the text.
//!
//! Bolero generates the texts from fixed seeds. Add each seed that finds a bug to the list.

use {
    bolero::generator::bolero_generator::{
        TypeGenerator,
        driver::{Options, Rng},
    },
    egretlb_config::{Faults, diff, parse_config, parse_settings, render},
    rand::{SeedableRng, rngs::StdRng},
};

const SEEDS: [u64; 8] = [1, 7, 23, 99, 1_871, 40_213, 777_777, 20_251_202];

const TEXTS_PER_SEED: usize = 150;

const EXAMPLES: [&str; 4] = [
    include_str!("../../../examples/classes-bogota.jsonc"),
    include_str!("../../../examples/classes-sri-lanka.jsonc"),
    include_str!("../../../examples/settings-entry.jsonc"),
    include_str!("../../../examples/settings-scheduler.jsonc"),
];

/// Replacements for edited parts of the text. Tokens of the format reach more parser code than
/// random characters.
const TOKENS: [&str; 22] = [
    "",
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\"\"",
    "null",
    "true",
    "0",
    "-1",
    "1e999",
    "/*",
    "//",
    "\n",
    "é",
    "\u{2028}",
    "\"teams\"",
    "{\"name\": \"claims\"}",
    "\"0ms\"",
];

#[derive(Debug, TypeGenerator)]
struct Edit {
    at: u16,
    removed: u8,
    token: u8,
}

#[derive(Debug, TypeGenerator)]
struct EditedExample {
    example_index: u8,
    edits: [Option<Edit>; 4],
}

impl EditedExample {
    fn text(&self) -> String {
        let mut text = EXAMPLES[usize::from(self.example_index) % EXAMPLES.len()].to_owned();
        for edit in self.edits.iter().flatten() {
            let start = floor_char_boundary(&text, usize::from(edit.at) % (text.len() + 1));
            let end =
                floor_char_boundary(&text, (start + usize::from(edit.removed) / 8).min(text.len()));
            text.replace_range(start..end, TOKENS[usize::from(edit.token) % TOKENS.len()]);
        }
        text
    }
}

fn floor_char_boundary(text: &str, mut i: usize) -> usize {
    while !text.is_char_boundary(i) {
        i -= 1;
    }
    i
}

fn for_each_generated<T: TypeGenerator>(check: impl Fn(T)) {
    let options = Options::default().with_max_len(4_096);
    for seed in SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let values = std::iter::from_fn(|| T::generate(&mut driver)).take(TEXTS_PER_SEED);
        values.for_each(&check);
    }
}

fn assert_inside(text: &str, faults: &Faults) {
    assert!(!faults.as_slice().is_empty());
    for fault in faults.as_slice() {
        let position = fault.position;
        let line = text.split('\n').nth(position.line as usize - 1);
        let line = line.unwrap_or_else(|| panic!("{fault} is outside of {text:?}"));
        let columns = line.chars().count() + 1;
        assert!((1..=columns).contains(&(position.column as usize)), "{fault} outside {line:?}");
        assert!(!fault.kind.to_string().is_empty());
    }
}

fn check(text: &str) {
    if let Err(faults) = parse_settings(text) {
        assert_inside(text, &faults);
    }
    match parse_config(text) {
        Err(faults) => assert_inside(text, &faults),
        Ok(document) => {
            let again = parse_config(&render(&document)).unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(diff(&document, &again), Vec::<String>::new());
        }
    }
}

#[test]
fn edited_examples() {
    for_each_generated(|example: EditedExample| check(&example.text()));
}

#[test]
fn random_tokens() {
    for_each_generated(|tokens: Vec<u8>| {
        let words = tokens.iter().map(|i| TOKENS[usize::from(*i) % TOKENS.len()]);
        check(&words.collect::<String>());
    });
}
