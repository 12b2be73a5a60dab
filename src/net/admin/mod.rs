//! The administration API: HTTP and JSON on a listener of its own, with bearer tokens. A token of a tenant sees that
//! tenant only; to it, others do not exist. What concerns the configuration is in `changes`.

pub mod changes;

use super::http::{self, Parsed, Request};
use super::list::EndpointList;
use super::poll::{Peer, Poll};
use super::reports::escape;
use super::stream::{self, Stream};
use crate::config::desk::ChangeService;
use crate::config::model::Token;
use crate::config::problem::Problem;
use crate::engine::{Counts, Engine, Input};
use crate::journal::End;
use crate::tenancy::rate::ArrivalLimiter;
use crate::{Lifecycle, Micros};
use changes::{Ask, Asked, Verdict};
use std::collections::BTreeMap;
use std::net::TcpListener;

/// Connections at most.
const MOST: usize = 64;
/// Flows in one answer at most.
const MOST_FLOWS: usize = 1000;
/// Longest body: an operators' file.
const LONGEST_BODY: usize = 256 * 1024;
/// A connection that has nothing asked is closed after so long.
const UNUSED: Micros = Micros(30_000_000);
const JSON: &str = "application/json";
/// Of an answer that tells what is wrong (RFC 9457).
pub const PROBLEM: &str = "application/problem+json";

/// What there is to see.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The core.
    pub engine: &'a Engine,
    /// The service entries.
    pub book: &'a EndpointList,
    /// The configuration.
    pub change_service: &'a ChangeService,
    /// Now.
    pub now: Micros,
}

struct Connection {
    stream: Stream,
    /// A change is waited for: what comes meanwhile waits, too.
    asked: bool,
    close: bool,
    /// The token that it last used.
    who: Option<Token>,
    used_at: Micros,
}

/// See the module's text.
pub struct Admin {
    listener: TcpListener,
    connections: BTreeMap<u64, Connection>,
    tokens: Vec<Token>,
    /// Requests with each token, by its place in the list.
    requests: ArrivalLimiter,
    retired: bool,
    /// How often no connection could be taken though one was there.
    pub listener_failures: u64,
}

/// What a request hears.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP's status.
    pub status: u16,
    /// The body's type.
    pub kind: &'static str,
    /// The body.
    pub body: String,
    /// The version that it speaks of.
    pub etag: Option<u64>,
    /// Seconds after which to come again.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// A status alone.
    pub fn empty(status: u16) -> Answer {
        Answer {
            status,
            kind: "",
            body: String::new(),
            etag: None,
            retry_after: (status == 503).then_some(1),
        }
    }

    /// A value.
    pub fn json(status: u16, value: &serde_json::Value) -> Answer {
        Answer { kind: JSON, body: format!("{value}\n"), ..Answer::empty(status) }
    }

    fn text(body: String) -> Answer {
        Answer { kind: JSON, body, ..Answer::empty(200) }
    }
}

impl Admin {
    /// Listens; the poll waits for the listener already.
    pub fn new(listener: TcpListener, tokens: Vec<Token>) -> Admin {
        let (connections, requests) = (BTreeMap::new(), ArrivalLimiter::default());
        let mut admin = Admin {
            listener,
            connections,
            tokens: Vec::new(),
            requests,
            retired: false,
            listener_failures: 0,
        };
        admin.configure(tokens);
        admin
    }

    /// The listener, for the process that follows.
    pub fn listener(&self) -> Option<&TcpListener> {
        (!self.retired).then_some(&self.listener)
    }

    /// Another address. What is asked on connections to the old one is answered there.
    pub fn move_to(&mut self, listener: TcpListener) {
        (self.listener, self.retired) = (listener, false);
    }

    /// No address any more: nobody new is let in, and who waits for an answer hears it.
    pub fn retire(&mut self) {
        self.retired = true;
        self.connections.retain(|_, one| one.asked);
        self.connections.values_mut().for_each(|one| one.close = true);
    }

    /// It may be dropped.
    pub fn is_done(&self) -> bool {
        self.retired && self.connections.is_empty()
    }

    /// Other tokens count from now on; connections on which one that is gone was used are closed behind the answer that
    /// they wait for. Cost: the connections held.
    pub fn configure(&mut self, tokens: Vec<Token>) {
        self.tokens = tokens;
        // What was used of the old rates is forgotten: another list gives each token its burst anew.
        self.requests = ArrivalLimiter::default();
        self.requests.configure(self.tokens.iter().map(|token| token.requests).collect());
        let known = |who: &Option<Token>| who.as_ref().is_none_or(|who| self.tokens.contains(who));
        self.connections.retain(|_, one| one.asked || known(&one.who));
        for one in self.connections.values_mut() {
            one.close |= !known(&one.who);
        }
    }

    /// New connections are there. The one unused for longest gives way where there are too many.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        while !self.retired {
            let Some(socket) =
                stream::accept_next(&self.listener, "administration", &mut self.listener_failures)
            else {
                break;
            };
            if self.connections.len() >= MOST {
                let idle = self.connections.iter().filter(|(_, one)| !one.asked);
                let oldest = idle.min_by_key(|(_, one)| one.used_at).map(|(&token, _)| token);
                oldest.map(|token| self.connections.remove(&token));
            }
            if self.connections.len() >= MOST {
                continue;
            }
            let token = poll.token(Peer::Admin);
            if let Ok(stream) = Stream::accepted(poll, token, socket) {
                let one = Connection { stream, asked: false, close: false, who: None, used_at: now };
                self.connections.insert(token, one);
            }
        }
    }

    /// Connections that ask nothing are closed. Cost: the connections held, 64 at most.
    pub fn tick(&mut self, now: Micros) {
        self.connections.retain(|_, one| one.asked || one.used_at.plus(UNUSED) > now);
    }

    /// When [`Admin::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let idle = self.connections.values().filter(|one| !one.asked);
        idle.map(|one| one.used_at.plus(UNUSED)).min()
    }

    /// A connection is ready. Changes that are asked for are added to `asks`; where too many wait, they are turned down.
    pub fn ready(
        &mut self,
        poll: &Poll,
        token: u64,
        view: View,
        inputs: &mut Vec<Input>,
        asks: &mut impl Extend<Asked>,
        waiting: usize,
    ) {
        let Some(one) = self.connections.get_mut(&token) else { return };
        one.used_at = view.now;
        if one.stream.ready(poll).is_err() || one.stream.input.len() > LONGEST_BODY + 2 * http::MAX_HEAD_BYTES
        {
            self.connections.remove(&token);
            return;
        }
        self.read(poll, token, view, inputs, asks, waiting);
    }

    /// Reads what has come on a connection, up to the next change.
    pub fn read(
        &mut self,
        poll: &Poll,
        token: u64,
        view: View,
        inputs: &mut Vec<Input>,
        asks: &mut impl Extend<Asked>,
        waiting: usize,
    ) {
        loop {
            let Some(one) = self.connections.get_mut(&token) else { return };
            if one.asked || one.stream.input.is_empty() {
                break;
            }
            match http::parse_request_within(&one.stream.input, LONGEST_BODY) {
                Parsed::Partial { .. } => break,
                Parsed::Invalid(status) => {
                    one.close = true;
                    one.stream.input.clear();
                    self.send(poll, token, Answer::empty(status));
                    return;
                }
                Parsed::Complete(request, used) => {
                    one.stream.input.drain(..used);
                    one.close |= request.close;
                    let bearer = request.headers.get("Authorization").and_then(|v| v.strip_prefix("Bearer "));
                    let bearer = bearer.unwrap_or_default().as_bytes();
                    // Each is compared, so that the time does not tell which one was near.
                    let fits = |known: &&Token| known.token.matches(bearer);
                    let places = self.tokens.iter().enumerate().filter(|(_, known)| fits(known));
                    let known = places.reduce(|_, known| known).map(|(place, known)| (place, known.clone()));
                    one.who = known.as_ref().map(|(_, known)| known.clone());
                    let verdict = match known {
                        None => Verdict::Now(Answer::empty(401)),
                        Some((place, known)) => match self.requests.admit(place, view.now) {
                            Ok(()) => self.answer(&request, &known, view, inputs),
                            Err(wait) => Verdict::Now(too_many(wait)),
                        },
                    };
                    match verdict {
                        Verdict::Now(answer) => self.send(poll, token, answer),
                        Verdict::Later(_) if waiting >= changes::MOST_WAITING => {
                            let told = format!("{waiting} changes wait already");
                            let refusal = crate::config::desk::Refusal::new(503, told, "come again");
                            self.send(
                                poll,
                                token,
                                changes::refused(&refusal, view.change_service.versions().number()),
                            );
                        }
                        Verdict::Later(ask) => self.wait(token, ask, asks),
                    }
                }
            }
        }
        if self.connections.get(&token).is_some_and(|one| one.stream.ended && !one.asked) {
            self.connections.remove(&token);
        }
    }

    fn wait(&mut self, connection: u64, ask: Ask, asks: &mut impl Extend<Asked>) {
        let Some(one) = self.connections.get_mut(&connection) else { return };
        one.asked = true;
        let who = one.who.as_ref().map_or(String::new(), |token| token.name.clone());
        asks.extend([Asked { connection, who, ask }]);
    }

    /// A change was carried out, or not.
    pub fn told(&mut self, poll: &Poll, connection: u64, answer: Answer) {
        if let Some(one) = self.connections.get_mut(&connection) {
            one.asked = false;
            self.send(poll, connection, answer);
        }
    }

    fn send(&mut self, poll: &Poll, token: u64, answer: Answer) {
        let Some(one) = self.connections.get_mut(&token) else { return };
        let tag = answer.etag.map(|version| format!("\"{version}\"")).unwrap_or_default();
        let mut extra: Vec<(&str, &str)> = Vec::new();
        if answer.status == 401 {
            extra.push(("WWW-Authenticate", "Bearer"));
        }
        let again = answer.retry_after.map(|seconds| seconds.to_string()).unwrap_or_default();
        if !again.is_empty() {
            extra.push(("Retry-After", &again));
        }
        if !answer.kind.is_empty() {
            extra.push(("Content-Type", answer.kind));
        }
        if !tag.is_empty() {
            extra.push(("ETag", &tag));
        }
        let bytes = http::write_response(answer.status, &extra, answer.body.as_bytes(), one.close);
        if one.stream.send(poll, &bytes).is_err() || one.close {
            self.connections.remove(&token);
        }
    }

    fn answer(&self, request: &Request, who: &Token, view: View, inputs: &mut Vec<Input>) -> Verdict {
        let path = request.target.split('?').next().unwrap_or_default();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let tenants = &view.engine.directory().tenants;
        // A token of a tenant that is gone sees nothing.
        let scope = who.tenant.as_ref().map(|name| tenants.active_index(name).unwrap_or(usize::MAX));
        let sees = |tenant: usize| scope.is_none_or(|own| own == tenant);
        let named = |name: &str| tenants.active_index(name).filter(|&t| sees(t));
        let list = |items: Vec<String>| Answer::text(format!("[{}]\n", items.join(",")));
        Verdict::Now(match (request.method.as_str(), &parts[..]) {
            // The configuration belongs to no tenant.
            (_, ["v1", "config", ..]) if scope.is_some() => Answer::empty(403),
            (_, ["v1", "config", rest @ ..]) => {
                return changes::answer(request, rest, view.change_service, view.now)
            }
            ("GET", ["v1", "tenants"]) => {
                list(tenants.active().filter(|&t| sees(t)).map(|t| self.tenant(t, view)).collect())
            }
            ("GET", ["v1", "tenants", name]) => match named(name) {
                Some(tenant) => Answer::text(self.tenant(tenant, view) + "\n"),
                None => Answer::empty(404),
            },
            ("POST", ["v1", "tenants", name, verb @ ("pause" | "resume")]) => match named(name) {
                Some(tenant) => {
                    log!("administration: {verb} of tenant {name}");
                    inputs.push(Input::Pause(tenant, *verb == "pause"));
                    Answer::empty(204)
                }
                None => Answer::empty(404),
            },
            ("GET", ["v1", "flows"]) => list(self.flows(view, sees)),
            ("GET", ["v1", "counts"]) => {
                let own = scope.map(|tenant| view.engine.tenant(tenant).0);
                Answer::text(format!("{{{}}}\n", counts(&own.unwrap_or(view.engine.sums()))))
            }
            // The list belongs to no tenant.
            ("GET", ["v1", "entries"]) if scope.is_some() => Answer::empty(403),
            ("GET", ["v1", "entries"]) => list(entries(view.book)),
            (_, ["v1", "tenants" | "flows" | "counts" | "entries"])
            | (_, ["v1", "tenants", _])
            | (_, ["v1", "tenants", _, "pause" | "resume"]) => Answer::empty(405),
            _ => Answer::empty(404),
        })
    }

    fn tenant(&self, tenant: usize, view: View) -> String {
        let (told, paused) = view.engine.tenant(tenant);
        let open = told.open;
        let name = escape(view.engine.directory().tenants.name(tenant));
        let shares = view.engine.shares(tenant).map(|(name, used, bounds)| {
            let (own, most) = (bounds.guarantee, bounds.ceiling);
            format!("\"{name}\":{{\"used\":{used},\"guarantee\":{own},\"ceiling\":{most}}}")
        });
        let shares = shares.join(",");
        format!(
            "{{\"name\":\"{name}\",\"paused\":{paused},\"open\":{open},{},\"shares\":{{{shares}}}}}",
            counts(&told)
        )
    }

    fn flows(&self, view: View, sees: impl Fn(usize) -> bool) -> Vec<String> {
        let names = view.engine.directory();
        let seen = view.engine.flows().filter(|flow| sees(flow.tenant)).take(MOST_FLOWS);
        let line = seen.map(|flow| {
            let state = match flow.end {
                Some(End::Delivered) => "delivered",
                Some(End::Deferred(_)) => "deferred",
                Some(_) => "undeliverable",
                None if flow.out => "out",
                None => "held",
            };
            format!(
                "{{\"id\":\"{}\",\"tenant\":\"{}\",\"class\":\"{}\",\"dest\":{},\"attempts\":{},\
                 \"state\":\"{state}\",\"left_ms\":{}}}",
                escape(&String::from_utf8_lossy(&flow.id)),
                escape(names.tenants.name(flow.tenant)),
                escape(names.classes.name(flow.class)),
                flow.destination,
                flow.attempts,
                flow.time_left.0 / 1000
            )
        });
        line.collect()
    }
}

/// A token's requests come too fast.
fn too_many(wait: Micros) -> Answer {
    let seconds = wait.0.div_ceil(1_000_000).max(1);
    let problem =
        Problem::new("", "requests with this token come too fast", format!("come again in {seconds} s"));
    Answer { retry_after: Some(seconds), ..changes::problem(429, "too many requests", &problem.into(), None) }
}

fn entries(book: &EndpointList) -> Vec<String> {
    let line = book.0.values().map(|entry| {
        let lifecycle = if entry.record.lifecycle == Lifecycle::Ready { "up" } else { "draining" };
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"dest\":{},\"lifecycle\":\"{lifecycle}\"}}",
            escape(&entry.name),
            entry.address.map_or(String::new(), |address| address.to_string()),
            entry.record.destination.0
        )
    });
    line.collect()
}

fn counts(counts: &Counts) -> String {
    format!(
        "\"taken_on\":{},\"turned_down\":{},\"delivered\":{},\"undeliverable\":{},\"deferred\":{}",
        counts.taken_on, counts.turned_down, counts.delivered, counts.undeliverable, counts.deferred
    )
}
