//! Validates a document and reports all findings at once, each with its path.

use std::net;

use crate::{finding, model, name_index, names, verifier};

/// Minimum number of members of a group. With fewer members, the loss of one leaves no majority.
pub const MIN_MEMBERS: usize = 3;

/// Checks a whole document.
///
/// # Errors
///
/// All findings. Regions come first, then groups, callers, read classes and services.
pub fn check(document: &model::Document) -> Result<(), finding::Findings> {
    let mut checker = Checker {
        document,
        name_index: name_index::NameIndex::new(document),
        findings: Vec::new(),
    };
    checker.check_regions();
    checker.check_groups();
    checker.check_callers();
    checker.check_read_classes();
    checker.check_services();
    let findings = finding::Findings(checker.findings);
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings)
    }
}

/// Document under check, with the findings so far. Findings name values by their paths in the document, such as
/// `groups[1].name`.
struct Checker<'a> {
    document: &'a model::Document,
    name_index: name_index::NameIndex<'a>,
    findings: Vec<finding::Finding>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, path: impl Into<Box<str>>, problem: finding::Problem) {
        self.findings.push(finding::Finding {
            path: path.into(),
            problem,
        });
    }

    fn report_if_zero(&mut self, path: String, value: u64) {
        if value == 0 {
            self.report(path, finding::Problem::Zero);
        }
    }

    /// Checks that the names that define items of one kind are well-formed and unique.
    fn check_names(&mut self, item_kind: finding::Kind, defined: &[names::LocatedText<'a>]) {
        let malformed = defined
            .iter()
            .filter(|located| !names::is_well_formed(located.text));
        for located in malformed {
            self.report(
                &*located.path,
                finding::Problem::MalformedName {
                    item_kind,
                    name: located.text.into(),
                },
            );
        }
        self.report_duplicates(item_kind, defined);
    }

    /// Reports each text that is equal to an earlier one.
    fn report_duplicates(&mut self, item_kind: finding::Kind, texts: &[names::LocatedText<'a>]) {
        for names::Duplicate { repeated, first } in names::duplicates(texts) {
            let problem = finding::Problem::DuplicateName {
                item_kind,
                name: repeated.text.into(),
                first: first.path.clone(),
            };
            self.report(&*repeated.path, problem);
        }
    }

    /// Checks that the names used in one list are defined in the document and that none is repeated. `defined` selects
    /// the names that the document defines for items of this kind.
    fn check_references(
        &mut self,
        item_kind: finding::Kind,
        used: &[names::LocatedText<'a>],
        defined: impl for<'k> Fn(&'k name_index::NameIndex<'a>) -> &'k name_index::SortedNames<'a>,
    ) {
        let is_unknown =
            |located: &&names::LocatedText<'a>| !defined(&self.name_index).contains(located.text);
        let unknown: Vec<_> = used.iter().filter(is_unknown).collect();
        for located in unknown {
            self.report(
                &*located.path,
                finding::Problem::UnknownName {
                    item_kind,
                    name: located.text.into(),
                },
            );
        }
        self.report_duplicates(item_kind, used);
    }

    /// Checks that the table names of one list are not empty and not repeated.
    fn check_tables(&mut self, path: &str, tables: &'a [Box<str>]) {
        let located = names::list_items(path, tables);
        for table in located.iter().filter(|table| table.text.trim().is_empty()) {
            self.report(&*table.path, finding::Problem::EmptyTable);
        }
        self.report_duplicates(finding::Kind::Table, &located);
    }

    fn check_regions(&mut self) {
        let regions = &self.document.regions;
        self.check_names(
            finding::Kind::Region,
            &names::item_names("regions", regions, |region| &region.name),
        );
        let mut domains = Vec::new();
        for (index, region) in regions.iter().enumerate() {
            let path = format!("regions[{index}].domains");
            if region.domains.is_empty() {
                self.report(&*path, finding::Problem::NoDomains);
            }
            domains.extend(names::list_items(&path, &region.domains));
        }
        self.check_names(finding::Kind::Domain, &domains);
    }

    fn check_groups(&mut self) {
        let groups = &self.document.groups;
        self.check_names(
            finding::Kind::Group,
            &names::item_names("groups", groups, |group| &group.name),
        );
        for (index, group) in groups.iter().enumerate() {
            self.check_group(&format!("groups[{index}]"), group);
        }
        self.check_addresses();
    }

    fn check_group(&mut self, path: &str, group: &'a model::Group) {
        self.report_if_zero(format!("{path}.slots"), group.slots.into());
        self.check_slots(path, group);
        self.check_member_count(path, group.members.len());
        let members_path = format!("{path}.members");
        let names = names::item_names(&members_path, &group.members, |member| &member.name);
        self.check_names(finding::Kind::Member, &names);
        for (index, member) in group.members.iter().enumerate() {
            self.check_member(&format!("{members_path}[{index}]"), member);
        }
    }

    /// Checks that each member of the group accepts at least as many connections as the group has slots.
    fn check_slots(&mut self, path: &str, group: &model::Group) {
        let Some((index, member)) = group.member_with_fewest_connections() else {
            return;
        };
        if group.slots > member.connections {
            let problem = finding::Problem::SlotsAboveConnections {
                slots: group.slots,
                member: format!("{path}.members[{index}]").into(),
                connections: member.connections,
            };
            self.report(format!("{path}.slots"), problem);
        }
    }

    fn check_member_count(&mut self, path: &str, members: usize) {
        if members < MIN_MEMBERS {
            self.report(
                format!("{path}.members"),
                finding::Problem::TooFewMembers { members },
            );
        } else if members.is_multiple_of(2) {
            self.report(
                format!("{path}.members"),
                finding::Problem::EvenMembers { members },
            );
        }
    }

    fn check_member(&mut self, path: &str, member: &'a model::Member) {
        let domain = names::LocatedText {
            path: format!("{path}.domain").into(),
            text: &member.domain,
        };
        self.check_references(finding::Kind::Domain, &[domain], |name_index| {
            &name_index.domains
        });
        self.report_if_zero(format!("{path}.connections"), member.connections.into());
    }

    /// Checks that the members' addresses are well-formed and unique. Parsed addresses are compared, because one address
    /// can be written in several ways.
    fn check_addresses(&mut self) {
        let groups = self.document.groups.iter().enumerate();
        let members = groups.flat_map(|(group_index, group)| {
            let members = group.members.iter().enumerate();
            members.map(move |(index, member)| (group_index, index, member))
        });
        let mut parsed: Vec<(net::SocketAddr, usize, usize)> = Vec::new();
        for (group_index, index, member) in members {
            match parse_address(&member.address) {
                Some(address) => parsed.push((address, group_index, index)),
                None => {
                    let address = member.address.clone();
                    self.report(
                        address_path(group_index, index),
                        finding::Problem::MalformedAddress { address },
                    );
                }
            }
        }
        parsed.sort_unstable();
        let runs = parsed.chunk_by(|one, other| one.0 == other.0);
        let mut repeated: Vec<_> = runs
            .flat_map(|run| run[1..].iter().map(|member| (member, &run[0])))
            .collect();
        repeated.sort_unstable_by_key(|(member, _)| (member.1, member.2));
        for ((_, group_index, index), (_, first_group, first)) in repeated {
            let member = &self.document.groups[*group_index].members[*index];
            let problem = finding::Problem::DuplicateAddress {
                address: member.address.clone(),
                first: address_path(*first_group, *first).into(),
            };
            self.report(address_path(*group_index, *index), problem);
        }
    }

    fn check_callers(&mut self) {
        let callers = &self.document.callers;
        self.check_names(
            finding::Kind::Caller,
            &names::item_names("callers", callers, |caller| &caller.name),
        );
        for (index, caller) in callers.iter().enumerate() {
            if let Err(cause) = caller.verifier.parse::<verifier::Verifier>() {
                self.report(
                    format!("callers[{index}].verifier"),
                    finding::Problem::MalformedVerifier { cause },
                );
            }
        }
    }

    fn check_read_classes(&mut self) {
        let classes = &self.document.read_classes;
        let names = names::item_names("read_classes", classes, |class| &class.name);
        self.check_names(finding::Kind::ReadClass, &names);
        for (index, class) in classes.iter().enumerate() {
            self.check_read_class(&format!("read_classes[{index}]"), class);
        }
    }

    fn check_read_class(&mut self, path: &str, class: &'a model::ReadClass) {
        self.report_if_zero(format!("{path}.max_age_ms"), class.max_age_ms);
        self.check_tables(&format!("{path}.tables"), &class.tables);
        // Without tables the maximum age applies to no read.
        if class.tables.is_empty() {
            let problem = finding::Problem::AgeWithoutReads {
                class: class.name.clone(),
                max_age_ms: class.max_age_ms,
            };
            self.report(format!("{path}.tables"), problem);
        }
        if !self.name_index.used_read_classes.contains(&class.name) {
            self.report(
                path,
                finding::Problem::UnusedReadClass {
                    class: class.name.clone(),
                },
            );
        }
    }

    fn check_services(&mut self) {
        let services = &self.document.services;
        let names = names::item_names("services", services, |service| &service.name);
        self.check_names(finding::Kind::Service, &names);
        for (index, service) in services.iter().enumerate() {
            self.check_service(&format!("services[{index}]"), service);
        }
        self.check_services_of_groups();
    }

    fn check_service(&mut self, path: &str, service: &'a model::Service) {
        let group = names::LocatedText {
            path: format!("{path}.group").into(),
            text: &service.group,
        };
        self.check_references(finding::Kind::Group, &[group], |name_index| {
            &name_index.groups
        });
        let callers = names::list_items(&format!("{path}.callers"), &service.callers);
        self.check_references(finding::Kind::Caller, &callers, |name_index| {
            &name_index.callers
        });
        let classes = names::list_items(&format!("{path}.read_classes"), &service.read_classes);
        self.check_references(finding::Kind::ReadClass, &classes, |name_index| {
            &name_index.read_classes
        });
        self.check_limits(&format!("{path}.limits"), &service.limits);
    }

    fn check_limits(&mut self, path: &str, limits: &'a model::Limits) {
        self.report_if_zero(
            format!("{path}.request_timeout_ms"),
            limits.request_timeout_ms,
        );
        self.report_if_zero(
            format!("{path}.queue_requests"),
            limits.queue_requests.into(),
        );
        self.report_if_zero(
            format!("{path}.caller_connections"),
            limits.caller_connections.into(),
        );
        self.report_if_zero(format!("{path}.weight"), limits.weight.into());
        self.check_tables(
            &format!("{path}.repeatable_tables"),
            &limits.repeatable_tables,
        );
    }

    /// Checks that each member of a group accepts at least as many connections as there are services on the group.
    fn check_services_of_groups(&mut self) {
        for (index, group) in self.document.groups.iter().enumerate() {
            let services = self.name_index.used_groups.count(&group.name);
            let Some((member_index, member)) = group.member_with_fewest_connections() else {
                continue;
            };
            if services > member.connections as usize {
                let problem = finding::Problem::ServicesAboveConnections {
                    group: group.name.clone(),
                    services,
                    member: format!("groups[{index}].members[{member_index}]").into(),
                    connections: member.connections,
                };
                self.report("services", problem);
            }
        }
    }
}

fn address_path(group: usize, member: usize) -> String {
    format!("groups[{group}].members[{member}].address")
}

fn parse_address(text: &str) -> Option<net::SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &net::SocketAddr| address.port() > 0)
}
