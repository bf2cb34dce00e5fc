# Bash completion for lacewing. Source this file, or install it as
# /usr/share/bash-completion/completions/lacewing
_lacewing()
{
    local commands="questionnaire check check-routes diff init apply history rollback status \
servers adapters explain drain audit top report settings-reference \
metrics-reference"
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    if [ "$COMP_CWORD" -eq 1 ]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands --help" -- "$current")
        return
    fi
    case $previous in
    --answers | -a | --logs | --output | -o | --save-answers | --edits | -e | \
        --key-file | --ca)
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
        ;;
    esac
    if [ "${current:0:1}" = "-" ]; then
        local options="--help"
        case ${COMP_WORDS[1]} in
        questionnaire) options+=" --answers --output --save-answers --questions" ;;
        check-routes) options+=" --against --json" ;;
        check | diff) options+=" --json" ;;
        init) options+=" --platform --who --force" ;;
        report | settings-reference | metrics-reference) options+=" --output" ;;
        *)
            options+=" --admin --key --key-file --ca --json"
            case ${COMP_WORDS[1]} in
            apply) options+=" --edits --expect --note --force --dry-run --wait" ;;
            rollback) options+=" --note --force" ;;
            drain) options+=" --undo --wait --note --force" ;;
            audit | history) options+=" --after --limit --who --group --refused" ;;
            servers | adapters) options+=" --limit --after" ;;
            top) options+=" --count --interval" ;;
            esac
            ;;
        esac
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
        return
    fi
    mapfile -t COMPREPLY < <(compgen -f -- "$current")
}
complete -F _lacewing lacewing
