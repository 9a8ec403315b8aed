//! The commands of a scenario file.

use std::time::Duration;

use datadriven::TestCase;
use fulmarlift_core::{effect, floor};

use crate::sim::network::{Node, REYKJAVIK};
use crate::sim::world::{Answer, World, member_name};

const SEED: u64 = 1;
/// Time from the start of a scenario to its first command.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Timeout of a request, and default of the durations that commands take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A running scenario.
#[derive(Default)]
pub struct Scenario {
    world: Option<World>,
    sessions: Vec<(Box<str>, floor::Floor)>,
    started: Vec<(Box<str>, (usize, u32, u64))>,
    changes_printed: usize,
}

impl Scenario {
    /// Runs a command and returns its output.
    pub fn run(&mut self, test: &TestCase) -> String {
        let mut output = match test.directive.as_str() {
            "group" => self.group(test),
            "write" => self.write(test),
            "read" => self.read(test),
            "start" => self.start(test),
            "answer" => self.answer(test),
            "expect" => self.expect(test),
            "log" => self.log(test),
            "events" => self.events(),
            "until" => self.until(test),
            _ => self.change_world(test),
        };
        output.push('\n');
        output
    }

    fn world(&mut self) -> &mut World {
        self.world.as_mut().expect("a scenario begins with `group`")
    }

    /// `group members=(rvk-a, rvk-b, aey-a) proxies=(rvk-a, rvk-b)`
    fn group(&mut self, test: &TestCase) -> String {
        let domains = |key| {
            test.args
                .get(key)
                .expect("`group` needs members and proxies")
        };
        let text = |key| domains(key).iter().map(String::as_str).collect::<Vec<_>>();
        let mut world = World::new(REYKJAVIK, SEED, &text("members"), &text("proxies"));
        world.advance(WARM_UP_TIME);
        self.world = Some(world);
        "ok".to_owned()
    }

    /// `write p1 key=1 [session=s] [within=2s]`
    fn write(&mut self, test: &TestCase) -> String {
        let id = self.send_request(test);
        self.wait_for_answer(test, id)
    }

    /// `read p1 [session=s] [within=2s]`
    fn read(&mut self, test: &TestCase) -> String {
        let id = self.send_request(test);
        self.wait_for_answer(test, id)
    }

    /// `start a p1 key=1 [within=2s]`: sends a write, or a read without a key, and does not wait for the answer.
    fn start(&mut self, test: &TestCase) -> String {
        let name = word(test, 0);
        let id = self.send_request(test);
        self.started.push((name.into(), id));
        "ok".to_owned()
    }

    /// `answer a`: waits for the answer to the request that was started under this name.
    fn answer(&mut self, test: &TestCase) -> String {
        let name = word(test, 0);
        let started = self
            .started
            .iter()
            .find(|(known, _)| known.as_ref() == name);
        let id = started.expect("a request was started under this name").1;
        self.wait_for_answer(test, id)
    }

    fn send_request(&mut self, test: &TestCase) -> (usize, u32, u64) {
        let proxy = words(test)
            .find_map(proxy)
            .expect("the command names a proxy");
        let key = value(test, "key").map(|key| key.parse().expect("keys are numbers"));
        let floor = self.floor(test);
        let timeout = value(test, "within").map_or(ANSWER_TIMEOUT, time);
        self.world().send_request(proxy, key, floor, timeout)
    }

    fn floor(&self, test: &TestCase) -> Option<floor::Floor> {
        let session = value(test, "session")?;
        let known = self.sessions.iter().rev();
        let mut floors = known.filter(|(name, _)| name.as_ref() == session);
        floors.next().map(|(_, floor)| floor.clone())
    }

    fn wait_for_answer(&mut self, test: &TestCase, id: (usize, u32, u64)) -> String {
        let world = self.world();
        let until = world.now + ANSWER_TIMEOUT + Duration::from_secs(1);
        world.run_until(until, |world| world.requests[&id].answer.is_some());
        let request = world.requests[&id].clone();
        let Some((at, answer)) = request.answer else {
            return "no answer".to_owned();
        };
        let group = world.group;
        if let (Answer::Done(point), Some(session)) = (&answer, value(test, "session")) {
            let mut floor = self.floor(test).unwrap_or_default();
            floor.raise(group, *point);
            self.sessions.push((session.into(), floor));
        }
        let waited = at - request.sent_at;
        let slow = match waited > Duration::from_millis(100) {
            true => format!(" after {} ms", waited.as_millis()),
            false => String::new(),
        };
        format!("{}{slow}", format_answer(&answer))
    }

    /// `expect p2`: prints the primary that a proxy knows.
    fn expect(&mut self, test: &TestCase) -> String {
        let world = self.world();
        let seen = words(test).filter_map(proxy).map(|proxy| {
            let name = format!("p{}", proxy + 1);
            match world.primary_seen_by(proxy) {
                Some((term, member, true)) => {
                    format!("{name}: primary {} of term {term}", member_name(member))
                }
                Some((term, member, false)) => {
                    format!(
                        "{name}: primary {} of term {term} is silent",
                        member_name(member)
                    )
                }
                None => format!("{name}: no primary"),
            }
        });
        seen.collect::<Vec<_>>().join("\n")
    }

    /// `log m1`: prints a member's role, term and keys.
    fn log(&mut self, test: &TestCase) -> String {
        let world = self.world();
        let logs = words(test).filter_map(member).map(|index| {
            let member = &world.members[index];
            let role = if member.primary { "primary" } else { "replica" };
            let (name, term, keys) = (member_name(index), member.term, member.keys());
            format!("{name}: {role} of term {term}, keys {keys:?}")
        });
        logs.collect::<Vec<_>>().join("\n")
    }

    /// `events`: prints the failover stages that the proxies recorded since the last `events`.
    fn events(&mut self) -> String {
        let printed = self.changes_printed;
        let world = self.world();
        let changes = world.state_changes[printed..].iter();
        let lines: Vec<String> = changes
            .filter_map(|(_, proxy, change)| match change {
                effect::StateChange::Failover { term, stage, .. } => {
                    Some(format!("p{}: {stage:?} term {term}", proxy + 1))
                }
                _ => None,
            })
            .collect();
        self.changes_printed = world.state_changes.len();
        match lines.is_empty() {
            true => "none".to_owned(),
            false => lines.join("\n"),
        }
    }

    /// `until p1 stage=Claiming`: lets time pass until a proxy's failover reaches a stage.
    fn until(&mut self, test: &TestCase) -> String {
        let proxy = words(test)
            .find_map(proxy)
            .expect("the command names a proxy");
        let stage = value(test, "stage")
            .expect("the command names a stage")
            .to_owned();
        let world = self.world();
        let limit = world.now + ANSWER_TIMEOUT;
        let has_reached_stage = |world: &World| {
            let group = world.proxies[proxy].state.groups().get(world.group);
            group.is_some_and(|group| format!("{:?}", group.failover.stage.name()) == stage)
        };
        world.run_until(limit, has_reached_stage);
        match has_reached_stage(world) {
            true => "ok".to_owned(),
            false => "never".to_owned(),
        }
    }

    /// Runs the commands that cause faults or let time pass.
    fn change_world(&mut self, test: &TestCase) -> String {
        let names: Vec<String> = words(test).map(str::to_owned).collect();
        let world = self.world();
        let nodes = names.iter().filter_map(|name| node(name));
        let nodes: Vec<Node> = nodes.collect();
        match test.directive.as_str() {
            // `cut rvk-a from=(rvk-b, aey)`
            "cut" => {
                for other in &test.args["from"] {
                    names.iter().for_each(|name| world.cuts.add(name, other));
                }
            }
            "heal" => world.cuts.clear(),
            "kill" => nodes.iter().for_each(|node| world.kill(*node)),
            "restart" => nodes.iter().for_each(|node| world.restart(*node)),
            "freeze" => {
                let length = value(test, "for").map_or(ANSWER_TIMEOUT, time);
                nodes.iter().for_each(|node| world.freeze(*node, length));
            }
            "lag" => {
                let lag = value(test, "by").map_or(ANSWER_TIMEOUT, time);
                let members = names.iter().filter_map(|name| member(name));
                members.for_each(|member| world.members[member].lag = lag);
            }
            "leave" => names
                .iter()
                .filter_map(|name| member(name))
                .for_each(|m| world.announce_leaving(m)),
            "advance" => world.advance(time(&names[0])),
            "store" => change_store(world, test, &names),
            other => panic!("unknown command `{other}`"),
        }
        "ok".to_owned()
    }
}

/// `store down`, `store up`, `store slow by=2s`, `store lose-answers count=1`
fn change_store(world: &mut World, test: &TestCase, names: &[String]) {
    match names[0].as_str() {
        "down" => world.platform.down = true,
        "up" => world.platform.down = false,
        "slow" => world.platform.delay = value(test, "by").map_or(ANSWER_TIMEOUT, time),
        "lose-answers" => {
            let count = value(test, "count").unwrap_or("1");
            world.platform.lose_answers = count.parse().expect("a count is a number");
        }
        other => panic!("unknown state of the store `{other}`"),
    }
}

fn format_answer(answer: &Answer) -> String {
    match answer {
        Answer::Done(point) => format!("done at {}:{}", point.term, point.position),
        Answer::Rows { member, keys } => format!("keys {keys:?} from {}", member_name(*member)),
        Answer::NotRun(reason) => format!("not run: {reason:?}"),
        Answer::Unknown => "outcome unknown".to_owned(),
    }
}

/// Returns the arguments without a value in alphabetical order, since the parser does not keep their order.
fn words(test: &TestCase) -> impl Iterator<Item = &str> {
    let named = [
        "key", "session", "within", "from", "for", "by", "count", "stage",
    ];
    let words = test.args.keys().map(String::as_str);
    let mut words: Vec<&str> = words.filter(|word| !named.contains(word)).collect();
    words.sort_unstable();
    words.into_iter()
}

fn word(test: &TestCase, index: usize) -> &str {
    words(test)
        .nth(index)
        .expect("the command has too few arguments")
}

fn value<'a>(test: &'a TestCase, key: &str) -> Option<&'a str> {
    test.args.get(key)?.first().map(String::as_str)
}

fn time(text: &str) -> Duration {
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("a time is a number and its unit")
    };
    if let Some(number_ms) = text.strip_suffix("ms") {
        return Duration::from_millis(number(number_ms));
    }
    Duration::from_secs(number(
        text.strip_suffix('s').expect("times are in s or ms"),
    ))
}

fn node(name: &str) -> Option<Node> {
    let proxies = proxy(name).map(Node::Proxy);
    let platform = (name == "store").then_some(Node::Platform);
    proxies.or(member(name).map(Node::Member)).or(platform)
}

fn proxy(name: &str) -> Option<usize> {
    name.strip_prefix('p')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

fn member(name: &str) -> Option<usize> {
    name.strip_prefix('m')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}
