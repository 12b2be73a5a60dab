use super::*;

#[test]
fn report_parses_only_from_two_valid_numbers() {
    assert_eq!(Report::parse("x0=0.25,x1=40"), Some(Report { left: 0.25, limit: 40.0 }));
    assert_eq!(Report::parse(" x1=40 , busy=3, x0=1"), Some(Report { left: 1.0, limit: 40.0 }));
    let incomplete = ["", "x0=0.2", "x1=40", "x0=0,x1=0", "x0=a,x1=40", "x0=NaN,x1=40", "x0=0.2,x1=NaN"];
    let out_of_range = ["x0=0.2,x1=inf", "x0=0.2,x1=1e300", "x0=-0.1,x1=40", "x0=0.2,x1=-4", "x0=7,x1=40"];
    let malformed = ["x0=0.1,x0=0.9,x1=40", "x0==0.1,x1=40", "x0=0.1 x1=40", "x0=,x1=40", "\u{0}", ",,,,=,"];
    for text in incomplete.into_iter().chain(out_of_range).chain(malformed) {
        assert_eq!(Report::parse(text), None, "{text:?}");
    }
}

#[test]
fn report_indices_follow_the_names_in_the_settings() {
    assert_eq!(Report::indices(["busy", "x1", "x0"].into_iter()), Some((2, 1)));
    assert_eq!(Report::indices(["busy", "x1"].into_iter()), None);
}
