//! The loop: gathers what is ready, has the core take one turn with all of it, and carries out what came back.

use super::admin::{Admin, View};
use super::clients::amqp::{Class, Front};
use super::clients::platform::Platform;
use super::clients::PLATFORM;
use super::config::{self, Config};
use super::list::dns_sd::DnsSd;
use super::list::watch::Watch;
use super::list::{Book, Entry, News};
use super::poll::{Clock, Peer, Poll, Ready};
use super::reports::Reports;
use super::servers::amqp::Brokers;
use super::servers::http::Servers;
use super::signals::{heard, Signals};
use crate::engine::{Engine, Input, Output};
use crate::{ListScope, Member, Micros};
use std::net::TcpListener;
use std::time::Duration;

/// Descriptors kept from clients, for all else: journal, listeners, discovery, notices, and some to spare.
const RESERVED: usize = 32;
/// Connections to real servers at most, besides one for each call: idle ones.
const IDLE_SERVERS: usize = 128;
/// Longest wait in one turn.
const LONGEST_WAIT: Micros = Micros(1_000_000);
/// Own connections are closed at this share of the time after which the other side does it.
const IDLE_SHARE: f64 = 0.8;

struct Node {
    poll: Poll,
    clock: Clock,
    engine: Engine,
    platform: Platform,
    publishers: Option<Front>,
    servers: Servers,
    brokers: Brokers,
    /// Service entries of the fronts' file; they stand beside every whole list.
    own: Vec<Entry>,
    book: Book,
    admin: Option<Admin>,
    dns_sd: Option<DnsSd>,
    watch: Watch,
    reports: Reports,
    signals: Signals,
    /// Told to stop: not ready any more, whatever comes.
    stopping: bool,
    inputs: Vec<Input>,
}

/// Runs until SIGTERM has come and what can be finished is finished.
pub fn run(config: Config, signals: Signals) -> Result<(), String> {
    let listener = TcpListener::bind(config.listen)
        .map_err(|problem| format!("cannot listen on {}: {problem}", config.listen))?;
    let mut node = Node::new(config, listener, signals).map_err(|problem| problem.to_string())?;
    while node.turn() {}
    Ok(())
}

impl Node {
    fn new(config: Config, listener: TcpListener, signals: Signals) -> std::io::Result<Node> {
        let mut poll = Poll::new()?;
        for (signal, peer) in [(&signals.stop, Peer::Stop), (&signals.reload, Peer::Reload)] {
            let token = poll.token(peer);
            poll.add(signal, token, false)?;
        }
        let clock = Clock::new();
        let settings = config.settings;
        let for_servers = settings.slots.min(1 << 16) as usize + IDLE_SERVERS;
        let for_clients = config.sockets.saturating_sub(RESERVED + for_servers).max(16);
        let fronts = config.fronts;
        let own: Vec<Entry> = fronts.brokers.iter().map(|(entry, _)| entry.clone()).collect();
        let brokers = fronts.brokers.into_iter().map(|(entry, broker)| (entry.member.endpoint, broker));
        let brokers = Brokers::new(brokers.collect(), config.classes.clone(), config.dial_timeout);
        let publishers = match fronts.amqp {
            None => None,
            Some(address) => {
                let classes = config.classes.iter().zip(&settings.classes);
                let classes =
                    classes.map(|(name, told)| Class { name: name.clone(), deadline: told.deadline });
                let names = (config.tenants.clone(), classes.collect());
                let listener = TcpListener::bind(address)?;
                Some(Front::new(&mut poll, listener, fronts.credentials, names, clock.now())?)
            }
        };
        let admin = match fronts.admin {
            None => None,
            Some(address) => {
                let names = (config.tenants.clone(), config.classes.clone());
                Some(Admin::new(&mut poll, TcpListener::bind(address)?, fronts.tokens, names)?)
            }
        };
        let dns_sd = fronts.dns_sd.map(|(at, service)| DnsSd::new(at, &service, config.names.clone()));
        let names = (config.classes, config.tenants);
        let mut platform = Platform::new(&mut poll, listener, names, for_clients)?;
        let idle = Micros((settings.connection_idle.0 as f64 * IDLE_SHARE) as u64);
        let mut servers = Servers::new(config.dial_timeout, idle, for_servers);
        let generation = config.known.as_ref().map(|known| known.generation);
        platform.is_ready = config.known.is_some();
        let mut known = config.known.unwrap_or_default();
        known.whole = true;
        known.entries.extend(own.iter().cloned());
        let mut book = Book::default();
        book.learn(&known);
        let cached = learn(&mut servers, &known);
        let place = (config.state.as_path(), config.disk);
        let engine = Engine::start(settings, config.seed, place, clock.now(), cached);
        Ok(Node {
            platform,
            publishers,
            servers,
            brokers,
            own,
            book,
            admin,
            dns_sd,
            engine,
            watch: Watch::new(config.discovery, config.names, generation),
            reports: Reports::new(config.discovery),
            poll,
            clock,
            signals,
            stopping: false,
            inputs: Vec::new(),
        })
    }

    /// One turn; false when the process may end.
    fn turn(&mut self) -> bool {
        let now = self.clock.now();
        let publishers = self.publishers.as_ref().and_then(Front::due);
        let dns_sd = self.dns_sd.as_ref().and_then(DnsSd::due);
        let own = [self.engine.due(), self.watch.due(), self.reports.due(), publishers, dns_sd];
        let dues = own.into_iter().chain([self.servers.due(), self.brokers.due(), self.platform.due()]);
        let due = dues.flatten().min().unwrap_or(Micros(u64::MAX));
        let wait = if self.inputs.is_empty() { due.minus(now).min(LONGEST_WAIT) } else { Micros(0) };
        let ready = self.poll.wait(Duration::from_micros(wait.0));
        let now = self.clock.now();
        for one in ready {
            self.gather(one, now);
        }
        self.servers.tick(now, &mut self.inputs);
        self.brokers.tick(&self.poll, now, &mut self.inputs);
        self.platform.tick(&self.poll, now);
        let inputs = std::mem::take(&mut self.inputs);
        for output in self.engine.turn(now, inputs) {
            self.carry_out(output, now);
        }
        if let Some(front) = &mut self.publishers {
            front.tick(&self.poll, now, &mut self.inputs);
        }
        if let Some(dns_sd) = &mut self.dns_sd {
            dns_sd.tick(&mut self.poll, now);
        }
        self.watch.tick(&mut self.poll, now);
        self.reports.tick(&mut self.poll, now);
        !self.engine.finished()
    }

    fn gather(&mut self, Ready { peer, token }: Ready, now: Micros) {
        match peer {
            Peer::Stop => {
                heard(&self.signals.stop);
                log!("told to stop");
                self.stopping = true;
                self.platform.is_ready = false;
                self.inputs.push(Input::Stop);
            }
            Peer::Reload => {
                heard(&self.signals.reload);
                self.reload();
            }
            Peer::Listener => self.platform.accept(&mut self.poll, now),
            Peer::Edge => self.platform.ready(&self.poll, token, now, &mut self.inputs),
            Peer::Server => self.servers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::Watch => {
                if let Some(mut news) = self.watch.ready(&mut self.poll, token, now) {
                    if news.whole {
                        // What other sources list stands beside it.
                        news.entries.extend(self.own.iter().cloned());
                        news.entries.extend(self.dns_sd.iter().flat_map(DnsSd::current).cloned());
                    }
                    self.learn(news);
                }
            }
            Peer::Reports => {
                let told = self.reports.ready(&self.poll, token);
                self.inputs.extend(told.into_iter().map(Input::Told));
            }
            Peer::AmqpListener => {
                if let Some(front) = &mut self.publishers {
                    front.accept(&mut self.poll, now);
                }
            }
            Peer::Publisher => {
                if let Some(front) = &mut self.publishers {
                    front.ready(&self.poll, token, now, &mut self.inputs);
                }
            }
            Peer::Broker => self.brokers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::AdminListener => {
                if let Some(admin) = &mut self.admin {
                    admin.accept(&mut self.poll);
                }
            }
            Peer::Admin => {
                if let Some(admin) = &mut self.admin {
                    let view = View { engine: &self.engine, book: &self.book };
                    admin.ready(&self.poll, token, view, &mut self.inputs);
                }
            }
            Peer::Resolver => {
                let news = self.dns_sd.as_mut().and_then(|dns| dns.ready(&self.poll, token, now));
                if let Some(news) = news {
                    self.learn(news);
                }
            }
        }
    }

    /// The configuration is read again: watch and notices go to where discovery is now. All else that it says
    /// counts from the next start. What is held stays held, and a file that cannot be read changes nothing.
    fn reload(&mut self) {
        match config::reload() {
            Ok(config) => {
                log!("configuration read again: discovery at {}", config.discovery);
                self.watch.move_to(config.discovery);
                self.reports.move_to(config.discovery);
            }
            Err(problem) => log!("configuration not read again, the old one stays: {problem}"),
        }
    }

    /// News of the list, from whichever source.
    fn learn(&mut self, news: News) {
        self.platform.is_ready = !self.stopping;
        self.book.learn(&news);
        let members = learn(&mut self.servers, &news);
        let book = &self.book;
        self.servers.retain(|endpoint| book.0.contains_key(&endpoint));
        let scope = if news.whole { ListScope::Whole } else { ListScope::Changes };
        if news.whole || !members.is_empty() {
            self.inputs.push(Input::Entries(scope, members));
        }
    }

    fn carry_out(&mut self, output: Output, now: Micros) {
        match output {
            Output::Reply(token, PLATFORM, reply) => {
                self.platform.reply(&self.poll, token, reply, &mut self.inputs);
            }
            Output::Reply(token, _, reply) => {
                if let Some(front) = &mut self.publishers {
                    front.reply(&self.poll, token, reply, now, &mut self.inputs);
                }
            }
            Output::Call { call, endpoint, items, .. } if self.brokers.has(endpoint) => {
                self.brokers.call(&mut self.poll, now, (call, endpoint), items, &mut self.inputs);
            }
            Output::Call { call, endpoint, wait, items } => {
                let order = (call, endpoint, wait);
                self.servers.call(&mut self.poll, now, order, &items, &mut self.inputs);
            }
            Output::Abort(call) => {
                self.servers.abort(call);
                self.brokers.abort(&self.poll, call);
            }
            Output::Tell { flow, front: PLATFORM, id, end, .. } => self.reports.tell(flow, &id, end),
            // While the front is off, its ends stay owed.
            Output::Tell { flow, tenant, id, origin, end, .. } => {
                if let Some(front) = &mut self.publishers {
                    front.tell(flow, tenant, id, (&origin, end), &mut self.inputs);
                }
            }
            Output::CloseIdle(endpoint) => self.servers.close_idle(endpoint),
            Output::Log(line) => log!("{line}"),
        }
    }
}

/// Addresses go to the servers, the rest to the core.
fn learn(servers: &mut Servers, news: &News) -> Vec<Member> {
    for entry in &news.entries {
        if let Some(address) = entry.address {
            servers.learn(entry.member.endpoint, address);
        }
    }
    news.entries.iter().map(|entry| entry.member.clone()).collect()
}
