//! Decisions of a dispatcher that delivers notifications to outside receivers.
//!
//! A [`Dispatcher`] is sans-IO: it is told what happened, and when, and answers with what to do. It opens no
//! connection, reads no clock and keeps no thread, so a sender embeds it in whatever loop it has. The same
//! settings, seed and events always bring the same actions.
//!
//! Tries are spaced by the adaptive T1 timer of "High Load Diminution by Regulating Timers in SIP Servers"; the
//! guards around it keep six rules, from "one final answer a message" to "nothing during a told wait".
//!
//! ```
//! use cedarwharf::*;
//!
//! let class = ClassSettings {
//!     effect: Effect::Safe,
//!     in_order: false,
//!     aim: Micros::from_ms(3_000.0),
//!     deadline: Micros::from_ms(10_000.0),
//!     worth: 1.0,
//!     late_share: 0.5,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     kinds: vec![KindSettings { routes_apart: false, batch: 1 }],
//!     weights: Weights::Absent,
//!     fade: Fade::Line,
//!     tenants: Vec::new(),
//!     isolation: vec![],
//!     over_share_worth: 1.0,
//!     senders: 1,
//!     slots: 8,
//!     max_open: 100,
//!     max_attempts: 6,
//!     cancels: true,
//!     must_subscribe: false,
//!     max_retry_after: Micros::from_ms(2_000.0),
//!     connection_idle: Micros::from_ms(15_000.0),
//!     drain_grace: Micros::from_ms(1_000.0),
//!     cold_from: 0.2,
//!     cold_time: Micros::from_ms(10_000.0),
//!     fall_multiple: 2.0,
//!     fall_window: Micros::from_ms(2_000.0),
//!     key_rest: Micros(0),
//! };
//! let mut dispatcher = Dispatcher::new(settings, 42);
//! let (partner, endpoint, id) = (DestinationId(1), EndpointId(10), MessageId(7));
//! let listed = Member {
//!     endpoint,
//!     destination: partner,
//!     zone: 0,
//!     kind: 0,
//!     lifecycle: Lifecycle::Ready,
//!     weight: 0.0,
//! };
//! let time_left = Micros::from_ms(10_000.0);
//! let handed_in =
//!     HandedIn { destination: partner, time_left, class: 0, key: None, tenant: 0, again: false };
//! let mut actions = Vec::new();
//!
//! // The list of endpoints comes, then a message: it is sent.
//! let events = [
//!     Event::Members(ListScope::Whole, vec![listed]),
//!     Event::Message(id, handed_in),
//! ];
//! dispatcher.handle(Micros::from_ms(1_000.0), events, &mut actions);
//! assert!(matches!(actions[..], [Action::Send { .. }]));
//!
//! // The partner is full and tells a wait: nothing goes there before it is over.
//! actions.clear();
//! let wait = Some(Micros::from_ms(800.0));
//! let full = Event::Settled {
//!     id,
//!     attempt: 0,
//!     outcome: Outcome::Full { wait },
//!     spent: Micros::from_ms(30.0),
//!     closed: false,
//! };
//! dispatcher.handle(Micros::from_ms(1_030.0), [full], &mut actions);
//! assert!(matches!(actions[..], [Action::WakeIn(_)]));
//!
//! // Once the wait and the pause of Timer A are over, it goes out again, and is delivered.
//! let mut now = Micros::from_ms(1_030.0);
//! let sent_again = loop {
//!     actions.clear();
//!     now = now.plus(Micros::from_ms(20.0));
//!     dispatcher.handle(now, [Event::Wake], &mut actions);
//!     if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
//!         break now;
//!     }
//! };
//! assert!(sent_again >= Micros::from_ms(1_830.0));
//! actions.clear();
//! let served = Event::Settled {
//!     id,
//!     attempt: 1,
//!     outcome: Outcome::Served,
//!     spent: Micros::from_ms(90.0),
//!     closed: true,
//! };
//! dispatcher.handle(now.plus(Micros::from_ms(90.0)), [served], &mut actions);
//! assert!(actions.is_empty(), "served: that was the final answer");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
pub mod config;
pub mod directory;
pub mod engine;
mod interface;
pub mod journal;
pub mod lab;
pub mod lifecycle;
pub mod maintenance;
pub mod membership;
pub mod net;
pub mod report;
pub mod settings;
pub mod startup;
mod state;
pub mod tenancy;
mod waiting;

pub use choice::upkeep::{DispatcherState, IndexMapping, InitialSendRate};
pub use choice::{timer_t1, Dispatcher};
pub use interface::*;
