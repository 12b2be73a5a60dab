//! The files that decide are listed in the deployment file and name their interface, and their lines fit on a page.

use std::path::{Path, PathBuf};

/// The `.rs` files under a folder, without tests.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let is_test = path.file_stem().is_some_and(|stem| stem == "tests");
        if is_test {
            continue;
        }
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The values of the line `policy = ["...", ...]` in the deployment file.
fn policy_list(deployment: &str) -> Vec<String> {
    let lines: Vec<&str> = deployment.lines().filter(|line| line.starts_with("policy = ")).collect();
    assert_eq!(lines.len(), 1, "deploy/balancer.toml has one line that begins with \"policy = \"");
    let list = lines[0].trim_start_matches("policy = ").trim();
    let items = list.strip_prefix('[').and_then(|list| list.strip_suffix(']')).unwrap();
    items.split(',').map(|item| item.trim().trim_matches('"').to_owned()).collect()
}

#[test]
fn each_file_that_decides_is_listed_names_the_interface_and_has_lines_of_110_characters_at_most() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deployment = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let mut listed = policy_list(&deployment);
    let mut deciding = vec![root.join("src/choice.rs")];
    deciding.extend(source_files(&root.join("src/choice")));
    let mut deciding: Vec<String> =
        deciding.iter().map(|path| path.strip_prefix(root).unwrap().to_str().unwrap().to_owned()).collect();
    listed.sort();
    deciding.sort();
    assert_eq!(listed, deciding, "the files in the list `policy` and the files that decide");
    for file in &listed {
        let text = std::fs::read_to_string(root.join(file)).unwrap_or_default();
        assert!(!text.trim().is_empty(), "{file} is missing or empty");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= 110, "{file} has a line of {widest} characters");
        assert!(
            text.lines().take(8).any(|line| line.contains("src/interface.rs")),
            "the head of {file} does not name the interface"
        );
    }
}
