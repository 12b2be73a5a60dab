//! An endpoint's report of its limit, part of its answers: the share of its allowance that is left, and the
//! calls per second that it accepts from all forwarders together. Anything that is not a valid pair of
//! numbers is ignored.

/// Name of the share that is left.
const LEFT_NAME: &str = "x0";
/// Name of the limit.
const LIMIT_NAME: &str = "x1";
/// Calls per second. No destination accepts more, so that a larger value must be corrupt.
const MAX_LIMIT: f64 = 1e6;

/// A report of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of the allowance that is left, from 0 to 1.
    pub left: f64,
    /// Calls per second, above zero.
    pub limit: f64,
}

impl Report {
    /// Builds a report from the two numbers; `None` where the limit is zero or a number is out of range.
    pub fn new(left: f64, limit: f64) -> Option<Report> {
        let valid = (0.0..=1.0).contains(&left) && limit > 0.0 && limit <= MAX_LIMIT;
        valid.then_some(Report { left, limit })
    }

    /// Parses comma-separated `name=value` pairs; `None` where one of the two names is missing or occurs
    /// twice.
    pub fn parse(text: &str) -> Option<Report> {
        let number = |expected: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(name, _)| name.trim() == expected).map(|(_, value)| value);
            let value: f64 = values.next()?.trim().parse().ok()?;
            values.next().is_none().then_some(value)
        };
        Report::new(number(LEFT_NAME)?, number(LIMIT_NAME)?)
    }

    /// The indices of the two numbers in the list of names from the settings.
    pub fn indices<'a>(names: impl Iterator<Item = &'a str> + Clone) -> Option<(usize, usize)> {
        let index = |expected| names.clone().position(|name| name == expected);
        Some((index(LEFT_NAME)?, index(LIMIT_NAME)?))
    }
}

#[cfg(test)]
mod tests;
