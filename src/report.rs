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
    pub fn places<'a>(names: impl Iterator<Item = &'a str> + Clone) -> Option<(usize, usize)> {
        let place = |wanted| names.clone().position(|name| name == wanted);
        Some((place(LEFT)?, place(LIMIT)?))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_two_true_figures_make_a_report() {
        assert_eq!(Report::parse("x0=0.25,x1=40"), Some(Report { left: 0.25, limit: 40.0 }));
        assert_eq!(Report::parse(" x1=40 , busy=3, x0=1"), Some(Report { left: 1.0, limit: 40.0 }));
        let none = ["", "x0=0.2", "x1=40", "x0=0,x1=0", "x0=a,x1=40", "x0=NaN,x1=40", "x0=0.2,x1=NaN"];
        let huge = ["x0=0.2,x1=inf", "x0=0.2,x1=1e300", "x0=-0.1,x1=40", "x0=0.2,x1=-4", "x0=7,x1=40"];
        let odd = ["x0=0.1,x0=0.9,x1=40", "x0==0.1,x1=40", "x0=0.1 x1=40", "x0=,x1=40", "\u{0}", ",,,,=,"];
        for text in none.into_iter().chain(huge).chain(odd) {
            assert_eq!(Report::parse(text), None, "{text:?}");
        }
    }

    #[test]
    fn figures_stand_where_the_settings_name_them() {
        assert_eq!(Report::places(["busy", "x1", "x0"].into_iter()), Some((2, 1)));
        assert_eq!(Report::places(["busy", "x1"].into_iter()), None);
    }
}
