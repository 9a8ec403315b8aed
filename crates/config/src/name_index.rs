//! Sorted lists of the names that a document defines and uses, for lookups.

use crate::model;

/// Names that a document defines and uses, by kind.
pub struct NameIndex<'a> {
    /// Names of the database groups.
    pub groups: SortedNames<'a>,
    /// Names of the callers.
    pub callers: SortedNames<'a>,
    /// Names of the read classes.
    pub read_classes: SortedNames<'a>,
    /// Names of the failure domains of all regions.
    pub domains: SortedNames<'a>,
    /// Names of the read classes that services use, once for each use.
    pub used_read_classes: SortedNames<'a>,
    /// Names of the groups that services use, once for each service.
    pub used_groups: SortedNames<'a>,
}

/// Sorted names, each as often as the document contains it.
pub struct SortedNames<'a>(Vec<&'a str>);

impl<'a> NameIndex<'a> {
    /// Collects the names of a document.
    pub fn new(document: &'a model::Document) -> Self {
        let services = &document.services;
        Self {
            groups: SortedNames::new(document.groups.iter().map(|group| &group.name)),
            callers: SortedNames::new(document.callers.iter().map(|caller| &caller.name)),
            read_classes: SortedNames::new(document.read_classes.iter().map(|class| &class.name)),
            domains: SortedNames::new(document.regions.iter().flat_map(|region| &region.domains)),
            used_read_classes: SortedNames::new(services.iter().flat_map(|s| &s.read_classes)),
            used_groups: SortedNames::new(services.iter().map(|service| &service.group)),
        }
    }
}

impl<'a> SortedNames<'a> {
    fn new(names: impl Iterator<Item = &'a Box<str>>) -> Self {
        let mut names: Vec<&str> = names.map(AsRef::as_ref).collect();
        names.sort_unstable();
        Self(names)
    }

    /// Returns whether the list contains a name.
    pub fn contains(&self, name: &str) -> bool {
        self.0.binary_search(&name).is_ok()
    }

    /// Returns how often the list contains a name.
    pub fn count(&self, name: &str) -> usize {
        let from = self.0.partition_point(|other| *other < name);
        let to = self.0.partition_point(|other| *other <= name);
        to - from
    }
}
