//! The arithmetic of docs/CAPACITY.md gives the figures that stand beside it.

use std::collections::BTreeMap;

/// A sum of products and quotients of numbers and of names worked out before.
fn value(expression: &str, known: &BTreeMap<String, f64>) -> f64 {
    let one = |word: &str| -> f64 {
        word.parse().unwrap_or_else(|_| *known.get(word).unwrap_or_else(|| panic!("'{word}' is not known")))
    };
    expression
        .split(" + ")
        .map(|product| {
            let mut words = product.split_whitespace();
            let mut result = one(words.next().expect("a factor"));
            while let Some(sign) = words.next() {
                let factor = one(words.next().expect("a factor"));
                result = match sign {
                    "*" => result * factor,
                    "/" => result / factor,
                    other => panic!("no sign: {other}"),
                };
            }
            result
        })
        .sum()
}

#[test]
fn every_line_gives_its_result() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let block =
        page.split("```arithmetic\n").nth(1).and_then(|rest| rest.split("```").next()).expect("the block");
    let mut known = BTreeMap::new();
    for line in block.lines().filter(|l| !l.starts_with('#') && !l.is_empty()) {
        let parts: Vec<&str> = line.split(" = ").collect();
        let [name, expression, result] = parts[..] else { panic!("no line of arithmetic: {line}") };
        let (worked, said) = (value(expression, &known), result.parse::<f64>().expect("a result"));
        assert!((worked - said).abs() <= 0.005 * said.abs(), "{line}: it gives {worked}");
        known.insert(name.to_owned(), worked);
    }
    assert!(known.len() > 25, "only {} lines", known.len());
}
