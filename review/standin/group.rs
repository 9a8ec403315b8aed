//! A database group: members with logs, replication, holds and promotions, and the members' side of the wire.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

pub const SERVICE: &str = "ledger";
/// Time that a statement takes at a member.
const WORK: Duration = Duration::from_millis(3);
/// Interval at which replicas receive.
const REPLICATION: Duration = Duration::from_millis(2);
/// Time from an executed promotion order to the new lead (`promote_ms` of the users' site).
pub const PROMOTE: Duration = Duration::from_millis(600);

/// Time after a promotion for which a replaced primary leads on where promotions are not fenced: it reaches the new one at once.
const STEP_DOWN: Duration = Duration::from_millis(1_000);
/// Time after a promotion after which a replica hears of the new primary: a heartbeat across regions.
const HEARS: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub port: u16,
    pub zone: &'static str,
    pub born_ms: u64,
    pub log: Vec<(u64, String)>,
    pub term: u64,
    pub leads: bool,
    pub held_term: u64,
    pub up: bool,
    pub draining: bool,
    /// Instant since which the process is gone.
    pub gone_since: Option<Instant>,
    /// Whether it has left after its drain, so that its entry is removed at once.
    pub left: bool,
    /// Instant from which it knows of the newest leader: only where promotions are not fenced, see [`Group::fenced`].
    pub hears_at: Option<Instant>,
}

#[derive(Default)]
pub struct State {
    pub members: Vec<Member>,
    pub token: u64,
    /// Commits that a member has acknowledged: term and data.
    pub acknowledged: Vec<(u64, String)>,
    /// Acknowledged commits that a promoted member lacked.
    pub lost: Vec<String>,
    /// Commits that a member acknowledged although another member led a newer term.
    pub late: Vec<String>,
    streams: HashMap<String, Vec<TcpStream>>,
}

impl State {
    pub fn find(&mut self, id: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.id == id)
    }

    pub fn leader(&self) -> Option<&Member> {
        let leading = self.members.iter().filter(|member| member.leads && member.up);
        leading.max_by_key(|member| member.term)
    }
}

pub struct Group {
    pub state: Mutex<State>,
    pub record: Arc<Record>,
    /// Whether a promotion ends the old lead at once. Otherwise the old primary goes on until DEMOTE or a second after it can reach the new
    /// one, and a replica, whose hold ends with the promotion, follows it until it hears of the new one.
    pub fenced: bool,
}

impl Group {
    pub fn new(record: Arc<Record>, fenced: bool) -> Arc<Self> {
        let group = Arc::new(Self {
            state: Mutex::default(),
            record,
            fenced,
        });
        let replicating = Arc::clone(&group);
        thread::spawn(move || loop {
            thread::sleep(REPLICATION);
            replicating.replicate();
        });
        group
    }

    /// Starts a member: the first one leads term 1, a later one is a replica with an empty log.
    pub fn start_member(self: &Arc<Self>, id: &str, zone: &'static str, leads: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        let mut state = self.state.lock().unwrap();
        state.members.push(Member {
            id: id.into(),
            port,
            zone,
            born_ms: self.record.unix_ms(),
            log: Vec::new(),
            term: u64::from(leads),
            leads,
            held_term: 0,
            up: true,
            draining: false,
            gone_since: None,
            left: false,
            hears_at: None,
        });
        drop(state);
        self.record.line(&format!("member {id} starts, leads={leads}"));
        let (group, id) = (Arc::clone(self), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !group.is_up(&id) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut state = group.state.lock().unwrap();
                    state.streams.entry(id.clone()).or_default().push(copy);
                }
                let (group, id) = (Arc::clone(&group), id.clone());
                thread::spawn(move || {
                    let _ = group.serve(&id, stream);
                });
            }
        });
    }

    fn is_up(&self, id: &str) -> bool {
        self.state.lock().unwrap().find(id).is_some_and(|member| member.up)
    }

    /// Ends a member's process. `left` tells that it had drained, so that its entry goes at once.
    pub fn end_member(&self, id: &str, left: bool) {
        let mut state = self.state.lock().unwrap();
        let Some(member) = state.find(id).filter(|member| member.up) else {
            return;
        };
        member.up = false;
        member.leads = false;
        member.left = left;
        member.gone_since = Some(Instant::now());
        let port = member.port;
        let streams = state.streams.remove(id).unwrap_or_default();
        drop(state);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(("127.0.0.1", port));
        self.record.line(&format!("member {id} ends, drained={left}"));
    }

    pub fn drain_member(&self, id: &str) {
        if let Some(member) = self.state.lock().unwrap().find(id) {
            member.draining = true;
        }
        self.record.line(&format!("member {id} is draining"));
    }

    fn replicate(&self) {
        let mut state = self.state.lock().unwrap();
        let leaders: Vec<Member> = state.members.iter().filter(|member| member.leads && member.up).cloned().collect();
        let newest = leaders.iter().map(|leader| leader.term).max().unwrap_or(0);
        for member in &mut state.members {
            let hears = member.hears_at.is_none_or(|at| Instant::now() >= at);
            if member.leads && member.term < newest && hears {
                member.leads = false;
            }
            let known = leaders.iter().filter(|leader| leader.term == member.term || hears && leader.term > member.term);
            let Some(leader) = known.max_by_key(|leader| leader.term) else {
                continue;
            };
            if member.leads || !member.up || member.held_term > 0 {
                continue;
            }
            let pairs = member.log.iter().zip(&leader.log);
            let common = pairs.take_while(|(own, other)| own == other).count();
            member.log.truncate(common);
            member.log.extend_from_slice(&leader.log[common..]);
            member.term = leader.term;
        }
    }

    /// Executes a promotion order: refuses a lower token and a member that does not run.
    pub fn order(self: &Arc<Self>, id: &str, token: u64) -> u16 {
        let mut state = self.state.lock().unwrap();
        let runs = state.find(id).is_some_and(|member| member.up);
        let status = match self.fenced && token < state.token || !runs {
            true => 409,
            false => {
                state.token = token.max(state.token);
                200
            }
        };
        drop(state);
        self.record.line(&format!("order for {id}, token {token}: {status}"));
        if status == 200 {
            let (group, id) = (Arc::clone(self), id.to_owned());
            thread::spawn(move || {
                thread::sleep(PROMOTE);
                group.promote(&id);
            });
        }
        status
    }

    fn promote(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        if state.leader().is_some_and(|leader| leader.id == id) || !state.find(id).is_some_and(|member| member.up) {
            return;
        }
        let term = 1 + state.members.iter().map(|member| member.term).max().unwrap_or(0);
        let now = Instant::now();
        for member in &mut state.members {
            member.held_term = 0;
            if self.fenced {
                member.leads = member.id == id;
            } else {
                member.hears_at = Some(now + if member.leads { STEP_DOWN } else { HEARS });
            }
        }
        let member = state.find(id).unwrap();
        member.term = term;
        member.leads = true;
        member.hears_at = None;
        let (log, end) = (member.log.clone(), member.log.len());
        let lacks = |commit: &&(u64, String)| !log.contains(commit);
        let lost: Vec<String> = state.acknowledged.iter().filter(lacks).map(|(_, data)| data.clone()).collect();
        let count = lost.len();
        state.lost.extend(lost.iter().cloned());
        drop(state);
        self.record.line(&format!("member {id} leads term {term} with {end} entries; acknowledged commits that it lacks: {count} {lost:?}"));
    }

    fn serve(&self, id: &str, mut stream: TcpStream) -> std::io::Result<()> {
        let reader = BufReader::new(stream.try_clone()?);
        let mut open: Option<(bool, u64, Vec<String>)> = None;
        for line in reader.lines() {
            let line = line?;
            let line = line.trim_end_matches('\r');
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            if word == "TERMINATE" || !self.is_up(id) {
                return Ok(());
            }
            let answer = if word == "STARTUP" {
                let fields: Vec<&str> = rest.split(' ').collect();
                if fields[0] != SERVICE || fields.get(2).is_some_and(|expected| *expected != id) {
                    stream.write_all(format!("ERROR MISROUTED {id}\r\n").as_bytes())?;
                    return Ok(());
                }
                String::new()
            } else {
                let (statement, text) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.run(id, statement, text, &mut open) {
                    Some(answer) => answer,
                    // The lead was lost while a commit waited: its outcome is not known, so there is no answer.
                    None => {
                        thread::sleep(Duration::from_secs(10));
                        return Ok(());
                    }
                }
            };
            let state = if open.is_some() { "T" } else { "I" };
            let (term, position) = {
                let mut state = self.state.lock().unwrap();
                let member = state.find(id).expect("members stay known");
                (member.term, member.log.len())
            };
            stream.write_all(format!("{answer}READY {state} {term}.{position}\r\n").as_bytes())?;
        }
        Ok(())
    }

    fn run(&self, id: &str, statement: &str, text: &str, open: &mut Option<(bool, u64, Vec<String>)>) -> Option<String> {
        let done = || Some("COMPLETE -\r\n".to_owned());
        let error = |code: &str| Some(format!("ERROR {code} {id}\r\n"));
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (point, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, position) = point.split_once('.').unwrap_or(("0", "0"));
            let mut state = self.state.lock().unwrap();
            let member = state.find(id)?;
            if (member.term, member.log.len()) < (term.parse().ok()?, position.parse().ok()?) {
                return error("LAGGING");
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (leads, term) = {
            let mut state = self.state.lock().unwrap();
            let member = state.find(id)?;
            (member.leads, member.term)
        };
        let deposed = open.as_ref().is_some_and(|(reads, began, _)| !reads && (!leads || *began != term));
        match word {
            "BEGIN" if rest != "READ" && !leads => error("READONLY"),
            "BEGIN" => {
                *open = Some((rest == "READ", term, Vec::new()));
                done()
            }
            "ROLLBACK" => {
                *open = None;
                done()
            }
            "READ" if deposed => {
                *open = None;
                error("READONLY")
            }
            "READ" => {
                thread::sleep(WORK);
                let mut state = self.state.lock().unwrap();
                let log = &state.find(id)?.log;
                let newest = log.iter().rev().find(|(_, data)| data.starts_with(&format!("{rest}=")));
                let row = newest.map_or("0".to_owned(), |(_, data)| data.clone());
                Some(format!("DATAROW {row}\r\nCOMPLETE {id}.{statement}\r\n"))
            }
            "WRITE" if deposed || open.is_none() && !leads => {
                *open = None;
                error("READONLY")
            }
            "WRITE" => {
                thread::sleep(WORK);
                let data = rest.replacen(' ', "=", 1);
                match open {
                    Some((_, _, writes)) => {
                        writes.push(data);
                        Some(format!("COMPLETE {id}.{statement}\r\n"))
                    }
                    None => self.commit(id, term, &[data], statement),
                }
            }
            "COMMIT" => {
                let Some((_, _, writes)) = open.take() else {
                    return error("MALFORMED");
                };
                match writes.is_empty() {
                    true => Some(format!("COMPLETE {id}.{statement}\r\n")),
                    false if deposed => error("READONLY"),
                    false => self.commit(id, term, &writes, statement),
                }
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => Some(self.command(id, word, rest)),
            _ => done(),
        }
    }

    /// Appends writes and waits until a replica has received them.
    fn commit(&self, id: &str, term: u64, writes: &[String], statement: &str) -> Option<String> {
        let position = {
            let mut state = self.state.lock().unwrap();
            let member = state.find(id)?;
            if !member.leads || member.term != term {
                return Some(format!("ERROR READONLY {id}\r\n"));
            }
            member.log.extend(writes.iter().map(|data| (term, data.clone())));
            member.log.len()
        };
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut state = self.state.lock().unwrap();
            let leads = state.find(id).is_some_and(|member| member.leads && member.term == term && member.up);
            if !leads {
                return None;
            }
            let entry = (term, writes[writes.len() - 1].clone());
            let has = |member: &&Member| member.up && member.id != id && member.log.get(position - 1) == Some(&entry);
            if let Some(replica) = state.members.iter().find(has).map(|member| member.id.clone()) {
                state.acknowledged.extend(writes.iter().map(|data| (term, data.clone())));
                if state.members.iter().any(|member| member.leads && member.term > term) {
                    state.late.extend(writes.iter().cloned());
                }
                drop(state);
                self.record.line(&format!("member {id} acknowledges {term}.{position} {writes:?}, received by {replica}"));
                return Some(format!("COMPLETE {id}.{statement}\r\n"));
            }
        }
    }

    fn command(&self, id: &str, word: &str, rest: &str) -> String {
        let mut state = self.state.lock().unwrap();
        let newest = state.members.iter().map(|member| member.term).max().unwrap_or(0);
        let term: u64 = rest.parse().unwrap_or(0);
        let Some(member) = state.find(id) else {
            return "ERROR FAILED gone\r\n".to_owned();
        };
        match word {
            "PAUSE" if !member.leads && term > newest => member.held_term = term,
            "RESUME" => member.held_term = 0,
            "DEMOTE" if member.term < term => member.leads = false,
            _ => {}
        }
        let role = if member.leads { "primary" } else { "replica" };
        let row = format!("{role} {} {}.{} {} 0 0 1", member.term, member.term, member.log.len(), member.held_term);
        drop(state);
        if word != "STATUS" {
            self.record.line(&format!("{word} {rest} at member {id}: {row}"));
        }
        format!("DATAROW {row}\r\nCOMPLETE -\r\n")
    }
}
