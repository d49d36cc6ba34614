//! Suggests the known name closest to a misspelt one.

/// Maximum edit distance of a suggestion.
const MAX_EDITS: usize = 2;

/// Returns the known name with the smallest edit distance to `name`, if it is close enough.
pub fn nearest<T: AsRef<str>>(name: &str, known: impl IntoIterator<Item = T>) -> Option<T> {
    // Short names allow fewer edits, since many of them are two edits apart.
    let limit = MAX_EDITS.min(name.chars().count() / 3);
    known
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate.as_ref(), limit), candidate))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance, or some number above `limit` if it is larger. Stops early to
/// keep files with thousands of unknown names cheap.
fn edit_distance(a: &str, b: &str, limit: usize) -> usize {
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
