//! Log lines on standard error, rate-limited for each call site. They go through `tracing`. The least severe
//! level and the form, text or JSON, can be changed while the process runs.

use crate::config::document::{Form, Level};
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Format, Json, JsonFields, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::Layer;

/// Limit for each call site.
const MAX_LINES_PER_SECOND: u64 = 10;

static JSON: AtomicBool = AtomicBool::new(false);
/// The least severe level that is logged: 1 for errors to 4 for debug.
static LEVEL: AtomicU8 = AtomicU8::new(3);

/// Limits the lines of one call site.
pub struct LineLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl LineLimiter {
    /// Creates a limiter that has not admitted a line yet.
    #[allow(clippy::new_without_default)]
    pub const fn new() -> LineLimiter {
        LineLimiter { second: AtomicU64::new(0), lines: AtomicU64::new(0), dropped: AtomicU64::new(0) }
    }

    /// Admits a line in this second unless the limit is reached; returns how many lines were dropped before
    /// it.
    pub fn admit(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Relaxed) != second {
            self.lines.store(0, Relaxed);
        }
        if self.lines.fetch_add(1, Relaxed) < MAX_LINES_PER_SECOND {
            return Some(self.dropped.swap(0, Relaxed));
        }
        self.dropped.fetch_add(1, Relaxed);
        None
    }
}

/// Unix time in whole seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

/// Writes a log line, rate-limited for each call site.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {{
        static LIMITER: $crate::net::log::LineLimiter = $crate::net::log::LineLimiter::new();
        match LIMITER.admit($crate::net::log::unix_seconds()) {
            Some(0) => tracing::info!($($part)*),
            Some(dropped) => tracing::info!(left_out = dropped, $($part)*),
            None => {}
        }
    }};
}

/// Installs the subscriber; once in a process.
pub fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .fmt_fields(JsonFields::new())
        .event_format(LineFormat { json: Format::default().json() })
        .with_filter(LevelFilter);
    // A second call, as in a test, has no effect.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(lines));
}

/// Sets the level and the form.
pub fn configure((level, form): (Level, Form)) {
    let level = match level {
        Level::Error => 1,
        Level::Warn => 2,
        Level::Info => 3,
        Level::Debug => 4,
    };
    LEVEL.store(level, Relaxed);
    JSON.store(form == Form::Json, Relaxed);
}

struct LevelFilter;

impl<S: Subscriber> Filter<S> for LevelFilter {
    fn enabled(&self, of: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        let severity = match *of.level() {
            tracing::Level::ERROR => 1,
            tracing::Level::WARN => 2,
            tracing::Level::INFO => 3,
            _ => 4,
        };
        severity <= LEVEL.load(Relaxed)
    }

    fn callsite_enabled(&self, _: &'static Metadata<'static>) -> tracing::subscriber::Interest {
        // The level can change while the process runs, so the result must not be cached.
        tracing::subscriber::Interest::sometimes()
    }
}

struct LineFormat {
    json: Format<Json>,
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> FormatEvent<S, JsonFields> for LineFormat {
    fn format_event(
        &self,
        context: &FmtContext<'_, S, JsonFields>,
        writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result
    where
        JsonFields: for<'writer> FormatFields<'writer>,
    {
        if JSON.load(Relaxed) {
            return self.json.format_event(context, writer, event);
        }
        // In text form, the fields follow the message.
        let mut writer = writer;
        let mut line = MessageText(String::new());
        event.record(&mut line);
        let level = event.metadata().level();
        writeln!(writer, "{level:>5} {}", line.0)
    }
}

struct MessageText(String);

impl tracing::field::Visit for MessageText {
    fn record_debug(&mut self, field: &tracing::field::Field, value: &dyn fmt::Debug) {
        use fmt::Write;
        let _ = match field.name() {
            "message" => {
                let rest = std::mem::take(&mut self.0);
                write!(self.0, "{value:?}{rest}")
            }
            "left_out" => write!(self.0, " ({value:?} such lines left out)"),
            name => write!(self.0, " {name}={value:?}"),
        };
    }
}

#[cfg(test)]
mod tests;
