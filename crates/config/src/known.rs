//! The names that a document defines and uses, sorted for looking them up.

use crate::model;

/// Names of a document.
pub struct Known<'a> {
    /// Database groups.
    pub groups: Names<'a>,
    /// Callers.
    pub callers: Names<'a>,
    /// Read classes.
    pub read_classes: Names<'a>,
    /// Failure domains of all regions.
    pub domains: Names<'a>,
    /// Read classes that services use, once for each use.
    pub used_read_classes: Names<'a>,
    /// Groups that services front, once for each service.
    pub fronted_groups: Names<'a>,
}

/// Names in order, each as often as it stands in the document.
pub struct Names<'a>(Vec<&'a str>);

impl<'a> Known<'a> {
    /// Gathers the names of a document.
    pub fn of(document: &'a model::Document) -> Self {
        let services = &document.services;
        Self {
            groups: Names::of(document.groups.iter().map(|group| &group.name)),
            callers: Names::of(document.callers.iter().map(|caller| &caller.name)),
            read_classes: Names::of(document.read_classes.iter().map(|class| &class.name)),
            domains: Names::of(document.regions.iter().flat_map(|region| &region.domains)),
            used_read_classes: Names::of(services.iter().flat_map(|s| &s.read_classes)),
            fronted_groups: Names::of(services.iter().map(|service| &service.group)),
        }
    }
}

impl<'a> Names<'a> {
    fn of(names: impl Iterator<Item = &'a Box<str>>) -> Self {
        let mut names: Vec<&str> = names.map(AsRef::as_ref).collect();
        names.sort_unstable();
        Self(names)
    }

    /// Whether a name is among them.
    pub fn contains(&self, name: &str) -> bool {
        self.0.binary_search(&name).is_ok()
    }

    /// How often a name is among them.
    pub fn count(&self, name: &str) -> usize {
        let from = self.0.partition_point(|known| *known < name);
        let to = self.0.partition_point(|known| *known <= name);
        to - from
    }
}
