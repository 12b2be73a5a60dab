//! A dispatcher that delivers messages to destinations outside of the process.
//!
//! A [`Dispatcher`] is sans-IO: it receives timestamped events and returns actions. It opens no connections,
//! reads no clock and starts no threads, so that a forwarder can embed it in any event loop. The same
//! settings, seed and events always produce the same actions.
//!
//! Attempts are spaced by the adaptive T1 timer of "High Load Diminution by Regulating Timers in SIP
//! Servers". The code around it enforces six rules, from "one final outcome per message" to "nothing is sent
//! during a retry-after".
//!
//! ```
//! use cedarwharf::*;
//!
//! let class = ClassSettings {
//!     effect: Effect::Safe,
//!     in_order: false,
//!     target_time: Micros::from_ms(3_000.0),
//!     deadline: Micros::from_ms(10_000.0),
//!     worth: 1.0,
//!     late_share: 0.5,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     kinds: vec![KindSettings { separate_routes: false, batch: 1 }],
//!     weights: Weights::Absent,
//!     worth_decay: WorthDecay::Linear,
//!     tenants: Vec::new(),
//!     isolation: vec![],
//!     over_share_worth: 1.0,
//!     forwarders: 1,
//!     slots: 8,
//!     max_messages: 100,
//!     max_attempts: 6,
//!     can_cancel: true,
//!     must_subscribe: false,
//!     max_retry_after: Micros::from_ms(2_000.0),
//!     connection_idle: Micros::from_ms(15_000.0),
//!     drain_grace: Micros::from_ms(1_000.0),
//!     recovery_start_share: 0.2,
//!     recovery_time: Micros::from_ms(10_000.0),
//!     overload_multiple: 2.0,
//!     overload_window: Micros::from_ms(2_000.0),
//!     key_backoff: Micros(0),
//! };
//! let mut dispatcher = Dispatcher::new(settings, 42);
//! let (destination, endpoint, id) = (DestinationId(1), EndpointId(10), MessageId(7));
//! let record = EndpointRecord {
//!     endpoint,
//!     destination,
//!     zone: 0,
//!     kind: 0,
//!     lifecycle: Lifecycle::Ready,
//!     weight: 0.0,
//! };
//! let time_left = Micros::from_ms(10_000.0);
//! let submission =
//!     Submission { destination, time_left, class: 0, key: None, tenant: 0, resubmitted: false };
//! let mut actions = Vec::new();
//!
//! // The endpoint list arrives, then a message: the message is sent.
//! let events = [
//!     Event::EndpointRecords(ListScope::Whole, vec![record]),
//!     Event::Message(id, submission),
//! ];
//! dispatcher.handle(Micros::from_ms(1_000.0), events, &mut actions);
//! assert!(matches!(actions[..], [Action::Send { .. }]));
//!
//! // The destination rejects it with a retry-after: nothing is sent there before that time has passed.
//! actions.clear();
//! let retry_after = Some(Micros::from_ms(800.0));
//! let rejected = Event::AttemptEnded {
//!     id,
//!     attempt: 0,
//!     outcome: AttemptOutcome::Rejected { retry_after },
//!     spent: Micros::from_ms(30.0),
//!     closed: false,
//! };
//! dispatcher.handle(Micros::from_ms(1_030.0), [rejected], &mut actions);
//! assert!(matches!(actions[..], [Action::WakeIn(_)]));
//!
//! // After the retry-after and the backoff of Timer A, the message is sent again and delivered.
//! let mut now = Micros::from_ms(1_030.0);
//! let resent_at = loop {
//!     actions.clear();
//!     now = now.plus(Micros::from_ms(20.0));
//!     dispatcher.handle(now, [Event::Wake], &mut actions);
//!     if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
//!         break now;
//!     }
//! };
//! assert!(resent_at >= Micros::from_ms(1_830.0));
//! actions.clear();
//! let delivered = Event::AttemptEnded {
//!     id,
//!     attempt: 1,
//!     outcome: AttemptOutcome::Delivered,
//!     spent: Micros::from_ms(90.0),
//!     closed: true,
//! };
//! dispatcher.handle(now.plus(Micros::from_ms(90.0)), [delivered], &mut actions);
//! assert!(actions.is_empty(), "delivered: that was the final outcome");
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
