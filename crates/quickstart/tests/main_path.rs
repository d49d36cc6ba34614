//! The quick start runs to its end.

#[test]
fn quick_start_completes() {
    let mut out = Vec::new();
    egretlb_quickstart::run(&mut out).expect("the quick start works");
    let text = String::from_utf8(out).expect("text");
    assert!(text.contains("24 of 24 tasks done"), "{text}");
    assert!(text.contains("ran that filing 1 time(s)"), "{text}");
    assert!(text.contains("0 requests cut off"), "{text}");
}
