//! Finds the name that was probably meant.

/// How many edits make a name another one rather than a slip.
const MAX_EDITS: usize = 2;

/// The known name nearest to `name`, if it is near enough to be a slip of the keyboard.
pub fn nearest<T: AsRef<str>>(name: &str, known: impl IntoIterator<Item = T>) -> Option<T> {
    // A name of three letters is two edits away from half of all others.
    let limit = MAX_EDITS.min(name.chars().count() / 3);
    known
        .into_iter()
        .map(|candidate| (edits(name, candidate.as_ref(), limit), candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// The Levenshtein distance, or some number above `limit` if it is larger. Stops counting there: a
/// file of thousands of wrong names would otherwise take seconds.
fn edits(a: &str, b: &str, limit: usize) -> usize {
    if a.len().abs_diff(b.len()) > limit * char::MAX.len_utf8() {
        return limit + 1;
    }
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let above = row[j + 1];
            let substituted = diagonal + usize::from(x != *y);
            row[j + 1] = substituted.min(above + 1).min(row[j] + 1);
            diagonal = above;
        }
        if row.iter().all(|edits| *edits > limit) {
            return limit + 1;
        }
    }
    row[b.len()]
}
