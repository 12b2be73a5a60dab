//! What a real server tells of its limit in its answers: the share of the allowance that is left, and the calls a second
//! that it takes from all senders together. Whatever is no such pair of numbers tells nothing.

/// The names of the two figures.
const LEFT: &str = "x0";
const LIMIT: &str = "x1";
/// No partner takes so many calls a second: a figure beyond is damage.
const MOST: f64 = 1e6;

/// One report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of the allowance that is left, 0 to 1.
    pub left: f64,
    /// Calls a second, above zero.
    pub limit: f64,
}

impl Report {
    /// From the two figures; nothing where there is no limit, or where they cannot be true.
    pub fn new(left: f64, limit: f64) -> Option<Report> {
        let sane = (0.0..=1.0).contains(&left) && limit > 0.0 && limit <= MOST;
        sane.then_some(Report { left, limit })
    }

    /// From `name=value` pairs with commas between. A name that stands twice tells nothing.
    pub fn parse(text: &str) -> Option<Report> {
        let figure = |wanted: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(name, _)| name.trim() == wanted).map(|(_, value)| value);
            let value: f64 = values.next()?.trim().parse().ok()?;
            values.next().is_none().then_some(value)
        };
        Report::new(figure(LEFT)?, figure(LIMIT)?)
    }

    /// The places of the two figures among the names that the settings list.
    pub fn indices<'a>(names: impl Iterator<Item = &'a str> + Clone) -> Option<(usize, usize)> {
        let place = |wanted| names.clone().position(|name| name == wanted);
        Some((place(LEFT)?, place(LIMIT)?))
    }
}

#[cfg(test)]
mod tests;
