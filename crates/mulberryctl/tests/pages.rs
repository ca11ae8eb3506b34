//! Pages about the command line, and what holds for all pages of the repository.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../mulberry-types/tests/support/pages.rs"]
mod pages;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use pages::{items, page, quoted, root};

const COMMAND_PAGE: &str = "docs/operations/configuration.md";

fn help() -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryctl")).arg("--help").output().unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Commands that take no further command.
fn commands(help: &str) -> BTreeSet<String> {
    let (_, subcommands) = help.split_once("SUBCOMMANDS:").unwrap();
    let all: BTreeSet<String> = subcommands
        .lines()
        .filter(|line| line.starts_with("mulberryctl "))
        .map(|line| line.trim_end().to_owned())
        .collect();
    let is_leaf =
        |command: &&String| !all.iter().any(|other| other.starts_with(&format!("{command} ")));
    all.iter().filter(is_leaf).cloned().collect()
}

/// Guards against a command that is not on its page, and an item about one that does not exist.
#[test]
fn the_page_lists_every_command() {
    let page = page(COMMAND_PAGE);
    let on_page: Vec<String> = items(&page, "Commands")
        .iter()
        .map(|item| {
            let quoted = quoted(item).remove(0);
            let is_word = |word: &&str| word.chars().all(|c| c.is_ascii_lowercase() || c == '-');
            let words: Vec<&str> = quoted
                .split(' ')
                .take_while(|word| is_word(word) && !word.starts_with('-'))
                .collect();
            words.join(" ")
        })
        .collect();
    let set: BTreeSet<String> = on_page.iter().cloned().collect();
    assert_eq!(set.len(), on_page.len(), "a command is on the page twice");
    assert_eq!(set, commands(&help()));
}

/// Guards against a flag that is not on its page, and one on the page that does not exist.
#[test]
fn the_page_lists_every_flag() {
    let flags = |text: &str| -> BTreeSet<String> {
        let words = text.split(|c: char| !(c.is_ascii_lowercase() || c == '-'));
        words.filter(|word| word.starts_with("--")).map(str::to_owned).collect()
    };
    let mut expected = flags(&help());
    expected.insert("--help".to_owned());
    let page = page(COMMAND_PAGE);
    let (_, from_commands) = page.split_once("\n## Commands\n").unwrap();
    assert_eq!(flags(from_commands), expected);
}

/// Guards against an exit code that is not on its page, and one on the page that does not exist.
#[test]
fn the_page_lists_every_exit_code() {
    let help = help();
    let (_, codes) = help.split_once("Exit codes:\n").unwrap();
    let expected: BTreeSet<String> = codes
        .lines()
        .take_while(|line| !line.trim().is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned)
        .collect();
    let on_page: BTreeSet<String> = items(&page(COMMAND_PAGE), "Exit codes")
        .iter()
        .map(|item| quoted(item).remove(0))
        .collect();
    assert_eq!(on_page, expected);
}

/// Guards against a test command in the README that is not the one that CI runs.
#[test]
fn the_test_command_of_the_readme_is_the_one_of_ci() {
    let readme = page("README.md");
    let commands: Vec<&str> =
        readme.lines().filter(|line| line.starts_with("cargo test")).collect();
    let check = page("scripts/check");
    assert_eq!(commands.len(), 1, "the README names one test command");
    assert!(check.lines().any(|line| line == commands[0]), "scripts/check lacks {}", commands[0]);
    assert!(page(".ci/run").contains("scripts/check"));
}

/// Guards against a link to a file or heading that does not exist, and lines that are too long.
#[test]
fn links_of_pages_exist_and_lines_are_short() {
    for file in markdown_files() {
        let text = std::fs::read_to_string(&file).unwrap();
        for (path, anchor) in links(&text) {
            let target =
                if path.is_empty() { file.clone() } else { file.parent().unwrap().join(&path) };
            assert!(target.exists(), "{}: {path} does not exist", file.display());
            if let Some(anchor) = anchor {
                let headings = headings(&std::fs::read_to_string(&target).unwrap());
                assert!(headings.contains(&anchor), "{}: no #{anchor} in {path}", file.display());
            }
        }
        // Rows of tables cannot be wrapped.
        let lines = text.lines().filter(|line| !line.starts_with('|'));
        let longest = lines.map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(longest <= 120, "{} has a line of {longest} characters", file.display());
    }
}

/// Guards against a page that no other page links to.
#[test]
fn the_operations_pages_are_all_linked_from_the_first_one() {
    let folder = root().join("docs/operations");
    let linked: BTreeSet<String> =
        links(&page("docs/operations/install.md")).into_iter().map(|(path, _)| path).collect();
    for entry in std::fs::read_dir(folder).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(name == "install.md" || linked.contains(&name), "install.md does not link {name}");
    }
}

fn markdown_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for folder in ["", "docs", "docs/operations"] {
        add_markdown(&root().join(folder), &mut files);
    }
    for entry in std::fs::read_dir(root().join("crates")).unwrap() {
        add_markdown(&entry.unwrap().path(), &mut files);
    }
    assert!(files.len() > 30, "the search finds the pages and the crates' files");
    files
}

fn add_markdown(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "md") {
            files.push(path);
        }
    }
}

/// Paths and anchors of the links to files. Text in backticks holds no links.
fn links(text: &str) -> Vec<(String, Option<String>)> {
    let without_code: String = text.split('`').step_by(2).collect::<Vec<_>>().join("");
    let targets = without_code.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    targets
        .filter(|(target, _)| !target.contains("://"))
        .map(|(target, _)| match target.split_once('#') {
            Some((path, anchor)) => (path.to_owned(), Some(anchor.to_owned())),
            None => (target.to_owned(), None),
        })
        .collect()
}

/// Anchors of the headings of a page.
fn headings(text: &str) -> BTreeSet<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    headings
        .map(|line| {
            let words = line.trim_start_matches('#').trim().to_lowercase();
            let kept = words.chars().filter(|c| c.is_alphanumeric() || " -_".contains(*c));
            kept.collect::<String>().replace(' ', "-")
        })
        .collect()
}
