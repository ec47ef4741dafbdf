//! Parsing of the options file.

use std::path::Path;

use gw_gateway::GatewayOptions;

struct OptionsCase {
    name: &'static str,
    text: &'static str,
    /// The share, or the line and field that the error names.
    expected: Result<f64, (usize, &'static str)>,
}

/// Guards against options that are ignored or misread, and against errors that do not say what to
/// correct.
#[test]
fn options_are_read_and_faults_are_located() {
    let case = |name, text, expected| OptionsCase { name, text, expected };
    let cases = [
        case("empty", "", Ok(0.0)),
        case("empty section", "[hedging]\n", Ok(0.0)),
        case("share", "# comment\n[hedging]\nmax_share = 0.02\n", Ok(0.02)),
        case("integer share", "[hedging]\nmax_share = 1\n", Ok(1.0)),
        case("dotted name", "hedging.max_share = 0.5\n", Ok(0.5)),
        case("unknown field", "[hedging]\n\nmin_share = 1\n", Err((3, "hedging.min_share"))),
        case("unknown section", "[hedge]\nmax_share = 1\n", Err((1, "[hedge]"))),
        case("text", "[hedging]\nmax_share = \"2%\"\n", Err((2, "hedging.max_share"))),
        case("negative", "\n[hedging]\nmax_share = -0.1\n", Err((3, "hedging.max_share"))),
        case("above 1", "[hedging]\nmax_share = 1.01\n", Err((2, "hedging.max_share"))),
        case("not a number", "[hedging]\nmax_share = nan\n", Err((2, "hedging.max_share"))),
        case("twice", "[hedging]\nmax_share = 0\nmax_share = 1\n", Err((3, "hedging.max_share"))),
        case("not TOML", "[hedging]\nmax_share 0.1\n", Err((2, "hedging.max_share 0.1"))),
    ];
    for case in cases {
        let path = Path::new("/etc/gw.toml");
        match (GatewayOptions::parse(path, case.text), case.expected) {
            (Ok(options), Ok(share)) => {
                assert_eq!(options.hedging.max_share, share, "{}", case.name);
            }
            (Err(error), Err((line, field))) => {
                let start = format!("options file /etc/gw.toml: line {line}: field {field}: ");
                let text = error.to_string();
                assert!(text.starts_with(&start), "{}: {text}", case.name);
                assert!(!text.contains('\n'), "{}: {text}", case.name);
            }
            (found, expected) => panic!("{}: {found:?} {expected:?}", case.name),
        }
    }
}
