//! Shell completion scripts.

/// A shell with a completion script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Shell {
    Bash,
    Zsh,
}

impl Shell {
    /// The shell with this name.
    pub fn named(name: &str) -> Option<Shell> {
        match name {
            "bash" => Some(Shell::Bash),
            "zsh" => Some(Shell::Zsh),
            _ => None,
        }
    }

    /// The shell's completion script.
    pub fn script(self) -> &'static str {
        match self {
            Shell::Bash => BASH,
            Shell::Zsh => ZSH,
        }
    }
}

const BASH: &str = r#"# source <(ledgelead completion bash)
_ledgelead() {
    local word="${COMP_WORDS[COMP_CWORD]}"
    local words
    if [ "$COMP_CWORD" -eq 1 ]; then
        words="node check query command status watch completion --help --version"
    else
        case "${COMP_WORDS[1]}" in
            node) words="--config --node --zone --callers --administration --peers --platform --log-level" ;;
            query | status) words="--address --json" ;;
            command) words="--address --json --id --if-version --wait" ;;
            watch) words="--address --json --interval --count" ;;
            completion) words="bash zsh" ;;
            *) words="" ;;
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$word"))
    if [ -z "$words" ] || [ "${COMP_WORDS[COMP_CWORD - 1]}" = "--config" ]; then
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}
complete -F _ledgelead ledgelead
"#;

const ZSH: &str = r#"# source <(ledgelead completion zsh)
_ledgelead() {
    if ((CURRENT == 2)); then
        compadd node check query command status watch completion -- --help --version
        return
    fi
    case "${words[2]}" in
        node)
            if [[ "${words[CURRENT - 1]}" == --config ]]; then
                _files
            else
                compadd -- --config --node --zone --callers --administration --peers --platform --log-level
            fi
            ;;
        check) _files ;;
        query | status) compadd -- --address --json ;;
        command) compadd -- --address --json --id --if-version --wait ;;
        watch) compadd -- --address --json --interval --count ;;
        completion) compadd bash zsh ;;
    esac
}
compdef _ledgelead ledgelead
"#;
