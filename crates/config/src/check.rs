//! Whether a document makes sense: all findings at once, each with its place.

use std::net;

use crate::{finding, known, model, names, verifier};

/// The fewest members of a group whose majority outlives the loss of one.
pub const MIN_MEMBERS: usize = 3;

/// Checks a whole document.
///
/// # Errors
///
/// All findings, in the document's order.
pub fn check(document: &model::Document) -> Result<(), finding::Findings> {
    let mut checker = Checker {
        document,
        known: known::Known::of(document),
        findings: Vec::new(),
    };
    checker.regions();
    checker.groups();
    checker.callers();
    checker.read_classes();
    checker.services();
    let findings = finding::Findings(checker.findings);
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings)
    }
}

struct Checker<'a> {
    document: &'a model::Document,
    known: known::Known<'a>,
    findings: Vec<finding::Finding>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, place: impl Into<Box<str>>, problem: finding::Problem) {
        self.findings.push(finding::Finding {
            place: place.into(),
            problem,
        });
    }

    fn report_zero(&mut self, place: String, value: u64) {
        if value == 0 {
            self.report(place, finding::Problem::Zero);
        }
    }

    /// Checks the names that are given at these places.
    fn names(&mut self, of: finding::Kind, given: &[names::Placed<'a>]) {
        let malformed = given
            .iter()
            .filter(|placed| !names::is_well_formed(placed.text));
        for placed in malformed {
            self.report(
                &*placed.place,
                finding::Problem::MalformedName {
                    of,
                    name: placed.text.into(),
                },
            );
        }
        self.duplicates(of, given);
    }

    fn duplicates(&mut self, of: finding::Kind, given: &[names::Placed<'a>]) {
        for names::Duplicate { again, first } in names::duplicates(given) {
            let problem = finding::Problem::DuplicateName {
                of,
                name: again.text.into(),
                first: first.place.clone(),
            };
            self.report(&*again.place, problem);
        }
    }

    /// Checks that the names used at these places are known, and used once.
    fn references(
        &mut self,
        of: finding::Kind,
        used: &[names::Placed<'a>],
        defined: impl for<'k> Fn(&'k known::Known<'a>) -> &'k known::Names<'a>,
    ) {
        let unknown = |placed: &&names::Placed<'a>| !defined(&self.known).contains(placed.text);
        let unknown: Vec<_> = used.iter().filter(unknown).collect();
        for placed in unknown {
            self.report(
                &*placed.place,
                finding::Problem::UnknownName {
                    of,
                    name: placed.text.into(),
                },
            );
        }
        self.duplicates(of, used);
    }

    fn tables(&mut self, place: &str, tables: &'a [Box<str>]) {
        let placed = names::listed(place, tables);
        for table in placed.iter().filter(|table| table.text.trim().is_empty()) {
            self.report(&*table.place, finding::Problem::EmptyTable);
        }
        self.duplicates(finding::Kind::Table, &placed);
    }

    fn regions(&mut self) {
        let regions = &self.document.regions;
        self.names(
            finding::Kind::Region,
            &names::named("regions", regions, |region| &region.name),
        );
        let mut domains = Vec::new();
        for (index, region) in regions.iter().enumerate() {
            let place = format!("regions[{index}].domains");
            if region.domains.is_empty() {
                self.report(&*place, finding::Problem::NoDomains);
            }
            domains.extend(names::listed(&place, &region.domains));
        }
        self.names(finding::Kind::Domain, &domains);
    }

    fn groups(&mut self) {
        let groups = &self.document.groups;
        self.names(
            finding::Kind::Group,
            &names::named("groups", groups, |group| &group.name),
        );
        for (index, group) in groups.iter().enumerate() {
            self.group(&format!("groups[{index}]"), group);
        }
        self.addresses();
    }

    fn group(&mut self, place: &str, group: &'a model::Group) {
        self.report_zero(format!("{place}.slots"), group.slots.into());
        self.slots(place, group);
        self.member_count(place, group.members.len());
        let members_place = format!("{place}.members");
        let names = names::named(&members_place, &group.members, |member| &member.name);
        self.names(finding::Kind::Member, &names);
        for (index, member) in group.members.iter().enumerate() {
            self.member(&format!("{members_place}[{index}]"), member);
        }
    }

    fn slots(&mut self, place: &str, group: &model::Group) {
        let Some((index, member)) = group.scarcest_member() else {
            return;
        };
        if group.slots > member.connections {
            let problem = finding::Problem::SlotsAboveConnections {
                slots: group.slots,
                member: format!("{place}.members[{index}]").into(),
                connections: member.connections,
            };
            self.report(format!("{place}.slots"), problem);
        }
    }

    fn member_count(&mut self, place: &str, members: usize) {
        if members < MIN_MEMBERS {
            self.report(
                format!("{place}.members"),
                finding::Problem::TooFewMembers { members },
            );
        } else if members.is_multiple_of(2) {
            self.report(
                format!("{place}.members"),
                finding::Problem::EvenMembers { members },
            );
        }
    }

    fn member(&mut self, place: &str, member: &'a model::Member) {
        let domain = names::Placed {
            place: format!("{place}.domain").into(),
            text: &member.domain,
        };
        self.references(finding::Kind::Domain, &[domain], |known| &known.domains);
        self.report_zero(format!("{place}.connections"), member.connections.into());
    }

    /// Addresses are compared as parsed, since one address can be written in several ways.
    fn addresses(&mut self) {
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
                        address_place(group_index, index),
                        finding::Problem::MalformedAddress { address },
                    );
                }
            }
        }
        parsed.sort_unstable();
        let runs = parsed.chunk_by(|one, other| one.0 == other.0);
        let mut again: Vec<_> = runs
            .flat_map(|run| run[1..].iter().map(|member| (member, &run[0])))
            .collect();
        again.sort_unstable_by_key(|(member, _)| (member.1, member.2));
        for ((_, group_index, index), (_, first_group, first)) in again {
            let member = &self.document.groups[*group_index].members[*index];
            let problem = finding::Problem::DuplicateAddress {
                address: member.address.clone(),
                first: address_place(*first_group, *first).into(),
            };
            self.report(address_place(*group_index, *index), problem);
        }
    }

    fn callers(&mut self) {
        let callers = &self.document.callers;
        self.names(
            finding::Kind::Caller,
            &names::named("callers", callers, |caller| &caller.name),
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

    fn read_classes(&mut self) {
        let classes = &self.document.read_classes;
        let names = names::named("read_classes", classes, |class| &class.name);
        self.names(finding::Kind::ReadClass, &names);
        for (index, class) in classes.iter().enumerate() {
            self.read_class(&format!("read_classes[{index}]"), class);
        }
    }

    fn read_class(&mut self, place: &str, class: &'a model::ReadClass) {
        self.report_zero(format!("{place}.max_age_ms"), class.max_age_ms);
        self.tables(&format!("{place}.tables"), &class.tables);
        if class.tables.is_empty() {
            let problem = finding::Problem::AgeWithoutReads {
                class: class.name.clone(),
                max_age_ms: class.max_age_ms,
            };
            self.report(format!("{place}.tables"), problem);
        }
        if !self.known.used_read_classes.contains(&class.name) {
            self.report(
                place,
                finding::Problem::UnusedReadClass {
                    class: class.name.clone(),
                },
            );
        }
    }

    fn services(&mut self) {
        let services = &self.document.services;
        let names = names::named("services", services, |service| &service.name);
        self.names(finding::Kind::Service, &names);
        for (index, service) in services.iter().enumerate() {
            self.service(&format!("services[{index}]"), service);
        }
        self.services_of_groups();
    }

    fn service(&mut self, place: &str, service: &'a model::Service) {
        let group = names::Placed {
            place: format!("{place}.group").into(),
            text: &service.group,
        };
        self.references(finding::Kind::Group, &[group], |known| &known.groups);
        let callers = names::listed(&format!("{place}.callers"), &service.callers);
        self.references(finding::Kind::Caller, &callers, |known| &known.callers);
        let classes = names::listed(&format!("{place}.read_classes"), &service.read_classes);
        self.references(finding::Kind::ReadClass, &classes, |known| {
            &known.read_classes
        });
        self.limits(&format!("{place}.limits"), &service.limits);
    }

    fn limits(&mut self, place: &str, limits: &'a model::Limits) {
        self.report_zero(
            format!("{place}.request_timeout_ms"),
            limits.request_timeout_ms,
        );
        self.report_zero(
            format!("{place}.queue_requests"),
            limits.queue_requests.into(),
        );
        self.report_zero(
            format!("{place}.caller_connections"),
            limits.caller_connections.into(),
        );
        self.report_zero(format!("{place}.weight"), limits.weight.into());
        self.tables(
            &format!("{place}.repeatable_tables"),
            &limits.repeatable_tables,
        );
    }

    fn services_of_groups(&mut self) {
        for (index, group) in self.document.groups.iter().enumerate() {
            let services = self.known.fronted_groups.count(&group.name);
            let Some((member_index, member)) = group.scarcest_member() else {
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

fn address_place(group: usize, member: usize) -> String {
    format!("groups[{group}].members[{member}].address")
}

fn parse_address(text: &str) -> Option<net::SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &net::SocketAddr| address.port() > 0)
}
