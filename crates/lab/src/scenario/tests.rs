use super::*;

fn error(text: &str) -> String {
    Scenario::parse(text, Path::new("day.toml"))
        .unwrap_err()
        .to_string()
}

// Guards against a typing error in a scenario file that silently runs a different scenario.
#[test]
fn parse_errors_name_the_line_and_the_expected_value() {
    let head = "about = \"x\"\nseconds = 5\n[load]\nrate = 10\n";
    assert!(Scenario::parse(head, Path::new("day.toml")).is_ok());
    let cases = [
        (
            "about = \"x\"\nseconds = 5\n[load]\nrat = 10\n",
            "day.toml line 4: unknown field `rat`",
        ),
        (
            "about = \"x\"\nseconds = -5\n[load]\nrate = 10\n",
            "line 2: -5 is not a number from 0.1 to 3600",
        ),
        (
            &format!("{head}[[fault]]\nat_s = 9\nkind = \"kill\"\nservers = [0]\n"),
            "line 5: at_s 9 is after the end of the scenario at 5 s",
        ),
        (
            &format!("{head}[[fault]]\nat_s = 1\nkind = \"kill\"\nservers = [9]\n"),
            "unknown server 9, expected 0 to 8",
        ),
        (
            &format!("{head}[[fault]]\nat_s = 1\nkind = \"kil\"\n"),
            "line 7: unknown variant `kil`",
        ),
        (
            &format!("{head}[[fault]]\nat_s = 1\nkind = \"slow\"\nservers = [1]\n"),
            "requires by",
        ),
        (
            &format!("{head}[[fault]]\nat_s = 1\nkind = \"node_kill\"\n"),
            "requires nodes",
        ),
    ];
    for (text, expected) in cases {
        assert!(
            error(text).contains(expected),
            "{} lacks {expected}",
            error(text)
        );
    }
}
