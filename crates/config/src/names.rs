//! Names with their places, for the checks.

/// The longest name, in bytes: that of PostgreSQL's identifiers.
const MAX_NAME_BYTES: usize = 63;

/// A text of the document and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Placed<'a> {
    pub(crate) place: Box<str>,
    pub(crate) text: &'a str,
}

/// A text that stands twice.
pub(crate) struct Duplicate<'a, 'b> {
    pub(crate) again: &'b Placed<'a>,
    pub(crate) first: &'b Placed<'a>,
}

/// The names of a list's items, each at `LIST[INDEX].name`.
pub(crate) fn named<'a, T>(
    list: &str,
    items: &'a [T],
    name: impl Fn(&'a T) -> &'a str,
) -> Vec<Placed<'a>> {
    let placed = |(index, item)| Placed {
        place: format!("{list}[{index}].name").into(),
        text: name(item),
    };
    items.iter().enumerate().map(placed).collect()
}

/// The texts of a list, each at `LIST[INDEX]`.
pub(crate) fn listed<'a>(list: &str, texts: &'a [Box<str>]) -> Vec<Placed<'a>> {
    let place = |index| format!("{list}[{index}]").into();
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| Placed {
            place: place(index),
            text,
        })
        .collect()
}

/// The texts that stand a second time, in order.
pub(crate) fn duplicates<'a, 'b>(given: &'b [Placed<'a>]) -> Vec<Duplicate<'a, 'b>> {
    let mut sorted: Vec<(&str, usize)> = given
        .iter()
        .enumerate()
        .map(|(index, placed)| (placed.text, index))
        .collect();
    sorted.sort_unstable();
    let runs = sorted.chunk_by(|one, other| one.0 == other.0);
    let mut again: Vec<(usize, usize)> = runs
        .flat_map(|run| run[1..].iter().map(|(_, index)| (*index, run[0].1)))
        .collect();
    again.sort_unstable();
    let duplicate = |(again, first): (usize, usize)| Duplicate {
        again: &given[again],
        first: &given[first],
    };
    again.into_iter().map(duplicate).collect()
}

/// Whether the text can be a name: names stand in log lines, keys and addresses.
pub(crate) fn is_well_formed(text: &str) -> bool {
    let allowed =
        |character: char| character.is_alphanumeric() || matches!(character, '-' | '_' | '.');
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(char::is_alphanumeric)
        && text.chars().all(allowed)
}
