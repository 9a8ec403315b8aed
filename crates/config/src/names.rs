//! Names with their paths in the document, for the checks.

/// Maximum length of a name, in bytes: the maximum length of an identifier in PostgreSQL.
const MAX_NAME_BYTES: usize = 63;

/// Text of the document and its path, such as `groups[1].name`.
#[derive(Clone, Debug)]
pub(crate) struct LocatedText<'a> {
    pub(crate) path: Box<str>,
    pub(crate) text: &'a str,
}

/// Repetition of a text that the list already contains.
pub(crate) struct Duplicate<'a, 'b> {
    pub(crate) repeated: &'b LocatedText<'a>,
    pub(crate) first: &'b LocatedText<'a>,
}

/// Returns the names of a list's items, each at the path `LIST[INDEX].name`.
pub(crate) fn item_names<'a, T>(
    list: &str,
    items: &'a [T],
    name: impl Fn(&'a T) -> &'a str,
) -> Vec<LocatedText<'a>> {
    let located = |(index, item)| LocatedText {
        path: format!("{list}[{index}].name").into(),
        text: name(item),
    };
    items.iter().enumerate().map(located).collect()
}

/// Returns the items of a list of texts, each at the path `LIST[INDEX]`.
pub(crate) fn list_items<'a>(list: &str, texts: &'a [Box<str>]) -> Vec<LocatedText<'a>> {
    let path = |index| format!("{list}[{index}]").into();
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| LocatedText {
            path: path(index),
            text,
        })
        .collect()
}

/// Returns each text that is equal to an earlier one, in list order, with the first of the equal texts.
pub(crate) fn duplicates<'a, 'b>(texts: &'b [LocatedText<'a>]) -> Vec<Duplicate<'a, 'b>> {
    let mut sorted: Vec<(&str, usize)> = texts
        .iter()
        .enumerate()
        .map(|(index, located)| (located.text, index))
        .collect();
    sorted.sort_unstable();
    let runs = sorted.chunk_by(|one, other| one.0 == other.0);
    let mut repeated: Vec<(usize, usize)> = runs
        .flat_map(|run| run[1..].iter().map(|(_, index)| (*index, run[0].1)))
        .collect();
    repeated.sort_unstable();
    let duplicate = |(repeated, first): (usize, usize)| Duplicate {
        repeated: &texts[repeated],
        first: &texts[first],
    };
    repeated.into_iter().map(duplicate).collect()
}

/// Returns whether the text is allowed as a name. The characters are limited because names are part of log lines, keys
/// and addresses.
pub(crate) fn is_well_formed(text: &str) -> bool {
    let allowed =
        |character: char| character.is_alphanumeric() || matches!(character, '-' | '_' | '.');
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(char::is_alphanumeric)
        && text.chars().all(allowed)
}
