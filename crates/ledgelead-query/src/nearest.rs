//! Finds the valid word nearest to a misspelled one.

/// Maximum length of a UTF-8 character, in bytes.
const MAX_CHARACTER_BYTES: usize = 4;
/// Minimum length of a word that can match as a prefix.
const MIN_PREFIX_LENGTH: usize = 3;

/// The word in `words` with the smallest edit distance, if at most a third of the letters
/// differ; one difference is always allowed. Otherwise the first word that starts with
/// `word`, if `word` has at least three bytes. Of equally near words the first is returned.
pub fn nearest<'a>(word: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let max_distance = (word.chars().count() / 3).max(1);
    let mut best: Option<(usize, &str)> = None;
    let mut prefix_match = None;
    for candidate in words {
        if word.len() >= MIN_PREFIX_LENGTH && candidate.starts_with(word) {
            prefix_match = prefix_match.or(Some(candidate));
        }
        if word.len().abs_diff(candidate.len()) > max_distance * MAX_CHARACTER_BYTES {
            continue;
        }
        let distance = edit_distance(word, candidate);
        if distance <= max_distance
            && best.is_none_or(|(best_distance, _)| distance < best_distance)
        {
            best = Some((distance, candidate));
        }
    }
    best.map(|(_, candidate)| candidate).or(prefix_match)
}

/// Edit distance with insertions, deletions, substitutions and transpositions of adjacent
/// characters (optimal string alignment), ignoring case.
fn edit_distance(left: &str, right: &str) -> usize {
    let left: Vec<char> = left.to_lowercase().chars().collect();
    let right: Vec<char> = right.to_lowercase().chars().collect();
    let mut row_before_previous: Vec<usize> = Vec::new();
    let mut previous_row: Vec<usize> = (0..=right.len()).collect();
    for row in 1..=left.len() {
        let mut current = vec![row];
        for column in 1..=right.len() {
            let differs = usize::from(left[row - 1] != right[column - 1]);
            let replaced = previous_row[column - 1] + differs;
            let shifted = previous_row[column].min(current[column - 1]) + 1;
            let mut cost = replaced.min(shifted);
            let is_swap = row > 1
                && column > 1
                && left[row - 1] == right[column - 2]
                && left[row - 2] == right[column - 1];
            if is_swap {
                cost = cost.min(row_before_previous[column - 2] + 1);
            }
            current.push(cost);
        }
        row_before_previous = std::mem::replace(&mut previous_row, current);
    }
    previous_row[right.len()]
}
