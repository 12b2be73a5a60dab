use super::*;

#[test]
fn encoded_list_is_decoded_and_a_truncated_or_corrupted_file_is_rejected() {
    let edition = Edition { epoch: 2, generation: 41 };
    let cached = CachedList { edition, confirmed: Micros(9_000_000), bytes: b"{\"generation\":41}".to_vec() };
    let file = cached.encode();
    assert_eq!(CachedList::decode(&file), Ok(cached.clone()));
    for cut in 0..file.len() {
        assert!(CachedList::decode(&file[..cut]).is_err(), "cut at {cut}");
    }
    let body = file.iter().position(|&byte| byte == b'\n').unwrap();
    for at in body + 1..file.len() {
        let mut corrupted = file.clone();
        corrupted[at] ^= 1;
        assert!(CachedList::decode(&corrupted).is_err(), "byte {at}");
    }
    assert!(CachedList::decode(b"cedarwharf-list-0 1 1 1 0 0\n").unwrap_err().contains("format"));
    assert!(cached.is_fresh(Micros(14_900_000)) && !cached.is_fresh(Micros(15_000_000)));
    assert!(!cached.is_fresh(Micros(8_000_000)), "the clock went back");
}
